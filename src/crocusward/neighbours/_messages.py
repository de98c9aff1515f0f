"""Messages between daemons, sent as single datagrams without delivery guarantee."""

from collections.abc import Mapping, Sequence
from enum import IntEnum

from ..crashes import CrashSummary
from ..desired import EntryHost, TablePosition
from ..model import Record


class ObservationKind(IntEnum):
    """How an exchange with a backend server ended."""

    ANSWERED = 0
    FAILED = 1  # the server failed, or the connection broke
    UNREACHABLE = 2  # no connection could be established
    SILENT = 3  # no answer before the time-out
    MISDIRECTED = 4  # another server answered at the address
    REFUSED = 5  # carries no information on the health of the server


class BackendObservation(Record):
    """Outcome of one exchange with a backend server and the load it reported.

    Attributes:
        backend: Id of the server.
        kind: How the exchange ended.
        running: Requests that the server reported as running, -1 if unknown.
        waiting: Requests that it reported as waiting.
        slowdown: Reported slowdown of its machine; 1.0 is unloaded, 0.0 unknown.
        cold_left_s: Reported time until the server is warm, -1 if unknown.
        rate_limit_per_s: Requests per second that it takes, 0.0 if it names no limit,
            -1 if unknown. This and what follows is not sent to neighbours.
        rate_limit_error: Why a limit that it named is not valid, or "".
        asked_s: When the request was sent, by the clock of rate limits.
        answered_s: When the answer arrived, by the same clock.
        is_leaving: Whether it said that it leaves.
        retry_after_s: For how long it wants no request of this host, 0.0 if it did not
            say so.
        retry_after_error: Why the time that it named is not valid, or "".
    """

    __slots__ = (
        "backend",
        "kind",
        "running",
        "waiting",
        "slowdown",
        "cold_left_s",
        "rate_limit_per_s",
        "rate_limit_error",
        "asked_s",
        "answered_s",
        "is_leaving",
        "retry_after_s",
        "retry_after_error",
    )

    def __init__(
        self,
        backend: str,
        kind: ObservationKind,
        running: int = -1,
        waiting: int = 0,
        slowdown: float = 0.0,
        cold_left_s: float = -1.0,
    ) -> None:
        self.backend = backend
        self.kind = kind
        self.running = running
        self.waiting = waiting
        self.slowdown = slowdown
        self.cold_left_s = cold_left_s
        self.rate_limit_per_s = -1.0
        self.rate_limit_error = ""
        self.asked_s = 0.0
        self.answered_s = 0.0
        self.is_leaving = False
        self.retry_after_s = 0.0
        self.retry_after_error = ""


class IdleSummary(Record):
    """Idle capacity of one group of hosts, sent to other groups.

    Attributes:
        group: Group of the sender: a part of the hosts of a data centre.
        idle: Percentage of usable backend servers without requests, by service.
    """

    __slots__ = ("group", "idle")

    def __init__(self, group: str, idle: Mapping[str, int]) -> None:
        self.group = group
        self.idle = dict(idle)


class HostReport(Record):
    """State of one daemon, or what has changed of it.

    Counts and versions are absolute. Only a complete report replaces all counts and
    so makes up for lost reports. Observations and idle summaries are sent once; those
    of a lost report stay lost.

    Attributes:
        host: Name of the host.
        incarnation: Start time of the daemon, Unix time in milliseconds.
        data_centre: Data centre of the host.
        seq: Sequence number of the report within the incarnation.
        store_age_s: Age of the host's rows: the time since they were last known to be
            current, by its own reads of all tables or a reader in another group.
        positions: Position of the copy of each store table.
        is_leaving: Whether the daemon is stopping.
        is_complete: Whether servers missing in ``in_flight`` have no requests.
        in_flight: Requests of this host in flight, by backend server.
        waiting: Requests queued at this host, by service.
        observations: Observations of backend servers since the report made before.
        idle_summaries: Summaries received from other groups, passed on to neighbours.
    """

    __slots__ = (
        "host",
        "incarnation",
        "data_centre",
        "seq",
        "store_age_s",
        "positions",
        "is_leaving",
        "is_complete",
        "in_flight",
        "waiting",
        "observations",
        "idle_summaries",
    )

    def __init__(
        self,
        host: str,
        incarnation: int,
        data_centre: str,
        seq: int,
        *,
        store_age_s: float,
        positions: Mapping[str, TablePosition],
        is_leaving: bool = False,
        is_complete: bool = False,
        in_flight: Mapping[str, int] | None = None,
        waiting: Mapping[str, int] | None = None,
        observations: Sequence[BackendObservation] = (),
        idle_summaries: Sequence[IdleSummary] = (),
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.seq = seq
        self.store_age_s = store_age_s
        self.positions = dict(positions)
        self.is_leaving = is_leaving
        self.is_complete = is_complete
        self.in_flight = dict(in_flight or {})
        self.waiting = dict(waiting or {})
        self.observations = list(observations)
        self.idle_summaries = list(idle_summaries)


class RateLimitReport(Record):
    """Rate limits and cold times of backend servers that a host knows.

    A host of another group is answered with the same message: what the receiver knows
    of the servers of its group among them.

    Attributes:
        host: Name of the host.
        limits: Limit in requests per second and age of that knowledge in seconds, by
            backend server. 0.0 if a limit has ended, as the host saw itself.
        cold_left_s: Time until a server is warm, by backend server; only of servers
            that the receiver may take for warm.
    """

    __slots__ = ("host", "limits", "cold_left_s")

    def __init__(
        self,
        host: str,
        limits: Mapping[str, tuple[float, float]],
        cold_left_s: Mapping[str, float] | None = None,
    ) -> None:
        self.host = host
        self.limits = dict(limits)
        self.cold_left_s = dict(cold_left_s or {})


class CrashReport(Record):
    """Requests under which servers crashed, as a host knows them.

    Attributes:
        host: Name of the host.
        requests: What it knows of each.
    """

    __slots__ = ("host", "requests")

    def __init__(self, host: str, requests: Sequence[CrashSummary]) -> None:
        self.host = host
        self.requests = list(requests)


class Hello(Record):
    """Announces a daemon and requests the member list of the receiver.

    Attributes:
        host: Host of the sender.
        known_count: Number of hosts that the sender knows.
    """

    __slots__ = ("host", "known_count")

    def __init__(self, host: EntryHost, known_count: int) -> None:
        self.host = host
        self.known_count = known_count


class SlotRequest(Record):
    """Requests a slot at a backend server of another group.

    Attributes:
        token: Number of the request, unique at the sender.
        service: Name of the service.
        route: Name of the route, which may restrict the regions.
        service_time_s: Expected service time of the caller's request.
        can_share: Whether a server that already has requests is acceptable.
        max_wait_s: How long the receiver may wait for a free slot.
        request_id: Id of the caller's request, for the logs of the coordinator; "" in
            requests to other groups.
    """

    __slots__ = (
        "token",
        "service",
        "route",
        "service_time_s",
        "can_share",
        "max_wait_s",
        "request_id",
    )

    def __init__(
        self,
        token: int,
        service: str,
        route: str,
        service_time_s: float,
        can_share: bool,
        max_wait_s: float,
        request_id: str = "",
    ) -> None:
        self.token = token
        self.service = service
        self.route = route
        self.service_time_s = service_time_s
        self.can_share = can_share
        self.max_wait_s = max_wait_s
        self.request_id = request_id


class SlotOffer(Record):
    """Answers a SlotRequest.

    Attributes:
        token: Token of the SlotRequest.
        backend: Id of the server with the reserved slot, "" if there is none.
        slowdown: Slowdown of its machine; 1.0 is unloaded, 0.0 unknown.
        in_flight: Other requests at the server.
        retry_after_s: When a slot is expected, if there is none; 0.0 if unknown. Sent
            only by the coordinator of a rate-limited service.
        waited_s: How long the request waited for its permit at the coordinator.
        permit_per_s: Rate of the permits of which the offer is one, in requests per
            second; 0.0 if the sender knows no limit of the server.
        limit_per_s: Limit that the server named, as the sender knows it.
        limit_age_s: Age of that knowledge, -1 if it has none.
    """

    __slots__ = (
        "token",
        "backend",
        "slowdown",
        "in_flight",
        "retry_after_s",
        "waited_s",
        "permit_per_s",
        "limit_per_s",
        "limit_age_s",
    )

    def __init__(
        self,
        token: int,
        backend: str,
        slowdown: float = 0.0,
        in_flight: int = 0,
        retry_after_s: float = 0.0,
        waited_s: float = 0.0,
        permit_per_s: float = 0.0,
        limit_per_s: float = 0.0,
        limit_age_s: float = -1.0,
    ) -> None:
        self.token = token
        self.backend = backend
        self.slowdown = slowdown
        self.in_flight = in_flight
        self.retry_after_s = retry_after_s
        self.waited_s = waited_s
        self.permit_per_s = permit_per_s
        self.limit_per_s = limit_per_s
        self.limit_age_s = limit_age_s


class SlotRelease(Record):
    """Releases the slot that a SlotOffer reserved.

    Attributes:
        token: Token of the SlotRequest.
    """

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class MemberList(Record):
    """Answers a Hello.

    Attributes:
        hosts: Hosts that the sender knows, including itself.
    """

    __slots__ = ("hosts",)

    def __init__(self, hosts: Sequence[EntryHost]) -> None:
        self.hosts = list(hosts)
