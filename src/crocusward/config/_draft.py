"""Mutable builder of a configuration version."""

from collections.abc import Mapping
from typing import TypeVar

from ..model import Contract, Customer, DataCentre, FleetConfig, Service, ServiceState

T = TypeVar("T")

MAX_RELEASED_HOLDS = 1_000  # no message is delayed past this many releases


class ConfigDraft:
    """Builds a configuration; copies a mapping only when it changes.

    Args:
        config: The configuration to start from.
    """

    __slots__ = (
        "contracts",
        "customers",
        "services",
        "data_centres",
        "hosts_out",
        "released_holds",
    )

    def __init__(self, config: FleetConfig) -> None:
        self.contracts = config.contracts
        self.customers = config.customers
        self.services = config.services
        self.data_centres = config.data_centres
        self.hosts_out = config.hosts_out
        self.released_holds = config.released_holds

    def put_contract(self, contract: Contract) -> None:
        """Create or replace a contract."""
        self.contracts = _with(self.contracts, contract.name, contract)

    def put_customer(self, customer: Customer) -> None:
        """Create or replace a customer."""
        self.customers = _with(self.customers, customer.name, customer)

    def put_service(self, service: Service) -> None:
        """Create or replace a service."""
        self.services = _with(self.services, service.name, service)

    def put_data_centre(self, data_centre: DataCentre) -> None:
        """Create or replace a data centre."""
        self.data_centres = _with(self.data_centres, data_centre.name, data_centre)

    def delete_contract(self, name: str) -> None:
        """Delete a contract if it exists."""
        self.contracts = _without(self.contracts, name)

    def delete_customer(self, name: str) -> None:
        """Delete a customer if it exists."""
        self.customers = _without(self.customers, name)

    def delete_service(self, name: str) -> None:
        """Delete a service if it exists."""
        self.services = _without(self.services, name)

    def set_host_state(self, name: str, state: ServiceState) -> None:
        """Take a host out of service or back."""
        if state is ServiceState.OUT:
            self.hosts_out = self.hosts_out | {name}
        else:
            self.hosts_out = self.hosts_out - {name}

    def release_hold(self, hold_id: str) -> None:
        """Record that a hold was released."""
        others = tuple(item for item in self.released_holds if item != hold_id)
        self.released_holds = (*others, hold_id)[-MAX_RELEASED_HOLDS:]

    def regions(self) -> set[str]:
        """Return the regions that have a data centre."""
        return {item.region for item in self.data_centres.values()}

    def freeze(self, version: int) -> FleetConfig:
        """Return the configuration as an immutable version."""
        return FleetConfig(
            version,
            contracts=self.contracts,
            customers=self.customers,
            services=self.services,
            data_centres=self.data_centres,
            hosts_out=self.hosts_out,
            released_holds=self.released_holds,
        )


def _with(mapping: Mapping[str, T], name: str, value: T) -> Mapping[str, T]:
    copy = dict(mapping)
    copy[name] = value
    return copy


def _without(mapping: Mapping[str, T], name: str) -> Mapping[str, T]:
    copy = dict(mapping)
    copy.pop(name, None)
    return copy
