"""Listening socket, drain and stop."""

import asyncio
import socket
from collections.abc import Coroutine
from pathlib import Path
from typing import Any
from weakref import WeakKeyDictionary

import uvicorn
from uvicorn.server import ServerState

from ..accepting import ACCEPT_TIME_S, end_accepting
from ..invariants import InvariantName, Invariants
from ..timing import Subscription, TimerService
from ..upstream import ReadPacer
from ._application import CallerApplication
from ._protocol import CallProtocol

BACKLOG = 2048
READ_BYTES = 65_536
IDLE_S = 75.0  # longer than load balancers commonly keep idle connections
SWEEP_PERIOD_S = 1.0
DRAIN_POLL_S = 0.02
DRAIN_LINGER_S = 0.3  # a request may be on its way: clients are 3 ms away


class HttpServer:
    """Serves one application on one address.

    Args:
        app: The application.
        timer: Source of time.
        invariants: Receives the check that a planned stop cuts no request.
        idle_s: Time after which an unused connection is closed, in seconds.
        cert: Path of the TLS certificate, or None for plain HTTP.
        key: Path of the private key of the certificate.
    """

    __slots__ = (
        "_app",
        "_timer",
        "_invariants",
        "_idle_s",
        "_config",
        "_state",
        "_buffer",
        "_pacer",
        "_sock",
        "_server",
        "_sweep",
        "_made_s",
    )

    def __init__(
        self,
        app: CallerApplication,
        timer: TimerService,
        invariants: Invariants,
        *,
        idle_s: float = IDLE_S,
        cert: Path | None = None,
        key: Path | None = None,
    ) -> None:
        self._app = app
        self._timer = timer
        self._invariants = invariants
        self._idle_s = idle_s
        self._config = _make_config(app, cert, key)
        self._state = ServerState()
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._pacer = ReadPacer(timer)
        self._sock: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._sweep: Subscription | None = None
        self._made_s: WeakKeyDictionary[CallProtocol, float] = WeakKeyDictionary()

    @property
    def port(self) -> int:
        """Port that the server listens on, or 0 when it does not."""
        return self._sock.getsockname()[1] if self._sock is not None else 0

    @property
    def in_flight(self) -> int:
        """Requests whose head has arrived and whose answer is not yet sent."""
        return self._app.in_flight

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._state.connections)

    async def start(
        self, address: str, port: int, *, sock: socket.socket | None = None
    ) -> None:
        """Listen on an address, or on a bound socket.

        Raises:
            OSError: The address is in use or not available.
        """
        self._config.load()
        await self._app.start()
        self._sock = sock = sock or _bind(address, port)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol, sock=sock, ssl=self._config.ssl, backlog=BACKLOG
        )
        self._sweep = self._timer.every(SWEEP_PERIOD_S, self._close_unused)

    def stop_accepting(self) -> None:
        """Accept what the kernel has queued, then refuse new connections."""
        server, self._server = self._server, None
        self._sock = None
        if server is not None:
            self._start_task(self._end_intake(server))

    async def _end_intake(self, server: asyncio.Server) -> None:
        for conn in await end_accepting(server):
            self._start_task(self._adopt(conn))

    def _start_task(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._state.tasks.add(task)
        task.add_done_callback(self._state.tasks.discard)

    async def drain(self, timeout_s: float) -> int:
        """Let requests finish and close connections as they become idle.

        Each answer announces the end of its connection. A connection without a
        request is closed after a moment, as a request may be on its way.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Returns:
            Requests that a stop would cut; 0 after a complete drain.
        """
        self.stop_accepting()
        self._app.draining = True
        started_s = self._timer.now()
        while self._is_active() and self._timer.now() - started_s < timeout_s:
            for conn in self._open():
                conn.drain()
                conn.close_if_idle(self._timer.now(), DRAIN_LINGER_S)
            await self._timer.sleep(DRAIN_POLL_S)
        return self._count_unfinished()

    def _count_unfinished(self) -> int:
        unsent = sum(conn.has_unsent_bytes() for conn in self._open())
        return self.in_flight + unsent

    async def close(self) -> None:
        """Stop at once; unfinished requests and answers count as cut."""
        self.stop_accepting()
        if self._sweep is not None:
            self._sweep.cancel()
        cut = self._count_unfinished()
        self._invariants.check(
            InvariantName.GRACEFUL_STOP, cut == 0, f"the stop cuts {cut} requests"
        )
        self._app.stopped = True
        for conn in self._open():
            conn.transport.abort()
        await asyncio.sleep(0)  # lets the requests see that their callers are gone
        for task in list(self._state.tasks):
            task.cancel()
        await asyncio.gather(*self._state.tasks, return_exceptions=True)
        await self._app.stop()

    def _open(self) -> list[Any]:
        return list(self._state.connections)

    def _is_active(self) -> bool:
        return bool(
            self._state.connections or self._state.tasks or self._has_handshake()
        )

    def _has_handshake(self) -> bool:
        """Return whether an accepted connection may still end its TLS handshake."""
        now_s = self._timer.now()
        return any(
            protocol.transport is None and now_s - made_s < ACCEPT_TIME_S
            for protocol, made_s in self._made_s.items()
        )

    def _make_protocol(self) -> CallProtocol:
        protocol = CallProtocol(
            self._buffer,
            self._pacer,
            config=self._config,
            server_state=self._state,
            app_state={},
        )
        self._made_s[protocol] = self._timer.now()
        return protocol

    async def _adopt(self, conn: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(
            self._make_protocol, conn, ssl=self._config.ssl
        )

    def _close_unused(self) -> None:
        now_s = self._timer.now()
        for conn in self._open():
            conn.close_if_idle(now_s, self._idle_s)


def _make_config(
    app: CallerApplication, cert: Path | None, key: Path | None
) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        loop="asyncio",
        http=CallProtocol,
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        ssl_certfile=cert,
        ssl_keyfile=key,
    )


def _bind(address: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    return sock
