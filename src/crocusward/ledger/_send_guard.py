"""Guard checked immediately before a non-idempotent request is written."""

from ..errors import Attempt, Outcome, Refusal, RefusalCode
from ..invariants import InvariantName, Invariants


class SendGuard:
    """Allows one send, and another one only if the last certainly did not run.

    One guard covers one arrival of a request. The dispatcher calls ``mark_sent``
    with no await between the call and the write of the first byte.

    Args:
        invariants: Counts violations.
        permit_repeat: Allows a second send after counting the violation; only
            for injected faults.

    Attributes:
        sent: True while a send may have reached a backend server.
        sends: Number of calls to ``mark_sent`` that were allowed.
        closed: True once no caller waits for this attempt.
    """

    __slots__ = ("sent", "send_count", "is_abandoned", "_invariants", "_allow_resend")

    def __init__(self, invariants: Invariants, *, allow_resend: bool = False) -> None:
        self.sent = False
        self.send_count = 0
        self.is_abandoned = False
        self._invariants = invariants
        self._allow_resend = allow_resend

    def mark_sent(self) -> None:
        """Record that the request is about to be written.

        Raises:
            Refusal: Code ``key_in_doubt``: an earlier send may have run, or the
                attempt was abandoned.
        """
        is_first_send = self._invariants.check(
            InvariantName.AT_MOST_ONCE, not self.sent, "second send of one request"
        )
        is_allowed = is_first_send or self._allow_resend
        if self.is_abandoned or not is_allowed:
            raise Refusal(
                RefusalCode.KEY_IN_DOUBT,
                "an earlier send of this request may have run",
                outcome=Outcome.UNKNOWN,
                attempt=Attempt.NOT_SENT,
            )
        self.sent = True
        self.send_count += 1

    def mark_not_sent(self) -> None:
        """Record that the last send certainly did not run."""
        self.sent = False
