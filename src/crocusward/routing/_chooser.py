"""The choice between regions and, with the policy, between backend servers."""

import random

from ._link import LinkBudget
from ._policies import Policy
from ._types import RouteRequest
from ._view import CROSSING_S, BackendView, ServiceView

CROSSING_MARGIN_S = 0.03  # gain that justifies the volume that the link bills


class Chooser:
    """Chooses a backend server that has room now.

    The own region comes first. A request crosses the link only if the expected wait
    at home exceeds the crossing by a margin and the byte budget has room.

    Attributes:
        cross_allowed: Whether new work may cross regions.

    Args:
        region: Region of this host.
        policy: Chooses between the servers of one region.
        link: Byte budget for the link between regions.
        rng: Source of randomness.
        faults: Names of injected faults.
    """

    __slots__ = ("cross_allowed", "_region", "_policy", "_link", "_rng", "_faults")

    def __init__(
        self,
        region: str,
        policy: Policy,
        link: LinkBudget,
        rng: random.Random,
        faults: frozenset[str],
    ) -> None:
        self.cross_allowed = True
        self._region = region
        self._policy = policy
        self._link = link
        self._rng = rng
        self._faults = faults

    def choose(
        self, req: RouteRequest, service: ServiceView, ahead: int, now_s: float
    ) -> BackendView | None:
        """Return a server with room, or None.

        Args:
            req: The request.
            service: Its service.
            ahead: Number of requests that wait for the service here.
            now_s: Monotonic time, in seconds.
        """
        regions = req.regions
        if "leak-region" in self._faults:
            regions = frozenset()
        local = None
        home_s = float("inf")
        if not regions or self._region in regions:
            local = self._pick(service, self._region, req, now_s)
            home_s = self._home_wait_s(local, service, ahead, now_s)
            if local is not None and not local.is_warm:
                return local  # its slowness must not keep it from warming up
        if not self.cross_allowed:
            return local
        if home_s <= CROSSING_S + CROSSING_MARGIN_S:
            return local
        return self._choose_remote(req, service, regions, home_s, now_s) or local

    def _choose_remote(
        self,
        req: RouteRequest,
        service: ServiceView,
        regions: frozenset[str],
        home_s: float,
        now_s: float,
    ) -> BackendView | None:
        if not self._link.has(req.bytes):
            return None
        best = None
        best_s = home_s - CROSSING_S - CROSSING_MARGIN_S
        for region in service.open_by_region:
            if region == self._region or regions and region not in regions:
                continue
            view = self._pick(service, region, req, now_s)
            if view is not None and view.wait_s(now_s) < best_s:
                best = view
                best_s = view.wait_s(now_s)
        return best

    def _pick(
        self, service: ServiceView, region: str, req: RouteRequest, now_s: float
    ) -> BackendView | None:
        views = service.open_by_region.get(region)
        if not views:
            return None
        if service.warming and region == self._region:
            due = [view for view in service.warming if self._is_due(view, req)]
            if due:
                return min(due, key=_warming_order)
        if req.excluded:
            excluded = req.excluded
            views = [view for view in views if view.backend.id not in excluded]
            if not views:
                return None
        return self._policy.pick(views, now_s, self._rng)

    def _is_due(self, view: BackendView, req: RouteRequest) -> bool:
        """Return whether a cold server that this host warms has room.

        It takes precedence, or its slowness would keep work from it and no other
        host may warm it; the ramp bounds how many requests suffer for it.
        """
        return (
            not view.is_warm
            and view.is_open
            and view.in_flight < view.limit
            and view.backend.id not in req.excluded
        )

    def _home_wait_s(
        self,
        local: BackendView | None,
        service: ServiceView,
        ahead: int,
        now_s: float,
    ) -> float:
        if local is not None:
            return local.wait_s(now_s) if self._policy.queues else 0.0
        home = service.open_by_region.get(self._region)
        if not home:
            return float("inf")
        places = sum(view.limit for view in home)
        if places == 0:
            return float("inf")
        return service.mean_unqueued_time_s * (1.0 + (ahead + 1) / places)

    def can_ever(self, req: RouteRequest, service: ServiceView) -> bool:
        """Return whether waiting for room makes sense."""
        for region, views in service.open_by_region.items():
            if req.regions and region not in req.regions:
                continue
            if region != self._region and not self.cross_allowed:
                continue
            if any(view.backend.id not in req.excluded for view in views):
                return True
        return False


def _warming_order(view: BackendView) -> tuple[int, int]:
    return view.in_flight, view.limit
