"""Identity, options, counters and callbacks of the peer protocol."""

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
IDLE_TIMEOUT_S = 3.5  # three heartbeats plus jitter
DIAL_BACKOFF_BASE_S = 0.1
MAX_DIAL_BACKOFF_S = 5.0
# The non-preferred side of a pair dials after this delay, since the host list of
# the preferred side may not contain it yet.
NON_PREFERRED_DIAL_DELAY_S = 1.0
# Concurrent outgoing handshakes of a daemon. On a busy CPU, more of them slow each
# other down until all time out.
MAX_DIALLED_HANDSHAKES = 4
MAX_CONTROL_QUEUE_BYTES = 1 << 20
MAX_FORWARD_QUEUE_BYTES = 8 << 20
MAX_SERVED_REQUESTS = 1024  # concurrently, from all peers
MAX_SERVED_BYTES = 64 << 20  # total of their bodies
MAX_HANDSHAKES = 64  # accepted and not yet authenticated


class PeerIdentity(Record):
    """Identity of one end of a link.

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
    """Options of the peer protocol.

    Attributes:
        key: Shared key, at least 16 bytes.
        server_tls: TLS context for accepted links, or None.
        client_tls: TLS context for dialled links, or None.
        heartbeat_period_s: Heartbeat period, in seconds.
        idle_timeout_s: Time without a frame after which a link is closed, in seconds.
        control_queue_bytes: Limit of queued control messages on a link.
        forward_queue_bytes: Limit of queued forwarded requests on a link.
    """

    __slots__ = (
        "key",
        "server_tls",
        "client_tls",
        "heartbeat_period_s",
        "idle_timeout_s",
        "control_queue_bytes",
        "forward_queue_bytes",
    )

    def __init__(
        self,
        key: bytes,
        *,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
        heartbeat_period_s: float = HEARTBEAT_PERIOD_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        control_queue_bytes: int = MAX_CONTROL_QUEUE_BYTES,
        forward_queue_bytes: int = MAX_FORWARD_QUEUE_BYTES,
    ) -> None:
        if len(key) < 16:
            raise ValueError("the shared key needs at least 16 bytes")
        self.key = key
        self.server_tls = server_tls
        self.client_tls = client_tls
        self.heartbeat_period_s = heartbeat_period_s
        self.idle_timeout_s = idle_timeout_s
        self.control_queue_bytes = control_queue_bytes
        self.forward_queue_bytes = forward_queue_bytes

    def __repr__(self) -> str:
        return "PeerOptions(...)"  # keeps the key out of logs


class PeerTraffic(Record):
    """Traffic counters of all links of a daemon, with WebSocket frame headers.

    Attributes:
        control_sent_bytes: Bytes of control messages sent.
        control_received_bytes: Bytes of control messages received.
        forward_sent_bytes: Bytes of forwarded requests and their replies sent.
        forward_received_bytes: Bytes of forwarded requests and their replies received.
        frames_sent: Frames sent.
        frames_received: Frames received.
        replies_dropped: Replies that were late or from another incarnation.
    """

    __slots__ = (
        "control_sent_bytes",
        "control_received_bytes",
        "forward_sent_bytes",
        "forward_received_bytes",
        "frames_sent",
        "frames_received",
        "replies_dropped",
    )

    def __init__(self) -> None:
        self.control_sent_bytes = 0
        self.control_received_bytes = 0
        self.forward_sent_bytes = 0
        self.forward_received_bytes = 0
        self.frames_sent = 0
        self.frames_received = 0
        self.replies_dropped = 0

    def count_sent(self, size_bytes: int, is_forward: bool) -> None:
        """Count a sent frame."""
        self.frames_sent += 1
        if is_forward:
            self.forward_sent_bytes += size_bytes
        else:
            self.control_sent_bytes += size_bytes

    def count_received(self, size_bytes: int, is_forward: bool) -> None:
        """Count a received frame."""
        self.frames_received += 1
        if is_forward:
            self.forward_received_bytes += size_bytes
        else:
            self.control_received_bytes += size_bytes


class PeerHandler(Protocol):
    """Callbacks of the daemon for link events and messages."""

    def make_heartbeat(self, peer: PeerIdentity) -> Heartbeat:
        """Return the state to send; the link fills in ``seq`` and ``echo``."""

    def on_heartbeat_sent(self, peer: PeerIdentity, seq: int) -> None:
        """Record a heartbeat about to be sent; called after ``on_peer_up``."""

    def on_message(self, peer: PeerIdentity, message: Message) -> None:
        """Handle a message other than a request, a reply or a Hello.

        A PeerProtocolError raised here closes the link with its fault.
        """

    def on_peer_up(self, peer: PeerIdentity) -> None:
        """Handle a new usable link."""

    def on_peer_down(self, peer: PeerIdentity, is_replaced: bool) -> None:
        """Handle loss of the link; ``is_replaced`` if a new incarnation took over."""

    def on_link_fault(self, host: str, fault: LinkFault, reason: str) -> None:
        """Report why a link was closed or not established; host may be ""."""

    async def serve_forward(
        self, peer: PeerIdentity, req: ForwardRequest
    ) -> ForwardReply:
        """Run a forwarded request whose key this host holds."""

    async def serve_outcome(
        self, peer: PeerIdentity, req: OutcomeRequest
    ) -> OutcomeReply:
        """Return the state of a key."""
