"""A version of the fleet configuration."""

from collections.abc import Mapping

from ._contract import Contract, Customer
from ._record import Record
from ._topology import DataCentre, Service, ServiceState


class FleetConfig(Record):
    """Immutable snapshot of the configuration at one version.

    Attributes:
        version: Position in the change log; 0 is the empty configuration.
        contracts: Contracts by name.
        customers: Customers by name.
        services: Services by name.
        data_centres: Data centres by name.
        hosts_out: Names of hosts (entry or backend) taken out of service.
        released_holds: Ids of released holds, latest last, so that a delayed peer
            message cannot place such a hold again.
    """

    __slots__ = (
        "version",
        "contracts",
        "customers",
        "services",
        "data_centres",
        "hosts_out",
        "released_holds",
    )

    def __init__(
        self,
        version: int = 0,
        *,
        contracts: Mapping[str, Contract] | None = None,
        customers: Mapping[str, Customer] | None = None,
        services: Mapping[str, Service] | None = None,
        data_centres: Mapping[str, DataCentre] | None = None,
        hosts_out: frozenset[str] = frozenset(),
        released_holds: tuple[str, ...] = (),
    ) -> None:
        self.version = version
        self.contracts: Mapping[str, Contract] = contracts or {}
        self.customers: Mapping[str, Customer] = customers or {}
        self.services: Mapping[str, Service] = services or {}
        self.data_centres: Mapping[str, DataCentre] = data_centres or {}
        self.hosts_out = hosts_out
        self.released_holds = released_holds

    def is_data_centre_out(self, name: str) -> bool:
        """Return True if the data centre is known and taken out of service."""
        data_centre = self.data_centres.get(name)
        return data_centre is not None and data_centre.state is ServiceState.OUT
