"""When a late idempotent request is sent to a second backend server."""

from ._selection import Selection, SelectionRequest

HEDGE_DELAY_FACTOR = 2.0  # times the expected time after which an answer counts as late
HEDGE_SERVICE_TIME_FACTOR = (
    1.2  # times the work that a second copy needs to meet the objective
)
MIN_HEDGE_DELAY_S = 0.03
RECHECK_S = 0.06  # until another look for an idle server
# Share of idle servers from which a second copy takes no room of other requests; more
# is asked for a copy that can only be late.
MIN_IDLE_SHARE = 0.2
MIN_IDLE_SHARE_WHEN_LATE = 0.4
RESERVED_RETRY_COUNT = 2.0  # retries of the budget that are kept for failures


def delay_s(place: SelectionRequest, expected_s: float, now_s: float) -> float:
    """Return how long to wait for an answer before a second copy is looked for.

    Answers loads in which single servers are silent or slow beside idle ones.

    Args:
        place: The request.
        expected_s: Expected time of the first copy.
        now_s: When it was sent.
    """
    in_time_s = (
        place.objective_s - HEDGE_SERVICE_TIME_FACTOR * place.service_time_s - now_s
    )
    late_s = HEDGE_DELAY_FACTOR * expected_s
    return max(MIN_HEDGE_DELAY_S, min(late_s, max(in_time_s, expected_s)))


def has_idle_capacity(choice: Selection, place: SelectionRequest, now_s: float) -> bool:
    """Return whether enough servers are idle for a second copy."""
    is_in_time = now_s + place.service_time_s <= place.objective_s
    return choice.idle_share >= (
        MIN_IDLE_SHARE if is_in_time else MIN_IDLE_SHARE_WHEN_LATE
    )
