"""The budget of retries."""

RETRY_SHARE = 0.1  # of first attempts
RETRY_RESERVE = 10.0  # retries that may be saved up
DEEP_RETRY_COST = 2.0  # calls below depth 0 get half the share


class RetryBudget:
    """Bounds retries to a share of this host's first attempts.

    Over any stretch of time the retries are at most ``share`` times the first
    attempts plus ``RETRY_RESERVE``. A retry of a call at depth above 0 costs twice
    as much, as each level of calls multiplies the retries of the one below.

    Args:
        share: Retries per first attempt.
    """

    __slots__ = ("_share", "_level")

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._level = 1.0

    def record_first_attempt(self) -> None:
        """Record a first attempt."""
        self._level = min(RETRY_RESERVE, self._level + self._share)

    def try_spend(self, depth: int) -> bool:
        """Spend one retry if the budget has room.

        Args:
            depth: How many calls are above the one to retry.
        """
        cost = 1.0 if depth == 0 else DEEP_RETRY_COST
        if self._level < cost:
            return False
        self._level -= cost
        return True
