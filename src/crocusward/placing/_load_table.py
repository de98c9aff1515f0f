"""Table of the loads of all backend servers."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from ..desired import BackendEntry, Directory
from ..neighbours import HostReport
from ._groups import HostGroups
from ._load import BackendLoad
from ._notices import ServerNotices
from ._permits import PermitIssuer
from ._rate_limit import PermitBucket

IDLE_SHARE_LIFETIME_S = 2.5  # five of the longest periods of summaries, 0.5 s
MIN_COLD_RATE_PER_S = 1.0
# Part of the additional requests of the bounds that permits may use at once. The rest
# covers requests of hosts that do not know yet that a server is cold.
COLD_BURST_SHARE = 0.4


class BackendLoadTable:
    """Tracks the listed backend servers and the reports of neighbours.

    Args:
        directory: Directory of backend servers.
        groups: Groups of hosts.
        now: Monotonic clock, in seconds.
        unix_ms: Wall clock, in milliseconds since the epoch.

    Attributes:
        loads: Load of each backend server, by id.
        by_service: The same loads, by service.
        groups: Groups of hosts.
        permits: Permits for limited and cold servers of this group.
        notices: What servers told this host about themselves.
    """

    __slots__ = (
        "loads",
        "by_service",
        "_directory",
        "_now",
        "_unix_ms",
        "_idle_shares",
        "groups",
        "permits",
        "notices",
        "_by_group",
        "_cold_rate_factor",
        "_cold_burst",
    )

    def __init__(
        self,
        directory: Directory,
        groups: HostGroups,
        now: Callable[[], float],
        unix_ms: Callable[[], float],
    ) -> None:
        self.loads: dict[str, BackendLoad] = {}
        self.by_service: dict[str, list[BackendLoad]] = {}
        self._idle_shares: dict[tuple[str, str], tuple[float, float]] = {}
        self.groups = groups
        self.permits = PermitIssuer(groups.host)
        self.notices = ServerNotices()
        self._by_group: dict[tuple[str, str], list[BackendLoad]] | None = None
        self._cold_rate_factor = 1.0
        self._cold_burst = 1.0
        self._directory = directory
        self._now = now
        self._unix_ms = unix_ms
        directory.subscribe_backends(self._on_backend)
        directory.subscribe_data_centres(self._on_data_centre_out)

    def _on_backend(self, old: BackendEntry | None, new: BackendEntry | None) -> None:
        if old is not None and (new is None or self._is_new_instance(old, new)):
            self._drop(old.id)
        if new is None:
            return
        if old is None or self._is_new_instance(old, new):
            self._by_group = None
        load = self.loads.get(new.id)
        is_new = load is None
        if load is None:
            load = BackendLoad(new, self._directory.region_of(new.data_centre))
            self._set_cold_rate(load)
            self.loads[new.id] = load
            self.by_service.setdefault(new.service, []).append(load)
        load.entry = new
        self._update_cold(load)
        if is_new and load.is_cold(self._now()):
            load.permits = PermitBucket(tokens=1.0)  # nobody has sent to it yet

    @staticmethod
    def _is_new_instance(old: BackendEntry, new: BackendEntry) -> bool:
        return (
            old.started_unix_ms != new.started_unix_ms
            or old.address != new.address
            or old.service != new.service
            or old.data_centre != new.data_centre
        )

    def _drop(self, id: str) -> None:
        load = self.loads.pop(id, None)
        self._by_group = None
        if load is not None:
            self.by_service[load.entry.service].remove(load)

    def _update_cold(self, load: BackendLoad) -> None:
        """Extend the cold time by the entry, and by the server's start if known.

        An old entry may name a cold time that is over by now; treating a warm server
        as cold for some seconds costs little.
        """
        now_s = self._now()
        entry = load.entry
        left_s = entry.cold_left_s
        state = self._directory.state
        rule = state.services.get(entry.service) if state else None
        if entry.started_unix_ms and rule is not None:
            age_s = (self._unix_ms() - entry.started_unix_ms) / 1000.0
            left_s = max(left_s, rule.cold_s - age_s) if age_s >= 0.0 else left_s
        if left_s > 0.0:
            load.extend_cold(now_s + left_s, now_s)

    def _on_data_centre_out(self, data_centre: str, is_out: bool) -> None:
        """Treat servers that come back into service as cold for their cold time.

        A reported cold time replaces this one.
        """
        state = self._directory.state
        if is_out or state is None:
            return
        now_s = self._now()
        for load in self.loads.values():
            rule = state.services.get(load.entry.service)
            if load.entry.data_centre == data_centre and rule is not None:
                load.extend_cold(now_s + rule.cold_s, now_s)

    def set_cold_bounds(self, rate_factor: float, burst: float) -> None:
        """Set what cold servers take beyond the rates of their services.

        Args:
            rate_factor: Multiple of the rate of the service.
            burst: Additional requests in one second.
        """
        self._cold_rate_factor = rate_factor
        self._cold_burst = max(1.0, COLD_BURST_SHARE * burst)
        self.refresh_cold_rates()

    def refresh_cold_rates(self) -> None:
        """Apply the cold rates of the services to their servers."""
        for load in self.loads.values():
            self._set_cold_rate(load)

    def _set_cold_rate(self, load: BackendLoad) -> None:
        state = self._directory.state
        rule = state.services.get(load.entry.service) if state else None
        rate_per_s = rule.cold_rate * self._cold_rate_factor if rule else 0.0
        load.cold_rate_per_s = max(MIN_COLD_RATE_PER_S, rate_per_s)
        load.cold_burst = self._cold_burst

    def told_cold_left_s(self, load: BackendLoad) -> float:
        """Return the time until a server is warm, as its own answers said."""
        return max(0.0, load.cold_told_until_s - self._now())

    def extend_told_cold(self, load: BackendLoad, left_s: float) -> bool:
        """Apply a cold time that another host was told; return whether it is news."""
        now_s = self._now()
        return load.extend_told_cold(now_s + left_s, now_s)

    def refresh_cold(self) -> None:
        """Update all cold times, once those of the services are known."""
        for load in self.loads.values():
            self._update_cold(load)

    def apply_report(self, report: HostReport) -> Iterable[str]:
        """Apply a neighbour's report; return services that may have capacity now."""
        now_s = self._now()
        host = report.host
        ended = Counter(item.backend for item in report.observations)
        services = set()
        for id, count in report.in_flight.items():
            load = self.loads.get(id)
            if load is not None:
                load.set_neighbour_in_flight(host, count, now_s, ended_count=ended[id])
                services.add(load.entry.service)
        if report.is_complete:
            for id, load in self.loads.items():
                if host in load.neighbour_in_flight and id not in report.in_flight:
                    load.set_neighbour_in_flight(host, 0, now_s, ended_count=ended[id])
                    services.add(load.entry.service)
        for observation in report.observations:
            load = self.loads.get(observation.backend)
            if load is not None:
                load.observe(observation, now_s)
                services.add(load.entry.service)
        return services

    def regroup(self) -> None:
        """Discard the division of servers into groups, after a change of hosts.

        Servers may have had another coordinator, which used their limits until now.
        """
        self._by_group = None
        for load in self.loads.values():
            load.permits.empty()

    def is_closed(self, load: BackendLoad, now_s: float) -> bool:
        """Return whether a server told this host to send nothing now."""
        entry = load.entry
        return self.notices.is_closed(entry.id, entry.started_unix_ms, now_s)

    def in_group(self, service: str, group: str) -> list[BackendLoad]:
        """Return the servers of a service that belong to a group.

        Assigns all servers to groups first, if hosts or servers have changed.
        """
        if self._by_group is None:
            self._by_group = {}
            for name, loads in self.by_service.items():
                found = self.groups.of_servers(load.entry for load in loads)
                for load in loads:
                    load.group = found[load.entry.id]
                    self._by_group.setdefault((name, load.group), []).append(load)
        return self._by_group.get((service, group), [])

    def record_idle_shares(self, group: str, idle: Mapping[str, int]) -> None:
        """Record the percentages of idle servers that another group reports."""
        now_s = self._now()
        for service, percent in idle.items():
            self._idle_shares[(group, service)] = (percent / 100.0, now_s)

    def idle_share_of_group(self, group: str, service: str, now_s: float) -> float:
        """Return the share of idle servers of another group, 0.0 if unknown."""
        share, known_s = self._idle_shares.get((group, service), (0.0, -1e9))
        return share if now_s - known_s < IDLE_SHARE_LIFETIME_S else 0.0

    def own_idle_percentages(self) -> dict[str, int]:
        """Return the percentage of idle servers of this group, by service."""
        now_s = self._now()
        found = {}
        for service in self.by_service:
            own_loads = [
                load
                for load in self.in_group(service, self.groups.own)
                if not load.entry.leaving
                and not load.is_misdirected
                and now_s >= load.ejected_until_s
                and not self.is_closed(load, now_s)
            ]
            own_loads = [
                x
                for x in own_loads
                if x.entry.data_centre not in self._directory.data_centres_out
            ]
            if own_loads:
                idle = sum(
                    load.in_flight(now_s) < 1.0 and self.permits.has_token(load, now_s)
                    for load in own_loads
                )
                found[service] = 100 * idle // len(own_loads)
        return found

    def forget_host(self, host: str) -> None:
        """Drop the requests of a neighbour that no longer reports."""
        now_s = self._now()
        for load in self.loads.values():
            load.set_neighbour_in_flight(host, 0, now_s)
