"""Listening socket of the administration API."""

import asyncio
import contextlib
from collections.abc import Iterator

import uvicorn
from blacksheep import Application

from ..errors import CrocusError
from ..settings import TlsSettings

START_POLL_S = 0.01
STOP_POLL_S = 0.5


class AdminServer:
    """Serves the administration API.

    Args:
        app: The application.
        address: Address to listen on.
        port: TCP port.
        tls: Certificate, or None for plain HTTP.
    """

    __slots__ = ("_server", "_task")

    def __init__(
        self, app: Application, address: str, port: int, tls: TlsSettings | None
    ) -> None:
        config = uvicorn.Config(
            app,
            host=address,
            port=port,
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="on",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            ssl_certfile=tls.cert_file if tls else None,
            ssl_keyfile=tls.key_file if tls else None,
        )
        self._server = _QuietServer(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen.

        Raises:
            CrocusError: The port could not be opened.
        """
        self._task = asyncio.get_running_loop().create_task(self._server.serve())
        while not self._server.started and not self._task.done():
            await asyncio.sleep(START_POLL_S)
        if self._task.done():
            raise CrocusError("the administration port could not be opened")

    async def close(self) -> None:
        """Stop listening."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


class _QuietServer(uvicorn.Server):
    """Leaves signals to the daemon."""

    async def main_loop(self) -> None:
        """Wait for the stop; the library's own loop wakes ten times a second."""
        while not self.should_exit:
            await asyncio.sleep(STOP_POLL_S)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield
