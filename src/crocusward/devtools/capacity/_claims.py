"""Writes of claims against the arrival rate, in virtual time."""

import asyncio
import random
from collections.abc import Sequence

from ...errors import ConflictError
from ...ledger import ClaimBatcher
from ...platform import ABSENT_REVISION, Row, Write
from ...timing import LoopTimer
from ..virtual_loop import VirtualLoop

RATES = (25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)  # claims per second and host
CLAIMS = 1_000
HOME_ROUND_TRIP_S = 0.002
FAR_ROUND_TRIP_S = 0.024
SECRET = bytes(32)
UTC_S = 1_790_000_000


class CountingTable:
    """A table that counts its transactions.

    Args:
        round_trip_s: Time of each call, in seconds.
    """

    def __init__(self, round_trip_s: float) -> None:
        self.rows: dict[str, Row] = {}
        self.transactions = 0
        self._round_trip_s = round_trip_s

    async def read(self, key: str) -> Row | None:
        """Return a row, or None."""
        await asyncio.sleep(self._round_trip_s)
        return self.rows.get(key)

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return nothing; claims are never scanned."""
        return []

    async def transact(self, writes: Sequence[Write]) -> None:
        """Insert rows that are absent.

        Raises:
            ConflictError: A row is present.
        """
        await asyncio.sleep(self._round_trip_s)
        for write in writes:
            if write.expected_revision == ABSENT_REVISION and write.key in self.rows:
                raise ConflictError(f"{write.key} is present")
        self.transactions += 1
        for write in writes:
            assert write.value is not None
            self.rows[write.key] = Row(write.key, write.value, 1)


def measure_claims() -> dict[str, object]:
    """Return writes for 1,000 claims and the mean delay, by arrival rate."""
    home = [_run(rate, HOME_ROUND_TRIP_S) for rate in RATES]
    far = [_run(rate, FAR_ROUND_TRIP_S) for rate in RATES]
    return {
        "claims_per_s": list(RATES),
        "writes_per_1000": [writes for writes, _delay_ms in far],
        "mean_delay_ms_home": [delay_ms for _writes, delay_ms in home],
        "mean_delay_ms_far": [delay_ms for _writes, delay_ms in far],
    }


def _run(rate: float, round_trip_s: float) -> tuple[float, float]:
    loop = VirtualLoop()
    rng = random.Random(3)
    timer = LoopTimer(loop, rng)
    table = CountingTable(round_trip_s)
    claims = ClaimBatcher(table, timer, SECRET, 1, "h1", utc_s=lambda: UTC_S)
    delays_s: list[float] = []

    async def claim(number: int) -> None:
        start_s = timer.now()
        await claims.claim("orders", f"order-{number}")
        delays_s.append(timer.now() - start_s)

    async def offer() -> None:
        tasks = []
        for number in range(CLAIMS):
            tasks.append(loop.create_task(claim(number)))
            await asyncio.sleep(rng.expovariate(rate))
        await asyncio.gather(*tasks)

    loop.run_until_complete(offer())
    loop.close()
    writes = 1000.0 * table.transactions / CLAIMS
    return round(writes, 1), round(1000.0 * sum(delays_s) / CLAIMS, 2)
