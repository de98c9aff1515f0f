"""Bytes and processor time of a configuration change against the contracts."""

import asyncio
import time

from ...config import Change as ConfigChange
from ...config import (
    ChangeDraft,
    PutContract,
    PutCustomer,
    PutDataCentre,
    PutService,
    Replica,
    Snapshot,
    decode_row,
    decode_snapshot,
    encode_row,
    encode_snapshot,
    validate_draft,
)
from ...invariants import Invariants
from ...model import FleetConfig
from ...peer import ChangeBatch, encode
from ._case import make_contract, make_topology
from ._fit import fit_line, spread_of
from ._memory import SERVICES, contract_row, fill_replica
from ._routing import make_backends, make_router

CONTRACTS = (62, 250, 500, 1_000)
BACKENDS = 540
FLEET_SERVICES = 62
CHANGES = 30
ROUNDS = 3


class ChangeCost:
    """Cost of a change at one number of contracts."""

    __slots__ = ("apply_s", "commit_s", "row_bytes", "message_bytes", "snapshot")

    def __init__(self, contracts: int) -> None:
        replica = _replica(contracts)
        self.apply_s = _apply_s(replica, contracts)
        self.commit_s = _commit_s(replica, contracts)
        data = contract_row(replica, 0)
        self.row_bytes = float(len(data))
        message = ChangeBatch(replica.version + 1, (data,))
        self.message_bytes = float(len(encode(message)))
        self.snapshot = _snapshot_cost(replica.snapshot())


def measure_changes() -> dict[str, object]:
    """Return fits against the number of contracts."""
    costs = [(float(n), ChangeCost(n)) for n in CONTRACTS]
    return {
        "apply_s": fit_line([(n, c.apply_s) for n, c in costs]).as_table(),
        "commit_s": fit_line([(n, c.commit_s) for n, c in costs]).as_table(),
        "row_bytes": fit_line([(n, c.row_bytes) for n, c in costs]).as_table(),
        "message_bytes": fit_line([(n, c.message_bytes) for n, c in costs]).as_table(),
        "snapshot_bytes": fit_line([(n, c.snapshot[0]) for n, c in costs]).as_table(),
        "snapshot_load_s": fit_line([(n, c.snapshot[1]) for n, c in costs]).as_table(),
    }


def _replica(contracts: int) -> Replica:
    replica = Replica(Invariants())
    centres, services, customer = make_topology(SERVICES)
    operations = [
        *(PutDataCentre(item) for item in centres),
        *(PutService(item) for item in services),
        PutCustomer(customer),
    ]
    change = ConfigChange(1, "topology", 0, "operator", 0, tuple(operations))
    replica.receive_row(encode_row(change, replica.digest))
    fill_replica(replica, contracts)
    return replica


def _apply_s(replica: Replica, contracts: int) -> float:
    """Return the time in which a host with 540 servers takes a row over."""
    loop = asyncio.new_event_loop()
    names = [f"service-{n:02d}" for n in range(FLEET_SERVICES)]
    router = make_router(loop, make_backends(BACKENDS, FLEET_SERVICES), names)
    services = {name: item for name, item in router.table.services.items()}

    def changed(old: FleetConfig, new: FleetConfig) -> None:
        # As the daemon does: services and states go to the router each time.
        router.set_services(listed)
        router.set_out_of_service(set(), set())

    listed = {name: make_topology([name])[1][0] for name in services}
    sub = replica.subscribe(changed)
    rounds = []
    for _ in range(ROUNDS):
        total_s = 0.0
        for number in range(CHANGES):
            data = contract_row(replica, number % contracts)
            start_s = time.process_time()
            replica.receive_row(decode_row(data))
            total_s += time.process_time() - start_s
        rounds.append(total_s / CHANGES)
    sub.cancel()
    loop.close()
    return spread_of(rounds).median


def _commit_s(replica: Replica, contracts: int) -> float:
    """Return the time in which the committing host checks and encodes a change."""
    rounds = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        for number in range(CHANGES):
            operation = PutContract(make_contract(number % contracts, SERVICES, 50.0))
            base = replica.version
            draft = ChangeDraft(f"c{number}", base, "operator", (operation,))
            validate_draft(replica.config, draft)
            contract_row(replica, number % contracts)
        rounds.append((time.process_time() - start_s) / CHANGES)
    return spread_of(rounds).median


def _snapshot_cost(snapshot: Snapshot) -> tuple[float, float]:
    data = encode_snapshot(snapshot)
    rounds = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        decode_snapshot(data)
        rounds.append(time.process_time() - start_s)
    return float(len(data)), spread_of(rounds).median
