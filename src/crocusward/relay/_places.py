"""Finds a place at a backend server: chosen here, waited for, or asked for."""

import asyncio
import math
from collections.abc import Collection

from ..desired import Directory
from ..logs import EventSampler
from ..placing import (
    BackendLoad,
    BackendLoadTable,
    BackendSelector,
    QueuedRequest,
    Refused,
    RemoteRegionFallback,
    RequestQueue,
    Selection,
    SelectionRequest,
    SelectionVerdict,
)
from ..timing import TimerService
from ._kept import FULL, Announcer, KeptPlace
from ._probing import MAX_ROUNDS, PaceProber

QUEUE_CHECK_S = 0.03  # catches room that no report announced
RETRY_S = 0.2  # after which a full data centre may have room
KEEP_FACTOR = 3.0  # times the expected time for which a place of another host counts
MIN_SEND_S = 0.01  # less time at a server is no use
MAX_ASKS = 3  # groups that are asked before the request waits, or waits there


class PlaceFinder:
    """Finds places for the requests of this host and of other data centres.

    Loads of other groups are not known here, so that a request leaves its group only
    with a place that a host there has kept for it.

    Args:
        timer: Source of time.
        directory: Desired state.
        book: Loads of the servers.
        placer: Chooses servers.
        announcer: Tells and asks others.
        sampler: Logs decisions.
        prober: Refreshes the pace of servers before a choice, or None.
    """

    __slots__ = (
        "_prober",
        "_timer",
        "_directory",
        "_book",
        "_placer",
        "_announcer",
        "_sampler",
        "_queues",
        "_kept",
        "_checking",
        "_probing",
    )

    def __init__(
        self,
        timer: TimerService,
        directory: Directory,
        book: BackendLoadTable,
        placer: BackendSelector,
        announcer: Announcer,
        sampler: EventSampler,
        prober: PaceProber | None = None,
    ) -> None:
        self._prober = prober
        self._timer = timer
        self._directory = directory
        self._book = book
        self._placer = placer
        self._announcer = announcer
        self._sampler = sampler
        self._queues: dict[str, RequestQueue] = {}
        self._checking = False
        self._probing: dict[str, asyncio.Task[bool]] = {}
        self._kept: dict[tuple[str, int], BackendLoad] = {}

    def has_waiting(self, service: str) -> bool:
        """Return whether requests of a service wait here."""
        return bool(self._queues.get(service))

    async def find(self, place: SelectionRequest) -> Selection:
        """Return a place, after a wait if need be.

        Raises:
            Refused: No server can answer in time.
        """
        try:
            return await self._find_near(place)
        except Refused as exc:
            found = await self._ask_far(place)
            if found is None:
                raise
            self._sampler.log("request_sent_far", id=place.id, instead_of=exc.code)
            return found

    async def _find_near(self, place: SelectionRequest) -> Selection:
        """Return a place here, or in the other groups that may be asked."""
        full: set[str] = set()
        is_patient = True
        overflow = RemoteRegionFallback(self._placer, place)
        while True:
            now_s = self._timer.now()
            if now_s + MIN_SEND_S >= place.deadline_s:
                raise Refused("no time is left", 0.0, code="no_time")
            queue = self._queues.setdefault(place.service, RequestQueue())
            choice = await self._choose(place, queue, is_patient, full)
            load = choice.load
            if load is not None and load.group == self._book.groups.own:
                return choice
            if load is not None and len(full) < MAX_ASKS:
                found = await self._ask(place, choice, is_patient)
                if found is not None:
                    return found
                full.add(load.group)
            elif full and not choice.usable_in_group:
                if not is_patient:
                    raise Refused("no room elsewhere", RETRY_S, code="no_room")
                # The next questions accept a shared server and a wait.
                is_patient = False
                full.clear()
            elif overflow.is_due(now_s):
                found = await self._ask_far(place, overflow)
                if found is not None:
                    return found
            else:
                limit_s = overflow.time_until_due_s(now_s)
                if await self._wait(place, queue, choice, not is_patient, limit_s):
                    return choice
                if not choice.is_awaiting_fast_machine and choice.max_wait_s <= limit_s:
                    is_patient = False
                    full.clear()

    async def _choose(
        self,
        place: SelectionRequest,
        queue: RequestQueue,
        is_patient: bool,
        avoid: Collection[str] = (),
        *,
        own_group_only: bool = False,
        rounds: int = MAX_ROUNDS,
    ) -> Selection:
        """Decide on a request by the present pace of the servers in question."""
        for rounds_left in range(rounds, -1, -1):
            now_s = self._timer.now()
            choice = self._placer.choose(
                place,
                now_s,
                ahead=queue.ahead_of(place, now_s) if is_patient else 0,
                can_wait=is_patient,
                own_group_only=own_group_only,
                avoid=avoid,
            )
            if self._prober is None or not rounds_left or not choice.probe_targets:
                break
            if not await self._prober.refresh(
                choice.probe_targets, place.service, place.service_time_s
            ):
                break
        return choice

    async def find_second(self, place: SelectionRequest) -> Selection | None:
        """Return a place for a second copy of a request at an idle server here."""
        queue = self._queues.setdefault(place.service, RequestQueue())
        if queue:
            return None
        try:
            choice = await self._choose(place, queue, False, own_group_only=True)
        except Refused:
            return None
        if choice.load is None or choice.in_flight >= 1.0:
            return None
        return choice

    async def _ask(
        self, place: SelectionRequest, choice: Selection, is_patient: bool
    ) -> Selection | None:
        """Ask for a place in the data centre of a choice; None if it has none.

        A request with servers here takes only an idle server there, at once. One that
        must leave looks for an idle one first, then waits there, in the order of that
        data centre.
        """
        assert choice.load is not None
        wait_s = 0.0
        shared = not is_patient and not choice.usable_in_group
        if shared:
            wait_s = place.deadline_s - self._timer.now() - place.service_time_s
        group = choice.load.group
        kept = await self._announcer.ask(place, group, shared, max(0.0, wait_s))
        if kept is None:
            return await self._take_unasked(place, choice)
        return choice if self._take_kept(place, choice, kept) else None

    async def _ask_far(
        self, place: SelectionRequest, overflow: RemoteRegionFallback | None = None
    ) -> Selection | None:
        """Ask another region for a request that would be refused or late here."""
        avoid = overflow.asked_groups if overflow else ()
        load = self._placer.remote_region_backend(place, self._timer.now(), avoid=avoid)
        if load is None:
            if overflow is not None:
                overflow.end()
            return None
        if overflow is not None:
            overflow.asked_groups.add(load.group)
        kept = await self._announcer.ask(place, load.group, True, 0.0)
        choice = Selection(SelectionVerdict.PLACE, load)
        if kept is None or not self._take_kept(place, choice, kept):
            return None
        return choice

    def _take_kept(
        self, place: SelectionRequest, choice: Selection, kept: KeptPlace
    ) -> bool:
        """Use a place that another group keeps; return False if it is no use."""
        if kept.backend == FULL:
            return False
        load = self._book.loads.get(kept.backend)
        is_usable = (
            load is not None
            and kept.backend not in place.excluded
            and self._placer.is_allowed(load, place.route)
        )
        if load is None or not is_usable:
            self._announcer.release(kept)
            return False
        choice.load = load
        choice.in_flight = float(kept.in_flight)
        choice.is_slowdown_current = kept.pace > 0.0
        choice.slowdown = kept.pace or choice.slowdown
        choice.expected_s = place.service_time_s * choice.slowdown
        choice.release = lambda: self._announcer.release(kept)
        return True

    async def _take_unasked(
        self, place: SelectionRequest, choice: Selection
    ) -> Selection | None:
        """Return a choice of another group that nobody there answered for.

        Hosts and servers of a data centre fail together, so that the server must
        answer a probe first. A cold one is left to its own group, since the hosts of
        other groups do not know how much each of them sends.
        """
        load = choice.load
        if choice.usable_in_group or load is None:
            return None
        if self._prober is not None:
            if not await self._prober.is_alive(load, place.service):
                return None
        now_s = self._timer.now()
        if load.is_cold(now_s) or load.in_flight(now_s) >= load.entry.slots:
            return None
        return choice

    async def _wait(
        self,
        place: SelectionRequest,
        queue: RequestQueue,
        choice: Selection,
        can_share: bool,
        limit_s: float = math.inf,
    ) -> bool:
        """Wait for room here; return False when waiting longer does not pay."""
        now_s = self._timer.now()
        fut: asyncio.Future[Selection] = asyncio.get_running_loop().create_future()
        item = QueuedRequest(place, now_s, can_share, fut)
        queue.add(item)
        self._check_later()
        self._sampler.log(
            "request_queued",
            id=place.id,
            service=place.service,
            waiting=len(queue),
            wait_s=choice.wait_s,
            patience_s=choice.max_wait_s,
        )
        end_s = min(choice.max_wait_s, place.deadline_s - now_s, limit_s)
        if not choice.usable_in_group:
            end_s = min(end_s, QUEUE_CHECK_S)  # no server here can become free
        try:
            async with asyncio.timeout(max(0.0, end_s)):
                choice.copy_from(await fut)
        except TimeoutError:
            _return_place(fut)
            return False
        except BaseException:
            _return_place(fut)
            raise
        finally:
            queue.discard(item)
        return True

    def room_changed(self, service: str) -> None:
        """Place waiting requests of a service while there is room here."""
        queue = self._queues.get(service)
        if not queue:
            return
        now_s = self._timer.now()
        for item in queue.in_order(now_s):
            if item.fut.done():
                queue.discard(item)
                continue
            try:
                choice = self._placer.choose(
                    item.req, now_s, can_wait=not item.can_share, own_group_only=True
                )
            except Refused as exc:
                if exc.code == "no_backend":
                    continue  # servers elsewhere may do; its patience decides
                queue.discard(item)
                item.fut.set_exception(exc)
                continue
            if choice.probe_targets and self._probe_for(choice, item.req):
                break  # the probes lead back here
            if choice.load is not None:
                queue.discard(item)
                # Counted at once, so that the next in the queue sees it.
                choice.load.begin(now_s)
                choice.begun_s = now_s
                item.fut.set_result(choice)
            elif choice.candidate_count == 0:
                break

    def _probe_for(self, choice: Selection, place: SelectionRequest) -> bool:
        """Probe for the waiting requests of a service; return whether under way."""
        prober = self._prober
        service = place.service
        if prober is None or not prober.pays(service, place.service_time_s):
            return False
        if service in self._probing:
            return True
        task = asyncio.get_running_loop().create_task(
            prober.refresh(choice.probe_targets, service, place.service_time_s)
        )
        self._probing[service] = task
        task.add_done_callback(lambda _: self._on_probed(service))
        return True

    def _on_probed(self, service: str) -> None:
        del self._probing[service]
        self.room_changed(service)

    def _check_later(self) -> None:
        if not self._checking:
            self._checking = True
            self._timer.call_later(QUEUE_CHECK_S, self._check_queues)

    def _check_queues(self) -> None:
        self._checking = False
        for service, queue in list(self._queues.items()):
            if queue:
                self.room_changed(service)
        if any(self._queues.values()):
            self._check_later()

    # Places for other data centres.

    async def offer(
        self,
        key: tuple[str, int],
        service: str,
        route_name: str,
        service_time_s: float,
        shared: bool,
        wait_s: float,
    ) -> Selection | None:
        """Keep a place for a host of another group.

        Args:
            key: Address of the host and number of its question.
            service: Name of the service.
            route_name: Name of the route.
            service_time_s: Expected time of the request.
            shared: Whether a server that has a request already will do.
            wait_s: How long the request may wait here.

        Returns:
            The choice of a server, or None if there is no room.
        """
        now_s = self._timer.now()
        state = self._directory.state
        route = state.route_named(route_name) if state else None
        if route is None:
            return None
        place = SelectionRequest(
            "",
            route,
            service,
            objective_s=now_s + route.objective_s,
            deadline_s=now_s + wait_s + service_time_s + MIN_SEND_S,
            service_time_s=service_time_s,
        )
        queue = self._queues.setdefault(service, RequestQueue())
        if queue and wait_s <= 0.0:
            return None  # requests of this host go first
        try:
            choice = await self._choose(
                place, queue, not shared, own_group_only=True, rounds=1
            )
            is_idle_only = not shared and wait_s <= 0.0
            if choice.load is None or (choice.in_flight >= 1.0 and is_idle_only):
                choice.load = None
                choice.max_wait_s = wait_s
                if wait_s <= 0.0 or not await self._wait(place, queue, choice, shared):
                    return None
        except Refused:
            return None
        load = choice.load
        if load is None:
            return None
        now_s = self._timer.now()
        if choice.begun_s is not None:
            load.end(choice.begun_s)
        load.reserve_slot(now_s)
        kept_s = KEEP_FACTOR * max(service_time_s, choice.expected_s)
        kept_s = min(kept_s, route.timeout_s + MIN_SEND_S)
        self._kept[key] = load
        self._timer.call_later(kept_s, lambda: self.end_offer(key))
        self._announcer.announce(load, None)
        return choice

    def end_offer(self, key: tuple[str, int]) -> None:
        """Give a place back, when the request has ended or its time is over."""
        load = self._kept.pop(key, None)
        if load is None:
            return
        load.end(-1.0)
        self._announcer.announce(load, None)
        self.room_changed(load.entry.service)


def _return_place(fut: "asyncio.Future[Selection]") -> None:
    """Give back a place that was found for a request that no longer waits."""
    if fut.done() and not fut.cancelled() and fut.exception() is None:
        choice = fut.result()
        if choice.load is not None and choice.begun_s is not None:
            choice.load.end(choice.begun_s)
