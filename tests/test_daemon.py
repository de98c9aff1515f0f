"""Whole daemons on loopback sockets, with stand-ins in the same process."""

import asyncio
import json
import os
import random
import signal
import tempfile
import unittest
from pathlib import Path

from crocusward.config import (
    ChangeDraft,
    PutContract,
    PutCustomer,
    PutDataCentre,
    PutService,
)
from crocusward.daemon._process import DaemonProcess
from crocusward.devtools.deployment import CentreShape, DeploymentShape, prepare
from crocusward.devtools.deployment._prepare import PEER_KEY_VARIABLE, PrepareOptions
from crocusward.devtools.standins._backend_model import BackendBehaviour
from crocusward.devtools.standins._fleet import BackendFleet
from crocusward.devtools.standins._hostlist import HostListStandin, load_hosts
from crocusward.devtools.standins._objects import ObjectsStandin
from crocusward.devtools.standins._table import TableStandin
from crocusward.devtools.standins.backends import load_places
from crocusward.errors import CrocusError
from crocusward.logs import start_logs
from crocusward.model import (
    Contract,
    ContractLimits,
    Customer,
    DataCentre,
    Route,
    Service,
)
from crocusward.settings import load_settings
from crocusward.timing import LoopTimer
from crocusward.upstream import HttpPool

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "binders"
START_TRIES = 100
OPERATIONS = (
    PutDataCentre(DataCentre("tallinn-a", "pohja")),
    PutDataCentre(DataCentre("rakvere-b", "pohja")),
    PutService(Service("tellimused")),
    PutCustomer(Customer("liit", "press")),
    PutContract(
        Contract(
            "jobs",
            "liit",
            frozenset({"tellimused"}),
            limits=ContractLimits(rate=5000.0, burst=1000.0),
            routes=(Route("tellimused", "POST", "/jobs", False),),
        )
    ),
)


class DaemonCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.plan = self.prepare(Path(folder.name))
        os.environ[PEER_KEY_VARIABLE] = "k" * 32
        self.log = open(Path(folder.name) / "log", "w", encoding="utf-8")
        self.addCleanup(self.log.close)
        loop = asyncio.get_running_loop()
        # Three daemons, 90 callers and the stand-ins share this loop; how long it
        # takes to accept is not under test.
        timer = LoopTimer(loop, random.Random(1))
        self.pool = HttpPool(timer, connections=64, connect_timeout_s=10.0)
        self.addCleanup(self.pool.close)
        await self.start_standins()
        self.daemons = []
        self.running = []
        await self.start_daemons()
        await self.configure()

    def prepare(self, folder):
        centres = [
            CentreShape("tallinn-a", "pohja", 2, {"tellimused": 2}),
            CentreShape("rakvere-b", "pohja", 1, {"tellimused": 2}),
        ]
        shape = DeploymentShape("test", EXAMPLE, "pohja", 0.012, 30, centres, [])
        network = 100 + os.getpid() % 100
        return prepare(shape, folder, PrepareOptions(network=network))

    async def start_standins(self):
        address, port = self.plan.platform
        self.backends = BackendFleet(
            load_places(self.plan.directory / "places.json"),
            BackendBehaviour(mean_s=0.02),
            random.Random(1),
            address=self.plan.backends[0],
            port=self.plan.backends[1],
        )
        self.table = TableStandin(address, port)
        hosts = load_hosts(self.plan.directory / "hosts.json")
        standins = [
            self.table,
            ObjectsStandin(address, port + 1),
            HostListStandin(hosts, lag_s=0.2, address=address, port=port + 2),
            self.backends,
        ]
        for standin in standins:
            await standin.start()
            self.addCleanup(standin.stop)

    async def start_daemons(self):
        for entry in self.plan.entries:
            self.start_here(entry)

    def start_here(self, entry):
        """Start the daemon of an entry host in this process."""
        settings = load_settings(self.plan.directory / f"{entry.name}.toml")
        daemon = DaemonProcess(settings, start_logs(self.log))
        self.daemons.append(daemon)
        self.running.append(asyncio.get_running_loop().create_task(daemon.run()))

    async def configure(self):
        config = self.daemons[0]._node.config
        for number in range(START_TRIES):
            await asyncio.sleep(0.1)
            try:
                draft = ChangeDraft(f"c{number}", 0, "op", OPERATIONS)
                await config.commit(draft)
                break
            except CrocusError:
                continue
        while not all(d._node.is_ready() for d in self.daemons):
            await asyncio.sleep(0.05)

    async def asyncTearDown(self):
        for daemon in self.daemons:
            daemon._stop.set()
        await asyncio.gather(*self.running)

    async def call(self, entry, number, key=""):
        """Return the status and the body of one call."""
        headers = [(b"crocusward-contract", b"jobs")]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        answer = await self.pool.request(
            entry.address,
            self.plan.caller_port,
            "POST",
            f"/tellimused/jobs/{number}",
            headers,
            b"job",
            timeout_s=10.0,
            limit_bytes=65_536,
        )
        return answer.status, json.loads(answer.body)


class TerminateTest(DaemonCase):
    async def test_sigterm_under_load_cuts_no_request(self):
        """Guards against requests lost while hosts are replaced."""
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(self.call(self.plan.entries[n % 3], n)) for n in range(90)
        ]
        await asyncio.sleep(0.1)
        # Stops all three daemons of this process, whose handlers share the signal.
        os.kill(os.getpid(), signal.SIGTERM)
        for daemon in self.daemons:
            daemon._stop.set()
        results = await asyncio.gather(*tasks)
        self.assertEqual([status for status, _ in results], [200] * 90)
        await asyncio.gather(*self.running)
        for daemon in self.daemons:
            self.assertEqual(daemon._invariants.violations.total(), 0)
        paths = [row.path for row in self.backends.log.above(0, 1000)]
        jobs = [path for path in paths if path.startswith("/jobs/")]
        self.assertEqual(len(jobs), 90)


class PortsTest(DaemonCase):
    async def test_garbage_on_every_port_changes_nothing_for_others(self):
        """Guards against malformed input that harms other connections."""
        entry = self.plan.entries[0]
        rng = random.Random(3)
        ports = (self.plan.caller_port, self.plan.admin_port, self.plan.peer_port)
        for port in ports:
            for _ in range(5):
                await self.send_garbage(entry.address, port, rng.randbytes(4096))
            status, _ = await self.call(entry, port)
            self.assertEqual(status, 200)
        self.assertEqual(len(self.daemons[0]._mesh.peers()), 2)
        self.assertEqual(self.daemons[0]._invariants.violations.total(), 0)

    async def send_garbage(self, address, port, data):
        reader, writer = await asyncio.open_connection(address, port)
        writer.write(data)
        try:
            async with asyncio.timeout(2.0):
                await reader.read(65_536)
        except (TimeoutError, ConnectionError):
            pass
        writer.close()

    async def test_key_runs_once_through_three_daemons(self):
        """Guards against doubles when callers repeat through other entry hosts."""
        self.table.refusing = True
        keys = await self.daemons[1]._node.dispatcher.issue_keys("jobs", 1)
        calls = (self.call(entry, 7, keys[0]) for entry in self.plan.entries)
        results = await asyncio.gather(*calls)
        self.assertEqual([status for status, _ in results], [200] * 3)
        bodies = {body["request_id"] for _, body in results}
        self.assertEqual(len(bodies), 1)
        rows = [r for r in self.backends.log.above(0, 1000) if r.key == keys[0]]
        self.assertEqual(len(rows), 1)


if __name__ == "__main__":
    unittest.main()
