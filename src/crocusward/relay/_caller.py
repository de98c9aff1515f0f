"""HTTP/1.1 connections of callers, server side."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, cast

import httptools

from ..accepting import ACCEPT_TIME_S
from ..desired import CallerLimits
from ..framing import RequestParser
from ..lingering import LingerEnd, LingeringClose, has_peer_closed
from ..platform import REQUEST_ID_HEADER
from ..upstream import AnswerMemoryBudget, PacedReads, ReadPacer
from ._messages import CallerAnswer, CallerRequest, Headers, make_refusal
from ._pending import PendingRequest, find_header, parse_head

MAX_PIPELINED_REQUESTS = 32  # per connection; reading pauses above it
# Used until a desired state is loaded.
DEFAULT_LIMITS = CallerLimits(16_384, 1 << 20, 3.0, 15.0)
# Chunk headers and extensions of one body, and as a multiple of its size.
CHUNK_OVERHEAD_BYTES = 65_536
CHUNK_OVERHEAD_FACTOR = 8
READ_BUFFER_BYTES = 65_536
MAX_COPIED_BODY_BYTES = 65_536


class RequestHandler(Protocol):
    """Answers the requests of caller connections.

    Attributes:
        limits: Limits on requests.
        answer_memory: Limits the answers that callers have not taken yet, or None.
    """

    limits: CallerLimits
    answer_memory: AnswerMemoryBudget | None

    def log_not_started(self, id: bytes, status: int, reason: str) -> None:
        """Log a request that was refused (status 0: dropped) before its start."""

    async def answer(self, req: CallerRequest) -> CallerAnswer:
        """Answer a request; cancelled when the caller disconnects."""

    def can_run_concurrently(self, req: CallerRequest) -> bool:
        """Return whether a request may start before earlier ones are answered."""

    def reserve_body_memory(self, size: int) -> bool:
        """Reserve memory for ``size`` bytes of a body; return whether it succeeded."""

    def release_body_memory(self, size: int) -> None:
        """Release ``size`` reserved bytes."""


class CallerConnection(asyncio.BufferedProtocol):
    """Parses pipelined requests and writes the answers in request order.

    Pipelined idempotent requests run concurrently. Any other request starts only once
    all earlier ones are answered. After an answer that ends the connection no further
    request starts; the connection closes with the last answer to those that already
    run, and the caller sends the remaining requests again.

    Args:
        handler: Answers the requests.
        now: Monotonic clock, in seconds.
        pacer: Shares the loop among connections with fragmented requests.
        buffer: Read buffer, which connections share: the parser copies what it keeps.
        on_open: Called with the connection when it is established.
        on_close: Called with the connection when it is lost.
        on_linger: Called with the connection when its lingering close begins.
        on_linger_end: Called with the connection and the reason if it is closed before
            its caller does so.
        on_unread: Called with the connection when it has so many requests that no
            further ones are read.

    Attributes:
        last_id: Id of the last request that was answered.
        headers: See ``RequestCallbacks``.
    """

    __slots__ = (
        "last_id",
        "headers",
        "_handler",
        "_now",
        "_reads",
        "_buffer",
        "_on_open",
        "_on_close",
        "_on_linger",
        "_on_linger_end",
        "_on_unread",
        "_linger",
        "_transport",
        "_parser",
        "_pending",
        "_target",
        "_head_bytes",
        "_current",
        "_is_reading_head",
        "_timeout_start_s",
        "_is_closing",
        "_is_rejected",
        "_is_draining",
        "_is_ending",
        "_has_last_request",
        "_framing_bytes",
        "_is_unused",
    )

    def __init__(
        self,
        handler: RequestHandler,
        now: Callable[[], float],
        pacer: ReadPacer,
        buffer: memoryview,
        on_open: Callable[["CallerConnection"], object],
        on_close: Callable[["CallerConnection"], object],
        on_linger: Callable[["CallerConnection"], object],
        on_linger_end: Callable[["CallerConnection", LingerEnd], object],
        on_unread: Callable[["CallerConnection"], object],
    ) -> None:
        self.last_id = b""
        self._handler = handler
        self._now = now
        self._reads = PacedReads(pacer, self._resume_reading)
        self._buffer = buffer
        self._on_open = on_open
        self._on_close = on_close
        self._on_linger = on_linger
        self._on_linger_end = on_linger_end
        self._on_unread = on_unread
        self._linger: LingeringClose | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(self)
        self._pending: deque[PendingRequest] = deque()
        self._current: PendingRequest | None = None
        self._is_reading_head = False
        self._is_closing = False
        self._is_rejected = False
        self._is_draining = False
        self._is_ending = False
        self._has_last_request = False
        self._is_unused = True
        self._timeout_start_s = now()
        self._start_head()
        self._is_reading_head = False

    def _start_head(self) -> None:
        self._target = b""
        self.headers: Headers = []
        self._head_bytes = 0
        self._framing_bytes = 0
        self._is_reading_head = True

    # State.

    @property
    def pending(self) -> int:
        """Number of requests that were read, at least in part, and not answered."""
        return len(self._pending)

    @property
    def is_idle(self) -> bool:
        """Whether no request is pending or being read."""
        return not self._pending and not self._is_reading_head

    @property
    def first_pending_id(self) -> bytes:
        """Id of the first request that is not answered, b"" if there is none."""
        return self._pending[0].req.id if self._pending else b""

    def is_new(self, now_s: float) -> bool:
        """Return whether the first request may still be on its way."""
        return self._is_unused and now_s - self._timeout_start_s < ACCEPT_TIME_S

    def drain(self) -> None:
        """Close the connection with its next answer, since the daemon is stopping."""
        self._is_draining = True

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the caller of a lingering close has not taken yet."""
        return self._linger.unsent_bytes if self._linger is not None else 0

    def close(self) -> None:
        """Close the write side; the rest once the caller has taken the answers."""
        self._is_closing = True
        transport = self._transport
        if transport is None or self._linger is not None or transport.is_closing():
            return
        if not transport.can_write_eof():
            transport.close()
            return
        self._linger = LingeringClose(transport, self._now())
        self._on_linger(self)

    def end_linger(self, end: LingerEnd) -> None:
        """Close a lingering connection before its caller does."""
        self._on_linger_end(self, end)
        self.abort()

    def abort(self) -> None:
        """Close without sending buffered bytes."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def check_timeouts(self, now_s: float) -> None:
        """Apply the head, body and idle timeouts."""
        if self._linger is not None:
            end = self._linger.find_end(now_s)
            if end is not None:
                self.end_linger(end)
            return
        limits = self._handler.limits
        idle_s = now_s - self._timeout_start_s
        if self._is_closing or self._is_rejected:
            return
        if self._is_reading_head:
            if idle_s > limits.head_timeout_s:
                self._reject(make_refusal(408, "the head took too long", close=True))
        elif self._current is not None:
            if idle_s > limits.idle_timeout_s:
                self._reject(make_refusal(408, "the body took too long", close=True))
        elif not self._pending and idle_s > limits.idle_timeout_s:
            self.close()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)
        self._on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared read buffer, or a part of it."""
        return self._reads.limit_read(self._buffer)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; malformed input ends only this connection."""
        self._is_unused = False
        if self._linger is not None:
            self._linger.drop(nbytes, self._now())
            return
        if self._is_closing or self._is_rejected or self._has_last_request:
            return
        if not self._is_reading_head:
            self._timeout_start_s = self._now()
        self._framing_bytes += nbytes
        try:
            self._parser.feed_data(self._buffer[:nbytes])
        except httptools.HttpParserError:
            # No request may follow one that ends the connection (RFC 9112, 9.6).
            if not self._has_last_request:
                self._reject(make_refusal(400, "the request is malformed", close=True))
        else:
            self._reads.end_read(nbytes, self._transport)
            self._check_framing()

    def _check_framing(self) -> None:
        """Refuse a body whose chunk headers and extensions have no end."""
        if self._current is None:
            return
        size = self._current.reserved_bytes
        if self._framing_bytes > (CHUNK_OVERHEAD_FACTOR + 1) * size + (
            CHUNK_OVERHEAD_BYTES + READ_BUFFER_BYTES
        ):
            self._reject(make_refusal(400, "too much chunk framing", close=True))

    @property
    def has_unread_pipeline(self) -> bool:
        """Whether reading waits until earlier requests are answered."""
        return len(self._pending) > MAX_PIPELINED_REQUESTS

    def check_peer(self) -> None:
        """End the requests of a caller that has left, although nothing is read."""
        transport = self._transport
        if transport is None or self._linger is not None:
            return
        if not transport.is_closing() and has_peer_closed(transport):
            self.eof_received()
            transport.close()

    def _resume_reading(self) -> None:
        """Resume reading unless it is paused for another reason."""
        if self._transport is None or self._reads.is_paused:
            return
        if not self.has_unread_pipeline:
            self._transport.resume_reading()

    def resume_writing(self) -> None:
        """Release the memory of answers that were handed to the kernel."""
        self._release_answers()

    def pause_writing(self) -> None:
        """Keep the memory of answers reserved while they wait for the caller."""

    def eof_received(self) -> bool:
        """Treat the end of the stream as a disconnect of the caller."""
        self._answer_cut_request("the caller closed its side")
        self._cancel_all()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all pending requests."""
        self._is_closing = True
        self._cancel_all()
        self._reads.close()
        if self._handler.answer_memory is not None:
            self._handler.answer_memory.release(id(self))
        self._on_close(self)

    def _cancel_all(self) -> None:
        self._is_closing = True
        for item in self._pending:
            self._release_body(item)
            if item.task is not None:
                item.task.cancel()
            elif item.answer is None:
                self._handler.log_not_started(item.req.id, 0, "the connection ended")
        self._pending.clear()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request head and its timeout."""
        self._start_head()
        self._reads.start_message()
        self._timeout_start_s = self._now()

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        self._target += url
        self._check_head_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are discarded."""
        self._reads.add_piece()
        self._check_head_size(len(name) + len(value) + 4)
        if self._is_reading_head:
            self.headers.append((name.lower(), value))

    def _check_head_size(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._handler.limits.head_bytes:
            self._reject(make_refusal(431, "the head is too large", close=True))
            raise ValueError("head too large")

    def on_headers_complete(self) -> None:
        """Check the head and queue the request."""
        self._is_reading_head = False
        method = self._parser.get_method().decode("ascii")
        req = parse_head(method, self._target, self.headers, self._now())
        if req is None:
            raise ValueError("the head is malformed")
        self.headers = []
        item = PendingRequest(req, self._parser.should_keep_alive())
        self._current = item
        self._pending.append(item)
        if self.has_unread_pipeline and self._transport is not None:
            self._transport.pause_reading()
            self._on_unread(self)
        length = find_header(req.headers, b"content-length")
        if length is not None and int(length) > self._handler.limits.body_bytes:
            self._reject_current(make_refusal(413, "the body is too large", close=True))
            raise ValueError("body too large")
        if find_header(req.headers, b"expect") is not None and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, within the size and memory limits."""
        self._reads.add_piece()
        item = self._current
        if item is None or self._is_closing:
            return
        size = item.reserved_bytes + len(body)
        if size > self._handler.limits.body_bytes:
            self._reject_current(make_refusal(413, "the body is too large", close=True))
            raise ValueError("body too large")
        if not self._handler.reserve_body_memory(len(body)):
            text = "no memory for the body"
            self._reject_current(make_refusal(503, text, retry_after_s=1.0, close=True))
            raise ValueError("no memory")
        item.reserved_bytes = size
        item.body += body

    def on_message_complete(self) -> None:
        """Mark the request as complete and start it if possible."""
        item = self._current
        self._current = None
        if item is None or self._is_closing:
            return
        item.is_complete = True
        self._has_last_request = not item.keep_alive
        # A large body is kept as it was read, without a copy; nothing changes it.
        is_large = len(item.body) > MAX_COPIED_BODY_BYTES
        item.req.body = item.body if is_large else bytes(item.body)
        item.body = bytearray()
        self._start_runnable()

    # Answers.

    def _start_runnable(self) -> None:
        """Start each complete request that may run beside the earlier ones."""
        if self._is_ending:
            return
        for index, item in enumerate(self._pending):
            if not item.is_complete:
                return
            if item.task is None and item.answer is None:
                if index and not self._handler.can_run_concurrently(item.req):
                    return
                item.req.is_early = index > 0
                self._start_request(item)

    def _start_request(self, item: PendingRequest) -> None:
        coro: Coroutine[Any, Any, CallerAnswer] = self._handler.answer(item.req)
        task = asyncio.get_running_loop().create_task(coro)
        item.task = task
        task.add_done_callback(lambda done: self._on_answered(item, done))

    def _on_answered(
        self, item: PendingRequest, task: "asyncio.Task[CallerAnswer]"
    ) -> None:
        self._release_body(item)
        if task.cancelled() or (self._is_closing and not self._pending):
            return
        if task.exception() is not None:
            item.answer = make_refusal(502, "internal error", close=True)
        else:
            item.answer = task.result()
        memory = self._handler.answer_memory
        if memory is not None:
            memory.add(id(self), len(item.answer.body), self._abort_for_memory)
        self._write_answers()

    def _abort_for_memory(self, reason: str) -> None:
        self._on_linger_end(self, LingerEnd.MEMORY)
        if self._answer_cut_request(reason) and not self._unsent_size():
            self._cancel_all()
            self.close()
        else:
            self.abort()

    def _answer_cut_request(self, reason: str) -> bool:
        """Answer the running unsafe request, if any, before the connection ends.

        A caller counts a request without an answer, behind one with an answer, as not
        read and sends it again.

        Returns:
            Whether an answer was written.
        """
        transport = self._transport
        item = self._pending[0] if self._pending else None
        if item is None or item.task is None or transport is None:
            return False
        if transport.is_closing() or self._handler.can_run_concurrently(item.req):
            return False
        answer = make_refusal(504, f"the request may have run: {reason}")
        has_body = item.req.method != "HEAD"
        transport.write(answer.encode(keep_alive=False, has_body=has_body))
        return True

    def _unsent_size(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0

    def _release_answers(self) -> None:
        """Release the memory of answers once the caller has all that are ready."""
        transport, memory = self._transport, self._handler.answer_memory
        if transport is None or memory is None or transport.get_write_buffer_size():
            return
        if not any(item.answer is not None for item in self._pending):
            memory.release(id(self))

    def _release_body(self, item: PendingRequest) -> None:
        if item.reserved_bytes:
            self._handler.release_body_memory(item.reserved_bytes)
            item.reserved_bytes = 0

    def _write_answers(self) -> None:
        transport = self._transport
        while self._pending and self._pending[0].answer is not None:
            item = self._pending.popleft()
            answer = item.answer
            if transport is None or transport.is_closing() or answer is None:
                return
            if answer.close or not item.keep_alive:
                self._is_ending = True
            if self._is_draining and not self._pending and not self._is_reading_head:
                self._is_ending = True
            keep_alive = self._is_next_started() or not self._is_ending
            has_body = item.req.method != "HEAD"
            self.last_id = item.req.id
            transport.write(answer.encode(keep_alive, has_body))
            self._release_answers()
            self._timeout_start_s = self._now()
            if not keep_alive:
                self._cancel_all()
                self.close()
                return
        self._resume_reading()
        self._start_runnable()

    def _is_next_started(self) -> bool:
        """Return whether the first pending request runs or has its answer."""
        if not self._pending:
            return False
        item = self._pending[0]
        return item.task is not None or item.answer is not None

    def _reject_current(self, answer: CallerAnswer) -> None:
        item = self._current
        if item is None:
            return
        self._is_rejected = True
        self._current = None
        self._release_body(item)
        self._log_rejection(item.req.id, answer)
        item.answer = answer
        self._write_answers()

    def refuse_incomplete(self, answer: CallerAnswer) -> None:
        """Refuse a request that was read in part, after all earlier answers."""
        if self._is_reading_head or self._current is not None:
            self._reject(answer)

    def _reject(self, answer: CallerAnswer) -> None:
        """Answer an incomplete or malformed request after all earlier answers."""
        if self._is_closing or self._is_rejected:
            return
        self._is_rejected = True
        self._is_reading_head = False
        if self._current is not None:
            self._reject_current(answer)
            return
        id = find_header(self.headers, REQUEST_ID_HEADER) or b""
        self._log_rejection(id, answer)
        req = CallerRequest(
            "GET", "/", "", [], id=id, received_s=self._now(), time_left_s=None
        )
        item = PendingRequest(req, False)
        item.answer = answer
        self._pending.append(item)
        if self._transport is not None:
            self._transport.pause_reading()
        self._write_answers()

    def _log_rejection(self, id: bytes, answer: CallerAnswer) -> None:
        reason = answer.body.decode("ascii")
        self._handler.log_not_started(id, answer.status, reason)
