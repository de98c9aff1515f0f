"""Entry daemons in virtual time, without sockets and store."""

import asyncio
import random
from typing import cast
from unittest import mock

from ...crashes import CrashRegistry
from ...desired import (
    BackendEntry,
    CallerLimits,
    DesiredState,
    Directory,
    FleetBounds,
    HostFacts,
    HostLimits,
    RouteRule,
    ServiceRule,
    TablePosition,
    WeightedService,
)
from ...entryd._hub import NeighbourHub
from ...invariants import Invariants
from ...logs import EventSampler
from ...neighbours import NeighbourTable, ReadTimes, decode_message, encode_message
from ...placing import (
    BackendLoadTable,
    BackendSelector,
    FleetRetryBudget,
    HostGroups,
    ServiceTimeModel,
)
from ...relay import (
    BackendClient,
    CrashWatch,
    LoadProber,
    NoticeTracker,
    RateLimitTracker,
    Relay,
    RequestLog,
    SlotFinder,
    SlotOffers,
)
from ...timing import LoopTimer
from ._servers import COLD_RATE_PER_S, COLD_S, FakeClient

REGIONS = {"east-a": "east", "east-b": "east", "west-a": "west"}
SERVICE = "svc"
BOUND_S = 2.0  # for changes of the desired state
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


def make_route(name, priority, *, idempotent, timeout_s, objective_s):
    """Return a route to the service."""
    return RouteRule(
        name,
        "api.example",
        f"/{name}/",
        idempotent=idempotent,
        timeout_s=timeout_s,
        objective_s=objective_s,
        priority=priority,
        max_attempts=2,
        parts=[WeightedService(SERVICE, 1.0)],
    )


LOOK = make_route("look", 1, idempotent=True, timeout_s=1.5, objective_s=0.6)
ORDER = make_route("order", 0, idempotent=False, timeout_s=2.0, objective_s=0.8)
STATE = DesiredState(
    1,
    [LOOK, ORDER],
    {SERVICE: ServiceRule(SERVICE, "/health", 100, COLD_S, COLD_RATE_PER_S)},
    CallerLimits(4096, 20_000, 3.0, 15.0),
)


def make_directory(entries):
    """Return a directory that lists some backend servers."""
    found = Directory(REGIONS)
    found.set_state(STATE)
    found.has_backend_list = True
    for entry in entries:
        found.set_backend(entry.id, entry)
    return found


def make_entry(id, data_centre, slots, cold_left_s=0.0):
    """Return the entry of a backend server."""
    return BackendEntry(
        id,
        SERVICE,
        ("127.0.0.1", 1),
        data_centre,
        slots=slots,
        cold_left_s=cold_left_s,
    )


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
        self.directory = make_directory(())
        self.table = BackendLoadTable(
            self.directory,
            HostGroups(name, data_centre),
            self.timer.now,
            lambda: 0.0,
        )
        for entry in fleet.entries():
            self.directory.set_backend(entry.id, entry)
        self.neighbours = NeighbourTable(name, ReadTimes(BOUND_S))
        times = ServiceTimeModel()
        client = cast(BackendClient, FakeClient(fleet, self))
        self.invariants = Invariants()
        self.rate_limits = RateLimitTracker(fleet.loop.time, sampler)
        self.notices = NoticeTracker(self.table.notices, self.timer.now, sampler)
        self.crash_watch = CrashWatch(
            CrashRegistry(fleet.loop.time),
            client,
            self.timer,
            sampler,
            lambda load, observation: None,
        )
        with mock.patch(
            "crocusward.entryd._hub.NeighbourEndpoint",
            lambda on_message, _: FakeEndpoint(fleet, self, on_message),
        ):
            self.hub = self._make_hub(fleet, incarnation, rng, sampler)
        self.endpoint = self.hub._endpoint
        self.selector = BackendSelector(
            self.directory, self.table, times, REGIONS[data_centre], rng
        )
        self.table.set_cold_bounds(BOUNDS.cold_rate_factor, BOUNDS.cold_burst)
        self.slot_finder = SlotFinder(
            self.timer,
            self.directory,
            self.table,
            self.selector,
            self.hub,
            sampler,
            LoadProber(
                self.timer,
                self.directory,
                times,
                client,
                sampler,
                self.rate_limits,
                self.notices,
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
            self.notices,
            self.crash_watch,
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
            NeighbourTable(self.name, ReadTimes(BOUND_S)),
            sampler,
            lambda: {"servers": TablePosition(version=1)},
            lambda: 0.0,
            lambda: False,
            lambda service: self.relay.dispatch_queued(service),
            lambda: None,
            lambda *request: self.slot_offers.offer(*request),
            lambda key: self.slot_offers.release_offer(key),
            lambda *request: self.slot_offers.issue_permit(*request),
            lambda host: None,
            self.rate_limits,
            self.crash_watch,
            fleet.loop.time,
        )

    async def thaw(self):
        """Wait while this host is frozen."""
        while (left_s := self.frozen_until_s - self._loop.time()) > 0.0:
            await asyncio.sleep(left_s)
