"""Registries of implementations, filled by decorators and looked up by name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import TypeVar
from typing import final

from baobabpulley.errors import UnknownName

T = TypeVar("T")


@final
class Registry(Generic[T]):
    """Implementations of one kind of component, by name; the kind is named in errors.

    >>> greetings = Registry[str]("greeting")
    >>> _ = greetings.register("plain")("hello")
    >>> greetings.lookup("plain")
    'hello'
    """

    __slots__ = ("_kind", "_members")

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._members: dict[str, T] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all implementations, sorted."""
        return tuple(sorted(self._members))

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under ``name``."""

        def add(member: T) -> T:
            if name in self._members:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._members[name] = member
            return member

        return add

    def lookup(self, name: str) -> T:
        """Return the implementation called ``name``; raise `UnknownName` if there is none."""
        try:
            return self._members[name]
        except KeyError:
            raise UnknownName(
                f"no {self._kind} is called {name!r}",
                remedy=f"Use one of: {', '.join(self.names)}.",
            ) from None
