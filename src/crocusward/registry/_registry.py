"""Registry of interchangeable implementations by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

from ..errors import CrocusError, nearest_name

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to implementations of one kind.

    Args:
        kind: Kind of the entries, for error messages.
    """

    __slots__ = ("kind", "_entries")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds its argument under ``name``."""

        def add(entry: T) -> T:
            if name in self._entries:
                raise CrocusError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry called ``name``.

        Raises:
            CrocusError: No such entry; the message suggests the closest name.
        """
        try:
            return self._entries[name]
        except KeyError:
            near = nearest_name(name, self._entries)
            hint = f"; did you mean {near!r}?" if near else ""
            raise CrocusError(
                f"unknown {self.kind} {name!r}{hint}", code="unknown_name"
            ) from None

    def names(self) -> list[str]:
        """Return all names in sorted order."""
        return sorted(self._entries)
