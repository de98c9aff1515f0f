"""HTTP calls to the platform; tells failed requests from uncertain ones."""

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
DEFAULT_MAX_READS = 16  # concurrent reads of one client
MAX_ANSWER_BYTES = 4 << 20
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
STATUS_NO_EFFECT = 503  # the service says that the request had no effect


class HttpAnswer(Protocol):
    """A complete HTTP response."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> Sequence[tuple[bytes, bytes]]:
        """Headers in order, with names in lower case."""

    @property
    def body(self) -> bytes:
        """Complete body."""


class HttpClient(Protocol):
    """HTTP client; it must not retry, so that a write is sent at most once."""

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
        """Send one request, without retries.

        Raises:
            NotSentError: No byte was written.
            ExchangeLostError: Bytes were written, and no complete answer came in
                time.
        """


class PlatformEndpoint(Record):
    """Endpoint of a platform service.

    Attributes:
        address: IP address.
        port: TCP port.
        timeout_s: Timeout of one request, in seconds.
    """

    __slots__ = ("address", "port", "timeout_s")

    def __init__(
        self, address: str, port: int, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self.address = address
        self.port = port
        self.timeout_s = timeout_s


class Backoff:
    """Exponential backoff of reads after failures, with full jitter.

    The jitter keeps the hosts from retrying all at once when an outage ends.

    Args:
        timer: Source of time.
        rng: Source of jitter.
    """

    __slots__ = ("_timer", "_rng", "_delay_s", "_retry_at_s")

    def __init__(self, timer: TimerService, rng: random.Random) -> None:
        self._timer = timer
        self._rng = rng
        self._delay_s = 0.0
        self._retry_at_s = 0.0

    def record_failure(self) -> None:
        """Double the delay; failures during a delay do not count again."""
        now = self._timer.now()
        if now < self._retry_at_s:
            return
        self._delay_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, self._delay_s * 2.0))
        self._retry_at_s = now + self._delay_s * self._rng.random()

    def record_success(self) -> None:
        """Reset the delay."""
        self._delay_s = 0.0
        self._retry_at_s = 0.0

    @property
    def wait_s(self) -> float:
        """Seconds until the next read may start."""
        return max(0.0, self._retry_at_s - self._timer.now())


class PlatformClient:
    """Client of one platform service.

    Args:
        client: Sends single requests.
        endpoint: Endpoint of the service.
        timer: Source of time.
        rng: Source of jitter.
        max_reads: Limit of concurrent reads.
    """

    __slots__ = ("_client", "_endpoint", "_timer", "_backoff", "_read_slots")

    def __init__(
        self,
        client: HttpClient,
        endpoint: PlatformEndpoint,
        timer: TimerService,
        rng: random.Random,
        *,
        max_reads: int = DEFAULT_MAX_READS,
    ) -> None:
        self._client = client
        self._endpoint = endpoint
        self._timer = timer
        self._backoff = Backoff(timer, rng)
        self._read_slots = asyncio.Semaphore(max_reads)

    async def read(self, method: str, path: str, body: bytes = b"") -> HttpAnswer:
        """Send a read-only request.

        The timeout includes the wait for a read slot and for the backoff.

        Raises:
            StoreUnavailableError: No usable answer came in time.
        """
        deadline_s = self._timer.now() + self._endpoint.timeout_s
        await self._acquire_read_slot(path)
        try:
            await self._wait_for_backoff(path, deadline_s)
            answer = await self._send(
                method, path, body, deadline_s - self._timer.now()
            )
        except (NotSentError, ExchangeLostError) as exc:
            self._backoff.record_failure()
            raise StoreUnavailableError(f"{path}: {exc}") from exc
        finally:
            self._read_slots.release()
        if answer.status not in (200, 404):
            self._backoff.record_failure()
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        self._backoff.record_success()
        return answer

    async def write(self, method: str, path: str, body: bytes) -> HttpAnswer:
        """Send a request with an effect, without retry, read slot or backoff.

        Raises:
            StoreUnavailableError: The request had no effect.
            StoreUncertainError: The request may have taken effect.
            ConflictError: A row has another revision than expected.
            CrocusError: The service refused the request.
        """
        try:
            answer = await self._send(method, path, body, self._endpoint.timeout_s)
        except NotSentError as exc:
            raise StoreUnavailableError(f"{path}: {exc}") from exc
        except ExchangeLostError as exc:
            raise StoreUncertainError(f"{path}: {exc}") from exc
        if answer.status == STATUS_NO_EFFECT:
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        if answer.status >= 500:
            raise StoreUncertainError(f"{path}: status {answer.status}")
        if answer.status == 409:
            raise ConflictError(f"{path}: a row has another revision than expected")
        if answer.status != 200:
            raise CrocusError(f"{path}: status {answer.status}", code="store_refused")
        return answer

    async def _acquire_read_slot(self, path: str) -> None:
        try:
            async with asyncio.timeout(self._endpoint.timeout_s):
                await self._read_slots.acquire()
        except TimeoutError:
            raise StoreUnavailableError(f"{path}: no read slot became free in time")

    async def _wait_for_backoff(self, path: str, deadline_s: float) -> None:
        wait_s = self._backoff.wait_s
        if self._timer.now() + wait_s >= deadline_s:
            raise StoreUnavailableError(
                f"{path}: backoff after a failure outlasts the timeout"
            )
        if wait_s > 0.0:
            await self._timer.sleep(wait_s)

    async def _send(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpAnswer:
        return await self._client.request(
            self._endpoint.address,
            self._endpoint.port,
            method,
            path,
            [],
            body,
            timeout_s=timeout_s,
            limit_bytes=MAX_ANSWER_BYTES,
        )


def parse_cbor(path: str, body: bytes) -> Any:
    """Decode a CBOR answer.

    Raises:
        StoreUnavailableError: The answer cannot be decoded.
    """
    try:
        return cbor2.loads(body)
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as exc:
        raise StoreUnavailableError(f"{path}: answer is not valid CBOR") from exc


def parse_json(path: str, body: bytes) -> Any:
    """Decode a JSON answer.

    Raises:
        StoreUnavailableError: The answer cannot be decoded.
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise StoreUnavailableError(f"{path}: answer is not valid JSON") from exc
