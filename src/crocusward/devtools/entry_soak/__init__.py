"""Randomised runs of many entry daemons in virtual time."""

from ._fleet import LimitedFleet, make_servers, play_faults
from ._restores import RestoredStoreRun
from ._servers import ALLOWED_EXTRA, ALLOWED_FACTOR, WINDOW_S, ColdServer, LimitedServer
from ._slot_offers import SlotOfferRun
from ._whole_hosts import WholeFleet

__all__ = [
    "ALLOWED_EXTRA",
    "ALLOWED_FACTOR",
    "RestoredStoreRun",
    "WINDOW_S",
    "ColdServer",
    "LimitedFleet",
    "LimitedServer",
    "SlotOfferRun",
    "WholeFleet",
    "make_servers",
    "play_faults",
]
