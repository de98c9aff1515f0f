"""Supervised background tasks of the configuration service."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from ..errors import CrocusError, StoreUnavailableError


class BackgroundTasks:
    """Runs coroutines as tasks and reports their errors.

    Args:
        counts: Where failures are counted, as ``failed_CODE``.
        on_error: Called with each error except store outages, for logging.
    """

    __slots__ = ("_counts", "_on_error", "_tasks")

    def __init__(
        self, counts: Counter[str], on_error: Callable[[Exception], object] | None
    ) -> None:
        self._counts = counts
        self._on_error = on_error
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, object]) -> asyncio.Task:
        """Start a coroutine; its CrocusErrors are reported, not raised."""
        task = asyncio.get_running_loop().create_task(self._guard(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def failed(self, exc: CrocusError) -> None:
        """Count and report an error."""
        self._counts[f"failed_{exc.code}"] += 1
        if self._on_error is not None and not isinstance(exc, StoreUnavailableError):
            self._on_error(exc)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _guard(self, work: Coroutine[Any, Any, object]) -> None:
        try:
            await work
        except CrocusError as exc:
            self.failed(exc)
