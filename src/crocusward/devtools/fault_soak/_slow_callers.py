"""Callers that pipeline requests over slow lines until the far side is gone."""

import asyncio
import contextlib
import random
import socket
from collections import deque
from itertools import count

from ._callers import Asked
from ._daemons import CALLER_PORT, Daemon

WINDOW_BYTES = 4096
READ_PAUSE_S = 0.012  # after each window: less than 3 Mbit/s
SEND_PAUSE_S = 0.08  # mean time between requests
MAX_BEHIND = 6  # requests without an answer
PATH = "/look/long"


class SlowCaller:
    """Sends safe requests before earlier ones are answered, and reads slowly.

    Args:
        daemons: Daemons to choose from.
        rng: Source of randomness.
        asked: Where requests are recorded.
    """

    _ids = count(1)

    def __init__(
        self, daemons: list[Daemon], rng: random.Random, asked: list[Asked]
    ) -> None:
        self._daemons = daemons
        self._rng = rng
        self._asked = asked
        self._waiting: deque[Asked] = deque()
        self._must_stop = False

    async def run(self) -> None:
        """Use one connection after another until cancelled."""
        while True:
            await asyncio.sleep(0.2 * self._rng.random())
            ready = [d for d in self._daemons if d.is_running and not d.stopping_s]
            if ready:
                with contextlib.suppress(OSError, TimeoutError):
                    await self._use_connection(self._rng.choice(ready))

    async def _use_connection(self, daemon: Daemon) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        async with asyncio.timeout(1.0):
            await loop.sock_connect(sock, (daemon.address, CALLER_PORT))
        reader, writer = await asyncio.open_connection(sock=sock, limit=WINDOW_BYTES)
        self._must_stop = False
        sending = loop.create_task(self._send(writer, daemon))
        try:
            while not (self._must_stop and not self._waiting):
                await self._read_answer(reader)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            for item in self._waiting:
                item.ended_s = loop.time()
        finally:
            sending.cancel()
            self._waiting.clear()
            writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter, daemon: Daemon) -> None:
        loop = asyncio.get_running_loop()
        while not self._must_stop:
            if len(self._waiting) < MAX_BEHIND:
                id = f"p{next(self._ids)}"
                item = Asked(id, PATH, daemon.name, loop.time())
                item.is_behind = bool(self._waiting)
                self._asked.append(item)
                self._waiting.append(item)
                writer.write(
                    b"GET %s HTTP/1.1\r\nHost: api.example\r\n"
                    b"Crocusward-Request-Id: %s\r\nCrocusward-Deadline-Ms: 1500\r\n\r\n"
                    % (PATH.encode(), id.encode())
                )
            await asyncio.sleep(SEND_PAUSE_S * 2.0 * self._rng.random())

    async def _read_answer(self, reader: asyncio.StreamReader) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        self._must_stop = self._must_stop or "connection: close" in head
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
        left = int(fields.get("content-length", "0"))
        body = b""
        while left:
            part = await reader.read(min(left, WINDOW_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(body, left)
            body += part
            left -= len(part)
            await asyncio.sleep(READ_PAUSE_S)
        item = self._waiting.popleft()
        item.body = body
        item.digest = fields.get("crocusward-response-signature", "")
        item.status = int(head.split(" ")[1])
        item.ended_s = asyncio.get_running_loop().time()
