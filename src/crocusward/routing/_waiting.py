"""Requests that wait until a backend server has room."""

import asyncio
from collections.abc import Callable

from ..errors import Refusal, RefusalCode
from ..limits import FairQueue, QueuedItem
from ..timing import TimerService
from ._chooser import Chooser
from ._health import Health
from ._options import RoutingOptions
from ._table import BackendTable
from ._types import Reservation, RouteRequest
from ._view import BackendView, ServiceView
from ._warmth import Warmth

RETRY_AFTER_S = 1.0
# A non-idempotent request may wait longer, because it may not run twice.
OTHER_WAIT_FACTOR = 5.0
# After a restart under load every warming host soon has work of its own, and asking
# for its servers would only slow the ramp.
ASK_AFTER_S = 0.15
PUMP_PERIOD_S = 0.02  # while requests wait; pauses and ramps end by time too


class _Waiter:
    """A request in the queue."""

    __slots__ = ("req", "future")

    def __init__(self, req: RouteRequest) -> None:
        self.req = req
        loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Reservation] = loop.create_future()


class WaitingRoom:
    """One fair queue for each service.

    Args:
        timer: Source of time.
        table: State of the servers.
        health: Ends pauses of servers.
        chooser: Chooses servers.
        reserve: Reserves a place at a server.
        give_back: Gives a place back.
        warmth: Asked for cold servers that other hosts warm.
        options: Length of the queue and of waits.
    """

    __slots__ = (
        "_timer",
        "_table",
        "_health",
        "_chooser",
        "_reserve",
        "_give_back",
        "_warmth",
        "_options",
        "_queues",
        "_waiting_since_s",
        "_pump_pending",
    )

    def __init__(
        self,
        timer: TimerService,
        table: BackendTable,
        health: Health,
        chooser: Chooser,
        reserve: Callable[[BackendView, RouteRequest], Reservation],
        give_back: Callable[[Reservation], None],
        warmth: Warmth,
        options: RoutingOptions,
    ) -> None:
        self._timer = timer
        self._table = table
        self._health = health
        self._chooser = chooser
        self._reserve = reserve
        self._give_back = give_back
        self._warmth = warmth
        self._options = options
        self._queues: dict[str, FairQueue[_Waiter]] = {}
        self._waiting_since_s: dict[str, float] = {}
        self._pump_pending = False

    def count(self, service: str) -> int:
        """Return the number of requests that wait for a service."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    async def wait(self, req: RouteRequest, now_s: float) -> Reservation:
        """Wait for a place.

        Raises:
            Refusal: ``queue_full``, ``queue_timeout`` or ``deadline_exceeded``.
        """
        queue = self._queues.get(req.service)
        if queue is None:
            queue = self._queues[req.service] = FairQueue(self._options.queue_length)
        waiter = _Waiter(req)
        wait_s = self._options.queue_wait_s
        if not req.idempotent:
            wait_s *= OTHER_WAIT_FACTOR
        until_s = min(req.deadline_s, now_s + wait_s)
        waiting = QueuedItem(
            waiter, req.customer, req.weight, req.idempotent, req.deadline_s
        )
        shed = queue.push(waiting)
        if shed is not None:
            _refuse(shed.item, _shed_refusal())
        service = self._table.services.get(req.service)
        if service is not None:
            # Those that wait may be held up by their home regions or exclusions.
            self.pump(service)
        if waiter.future.done():
            return waiter.future.result()
        timeout = self._timer.call_later(
            until_s - now_s, lambda: self._expire(queue, waiting)
        )
        self._schedule_pump()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if not queue.remove(waiting):
                self._return_grant(waiter)
            raise
        finally:
            timeout.cancel()

    def _return_grant(self, waiter: _Waiter) -> None:
        """Give back a place that was granted to a waiter just before it ended."""
        future = waiter.future
        if not future.done() or future.cancelled() or future.exception() is not None:
            return
        reservation = future.result()
        self._give_back(reservation)
        self.pump(reservation.view.service)

    def _expire(self, queue: FairQueue[_Waiter], waiting: QueuedItem[_Waiter]) -> None:
        if not queue.remove(waiting):
            return
        if self._timer.now() >= waiting.deadline_s:
            _refuse(waiting.item, deadline_refusal())
        else:
            _refuse(waiting.item, _timeout_refusal())

    def _schedule_pump(self) -> None:
        if not self._pump_pending:
            self._pump_pending = True
            self._timer.call_later(PUMP_PERIOD_S, self._pump_by_time)

    def _pump_by_time(self) -> None:
        self._pump_pending = False
        now_s = self._timer.now()
        self._health.refresh(now_s)
        self.pump_all()
        for name, queue in self._queues.items():
            if not queue:
                self._waiting_since_s.pop(name, None)
            elif now_s - self._waiting_since_s.setdefault(name, now_s) >= ASK_AFTER_S:
                self._ask_for_cold(name, now_s)
        if any(self._queues.values()):
            self._schedule_pump()

    def _ask_for_cold(self, name: str, now_s: float) -> None:
        """Ask to warm the cold servers of a service that has requests waiting."""
        service = self._table.services.get(name)
        if service is None:
            return
        for views in service.open_by_region.values():
            for view in views:
                if not view.is_warm and view.limit == 0:
                    self._warmth.ask(self._table.warm_states[view.backend.id], now_s)

    def pump_all(self) -> None:
        """Grant places for every service."""
        for name, queue in self._queues.items():
            service = self._table.services.get(name)
            if queue and service is not None:
                self.pump(service)

    def pump(self, service: ServiceView) -> None:
        """Grant places to waiting requests while there are any."""
        queue = self._queues.get(service.name)
        if not queue:
            return
        now_s = self._timer.now()
        ahead = len(queue)
        blocked: set[frozenset[str]] = set()
        chosen: list[BackendView] = []

        def usable(waiting: QueuedItem[_Waiter]) -> bool:
            if waiting.item.future.done():
                return True  # cancelled, but its task did not run yet; dropped below
            req = waiting.item.req
            if not req.excluded and req.regions in blocked:
                return False
            view = self._chooser.choose(req, service, ahead, now_s)
            if view is not None:
                chosen.append(view)
                return True
            if not req.excluded:
                blocked.add(req.regions)
            return False

        while True:
            chosen.clear()
            waiting = queue.pop(now_s, usable)
            if waiting is None:
                return
            if not waiting.item.future.done():
                reservation = self._reserve(chosen[-1], waiting.item.req)
                waiting.item.future.set_result(reservation)


def _refuse(waiter: _Waiter, refusal: Refusal) -> None:
    if not waiter.future.done():
        waiter.future.set_exception(refusal)


def deadline_refusal() -> Refusal:
    """Return the refusal of a request whose deadline passed unsent."""
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED, "the deadline passed before a server had room"
    )


def _timeout_refusal() -> Refusal:
    return Refusal(
        RefusalCode.QUEUE_TIMEOUT,
        "no backend server had room in time",
        retry_after_s=RETRY_AFTER_S,
    )


def _shed_refusal() -> Refusal:
    return Refusal(
        RefusalCode.QUEUE_FULL,
        "the request made room for another one in a full queue",
        retry_after_s=RETRY_AFTER_S,
    )
