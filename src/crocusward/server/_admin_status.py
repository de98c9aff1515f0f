"""What the administration API shows of the fleet."""

from ..model import Record

Table = dict[str, object]


class HostStatus(Record):
    """An entry host as seen from the answering host.

    Attributes:
        name: Name on the host list.
        region: Name of its region.
        data_centre: Name of its data centre.
        version: Configuration version in force there, or -1 if unknown.
        contact_age_s: Time since its last heartbeat, in seconds, or -1 for never.
        leaving: True if it is stopping.
    """

    __slots__ = (
        "name",
        "region",
        "data_centre",
        "version",
        "contact_age_s",
        "leaving",
    )

    def __init__(
        self,
        name: str,
        region: str,
        data_centre: str,
        version: int,
        contact_age_s: float,
        *,
        leaving: bool = False,
    ) -> None:
        self.name = name
        self.region = region
        self.data_centre = data_centre
        self.version = version
        self.contact_age_s = contact_age_s
        self.leaving = leaving


class BackendStatus(Record):
    """A backend server as seen from the answering host.

    Attributes:
        id: Backend id.
        service: Name of its service.
        region: Name of its region.
        data_centre: Name of its data centre.
        state: "warm", "cold", "limited", "leaving" or "out".
        in_flight: Requests of this host in flight there.
    """

    __slots__ = ("id", "service", "region", "data_centre", "state", "in_flight")

    def __init__(
        self,
        id: str,
        service: str,
        region: str,
        data_centre: str,
        state: str,
        in_flight: int = 0,
    ) -> None:
        self.id = id
        self.service = service
        self.region = region
        self.data_centre = data_centre
        self.state = state
        self.in_flight = in_flight


class FleetStatus(Record):
    """The fleet as seen from one host.

    Attributes:
        host: Name of the answering host.
        region: Its region.
        version: Configuration version in force there.
        confirmed: True if that copy is confirmed as current.
        hosts: Listed entry hosts, the answering one included.
        backends: Backend servers.
        violations: Counts of violated invariants by name.
    """

    __slots__ = (
        "host",
        "region",
        "version",
        "confirmed",
        "hosts",
        "backends",
        "violations",
    )

    def __init__(
        self,
        host: str,
        region: str,
        version: int,
        confirmed: bool,
        *,
        hosts: tuple[HostStatus, ...] = (),
        backends: tuple[BackendStatus, ...] = (),
        violations: dict[str, int] | None = None,
    ) -> None:
        self.host = host
        self.region = region
        self.version = version
        self.confirmed = confirmed
        self.hosts = hosts
        self.backends = backends
        self.violations = violations or {}

    def to_table(self) -> Table:
        """Return the status as a JSON table."""
        return {
            "host": self.host,
            "region": self.region,
            "version": self.version,
            "confirmed": self.confirmed,
            "hosts": [_slots_table(item) for item in self.hosts],
            "backends": [_slots_table(item) for item in self.backends],
            "violations": dict(self.violations),
        }


def _slots_table(item: Record) -> Table:
    return {name: getattr(item, name) for name in item.__slots__}
