"""Identity, settings, counters and callbacks of the inner protocol."""

import ssl
from typing import Protocol

from ..model import Record
from ._faults import LinkFault
from ._messages import (
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    Message,
    OutcomeReply,
    OutcomeRequest,
)

HEARTBEAT_PERIOD_S = 1.0
HANDSHAKE_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 3.5  # three heartbeats and their jitter
FIRST_DIAL_DELAY_S = 0.1
MAX_DIAL_DELAY_S = 5.0
# The side that should not dial waits this long. It dials all the same, since the
# other side's host list may not show it yet.
SECOND_DIALLER_DELAY_S = 1.0
# Handshakes that a daemon has under way as the dialling side. On a busy processor
# more of them would each take longer, until all exceed their time limit.
MAX_DIALLED_HANDSHAKES = 4
MAX_CONTROL_QUEUE_BYTES = 1 << 20
MAX_FORWARD_QUEUE_BYTES = 8 << 20
MAX_SERVED_REQUESTS = 1024  # at a time, of all peers
MAX_SERVED_BYTES = 64 << 20  # bodies of these requests
MAX_HANDSHAKES = 64  # accepted connections not yet authenticated


class PeerIdentity(Record):
    """Who is at one end of a link.

    Attributes:
        host: Name on the host list.
        region: Region name.
        data_centre: Data centre name.
        incarnation: Random number of this run of the daemon.
    """

    __slots__ = ("host", "region", "data_centre", "incarnation")

    def __init__(
        self, host: str, region: str, data_centre: str, incarnation: int
    ) -> None:
        self.host = host
        self.region = region
        self.data_centre = data_centre
        self.incarnation = incarnation


class PeerOptions(Record):
    """Settings of the inner protocol.

    Attributes:
        key: Shared key, at least 16 bytes.
        server_tls: TLS context for accepted links, or None.
        client_tls: TLS context for dialled links, or None.
        heartbeat_s: Period of heartbeats, in seconds.
        idle_s: Silence after which a link is closed, in seconds.
        control_queue_bytes: Most queued bytes of control messages on a link.
        forward_queue_bytes: Most queued bytes of forwarded requests on a link.
    """

    __slots__ = (
        "key",
        "server_tls",
        "client_tls",
        "heartbeat_s",
        "idle_s",
        "control_queue_bytes",
        "forward_queue_bytes",
    )

    def __init__(
        self,
        key: bytes,
        *,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
        heartbeat_s: float = HEARTBEAT_PERIOD_S,
        idle_s: float = IDLE_TIMEOUT_S,
        control_queue_bytes: int = MAX_CONTROL_QUEUE_BYTES,
        forward_queue_bytes: int = MAX_FORWARD_QUEUE_BYTES,
    ) -> None:
        if len(key) < 16:
            raise ValueError("the shared key needs at least 16 bytes")
        self.key = key
        self.server_tls = server_tls
        self.client_tls = client_tls
        self.heartbeat_s = heartbeat_s
        self.idle_s = idle_s
        self.control_queue_bytes = control_queue_bytes
        self.forward_queue_bytes = forward_queue_bytes

    def __repr__(self) -> str:
        return "PeerOptions(...)"  # keeps the key out of logs


class PeerTraffic(Record):
    """Bytes of all links of one daemon, with websocket frame headers.

    Attributes:
        control_sent: Bytes of control messages sent.
        control_received: Bytes of control messages received.
        forward_sent: Bytes of forwarded requests and their replies sent.
        forward_received: Bytes of forwarded requests and their replies received.
        frames_sent: Frames sent.
        frames_received: Frames received.
        replies_dropped: Replies that came late or from the wrong incarnation.
    """

    __slots__ = (
        "control_sent_bytes",
        "control_received_bytes",
        "forward_sent",
        "forward_received",
        "frames_sent",
        "frames_received",
        "replies_dropped",
    )

    def __init__(self) -> None:
        self.control_sent_bytes = 0
        self.control_received_bytes = 0
        self.forward_sent = 0
        self.forward_received = 0
        self.frames_sent = 0
        self.frames_received = 0
        self.replies_dropped = 0

    def sent(self, size: int, forward: bool) -> None:
        """Count a sent frame."""
        self.frames_sent += 1
        if forward:
            self.forward_sent += size
        else:
            self.control_sent_bytes += size

    def received(self, size: int, forward: bool) -> None:
        """Count a received frame."""
        self.frames_received += 1
        if forward:
            self.forward_received += size
        else:
            self.control_received_bytes += size


class PeerHandler(Protocol):
    """What the daemon does with peers and their messages."""

    def make_heartbeat(self, peer: PeerIdentity) -> Heartbeat:
        """Return the state to send; ``seq`` and ``echo`` are filled in later."""

    def on_heartbeat_sent(self, peer: PeerIdentity, seq: int) -> None:
        """Note that a heartbeat is about to be sent; follows ``on_peer_up``."""

    def on_message(self, peer: PeerIdentity, message: Message) -> None:
        """Handle a message other than a request, a reply or a Hello.

        A PeerProtocolError raised here closes the link with its fault.
        """

    def on_peer_up(self, peer: PeerIdentity) -> None:
        """Note that a link is usable."""

    def on_peer_down(self, peer: PeerIdentity, gone: bool) -> None:
        """Note that no link is left; ``gone`` means that it was replaced."""

    def on_link_fault(self, host: str, fault: LinkFault, reason: str) -> None:
        """Note why a link was closed or could not be made; host may be ""."""

    async def serve_forward(
        self, peer: PeerIdentity, req: ForwardRequest
    ) -> ForwardReply:
        """Answer a request whose key this host holds."""

    async def serve_outcome(
        self, peer: PeerIdentity, req: OutcomeRequest
    ) -> OutcomeReply:
        """Answer with the state of a key."""
