"""Decisions on each request: where it runs, whether it waits, when it is refused.

Nothing here does I/O; time is passed in.
"""

from . import _second as second_copy
from ._book import LoadBook
from ._choice import Choice, PlaceRequest, Refused, Verdict
from ._groups import Groups, data_centre_of
from ._load import BackendLoad
from ._overflow import Overflow
from ._placer import Placer
from ._queue import QueuedRequest, RequestQueue
from ._retries import RetryAllowance
from ._split import WeightedSplit
from ._work import WorkTimes

__all__ = [
    "BackendLoad",
    "Choice",
    "Groups",
    "LoadBook",
    "Overflow",
    "PlaceRequest",
    "Placer",
    "QueuedRequest",
    "Refused",
    "RequestQueue",
    "RetryAllowance",
    "Verdict",
    "WeightedSplit",
    "WorkTimes",
    "data_centre_of",
    "second_copy",
]
