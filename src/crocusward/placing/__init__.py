"""Selection of backend servers, admission to the queue, and retry budgets.

Nothing here does I/O; callers pass the time in.
"""

from . import _hedging as hedging
from ._fallback import RemoteRegionFallback
from ._groups import HostGroups, data_centre_of
from ._load import BackendLoad
from ._load_table import BackendLoadTable
from ._notices import ServerNotices
from ._permits import GroupMembers, PermitIssuer
from ._queue import QueuedRequest, RequestQueue
from ._rate_limit import (
    NO_LIMIT,
    PERMIT_LIFETIME_S,
    PermitBucket,
    ServerRateLimit,
)
from ._retry_budget import FleetRetryBudget
from ._selection import (
    LimitedServers,
    Refused,
    Selection,
    SelectionRequest,
    SelectionVerdict,
)
from ._selector import BackendSelector
from ._service_times import ServiceTimeModel
from ._split import WeightedSplit

__all__ = [
    "NO_LIMIT",
    "PERMIT_LIFETIME_S",
    "BackendLoad",
    "BackendLoadTable",
    "BackendSelector",
    "FleetRetryBudget",
    "GroupMembers",
    "HostGroups",
    "LimitedServers",
    "PermitBucket",
    "PermitIssuer",
    "ServerNotices",
    "QueuedRequest",
    "Refused",
    "RemoteRegionFallback",
    "RequestQueue",
    "Selection",
    "SelectionRequest",
    "SelectionVerdict",
    "ServerRateLimit",
    "ServiceTimeModel",
    "WeightedSplit",
    "data_centre_of",
    "hedging",
]
