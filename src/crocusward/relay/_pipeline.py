"""Request processing: routing, backend selection, attempts, retries and hedging."""

import asyncio
from collections import Counter

from ..desired import CallerLimits, Directory, RouteRule
from ..errors import NotSentError
from ..invariants import InvariantName, Invariants
from ..neighbours import BackendObservation, ObservationKind
from ..placing import (
    PERMIT_LIFETIME_S,
    BackendLoad,
    BackendLoadTable,
    BackendSelector,
    FleetRetryBudget,
    Refused,
    Selection,
    SelectionRequest,
    ServiceTimeModel,
    WeightedSplit,
    hedging,
)
from ..timing import TimerService
from ..upstream import AnswerMemoryBudget
from ._caller import DEFAULT_LIMITS
from ._crash_watch import CRASHES_SERVERS, CrashWatch
from ._exchange import BackendClient, Exchange, ExchangeEnd, make_cut
from ._hedging import LosingAttempts
from ._messages import CallerAnswer, CallerRequest, make_refusal
from ._notice_tracker import NoticeTracker
from ._rate_limits import RateLimitTracker
from ._requests import Attempt, Call, RequestLog
from ._reserved_slot import NeighbourNotifier
from ._slot_finder import MIN_ATTEMPT_TIME_S, SlotFinder
from ._start import StartGate

STOPPING_RETRY_AFTER_S = 0.05  # other hosts accept the caller's next connection
ROUTE_CHANGED_RETRY_AFTER_S = 0.05  # earlier requests may be answered by then
STARTING_RETRY_AFTER_S = 0.5  # a desired state is normally loaded by then
STOP_ENDS = ("admitted", "refused", "ended", "cut")  # of requests beside a stop
BODY_MEMORY_SHARE = 0.25  # share of the host's memory for request bodies
BYTES_PER_MB = 1 << 20
MAX_CRASH_CHECK_WAIT_S = 0.1  # before a repeat, for servers that stay silent
# Crashes under a request after which this host does not repeat it by itself.
MAX_CRASHES_TO_REPEAT = 1
# Reasons why a selected server got no byte of a request.
WITHDRAWN = "withdrawn"
PERMIT_EXPIRED = "permit_expired"


class Relay:
    """Answers the requests of callers.

    Args:
        timer: Source of time.
        directory: Desired state and backend servers.
        load_table: Loads of the servers.
        times: Learned work times.
        selector: Selects servers.
        slot_finder: Finds slots at servers.
        retry_budget: This host's share of the fleet's retry budget.
        client: Sends requests to servers.
        notifier: Notifies neighbours.
        log: Logs requests and records their outcomes.
        invariants: Checks invariants at run time.
        rate_limits: Applies the rate limits that servers name.
        notices: Applies what servers tell this host about themselves.
        crash_watch: Knows the requests under which servers crashed.
        memory_mb: Memory of the host, in MiB.
        answer_memory: See ``RequestHandler``.

    Attributes:
        limits: Limits on the requests of callers.
        stops_at_s: When the daemon stops, in monotonic seconds, or None. A request
            whose deadline is later is refused, since it could be cut off.
        stop_requests: Requests that came during the stop, by what became of them:
            "admitted", "refused", "ended" (answered by the end of the grace time) and
            "cut" (without an answer); the last two count earlier requests as well.
        start_gate: Holds requests until the daemon has loaded its first rows.
    """

    __slots__ = (
        "limits",
        "stops_at_s",
        "stop_requests",
        "start_gate",
        "answer_memory",
        "_timer",
        "_directory",
        "_load_table",
        "_times",
        "_selector",
        "_retry_budget",
        "_client",
        "_notifier",
        "_log",
        "_invariants",
        "_rate_limits",
        "_notices",
        "_crash_watch",
        "_slot_finder",
        "_split",
        "_reserved_body_bytes",
        "_max_reserved_body_bytes",
        "_losing_attempts",
        "_until_stop",
    )

    def __init__(
        self,
        timer: TimerService,
        directory: Directory,
        load_table: BackendLoadTable,
        times: ServiceTimeModel,
        selector: BackendSelector,
        slot_finder: SlotFinder,
        retry_budget: FleetRetryBudget,
        client: BackendClient,
        notifier: NeighbourNotifier,
        log: RequestLog,
        invariants: Invariants,
        rate_limits: RateLimitTracker,
        notices: NoticeTracker,
        crash_watch: CrashWatch,
        memory_mb: int,
        answer_memory: AnswerMemoryBudget | None = None,
    ) -> None:
        self.answer_memory = answer_memory
        self.limits: CallerLimits = DEFAULT_LIMITS
        self.stops_at_s: float | None = None
        self.stop_requests = Counter(dict.fromkeys(STOP_ENDS, 0))
        self.start_gate = StartGate(timer, directory)
        self._timer = timer
        self._directory = directory
        self._load_table = load_table
        self._times = times
        self._selector = selector
        self._retry_budget = retry_budget
        self._client = client
        self._notifier = notifier
        self._log = log
        self._invariants = invariants
        self._rate_limits = rate_limits
        self._notices = notices
        self._crash_watch = crash_watch
        self._slot_finder = slot_finder
        self._split = WeightedSplit()
        self._reserved_body_bytes = 0
        self._max_reserved_body_bytes = int(
            memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE
        )
        self._losing_attempts = LosingAttempts()
        self._until_stop: set[asyncio.Timeout] = set()

    # RequestHandler.

    def reserve_body_memory(self, size: int) -> bool:
        """Reserve memory for a part of a body; return whether it succeeded."""
        if self._reserved_body_bytes + size > self._max_reserved_body_bytes:
            return False
        self._reserved_body_bytes += size
        return True

    def release_body_memory(self, size: int) -> None:
        """Release the memory of a body."""
        self._reserved_body_bytes -= size

    def can_run_concurrently(self, req: CallerRequest) -> bool:
        """Return whether a request may start before earlier ones are answered."""
        state = self._directory.state
        route = state.find_route(req.host, req.path) if state else None
        return route is not None and route.idempotent

    def log_not_started(self, id: bytes, status: int, reason: str) -> None:
        """Log a request that ended before its start."""
        self._log.log_not_started(id, status, reason)

    async def answer(self, req: CallerRequest) -> CallerAnswer:
        """Answer one request of a caller."""
        began_s = self._timer.now()
        is_usable = await self.start_gate.wait_until_usable()
        state = self._directory.state
        if state is None or not is_usable:
            return self._log.refuse_early(
                req, "", "not_ready", 503, STARTING_RETRY_AFTER_S
            )
        route = state.find_route(req.host, req.path)
        if route is None:
            return self._log.refuse_early(req, "", "no_route", 404, None)
        if not req.id:
            return self._log.refuse_early(req, route.name, "no_id", 400, None)
        if req.is_early and not route.idempotent:
            return self._log.refuse_early(
                req, route.name, "route_changed", 503, ROUTE_CHANGED_RETRY_AFTER_S
            )
        limit_s = route.timeout_s
        if req.time_left_s is not None:
            limit_s = min(limit_s, req.time_left_s)
        if not self._admit_beside_stop(req.received_s + limit_s):
            refused = self._log.refuse_early(
                req, route.name, "stopping", 503, STOPPING_RETRY_AFTER_S
            )
            refused.close = True
            return refused
        call = self._make_call(req, route, began_s, limit_s)
        until_stop = asyncio.timeout(None)
        self._until_stop.add(until_stop)
        try:
            async with until_stop:
                answer = await self._serve(call)
        except TimeoutError:
            answer = self._end_at_stop(call)
        except asyncio.CancelledError:
            self._log.finish(call, "caller_left", 0)
            raise
        except Refused as exc:
            answer = self._refuse(call, exc)
        except Exception as exc:
            self._log.finish(call, "internal_error", 502, reason=repr(exc))
            answer = make_refusal(502, "internal error", close=True)
        finally:
            self._until_stop.discard(until_stop)
        return answer

    def _admit_beside_stop(self, deadline_s: float) -> bool:
        """Return whether a request ends before the host does, and count it."""
        if self.stops_at_s is None:
            return True
        is_admitted = deadline_s <= self.stops_at_s
        self.stop_requests["admitted" if is_admitted else "refused"] += 1
        return is_admitted

    def end_calls(self) -> None:
        """Answer all requests at once, since the daemon is about to end."""
        now_s = asyncio.get_running_loop().time()
        for until_stop in self._until_stop:
            until_stop.reschedule(now_s)

    def _end_at_stop(self, call: Call) -> CallerAnswer:
        """Answer a request that could not end before the daemon does."""
        self.stop_requests["ended"] += 1
        if call.attempts or call.may_have_run:
            answer = self._fail(call, 504, "the host stops")
        else:
            answer = self._refuse(
                call, Refused("the host stops", STOPPING_RETRY_AFTER_S, code="stopping")
            )
        answer.close = True
        return answer

    def _make_call(
        self, req: CallerRequest, route: RouteRule, began_s: float, limit_s: float
    ) -> Call:
        service = self._split.pick(route)
        self._retry_budget.count_request(service, began_s)
        selection_req = SelectionRequest(
            req.id.decode("latin-1"),
            route,
            service,
            objective_s=req.received_s + route.objective_s,
            deadline_s=req.received_s + limit_s,
            service_time_s=self._times.service_time_s(
                service, route.name, route.objective_s
            ),
            body_bytes=len(req.body),
        )
        call = Call(req, selection_req, began_s)
        call.digest = self._crash_watch.find(req)
        selection_req.excluded = call.tried_ids
        return call

    # Attempts.

    async def _serve(self, call: Call) -> CallerAnswer:
        self._crash_watch.check_allowed(call.digest, call.selection_req.id)
        running: dict[asyncio.Task[Exchange], Attempt] = {}
        try:
            while True:
                if not running:
                    self._check_may_send(call)
                    selection = await self._select_backend(call)
                    self._start_attempt(call, selection, running)
                done = await self._wait_for_end(call, running)
                if call.crash_check is not None:
                    await self._wait_for_crash_check(call)
                for task in done:
                    del running[task]
                    answer = self._process_result(call, task.result(), bool(running))
                    if answer is not None:
                        return answer
                if not done and self._now() >= call.selection_req.deadline_s:
                    return self._fail_at_deadline(call)
        finally:
            call.is_over = True
            for task, attempt in running.items():
                if task.done():
                    self._log.log_abandoned_attempt(call, attempt, task)
            self._losing_attempts.cancel_later(running)

    def _can_repeat(self, call: Call) -> bool:
        """Return whether a request may run twice, by its route then and now."""
        return call.selection_req.route.idempotent and self.can_run_concurrently(
            call.req
        )

    def _check_may_send(self, call: Call) -> None:
        """Refuse to send a request again that may have run."""
        if not self._invariants.check(
            InvariantName.AT_MOST_ONCE,
            call.selection_req.route.idempotent
            or not (call.may_have_run or call.attempts),
            "a request that may have run would be sent again",
        ):
            raise Refused("it may have run", 0.0, code="may_have_run")
        if call.may_have_run and not self._can_repeat(call):
            raise Refused("the route no longer allows repeats", 0.0, code=WITHDRAWN)

    async def _wait_for_crash_check(self, call: Call) -> None:
        """Wait for a while for what a repeat depends on; the check goes on."""
        check = call.crash_check
        assert check is not None
        call.crash_check = None
        if call.selection_req.route.idempotent:
            await asyncio.wait([check], timeout=MAX_CRASH_CHECK_WAIT_S)
            call.digest = self._crash_watch.find(call.req)

    async def _wait_for_end(
        self, call: Call, running: dict[asyncio.Task[Exchange], Attempt]
    ) -> "set[asyncio.Task[Exchange]]":
        """Wait until an attempt ends; send a hedged request if the first is late."""
        now_s = self._now()
        left_s = max(0.0, call.selection_req.deadline_s - now_s)
        hedge_delay_s = self._hedge_delay_s(call, running)
        done: set[asyncio.Task[Exchange]] = set()
        if hedge_delay_s is None or hedge_delay_s >= left_s:
            done, _ = await asyncio.wait(
                running, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            return done
        while (
            not done and (left_s := call.selection_req.deadline_s - self._now()) > 0.0
        ):
            done, _ = await asyncio.wait(
                running,
                timeout=min(hedge_delay_s, left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                break
            selection = await self._select_hedge(call, running)
            if selection is not None:
                self._start_attempt(call, selection, running)
                break
            hedge_delay_s = hedging.RECHECK_S
        return done

    def _hedge_delay_s(
        self, call: Call, running: dict[asyncio.Task[Exchange], Attempt]
    ) -> float | None:
        route = call.selection_req.route
        if (
            not route.idempotent
            or call.digest is not None
            or len(running) > 1
            or call.attempts >= route.max_attempts
        ):
            return None
        (attempt,) = running.values()
        expected_s = attempt.selection.expected_s
        return hedging.delay_s(call.selection_req, expected_s, self._now())

    async def _select_hedge(
        self, call: Call, running: dict[asyncio.Task[Exchange], Attempt]
    ) -> Selection | None:
        now_s = self._now()
        service = call.selection_req.service
        if (
            self._slot_finder.has_queued(service)
            or now_s + MIN_ATTEMPT_TIME_S > call.selection_req.deadline_s
        ):
            return None
        if (
            self._retry_budget.remaining(service, now_s)
            < 1.0 + hedging.RESERVED_RETRY_COUNT
        ):
            return None
        selection = await self._slot_finder.find_hedge_slot(call.selection_req)
        if selection is None or any(task.done() for task in running):
            return None
        now_s = self._now()
        if not self._can_repeat(call):
            return None
        if not hedging.has_idle_capacity(selection, call.selection_req, now_s):
            return None
        if not self._retry_budget.try_spend(
            service, now_s, hedging.RESERVED_RETRY_COUNT
        ):
            return None
        return selection

    async def _select_backend(self, call: Call) -> Selection:
        began_s = self._now()
        try:
            crashes = self._crash_watch.count(call.digest)
            if not crashes:
                return await self._slot_finder.find(call.selection_req)
            return await self._slot_finder.find_quiet(
                call.selection_req, must_be_alone=crashes > MAX_CRASHES_TO_REPEAT
            )
        finally:
            call.waited_s += self._now() - began_s

    def dispatch_queued(self, service: str) -> None:
        """Send queued requests of a service while there are free slots."""
        self._slot_finder.dispatch_queued(service)

    def _start_attempt(
        self,
        call: Call,
        selection: Selection,
        running: dict[asyncio.Task[Exchange], Attempt],
    ) -> None:
        load = selection.load
        assert load is not None
        now_s = self._now()
        if selection.begun_s is None:
            load.begin(now_s)
            selection.begun_s = now_s
        self._invariants.check(
            InvariantName.RATE_LIMIT,
            not selection.needs_permit,
            "a request is sent to a rate-limited server without a permit",
        )
        call.tried_ids.add(load.entry.id)
        call.attempts += 1
        call.sends += 1
        attempt = Attempt(call.sends, selection)
        self._notifier.notify_change(load, None)
        self._log.log_placed(call, attempt)
        permit_end_s = selection.permit_end_s
        if permit_end_s is None:
            permit_end_s = self._rate_limits.now() + PERMIT_LIFETIME_S
        task = asyncio.get_running_loop().create_task(
            self._run_exchange(call, attempt, load, permit_end_s)
        )
        # Not in the coroutine, which never runs if its task is cancelled at once.
        task.add_done_callback(lambda done: self._on_exchange_end(call, attempt, done))
        running[task] = attempt

    async def _run_exchange(
        self, call: Call, attempt: Attempt, load: BackendLoad, permit_end_s: float
    ) -> Exchange:
        route = call.selection_req.route
        left_s = call.selection_req.deadline_s - self._now()

        def check_before_write() -> None:
            call.digest = call.digest or self._crash_watch.find(call.req)
            if self._crash_watch.registry.is_blocked(call.digest or b""):
                raise NotSentError("servers crash under it", code=CRASHES_SERVERS)
            if call.attempts > 1 and not self._can_repeat(call):
                raise NotSentError("the route no longer allows repeats", code=WITHDRAWN)
            if not self._selector.is_allowed(load, route, self._now()):
                raise NotSentError("the server is out of service", code=WITHDRAWN)
            if self._load_table.loads.get(load.entry.id) is not load:
                raise NotSentError("the server was replaced", code=WITHDRAWN)
            if load.entry.service != call.selection_req.service:
                raise NotSentError("the server has another service", code=WITHDRAWN)
            is_limited = load.is_limited(self._now())
            if is_limited and self._rate_limits.now() > permit_end_s:
                raise NotSentError("the permit has expired", code=PERMIT_EXPIRED)
            self._invariants.check(
                InvariantName.SERVICE,
                any(part.service == load.entry.service for part in route.parts),
                "a request is sent to a service that its route does not name",
            )
            self._invariants.check(
                InvariantName.RESIDENCY,
                not route.regions or load.region in route.regions,
                "a request leaves its home regions",
            )
            attempt.is_written = True

        result = await self._client.send(
            load, call.req, left_s, before_write=check_before_write
        )
        if result.is_close_delimited and await self._has_crashed(load):
            # Nothing else tells a whole answer from one that a crash has cut.
            result = make_cut(result)
        result.send_number = attempt.number
        return result

    async def _has_crashed(self, load: BackendLoad) -> bool:
        """Return whether a server is gone that is not leaving."""
        is_listed = self._load_table.loads.get(load.entry.id) is load
        if load.entry.leaving or not is_listed:
            return False
        return await self._crash_watch.is_gone(load)

    def _on_exchange_end(
        self, call: Call, attempt: Attempt, task: "asyncio.Task[Exchange]"
    ) -> None:
        selection = attempt.selection
        load = selection.load
        begun_s = selection.begun_s
        assert load is not None and begun_s is not None
        load.end(begun_s)
        load.release_held_slots(selection.held_slots)
        if selection.release is not None:
            selection.release()
        load.idle_connections = self._client.idle_connections(load)
        self._log.count_attempt(attempt, task)
        if call.is_over or task.cancelled() or task.exception() is not None:
            self._log.log_abandoned_attempt(call, attempt, task)
        observation: BackendObservation | None = None
        if not task.cancelled() and task.exception() is None:
            result = task.result()
            observation = result.observation
            self._update_estimates(call, selection, result, begun_s)
            was_ejected = load.is_ejected(self._now())
            load.observe(observation, self._now())
            self._rate_limits.observe(load, observation, call.selection_req.id)
            self._notices.observe(load, observation, call.selection_req.id)
            self._watch_for_crash(call, selection, result)
            self._log.log_ejection_change(call, load, observation, was_ejected)
        self._notifier.notify_change(load, observation)
        self.dispatch_queued(call.selection_req.service)

    def _watch_for_crash(
        self, call: Call, selection: Selection, result: Exchange
    ) -> None:
        watch, request_id, load = (
            self._crash_watch,
            call.selection_req.id,
            selection.load,
        )
        assert load is not None
        if result.is_cut:
            call.crash_check = watch.examine(call.req, request_id, load)
        elif result.is_silent:
            watch.note_silent(call.req, request_id, load)
        elif result.end is ExchangeEnd.ANSWERED:
            watch.note_answer(call.req, request_id, load)

    def _update_estimates(
        self, call: Call, selection: Selection, result: Exchange, begun_s: float
    ) -> None:
        observation = result.observation
        load = selection.load
        assert load is not None
        if observation.slowdown > 0.0 or result.end is ExchangeEnd.ANSWERED:
            self._times.observe_slowdown(
                call.selection_req.service, observation.slowdown
            )
        now_s = self._now()
        if observation.kind is ObservationKind.SILENT:
            route = call.selection_req.route
            # With a stale slowdown, a slow machine may explain the silence.
            is_failure = selection.is_slowdown_current and self._times.observe_timeout(
                call.selection_req.service,
                route.name,
                route.objective_s,
                (now_s - begun_s) / selection.slowdown,
            )
            if not is_failure:
                observation.kind = ObservationKind.REFUSED
        if not result.has_usable_answer or load.is_cold(begun_s):
            return
        if not selection.is_slowdown_current:
            return
        is_full = selection.in_flight + 1.0 >= load.entry.slots
        ratio = self._times.observe(
            call.selection_req.service,
            call.selection_req.route.name,
            call.selection_req.route.objective_s,
            (now_s - begun_s) / selection.slowdown,
            is_full,
        )
        load.observe_latency_ratio(ratio, now_s)

    def _process_result(
        self, call: Call, result: Exchange, has_other_attempts: bool
    ) -> CallerAnswer | None:
        """Return the answer to the caller, or None to wait or try again."""
        route = call.selection_req.route
        if result.end is ExchangeEnd.NOT_RUN:
            call.attempts -= 1
            call.note_not_run(result.evidence)
            self._log.log_failed_attempt(call, result)
            if result.reason == "invalid_request":
                return self._log.refuse_early(
                    call.req, route.name, "bad_header", 400, None, call.not_run_basis
                )
            if has_other_attempts:
                return None
            self._crash_watch.check_allowed(call.digest, call.selection_req.id)
            if self._can_retry(call, result):
                return None
            if call.may_have_run:
                return self._fail(call, 502, result.reason)
            raise Refused(result.reason, 0.0, code="no_repeats")
        if result.end is ExchangeEnd.ANSWERED and (
            result.has_usable_answer or not route.idempotent
        ):
            assert result.answer is not None
            self._log.finish(call, "answered", result.answer.status, result)
            return result.answer
        # The request may have run.
        call.may_have_run = True
        call.last_failure = result.answer or call.last_failure
        self._log.log_failed_attempt(call, result)
        if has_other_attempts:
            return None
        if (
            self._can_repeat(call)
            and self._crash_watch.count(call.digest) <= MAX_CRASHES_TO_REPEAT
            and call.attempts < route.max_attempts
            and self._now() + MIN_ATTEMPT_TIME_S < call.selection_req.deadline_s
            and self._retry_budget.try_spend(call.selection_req.service, self._now())
        ):
            return None
        if self._now() + MIN_ATTEMPT_TIME_S >= call.selection_req.deadline_s:
            # The exchange ends at the deadline too, and its timer may be first.
            return self._fail_at_deadline(call)
        return self._fail(call, 502, result.reason)

    def _can_retry(self, call: Call, result: Exchange) -> bool:
        now_s = self._now()
        if now_s + MIN_ATTEMPT_TIME_S >= call.selection_req.deadline_s:
            return False
        if result.observation.kind is ObservationKind.UNREACHABLE or result.reason in (
            WITHDRAWN,
            PERMIT_EXPIRED,
        ):
            return True  # nothing was sent to a server
        return self._retry_budget.try_spend(call.selection_req.service, now_s)

    def _fail_at_deadline(self, call: Call) -> CallerAnswer:
        """Answer at the deadline, while an attempt is still running."""
        call.may_have_run = True
        return self._fail(call, 504, "time is over")

    def _fail(self, call: Call, status: int, reason: str) -> CallerAnswer:
        if call.last_failure is not None:
            self._log.finish(call, "backend_error", call.last_failure.status)
            return call.last_failure
        self._log.finish(call, reason, status)
        return make_refusal(status, f"the request may have run: {reason}"[:200])

    def _refuse(self, call: Call, exc: Refused) -> CallerAnswer:
        if call.may_have_run:
            return self._fail(call, 504 if exc.code == "no_time" else 502, str(exc))
        if not self._invariants.check(
            InvariantName.NOT_RUN,
            call.attempts == 0,
            "a request that may have run would be refused as not run",
        ):
            return self._fail(call, 502, str(exc))
        retry_after_s = max(0.05, exc.retry_after_s)
        self._log.finish(
            call, exc.code, 503, reason=str(exc), retry_after_s=retry_after_s
        )
        return make_refusal(503, f"not run: {exc}"[:200], retry_after_s=retry_after_s)

    def _now(self) -> float:
        return self._timer.now()
