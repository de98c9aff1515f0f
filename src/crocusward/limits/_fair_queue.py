"""Waiting requests, fair between customers."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from ..errors import Refusal, RefusalCode

T = TypeVar("T")

MIN_WEIGHT = 0.05  # bounds the rounds that a light customer waits


class QueuedItem(Generic[T]):
    """A waiting request.

    Attributes:
        item: What waits.
        customer: Name of the customer.
        weight: Weight of the contract.
        idempotent: Whether the request may run more than once.
        deadline_s: Monotonic time at which waiting is useless, in seconds.
    """

    __slots__ = ("item", "customer", "weight", "idempotent", "deadline_s", "seq")

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
        self.seq = 0


class _Flow(Generic[T]):
    """The waiting requests of one customer, by idempotency, oldest first."""

    __slots__ = ("idempotent", "other", "weight", "deficit")

    def __init__(self) -> None:
        self.idempotent: deque[QueuedItem[T]] = deque()
        self.other: deque[QueuedItem[T]] = deque()
        self.weight = 1.0
        self.deficit = 0.0

    def __len__(self) -> int:
        return len(self.idempotent) + len(self.other)

    def lane(self, idempotent: bool) -> deque[QueuedItem[T]]:
        """Return one of both lanes."""
        return self.idempotent if idempotent else self.other

    def load(self) -> float:
        """Return the length by weight."""
        return len(self) / self.weight

    def heads(self) -> list[QueuedItem[T]]:
        """Return the head of each lane, oldest first."""
        heads = [lane[0] for lane in (self.idempotent, self.other) if lane]
        if len(heads) == 2 and heads[1].seq < heads[0].seq:
            heads.reverse()
        return heads


class FairQueue(Generic[T]):
    """A bounded queue that serves customers by deficit round robin.

    When it is full, a waiting idempotent request of the customer with most waiting
    requests by weight makes room, the newest first. A customer with fewer waiting
    requests than another one is never refused in favour of that one's requests of
    the same kind.

    Args:
        limit: Largest number of waiting requests.
    """

    __slots__ = ("_limit", "_flows", "_ring", "_size", "_seq")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._flows: dict[str, _Flow[T]] = {}
        self._ring: deque[str] = deque()
        self._size = 0
        self._seq = 0

    def __len__(self) -> int:
        return self._size

    def push(self, waiting: QueuedItem[T]) -> QueuedItem[T] | None:
        """Add a request and return the one that was shed for it, or None.

        Raises:
            Refusal: ``queue_full``: no waiting request makes room.
        """
        shed = None
        if self._size >= self._limit:
            shed = self._victim(waiting)
            if shed is None:
                raise Refusal(RefusalCode.QUEUE_FULL, "too many requests wait")
            self.remove(shed)
        flow = self._flows.get(waiting.customer)
        if flow is None:
            flow = self._flows[waiting.customer] = _Flow()
            self._ring.append(waiting.customer)
        flow.weight = waiting.weight
        self._seq += 1
        waiting.seq = self._seq
        flow.lane(waiting.idempotent).append(waiting)
        self._size += 1
        return shed

    def _victim(self, arriving: QueuedItem[T]) -> QueuedItem[T] | None:
        own = self._flows.get(arriving.customer)
        own_load = own.load() if own is not None else 0.0
        after = own_load + 1.0 / arriving.weight
        shed = self._heaviest(True)
        if shed is not None and not arriving.idempotent:
            return shed
        if not arriving.idempotent:
            shed = self._heaviest(False)
        if shed is None or shed.customer == arriving.customer:
            return None
        return shed if self._flows[shed.customer].load() > after else None

    def _heaviest(self, idempotent: bool) -> QueuedItem[T] | None:
        flows = [flow for flow in self._flows.values() if flow.lane(idempotent)]
        if not flows:
            return None
        return max(flows, key=_Flow.load).lane(idempotent)[-1]

    def remove(self, waiting: QueuedItem[T]) -> bool:
        """Take a request out and return whether it was waiting."""
        flow = self._flows.get(waiting.customer)
        if flow is None:
            return False
        lane = flow.lane(waiting.idempotent)
        try:
            lane.remove(waiting)
        except ValueError:
            return False
        self._size -= 1
        if not flow:
            del self._flows[waiting.customer]
            self._ring.remove(waiting.customer)
        return True

    def pop(
        self, now_s: float, usable: Callable[[QueuedItem[T]], bool]
    ) -> QueuedItem[T] | None:
        """Take out the next request that ``usable`` accepts, or return None.

        Requests past their deadline are left for their own timers, unserved.
        """
        blocked = 0
        while blocked < len(self._ring):
            name = self._ring[0]
            flow = self._flows[name]
            ready = self._ready(flow, now_s, usable)
            if ready is None:
                flow.deficit = 0.0
                blocked += 1
                self._ring.rotate(-1)
                continue
            if flow.deficit < 1.0:
                flow.deficit += flow.weight
            if flow.deficit < 1.0:
                blocked = 0  # the others come round again before this one is served
                self._ring.rotate(-1)
                continue
            flow.deficit -= 1.0
            if flow.deficit < 1.0:
                self._ring.rotate(-1)
            self.remove(ready)
            return ready
        return None

    def _ready(
        self,
        flow: _Flow[T],
        now_s: float,
        usable: Callable[[QueuedItem[T]], bool],
    ) -> QueuedItem[T] | None:
        for head in flow.heads():
            if head.deadline_s > now_s and usable(head):
                return head
        return None
