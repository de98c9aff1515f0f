"""Runs the probe loop."""

import asyncio

from ..errors import CrocusError
from ..model import Backend
from ..routing import Router
from ..timing import Subscription, TimerService
from ._ports import BackendPort

PROBE_TICK_S = 0.2
MAX_PROBES_PER_TICK = 10  # 540 servers over 56 daemons allow 6 each tick
PROBE_TIMEOUT_S = 0.5


class Prober:
    """Probes backend servers when the router's budget allows.

    Args:
        timer: Source of time.
        router: Chooses the server and learns from the answer.
        upstream: Reaches backend servers.
    """

    __slots__ = ("_timer", "_router", "_upstream", "_sub", "_tasks")

    def __init__(
        self, timer: TimerService, router: Router, upstream: BackendPort
    ) -> None:
        self._timer = timer
        self._router = router
        self._upstream = upstream
        self._sub: Subscription | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to probe."""
        self._sub = self._timer.every(PROBE_TICK_S, self._tick)

    def stop(self) -> None:
        """End probing."""
        if self._sub is not None:
            self._sub.cancel()
        for task in list(self._tasks):
            task.cancel()

    def _tick(self) -> None:
        for _ in range(MAX_PROBES_PER_TICK):
            backend = self._router.next_probe()
            if backend is None:
                return
            task = asyncio.get_running_loop().create_task(self._probe(backend))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, backend: Backend) -> None:
        try:
            answer = await self._upstream.probe(backend, PROBE_TIMEOUT_S)
        except CrocusError:
            self._router.record_probe(backend, None)
            return
        self._router.record_probe(backend, answer)
