"""Load on the request path of one daemon."""

import asyncio
import json
import random
import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from ...errors import CrocusError
from ...timing import LoopTimer
from ...upstream import HttpPool
from ._daemons import CpuClock

DEADLINE_S = 5.0
ANSWER_BYTES = 1_048_576
CONNECTIONS = 256
MAX_LATENCY_US = 10_000_000
KEYS_PER_REQUEST = 500
HTTP_OK = 200
US_PER_S = 1e6
BODY = b"x" * 200  # a small order


class Target:
    """What a request is sent to.

    Args:
        address: Address.
        port: Port.
        path: Path.
        contract: Contract, or "" for a backend server.
        method: Method.
        key: Makes the idempotency key of the next request, or returns "".
    """

    __slots__ = ("address", "port", "path", "contract", "method", "key")

    def __init__(
        self,
        address: str,
        port: int,
        path: str,
        contract: str = "",
        method: str = "GET",
        key: Callable[[], str] = str,
    ) -> None:
        self.address = address
        self.port = port
        self.path = path
        self.contract = contract
        self.method = method
        self.key = key


class Round:
    """One round of load.

    Attributes:
        answered: Requests answered with status 200.
        failed: Other requests.
        elapsed_s: Length of the round, in seconds.
        cpu_s: Processor time of the daemon, in seconds.
        client_cpu_s: Processor time of this process, in seconds.
        latencies: Latencies, in microseconds.
    """

    __slots__ = (
        "answered",
        "failed",
        "elapsed_s",
        "cpu_s",
        "client_cpu_s",
        "latencies",
    )

    def __init__(self) -> None:
        self.answered = 0
        self.failed = 0
        self.elapsed_s = 0.0
        self.cpu_s = 0.0
        self.client_cpu_s = 0.0
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, 3)

    @property
    def rate(self) -> float:
        """Answers per second."""
        return self.answered / self.elapsed_s

    @property
    def cpu_share(self) -> float:
        """Share of a core that the daemon used."""
        return self.cpu_s / self.elapsed_s

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency, in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000.0


class RequestLoad:
    """Sends requests and reads the daemon's processor time.

    Args:
        rng: Source of arrival times.
        clock: Processor time of the daemon.
    """

    __slots__ = ("_rng", "_clock", "_pool")

    def __init__(self, rng: random.Random, clock: CpuClock) -> None:
        self._rng = rng
        self._clock = clock
        timer = LoopTimer(asyncio.get_running_loop(), rng)
        self._pool = HttpPool(timer, connections=CONNECTIONS)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def at_rate(
        self, targets: list[Target], rate: float, duration_s: float
    ) -> Round:
        """Send at random times with a mean rate."""
        result, start = Round(), self._start()
        tasks: set[asyncio.Future[None]] = set()
        due_s = time.monotonic()
        end_s = due_s + duration_s
        while due_s < end_s:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            target = targets[len(tasks) % len(targets)]
            tasks.add(asyncio.ensure_future(self._send(target, result, due_s)))
            due_s += self._rng.expovariate(rate)
        await asyncio.gather(*tasks)
        return self._end(result, start)

    async def saturate(self, target: Target, workers: int, duration_s: float) -> Round:
        """Send as fast as a number of workers get answers."""
        result, start = Round(), self._start()
        end_s = time.monotonic() + duration_s

        async def work() -> None:
            while (now_s := time.monotonic()) < end_s:
                await self._send(target, result, now_s)

        await asyncio.gather(*(work() for _ in range(workers)))
        return self._end(result, start)

    async def issue_keys(self, target: Target, count: int) -> list[str]:
        """Obtain issued keys from the daemon.

        Raises:
            CrocusError: They were refused.
        """
        keys: list[str] = []
        while len(keys) < count:
            answer = await self._pool.request(
                target.address,
                target.port,
                "POST",
                f"/-/keys?count={KEYS_PER_REQUEST}",
                [(b"crocusward-contract", target.contract.encode())],
                timeout_s=DEADLINE_S,
                limit_bytes=ANSWER_BYTES,
            )
            if answer.status != HTTP_OK:
                raise CrocusError(f"no keys: {answer.body!r}", code="no_keys")
            keys += json.loads(answer.body)["keys"]
        return keys

    def _start(self) -> tuple[float, float, float]:
        return time.monotonic(), self._clock.read_s(), time.process_time()

    def _end(self, result: Round, start: tuple[float, float, float]) -> Round:
        result.elapsed_s = time.monotonic() - start[0]
        result.cpu_s = self._clock.read_s() - start[1]
        result.client_cpu_s = time.process_time() - start[2]
        return result

    async def _send(self, target: Target, result: Round, due_s: float) -> None:
        headers = []
        if target.contract:
            headers.append((b"crocusward-contract", target.contract.encode()))
        key = target.key()
        if key:
            headers.append((b"idempotency-key", key.encode()))
        try:
            answer = await self._pool.request(
                target.address,
                target.port,
                target.method,
                target.path,
                headers,
                b"" if target.method == "GET" else BODY,
                timeout_s=DEADLINE_S,
                limit_bytes=ANSWER_BYTES,
            )
            good = answer.status == HTTP_OK
        except CrocusError:
            good = False
        result.answered += good
        result.failed += not good
        latency_us = (time.monotonic() - due_s) * US_PER_S
        result.latencies.record_value(max(1, round(latency_us)))
