"""Finds slots at backend servers: in this group, by queueing, or in other groups."""

import asyncio
import math
from collections.abc import Collection

from ..desired import Directory
from ..logs import EventSampler
from ..placing import (
    NO_LIMIT,
    BackendLoad,
    BackendLoadTable,
    BackendSelector,
    LimitedServers,
    QueuedRequest,
    Refused,
    RemoteRegionFallback,
    RequestQueue,
    Selection,
    SelectionRequest,
    SelectionVerdict,
)
from ..timing import TimerService
from ._permits import PermitRequester
from ._probing import MAX_PROBE_ROUNDS, LoadProber
from ._reserved_slot import NO_FREE_SLOT, NeighbourNotifier, ReservedSlot

QUEUE_CHECK_PERIOD_S = 0.03  # finds slots that became free without a report
FULL_RETRY_AFTER_S = 0.2  # a full data centre may have a free slot by then
MIN_ATTEMPT_TIME_S = 0.01  # an attempt with less time until its deadline is useless
QUIET_SERVER_PERIOD_S = 0.02  # between looks for a server without requests
MAX_QUIET_WAIT_S = 0.3  # for one; then a request may run beside others
# Share of idle servers from which one is kept for a request alone.
ALONE_IDLE_SHARE = 0.25
WITHOUT_PERMIT = "without_permit"  # why an offered server is not used
RATE_TOLERANCE = 0.01  # share by which the rates of two hosts may differ
MAX_ASKED_GROUPS = 3  # per pass, before the request is queued here or there


class SlotFinder:
    """Finds slots for the requests of this host and of other groups.

    The loads of other groups are not known here. So a request normally leaves its group
    only with a slot that a host of the other group has reserved for it. A rate-limited
    or cold server gets it only with a permit of the coordinator of its service.

    Args:
        timer: Source of time.
        directory: Desired state.
        load_table: Loads of the servers.
        selector: Selects servers.
        notifier: Notifies neighbours and requests slots of other groups.
        sampler: Logs decisions.
        prober: Refreshes the load reports of servers before a selection, or None.
    """

    __slots__ = (
        "_prober",
        "_timer",
        "_directory",
        "_load_table",
        "_selector",
        "_notifier",
        "_sampler",
        "_queues",
        "_is_check_scheduled",
        "_probe_tasks",
        "_permit_requester",
    )

    def __init__(
        self,
        timer: TimerService,
        directory: Directory,
        load_table: BackendLoadTable,
        selector: BackendSelector,
        notifier: NeighbourNotifier,
        sampler: EventSampler,
        prober: LoadProber | None = None,
    ) -> None:
        self._prober = prober
        self._timer = timer
        self._directory = directory
        self._load_table = load_table
        self._selector = selector
        self._notifier = notifier
        self._sampler = sampler
        self._queues: dict[str, RequestQueue] = {}
        self._is_check_scheduled = False
        self._probe_tasks: dict[str, asyncio.Task[bool]] = {}
        self._permit_requester = PermitRequester(
            timer, load_table, selector, notifier, self._use_permit
        )

    def queue(self, service: str) -> RequestQueue:
        """Return the queue of a service."""
        return self._queues.setdefault(service, RequestQueue())

    def has_queued(self, service: str) -> bool:
        """Return whether requests of a service are queued here."""
        return bool(self._queues.get(service))

    async def find(self, req: SelectionRequest) -> Selection:
        """Return the selected server, after queueing if necessary.

        Raises:
            Refused: No server can answer in time.
        """
        try:
            return await self._find_in_groups(req)
        except Refused as exc:
            found = await self._request_remote_slot(req)
            if found is None:
                raise
            self._sampler.log("request_sent_far", id=req.id, instead_of=exc.code)
            return found

    async def find_quiet(
        self, req: SelectionRequest, *, must_be_alone: bool
    ) -> Selection:
        """Return a server that runs no other request, for one that may crash it.

        Args:
            req: The request.
            must_be_alone: Whether to wait for such a server. Otherwise it is used only
                if there are enough of them.

        Raises:
            Refused: No server can answer in time.
        """
        end_s = self._timer.now() + (MAX_QUIET_WAIT_S if must_be_alone else 0.0)
        while True:
            selection = await self.find_hedge_slot(req)
            if selection is not None and selection.load is not None:
                if must_be_alone or selection.idle_share >= ALONE_IDLE_SHARE:
                    now_s = self._timer.now()
                    selection.load.begin(now_s)
                    selection.begun_s = now_s
                    selection.held_slots = selection.load.hold_free_slots()
                    return selection
            if self._timer.now() >= end_s:
                return await self.find(req)
            await self._timer.sleep(QUIET_SERVER_PERIOD_S)

    async def _find_in_groups(self, req: SelectionRequest) -> Selection:
        """Find a slot in this group or, if it has none, in other groups."""
        full_groups: set[str] = set()
        can_wait_for_idle = True
        fallback = RemoteRegionFallback(self._selector, req)
        while True:
            now_s = self._timer.now()
            if now_s + MIN_ATTEMPT_TIME_S >= req.deadline_s:
                raise Refused("no time is left", 0.0, code="no_time")
            queue = self.queue(req.service)
            selection = await self.choose(req, queue, can_wait_for_idle, full_groups)
            load = selection.load
            if load is not None and load.group == self._load_table.groups.own:
                return selection
            if load is not None and len(full_groups) < MAX_ASKED_GROUPS:
                found = await self._request_slot(req, selection, can_wait_for_idle)
                if found is not None:
                    return found
                full_groups.add(load.group)
            elif full_groups and not selection.usable_in_group:
                if not can_wait_for_idle:
                    raise Refused(
                        "no room elsewhere", FULL_RETRY_AFTER_S, code="no_room"
                    )
                # The second pass accepts a shared server and a queue.
                can_wait_for_idle = False
                full_groups.clear()
            elif fallback.is_due(now_s):
                found = await self._request_remote_slot(req, fallback)
                if found is not None:
                    return found
            else:
                limit_s = fallback.time_until_due_s(now_s)
                if await self.wait_in_queue(
                    req, queue, selection, not can_wait_for_idle, limit_s
                ):
                    return selection
                if (
                    not selection.is_awaiting_fast_machine
                    and selection.max_wait_s <= limit_s
                ):
                    can_wait_for_idle = False
                    full_groups.clear()

    async def choose(
        self,
        req: SelectionRequest,
        queue: RequestQueue,
        can_wait_for_idle: bool,
        avoid: Collection[str] = (),
        *,
        own_group_only: bool = False,
        max_probe_rounds: int = MAX_PROBE_ROUNDS,
    ) -> Selection:
        """Select a server, with a permit if it needs one, or decide to wait."""

        async def choose(limited: LimitedServers) -> Selection:
            return await self.choose_by_limit(
                req,
                queue,
                can_wait_for_idle,
                avoid,
                own_group_only=own_group_only,
                max_probe_rounds=max_probe_rounds,
                limited=limited,
            )

        selection = await choose(LimitedServers.ALLOWED)
        if selection.needs_permit:
            permit = await self._notifier.request_permit(req, 0.0)
            if permit is None or not self._use_permit(req, selection, permit):
                selection = await choose(LimitedServers.EXCLUDED)
        return selection

    async def choose_by_limit(
        self,
        req: SelectionRequest,
        queue: RequestQueue,
        can_wait_for_idle: bool,
        avoid: Collection[str] = (),
        *,
        own_group_only: bool = False,
        max_probe_rounds: int = MAX_PROBE_ROUNDS,
        limited: LimitedServers,
    ) -> Selection:
        """Select a server by fresh load reports, or decide to wait."""
        for rounds_left in range(max_probe_rounds, -1, -1):
            now_s = self._timer.now()
            # With requests ahead, the selector would queue a request rather than have
            # it share a server; one that no longer waits for an idle server may share.
            selection = self._selector.choose(
                req,
                now_s,
                ahead=queue.ahead_of(req, now_s) if can_wait_for_idle else 0,
                can_wait=can_wait_for_idle,
                own_group_only=own_group_only,
                avoid=avoid,
                limited=limited,
            )
            queue.is_rate_limited = (
                0 < selection.limited_count == (selection.usable_in_group)
            )
            if self._prober is None or not rounds_left or not selection.probe_targets:
                break
            if not await self._prober.refresh(
                selection.probe_targets, req.service, req.service_time_s
            ):
                break
        return selection

    async def find_hedge_slot(self, req: SelectionRequest) -> Selection | None:
        """Return an idle server of this group for a hedged request, or None.

        Rate-limited servers are left to requests that have no server yet.
        """
        queue = self.queue(req.service)
        if queue:
            return None
        try:
            selection = await self.choose_by_limit(
                req,
                queue,
                False,
                own_group_only=True,
                limited=LimitedServers.EXCLUDED,
            )
        except Refused:
            return None
        if selection.load is None or selection.in_flight >= 1.0:
            return None
        return selection

    async def _request_slot(
        self, req: SelectionRequest, selection: Selection, can_wait_for_idle: bool
    ) -> Selection | None:
        """Request a slot in the group of a selected server; None if it has none.

        A request with usable servers in this group accepts only an idle server there,
        at once. One without looks for an idle server first, and in the second pass is
        queued there, in the order of that group.
        """
        assert selection.load is not None
        wait_s = 0.0
        can_share = not can_wait_for_idle and not selection.usable_in_group
        if can_share:
            wait_s = req.deadline_s - self._timer.now() - req.service_time_s
        group = selection.load.group
        slot = await self._notifier.request_slot(
            req, group, can_share, max(0.0, wait_s)
        )
        if slot is None:
            return await self._use_without_reservation(req, selection)
        return selection if self._use_reserved_slot(req, selection, slot) else None

    async def _request_remote_slot(
        self, req: SelectionRequest, fallback: RemoteRegionFallback | None = None
    ) -> Selection | None:
        """Request a slot in another region if it would be refused or late here."""
        avoid = fallback.asked_groups if fallback else ()
        load = self._selector.remote_region_backend(req, self._timer.now(), avoid=avoid)
        if load is None:
            if fallback is not None:
                fallback.end()
            return None
        if fallback is not None:
            fallback.asked_groups.add(load.group)
        slot = await self._notifier.request_slot(req, load.group, True, 0.0)
        selection = Selection(SelectionVerdict.PLACE, load)
        if slot is None or not self._use_reserved_slot(req, selection, slot):
            return None
        return selection

    def _use_reserved_slot(
        self, req: SelectionRequest, selection: Selection, slot: ReservedSlot
    ) -> bool:
        """Use a slot reserved by another group; return False if it is not usable."""
        if slot.backend == NO_FREE_SLOT:
            return False
        load = self._load_table.loads.get(slot.backend)
        reason = self._find_slot_fault(req, load, slot)
        if load is None or reason:
            self._sampler.log(
                "offered_slot_unusable",
                id=req.id,
                backend=slot.backend,
                host=slot.address,
                reason=reason,
            )
            self._notifier.release(slot)
            if load is not None and reason == WITHOUT_PERMIT:
                self._notifier.report_limit(load, slot.address)
            return False
        selection.load = load
        selection.granted_by = slot.address
        selection.permit_end_s = slot.expires_s
        selection.in_flight = float(slot.in_flight)
        selection.is_slowdown_current = slot.slowdown > 0.0
        selection.slowdown = slot.slowdown or selection.slowdown
        selection.expected_s = req.service_time_s * selection.slowdown
        selection.release = lambda: self._notifier.release(slot)
        return True

    def _find_slot_fault(
        self, req: SelectionRequest, load: BackendLoad | None, slot: ReservedSlot
    ) -> str:
        """Return why an offered server may not serve a request, or "".

        A host that does not know the limit of a server, or knows a higher one, has
        counted the offer against nothing, or against too much.
        """
        if load is None:
            return "unknown_server"
        if load.entry.service != req.service:
            return "other_service"
        if load.entry.id in req.excluded:
            return "tried_before"
        if not self._selector.is_allowed(load, req.route, self._timer.now()):
            return "out_of_service"
        limit_per_s = load.told_limit_per_s(self._timer.now())
        is_within = 0.0 < slot.permit_per_s <= limit_per_s * (1.0 + RATE_TOLERANCE)
        if limit_per_s > NO_LIMIT and not (is_within or slot.is_own_permit):
            return WITHOUT_PERMIT
        return ""

    def _use_permit(
        self, req: SelectionRequest, selection: Selection, permit: ReservedSlot
    ) -> bool:
        """Use a permit of the coordinator; return False if it is not usable."""
        if not self._use_reserved_slot(req, selection, permit):
            return False
        selection.release = None  # the coordinator reserves no slot
        selection.needs_permit = False
        return True

    async def _use_without_reservation(
        self, req: SelectionRequest, selection: Selection
    ) -> Selection | None:
        """Use a server of another group without a slot reserved there.

        The host asked did not answer, or all hosts of the group are paused after such
        silence.

        Hosts and servers of a data centre tend to fail together, so the server must
        answer a probe first. A cold or rate-limited server is left to its own group,
        since the hosts of other groups do not know how much each of them sends to it.
        """
        load = selection.load
        if selection.usable_in_group or load is None:
            return None
        if self._prober is not None:
            if not await self._prober.is_alive(load, req.service):
                return None
        now_s = self._timer.now()
        if load.is_limited(now_s):
            return None
        if load.in_flight(now_s) >= load.entry.slots:
            return None
        return selection

    async def wait_in_queue(
        self,
        req: SelectionRequest,
        queue: RequestQueue,
        selection: Selection,
        can_share: bool,
        limit_s: float = math.inf,
        limited: LimitedServers = LimitedServers.ALLOWED,
    ) -> bool:
        """Queue for a free slot here; return False if the wait was given up."""
        now_s = self._timer.now()
        fut: asyncio.Future[Selection] = asyncio.get_running_loop().create_future()
        item = QueuedRequest(req, now_s, can_share, fut, limited)
        queue.add(item)
        self._schedule_queue_check()
        self._sampler.log(
            "request_queued",
            id=req.id,
            service=req.service,
            waiting=len(queue),
            wait_s=selection.wait_s,
            patience_s=selection.max_wait_s,
            at_limit=selection.without_permit_count,
            cold=selection.cold_count,
        )
        end_s = min(selection.max_wait_s, req.deadline_s - now_s, limit_s)
        if not selection.usable_in_group:
            end_s = min(end_s, QUEUE_CHECK_PERIOD_S)  # no server here can become free
        permit_task = self._permit_requester.start(item, selection)
        try:
            async with asyncio.timeout(max(0.0, end_s)):
                selection.copy_from(await fut)
        except TimeoutError:
            _release_selected_slot(fut)
            return False
        except BaseException:
            _release_selected_slot(fut)
            raise
        finally:
            queue.discard(item)
            if permit_task is not None:
                permit_task.cancel()
        return True

    def dispatch_queued(self, service: str) -> None:
        """Assign free slots here to the queued requests of a service."""
        queue = self._queues.get(service)
        if not queue:
            return
        now_s = self._timer.now()
        is_coordinator = self._load_table.permits.is_coordinator(service, now_s)
        selection: Selection | None = None
        for item in queue.in_order(now_s):
            if item.fut.done():
                queue.discard(item)
                continue
            try:
                selection = self._selector.choose(
                    item.req,
                    now_s,
                    can_wait=not item.can_share,
                    own_group_only=True,
                    limited=_usable_servers(item, is_coordinator),
                )
            except Refused as exc:
                if exc.code == "no_backend":
                    continue  # another group may have one; keep waiting
                queue.discard(item)
                item.fut.set_exception(exc)
                continue
            if selection.probe_targets and self._start_probing(selection, item.req):
                break  # this runs again when the probes have ended
            if selection.load is not None:
                queue.discard(item)
                # Counted at once, so that the next selection takes it into account.
                selection.load.begin(now_s)
                selection.begun_s = now_s
                item.fut.set_result(selection)
            elif selection.candidate_count == 0 and (
                item.limited is LimitedServers.ALLOWED
            ):
                break
        if is_coordinator and selection is not None:
            self._refuse_hopeless(queue, selection, now_s)

    def _refuse_hopeless(
        self, queue: RequestQueue, selection: Selection, now_s: float
    ) -> None:
        """Refuse queued requests for which the limits of the servers leave no time."""
        if not selection.limited_count or (
            selection.limited_count < selection.usable_in_group
        ):
            return
        hopeless = queue.find_hopeless(
            selection.completions_per_s, now_s, selection.warm_in_s
        )
        for item, wait_s in hopeless:
            queue.discard(item)
            if not item.fut.done():
                item.fut.set_exception(
                    self._selector.refuse_for_limits(item.req, wait_s, now_s)
                )

    def _start_probing(self, selection: Selection, req: SelectionRequest) -> bool:
        """Probe for the queued requests of a service; return whether probes run."""
        prober = self._prober
        service = req.service
        if prober is None or not prober.is_worthwhile(service, req.service_time_s):
            return False
        if service in self._probe_tasks:
            return True
        task = asyncio.get_running_loop().create_task(
            prober.refresh(selection.probe_targets, service, req.service_time_s)
        )
        self._probe_tasks[service] = task
        task.add_done_callback(lambda _: self._on_probed(service))
        return True

    def _on_probed(self, service: str) -> None:
        del self._probe_tasks[service]
        self.dispatch_queued(service)

    def _schedule_queue_check(self) -> None:
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._timer.call_later(QUEUE_CHECK_PERIOD_S, self._check_queues)

    def _check_queues(self) -> None:
        self._is_check_scheduled = False
        for service, queue in list(self._queues.items()):
            if queue:
                self.dispatch_queued(service)
        if any(self._queues.values()):
            self._schedule_queue_check()


def _usable_servers(item: QueuedRequest, is_coordinator: bool) -> LimitedServers:
    """Return which servers a queued request may get from this host."""
    if is_coordinator:
        return item.limited
    if item.limited is LimitedServers.REQUIRED:
        raise Refused("another host coordinates", 0.0, code="not_coordinator")
    return LimitedServers.EXCLUDED


def _release_selected_slot(fut: "asyncio.Future[Selection]") -> None:
    """Release a slot that was assigned to a request that no longer waits."""
    if fut.done() and not fut.cancelled() and fut.exception() is None:
        selection = fut.result()
        if selection.load is not None and selection.begun_s is not None:
            selection.load.end(selection.begun_s)
