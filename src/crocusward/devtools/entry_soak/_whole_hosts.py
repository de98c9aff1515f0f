"""Fleets of whole entry daemons in virtual time, with store and network."""

import asyncio
import io
import json
import random
from functools import partial
from pathlib import Path
from unittest import mock

from ...desired import FleetBounds, HostFacts, HostLimits
from ...entryd._process import EntryProcess
from ...logs import LogPipe
from ..standins import RowsStandin
from ._network import SimulatedNetwork, SimulatedPool

REGIONS = {"east-a": "east", "west-a": "west"}
SERVICE = "svc"
STORE_IP = "127.0.0.1"
CALLER_PORT, READY_PORT = 8000, 8001
PEER_PORTS = (7000, 7015)
START_S = 6.0  # until all daemons know each other
BOUND_S = 2.0  # for changes of the desired state
BOUNDS = FleetBounds(
    drain_s=2.0,
    stop_grace_s=6.0,
    config_apply_s=BOUND_S,
    address_reuse_s=2.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_reserve=58.0,
    cold_rate_factor=1.5,
    cold_burst=5.0,
)


class WholeFleet:
    """Daemons of several data centres over one network and one store.

    Attributes:
        network: The network and event loop.
        store: The store.
        hosts: Running daemons by name.
    """

    def __init__(self, seed: int, hosts_per_data_centre: int, loss: float = 0.0):
        self.network = SimulatedNetwork(seed, loss)
        self.rng = random.Random(seed)
        self.store = RowsStandin(STORE_IP)
        self.hosts: dict[str, EntryProcess] = {}
        self._version = 0
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
            )
        self.hosts[name] = host
        await host.start()

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
        rows = [["look", "api.example", "/look/", "safe", "1500ms", "400ms", SERVICE]]
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

    def late_hosts(self, version: int) -> list[str]:
        """Return the hosts that lack a version of the desired state."""
        return [
            name
            for name, host in self.hosts.items()
            if host.directory.state is None or host.directory.state.version < version
        ]

    def silence_inner(self, share: float) -> int:
        """Let the open connections of a share of the hosts to others fall silent."""
        ips = [place[0] for place in self.places.values()]
        chosen = set(self.rng.sample(ips, int(share * len(ips))))
        return self.network.silence(
            lambda one, other: one in chosen and other != STORE_IP
        )

    def close(self) -> None:
        """End the run."""
        for task in asyncio.all_tasks(self.network):
            task.cancel()
        self.network.run_until_complete(asyncio.sleep(0.1))
        asyncio.set_event_loop(None)
        self.network.close()
