"""Orderly closes of connections that may still have input on its way."""

from ._close import (
    PEER_CHECK_PERIOD_S,
    QUIET_S,
    LingerEnd,
    LingeringClose,
    has_peer_closed,
)

__all__ = [
    "PEER_CHECK_PERIOD_S",
    "QUIET_S",
    "LingerEnd",
    "LingeringClose",
    "has_peer_closed",
]
