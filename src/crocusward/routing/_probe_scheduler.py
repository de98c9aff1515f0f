"""Scheduling of backend probes within a fleet-wide budget."""

import random
from collections.abc import Sequence

from ..invariants import InvariantName, Invariants
from ..limits import HostCounter
from ..timing import TimerService
from ._backend_view import BackendView
from ._options import DEFAULT_PROBE_SHARE

PROBE_SLOT_TIME_S = 0.006
MIN_REPORT_AGE_S = 1.0  # a probe tells nothing new after a younger report
PROBE_SAMPLE_COUNT = 32  # servers compared; bounds the cost for hundreds of servers
MAX_PROBE_BURST = 1.0
ASSERT_SLACK_COUNT = 2.0  # the assertion counts whole probes


class ProbeScheduler:
    """Selects the next server to probe.

    The budget of the fleet is divided by the number of hosts. It is also bounded by
    the budget of the local region divided by the hosts of that region, because a
    host probes only servers of its own region and regions may differ in size.

    Args:
        timer: Source of time.
        rng: Source of randomness.
        share: Number of entry hosts.
        region_share: Number of entry hosts of this region.
        invariants: Receives the check of the budget.
        probe_share: Share of the slot time of the backend servers for probes.
        is_flooding: Whether to ignore the budget, to test the check.
    """

    __slots__ = (
        "_timer",
        "_rng",
        "_share",
        "_region_share",
        "_invariants",
        "_probe_share",
        "_is_flooding",
        "_level",
        "_refilled_s",
        "_slot_count",
        "_region_slot_count",
        "_asserted_level",
        "_probed_s",
    )

    def __init__(
        self,
        timer: TimerService,
        rng: random.Random,
        share: HostCounter,
        region_share: HostCounter,
        invariants: Invariants,
        *,
        probe_share: float = DEFAULT_PROBE_SHARE,
        is_flooding: bool = False,
    ) -> None:
        self._timer = timer
        self._rng = rng
        self._share = share
        self._region_share = region_share
        self._invariants = invariants
        self._probe_share = probe_share
        self._is_flooding = is_flooding
        self._level = 0.0
        self._refilled_s = timer.now()
        self._slot_count = 0
        self._region_slot_count = 0
        self._asserted_level = ASSERT_SLACK_COUNT
        self._probed_s: dict[str, float] = {}

    def set_slot_counts(self, slot_count: int, region_slot_count: int) -> None:
        """Set the number of slots of the fleet and of this region."""
        self._slot_count = slot_count
        self._region_slot_count = region_slot_count

    def get_rate_per_s(self) -> float:
        """Return this host's budget, in probes per second."""
        now_s = self._timer.now()
        fleet_rate = self._slot_count / self._share.divisor(now_s)
        region_rate = self._region_slot_count / self._region_share.divisor(now_s)
        return min(fleet_rate, region_rate) * self._probe_share / PROBE_SLOT_TIME_S

    def next_target(self, views: Sequence[BackendView]) -> BackendView | None:
        """Return the server with the oldest report, of a sample if many, or None.

        Args:
            views: Servers of this region.
        """
        now_s = self._timer.now()
        self._refill(now_s)
        if self._level < 1.0 and not self._is_flooding:
            return None
        if len(views) > PROBE_SAMPLE_COUNT:
            views = self._rng.sample(views, PROBE_SAMPLE_COUNT)
        oldest = min(views, key=self._get_last_known_s, default=None)
        if oldest is None:
            return None
        if (
            now_s - self._get_last_known_s(oldest) < MIN_REPORT_AGE_S
            and not self._is_flooding
        ):
            return None
        self._level -= 1.0
        self._asserted_level -= 1.0
        self._probed_s[oldest.backend.id] = now_s
        self._invariants.check(
            InvariantName.PROBE_BUDGET, self._asserted_level >= 0.0, oldest.backend.id
        )
        return oldest

    def _get_last_known_s(self, view: BackendView) -> float:
        return max(view.report_s, self._probed_s.get(view.backend.id, -1e9))

    def _refill(self, now_s: float) -> None:
        accrued = (now_s - self._refilled_s) * self.get_rate_per_s()
        self._refilled_s = now_s
        self._level = min(MAX_PROBE_BURST, self._level + accrued)
        self._asserted_level = min(
            MAX_PROBE_BURST + ASSERT_SLACK_COUNT, self._asserted_level + accrued
        )
