"""Routers on a virtual event loop, with the membership that tests need."""

import asyncio
import random
from collections import Counter, defaultdict

from crocusward.devtools.virtual_loop import VirtualLoop
from crocusward.invariants import Invariants
from crocusward.limits import HostCounter
from crocusward.model import Backend, BackendAnswer, Service
from crocusward.peer import SlowStartAllowance, SlowStartReport
from crocusward.routing import ExchangeKind, ExchangeResult, Router, RouteRequest
from crocusward.timing import LoopTimer

SERVICE = "materjalid"
REGIONS = ("pohja", "louna")
DATA_CENTRES = {"pohja": ("tallinn-a", "rakvere-b"), "louna": ("tartu-a", "voru-b")}


def make_backends(count):
    """Return servers spread evenly over regions and data centres."""
    backends = []
    for index in range(count):
        region = REGIONS[index % 2]
        data_centre = DATA_CENTRES[region][index // 2 % 2]
        backends.append(
            Backend(
                f"b{index}", SERVICE, region, data_centre, "127.0.0.1", 8000 + index
            )
        )
    return backends


def request(now_s, **fields):
    """Return a request with defaults."""
    fields.setdefault("deadline_s", now_s + 10.0)
    fields.setdefault("customer", "kalev")
    return RouteRequest(SERVICE, "kalev-main", fields.pop("customer"), **fields)


class Fleet:
    """Several routers that exchange messages with a delay unless disconnected."""

    def __init__(self, hosts=1, backends=2, policy="least_wait", delay_s=0.001):
        self.loop = VirtualLoop()
        self.timer = LoopTimer(self.loop, random.Random(1))
        self.delay_s = delay_s
        self.names = [f"h{index}" for index in range(hosts)]
        self.disconnected = set()
        self.hosts_in_flight = defaultdict(list)
        self.max_in_flight = Counter()
        self.slots = defaultdict(lambda: asyncio.Semaphore(2))
        self.slowdown_factors = {}
        self.boots = {}
        self.rate_limits = {}  # named in answers, in requests per second
        self.arrivals = defaultdict(list)
        self.served = []
        self.messages = []
        self.backends = make_backends(backends)
        self.invariants = {}
        self.shares = {}
        self.routers = {}
        for index, name in enumerate(self.names):
            self.add(name, REGIONS[index % 2], policy)
        self.publish_hosts()
        self.timer.every(1.0, self.send_reports)

    def add(self, name, region, policy="least_wait", faults=frozenset()):
        """Add a router and return it."""
        share = HostCounter(max(1, len(self.names)))
        region_share = HostCounter(max(1, len(self.names)))
        self.shares[name] = (share, region_share, region)
        self.invariants[name] = Invariants()
        router = Router(
            self.timer,
            random.Random(name),
            host=name,
            region=region,
            policy=policy,
            share=share,
            region_share=region_share,
            invariants=self.invariants[name],
            broadcast=lambda message: self.broadcast(name, message),
            send=lambda to, message: self.send(name, to, message),
            faults=faults,
            limit_clock=self.timer.now,
        )
        self.routers[name] = router
        router.set_services({SERVICE: Service(SERVICE)})
        router.set_backends(self.backends, set())
        return router

    def hosts_by_region(self, without=()):
        """Return the entry hosts of each region."""
        return {
            region: [
                name
                for name, (_, _, own) in self.shares.items()
                if own == region and name not in without
            ]
            for region in REGIONS
        }

    def publish_hosts(self, without=(), to=None):
        """Give all routers, or those in ``to``, the same list of hosts."""
        by_region = self.hosts_by_region(without)
        for name in to or self.routers:
            share, region_share, region = self.shares[name]
            share.update_listed(sum(by_region.values(), []))
            region_share.update_listed(by_region[region])
            self.routers[name].set_region_hosts(by_region)

    def broadcast(self, sender, message):
        """Deliver a message to all other connected routers."""
        self.messages.append((sender, message))
        for name in self.routers:
            if name != sender:
                self.send(sender, name, message)

    def send(self, sender, to, message):
        """Deliver a message to another router if both are connected."""
        if to in self.routers and not {to, sender} & self.disconnected:
            self.timer.call_later(
                self.delay_s,
                lambda: self.routers[to].on_peer_message(sender, message),
            )

    def report_all_warm(self, names=None):
        """Report to every router, or those in ``names``, that every server is warm."""
        entries = tuple(SlowStartAllowance(b.id, "boot-1", 255) for b in self.backends)
        for name in names or self.routers:
            self.routers[name].on_peer_message("other", SlowStartReport(entries))

    def send_reports(self):
        """Send the periodic report of each router, as the daemon does."""
        for name, router in list(self.routers.items()):
            self.broadcast(name, router.make_slow_start_report(False))

    async def send_request(self, name, service_s=0.02, boot="boot-1", **fields):
        """Send one request through a router to a server with two slots."""
        router = self.routers[name]
        now_s = self.timer.now()
        while True:
            reservation = await router.acquire(request(now_s, **fields))
            if router.start(reservation):
                break
        backend = reservation.backend.id
        is_remote = reservation.backend.region != self.shares[name][2]
        sent_s = self.timer.now()
        await self.timer.sleep(0.024 if is_remote else 0.001)
        self.arrivals[backend].append(self.timer.now())
        self.hosts_in_flight[backend].append(name)
        self.max_in_flight[backend] = max(
            self.max_in_flight[backend], len(self.hosts_in_flight[backend])
        )
        result = ExchangeResult(ExchangeKind.CANCELLED)
        try:
            async with self.slots[backend]:
                await self.timer.sleep(
                    self.slowdown_factors.get(backend, 1.0) * service_s
                )
            boot = self.boots.get(backend, boot)
            load = len(self.hosts_in_flight[backend]) - 1
            answer = BackendAnswer(200, [], b"", load=load, boot=boot)
            answer.rate_limit_per_s = self.rate_limits.get(backend, 0.0)
            result = ok(self.timer.now() - sent_s, load, boot, answer=answer)
            self.served.append(backend)
        finally:
            self.hosts_in_flight[backend].remove(name)
            router.finish(reservation, result)

    def run_load(self, rate, duration_s, should_await_pending=True, **fields):
        """Send requests to all routers in turn at a rate; return the errors.

        Requests that are pending at the end are awaited, or cancelled if
        ``should_await_pending`` is False.
        """

        async def main():
            tasks = []
            for index in range(int(rate * duration_s)):
                names = list(self.routers)
                name = names[index % len(names)]
                tasks.append(self.loop.create_task(self.send_request(name, **fields)))
                await self.timer.sleep(1.0 / rate)
            for task in tasks:
                if not should_await_pending:
                    task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            return [item for item in results if isinstance(item, Exception)]

        return self.run(main())

    def run(self, coro):
        """Run a coroutine to completion in virtual time."""
        return self.loop.run_until_complete(coro)

    def violations(self):
        """Return the recorded violations of all routers."""
        return [
            item for inv in self.invariants.values() for item in inv.first_violations
        ]


def ok(service_time_s=0.02, load=1, boot="boot-1", **fields):
    """Return the result of a successful exchange."""
    return ExchangeResult(
        ExchangeKind.OK, service_time_s, load=load, boot=boot, **fields
    )
