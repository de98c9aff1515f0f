"""Selection of a region and, by the policy, of a backend server in it."""

import random

from ._backend_view import CROSS_REGION_RTT_S, BackendView, ServiceView
from ._link_budget import LinkBudget
from ._policies import Policy
from ._types import RouteRequest

CROSS_REGION_MARGIN_S = 0.03  # gain below which billed link traffic is not worth it


class RegionAwareSelector:
    """Selects a backend server that is below its in-flight limit.

    The local region comes first. A request goes to a remote region only if the
    expected local wait exceeds the link's round trip by a margin and the byte budget
    of the link allows it.

    Attributes:
        can_cross_regions: Whether new requests may go to other regions.

    Args:
        region: Region of this host.
        policy: Picks a server within one region.
        link: Byte budget for the link between regions.
        rng: Source of randomness.
        faults: Names of injected faults.
    """

    __slots__ = (
        "can_cross_regions",
        "_region",
        "_policy",
        "_link",
        "_rng",
        "_faults",
    )

    def __init__(
        self,
        region: str,
        policy: Policy,
        link: LinkBudget,
        rng: random.Random,
        faults: frozenset[str],
    ) -> None:
        self.can_cross_regions = True
        self._region = region
        self._policy = policy
        self._link = link
        self._rng = rng
        self._faults = faults

    def select(
        self, req: RouteRequest, service: ServiceView, queued_count: int, now_s: float
    ) -> BackendView | None:
        """Return a server below its limit, or None.

        Args:
            req: The request.
            service: Its service.
            queued_count: Number of requests queued for the service at this host.
            now_s: Monotonic time, in seconds.
        """
        regions = req.regions
        if "leak-region" in self._faults:
            regions = frozenset()
        local = None
        local_wait_s = float("inf")
        if not regions or self._region in regions:
            local = self._pick(service, self._region, req, now_s)
            local_wait_s = self._estimate_local_wait_s(
                local, service, queued_count, now_s
            )
            if local is not None and not local.is_warm:
                return local  # a slow cold server must still get requests to warm up
        if not self.can_cross_regions:
            return local
        if local_wait_s <= CROSS_REGION_RTT_S + CROSS_REGION_MARGIN_S:
            return local
        return self._select_remote(req, service, regions, local_wait_s, now_s) or local

    def _select_remote(
        self,
        req: RouteRequest,
        service: ServiceView,
        regions: frozenset[str],
        local_wait_s: float,
        now_s: float,
    ) -> BackendView | None:
        if not self._link.has_room(req.bytes):
            return None
        best = None
        best_s = local_wait_s - CROSS_REGION_RTT_S - CROSS_REGION_MARGIN_S
        for region in service.open_by_region:
            if region == self._region or regions and region not in regions:
                continue
            view = self._pick(service, region, req, now_s)
            if view is not None and view.estimate_wait_s(now_s) < best_s:
                best = view
                best_s = view.estimate_wait_s(now_s)
        return best

    def _pick(
        self, service: ServiceView, region: str, req: RouteRequest, now_s: float
    ) -> BackendView | None:
        views = service.open_by_region.get(region)
        if not views:
            return None
        if service.warmup_views and region == self._region:
            warmable = [
                view
                for view in service.warmup_views
                if self._has_warmup_room(view, req)
            ]
            if warmable:
                return min(warmable, key=_warmup_order)
        if req.excluded:
            excluded = req.excluded
            views = [view for view in views if view.backend.id not in excluded]
            if not views:
                return None
        return self._policy.pick(views, now_s, self._rng)

    def _has_warmup_room(self, view: BackendView, req: RouteRequest) -> bool:
        """Return whether a cold server that this host warms is below its limit.

        Such a server is picked first: its latency would keep requests away, and no
        other host may warm it. Slow start bounds how many requests it slows.
        """
        return (
            not view.is_warm
            and view.is_open
            and view.in_flight < view.limit
            and view.backend.id not in req.excluded
        )

    def _estimate_local_wait_s(
        self,
        local: BackendView | None,
        service: ServiceView,
        queued_count: int,
        now_s: float,
    ) -> float:
        if local is not None:
            return local.estimate_wait_s(now_s) if self._policy.has_queue else 0.0
        local_views = service.open_by_region.get(self._region)
        if not local_views:
            return float("inf")
        total_limit = sum(view.limit for view in local_views)
        if total_limit == 0:
            return float("inf")
        return service.mean_unqueued_time_s * (1.0 + (queued_count + 1) / total_limit)

    def should_wait(self, req: RouteRequest, service: ServiceView) -> bool:
        """Return whether any open server could take the request later."""
        for region, views in service.open_by_region.items():
            if req.regions and region not in req.regions:
                continue
            if region != self._region and not self.can_cross_regions:
                continue
            if any(view.backend.id not in req.excluded for view in views):
                return True
        return False


def _warmup_order(view: BackendView) -> tuple[int, int]:
    return view.in_flight, view.limit
