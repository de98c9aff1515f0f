"""What an entry host keeps of the platform: desired state, backend servers, hosts."""

from ._copy import TableReplica
from ._directory import Directory
from ._types import (
    AllowedRegions,
    BackendEntry,
    CallerLimits,
    DesiredState,
    EntryHost,
    FleetBounds,
    HostFacts,
    HostLimits,
    RouteRule,
    RowChange,
    ServiceRule,
    TablePage,
    WeightedService,
)

__all__ = [
    "AllowedRegions",
    "BackendEntry",
    "FleetBounds",
    "CallerLimits",
    "DesiredState",
    "Directory",
    "HostFacts",
    "HostLimits",
    "EntryHost",
    "RouteRule",
    "RowChange",
    "ServiceRule",
    "TableReplica",
    "TablePage",
    "WeightedService",
]
