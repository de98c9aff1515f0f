"""Assembles store, servers, daemons and callers, and plays the faults."""

import asyncio
import contextlib
import json
import random
import socket
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from ..standins import RowsStandin
from ..standins._store import FaultMode
from . import _group_faults, _sequence_faults  # noqa: F401, I001  register faults
from ._callers import Asked, Caller, ask_once
from ._checks import FAR_SERVICE, LimitSpan, Promises, Span
from ._daemons import MEMORY_MB, Daemon, unix_ms
from ._faults import FAULTS
from ._proxy import FaultProxy
from ._slow_callers import PATH, SlowCaller
from ._targets import Target

REGIONS = {"east-a": "east", "east-b": "east", "west-a": "west"}
SERVICES = ("alpha", "beta")
PATHS = [
    ("GET", "/look/x"),
    ("GET", "/look/y?z=1"),
    ("POST", "/order/x"),
    ("POST", "/home/x"),
    ("PUT", "/move/x"),
]
NETWORK_COUNT = 200  # loopback networks of the daemons
NETWORK_LOCK_PORT = 17999  # bound by the run that uses a network
FIRST_ERA = 1  # of the store
FIRST_START_MS = unix_ms() - 60_000  # of all servers, whose ids are not used again
START_S = 8.0  # in which all daemons must be ready
CONNECT_S = 1.0  # until callers use their connections
CALM_S = 4.0  # after the faults, before the check that requests are served
SLOW_S = 0.6
DOWN_S = 3.0  # of a server that a request has crashed
SERVED_SHARE = 0.9
SLOW_CALLERS = 1  # for each daemon
WAITING_REQUESTS = 4  # at each daemon
SERVES_ON_S = 10.0  # of a server that has left without a word
MEMORY_CHECK_S = 0.25
KIB = 1024
LAST_REQUESTS = 60


class World:
    """One run.

    Args:
        seed: Seed of the run.
        daemons: Daemons in each data centre.
        callers: Number of callers.
        directory: Where settings and logs are kept.
        plant: Name of a wrong decision that the daemons take, "" for none.
        loss: Share of the datagrams between daemons that are lost.
    """

    def __init__(
        self,
        seed: int,
        daemons: int,
        callers: int,
        directory: Path,
        *,
        plant: str = "",
        loss: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.findings: list[str] = []
        self.promises = Promises()
        self.data_centres = list(REGIONS)
        self.store = RowsStandin()
        self.store_proxy = FaultProxy(("127.0.0.1", 0))
        self.targets: list[Target] = []
        self.odd_answers: Counter[str] = Counter()
        self.proxies: dict[str, FaultProxy] = {}
        self.daemons: list[Daemon] = []
        self.played: list[str] = []
        self.paths = list(PATHS)
        self.deadly: set[str] = set()
        self.crash_shares: dict[str, float] = {}
        self._per_data_centre = daemons
        self._callers = callers
        self._directory = directory
        self._seed = seed
        self._plant = plant
        self._loss = loss
        self._version = 0
        self._number = 0
        self._move_service = "alpha"
        self._tasks: list[asyncio.Task[None]] = []
        self._network_lock: socket.socket | None = None
        self._written: dict[tuple[str, str], bytes | None] = {}

    # Start and stop.

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self.store.era = FIRST_ERA
        await self.store.start()
        self.store_proxy = FaultProxy(("127.0.0.1", self.store.port))
        await self.store_proxy.start()
        self._write_state()
        for data_centre in self.data_centres:
            for service in SERVICES:
                for _ in range(2):
                    await self.add_target(service, data_centre)
        self._make_daemons()
        for daemon in self.daemons:
            await daemon.start()
        await self._wait_ready()
        for _ in range(self._callers):
            caller = Caller(self.daemons, self.rng, self.promises.asked, self.paths)
            task = asyncio.get_running_loop().create_task(caller.run(0.05))
            self._tasks.append(task)
        for _ in range(SLOW_CALLERS * len(self.daemons)):
            slow = SlowCaller(self.daemons, self.rng, self.promises.asked)
            self._tasks.append(asyncio.get_running_loop().create_task(slow.run()))
        self._tasks.append(asyncio.get_running_loop().create_task(self._watch_memory()))

    async def _watch_memory(self) -> None:
        """Note daemons that exceed the memory of their settings."""
        exceeded = set()
        while True:
            for daemon in self.daemons:
                used_bytes = daemon.resident_bytes()
                if used_bytes > MEMORY_MB * KIB * KIB and daemon.name not in exceeded:
                    exceeded.add(daemon.name)
                    used_mb = used_bytes // (KIB * KIB)
                    self.findings.append(f"memory: {daemon.name} uses {used_mb} MiB")
            await asyncio.sleep(MEMORY_CHECK_S)

    def _make_daemons(self) -> None:
        network = self.reserve_network()
        addresses = [
            f"{network}.{10 + index}"
            for index in range(self._per_data_centre * len(self.data_centres))
        ]
        for index, address in enumerate(addresses):
            data_centre = self.data_centres[index % len(self.data_centres)]
            self.daemons.append(
                Daemon(
                    f"host-{data_centre}-{index}",
                    address,
                    data_centre,
                    REGIONS,
                    self.store_proxy.port,
                    addresses[:3],
                    self._directory,
                    plant=self._plant,
                    loss=self._loss,
                )
            )

    def reserve_network(self) -> str:
        """Reserve a loopback network that no other run on this machine uses.

        Raises:
            OSError: All are in use.
        """
        for offset in range(NETWORK_COUNT):
            network = f"127.7.{2 + (self._seed + offset) % NETWORK_COUNT}"
            lock = socket.socket()
            try:
                lock.bind((f"{network}.1", NETWORK_LOCK_PORT))
            except OSError:
                lock.close()
                continue
            self._network_lock = lock
            return network
        raise OSError("all loopback networks of the soak are in use")

    def release_network(self) -> None:
        """Release the network, once all daemons have ended."""
        if self._network_lock is not None:
            self._network_lock.close()

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(START_S):
            while not all([await daemon.is_ready() for daemon in self.daemons]):
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End everything that this run started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for daemon in self.daemons:
            daemon.resume()
            daemon.kill()
        for daemon in self.daemons:
            await daemon.wait(3.0)
        for proxy in (*self.proxies.values(), self.store_proxy):
            proxy.close()
        for target in self.targets:
            target.listener.shut()
        self.store.stop()
        self.release_network()

    # What faults use.

    async def sleep(self, delay_s: float) -> None:
        """Wait."""
        await asyncio.sleep(delay_s)

    def now_s(self) -> float:
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    @contextlib.contextmanager
    def unstable(self, host: str = "") -> Iterator[None]:
        """Let no bound count meanwhile, for one daemon or for all."""
        span = Span(self.now_s(), 1e18, host)
        self.promises.unstable.append(span)
        try:
            yield
        finally:
            span.end_s = self.now_s()

    def disturb(self, daemon: Daemon, for_s: float) -> None:
        """Let no bound count for a daemon around this moment."""
        now_s = self.now_s()
        self.promises.unstable.append(Span(now_s - 2.0, now_s + for_s, daemon.address))

    @contextlib.contextmanager
    def harmed(self, target: Target) -> Iterator[None]:
        """Note that the path to a server is harmed meanwhile."""
        span = Span(self.now_s(), 1e18)
        self.promises.harmed.setdefault(target.id, []).append(span)
        try:
            yield
        finally:
            span.end_s = self.now_s()

    def start_limit(self, target: Target, per_s: float) -> None:
        """Let a server name a rate limit."""
        target.limits = [f"{per_s:g}"]
        self.promises.limits.append(LimitSpan(target.id, per_s, self.now_s()))

    def end_limit(self, target: Target) -> None:
        """Let a server name no rate limit any more."""
        target.limits = []
        for span in self.promises.limits:
            if span.server == target.id:
                span.end_s = min(span.end_s, self.now_s())

    def set_store_mode(self, mode: str) -> None:
        """Change how the store answers."""
        self.store.delay_s = SLOW_S if mode == "slow" else 0.0
        self.store.mode = FaultMode.UP if mode == "slow" else FaultMode(mode)

    def stop_planned(self, daemon: Daemon) -> None:
        """Ask a daemon to stop, and note it."""
        self.promises.stops.append((daemon.name, self.now_s()))
        self.disturb(daemon, 7.0)
        daemon.stop()

    async def wait_for_stop(self, daemon: Daemon) -> None:
        """Wait for the end of a planned stop, and start the daemon again."""
        if not await daemon.wait(7.0):
            stopped_s = daemon.stopping_s or 0.0
            if not any(end_s > stopped_s for _, end_s in daemon.pauses_s):
                text = f"planned_stop: {daemon.name} outlasts its grace time"
                self.findings.append(text)
            daemon.kill()
            await daemon.wait(2.0)
        await daemon.start()

    # Losses of daemons.

    def remove_daemon(self, daemon: Daemon) -> None:
        """End a daemon for good, as far as other faults are concerned."""
        daemon.is_removed = True
        daemon.kill()

    async def return_daemon(self, daemon: Daemon) -> None:
        """Start a removed daemon, for faults to come."""
        daemon.is_removed = False
        await daemon.wait(2.0)
        await daemon.start()
        self.disturb(daemon, 1.0)

    async def restart_daemon(self, daemon: Daemon) -> None:
        """End a daemon and start it again at once."""
        daemon.kill()
        await daemon.wait(2.0)
        await daemon.start()
        self.disturb(daemon, 1.0)

    # Backend servers.

    async def add_target(
        self,
        service: str,
        data_centre: str,
        proxy: FaultProxy | None = None,
        *,
        cold_s: float = 0.0,
    ) -> Target:
        """Start a server and register it, at a given address if there is one."""
        self._number += 1
        id = f"i-{self._number}"
        namings_s = self.promises.namings_s.setdefault(id, [])
        target = Target(
            id,
            service,
            data_centre,
            self.promises.runs,
            namings_s,
            self.promises.notices,
            self.rng,
        )
        target.odd_answers = self.odd_answers
        target.deadly = self.deadly
        target.crash_shares = self.crash_shares
        target.odd_s = self.promises.odd_s
        target.on_crash = self._on_crash
        await target.listener.open()
        if proxy is None:
            proxy = FaultProxy(("127.0.0.1", target.listener.port))
            await proxy.start()
        else:
            proxy._target = ("127.0.0.1", target.listener.port)
        self.proxies[id] = proxy
        self.targets.append(target)
        if cold_s:
            self.promises.cold[id] = Span(self.now_s(), self.now_s() + cold_s)
        self._register(target, "ready", cold_s)
        return target

    def _register(self, target: Target, state: str, cold_s: float = 0.0) -> None:
        entry = json.dumps(
            {
                "service": target.service,
                "address": f"127.0.0.1:{self.proxies[target.id].port}",
                "zone": target.data_centre,
                "version": "v1",
                "slots": target.slots,
                "state": state,
                "warmupLeft": f"{cold_s:g}s",
                "seq": self._number,
                "born": FIRST_START_MS,
            }
        )
        self._put("servers", target.id, entry.encode())

    async def replace_target(self, target: Target) -> None:
        """Start another server and let this one leave in order."""
        await self.add_target(target.service, target.data_centre)
        await self.remove_target(target)

    def _on_crash(self, target: Target, path: str) -> None:
        """Let a server that a request has crashed come back after a while."""
        self.promises.crashes.append((path, self.now_s()))
        self.proxies[target.id].close()
        if target not in self.targets:
            return  # it was leaving
        self.targets.remove(target)

        async def restart() -> None:
            await self.sleep(DOWN_S)
            self._put("servers", target.id, None)
            await self.add_target(target.service, target.data_centre)

        self._tasks.append(asyncio.get_running_loop().create_task(restart()))

    async def remove_target(self, target: Target) -> None:
        """Let a server leave in order."""
        if target not in self.targets:
            return  # it has crashed
        self.targets.remove(target)
        self._number += 1
        self._register(target, "draining")
        self.promises.leaving[target.id] = self.now_s()
        await self.sleep(3.5)
        self._put("servers", target.id, None)
        target.listener.shut()

    def ask_for_slots(
        self, daemons: list[Daemon], service: str
    ) -> list[asyncio.Task[None]]:
        """Send requests with a long time limit for a service to some daemons."""
        tasks = []
        for daemon in daemons:
            for _ in range(WAITING_REQUESTS):
                self._number += 1
                id = f"w{self._number}"
                asking = ask_once(daemon, id, f"/wait-{service}/x", self.promises.asked)
                tasks.append(asyncio.get_running_loop().create_task(asking))
        return tasks

    async def remove_serving(self, target: Target) -> None:
        """Remove the entry of a server that goes on serving for a while."""
        if target not in self.targets:
            return  # it has crashed
        await self.add_target(target.service, target.data_centre)
        self.targets.remove(target)
        self._put("servers", target.id, None)
        self.promises.leaving[target.id] = self.now_s()
        loop = asyncio.get_running_loop()
        loop.call_later(SERVES_ON_S, target.listener.shut)

    async def drop_target(self, target: Target) -> None:
        """Remove a server in order, unless another fault has removed it."""
        if target in self.targets:
            self.targets.remove(target)
            self._put("servers", target.id, None)
            self.promises.leaving[target.id] = self.now_s()
            asyncio.get_running_loop().call_later(SERVES_ON_S, target.listener.shut)

    async def reuse_address(self, target: Target) -> None:
        """End a server without notice and give its address to another service."""
        if target not in self.targets:
            return  # it has crashed
        self.targets.remove(target)
        proxy = self.proxies[target.id]
        with self.unstable():
            target.listener.shut()
            proxy.reset()
            await self.sleep(2.0)
            other = next(name for name in SERVICES if name != target.service)
            await self.add_target(other, target.data_centre, proxy)
            await self.add_target(target.service, target.data_centre)
            await self.sleep(1.0)
            self._put("servers", target.id, None)

    # What operators and backend servers write to the store.

    def _put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row, and remember it as what the writer wants."""
        self._written[(table, key)] = value
        if value is None:
            self.store.drop(table, key)
        else:
            self.store.put(table, key, value)

    def write_again(self, *tables: str) -> None:
        """Write again what a restored store has lost, of some tables or of all."""
        for (table, key), value in self._written.items():
            if tables and table not in tables:
                continue
            if self.store.rows(table).get(key) != value:
                self._put(table, key, value)

    # Acts of operators.

    def is_out(self, data_centre: str) -> bool:
        """Return whether a data centre is out of service."""
        spans = self.promises.out.get(data_centre, [])
        return bool(spans) and spans[-1][1] > 1e17

    async def evacuate(self, data_centre: str, for_s: float) -> None:
        """Take a data centre out of service for a while."""
        if self.is_out(data_centre):
            return
        self._put("op", f"evacuate/{data_centre}", b"{}")
        spans = self.promises.out.setdefault(data_centre, [])
        start_s = self.now_s()
        spans.append((start_s, 1e18))
        await self.sleep(for_s)
        self._put("op", f"evacuate/{data_centre}", None)
        spans[-1] = (start_s, self.now_s())

    def move_route(self) -> None:
        """Move one route to the other service."""
        old = self._move_service
        self._move_service = SERVICES[1 - SERVICES.index(old)]
        self._write_state()
        self.promises.moved.append((self.now_s(), "/move/", old, self._move_service))

    def _write_state(self) -> None:
        self._version += 3
        rows = [
            ["look", "api.example", "/look/", "safe", "1500ms", "400ms", 2, "alpha", 2],
            ["order", "api.example", "/order/", "unsafe", "1500ms", "400ms", 0, "beta"],
            ["home", "api.example", "/home/", "unsafe", "1500ms", "400ms", 1, "alpha"],
            ["move", "api.example", "/move/", "unsafe", "1500ms", "400ms", 1],
        ]
        for service in SERVICES:
            name = f"wait-{service}"
            row = [name, "api.example", f"/{name}/", "unsafe", "5s", "400ms", 1]
            rows.append([*row, service, 2, []])
        row = ["far", "api.example", f"/far-{FAR_SERVICE}/", "unsafe", "1500ms"]
        rows.append([*row, "400ms", 1, FAR_SERVICE, 2, []])
        rows[1] += [2, []]
        rows[2] += [2, ["east"]]
        rows[3] += [self._move_service, 2, []]
        rows[0] += [[]]
        columns = "name host prefix kind timeout slo priority service maxAttempts"
        document = {
            "version": f"{self._version:08x}",
            "routes": {"columns": [*columns.split(), "allowedRegions"], "rows": rows},
            "services": {
                "columns": ["name", "healthPath", "maxConns", "warmup", "warmupPerS"],
                "rows": [
                    [name, "/health", 200, "3s", 5.0]
                    for name in (*SERVICES, FAR_SERVICE)
                ],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 100_000,
                "headerTimeout": "3s",
                "idleTimeout": "15s",
            },
        }
        self._put("op", "config", json.dumps(document).encode())

    # The run.

    async def play(self, duration_s: float, first: str = "") -> None:
        """Inject faults, some at the same time, for ``duration_s`` seconds.

        Args:
            duration_s: How long faults begin.
            first: Name of the first fault, or "" to draw it.
        """
        await self.sleep(CONNECT_S)
        end_s = self.now_s() + duration_s
        faults: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        while self.now_s() < end_s:
            name = first or self.rng.choice(FAULTS.names())
            first = ""
            self.played.append(name)
            for_s = 0.5 + 2.5 * self.rng.random()
            task = loop.create_task(FAULTS.get(name)(self, self.rng, for_s))
            faults.add(task)
            await self.sleep(2.0 * self.rng.random())
        results = await asyncio.gather(*faults, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                self.findings.append(f"soak: {type(result).__name__}: {result}")
        await self._check_recovery()

    async def _check_recovery(self) -> None:
        for daemon in self.daemons:
            if not daemon.is_running:
                self.findings.append(
                    f"process: {daemon.name} ended by itself with {daemon.exit_code}"
                )
                await daemon.start()
        await self.sleep(CALM_S)
        began_s = self.now_s()
        last: list[Asked] = []
        while len(last) < LAST_REQUESTS:
            await self.sleep(0.1)
            # Those on slow lines are read too late to count.
            asked = [item for item in self.promises.asked if item.path != PATH]
            last = [item for item in asked if item.sent_s > began_s][:LAST_REQUESTS]
        await self.sleep(0.5)
        served = sum(self._is_served(item) for item in last)
        if served < SERVED_SHARE * len(last):
            self.findings.append(f"recovery: {served} of {len(last)} served")

    @staticmethod
    def _is_served(item: Asked) -> bool:
        return 200 <= item.status < 300


async def run_soak(
    seed: int,
    duration_s: float,
    *,
    daemons: int,
    callers: int,
    keep: Path | None,
    first: str = "",
    plant: str = "",
    loss: float = 0.0,
) -> World:
    """Play one run and return it."""
    with contextlib.ExitStack() as stack:
        if keep is None:
            path = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        else:
            path = keep
            path.mkdir(parents=True, exist_ok=True)
        world = World(seed, daemons, callers, path, plant=plant, loss=loss)
        try:
            await world.start()
            await world.play(duration_s, first)
        finally:
            await world.close()
        for daemon in world.daemons:
            starts_s = world.promises.starts_s.setdefault(daemon.data_centre, [])
            starts_s.append(daemon.starts_s)
            world.promises.lifetimes_s[daemon.name] = daemon.starts_s
            world.promises.kills_s[daemon.name] = daemon.kills_s
            world.promises.pauses_s[daemon.name] = daemon.pauses_s
            world.promises.addresses[daemon.name] = daemon.address
        world.findings += world.promises.broken()
        return world
