"""HTTP calls to the platform, with the meaning of each failure."""

import asyncio
import json
import random
from collections.abc import Sequence
from typing import Any, Protocol

import cbor2

from ..errors import (
    ConflictError,
    CrocusError,
    ExchangeLostError,
    NotSentError,
    StoreUnavailableError,
    StoreUncertainError,
)
from ..model import Record
from ..timing import TimerService

DEFAULT_TIMEOUT_S = 1.0
DEFAULT_READS = 16  # concurrent reads of one client
DEFAULT_ANSWER_BYTES = 4 << 20
BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 2.0
STATUS_NO_EFFECT = 503  # the service says that the request had no effect


class HttpAnswer(Protocol):
    """A whole HTTP answer."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def body(self) -> bytes:
        """The whole body."""


class HttpClient(Protocol):
    """The client that this package needs; it must not retry."""

    async def request(
        self,
        address: str,
        port: int,
        method: str,
        path: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        *,
        timeout_s: float,
        limit_bytes: int,
    ) -> HttpAnswer:
        """Send one request once.

        Raises:
            NotSentError: No byte was written.
            ExchangeLostError: Bytes were written and no whole answer came in time.
        """


class PlatformEndpoint(Record):
    """Where a platform service listens.

    Attributes:
        address: IP address.
        port: TCP port.
        timeout_s: Time limit of one request, in seconds.
    """

    __slots__ = ("address", "port", "timeout_s")

    def __init__(
        self, address: str, port: int, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self.address = address
        self.port = port
        self.timeout_s = timeout_s


class Backoff:
    """Delay of reads after failures, doubled each time, with full jitter.

    Without it every host would repeat its reads in step when an outage ends.

    Args:
        timer: Source of time.
        rng: Source of jitter.
    """

    __slots__ = ("_timer", "_rng", "_delay_s", "_until_s")

    def __init__(self, timer: TimerService, rng: random.Random) -> None:
        self._timer = timer
        self._rng = rng
        self._delay_s = 0.0
        self._until_s = 0.0

    def failed(self) -> None:
        """Record a failure."""
        now = self._timer.now()
        if now < self._until_s:
            return
        self._delay_s = min(BACKOFF_MAX_S, max(BACKOFF_FIRST_S, self._delay_s * 2.0))
        self._until_s = now + self._delay_s * self._rng.random()

    def succeeded(self) -> None:
        """Record a success."""
        self._delay_s = 0.0
        self._until_s = 0.0

    @property
    def wait_s(self) -> float:
        """Time until the next read may start, in seconds."""
        return max(0.0, self._until_s - self._timer.now())


class PlatformClient:
    """Calls one platform service.

    Args:
        client: Sends single requests.
        service: Where the service is.
        timer: Source of time.
        rng: Source of jitter.
        reads: Reads that may run at a time.
    """

    __slots__ = ("_client", "_service", "_timer", "_backoff", "_reads")

    def __init__(
        self,
        client: HttpClient,
        service: PlatformEndpoint,
        timer: TimerService,
        rng: random.Random,
        *,
        reads: int = DEFAULT_READS,
    ) -> None:
        self._client = client
        self._service = service
        self._timer = timer
        self._backoff = Backoff(timer, rng)
        self._reads = asyncio.Semaphore(reads)

    async def read(self, method: str, path: str, body: bytes = b"") -> HttpAnswer:
        """Send a request without effect.

        Waiting for a free place and for the backoff counts towards the time limit.

        Raises:
            StoreUnavailableError: No usable answer came in time.
        """
        end_s = self._timer.now() + self._service.timeout_s
        await self._acquire(path)
        try:
            await self._wait_for_backoff(path, end_s)
            answer = await self._send(method, path, body, end_s - self._timer.now())
        except (NotSentError, ExchangeLostError) as exc:
            self._backoff.failed()
            raise StoreUnavailableError(f"{path}: {exc}") from exc
        finally:
            self._reads.release()
        if answer.status not in (200, 404):
            self._backoff.failed()
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        self._backoff.succeeded()
        return answer

    async def write(self, method: str, path: str, body: bytes) -> HttpAnswer:
        """Send a request with an effect, once and without waiting.

        Raises:
            StoreUnavailableError: The request certainly had no effect.
            StoreUncertainError: The effect is unknown.
        """
        try:
            answer = await self._send(method, path, body, self._service.timeout_s)
        except NotSentError as exc:
            raise StoreUnavailableError(f"{path}: {exc}") from exc
        except ExchangeLostError as exc:
            raise StoreUncertainError(f"{path}: {exc}") from exc
        if answer.status == STATUS_NO_EFFECT:
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        if answer.status >= 500:
            raise StoreUncertainError(f"{path}: status {answer.status}")
        if answer.status == 409:
            raise ConflictError(f"{path}: a row has another revision")
        if answer.status != 200:
            raise CrocusError(f"{path}: status {answer.status}", code="store_refused")
        return answer

    async def _acquire(self, path: str) -> None:
        try:
            async with asyncio.timeout(self._service.timeout_s):
                await self._reads.acquire()
        except TimeoutError:
            raise StoreUnavailableError(f"{path}: too many reads are waiting")

    async def _wait_for_backoff(self, path: str, end_s: float) -> None:
        wait_s = self._backoff.wait_s
        if self._timer.now() + wait_s >= end_s:
            raise StoreUnavailableError(f"{path}: the service failed just now")
        if wait_s > 0.0:
            await self._timer.sleep(wait_s)

    async def _send(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpAnswer:
        return await self._client.request(
            self._service.address,
            self._service.port,
            method,
            path,
            [],
            body,
            timeout_s=timeout_s,
            limit_bytes=DEFAULT_ANSWER_BYTES,
        )


def parse_cbor(path: str, body: bytes) -> Any:
    """Decode a CBOR answer.

    Raises:
        StoreUnavailableError: The answer is malformed.
    """
    try:
        return cbor2.loads(body)
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as exc:
        raise StoreUnavailableError(f"{path}: malformed answer") from exc


def parse_json(path: str, body: bytes) -> Any:
    """Decode a JSON answer.

    Raises:
        StoreUnavailableError: The answer is malformed.
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise StoreUnavailableError(f"{path}: malformed answer") from exc
