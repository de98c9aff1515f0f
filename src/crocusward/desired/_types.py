"""Types of the decoded platform documents. Durations are in seconds."""

from collections.abc import Mapping, Sequence

from ..model import Record
from ._position import NO_ERA, TablePosition

AllowedRegions = frozenset[str]  # empty allows every region


class HostLimits(Record):
    """Resource limits of the daemon on this host.

    Attributes:
        cpu_share: Share of one core available to the daemon.
        memory_mb: Memory above which the daemon is killed, in MiB.
        max_descriptors: Maximum number of open descriptors, files included.
    """

    __slots__ = ("cpu_share", "memory_mb", "max_descriptors")

    def __init__(self, cpu_share: float, memory_mb: int, max_descriptors: int) -> None:
        self.cpu_share = cpu_share
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors


class FleetBounds(Record):
    """Fleet-wide bounds set by operators.

    Attributes:
        drain_s: Time limit for requests to a leaving backend server to cease.
        stop_grace_s: Time between SIGTERM and SIGKILL.
        config_apply_s: Time limit for a new desired state to be in force.
        address_reuse_s: Minimum time before the address of a stopped backend server
            is reused.
        retry_ratio: Retries allowed per request, fleet-wide.
        retry_window_s: Window over which retries are counted.
        retry_reserve: Retries allowed per window in addition to ``retry_ratio``.
        cold_rate_factor: Multiple of ``ServiceRule.cold_rate`` that a cold server may
            be sent.
        cold_burst: Additional requests in one second that a cold server can take.
    """

    __slots__ = (
        "drain_s",
        "stop_grace_s",
        "config_apply_s",
        "address_reuse_s",
        "retry_ratio",
        "retry_window_s",
        "retry_reserve",
        "cold_rate_factor",
        "cold_burst",
    )

    def __init__(
        self,
        *,
        drain_s: float,
        stop_grace_s: float,
        config_apply_s: float,
        address_reuse_s: float,
        retry_ratio: float,
        retry_window_s: float,
        retry_reserve: float,
        cold_rate_factor: float,
        cold_burst: float,
    ) -> None:
        self.drain_s = drain_s
        self.stop_grace_s = stop_grace_s
        self.config_apply_s = config_apply_s
        self.address_reuse_s = address_reuse_s
        self.retry_ratio = retry_ratio
        self.retry_window_s = retry_window_s
        self.retry_reserve = retry_reserve
        self.cold_rate_factor = cold_rate_factor
        self.cold_burst = cold_burst

    @property
    def change_s(self) -> float:
        """Time limit for any change in the store to be in force."""
        return min(self.config_apply_s, self.drain_s)


class HostFacts(Record):
    """Host of a daemon as described by the platform's settings.

    Attributes:
        name: Name of the host.
        address: IP address of the host.
        data_centre: Data centre of the host.
        region: Region of the host.
        regions: Region by data centre.
        callers: Address and port of the listener for callers.
        ready: Address and port of the readiness check.
        control: Address and port of the control listener for other daemons, or None.
        peer_ports: First and last port available for traffic between daemons.
        seeds: Control addresses of some hosts; may be out of date. Only the IP
            addresses are used, not the ports.
        is_first_start: Whether the whole fleet starts for the first time.
        store: Address and port of the platform's store.
        heartbeat_s: Interval at which backend servers renew their entries.
        limits: Resource limits of the daemon on the host.
        bounds: Fleet-wide bounds.
    """

    __slots__ = (
        "name",
        "address",
        "data_centre",
        "region",
        "regions",
        "callers",
        "ready",
        "control",
        "peer_ports",
        "seeds",
        "is_first_start",
        "store",
        "heartbeat_s",
        "limits",
        "bounds",
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        data_centre: str,
        region: str,
        regions: Mapping[str, str],
        callers: tuple[str, int],
        ready: tuple[str, int],
        control: tuple[str, int] | None,
        peer_ports: tuple[int, int],
        seeds: Sequence[tuple[str, int]],
        is_first_start: bool,
        store: tuple[str, int],
        heartbeat_s: float,
        limits: HostLimits,
        bounds: FleetBounds,
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.region = region
        self.regions = dict(regions)
        self.callers = callers
        self.ready = ready
        self.control = control
        self.peer_ports = peer_ports
        self.seeds = list(seeds)
        self.is_first_start = is_first_start
        self.store = store
        self.heartbeat_s = heartbeat_s
        self.limits = limits
        self.bounds = bounds


class EntryHost(Record):
    """A host that runs the daemon.

    Attributes:
        host: Name of the host.
        address: IP address of the host.
        data_centre: Data centre of the host.
    """

    __slots__ = ("host", "address", "data_centre")

    def __init__(self, host: str, address: str, data_centre: str) -> None:
        self.host = host
        self.address = address
        self.data_centre = data_centre


class WeightedService(Record):
    """One service of a route that splits its traffic.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the other services of the route.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class RouteRule(Record):
    """Routing of the requests with one host name and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name in lower case.
        prefix: Path prefix, with a leading and a trailing slash.
        idempotent: Whether a request may run more than once.
        timeout_s: Maximum time that a caller waits for the answer.
        objective_s: Latency objective, within which an answer has its full value.
        priority: Priority; 0 is the highest.
        max_attempts: Maximum number of backend servers on which a request may run.
        parts: Weighted services; at least one.
        regions: Regions in which requests may be served; empty for all.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "idempotent",
        "timeout_s",
        "objective_s",
        "priority",
        "max_attempts",
        "parts",
        "regions",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        *,
        idempotent: bool,
        timeout_s: float,
        objective_s: float,
        priority: int,
        max_attempts: int,
        parts: Sequence[WeightedService],
        regions: AllowedRegions = frozenset(),
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.idempotent = idempotent
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.priority = priority
        self.max_attempts = max_attempts
        self.parts = tuple(parts)
        self.regions = regions


class ServiceRule(Record):
    """Settings of a service, as set by operators.

    Attributes:
        name: Name of the service.
        health_path: Path of the health probe.
        max_connections: Connections that a backend server accepts from all hosts.
        cold_s: Time that a backend server is cold after its start.
        cold_rate: Requests per second that a cold backend server can take, before
            ``FleetBounds.cold_rate_factor``.
    """

    __slots__ = ("name", "health_path", "max_connections", "cold_s", "cold_rate")

    def __init__(
        self,
        name: str,
        health_path: str,
        max_connections: int,
        cold_s: float,
        cold_rate: float,
    ) -> None:
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.cold_s = cold_s
        self.cold_rate = cold_rate


class CallerLimits(Record):
    """Limits on the requests and connections of callers.

    Attributes:
        head_bytes: Maximum size of a request line with its headers.
        body_bytes: Maximum size of a request body.
        head_timeout_s: Time limit for receiving the request line and headers.
        idle_timeout_s: Idle time after which a connection may be closed.
    """

    __slots__ = ("head_bytes", "body_bytes", "head_timeout_s", "idle_timeout_s")

    def __init__(
        self,
        head_bytes: int,
        body_bytes: int,
        head_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class DesiredState(Record):
    """One version of the configuration that operators want to be in force.

    Attributes:
        version: Version number; it only increases.
        routes: Routes by host name, longest prefix first.
        services: Services by name.
        limits: Limits on the requests and connections of callers.
    """

    __slots__ = ("version", "routes", "services", "limits", "_routes_by_name")

    def __init__(
        self,
        version: int,
        routes: Sequence[RouteRule],
        services: Mapping[str, ServiceRule],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes: dict[str, list[RouteRule]] = {}
        self._routes_by_name = {route.name: route for route in routes}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self.routes.setdefault(route.host, []).append(route)
        self.services = dict(services)
        self.limits = limits

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix of ``path``, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_route_by_name(self, name: str) -> RouteRule | None:
        """Return the route with a name, or None."""
        return self._routes_by_name.get(name)


class BackendEntry(Record):
    """A backend server as it registered itself.

    Attributes:
        id: Id of this run of the server; sent as the expected instance.
        service: Name of the service.
        address: IP address and port.
        data_centre: Data centre.
        slots: Maximum number of requests that it runs concurrently.
        leaving: Whether it announced that it is stopping.
        cold_left_s: Remaining cold time that it reported when it wrote the entry.
        started_unix_ms: Unix time of its start in milliseconds, or 0 if unknown.
        seq: Number of the entry among those that it wrote since its start.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "data_centre",
        "slots",
        "leaving",
        "cold_left_s",
        "started_unix_ms",
        "seq",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: tuple[str, int],
        data_centre: str,
        *,
        slots: int,
        leaving: bool = False,
        cold_left_s: float = 0.0,
        started_unix_ms: int = 0,
        seq: int = 0,
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.leaving = leaving
        self.cold_left_s = cold_left_s
        self.started_unix_ms = started_unix_ms
        self.seq = seq


class RowChange(Record):
    """A row as of its last write, or the removal of a row.

    Attributes:
        key: Key of the row.
        value: Content, or None if the row was removed.
        version: Version of the table as of this change, within the era of the table.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes | None, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class TablePage(Record):
    """Rows of a table as of one version.

    Attributes:
        version: Version of the table; the next read of changes resumes after it.
        changes: Rows in order.
        complete: Whether these are all rows, so that rows not listed are removed.
        era: Era of the store that the versions belong to.
        settle_left_s: For how long its sender waits for the writers of lost rows, in
            seconds; None if it does not know. Pages of the store have none.
    """

    __slots__ = ("version", "changes", "complete", "era", "settle_left_s")

    def __init__(
        self,
        version: int,
        changes: Sequence[RowChange],
        *,
        complete: bool,
        era: int = NO_ERA,
        settle_left_s: float | None = None,
    ) -> None:
        self.version = version
        self.changes = list(changes)
        self.complete = complete
        self.era = era
        self.settle_left_s = settle_left_s

    @property
    def position(self) -> TablePosition:
        """Position of the table as of this page."""
        return TablePosition(self.era, self.version)
