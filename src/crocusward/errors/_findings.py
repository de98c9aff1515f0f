"""Validation findings of a document, collected and reported together."""

import difflib
from collections.abc import Iterable

from ._errors import CrocusError


class SourceLocation:
    """Position in a source document.

    Attributes:
        source: File name or document name.
        path: Dotted key path inside the document.
        line: Line number, starting at 1, or 0 if unknown.
    """

    __slots__ = ("source", "path", "line")

    def __init__(self, source: str, path: str, line: int = 0) -> None:
        self.source = source
        self.path = path
        self.line = line

    def __str__(self) -> str:
        position = f"{self.source}:{self.line}" if self.line else self.source
        return f"{position}: {self.path}" if self.path else position


class Finding:
    """One validation fault.

    Attributes:
        location: Position of the fault.
        code: Stable code of the kind of fault.
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
    """A document is invalid.

    Attributes:
        findings: All faults found, in document order.
    """

    code = "findings"

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = list(findings)
        super().__init__("\n".join(str(item) for item in self.findings))


def nearest_name(name: str, known: Iterable[str]) -> str | None:
    """Return the known name closest in spelling to ``name``, or None."""
    matches = difflib.get_close_matches(name, list(known), n=1)
    return matches[0] if matches else None
