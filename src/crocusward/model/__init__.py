"""Data model shared by the packages of crocusward."""

from ._call import BackendAnswer, Call, Reply
from ._contract import (
    Contract,
    ContractLimits,
    Customer,
    HomeRegions,
    Route,
    ServiceLevel,
)
from ._fleet import FleetConfig
from ._record import Record
from ._topology import (
    BACKEND_CONNECTIONS,
    BACKEND_SLOTS,
    Backend,
    DataCentre,
    Host,
    ListedHost,
    Service,
    ServiceState,
)

__all__ = [
    "BACKEND_CONNECTIONS",
    "BACKEND_SLOTS",
    "Backend",
    "BackendAnswer",
    "Call",
    "Contract",
    "ContractLimits",
    "Customer",
    "DataCentre",
    "FleetConfig",
    "HomeRegions",
    "Host",
    "ListedHost",
    "Record",
    "Reply",
    "Route",
    "Service",
    "ServiceLevel",
    "ServiceState",
]
