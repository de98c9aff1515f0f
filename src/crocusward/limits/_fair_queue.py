"""Bounded request queue that is fair between customers (deficit round robin)."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from ..errors import Refusal, RefusalCode

T = TypeVar("T")

MIN_WEIGHT = 0.05  # bounds the rounds until the lightest flow is served


class QueuedItem(Generic[T]):
    """A queued request.

    Attributes:
        item: The queued object.
        customer: Name of the customer.
        weight: Weight of the contract, at least ``MIN_WEIGHT``.
        idempotent: Whether the request may run more than once.
        deadline_s: Monotonic time after which it is not served, in seconds.
        arrival_number: Order of arrival; set by ``FairQueue.push``.
    """

    __slots__ = (
        "item",
        "customer",
        "weight",
        "idempotent",
        "deadline_s",
        "arrival_number",
    )

    def __init__(
        self,
        item: T,
        customer: str,
        weight: float,
        idempotent: bool,
        deadline_s: float,
    ) -> None:
        self.item = item
        self.customer = customer
        self.weight = max(MIN_WEIGHT, weight)
        self.idempotent = idempotent
        self.deadline_s = deadline_s
        self.arrival_number = 0


class _Flow(Generic[T]):
    """The queued requests of one customer, by idempotency, oldest first."""

    __slots__ = ("idempotent", "non_idempotent", "weight", "deficit")

    def __init__(self) -> None:
        self.idempotent: deque[QueuedItem[T]] = deque()
        self.non_idempotent: deque[QueuedItem[T]] = deque()
        self.weight = 1.0
        self.deficit = 0.0

    def __len__(self) -> int:
        return len(self.idempotent) + len(self.non_idempotent)

    def queue_for(self, idempotent: bool) -> deque[QueuedItem[T]]:
        """Return the queue of idempotent or of non-idempotent requests."""
        return self.idempotent if idempotent else self.non_idempotent

    def weighted_length(self) -> float:
        """Return the number of queued requests divided by the weight."""
        return len(self) / self.weight

    def heads(self) -> list[QueuedItem[T]]:
        """Return the head of each non-empty queue, oldest first."""
        heads = [queue[0] for queue in (self.idempotent, self.non_idempotent) if queue]
        if len(heads) == 2 and heads[1].arrival_number < heads[0].arrival_number:
            heads.reverse()
        return heads


class FairQueue(Generic[T]):
    """A bounded queue that serves customers by deficit round robin.

    When it is full, the newest idempotent request of the customer with the largest
    weighted length is shed. A customer with fewer queued requests than another one
    is never refused in favour of that one's requests of the same kind.

    Args:
        limit: Largest number of queued requests.
    """

    __slots__ = ("_limit", "_flows", "_rotation", "_size", "_last_arrival_number")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._flows: dict[str, _Flow[T]] = {}
        self._rotation: deque[str] = deque()
        self._size = 0
        self._last_arrival_number = 0

    def __len__(self) -> int:
        return self._size

    def push(
        self, item: QueuedItem[T], limit: int | None = None
    ) -> QueuedItem[T] | None:
        """Queue a request and return the one that was shed for it, or None.

        Args:
            item: The request.
            limit: Largest number of queued requests at present, if it is lower than
                that of the queue.

        Raises:
            Refusal: ``queue_full``: no queued request can be shed.
        """
        victim = None
        if self._size >= min(self._limit, limit or self._limit):
            victim = self._select_victim(item)
            if victim is None:
                raise Refusal(RefusalCode.QUEUE_FULL, "the request queue is full")
            self.remove(victim)
        flow = self._flows.get(item.customer)
        if flow is None:
            flow = self._flows[item.customer] = _Flow()
            self._rotation.append(item.customer)
        flow.weight = item.weight
        self._last_arrival_number += 1
        item.arrival_number = self._last_arrival_number
        flow.queue_for(item.idempotent).append(item)
        self._size += 1
        return victim

    def _select_victim(self, arriving: QueuedItem[T]) -> QueuedItem[T] | None:
        own_flow = self._flows.get(arriving.customer)
        own_length = own_flow.weighted_length() if own_flow is not None else 0.0
        length_after = own_length + 1.0 / arriving.weight
        victim = self._newest_of_longest_flow(True)
        if victim is not None and not arriving.idempotent:
            return victim
        if not arriving.idempotent:
            victim = self._newest_of_longest_flow(False)
        if victim is None or victim.customer == arriving.customer:
            return None
        return (
            victim
            if self._flows[victim.customer].weighted_length() > length_after
            else None
        )

    def _newest_of_longest_flow(self, idempotent: bool) -> QueuedItem[T] | None:
        flows = [flow for flow in self._flows.values() if flow.queue_for(idempotent)]
        if not flows:
            return None
        return max(flows, key=_Flow.weighted_length).queue_for(idempotent)[-1]

    def remove(self, item: QueuedItem[T]) -> bool:
        """Remove a request and return whether it was queued."""
        flow = self._flows.get(item.customer)
        if flow is None:
            return False
        queue = flow.queue_for(item.idempotent)
        try:
            queue.remove(item)
        except ValueError:
            return False
        self._size -= 1
        if not flow:
            del self._flows[item.customer]
            self._rotation.remove(item.customer)
        return True

    def pop(
        self, now_s: float, is_usable: Callable[[QueuedItem[T]], bool]
    ) -> QueuedItem[T] | None:
        """Remove and return the next request that ``is_usable`` accepts, or None.

        Skips requests past their deadline; their own timers remove them.
        """
        unusable_count = 0
        while unusable_count < len(self._rotation):
            customer = self._rotation[0]
            flow = self._flows[customer]
            found = self._next_usable(flow, now_s, is_usable)
            if found is None:
                flow.deficit = 0.0
                unusable_count += 1
                self._rotation.rotate(-1)
                continue
            if flow.deficit < 1.0:
                flow.deficit += flow.weight
            if flow.deficit < 1.0:
                unusable_count = 0  # checked again in the next round
                self._rotation.rotate(-1)
                continue
            flow.deficit -= 1.0
            if flow.deficit < 1.0:
                self._rotation.rotate(-1)
            self.remove(found)
            return found
        return None

    def _next_usable(
        self,
        flow: _Flow[T],
        now_s: float,
        is_usable: Callable[[QueuedItem[T]], bool],
    ) -> QueuedItem[T] | None:
        for head in flow.heads():
            if head.deadline_s > now_s and is_usable(head):
                return head
        return None
