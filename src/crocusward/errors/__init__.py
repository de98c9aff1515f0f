"""Errors, refusals and findings."""

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
    "SourceLocation",
    "Refusal",
    "RefusalCode",
    "StoreUnavailableError",
    "StoreUncertainError",
    "nearest_name",
]
