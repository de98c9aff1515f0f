"""The way of one request: route, place, send, repeat, answer."""

import asyncio

from ..desired import CallerLimits, Directory, RouteRule
from ..errors import NotSentError
from ..invariants import InvariantName, Invariants
from ..neighbours import BackendObservation, ObservationKind
from ..placing import (
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
from ._caller import DEFAULT_LIMITS
from ._copies import SlowerCopies
from ._exchange import BackendLink, Exchange, ExchangeEnd
from ._kept import Announcer
from ._messages import CallerAnswer, CallerRequest, refusal
from ._places import MIN_SEND_S, PlaceFinder
from ._requests import Call, RequestLog
from ._start import StartGate

STOPPING_RETRY_S = 0.05  # other hosts take the caller's next connection
START_RETRY_S = 0.5  # a daemon without a desired state normally has one by then
MEMORY_SHARE = 0.25  # of the host's memory may hold request bodies
MB = 1 << 20


class Relay:
    """Answers the requests of callers.

    Args:
        timer: Source of time.
        directory: Desired state and backend servers.
        book: Loads of the servers.
        times: Learned times of work.
        placer: Chooses servers.
        places: Finds places.
        retries: This host's share of the fleet's repeats.
        link: Sends to servers.
        announcer: Tells neighbours.
        log: Logs and counts what becomes of requests.
        invariants: Receives the checks of the promises.
        memory_mb: Memory of the host.

    Attributes:
        limits: Bounds of what a caller may send.
        stops_at_s: When the daemon ends, in monotonic seconds, or None. A request
            whose time limit lies beyond it is refused, since it could be cut.
        start_gate: Holds requests until the daemon has its first rows.
    """

    __slots__ = (
        "limits",
        "stops_at_s",
        "start_gate",
        "_timer",
        "_directory",
        "_book",
        "_times",
        "_placer",
        "_retries",
        "_link",
        "_announcer",
        "_log",
        "_invariants",
        "_places",
        "_split",
        "_body_bytes",
        "_body_limit",
        "_slower",
    )

    def __init__(
        self,
        timer: TimerService,
        directory: Directory,
        book: BackendLoadTable,
        times: ServiceTimeModel,
        placer: BackendSelector,
        places: PlaceFinder,
        retries: FleetRetryBudget,
        link: BackendLink,
        announcer: Announcer,
        log: RequestLog,
        invariants: Invariants,
        memory_mb: int,
    ) -> None:
        self.limits: CallerLimits = DEFAULT_LIMITS
        self.stops_at_s: float | None = None
        self.start_gate = StartGate(timer, directory)
        self._timer = timer
        self._directory = directory
        self._book = book
        self._times = times
        self._placer = placer
        self._retries = retries
        self._link = link
        self._announcer = announcer
        self._log = log
        self._invariants = invariants
        self._places = places
        self._split = WeightedSplit()
        self._body_bytes = 0
        self._body_limit = int(memory_mb * MB * MEMORY_SHARE)
        self._slower = SlowerCopies()

    # RequestHandler.

    def takes_body(self, size: int) -> bool:
        """Return whether there is memory for a part of a body, and count it."""
        if self._body_bytes + size > self._body_limit:
            return False
        self._body_bytes += size
        return True

    def body_done(self, size: int) -> None:
        """Return the memory of a body."""
        self._body_bytes -= size

    def may_overlap(self, req: CallerRequest) -> bool:
        """Return whether a request may start before earlier ones are answered."""
        state = self._directory.state
        route = state.find_route(req.host, req.path) if state else None
        return route is not None and route.idempotent

    async def answer(self, req: CallerRequest) -> CallerAnswer:
        """Answer one request of a caller."""
        began_s = self._timer.now()
        is_started = await self.start_gate.passes()
        state = self._directory.state
        if state is None or not is_started:
            return self._log.refuse_early(req, "", "not_ready", 503, START_RETRY_S)
        route = state.find_route(req.host, req.path)
        if route is None:
            return self._log.refuse_early(req, "", "no_route", 404, None)
        if not req.id:
            return self._log.refuse_early(req, route.name, "no_id", 400, None)
        limit_s = route.timeout_s
        if req.time_left_s is not None:
            limit_s = min(limit_s, req.time_left_s)
        if self.stops_at_s is not None and req.received_s + limit_s > self.stops_at_s:
            refused = self._log.refuse_early(
                req, route.name, "stopping", 503, STOPPING_RETRY_S
            )
            refused.close = True
            return refused
        call = self._begin(req, route, began_s, limit_s)
        try:
            answer = await self._serve(call)
        except asyncio.CancelledError:
            self._log.finish(call, "caller_left", 0)
            raise
        except Refused as exc:
            answer = self._refuse(call, exc)
        except Exception as exc:
            self._log.finish(call, "internal_error", 502, reason=repr(exc))
            answer = refusal(502, "internal error", close=True)
        return answer

    def _begin(
        self, req: CallerRequest, route: RouteRule, began_s: float, limit_s: float
    ) -> Call:
        service = self._split.pick(route)
        self._retries.count_request(service, began_s)
        place = SelectionRequest(
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
        call = Call(req, place, began_s)
        place.excluded = call.tried
        return call

    # Attempts.

    async def _serve(self, call: Call) -> CallerAnswer:
        running: dict[asyncio.Task[Exchange], Selection] = {}
        try:
            while True:
                if not running:
                    choice = await self._place(call)
                    running[self._launch(call, choice)] = choice
                done = await self._wait(call, running)
                for task in done:
                    del running[task]
                    answer = self._judge(call, task.result(), bool(running))
                    if answer is not None:
                        return answer
                if not done and self._now() >= call.place.deadline_s:
                    return self._give_up(call)
        finally:
            self._slower.release(running)

    async def _wait(
        self, call: Call, running: dict[asyncio.Task[Exchange], Selection]
    ) -> "set[asyncio.Task[Exchange]]":
        """Wait for an end; send a second copy if the first is late."""
        now_s = self._now()
        left_s = max(0.0, call.place.deadline_s - now_s)
        hedge_s = self._hedge_delay_s(call, running)
        done: set[asyncio.Task[Exchange]] = set()
        if hedge_s is None or hedge_s >= left_s:
            done, _ = await asyncio.wait(
                running, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            return done
        while not done and (left_s := call.place.deadline_s - self._now()) > 0.0:
            done, _ = await asyncio.wait(
                running,
                timeout=min(hedge_s, left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                break
            choice = await self._hedge(call, running)
            if choice is not None:
                running[self._launch(call, choice)] = choice
                break
            hedge_s = hedging.RECHECK_S
        return done

    def _hedge_delay_s(
        self, call: Call, running: dict[asyncio.Task[Exchange], Selection]
    ) -> float | None:
        route = call.place.route
        if not route.idempotent or len(running) > 1 or call.runs >= route.max_attempts:
            return None
        (choice,) = running.values()
        return hedging.delay_s(call.place, choice.expected_s, self._now())

    async def _hedge(
        self, call: Call, running: dict[asyncio.Task[Exchange], Selection]
    ) -> Selection | None:
        now_s = self._now()
        service = call.place.service
        if (
            self._places.has_waiting(service)
            or now_s + MIN_SEND_S > call.place.deadline_s
        ):
            return None
        if self._retries.remaining(service, now_s) < 1.0 + hedging.RESERVED_RETRY_COUNT:
            return None
        choice = await self._places.find_second(call.place)
        if choice is None or any(task.done() for task in running):
            return None
        now_s = self._now()
        if not hedging.has_idle_capacity(choice, call.place, now_s):
            return None
        if not self._retries.try_spend(service, now_s, hedging.RESERVED_RETRY_COUNT):
            return None
        return choice

    async def _place(self, call: Call) -> Selection:
        began_s = self._now()
        try:
            return await self._places.find(call.place)
        finally:
            call.waited_s += self._now() - began_s

    def room_changed(self, service: str) -> None:
        """Place waiting requests of a service while there is room."""
        self._places.room_changed(service)

    def _launch(self, call: Call, choice: Selection) -> "asyncio.Task[Exchange]":
        load = choice.load
        assert load is not None
        now_s = self._now()
        if choice.begun_s is None:
            load.begin(now_s)
            choice.begun_s = now_s
        self._invariants.check(
            InvariantName.AT_MOST_ONCE,
            call.place.route.idempotent or not (call.unknown or call.runs),
            "a request that may have run is sent again",
        )
        call.tried.add(load.entry.id)
        call.runs += 1
        self._announcer.announce(load, None)
        self._log.placed(call, choice)
        task = asyncio.get_running_loop().create_task(self._exchange(call, load))
        # Not in the task itself, which may be cancelled before its first step.
        task.add_done_callback(lambda done: self._on_exchange_end(call, choice, done))
        return task

    async def _exchange(self, call: Call, load: BackendLoad) -> Exchange:
        route = call.place.route
        left_s = call.place.deadline_s - self._now()

        def check() -> None:
            if not self._placer.is_allowed(load, route):
                raise NotSentError("the server is out of service", code="withdrawn")
            self._invariants.check(
                InvariantName.RESIDENCY,
                not route.regions or load.region in route.regions,
                "a request leaves its home regions",
            )

        return await self._link.send(load, call.req, left_s, before_write=check)

    def _on_exchange_end(
        self, call: Call, choice: Selection, task: "asyncio.Task[Exchange]"
    ) -> None:
        load = choice.load
        begun_s = choice.begun_s
        assert load is not None and begun_s is not None
        load.end(begun_s)
        if choice.release is not None:
            choice.release()
        load.idle_connections = self._link.idle_connections(load)
        seen: BackendObservation | None = None
        if not task.cancelled() and task.exception() is None:
            result = task.result()
            seen = result.seen
            self._learn(call, choice, result, begun_s)
            was_closed = load.is_ejected(self._now())
            load.observe(seen, self._now())
            self._log.backend(call, load, seen, was_closed)
        self._announcer.announce(load, seen)
        self.room_changed(call.place.service)

    def _learn(
        self, call: Call, choice: Selection, result: Exchange, begun_s: float
    ) -> None:
        seen = result.seen
        load = choice.load
        assert load is not None
        if seen.slowdown > 0.0 or result.end is ExchangeEnd.ANSWERED:
            self._times.observe_slowdown(call.place.service, seen.slowdown)
        now_s = self._now()
        if seen.kind is ObservationKind.SILENT:
            route = call.place.route
            blamed = choice.is_slowdown_current and self._times.observe_timeout(
                call.place.service,
                route.name,
                route.objective_s,
                (now_s - begun_s) / choice.slowdown,
            )
            if not blamed:
                seen.kind = ObservationKind.REFUSED
        if not result.is_good or load.is_cold(begun_s):
            return
        if not choice.is_slowdown_current:
            return
        filled = choice.in_flight + 1.0 >= load.entry.slots
        ratio = self._times.observe(
            call.place.service,
            call.place.route.name,
            call.place.route.objective_s,
            (now_s - begun_s) / choice.slowdown,
            filled,
        )
        load.observe_latency_ratio(ratio, now_s)

    def _judge(
        self, call: Call, result: Exchange, others_run: bool
    ) -> CallerAnswer | None:
        """Return the answer to the caller, or None to go on."""
        route = call.place.route
        if result.end is ExchangeEnd.NOT_RUN:
            call.runs -= 1
            self._log.attempt(call, result)
            if result.reason == "invalid_request":
                return self._log.refuse_early(
                    call.req, route.name, "bad_header", 400, None
                )
            if others_run:
                return None
            if self._may_repeat(call, result):
                return None
            if call.unknown:
                return self._fail(call, 502, result.reason)
            raise Refused(result.reason, 0.0, code="no_repeats")
        if result.end is ExchangeEnd.ANSWERED and (
            result.is_good or not route.idempotent
        ):
            assert result.answer is not None
            self._log.finish(call, "answered", result.answer.status, result.seen)
            return result.answer
        # The request may have run.
        call.unknown = True
        call.last = result.answer or call.last
        self._log.attempt(call, result)
        if others_run:
            return None
        if (
            route.idempotent
            and call.runs < route.max_attempts
            and self._now() + MIN_SEND_S < call.place.deadline_s
            and self._retries.try_spend(call.place.service, self._now())
        ):
            return None
        return self._fail(call, 502, result.reason)

    def _may_repeat(self, call: Call, result: Exchange) -> bool:
        now_s = self._now()
        if now_s + MIN_SEND_S >= call.place.deadline_s:
            return False
        if (
            result.seen.kind is ObservationKind.UNREACHABLE
            or result.reason == "withdrawn"
        ):
            return True  # nothing arrived at a server
        return self._retries.try_spend(call.place.service, now_s)

    def _give_up(self, call: Call) -> CallerAnswer:
        """Answer at the end of the time; an attempt is still running."""
        call.unknown = True
        return self._fail(call, 504, "time is over")

    def _fail(self, call: Call, status: int, reason: str) -> CallerAnswer:
        if call.last is not None:
            self._log.finish(call, "backend_error", call.last.status)
            return call.last
        self._log.finish(call, reason, status)
        return refusal(status, f"the request may have run: {reason}"[:200])

    def _refuse(self, call: Call, exc: Refused) -> CallerAnswer:
        if call.unknown:
            return self._fail(call, 504 if exc.code == "no_time" else 502, str(exc))
        self._invariants.check(
            InvariantName.NOT_RUN,
            call.runs == 0,
            "a request that may have run is refused as not run",
        )
        retry_after_s = max(0.05, exc.retry_after_s)
        self._log.finish(
            call, exc.code, 503, reason=str(exc), retry_after_s=retry_after_s
        )
        return refusal(503, f"not run: {exc}"[:200], retry_after_s=retry_after_s)

    def _now(self) -> float:
        return self._timer.now()
