"""Operators who change the configuration, and the check that changes take force."""

import asyncio
from typing import TYPE_CHECKING

from ...config import ChangeDraft, PutContract, ServingMode, SetDataCentreState
from ...errors import ConflictError, CrocusError
from ...invariants import InvariantName
from ...model import ServiceState
from ._host import SimHost
from ._oracle import IN_FORCE_AFTER_S
from ._shape import CENTRES, REGIONS, make_contracts

if TYPE_CHECKING:
    from ._world import World


class Operators:
    """Commits changes through hosts of a run.

    Args:
        world: The run.
    """

    def __init__(self, world: "World") -> None:
        self._world = world
        self._changes = 0

    def commit(
        self, host: SimHost, operations: tuple, *, base: int | None = None
    ) -> asyncio.Task:
        """Start an operator's change through one host; returns the task."""
        self._changes += 1
        node = host.node
        version = node.config.current().version if base is None else base
        draft = ChangeDraft(f"change-{self._changes}", version, "op", operations)
        return self._world.spawn(self._commit(host, draft))

    def set_centre(self, host: SimHost, centre: str, state: ServiceState) -> None:
        """Take a data centre out or back through one host."""
        if state is ServiceState.IN:
            self._world.oracle.data_centre_in(centre)
        task = self.commit(host, (SetDataCentreState(centre, state),))
        if state is ServiceState.OUT:
            task.add_done_callback(lambda done: self._note_out(done, centre))

    def put_job_contract(
        self, host: SimHost, name: str, base: int | None = None
    ) -> None:
        """Change a contract's limits, which leaves its meaning as it is."""
        rate = 500.0 + self._world.rng.randrange(500)
        contract = make_contracts(rate)[name]
        self.commit(host, (PutContract(contract),), base=base)

    def _note_out(self, task: asyncio.Task, centre: str) -> None:
        if not task.cancelled() and task.exception() is None and task.result():
            self._world.oracle.data_centre_out(centre)

    async def _commit(self, host: SimHost, draft: ChangeDraft) -> int:
        """Commit a change and return its version, or 0 if it was refused."""
        owner = host.node.identity.incarnation
        task = self._world.owners.spawn(owner, host.node.config.commit(draft))
        try:
            receipt = await task
        except ConflictError:
            self._world.counts["operator_conflict"] += 1
            return 0
        except (CrocusError, asyncio.CancelledError):
            self._world.counts["operator_refused"] += 1
            return 0
        self._world.counts["changes"] += 1
        if not receipt.accepted:
            self._world.counts["change_not_yet_accepted"] += 1
            return 0
        regions = self._scope(draft)
        self._world.loop.call_later(
            IN_FORCE_AFTER_S, self._check_in_force, receipt.version, regions
        )
        return receipt.version

    def _scope(self, draft: ChangeDraft) -> frozenset[str]:
        regions: set[str] = set()
        for op in draft.operations:
            if isinstance(op, SetDataCentreState):
                regions.add(CENTRES[op.name])
            else:
                regions.update(REGIONS)
        return frozenset(regions)

    def _check_in_force(self, version: int, regions: frozenset[str]) -> None:
        for host in self._world.live_hosts():
            if host.gate.paused or host.node.config.current().version >= version:
                continue
            mode = host.node.may_serve()
            if mode is ServingMode.REFUSE:
                continue
            if mode is ServingMode.OWN_REGION and host.region not in regions:
                continue
            self._world.oracle.violate(
                InvariantName.CONFIG_MONOTONIC,
                f"{host.name} serves version {host.node.config.current().version} "
                f"({mode.value}), {version} was accepted",
            )
