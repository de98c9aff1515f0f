"""Reads typed values from the platform's documents and collects findings."""

import ipaddress
import re
import reprlib
from collections.abc import Mapping
from typing import Any

from ..errors import Finding, FindingsError, SourceLocation

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_INTEGER = 2**53  # up to here a float holds each integer
MAX_NUMBER = 1e9
MAX_DURATION_S = 86_400.0
MAX_DURATION_CHARS = 24
_DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_MS_PER_S = 1000.0


def parse_duration(text: object) -> float:
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds.

    Raises:
        ValueError: The value is not a duration of at most ``MAX_DURATION_S``.
    """
    match = None
    if isinstance(text, str) and len(text) <= MAX_DURATION_CHARS:
        match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{show(text)} is not a duration with the unit ms or s")
    value_s = float(match[1]) / (_MS_PER_S if match[2] == "ms" else 1.0)
    if value_s > MAX_DURATION_S:
        raise ValueError(f"{show(text)} is longer than {MAX_DURATION_S:g} s")
    return value_s


def show(value: object) -> str:
    """Return a value for a finding, shortened; it may be large or deeply nested."""
    return reprlib.repr(value)


def parse_ip_address(text: object) -> str:
    """Return the IP address of one host.

    Raises:
        ValueError: The value is not such an address.
    """
    if not isinstance(text, str):
        raise ValueError(f"{show(text)} is not an IP address")
    address = ipaddress.ip_address(text)
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f"{show(text)} is not the address of a host")
    return text


def parse_address(text: object) -> tuple[str, int]:
    """Return IP address and port of an address such as ``10.1.0.10:8161``.

    Raises:
        ValueError: The value is not an address with a port.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{show(text)} is not an address with a port")
    return parse_ip_address(host), int(port)


class FieldReader:
    """Reads typed members of a mapping and collects a finding for each invalid one.

    The read of an invalid member returns a placeholder of the right type, so that
    one pass finds all faults.

    Args:
        source: Name of the document, for findings.
        data: The decoded mapping.
        path: Dotted path of the mapping inside the document.
        findings: List to which findings are added; a new one if None.

    Attributes:
        findings: Findings so far, shared with the readers of nested mappings.
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
            self._add_finding("", "must be a JSON object")
            data = {}
        self._data = data

    def _add_finding(self, name: str, message: str) -> None:
        path = ".".join(part for part in (self._path, name) if part)
        self.findings.append(
            Finding(SourceLocation(self._source, path), "platform_document", message)
        )

    def has_value(self, name: str) -> bool:
        """Return whether a member is present and not null."""
        return self._data.get(name) is not None

    def get_value(self, name: str) -> Any:
        """Return a member unchecked, or None if it is missing."""
        return self._data.get(name)

    def get_object(self, name: str) -> "FieldReader":
        """Return a reader of a nested mapping."""
        path = ".".join(part for part in (self._path, name) if part)
        return FieldReader(self._source, self._data.get(name), path, self.findings)

    def items(self) -> list[tuple[str, Any]]:
        """Return names and unchecked values of all members."""
        return list(self._data.items())

    def get_text(self, name: str, default: str | None = None) -> str:
        """Return a non-empty string of printable characters."""
        value = self._data.get(name)
        if value is None and default is not None:
            return default
        if not isinstance(value, str) or not value or not value.isprintable():
            self._add_finding(name, f"{show(value)} is not a printable string")
            return ""
        return value

    def get_integer(
        self, name: str, *, minimum: int = 0, default: int | None = None
    ) -> int:
        """Return an integer from ``minimum`` to ``MAX_INTEGER``."""
        value = self._data.get(name)
        if value is None and default is not None:
            return default
        if type(value) is not int or not minimum <= value <= MAX_INTEGER:
            self._add_finding(
                name, f"{show(value)} is not an integer from {minimum} to {MAX_INTEGER}"
            )
            return minimum
        return value

    def get_number(self, name: str, *, default: float | None = None) -> float:
        """Return a number from 0 to ``MAX_NUMBER``."""
        value = self._data.get(name)
        if value is None and default is not None:
            return default
        # False also for values that are not numbers.
        if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
            self._add_finding(name, f"{show(value)} is not a number >= 0")
            return 0.0
        return float(value)

    def get_duration(self, name: str, default_s: float | None = None) -> float:
        """Return a duration in seconds."""
        value = self._data.get(name)
        if value is None and default_s is not None:
            return default_s
        try:
            return parse_duration(value)
        except ValueError as exc:
            self._add_finding(name, str(exc))
            return 0.0

    def get_address(self, name: str) -> tuple[str, int]:
        """Return an IP address and a port."""
        try:
            return parse_address(self._data.get(name))
        except ValueError as exc:
            self._add_finding(name, str(exc))
            return "", 0

    def add_finding(self, name: str, message: str) -> None:
        """Add a finding for a check that the calling code made."""
        self._add_finding(name, message)

    def raise_findings(self) -> None:
        """Raise all findings so far in one error.

        Raises:
            FindingsError: There are findings.
        """
        if self.findings:
            raise FindingsError(self.findings)
