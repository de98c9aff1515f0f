"""Fair queues of requests that wait for a backend server below its limit."""

import asyncio
from collections.abc import Callable

from ..errors import Refusal, RefusalCode
from ..limits import FairQueue, QueuedItem
from ..timing import TimerService
from ._backend_table import BackendTable
from ._backend_view import BackendView, ServiceView
from ._health_tracker import HealthTracker
from ._options import RoutingOptions
from ._rate_limits import FleetRateLimits
from ._selector import RegionAwareSelector
from ._slow_start import SlowStart
from ._types import Reservation, RouteRequest

RETRY_AFTER_S = 1.0
# A non-idempotent request may wait longer, because it must not be sent again.
NON_IDEMPOTENT_WAIT_FACTOR = 5.0
# After a restart under load every warming host soon has requests of its own, and a
# handover of its servers would only delay slow start.
PERMIT_REQUEST_DELAY_S = 0.15
ADMISSION_PERIOD_S = 0.02  # while requests wait; limits also change with time


class _PendingRequest:
    """A queued request and the future of its reservation."""

    __slots__ = ("req", "future")

    def __init__(self, req: RouteRequest) -> None:
        self.req = req
        loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Reservation] = loop.create_future()


class AdmissionQueue:
    """Queues requests fairly for each service until a server can take them.

    Args:
        timer: Source of time.
        table: State of the servers.
        health: Ends expired pauses of servers.
        selector: Selects servers.
        reserve: Reserves a server for a request.
        release: Releases a reservation.
        slow_start: Requests permits for cold servers that other hosts warm.
        rate_limits: Requests permits for rate-limited servers.
        options: Limits of queue length and queue time.
    """

    __slots__ = (
        "_timer",
        "_table",
        "_health",
        "_selector",
        "_reserve",
        "_release",
        "_slow_start",
        "_rate_limits",
        "_options",
        "_queues",
        "_waiting_since_s",
        "_is_admission_scheduled",
    )

    def __init__(
        self,
        timer: TimerService,
        table: BackendTable,
        health: HealthTracker,
        selector: RegionAwareSelector,
        reserve: Callable[[BackendView, RouteRequest], Reservation],
        release: Callable[[Reservation], None],
        slow_start: SlowStart,
        rate_limits: FleetRateLimits,
        options: RoutingOptions,
    ) -> None:
        self._timer = timer
        self._table = table
        self._health = health
        self._selector = selector
        self._reserve = reserve
        self._release = release
        self._slow_start = slow_start
        self._rate_limits = rate_limits
        self._options = options
        self._queues: dict[str, FairQueue[_PendingRequest]] = {}
        self._waiting_since_s: dict[str, float] = {}
        self._is_admission_scheduled = False

    def count_waiting(self, service: str) -> int:
        """Return the number of requests queued for a service."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    async def wait(self, req: RouteRequest, now_s: float) -> Reservation:
        """Queue a request and wait for its reservation.

        Raises:
            Refusal: ``queue_full``, ``queue_timeout`` or ``deadline_exceeded``.
        """
        queue = self._queues.get(req.service)
        if queue is None:
            queue = self._queues[req.service] = FairQueue(self._options.queue_length)
        pending = _PendingRequest(req)
        wait_s = self._options.queue_wait_s
        if not req.idempotent:
            wait_s *= NON_IDEMPOTENT_WAIT_FACTOR
        until_s = min(req.deadline_s, now_s + wait_s)
        queued_item = QueuedItem(
            pending, req.customer, req.weight, req.idempotent, req.deadline_s
        )
        service = self._table.services.get(req.service)
        rate_per_s = self._sum_rate_limits(service) if service is not None else None
        self._push(queue, queued_item, wait_s, rate_per_s)
        if service is not None:
            self._request_limit_permits(service, len(queue))
            # Requests ahead may be blocked only by their regions or exclusions.
            self.admit(service)
        if pending.future.done():
            return pending.future.result()
        timeout = self._timer.call_later(
            until_s - now_s, lambda: self._expire(queue, queued_item)
        )
        self._schedule_admission()
        try:
            return await pending.future
        except asyncio.CancelledError:
            if not queue.remove(queued_item):
                self._release_unclaimed(pending)
            raise
        finally:
            timeout.cancel()

    def _push(
        self,
        queue: FairQueue[_PendingRequest],
        queued_item: QueuedItem[_PendingRequest],
        wait_s: float,
        rate_per_s: float | None,
    ) -> None:
        """Queue a request, and refuse at once the one that has no time to be served.

        Where all servers are rate-limited, the queue holds only what the limits allow
        within the longest wait; which request goes is up to the fairness of the queue.

        Raises:
            Refusal: ``queue_full``.
        """
        limit = None
        retry_after_s = RETRY_AFTER_S
        if rate_per_s is not None:
            limit = max(1, int(rate_per_s * wait_s))
            if rate_per_s > 0.0:
                retry_after_s = max(RETRY_AFTER_S, len(queue) / rate_per_s)
        try:
            shed = queue.push(queued_item, limit)
        except Refusal as exc:
            exc.retry_after_s = retry_after_s
            raise
        if shed is not None:
            _refuse(shed.item, _make_shed_refusal(retry_after_s))

    def _sum_rate_limits(self, service: ServiceView) -> float | None:
        """Return what the limits of all open servers allow, None if one has none."""
        total_per_s = 0.0
        for views in service.open_by_region.values():
            for view in views:
                if not self._rate_limits.is_limited(view.backend.id):
                    return None
                total_per_s += self._rate_limits.rate_per_s(view.backend.id)
        return total_per_s

    def _request_limit_permits(self, service: ServiceView, count: int) -> None:
        ids = [
            view.backend.id
            for views in service.open_by_region.values()
            for view in views
        ]
        self._rate_limits.request_permits(ids, count)

    def _release_unclaimed(self, pending: _PendingRequest) -> None:
        """Release a reservation that was made just before its request was cancelled."""
        future = pending.future
        if not future.done() or future.cancelled() or future.exception() is not None:
            return
        reservation = future.result()
        self._release(reservation)
        self.admit(reservation.view.service)

    def _expire(
        self,
        queue: FairQueue[_PendingRequest],
        queued_item: QueuedItem[_PendingRequest],
    ) -> None:
        if not queue.remove(queued_item):
            return
        if self._timer.now() >= queued_item.deadline_s:
            _refuse(queued_item.item, make_deadline_refusal())
        else:
            _refuse(queued_item.item, _make_timeout_refusal())

    def _schedule_admission(self) -> None:
        if not self._is_admission_scheduled:
            self._is_admission_scheduled = True
            self._timer.call_later(ADMISSION_PERIOD_S, self._admit_periodically)

    def _admit_periodically(self) -> None:
        self._is_admission_scheduled = False
        now_s = self._timer.now()
        self._health.refresh(now_s)
        self.admit_all()
        for name, queue in self._queues.items():
            service = self._table.services.get(name)
            if queue and service is not None:
                self._request_limit_permits(service, len(queue))
            if not queue:
                self._waiting_since_s.pop(name, None)
            elif (
                now_s - self._waiting_since_s.setdefault(name, now_s)
                >= PERMIT_REQUEST_DELAY_S
            ):
                self._request_permits(name, now_s)
        if any(self._queues.values()):
            self._schedule_admission()

    def _request_permits(self, name: str, now_s: float) -> None:
        """Request permits for the cold servers of a service with queued requests."""
        service = self._table.services.get(name)
        if service is None:
            return
        for views in service.open_by_region.values():
            for view in views:
                if not view.is_warm and view.limit == 0:
                    self._slow_start.request_permit(
                        self._table.slow_start_states[view.backend.id], now_s
                    )

    def admit_all(self) -> None:
        """Admit queued requests of every service."""
        for name, queue in self._queues.items():
            service = self._table.services.get(name)
            if queue and service is not None:
                self.admit(service)

    def admit(self, service: ServiceView) -> None:
        """Reserve servers for queued requests while any is below its limit."""
        queue = self._queues.get(service.name)
        if not queue:
            return
        now_s = self._timer.now()
        queued_count = len(queue)
        blocked_regions: set[frozenset[str]] = set()
        selected: list[BackendView] = []

        def try_select(queued_item: QueuedItem[_PendingRequest]) -> bool:
            if queued_item.item.future.done():
                return True  # cancelled, but its task has not run yet; dropped below
            req = queued_item.item.req
            if not req.excluded and req.regions in blocked_regions:
                return False
            view = self._selector.select(req, service, queued_count, now_s)
            if view is not None:
                selected.append(view)
                return True
            if not req.excluded:
                blocked_regions.add(req.regions)
            return False

        while True:
            selected.clear()
            queued_item = queue.pop(now_s, try_select)
            if queued_item is None:
                return
            if not queued_item.item.future.done():
                reservation = self._reserve(selected[-1], queued_item.item.req)
                queued_item.item.future.set_result(reservation)


def _refuse(pending: _PendingRequest, refusal: Refusal) -> None:
    if not pending.future.done():
        pending.future.set_exception(refusal)


def make_deadline_refusal() -> Refusal:
    """Return the refusal of a request whose deadline passed before it was sent."""
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        "the deadline passed before a backend server was available",
    )


def _make_timeout_refusal() -> Refusal:
    return Refusal(
        RefusalCode.QUEUE_TIMEOUT,
        "no backend server was available within the maximum queue time",
        retry_after_s=RETRY_AFTER_S,
    )


def _make_shed_refusal(retry_after_s: float) -> Refusal:
    return Refusal(
        RefusalCode.QUEUE_FULL,
        "the queue is full and the request was shed in favour of another one",
        retry_after_s=retry_after_s,
    )
