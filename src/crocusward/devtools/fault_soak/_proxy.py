"""A TCP proxy on loopback that misbehaves on command."""

import asyncio
import socket
import struct

READ_BYTES = 65_536
NO_LINGER = struct.pack("ii", 1, 0)  # a close sends a reset


class FaultProxy:
    """Forwards connections to one address.

    Attributes:
        delay_s: Delay of each part in both directions, in seconds.
        silent: Swallow what arrives on all connections, without a reset.
        deaf: Swallow only what comes back from the far side.
        refuse: Close new connections at once.
        port: Port that it listens on.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.delay_s = 0.0
        self.silent = False
        self.deaf = False
        self.refuse = False
        self.port = 0
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._mute: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on any port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def mute_open(self) -> None:
        """Let the open connections go silent for good; new ones work."""
        self._mute |= self._writers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuse:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        ways = (
            self._pump(reader, far_writer, writer, False),
            self._pump(far_reader, writer, writer, True),
        )
        for way in ways:
            task = asyncio.get_running_loop().create_task(way)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        near: asyncio.StreamWriter,
        is_back: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.silent or near in self._mute or (self.deaf and is_back):
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionResetError:
            self._reset_onward(writer)
        except OSError:
            pass  # the connection is closed below
        writer.close()
        self._writers.discard(writer)
        self._mute.discard(writer)

    def _reset_onward(self, writer: asyncio.StreamWriter) -> None:
        """Pass a reset on; an orderly close would hide it from the other side."""
        sock = writer.get_extra_info("socket")
        if sock is not None and not writer.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        writer.transport.abort()
