"""Slots and permits at backend servers of this group, for requests of other hosts."""

from ..desired import Directory
from ..logs import EventSampler
from ..placing import (
    BackendLoad,
    BackendLoadTable,
    LimitedServers,
    Refused,
    Selection,
    SelectionRequest,
)
from ..timing import Subscription, TimerService
from ._permits import PermitAnswer
from ._rate_limits import RateLimitTracker
from ._reserved_slot import NeighbourNotifier
from ._slot_finder import MIN_ATTEMPT_TIME_S, SlotFinder

RESERVATION_TIME_FACTOR = 3.0  # multiple of the expected time of the request


class SlotOffers:
    """Reserves slots for hosts of other groups and issues permits to neighbours.

    Args:
        timer: Source of time.
        directory: Desired state.
        load_table: Loads of the servers.
        slot_finder: Finds the slots.
        notifier: Notifies neighbours.
        sampler: Logs decisions.
        rate_limits: Counts the permits.
    """

    __slots__ = (
        "_timer",
        "_directory",
        "_load_table",
        "_slot_finder",
        "_notifier",
        "_sampler",
        "_rate_limits",
        "_reserved",
    )

    def __init__(
        self,
        timer: TimerService,
        directory: Directory,
        load_table: BackendLoadTable,
        slot_finder: SlotFinder,
        notifier: NeighbourNotifier,
        sampler: EventSampler,
        rate_limits: RateLimitTracker,
    ) -> None:
        self._timer = timer
        self._directory = directory
        self._load_table = load_table
        self._slot_finder = slot_finder
        self._notifier = notifier
        self._sampler = sampler
        self._rate_limits = rate_limits
        self._reserved: dict[tuple[str, int], tuple[BackendLoad, Subscription]] = {}

    def _make_request(
        self, service: str, route_name: str, service_time_s: float, wait_s: float
    ) -> SelectionRequest | None:
        """Return the request of another host, or None if its route is unknown."""
        now_s = self._timer.now()
        state = self._directory.state
        route = state.find_route_by_name(route_name) if state else None
        if route is None:
            return None
        return SelectionRequest(
            "",
            route,
            service,
            objective_s=now_s + route.objective_s,
            deadline_s=now_s + wait_s + service_time_s + MIN_ATTEMPT_TIME_S,
            service_time_s=service_time_s,
        )

    async def offer(
        self,
        key: tuple[str, int],
        service: str,
        route_name: str,
        service_time_s: float,
        can_share: bool,
        wait_s: float,
    ) -> Selection | None:
        """Reserve a slot for a host of another group.

        Args:
            key: Address of the host and number of its slot request.
            service: Name of the service.
            route_name: Name of the route.
            service_time_s: Expected service time of the request, in seconds.
            can_share: Whether a server with other requests in flight is acceptable.
            wait_s: How long the request may be queued here, in seconds.

        Returns:
            The selected server, or None if there is no free slot.
        """
        req = self._make_request(service, route_name, service_time_s, wait_s)
        if req is None:
            return None
        queue = self._slot_finder.queue(service)
        if queue and wait_s <= 0.0:
            return None  # requests queued at this host go first
        try:
            selection = await self._slot_finder.choose(
                req, queue, not can_share, own_group_only=True, max_probe_rounds=1
            )
            must_be_idle_now = not can_share and wait_s <= 0.0
            if selection.load is None or (
                selection.in_flight >= 1.0 and must_be_idle_now
            ):
                selection.load = None
                selection.max_wait_s = wait_s
                if wait_s <= 0.0 or not await self._slot_finder.wait_in_queue(
                    req, queue, selection, can_share
                ):
                    return None
        except Refused:
            return None
        load = selection.load
        if load is None:
            return None
        if selection.begun_s is not None:
            load.keep_reserved(selection.begun_s)
        else:
            load.reserve_slot(self._timer.now())
        reserved_s = RESERVATION_TIME_FACTOR * max(service_time_s, selection.expected_s)
        reserved_s = min(reserved_s, req.route.timeout_s + MIN_ATTEMPT_TIME_S)
        self.release_offer(key)  # a request that was delivered twice
        self._reserved[key] = (
            load,
            self._timer.call_later(reserved_s, lambda: self.release_offer(key)),
        )
        self._notifier.notify_change(load, None)
        return selection

    def release_offer(self, key: tuple[str, int]) -> None:
        """Release an offered slot when its request or reservation has ended."""
        reserved = self._reserved.pop(key, None)
        if reserved is None:
            return
        load, expiry = reserved
        expiry.cancel()
        load.end(-1.0)
        self._notifier.notify_change(load, None)
        self._slot_finder.dispatch_queued(load.entry.service)

    async def issue_permit(
        self,
        neighbour: str,
        request_id: str,
        service: str,
        route_name: str,
        service_time_s: float,
        max_wait_s: float,
    ) -> PermitAnswer:
        """Issue a permit for a rate-limited server to a host of this group.

        Args:
            neighbour: Name of the host.
            request_id: Id of the caller's request, for the log.
            service: Name of the service.
            route_name: Name of the route.
            service_time_s: Expected service time of the request, in seconds.
            max_wait_s: How long the request may be queued here, in seconds.
        """
        answer = await self._find_permit(
            neighbour, service, route_name, service_time_s, max_wait_s
        )
        name = "permit_denied" if answer.load is None else "permit_issued"
        self._rate_limits.events[name] += 1
        self._sampler.log(
            name,
            id=request_id,
            host=neighbour,
            service=service,
            route=route_name,
            backend=answer.load.entry.id if answer.load is not None else "",
            retry_after_s=answer.retry_after_s,
        )
        return answer

    async def _find_permit(
        self,
        neighbour: str,
        service: str,
        route_name: str,
        service_time_s: float,
        max_wait_s: float,
    ) -> PermitAnswer:
        permits = self._load_table.permits
        req = self._make_request(service, route_name, service_time_s, max_wait_s)
        if req is None or not permits.is_coordinator(service, self._timer.now()):
            return PermitAnswer(None)
        queue = self._slot_finder.queue(service)
        if queue and max_wait_s <= 0.0:
            return PermitAnswer(None)  # requests queued at this host go first
        try:
            selection = await self._slot_finder.choose_by_limit(
                req, queue, True, own_group_only=True, limited=LimitedServers.REQUIRED
            )
            if selection.load is None and not (
                max_wait_s > 0.0
                and await self._slot_finder.wait_in_queue(
                    req,
                    queue,
                    selection,
                    False,
                    max_wait_s,
                    LimitedServers.REQUIRED,
                )
            ):
                return PermitAnswer(None)
        except Refused as exc:
            is_final = exc.code == "rate_limited"
            retry_after_s = exc.retry_after_s if is_final else 0.0
            return PermitAnswer(None, retry_after_s=retry_after_s)
        load = selection.load
        assert load is not None
        now_s = self._timer.now()
        if selection.begun_s is None:
            load.permits.issue(neighbour, now_s)
        else:
            # The token was taken when the queue assigned the server.
            load.end(selection.begun_s)
            load.permits.expect_send(neighbour, now_s)
        return PermitAnswer(load, in_flight=selection.in_flight)
