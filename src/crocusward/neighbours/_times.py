"""Timing of store reads and of the takeover from a failed reader."""

from ..model import Record

# Shares of the time within which a change must be in force. A broken connection is
# detected after the long poll and its margin, a stopped reader after the takeover age.
# Both leave time for one read and for passing the rows on.
LONG_POLL_SHARE = 0.5
ANSWER_MARGIN_SHARE = 0.2
BATCH_PAUSE_SHARE = 0.1  # changes come in bursts, and every store call costs money
# Exceeds the long poll by more than the report period, so that a working reader is not
# replaced.
TAKEOVER_AGE_SHARE = 0.68


class ReadTimes(Record):
    """Timing of store reads, in seconds.

    Args:
        bound_s: Time within which a change in the store must be in force.

    Attributes:
        long_poll_s: How long the store holds a read while there is no change.
        answer_margin_s: Time allowed for the answer after the long poll.
        batch_pause_s: Pause after a change, to read several changes with one call.
        takeover_age_s: Age of a reader's last answer at which it is replaced.
    """

    __slots__ = ("long_poll_s", "answer_margin_s", "batch_pause_s", "takeover_age_s")

    def __init__(self, bound_s: float) -> None:
        self.set_bound(bound_s)

    def set_bound(self, bound_s: float) -> None:
        """Set the time within which a change must be in force."""
        self.long_poll_s = LONG_POLL_SHARE * bound_s
        self.answer_margin_s = ANSWER_MARGIN_SHARE * bound_s
        self.batch_pause_s = BATCH_PAUSE_SHARE * bound_s
        self.takeover_age_s = TAKEOVER_AGE_SHARE * bound_s
