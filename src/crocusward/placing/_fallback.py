"""Fallback of waiting requests to a remote region."""

import math

from ._selection import SelectionRequest
from ._selector import REMOTE_REGION_OVERHEAD_S, BackendSelector

MAX_REMOTE_GROUPS = 2  # asked for one request


class RemoteRegionFallback:
    """Decides when a waiting request should ask a remote region for a slot.

    Serves load above the capacity of one region while another has capacity left: the
    request waits here for as long as it could still meet its objective there.

    Args:
        selector: Decides which requests may leave the region.
        req: The waiting request.

    Attributes:
        asked_groups: Groups that were asked for this request.
    """

    __slots__ = ("asked_groups", "_selector", "_req", "_has_ended")

    def __init__(self, selector: BackendSelector, req: SelectionRequest) -> None:
        self.asked_groups: set[str] = set()
        self._selector = selector
        self._req = req
        self._has_ended = False

    def end(self) -> None:
        """Make no further remote requests due."""
        self._has_ended = True

    def time_until_due_s(self, now_s: float) -> float:
        """Return the wait until a remote region should be asked; infinite if never."""
        if self._has_ended or len(self.asked_groups) >= MAX_REMOTE_GROUPS:
            return math.inf
        slack_s = self._selector.remote_region_slack_s(self._req, now_s)
        # Much later, an answer from there would be late as well.
        return (
            math.inf
            if slack_s is None or slack_s < -REMOTE_REGION_OVERHEAD_S
            else slack_s
        )

    def is_due(self, now_s: float) -> bool:
        """Return whether a remote region should be asked now."""
        return self.time_until_due_s(now_s) <= 0.0
