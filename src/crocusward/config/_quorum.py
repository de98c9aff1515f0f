"""Quorum check immediately before a commit."""

import asyncio
from collections.abc import Callable, Collection

from ..timing import TimerService
from ._freshness import FreshnessTracker

# Replies take one round trip between regions, 24 ms. Heartbeats alone would allow a
# commit for up to 2 s after links broke, unknown to a group that keeps serving.
QUORUM_TIMEOUT_S = 1.0


class QuorumCheck:
    """Collects the replies of peers to a request sent for one commit.

    Args:
        freshness: Tracks which hosts are in contact.
        timer: Time source.
        regions: Regions in the scope of the commit.
    """

    __slots__ = ("_freshness", "_timer", "_regions", "_answered", "_complete")

    def __init__(
        self, freshness: FreshnessTracker, timer: TimerService, regions: Collection[str]
    ) -> None:
        self._freshness = freshness
        self._timer = timer
        self._regions = regions
        self._answered: set[str] = set()
        self._complete = asyncio.Event()

    def missing(self) -> list[str]:
        """Return hosts without a reply, of regions without a majority."""
        return self._freshness.find_missing_contacts(self._regions, self._answered)

    def record_answer(self, peer: str) -> None:
        """Record the reply of a peer."""
        self._answered.add(peer)
        if not self.missing():
            self._complete.set()

    async def collect(self, ask: Callable[[], object]) -> list[str]:
        """Query all peers and return the missing hosts; empty on a majority."""
        ask()
        if self.missing():
            timeout = self._timer.call_later(QUORUM_TIMEOUT_S, self._complete.set)
            await self._complete.wait()
            timeout.cancel()
        return self.missing()
