"""Protocol between entry hosts: messages, authenticated links and the mesh."""

from . import _backend_formats as _backend_formats  # registers its formats
from ._codec import Frame, decode, encode
from ._faults import LinkFault, PeerProtocolError
from ._link import PeerLink
from ._mesh import PeerMesh
from ._messages import (
    BackendCold,
    ChangeBatch,
    ChangeRequest,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    Hello,
    Hold,
    Message,
    OfferedRate,
    OutcomeReply,
    OutcomeRequest,
    RateLimitEntry,
    RateLimitPermit,
    RateLimitPermitRequest,
    RateLimitReport,
    SlowStartAllowance,
    SlowStartPermit,
    SlowStartPermitRequest,
    SlowStartReport,
)
from ._options import PeerHandler, PeerIdentity, PeerOptions, PeerTraffic
from ._server import PeerServer

__all__ = [
    "BackendCold",
    "ChangeRequest",
    "ChangeBatch",
    "OfferedRate",
    "ForwardReply",
    "ForwardRequest",
    "Frame",
    "Heartbeat",
    "Hello",
    "Hold",
    "LinkFault",
    "Message",
    "OutcomeReply",
    "OutcomeRequest",
    "PeerHandler",
    "PeerIdentity",
    "PeerLink",
    "PeerMesh",
    "PeerOptions",
    "PeerProtocolError",
    "PeerServer",
    "PeerTraffic",
    "RateLimitEntry",
    "RateLimitPermit",
    "RateLimitPermitRequest",
    "RateLimitReport",
    "SlowStartPermitRequest",
    "SlowStartAllowance",
    "SlowStartPermit",
    "SlowStartReport",
    "decode",
    "encode",
]
