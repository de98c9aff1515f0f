"""Pool of HTTP/1.1 client connections by server address."""

import asyncio
import socket
from collections.abc import Callable, Sequence

from ..errors import ExchangeLostError, NotSentError
from ..timing import Subscription, TimerService
from ._connection import (
    INVALID_STATUS,
    SILENT,
    HttpAnswer,
    HttpConnection,
    MatchRequest,
)
from ._encode import encode_head
from ._headers import parse_digits
from ._memory import AnswerMemoryBudget
from ._read_pacer import ReadPacer

DEFAULT_MAX_CONNECTIONS = 16
DEFAULT_IDLE_TIMEOUT_S = 30.0
READ_BUFFER_BYTES = 65_536
KEEP_ALIVE_SHARE = 0.8  # of the Keep-Alive timeout, after which the server closes
DEFAULT_CONNECT_TIMEOUT_S = 1.0  # the slowest path takes 12 ms one way


class _Endpoint:
    """Connections to one address; ``open_count`` includes those being opened."""

    __slots__ = ("host", "idle", "open_count", "limit")

    def __init__(self, host: bytes) -> None:
        self.host = host
        self.idle: list[HttpConnection] = []
        self.open_count = 0
        self.limit: int | None = None


class HttpPool:
    """Sends each HTTP request at most once, over pooled connections.

    Args:
        timer: Clock and timers.
        connections: Default maximum number of connections to one address.
        idle_s: Idle time after which a connection is closed, in seconds.
        connect_timeout_s: Time limit for opening a connection, in seconds.
        memory_budget: Limits the total size of incomplete answers, or None.
        reuse: Whether connections are kept for further requests.

    Attributes:
        connections: Default maximum number of connections to one address.
        silent_connections: Number of kept connections on which no byte of an answer
            arrived in time.
        distrusted_connections: Number of idle connections closed after that.
        skipped_answers: Number of answers skipped as belonging to other requests.
        invalid_statuses: Number of answers with a status that is none.
        pacer: Paces the reads of fragmented answers.
        memory_budget: Limits the total size of incomplete answers, or None.
    """

    __slots__ = (
        "connections",
        "silent_connections",
        "distrusted_connections",
        "skipped_answers",
        "invalid_statuses",
        "pacer",
        "memory_budget",
        "_reuse",
        "_timer",
        "_idle_s",
        "_connect_timeout_s",
        "_endpoints",
        "_idle_timer",
        "_is_closed",
        "_buffer",
    )

    def __init__(
        self,
        timer: TimerService,
        *,
        connections: int = DEFAULT_MAX_CONNECTIONS,
        idle_s: float = DEFAULT_IDLE_TIMEOUT_S,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        memory_budget: AnswerMemoryBudget | None = None,
        reuse: bool = True,
    ) -> None:
        self.connections = connections
        self.silent_connections = 0
        self.distrusted_connections = 0
        self.skipped_answers = 0
        self.invalid_statuses = 0
        self._reuse = reuse
        self.memory_budget = memory_budget
        self.pacer = ReadPacer(timer)
        self._timer = timer
        self._idle_s = idle_s
        self._connect_timeout_s = connect_timeout_s
        self._endpoints: dict[tuple[str, int], _Endpoint] = {}
        self._idle_timer: Subscription | None = None
        self._is_closed = False
        self._buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    async def request(
        self,
        address: str,
        port: int,
        method: str,
        path: str,
        headers: Sequence[tuple[bytes, bytes]] = (),
        body: bytes | bytearray = b"",
        *,
        timeout_s: float,
        limit_bytes: int,
        check: Callable[[HttpAnswer], object] | None = None,
        before_write: Callable[[], object] | None = None,
        matches_request: MatchRequest | None = None,
        may_reuse: Callable[[HttpAnswer], bool] | None = None,
        allow_close_delimited: bool = False,
        max_idle_s: float | None = None,
        host: bytes | None = None,
        request_id: bytes = b"",
    ) -> HttpAnswer:
        """Send one request and return its complete answer.

        Args:
            address: IP address of the server.
            port: TCP port.
            method: HTTP method in upper case.
            path: Path and query.
            headers: Headers without Host, Content-Length and Connection.
            body: Complete body.
            timeout_s: Time limit for connecting and the exchange, in seconds.
            limit_bytes: Maximum size of the answer body, in bytes.
            check: Validates the answer before the connection may be reused; if it
                raises, the connection is closed.
            before_write: Called immediately before the first byte is written; if
                it raises, nothing is written.
            matches_request: See ``HttpConnection.exchange``.
            may_reuse: Returns whether the connection may be reused after an answer.
            allow_close_delimited: See ``HttpConnection.exchange``.
            max_idle_s: Maximum idle time of a reused connection, in seconds.
            host: Value of the Host header; defaults to address and port.
            request_id: Id of the request, or b"". A connection on which this id got an
                answer is not used for it again, since a second copy of that answer
                would be taken for the answer to this request.

        Raises:
            NotSentError: No byte was written.
            ExchangeLostError: Bytes were written, but no complete answer arrived.
        """
        endpoint = self._get_endpoint(address, port)
        head = encode_head(method, path, host or endpoint.host, headers, len(body))
        conn = self._take_idle(endpoint, max_idle_s, request_id)
        if conn is None:
            started_s = self._timer.now()
            conn = await self._connect(endpoint, address, port, timeout_s)
            timeout_s -= self._timer.now() - started_s
        sent_s = self._timer.now()
        try:
            if timeout_s <= 0.0:
                raise NotSentError("no time left to send the request", code="timeout")
            if before_write is not None:
                before_write()
            answer = await conn.exchange(
                head,
                body,
                is_head_request=method == "HEAD",
                timeout_s=timeout_s,
                limit_bytes=limit_bytes,
                matches_request=matches_request,
                allow_close_delimited=allow_close_delimited,
            )
            self.skipped_answers += answer.skipped_answers
            if check is not None:
                check(answer)
        except BaseException as exc:
            conn.abort()
            if isinstance(exc, ExchangeLostError):
                self.skipped_answers += exc.skipped_answers
                self.invalid_statuses += exc.code == INVALID_STATUS
                exc.reused = conn.exchange_count > 1
                exc.idle_s = conn.idle_before_s
                if exc.reused and exc.code == SILENT:
                    self._distrust_idle(endpoint, sent_s)
            raise
        if request_id:
            conn.note_answered(hash(request_id), answer.status)
        if may_reuse is not None and not may_reuse(answer):
            conn.abort()
        self._release(endpoint, conn, answer)
        return answer

    async def open_idle(self, address: str, port: int, timeout_s: float) -> None:
        """Open a connection and keep it for the next request.

        Raises:
            NotSentError: With code ``refused`` if nobody listens there.
        """
        endpoint = self._get_endpoint(address, port)
        conn = await self._connect(endpoint, address, port, timeout_s)
        conn.idle_since_s = self._timer.now()
        conn.idle_limit_s = self._idle_s
        endpoint.idle.append(conn)

    def limit_connections(self, address: str, port: int, limit: int | None) -> None:
        """Set the maximum number of connections to an address; None for the default."""
        self._get_endpoint(address, port).limit = limit

    def count_open(self, address: str, port: int) -> int:
        """Return the number of connections to an address, in use or idle."""
        endpoint = self._endpoints.get((address, port))
        return endpoint.open_count if endpoint else 0

    def count_idle(self, address: str, port: int) -> int:
        """Return the number of idle connections to an address."""
        endpoint = self._endpoints.get((address, port))
        return len(endpoint.idle) if endpoint else 0

    def close_idle(self, address: str, port: int) -> None:
        """Close the idle connections to an address."""
        endpoint = self._endpoints.get((address, port))
        for conn in list(endpoint.idle) if endpoint else ():
            conn.abort()

    def close(self) -> None:
        """Close idle connections now, busy ones after their exchange; open no more."""
        self._is_closed = True
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for endpoint in self._endpoints.values():
            for conn in list(endpoint.idle):
                conn.abort()

    def _get_endpoint(self, address: str, port: int) -> _Endpoint:
        endpoint = self._endpoints.get((address, port))
        if endpoint is None:
            name = f"[{address}]:{port}" if ":" in address else f"{address}:{port}"
            endpoint = self._endpoints[(address, port)] = _Endpoint(
                name.encode("ascii")
            )
        return endpoint

    def _limit(self, endpoint: _Endpoint) -> int:
        return self.connections if endpoint.limit is None else endpoint.limit

    def _take_idle(
        self, endpoint: _Endpoint, max_idle_s: float | None, request_id: bytes
    ) -> HttpConnection | None:
        skipped: list[HttpConnection] = []
        conn = self._pop_idle(endpoint, max_idle_s, request_id, skipped)
        endpoint.idle += reversed(skipped)
        if conn is None and skipped and endpoint.open_count >= self._limit(endpoint):
            skipped[-1].abort()  # makes room for a new connection
        return conn

    def _pop_idle(
        self,
        endpoint: _Endpoint,
        max_idle_s: float | None,
        request_id: bytes,
        skipped: list[HttpConnection],
    ) -> HttpConnection | None:
        """Remove and return a usable connection; move others into ``skipped``."""
        now_s = self._timer.now()
        id_hash = hash(request_id)
        while endpoint.idle:
            conn = endpoint.idle.pop()
            idle_s = now_s - conn.idle_since_s
            limit_s = conn.idle_limit_s if max_idle_s is None else max_idle_s
            if idle_s > min(limit_s, conn.idle_limit_s):
                conn.abort()
            elif conn.has_answered(id_hash):
                skipped.append(conn)
            elif conn.is_usable():
                conn.idle_before_s = idle_s
                return conn
        return None

    def _release(
        self, endpoint: _Endpoint, conn: HttpConnection, answer: HttpAnswer
    ) -> None:
        if conn.is_closed:
            return
        if (
            self._is_closed
            or not self._reuse
            or endpoint.open_count > self._limit(endpoint)
            or not conn.can_be_reused()
        ):
            conn.abort()
            return
        conn.idle_since_s = self._timer.now()
        conn.idle_limit_s = _parse_keep_alive_s(answer) or self._idle_s
        endpoint.idle.append(conn)

    def _distrust_idle(self, endpoint: _Endpoint, since_s: float) -> None:
        """Close the connections to an address that have carried no answer since a time.

        One of them fell silent without a reset, and the same cause may have silenced
        the others. Trying each would cost one time limit after another.
        """
        self.silent_connections += 1
        for conn in list(endpoint.idle):
            if conn.idle_since_s <= since_s:
                self.distrusted_connections += 1
                conn.abort()

    async def _connect(
        self, endpoint: _Endpoint, address: str, port: int, timeout_s: float
    ) -> HttpConnection:
        if self._is_closed:
            raise NotSentError("the connection pool is closed", code="pool_closed")
        if endpoint.open_count >= self._limit(endpoint):
            raise NotSentError(
                f"all {endpoint.open_count} connections to {address}:{port} are in use",
                code="no_connection",
            )
        if self._idle_timer is None:
            self._idle_timer = self._timer.every(self._idle_s / 2.0, self._close_idle)
        endpoint.open_count += 1
        try:
            async with asyncio.timeout(min(timeout_s, self._connect_timeout_s)):
                return await self._open_connection(endpoint, address, port)
        except BaseException as exc:
            endpoint.open_count -= 1
            if isinstance(exc, TimeoutError):
                raise NotSentError(
                    f"connecting to {address}:{port} timed out",
                    code="connect_timeout",
                ) from exc
            if isinstance(exc, OSError):
                raise NotSentError(
                    f"cannot connect to {address}:{port}: {exc}", code="refused"
                ) from exc
            raise

    async def _open_connection(
        self, endpoint: _Endpoint, address: str, port: int
    ) -> HttpConnection:
        def on_closed(conn: HttpConnection) -> None:
            endpoint.open_count -= 1
            if conn in endpoint.idle:
                endpoint.idle.remove(conn)

        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(sock, (address, port))
            conn = HttpConnection(
                self._timer, sock, self._buffer, self.memory_budget, self.pacer
            )
            await loop.create_connection(lambda: conn, sock=sock)
            if conn.is_closed:
                raise ConnectionResetError("the server closed the new connection")
        except BaseException:
            sock.close()
            raise
        conn.on_closed = on_closed
        return conn

    def _close_idle(self) -> None:
        now_s = self._timer.now()
        cutoff_s = now_s - self._idle_s
        for key, endpoint in list(self._endpoints.items()):
            for conn in list(endpoint.idle):
                is_expired = now_s - conn.idle_since_s > conn.idle_limit_s
                if (
                    is_expired
                    or conn.idle_since_s <= cutoff_s
                    or endpoint.open_count > self._limit(endpoint)
                ):
                    conn.abort()
            if endpoint.open_count == 0 and endpoint.limit is None:
                del self._endpoints[key]


def _parse_keep_alive_s(answer: HttpAnswer) -> float | None:
    """Return the idle time that the Keep-Alive header allows, less a margin."""
    for name, value in answer.headers:
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                timeout_s = parse_digits(number)
                if key.lower() == b"timeout" and timeout_s is not None:
                    return KEEP_ALIVE_SHARE * timeout_s
    return None
