"""Rules for hedged requests: late idempotent requests sent to a second server."""

from ._selection import Selection, SelectionRequest

HEDGE_DELAY_FACTOR = 2.0  # times the expected time, after which an answer is late
HEDGE_SERVICE_TIME_FACTOR = 1.2  # time that a hedged request needs for the objective
MIN_HEDGE_DELAY_S = 0.03
RECHECK_S = 0.06  # between searches for an idle server
# Share of idle servers from which a hedged request takes no capacity of others; more
# is required if it can no longer meet the objective.
MIN_IDLE_SHARE = 0.2
MIN_IDLE_SHARE_WHEN_LATE = 0.4
RESERVED_RETRY_COUNT = 2.0  # part of the retry budget kept for failures


def delay_s(req: SelectionRequest, expected_s: float, now_s: float) -> float:
    """Return how long to wait for an answer before hedging a request.

    Hedging helps when single servers are silent or slow while others are idle.

    Args:
        req: The request.
        expected_s: Expected time of the first attempt.
        now_s: Monotonic time when the first attempt was sent.
    """
    in_time_s = req.objective_s - HEDGE_SERVICE_TIME_FACTOR * req.service_time_s - now_s
    late_s = HEDGE_DELAY_FACTOR * expected_s
    return max(MIN_HEDGE_DELAY_S, min(late_s, max(in_time_s, expected_s)))


def has_idle_capacity(
    selection: Selection, req: SelectionRequest, now_s: float
) -> bool:
    """Return whether enough servers are idle for a hedged request."""
    is_in_time = now_s + req.service_time_s <= req.objective_s
    return selection.idle_share >= (
        MIN_IDLE_SHARE if is_in_time else MIN_IDLE_SHARE_WHEN_LATE
    )
