"""What becomes of the slower copies of a request that is answered."""

import asyncio
from collections.abc import Iterable

from ._exchange import Exchange

GRACE_S = 0.25  # the slower of two copies may end by itself within this time


class SlowerCopies:
    """Lets the slower copies of requests end soon, and cancels those that do not."""

    __slots__ = ("_ending",)

    def __init__(self) -> None:
        self._ending: set[asyncio.Task[None]] = set()

    def release(self, copies: "Iterable[asyncio.Task[Exchange]]") -> None:
        """Take over copies whose answers nobody awaits.

        They are cancelled at once if the current task is, since its caller has left.
        """
        current = asyncio.current_task()
        has_left = current is not None and current.cancelling() > 0
        for copy in copies:
            if copy.done():
                continue
            if has_left:
                copy.cancel()
                continue
            task = asyncio.get_running_loop().create_task(_end_soon(copy))
            self._ending.add(task)
            task.add_done_callback(self._ending.discard)


async def _end_soon(copy: "asyncio.Task[Exchange]") -> None:
    _, late = await asyncio.wait({copy}, timeout=GRACE_S)
    for item in late:
        item.cancel()
