"""Routers on a virtual loop with the membership that tests need."""

import asyncio
import random
from collections import Counter, defaultdict

from crocusward.devtools.virtual_loop import VirtualLoop
from crocusward.invariants import Invariants
from crocusward.limits import HostCounter
from crocusward.model import Backend, Service
from crocusward.peer import WarmthEntry, WarmthReport
from crocusward.routing import ExchangeKind, ExchangeResult, Router, RouteRequest
from crocusward.timing import LoopTimer

SERVICE = "materjalid"
REGIONS = ("pohja", "louna")
CENTRES = {"pohja": ("tallinn-a", "rakvere-b"), "louna": ("tartu-a", "voru-b")}


def make_backends(count):
    """Return servers spread over regions and data centres in turn."""
    backends = []
    for index in range(count):
        region = REGIONS[index % 2]
        centre = CENTRES[region][index // 2 % 2]
        backends.append(
            Backend(f"b{index}", SERVICE, region, centre, "127.0.0.1", 8000 + index)
        )
    return backends


def request(now_s, **fields):
    """Return a request with defaults."""
    fields.setdefault("deadline_s", now_s + 10.0)
    fields.setdefault("customer", "kalev")
    return RouteRequest(SERVICE, "kalev-main", fields.pop("customer"), **fields)


class Fleet:
    """Several routers that hear each other, with a delay, unless cut off."""

    def __init__(self, hosts=1, backends=2, policy="least_wait", delay_s=0.001):
        self.loop = VirtualLoop()
        self.timer = LoopTimer(self.loop, random.Random(1))
        self.delay_s = delay_s
        self.names = [f"h{index}" for index in range(hosts)]
        self.cut = set()
        self.busy = defaultdict(list)
        self.most_busy = Counter()
        self.slots = defaultdict(lambda: asyncio.Semaphore(2))
        self.slow = {}
        self.boots = {}
        self.done = []
        self.messages = []
        self.backends = make_backends(backends)
        self.invariants = {}
        self.shares = {}
        self.routers = {}
        for index, name in enumerate(self.names):
            self.add(name, REGIONS[index % 2], policy)
        self.spread_hosts()
        self.timer.every(1.0, self.report)

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
            faults=faults,
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

    def spread_hosts(self, without=(), to=None):
        """Give all routers, or those named, the same list of hosts."""
        by_region = self.hosts_by_region(without)
        for name in to or self.routers:
            share, region_share, region = self.shares[name]
            share.update_listed(sum(by_region.values(), []))
            region_share.update_listed(by_region[region])
            self.routers[name].set_region_hosts(by_region)

    def broadcast(self, sender, message):
        """Deliver a message to all other routers."""
        self.messages.append((sender, message))
        for name, router in self.routers.items():
            if name != sender and not {name, sender} & self.cut:
                self.timer.call_later(
                    self.delay_s,
                    lambda router=router: router.on_peer_message(sender, message),
                )

    def warm(self, names=None):
        """Let every router hear that every server is warm."""
        entries = tuple(WarmthEntry(b.id, "boot-1", 255) for b in self.backends)
        for name in names or self.routers:
            self.routers[name].on_peer_message("other", WarmthReport(entries))

    def report(self):
        """Let each router send its periodic report, as the daemon does."""
        for name, router in list(self.routers.items()):
            self.broadcast(name, router.warmth_report(False))

    async def serve(self, name, service_s=0.02, boot="boot-1", **fields):
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
        self.busy[backend].append(name)
        self.most_busy[backend] = max(self.most_busy[backend], len(self.busy[backend]))
        result = ExchangeResult(ExchangeKind.CANCELLED)
        try:
            async with self.slots[backend]:
                await self.timer.sleep(self.slow.get(backend, 1.0) * service_s)
            boot = self.boots.get(backend, boot)
            load = len(self.busy[backend]) - 1
            result = ok(self.timer.now() - sent_s, load, boot)
            self.done.append(backend)
        finally:
            self.busy[backend].remove(name)
            router.finish(reservation, result)

    def offer(self, rate, duration_s, settle=True, **fields):
        """Send requests to all routers in turn for a while; return the errors.

        Requests still under way at the end are awaited, or cancelled if ``settle``
        is False.
        """

        async def main():
            tasks = []
            for index in range(int(rate * duration_s)):
                names = list(self.routers)
                name = names[index % len(names)]
                tasks.append(self.loop.create_task(self.serve(name, **fields)))
                await self.timer.sleep(1.0 / rate)
            for task in tasks:
                if not settle:
                    task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            return [item for item in results if isinstance(item, Exception)]

        return self.run(main())

    def run(self, coro):
        """Run a coroutine to its end in virtual time."""
        return self.loop.run_until_complete(coro)

    def violations(self):
        """Return the kept violations of all routers."""
        return [item for inv in self.invariants.values() for item in inv.kept]


def ok(service_time_s=0.02, load=1, boot="boot-1", **fields):
    """Return the result of a good answer."""
    return ExchangeResult(
        ExchangeKind.OK, service_time_s, load=load, boot=boot, **fields
    )
