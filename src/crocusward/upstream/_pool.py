"""Pool of HTTP/1.1 connections, by address."""

import asyncio
import socket
from collections.abc import Callable, Sequence

from ..errors import ExchangeLostError, NotSentError
from ..timing import Subscription, TimerService
from ._connection import Headers, HttpAnswer, HttpConnection
from ._encode import encode_request
from ._memory import AnswerMemoryBudget

DEFAULT_CONNECTIONS = 16
DEFAULT_IDLE_S = 30.0
READ_BYTES = 65_536
IDLE_MARGIN = 0.8  # of the idle time that a server tells; it closes at the end of it
CONNECT_TIMEOUT_S = 1.0  # the slowest path within a deployment has 12 ms one way


class _Address:
    """Connections to one address; ``count`` includes those being opened."""

    __slots__ = ("host", "idle", "count", "limit")

    def __init__(self, host: bytes) -> None:
        self.host = host
        self.idle: list[HttpConnection] = []
        self.count = 0
        self.limit: int | None = None


class HttpPool:
    """Sends HTTP requests, each at most once and never again.

    Args:
        timer: Source of time.
        connections: Largest number of connections to one address.
        idle_s: Time after which an unused connection is closed, in seconds.
        connect_timeout_s: Longest time to open a connection, in seconds.
        memory: Bounds what the answers under way take, or None.
    """

    __slots__ = (
        "connections",
        "_memory",
        "_timer",
        "_idle_s",
        "_connect_timeout_s",
        "_addresses",
        "_sweep",
        "_closed",
        "_buffer",
    )

    def __init__(
        self,
        timer: TimerService,
        *,
        connections: int = DEFAULT_CONNECTIONS,
        idle_s: float = DEFAULT_IDLE_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        memory_budget: AnswerMemoryBudget | None = None,
    ) -> None:
        self.connections = connections
        self._memory = memory_budget
        self._timer = timer
        self._idle_s = idle_s
        self._connect_timeout_s = connect_timeout_s
        self._addresses: dict[tuple[str, int], _Address] = {}
        self._sweep: Subscription | None = None
        self._closed = False
        self._buffer = memoryview(bytearray(READ_BYTES))

    async def request(
        self,
        address: str,
        port: int,
        method: str,
        path: str,
        headers: Sequence[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        *,
        timeout_s: float,
        limit_bytes: int,
        check: Callable[[HttpAnswer], object] | None = None,
        before_write: Callable[[], object] | None = None,
        matches_request: Callable[[int, Headers], bool] | None = None,
        allow_close_delimited: bool = False,
        max_idle_s: float | None = None,
        host: bytes | None = None,
    ) -> HttpAnswer:
        """Send one request and return its complete answer.

        Args:
            address: IP address or name of the server.
            port: TCP port.
            method: HTTP method in upper case.
            path: Path and query.
            headers: Headers without Host, Content-Length and Connection.
            body: The whole body.
            timeout_s: Time for connecting and the exchange together, in seconds.
            limit_bytes: Largest accepted answer body, in bytes.
            check: Called before the connection may be reused; if it raises, the
                connection is closed.
            before_write: Called immediately before the first byte is written; if
                it raises, nothing is written.
            is_own: See ``HttpConnection.exchange``.
            reads_to_end: See ``HttpConnection.exchange``.
            max_idle_s: Use no connection that was idle for longer, in seconds.
            host: Value of the Host header, by default the address.

        Raises:
            NotSentError: Certainly no byte was written.
            ExchangeLostError: Bytes were written and no complete answer came.
        """
        slot = self._slot(address, port)
        data = encode_request(method, path, host or slot.host, headers, body)
        conn = self._take_idle(slot, max_idle_s)
        if conn is None:
            started_s = self._timer.now()
            conn = await self._connect(slot, address, port, timeout_s)
            timeout_s -= self._timer.now() - started_s
        try:
            if timeout_s <= 0.0:
                raise NotSentError("no time is left", code="timeout")
            if before_write is not None:
                before_write()
            answer = await conn.exchange(
                data,
                is_head=method == "HEAD",
                timeout_s=timeout_s,
                limit_bytes=limit_bytes,
                matches_request=matches_request,
                allow_close_delimited=allow_close_delimited,
            )
            if check is not None:
                check(answer)
        except BaseException as exc:
            conn.abort()
            if isinstance(exc, ExchangeLostError):
                exc.reused = conn.exchanges > 1
                exc.idle_s = conn.idle_before_s
            raise
        self._release(slot, conn, answer)
        return answer

    def set_limit(self, address: str, port: int, connections: int | None) -> None:
        """Set the largest number of connections to one address; None for default."""
        self._slot(address, port).limit = connections

    def count(self, address: str, port: int) -> int:
        """Return the number of open connections to an address."""
        slot = self._addresses.get((address, port))
        return slot.count if slot else 0

    def count_idle(self, address: str, port: int) -> int:
        """Return the number of unused open connections to an address."""
        slot = self._addresses.get((address, port))
        return len(slot.idle) if slot else 0

    def close_idle(self, address: str, port: int) -> None:
        """Close the unused connections to an address."""
        slot = self._addresses.get((address, port))
        for conn in list(slot.idle) if slot else ():
            conn.abort()

    def close(self) -> None:
        """Close idle connections and keep none from now on."""
        self._closed = True
        if self._sweep is not None:
            self._sweep.cancel()
        for slot in self._addresses.values():
            for conn in list(slot.idle):
                conn.abort()

    def _slot(self, address: str, port: int) -> _Address:
        slot = self._addresses.get((address, port))
        if slot is None:
            name = f"[{address}]:{port}" if ":" in address else f"{address}:{port}"
            slot = self._addresses[(address, port)] = _Address(name.encode("ascii"))
        return slot

    def _limit(self, slot: _Address) -> int:
        return self.connections if slot.limit is None else slot.limit

    def _take_idle(
        self, slot: _Address, max_idle_s: float | None
    ) -> HttpConnection | None:
        now_s = self._timer.now()
        while slot.idle:
            conn = slot.idle.pop()
            idle_s = now_s - conn.idle_since_s
            limit_s = conn.idle_limit_s if max_idle_s is None else max_idle_s
            if idle_s > min(limit_s, conn.idle_limit_s):
                conn.abort()
            elif conn.is_usable():
                conn.idle_before_s = idle_s
                return conn
        return None

    def _release(
        self, slot: _Address, conn: HttpConnection, answer: HttpAnswer
    ) -> None:
        if conn.closed:
            return
        if self._closed or slot.count > self._limit(slot) or not conn.may_be_reused():
            conn.abort()
            return
        conn.idle_since_s = self._timer.now()
        conn.idle_limit_s = _idle_limit_s(answer) or self._idle_s
        slot.idle.append(conn)

    async def _connect(
        self, slot: _Address, address: str, port: int, timeout_s: float
    ) -> HttpConnection:
        if self._closed:
            raise NotSentError("the connection pool is closed", code="pool_closed")
        if slot.count >= self._limit(slot):
            raise NotSentError(
                f"all {slot.count} connections to {address}:{port} are in use",
                code="no_connection",
            )
        if self._sweep is None:
            self._sweep = self._timer.every(self._idle_s / 2.0, self._close_idle)
        slot.count += 1
        try:
            async with asyncio.timeout(min(timeout_s, self._connect_timeout_s)):
                return await self._open(slot, address, port)
        except BaseException as exc:
            slot.count -= 1
            if isinstance(exc, TimeoutError):
                raise NotSentError(
                    f"connecting to {address}:{port} took too long",
                    code="connect_timeout",
                ) from exc
            if isinstance(exc, OSError):
                raise NotSentError(
                    f"cannot connect to {address}:{port}: {exc}", code="refused"
                ) from exc
            raise

    async def _open(self, slot: _Address, address: str, port: int) -> HttpConnection:
        def on_closed(conn: HttpConnection) -> None:
            slot.count -= 1
            if conn in slot.idle:
                slot.idle.remove(conn)

        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(sock, (address, port))
            conn = HttpConnection(self._timer, sock, self._buffer, self._memory)
            await loop.create_connection(lambda: conn, sock=sock)
            if conn.closed:
                raise ConnectionResetError("closed by the server at once")
        except BaseException:
            sock.close()
            raise
        conn.on_closed = on_closed
        return conn

    def _close_idle(self) -> None:
        now_s = self._timer.now()
        oldest_s = now_s - self._idle_s
        for key, slot in list(self._addresses.items()):
            for conn in list(slot.idle):
                is_old = now_s - conn.idle_since_s > conn.idle_limit_s
                if (
                    is_old
                    or conn.idle_since_s <= oldest_s
                    or slot.count > self._limit(slot)
                ):
                    conn.abort()
            if slot.count == 0 and slot.limit is None:
                del self._addresses[key]


def _idle_limit_s(answer: HttpAnswer) -> float | None:
    """Return for how long the server keeps the connection, with a margin."""
    for name, value in answer.headers:
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    return IDLE_MARGIN * int(number)
    return None
