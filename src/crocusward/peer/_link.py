"""One authenticated connection to a peer."""

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
from ._offered_rates import DemandReceiver, DemandSender
from ._options import PeerIdentity, PeerOptions, PeerTraffic

CLOSE_STATUS = 4000  # websocket close code; the fault code is the reason
MASK_BYTES = 4
SMALL_PAYLOAD_BYTES = 125
MEDIUM_PAYLOAD_BYTES = 65_535


class Outgoing:
    """A frame waiting to be sent.

    Attributes:
        data: The frame.
        forward: True for a forwarded request or its reply.
        started: True once its first byte may have been written.
        cancelled: True if it must not be sent any more.
    """

    __slots__ = ("data", "forward", "started", "cancelled")

    def __init__(self, data: bytes, forward: bool) -> None:
        self.data = data
        self.forward = forward
        self.started = False
        self.cancelled = False


class PeerLink:
    """Sends frames from bounded queues and hands over received ones.

    Args:
        conn: The websocket connection, already authenticated.
        peer: The other side.
        dialled: True if this side opened the connection.
        options: Settings.
        timer: Source of time.
        traffic: Counters of the daemon.
        on_frame: Called with each received frame.

    Attributes:
        is_new: True if there was no link to this incarnation before.
        is_open: True once the other side accepts frames of any allowed size.
        heard_s: Monotonic time of the last received frame, in seconds.
        heartbeat_s: Monotonic time of the last heartbeat sent, in seconds.
        fault: Why the link ended, or None.
    """

    __slots__ = (
        "peer",
        "dialled",
        "is_new",
        "is_open",
        "last_received_s",
        "heartbeat_s",
        "fault",
        "_conn",
        "_options",
        "_timer",
        "_traffic",
        "_on_frame",
        "_control",
        "_forward",
        "_queued_control",
        "_queued_forward",
        "_wake",
        "_closed",
        "_closing",
        "_heartbeat",
        "_demand_out",
        "_demand_in",
        "_first_seq",
        "_last_seq",
        "_echo",
    )

    def __init__(
        self,
        conn: Connection,
        peer: PeerIdentity,
        dialled: bool,
        options: PeerOptions,
        timer: TimerService,
        traffic: PeerTraffic,
        on_frame: Callable[["PeerLink", Frame], None],
    ) -> None:
        self.peer = peer
        self.dialled = dialled
        self.is_new = True
        self.is_open = False
        self.last_received_s = timer.now()
        self.heartbeat_s = 0.0
        self.fault: PeerProtocolError | None = None
        self._conn = conn
        self._options = options
        self._timer = timer
        self._traffic = traffic
        self._on_frame = on_frame
        self._control: deque[Outgoing] = deque()
        self._forward: deque[Outgoing] = deque()
        self._queued_control = 0
        self._queued_forward = 0
        self._wake = asyncio.Event()
        self._closed = False
        self._closing: asyncio.Task[None] | None = None
        self._heartbeat: Outgoing | None = None
        self._demand_out = DemandSender()
        self._demand_in = DemandReceiver()
        self._first_seq = 0
        self._last_seq = 0
        self._echo = 0

    @property
    def usable(self) -> bool:
        """True while frames can be sent."""
        return not self._closed

    @property
    def socket(self) -> socket.socket:
        """The socket, for its statistics."""
        sock: socket.socket = self._conn.transport.get_extra_info("socket")
        return sock

    @property
    def queued_bytes(self) -> int:
        """Bytes in both queues."""
        return self._queued_control + self._queued_forward

    def send_control(self, data: bytes) -> bool:
        """Queue a control frame; a peer that reads too slowly loses the link."""
        if self._closed:
            return False
        if self._queued_control + len(data) > self._options.control_queue_bytes:
            self.abort(LinkFault.SLOW_READER, "the control queue is full")
            return False
        self._control.append(Outgoing(data, False))
        self._queued_control += len(data)
        self._wake.set()
        return True

    def send_forward(self, data: bytes) -> Outgoing | None:
        """Queue a forwarded request or reply; return None if there is no room."""
        if self._closed:
            return None
        if self._queued_forward + len(data) > self._options.forward_queue_bytes:
            return None
        outgoing = Outgoing(data, True)
        self._forward.append(outgoing)
        self._queued_forward += len(data)
        self._wake.set()
        return outgoing

    def heartbeat_is_queued(self) -> bool:
        """Return True if the last heartbeat has not been written yet."""
        return self._heartbeat is not None and not self._heartbeat.started

    def send_heartbeat(self, heartbeat: Heartbeat, seq: int) -> bool:
        """Number a heartbeat, reduce its demand and queue it first."""
        if self._closed:
            return False
        numbered = Heartbeat(
            seq,
            self._echo,
            heartbeat.version,
            heartbeat.digest,
            heartbeat.confirmed_age_ms,
            leaving=heartbeat.leaving,
            holds=heartbeat.holds,
            offered_rates=self._demand_out.choose(heartbeat.offered_rates),
        )
        self.heartbeat_s = self._timer.now()
        self._first_seq = self._first_seq or seq
        self._last_seq = seq
        outgoing = Outgoing(encode(numbered), False)
        self._heartbeat = outgoing
        self._control.appendleft(outgoing)
        self._queued_control += len(outgoing.data)
        self._wake.set()
        return True

    def open(self) -> None:
        """Send what was held back."""
        self.is_open = True
        self._wake.set()

    def close(self, fault: LinkFault, reason: str) -> None:
        """Close with an error code for the other side."""
        if self._closed:
            return
        self._end(fault, reason)
        self._closing = asyncio.ensure_future(
            self._conn.close(CLOSE_STATUS, fault.value)
        )

    def abort(self, fault: LinkFault, reason: str) -> None:
        """Close at once, for a peer that does not read."""
        if self._closed:
            return
        self._end(fault, reason)
        self._conn.transport.abort()

    async def run(self) -> None:
        """Send and receive until the link ends; ``fault`` then says why."""
        writer = asyncio.ensure_future(self._write_loop())
        try:
            await self._read_loop()
        except PeerProtocolError as exc:
            self.close(exc.fault, str(exc))
        except ConnectionClosed as exc:
            code = exc.rcvd.reason if exc.rcvd is not None else ""
            self._end(LinkFault.LOST, code or "connection closed")
        except Exception as exc:
            # A fault in a handler must not stop the dialler of this peer.
            self._report(exc)
            self.close(LinkFault.INTERNAL, repr(exc))
        finally:
            self._end(LinkFault.LOST, "the link ended")
            writer.cancel()
            if self._closing is None:
                self._closing = asyncio.ensure_future(self._conn.close())
        await asyncio.wait([self._closing])

    def _report(self, exc: Exception) -> None:
        asyncio.get_running_loop().call_exception_handler(
            {"message": "fault in the handler of a peer's message", "exception": exc}
        )

    def _end(self, fault: LinkFault, reason: str) -> None:
        if not self._closed:
            self._closed = True
            self.fault = PeerProtocolError(fault, reason)
            self._control.clear()
            self._forward.clear()
            self._queued_control = self._queued_forward = 0
            self._wake.set()

    async def _read_loop(self) -> None:
        while not self._closed:
            data = await self._conn.recv()
            if not isinstance(data, bytes):
                raise PeerProtocolError(LinkFault.MALFORMED, "text frame")
            frame = decode(data)
            self.last_received_s = self._timer.now()
            self._traffic.received(
                self._wire_size(len(data), not self.dialled), _is_forward(frame)
            )
            if isinstance(frame.message, Heartbeat):
                self._receive_heartbeat(frame.message)
            elif not self.is_open:
                raise PeerProtocolError(LinkFault.UNEXPECTED, "expected a Heartbeat")
            if not self._closed:
                self._on_frame(self, frame)

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        # An echo of a heartbeat that was not sent on this link would date the
        # peer's confirmation wrongly.
        echo = heartbeat.echo
        if echo != 0 and not self._first_seq <= echo <= self._last_seq:
            raise PeerProtocolError(LinkFault.BAD_ECHO, f"echo {echo}")
        if heartbeat.seq <= self._echo:
            raise PeerProtocolError(LinkFault.BAD_FIELD, f"seq {heartbeat.seq}")
        self._echo = heartbeat.seq
        heartbeat.offered_rates = self._demand_in.merge(heartbeat.offered_rates)

    async def _write_loop(self) -> None:
        try:
            while not self._closed:
                outgoing = self._take()
                if outgoing is None:
                    self._wake.clear()
                    await self._wake.wait()
                else:
                    await self._write(outgoing)
        except ConnectionClosed:
            pass  # the read loop ends the link

    def _take(self) -> Outgoing | None:
        if not self.is_open and not self.heartbeat_is_queued():
            return None
        if self._control:
            outgoing = self._control.popleft()
            self._queued_control -= len(outgoing.data)
            return outgoing
        if self._forward:
            outgoing = self._forward.popleft()
            self._queued_forward -= len(outgoing.data)
            return outgoing
        return None

    async def _write(self, outgoing: Outgoing) -> None:
        if outgoing.cancelled:
            return
        outgoing.started = True
        size = self._wire_size(len(outgoing.data), self.dialled)
        self._traffic.sent(size, outgoing.forward)
        await self._conn.send(outgoing.data)

    def _wire_size(self, payload: int, masked: bool) -> int:
        """Return the size with the frame header of RFC 6455."""
        header = 2 + (MASK_BYTES if masked else 0)
        if payload > MEDIUM_PAYLOAD_BYTES:
            header += 8
        elif payload > SMALL_PAYLOAD_BYTES:
            header += 2
        return payload + header


def _is_forward(frame: Frame) -> bool:
    return isinstance(frame.message, (ForwardRequest, ForwardReply))
