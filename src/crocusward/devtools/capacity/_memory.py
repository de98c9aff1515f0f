"""Memory of one contract, one backend server and one idempotency key."""

import asyncio
import gc
import random
import tracemalloc
from collections.abc import Callable

from ...config import Change, PutContract, Replica, decode_row, encode_row
from ...invariants import Invariants
from ...ledger import Ledger, SendGuard
from ...model import Call, Reply
from ...timing import LoopTimer
from ..virtual_loop import VirtualLoop
from ._case import make_contract
from ._fit import fit_line
from ._routing import make_backends, make_router

CONTRACTS = (100, 300, 500)  # rows of the log in memory are bounded at 512
BACKENDS = (32, 270, 540)
KEYS = (1_000, 3_000, 6_000)
SERVICES = ["service-00", "service-01"]
ANSWER_BODY_BYTES = 200
HEADERS = [(b"content-type", b"application/json")]


def measure_memory() -> dict[str, object]:
    """Return fits of allocated bytes against numbers of objects."""
    return {
        "bytes_per_contract": _fit(CONTRACTS, _hold_contracts),
        "bytes_per_backend": _fit(BACKENDS, _hold_backends),
        "bytes_per_key": _fit(KEYS, lambda n: _hold_keys(n, keep_answer=False)),
        "bytes_per_key_with_answer": _fit(
            KEYS, lambda n: _hold_keys(n, keep_answer=True)
        ),
    }


def _fit(sizes: tuple[int, ...], hold: Callable[[int], object]) -> dict[str, object]:
    return fit_line([(float(n), _allocated(hold, n)) for n in sizes]).as_table()


def _allocated(hold: Callable[[int], object], size: int) -> float:
    """Return the bytes that stay allocated while the result of ``hold`` lives."""
    gc.collect()
    tracemalloc.start()
    held = hold(size)
    gc.collect()
    current, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return float(current)


def fill_replica(replica: Replica, contracts: int) -> None:
    """Put contracts into a replica, each by a change of its own."""
    for number in range(contracts):
        offer_contract(replica, number)


def offer_contract(replica: Replica, number: int) -> int:
    """Apply a change of one contract and return the size of its row, in bytes."""
    data = contract_row(replica, number)
    replica.receive_row(decode_row(data))
    return len(data)


def contract_row(replica: Replica, number: int) -> bytes:
    """Return the row of a change of one contract."""
    base = replica.version
    operation = PutContract(make_contract(number, SERVICES, 100.0 + base))
    change_id = f"{base:016x}"
    change = Change(base + 1, change_id, base, "operator", base, (operation,))
    return encode_row(change, replica.digest).data


def _hold_contracts(count: int) -> object:
    replica = Replica(Invariants())
    fill_replica(replica, count)
    return replica


def _hold_backends(count: int) -> object:
    loop = asyncio.new_event_loop()
    services = [f"service-{n:02d}" for n in range(62)]
    router = make_router(loop, make_backends(count, 62), services)
    loop.close()
    return router


def _hold_keys(count: int, *, keep_answer: bool) -> object:
    loop = VirtualLoop()
    ledger = Ledger(LoopTimer(loop, random.Random(1)), Invariants())

    async def send(attempt: SendGuard) -> Reply:
        attempt.mark_sent()
        body = bytes(bytearray(ANSWER_BODY_BYTES))
        return Reply("r1", 201, list(HEADERS), body, "b1")

    async def run() -> None:
        for number in range(count):
            key = f"issued-key-of-64-characters-{number:036d}"
            call = Call(f"r{number}", "orders", "service-00", "POST", "/o", key=key)
            await ledger.run(
                call, send, check_first_send=lambda: None, keep_answer=keep_answer
            )

    loop.run_until_complete(run())
    loop.close()
    return ledger
