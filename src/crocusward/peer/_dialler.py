"""Keeps a connection to one listed peer, with backoff after failures."""

import asyncio
import logging
import random
import socket
from collections.abc import Awaitable, Callable

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from ..model import ListedHost
from ..timing import TimerService
from ._codec import MAX_HELLO_BYTES
from ._faults import LinkFault
from ._link import PeerLink
from ._options import (
    DIAL_BACKOFF_BASE_S,
    HANDSHAKE_TIMEOUT_S,
    MAX_DIAL_BACKOFF_S,
    NON_PREFERRED_DIAL_DELAY_S,
    PeerOptions,
)

CLOSE_TIMEOUT_S = 1.0
MAX_BUFFERED_FRAMES = 8  # reading pauses above this
LIBRARY_LOG = logging.getLogger("crocusward.peer.websockets")
LIBRARY_LOG.disabled = True  # faults are reported through the handler

OpenLink = Callable[[ClientConnection, str], Awaitable[PeerLink | None]]
RunLink = Callable[[PeerLink], Awaitable[None]]
OnFault = Callable[[str, LinkFault, str], None]


class _Connect(connect):
    """Opens a connection without following redirects."""

    def process_redirect(self, exc: Exception) -> Exception | str:
        """Return the error; peers are reached only at their listed address."""
        return exc


class Dialler:
    """Dials one peer repeatedly while there is no link to it.

    Args:
        host: The peer as listed.
        is_preferred_dialler: True if this side should dial first.
        options: Settings.
        timer: Source of time.
        rng: Source of backoff jitter.
        handshake_slots: Limits concurrent outgoing handshakes of this daemon.
        open_link: Authenticates a connection.
        run_link: Runs a link until it closes.
        on_fault: Called after failed attempts.
    """

    __slots__ = (
        "host",
        "no_link",
        "_is_preferred_dialler",
        "_options",
        "_timer",
        "_rng",
        "_handshake_slots",
        "_open_link",
        "_run_link",
        "_on_fault",
        "_task",
        "_attempts",
    )

    def __init__(
        self,
        host: ListedHost,
        is_preferred_dialler: bool,
        options: PeerOptions,
        timer: TimerService,
        rng: random.Random,
        handshake_slots: asyncio.Semaphore,
        open_link: OpenLink,
        run_link: RunLink,
        on_fault: OnFault,
    ) -> None:
        self.host = host
        self.no_link = asyncio.Event()
        self._is_preferred_dialler = is_preferred_dialler
        self._options = options
        self._timer = timer
        self._rng = rng
        self._handshake_slots = handshake_slots
        self._open_link = open_link
        self._run_link = run_link
        self._on_fault = on_fault
        self._task: asyncio.Task[None] | None = None
        self._attempts = 0

    def start(self, no_link: bool) -> None:
        """Start the dialling task."""
        if no_link:
            self.no_link.set()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def set_linked(self, is_linked: bool) -> None:
        """Record whether there is a link, dialled or accepted."""
        if is_linked:
            self._attempts = 0
            self.no_link.clear()
        else:
            self.no_link.set()

    def stop(self) -> asyncio.Task[None] | None:
        """Cancel and return the dialling task, which also closes a dialled link."""
        if self._task is not None:
            self._task.cancel()
        return self._task

    async def _run(self) -> None:
        while True:
            await self.no_link.wait()
            if not self._is_preferred_dialler:
                await self._timer.sleep(NON_PREFERRED_DIAL_DELAY_S)
            if not self.no_link.is_set():
                continue
            try:
                await self._dial_once()
            except Exception as exc:
                # An error in a handler must not stop redialling of this peer.
                self._on_fault(self.host.name, LinkFault.INTERNAL, repr(exc))
            await self._timer.sleep(self._next_backoff_s())

    def _next_backoff_s(self) -> float:
        # Full jitter prevents hosts from dialling a recovered peer simultaneously.
        limit_s = min(MAX_DIAL_BACKOFF_S, DIAL_BACKOFF_BASE_S * 2.0**self._attempts)
        self._attempts = min(self._attempts + 1, 16)
        return limit_s * self._rng.random()

    async def _dial_once(self) -> None:
        try:
            sock = await self._connect_socket()
        except (OSError, TimeoutError) as exc:
            self._report_failed_dial(exc)
            return
        async with self._handshake_slots:
            link = await self._handshake(sock)
        if link is not None:
            await self._run_link(link)

    async def _connect_socket(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self.host.address else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await loop.sock_connect(sock, (self.host.address, self.host.port))
        except BaseException:
            sock.close()
            raise
        return sock

    async def _handshake(self, sock: socket.socket) -> PeerLink | None:
        if not self.no_link.is_set():
            sock.close()
            return None
        try:
            conn = await self._open_websocket(sock)
        except (OSError, EOFError, WebSocketException, TimeoutError) as exc:
            sock.close()
            self._report_failed_dial(exc)
            return None
        return await self._open_link(conn, self.host.name)

    async def _open_websocket(self, sock: socket.socket) -> ClientConnection:
        tls = self._options.client_tls
        scheme = "ws" if tls is None else "wss"
        authority = self.host.address
        if ":" in authority:
            authority = f"[{authority}]"
        return await _Connect(
            f"{scheme}://{authority}:{self.host.port}/",
            sock=sock,
            ssl=tls,
            compression=None,
            user_agent_header=None,
            proxy=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=MAX_HELLO_BYTES,
            max_queue=MAX_BUFFERED_FRAMES,
            logger=LIBRARY_LOG,
        )

    def _report_failed_dial(self, exc: Exception) -> None:
        self._on_fault(self.host.name, LinkFault.LOST, f"dialling failed: {exc!r}")
