"""Sends a request to backend servers until one answers or it is refused."""

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
from ..ledger import SendAttempt
from ..limits import RetryBudget
from ..model import BackendAnswer, Call, Contract, Reply
from ..routing import ExchangeKind, ExchangeResult, Reservation, Router, RouteRequest
from ..timing import TimerService
from ..upstream import Upstream, UpstreamRequest

WITHDRAWN = "withdrawn"
UNCONFIRMED = "config_unconfirmed"
MAX_WITHDRAWALS = 3
HEADER_BYTES_ESTIMATE = 1024  # of a request and its answer, for the link budget
ANSWER_BYTES_ESTIMATE = 4096


class AttemptTrace:
    """What happened to one request, for metrics.

    Attributes:
        queue_s: Time spent waiting for a backend server, in seconds.
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


class _Progress:
    """State of one request over its attempts."""

    __slots__ = (
        "guard",
        "trace",
        "excluded",
        "may_have_run",
        "written",
        "withdrawals",
    )

    def __init__(self, guard: SendAttempt | None, trace: AttemptTrace) -> None:
        self.guard = guard
        self.trace = trace
        self.excluded: set[str] = set()
        self.may_have_run = False
        self.written = False
        self.withdrawals = 0


class AttemptRunner:
    """Runs the attempts of a request on this host.

    Args:
        timer: Source of time.
        region: Region of this host.
        router: Chooses backend servers.
        upstream: Sends requests, each at most once.
        may_serve: Says what may be sent now; cheap, called before each send.
        retries: Budget of retries.
        invariants: Where the guarantees are asserted.
        faults: Names of injected faults, which test the assertions.
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
        guard: SendAttempt | None,
        trace: AttemptTrace,
    ) -> Reply:
        """Send a request and return the whole answer.

        Args:
            call: The request.
            contract: Its contract.
            idempotent: Whether it may run more than once.
            guard: Allows one send; None for idempotent requests.
            trace: Filled for metrics.

        Raises:
            Refusal: No answer; the outcome covers all attempts made here.
        """
        progress = _Progress(guard, trace)
        self._retries.first_attempt()
        try:
            return await self._run(call, contract, idempotent, progress)
        except Refusal as refusal:
            raise self._truthful(refusal, progress) from None

    async def _run(
        self, call: Call, contract: Contract, idempotent: bool, progress: _Progress
    ) -> Reply:
        route = self._route_request(call, contract, idempotent, progress)
        while True:
            reservation = await self._acquire(route, progress.trace)
            answer = await self._attempt(
                call, contract, idempotent, reservation, progress
            )
            if answer is not None:
                return self._reply(call, answer, reservation)

    def _reply(
        self, call: Call, answer: BackendAnswer, reservation: Reservation
    ) -> Reply:
        own = _is_own(call, answer)
        self._invariants.check(
            InvariantName.OWN_ANSWER, own, "an answer that names another request"
        )
        return Reply(
            call.request_id,
            answer.status,
            answer.headers,
            answer.body,
            reservation.backend.id,
        )

    def _route_request(
        self, call: Call, contract: Contract, idempotent: bool, progress: _Progress
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
            bytes=len(call.body) + HEADER_BYTES_ESTIMATE + ANSWER_BYTES_ESTIMATE,
            excluded=progress.excluded,
        )

    async def _acquire(self, route: RouteRequest, trace: AttemptTrace) -> Reservation:
        started_s = self._timer.now()
        try:
            return await self._router.acquire(route)
        finally:
            trace.queue_s += self._timer.now() - started_s

    async def _attempt(
        self,
        call: Call,
        contract: Contract,
        idempotent: bool,
        reservation: Reservation,
        progress: _Progress,
    ) -> BackendAnswer | None:
        """Try one backend server; None means that another one is to be tried."""
        trace = progress.trace
        progress.written = False
        started_s = self._timer.now()
        try:
            answer = await self._exchange(call, contract, reservation, progress)
            if not _is_own(call, answer) and "cross-answers" not in self._faults:
                raise ExchangeLostError("the answer names another request")
        except NotSentError as exc:
            self._end_unsent(reservation, exc)
            self._after_not_sent(call, reservation, exc, progress)
            return None
        except ExchangeLostError as exc:
            self._end(reservation, ExchangeKind.LOST, started_s, trace)
            progress.may_have_run = True
            self._after_lost(call, idempotent, reservation, exc, progress)
            return None
        except BaseException:
            progress.may_have_run = progress.may_have_run or progress.written
            self._end(reservation, ExchangeKind.CANCELLED, started_s, trace)
            raise
        service_s = self._timer.now() - started_s
        trace.service_s += service_s
        self._router.finish(reservation, ExchangeResult.from_answer(answer, service_s))
        if not answer.shed:
            return answer
        self._after_shed(call, reservation, progress)
        return None

    async def _exchange(
        self,
        call: Call,
        contract: Contract,
        reservation: Reservation,
        progress: _Progress,
    ) -> BackendAnswer:
        backend = reservation.backend
        trace = progress.trace
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
            before_write=lambda: self._before_write(reservation, progress),
        )
        return await self._upstream.exchange(backend, req)

    def _before_write(self, reservation: Reservation, progress: _Progress) -> None:
        """Check once more, with no wait before the first byte is written."""
        mode = self._may_serve()
        if mode is ServingMode.REFUSE:
            raise NotSentError("the configuration is unconfirmed", code=UNCONFIRMED)
        crosses = reservation.backend.region != self._region
        if crosses and mode is not ServingMode.NORMAL:
            raise NotSentError("crossing regions is not allowed now", code=WITHDRAWN)
        if not self._router.start(reservation):
            raise NotSentError("the backend server was withdrawn", code=WITHDRAWN)
        if progress.guard is not None:
            progress.guard.mark_sent()
        progress.written = True
        progress.trace.attempts += 1

    def _end_unsent(self, reservation: Reservation, exc: NotSentError) -> None:
        withdrawn = exc.code in (WITHDRAWN, UNCONFIRMED)
        kind = ExchangeKind.CANCELLED if withdrawn else ExchangeKind.NOT_SENT
        self._router.finish(reservation, ExchangeResult(kind))

    def _end(
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
        progress: _Progress,
    ) -> None:
        self._mark_not_run(progress)
        if exc.code == UNCONFIRMED:
            raise unconfirmed_refusal()
        if exc.code == WITHDRAWN:
            progress.withdrawals += 1
            if progress.withdrawals > MAX_WITHDRAWALS:
                # The choice does not yet know why; do not ask it again and again.
                progress.excluded.add(reservation.backend.id)
            return
        progress.excluded.add(reservation.backend.id)
        if not self._may_retry(call):
            raise Refusal(
                RefusalCode.NO_BACKEND,
                "the backend server could not be reached",
                retry_after_s=1.0,
            )

    def _after_shed(
        self, call: Call, reservation: Reservation, progress: _Progress
    ) -> None:
        self._mark_not_run(progress)
        progress.excluded.add(reservation.backend.id)
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
        progress: _Progress,
    ) -> None:
        progress.excluded.add(reservation.backend.id)
        if self._timer.now() >= call.deadline_s:
            raise Refusal(
                RefusalCode.DEADLINE_EXCEEDED,
                "the deadline passed before the whole answer arrived",
            )
        if exc.code == "answer_too_large":
            raise Refusal(
                RefusalCode.ANSWER_TOO_LARGE, "the answer is larger than allowed"
            )
        again = idempotent or "double-dispatch" in self._faults
        if again and self._may_retry(call):
            return
        raise Refusal(
            RefusalCode.BACKEND_LOST,
            "the connection to the backend server broke before the whole answer",
        )

    def _may_retry(self, call: Call) -> bool:
        in_time = self._timer.now() < call.deadline_s
        return in_time and self._retries.take(call.depth)

    def _mark_not_run(self, progress: _Progress) -> None:
        progress.written = False
        if progress.guard is not None:
            progress.guard.mark_not_sent()

    def _truthful(self, refusal: Refusal, progress: _Progress) -> Refusal:
        """Return the refusal with an outcome that covers all attempts."""
        ran = progress.may_have_run
        if ran and "false-not-run" not in self._faults:
            refusal.outcome = Outcome.UNKNOWN
            refusal.attempt = Attempt.MAYBE_SENT
        self._invariants.check(
            InvariantName.NOT_RUN,
            not ran or refusal.outcome is Outcome.UNKNOWN,
            "a refusal says not-run for a request that was written",
        )
        return refusal


def _is_own(call: Call, answer: BackendAnswer) -> bool:
    return answer.request_id in ("", call.request_id)


def unconfirmed_refusal() -> Refusal:
    """Return the refusal of a host whose configuration copy may be out of date."""
    return Refusal(
        RefusalCode.CONFIG_UNCONFIRMED,
        "this host cannot confirm that its configuration is current",
        retry_after_s=1.0,
    )
