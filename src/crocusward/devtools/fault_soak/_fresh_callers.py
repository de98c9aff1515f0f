"""Callers that open a connection for each request, as a platform sends them."""

import asyncio
import random
from collections.abc import Callable, Sequence
from itertools import count

from ._callers import Asked, ask_once
from ._daemons import Daemon

CHECK_MAX_S = 2.0  # from the start of a stop until a daemon is out of rotation
MIN_ROTATION_SHARE = 0.5  # of a data centre; below it, all its daemons are used
LIMIT_S = 1.2  # time limit of a request


def list_in_rotation(daemons: Sequence[Daemon], now_s: float) -> list[Daemon]:
    """Return the daemons of a data centre to which the platform sends callers."""
    running = [daemon for daemon in daemons if daemon.is_running]
    ready = [
        daemon
        for daemon in running
        if daemon.stopping_s is None or now_s - daemon.stopping_s < CHECK_MAX_S
    ]
    return ready if len(ready) >= MIN_ROTATION_SHARE * len(daemons) else running


class FreshCaller:
    """Sends requests at random moments, each on a connection of its own.

    Args:
        choose: Returns the daemons that a request may go to.
        rng: Source of randomness.
        asked: Where requests are recorded.
        paths: Paths to choose from.
        per_s: Mean rate, in requests per second.
    """

    _ids = count(1)

    def __init__(
        self,
        choose: Callable[[], list[Daemon]],
        rng: random.Random,
        asked: list[Asked],
        paths: Sequence[str],
        per_s: float,
    ) -> None:
        self._choose = choose
        self._rng = rng
        self._asked = asked
        self._paths = paths
        self._per_s = per_s

    async def run(self) -> None:
        """Send requests until cancelled, and wait for the last answers."""
        loop = asyncio.get_running_loop()
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(self._per_s))
                daemons = self._choose()
                if not daemons:
                    continue
                asking = ask_once(
                    self._rng.choice(daemons),
                    f"f{next(self._ids)}",
                    self._rng.choice(self._paths),
                    self._asked,
                    limit_s=LIMIT_S,
                )
                task = loop.create_task(asking)
                running.add(task)
                task.add_done_callback(running.discard)
        finally:
            await asyncio.gather(*running, return_exceptions=True)
