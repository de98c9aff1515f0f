"""The table of backend servers and what closes them to new work."""

import math
from collections.abc import Iterable, Mapping, Sequence

from ..limits import HostCounter
from ..model import Backend, Service
from ..timing import TimerService
from ._view import BackendView, ServiceView
from ._warm_state import WarmState
from ._warmth import Warmth

# Requests of all hosts of a region per slot of a server. 4 allows two per host today
# and raised the 99th percentile by a third or more (docs/routing.md).
CAP_PER_SLOT = 2.0
WARMTH_REFRESH_S = 0.05


class BackendTable:
    """Keeps the view of each listed server and whether it takes new work.

    Args:
        timer: Source of time.
        share: Number of entry hosts.
        region_share: Number of entry hosts of this region.
        warmth: Warmth of the servers.
        faults: Names of injected faults.
    """

    __slots__ = (
        "services",
        "views",
        "warm_states",
        "out_since",
        "leaving_since",
        "_out_names",
        "_timer",
        "_share",
        "_region_share",
        "_warmth",
        "_faults",
        "_configured",
        "_cold",
        "_refresh_s",
        "_hosts",
        "_targets",
    )

    def __init__(
        self,
        timer: TimerService,
        share: HostCounter,
        region_share: HostCounter,
        warmth: Warmth,
        faults: frozenset[str],
    ) -> None:
        self.services: dict[str, ServiceView] = {}
        self.views: dict[str, BackendView] = {}
        self.warm_states: dict[str, WarmState] = {}
        self.out_since: dict[str, float] = {}
        self.leaving_since: dict[str, float] = {}
        self._out_names: frozenset[str] = frozenset()
        self._timer = timer
        self._share = share
        self._region_share = region_share
        self._warmth = warmth
        self._faults = faults
        self._configured: dict[str, Service] = {}
        self._cold: list[BackendView] = []
        self._refresh_s = 0.0
        self._hosts = 0
        self._targets: list[BackendView] | None = None

    def set_backends(self, backends: Sequence[Backend], leaving: Iterable[str]) -> None:
        """Take over the platform's list of backend servers."""
        is_first = not self.views
        listed = {backend.id for backend in backends}
        gone = [name for name in self.views if name not in listed]
        for name in gone:
            view = self.views.pop(name)
            view.is_open = False
            view.service.views.pop(name, None)
            self.warm_states.pop(name, None)
        self._warmth.drop(gone)
        for backend in backends:
            self._list(backend, is_new=not is_first)
        self.leaving_since = self._since(self.leaving_since, leaving)
        self.refresh()

    def set_services(self, services: Mapping[str, Service]) -> None:
        """Take over the configured services."""
        self._configured = dict(services)
        for name, service in self.services.items():
            service.slots = self._slots(name)
        self.refresh()

    def set_out(self, data_centres: Iterable[str], names: Iterable[str]) -> None:
        """Take over what operators took out of service."""
        self.out_since = self._since(self.out_since, data_centres)
        self._out_names = frozenset(names)
        self.refresh()

    def refresh(self) -> None:
        """Work out anew which servers are open, and every limit."""
        now_s = self._timer.now()
        self._targets = None
        self._hosts = self._region_share.divisor(now_s)
        for view in self.views.values():
            view.is_open = self.may_open(view, now_s)
        for service in self.services.values():
            by_region: dict[str, list[BackendView]] = {}
            for view in service.views.values():
                if view.is_open:
                    by_region.setdefault(view.backend.region, []).append(view)
            service.open_by_region = by_region
        self._refresh_limits(list(self.views.values()), now_s)

    def refresh_cold(self, now_s: float) -> bool:
        """Work out the limits of cold servers when time or hosts have moved on."""
        if self._hosts != self._region_share.divisor(now_s):
            self.refresh()
            return True
        if not self._cold or now_s < self._refresh_s:
            return False
        self._refresh_limits(self._cold, now_s)
        return True

    def probe_targets(self, region: str) -> list[BackendView]:
        """Return the servers of a region that are worth a probe."""
        if self._targets is None:
            self._targets = [
                view
                for view in self.views.values()
                if view.backend.region == region and not self.is_taken_out(view.backend)
            ]
        return self._targets

    def refresh_limits(self, names: Iterable[str]) -> None:
        """Work out the limits of some servers, those that are listed."""
        known = [self.views[name] for name in names if name in self.views]
        self._refresh_limits(known, self._timer.now())

    def refresh_limit(self, view: BackendView, now_s: float) -> None:
        """Work out the limits of one server."""
        state = self.warm_states[view.backend.id]
        was_warm = view.is_warm
        view.is_warm = state.is_warm
        view.warm_limit = self._warmth.limit(state, now_s)
        if "overload-cold" in self._faults:
            view.warm_limit = 1 << 30
        view.limit = min(view.warm_limit, self._cap(view))
        if was_warm != view.is_warm:
            self._refresh_s = now_s  # the lists of cold servers are out of date
            self._cold = [item for item in self.views.values() if not item.is_warm]

    def may_open(self, view: BackendView, now_s: float) -> bool:
        """Return whether a server may take new work, warmth aside."""
        backend = view.backend
        if backend.id not in self.views:
            return False
        if now_s < view.drained_until_s or now_s < view.refused_until_s:
            return False
        return not self.is_taken_out(backend)

    def is_taken_out(self, backend: Backend) -> bool:
        """Return whether operators or the platform's list close a server."""
        if backend.id in self.leaving_since and "ignore-leaving" not in self._faults:
            return True
        if "ignore-drain" in self._faults:
            return False
        return backend.data_centre in self.out_since or backend.id in self._out_names

    def _list(self, backend: Backend, *, is_new: bool) -> None:
        view = self.views.get(backend.id)
        if view is not None and view.backend == backend:
            return
        if view is not None:
            view.is_open = False
            view.service.views.pop(backend.id, None)
            self._warmth.drop([backend.id])
        service = self.services.get(backend.service)
        if service is None:
            service = ServiceView(backend.service, self._slots(backend.service))
            self.services[backend.service] = service
        view = BackendView(backend, service)
        self.views[backend.id] = view
        service.views[backend.id] = view
        state = self._warmth.list_backend(backend, is_new=is_new)
        self.warm_states[backend.id] = state

    def _slots(self, service: str) -> int:
        configured = self._configured.get(service)
        return (configured or Service(service)).slots

    def fleet_cap(self, view: BackendView) -> int:
        """Return how many requests the hosts of all regions may have at a server."""
        return self._share.divisor(self._timer.now()) * self._cap(view)

    def _cap(self, view: BackendView) -> int:
        total = CAP_PER_SLOT * view.service.slots
        return max(1, math.ceil(total / self._hosts))

    def _refresh_limits(self, views: Sequence[BackendView], now_s: float) -> None:
        for view in views:
            self.refresh_limit(view, now_s)
        self._cold = [view for view in self.views.values() if not view.is_warm]
        for service in self.services.values():
            service.warming = []
        for view in self._cold:
            state = self.warm_states[view.backend.id]
            if self._warmth.is_warming_host(state, now_s):
                view.service.warming.append(view)
        self._refresh_s = now_s + WARMTH_REFRESH_S

    def _since(
        self, before: Mapping[str, float], names: Iterable[str]
    ) -> dict[str, float]:
        now_s = self._timer.now()
        return {name: before.get(name, now_s) for name in names}
