"""How often the store is read, and when a reader is replaced."""

from ..model import Record

# Shares of the time in which a change must be in force. A cut connection is noticed
# after the wait and the margin; a reader that stopped is replaced after the age. Both
# leave time for one read and for handing the rows on.
WAIT_SHARE = 0.5
MARGIN_SHARE = 0.2
GATHER_SHARE = 0.1  # of the bound; changes come in series, and each call is priced
# Above the share of the wait by more than the period of reports, so that a reader that
# works is not taken for one that stopped.
STALE_SHARE = 0.68


class ReadTimes(Record):
    """Times of the reads of the store, in seconds.

    Args:
        bound_s: Time in which a change in the store must be in force.

    Attributes:
        wait_s: How long the store waits for a change.
        margin_s: For the answer beyond the wait.
        gather_s: Pause after a change, in which more may come.
        stale_s: Age of its last answer from which a reader is replaced.
    """

    __slots__ = ("wait_s", "margin_s", "gather_s", "stale_s")

    def __init__(self, bound_s: float) -> None:
        self.wait_s = WAIT_SHARE * bound_s
        self.margin_s = MARGIN_SHARE * bound_s
        self.gather_s = GATHER_SHARE * bound_s
        self.stale_s = STALE_SHARE * bound_s
