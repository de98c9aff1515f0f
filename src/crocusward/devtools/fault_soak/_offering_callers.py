"""Callers that offer another protocol with each request, in pieces and pipelines."""

import asyncio
import contextlib
import random
from itertools import count

from ._callers import ANSWER_S, Asked, read_answer
from ._daemons import CALLER_PORT, Daemon

OFFERS = (
    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n",
    "Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n",
    "",
)
METHODS_AND_PATHS = (("PUT", "/look/offer"), ("PUT", "/order/offer"))
SMUGGLED = b"GET /look/smuggled HTTP/1.1\r\nHost: api.example\r\n\r\n"
MAX_PIPELINED = 3
MAX_BODY_BYTES = 60
CHUNK_BYTES = 9
PIECE_SIZES = (1, 5, 40, 4000)


class OfferingCaller:
    """Sends a few requests at once over a kept connection, again and again.

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

    async def run(self) -> None:
        """Use one connection after another until cancelled."""
        while True:
            await asyncio.sleep(0.1 * self._rng.random())
            ready = [d for d in self._daemons if d.is_running and not d.stopping_s]
            if ready:
                with contextlib.suppress(OSError, TimeoutError):
                    await self._use_connection(self._rng.choice(ready))

    async def _use_connection(self, daemon: Daemon) -> None:
        async with asyncio.timeout(1.0):
            streams = await asyncio.open_connection(daemon.address, CALLER_PORT)
        with contextlib.closing(streams[1]):
            while await self._ask(daemon, *streams):
                await asyncio.sleep(0.1 * self._rng.random())

    async def _ask(
        self,
        daemon: Daemon,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send some requests and read their answers; return whether to go on."""
        items, data = [], b""
        for position in range(self._rng.randint(1, MAX_PIPELINED)):
            item, encoded = self._make(daemon)
            item.is_behind = position > 0
            items.append(item)
            data += encoded
        self._asked += items
        size = self._rng.choice(PIECE_SIZES)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        for item in items:
            keep = False
            try:
                async with asyncio.timeout(ANSWER_S):
                    keep = await read_answer(reader, item)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                item.status = 0
            item.ended_s = loop.time()
            if not keep:
                for other in items:
                    other.ended_s = max(other.ended_s, item.ended_s)
                return False
        return True

    def _make(self, daemon: Daemon) -> tuple[Asked, bytes]:
        rng, loop = self._rng, asyncio.get_running_loop()
        method, path = rng.choice(METHODS_AND_PATHS)
        item = Asked(f"u{next(self._ids)}", path, daemon.name, loop.time())
        body = rng.choice([b"", SMUGGLED, rng.randbytes(rng.randrange(MAX_BODY_BYTES))])
        item.sent_body = body
        head = f"{method} {path} HTTP/1.1\r\nHost: api.example\r\n{rng.choice(OFFERS)}"
        head += f"Crocusward-Request-Id: {item.id}\r\nCrocusward-Deadline-Ms: 1500\r\n"
        if rng.random() < 0.5:
            framed = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
            return item, framed
        parts = [body[i : i + CHUNK_BYTES] for i in range(0, len(body), CHUNK_BYTES)]
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        framed = f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
        return item, framed + chunks + b"0\r\n\r\n"
