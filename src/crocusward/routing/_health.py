"""What a host learns about backend servers from answers and probes."""

from ..model import BackendAnswer
from ..timing import TimerService
from ._table import BackendTable
from ._types import ExchangeKind, ExchangeResult
from ._view import BackendView
from ._warmth import Warmth

DRAIN_MEMORY_S = 10.0  # then the server may come back, as a cold one
REFUSED_PAUSE_S = 0.1  # doubles with each refused connection in a row
MAX_REFUSED_PAUSE_S = 2.0
COLD_AFTER = 2  # lost or very slow exchanges in a row
# Times the longest wait that a server of usual speed can cause, with every host at its
# limit there. Plain overload stays below, so it closes no server.
COLD_SLOWNESS = 2.0
MAX_COLD_SHARE = 0.25  # of a service; more failing servers point to another cause
PROBE_AGE_S = 1.0  # when a probe may have started, at the earliest
SHED_LOAD = 8  # assumed of a server that sheds without a report: a full queue
MIN_USUAL_S = 1e-6  # avoids a division by zero in virtual time
COLD_FLOOR_S = 0.05  # a service this fast is never called cold for slowness


class Health:
    """Turns results into load, speed, pauses and cold turns.

    Args:
        timer: Source of time.
        table: Views to write to.
        warmth: Told of boot ids, successes and cold turns.
        is_capped: Whether hosts limit their requests at a server; if not, plain
            overload explains any slowness.
    """

    __slots__ = ("_timer", "_table", "_warmth", "_is_capped", "_paused")

    def __init__(
        self,
        timer: TimerService,
        table: BackendTable,
        warmth: Warmth,
        *,
        is_capped: bool,
    ) -> None:
        self._timer = timer
        self._table = table
        self._warmth = warmth
        self._is_capped = is_capped
        self._paused: list[BackendView] = []

    def learn(
        self,
        view: BackendView,
        result: ExchangeResult,
        started_s: float,
        crossing_s: float,
    ) -> None:
        """Take over the result of an exchange that was started.

        Args:
            view: The server, possibly not listed any more.
            result: How the exchange ended.
            started_s: When it was started, in seconds.
            crossing_s: Part of the service time that the link between regions took.
        """
        if self._table.views.get(view.backend.id) is not view:
            return
        now_s = self._timer.now()
        state = self._table.slow_start_states[view.backend.id]
        if not self._warmth.saw_boot(state, result.boot, started_s):
            return
        if result.load >= 0:
            view.observe_load(result.load, now_s)
        else:
            view.report_s = now_s
        kind = result.kind
        # Exchanges started before a cold turn say nothing about what came after it.
        current = started_s >= state.cold_s
        if kind is ExchangeKind.OK:
            self._learn_success(view, result, crossing_s, current)
        elif kind is ExchangeKind.SHED:
            view.refusals = 0
            if result.load < 0:
                view.observe_load(SHED_LOAD + view.in_flight, now_s)
            self._warmth.pushed_back(state)
        elif kind is ExchangeKind.NOT_SENT:
            self._learn_refused(view, now_s, is_remote=crossing_s > 0.0)
        elif current:
            self._learn_failure(view, result)
        if result.draining or kind is ExchangeKind.DRAINING:
            self._drain(view, now_s)
        if not view.is_warm or not state.is_warm:
            self._table.refresh_limit(view, now_s)

    def learn_probe(self, view: BackendView, answer: BackendAnswer | None) -> None:
        """Take over the result of a probe; it only closes servers."""
        now_s = self._timer.now()
        if answer is None:
            return
        state = self._table.slow_start_states[view.backend.id]
        if not self._warmth.saw_boot(state, answer.boot, now_s - PROBE_AGE_S):
            return
        if answer.load >= 0:
            view.observe_load(answer.load, now_s)
        if answer.draining:
            self._drain(view, now_s)
        self._table.refresh_limit(view, now_s)

    def refresh(self, now_s: float) -> bool:
        """End pauses that are over; return whether any limit may have changed."""
        changed = self._table.refresh_cold(now_s)
        if not self._paused:
            return changed
        over = [view for view in self._paused if now_s >= _pause_end_s(view)]
        if not over:
            return changed
        for view in over:
            self._paused.remove(view)
            self._end_drain(view)
        self._table.refresh()
        return True

    def _learn_success(
        self,
        view: BackendView,
        result: ExchangeResult,
        crossing_s: float,
        current: bool,
    ) -> None:
        view.refusals = 0
        is_remote = crossing_s > 0.0
        time_s = result.service_time_s
        if is_remote:
            time_s = max(0.0, time_s - crossing_s)
        service = view.service
        usual_s = service.mean_unqueued_time_s if service.samples else time_s
        sample_s = view.observe_time(time_s, result.load, is_remote)
        service.observe_answer(view)
        if not current:
            return
        if not view.is_warm:
            state = self._table.slow_start_states[view.backend.id]
            self._warmth.succeeded(state, sample_s / max(usual_s, MIN_USUAL_S))
        if time_s > COLD_FLOOR_S and time_s > self._cold_time_s(view, usual_s):
            self._add_evidence(view)
        else:
            view.evidence = 0

    def _learn_failure(self, view: BackendView, result: ExchangeResult) -> None:
        usual_s = view.service.mean_unqueued_time_s
        time_s = result.service_time_s
        is_slow = time_s > max(COLD_FLOOR_S, self._cold_time_s(view, usual_s))
        if is_slow or result.kind is ExchangeKind.LOST:
            self._add_evidence(view)

    def _cold_time_s(self, view: BackendView, usual_s: float) -> float:
        if not self._is_capped:
            return float("inf")
        queued = self._table.fleet_cap(view) / view.service.slots
        return COLD_SLOWNESS * usual_s * (1.0 + queued)

    def _add_evidence(self, view: BackendView) -> None:
        view.evidence += 1
        if view.evidence < COLD_AFTER or not view.is_warm:
            return
        view.evidence = 0
        views = view.service.views.values()
        cold = sum(not item.is_warm for item in views)
        if cold < MAX_COLD_SHARE * len(views):
            self._turn_cold(view)

    def _learn_refused(
        self, view: BackendView, now_s: float, *, is_remote: bool
    ) -> None:
        """Pause a server, and call it cold unless the link may be at fault."""
        view.refusals += 1
        pause_s = REFUSED_PAUSE_S * 2 ** min(view.refusals - 1, 8)
        view.refused_until_s = now_s + min(MAX_REFUSED_PAUSE_S, pause_s)
        if not is_remote:
            self._turn_cold(view)
        self._pause(view)

    def _turn_cold(self, view: BackendView) -> None:
        state = self._table.slow_start_states[view.backend.id]
        self._warmth.turn_cold(state, tell=state.allowance > 0)
        self._table.refresh_limit(view, self._timer.now())

    def _drain(self, view: BackendView, now_s: float) -> None:
        view.drained_until_s = now_s + DRAIN_MEMORY_S
        self._pause(view)

    def _end_drain(self, view: BackendView) -> None:
        """Reopen a server that drained through a cold start: it may be new."""
        name = view.backend.id
        if view.drained_until_s > 0.0 and self._table.views.get(name) is view:
            view.drained_until_s = -1.0
            self._warmth.turn_cold(self._table.slow_start_states[name], tell=False)

    def _pause(self, view: BackendView) -> None:
        if view not in self._paused:
            self._paused.append(view)
        if view.is_open:
            self._table.refresh()


def _pause_end_s(view: BackendView) -> float:
    return max(view.drained_until_s, view.refused_until_s)
