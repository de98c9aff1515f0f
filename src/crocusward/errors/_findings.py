"""Findings: faults in a document, collected and reported together."""

import difflib
from collections.abc import Iterable

from ._errors import CrocusError


class SourceLocation:
    """Where a finding is.

    Attributes:
        source: File name or document name.
        path: Dotted key path inside the document.
        line: Line number from 1, or 0 if unknown.
    """

    __slots__ = ("source", "path", "line")

    def __init__(self, source: str, path: str, line: int = 0) -> None:
        self.source = source
        self.path = path
        self.line = line

    def __str__(self) -> str:
        where = f"{self.source}:{self.line}" if self.line else self.source
        return f"{where}: {self.path}" if self.path else where


class Finding:
    """One fault at one place.

    Attributes:
        place: Where the fault is.
        code: Stable short name of the kind of fault.
        message: What is wrong and what was expected.
    """

    __slots__ = ("location", "code", "message")

    def __init__(self, location: SourceLocation, code: str, message: str) -> None:
        self.location = location
        self.code = code
        self.message = message

    def __str__(self) -> str:
        return f"{self.location}: {self.message} [{self.code}]"


class FindingsError(CrocusError):
    """A document has faults.

    Attributes:
        findings: All faults that were found, in document order.
    """

    code = "findings"

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = list(findings)
        super().__init__("\n".join(str(item) for item in self.findings))


def nearest_name(name: str, known: Iterable[str]) -> str | None:
    """Return the known name that is most like ``name``, or None."""
    matches = difflib.get_close_matches(name, list(known), n=1)
    return matches[0] if matches else None
