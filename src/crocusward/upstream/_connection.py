"""HTTP/1.1 client connection with at most one exchange in progress."""

import asyncio
import math
import socket
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

import httptools

from ..errors import ExchangeLostError
from ..model import Record
from ..timing import Subscription, TimerService
from ._memory import AnswerMemoryBudget
from ._read_pacer import PacedReads, ReadPacer

MAX_HEAD_BYTES = 65_536  # also limits trailers and chunk extensions
MAX_JOINED_BODY_BYTES = 65_536  # of a request body that is written with its head
BODY_PIECE_BYTES = 262_144
MAX_BODY_PIECES = 4  # in one iteration of the loop
MAX_HEADER_LINES = 256  # of one answer, with interim answers and trailers
MAX_SKIPPED_ANSWERS = 8  # mismatched answers in one exchange
FRAMING_FACTOR = 8  # framing bytes for each body byte, in chunks of one byte
PEEK_AFTER_IDLE_S = 0.2
MIN_STATUS, MIN_FINAL_STATUS, MAX_STATUS = 100, 200, 599
MIN_ERROR_STATUS = 400
# Ids with error answers on one connection. It then closes instead of forgetting one,
# as callers may send a refused request again. 32 take about 3 KB.
MAX_FAILED_IDS = 32
MAX_RECENT_IDS = 8  # with other answers; a caller seldom uses the id of one again
# Codes of the errors of exchanges without a complete answer.
SILENT = "silent"  # no byte of one arrived in time
LATE = "late"  # one was begun in time only
CUT = "cut"  # the connection ended first, whatever had arrived
INVALID_STATUS = "invalid_status"  # one has a status that is none
_NO_BODY_STATUSES = frozenset({204, 304})

Headers = list[tuple[bytes, bytes]]


class InvalidStatusError(ValueError):
    """An answer has a status outside 100 to 599."""


class AnswerMatch(Enum):
    """Which request an answer belongs to."""

    OWN = "own"  # names the request that waits for it
    OTHER = "other"  # is not for that request, and is skipped
    UNNAMED = "unnamed"  # names none


class ConnectionHistory(Protocol):
    """What a connection has carried before an answer.

    Attributes:
        exchange_count: Number of exchanges, with the one in progress.
        has_named_answer: Whether an answer has named its request.
    """

    exchange_count: int
    has_named_answer: bool


MatchRequest = Callable[[Headers, ConnectionHistory], AnswerMatch]


class HttpAnswer(Record):
    """A complete HTTP answer.

    Attributes:
        status: HTTP status code.
        headers: Headers in order, with names in lower case.
        body: Complete body.
        match: Which request it names, or None if that was not examined.
        exchange_number: Number of its exchange on the connection, from 1.
        skipped_answers: Number of answers to other requests that came before it.
        is_close_delimited: Whether its body ended with the connection.
    """

    __slots__ = (
        "status",
        "headers",
        "body",
        "match",
        "exchange_number",
        "skipped_answers",
        "is_close_delimited",
    )

    def __init__(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        match: AnswerMatch | None = None,
        exchange_number: int = 0,
        skipped_answers: int = 0,
        is_close_delimited: bool = False,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.match = match
        self.exchange_number = exchange_number
        self.skipped_answers = skipped_answers
        self.is_close_delimited = is_close_delimited


class HttpConnection(asyncio.BufferedProtocol):
    """Sends requests and parses answers; any protocol error closes the connection.

    Args:
        timer: Clock and timers for the exchange timeouts.
        sock: Connected socket.
        buffer: Read buffer. The parser copies what it keeps, so that all connections
            of a loop can share one; allocating a buffer for each read, as asyncio
            does by default, costs eight times as much as the system call.
        memory_budget: Limits the incomplete answers of all connections, or None.
        pacer: Shares the loop among connections with fragmented answers.

    Attributes:
        is_closed: True once the connection can no longer be used.
        idle_since_s: Monotonic time of the end of the last exchange, in seconds.
        idle_limit_s: Idle time after which it is not reused, in seconds.
        idle_before_s: Idle time before the last exchange, in seconds.
        exchange_count: Number of exchanges started.
        has_named_answer: Whether an answer has named its request.
        failed_id_hashes: Hashes of the ids of requests that got an error answer.
        recent_id_hashes: Hashes of the ids of the latest requests that got another one.
        skipped_answers: Number of answers skipped as belonging to another request.
        on_closed: Called once when the connection is closed.
    """

    __slots__ = (
        "is_closed",
        "idle_since_s",
        "idle_limit_s",
        "idle_before_s",
        "exchange_count",
        "has_named_answer",
        "failed_id_hashes",
        "recent_id_hashes",
        "skipped_answers",
        "on_closed",
        "_timer",
        "_loop",
        "_sock",
        "_buffer",
        "_memory_budget",
        "_reads",
        "_header_lines",
        "_unbudgeted_bytes",
        "_transport",
        "_parser",
        "_pending_answer",
        "_deadline_s",
        "_timeout",
        "_timeout_due_s",
        "_is_head_request",
        "_limit_bytes",
        "_status",
        "_headers",
        "_body",
        "_body_bytes",
        "_non_body_bytes",
        "_has_received",
        "_has_head",
        "_is_complete",
        "_has_length",
        "_keep_alive",
        "_matches",
        "_match",
        "_is_skipping",
        "_skips_left",
        "_allow_close_delimited",
        "_is_close_delimited",
        "_unsent_body",
        "_is_writing_paused",
    )

    def __init__(
        self,
        timer: TimerService,
        sock: socket.socket,
        buffer: memoryview,
        memory_budget: AnswerMemoryBudget | None = None,
        pacer: ReadPacer | None = None,
    ) -> None:
        self.is_closed = False
        self.idle_since_s = 0.0
        self.idle_limit_s = math.inf
        self.idle_before_s = 0.0
        self.exchange_count = 0
        self.has_named_answer = False
        self.failed_id_hashes: set[int] = set()
        self.recent_id_hashes: list[int] = []
        self.skipped_answers = 0
        self.on_closed: Callable[[HttpConnection], object] | None = None
        self._unsent_body: memoryview | None = None
        self._is_writing_paused = False
        self._timer = timer
        self._loop = asyncio.get_running_loop()
        self._sock = sock
        self._buffer = buffer
        self._memory_budget = memory_budget
        self._reads = PacedReads(pacer or ReadPacer(timer), self._resume_reading)
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending_answer: asyncio.Future[HttpAnswer] | None = None
        self._deadline_s = 0.0
        self._timeout: Subscription | None = None
        self._timeout_due_s = 0.0
        self._is_head_request = False
        self._limit_bytes = 0
        self._status = 0
        self._skips_left = 0
        self._matches: MatchRequest | None = None
        self._match: AnswerMatch | None = None
        self._allow_close_delimited = False
        self._has_received = False
        self._reset_answer()

    def _reset_answer(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: bytes | bytearray = b""
        self._header_lines = 0
        self._unbudgeted_bytes = 0
        self._body_bytes = 0
        self._non_body_bytes = 0
        self._has_head = False
        self._is_complete = False
        self._has_length = False
        self._keep_alive = False
        self._is_skipping = False
        self._is_close_delimited = False

    # Called by the pool.

    def is_usable(self) -> bool:
        """Return True if the connection is open and has no unread data or end of file.

        Peeking at the socket detects that the server has closed an idle connection
        before a request is written; the event loop would report it one iteration too
        late. Servers do not close a connection that was just in use, so the system
        call is skipped for recently used connections.
        """
        if self.is_closed:
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
        head: bytes,
        body: bytes | bytearray = b"",
        *,
        is_head_request: bool,
        timeout_s: float,
        limit_bytes: int,
        matches_request: MatchRequest | None = None,
        allow_close_delimited: bool = False,
    ) -> HttpAnswer:
        """Write one request and wait for its complete answer.

        Args:
            head: Encoded head of the request.
            body: Its body. A large one is written in pieces, and not copied as a whole.
            is_head_request: Whether the method is HEAD, so that the answer has no body
                whatever its headers say.
            timeout_s: Time limit, in seconds.
            limit_bytes: Maximum size of the body.
            matches_request: Tells from headers and history which request an answer
                belongs to. One of another request is skipped: a server may send a
                late second answer to an earlier request.
            allow_close_delimited: Whether to accept a body without a length that ends
                with an orderly close of the connection.

        Raises:
            ExchangeLostError: No complete answer arrived; the connection is closed.
        """
        transport = self._transport
        assert transport is not None
        answer: asyncio.Future[HttpAnswer] = self._loop.create_future()
        self._pending_answer = answer
        self.exchange_count += 1
        self._skips_left = MAX_SKIPPED_ANSWERS
        self._matches = matches_request
        self._match = None
        self._allow_close_delimited = allow_close_delimited
        self._is_head_request = is_head_request
        self._limit_bytes = limit_bytes
        self._has_received = False
        self._reset_answer()
        self._reads.start_message()
        self._set_deadline(timeout_s)
        try:
            if len(body) <= MAX_JOINED_BODY_BYTES:
                transport.write(head + body if body else head)
            else:
                transport.write(head)
                self._unsent_body = memoryview(body)
                self._write_body()
            return await answer
        finally:
            self._pending_answer = None
            self._matches = None  # which may hold the request and its body
            if self._memory_budget is not None:
                self._memory_budget.release(id(self))

    def _write_body(self) -> None:
        """Write what the transport takes of a large body, and go on later."""
        transport = self._transport
        for _ in range(MAX_BODY_PIECES):
            body = self._unsent_body
            if body is None or self._is_writing_paused or transport is None:
                return
            self._unsent_body = body[BODY_PIECE_BYTES:] or None
            transport.write(body[:BODY_PIECE_BYTES])
        self._loop.call_soon(self._write_body)

    def note_answered(self, id_hash: int, status: int) -> None:
        """Remember that a request got an answer with a status here."""
        if status >= MIN_ERROR_STATUS:
            self.failed_id_hashes.add(id_hash)
            return
        self.recent_id_hashes.append(id_hash)
        if len(self.recent_id_hashes) > MAX_RECENT_IDS:
            del self.recent_id_hashes[0]

    def has_answered(self, id_hash: int) -> bool:
        """Return whether a request with this id is known to have got an answer here."""
        return id_hash in self.failed_id_hashes or id_hash in self.recent_id_hashes

    def can_be_reused(self) -> bool:
        """Return True if another exchange may follow the last one."""
        transport = self._transport
        return (
            not self.is_closed
            and self._keep_alive
            and len(self.failed_id_hashes) < MAX_FAILED_IDS
            and transport is not None
            and self._unsent_body is None
            and transport.get_write_buffer_size() == 0
        )

    def abort(self) -> None:
        """Close the connection immediately and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()
        self._close("the connection was closed")

    # Callbacks of asyncio.BufferedProtocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared read buffer, or a part of it."""
        return self._reads.limit_read(self._buffer)

    def pause_writing(self) -> None:
        """Stop writing a large body: the transport holds enough of it."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Go on with a large body."""
        self._is_writing_paused = False
        self._write_body()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self.is_closed:
            self._transport.resume_reading()

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes read into the buffer."""
        self._has_received = True
        data = self._buffer[:nbytes]
        if self._pending_answer is None or self._is_complete:
            self._fail("received data without a request in progress")
            return
        body_bytes_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if not self._is_complete or self._matches is None:
                cause = exc.__context__ or exc
                is_status = isinstance(
                    cause, InvalidStatusError | httptools.HttpParserInvalidStatusError
                )
                code = INVALID_STATUS if is_status else None
                self._fail(f"malformed answer: {cause}", code)
                return
            # The answer is complete and matches its request; only the data after it
            # is malformed.
            self._keep_alive = False
        if self._is_complete:
            self._complete_exchange(data)
            return
        self._reads.end_read(nbytes, self._transport)
        if self._memory_budget is not None and self._unbudgeted_bytes:
            size = self._unbudgeted_bytes
            self._unbudgeted_bytes = 0
            self._memory_budget.add(id(self), size, self._fail)
        self._non_body_bytes += nbytes - (self._body_bytes - body_bytes_before)
        if self._non_body_bytes > MAX_HEAD_BYTES + FRAMING_FACTOR * self._body_bytes:
            self._fail("the head of the answer is too large")

    def eof_received(self) -> bool:
        """End a close-delimited answer; otherwise fail the exchange."""
        if self._allow_close_delimited and self._has_head and not self._has_length:
            self._is_complete = True
            self._keep_alive = False
            self._is_close_delimited = True
            self._complete_exchange(memoryview(b""))
        self._fail("the server closed the connection", CUT)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        reason = f"the connection broke: {exc}" if exc else "the connection closed"
        self._close(reason, CUT, was_reset=exc is not None)

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self) -> None:
        """Reject another answer after the complete one."""
        if self._is_complete:
            raise ValueError("more than one answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        self._reads.add_piece()
        self._header_lines += 1
        if self._header_lines > MAX_HEADER_LINES:
            raise ValueError("too many headers")
        if self._has_head:
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
        """Determine the message framing of the answer."""
        self._status = status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise InvalidStatusError(f"{status:03} is no status")
        if status < MIN_FINAL_STATUS:
            self._skip_interim_answer(status)
            return
        if self._matches is not None:
            match = self._match = self._matches(self._headers, self)
            if match is AnswerMatch.OTHER:
                self._skip_mismatched_answer()
                return
            self.has_named_answer |= match is AnswerMatch.OWN
        self._has_head = True
        self._keep_alive = self._parser.should_keep_alive()
        if self._is_head_request:
            self._is_complete = True
        elif not self._has_length and status not in _NO_BODY_STATUSES:
            # A close-delimited body may be truncated.
            if not self._allow_close_delimited:
                raise ValueError("the answer has no body length")
            self._keep_alive = False

    def _skip_mismatched_answer(self) -> None:
        if not self._has_length and self._status not in _NO_BODY_STATUSES:
            raise ValueError("an answer to another request has no body length")
        if not self._skips_left:
            raise ValueError("too many answers to other requests")
        self._skips_left -= 1
        self.skipped_answers += 1
        self._is_skipping = True

    def _skip_interim_answer(self, status: int) -> None:
        if status == 101:
            raise ValueError("the server switched protocols")
        # Such an answer ends with its head (RFC 9112, 6.3). With these headers the
        # parser would take what follows for its body.
        if any(
            name == b"transfer-encoding" or (name, value) != (b"content-length", b"0")
            for name, value in self._headers
            if name in (b"content-length", b"transfer-encoding")
        ):
            raise ValueError("an interim answer with a body")
        self._headers = []
        self._has_length = False

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, up to the size limit."""
        self._reads.add_piece()
        if self._is_skipping:
            return
        if self._is_complete or self.is_closed:
            raise ValueError("unexpected data after the answer")
        self._body_bytes += len(body)
        if self._body_bytes > self._limit_bytes:
            raise ValueError("the body exceeds the size limit")
        self._unbudgeted_bytes += len(body)
        if not self._body:
            self._body = body
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += body

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        if self._is_skipping:
            self._reset_answer()
            return
        if self._has_head:
            self._is_complete = True

    # Completion of an exchange.

    def _complete_exchange(self, data: memoryview) -> None:
        if self._is_head_request:
            # The parser would wait for the body that a HEAD answer announces but omits.
            self._parser = httptools.HttpResponseParser(self)
            self._keep_alive = self._keep_alive and data[-4:] == b"\r\n\r\n"
        answer = self._pending_answer
        if answer is not None and not answer.done():
            body = bytes(self._body)
            self._body = b""
            answer.set_result(
                HttpAnswer(
                    self._status,
                    self._headers,
                    body,
                    match=self._match,
                    exchange_number=self.exchange_count,
                    skipped_answers=MAX_SKIPPED_ANSWERS - self._skips_left,
                    is_close_delimited=self._is_close_delimited,
                )
            )

    # Timeouts. A timer outlives its exchange and is rescheduled only when it fires:
    # starting and cancelling a timer for each exchange costs more than parsing.

    def _set_deadline(self, timeout_s: float) -> None:
        self._deadline_s = deadline_s = self._timer.now() + timeout_s
        if self._timeout is None or self._timeout_due_s > deadline_s:
            self._schedule_timeout(timeout_s)

    def _schedule_timeout(self, delay_s: float) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = self._timer.call_later(delay_s, self._on_timeout)
        self._timeout_due_s = self._deadline_s

    def _on_timeout(self) -> None:
        self._timeout = None
        if self._pending_answer is None:
            return
        left_s = self._deadline_s - self._timer.now()
        if left_s > 0.0:
            self._schedule_timeout(left_s)
        else:
            code = LATE if self._has_received else SILENT
            self._fail("no complete answer in time", code)

    def _fail(self, reason: str, code: str | None = None) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._close(reason, code)

    def _close(
        self, reason: str, code: str | None = None, *, was_reset: bool = False
    ) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._unsent_body = None
        self._body = b""
        self._reads.close()
        if self._timeout is not None:
            self._timeout.cancel()
        if self.on_closed is not None:
            self.on_closed(self)
        answer = self._pending_answer
        if answer is not None and not answer.done():
            lost = ExchangeLostError(reason, code=code)
            lost.was_reset = was_reset
            lost.exchange_number = self.exchange_count
            lost.skipped_answers = MAX_SKIPPED_ANSWERS - self._skips_left
            answer.set_exception(lost)
