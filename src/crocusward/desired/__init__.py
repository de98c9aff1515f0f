"""Desired state, backend servers and hosts as an entry host knows them."""

from ._directory import Directory
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
    "EntryHost",
    "RouteRule",
    "RowChange",
    "ServiceRule",
    "TableReplica",
    "TablePage",
    "WeightedService",
]
