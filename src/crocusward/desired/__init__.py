"""Desired state, backend servers and hosts as an entry host knows them."""

from ._directory import Directory
from ._position import NO_ERA, NO_POSITION, NO_VERSION, TablePosition
from ._table_replica import TableReplica
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
    "NO_ERA",
    "NO_POSITION",
    "NO_VERSION",
    "EntryHost",
    "RouteRule",
    "RowChange",
    "ServiceRule",
    "TableReplica",
    "TablePage",
    "TablePosition",
    "WeightedService",
]
