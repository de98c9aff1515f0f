"""Claims of client-supplied keys, stored as rows of the table service."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b

import cbor2

from ..errors import (
    Attempt,
    ConflictError,
    CrocusError,
    Outcome,
    Refusal,
    RefusalCode,
    StoreUncertainError,
)
from ..model import Record
from ..platform import ABSENT_REVISION, Row, TableService, Write
from ..timing import TimerService

CLAIM_PREFIX = "claim/"
CLAIM_FORMAT = 1
CLAIM_DIGEST_BYTES = 16
CLAIM_BATCH_WINDOW_S = 0.003  # a tenth of the round trip to the store's region
MAX_CLAIM_BATCH_COUNT = 64
# Below the ledger's retention, so that a key with a fresh claim that the ledger
# does not have was never sent.
CLAIM_FRESH_S = 600.0
CLAIM_CACHE_COUNT = 50_000
MAX_INSERT_ATTEMPTS = 4
CLAIM_RETRY_AFTER_S = 2.0
MAX_PARALLEL_READS = 16


class Claim(Record):
    """The holder of a client-supplied key.

    Attributes:
        host: Host of the holder.
        incarnation: Incarnation of the holder.
        fresh_until_s: Until this monotonic time, in seconds, a key that the
            ledger does not know was certainly never sent; 0 if unknown.
    """

    __slots__ = ("host", "incarnation", "fresh_until_s")

    def __init__(self, host: str, incarnation: int, fresh_until_s: float) -> None:
        self.host = host
        self.incarnation = incarnation
        self.fresh_until_s = fresh_until_s


class ClaimBatcher:
    """Claims keys in the table service, in batches of one transaction each.

    Args:
        table: The table service.
        timer: Time source.
        digest_secret: Key of the digest in the row keys, up to 64 bytes.
        incarnation: Incarnation of this run of the daemon.
        host: Name of this host.
        utc_s: Returns wall-clock time in seconds; used only to expire rows.
        window_s: How long the first claim of a batch waits for others, in seconds.
        fresh_s: How long a claim counts as fresh, in seconds; must be below the
            ledger's retention.
        cache_size: Number of known claims kept in memory.
    """

    __slots__ = (
        "_table",
        "_timer",
        "_secret",
        "_incarnation",
        "_host",
        "_utc_s",
        "_window_s",
        "_fresh_s",
        "_cache_size",
        "_cached_claims",
        "_uncertain_inserts",
        "_last_token",
        "_pending",
        "_queue",
        "_tasks",
        "_read_semaphore",
    )

    def __init__(
        self,
        table: TableService,
        timer: TimerService,
        digest_secret: bytes,
        incarnation: int,
        host: str,
        *,
        utc_s: Callable[[], int],
        window_s: float = CLAIM_BATCH_WINDOW_S,
        fresh_s: float = CLAIM_FRESH_S,
        cache_size: int = CLAIM_CACHE_COUNT,
    ) -> None:
        self._table = table
        self._timer = timer
        self._secret = digest_secret
        self._incarnation = incarnation
        self._host = host
        self._utc_s = utc_s
        self._window_s = window_s
        self._fresh_s = fresh_s
        self._cache_size = cache_size
        self._cached_claims: OrderedDict[str, Claim] = OrderedDict()
        # Rows that an insert with uncertain result may have written, with the token
        # of the first such insert. A row with this token or a later one was never
        # returned to a caller, so its claim is fresh when it is read.
        self._uncertain_inserts: OrderedDict[str, int] = OrderedDict()
        self._last_token = 0
        self._pending: dict[str, asyncio.Future[Claim | Refusal]] = {}
        self._queue: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._read_semaphore = asyncio.Semaphore(MAX_PARALLEL_READS)

    async def claim(self, contract: str, key: str, *, secret: bytes = b"") -> Claim:
        """Return the holder of a key, claiming it if it has none.

        A caller that is cancelled leaves the claim running for the others.

        Args:
            contract: Contract name.
            key: Client-supplied key.
            secret: Digest secret of the contract's home region, or empty for the
                one given at construction. It must not change while keys are in
                use, because a key would then map to another row.

        Raises:
            Refusal: Code ``claim_unavailable``, outcome unknown, attempt not-sent.
        """
        row_key = self.row_key(contract, key, secret)
        cached = self._cached_claims.get(row_key)
        if cached is not None:
            return cached
        fut = self._pending.get(row_key) or self._enqueue(row_key)
        result = await asyncio.shield(fut)
        if isinstance(result, Refusal):
            raise _unavailable_refusal(result.reason)
        return result

    async def find(self, contract: str, key: str) -> Claim | None:
        """Return the holder of a key without claiming it, or None if it has none.

        Raises:
            Refusal: Code ``claim_unavailable``: the table cannot be read.
        """
        row_key = self.row_key(contract, key)
        cached = self._cached_claims.get(row_key)
        if cached is not None:
            return cached
        try:
            row = await self._read(row_key)
            row_claim = decode_claim(row.value) if row is not None else None
        except CrocusError as exc:
            raise _unavailable_refusal(str(exc)) from None
        return Claim(row_claim.host, row_claim.incarnation, 0.0) if row_claim else None

    def is_own(self, claim: Claim) -> bool:
        """Return True if this incarnation holds the key."""
        return claim.incarnation == self._incarnation

    def check_first_send(self, claim: Claim) -> Refusal | None:
        """Return a refusal unless a key that is not in the ledger is safe to send."""
        if self.is_own(claim) and self._timer.now() < claim.fresh_until_s:
            return None
        return Refusal(
            RefusalCode.KEY_IN_DOUBT,
            "the key was claimed earlier and its request may have run",
            outcome=Outcome.UNKNOWN,
        )

    def row_key(self, contract: str, key: str, secret: bytes = b"") -> str:
        """Return the key of the claim row of an idempotency key."""
        text = f"{len(contract)}\0{contract}\0{key}".encode("utf-8", "surrogateescape")
        digest = blake2b(
            text, digest_size=CLAIM_DIGEST_BYTES, key=secret or self._secret
        )
        return CLAIM_PREFIX + digest.hexdigest()

    def _enqueue(self, row_key: str) -> asyncio.Future[Claim | Refusal]:
        fut = asyncio.get_running_loop().create_future()
        self._pending[row_key] = fut
        self._queue.append(row_key)
        if len(self._queue) >= MAX_CLAIM_BATCH_COUNT:
            self._flush()
        elif len(self._queue) == 1:
            self._timer.call_later(self._window_s, self._flush)
        return fut

    def _flush(self) -> None:
        batch, self._queue = self._queue, []
        if not batch:
            return
        task = asyncio.get_running_loop().create_task(self._claim_batch(batch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _claim_batch(self, batch: list[str]) -> None:
        """Claim a batch and resolve each future with a claim or a refusal."""
        try:
            unclaimed = batch
            for _ in range(MAX_INSERT_ATTEMPTS):
                unclaimed = await self._insert(unclaimed)
                if not unclaimed:
                    return
            self._refuse_claims(unclaimed, "the claim could not be read back")
        except CrocusError as exc:
            self._refuse_claims(batch, str(exc))
        finally:
            self._refuse_claims(batch, "the claim was interrupted")

    async def _insert(self, row_keys: list[str]) -> list[str]:
        """Try one transaction and return the keys that are still unclaimed."""
        self._last_token += 1
        token = self._last_token
        value = self._row_value(token)
        try:
            await self._table.transact(
                [Write(k, value, ABSENT_REVISION) for k in row_keys]
            )
        except ConflictError:
            return await self._read_back(row_keys)
        except StoreUncertainError:
            self._record_uncertain_inserts(row_keys, token)
            return await self._read_back(row_keys)
        for row_key in row_keys:
            self._resolve(row_key, self._own_claim())
        return []

    async def _read_back(self, row_keys: list[str]) -> list[str]:
        rows = await asyncio.gather(
            *(self._read(k) for k in row_keys), return_exceptions=True
        )
        unclaimed = []
        for row_key, row in zip(row_keys, rows, strict=True):
            if isinstance(row, BaseException):
                self._refuse_claims(
                    [row_key], f"the claim could not be read back: {row}"
                )
            elif row is None:
                unclaimed.append(row_key)
            else:
                self._resolve_row(row_key, row)
        return unclaimed

    async def _read(self, row_key: str) -> Row | None:
        async with self._read_semaphore:
            return await self._table.read(row_key)

    def _resolve_row(self, row_key: str, row: Row) -> None:
        try:
            row_claim = decode_claim(row.value)
        except CrocusError as exc:
            self._refuse_claims([row_key], str(exc))
            return
        uncertain_token = self._uncertain_inserts.get(row_key)
        is_own_row = row_claim.incarnation == self._incarnation
        if (
            is_own_row
            and uncertain_token is not None
            and row_claim.token >= uncertain_token
        ):
            self._resolve(row_key, self._own_claim())
        else:
            self._resolve(row_key, Claim(row_claim.host, row_claim.incarnation, 0.0))

    def _own_claim(self) -> Claim:
        fresh_until_s = self._timer.now() + self._fresh_s
        return Claim(self._host, self._incarnation, fresh_until_s)

    def _resolve(self, row_key: str, claim: Claim) -> None:
        self._uncertain_inserts.pop(row_key, None)
        self._cached_claims[row_key] = claim
        while len(self._cached_claims) > self._cache_size:
            self._cached_claims.popitem(last=False)
        fut = self._pending.pop(row_key, None)
        if fut is not None and not fut.done():
            fut.set_result(claim)

    def _refuse_claims(self, row_keys: list[str], reason: str) -> None:
        for row_key in row_keys:
            fut = self._pending.pop(row_key, None)
            if fut is not None and not fut.done():
                fut.set_result(_unavailable_refusal(reason))

    def _record_uncertain_inserts(self, row_keys: list[str], token: int) -> None:
        for row_key in row_keys:
            self._uncertain_inserts.setdefault(row_key, token)
        while len(self._uncertain_inserts) > self._cache_size:
            self._uncertain_inserts.popitem(last=False)

    def _row_value(self, token: int) -> bytes:
        fields = [CLAIM_FORMAT, self._incarnation, self._host, self._utc_s(), token]
        return cbor2.dumps(fields)


class ClaimRow(Record):
    """Content of a claim row.

    Attributes:
        incarnation: Incarnation of the holder.
        host: Host of the holder.
        created_utc_s: When it was written, by the writer's wall clock, in seconds.
        token: Number of the insert transaction within the incarnation, from 1.
    """

    __slots__ = ("incarnation", "host", "created_utc_s", "token")

    def __init__(
        self, incarnation: int, host: str, created_utc_s: int, token: int
    ) -> None:
        self.incarnation = incarnation
        self.host = host
        self.created_utc_s = created_utc_s
        self.token = token


def decode_claim(value: bytes) -> ClaimRow:
    """Return the content of a claim row.

    Raises:
        CrocusError: Code ``malformed_claim``.
    """
    try:
        fields = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError, RecursionError):
        fields = None
    field_types = [type(field) for field in fields] if isinstance(fields, list) else []
    if field_types != [int, int, str, int, int] or fields[0] != CLAIM_FORMAT:
        raise CrocusError("a claim row is malformed", code="malformed_claim")
    return ClaimRow(*fields[1:])


def _unavailable_refusal(reason: str) -> Refusal:
    return Refusal(
        RefusalCode.CLAIM_UNAVAILABLE,
        f"the key could not be claimed: {reason}",
        outcome=Outcome.UNKNOWN,
        attempt=Attempt.NOT_SENT,
        retry_after_s=CLAIM_RETRY_AFTER_S,
    )
