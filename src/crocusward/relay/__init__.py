"""The path of a request: from a caller to a backend server and back."""

from ._caller import CallerConnection
from ._exchange import BackendClient, Exchange, ExchangeEnd
from ._reserved_slot import NO_FREE_SLOT, ReservedSlot
from ._listener import Listener
from ._messages import CallerAnswer, CallerRequest, make_refusal
from ._pipeline import Relay
from ._slot_finder import SlotFinder
from ._probing import LoadProber
from ._requests import RequestLog

__all__ = [
    "NO_FREE_SLOT",
    "BackendClient",
    "CallerAnswer",
    "CallerConnection",
    "CallerRequest",
    "Exchange",
    "ExchangeEnd",
    "ReservedSlot",
    "Listener",
    "LoadProber",
    "SlotFinder",
    "Relay",
    "RequestLog",
    "make_refusal",
]
