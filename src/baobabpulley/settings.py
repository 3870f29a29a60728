"""Settings files: INI files read by `configparser` and validated by `msgspec`.

Each component declares its section as a `msgspec.Struct` and registers it with `section`. Unknown
sections and unknown options are errors, and all errors of a file are reported at once.

An option that the file leaves out is taken from the environment variable
``BAOBABPULLEY_<SECTION>_<OPTION>``, if that isn't empty, before its default.
"""

from __future__ import annotations

import configparser
import os
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
# Model seconds unless the section says otherwise: `NodeSection.speed` of them pass in one real
# second. In production the speed is 1, so that they are real seconds.
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]

# Error messages show `HIDDEN` in place of the values of these options.
SECRET_OPTIONS: Final = frozenset({"credential", "secret"})
HIDDEN: Final = "(hidden)"
ENVIRONMENT_PREFIX: Final = "BAOBABPULLEY"

_SECTIONS: dict[str, dict[str, type[msgspec.Struct]]] = {
    "entry": {},
    "gateway": {},
    "keeper": {},
}


def section(name: str, *daemons: str) -> Callable[[type[S]], type[S]]:
    """Return a decorator that registers a struct as the section ``name`` of ``daemons``."""

    def add(section_type: type[S]) -> type[S]:
        for daemon in daemons:
            _SECTIONS[daemon][name] = section_type
        return section_type

    return add


@section("node", "entry", "keeper")
class NodeSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity of this process.

    Addresses are ``ip:port``. ``speed`` model seconds pass in one real second; it is 1 except in
    tests and benches.
    """

    id: Name
    vm: Name
    failure_domain: Name
    http: Address
    speed: Annotated[float, msgspec.Meta(gt=0)] = 1.0


@section("logs", "entry", "gateway", "keeper")
class LogsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Log level and format; ``format`` is ``text`` or ``json``."""

    level: Annotated[str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    format: Annotated[str, msgspec.Meta(pattern="^(text|json)$")] = "text"


@section("peers", "entry", "keeper")
class PeersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Secret shared by the fleet's processes, and limits of the messages between them.

    A message is rejected if its wall-clock time differs from the receiver's by more than
    ``max_clock_skew`` real seconds.
    """

    secret: Annotated[str, msgspec.Meta(min_length=16)]
    max_message_bytes: Count = 4_194_304
    max_clock_skew: Seconds = 30.0


@final
class Settings:
    """Validated sections of one settings file."""

    __slots__ = ("_daemon", "_sections")

    def __init__(self, *, daemon: str, sections: dict[str, msgspec.Struct]) -> None:
        self._daemon = daemon
        self._sections = sections

    @property
    def daemon(self) -> str:
        """``entry``, ``gateway`` or ``keeper``."""
        return self._daemon

    def get(self, section_type: type[S]) -> S:
        """Return the section of the given type; raise `InvalidSettings` if there is none."""
        for value in self._sections.values():
            if isinstance(value, section_type):
                return cast(S, value)
        raise InvalidSettings(
            f"no section of type {section_type.__name__} is registered for {self._daemon}"
        )


def section_types(daemon: str) -> dict[str, type[msgspec.Struct]]:
    """Return the types of a daemon's registered sections, by section name."""
    return dict(_SECTIONS[daemon])


def load_settings(path: Path, *, daemon: str) -> Settings:
    """Read and validate a settings file; raise `InvalidSettings` with every error found."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as lines:
            parser.read_file(lines)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise InvalidSettings(f"{path}: {error}") from error
    known_sections = _SECTIONS[daemon]
    errors = [
        f"{path}: [{name}]: unknown section; allowed: {', '.join(sorted(known_sections))}"
        for name in parser.sections()
        if name not in known_sections
    ]
    sections: dict[str, msgspec.Struct] = {}
    for name, section_type in known_sections.items():
        options = _options_of_environment(name, section_type)
        if parser.has_section(name):
            options.update(parser[name])
        value = _check_section(path, name, section_type, options, errors)
        if value is not None:
            sections[name] = value
    if errors:
        raise InvalidSettings("\n".join(errors))
    return Settings(daemon=daemon, sections=sections)


def environment_name(section_name: str, option: str) -> str:
    """Return the environment variable of an option.

    >>> environment_name("memory", "machine_mb")
    'BAOBABPULLEY_MEMORY_MACHINE_MB'
    """
    return "_".join((ENVIRONMENT_PREFIX, section_name, option)).upper()


def _options_of_environment(name: str, section_type: type[msgspec.Struct]) -> dict[str, str]:
    """Return the options of a section that the environment sets; an empty value sets none."""
    texts = {
        field.name: os.environ.get(environment_name(name, field.name), "")
        for field in msgspec.structs.fields(section_type)
    }
    return {option: text for option, text in texts.items() if text}


def _check_section(
    path: Path, name: str, section_type: type[S], options: dict[str, str], errors: list[str]
) -> S | None:
    errors_before = len(errors)
    values: dict[str, Any] = {}
    fields = {field.name: field for field in msgspec.structs.fields(section_type)}
    for option, text in options.items():
        if option not in fields:
            allowed = ", ".join(sorted(fields))
            errors.append(f"{path}: [{name}] {option} = {text}: unknown option; allowed: {allowed}")
            continue
        try:
            values[option] = _convert(text, fields[option].type)
        except msgspec.ValidationError as error:
            shown = HIDDEN if option in SECRET_OPTIONS else text
            errors.append(f"{path}: [{name}] {option} = {shown}: {error}; correct the value")
    for option, field in fields.items():
        if field.required and option not in options:
            errors.append(f"{path}: [{name}] {option}: missing; add the option")
    if len(errors) > errors_before:
        return None
    return section_type(**values)


def _convert(text: str, option_type: Any) -> Any:
    """Convert an option's text; commas or white space separate the items of a list."""
    origin = getattr(option_type, "__origin__", None)
    if origin is tuple:
        return msgspec.convert(text.replace(",", " ").split(), option_type, strict=False)
    return msgspec.convert(text, option_type, strict=False)
