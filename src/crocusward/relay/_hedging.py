"""Ends the losing attempts of hedged requests."""

import asyncio
from collections.abc import Iterable

from ._exchange import Exchange

LOSING_ATTEMPT_GRACE_S = 0.25  # an attempt may end by itself until then


class LosingAttempts:
    """Cancels the attempts that are still running a while after their request ended."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel_later(self, attempts: "Iterable[asyncio.Task[Exchange]]") -> None:
        """Take over attempts whose answers are no longer awaited.

        They are cancelled at once if the current task is being cancelled, since its
        caller has disconnected then.
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
