"""What is measured on one running deployment, one class for each kind."""

import asyncio
import random
import statistics
import time

from ...documents import (
    encode_contract,
    encode_customer,
    encode_data_centre,
    encode_service,
)
from ...errors import CrocusError
from ._case import Case, contract_count, make_contract, make_topology
from ._daemons import (
    PEERS,
    RECEIVED_BYTES,
    SENT_BYTES,
    VERSION,
    DaemonView,
    Sample,
)
from ._fit import spread_of
from ._requests import RequestLoad, Target

LINK_LIMIT_S = 25.0
SETTLE_WINDOWS = 1.0
POLL_S = 0.1
CONTRACTS_PER_CHANGE = 50  # keeps a change under the row limit of 64 KiB
COMMIT_ATTEMPTS = 10
WARMING_RATE = 800.0  # requests per second of all daemons together
WARMING_WINDOWS = 2.5
TAIL_S = 6.0  # most ramps end, and leave the periodic reports 3 s later
TRAFFIC_RATE = 15.0  # requests per second and daemon; makes demand entries change
CHANGES_PER_ROUND = 2
CHANGE_PERIOD_S = 0.25


class Setup:
    """Commits the configuration of a case.

    Args:
        case: The case.
        daemons: Running daemons; the first one commits.
    """

    __slots__ = ("_case", "_daemons", "_commits", "version")

    def __init__(self, case: Case, daemons: list[DaemonView]) -> None:
        self._case = case
        self._daemons = daemons
        self._commits = 0
        self.version = 0

    def run(self) -> None:
        """Wait until all daemons are linked, then commit everything.

        Raises:
            CrocusError: The deployment does not get ready in time.
        """
        self._wait_for(PEERS, len(self._daemons) - 1)
        services = self._case.service_names()
        centres, listed, customer = make_topology(services)
        operations: list[dict[str, object]] = [
            {"kind": "put_data_centre", "data_centre": encode_data_centre(item)}
            for item in centres
        ]
        operations += [
            {"kind": "put_service", "service": encode_service(item)} for item in listed
        ]
        operations.append(
            {"kind": "put_customer", "customer": encode_customer(customer)}
        )
        self.commit(operations)
        numbers = range(contract_count(self._case))
        contracts = [put_contract(n, services) for n in numbers]
        for first in range(0, len(contracts), CONTRACTS_PER_CHANGE):
            self.commit(contracts[first : first + CONTRACTS_PER_CHANGE])
        self._wait_for(VERSION, self.version)
        time.sleep(SETTLE_WINDOWS * self._case.window_s)

    def commit(self, operations: list[dict[str, object]]) -> None:
        """Commit one change through the first daemon.

        Raises:
            CrocusError: It was refused repeatedly.
        """
        self._commits += 1
        table = {
            "change_id": f"capacity-{self._commits}",
            "base": self.version,
            # The rates of the contracts are above what the stand-ins can carry.
            "force": True,
            "operations": operations,
        }
        for attempt in range(COMMIT_ATTEMPTS):
            try:
                self.version = self._daemons[0].post("/v1/changes", table)["version"]
                return
            except CrocusError:
                if attempt + 1 == COMMIT_ATTEMPTS:
                    raise
                time.sleep(0.5)

    def wait_in_force(self) -> float:
        """Wait for the last change everywhere and return how long it took, in s."""
        start_s = time.monotonic()
        self._wait_for(VERSION, self.version, pause_s=0.0)
        return time.monotonic() - start_s

    def _wait_for(self, name: str, value: int, pause_s: float = POLL_S) -> None:
        end_s = time.monotonic() + LINK_LIMIT_S
        for daemon in self._daemons:
            while _read(daemon, name) < value:
                if time.monotonic() > end_s:
                    host = daemon.entry.name
                    raise CrocusError(f"{host}: {name} < {value}", code="not_ready")
                time.sleep(pause_s)


def put_contract(number: int, services: list[str]) -> dict[str, object]:
    """Return an operation of the administration API that puts a contract."""
    contract = make_contract(number, services)
    return {"kind": "put_contract", "contract": encode_contract(contract)}


def _read(daemon: DaemonView, name: str) -> float:
    try:
        return daemon.sample().values.get(name, -1.0)
    except OSError:
        return -1.0


class Watch:
    """Measures all daemons over one round after another."""

    __slots__ = ("_daemons", "cpu", "sent", "received")

    def __init__(self, daemons: list[DaemonView]) -> None:
        self._daemons = daemons
        self.cpu: list[float] = []
        self.sent: list[float] = []
        self.received: list[float] = []

    async def round(self, duration_s: float) -> None:
        """Measure one round; each value is the mean of all daemons.

        The metrics page is read outside of the time whose processor time counts.
        """
        first = [daemon.sample() for daemon in self._daemons]
        cpu = [daemon.clock.read_s() for daemon in self._daemons]
        start_s = time.monotonic()
        await asyncio.sleep(duration_s)
        used = [d.clock.read_s() - s for d, s in zip(self._daemons, cpu, strict=True)]
        self.cpu.append(statistics.fmean(used) / (time.monotonic() - start_s))
        last = [daemon.sample() for daemon in self._daemons]
        self.sent.append(_mean_rate(first, last, SENT_BYTES))
        self.received.append(_mean_rate(first, last, RECEIVED_BYTES))

    def report(self) -> dict[str, object]:
        """Return medians with extremes."""
        both = [a + b for a, b in zip(self.sent, self.received, strict=True)]
        return {
            "cpu_share": spread_of(self.cpu).as_list(),
            "sent_bytes_s": spread_of(self.sent).as_list(),
            "received_bytes_s": spread_of(self.received).as_list(),
            "control_bytes_s": spread_of(both).as_list(),
        }


def _mean_rate(first: list[Sample], last: list[Sample], name: str) -> float:
    pairs = zip(first, last, strict=True)
    return statistics.fmean(b.rate_since(a, name) for a, b in pairs)


async def measure_idle(case: Case, daemons: list[DaemonView]) -> dict[str, object]:
    """Measure daemons that serve no requests."""
    watch = Watch(daemons)
    for _ in range(case.rounds):
        await watch.round(case.window_s)
    table = watch.report()
    rss = [float(daemon.rss_bytes()) for daemon in daemons]
    table["rss_bytes"] = spread_of(rss).as_list()
    return table


class Traffic:
    """Sends requests to every daemon at a low rate.

    Args:
        case: The case.
        daemons: Running daemons.
    """

    __slots__ = ("_case", "_daemons", "_loads", "_targets")

    def __init__(self, case: Case, daemons: list[DaemonView]) -> None:
        rng = random.Random(1)
        self._case = case
        self._daemons = daemons
        self._loads = [RequestLoad(rng, daemon.clock) for daemon in daemons]
        self._targets = [_all_contracts(case, daemon) for daemon in daemons]

    async def measure(
        self, rate: float, rounds: int, window_s: float
    ) -> dict[str, object]:
        """Measure control traffic at a rate of requests for each daemon."""
        watch = Watch(self._daemons)
        total_s = (window_s + 0.2) * rounds
        tasks = [
            asyncio.ensure_future(load.at_rate(target, rate, total_s))
            for load, target in zip(self._loads, self._targets, strict=True)
        ]
        for _ in range(rounds):
            await watch.round(window_s)
        results = await asyncio.gather(*tasks)
        table = watch.report()
        table["answered"] = sum(r.answered for r in results)
        table["failed"] = sum(r.failed for r in results)
        return table

    def close(self) -> None:
        """Close all connections."""
        for load in self._loads:
            load.close()


async def measure_traffic(case: Case, daemons: list[DaemonView]) -> dict[str, object]:
    """Measure daemons while servers warm up, then with a few requests."""
    traffic = Traffic(case, daemons)
    warming_rate = WARMING_RATE / len(daemons)
    warming_s = WARMING_WINDOWS * case.window_s
    warming = await traffic.measure(warming_rate, 1, warming_s)
    if not case.quick:
        await traffic.measure(warming_rate, 1, TAIL_S)
    steady = await traffic.measure(TRAFFIC_RATE, case.rounds, case.window_s)
    traffic.close()
    return {"warming": warming, "steady": steady}


def _all_contracts(case: Case, daemon: DaemonView) -> list[Target]:
    services = case.service_names()
    return [
        Target(
            daemon.entry.address,
            daemon.plan.caller_port,
            f"/{services[n % len(services)]}/status",
            make_contract(n, services).name,
        )
        for n in range(contract_count(case))
    ]


async def measure_changes(
    case: Case, daemons: list[DaemonView], setup: Setup, idle_bytes_s: float
) -> dict[str, object]:
    """Measure bytes and processor time of changes above those of an idle daemon."""
    first = [daemon.sample() for daemon in daemons]
    in_force_s = []
    count = CHANGES_PER_ROUND * case.rounds
    for number in range(count):
        setup.commit([put_contract(number, case.service_names())])
        in_force_s.append(setup.wait_in_force())
        await asyncio.sleep(CHANGE_PERIOD_S)
    last = [daemon.sample() for daemon in daemons]
    pairs = zip(first, last, strict=True)
    extra = [_extra_bytes(a, b, idle_bytes_s) / count for a, b in pairs]
    return {
        "changes": count,
        "bytes_per_change": spread_of(extra).as_list(),
        "in_force_s": spread_of(in_force_s).as_list(),
    }


def _extra_bytes(first: Sample, last: Sample, idle_bytes_s: float) -> float:
    """Return the bytes of one daemon above those of an idle one."""
    total = last.rate_since(first, SENT_BYTES) + last.rate_since(first, RECEIVED_BYTES)
    return (total - idle_bytes_s) * (last.at_s - first.at_s)
