"""Typed, validating access to the tables of a document."""

import math
import re
from collections.abc import Collection, Iterable, Mapping

from ..errors import Finding, FindingsError, SourceLocation, nearest_name
from ._lines import LineIndex

MAX_INTEGER = 2**53  # up to here a float holds each integer
MAX_SHOWN_VALUE_CHARS = 60  # longest excerpt of an invalid value in a finding


class FindingList:
    """Findings of one document, in order of detection.

    Args:
        source: File name or document name.
        lines: Maps key paths to lines; None if the lines are unknown.
    """

    __slots__ = ("source", "items", "_lines")

    def __init__(self, source: str, lines: LineIndex | None = None) -> None:
        self.source = source
        self.items: list[Finding] = []
        self._lines = lines or LineIndex()

    def add(self, path: str, code: str, message: str) -> None:
        """Add a finding at a key path."""
        location = SourceLocation(self.source, path, self._lines.line_of(path))
        self.items.append(Finding(location, code, message))

    def drop(self, codes: Collection[str]) -> None:
        """Remove the findings with these codes."""
        self.items = [item for item in self.items if item.code not in codes]

    def raise_if_any(self) -> None:
        """Raise all findings, ordered by line, if there are any.

        Raises:
            FindingsError: There is at least one finding.
        """
        if self.items:
            raise FindingsError(sorted(self.items, key=lambda item: item.location.line))


class Section:
    """A table of a document.

    Every accessor returns a value of its type even for an invalid field, so that one
    pass collects all findings; the caller raises them at the end. A field without a
    default is required.

    Args:
        table: Parsed table.
        findings: Receives the findings.
        path: Dotted key path of the table.
    """

    __slots__ = ("path", "findings", "_table", "_known_keys")

    def __init__(
        self, table: Mapping[str, object], findings: FindingList, path: str = ""
    ) -> None:
        self.path = path
        self.findings = findings
        self._table = table
        self._known_keys: list[str] = []

    def path_of(self, key: str) -> str:
        """Return the dotted key path of a field."""
        return f"{self.path}.{key}" if self.path else key

    def add(self, key: str, code: str, message: str) -> None:
        """Add a finding about a field."""
        self.findings.add(self.path_of(key), code, message)

    def has(self, key: str) -> bool:
        """Return True if the key is present."""
        self._known_keys.append(key)
        return key in self._table

    def text(
        self,
        key: str,
        default: str | None = None,
        *,
        pattern: str = "",
        expected: str = "",
        choices: Iterable[str] = (),
        hidden: bool = False,
    ) -> str:
        """Return a string.

        Args:
            key: Name of the field.
            default: Value if the field is absent; None makes it required.
            pattern: Regular expression that the whole value must match.
            expected: Description of the pattern for the finding.
            choices: Allowed values; empty allows any value.
            hidden: True if findings must not contain the value, such as a secret.
        """
        value = self._take(key, default)
        if value is None:
            return ""
        if not isinstance(value, str):
            self._add_wrong_type(key, "a string", value, hidden)
            return default or ""
        known = list(choices)
        if known and value not in known:
            near = nearest_name(value, known)
            hint = f"; did you mean {near!r}?" if near else ""
            self.add(key, "value", f"{value!r} is not one of {', '.join(known)}{hint}")
        elif pattern and not re.fullmatch(pattern, value):
            shown = "the value" if hidden else _abbreviate(value)
            self.add(key, "value", f"{shown} is not {expected or 'well formed'}")
        return value

    def integer(
        self,
        key: str,
        default: int | None = None,
        *,
        low: int,
        high: int,
        unit: str = "",
    ) -> int:
        """Return an integer from ``low`` to ``high``."""
        value = self._take(key, default)
        if value is None:
            return low
        if isinstance(value, bool) or not isinstance(value, int):
            self._add_wrong_type(key, "an integer", value)
            return low
        self._check_range(key, value, low, high, unit)
        return value

    def number(
        self,
        key: str,
        default: float | None = None,
        *,
        low: float,
        high: float,
        unit: str = "",
    ) -> float:
        """Return a finite number from ``low`` to ``high``."""
        value = self._take(key, default)
        if value is None:
            return low
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._add_wrong_type(key, "a number", value)
            return low
        if isinstance(value, int) and abs(value) > MAX_INTEGER:
            self.add(key, "range", "the integer is too large")
            return low
        if not math.isfinite(value):
            self.add(key, "range", f"{value} is not a finite number")
            return low
        self._check_range(key, value, low, high, unit)
        return float(value)

    def boolean(self, key: str, default: bool | None = None) -> bool:
        """Return a boolean."""
        value = self._take(key, default)
        if isinstance(value, bool):
            return value
        if value is not None:
            self._add_wrong_type(key, "true or false", value)
        return bool(default)

    def texts(
        self, key: str, default: tuple[str, ...] | None = None
    ) -> tuple[str, ...]:
        """Return a list of strings; duplicates and empty items are findings."""
        value = self._take(key, default)
        if value is None:
            return ()
        if not isinstance(value, list | tuple):
            self._add_wrong_type(key, "a list of strings", value)
            return ()
        valid = [item for item in value if isinstance(item, str) and item]
        if len(valid) != len(value):
            self.add(key, "type", "every item must be a non-empty string")
        if len(set(valid)) != len(valid):
            self.add(key, "value", "an item is listed twice")
        return tuple(valid)

    def section(self, key: str) -> "Section":
        """Return a subtable; an absent one is empty."""
        value = self._take(key, {})
        if not isinstance(value, Mapping):
            self._add_wrong_type(key, "a table", value)
            value = {}
        return Section(value, self.findings, self.path_of(key))

    def sections(self, key: str) -> list["Section"]:
        """Return the tables of an array; an absent array is empty."""
        value = self._take(key, [])
        if not isinstance(value, list):
            self._add_wrong_type(key, "a list of tables", value)
            return []
        found = []
        for index, item in enumerate(value):
            path = f"{self.path_of(key)}[{index}]"
            if isinstance(item, Mapping):
                found.append(Section(item, self.findings, path))
            else:
                self.findings.add(path, "type", "must be a table")
        return found

    def names(self) -> list[str]:
        """Return all keys and accept them, for tables keyed by name."""
        self._known_keys.extend(self._table)
        return list(self._table)

    def finish(self) -> None:
        """Add a finding for each key that no accessor has read."""
        for key in self._table:
            if key in self._known_keys:
                continue
            near = nearest_name(key, self._known_keys)
            hint = f"; did you mean {near!r}?" if near else ""
            self.add(key, "unknown_key", f"unknown key {key!r}{hint}")

    def _take(self, key: str, default: object) -> object:
        self._known_keys.append(key)
        if key in self._table:
            return self._table[key]
        if default is None:
            self.add(key, "missing", f"required key {key!r} is missing")
        return default

    def _add_wrong_type(
        self, key: str, expected: str, value: object, hidden: bool = False
    ) -> None:
        shown = "" if hidden else f", not {_abbreviate(value)}"
        self.add(key, "type", f"must be {expected}{shown}")

    def _check_range(
        self, key: str, value: float, low: float, high: float, unit: str
    ) -> None:
        if not low <= value <= high:
            suffix = f" {unit}" if unit else ""
            message = f"{value} is outside {low:g} to {high:g}{suffix}"
            self.add(key, "range", message)


def _abbreviate(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN_VALUE_CHARS:
        return text
    return text[:MAX_SHOWN_VALUE_CHARS] + "..."
