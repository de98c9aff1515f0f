"""Fakes of the platform's services with the faults that they have."""

import asyncio
import builtins
import random
from collections import Counter
from collections.abc import Callable, Sequence

from ...errors import ConflictError, StoreUnavailableError, StoreUncertainError
from ...model import ListedHost
from ...platform import ABSENT_REVISION, ANY_REVISION, Row, Write
from ._gate import HostGate

STORE_LATENCY_S = 0.002
STORE_TIMEOUT_S = 1.0
SLOW_LATENCY_S = 0.6
LIST_LAG_S = 2.0


class StoreState:
    """Content and faults of the store, shared by all hosts.

    Attributes:
        rows: Rows by key.
        objects: Objects by name.
        down: True while the store refuses connections.
        slow: True while every call takes long.
        lose_share: Share of writes that take effect while their answer is lost.
        writes: Number of transactions that took effect.
        reads: Number of reads.
        faults: Faults that calls have met, by kind.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.down = False
        self.slow = False
        self.lose_share = 0.0
        self.writes = 0
        self.reads = 0
        self.faults: Counter[str] = Counter()
        self.rng = rng

    def apply(self, writes: Sequence[Write]) -> None:
        """Apply all writes or none.

        Raises:
            ConflictError: A row has another revision.
        """
        for write in writes:
            row = self.rows.get(write.key)
            revision = row.revision if row is not None else ABSENT_REVISION
            if write.expected_revision not in (ANY_REVISION, revision):
                raise ConflictError(f"revision of {write.key} is {revision}")
        self.writes += 1
        for write in writes:
            row = self.rows.get(write.key)
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                revision = row.revision + 1 if row is not None else 1
                self.rows[write.key] = Row(write.key, write.value, revision)


class FakePlatform:
    """One host's way to the store and to the host list.

    Args:
        state: The store.
        hosts: Returns the hosts as the lagging list shows them.
        gate: Gate of the host.
        distance_s: One-way delay to the store, in seconds.
        connected: Returns False while the host cannot reach the store.
    """

    def __init__(
        self,
        state: StoreState,
        hosts: Callable[[], list[ListedHost]],
        gate: HostGate,
        distance_s: float,
        connected: Callable[[], bool],
    ) -> None:
        self._state = state
        self._hosts = hosts
        self._gate = gate
        self._distance_s = distance_s
        self._connected = connected

    async def read(self, key: str) -> Row | None:
        """Return a row, or None."""
        await self._go()
        self._state.reads += 1
        row = self._state.rows.get(key)
        await self._come_back()
        return row

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return rows in key order."""
        await self._go()
        self._state.reads += 1
        keys = sorted(k for k in self._state.rows if k.startswith(prefix) and k > after)
        rows = [self._state.rows[key] for key in keys[:limit]]
        await self._come_back()
        return rows

    async def transact(self, writes: Sequence[Write]) -> None:
        """Apply all writes or none, and maybe lose the answer."""
        await self._go()
        self._state.apply(writes)
        lost = self._state.rng.random() < self._state.lose_share
        if lost or not self._connected():
            self._state.faults["lost_write_answer"] += 1
            await asyncio.sleep(STORE_TIMEOUT_S)
            await self._gate.wait_open()
            raise StoreUncertainError("no answer to a write")
        await self._come_back()

    async def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        await self._go()
        self._state.objects[name] = data
        await self._come_back()

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None."""
        await self._go()
        data = self._state.objects.get(name)
        await self._come_back()
        return data

    async def list(self, prefix: str) -> list[str]:
        """Return names of objects."""
        await self._go()
        names = sorted(n for n in self._state.objects if n.startswith(prefix))
        await self._come_back()
        return names

    async def fetch(self) -> builtins.list[ListedHost]:
        """Return the lagging host list, which outages of the store do not affect."""
        await asyncio.sleep(STORE_LATENCY_S)
        await self._gate.wait_open()
        return self._hosts()

    async def _go(self) -> None:
        state = self._state
        delay_s = self._distance_s + STORE_LATENCY_S
        if state.slow:
            delay_s += SLOW_LATENCY_S * state.rng.random()
            state.faults["slow_store_call"] += 1
        await asyncio.sleep(delay_s)
        await self._gate.wait_open()
        if state.down or not self._connected():
            state.faults["store_call_refused"] += 1
            raise StoreUnavailableError("the store cannot be reached")

    async def _come_back(self) -> None:
        await asyncio.sleep(self._distance_s)
        await self._gate.wait_open()
