"""Health of backend servers, tracked from exchanges and probes."""

from ..model import BackendAnswer
from ..timing import TimerService
from ._backend_table import BackendTable
from ._backend_view import BackendView
from ._slow_start import SlowStart
from ._types import ExchangeKind, ExchangeResult

DRAIN_PAUSE_S = 10.0  # afterwards the server may return, as a cold one
CONNECT_BACKOFF_S = 0.1  # doubles with each consecutive connection failure
MAX_CONNECT_BACKOFF_S = 2.0
COLD_SUSPECT_COUNT = 2  # consecutive lost or very slow exchanges
# Factor on the longest wait that a server of average latency can cause with every host
# at its limit. Plain overload stays below it, so overload marks no server cold.
COLD_LATENCY_FACTOR = 2.0
MAX_COLD_SHARE = 0.25  # of a service; more cold servers point to another cause
MAX_PROBE_AGE_S = 1.0  # bound on the time since the probe started
ASSUMED_SHED_LOAD = 8  # a server that sheds without a load report has a full queue
MIN_BASELINE_S = 1e-6  # avoids a division by zero in virtual time
MIN_COLD_TIME_S = 0.05  # faster exchanges never count as slow


class HealthTracker:
    """Derives load, latency, pauses and cold marks from results.

    Args:
        timer: Source of time.
        table: State of the servers, updated here.
        slow_start: Receives boot ids, successes and cold marks.
        is_capped: Whether hosts cap their requests at a server; if not, plain
            overload explains any latency.
    """

    __slots__ = ("_timer", "_table", "_slow_start", "_is_capped", "_paused")

    def __init__(
        self,
        timer: TimerService,
        table: BackendTable,
        slow_start: SlowStart,
        *,
        is_capped: bool,
    ) -> None:
        self._timer = timer
        self._table = table
        self._slow_start = slow_start
        self._is_capped = is_capped
        self._paused: list[BackendView] = []

    def record_result(
        self,
        view: BackendView,
        result: ExchangeResult,
        started_s: float,
        link_time_s: float,
    ) -> None:
        """Record the result of an exchange that was started.

        Args:
            view: The server; ignored if it is no longer listed.
            result: How the exchange ended.
            started_s: Start of the exchange, in seconds.
            link_time_s: Part of the service time spent on the link between regions.
        """
        if self._table.views.get(view.backend.id) is not view:
            return
        now_s = self._timer.now()
        state = self._table.slow_start_states[view.backend.id]
        if not self._slow_start.check_boot(state, result.boot, started_s):
            return
        if result.load >= 0:
            view.observe_load(result.load, now_s)
        else:
            view.report_s = now_s
        kind = result.kind
        # An exchange started before the server was marked cold predates its new state.
        is_current = started_s >= state.cold_since_s
        if kind is ExchangeKind.OK:
            self._record_success(view, result, link_time_s, is_current)
        elif kind is ExchangeKind.SHED:
            view.connect_failures = 0
            if result.load < 0:
                view.observe_load(ASSUMED_SHED_LOAD + view.in_flight, now_s)
            self._slow_start.record_shed(state)
        elif kind is ExchangeKind.NOT_SENT:
            self._record_connect_failure(view, now_s, is_remote=link_time_s > 0.0)
        elif is_current:
            self._record_failure(view, result)
        if result.draining or kind is ExchangeKind.DRAINING:
            self._start_drain_pause(view, now_s)
        if not view.is_warm or not state.is_warm:
            self._table.refresh_limit(view, now_s)

    def record_probe(self, view: BackendView, answer: BackendAnswer | None) -> None:
        """Record the answer to a probe; it can close a server but not open one."""
        now_s = self._timer.now()
        if answer is None:
            return
        state = self._table.slow_start_states[view.backend.id]
        if not self._slow_start.check_boot(state, answer.boot, now_s - MAX_PROBE_AGE_S):
            return
        if answer.load >= 0:
            view.observe_load(answer.load, now_s)
        if answer.draining:
            self._start_drain_pause(view, now_s)
        self._table.refresh_limit(view, now_s)

    def refresh(self, now_s: float) -> bool:
        """End expired pauses; return whether any limit may have changed."""
        is_changed = self._table.refresh_changing_limits(now_s)
        if not self._paused:
            return is_changed
        ended = [view for view in self._paused if now_s >= _get_pause_end_s(view)]
        if not ended:
            return is_changed
        for view in ended:
            self._paused.remove(view)
            self._end_drain(view)
        self._table.refresh()
        return True

    def _record_success(
        self,
        view: BackendView,
        result: ExchangeResult,
        link_time_s: float,
        is_current: bool,
    ) -> None:
        view.connect_failures = 0
        is_remote = link_time_s > 0.0
        time_s = result.service_time_s
        if is_remote:
            time_s = max(0.0, time_s - link_time_s)
        service = view.service
        baseline_s = service.mean_unqueued_time_s if service.sample_count else time_s
        sample_s = view.observe_service_time(time_s, result.load, is_remote)
        service.observe_answer(view)
        if not is_current:
            return
        if not view.is_warm:
            state = self._table.slow_start_states[view.backend.id]
            self._slow_start.record_success(
                state, sample_s / max(baseline_s, MIN_BASELINE_S)
            )
        if time_s > MIN_COLD_TIME_S and time_s > self._cold_threshold_s(
            view, baseline_s
        ):
            self._count_suspect(view)
        else:
            view.suspect_streak = 0

    def _record_failure(self, view: BackendView, result: ExchangeResult) -> None:
        baseline_s = view.service.mean_unqueued_time_s
        time_s = result.service_time_s
        is_slow = time_s > max(
            MIN_COLD_TIME_S, self._cold_threshold_s(view, baseline_s)
        )
        if is_slow or result.kind is ExchangeKind.LOST:
            self._count_suspect(view)

    def _cold_threshold_s(self, view: BackendView, baseline_s: float) -> float:
        if not self._is_capped:
            return float("inf")
        queue_factor = self._table.get_fleet_in_flight_cap(view) / view.service.slots
        return COLD_LATENCY_FACTOR * baseline_s * (1.0 + queue_factor)

    def _count_suspect(self, view: BackendView) -> None:
        view.suspect_streak += 1
        if view.suspect_streak < COLD_SUSPECT_COUNT or not view.is_warm:
            return
        view.suspect_streak = 0
        views = view.service.views.values()
        cold = sum(not item.is_warm for item in views)
        if cold < MAX_COLD_SHARE * len(views):
            self._mark_cold(view)

    def _record_connect_failure(
        self, view: BackendView, now_s: float, *, is_remote: bool
    ) -> None:
        """Back off from a server; mark it cold unless the link may be at fault."""
        view.connect_failures += 1
        pause_s = CONNECT_BACKOFF_S * 2 ** min(view.connect_failures - 1, 8)
        view.backoff_until_s = now_s + min(MAX_CONNECT_BACKOFF_S, pause_s)
        if not is_remote:
            self._mark_cold(view)
        self._add_pause(view)

    def _mark_cold(self, view: BackendView) -> None:
        state = self._table.slow_start_states[view.backend.id]
        self._slow_start.mark_cold(state, should_announce=state.allowance > 0)
        self._table.refresh_limit(view, self._timer.now())

    def _start_drain_pause(self, view: BackendView, now_s: float) -> None:
        view.drain_until_s = now_s + DRAIN_PAUSE_S
        self._add_pause(view)

    def _end_drain(self, view: BackendView) -> None:
        """Reopen a drained server as cold, since it may have been replaced."""
        name = view.backend.id
        if view.drain_until_s > 0.0 and self._table.views.get(name) is view:
            view.drain_until_s = -1.0
            self._slow_start.mark_cold(
                self._table.slow_start_states[name], should_announce=False
            )

    def _add_pause(self, view: BackendView) -> None:
        if view not in self._paused:
            self._paused.append(view)
        if view.is_open:
            self._table.refresh()


def _get_pause_end_s(view: BackendView) -> float:
    return max(view.drain_until_s, view.backoff_until_s)
