"""Queue of requests that wait for a free backend server."""

import asyncio
import math
from collections.abc import Iterator

from ._selection import LimitedServers, Selection, SelectionRequest


class QueuedRequest:
    """A request in the queue.

    Attributes:
        req: The request.
        enqueued_at_s: Monotonic time when it was queued.
        can_share: Whether it accepts a server that already has a request.
        limited: Which servers it may use, by their rate limits.
        fut: Future of the selection; a refusal is set as its exception.
    """

    __slots__ = ("req", "enqueued_at_s", "can_share", "limited", "fut")

    def __init__(
        self,
        req: SelectionRequest,
        enqueued_at_s: float,
        can_share: bool,
        fut: "asyncio.Future[Selection]",
        limited: LimitedServers = LimitedServers.ALLOWED,
    ) -> None:
        self.req = req
        self.enqueued_at_s = enqueued_at_s
        self.can_share = can_share
        self.limited = limited
        self.fut = fut


class RequestQueue:
    """Priority queue of the waiting requests of one service.

    Requests that can still meet their objective go first, by the priority of their
    route, then by deadline. Late requests follow, so that a backlog does not make
    every answer late. Where rate limits keep the load from ever being served, late
    requests would never have their turn, so priority goes first.

    Attributes:
        is_rate_limited: Whether rate limits of all servers bound what is served.
    """

    __slots__ = ("is_rate_limited", "_items")

    def __init__(self) -> None:
        self.is_rate_limited = False
        self._items: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: QueuedRequest) -> None:
        """Add a waiting request."""
        self._items.append(item)

    def discard(self, item: QueuedRequest) -> None:
        """Remove a request if it is queued."""
        if item in self._items:
            self._items.remove(item)

    def in_order(self, now_s: float) -> Iterator[QueuedRequest]:
        """Return the waiting requests, the next one first."""
        return iter(sorted(self._items, key=lambda item: self._rank(item.req, now_s)))

    def _rank(self, req: SelectionRequest, now_s: float) -> tuple[int, int, float]:
        return req.rank(now_s, priority_first=self.is_rate_limited)

    def find_hopeless(
        self, completions_per_s: float, now_s: float, relief_s: float = math.inf
    ) -> list[tuple[QueuedRequest, float]]:
        """Return the requests that cannot be served in time, with their wait.

        Answers load above the rate limits of all servers, where requests that came
        later but have a higher priority use up what was left for earlier ones.

        Args:
            completions_per_s: Requests of this queue that complete in a second.
            now_s: Monotonic time.
            relief_s: Time after which more requests complete; one with that much time
                left is not hopeless.
        """
        found = []
        ahead = 0.5  # the next completion is due within half a period on average
        for item in self.in_order(now_s):
            wait_s = min(ahead / completions_per_s, relief_s)
            if now_s + wait_s + item.req.service_time_s > item.req.deadline_s:
                found.append((item, wait_s))
            else:
                ahead += 1.0
        return found

    def ahead_of(self, req: SelectionRequest, now_s: float) -> int:
        """Return how many queued requests precede ``req``."""
        rank = self._rank(req, now_s)
        return sum(1 for item in self._items if self._rank(item.req, now_s) < rank)
