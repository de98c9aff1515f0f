"""Probes of backend servers, within a fleet-wide budget."""

import random
from collections.abc import Sequence

from ..invariants import InvariantName, Invariants
from ..limits import HostCounter
from ..timing import TimerService
from ._options import PROBE_SHARE
from ._view import BackendView

PROBE_COST_S = 0.006  # slot time of one probe
PROBE_AGE_S = 1.0  # a younger report makes a probe useless
PROBE_SAMPLE = 32  # servers compared; bounds the cost with hundreds of servers
PROBE_BURST = 1.0
ASSERT_SLACK = 2.0  # probes; the assertion counts in whole ones


class ProbeScheduler:
    """Chooses the server to probe next.

    The budget of the fleet is divided by the number of hosts. It is also bounded by
    the budget of the home region divided by the hosts of that region, because a
    host probes only servers of its own region and regions may differ in size.

    Args:
        timer: Source of time.
        rng: Source of randomness.
        share: Number of entry hosts.
        region_share: Number of entry hosts of this region.
        invariants: Where the budget is asserted.
        flood: Ignores the budget, to test the assertion.
    """

    __slots__ = (
        "_timer",
        "_rng",
        "_share",
        "_region_share",
        "_invariants",
        "_probe_share",
        "_flood",
        "_level",
        "_filled_s",
        "_slots",
        "_region_slots",
        "_asserted",
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
        probe_share: float = PROBE_SHARE,
        flood: bool = False,
    ) -> None:
        self._timer = timer
        self._rng = rng
        self._share = share
        self._region_share = region_share
        self._invariants = invariants
        self._probe_share = probe_share
        self._flood = flood
        self._level = 0.0
        self._filled_s = timer.now()
        self._slots = 0
        self._region_slots = 0
        self._asserted = ASSERT_SLACK
        self._probed_s: dict[str, float] = {}

    def set_slots(self, slots: int, region_slots: int) -> None:
        """Take over the number of slots of the fleet and of this region."""
        self._slots = slots
        self._region_slots = region_slots

    def rate(self) -> float:
        """Return this host's budget, in probes per second."""
        now_s = self._timer.now()
        fleet = self._slots / self._share.divisor(now_s)
        region = self._region_slots / self._region_share.divisor(now_s)
        return min(fleet, region) * self._probe_share / PROBE_COST_S

    def next(self, views: Sequence[BackendView]) -> BackendView | None:
        """Return the server whose report is oldest, of a sample if many, or None.

        Args:
            views: Servers of this region.
        """
        now_s = self._timer.now()
        self._fill(now_s)
        if self._level < 1.0 and not self._flood:
            return None
        if len(views) > PROBE_SAMPLE:
            views = self._rng.sample(views, PROBE_SAMPLE)
        oldest = min(views, key=self._known_s, default=None)
        if oldest is None:
            return None
        if now_s - self._known_s(oldest) < PROBE_AGE_S and not self._flood:
            return None
        self._level -= 1.0
        self._asserted -= 1.0
        self._probed_s[oldest.backend.id] = now_s
        self._invariants.check(
            InvariantName.PROBE_BUDGET, self._asserted >= 0.0, oldest.backend.id
        )
        return oldest

    def _known_s(self, view: BackendView) -> float:
        return max(view.report_s, self._probed_s.get(view.backend.id, -1e9))

    def _fill(self, now_s: float) -> None:
        accrued = (now_s - self._filled_s) * self.rate()
        self._filled_s = now_s
        self._level = min(PROBE_BURST, self._level + accrued)
        self._asserted = min(PROBE_BURST + ASSERT_SLACK, self._asserted + accrued)
