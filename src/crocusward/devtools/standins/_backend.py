"""Stand-in for one backend server."""

import asyncio
import json
import math
import random
from collections import Counter, deque

from ...model import Backend
from ._backend_model import (
    CONNECT_COST_S,
    PROBE_COST_S,
    BackendBehaviour,
    Execution,
    ExecutionLog,
)
from ._http import Connection, Listener, StandinRequest, encode_answer

LOAD_PATH = "/-/load"
MAX_ANSWER_BYTES = 1 << 20
SHED_LINE = b"X-Backend-Shed: 1\r\n"


class Job:
    """A request in the queue or in a slot."""

    __slots__ = ("conn", "req", "arrived_s", "deadline_s", "handle", "execution")

    def __init__(
        self, conn: Connection, req: StandinRequest, arrived_s: float, deadline_s: float
    ) -> None:
        self.conn = conn
        self.req = req
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.handle: asyncio.TimerHandle | None = None
        self.execution: Execution | None = None


class BackendStandin:
    """One backend server: a FIFO queue before a few slots.

    Args:
        place: Where it is.
        behaviour: How it behaves.
        rng: Source of service times and boot ids.
        log: Receives each execution.

    Attributes:
        repeated: What it refuses twice: "", "probe" or "request". The copy comes where
            the next answer on the connection is expected.
        repeated_share: Share of these that it refuses.
        names_requests: Whether its answers name their requests.
    """

    def __init__(
        self,
        place: Backend,
        behaviour: BackendBehaviour,
        rng: random.Random,
        log: ExecutionLog,
    ) -> None:
        self.place = place
        self.behaviour = behaviour
        self.log = log
        self.listener = Listener(self, place.address, place.port)
        self.counts: Counter[str] = Counter()
        self.slowdown = 1.0
        self.failing = False
        self.draining = False
        self.refusing = False
        self.repeated = ""
        self.repeated_share = 0.0
        self.names_requests = True
        self.boot = ""
        self.max_cold_in_flight = 0
        self._rng = rng
        self._mu = math.log(behaviour.mean_s) - behaviour.spread**2 / 2
        self._queue: deque[Job] = deque()
        self._running: set[Job] = set()
        self._copies: dict[Connection, bytes] = {}
        self._cold_until_s = 0.0
        self._reported = 0
        self._reported_s = -math.inf
        self._new_boot()

    @property
    def in_flight(self) -> int:
        """Requests queued or running."""
        return len(self._queue) + len(self._running)

    def is_cold(self) -> bool:
        """Return True while the server is slow after its boot."""
        return self._now() < self._cold_until_s

    async def start(self) -> None:
        """Accept connections."""
        if not self.behaviour.warm_start:
            self.turn_cold()
        await self.listener.open()
        self.place.port = self.listener.port

    def stop(self) -> None:
        """Close everything."""
        self._drop_all()
        self.listener.shut()

    def turn_cold(self, *, new_boot: bool = False) -> None:
        """Become cold, with the same boot id unless ``new_boot``."""
        if new_boot:
            self._new_boot()
        self._cold_until_s = self._now() + self.behaviour.cold_s

    def drain(self, refuse_after_s: float) -> None:
        """Mark answers as draining, and refuse work after a while."""
        self.draining = True
        self._get_loop().call_later(refuse_after_s, self._refuse_work)

    def crash(self, down_s: float) -> None:
        """Break every connection, refuse for ``down_s``, come back cold."""
        self.counts["crashes"] += 1
        self._drop_all()
        self.listener.refuse(down_s)
        self._new_boot()
        self._cold_until_s = self._now() + down_s + self.behaviour.cold_s

    def revive(self) -> None:
        """End draining, failing and repeated refusals."""
        self.repeated = ""
        self.draining = self.refusing = self.failing = False

    def on_connect(self, conn: Connection) -> bool:
        """Accept a connection up to the limit."""
        if len(self.listener.conns) >= self.behaviour.connections:
            self.counts["connections_over_limit"] += 1
            return False
        self.counts["connections"] += 1
        self.listener.conns.add(conn)
        return True

    def on_close(self, conn: Connection) -> None:
        """Cancel the request of a closed connection."""
        self.listener.conns.discard(conn)
        self._copies.pop(conn, None)
        job = conn.job
        if not isinstance(job, Job):
            return
        self.counts["cancelled"] += 1
        if job in self._running:
            self._leave_slot(job)
        elif job in self._queue:
            self._queue.remove(job)

    def on_request(self, conn: Connection, req: StandinRequest) -> None:
        """Refuse, shed, queue or run a request."""
        conn.write(self._copies.pop(conn, b""))
        if self._is_refused_twice(req):
            self._refuse_twice(conn, req)
        elif self.refusing:
            self.counts["refused"] += 1
            conn.respond(503, b"", self._headers(req))
        elif self.failing:
            self.counts["failed"] += 1
            conn.respond(500, b"", self._headers(req))
        elif len(self._queue) >= self.behaviour.shed_queue:
            self._shed(conn, req)
        else:
            self._accept(conn, req)

    def _accept(self, conn: Connection, req: StandinRequest) -> None:
        now = self._now()
        job = Job(conn, req, now, _deadline(req, now))
        conn.job = job
        self._queue.append(job)
        if now < self._cold_until_s and self._falls_over():
            self.crash(self.behaviour.down_s)
            return
        self._fill_slots()

    def _falls_over(self) -> bool:
        self.max_cold_in_flight = max(self.max_cold_in_flight, self.in_flight)
        return self.in_flight >= self.behaviour.cold_limit

    def _fill_slots(self) -> None:
        # A cold server has the throughput of one slot.
        slots = 1 if self.is_cold() else self.behaviour.slots
        while self._queue and len(self._running) < slots:
            self._begin(self._queue.popleft())

    def _begin(self, job: Job) -> None:
        now = self._now()
        if now >= job.deadline_s:
            self._shed(job.conn, job.req)
            return
        self._running.add(job)
        if job.req.path == LOAD_PATH:
            job.handle = self._get_loop().call_later(PROBE_COST_S, self._report, job)
            return
        job.execution = self._record(job, now)
        end_s = now + self._service_time(job.req)
        if end_s > job.deadline_s:
            job.handle = self._get_loop().call_at(job.deadline_s, self._give_up, job)
        else:
            job.handle = self._get_loop().call_at(end_s, self._finish, job)

    def _service_time(self, req: StandinRequest) -> float:
        time_s = self._rng.lognormvariate(self._mu, self.behaviour.spread)
        time_s *= self.slowdown
        if self.is_cold():
            time_s *= self.behaviour.cold_factor
        return time_s + CONNECT_COST_S if req.fresh else time_s

    def _record(self, job: Job, now: float) -> Execution:
        headers = job.req.headers
        execution = Execution(
            headers.get(b"x-request-id", b"").decode("latin-1"),
            headers.get(b"idempotency-key", b"").decode("latin-1"),
            headers.get(b"crocusward-contract", b"").decode("latin-1"),
            job.req.method,
            job.req.path,
            self.place.id,
            self.place.region,
            now,
            job.arrived_s,
        )
        self.log.add(execution)
        self.counts["executed"] += 1
        return execution

    def _finish(self, job: Job) -> None:
        if job.execution is not None:
            job.execution.finished = True
        self._leave_slot(job)
        job.conn.respond(200, self._answer(job.req), self._headers(job.req))

    def _give_up(self, job: Job) -> None:
        self.counts["deadline"] += 1
        self._leave_slot(job)
        job.conn.respond(504, b"", self._headers(job.req))

    def _report(self, job: Job) -> None:
        self.counts["probes"] += 1
        self._leave_slot(job)
        now = self._now()
        if now - self._reported_s >= self.behaviour.report_lag_s:
            reported, self._reported = self._reported, self.in_flight
            self._reported_s = now
        else:
            reported = self._reported
        job.conn.respond_json(
            {"in_flight": reported, "boot": self.boot, "draining": self.draining}
        )

    def _leave_slot(self, job: Job) -> None:
        self._running.discard(job)
        if job.handle is not None:
            job.handle.cancel()
        self._fill_slots()

    def _shed(self, conn: Connection, req: StandinRequest) -> None:
        self.counts["shed"] += 1
        conn.respond(503, b"", self._headers(req) + SHED_LINE)

    def _is_refused_twice(self, req: StandinRequest) -> bool:
        kind = "probe" if req.path == LOAD_PATH else "request"
        return kind == self.repeated and self._rng.random() < self.repeated_share

    def _refuse_twice(self, conn: Connection, req: StandinRequest) -> None:
        self.counts["refused_twice"] += 1
        headers = self._headers(req) + SHED_LINE
        self._copies[conn] = encode_answer(503, b"", headers)
        conn.respond(503, b"", headers)

    def _headers(self, req: StandinRequest) -> bytes:
        lines = b"X-Backend-Load: %d\r\nX-Backend-Boot: %s\r\n" % (
            self.in_flight,
            self.boot.encode(),
        )
        request_id = req.headers.get(b"x-request-id")
        if self.names_requests and request_id:
            lines += b"X-Request-Id: %s\r\n" % request_id
        return lines + b"X-Backend-Draining: 1\r\n" if self.draining else lines

    def _answer(self, req: StandinRequest) -> bytes:
        document = {
            "request_id": req.headers.get(b"x-request-id", b"").decode("latin-1"),
            "backend": self.place.id,
            "path": req.path,
            "received": len(req.body),
        }
        body = json.dumps(document).encode()
        if "bytes=" not in req.query:
            return body
        return body.ljust(min(int(req.argument("bytes", "0")), MAX_ANSWER_BYTES))

    def _drop_all(self) -> None:
        jobs = [*self._running, *self._queue]
        self._queue.clear()
        self._running.clear()
        for job in jobs:
            job.conn.job = None
            if job.handle is not None:
                job.handle.cancel()
            job.conn.abort()

    def _refuse_work(self) -> None:
        self.refusing = self.draining

    def _new_boot(self) -> None:
        self.boot = f"{self._rng.getrandbits(48):012x}"
        self.max_cold_in_flight = 0

    def _get_loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _deadline(req: StandinRequest, now: float) -> float:
    raw = req.headers.get(b"crocusward-deadline-ms")
    if raw is None or not raw.isdigit():
        return math.inf
    return now + int(raw) / 1000.0
