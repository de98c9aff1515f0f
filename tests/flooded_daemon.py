"""A whole entry daemon between callers, healthy servers and servers that flood."""

import asyncio
import contextlib
import random
import re
from pathlib import Path

from crocusward.devtools.fault_soak._daemons import CALLER_PORT
from crocusward.devtools.fault_soak._notices import Notices
from crocusward.devtools.fault_soak._targets import Target
from crocusward.devtools.standins._flood import FloodingServer

from .daemon_support import WholeDaemon

ANSWER_S = 5.0  # beyond the time limit of every route
CALM_LIMIT_S = 1.5
FLOOD_LIMIT_S = 3.0
KIB = 1024
ROUTES = [
    ["calm", "api.example", "/calm/", "safe", "1500ms", "400ms", "calm"],
    ["flood", "api.example", "/flood/", "unsafe", "3s", "1s", "flood"],
]


class Answered:
    """What a caller got: status, and how long it took."""

    def __init__(self, status, took_s):
        self.status = status
        self.took_s = took_s


class FloodedDaemon(WholeDaemon):
    """Runs one daemon as a process, and measures it from outside.

    Attributes:
        calm: Answers to requests for the healthy service.
        flooded: Answers to requests for the service that floods.
        peak_rss_bytes: Largest resident memory that was seen.
    """

    def __init__(self, floods, *, servers=3):
        super().__init__(ROUTES)
        self.calm = []
        self.flooded = []
        self.peak_rss_bytes = 0
        self._ids = 0
        self._servers = [FloodingServer(*flood) for flood in floods * servers]

    async def __aenter__(self):
        await super().__aenter__()
        self._watch = asyncio.create_task(self._watch_memory())
        return self

    async def __aexit__(self, *exc_info):
        self._watch.cancel()
        await super().__aexit__(*exc_info)

    async def start_servers(self):
        self._target = Target(
            "i-calm", "calm", "east-a", [], [], Notices(), random.Random(1), slots=8
        )
        await self._target.listener.open()
        self.register("i-calm", "calm", self._target.listener.port)
        for index, server in enumerate(self._servers):
            self.register(f"i-flood-{index}", "flood", server.port)

    def stop_servers(self):
        for server in self._servers:
            server.close()
        self._target.listener.shut()

    async def _watch_memory(self):
        status = Path(f"/proc/{self.daemon._process.pid}/status")
        while True:
            with contextlib.suppress(OSError):
                found = re.search(r"VmRSS:\s+(\d+) kB", status.read_text())
                rss_bytes = int(found[1]) * KIB if found else 0
                self.peak_rss_bytes = max(self.peak_rss_bytes, rss_bytes)
            await asyncio.sleep(0.02)

    async def ask(self, path, found, limit_s):
        """Send one request on a connection of its own and note what comes back."""
        loop = asyncio.get_running_loop()
        self._ids += 1
        began_s = loop.time()
        status = 0
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(ANSWER_S):
                reader, writer = await asyncio.open_connection(
                    self.address, CALLER_PORT
                )
                with contextlib.closing(writer):
                    writer.write(
                        b"GET %s HTTP/1.1\r\nHost: api.example\r\n"
                        b"Crocusward-Request-Id: q%d\r\n"
                        b"Crocusward-Deadline-Ms: %d\r\n\r\n"
                        % (path, self._ids, int(limit_s * 1000))
                    )
                    status = int((await reader.readline()).split()[1])
                    await reader.readuntil(b"\r\n\r\n")
        found.append(Answered(status, loop.time() - began_s))

    async def play(self, duration_s, *, flooding=16, pause_s=0.05):
        """Keep requests to the servers that flood under way, beside calm ones."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s

        async def flood():
            while loop.time() < end_s:
                await self.ask(b"/flood/x", self.flooded, FLOOD_LIMIT_S)

        floods = [asyncio.create_task(flood()) for _ in range(flooding)]
        calm = set()
        while loop.time() < end_s:
            calm.add(asyncio.create_task(self.ask(b"/calm/x", self.calm, CALM_LIMIT_S)))
            await asyncio.sleep(pause_s)
        await asyncio.gather(*floods, *calm)
