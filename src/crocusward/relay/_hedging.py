"""What becomes of the slower copies of a request that is answered."""

import asyncio
from collections.abc import Iterable

from ._exchange import Exchange

LOSING_ATTEMPT_GRACE_S = (
    0.25  # the slower of two copies may end by itself within this time
)


class LosingAttempts:
    """Lets the slower copies of requests end soon, and cancels those that do not."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def release(self, attempts: "Iterable[asyncio.Task[Exchange]]") -> None:
        """Take over copies whose answers nobody awaits.

        They are cancelled at once if the current task is, since its caller has left.
        """
        current = asyncio.current_task()
        has_caller_left = current is not None and current.cancelling() > 0
        for attempt in attempts:
            if attempt.done():
                continue
            if has_caller_left:
                attempt.cancel()
                continue
            task = asyncio.get_running_loop().create_task(_cancel_after_grace(attempt))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


async def _cancel_after_grace(attempt: "asyncio.Task[Exchange]") -> None:
    _, unfinished = await asyncio.wait({attempt}, timeout=LOSING_ATTEMPT_GRACE_S)
    for item in unfinished:
        item.cancel()
