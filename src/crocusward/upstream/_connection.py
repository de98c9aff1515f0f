"""One HTTP/1.1 client connection, with at most one exchange at a time."""

import asyncio
import math
import socket
from collections.abc import Callable
from typing import cast

import httptools

from ..errors import ExchangeLostError
from ..model import Record
from ..timing import Subscription, TimerService
from ._memory import AnswerMemoryBudget

MAX_HEAD_BYTES = 65_536  # also bounds trailers and chunk extensions
MAX_FOREIGN = 8  # answers to other requests that are skipped in one exchange
FRAMING_PER_BODY = 8  # bytes for each byte of a body sent in chunks of one byte
PEEK_AFTER_IDLE_S = 0.2
_NO_BODY_STATUSES = frozenset({204, 304})

Headers = list[tuple[bytes, bytes]]


class HttpAnswer(Record):
    """A complete HTTP answer.

    Attributes:
        status: HTTP status.
        headers: Headers in order, names in lower case.
        body: The whole body.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class HttpConnection(asyncio.BufferedProtocol):
    """Parses answers and fails the exchange on anything unexpected.

    Args:
        timer: Source of the timeout of each exchange.
        sock: The connected socket.
        buffer: Receives what is read. The parser copies what it keeps, so that
            all connections of a loop can share one; a new buffer for each read,
            as asyncio makes it by default, costs eight times the system call.
        memory: Counts the parts of answers of all connections, or None.

    Attributes:
        closed: True once the connection can no longer be used.
        idle_since_s: Monotonic time of the end of the last exchange, in seconds.
        idle_limit_s: Age of idleness from which it is not used again, in seconds.
        idle_before_s: How long it was idle before the last exchange, in seconds.
        exchanges: Exchanges that were begun.
        foreign: Answers that were skipped because they belong to another request.
        on_closed: Called once when an open connection becomes closed.
    """

    __slots__ = (
        "closed",
        "idle_since_s",
        "idle_limit_s",
        "idle_before_s",
        "exchanges",
        "foreign",
        "on_closed",
        "_timer",
        "_loop",
        "_sock",
        "_buffer",
        "_memory",
        "_transport",
        "_parser",
        "_answer",
        "_deadline_s",
        "_alarm",
        "_alarm_s",
        "_is_head",
        "_limit_bytes",
        "_status",
        "_headers",
        "_body",
        "_body_bytes",
        "_unframed_bytes",
        "_head_complete",
        "_complete",
        "_has_length",
        "_keep_alive",
        "_is_own",
        "_is_foreign",
        "_foreign_left",
        "_reads_to_end",
    )

    def __init__(
        self,
        timer: TimerService,
        sock: socket.socket,
        buffer: memoryview,
        memory_budget: AnswerMemoryBudget | None = None,
    ) -> None:
        self.closed = False
        self.idle_since_s = 0.0
        self.idle_limit_s = math.inf
        self.idle_before_s = 0.0
        self.exchanges = 0
        self.foreign = 0
        self.on_closed: Callable[[HttpConnection], object] | None = None
        self._timer = timer
        self._loop = asyncio.get_running_loop()
        self._sock = sock
        self._buffer = buffer
        self._memory = memory_budget
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[HttpAnswer] | None = None
        self._deadline_s = 0.0
        self._alarm: Subscription | None = None
        self._alarm_s = 0.0
        self._is_head = False
        self._limit_bytes = 0
        self._status = 0
        self._foreign_left = 0
        self._is_own: Callable[[int, Headers], bool] | None = None
        self._reads_to_end = False
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._unframed_bytes = 0
        self._head_complete = False
        self._complete = False
        self._has_length = False
        self._keep_alive = False
        self._is_foreign = False

    # Use by the pool.

    def is_usable(self) -> bool:
        """Return True if nothing, not even an end of file, waits to be read.

        A server that closes a long idle connection is noticed here before a
        request is written, which the loop would notice one iteration too late.
        Servers do not close a connection that was just in use, so that a busy
        connection is spared the system call.
        """
        if self.closed:
            return False
        if self._timer.now() - self.idle_since_s < PEEK_AFTER_IDLE_S:
            return True
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        self.abort()
        return False

    async def exchange(
        self,
        data: bytes,
        *,
        is_head: bool,
        timeout_s: float,
        limit_bytes: int,
        matches_request: Callable[[int, Headers], bool] | None = None,
        allow_close_delimited: bool = False,
    ) -> HttpAnswer:
        """Write one request and wait for its complete answer.

        Args:
            data: The encoded request.
            is_head: Whether the answer has no body whatever its headers say.
            timeout_s: Time limit, in seconds.
            limit_bytes: Largest accepted body.
            is_own: Tells from status and headers whether an answer belongs to this
                request; others are skipped. A server may send a second answer to
                an earlier request late.
            reads_to_end: Accept a body without a length that ends with an orderly
                close of the connection.

        Raises:
            ExchangeLostError: No complete answer came; the connection is closed.
        """
        transport = self._transport
        assert transport is not None
        answer: asyncio.Future[HttpAnswer] = self._loop.create_future()
        self._answer = answer
        self.exchanges += 1
        self._foreign_left = MAX_FOREIGN
        self._is_own = matches_request
        self._reads_to_end = allow_close_delimited
        self._is_head = is_head
        self._limit_bytes = limit_bytes
        self._reset_answer()
        self._set_deadline(timeout_s)
        try:
            transport.write(data)
            return await answer
        finally:
            self._answer = None
            if self._memory is not None:
                self._memory.release(id(self))

    def may_be_reused(self) -> bool:
        """Return True if the last exchange left the connection in a clean state."""
        transport = self._transport
        return (
            not self.closed
            and self._keep_alive
            and transport is not None
            and transport.get_write_buffer_size() == 0
        )

    def abort(self) -> None:
        """Close the connection at once and drop what is still to be written."""
        if self._transport is not None:
            self._transport.abort()
        self._close("the connection was closed")

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse a part of an answer."""
        data = self._buffer[:nbytes]
        if self._answer is None or self._complete:
            self._fail("bytes arrived that no request asked for")
            return
        before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if not self._complete or self._is_own is None:
                self._fail(f"malformed answer: {exc.__context__ or exc}")
                return
            # The answer named its request and is whole; what follows is not.
            self._keep_alive = False
        if self._complete:
            self._finish(data)
            return
        self._unframed_bytes += nbytes - (self._body_bytes - before)
        if self._unframed_bytes > MAX_HEAD_BYTES + FRAMING_PER_BODY * self._body_bytes:
            self._fail("the head of the answer is too large")

    def eof_received(self) -> bool:
        """Treat the end of the stream as the end of an answer without a length."""
        if self._reads_to_end and self._head_complete and not self._has_length:
            self._complete = True
            self._keep_alive = False
            self._finish(memoryview(b""))
        self._fail("the server closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that is under way."""
        self._close(f"the connection broke: {exc}" if exc else "the connection closed")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Refuse a second answer that follows the own one at once."""
        if self._complete:
            raise ValueError("more than one answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are dropped."""
        if self._head_complete:
            return
        name = name.lower()
        if name == b"content-length":
            self._has_length = True
        elif name == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise ValueError("unsupported transfer encoding")
            self._has_length = True
        self._headers.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Decide how the end of the answer is recognised."""
        self._status = status = self._parser.get_status_code()
        if status < 200:
            self._skip_interim_answer(status)
            return
        if status > 599:
            raise ValueError("the status is unknown")
        if self._is_own is not None and not self._is_own(status, self._headers):
            self._skip_foreign_answer()
            return
        self._head_complete = True
        self._keep_alive = self._parser.should_keep_alive()
        if self._is_head:
            self._complete = True
        elif not self._has_length and status not in _NO_BODY_STATUSES:
            # A body that ends with the connection may have been cut.
            if not self._reads_to_end:
                raise ValueError("the answer has no length")
            self._keep_alive = False

    def _skip_foreign_answer(self) -> None:
        if not self._has_length and self._status not in _NO_BODY_STATUSES:
            raise ValueError("an answer to another request has no length")
        if not self._foreign_left:
            raise ValueError("too many answers to other requests")
        self._foreign_left -= 1
        self.foreign += 1
        self._is_foreign = True

    def _skip_interim_answer(self, status: int) -> None:
        if status == 101:
            raise ValueError("the server switched protocols")
        self._headers = []
        self._has_length = False

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body within the limit."""
        if self._is_foreign:
            return
        if self._complete or self.closed:
            raise ValueError("bytes after the end of the answer")
        self._body_bytes += len(body)
        if self._body_bytes > self._limit_bytes:
            raise ValueError("the body is larger than allowed")
        self._body.append(body)
        if self._memory is not None:
            self._memory.add(id(self), len(body), self._fail)

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        if self._is_foreign:
            self._reset_answer()
            return
        if self._head_complete:
            self._complete = True

    # Ends of an exchange.

    def _finish(self, data: memoryview) -> None:
        if self._is_head:
            # The parser would wait for the body that HEAD announces but omits.
            self._parser = httptools.HttpResponseParser(self)
            self._keep_alive = self._keep_alive and data[-4:] == b"\r\n\r\n"
        answer = self._answer
        if answer is not None and not answer.done():
            body = b"".join(self._body)
            answer.set_result(HttpAnswer(self._status, self._headers, body))

    # Timeouts. An alarm outlives its exchange and is moved only when it rings, as
    # starting and cancelling a timer for each exchange costs more than parsing.

    def _set_deadline(self, timeout_s: float) -> None:
        self._deadline_s = deadline_s = self._timer.now() + timeout_s
        if self._alarm is None or self._alarm_s > deadline_s:
            self._set_alarm(timeout_s)

    def _set_alarm(self, delay_s: float) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = self._timer.call_later(delay_s, self._on_alarm)
        self._alarm_s = self._deadline_s

    def _on_alarm(self) -> None:
        self._alarm = None
        if self._answer is None:
            return
        left_s = self._deadline_s - self._timer.now()
        if left_s > 0.0:
            self._set_alarm(left_s)
        else:
            self._fail("no complete answer in time")

    def _fail(self, reason: str) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._close(reason)

    def _close(self, reason: str) -> None:
        if self.closed:
            return
        self.closed = True
        self._body = []
        if self._alarm is not None:
            self._alarm.cancel()
        if self.on_closed is not None:
            self.on_closed(self)
        answer = self._answer
        if answer is not None and not answer.done():
            answer.set_exception(ExchangeLostError(reason))
