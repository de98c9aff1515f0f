"""Strict, type-checked decoding of CBOR arrays."""

from typing import Any

import cbor2

from ..errors import CrocusError


def malformed(what: str) -> CrocusError:
    """Return the error for a malformed document."""
    return CrocusError(f"malformed document: {what}", code="malformed_document")


def load_array(data: bytes, what: str) -> list[Any]:
    """Decode one array in canonical CBOR, without trailing bytes.

    Raises:
        CrocusError: Code ``malformed_document``.
    """
    try:
        value = cbor2.loads(data)
        # cbor2 ignores trailing bytes and accepts non-canonical encodings.
        canonical = cbor2.dumps(value, canonical=True)
    except (cbor2.CBORError, ValueError, TypeError, RecursionError):
        raise malformed(f"{what} is not CBOR") from None
    if not isinstance(value, list) or canonical != data:
        raise malformed(f"{what} is not an array in canonical CBOR")
    return value


class ArrayReader:
    """Reads the items of an array in order and checks their types.

    Args:
        value: A decoded array.
        what: Name of the document, for error messages.
        count: Exact number of items; additional items are unknown fields.
    """

    __slots__ = ("_items", "_what", "_next")

    def __init__(self, value: object, what: str, count: int) -> None:
        if not isinstance(value, list) or len(value) != count:
            raise malformed(f"{what} must be an array of {count} fields")
        self._items = value
        self._what = what
        self._next = 0

    def _take(self, kind: type | tuple[type, ...], name: str) -> Any:
        value = self._items[self._next]
        self._next += 1
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            raise malformed(f"{self._what}.{name} has the wrong type")
        return value

    def text(self, name: str) -> str:
        """Read a string."""
        return self._take(str, name)

    def data(self, name: str) -> bytes:
        """Read a byte string."""
        return self._take(bytes, name)

    def integer(self, name: str) -> int:
        """Read an integer."""
        return self._take(int, name)

    def number(self, name: str) -> float:
        """Read a number."""
        value = self._take((int, float), name)
        if isinstance(value, bool):
            raise malformed(f"{self._what}.{name} has the wrong type")
        return float(value)

    def flag(self, name: str) -> bool:
        """Read a boolean."""
        return self._take(bool, name)

    def array(self, name: str) -> list[Any]:
        """Read an array."""
        return self._take(list, name)

    def texts(self, name: str) -> list[str]:
        """Read an array of strings."""
        values = self._take(list, name)
        if not all(isinstance(value, str) for value in values):
            raise malformed(f"{self._what}.{name} has the wrong type")
        return values
