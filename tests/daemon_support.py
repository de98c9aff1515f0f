"""A whole entry daemon as a process, in front of stand-ins in this one."""

import asyncio
import contextlib
import json
import random
import tempfile
from pathlib import Path

from crocusward.devtools.fault_soak._daemons import Daemon, unix_ms
from crocusward.devtools.fault_soak._world import World
from crocusward.devtools.standins import RowsStandin

READY_S = 20.0


class WholeDaemon:
    """Runs one daemon, its store, and what a test adds.

    Attributes:
        address: IP address of the daemon.
        daemon: The process.
        folder: Directory of its settings and log.
        routes: Rows of the routes: name, host, prefix, kind, timeout, slo, service.
    """

    def __init__(self, routes):
        self.routes = routes

    async def __aenter__(self):
        self._stack = contextlib.ExitStack()
        folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self.folder = folder
        self.store = RowsStandin()
        await self.store.start()
        self._locks = World(random.randrange(200), 1, 1, folder)
        self.address = f"{self._locks.reserve_network()}.10"
        await self.start_servers()
        self._write_state()
        self.daemon = Daemon(
            "host-a",
            self.address,
            "east-a",
            {"east-a": "east"},
            self.store.port,
            [self.address],
            folder,
        )
        await self.daemon.start()
        async with asyncio.timeout(READY_S):
            while not await self.daemon.is_ready():
                await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *exc_info):
        self.daemon.kill()
        await self.daemon.wait(3.0)
        self.stop_servers()
        self.store.stop()
        self._locks.release_network()
        self._stack.close()

    def find_log_lines(self, event):
        """Return the daemon's log lines of an event."""
        text = (self.folder / "host-a.log").read_text(errors="replace")
        return [line for line in text.splitlines() if f" event={event} " in line]

    async def start_servers(self):
        """Start the backend servers and register each of them."""

    def stop_servers(self):
        """Stop the backend servers."""

    def register(self, id, service, port):
        """Write the entry of a server."""
        entry = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "east-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmupLeft": "0s",
            "seq": 1,
            "born": unix_ms() - 60_000,
        }
        self.store.put("servers", id, json.dumps(entry).encode())

    def _write_state(self):
        columns = ["name", "host", "prefix", "kind", "timeout", "slo", "service"]
        services = sorted({row[-1] for row in self.routes})
        document = {
            "version": "00000001",
            "routes": {"columns": columns, "rows": self.routes},
            "services": {
                "columns": ["name", "healthPath", "maxConns", "warmup", "warmupPerS"],
                "rows": [[name, "/health", 200, "3s", 50.0] for name in services],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 64 << 20,
                "headerTimeout": "3s",
                "idleTimeout": "15s",
            },
        }
        self.store.put("op", "config", json.dumps(document).encode())
