"""Compares routing policies on a fake fleet in virtual time.

14 routers send to 24 fake servers with two slots each and a FIFO queue. Other load
slows some of the servers 2 to 5 times and moves every second or so. Arrivals are
Poisson, at a share of the capacity that is left.

    python -m crocusward.devtools.policy_experiment --seeds 5
"""

import argparse
import asyncio
import random
import statistics
from collections import deque

from ..errors import Refusal
from ..invariants import Invariants
from ..limits import HostCounter
from ..model import Backend, Record, Service
from ..peer import BackendCold, Message, SlowStartAllowance, SlowStartReport
from ..routing import ExchangeKind, ExchangeResult, Router, RouteRequest, policies
from ..timing import LoopTimer
from .virtual_loop import VirtualLoop

SERVICE = "materjalid"
REGIONS = ("pohja", "louna")
HOSTS = 14
BACKENDS = 24
SLOTS = 2
MEAN_SERVICE_S = 0.015
SERVICE_SIGMA = 0.6  # of the lognormal service time
SLOWED_SHARE = 0.15  # of the servers at any moment
SLOWED_PERIOD_S = 1.0
HOME_DELAY_S = 0.0005  # one way
CROSS_DELAY_S = 0.012
WARM_UP_S = 2.0
QUANTILES = (0.5, 0.99, 0.999)


class FakeServer:
    """A server with slots, a FIFO queue and a load report that lags behind."""

    def __init__(self, world: "World", index: int) -> None:
        self.world = world
        self.backend = Backend(
            f"b{index}", SERVICE, REGIONS[index % 2], f"dc{index % 4}", "", index
        )
        self.slowness = 1.0
        self.running = 0
        self.waiting: deque[Exchange] = deque()
        self.reported = 0

    def receive(self, exchange: "Exchange") -> None:
        """Run a request or let it wait."""
        if self.running < SLOTS:
            self._run(exchange)
        else:
            self.waiting.append(exchange)

    def _run(self, exchange: "Exchange") -> None:
        self.running += 1
        time_s = self.slowness * self.world.draw_service_s()
        self.world.loop.call_later(time_s, self._done, exchange)

    def _done(self, exchange: "Exchange") -> None:
        self.running -= 1
        if self.waiting:
            self._run(self.waiting.popleft())
        load = self.running + len(self.waiting)
        if self.world.report_age_s > 0.0:
            load = self.reported
        self.world.loop.call_later(exchange.delay_s, exchange.answer, load)

    def refresh_report(self) -> None:
        """Take the load that answers report from now on."""
        self.reported = self.running + len(self.waiting)


class Exchange:
    """One request on its way."""

    def __init__(self, delay_s: float, future: "asyncio.Future[int]") -> None:
        self.delay_s = delay_s
        self.future = future

    def answer(self, load: int) -> None:
        """Deliver the answer."""
        self.future.set_result(load)


class World:
    """The fake fleet under one policy and one seed."""

    def __init__(
        self, policy: str, seed: int, load: float, report_age_s: float
    ) -> None:
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.report_age_s = report_age_s
        self.load = load
        self.times_s: list[float] = []
        self.refused = 0
        self.crossed = 0
        self.cold_turns = 0
        self.servers = [FakeServer(self, index) for index in range(BACKENDS)]
        self.by_id = {server.backend.id: server for server in self.servers}
        self.routers = [self._make_router(policy, index) for index in range(HOSTS)]
        self.tasks: set[asyncio.Task[None]] = set()
        self.ends_s = 0.0

    def draw_service_s(self) -> float:
        """Return the service time of a request on an undisturbed server."""
        mu = -SERVICE_SIGMA * SERVICE_SIGMA / 2.0
        return MEAN_SERVICE_S * self.rng.lognormvariate(mu, SERVICE_SIGMA)

    def run(self, duration_s: float) -> None:
        """Run for a while in virtual time."""
        self.ends_s = WARM_UP_S + duration_s
        for server in self.servers:
            self._disturb(server)
        if self.report_age_s > 0.0:
            self._refresh_reports()
        for router in self.routers:
            self._arrive(router)
        self.loop.advance(self.ends_s)
        while self.tasks:
            self.loop.run_until_complete(asyncio.wait(set(self.tasks)))
        self.loop.stop()
        self.loop.close()

    def _make_router(self, policy: str, index: int) -> Router:
        hosts = [f"h{number}" for number in range(HOSTS)]
        by_region = {name: hosts[at::2] for at, name in enumerate(REGIONS)}
        region = REGIONS[index % 2]
        share = HostCounter(HOSTS)
        share.update_listed(hosts)
        region_share = HostCounter(HOSTS)
        region_share.update_listed(by_region[region])
        rng = random.Random(self.rng.random())
        router = Router(
            LoopTimer(self.loop, rng),
            rng,
            host=hosts[index],
            region=region,
            policy=policy,
            share=share,
            region_share=region_share,
            invariants=Invariants(),
            broadcast=lambda message: self._broadcast(hosts[index], message),
            send=lambda host, message: None,  # no server here names a rate limit
        )
        router.set_services({SERVICE: Service(SERVICE, slots=SLOTS)})
        router.set_backends([server.backend for server in self.servers], set())
        router.set_region_hosts(by_region)
        warm = tuple(SlowStartAllowance(name, "boot", 255) for name in self.by_id)
        router.on_peer_message("h", SlowStartReport(warm))
        return router

    def _broadcast(self, sender: str, message: Message) -> None:
        self.cold_turns += isinstance(message, BackendCold)
        for index, router in enumerate(self.routers):
            if f"h{index}" != sender and isinstance(
                message, BackendCold | SlowStartReport
            ):
                self.loop.call_later(
                    CROSS_DELAY_S, router.on_peer_message, sender, message
                )

    def _disturb(self, server: FakeServer) -> None:
        slowed = self.rng.random() < SLOWED_SHARE
        server.slowness = self.rng.uniform(2.0, 5.0) if slowed else 1.0
        pause_s = SLOWED_PERIOD_S * self.rng.uniform(0.5, 1.5)
        if self.loop.time() < self.ends_s:
            self.loop.call_later(pause_s, self._disturb, server)

    def _refresh_reports(self) -> None:
        for server in self.servers:
            server.refresh_report()
        if self.loop.time() < self.ends_s:
            self.loop.call_later(self.report_age_s, self._refresh_reports)

    def _arrive(self, router: Router) -> None:
        if self.loop.time() >= self.ends_s:
            return
        task = self.loop.create_task(self._serve(router))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        pause_s = self.rng.expovariate(self._host_rate())
        self.loop.call_later(pause_s, self._arrive, router)

    def _host_rate(self) -> float:
        slowed_speed = 1.0 - SLOWED_SHARE + SLOWED_SHARE * MEAN_SLOWED_SPEED
        capacity = BACKENDS * SLOTS * slowed_speed / MEAN_SERVICE_S
        return self.load * capacity / HOSTS

    async def _serve(self, router: Router) -> None:
        began_s = self.loop.time()
        req = RouteRequest(SERVICE, "c", "c", deadline_s=began_s + 10.0)
        try:
            reservation = await router.acquire(req)
        except Refusal:
            self.refused += 1
            return
        router.start(reservation)
        crosses = reservation.backend.region != router._region
        self.crossed += crosses
        delay_s = CROSS_DELAY_S if crosses else HOME_DELAY_S
        sent_s = self.loop.time()
        exchange = Exchange(delay_s, self.loop.create_future())
        server = self.by_id[reservation.backend.id]
        self.loop.call_later(delay_s, server.receive, exchange)
        load = await exchange.future
        now_s = self.loop.time()
        router.finish(
            reservation,
            ExchangeResult(ExchangeKind.OK, now_s - sent_s, load=load, boot="boot"),
        )
        if began_s >= WARM_UP_S:
            self.times_s.append(now_s - began_s)


# Mean of 1/x for x uniform from 2 to 5.
MEAN_SLOWED_SPEED = 0.3054


class PolicyResult(Record):
    """Latency of one policy and seed.

    Attributes:
        quantiles_ms: Latency at each of ``QUANTILES``, in milliseconds.
        refused: Number of refused requests.
        crossed: Number of requests that crossed the link.
        cold_turns: Number of findings that a server turned cold; none did.
        count: Number of requests measured.
    """

    __slots__ = ("quantiles_ms", "refused", "crossed", "cold_turns", "count")

    def __init__(self, world: World) -> None:
        times_s = sorted(world.times_s)
        self.count = len(times_s)
        self.quantiles_ms = [
            1000.0 * times_s[int(share * self.count)] for share in QUANTILES
        ]
        self.refused = world.refused
        self.crossed = world.crossed
        self.cold_turns = world.cold_turns


def measure(
    policy: str, seed: int, *, load: float, report_age_s: float, duration_s: float
) -> PolicyResult:
    """Run one policy with one seed."""
    world = World(policy, seed, load, report_age_s)
    world.run(duration_s)
    return PolicyResult(world)


def main() -> None:
    """Print a table of the policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--duration", type=float, default=10.0, help="seconds")
    parser.add_argument("--load", type=float, default=0.9)
    parser.add_argument(
        "--report-age", type=float, default=0.0, help="period of load reports, s"
    )
    parser.add_argument("--policy", action="append", choices=policies.names())
    args = parser.parse_args()
    print(
        "policy        p50 ms  p99 ms (lowest-highest)  p99.9 ms  crossed  refused cold"
    )
    for policy in args.policy or policies.names():
        results = [
            measure(
                policy,
                seed,
                load=args.load,
                report_age_s=args.report_age,
                duration_s=args.duration,
            )
            for seed in range(1, args.seeds + 1)
        ]
        print(_row(policy, results))


def _row(policy: str, results: list[PolicyResult]) -> str:
    columns = [[item.quantiles_ms[at] for item in results] for at in range(3)]
    p50, p99, p999 = (statistics.median(column) for column in columns)
    spread = f"({min(columns[1]):.0f}-{max(columns[1]):.0f})"
    count = sum(item.count for item in results)
    crossed = sum(item.crossed for item in results) / count
    refused = sum(item.refused for item in results)
    cold = sum(item.cold_turns for item in results)
    return (
        f"{policy:<12}  {p50:6.1f}  {p99:6.0f} {spread:<17}  {p999:8.0f}"
        f"  {crossed:6.1%}  {refused:7} {cold:4}"
    )


if __name__ == "__main__":
    main()
