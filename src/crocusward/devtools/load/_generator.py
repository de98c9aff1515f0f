"""Open-loop load: calls start at random times whatever became of earlier ones."""

import asyncio
import random
from collections.abc import Callable

from ...model import Record
from ..deployment import CallShape, EntryPlan
from ._caller import Caller, CallOutcome

READY_PERIOD_S = 0.2


class LoadOptions(Record):
    """How much load there is.

    Attributes:
        rate: Calls per second over all regions.
        duration_s: Length, in seconds.
    """

    __slots__ = ("rate", "duration_s")

    def __init__(self, rate: float, duration_s: float) -> None:
        self.rate = rate
        self.duration_s = duration_s


class LoadGenerator:
    """Plays the clients and the platform's balancer in front of the entry hosts.

    Like that balancer, it sends calls of a region to the entry hosts of the region
    whose readiness is good.

    Args:
        caller: Makes the calls.
        entries: Entry hosts.
        shapes: Kinds of calls.
        rng: Source of randomness.
        sink: Receives each outcome.
        is_ready: Asks an entry host for its readiness.
    """

    __slots__ = (
        "_caller",
        "_entries",
        "_shapes",
        "_rng",
        "_sink",
        "_is_ready",
        "_ready",
        "_tasks",
    )

    def __init__(
        self,
        caller: Caller,
        entries: list[EntryPlan],
        shapes: list[CallShape],
        rng: random.Random,
        sink: Callable[[CallOutcome], object],
        is_ready: Callable,
    ) -> None:
        self._caller = caller
        self._entries = entries
        self._shapes = shapes
        self._rng = rng
        self._sink = sink
        self._is_ready = is_ready
        self._ready: dict[str, list[EntryPlan]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, options: LoadOptions) -> None:
        """Make calls for some time and wait for the last of them."""
        await self._check_ready()
        watch = asyncio.get_running_loop().create_task(self._watch_ready())
        try:
            await self._start_calls(options)
            if self._tasks:
                await asyncio.wait(set(self._tasks))
        finally:
            watch.cancel()

    async def _start_calls(self, options: LoadOptions) -> None:
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        end_s = next_s + options.duration_s
        while next_s < end_s:
            wait_s = next_s - loop.time()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            self._start_call()
            next_s += self._rng.expovariate(options.rate)

    def _start_call(self) -> None:
        shape = self._pick_shape()
        regions = shape.regions or sorted(self._ready)
        region = self._rng.choice(regions)
        entries = self._ready.get(region)
        if not entries:
            return
        entry = self._rng.choice(entries)
        task = asyncio.get_running_loop().create_task(self._call(shape, region, entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _pick_shape(self) -> CallShape:
        weights = [shape.share for shape in self._shapes]
        return self._rng.choices(self._shapes, weights)[0]

    async def _call(self, shape: CallShape, region: str, entry: EntryPlan) -> None:
        self._sink(await self._caller.call(shape, region, entry))

    async def _watch_ready(self) -> None:
        while True:
            await asyncio.sleep(READY_PERIOD_S)
            await self._check_ready()

    async def _check_ready(self) -> None:
        ready: dict[str, list[EntryPlan]] = {e.region: [] for e in self._entries}
        for entry in self._entries:
            if await self._is_ready(entry):
                ready[entry.region].append(entry)
        self._ready = ready
