"""Processor time and latency of the request path of one real daemon."""

import asyncio
import itertools
import random
import statistics
from collections.abc import Callable

from ...errors import CrocusError
from ._case import Case, make_contract
from ._daemons import DaemonView
from ._fit import fit_line, spread_of
from ._requests import RequestLoad, Round, Target

RATES = (50.0, 100.0, 200.0, 400.0)  # requests per second
WARM_UP_RATE = 100.0
WARM_UP_WINDOWS = 2.0
QUICK_RATES = (100.0, 400.0)
ROUNDS = 3
ROUND_SHARE = 0.7  # of a window of the case
WORKERS = 24
LATENCY_RATE = 100.0
KEYED_RATE = 150.0
BACKEND_PATH = "/status"
MAX_FAILED_SHARE = 0.02

MakeKey = Callable[[], str]


class PathMeasurement:
    """Measures the first daemon of a deployment.

    Args:
        case: The case.
        daemon: The daemon.
        backends: Addresses and ports of the servers of the service in its region.
    """

    __slots__ = ("_case", "_daemon", "_backends", "_load", "_rounds", "_keys")

    def __init__(
        self, case: Case, daemon: DaemonView, backends: list[tuple[str, int]]
    ) -> None:
        self._case = case
        self._daemon = daemon
        self._backends = backends
        self._load = RequestLoad(random.Random(7), daemon.clock)
        self._rounds = 1 if case.quick else ROUNDS
        self._keys = itertools.count()

    async def run(self) -> dict[str, object]:
        """Return slopes and medians."""
        window_s = ROUND_SHARE * self._case.window_s
        target = self._target()
        await self._load.at_rate([target], WARM_UP_RATE, WARM_UP_WINDOWS * window_s)
        table: dict[str, object] = {}
        table["idempotent"] = await self._cpu_slope(target, window_s)
        table["saturated"] = await self._saturated(target, window_s)
        table["latency"] = await self._latency(target, window_s)
        table["issued_key"] = await self._issued(window_s)
        table["caller_key"] = await self._caller_keys(window_s)
        self._load.close()
        return table

    def _target(self, method: str = "GET", key: MakeKey = str) -> Target:
        services = self._case.service_names()
        contract = make_contract(0, services).name
        entry = self._daemon.entry
        path = f"/{services[0]}{BACKEND_PATH}"
        port = self._daemon.plan.caller_port
        return Target(entry.address, port, path, contract, method, key)

    async def _cpu_slope(self, target: Target, window_s: float) -> dict[str, object]:
        points = []
        rounds = []
        for _ in range(self._rounds):
            for rate in QUICK_RATES if self._case.quick else RATES:
                result = _checked(await self._load.at_rate([target], rate, window_s))
                points.append((result.rate, result.cpu_share))
                rounds.append(result)
        table = fit_line(points).as_table()
        at_top = [r.cpu_s / r.answered for r in rounds if r.rate > RATES[-1] / 2]
        table["cpu_s_per_request_at_top_rate"] = spread_of(at_top).as_list()
        return table

    async def _saturated(self, target: Target, window_s: float) -> dict[str, object]:
        rounds = [
            _checked(await self._load.saturate(target, WORKERS, window_s))
            for _ in range(self._rounds)
        ]
        # What the daemon could answer with a whole core of its own.
        per_core = [r.answered / r.cpu_s for r in rounds]
        client = [r.client_cpu_s / r.elapsed_s for r in rounds]
        return {
            "requests_s": spread_of([r.rate for r in rounds]).as_list(),
            "requests_per_core_s": spread_of(per_core).as_list(),
            "daemon_cpu_share": spread_of([r.cpu_share for r in rounds]).as_list(),
            "client_cpu_share": spread_of(client).as_list(),
        }

    async def _latency(self, target: Target, window_s: float) -> dict[str, object]:
        """Compare with the same load straight to the backend servers in turn."""
        servers = [Target(*place, BACKEND_PATH) for place in self._backends]
        added: dict[float, list[float]] = {50.0: [], 99.0: []}
        for _ in range(self._rounds):
            direct = await self._load.at_rate(servers, LATENCY_RATE, window_s)
            through = await self._load.at_rate([target], LATENCY_RATE, window_s)
            for percentile, values in added.items():
                low = direct.percentile_ms(percentile)
                values.append(through.percentile_ms(percentile) - low)
        return {
            "added_p50_ms": spread_of(added[50.0]).as_list(),
            "added_p99_ms": spread_of(added[99.0]).as_list(),
        }

    async def _issued(self, window_s: float) -> dict[str, object]:
        count = int(KEYED_RATE * window_s * (self._rounds + 1))
        keys = iter(await self._load.issue_keys(self._target(), count))
        return await self._keyed(lambda: next(keys), window_s)

    async def _caller_keys(self, window_s: float) -> dict[str, object]:
        def make_key() -> str:
            return f"order-{next(self._keys)}"

        return await self._keyed(make_key, window_s)

    async def _keyed(self, make_key: MakeKey, window_s: float) -> dict[str, object]:
        target = self._target("POST", make_key)
        rounds = [
            _checked(await self._load.at_rate([target], KEYED_RATE, window_s))
            for _ in range(self._rounds)
        ]
        cost = [r.cpu_s / r.answered for r in rounds]
        return {
            "rate": KEYED_RATE,
            "cpu_s_per_request": spread_of(cost).as_list(),
            "p50_ms": statistics.median(r.percentile_ms(50.0) for r in rounds),
        }


def _checked(result: Round) -> Round:
    """Return a round in which nearly all requests were answered.

    Raises:
        CrocusError: Too many failed, so its cost says nothing.
    """
    total = result.answered + result.failed
    if not total or result.failed > MAX_FAILED_SHARE * total:
        raise CrocusError(f"{result.failed} of {total} failed", code="load_failed")
    return result


def measure_path(
    case: Case, daemon: DaemonView, backends: list[tuple[str, int]]
) -> dict[str, object]:
    """Measure the request path in a loop of its own."""

    async def run() -> dict[str, object]:
        return await PathMeasurement(case, daemon, backends).run()

    return asyncio.run(run())
