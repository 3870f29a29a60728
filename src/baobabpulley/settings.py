"""Settings files: INI read by `configparser`, checked by `msgspec`.

Each part of a daemon declares its section as a `msgspec.Struct` and registers it with
`section`. Unknown sections and unknown options are faults, and all faults are told at once.
"""

from __future__ import annotations

import configparser
from collections.abc import Callable
from pathlib import Path
from typing import Annotated
from typing import Any
from typing import Final
from typing import TypeVar
from typing import cast
from typing import final

import msgspec

from baobabpulley.errors import InvalidSettings

S = TypeVar("S", bound=msgspec.Struct)

Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]

SECRET_OPTIONS: Final = frozenset({"credential", "secret"})
HIDDEN: Final = "(hidden)"

_SECTIONS: dict[str, dict[str, type[msgspec.Struct]]] = {
    "entry": {},
    "gateway": {},
    "keeper": {},
}


def section(name: str, *daemons: str) -> Callable[[type[S]], type[S]]:
    """Register a section's type for the daemons named."""

    def add(kind: type[S]) -> type[S]:
        for daemon in daemons:
            _SECTIONS[daemon][name] = kind
        return kind

    return add


@section("node", "entry", "keeper")
class NodeSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who this process is. Addresses are ``ip:port``."""

    id: Name
    vm: Name
    failure_domain: Name
    http: Address
    speed: Annotated[float, msgspec.Meta(gt=0)] = 1.0


@section("logs", "entry", "gateway", "keeper")
class LogsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How logs are written: ``format`` is ``text`` or ``json``."""

    level: Annotated[str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    format: Annotated[str, msgspec.Meta(pattern="^(text|json)$")] = "text"


@section("peers", "entry", "keeper")
class PeersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fleet's shared secret and the bounds of messages between our processes."""

    secret: Annotated[str, msgspec.Meta(min_length=16)]
    max_message_bytes: Count = 4_194_304
    max_clock_skew: Seconds = 30.0


@final
class Settings:
    """The checked sections of one settings file."""

    __slots__ = ("_daemon", "_sections")

    def __init__(self, *, daemon: str, sections: dict[str, msgspec.Struct]) -> None:
        self._daemon = daemon
        self._sections = sections

    @property
    def daemon(self) -> str:
        """``entry``, ``gateway`` or ``keeper``."""
        return self._daemon

    def get(self, kind: type[S]) -> S:
        """Return the section of the given type."""
        for value in self._sections.values():
            if isinstance(value, kind):
                return cast(S, value)
        raise InvalidSettings(f"no section of type {kind.__name__} belongs to {self._daemon}")


def section_types(daemon: str) -> dict[str, type[msgspec.Struct]]:
    """Return the registered sections of a daemon by name."""
    return dict(_SECTIONS[daemon])


def load_settings(path: Path, *, daemon: str) -> Settings:
    """Read and check a settings file; raise `InvalidSettings` that lists every fault."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as lines:
            parser.read_file(lines)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise InvalidSettings(f"{path}: {error}") from error
    kinds = _SECTIONS[daemon]
    faults = [
        f"{path}: [{name}]: unknown section; allowed: {', '.join(sorted(kinds))}"
        for name in parser.sections()
        if name not in kinds
    ]
    sections: dict[str, msgspec.Struct] = {}
    for name, kind in kinds.items():
        options = dict(parser[name]) if parser.has_section(name) else {}
        value = _check_section(path, name, kind, options, faults)
        if value is not None:
            sections[name] = value
    if faults:
        raise InvalidSettings("\n".join(faults))
    return Settings(daemon=daemon, sections=sections)


def _check_section(
    path: Path, name: str, kind: type[S], options: dict[str, str], faults: list[str]
) -> S | None:
    before = len(faults)
    values: dict[str, Any] = {}
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    for option, text in options.items():
        if option not in fields:
            allowed = ", ".join(sorted(fields))
            faults.append(f"{path}: [{name}] {option} = {text}: unknown option; allowed: {allowed}")
            continue
        try:
            values[option] = _convert(text, fields[option].type)
        except msgspec.ValidationError as error:
            shown = HIDDEN if option in SECRET_OPTIONS else text
            faults.append(f"{path}: [{name}] {option} = {shown}: {error}; mend the value")
    for option, field in fields.items():
        if field.required and option not in options:
            faults.append(f"{path}: [{name}] {option}: missing; add the option")
    if len(faults) > before:
        return None
    return kind(**values)


def _convert(text: str, kind: Any) -> Any:
    """Convert an option's text; lists are separated by commas or white space."""
    origin = getattr(kind, "__origin__", None)
    if origin is tuple:
        return msgspec.convert(text.replace(",", " ").split(), kind, strict=False)
    return msgspec.convert(text, kind, strict=False)
