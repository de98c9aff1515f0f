"""Datagram protocol between daemons: membership, load reports and slot requests."""

from ._codec import Message, MessageError, decode_message, encode_message
from ._endpoint import NeighbourEndpoint
from ._messages import (
    BackendObservation,
    CrashReport,
    Hello,
    HostReport,
    IdleSummary,
    MemberList,
    ObservationKind,
    RateLimitReport,
    SlotOffer,
    SlotRelease,
    SlotRequest,
)
from ._table import Neighbour, NeighbourTable
from ._times import ReadTimes

__all__ = [
    "Hello",
    "HostReport",
    "MemberList",
    "IdleSummary",
    "Message",
    "MessageError",
    "Neighbour",
    "NeighbourEndpoint",
    "NeighbourTable",
    "SlotRequest",
    "SlotRelease",
    "SlotOffer",
    "RateLimitReport",
    "ReadTimes",
    "BackendObservation",
    "CrashReport",
    "ObservationKind",
    "decode_message",
    "encode_message",
]
