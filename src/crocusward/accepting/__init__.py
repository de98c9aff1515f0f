"""End of a listener: no connection that was accepted is lost."""

from ._queue import ACCEPT_TIME_S, end_accepting

__all__ = ["ACCEPT_TIME_S", "end_accepting"]
