"""Messages between daemons. Each fits one datagram and may be lost."""

from collections.abc import Mapping, Sequence
from enum import IntEnum

from ..desired import KnownHost
from ..model import Record


class SightingKind(IntEnum):
    """How an exchange with a backend server ended."""

    ANSWERED = 0
    FAILED = 1  # a failure of the server, or a broken connection
    UNREACHABLE = 2  # no connection could be opened
    SILENT = 3  # no answer in time
    MISDIRECTED = 4  # another server has the address
    REFUSED = 5  # says nothing of the health of the server


class Sighting(Record):
    """What one host just learned of a backend server.

    Attributes:
        backend: Id of the server.
        kind: How the exchange ended.
        running: Requests that the server reported to run, or -1.
        waiting: Requests that it reported to wait.
        pace: Reported time of work on its machine; 1.0 is usual, 0.0 unknown.
        cold_left_s: How long it reported to remain cold, or -1.
    """

    __slots__ = ("backend", "kind", "running", "waiting", "pace", "cold_left_s")

    def __init__(
        self,
        backend: str,
        kind: SightingKind,
        running: int = -1,
        waiting: int = 0,
        pace: float = 0.0,
        cold_left_s: float = -1.0,
    ) -> None:
        self.backend = backend
        self.kind = kind
        self.running = running
        self.waiting = waiting
        self.pace = pace
        self.cold_left_s = cold_left_s


class LoadDigest(Record):
    """Tells another data centre how much room there is in this one.

    Attributes:
        data_centre: Data centre of the sender.
        idle: Percentage of usable backend servers without a request, by service.
    """

    __slots__ = ("data_centre", "idle")

    def __init__(self, data_centre: str, idle: Mapping[str, int]) -> None:
        self.data_centre = data_centre
        self.idle = dict(idle)


class HostReport(Record):
    """State of one daemon. Numbers replace earlier ones, so that a loss repairs itself.

    Attributes:
        host: Name of the host.
        incarnation: Start of the daemon, Unix time in milliseconds.
        data_centre: Data centre of the host.
        seq: Number of the report within the incarnation.
        store_age_s: Time since the last answer of the store.
        versions: Version by table of the store.
        leaving: Whether the daemon is stopping.
        complete: Whether servers missing in ``in_flight`` have none.
        in_flight: Requests of this host by backend server.
        waiting: Requests that wait at this host by service.
        sightings: What the host just learned of backend servers.
        digests: What other data centres told this host, passed on.
    """

    __slots__ = (
        "host",
        "incarnation",
        "data_centre",
        "seq",
        "store_age_s",
        "versions",
        "leaving",
        "complete",
        "in_flight",
        "waiting",
        "sightings",
        "digests",
    )

    def __init__(
        self,
        host: str,
        incarnation: int,
        data_centre: str,
        seq: int,
        *,
        store_age_s: float,
        versions: Mapping[str, int],
        leaving: bool = False,
        complete: bool = False,
        in_flight: Mapping[str, int] | None = None,
        waiting: Mapping[str, int] | None = None,
        sightings: Sequence[Sighting] = (),
        digests: Sequence[LoadDigest] = (),
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.seq = seq
        self.store_age_s = store_age_s
        self.versions = dict(versions)
        self.leaving = leaving
        self.complete = complete
        self.in_flight = dict(in_flight or {})
        self.waiting = dict(waiting or {})
        self.sightings = list(sightings)
        self.digests = list(digests)


class Hello(Record):
    """Announces a daemon and asks for the hosts that the receiver knows.

    Attributes:
        host: The host of the daemon.
        known: Number of hosts that the sender knows.
    """

    __slots__ = ("host", "known")

    def __init__(self, host: KnownHost, known: int) -> None:
        self.host = host
        self.known = known


class PlaceAsk(Record):
    """Asks a host of another data centre for a place at a backend server there.

    Attributes:
        token: Number of the question at the sender.
        service: Name of the service.
        route: Name of the route, which may restrict regions.
        service_time_s: Expected time of the request.
        shared: Whether a server that has a request already will do.
        wait_s: How long the request may wait at the receiver.
    """

    __slots__ = ("token", "service", "route", "service_time_s", "shared", "wait_s")

    def __init__(
        self,
        token: int,
        service: str,
        route: str,
        service_time_s: float,
        shared: bool,
        wait_s: float,
    ) -> None:
        self.token = token
        self.service = service
        self.route = route
        self.service_time_s = service_time_s
        self.shared = shared
        self.wait_s = wait_s


class PlaceOffer(Record):
    """Answers a PlaceAsk.

    Attributes:
        token: Number of the question.
        backend: Id of the server at which a place is kept, "" if there is none.
        pace: Pace of its machine; 1.0 is usual, 0.0 unknown.
        in_flight: Requests at the server besides this one.
    """

    __slots__ = ("token", "backend", "pace", "in_flight")

    def __init__(
        self, token: int, backend: str, pace: float = 0.0, in_flight: int = 0
    ) -> None:
        self.token = token
        self.backend = backend
        self.pace = pace
        self.in_flight = in_flight


class PlaceDone(Record):
    """Gives a place back that a PlaceOffer named.

    Attributes:
        token: Number of the question.
    """

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class Introduction(Record):
    """Answers a Hello.

    Attributes:
        hosts: Hosts that the sender knows, itself included.
    """

    __slots__ = ("hosts",)

    def __init__(self, hosts: Sequence[KnownHost]) -> None:
        self.hosts = list(hosts)
