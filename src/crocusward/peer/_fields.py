"""Reader of the fields of a decoded message that checks types and ranges."""

import math
from typing import Any

from ..model import Record
from ._faults import LinkFault, PeerProtocolError

MAX_NAME_CHARS = 256
MAX_UINT64 = (1 << 64) - 1


class FieldReader(Record):
    """Reads fields in order and checks their types and sizes.

    Args:
        values: The decoded list.
    """

    __slots__ = ("_values", "_position")

    def __init__(self, values: Any) -> None:
        if type(values) is not list:
            raise PeerProtocolError(LinkFault.BAD_FIELD, "expected a list")
        self._values = values
        self._position = 0

    def integer(self, low: int, high: int = MAX_UINT64) -> int:
        """Read an integer from ``low`` to ``high``."""
        value = self._next_field()
        if type(value) is not int or not low <= value <= high:
            raise self._error("an integer in range")
        return value

    def number(self, high: float) -> float:
        """Read a finite number from 0 to ``high``."""
        value = self._next_field()
        if type(value) not in (int, float):
            raise self._error("a number")
        if not (math.isfinite(value) and 0.0 <= value <= high):
            raise self._error("a number in range")
        return float(value)

    def boolean(self) -> bool:
        """Read a boolean."""
        value = self._next_field()
        if type(value) is not bool:
            raise self._error("a boolean")
        return value

    def text(self, limit: int = MAX_NAME_CHARS) -> str:
        """Read a string of at most ``limit`` characters."""
        value = self._next_field()
        if type(value) is not str or len(value) > limit:
            raise self._error(f"a string of at most {limit} characters")
        return value

    def blob(self, low: int, high: int) -> bytes:
        """Read ``low`` to ``high`` bytes."""
        value = self._next_field()
        if type(value) is not bytes or not low <= len(value) <= high:
            raise self._error(f"{low} to {high} bytes")
        return value

    def blobs(self, high: int) -> tuple[bytes, ...]:
        """Read all remaining fields, each of at most ``high`` bytes."""
        count = len(self._values) - self._position
        return tuple(self.blob(0, high) for _ in range(count))

    def items(self, limit: int) -> list[Any]:
        """Read a list of at most ``limit`` items."""
        value = self._next_field()
        if type(value) is not list or len(value) > limit:
            raise self._error(f"a list of at most {limit} items")
        return value

    def optional(self) -> "FieldReader | None":
        """Read a nested list, or None."""
        value = self._next_field()
        return None if value is None else FieldReader(value)

    def check_end(self) -> None:
        """Check that no field remains."""
        if self._position != len(self._values):
            raise PeerProtocolError(LinkFault.BAD_FIELD, "too many fields")

    def _next_field(self) -> Any:
        if self._position >= len(self._values):
            raise PeerProtocolError(LinkFault.BAD_FIELD, "too few fields")
        value = self._values[self._position]
        self._position += 1
        return value

    def _error(self, expected: str) -> PeerProtocolError:
        message = f"field {self._position - 1}: expected {expected}"
        return PeerProtocolError(LinkFault.BAD_FIELD, message)
