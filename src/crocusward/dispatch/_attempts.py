"""Sends a request to backend servers, with retries within the budget."""

from collections.abc import Callable

from ..config import ServingMode
from ..errors import (
    Attempt,
    ExchangeLostError,
    NotSentError,
    Outcome,
    Refusal,
    RefusalCode,
)
from ..invariants import InvariantName, Invariants
from ..ledger import SendGuard
from ..limits import RetryBudget
from ..model import BackendAnswer, Call, Contract, Reply
from ..routing import ExchangeKind, ExchangeResult, Reservation, Router, RouteRequest
from ..timing import TimerService
from ..upstream import Upstream, UpstreamRequest

CODE_WITHDRAWN = "withdrawn"
CODE_UNCONFIRMED = "config_unconfirmed"
CODE_UNNAMED_REFUSAL = "unnamed_refusal"
UNNAMED_REFUSAL_REASON = "the backend server refused without naming the request"
MAX_WITHDRAWAL_COUNT = 3
ESTIMATED_HEADER_BYTES = 1024  # headers of request and answer; for the link budget
ESTIMATED_ANSWER_BYTES = 4096


class AttemptTrace:
    """Metrics of one request.

    Attributes:
        queue_s: Time queued for a backend server, in seconds.
        service_s: Time spent at backend servers, in seconds.
        backend: Id of the last backend server, or "".
        data_centre: Its data centre, or "".
        region: Its region, or "".
        attempts: Number of sends.
    """

    __slots__ = (
        "queue_s",
        "service_s",
        "backend",
        "data_centre",
        "region",
        "attempts",
    )

    def __init__(self) -> None:
        self.queue_s = 0.0
        self.service_s = 0.0
        self.backend = ""
        self.data_centre = ""
        self.region = ""
        self.attempts = 0


class _RequestState:
    """State of one request across its attempts."""

    __slots__ = (
        "guard",
        "trace",
        "excluded",
        "may_have_run",
        "is_written",
        "withdrawal_count",
    )

    def __init__(self, guard: SendGuard | None, trace: AttemptTrace) -> None:
        self.guard = guard
        self.trace = trace
        self.excluded: set[str] = set()
        self.may_have_run = False
        self.is_written = False
        self.withdrawal_count = 0


class AttemptRunner:
    """Runs the attempts of a request on this host.

    Args:
        timer: Time source.
        region: Region of this host.
        router: Selects backend servers.
        upstream: Sends requests, each at most once.
        may_serve: Returns the serving mode; called before each send, so cheap.
        retries: Retry budget.
        invariants: Checks the guarantees.
        faults: Names of injected faults that test these checks.
    """

    __slots__ = (
        "_timer",
        "_region",
        "_router",
        "_upstream",
        "_may_serve",
        "_retries",
        "_invariants",
        "_faults",
    )

    def __init__(
        self,
        timer: TimerService,
        region: str,
        router: Router,
        upstream: Upstream,
        may_serve: Callable[[], ServingMode],
        retries: RetryBudget,
        invariants: Invariants,
        faults: frozenset[str] = frozenset(),
    ) -> None:
        self._timer = timer
        self._region = region
        self._router = router
        self._upstream = upstream
        self._may_serve = may_serve
        self._retries = retries
        self._invariants = invariants
        self._faults = faults

    async def run(
        self,
        call: Call,
        contract: Contract,
        *,
        idempotent: bool,
        guard: SendGuard | None,
        trace: AttemptTrace,
    ) -> Reply:
        """Send a request and return the whole answer.

        Args:
            call: The request.
            contract: Its contract.
            idempotent: Whether it may run more than once.
            guard: Allows one send; None for idempotent requests.
            trace: Metrics to fill in.

        Raises:
            Refusal: No answer; the outcome covers all attempts made here.
        """
        state = _RequestState(guard, trace)
        self._retries.record_first_attempt()
        try:
            return await self._run(call, contract, idempotent, state)
        except Refusal as refusal:
            raise self._correct_outcome(refusal, state) from None

    async def _run(
        self, call: Call, contract: Contract, idempotent: bool, state: _RequestState
    ) -> Reply:
        route = self._route_request(call, contract, idempotent, state)
        while True:
            self._check_may_send(idempotent, state)
            reservation = await self._acquire(route, state.trace)
            answer = await self._run_attempt(
                call, contract, idempotent, reservation, state
            )
            if answer is not None:
                return self._reply(call, answer, reservation)

    def _check_may_send(self, idempotent: bool, state: _RequestState) -> None:
        """Refuse to send a request again that may have run."""
        if not self._invariants.check(
            InvariantName.AT_MOST_ONCE,
            idempotent or not state.may_have_run,
            "a request that may have run would be sent again",
        ):
            raise Refusal(RefusalCode.BACKEND_LOST, "an earlier attempt may have run")

    def _reply(
        self, call: Call, answer: BackendAnswer, reservation: Reservation
    ) -> Reply:
        matches = _matches_request(call, answer)
        self._invariants.check(
            InvariantName.OWN_ANSWER, matches, "an answer that names another request"
        )
        return Reply(
            call.request_id,
            answer.status,
            answer.headers,
            answer.body,
            reservation.backend.id,
        )

    def _route_request(
        self, call: Call, contract: Contract, idempotent: bool, state: _RequestState
    ) -> RouteRequest:
        path = call.path
        return RouteRequest(
            call.service,
            contract.name,
            contract.customer,
            weight=contract.weight,
            regions=contract.home_regions(call.service, call.method, path),
            idempotent=idempotent,
            deadline_s=call.deadline_s,
            bytes=len(call.body) + ESTIMATED_HEADER_BYTES + ESTIMATED_ANSWER_BYTES,
            excluded=state.excluded,
        )

    async def _acquire(self, route: RouteRequest, trace: AttemptTrace) -> Reservation:
        started_s = self._timer.now()
        try:
            return await self._router.acquire(route)
        finally:
            trace.queue_s += self._timer.now() - started_s

    async def _run_attempt(
        self,
        call: Call,
        contract: Contract,
        idempotent: bool,
        reservation: Reservation,
        state: _RequestState,
    ) -> BackendAnswer | None:
        """Try one backend server; return None if another one is to be tried."""
        trace = state.trace
        state.is_written = False
        started_s = self._timer.now()
        try:
            answer = await self._exchange(call, contract, reservation, state)
            if (
                not _matches_request(call, answer)
                and "cross-answers" not in self._faults
            ):
                raise ExchangeLostError("the answer names another request")
        except NotSentError as exc:
            self._finish_unsent(reservation, exc)
            self._after_not_sent(call, reservation, exc, state)
            return None
        except ExchangeLostError as exc:
            self._finish_exchange(reservation, ExchangeKind.LOST, started_s, trace)
            state.may_have_run = True
            self._after_lost(call, idempotent, reservation, exc, state)
            return None
        except BaseException:
            state.may_have_run = state.may_have_run or state.is_written
            self._finish_exchange(reservation, ExchangeKind.CANCELLED, started_s, trace)
            raise
        service_s = self._timer.now() - started_s
        trace.service_s += service_s
        self._router.finish(
            reservation,
            ExchangeResult.from_answer(answer, service_s, call.request_id),
        )
        if not answer.shed:
            return answer
        is_own = answer.request_id == call.request_id
        if is_own or "trust-unnamed-refusals" in self._faults:
            self._after_shed(call, reservation, state)
            return None
        # It may be the copy of a refusal of a probe or of an earlier request.
        state.may_have_run = True
        lost = ExchangeLostError(UNNAMED_REFUSAL_REASON, code=CODE_UNNAMED_REFUSAL)
        self._after_lost(call, idempotent, reservation, lost, state)
        return None

    async def _exchange(
        self,
        call: Call,
        contract: Contract,
        reservation: Reservation,
        state: _RequestState,
    ) -> BackendAnswer:
        backend = reservation.backend
        trace = state.trace
        trace.backend = backend.id
        trace.data_centre = backend.data_centre
        trace.region = backend.region
        req = UpstreamRequest(
            call.request_id,
            call.method,
            call.path,
            call.headers,
            call.body,
            timeout_s=call.deadline_s - self._timer.now(),
            depth=call.depth + 1,
            answer_bytes=contract.limits.answer_bytes,
            before_write=lambda: self._before_write(reservation, state),
        )
        return await self._upstream.exchange(backend, req)

    def _before_write(self, reservation: Reservation, state: _RequestState) -> None:
        """Repeat the checks; no await may follow before the first byte is written."""
        mode = self._may_serve()
        if mode is ServingMode.REFUSE:
            raise NotSentError(
                "the configuration is unconfirmed", code=CODE_UNCONFIRMED
            )
        crosses_regions = reservation.backend.region != self._region
        if crosses_regions and mode is not ServingMode.NORMAL:
            raise NotSentError(
                "crossing regions is not allowed now", code=CODE_WITHDRAWN
            )
        if not self._router.start(reservation):
            raise NotSentError("the backend server was withdrawn", code=CODE_WITHDRAWN)
        if state.guard is not None:
            state.guard.mark_sent()
        state.is_written = True
        state.trace.attempts += 1

    def _finish_unsent(self, reservation: Reservation, exc: NotSentError) -> None:
        is_withdrawn = exc.code in (CODE_WITHDRAWN, CODE_UNCONFIRMED)
        kind = ExchangeKind.CANCELLED if is_withdrawn else ExchangeKind.NOT_SENT
        self._router.finish(reservation, ExchangeResult(kind))

    def _finish_exchange(
        self,
        reservation: Reservation,
        kind: ExchangeKind,
        started_s: float,
        trace: AttemptTrace,
    ) -> None:
        service_s = self._timer.now() - started_s
        trace.service_s += service_s
        self._router.finish(reservation, ExchangeResult(kind, service_s))

    def _after_not_sent(
        self,
        call: Call,
        reservation: Reservation,
        exc: NotSentError,
        state: _RequestState,
    ) -> None:
        self._record_not_run(state)
        if exc.code == CODE_UNCONFIRMED:
            raise unconfirmed_refusal()
        if exc.code == CODE_WITHDRAWN:
            state.withdrawal_count += 1
            if state.withdrawal_count > MAX_WITHDRAWAL_COUNT:
                # The router may not know the reason yet and would select it again.
                state.excluded.add(reservation.backend.id)
            return
        state.excluded.add(reservation.backend.id)
        if not self._may_retry(call):
            raise Refusal(
                RefusalCode.NO_BACKEND,
                "the backend server could not be reached",
                retry_after_s=1.0,
            )

    def _after_shed(
        self, call: Call, reservation: Reservation, state: _RequestState
    ) -> None:
        self._record_not_run(state)
        state.excluded.add(reservation.backend.id)
        if not self._may_retry(call):
            raise Refusal(
                RefusalCode.NO_BACKEND,
                "the backend server shed the request",
                retry_after_s=1.0,
            )

    def _after_lost(
        self,
        call: Call,
        idempotent: bool,
        reservation: Reservation,
        exc: ExchangeLostError,
        state: _RequestState,
    ) -> None:
        state.excluded.add(reservation.backend.id)
        if self._timer.now() >= call.deadline_s:
            raise Refusal(
                RefusalCode.DEADLINE_EXCEEDED,
                "the deadline passed before the whole answer arrived",
            )
        if exc.code == "answer_too_large":
            raise Refusal(
                RefusalCode.ANSWER_TOO_LARGE, "the answer is larger than allowed"
            )
        is_repeatable = idempotent or "double-dispatch" in self._faults
        if is_repeatable and self._may_retry(call):
            return
        raise Refusal(
            RefusalCode.BACKEND_LOST,
            UNNAMED_REFUSAL_REASON
            if exc.code == CODE_UNNAMED_REFUSAL
            else "the connection to the backend server broke before the whole answer",
        )

    def _may_retry(self, call: Call) -> bool:
        in_time = self._timer.now() < call.deadline_s
        return in_time and self._retries.try_spend(call.depth)

    def _record_not_run(self, state: _RequestState) -> None:
        if state.guard is not None and state.is_written and not state.may_have_run:
            state.guard.mark_not_sent()
        state.is_written = False

    def _correct_outcome(self, refusal: Refusal, state: _RequestState) -> Refusal:
        """Return the refusal with an outcome that covers all attempts."""
        is_guarded = state.guard is not None and state.guard.sent
        is_in_doubt = state.may_have_run or state.is_written or is_guarded
        if state.may_have_run and "false-not-run" not in self._faults:
            _mark_unknown(refusal)
        if not self._invariants.check(
            InvariantName.NOT_RUN,
            not is_in_doubt or refusal.outcome is Outcome.UNKNOWN,
            "a refusal would say not-run for a request that was written",
        ):
            _mark_unknown(refusal)
        return refusal


def _mark_unknown(refusal: Refusal) -> None:
    refusal.outcome = Outcome.UNKNOWN
    refusal.attempt = Attempt.MAYBE_SENT


def _matches_request(call: Call, answer: BackendAnswer) -> bool:
    return answer.request_id in ("", call.request_id)


def unconfirmed_refusal() -> Refusal:
    """Return the refusal of a host whose configuration may be out of date."""
    return Refusal(
        RefusalCode.CONFIG_UNCONFIRMED,
        "this host cannot confirm that its configuration is current",
        retry_after_s=1.0,
    )
