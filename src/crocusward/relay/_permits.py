"""Permits for rate-limited servers: requests to the coordinator and its answers."""

import asyncio
from collections.abc import Callable

from ..model import Record
from ..placing import (
    BackendLoad,
    BackendLoadTable,
    BackendSelector,
    LimitedServers,
    QueuedRequest,
    Selection,
    SelectionRequest,
    SelectionVerdict,
)
from ..timing import TimerService
from ._reserved_slot import NeighbourNotifier, ReservedSlot

PERMIT_RETRY_S = 0.1  # between requests for a permit that were not answered


class PermitAnswer(Record):
    """A permit for one request to a rate-limited server, or its denial.

    Attributes:
        load: The server, or None if the permit is denied.
        in_flight: Other requests in flight there.
        retry_after_s: When a permit is expected, after a denial; 0.0 if unknown.
    """

    __slots__ = ("load", "in_flight", "retry_after_s")

    def __init__(
        self,
        load: BackendLoad | None,
        *,
        in_flight: float = 0.0,
        retry_after_s: float = 0.0,
    ) -> None:
        self.load = load
        self.in_flight = in_flight
        self.retry_after_s = retry_after_s


class PermitRequester:
    """Requests permits for requests that are queued at this host.

    Args:
        timer: Source of time.
        load_table: Loads of the servers.
        selector: Words the refusals.
        notifier: Sends the requests to the coordinator.
        use_permit: Applies a permit to a selection; returns False if it is not usable.
    """

    __slots__ = ("_timer", "_load_table", "_selector", "_notifier", "_use_permit")

    def __init__(
        self,
        timer: TimerService,
        load_table: BackendLoadTable,
        selector: BackendSelector,
        notifier: NeighbourNotifier,
        use_permit: Callable[[SelectionRequest, Selection, ReservedSlot], bool],
    ) -> None:
        self._timer = timer
        self._load_table = load_table
        self._selector = selector
        self._notifier = notifier
        self._use_permit = use_permit

    def start(
        self, item: QueuedRequest, selection: Selection
    ) -> "asyncio.Task[None] | None":
        """Queue a request at the coordinator as well, if servers here are limited.

        It may wait there up to its deadline, also if this host looks for a slot
        elsewhere before: the coordinator would refuse it too early otherwise.
        """
        service = item.req.service
        is_own = self._load_table.permits.is_coordinator(service, self._timer.now())
        if (
            not selection.limited_count
            or is_own
            or item.limited is not LimitedServers.ALLOWED
        ):
            return None
        has_others = selection.usable_in_group > selection.limited_count
        return asyncio.get_running_loop().create_task(self._request(item, has_others))

    async def _request(self, item: QueuedRequest, has_others: bool) -> None:
        """Wait for a permit for a queued request.

        Args:
            item: The request.
            has_others: Whether it may also run on a server without a limit.
        """
        end_s = item.req.deadline_s - item.req.service_time_s
        while not item.fut.done() and (left_s := end_s - self._timer.now()) > 0.0:
            permit = await self._notifier.request_permit(item.req, left_s)
            if item.fut.done():
                return
            selection = Selection(SelectionVerdict.PLACE, None)
            now_s = self._timer.now()
            if permit is not None and self._use_permit(item.req, selection, permit):
                assert selection.load is not None
                selection.load.begin(now_s)
                selection.begun_s = now_s
                item.fut.set_result(selection)
            elif permit is not None and permit.retry_after_s > 0.0 and not has_others:
                item.fut.set_exception(
                    self._selector.refuse_for_limits(
                        item.req, permit.retry_after_s, now_s
                    )
                )
            else:
                await self._timer.sleep(PERMIT_RETRY_S)
