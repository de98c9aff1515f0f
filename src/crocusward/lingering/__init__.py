"""Orderly closes of connections that may still have input on its way."""

from ._close import QUIET_S, LingerEnd, LingeringClose

__all__ = ["QUIET_S", "LingerEnd", "LingeringClose"]
