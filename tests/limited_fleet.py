"""Entry hosts in virtual time, in front of backend servers that name rate limits."""

import asyncio
import random
from collections import Counter
from unittest import mock

from crocusward.desired import FleetBounds, HostFacts, HostLimits
from crocusward.devtools.virtual_loop import VirtualLoop
from crocusward.entryd._hub import NeighbourHub
from crocusward.invariants import Invariants
from crocusward.logs import EventSampler
from crocusward.neighbours import (
    BackendObservation,
    NeighbourTable,
    ObservationKind,
    ReadTimes,
)
from crocusward.neighbours._codec import decode_message, encode_message
from crocusward.placing import (
    BackendLoadTable,
    BackendSelector,
    FleetRetryBudget,
    HostGroups,
    ServiceTimeModel,
)
from crocusward.relay import (
    CallerAnswer,
    CallerRequest,
    Exchange,
    ExchangeEnd,
    LoadProber,
    RateLimitTracker,
    Relay,
    RequestLog,
    SlotFinder,
    SlotOffers,
)
from crocusward.timing import LoopTimer

from .entry_support import REGIONS, backend, desired, directory, route

STEP_S = 1e-6
LOCAL_DELAY_S = 0.0003
REGION_DELAY_S = 0.001
REMOTE_DELAY_S = 0.012
STABILITY_S = 3.0  # from the first answer that names a limit until it binds
TOLD_S = 0.5  # from an answer to a host until its requests count
WINDOW_S = 4.0
FALL_S = 2.0  # until a lower limit counts; it is learned from an answer
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
WORK_S = 0.2
QUEUE = 2

BOUNDS = FleetBounds(
    drain_s=2.0,
    stop_grace_s=6.0,
    config_apply_s=2.0,
    address_reuse_s=2.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_reserve=58.0,
    cold_rate_factor=1.5,
    cold_burst=5.0,
)
LOOK = route(timeout_s=1.5, objective_s=0.6, priority=1)
ORDER = route(
    "order", "/order/", idempotent=False, timeout_s=2.0, objective_s=0.8, priority=0
)


class SteppingLoop(VirtualLoop):
    """Virtual time that also passes while callbacks run, as real time does."""

    def __init__(self):
        super().__init__()
        jump = self._jumping.select
        self._jumping.select = lambda timeout: jump(max(STEP_S, timeout))


class Arrival:
    """One request at a server."""

    __slots__ = ("at_s", "host", "was_told")

    def __init__(self, at_s, host, was_told):
        self.at_s = at_s
        self.host = host
        self.was_told = was_told


class LimitedServer:
    """A backend server whose limit changes by a schedule of (time, limit)."""

    def __init__(self, id, data_centre, schedule=()):
        self.id = id
        self.data_centre = data_centre
        self.schedule = list(schedule)
        self.arrivals = []
        self.told_s = {}
        self.first_named_s = None
        self.running = 0
        self.waiting = 0

    def limit(self, now_s):
        found = 0.0
        for at_s, per_s in self.schedule:
            if at_s <= now_s:
                found = per_s
        return found

    def _counted_limit(self, now_s):
        """Return the highest limit of the last moments."""
        steps = [now_s - FALL_S, *(at for at, _ in self.schedule), now_s]
        recent = [at for at in steps if now_s - FALL_S <= at <= now_s]
        limits = [self.limit(at) for at in recent]
        return 0.0 if 0.0 in limits else max(limits)

    def breaches(self):
        """Return a text for each window with more requests than allowed."""
        found = []
        if self.first_named_s is None:
            return found
        for last in self.arrivals:
            start_s = last.at_s - WINDOW_S
            if start_s < self.first_named_s + STABILITY_S:
                continue
            steps = [start_s + WINDOW_S * index / 8 for index in range(9)]
            limits = [self._counted_limit(at_s) for at_s in steps]
            if not all(limits):
                continue
            count = sum(
                start_s < item.at_s <= last.at_s and item.was_told
                for item in self.arrivals
            )
            allowed = ALLOWED_FACTOR * WINDOW_S * max(limits) + ALLOWED_EXTRA
            if count > allowed:
                found.append(
                    f"{self.id} got {count} in the {WINDOW_S:g} s to {last.at_s:.2f},"
                    f" {allowed:g} allowed"
                )
        return found


class FakeClient:
    """Sends the requests of one host to the servers of the fleet."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host

    def idle_connections(self, load):
        return 1

    def drop_idle_connections(self, load):
        pass

    async def _travel(self, server):
        await self._host.thaw()
        await asyncio.sleep(self._fleet.delay_s(self._host, server))

    async def send(self, load, req, time_left_s, *, before_write):
        before_write()
        fleet, host = self._fleet, self._host
        server = fleet.servers[load.entry.id]
        asked_s = fleet.loop.time()
        observation = BackendObservation(server.id, ObservationKind.REFUSED)
        try:
            async with asyncio.timeout(time_left_s):
                await self._travel(server)
                if host.is_dead:
                    await asyncio.sleep(time_left_s + 1.0)
                end = await self._run(server, observation)
                await self._travel(server)
        except TimeoutError:
            observation.kind = ObservationKind.SILENT
            return Exchange(ExchangeEnd.UNKNOWN, observation, reason="not in time")
        self._read_limit(server, observation, asked_s)
        if end is ExchangeEnd.NOT_RUN:
            return Exchange(end, observation, reason="refused with 503")
        observation.kind = ObservationKind.ANSWERED
        return Exchange(end, observation, CallerAnswer(200), "status 200")

    async def _run(self, server, observation):
        fleet = self._fleet
        now_s = fleet.loop.time()
        told_s = server.told_s.get(self._host.name)
        was_told = told_s is not None and now_s - told_s >= TOLD_S
        server.arrivals.append(Arrival(now_s, self._host.name, was_told))
        if server.running + server.waiting >= 2 + QUEUE:
            end = ExchangeEnd.NOT_RUN
        else:
            server.waiting += 1
            while server.running >= 2:
                await asyncio.sleep(0.01)
            server.waiting -= 1
            server.running += 1
            try:
                await asyncio.sleep(WORK_S * (0.7 + 0.6 * fleet.rng.random()))
            finally:
                server.running -= 1
            end = ExchangeEnd.ANSWERED
        observation.running = server.running
        observation.waiting = server.waiting
        observation.slowdown = 1.0
        observation.rate_limit_per_s = server.limit(fleet.loop.time())
        if observation.rate_limit_per_s and server.first_named_s is None:
            server.first_named_s = fleet.loop.time()
        return end

    def _read_limit(self, server, observation, asked_s):
        observation.asked_s = asked_s
        observation.answered_s = self._fleet.loop.time()
        if observation.rate_limit_per_s:
            server.told_s.setdefault(self._host.name, observation.answered_s)

    async def probe(self, load, path, timeout_s):
        server = self._fleet.servers[load.entry.id]
        asked_s = self._fleet.loop.time()
        observation = BackendObservation(server.id, ObservationKind.REFUSED)
        try:
            async with asyncio.timeout(timeout_s):
                await self._travel(server)
                if self._host.is_dead:
                    await asyncio.sleep(timeout_s + 1.0)
                observation.running = server.running
                observation.waiting = server.waiting
                observation.slowdown = 1.0
                observation.rate_limit_per_s = server.limit(self._fleet.loop.time())
                await self._travel(server)
        except TimeoutError:
            return None
        self._read_limit(server, observation, asked_s)
        return observation


class FakeEndpoint:
    """Delivers datagrams between the hosts of the fleet."""

    def __init__(self, fleet, host, on_message):
        self._fleet = fleet
        self._host = host
        self._on_message = on_message

    async def start(self, address, port):
        pass

    def send(self, message, addresses):
        data = encode_message(message)
        for address in addresses:
            self._fleet.carry(self._host, address, data)

    def receive(self, data, sender):
        if not self._host.is_dead:
            self._on_message(decode_message(data), sender)

    def close(self):
        pass


class FreezableTimer(LoopTimer):
    """Delays the callbacks of a frozen host until it wakes."""

    __slots__ = ("_host",)

    def __init__(self, loop, rng, host):
        super().__init__(loop, rng)
        self._host = host

    def call_later(self, delay_s, callback):
        def fire():
            if self._host.is_dead:
                return
            left_s = self._host.frozen_until_s - self._loop.time()
            if left_s > 0.0:
                self._loop.call_later(left_s, fire)
            else:
                callback()

        return super().call_later(delay_s, fire)


class SimulatedHost:
    """One run of the daemon on one host, without sockets and store."""

    def __init__(self, fleet, name, address, data_centre, incarnation):
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.is_dead = False
        self.frozen_until_s = -1.0
        self._loop = fleet.loop
        rng = random.Random(fleet.rng.random())
        self.timer = FreezableTimer(fleet.loop, rng, self)
        sampler = EventSampler(self.timer.now, 0)
        self.directory = directory(*fleet.entries(), state=fleet.state)
        self.table = BackendLoadTable(
            self.directory,
            HostGroups(name, data_centre),
            self.timer.now,
            lambda: 0.0,
        )
        for entry in fleet.entries():
            self.table._on_backend(None, entry)
        self.neighbours = NeighbourTable(name, ReadTimes(2.0))
        times = ServiceTimeModel()
        client = FakeClient(fleet, self)
        self.invariants = Invariants()
        self.rate_limits = RateLimitTracker(fleet.loop.time, sampler)
        with mock.patch(
            "crocusward.entryd._hub.NeighbourEndpoint",
            lambda on_message, _: FakeEndpoint(fleet, self, on_message),
        ):
            self.hub = self._make_hub(fleet, incarnation, rng, sampler)
        self.endpoint = self.hub._endpoint
        self.selector = BackendSelector(
            self.directory, self.table, times, REGIONS[data_centre], rng
        )
        self.slot_finder = SlotFinder(
            self.timer,
            self.directory,
            self.table,
            self.selector,
            self.hub,
            sampler,
            LoadProber(
                self.timer, self.directory, times, client, sampler, self.rate_limits
            ),
        )
        self.slot_offers = SlotOffers(
            self.timer,
            self.directory,
            self.table,
            self.slot_finder,
            self.hub,
            sampler,
            self.rate_limits,
        )
        self.retry_budget = FleetRetryBudget(0.2, 58.0, 10.0)
        self.retry_budget.host_count = fleet.host_count
        self.relay = Relay(
            self.timer,
            self.directory,
            self.table,
            times,
            self.selector,
            self.slot_finder,
            self.retry_budget,
            client,
            self.hub,
            RequestLog(self.timer.now, self.directory, sampler),
            self.invariants,
            self.rate_limits,
            300,
        )

    def _make_hub(self, fleet, incarnation, rng, sampler):
        facts = HostFacts(
            name=self.name,
            address=self.address,
            data_centre=self.data_centre,
            region=REGIONS[self.data_centre],
            regions=REGIONS,
            callers=(self.address, 1),
            ready=(self.address, 2),
            control=None,
            peer_ports=(3, 4),
            seeds=[(address, 0) for address in fleet.seeds],
            is_first_start=False,
            store=("10.0.0.1", 1),
            heartbeat_s=1.5,
            limits=HostLimits(1.0, 300, 1000),
            bounds=BOUNDS,
        )
        return NeighbourHub(
            facts,
            incarnation,
            self.timer,
            rng,
            self.table,
            self.neighbours,
            NeighbourTable(self.name, ReadTimes(2.0)),
            sampler,
            lambda: {"servers": 1},
            lambda: 0.0,
            lambda: False,
            lambda service: self.relay.dispatch_queued(service),
            lambda: None,
            lambda *request: self.slot_offers.offer(*request),
            lambda key: self.slot_offers.release_offer(key),
            lambda *request: self.slot_offers.issue_permit(*request),
            lambda host: None,
            self.rate_limits,
            fleet.loop.time,
        )

    async def thaw(self):
        """Wait while this host is frozen."""
        while (left_s := self.frozen_until_s - self._loop.time()) > 0.0:
            await asyncio.sleep(left_s)


class Outcome:
    """What a caller got."""

    __slots__ = ("route", "host", "sent_s", "took_s", "status", "retry_after_s")

    def __init__(self, route, host, sent_s, took_s, answer):
        self.route = route
        self.host = host
        self.sent_s = sent_s
        self.took_s = took_s
        self.status = answer.status
        values = [value for name, value in answer.headers if name == b"retry-after"]
        self.retry_after_s = float(values[0]) if values else None


class LimitedFleet:
    """Hosts, servers and callers of one run."""

    def __init__(self, seed, servers, *, hosts_per_data_centre=4, loss=0.0):
        self.loop = SteppingLoop()
        self.rng = random.Random(seed)
        self.servers = {server.id: server for server in servers}
        self.state = desired(LOOK, ORDER)
        self.loss = loss
        self.cut = set()
        self.outcomes = []
        self.host_count = hosts_per_data_centre * len(REGIONS)
        self._tasks = set()
        self._starts = 0
        self.places = [
            (f"host-{data_centre}-{index}", f"10.{number}.0.{index + 10}", data_centre)
            for number, data_centre in enumerate(REGIONS)
            for index in range(hosts_per_data_centre)
        ]
        self.seeds = [address for _, address, _ in self.places[::hosts_per_data_centre]]
        self.hosts = {}
        self.by_address = {}
        asyncio.set_event_loop(self.loop)
        for name, _, _ in self.places:
            self.start(name)
        self.loop.advance(2.0)
        self.start_s = self.loop.time()

    def entries(self):
        return [
            backend(server.id, server.data_centre, slots=2)
            for server in self.servers.values()
        ]

    def start(self, name):
        """Start the daemon of a host, with no memory of an earlier run."""
        self._starts += 1
        address, data_centre = next(
            (place[1], place[2]) for place in self.places if place[0] == name
        )
        host = SimulatedHost(self, name, address, data_centre, self._starts)
        self.hosts[name] = self.by_address[address] = host
        for server in self.servers.values():
            server.told_s.pop(name, None)
        if self.loop.is_running():
            self._spawn(host.hub.start())
        else:
            self.loop.run_until_complete(host.hub.start())

    def _spawn(self, coroutine):
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def kill(self, name):
        """End the daemon of a host at once."""
        host = self.hosts[name]
        host.is_dead = True
        host.hub.close()

    def restart(self, name, down_s):
        """End the daemon of a host and start it again later."""
        self.kill(name)
        self.loop.call_later(down_s, self.start, name)

    def freeze(self, name, for_s):
        """Let a host stand still for a while."""
        self.hosts[name].frozen_until_s = self.loop.time() + for_s

    def cut_off(self, name, for_s):
        """Cut a host off from all others for a while, but not from the servers."""
        self.cut.add(name)
        self.loop.call_later(for_s, self.cut.discard, name)

    def delay_s(self, one, other):
        if one.data_centre == other.data_centre:
            return LOCAL_DELAY_S
        if REGIONS[one.data_centre] == REGIONS[other.data_centre]:
            return REGION_DELAY_S
        return REMOTE_DELAY_S

    def carry(self, sender, address, data):
        """Deliver a datagram, unless it is lost."""
        receiver = self.by_address.get(address)
        if receiver is None or sender.is_dead or self.rng.random() < self.loss:
            return
        if sender.name in self.cut or receiver.name in self.cut:
            return
        sent_s = max(self.loop.time(), sender.frozen_until_s)
        at_s = max(sent_s + self.delay_s(sender, receiver), receiver.frozen_until_s)
        self.loop.call_at(at_s, self._deliver, receiver, data, sender.address)

    def _deliver(self, receiver, data, sender):
        left_s = receiver.frozen_until_s - self.loop.time()
        if left_s > 0.0:
            self.loop.call_later(left_s, self._deliver, receiver, data, sender)
        else:
            receiver.endpoint.receive(data, sender)

    # Load.

    def now_s(self):
        """Return the time since all hosts are up."""
        return self.loop.time() - self.start_s

    async def _ask(self, host, rule, number):
        sent_s = self.loop.time()
        req = CallerRequest(
            "GET",
            f"{rule.prefix}x",
            rule.host,
            [],
            id=b"q%d" % number,
            received_s=sent_s,
            time_left_s=rule.timeout_s,
        )
        await host.thaw()
        answer = await host.relay.answer(req)
        took_s = self.loop.time() - sent_s
        if not host.is_dead:
            self.outcomes.append(
                Outcome(rule.name, host.name, sent_s - self.start_s, took_s, answer)
            )

    async def _generate(self, per_s, until_s):
        number = 0
        while self.now_s() < until_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            host = self.hosts[self.rng.choice(self.places)[0]]
            rule = ORDER if self.rng.random() < 0.25 else LOOK
            number += 1
            if not host.is_dead:
                self._spawn(self._ask(host, rule, number))

    def at(self, at_s, function, *args):
        """Call a function ``at_s`` seconds after all hosts are up."""
        self.loop.call_at(self.start_s + at_s, function, *args)

    def play(self, per_s, until_s):
        """Send requests until a moment, and wait for the answers."""
        self._spawn(self._generate(per_s, until_s))
        self.loop.advance(until_s + 3.0)

    def most_in_window(self):
        """Return the most requests that a limited server got in one window."""
        most = 0
        for server in self.servers.values():
            if server.first_named_s is None:
                continue
            begin_s = server.first_named_s + STABILITY_S
            times = [item.at_s for item in server.arrivals if item.at_s > begin_s]
            for end_s in times:
                most = max(most, sum(end_s - WINDOW_S < at <= end_s for at in times))
        return most

    def violations(self):
        """Return the invariants that hosts found broken."""
        return sum((h.invariants.violations for h in self.hosts.values()), Counter())

    def breaches(self):
        """Return what servers saw of requests beyond their limits."""
        return [text for item in self.servers.values() for text in item.breaches()]

    def close(self):
        """End the run."""
        for host in self.hosts.values():
            host.is_dead = True
            host.hub.close()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0.1))
        asyncio.set_event_loop(None)
        self.loop.close()


def play_faults(fleet, seed, until_s, count=10):
    """Plan restarts, freezes and cuts of hosts, in series and overlapping."""
    rng = random.Random(seed)
    names = [name for name, _, _ in fleet.places]
    faults = (fleet.restart, fleet.freeze, fleet.cut_off)
    for _ in range(count):
        at_s = 3.0 + rng.random() * (until_s - 6.0)
        fault = rng.choice(faults)
        for name in rng.sample(names, rng.choice([1, 1, 2, len(names) // 3])):
            fleet.at(at_s, fault, name, 0.3 + 3.0 * rng.random())


def make_servers(count, share, limit, *, begin_s=4.0, end_s=1e9):
    """Return servers spread over the data centres, a share of them limited."""
    names = list(REGIONS)
    return [
        LimitedServer(
            f"i-{index:03}",
            names[index % len(names)],
            [(begin_s, limit), (end_s, 0.0)] if index < share * count else [],
        )
        for index in range(count)
    ]
