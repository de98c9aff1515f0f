"""Table of the backend servers and of their state for new requests."""

import math
from collections.abc import Iterable, Mapping, Sequence

from ..limits import HostCounter
from ..model import Backend, Service
from ..timing import TimerService
from ._backend_view import UNLIMITED, BackendView, ServiceView
from ._rate_limits import FleetRateLimits
from ._slow_start import SlowStart
from ._slow_start_state import SlowStartState

# Requests of all hosts of a region per slot of a server. A value of 4, two requests per
# host, raised the 99th percentile by a third or more (docs/routing.md).
MAX_REQUESTS_PER_SLOT = 2.0
COLD_LIMIT_REFRESH_S = 0.05


class BackendTable:
    """Keeps the state of each listed server and whether it takes new requests.

    Attributes:
        services: State of each service, by name.
        views: State of each listed server, by id.
        slow_start_states: Slow-start state of each listed server, by id.
        out_since: When each data centre was taken out of service, in seconds.
        leaving_since: When each leaving server was first listed so, in seconds.

    Args:
        timer: Source of time.
        share: Number of entry hosts.
        region_share: Number of entry hosts of this region.
        slow_start: Slow start of the servers.
        rate_limits: Rate limits that the servers name.
        faults: Names of injected faults.
    """

    __slots__ = (
        "services",
        "views",
        "slow_start_states",
        "out_since",
        "leaving_since",
        "_backends_out",
        "_timer",
        "_share",
        "_region_share",
        "_slow_start",
        "_rate_limits",
        "_faults",
        "_service_configs",
        "_cold_views",
        "_next_refresh_s",
        "_region_host_count",
        "_probe_targets",
    )

    def __init__(
        self,
        timer: TimerService,
        share: HostCounter,
        region_share: HostCounter,
        slow_start: SlowStart,
        rate_limits: FleetRateLimits,
        faults: frozenset[str],
    ) -> None:
        self.services: dict[str, ServiceView] = {}
        self.views: dict[str, BackendView] = {}
        self.slow_start_states: dict[str, SlowStartState] = {}
        self.out_since: dict[str, float] = {}
        self.leaving_since: dict[str, float] = {}
        self._backends_out: frozenset[str] = frozenset()
        self._timer = timer
        self._share = share
        self._region_share = region_share
        self._slow_start = slow_start
        self._rate_limits = rate_limits
        self._faults = faults
        self._service_configs: dict[str, Service] = {}
        self._cold_views: list[BackendView] = []
        self._next_refresh_s = 0.0
        self._region_host_count = 0
        self._probe_targets: list[BackendView] | None = None

    @property
    def ignores_rate_limits(self) -> bool:
        """Whether a planted fault lets this host ignore rate limits."""
        return "ignore-rate-limit" in self._faults

    def set_backends(self, backends: Sequence[Backend], leaving: Iterable[str]) -> None:
        """Replace the platform's list of backend servers."""
        is_first = not self.views
        listed = {backend.id for backend in backends}
        gone = [name for name in self.views if name not in listed]
        for name in gone:
            view = self.views.pop(name)
            view.is_open = False
            view.service.views.pop(name, None)
            self.slow_start_states.pop(name, None)
        self._slow_start.forget_backends(gone)
        self._rate_limits.forget_backends(gone)
        for backend in backends:
            self._add_backend(backend, is_new=not is_first)
        self.leaving_since = self._merge_start_times(self.leaving_since, leaving)
        self.refresh()

    def set_services(self, services: Mapping[str, Service]) -> None:
        """Replace the configured services."""
        self._service_configs = dict(services)
        for name, service in self.services.items():
            service.slots = self._get_slots(name)
        self.refresh()

    def set_out_of_service(
        self, data_centres: Iterable[str], backend_ids: Iterable[str]
    ) -> None:
        """Replace the data centres and servers that operators took out of service."""
        self.out_since = self._merge_start_times(self.out_since, data_centres)
        self._backends_out = frozenset(backend_ids)
        self.refresh()

    def refresh(self) -> None:
        """Recompute which servers are open, and every limit."""
        now_s = self._timer.now()
        self._probe_targets = None
        self._region_host_count = self._region_share.divisor(now_s)
        for view in self.views.values():
            view.is_open = self.can_take_work(view, now_s)
        for service in self.services.values():
            by_region: dict[str, list[BackendView]] = {}
            for view in service.views.values():
                if view.is_open:
                    by_region.setdefault(view.backend.region, []).append(view)
            service.open_by_region = by_region
        self._refresh_limits(list(self.views.values()), now_s)

    def refresh_changing_limits(self, now_s: float) -> bool:
        """Recompute the limits of cold and rate-limited servers periodically.

        Recomputes all if the number of hosts has changed.

        Returns:
            Whether any limit may have changed.
        """
        if self._region_host_count != self._region_share.divisor(now_s):
            self.refresh()
            return True
        if now_s < self._next_refresh_s:
            return False
        limited_views = [
            self.views[id]
            for id in self._rate_limits.states
            if id in self.views and self._rate_limits.is_limited(id)
        ]
        if not self._cold_views and not limited_views:
            return False
        self._refresh_limits([*self._cold_views, *limited_views], now_s)
        return True

    def list_probe_targets(self, region: str) -> list[BackendView]:
        """Return the servers of a region that are in service."""
        if self._probe_targets is None:
            self._probe_targets = [
                view
                for view in self.views.values()
                if view.backend.region == region and not self.is_taken_out(view.backend)
            ]
        return self._probe_targets

    def refresh_limits(self, backend_ids: Iterable[str]) -> None:
        """Recompute the limits of those of the servers that are listed."""
        known = [self.views[name] for name in backend_ids if name in self.views]
        self._refresh_limits(known, self._timer.now())

    def refresh_limit(self, view: BackendView, now_s: float) -> None:
        """Recompute the limits of one server."""
        state = self.slow_start_states[view.backend.id]
        was_warm = view.is_warm
        view.is_warm = state.is_warm
        view.slow_start_limit = self._slow_start.get_in_flight_limit(state, now_s)
        if "overload-cold" in self._faults:
            view.slow_start_limit = 1 << 30
        available = self._rate_limits.count_available(view.backend.id)
        if available < UNLIMITED and not self.ignores_rate_limits:
            # Policies without a queue look at the slow-start limit only.
            view.slow_start_limit = min(
                view.slow_start_limit, view.in_flight + available
            )
        view.limit = min(view.slow_start_limit, self._get_in_flight_cap(view))
        if was_warm != view.is_warm:
            self._next_refresh_s = now_s  # the lists of cold servers are stale
            self._cold_views = [
                item for item in self.views.values() if not item.is_warm
            ]

    def can_take_work(self, view: BackendView, now_s: float) -> bool:
        """Return whether a server may take new requests, apart from its limits."""
        backend = view.backend
        if backend.id not in self.views:
            return False
        if now_s < view.drain_until_s or now_s < view.backoff_until_s:
            return False
        return not self.is_taken_out(backend)

    def is_taken_out(self, backend: Backend) -> bool:
        """Return whether operators or the platform's list close a server."""
        if backend.id in self.leaving_since and "ignore-leaving" not in self._faults:
            return True
        if "ignore-drain" in self._faults:
            return False
        return backend.data_centre in self.out_since or backend.id in self._backends_out

    def _add_backend(self, backend: Backend, *, is_new: bool) -> None:
        view = self.views.get(backend.id)
        if view is not None and view.backend == backend:
            return
        if view is not None:
            view.is_open = False
            view.service.views.pop(backend.id, None)
            self._slow_start.forget_backends([backend.id])
            self._rate_limits.forget_backends([backend.id])
        service = self.services.get(backend.service)
        if service is None:
            service = ServiceView(backend.service, self._get_slots(backend.service))
            self.services[backend.service] = service
        view = BackendView(backend, service)
        self.views[backend.id] = view
        service.views[backend.id] = view
        state = self._slow_start.add_backend(backend, is_new=is_new)
        self.slow_start_states[backend.id] = state

    def _get_slots(self, service: str) -> int:
        configured = self._service_configs.get(service)
        return (configured or Service(service)).slots

    def get_fleet_in_flight_cap(self, view: BackendView) -> int:
        """Return how many requests the hosts of all regions may have at a server."""
        return self._share.divisor(self._timer.now()) * self._get_in_flight_cap(view)

    def _get_in_flight_cap(self, view: BackendView) -> int:
        total = MAX_REQUESTS_PER_SLOT * view.service.slots
        return max(1, math.ceil(total / self._region_host_count))

    def _refresh_limits(self, views: Sequence[BackendView], now_s: float) -> None:
        for view in views:
            self.refresh_limit(view, now_s)
        self._cold_views = [view for view in self.views.values() if not view.is_warm]
        for service in self.services.values():
            service.warmup_views = []
        for view in self._cold_views:
            state = self.slow_start_states[view.backend.id]
            if self._slow_start.is_warming_host(state, now_s):
                view.service.warmup_views.append(view)
        self._next_refresh_s = now_s + COLD_LIMIT_REFRESH_S

    def _merge_start_times(
        self, before: Mapping[str, float], backend_ids: Iterable[str]
    ) -> dict[str, float]:
        now_s = self._timer.now()
        return {name: before.get(name, now_s) for name in backend_ids}
