"""Measures the latency that the HTTP sides of the daemon add to a request.

Three processes, each on its own terminal or in the background::

    python -m crocusward.devtools.measure_http backend 18081
    python -m crocusward.devtools.measure_http balancer 18080 18081
    python -m crocusward.devtools.measure_http client 18080 18081 --rate 500

The client sends the same open-loop load straight to the backend server and
through the balancer, in turns, and prints the difference of the percentiles.
The balancer has a trivial handler: no routing, limits or ledger.
"""

import argparse
import asyncio
import json
import random
import statistics

from hdrh.histogram import HdrHistogram

from ..errors import CrocusError, Outcome, Refusal, RefusalCode
from ..invariants import Invariants
from ..model import Backend, Call, Reply
from ..peer import OutcomeReply
from ..server import CallerApplication, HttpServer
from ..timing import LoopTimer
from ..upstream import HttpPool, HttpUpstream, UpstreamRequest

ADDRESS = "127.0.0.1"
MAX_LATENCY_US = 10_000_000
ANSWER_BYTES = 1_048_576
DEADLINE_S = 5.0
CONNECTIONS = 100
WARM_UP_S = 0.2


class FixedBackend(asyncio.Protocol):
    """Answers every received segment with the same short answer."""

    BODY = b'{"part": "530-VX", "stock": 118, "due": "2026-05-04"}'

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer with the request id of the request."""
        start = data.lower().find(b"x-request-id: ")
        end = data.find(b"\r\n", start)
        request_id = data[start:end] if start >= 0 else b"x-request-id: none"
        head = (
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n%b\r\n"
            b"x-backend-load: 1\r\nx-backend-boot: b1\r\ncontent-length: %d\r\n\r\n"
        )
        assert self._transport is not None
        self._transport.write(head % (request_id, len(self.BODY)) + self.BODY)


class DirectHandler:
    """Passes each request to one backend server."""

    def __init__(self, upstream: HttpUpstream, port: int, timer: LoopTimer) -> None:
        self._upstream = upstream
        self._backend = Backend("b1", "stock", "r1", "dc1", ADDRESS, port)
        self._timer = timer

    def admit(self, contract: str, caller_key: str) -> None:
        """Admit every contract."""

    def body_limit(self, contract: str) -> int:
        """Return a fixed limit."""
        return ANSWER_BYTES

    def default_deadline_s(self, contract: str) -> float:
        """Return a fixed deadline."""
        return DEADLINE_S

    def wrong_region(
        self, contract: str, service: str, method: str, path: str
    ) -> Refusal | None:
        """Serve every region."""
        return None

    async def handle(self, call: Call) -> Reply:
        """Forward one request."""
        req = UpstreamRequest(
            call.request_id,
            call.method,
            call.path,
            call.headers,
            call.body,
            timeout_s=call.deadline_s - self._timer.now(),
            depth=call.depth + 1,
            answer_bytes=ANSWER_BYTES,
        )
        try:
            answer = await self._upstream.exchange(self._backend, req)
        except CrocusError as exc:
            raise Refusal(
                RefusalCode.BACKEND_LOST, str(exc), outcome=Outcome.UNKNOWN
            ) from exc
        return Reply(call.request_id, answer.status, answer.headers, answer.body, "b1")

    async def issue_keys(self, contract: str, count: int) -> list[str]:
        """Issue no keys."""
        return []

    def next_key(self, contract: str) -> str | None:
        """Issue no keys."""
        return None

    async def outcome(self, contract: str, key: str) -> OutcomeReply:
        """Know no keys."""
        return OutcomeReply("unknown", 0)

    def ready(self) -> bool:
        """Be ready at once."""
        return True


class LoadResult:
    """Latencies of one round.

    Attributes:
        latencies: In microseconds.
        failed: Requests without status 200.
    """

    __slots__ = ("latencies", "failed")

    def __init__(self) -> None:
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.failed = 0

    def percentile_us(self, percentile: float) -> int:
        """Return a percentile of the latency, in microseconds."""
        return self.latencies.get_value_at_percentile(percentile)


class LoadClient:
    """Sends requests at random times with a given mean rate."""

    def __init__(self, timer: LoopTimer, pool: HttpPool, rng: random.Random) -> None:
        self._timer = timer
        self._pool = pool
        self._rng = rng
        self._sent = 0

    async def run(self, port: int, rate: float, duration_s: float) -> LoadResult:
        """Send for ``duration_s`` seconds and return the latencies.

        A latency counts from the time at which the request was due, so that a
        slow client cannot hide a slow server.
        """
        result = LoadResult()
        tasks = set()
        now_s = self._timer.now
        due_s = now_s()
        end_s = due_s + duration_s
        while due_s < end_s:
            await self._timer.sleep(max(0.0, due_s - now_s()))
            tasks.add(asyncio.ensure_future(self._send(port, now_s(), result)))
            due_s += self._rng.expovariate(rate)
        await asyncio.gather(*tasks)
        return result

    async def _send(self, port: int, due_s: float, result: LoadResult) -> None:
        self._sent += 1
        headers = [
            (b"crocusward-contract", b"chain-status"),
            (b"x-request-id", b"m%d" % self._sent),
            (b"accept", b"application/json"),
        ]
        try:
            answer = await self._pool.request(
                ADDRESS,
                port,
                "GET",
                "/stock/parts/530-VX",
                headers,
                timeout_s=DEADLINE_S,
                limit_bytes=ANSWER_BYTES,
            )
            result.failed += answer.status != 200
        except CrocusError:
            result.failed += 1
        latency_s = self._timer.now() - due_s
        result.latencies.record_value(max(1, round(latency_s * 1e6)))


def make_timer() -> LoopTimer:
    """Return a timer of the running loop."""
    return LoopTimer(asyncio.get_running_loop(), random.Random(1))


async def run_backend(port: int) -> None:
    """Serve as the backend server until interrupted."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(FixedBackend, ADDRESS, port)
    await server.serve_forever()


async def run_balancer(port: int, backend_port: int) -> None:
    """Serve as the balancer until interrupted."""
    timer = make_timer()
    invariants = Invariants()
    pool = HttpPool(timer, connections=CONNECTIONS)
    handler = DirectHandler(HttpUpstream(pool, invariants), backend_port, timer)
    app = CallerApplication(
        handler, timer, random.Random(), invariants, lambda: "", on_error=print
    )
    server = HttpServer(app, timer, invariants)
    await server.start(ADDRESS, port)
    try:
        await asyncio.Event().wait()
    finally:
        await server.close()
        pool.close()


async def run_client(args: argparse.Namespace) -> None:
    """Measure and print one line of JSON."""
    timer = make_timer()
    pool = HttpPool(timer, connections=CONNECTIONS)
    client = LoadClient(timer, pool, random.Random(args.seed))
    direct: list[LoadResult] = []
    through: list[LoadResult] = []
    for _ in range(args.rounds):
        for port, results in ((args.backend, direct), (args.balancer, through)):
            await client.run(port, args.rate, WARM_UP_S)
            results.append(await client.run(port, args.rate, args.duration))
    pool.close()
    report = {"rate": args.rate, "rounds": args.rounds}
    report["failed"] = sum(result.failed for result in direct + through)
    for percentile in (50, 99):
        report.update(compare_rounds(direct, through, percentile))
    print(json.dumps(report))


def compare_rounds(
    direct: list[LoadResult], through: list[LoadResult], percentile: int
) -> dict[str, float]:
    """Return the medians over all rounds of one percentile, in milliseconds.

    Other programs on the machine disturb single rounds by tens of milliseconds,
    so that percentiles over all rounds together would measure those programs.
    """
    low = [result.percentile_us(percentile) / 1000.0 for result in direct]
    high = [result.percentile_us(percentile) / 1000.0 for result in through]
    added = [after - before for before, after in zip(low, high, strict=True)]
    return {
        f"direct_p{percentile}_ms": round(statistics.median(low), 3),
        f"through_p{percentile}_ms": round(statistics.median(high), 3),
        f"added_p{percentile}_ms": round(statistics.median(added), 3),
        f"added_p{percentile}_least_ms": round(min(added), 3),
        f"added_p{percentile}_most_ms": round(max(added), 3),
    }


def main() -> None:
    """Run one of the three roles."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    roles = parser.add_subparsers(dest="role", required=True)
    backend = roles.add_parser("backend")
    backend.add_argument("port", type=int)
    balancer = roles.add_parser("balancer")
    balancer.add_argument("port", type=int)
    balancer.add_argument("backend", type=int)
    client = roles.add_parser("client")
    client.add_argument("balancer", type=int)
    client.add_argument("backend", type=int)
    client.add_argument("--rate", type=float, default=500.0)
    client.add_argument("--rounds", type=int, default=15)
    client.add_argument("--duration", type=float, default=1.0)
    client.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    if args.role == "backend":
        asyncio.run(run_backend(args.port))
    elif args.role == "balancer":
        asyncio.run(run_balancer(args.port, args.backend))
    else:
        asyncio.run(run_client(args))


if __name__ == "__main__":
    main()
