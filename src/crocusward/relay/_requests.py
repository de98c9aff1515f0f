"""Requests under way, and what is logged and counted of them."""

from collections.abc import Callable

from ..desired import Directory
from ..logs import EventSampler, Level
from ..metrics import LatencyRecorder
from ..neighbours import BackendObservation
from ..placing import BackendLoad, Selection, SelectionRequest
from ._exchange import Exchange
from ._messages import CallerAnswer, CallerRequest, refusal


class Call:
    """State of one request under way.

    Attributes:
        req: The request.
        place: What it needs.
        tried: Ids of the servers that it was sent to.
        runs: Servers on which it may have run.
        unknown: Whether it may have run without a whole answer.
        last: A failure that a server answered.
        began_s: When it was received.
        waited_s: How long it waited for places.
    """

    __slots__ = (
        "req",
        "place",
        "tried",
        "runs",
        "unknown",
        "last",
        "began_s",
        "waited_s",
    )

    def __init__(
        self, req: CallerRequest, place: SelectionRequest, began_s: float
    ) -> None:
        self.req = req
        self.place = place
        self.tried: set[str] = set()
        self.runs = 0
        self.unknown = False
        self.last: CallerAnswer | None = None
        self.began_s = began_s
        self.waited_s = 0.0


class RequestLog:
    """Logs each decision on a request, and counts outcomes and latencies by route.

    Args:
        now: Monotonic clock, in seconds.
        directory: Tells the version of the desired state in force.
        sampler: Bounds the lines of each kind.

    Attributes:
        latencies: Times of answered requests by route.
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

    def placed(self, call: Call, choice: Selection) -> None:
        """Log that a request goes to a server."""
        self._sampler.log(
            "request_placed",
            id=call.place.id,
            backend=choice.load.entry.id if choice.load else "",
            in_flight=choice.in_flight,
            expected_s=choice.expected_s,
            pace=choice.slowdown,
            pace_age_s=choice.slowdown_age_s,
            attempt=call.runs,
        )

    def backend(
        self, call: Call, load: BackendLoad, seen: BackendObservation, was_closed: bool
    ) -> None:
        """Log that a server is closed to requests, or open again."""
        now_s = self._now()
        is_ejected = load.is_ejected(now_s)
        if is_ejected != was_closed:
            self._sampler.log(
                "backend_closed" if is_ejected else "backend_open",
                id=call.place.id,
                backend=load.entry.id,
                seen=seen.kind.name.lower(),
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
        """Log a refusal made before the request was placed, and return it."""
        self._count(route, outcome)
        self._sampler.log(
            "request_refused",
            id=req.id.decode("latin-1"),
            route=route,
            reason=outcome,
            status=status,
        )
        return refusal(status, outcome, retry_after_s=retry_after_s)

    def attempt(self, call: Call, result: Exchange) -> None:
        """Log an attempt that ended without an answer to pass on."""
        self._sampler.log(
            "attempt_failed",
            id=call.place.id,
            backend=result.seen.backend,
            end=result.end.value,
            reason=result.reason,
            attempt=call.runs,
            age_s=self._now() - call.began_s,
        )

    def finish(
        self,
        call: Call,
        outcome: str,
        status: int,
        seen: BackendObservation | None = None,
        *,
        reason: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        """Log and count the end of a request."""
        route = call.place.route
        took_s = self._now() - call.req.received_s
        is_answer = outcome == "answered"
        self._count(route.name, outcome)
        if is_answer:
            self.latencies.setdefault(route.name, LatencyRecorder()).record(took_s)
        fields: dict[str, object] = {
            "id": call.place.id,
            "route": route.name,
            "service": call.place.service,
            "outcome": outcome,
            "status": status,
            "took_s": took_s,
            "waited_s": call.waited_s,
            "objective_s": route.objective_s,
            "attempts": call.runs,
            "version": self._directory.state.version if self._directory.state else 0,
        }
        if seen is not None:
            fields["backend"] = seen.backend
            fields["running"] = seen.running
            fields["waiting"] = seen.waiting
            fields["pace"] = seen.slowdown
        if reason:
            fields["reason"] = reason
        if retry_after_s is not None:
            fields["retry_after_s"] = retry_after_s
        name = "request_answered" if is_answer else "request_failed"
        self._sampler.log(name, Level.INFO, **fields)

    def _count(self, route: str, outcome: str) -> None:
        key = (route, outcome)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
