"""Limits: shares of fleet-wide budgets, rates, retries and fair queueing."""

from ._fair_queue import FairQueue, QueuedItem
from ._rate import RateLimiter, AdmissionPermit
from ._retry import RetryBudget
from ._share import HostCounter

__all__ = [
    "FairQueue",
    "HostCounter",
    "RateLimiter",
    "RetryBudget",
    "AdmissionPermit",
    "QueuedItem",
]
