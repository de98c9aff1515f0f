"""Listening socket and the connections that it accepted."""

import asyncio
import socket

from ..accepting import end_accepting
from ..lingering import PEER_CHECK_PERIOD_S, LingerEnd
from ..logs import EventSampler, Level
from ..timing import Subscription, TimerService
from ..upstream import ReadPacer
from ._caller import READ_BUFFER_BYTES, CallerConnection, RequestHandler
from ._messages import CallerAnswer

MAX_LISTEN_BACKLOG = 1024
TIMEOUT_CHECK_PERIOD_S = 0.5
MAX_LINGERING_CONNECTIONS = 512  # above it, the oldest lingering close is ended


class Listener:
    """Accepts connections of callers on one address and drains them.

    Args:
        handler: Answers the requests.
        timer: Source of time.
        sampler: Logs closes that callers may notice, or None.

    Attributes:
        connections: Open connections.
        accepted: Number of connections accepted so far.
        last_opened_s: When a connection was last accepted, in monotonic seconds.
        pacer: Paces the reads of fragmented requests.
        lingering: Connections whose close lingers, the oldest first.
        linger_ends: Number of lingering closes that ended before the caller closed, by
            reason.
    """

    __slots__ = (
        "connections",
        "accepted",
        "last_opened_s",
        "pacer",
        "lingering",
        "linger_ends",
        "_sampler",
        "_handler",
        "_timer",
        "_buffer",
        "_server",
        "_timeout_check",
        "_peer_check",
        "_watched",
        "_opening",
    )

    def __init__(
        self,
        handler: RequestHandler,
        timer: TimerService,
        sampler: EventSampler | None = None,
    ) -> None:
        self.lingering: dict[CallerConnection, None] = {}
        self.linger_ends = dict.fromkeys(LingerEnd, 0)
        self._sampler = sampler
        self.pacer = ReadPacer(timer)
        self.connections: set[CallerConnection] = set()
        self.accepted = 0
        self.last_opened_s = -1e9
        self._opening: set[asyncio.Task[None]] = set()
        self._handler = handler
        self._timer = timer
        self._buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._server: asyncio.Server | None = None
        self._timeout_check: Subscription | None = None
        self._peer_check: Subscription | None = None
        self._watched: set[CallerConnection] = set()  # which are not read

    async def start(self, address: str, port: int) -> None:
        """Bind the address and start to accept connections.

        Raises:
            OSError: The address is not available.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection,
            address,
            port,
            backlog=MAX_LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._timeout_check = self._timer.every(
            TIMEOUT_CHECK_PERIOD_S, self._check_timeouts
        )

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(
            self._handler,
            self._timer.now,
            self.pacer,
            self._buffer,
            self._on_open,
            self._on_close,
            self._on_linger,
            self._on_linger_end,
            self._watch_peer,
        )

    def _on_open(self, conn: CallerConnection) -> None:
        self.accepted += 1
        self.last_opened_s = self._timer.now()
        self.connections.add(conn)

    def _on_close(self, conn: CallerConnection) -> None:
        self.connections.discard(conn)
        self.lingering.pop(conn, None)

    def _on_linger(self, conn: CallerConnection) -> None:
        self.lingering[conn] = None
        if len(self.lingering) > MAX_LINGERING_CONNECTIONS:
            next(iter(self.lingering)).end_linger(LingerEnd.DISPLACED)

    def _on_linger_end(self, conn: CallerConnection, end: LingerEnd) -> None:
        self.lingering.pop(conn, None)
        self.linger_ends[end] += 1
        if end is not LingerEnd.QUIET:
            self._log_cut(conn, end.value)

    def _log_cut(self, conn: CallerConnection, reason: str) -> None:
        if self._sampler is not None:
            self._sampler.log(
                "caller_connection_cut",
                Level.WARNING,
                id=(conn.first_pending_id or conn.last_id).decode("latin-1"),
                reason=reason,
                pending=conn.pending,
                unsent_bytes=conn.unsent_bytes,
            )

    def _check_timeouts(self) -> None:
        now_s = self._timer.now()
        for conn in list(self.connections):
            conn.check_timeouts(now_s)

    def _watch_peer(self, conn: CallerConnection) -> None:
        self._watched.add(conn)
        if self._peer_check is None:
            self._schedule_peer_check()

    def _schedule_peer_check(self) -> None:
        self._peer_check = self._timer.call_later(
            PEER_CHECK_PERIOD_S, self._check_peers
        )

    def _check_peers(self) -> None:
        self._peer_check = None
        for conn in list(self._watched):
            if conn in self.connections and conn.has_unread_pipeline:
                conn.check_peer()
            else:
                self._watched.discard(conn)
        if self._watched:
            self._schedule_peer_check()

    @property
    def port(self) -> int:
        """Port that is listened on, or 0 before the start."""
        return self._server.sockets[0].getsockname()[1] if self._server else 0

    @property
    def pending(self) -> int:
        """Number of requests that are not answered yet."""
        return sum(conn.pending for conn in self.connections)

    def drain(self) -> None:
        """Close each connection with its next answer."""
        for conn in self.connections:
            conn.drain()

    @property
    def is_open(self) -> bool:
        """Whether there are connections, including those just being accepted."""
        return bool(self.connections or self._opening)

    def close_idle(self) -> None:
        """Close the connections without a pending or partly read request.

        The first request of a new connection is waited for.
        """
        now_s = self._timer.now()
        for conn in list(self.connections):
            if conn.is_idle and conn not in self.lingering and not conn.is_new(now_s):
                conn.close()

    def refuse_incomplete(self, answer: CallerAnswer) -> None:
        """Refuse the requests that were read in part."""
        for conn in list(self.connections):
            conn.refuse_incomplete(answer)

    async def end_intake(self) -> None:
        """Accept what the kernel has queued, then refuse new connections.

        Returns once ``connections`` holds all that were accepted.
        """
        server, self._server = self._server, None
        if server is None:
            return
        loop = asyncio.get_running_loop()
        for conn in await end_accepting(server):
            task = loop.create_task(self._adopt(conn))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        if self._opening:
            await asyncio.wait(self._opening)

    async def _adopt(self, conn: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(self._make_connection, conn)

    def close(self) -> None:
        """Close the socket and abort all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for check in (self._timeout_check, self._peer_check):
            if check is not None:
                check.cancel()
        for task in self._opening:
            task.cancel()
        for conn in list(self.connections):
            if conn.unsent_bytes or conn.pending:
                self._log_cut(conn, "stopped")
            conn.abort()
