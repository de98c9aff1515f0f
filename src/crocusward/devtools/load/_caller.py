"""One client that makes calls through entry hosts."""

import json
import time

from ...errors import ExchangeLostError, NotSentError
from ...model import Record
from ...upstream import HttpAnswer, HttpPool
from ..deployment import CallShape, EntryPlan

CALL_TIMEOUT_S = 8.0
KEYS_PER_REQUEST = 200
ANSWER_BYTES = 65_536


class CallOutcome(Record):
    """What came of one call.

    Attributes:
        shape: Kind of call.
        region: Region of the client.
        entry: Name of the entry host.
        key: Idempotency key, or "".
        request_id: Request id that the client gave.
        started_s: Monotonic start, in seconds.
        latency_s: Time until the whole answer, in seconds.
        code: "answered", a refusal code, "cut" or "not_connected".
        outcome: What a refusal said about the request, or "".
        backend: Backend server that answered, or "".
    """

    __slots__ = (
        "shape",
        "region",
        "entry",
        "key",
        "request_id",
        "started_s",
        "latency_s",
        "code",
        "outcome",
        "backend",
    )

    def __init__(
        self, shape: CallShape, region: str, entry: str, key: str, request_id: str
    ) -> None:
        self.shape = shape
        self.region = region
        self.entry = entry
        self.key = key
        self.request_id = request_id
        self.started_s = time.monotonic()
        self.latency_s = 0.0
        self.code = ""
        self.outcome = ""
        self.backend = ""


class Caller:
    """Makes calls and reads answers.

    Args:
        pool: Connections to entry hosts.
        port: Port for clients.
    """

    __slots__ = ("_pool", "_port", "_keys", "_number", "_prefix")

    def __init__(self, pool: HttpPool, port: int, prefix: str) -> None:
        self._pool = pool
        self._port = port
        self._prefix = prefix
        self._number = 0
        self._keys: dict[tuple[str, str], list[str]] = {}

    async def call(
        self, shape: CallShape, region: str, entry: EntryPlan
    ) -> CallOutcome:
        """Make one call through an entry host."""
        self._number += 1
        request_id = f"{self._prefix}-{self._number}"
        key = "" if shape.idempotent else await self._take_key(shape, entry)
        return await self.send(shape, region, entry, key, request_id)

    async def send(
        self, shape: CallShape, region: str, entry: EntryPlan, key: str, request_id: str
    ) -> CallOutcome:
        """Make one call with a given key."""
        result = CallOutcome(shape, region, entry.name, key, request_id)
        headers = [
            (b"crocusward-contract", shape.contract.encode()),
            (b"x-request-id", request_id.encode()),
        ]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        try:
            answer = await self._pool.request(
                entry.address,
                self._port,
                shape.method,
                f"/{shape.service}{shape.path}",
                headers,
                b"" if shape.idempotent else b"job",
                timeout_s=CALL_TIMEOUT_S,
                limit_bytes=ANSWER_BYTES,
            )
            _read(answer, result)
        except NotSentError:
            result.code = "not_connected"
        except ExchangeLostError:
            result.code = "cut"
        result.latency_s = time.monotonic() - result.started_s
        return result

    async def _take_key(self, shape: CallShape, entry: EntryPlan) -> str:
        """Return an issued key of the entry host, "" if none can be had."""
        keys = self._keys.setdefault((shape.contract, entry.name), [])
        if not keys:
            keys.extend(await self._fetch_keys(shape.contract, entry))
        return keys.pop() if keys else ""

    async def _fetch_keys(self, contract: str, entry: EntryPlan) -> list[str]:
        try:
            answer = await self._pool.request(
                entry.address,
                self._port,
                "POST",
                f"/-/keys?count={KEYS_PER_REQUEST}",
                [(b"crocusward-contract", contract.encode())],
                timeout_s=CALL_TIMEOUT_S,
                limit_bytes=ANSWER_BYTES,
            )
        except (NotSentError, ExchangeLostError):
            return []
        return json.loads(answer.body)["keys"] if answer.status == 200 else []


def _read(answer: HttpAnswer, result: CallOutcome) -> None:
    if answer.status == 200:
        result.code = "answered"
        document = json.loads(answer.body)
        result.backend = document["backend"]
        if document["request_id"] != result.request_id:
            result.code = "foreign_answer"
        return
    for name, value in answer.headers:
        if name.lower() == b"crocusward-code":
            result.code = value.decode()
        elif name.lower() == b"crocusward-outcome":
            result.outcome = value.decode()
    result.code = result.code or f"status_{answer.status}"
