"""Regions, data centres, hosts, services and backend servers."""

from enum import StrEnum

from ._record import Record

BACKEND_SLOTS = 2
BACKEND_CONNECTIONS = 220


class ServiceState(StrEnum):
    """Whether a data centre or host accepts new requests."""

    IN = "in"
    OUT = "out"


class DataCentre(Record):
    """A data centre.

    Attributes:
        name: Unique name.
        region: Name of its region.
        state: Whether it accepts new requests.
    """

    __slots__ = ("name", "region", "state")

    def __init__(
        self, name: str, region: str, state: ServiceState = ServiceState.IN
    ) -> None:
        self.name = name
        self.region = region
        self.state = state


class Host(Record):
    """Operator-set state of an entry or backend host.

    Attributes:
        name: Name on the platform's host list.
        state: Whether it accepts new requests.
    """

    __slots__ = ("name", "state")

    def __init__(self, name: str, state: ServiceState) -> None:
        self.name = name
        self.state = state


class Service(Record):
    """A service and the limits of its backend servers.

    Attributes:
        name: Unique name; the first segment of the request path.
        slots: Requests that one backend server runs concurrently.
        connections: Connections that one backend server accepts.
    """

    __slots__ = ("name", "slots", "connections")

    def __init__(
        self,
        name: str,
        *,
        slots: int = BACKEND_SLOTS,
        connections: int = BACKEND_CONNECTIONS,
    ) -> None:
        self.name = name
        self.slots = slots
        self.connections = connections


class Backend(Record):
    """A backend server of one service.

    Attributes:
        id: Unique id.
        service: Name of its service.
        region: Name of its region.
        data_centre: Name of its data centre.
        address: IP address.
        port: TCP port.
    """

    __slots__ = ("id", "service", "region", "data_centre", "address", "port")

    def __init__(
        self,
        id: str,
        service: str,
        region: str,
        data_centre: str,
        address: str,
        port: int,
    ) -> None:
        self.id = id
        self.service = service
        self.region = region
        self.data_centre = data_centre
        self.address = address
        self.port = port


class ListedHost(Record):
    """An entry of the platform's host list, which lags behind the actual hosts.

    Attributes:
        name: Unique name; the backend id for a backend server.
        role: "entry" or "backend".
        region: Name of its region.
        data_centre: Name of its data centre.
        address: IP address.
        port: Peer port of an entry host, HTTP port of a backend server.
        leaving: True if the platform is about to stop the host.
        service: Service of a backend server, "" for an entry host.
    """

    __slots__ = (
        "name",
        "role",
        "region",
        "data_centre",
        "address",
        "port",
        "leaving",
        "service",
    )

    def __init__(
        self,
        name: str,
        role: str,
        region: str,
        data_centre: str,
        address: str,
        port: int,
        *,
        leaving: bool = False,
        service: str = "",
    ) -> None:
        self.name = name
        self.role = role
        self.region = region
        self.data_centre = data_centre
        self.address = address
        self.port = port
        self.leaving = leaving
        self.service = service
