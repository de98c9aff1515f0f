"""Retry budget."""

RETRY_SHARE = 0.1  # of first attempts
MAX_SAVED_RETRIES = 10.0
NESTED_RETRY_COST = 2.0  # halves the share of calls at depth above 0


class RetryBudget:
    """Bounds retries to a share of this host's first attempts.

    Over any period the retries are at most ``share`` times the first
    attempts plus ``MAX_SAVED_RETRIES``. A retry of a call at depth above 0 costs twice
    as much, because each level of calls multiplies the retries of the next one.

    Args:
        share: Retries per first attempt.
    """

    __slots__ = ("_share", "_tokens")

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._tokens = 1.0

    def record_first_attempt(self) -> None:
        """Record a first attempt."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + self._share)

    def try_spend(self, depth: int) -> bool:
        """Spend one retry if the budget allows it, and return whether it did.

        Args:
            depth: Number of calls above the one to retry.
        """
        cost = 1.0 if depth == 0 else NESTED_RETRY_COST
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True
