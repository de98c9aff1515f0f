"""Fleets of whole entry daemons in virtual time, with store and network."""

import asyncio
import io
import json
import random
from collections.abc import Coroutine
from functools import partial
from pathlib import Path
from typing import Any
from unittest import mock

from ...desired import HostFacts, HostLimits
from ...entryd._process import EntryProcess
from ...logs import LogPipe
from ...platform import REQUEST_ID_HEADER
from ...relay import CallerRequest
from ..fault_soak._callers import Asked
from ..fault_soak._checks import Promises
from ..fault_soak._targets import Target
from ..standins import RowsStandin
from ._host import BOUNDS
from ._network import SimulatedNetwork, SimulatedPool

REGIONS = {"east-a": "east", "west-a": "west"}
SERVICE = "svc"
STORE_IP = "127.0.0.1"
CALLER_PORT, READY_PORT = 8000, 8001
PEER_PORTS = (7000, 7015)
START_S = 6.0  # until all daemons know each other
DOWN_S = 3.0  # of a server that crashed
TIME_LIMIT_S = 1.5  # of a caller


class WholeFleet:
    """Daemons of several data centres over one network and one store.

    Args:
        seed: Seed of the network and of all random choices.
        hosts_per_data_centre: Number of hosts in each data centre.
        loss: Share of the datagrams that are lost.
        era: First era of the store; None if it names none.

    Attributes:
        network: The network and event loop.
        store: The store.
        hosts: Running daemons by name.
        servers: Running backend servers by id.
        deadly: Paths whose requests crash the servers that run them.
        promises: What servers ran and callers got.
    """

    def __init__(
        self,
        seed: int,
        hosts_per_data_centre: int,
        loss: float = 0.0,
        era: int | None = None,
    ):
        self.network = SimulatedNetwork(seed, loss)
        self.rng = random.Random(seed)
        self.store = RowsStandin(STORE_IP)
        self.store.era = era
        self.hosts: dict[str, EntryProcess] = {}
        self.servers: dict[str, Target] = {}
        self.deadly: set[str] = set()
        self.promises = Promises()
        self.promises.services = {"/look/": {SERVICE}, "/order/": {SERVICE}}
        self._version = 0
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        asyncio.set_event_loop(self.network)
        self.network.run_until_complete(self.store.start())
        self.network.data_centre_by_ip[STORE_IP] = "east-a"
        self.places = {
            f"host-{data_centre}-{index:03}": (
                f"10.{number}.0.{index + 1}",
                data_centre,
            )
            for number, data_centre in enumerate(REGIONS)
            for index in range(hosts_per_data_centre)
        }
        self.write_state()
        for name in self.places:
            self.network.create_task(self.start(name))
        self.network.advance(START_S)

    async def start(self, name: str) -> None:
        """Start the daemon of a host, with no memory of an earlier run."""
        ip, data_centre = self.places[name]
        self.network.data_centre_by_ip[ip] = data_centre
        with mock.patch(
            "crocusward.entryd._process.HttpPool",
            partial(SimulatedPool, self.network, ip),
        ):
            host = EntryProcess(
                self._make_facts(name),
                Path("no settings"),
                LogPipe(io.StringIO()),
                random.Random(self.rng.random()),
                self.network.time,
            )
        self.hosts[name] = host
        await host.start()

    def stop(self, name: str) -> None:
        """End the daemon of a host at once."""
        self.network.shut(self.places[name][0])
        for task in self.hosts.pop(name)._tasks:
            task.cancel()

    def _make_facts(self, name: str) -> HostFacts:
        ip, data_centre = self.places[name]
        seeds = [place[0] for place in self.places.values()][::7][:3]
        return HostFacts(
            name=name,
            address=ip,
            data_centre=data_centre,
            region=REGIONS[data_centre],
            regions=REGIONS,
            callers=(ip, CALLER_PORT),
            ready=(ip, READY_PORT),
            control=None,
            peer_ports=PEER_PORTS,
            seeds=[(seed, 0) for seed in seeds],
            is_first_start=False,
            store=(STORE_IP, self.store.port),
            heartbeat_s=1.5,
            limits=HostLimits(1.0, 300, 1000),
            bounds=BOUNDS,
        )

    def now_s(self) -> float:
        """Return virtual time in seconds."""
        return self.network.time()

    def write_state(self) -> int:
        """Write a new version of the desired state; return its number."""
        self._version += 1
        columns = ["name", "host", "prefix", "kind", "timeout", "slo", "service"]
        rows = [
            [name, "api.example", f"/{name}/", kind, "1500ms", "400ms", SERVICE]
            for name, kind in (("look", "safe"), ("order", "unsafe"))
        ]
        document = {
            "version": f"{self._version:08x}",
            "routes": {
                "columns": [*columns, "maxAttempts"],
                "rows": [[*row, 2] for row in rows],
            },
            "services": {
                "columns": ["name", "healthPath", "maxConns", "warmup", "warmupPerS"],
                "rows": [[SERVICE, "/health", 200, "3s", 50.0]],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 100_000,
                "headerTimeout": "3s",
                "idleTimeout": "15s",
            },
        }
        self.store.put("op", "config", json.dumps(document).encode())
        return self._version

    # Backend servers.

    async def add_server(self, data_centre: str) -> Target:
        """Start a backend server and register it."""
        self._number += 1
        id = f"i-{self._number}"
        promises = self.promises
        server = Target(
            id,
            SERVICE,
            data_centre,
            promises.runs,
            promises.namings_s.setdefault(id, []),
            promises.notices,
            self.rng,
        )
        server.deadly = self.deadly
        server.on_crash = self._on_crash
        await server.listener.open()
        self.servers[id] = server
        entry = {
            "service": SERVICE,
            "address": f"{STORE_IP}:{server.listener.port}",
            "zone": data_centre,
            "version": "v1",
            "slots": server.slots,
            "state": "ready",
            "warmupLeft": "0s",
            "seq": 1,
            "born": self._number,
        }
        self.store.put("servers", id, json.dumps(entry).encode())
        return server

    def add_servers(self, count: int) -> None:
        """Start servers in all data centres in turn."""
        places = list(REGIONS)
        for index in range(count):
            place = places[index % len(places)]
            self.network.run_until_complete(self.add_server(place))

    def crash(self, server: Target) -> None:
        """End a server without notice, with all that it runs; it comes back later."""
        server.listener.shut()
        self._restart_later(server)

    def _on_crash(self, server: Target, path: str) -> None:
        self.promises.crashes.append((path, self.now_s()))
        self._restart_later(server)

    def _restart_later(self, server: Target) -> None:
        del self.servers[server.id]

        async def restart() -> None:
            await asyncio.sleep(DOWN_S)
            self.store.drop("servers", server.id)
            await self.add_server(server.data_centre)

        self._spawn(restart())

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.network.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Callers.

    def ask(self, path: str, host_name: str = "", body: bytes = b"") -> Asked:
        """Send a request to a host, any by default; the result is filled in later."""
        name = host_name or self.rng.choice(sorted(self.hosts))
        self._number += 1
        item = Asked(f"q{self._number}", path, name, self.now_s())
        self.promises.asked.append(item)
        self._spawn(self._ask(item, body))
        return item

    async def _ask(self, item: Asked, body: bytes) -> None:
        req = CallerRequest(
            "POST" if body else "GET",
            item.path,
            "api.example",
            [(REQUEST_ID_HEADER, item.id.encode())],
            id=item.id.encode(),
            received_s=self.now_s(),
            time_left_s=TIME_LIMIT_S,
        )
        req.body = body
        answer = await self.hosts[item.daemon].relay.answer(req)
        item.status = answer.status
        item.body = answer.body
        item.ended_s = self.now_s()
        headers = {name: value for name, value in answer.headers}
        item.digest = headers.get(b"crocusward-response-signature", b"").decode()

    def ask_for(self, duration_s: float, per_s: float, *paths: str) -> None:
        """Send requests to any hosts for a while.

        Args:
            duration_s: How long, in seconds.
            per_s: Mean rate, in requests per second.
            paths: Paths to choose from; without any, each request has its own path.
        """
        end_s = self.now_s() + duration_s
        while self.now_s() < end_s:
            self.network.advance(self.rng.expovariate(per_s))
            self.ask(self.rng.choice(paths) if paths else f"/look/{self._number}")

    def late_hosts(self, version: int) -> list[str]:
        """Return the hosts that lack a version of the desired state."""
        return [
            name
            for name, host in self.hosts.items()
            if host.directory.state is None or host.directory.state.version < version
        ]

    def keep_inner_connections(self) -> None:
        """Let hosts keep their connections to neighbours."""
        for host in self.hosts.values():
            host.row_replicator._pool._reuse = True

    def silence(self, share: float, *, with_store: bool = False) -> int:
        """Let open connections of a share of the hosts fall silent for good.

        Args:
            share: Share of the hosts whose connections to others fall silent.
            with_store: Whether those to the store do, too.
        """
        ips = [place[0] for place in self.places.values()]
        chosen = set(self.rng.sample(ips, int(share * len(ips))))
        return self.network.silence(
            lambda one, other: one in chosen and (with_store or other != STORE_IP)
        )

    def close(self) -> None:
        """End the run."""
        for _ in range(2):  # the end of a task may start another one
            tasks = asyncio.all_tasks(self.network)
            for task in tasks:
                task.cancel()
            if tasks:
                self.network.run_until_complete(asyncio.wait(tasks))
        asyncio.set_event_loop(None)
        self.network.close()
