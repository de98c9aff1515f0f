"""Rate limits, retry budget, fair queueing and the host count they divide by."""

from ._fair_queue import FairQueue, QueuedItem
from ._host_count import HostCounter
from ._rate import AdmissionPermit, RateLimiter
from ._retry import RetryBudget

__all__ = [
    "FairQueue",
    "HostCounter",
    "RateLimiter",
    "RetryBudget",
    "AdmissionPermit",
    "QueuedItem",
]
