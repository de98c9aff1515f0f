"""Listener for connections from peers."""

import asyncio

from websockets.asyncio.server import Server, ServerConnection, serve

from ._codec import MAX_HELLO_BYTES
from ._dialler import CLOSE_TIMEOUT_S, LIBRARY_LOG, MAX_BUFFERED_FRAMES
from ._mesh import PeerMesh
from ._options import HANDSHAKE_TIMEOUT_S


class PeerServer:
    """Accepts connections from the peers of a mesh.

    Args:
        mesh: Receives the accepted connections.
        address: IP address to listen on.
        port: TCP port; if 0, ``start`` sets it to the assigned port.
    """

    __slots__ = ("address", "port", "_mesh", "_server")

    def __init__(self, mesh: PeerMesh, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self._mesh = mesh
        self._server: Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await serve(
            self._accept,
            self.address,
            self.port,
            ssl=self._mesh.options.server_tls,
            compression=None,
            server_header=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=MAX_HELLO_BYTES,
            max_queue=MAX_BUFFERED_FRAMES,
            logger=LIBRARY_LOG,
        )
        sockets = list(self._server.sockets)
        self.port = sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop accepting and close the accepted connections."""
        if self._server is None:
            return
        self._server.close()
        try:
            async with asyncio.timeout(2 * CLOSE_TIMEOUT_S):
                await self._server.wait_closed()
        except TimeoutError:
            pass  # process exit closes the remaining connections

    async def _accept(self, conn: ServerConnection) -> None:
        await self._mesh.accept(conn)
