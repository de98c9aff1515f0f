"""State of active requests, and their log events and metrics."""

import asyncio
from collections.abc import Callable

from ..desired import Directory
from ..logs import EventSampler, Level
from ..metrics import LatencyRecorder
from ..neighbours import BackendObservation
from ..placing import BackendLoad, Selection, SelectionRequest
from ._exchange import Exchange
from ._messages import CallerAnswer, CallerRequest, make_refusal


class Call:
    """State of one active request.

    Attributes:
        req: The request.
        selection_req: Its requirements on the backend server.
        tried_ids: Ids of the servers that were tried.
        attempts: Number of attempts, without those that certainly have not run.
        may_have_run: Whether an attempt may have run without an answer to pass on.
        last_failure: Latest server error that was received, or None.
        began_s: When processing began, in monotonic seconds.
        waited_s: Total wait for slots, in seconds.
        digest: Digest of the request if servers crashed under it, or None.
        crash_check: Finds out whether a server crashed under it, or None.
    """

    __slots__ = (
        "req",
        "selection_req",
        "tried_ids",
        "attempts",
        "may_have_run",
        "last_failure",
        "began_s",
        "waited_s",
        "digest",
        "crash_check",
    )

    def __init__(
        self, req: CallerRequest, selection_req: SelectionRequest, began_s: float
    ) -> None:
        self.req = req
        self.selection_req = selection_req
        self.tried_ids: set[str] = set()
        self.attempts = 0
        self.may_have_run = False
        self.last_failure: CallerAnswer | None = None
        self.began_s = began_s
        self.waited_s = 0.0
        self.digest: bytes | None = None
        self.crash_check: asyncio.Task[None] | None = None


class RequestLog:
    """Logs each decision on a request, and records outcomes and latencies by route.

    Args:
        now: Monotonic clock, in seconds.
        directory: Provides the version of the desired state in force.
        sampler: Limits the rate of each log event.

    Attributes:
        latencies: Latencies of answered requests by route.
        outcomes: Number of requests by route and outcome.
    """

    __slots__ = ("latencies", "outcomes", "_now", "_directory", "_sampler")

    def __init__(
        self, now: Callable[[], float], directory: Directory, sampler: EventSampler
    ) -> None:
        self.latencies: dict[str, LatencyRecorder] = {}
        self.outcomes: dict[tuple[str, str], int] = {}
        self._now = now
        self._directory = directory
        self._sampler = sampler

    def log_placed(self, call: Call, selection: Selection) -> None:
        """Log that a request is sent to a server."""
        load = selection.load
        assert load is not None
        now_s = self._now()
        # Cold servers have an event of their own, which a burst of other requests
        # does not crowd out.
        self._sampler.log(
            "request_placed_cold" if load.is_cold(now_s) else "request_placed",
            id=call.selection_req.id,
            backend=load.entry.id,
            in_flight=selection.in_flight,
            expected_s=selection.expected_s,
            pace=selection.slowdown,
            pace_age_s=selection.slowdown_age_s,
            attempt=call.attempts,
            at_limit=selection.without_permit_count,
            cold=selection.cold_count,
            cold_left_s=max(0.0, load.cold_until_s - now_s),
            sent_1s=load.sends_in_last_second(now_s),
            granted_by=selection.granted_by,
        )

    def log_ejection_change(
        self,
        call: Call,
        load: BackendLoad,
        observation: BackendObservation,
        was_ejected: bool,
    ) -> None:
        """Log that a server was ejected as an outlier, or is in use again."""
        now_s = self._now()
        is_ejected = load.is_ejected(now_s)
        if is_ejected != was_ejected:
            self._sampler.log(
                "backend_closed" if is_ejected else "backend_open",
                id=call.selection_req.id,
                backend=load.entry.id,
                seen=observation.kind.name.lower(),
                blame=load.failure_score(now_s),
                for_s=max(0.0, load.ejected_until_s - now_s),
            )

    def refuse_early(
        self,
        req: CallerRequest,
        route: str,
        outcome: str,
        status: int,
        retry_after_s: float | None,
    ) -> CallerAnswer:
        """Log and count a refusal that needs no call state; return the answer."""
        self._count(route, outcome)
        self._sampler.log(
            "request_refused",
            id=req.id.decode("latin-1"),
            route=route,
            reason=outcome,
            status=status,
        )
        return make_refusal(status, outcome, retry_after_s=retry_after_s)

    def log_failed_attempt(self, call: Call, result: Exchange) -> None:
        """Log an attempt that ended without an answer to pass on."""
        self._sampler.log(
            "attempt_failed",
            id=call.selection_req.id,
            backend=result.observation.backend,
            end=result.end.value,
            reason=result.reason,
            evidence=result.evidence.value,
            conn_exchange=result.exchange_number,
            skipped=result.skipped_answers,
            attempt=call.attempts,
            age_s=self._now() - call.began_s,
        )

    def finish(
        self,
        call: Call,
        outcome: str,
        status: int,
        observation: BackendObservation | None = None,
        *,
        reason: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        """Log the end of a request and record its outcome and latency."""
        route = call.selection_req.route
        took_s = self._now() - call.req.received_s
        is_answer = outcome == "answered"
        self._count(route.name, outcome)
        if is_answer:
            self.latencies.setdefault(route.name, LatencyRecorder()).record(took_s)
        fields: dict[str, object] = {
            "id": call.selection_req.id,
            "route": route.name,
            "service": call.selection_req.service,
            "outcome": outcome,
            "status": status,
            "took_s": took_s,
            "waited_s": call.waited_s,
            "objective_s": route.objective_s,
            "attempts": call.attempts,
            "version": self._directory.state.version if self._directory.state else 0,
        }
        if observation is not None:
            fields["backend"] = observation.backend
            fields["running"] = observation.running
            fields["waiting"] = observation.waiting
            fields["pace"] = observation.slowdown
        if reason:
            fields["reason"] = reason
        if retry_after_s is not None:
            fields["retry_after_s"] = retry_after_s
        name = "request_answered" if is_answer else "request_failed"
        self._sampler.log(name, Level.INFO, **fields)

    def _count(self, route: str, outcome: str) -> None:
        key = (route, outcome)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
