"""Holds requests that come before a starting daemon has its first rows."""

import asyncio

from ..desired import Directory
from ..timing import TimerService

# In which a daemon that has started normally has its rows: some calls to a store in
# another region.
MAX_START_WAIT_S = 0.5


class StartGate:
    """Lets requests wait for the first rows, for a while after the start.

    Answers the restart of many hosts at once, when nobody else could serve the
    requests sooner.

    Args:
        timer: Source of time.
        directory: Tells whether the rows are there.
    """

    __slots__ = ("_timer", "_directory", "_until_s", "_opened")

    def __init__(self, timer: TimerService, directory: Directory) -> None:
        self._timer = timer
        self._directory = directory
        self._until_s = timer.now() + MAX_START_WAIT_S
        self._opened = asyncio.Event()

    def open_if_usable(self) -> None:
        """Let the waiting requests go on if all rows are there."""
        if self._directory.is_usable():
            self._opened.set()

    async def wait_until_usable(self) -> bool:
        """Return whether requests can be served, after a wait while starting."""
        left_s = self._until_s - self._timer.now()
        if not self._directory.is_usable() and left_s > 0.0:
            try:
                async with asyncio.timeout(left_s):
                    await self._opened.wait()
            except TimeoutError:
                pass  # the caller is refused and told when to come back
        return self._directory.is_usable()
