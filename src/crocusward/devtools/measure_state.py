"""Measures what the state logic costs; prints one line for each figure.

Run as ``python -m crocusward.devtools.measure_state``.
"""

import asyncio
import random
import time
import tracemalloc
from collections.abc import Callable

from ..config import (
    Change,
    FreshnessTracker,
    Operation,
    PutContract,
    PutCustomer,
    PutDataCentre,
    PutService,
    Replica,
    SetDataCentreState,
    SetHostState,
    decode_row,
    encode_row,
    encode_snapshot,
)
from ..config._row import ROOT_DIGEST
from ..invariants import Invariants
from ..ledger import KeyIssuer, Ledger, SendGuard
from ..model import (
    Call,
    Contract,
    Customer,
    DataCentre,
    HomeRegions,
    Reply,
    Route,
    Service,
    ServiceState,
)
from ..peer import Heartbeat
from ..timing import LoopTimer

CONTRACTS = 200
SERVICES = 62
BACKENDS = 540
DATA_CENTRES = 6
HOSTS_PER_REGION = 28
ROUNDS = 20_000
REGIONS = ("pohja", "louna")


def mean_us(work: Callable[[int], object], rounds: int = ROUNDS) -> float:
    """Return the mean time of a call, in microseconds."""
    started_s = time.perf_counter()
    for index in range(rounds):
        work(index)
    return (time.perf_counter() - started_s) / rounds * 1e6


def show(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name}: {value:.1f} {unit}")


def make_contract(index: int, rate: float = 1000.0) -> Contract:
    """Return a contract of usual size."""
    services = frozenset(f"service-{(index + n) % SERVICES}" for n in range(3))
    first = min(services)
    home = HomeRegions(frozenset({REGIONS[index % 2]}), frozenset({REGIONS[index % 2]}))
    contract = Contract(
        f"contract-{index}",
        f"customer-{index % 50}",
        services,
        home=home if index % 4 == 0 else None,
        routes=(Route(first, "POST", "/search", True),),
        caller_key_sha256="5a" * 32,
    )
    contract.limits.rate = rate
    return contract


def make_replica() -> Replica:
    """Return a replica with the target size of the configuration.

    Backend servers come from the host list; a third of them is marked out here,
    which is more than operators ever do.
    """
    ops: list[Operation] = [
        PutDataCentre(DataCentre(f"dc-{n}", REGIONS[n % 2]))
        for n in range(DATA_CENTRES)
    ]
    ops += [PutCustomer(Customer(f"customer-{n}", "platform")) for n in range(50)]
    ops += [PutService(Service(f"service-{n}")) for n in range(SERVICES)]
    ops += [
        SetHostState(f"backend-{n}", ServiceState.OUT) for n in range(0, BACKENDS, 3)
    ]
    ops += [PutContract(make_contract(n)) for n in range(CONTRACTS)]
    replica = Replica(Invariants())
    for version, op in enumerate(ops, 1):
        change = Change(version, f"setup-{version}", version - 1, "operator", 0, (op,))
        replica.receive_row(encode_row(change, replica.digest))
    return replica


def measure_keys(timer: LoopTimer) -> None:
    """Measure issuing and checking of keys."""
    issuer = KeyIssuer(b"0123456789abcdef", "pohja-entry-07", "pohja", 2**63, timer)
    key = issuer.issue("contract-7")
    show("issued key length", len(key), "characters")
    show("issue a key", mean_us(lambda _: issuer.issue("contract-7")), "us")
    show("parse a key", mean_us(lambda _: issuer.parse(key, "contract-7")), "us")


async def _send(attempt: SendGuard) -> Reply:
    attempt.mark_sent()
    return Reply("r", 200, [], b"x" * 200, "backend-1")


async def _send_plainly() -> Reply:
    return Reply("r", 200, [], b"x" * 200, "backend-1")


async def measure_ledger(timer: LoopTimer) -> None:
    """Measure the ledger per request and per kept key, with a 300 byte body."""
    ledger = Ledger(timer, Invariants())
    calls = [
        Call("r", "contract-7", "s", "POST", "/p", body=b"b" * 300, key=f"key-{n:032}")
        for n in range(ROUNDS)
    ]
    started_s = time.perf_counter()
    for _ in calls:
        await _send_plainly()
    bare_s = time.perf_counter() - started_s
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for call in calls:
        await ledger.run(call, _send, check_first_send=lambda: None)
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    fresh = Ledger(timer, Invariants())
    started_s = time.perf_counter()
    for call in calls:
        await fresh.run(call, _send, check_first_send=lambda: None)
    first_s = time.perf_counter() - started_s - bare_s
    started_s = time.perf_counter()
    for call in calls:
        await fresh.run(call, _send, check_first_send=lambda: None)
    replay_s = time.perf_counter() - started_s
    show("ledger, first run of a key", first_s / ROUNDS * 1e6, "us")
    show("ledger, replay", replay_s / ROUNDS * 1e6, "us")
    show("ledger, memory per answered key beside key and body", kept / ROUNDS, "bytes")


def measure_changes() -> None:
    """Measure size and cost of changes at the target size."""
    replica = make_replica()
    show("snapshot", len(encode_snapshot(replica.snapshot())), "bytes")
    op = PutContract(make_contract(7))
    version = replica.version + 1
    change = Change(version, "operator-20261204-0001", version - 1, "mari", 0, (op,))
    row = encode_row(change, replica.digest)
    show("change row, a contract", len(row.data), "bytes")
    state = SetDataCentreState("dc-1", ServiceState.OUT)
    small = Change(version, "operator-20261204-0001", version - 1, "mari", 0, (state,))
    show("change row, a data centre", len(encode_row(small, ROOT_DIGEST).data), "bytes")
    show("decode a contract row", mean_us(lambda _: decode_row(row.data)), "us")
    rows = _contract_rows(replica, 2_000)
    cost_us = mean_us(lambda n: replica.receive_rows([rows[n]]), len(rows))
    show("decode and apply a contract row", cost_us, "us")


def _contract_rows(replica: Replica, count: int) -> list[bytes]:
    rows, digest = [], replica.digest
    for offset in range(count):
        base = replica.version + offset
        op = PutContract(make_contract(offset % CONTRACTS, rate=float(offset)))
        row = encode_row(Change(base + 1, f"c{offset}", base, "mari", 0, (op,)), digest)
        digest = row.digest
        rows.append(row.data)
    return rows


def measure_currency(timer: LoopTimer) -> None:
    """Measure the check before each send and the cost of a heartbeat."""
    host = FreshnessTracker(timer, "pohja", "h0")
    names = [f"h{n}" for n in range(HOSTS_PER_REGION)]
    host.set_listed({"pohja": names, "louna": [f"l{n}" for n in range(28)]})
    host.confirmed_by_store(timer.now())
    show("may_serve, confirmed", mean_us(lambda _: host.may_serve()), "us")

    def exchange(index: int) -> None:
        name = names[1 + index % (HOSTS_PER_REGION - 1)]
        seq = 1 + index // (HOSTS_PER_REGION - 1)
        host.heartbeat_sent(name, seq)
        host.heartbeat_received(name, "pohja", Heartbeat(seq, seq, 0, b"", -1))

    show("heartbeat sent and received", mean_us(exchange), "us")
    host = FreshnessTracker(timer, "pohja", "h0")
    host.set_listed({"pohja": names})
    mean_us(exchange, HOSTS_PER_REGION * 2)
    show("may_serve, unconfirmed", mean_us(lambda _: host.may_serve()), "us")


async def main() -> None:
    """Run all measurements."""
    timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
    measure_keys(timer)
    await measure_ledger(timer)
    measure_changes()
    measure_currency(timer)


if __name__ == "__main__":
    asyncio.run(main())
