"""A whole deployment in virtual time: real decision logic on fakes."""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from ...config import (
    ChangeDraft,
)
from ...daemon import GracefulStop, Node, NodeOptions, NodeSecrets, Platform
from ...errors import CrocusError, ExchangeLostError, Refusal
from ...invariants import InvariantName, Invariants
from ...model import (
    Backend,
    Call,
    ListedHost,
    Reply,
)
from ...peer import PeerIdentity
from ..virtual_loop import VirtualLoop
from ._backends import PROBE_S, FakeBackend, FakeUpstream
from ._gate import GatedTimer, TaskOwners
from ._host import HostServer, SilentRecorder, SimHost
from ._network import OTHER_REGION_S, SAME_REGION_S, Endpoint, Network
from ._operators import Operators
from ._oracle import Job, Oracle
from ._platform import LIST_LAG_S, FakePlatform, StoreState
from ._shape import (
    CENTRES,
    DEADLINE_S,
    HOSTS_PER_REGION,
    STORE_REGION,
    first_operations,
    make_backends,
)

WARM_UP_S = 12.0
PROBE_SHARE = 0.01
STOP_NOTICE_S = 1.0
SET_UP_TRIES = 5


class World:
    """Hosts, backend servers, platform, operators and callers of one run.

    Args:
        seed: Seed of all randomness.
        faults: Names of planted faults.
    """

    def __init__(self, seed: int, faults: frozenset[str] = frozenset()) -> None:
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.owners = TaskOwners(self.loop)
        self.faults = faults
        self.errors: list[BaseException] = []
        self.loop.set_exception_handler(self._note_error)
        self.counts: Counter[str] = Counter()
        self.oracle = Oracle(self.loop.time)
        self.store = StoreState(self.rng)
        self.jobs: dict[str, Job] = {}
        self.cut: set[str] = set()
        self.regions_cut = False
        self.network = Network(self.rng, self.connected, self.owners.spawn)
        self.backends = make_backends()
        self.servers = {
            b.id: FakeBackend(b, self.oracle, self.rng, self.loop.time)
            for b in self.backends
        }
        self.leaving: set[str] = set()
        self.hosts: dict[str, SimHost] = {}
        self._list_log: list[tuple[float, list[ListedHost]]] = []
        self._incarnations = 0
        self.operators = Operators(self)
        self._tasks: set[asyncio.Task] = set()
        self._checked_violations: Counter[str] = Counter()
        for centre in CENTRES:
            self._add_hosts(centre)
        self.note_list()
        for host in self.hosts.values():
            self._start(host)
        self.loop.run_until_complete(self._set_up())
        self.advance(WARM_UP_S)

    # Time

    def advance(self, duration_s: float) -> None:
        """Let virtual time pass."""
        self.loop.advance(duration_s)

    def close(self) -> None:
        """End the run."""
        for host in self.hosts.values():
            host.gate.kill()
            self.owners.cancel(host.node.identity.incarnation)
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run something that no host owns."""
        task = self.owners.spawn(0, work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Structure

    def connected(self, a: str, b: str) -> bool:
        """Return whether two hosts reach each other."""
        if a in self.cut or b in self.cut:
            return False
        return not self.regions_cut or self._region(a) == self._region(b)

    def listed(self) -> list[ListedHost]:
        """Return the host list as it was some time ago."""
        limit_s = self.loop.time() - LIST_LAG_S
        shown = [hosts for at_s, hosts in self._list_log if at_s <= limit_s]
        return shown[-1] if shown else self._list_log[0][1]

    def note_list(self) -> None:
        """Write the present state to the host list."""
        hosts = [
            ListedHost(h.name, "entry", h.region, h.centre, "", 0)
            for h in self.hosts.values()
            if h.alive
        ]
        hosts += [
            ListedHost(
                b.id,
                "backend",
                b.region,
                b.data_centre,
                b.address,
                b.port,
                leaving=b.id in self.leaving,
                service=b.service,
            )
            for b in self.backends
        ]
        self._list_log.append((self.loop.time(), hosts))

    def live_hosts(self, region: str = "") -> list[SimHost]:
        """Return hosts that accept connections."""
        return [
            h
            for h in self.hosts.values()
            if h.alive and not h.stop and region in ("", h.region)
        ]

    # Faults

    def crash_host(self, host: SimHost) -> None:
        """Kill a host."""
        self.counts["host_crash"] += 1
        self._kill(host)

    def restart_host(self, host: SimHost) -> None:
        """Start a new incarnation in place of a dead host."""
        self.counts["host_start"] += 1
        fresh = SimHost(host.name, host.region, host.centre)
        self.hosts[host.name] = fresh
        self._start(fresh)
        self.note_list()

    def pause_host(self, host: SimHost, duration_s: float) -> None:
        """Stop a process for some time."""
        if host.gate.paused:
            return
        self.counts["host_pause"] += 1
        host.gate.pause()
        self.loop.call_later(duration_s, host.gate.resume)

    def stop_host(self, host: SimHost) -> None:
        """Stop a host as planned."""
        if host.stop:
            return
        self.counts["host_planned_stop"] += 1
        self.owners.spawn(0, self._stop_gracefully(host))

    def isolate_host(self, host: SimHost, duration_s: float) -> None:
        """Cut a host off from peers and store."""
        self.counts["host_isolated"] += 1
        self.cut.add(host.name)
        self.loop.call_later(duration_s, self.cut.discard, host.name)

    def part_regions(self, duration_s: float) -> None:
        """Cut the link between the regions."""
        if self.regions_cut:
            return
        self.counts["region_partition"] += 1
        self.regions_cut = True
        self.loop.call_later(duration_s, setattr, self, "regions_cut", False)

    def store_outage(self, duration_s: float, kind: str) -> None:
        """Make the store ``down`` or ``slow`` for some time."""
        self.counts[f"store_{kind}"] += 1
        setattr(self.store, kind, True)
        self.loop.call_later(duration_s, setattr, self.store, kind, False)

    def lose_write_answers(self, share: float, duration_s: float) -> None:
        """Lose a share of the answers to writes for some time."""
        self.counts["store_loses_answers"] += 1
        self.store.lose_share = share
        self.loop.call_later(duration_s, setattr, self.store, "lose_share", 0.0)

    def set_leaving(self, backend_id: str, leaving: bool) -> None:
        """Mark a backend server as leaving on the host list, or undo it."""
        if leaving:
            self.counts["backend_leaving"] += 1
            self.leaving.add(backend_id)
            shown_s = LIST_LAG_S + 0.1
            self.loop.call_later(shown_s, self._note_leaving, backend_id)
        else:
            self.leaving.discard(backend_id)
            self.oracle.backend_back(backend_id)
        self.note_list()

    # Callers

    def new_job(self, contract: str, idempotent: bool, key: str = "") -> Job:
        """Make a job."""
        home = frozenset({"louna"}) if contract == "homed" else frozenset()
        service = "materjalid" if idempotent else "tellimused"
        number = len(self.jobs) + 1
        job = Job(f"j{number}", idempotent, home, contract, service, key)
        self.jobs[job.id] = job
        return job

    async def issue_key(self, host: SimHost, contract: str) -> str:
        """Return an issued key, or "" if the host refuses."""
        try:
            return (await host.node.dispatcher.issue_keys(contract, 1))[0]
        except Refusal:
            return ""

    def call(self, host: SimHost, job: Job) -> None:
        """Send a job through a host."""
        if not host.alive or host.stop:
            return
        self.counts["requests"] += 1
        self.oracle.attempt_started(job)
        self.spawn(self._call(host, job))

    async def _call(self, host: SimHost, job: Job) -> None:
        owner = host.node.identity.incarnation
        host.calls += 1
        task = self.owners.spawn(owner, self._handle(host, job))
        try:
            reply = await task
            self.oracle.answered(job, reply)
        except Refusal as refusal:
            self.oracle.refused(job, refusal)
        except asyncio.CancelledError:
            self.oracle.cut(job)
        except Exception as exc:
            self.errors.append(exc)
        finally:
            host.calls -= 1
            self.oracle.attempt_ended(job)

    async def _handle(self, host: SimHost, job: Job) -> Reply:
        await host.gate.wait_open()
        dispatcher = host.node.dispatcher
        method = "GET" if job.idempotent else "POST"
        path = f"/job/{job.id}"
        now_s = self.loop.time()
        call = Call(
            f"r{self.counts['requests']}-{job.id}",
            job.contract,
            job.service,
            method,
            path,
            key=job.key,
            deadline_s=now_s + DEADLINE_S,
            received_s=now_s,
        )
        return await dispatcher.handle(call)

    # Checks

    def check(self) -> None:
        """Take over violations that the hosts found, and check what is kept."""
        for host in self.hosts.values():
            node = host.node
            found = node.invariants.violations
            for name, count in found.items():
                seen = self._checked_violations[f"{host.name}{id(node)}{name}"]
                if count > seen:
                    first_violations = [
                        v.detail
                        for v in node.invariants.first_violations
                        if v.name is name
                    ]
                    self.oracle.violate(name, f"{host.name}: {first_violations[-1:]}")
                    self._checked_violations[f"{host.name}{id(node)}{name}"] = count
        self._check_probes()
        self._check_store()

    def _check_probes(self) -> None:
        slots = sum(2 for _ in self.backends)
        budget = PROBE_SHARE * slots * self.loop.time() / PROBE_S
        probes = sum(server.probes for server in self.servers.values())
        if probes > budget * 1.05 + 2 * len(self.hosts):
            self.oracle.violate(
                InvariantName.PROBE_BUDGET, f"{probes} probes, budget {budget:.0f}"
            )

    def _check_store(self) -> None:
        for key, row in self.store.rows.items():
            if key.startswith("claim/") and b"own-" in key.encode() + row.value:
                self.oracle.violate(InvariantName.RESIDENCY, "a claim shows its key")

    # Inside

    def _note_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Keep an exception that no task handled; it fails the run."""
        exc = context.get("exception")
        if exc is not None and not isinstance(exc, ExchangeLostError):
            self.errors.append(exc)

    def _region(self, name: str) -> str:
        return self.hosts[name].region

    def _add_hosts(self, centre: str) -> None:
        region = CENTRES[centre]
        present = sum(1 for h in self.hosts.values() if h.region == region)
        count = (HOSTS_PER_REGION + 1) // 2 if not present else HOSTS_PER_REGION // 2
        for number in range(count):
            name = f"entry-{centre}-{number}"
            self.hosts[name] = SimHost(name, region, centre)

    def _start(self, host: SimHost) -> None:
        self._incarnations += 1
        incarnation = self._incarnations
        identity = PeerIdentity(host.name, host.region, host.centre, incarnation)
        timer = GatedTimer(self.loop, self.rng, host.gate, self.owners, incarnation)
        store_s = SAME_REGION_S if host.region == STORE_REGION else OTHER_REGION_S
        platform = FakePlatform(
            self.store,
            self.listed,
            host.gate,
            store_s,
            lambda: self._reaches_store(host),
        )
        host.upstream = self._make_upstream(host)
        host.node = Node(
            timer,
            random.Random(self.rng.random()),
            identity,
            NodeSecrets(b"k" * 16, b"c" * 16),
            Platform(platform, platform, platform),
            host.upstream,
            SilentRecorder(),
            Invariants(),
            NodeOptions(
                policy="least_wait",
                max_hosts=2 * HOSTS_PER_REGION,
                utc_s=lambda: int(self.loop.time()),
                faults=self.faults,
                limit_clock=self.loop.time,
            ),
        )
        endpoint = Endpoint(self.network, identity, host.gate, timer)
        self.network.add(endpoint)
        self.owners.spawn(incarnation, self._run(host.node, endpoint))

    async def _run(self, node: Node, endpoint: Endpoint) -> None:
        endpoint.start(node.events)
        await node.start(endpoint)

    def _make_upstream(self, host: SimHost) -> FakeUpstream:
        def delay_s(backend: Backend) -> float:
            same = backend.region == host.region
            return SAME_REGION_S if same else OTHER_REGION_S

        def connected(backend: Backend) -> bool:
            return not self.regions_cut or backend.region == host.region

        def in_contact() -> list[str]:
            reached = [n for n in self.hosts if self.connected(host.name, n)]
            return [host.name, *reached]

        return FakeUpstream(
            host.name,
            host.gate,
            self.servers,
            self.oracle,
            self.jobs,
            delay_s,
            connected,
            in_contact,
            self.rng,
        )

    def _reaches_store(self, host: SimHost) -> bool:
        if host.name in self.cut:
            return False
        return not self.regions_cut or host.region == STORE_REGION

    def _kill(self, host: SimHost) -> None:
        host.gate.kill()
        self.counts_of(host)
        self.owners.cancel(host.node.identity.incarnation)
        self.note_list()

    def counts_of(self, host: SimHost) -> None:
        """Add the faults that a host's connections have met."""
        self.counts.update(host.upstream.faults)
        host.upstream.faults.clear()

    async def _stop_gracefully(self, host: SimHost) -> None:
        stop = GracefulStop(
            host.node,
            HostServer(host),
            notice_s=STOP_NOTICE_S,
            timeout_s=2 * DEADLINE_S,
            faults=self.faults,
        )
        await stop.run()
        if host.alive:
            self._kill(host)

    def _note_leaving(self, backend_id: str) -> None:
        if backend_id in self.leaving:
            self.oracle.backend_leaving(backend_id)

    async def _set_up(self) -> None:
        await asyncio.sleep(6.0)
        operations = first_operations()
        host = next(iter(self.hosts.values()))
        draft = ChangeDraft("setup", 0, "op", operations)
        for _ in range(SET_UP_TRIES):
            try:
                await host.node.config.commit(draft)
                return
            except CrocusError:  # a late message can keep a peer out of contact
                await asyncio.sleep(1.0)
        raise AssertionError("the first change was refused")
