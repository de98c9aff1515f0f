"""Reads typed values out of the platform's documents and collects the faults."""

import re
from collections.abc import Mapping
from typing import Any

from ..errors import Finding, FindingsError, SourceLocation

MAX_PORT = 65_535
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_MS_PER_S = 1000.0


def parse_duration(text: object) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds.

    Raises:
        ValueError: The text is no duration.
    """
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"{text!r} is no number with the unit ms or s")
    value = float(found[1])
    return value / _MS_PER_S if found[2] == "ms" else value


def parse_address(text: object) -> tuple[str, int]:
    """Return IP address and port of ``10.1.0.10:8161``.

    Raises:
        ValueError: The text is no address with a port.
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is no address with a port")
    return host, int(port)


class Fields:
    """Typed access to a mapping; faults are collected with their place.

    Args:
        source: Name of the document, for findings.
        data: The decoded mapping.
        path: Dotted path of the mapping inside the document.
        findings: Where faults are added.
    """

    __slots__ = ("_source", "_data", "_path", "findings")

    def __init__(
        self,
        source: str,
        data: Any,
        path: str = "",
        findings: list[Finding] | None = None,
    ) -> None:
        self._source = source
        self._path = path
        self.findings = [] if findings is None else findings
        if not isinstance(data, Mapping):
            self._fault("", "must be a table")
            data = {}
        self._data = data

    def _fault(self, name: str, message: str) -> None:
        path = ".".join(part for part in (self._path, name) if part)
        self.findings.append(
            Finding(SourceLocation(self._source, path), "platform_document", message)
        )

    def has(self, name: str) -> bool:
        """Return whether a value other than null is present."""
        return self._data.get(name) is not None

    def raw(self, name: str) -> Any:
        """Return a value as it is, or None."""
        return self._data.get(name)

    def table(self, name: str) -> "Fields":
        """Return a nested mapping."""
        path = ".".join(part for part in (self._path, name) if part)
        return Fields(self._source, self._data.get(name), path, self.findings)

    def items(self) -> list[tuple[str, Any]]:
        """Return names and values."""
        return list(self._data.items())

    def text(self, name: str, default: str | None = None) -> str:
        """Return a text that is not empty."""
        value = self._data.get(name)
        if value is None and default is not None:
            return default
        if not isinstance(value, str) or not value:
            self._fault(name, f"{value!r} is no text")
            return ""
        return value

    def whole(self, name: str, *, low: int = 0, default: int | None = None) -> int:
        """Return a whole number of at least ``low``."""
        value = self._data.get(name)
        if value is None and default is not None:
            return default
        if type(value) is not int or value < low:
            self._fault(name, f"{value!r} is no whole number of {low} or more")
            return low
        return value

    def number(self, name: str, *, default: float | None = None) -> float:
        """Return a number of at least 0."""
        value = self._data.get(name)
        if value is None and default is not None:
            return default
        if type(value) not in (int, float) or not value >= 0:
            self._fault(name, f"{value!r} is no number of 0 or more")
            return 0.0
        return float(value)

    def duration(self, name: str, default_s: float | None = None) -> float:
        """Return a duration in seconds."""
        value = self._data.get(name)
        if value is None and default_s is not None:
            return default_s
        try:
            return parse_duration(value)
        except ValueError as exc:
            self._fault(name, str(exc))
            return 0.0

    def address(self, name: str) -> tuple[str, int]:
        """Return an IP address with a port."""
        try:
            return parse_address(self._data.get(name))
        except ValueError as exc:
            self._fault(name, str(exc))
            return "", 0

    def fault(self, name: str, message: str) -> None:
        """Add a finding of the caller."""
        self._fault(name, message)

    def raise_findings(self) -> None:
        """Raise all findings together.

        Raises:
            FindingsError: There are findings.
        """
        if self.findings:
            raise FindingsError(self.findings)
