"""Callers that keep their connections until the far side is gone."""

import asyncio
import contextlib
import random
from itertools import count

from ...model import Record
from ._daemons import CALLER_PORT, Daemon

LONG_LIMIT_S = 5.0  # of requests that wait for a slot
ANSWER_S = 2.5  # beyond the time limit of every route
LONG_BODY_PREFIX = "/order/long-body/"
LONG_BODY_FACTOR = 12_000  # times 7 bytes
PROMISES = frozenset({408, 421, 429, 503})  # statuses that say "not run"


class Asked(Record):
    """One request of a caller and what became of it.

    Attributes:
        id: Id of the request.
        path: Its path.
        daemon: Name of the daemon.
        sent_s: When it was sent, in seconds of the loop.
        ended_s: When the answer or the end of the connection came; ``sent_s`` if the
            caller left before.
        status: Status of the answer, 0 if none came.
        body: Body of the answer.
        digest: Digest of the answer.
        kept: Whether the connection had served a request before.
        is_behind: Whether it was sent before an earlier request was answered.
        sent_body: Its body, or None if that is long.
    """

    __slots__ = (
        "id",
        "path",
        "daemon",
        "sent_s",
        "ended_s",
        "status",
        "body",
        "digest",
        "kept",
        "is_behind",
        "sent_body",
    )

    def __init__(self, id: str, path: str, daemon: str, sent_s: float) -> None:
        self.id = id
        self.path = path
        self.daemon = daemon
        self.sent_s = sent_s
        self.ended_s = sent_s
        self.status = 0
        self.body = b""
        self.digest = ""
        self.kept = False
        self.is_behind = False
        self.sent_body: bytes | None = None


async def ask_once(
    daemon: Daemon,
    id: str,
    path: str,
    asked: list[Asked],
    *,
    limit_s: float = LONG_LIMIT_S,
) -> None:
    """Send one request on a connection of its own, and record what becomes of it."""
    loop = asyncio.get_running_loop()
    item = Asked(id, path, daemon.name, loop.time())
    asked.append(item)
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(limit_s + ANSWER_S):
            place = (daemon.address, CALLER_PORT)
            reader, writer = await asyncio.open_connection(*place)
            with contextlib.closing(writer):
                head = (
                    f"POST {path} HTTP/1.1\r\nHost: api.example\r\n"
                    f"Crocusward-Request-Id: {id}\r\nContent-Length: 1\r\n"
                    f"Crocusward-Deadline-Ms: {limit_s * 1000:.0f}\r\n\r\nx"
                )
                writer.write(head.encode())
                await read_answer(reader, item)
    item.ended_s = loop.time()


async def read_answer(reader: asyncio.StreamReader, item: Asked) -> bool:
    """Read an answer; return whether the connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    item.body = await reader.readexactly(int(headers.get("content-length", "0")))
    item.digest = headers.get("crocusward-response-signature", "")
    item.status = int(lines[0].split(" ")[1])
    return headers.get("connection", "").lower() != "close"


class Caller:
    """Sends one request after another over a kept connection.

    Args:
        daemons: Daemons to choose from.
        rng: Source of randomness.
        asked: Where requests are recorded.
        paths: Methods and paths to choose from.
    """

    _ids = count(1)

    def __init__(
        self,
        daemons: list[Daemon],
        rng: random.Random,
        asked: list[Asked],
        paths: list[tuple[str, str]],
    ) -> None:
        self._daemons = daemons
        self._rng = rng
        self._asked = asked
        self._paths = paths
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._daemon: Daemon | None = None
        self._served = 0

    async def run(self, pause_s: float) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(pause_s * 2.0 * self._rng.random())
            if self._streams is None:
                await self._connect()
            else:
                await self._ask()

    async def _connect(self) -> None:
        ready = [d for d in self._daemons if d.is_running and d.stopping_s is None]
        if not ready:
            return
        self._daemon = self._rng.choice(ready)
        try:
            self._streams = await asyncio.wait_for(
                asyncio.open_connection(self._daemon.address, CALLER_PORT), 1.0
            )
        except (OSError, TimeoutError):
            self._streams = None
        self._served = 0

    async def _ask(self) -> None:
        assert self._streams is not None and self._daemon is not None
        reader, writer = self._streams
        loop = asyncio.get_running_loop()
        method, path = self._rng.choice(self._paths)
        item = Asked(f"q{next(self._ids)}", path, self._daemon.name, loop.time())
        item.kept = self._served > 0
        body = b"" if method == "GET" else b"payload"
        if path.startswith(LONG_BODY_PREFIX):
            body *= LONG_BODY_FACTOR
        else:
            item.sent_body = body
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: api.example\r\n"
            f"Crocusward-Request-Id: {item.id}\r\nCrocusward-Deadline-Ms: 1500\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._asked.append(item)
        keep = False
        try:
            writer.write(head.encode() + body)
            async with asyncio.timeout(ANSWER_S):
                keep = await read_answer(reader, item)
            item.ended_s = loop.time()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            item.status = 0
            item.ended_s = loop.time()
        finally:
            if not keep:
                writer.transport.abort()
                self._streams = None
        self._served += 1
