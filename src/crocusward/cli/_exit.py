"""Exit codes and the error that carries them."""

from collections.abc import Sequence
from enum import IntEnum

from ..errors import CrocusError, Finding, FindingsError


class ExitCode(IntEnum):
    """Exit codes by kind of failure; documented for scripts."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    DENIED = 4
    UNAVAILABLE = 5
    UNCERTAIN = 6
    NOT_FOUND = 7
    NOT_IN_FORCE = 8
    INTERNAL = 9
    INTERRUPTED = 130


EXIT_BY_CODE = {
    "findings": ExitCode.FINDINGS,
    "bad_request": ExitCode.FINDINGS,
    "body_too_large": ExitCode.FINDINGS,
    "conflict": ExitCode.CONFLICT,
    "unauthorised": ExitCode.DENIED,
    "forbidden": ExitCode.DENIED,
    "store_unavailable": ExitCode.UNAVAILABLE,
    "region_unreachable": ExitCode.UNAVAILABLE,
    "behind": ExitCode.UNAVAILABLE,
    "not_sent": ExitCode.UNAVAILABLE,
    "not_accepted": ExitCode.UNAVAILABLE,
    "store_uncertain": ExitCode.UNCERTAIN,
    "exchange_lost": ExitCode.UNCERTAIN,
    "not_found": ExitCode.NOT_FOUND,
    "not_in_force": ExitCode.NOT_IN_FORCE,
    "usage": ExitCode.USAGE,
    "unknown_name": ExitCode.USAGE,
}


class ToolError(CrocusError):
    """A command failed.

    Attributes:
        advice: What the operator can do, or "".
        findings: Findings of the document, if that is the reason.
    """

    code = "internal"

    def __init__(
        self,
        message: str,
        *,
        code: str,
        advice: str = "",
        findings: Sequence[Finding] = (),
    ) -> None:
        super().__init__(message, code=code)
        self.advice = advice
        self.findings = list(findings)


def exit_code_of(exc: CrocusError) -> ExitCode:
    """Return the exit code for an error."""
    if isinstance(exc, FindingsError):
        return ExitCode.FINDINGS
    return EXIT_BY_CODE.get(exc.code, ExitCode.INTERNAL)
