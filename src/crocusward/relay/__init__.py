"""Proxies requests of callers to backend servers and returns their answers."""

from ._caller import CallerConnection
from ._crash_watch import CrashWatch, show_digest
from ._evidence import Evidence
from ._exchange import BackendClient, Exchange, ExchangeEnd
from ._listener import Listener
from ._messages import CallerAnswer, CallerRequest, make_refusal
from ._notice_tracker import NoticeTracker
from ._permits import PermitAnswer
from ._pipeline import STOPPING_RETRY_AFTER_S, Relay
from ._probing import LoadProber
from ._rate_limits import RateLimitTracker
from ._requests import RequestLog
from ._reserved_slot import NO_FREE_SLOT, ReservedSlot
from ._slot_finder import SlotFinder
from ._slot_offers import SlotOffers

__all__ = [
    "NO_FREE_SLOT",
    "STOPPING_RETRY_AFTER_S",
    "BackendClient",
    "CallerAnswer",
    "CallerConnection",
    "CallerRequest",
    "CrashWatch",
    "Evidence",
    "Exchange",
    "ExchangeEnd",
    "ReservedSlot",
    "Listener",
    "LoadProber",
    "PermitAnswer",
    "SlotFinder",
    "SlotOffers",
    "NoticeTracker",
    "RateLimitTracker",
    "Relay",
    "RequestLog",
    "make_refusal",
    "show_digest",
]
