"""Fakes of backend servers and of one host's way to them."""

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable

from ...errors import ExchangeLostError, NotSentError
from ...invariants import InvariantName
from ...model import BACKEND_SLOTS, Backend, BackendAnswer
from ...upstream import UpstreamRequest
from ._gate import HostGate
from ._oracle import Job, Oracle, answer_body

SERVICE_S = 0.01
COLD_FACTOR = 3.0  # a cold server is slower
COLD_SERVED = 24  # requests after which it is warm
COLD_BEARS = 3  # in flight at first; more make it fall over
COLD_STEP = 4  # requests that let it bear one more
KNOWN_AFTER_S = 0.1  # from the first sign until every host of the region knows
DOWN_S = 1.0
QUEUE_LIMIT = 8
PROBE_S = 0.006
CONNECT_S = 0.001
CROSSED_SHARE = 0.002  # answers that belong to an earlier request
COPIED_SHARE = 0.5  # refusals that a server sends twice, while it does so
LIMIT_STABLE_S = 3.0  # from the first answer with a rate limit until it binds
LIMIT_KNOWN_S = 0.5  # from such an answer to a host until it binds that host
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5


class _Work:
    """A request at a backend server."""

    __slots__ = ("job", "request_id", "answer", "cancelled", "probe")

    def __init__(self, job: Job | None, request_id: str, answer: asyncio.Future):
        self.job = job
        self.request_id = request_id
        self.answer = answer
        self.cancelled = False
        self.probe = job is None


class FakeBackend:
    """A backend server with two slots and a queue.

    Attributes:
        backend: Its address and place.
        boot: Boot id.
        served: Requests served since it became cold.
        refusing_until_s: End of a crash.
        draining: True while it refuses new work.
        repeats_refusals: True while it refuses probes, and sends refusals twice.
        slowdown: Factor on service times.
        signs: When each host could first learn of the present boot, in seconds;
            a host that is cut off from the one that saw it cannot.
        rate_limit_per_s: Limit that it names in its answers, 0.0 for none.
        told_s: When each host got the first answer with that limit, in seconds.
    """

    def __init__(
        self, backend: Backend, oracle: Oracle, rng: random.Random, now: Callable
    ) -> None:
        self.backend = backend
        self.boot = "1"
        self.served = COLD_SERVED
        self.refusing_until_s = 0.0
        self.draining = False
        self.repeats_refusals = False
        self.slowdown = 1.0
        self.signs: dict[str, float] = {}
        self.rate_limit_per_s = 0.0
        self.told_s: dict[str, float] = {}
        self._arrivals_s: deque[float] = deque()
        self.falls = 0
        self.probes = 0
        self._oracle = oracle
        self._rng = rng
        self._now = now
        self._queue: deque[_Work] = deque()
        self._running: set[_Work] = set()

    @property
    def in_flight(self) -> int:
        """Requests here, running or waiting."""
        return len(self._queue) + len(self._running)

    @property
    def bears(self) -> int:
        """Requests in flight that the server can bear now."""
        if self.served >= COLD_SERVED:
            return 1_000
        return COLD_BEARS + self.served // COLD_STEP

    def is_up(self) -> bool:
        """Return True if it accepts connections."""
        return self._now() >= self.refusing_until_s

    def turn_cold(self, *, restart: bool) -> None:
        """Become cold; a restart loses what was running and takes a while."""
        self.served = 0
        if restart:
            self.crash()
        else:
            self.boot = str(int(self.boot) + 1)
            self.signs.clear()

    def crash(self) -> None:
        """Lose all work and refuse connections for a while; then be cold."""
        self.refusing_until_s = self._now() + DOWN_S
        self.boot = str(int(self.boot) + 1)
        self.served = 0
        self.signs.clear()
        lost = [*self._queue, *self._running]
        self._queue.clear()
        self._running.clear()
        for work in lost:
            work.cancelled = True
            if not work.answer.done():
                work.answer.set_exception(ExchangeLostError("the server fell over"))

    def submit(self, work: _Work, written_s: float, host: str) -> None:
        """Receive a request of a host."""
        if self.rate_limit_per_s and not work.probe:
            self._check_rate_limit(host)
        if not self.is_up():
            work.answer.set_exception(ExchangeLostError("connection reset"))
            return
        is_refused_probe = work.probe and self.repeats_refusals
        is_full = self.in_flight >= QUEUE_LIMIT and not work.probe
        if self.draining or is_refused_probe or is_full:
            self._finish(work, shed=True)
            return
        self._queue.append(work)
        if self.in_flight > self.bears:
            self._overload(written_s, host)
            return
        self._next()

    def set_rate_limit(self, per_s: float) -> None:
        """Name another rate limit from now on, or none."""
        self.rate_limit_per_s = per_s
        self.told_s.clear()
        self._arrivals_s.clear()

    def _check_rate_limit(self, host: str) -> None:
        """Count a request of a host that knows the limit."""
        now_s = self._now()
        told_s = self.told_s.get(host, now_s)
        first_s = min(self.told_s.values(), default=now_s)
        if now_s < told_s + LIMIT_KNOWN_S or now_s < first_s + LIMIT_STABLE_S:
            return
        self._arrivals_s.append(now_s)
        while self._arrivals_s[0] <= now_s - LIMIT_WINDOW_S:
            self._arrivals_s.popleft()
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * self.rate_limit_per_s + LIMIT_EXTRA
        if len(self._arrivals_s) > allowed:
            self._oracle.violate(
                InvariantName.RATE_LIMIT,
                f"{self.backend.id} got {len(self._arrivals_s)} in"
                f" {LIMIT_WINDOW_S:g} s, {allowed:g} allowed",
            )

    def cancel(self, work: _Work) -> None:
        """Drop a request whose connection was closed, unless it already runs."""
        work.cancelled = True
        if work in self._queue:
            self._queue.remove(work)

    def note_sign(self, hosts: list[str]) -> None:
        """Note that these hosts could learn of an answer of the present boot."""
        for host in hosts:
            self.signs.setdefault(host, self._now())

    def _overload(self, written_s: float, host: str) -> None:
        """Fall over; a violation if the sender could have known."""
        sign_s = self.signs.get(host)
        if sign_s is not None and written_s > sign_s + KNOWN_AFTER_S:
            self._oracle.violate(
                InvariantName.COLD_START,
                f"{self.backend.id} had {self.in_flight} in flight, bears {self.bears}",
            )
        self.falls += 1
        self.crash()

    def _next(self) -> None:
        while self._queue and len(self._running) < BACKEND_SLOTS:
            work = self._queue.popleft()
            self._running.add(work)
            if work.job is not None:
                self._oracle.ran(work.job, self.backend)
            asyncio.get_running_loop().call_later(
                self._duration_s(work), self._done, work
            )

    def _duration_s(self, work: _Work) -> float:
        if work.probe:
            self.probes += 1
            return PROBE_S
        cold = COLD_FACTOR if self.served < COLD_SERVED else 1.0
        return SERVICE_S * cold * self.slowdown * self._rng.uniform(0.5, 1.5)

    def _done(self, work: _Work) -> None:
        if work not in self._running:
            return
        self._running.discard(work)
        self.served += 1
        self._finish(work, shed=False)
        self._next()

    def _finish(self, work: _Work, *, shed: bool) -> None:
        if work.answer.done():
            return
        body = b"" if work.job is None or shed else answer_body(work.job.id)
        work.answer.set_result(
            BackendAnswer(
                503 if shed else 200,
                [],
                body,
                request_id=work.request_id,
                load=self.in_flight,
                boot=self.boot,
                shed=shed,
                draining=self.draining,
                rate_limit_per_s=self.rate_limit_per_s,
            )
        )


class FakeUpstream:
    """One host's connections to the backend servers; implements ``BackendPort``.

    Args:
        host: Name of the host.
        gate: Gate of the host.
        servers: Backend servers by id.
        oracle: Told of every request that is written.
        jobs: Jobs by id.
        delay_s: Returns the one-way delay to a backend server, in seconds.
        connected: Returns whether the host reaches a backend server.
        in_contact: Returns the hosts that this one can reach, itself included.
        rng: Source of randomness.
    """

    def __init__(
        self,
        host: str,
        gate: HostGate,
        servers: dict[str, FakeBackend],
        oracle: Oracle,
        jobs: dict[str, Job],
        delay_s: Callable[[Backend], float],
        connected: Callable[[Backend], bool],
        in_contact: Callable[[], list[str]],
        rng: random.Random,
    ) -> None:
        self.faults: Counter[str] = Counter()
        self._host = host
        self._gate = gate
        self._servers = servers
        self._oracle = oracle
        self._jobs = jobs
        self._delay_s = delay_s
        self._connected = connected
        self._in_contact = in_contact
        self._rng = rng
        self._last: BackendAnswer | None = None
        self._copies: dict[str, BackendAnswer] = {}

    async def exchange(self, backend: Backend, req: UpstreamRequest) -> BackendAnswer:
        """Send a request once."""
        server = await self._connect(backend)
        if req.before_write is not None:
            req.before_write()
        self._oracle.dispatched(backend, self._host)
        job = self._jobs[req.path.rsplit("/", 1)[1]]
        copy = self._copies.pop(backend.id, None)
        if copy is not None:
            return await self._receive_copy(server, job, req, copy)
        answer = await self._send(server, job, req.request_id, req.timeout_s)
        self._maybe_copy(server, answer)
        return self._maybe_cross(answer)

    async def probe(self, backend: Backend, timeout_s: float) -> BackendAnswer:
        """Ask for the load."""
        server = await self._connect(backend)
        answer = await self._send(server, None, "", timeout_s)
        self._maybe_copy(server, answer)
        return answer

    async def _connect(self, backend: Backend) -> FakeBackend:
        await asyncio.sleep(CONNECT_S)
        await self._gate.wait_open()
        server = self._servers[backend.id]
        if not self._connected(backend) or not server.is_up():
            raise NotSentError("connection refused")
        return server

    async def _send(
        self, server: FakeBackend, job: Job | None, request_id: str, timeout_s: float
    ) -> BackendAnswer:
        loop = asyncio.get_running_loop()
        work = _Work(job, request_id, loop.create_future())
        delay_s = self._delay_s(server.backend)
        loop.call_later(delay_s, server.submit, work, loop.time(), self._host)
        try:
            async with asyncio.timeout(max(0.001, timeout_s)):
                answer = await asyncio.shield(work.answer)
                await asyncio.sleep(delay_s)
        except TimeoutError:
            loop.call_later(delay_s, server.cancel, work)
            raise ExchangeLostError("no answer in time") from None
        except asyncio.CancelledError:
            loop.call_later(delay_s, server.cancel, work)
            work.answer.add_done_callback(_consume)
            raise
        finally:
            await self._gate.wait_open()
        if not self._connected(server.backend):
            raise ExchangeLostError("the answer was lost on the way")
        if answer.boot == server.boot:
            server.note_sign(self._in_contact())
        if answer.rate_limit_per_s and answer.rate_limit_per_s == (
            server.rate_limit_per_s
        ):
            server.told_s.setdefault(self._host, loop.time())
        return answer

    def _maybe_copy(self, server: FakeBackend, answer: BackendAnswer) -> None:
        """Sometimes keep a second copy of a refusal for the next request."""
        if answer.shed and server.repeats_refusals:
            if self._rng.random() < COPIED_SHARE:
                self._copies[server.backend.id] = answer

    async def _receive_copy(
        self, server: FakeBackend, job: Job, req: UpstreamRequest, copy: BackendAnswer
    ) -> BackendAnswer:
        """Return the copy of an earlier refusal; the request arrives all the same."""
        self.faults["copied_refusal"] += 1
        loop = asyncio.get_running_loop()
        work = _Work(job, req.request_id, loop.create_future())
        work.answer.add_done_callback(_consume)
        delay_s = self._delay_s(server.backend)
        loop.call_later(delay_s, server.submit, work, loop.time(), self._host)
        await asyncio.sleep(delay_s)
        loop.call_later(delay_s, server.cancel, work)
        await self._gate.wait_open()
        return copy

    def _maybe_cross(self, answer: BackendAnswer) -> BackendAnswer:
        """Sometimes return the answer to an earlier request."""
        last, self._last = self._last, answer
        if last is None or self._rng.random() >= CROSSED_SHARE:
            return answer
        if last.request_id != answer.request_id and not (last.shed or answer.shed):
            self.faults["crossed_answer"] += 1
            return last
        return answer


def _consume(fut: asyncio.Future) -> None:
    if not fut.cancelled():
        fut.exception()
