"""What an attempt shows about whether its request has run."""

from enum import Enum

# Statuses with which a server refuses a request.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})


class Evidence(Enum):
    """What the end of an attempt rests on."""

    NOT_WRITTEN = "not_written"  # no byte of the request was written
    OWN_ANSWER = "own_answer"  # names the request
    OWN_REFUSAL = "own_refusal"  # names the request and says that it has not run
    UNMARKED_REFUSAL = "unmarked_refusal"  # does not say that it has not run
    UNNAMED_ANSWER = "unnamed_answer"  # names no request
    UNNAMED_REFUSAL = "unnamed_refusal"  # says "not run" and names no request
    NO_ANSWER = "no_answer"  # written, and no complete answer arrived

    @property
    def proves_not_run(self) -> bool:
        """Whether the request has not run there and never will."""
        return self in (Evidence.NOT_WRITTEN, Evidence.OWN_REFUSAL)


def classify_answer(status: int, *, is_own: bool, is_marked: bool) -> Evidence:
    """Return what an answer shows about whether its request has run.

    Args:
        status: HTTP status.
        is_own: Whether the answer names the request.
        is_marked: Whether it says that the request has not run.
    """
    if is_marked and status >= 400:
        return Evidence.OWN_REFUSAL if is_own else Evidence.UNNAMED_REFUSAL
    if status in REFUSAL_STATUSES:
        return Evidence.UNMARKED_REFUSAL
    return Evidence.OWN_ANSWER if is_own else Evidence.UNNAMED_ANSWER
