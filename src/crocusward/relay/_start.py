"""Holds early requests until a starting daemon has loaded its first rows."""

import asyncio

from ..desired import Directory
from ..timing import TimerService

# A starting daemon normally loads its rows within this time, which allows for several
# calls to a store in another region.
MAX_START_WAIT_S = 0.5


class StartGate:
    """Holds requests until the first rows are loaded, for a while after the start.

    When many hosts restart at once, no other host could serve the requests sooner, so
    refusing them at once would gain nothing.

    Args:
        timer: Source of time.
        directory: Tells whether all rows are loaded.
    """

    __slots__ = ("_timer", "_directory", "_until_s", "_opened")

    def __init__(self, timer: TimerService, directory: Directory) -> None:
        self._timer = timer
        self._directory = directory
        self._until_s = timer.now() + MAX_START_WAIT_S
        self._opened = asyncio.Event()

    def open_if_usable(self) -> None:
        """Release the held requests if all rows are loaded."""
        if self._directory.is_usable():
            self._opened.set()

    async def wait_until_usable(self) -> bool:
        """Wait for the rows while starting; return whether requests can be served."""
        left_s = self._until_s - self._timer.now()
        if not self._directory.is_usable() and left_s > 0.0:
            try:
                async with asyncio.timeout(left_s):
                    await self._opened.wait()
            except TimeoutError:
                pass  # the request is refused with a retry time
        return self._directory.is_usable()
