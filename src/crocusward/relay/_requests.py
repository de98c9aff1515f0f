"""State of active requests, and their log events and metrics."""

import asyncio
from collections.abc import Callable

from ..desired import Directory
from ..logs import EventSampler, Level
from ..metrics import LatencyRecorder
from ..neighbours import BackendObservation
from ..placing import BackendLoad, Selection, SelectionRequest
from ._evidence import REFUSAL_STATUSES, Evidence
from ._exchange import Exchange
from ._messages import CallerAnswer, CallerRequest, make_refusal

# What "not run" rests on if the request was sent to no server.
NOT_STARTED = "not_started"


class Attempt:
    """One send of a request to a server.

    Attributes:
        number: Number of the send within its request, from 1.
        selection: The selected server.
        is_written: Whether bytes of the request may have been written.
    """

    __slots__ = ("number", "selection", "is_written")

    def __init__(self, number: int, selection: Selection) -> None:
        self.number = number
        self.selection = selection
        self.is_written = False


class Call:
    """State of one active request.

    Attributes:
        req: The request.
        selection_req: Its requirements on the backend server.
        tried_ids: Ids of the servers that were tried.
        attempts: Number of attempts, without those that certainly have not run.
        sends: Number of attempts, with those that have not run.
        not_run_basis: What "not run" rests on if no attempt may have run.
        is_over: Whether no further end of an attempt is awaited.
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
        "sends",
        "not_run_basis",
        "is_over",
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
        self.sends = 0
        self.not_run_basis = NOT_STARTED
        self.is_over = False
        self.may_have_run = False
        self.last_failure: CallerAnswer | None = None
        self.began_s = began_s
        self.waited_s = 0.0
        self.digest: bytes | None = None
        self.crash_check: asyncio.Task[None] | None = None

    def note_not_run(self, evidence: Evidence) -> None:
        """Record what it rests on that an attempt has not run."""
        # A refusal is the weaker basis: it depends on what the server says.
        if self.not_run_basis != Evidence.OWN_REFUSAL.value:
            self.not_run_basis = evidence.value


class RequestLog:
    """Logs each decision on a request, and records outcomes and latencies by route.

    Args:
        now: Monotonic clock, in seconds.
        directory: Provides the version of the desired state in force.
        sampler: Limits the rate of each log event.

    Attributes:
        latencies: Latencies of answered requests by route.
        outcomes: Number of requests by route and outcome.
        attempt_ends: Number of attempts by end and evidence.
    """

    __slots__ = (
        "latencies",
        "outcomes",
        "attempt_ends",
        "_now",
        "_directory",
        "_sampler",
    )

    def __init__(
        self, now: Callable[[], float], directory: Directory, sampler: EventSampler
    ) -> None:
        self.latencies: dict[str, LatencyRecorder] = {}
        self.outcomes: dict[tuple[str, str], int] = {}
        self.attempt_ends: dict[tuple[str, str], int] = {}
        self._now = now
        self._directory = directory
        self._sampler = sampler

    def log_placed(self, call: Call, attempt: Attempt) -> None:
        """Log that a request is sent to a server."""
        selection = attempt.selection
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
            send=attempt.number,
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
        basis: str = NOT_STARTED,
    ) -> CallerAnswer:
        """Log and count a refusal that needs no call state; return the answer."""
        self._count(route, outcome)
        self._sampler.log(
            "request_refused",
            id=req.id.decode("latin-1"),
            route=route,
            reason=outcome,
            status=status,
            basis=basis,
        )
        return make_refusal(status, outcome, retry_after_s=retry_after_s)

    def log_not_started(self, id: bytes, status: int, reason: str) -> None:
        """Log a request whose connection was refused or ended before its start.

        Args:
            id: Id of the request, b"" if unknown.
            status: Status of the refusal, 0 if none was sent.
            reason: Why it was not started.
        """
        self._sampler.log(
            "request_not_started",
            id=id.decode("latin-1"),
            reason=reason,
            status=status,
            basis=NOT_STARTED,
        )

    def count_attempt(self, attempt: Attempt, task: "asyncio.Task[Exchange]") -> None:
        """Count the end of an attempt."""
        end, evidence, _ = _describe_end(attempt, task)
        key = (end, evidence.value)
        self.attempt_ends[key] = self.attempt_ends.get(key, 0) + 1

    def log_abandoned_attempt(
        self, call: Call, attempt: Attempt, task: "asyncio.Task[Exchange]"
    ) -> None:
        """Log, once, an attempt whose end was not awaited or has no result."""
        end, evidence, result = _describe_end(attempt, task)
        if result is not None:
            self._log_result("attempt_abandoned", call, result)
            return
        load = attempt.selection.load
        assert load is not None
        self._sampler.log(
            "attempt_abandoned",
            id=call.selection_req.id,
            backend=load.entry.id,
            end=end,
            reason="" if task.cancelled() else repr(task.exception()),
            evidence=evidence.value,
            attempt=call.attempts,
            send=attempt.number,
            age_s=self._now() - call.began_s,
        )

    def log_failed_attempt(self, call: Call, result: Exchange) -> None:
        """Log an attempt that ended without an answer to pass on."""
        self._log_result("attempt_failed", call, result)

    def _log_result(self, event: str, call: Call, result: Exchange) -> None:
        if result.is_logged:
            return
        result.is_logged = True
        self._sampler.log(
            event,
            id=call.selection_req.id,
            backend=result.observation.backend,
            end=result.end.value,
            reason=result.reason,
            evidence=result.evidence.value,
            conn_exchange=result.exchange_number,
            skipped_answers=result.skipped_answers,
            attempt=call.attempts,
            send=result.send_number,
            age_s=self._now() - call.began_s,
        )

    def finish(
        self,
        call: Call,
        outcome: str,
        status: int,
        result: Exchange | None = None,
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
            "sends": call.sends,
            "version": self._directory.state.version if self._directory.state else 0,
        }
        if result is not None:
            result.is_logged = True
            observation = result.observation
            fields["backend"] = observation.backend
            fields["running"] = observation.running
            fields["waiting"] = observation.waiting
            fields["pace"] = observation.slowdown
            fields["send"] = result.send_number
            fields["evidence"] = result.evidence.value
            fields["conn_exchange"] = result.exchange_number
            fields["skipped_answers"] = result.skipped_answers
        if status in REFUSAL_STATUSES and not is_answer:
            fields["basis"] = call.not_run_basis
        if reason:
            fields["reason"] = reason
        if retry_after_s is not None:
            fields["retry_after_s"] = retry_after_s
        name = "request_answered" if is_answer else "request_failed"
        self._sampler.log(name, Level.INFO, **fields)

    def _count(self, route: str, outcome: str) -> None:
        key = (route, outcome)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1


def _describe_end(
    attempt: Attempt, task: "asyncio.Task[Exchange]"
) -> tuple[str, Evidence, Exchange | None]:
    """Return the end of an attempt, its evidence, and the result if there is one."""
    if not task.cancelled() and task.exception() is None:
        result = task.result()
        return result.end.value, result.evidence, result
    evidence = Evidence.NO_ANSWER if attempt.is_written else Evidence.NOT_WRITTEN
    return "cancelled" if task.cancelled() else "error", evidence, None
