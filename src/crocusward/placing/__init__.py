"""Decisions on each request: where it runs, whether it waits, when it is refused.

Nothing here does I/O; time is passed in.
"""

from . import _hedging as hedging
from ._fallback import RemoteRegionFallback
from ._groups import HostGroups, data_centre_of
from ._load import BackendLoad
from ._load_table import BackendLoadTable
from ._queue import QueuedRequest, RequestQueue
from ._retry_budget import FleetRetryBudget
from ._selection import Refused, Selection, SelectionRequest, SelectionVerdict
from ._selector import BackendSelector
from ._service_times import ServiceTimeModel
from ._split import WeightedSplit

__all__ = [
    "BackendLoad",
    "Selection",
    "HostGroups",
    "BackendLoadTable",
    "RemoteRegionFallback",
    "SelectionRequest",
    "BackendSelector",
    "QueuedRequest",
    "Refused",
    "RequestQueue",
    "FleetRetryBudget",
    "SelectionVerdict",
    "WeightedSplit",
    "ServiceTimeModel",
    "data_centre_of",
    "hedging",
]
