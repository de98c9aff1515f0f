"""Server side of one connection: uvicorn's protocol with stricter rules."""

import asyncio
import fcntl
import json
import socket
import termios
from functools import partial
from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from ..framing import RequestParser
from ..lingering import LingeringClose
from ..upstream import PacedReads, ReadPacer, has_no_stray_control_chars
from ._answers import SEND_ANSWER, TAKE_BODY, Headers

MAX_HEAD_BYTES = 65_536  # of a request head, of trailers and of chunk extensions
CHUNK_OVERHEAD_FACTOR = 8  # framing bytes for each byte of a body
WRITE_TIMEOUT_S = 60.0  # a caller that takes no answer holds its memory
HEAD_TIMEOUT_S = 10.0  # a head normally arrives in one segment

_MALFORMED_BODY = json.dumps(
    {
        "code": "bad_request",
        "reason": "the request is not valid HTTP/1.1",
        "outcome": "not-run",
        "attempt": "not-sent",
        "request_id": "",
    }
).encode("ascii")
_MALFORMED_ANSWER = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"content-type: application/json\r\n"
    b"crocusward-outcome: not-run\r\n"
    b"crocusward-code: bad_request\r\n"
    b"connection: close\r\n"
    b"content-length: %d\r\n\r\n" % len(_MALFORMED_BODY)
) + _MALFORMED_BODY


def _encode_head(status: int, headers: Headers, keep_alive: bool) -> bytes:
    parts = [STATUS_LINE[status]]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if not keep_alive:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    head = b"".join(parts)
    if not has_no_stray_control_chars(head, len(headers) + 2 + (not keep_alive)):
        raise ValueError("a header of the answer has a control character")
    return head


def _take_body(cycle: RequestResponseCycle) -> bytes | None:
    """Return the whole body if it has arrived, else None."""
    if cycle.more_body or cycle.disconnected:
        return None
    body = bytes(cycle.body)
    cycle.body = bytearray()
    return body


class CallProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Bounds heads, keeps answers in order on faults, and drains gracefully.

    Args:
        buffer: Receives what is read, shared by all connections of the loop.
        pacer: Shares the loop among connections with fragmented requests.
        args: Passed to uvicorn's protocol.
        kwargs: Passed to uvicorn's protocol.

    Attributes:
        busy_since_s: Time of the last start or end of activity, in seconds.
    """

    def __init__(
        self, buffer: memoryview, pacer: ReadPacer, *args: Any, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self.parser = RequestParser(self)  # type: ignore[assignment]
        self._reads = PacedReads(pacer, self._resume_reading)
        self._buffer = buffer
        self.busy_since_s = self.loop.time()
        self._running: RequestResponseCycle | None = None
        self._unframed_bytes = 0
        self._message_bytes = 0
        self._body_bytes = 0
        self._in_head = False
        self._broken = False
        self._draining = False
        self._linger: LingeringClose | None = None

    # State.

    def _has_request(self) -> bool:
        running = self._running
        return bool(self.pipeline) or (
            running is not None and not running.response_complete
        )

    def has_unsent_bytes(self) -> bool:
        """Return True while the caller has not taken a whole answer."""
        return self.transport.get_write_buffer_size() > 0

    def drain(self) -> None:
        """Announce the end of the connection with the last pending answer."""
        self._draining = True
        if self._running is not None and not self.pipeline:
            self._running.keep_alive = False

    def close_if_idle(self, now_s: float, idle_s: float) -> None:
        """Close a connection that has been unused or stuck for too long.

        Args:
            now_s: Time of the loop, in seconds.
            idle_s: Longest time without a request, in seconds.
        """
        if self._linger is not None:
            if self._linger.find_end(now_s) is not None:
                self.transport.abort()
            return
        if self._has_request():
            return
        unused_s = now_s - self.busy_since_s
        if self.has_unsent_bytes():
            if unused_s >= WRITE_TIMEOUT_S:
                self.transport.abort()
            return
        limit_s = max(idle_s, HEAD_TIMEOUT_S) if self._in_head else idle_s
        if unused_s >= limit_s and not self._has_unread_bytes():
            self._close_gently()

    def _has_unread_bytes(self) -> bool:
        sock = self.transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return False
        size = fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0\0\0\0")
        return size != b"\0\0\0\0"

    # Callbacks of the transport.

    def connection_made(self, transport: Any) -> None:
        """Send small answers at once.

        asyncio does so only for sockets created with an explicit protocol number,
        and head and body are separate writes, so each answer would wait 40 ms for
        a delayed acknowledgement.
        """
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell every pending request that the caller has gone away."""
        super().connection_lost(exc)
        self._reads.close()
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()
        self.pipeline.clear()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share, or a part of it."""
        return self._reads.limit_read(self._buffer)

    def _resume_reading(self) -> None:
        if not self.flow.read_paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes; a fault ends this connection and no other."""
        if self._linger is not None:
            self._linger.drop(nbytes, self.loop.time())
        if self._broken:
            return
        self._unframed_bytes += nbytes
        self._message_bytes += nbytes
        try:
            self.parser.feed_data(self._buffer[:nbytes])
        except httptools.HttpParserError:
            self._reject()
        else:
            self._reads.end_read(nbytes, self.transport)
            framing_bytes = self._message_bytes - self._body_bytes
            if self._unframed_bytes > MAX_HEAD_BYTES or framing_bytes > (
                2 * MAX_HEAD_BYTES + CHUNK_OVERHEAD_FACTOR * self._body_bytes
            ):
                self._reject()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Note that a head has begun."""
        self._in_head = True
        self._message_bytes = 0
        self._body_bytes = 0
        self._reads.start_message()
        self.busy_since_s = self.loop.time()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Start or queue the request."""
        self._in_head = False
        self._unframed_bytes = 0
        super().on_headers_complete()
        scope: Any = self.scope
        scope[SEND_ANSWER] = partial(self._send_answer, self.cycle)
        scope[TAKE_BODY] = partial(_take_body, self.cycle)
        if self._draining and self.pipeline and self._running is not None:
            # A queued request must be answered before the connection ends.
            self._running.keep_alive = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._unframed_bytes = 0
        self._body_bytes += len(body)
        self._reads.add_piece()
        super().on_body(body)

    # Requests.

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._running = cycle
        if self._draining and not self.pipeline:
            cycle.keep_alive = False
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        """Start the next queued request; idle time is checked by the server.

        Replaces the timer that uvicorn starts after each answer.
        """
        self.server_state.total_requests += 1
        if self.transport.is_closing():
            return
        self.busy_since_s = self.loop.time()
        self.flow.resume_reading()
        if self.pipeline:
            cycle, app = self.pipeline.pop()
            self._start_asgi_task(cycle, app)
        elif self._broken or self._draining:
            self._close_gently()

    async def _send_answer(
        self,
        cycle: RequestResponseCycle,
        status: int,
        headers: Headers,
        body: bytes,
        close: bool,
    ) -> None:
        """Send a complete answer with one write, which is one segment if short.

        Args:
            cycle: The request that is answered.
            status: HTTP status.
            headers: Headers with Content-Length, without Connection.
            body: The whole body.
            close: Close the connection if the request body is not yet read.

        Raises:
            ValueError: A header would break the framing; nothing was written.
        """
        if self.flow.write_paused and not cycle.disconnected:
            await self.flow.drain()
        if cycle.disconnected:
            return
        if cycle.more_body and (close or cycle.waiting_for_100_continue):
            # After a refusal instead of 100 Continue, the caller may send the
            # body or leave it out, so that the next request cannot be found.
            cycle.keep_alive = False
        data = _encode_head(status, headers, cycle.keep_alive)
        if body and cycle.scope["method"] != "HEAD":
            data += body
        cycle.response_started = True
        cycle.waiting_for_100_continue = False
        self.transport.write(data)
        cycle.response_complete = True
        cycle.message_event.set()
        if cycle.keep_alive:
            cycle.on_response()
        else:
            self._close_gently()

    def _close_gently(self) -> None:
        """Close for writing and drop what still arrives until the caller closes."""
        if self._linger is not None or self.transport.is_closing():
            return
        self._broken = True
        if not self.transport.can_write_eof():
            self.transport.close()
            return
        self.flow.resume_reading()
        self._linger = LingeringClose(self.transport, self.loop.time())

    def _reject(self) -> None:
        """End the connection after the answers to earlier, complete requests.

        A malformed request gets an answer only if none is pending before it:
        the caller would take it for the answer to an earlier request.
        """
        self._broken = True
        last = self.cycle
        if last is not None and last.more_body and not last.response_complete:
            self._drop(last)
        if self._has_request():
            return
        if not self.transport.is_closing():
            self.transport.write(_MALFORMED_ANSWER)
            self._close_gently()

    def _drop(self, cycle: RequestResponseCycle) -> None:
        # The handler never sees a request with an incomplete body.
        if cycle is not self._running:
            self.pipeline.popleft()
            return
        self._running = None
        cycle.disconnected = True
        cycle.message_event.set()
        if cycle.response_started:
            self.transport.close()
