"""When a request that waits here asks another region."""

import math

from ._selection import SelectionRequest
from ._selector import REMOTE_REGION_OVERHEAD_S, BackendSelector

MAX_REMOTE_GROUPS = 2  # groups of other regions that one request asks


class RemoteRegionFallback:
    """Follows whether a waiting request should ask another region.

    Answers loads above the capacity of one region beside room in another: the request
    waits here as long as it can and still meet its objective there.

    Args:
        placer: Knows which requests may leave the region.
        place: The request.

    Attributes:
        asked: Groups that were asked.
    """

    __slots__ = ("asked_groups", "_placer", "_place", "_has_ended")

    def __init__(self, placer: BackendSelector, place: SelectionRequest) -> None:
        self.asked_groups: set[str] = set()
        self._placer = placer
        self._place = place
        self._has_ended = False

    def end(self) -> None:
        """Ask no more."""
        self._has_ended = True

    def time_until_due_s(self, now_s: float) -> float:
        """Return how long the request may wait before it asks; infinite if never."""
        if self._has_ended or len(self.asked_groups) >= MAX_REMOTE_GROUPS:
            return math.inf
        slack_s = self._placer.remote_region_slack_s(self._place, now_s)
        # Much later an answer from there is late, too.
        return (
            math.inf
            if slack_s is None or slack_s < -REMOTE_REGION_OVERHEAD_S
            else slack_s
        )

    def is_due(self, now_s: float) -> bool:
        """Return whether the request should ask now."""
        return self.time_until_due_s(now_s) <= 0.0
