"""Guard that a non-idempotent request passes immediately before it is written."""

from ..errors import Attempt, Outcome, Refusal, RefusalCode
from ..invariants import InvariantName, Invariants


class SendGuard:
    """Allows one send at a time, and a further one only after a certain non-send.

    One guard covers one receipt of a request. The dispatcher calls ``mark_sent``
    with no await between the call and the write of the first byte.

    Args:
        invariants: Where violations are counted.
        permit_repeat: Lets a second send pass after counting it. Only for
            injected faults.

    Attributes:
        sent: True while a send may have reached a backend server.
        sends: Number of calls to ``mark_sent`` that were allowed.
        closed: True once the guard's owner no longer waits for this attempt.
    """

    __slots__ = ("sent", "sends", "closed", "_invariants", "_permit_repeat")

    def __init__(self, invariants: Invariants, *, permit_repeat: bool = False) -> None:
        self.sent = False
        self.sends = 0
        self.closed = False
        self._invariants = invariants
        self._permit_repeat = permit_repeat

    def mark_sent(self) -> None:
        """Record that the next action writes the request.

        Raises:
            Refusal: Code ``key_in_doubt``: an earlier send may have run, or the
                attempt was abandoned.
        """
        unsent = self._invariants.check(
            InvariantName.AT_MOST_ONCE, not self.sent, "second send of one request"
        )
        allowed = unsent or self._permit_repeat
        if self.closed or not allowed:
            raise Refusal(
                RefusalCode.KEY_IN_DOUBT,
                "an earlier send of this request may have run",
                outcome=Outcome.UNKNOWN,
                attempt=Attempt.NOT_SENT,
            )
        self.sent = True
        self.sends += 1

    def mark_not_sent(self) -> None:
        """Record that the last send certainly did not run."""
        self.sent = False
