"""Processor time of the router against the number of backend servers."""

import asyncio
import random
import time
from collections.abc import Callable

from ...invariants import Invariants
from ...limits import HostCounter
from ...model import Backend, Service
from ...peer import Heartbeat, SlowStartAllowance, SlowStartReport, encode
from ...peer._offered_rates import MAX_OFFERED_RATES_BYTES
from ...routing import ExchangeKind, ExchangeResult, Router, RouteRequest
from ...timing import LoopTimer
from ._fit import fit_line, spread_of

PER_SERVICE = (4, 16, 64, 256)  # backend servers of one service in the home region
FLEETS = (32, 270, 540)
SERVERS_PER_SERVICE = 9  # 540 servers in 62 services
PICKS = 2_000
CALLS = 30
SLOW_CALLS = 3
REGION_HOSTS = (7, 30, 60)  # daemons of each region
ROUNDS = 5
SERVICE_S = 0.01
WARM = 255


def make_router(
    loop: asyncio.AbstractEventLoop, backends: list[Backend], services: list[str]
) -> Router:
    """Return a router that knows all servers as warm."""
    share, region_share = HostCounter(1), HostCounter(1)
    share.update_listed(["h1"])
    region_share.update_listed(["h1"])
    router = Router(
        LoopTimer(loop, random.Random(1)),
        random.Random(2),
        host="h1",
        region="pohja",
        policy="least_wait",
        share=share,
        region_share=region_share,
        invariants=Invariants(),
        broadcast=lambda message: None,
        send=lambda host, message: None,
    )
    router.set_services({name: Service(name) for name in services})
    router.set_backends(backends, set())
    router.set_region_hosts({"pohja": ["h1"], "louna": []})
    router.on_peer_message("h2", warmth_of(backends))
    return router


def warmth_of(backends: list[Backend]) -> SlowStartReport:
    """Return a report that names all servers as warm."""
    return SlowStartReport(
        tuple(SlowStartAllowance(b.id, "boot-1", WARM) for b in backends)
    )


def make_backends(count: int, services: int, regions: int = 2) -> list[Backend]:
    """Return servers spread over services and regions in turn."""
    places = (("pohja", "tallinn-a"), ("louna", "tartu-a"))
    backends = []
    for number in range(count):
        region, centre = places[number // services % regions]
        service = f"service-{number % services:02d}"
        name = f"{service}-{centre}-{number}"
        port = 8000 + number
        backends.append(Backend(name, service, region, centre, "127.0.0.1", port))
    return backends


def measure_routing() -> dict[str, object]:
    """Return the fits of a pick, a reading of the host list and a probe tick."""
    picks = [(float(n), _pick_s(n)) for n in PER_SERVICE]
    lists: list[tuple[float, float]] = []
    probes: list[tuple[float, float]] = []
    reports: list[tuple[float, float]] = []
    for count in FLEETS:
        backends, router, loop = _fleet(count)
        lists.append((count, _list_s(router, backends)))
        probes.append((count, _time_s(router.next_probe)))
        reports.append((count, float(len(encode(warmth_of(backends))))))
        loop.close()
    hosts = [(float(n), _region_hosts_s(n)) for n in REGION_HOSTS]
    # A link fills the demand of its heartbeats up to a budget of bytes.
    idle_bytes = len(encode(Heartbeat(86_400, 86_400, 100_000, bytes(8), 1000)))
    one = encode(warmth_of(make_backends(1, 1)))
    return {
        "set_region_hosts_s_per_host": fit_line(hosts).as_table(),
        "warmth_report_bytes_of_one": len(one),
        "pick_s_per_backend_of_service": fit_line(picks).as_table(),
        "set_backends_s_per_backend": fit_line(lists).as_table(),
        "next_probe_s_per_backend": fit_line(probes).as_table(),
        "heartbeat_bytes_idle": idle_bytes,
        "heartbeat_bytes_busy": idle_bytes + MAX_OFFERED_RATES_BYTES,
        "warmth_report_bytes_per_backend": fit_line(reports).as_table(),
    }


def _fleet(count: int) -> tuple[list[Backend], Router, asyncio.AbstractEventLoop]:
    loop = asyncio.new_event_loop()
    services = max(2, count // SERVERS_PER_SERVICE)
    backends = make_backends(count, services)
    names = sorted({b.service for b in backends})
    return backends, make_router(loop, backends, names), loop


def _region_hosts_s(count: int) -> float:
    """Return the time that one link up or down takes, with 540 servers listed."""
    _backends, router, loop = _fleet(FLEETS[-1])
    hosts = {
        region: [f"entry-{region}-{n:03d}" for n in range(count)]
        for region in ("pohja", "louna")
    }
    cost_s = _time_s(lambda: router.set_region_hosts(hosts), SLOW_CALLS)
    loop.close()
    return cost_s


def _list_s(router: Router, backends: list[Backend]) -> float:
    return _time_s(lambda: router.set_backends(backends, set()))


def _time_s(call: Callable[[], object], calls: int = CALLS) -> float:
    """Return the processor time of one call, the median of several rounds."""
    rounds = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        for _ in range(calls):
            call()
        rounds.append((time.process_time() - start_s) / calls)
    return spread_of(rounds).median


def _pick_s(count: int) -> float:
    loop = asyncio.new_event_loop()
    backends = make_backends(count, 1, regions=1)
    router = make_router(loop, backends, ["service-00"])
    result = ExchangeResult(ExchangeKind.OK, SERVICE_S, load=1, boot="boot-1")

    async def run() -> None:
        for _ in range(PICKS):
            deadline_s = loop.time() + 10.0
            req = RouteRequest(
                "service-00", "orders", "customer", deadline_s=deadline_s
            )
            reservation = await router.acquire(req)
            router.start(reservation)
            router.finish(reservation, result)

    rounds = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        loop.run_until_complete(run())
        rounds.append((time.process_time() - start_s) / PICKS)
    loop.close()
    return spread_of(rounds).median
