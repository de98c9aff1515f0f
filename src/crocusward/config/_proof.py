"""Proof of contact with a majority immediately before a commit."""

import asyncio
from collections.abc import Callable, Collection

from ..timing import TimerService
from ._freshness import FreshnessTracker

# Answers take one round trip between regions, 24 ms. Heartbeats alone would let a
# commit pass for up to 2 s after its links broke, unheard by a group that serves.
PROOF_LIMIT_S = 1.0


class ContactProof:
    """Collects answers of peers to a question sent for one commit.

    Args:
        currency: Contacts of this host.
        timer: Time source.
        regions: Regions in the scope of the commit.
    """

    __slots__ = ("_freshness", "_timer", "_regions", "_heard", "_complete")

    def __init__(
        self, freshness: FreshnessTracker, timer: TimerService, regions: Collection[str]
    ) -> None:
        self._freshness = freshness
        self._timer = timer
        self._regions = regions
        self._heard: set[str] = set()
        self._complete = asyncio.Event()

    def missing(self) -> list[str]:
        """Return the hosts that have not answered, of regions without a majority."""
        return self._freshness.contact_missing(self._regions, self._heard)

    def answered(self, peer: str) -> None:
        """Note the answer of a peer."""
        self._heard.add(peer)
        if not self.missing():
            self._complete.set()

    async def collect(self, ask: Callable[[], object]) -> list[str]:
        """Ask all peers and return the missing hosts, none if a majority answered."""
        ask()
        if self.missing():
            timeout = self._timer.call_later(PROOF_LIMIT_S, self._complete.set)
            await self._complete.wait()
            timeout.cancel()
        return self.missing()
