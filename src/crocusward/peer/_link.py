"""One authenticated connection to a peer, with bounded send queues."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ..timing import TimerService
from ._codec import Frame, decode, encode
from ._faults import LinkFault, PeerProtocolError
from ._messages import ForwardReply, ForwardRequest, Heartbeat
from ._offered_rates import OfferedRateReceiver, OfferedRateSender
from ._options import PeerIdentity, PeerOptions, PeerTraffic

CLOSE_STATUS_CODE = 4000  # WebSocket private-use code; the fault code is the reason
MASK_BYTES = 4
SMALL_PAYLOAD_BYTES = 125
MEDIUM_PAYLOAD_BYTES = 65_535


class OutgoingFrame:
    """A frame waiting to be sent.

    Attributes:
        data: Encoded frame.
        is_forward: True for a forwarded request or its reply.
        is_started: True once its first byte may have been written.
        is_cancelled: True if it must no longer be sent.
    """

    __slots__ = ("data", "is_forward", "is_started", "is_cancelled")

    def __init__(self, data: bytes, is_forward: bool) -> None:
        self.data = data
        self.is_forward = is_forward
        self.is_started = False
        self.is_cancelled = False


class PeerLink:
    """Sends frames from bounded queues and dispatches received ones.

    Args:
        conn: Authenticated WebSocket connection.
        peer: Identity of the peer.
        is_dialled: True if this side opened the connection.
        options: Options of the peer protocol.
        timer: Source of time.
        traffic: Traffic counters of the daemon.
        on_frame: Called with each received frame.

    Attributes:
        is_new: True if there was no link to this incarnation before.
        is_open: True once the peer accepts frames up to the full size limit.
        last_received_s: Monotonic time of the last received frame, in seconds.
        last_heartbeat_sent_s: Monotonic time of the last heartbeat sent, in seconds.
        fault: Why the link closed, or None.
    """

    __slots__ = (
        "peer",
        "is_dialled",
        "is_new",
        "is_open",
        "last_received_s",
        "last_heartbeat_sent_s",
        "fault",
        "_conn",
        "_options",
        "_timer",
        "_traffic",
        "_on_frame",
        "_control_queue",
        "_forward_queue",
        "_queued_control_bytes",
        "_queued_forward_bytes",
        "_wakeup",
        "_is_closed",
        "_close_task",
        "_last_heartbeat",
        "_offered_rate_sender",
        "_offered_rate_receiver",
        "_first_sent_seq",
        "_last_sent_seq",
        "_last_received_seq",
    )

    def __init__(
        self,
        conn: Connection,
        peer: PeerIdentity,
        is_dialled: bool,
        options: PeerOptions,
        timer: TimerService,
        traffic: PeerTraffic,
        on_frame: Callable[["PeerLink", Frame], None],
    ) -> None:
        self.peer = peer
        self.is_dialled = is_dialled
        self.is_new = True
        self.is_open = False
        self.last_received_s = timer.now()
        self.last_heartbeat_sent_s = 0.0
        self.fault: PeerProtocolError | None = None
        self._conn = conn
        self._options = options
        self._timer = timer
        self._traffic = traffic
        self._on_frame = on_frame
        self._control_queue: deque[OutgoingFrame] = deque()
        self._forward_queue: deque[OutgoingFrame] = deque()
        self._queued_control_bytes = 0
        self._queued_forward_bytes = 0
        self._wakeup = asyncio.Event()
        self._is_closed = False
        self._close_task: asyncio.Task[None] | None = None
        self._last_heartbeat: OutgoingFrame | None = None
        self._offered_rate_sender = OfferedRateSender()
        self._offered_rate_receiver = OfferedRateReceiver()
        self._first_sent_seq = 0
        self._last_sent_seq = 0
        self._last_received_seq = 0

    @property
    def is_usable(self) -> bool:
        """True while frames can be sent."""
        return not self._is_closed

    @property
    def socket(self) -> socket.socket:
        """The socket, for its statistics."""
        sock: socket.socket = self._conn.transport.get_extra_info("socket")
        return sock

    @property
    def queued_bytes(self) -> int:
        """Bytes in both queues."""
        return self._queued_control_bytes + self._queued_forward_bytes

    def send_control(self, data: bytes) -> bool:
        """Queue a control frame; abort the link if the peer reads too slowly."""
        if self._is_closed:
            return False
        if self._queued_control_bytes + len(data) > self._options.control_queue_bytes:
            self.abort(LinkFault.SLOW_READER, "the control queue is full")
            return False
        self._control_queue.append(OutgoingFrame(data, False))
        self._queued_control_bytes += len(data)
        self._wakeup.set()
        return True

    def send_forward(self, data: bytes) -> OutgoingFrame | None:
        """Queue a forwarded request or reply; return None if the queue is full."""
        if self._is_closed:
            return None
        if self._queued_forward_bytes + len(data) > self._options.forward_queue_bytes:
            return None
        outgoing = OutgoingFrame(data, True)
        self._forward_queue.append(outgoing)
        self._queued_forward_bytes += len(data)
        self._wakeup.set()
        return outgoing

    def is_heartbeat_queued(self) -> bool:
        """Return True if the last heartbeat has not been written yet."""
        return self._last_heartbeat is not None and not self._last_heartbeat.is_started

    def send_heartbeat(self, heartbeat: Heartbeat, seq: int) -> bool:
        """Number a heartbeat, limit its offered rates and queue it first."""
        if self._is_closed:
            return False
        numbered = Heartbeat(
            seq,
            self._last_received_seq,
            heartbeat.version,
            heartbeat.digest,
            heartbeat.confirmed_age_ms,
            leaving=heartbeat.leaving,
            holds=heartbeat.holds,
            offered_rates=self._offered_rate_sender.select(heartbeat.offered_rates),
        )
        self.last_heartbeat_sent_s = self._timer.now()
        self._first_sent_seq = self._first_sent_seq or seq
        self._last_sent_seq = seq
        outgoing = OutgoingFrame(encode(numbered), False)
        self._last_heartbeat = outgoing
        self._control_queue.appendleft(outgoing)
        self._queued_control_bytes += len(outgoing.data)
        self._wakeup.set()
        return True

    def open(self) -> None:
        """Start sending frames other than heartbeats."""
        self.is_open = True
        self._wakeup.set()

    def close(self, fault: LinkFault, reason: str) -> None:
        """Close with an error code for the peer."""
        if self._is_closed:
            return
        self._mark_closed(fault, reason)
        self._close_task = asyncio.ensure_future(
            self._conn.close(CLOSE_STATUS_CODE, fault.value)
        )

    def abort(self, fault: LinkFault, reason: str) -> None:
        """Close without a handshake, for a peer that does not read."""
        if self._is_closed:
            return
        self._mark_closed(fault, reason)
        self._conn.transport.abort()

    async def run(self) -> None:
        """Send and receive until the link closes; ``fault`` then tells why."""
        writer = asyncio.ensure_future(self._write_loop())
        try:
            await self._read_loop()
        except PeerProtocolError as exc:
            self.close(exc.fault, str(exc))
        except ConnectionClosed as exc:
            code = exc.rcvd.reason if exc.rcvd is not None else ""
            self._mark_closed(LinkFault.LOST, code or "connection closed")
        except Exception as exc:
            # An error in a handler must not stop the dialler of this peer.
            self._report_handler_error(exc)
            self.close(LinkFault.INTERNAL, repr(exc))
        finally:
            self._mark_closed(LinkFault.LOST, "link closed")
            writer.cancel()
            if self._close_task is None:
                self._close_task = asyncio.ensure_future(self._conn.close())
        await asyncio.wait([self._close_task])

    def _report_handler_error(self, exc: Exception) -> None:
        asyncio.get_running_loop().call_exception_handler(
            {"message": "error in the handler of a peer message", "exception": exc}
        )

    def _mark_closed(self, fault: LinkFault, reason: str) -> None:
        if not self._is_closed:
            self._is_closed = True
            self.fault = PeerProtocolError(fault, reason)
            self._control_queue.clear()
            self._forward_queue.clear()
            self._queued_control_bytes = self._queued_forward_bytes = 0
            self._wakeup.set()

    async def _read_loop(self) -> None:
        while not self._is_closed:
            data = await self._conn.recv()
            if not isinstance(data, bytes):
                raise PeerProtocolError(LinkFault.MALFORMED, "text frame")
            frame = decode(data)
            self.last_received_s = self._timer.now()
            self._traffic.count_received(
                self._wire_size(len(data), not self.is_dialled), _is_forward(frame)
            )
            if isinstance(frame.message, Heartbeat):
                self._receive_heartbeat(frame.message)
            elif not self.is_open:
                raise PeerProtocolError(LinkFault.UNEXPECTED, "expected a Heartbeat")
            if not self._is_closed:
                self._on_frame(self, frame)

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        # The echo dates the peer's confirmation, so it must name a heartbeat sent on
        # this link.
        echo = heartbeat.echo
        if echo != 0 and not self._first_sent_seq <= echo <= self._last_sent_seq:
            raise PeerProtocolError(LinkFault.BAD_ECHO, f"echo {echo}")
        if heartbeat.seq <= self._last_received_seq:
            raise PeerProtocolError(LinkFault.BAD_FIELD, f"seq {heartbeat.seq}")
        self._last_received_seq = heartbeat.seq
        heartbeat.offered_rates = self._offered_rate_receiver.merge(
            heartbeat.offered_rates
        )

    async def _write_loop(self) -> None:
        try:
            while not self._is_closed:
                outgoing = self._pop_next_frame()
                if outgoing is None:
                    self._wakeup.clear()
                    await self._wakeup.wait()
                else:
                    await self._write(outgoing)
        except ConnectionClosed:
            pass  # the read loop closes the link

    def _pop_next_frame(self) -> OutgoingFrame | None:
        if not self.is_open and not self.is_heartbeat_queued():
            return None
        if self._control_queue:
            outgoing = self._control_queue.popleft()
            self._queued_control_bytes -= len(outgoing.data)
            return outgoing
        if self._forward_queue:
            outgoing = self._forward_queue.popleft()
            self._queued_forward_bytes -= len(outgoing.data)
            return outgoing
        return None

    async def _write(self, outgoing: OutgoingFrame) -> None:
        if outgoing.is_cancelled:
            return
        outgoing.is_started = True
        size = self._wire_size(len(outgoing.data), self.is_dialled)
        self._traffic.count_sent(size, outgoing.is_forward)
        await self._conn.send(outgoing.data)

    def _wire_size(self, payload_bytes: int, is_masked: bool) -> int:
        """Return the payload size plus the frame header of RFC 6455, in bytes."""
        header_bytes = 2 + (MASK_BYTES if is_masked else 0)
        if payload_bytes > MEDIUM_PAYLOAD_BYTES:
            header_bytes += 8
        elif payload_bytes > SMALL_PAYLOAD_BYTES:
            header_bytes += 2
        return payload_bytes + header_bytes


def _is_forward(frame: Frame) -> bool:
    return isinstance(frame.message, (ForwardRequest, ForwardReply))
