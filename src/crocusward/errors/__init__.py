"""Exceptions, refusals of requests and document validation findings."""

from ._errors import (
    ConflictError,
    CrocusError,
    ExchangeLostError,
    NotSentError,
    PeerUnreachableError,
    StoreUnavailableError,
    StoreUncertainError,
)
from ._findings import Finding, FindingsError, SourceLocation, nearest_name
from ._refusal import Attempt, Outcome, Refusal, RefusalCode

__all__ = [
    "Attempt",
    "ConflictError",
    "CrocusError",
    "ExchangeLostError",
    "Finding",
    "FindingsError",
    "NotSentError",
    "Outcome",
    "PeerUnreachableError",
    "Refusal",
    "RefusalCode",
    "SourceLocation",
    "StoreUnavailableError",
    "StoreUncertainError",
    "nearest_name",
]
