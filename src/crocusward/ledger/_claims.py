"""Binding of client-supplied keys to a holder through claim rows."""

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
CLAIM_WINDOW_S = 0.003  # a tenth of the round trip to the store's region
CLAIM_BATCH = 64
# Below the ledger's retention: a claim that is still fresh and not in the ledger
# was never sent.
CLAIM_FRESH_S = 600.0
CLAIM_CACHE_SIZE = 50_000
CLAIM_ROUNDS = 4
CLAIM_RETRY_AFTER_S = 2.0
MAX_PARALLEL_READS = 16


class Claim(Record):
    """The holder of a client-supplied key.

    Attributes:
        host: Host of the holder.
        incarnation: Incarnation of the holder.
        fresh_until_s: Until this monotonic time, in seconds, a key that the
            ledger does not know was certainly never sent; 0 if that is not known.
    """

    __slots__ = ("host", "incarnation", "fresh_until_s")

    def __init__(self, host: str, incarnation: int, fresh_until_s: float) -> None:
        self.host = host
        self.incarnation = incarnation
        self.fresh_until_s = fresh_until_s


class ClaimBatcher:
    """Claims keys in the table service, many in one transaction.

    Args:
        table: The table service.
        timer: Time source.
        digest_secret: Key of the digest in the row keys, up to 64 bytes.
        incarnation: Incarnation of this run of the daemon.
        host: Name of this host.
        utc_s: Returns wall-clock time in seconds; used only to age rows out.
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
        "_known",
        "_unsettled",
        "_token",
        "_pending",
        "_queue",
        "_tasks",
        "_reads",
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
        window_s: float = CLAIM_WINDOW_S,
        fresh_s: float = CLAIM_FRESH_S,
        cache_size: int = CLAIM_CACHE_SIZE,
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
        self._known: OrderedDict[str, Claim] = OrderedDict()
        # Rows that a lost insert of this incarnation may have made, with the token
        # of the first such insert. A row with this token or a later one was never
        # handed out, so its claim is fresh when it turns up.
        self._unsettled: OrderedDict[str, int] = OrderedDict()
        self._token = 0
        self._pending: dict[str, asyncio.Future[Claim | Refusal]] = {}
        self._queue: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._reads = asyncio.Semaphore(MAX_PARALLEL_READS)

    async def claim(self, contract: str, key: str, *, secret: bytes = b"") -> Claim:
        """Return the holder of a key, which is this incarnation if nobody was.

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
        known = self._known.get(row_key)
        if known is not None:
            return known
        fut = self._pending.get(row_key) or self._enqueue(row_key)
        result = await asyncio.shield(fut)
        if isinstance(result, Refusal):
            raise _unavailable(result.reason)
        return result

    async def find(self, contract: str, key: str) -> Claim | None:
        """Return the holder of a key without claiming it, or None if nobody has.

        Raises:
            Refusal: Code ``claim_unavailable``: the table cannot be read.
        """
        row_key = self.row_key(contract, key)
        known = self._known.get(row_key)
        if known is not None:
            return known
        try:
            row = await self._read(row_key)
            found = decode_claim(row.value) if row is not None else None
        except CrocusError as exc:
            raise _unavailable(str(exc)) from None
        return Claim(found.host, found.incarnation, 0.0) if found else None

    def is_own(self, claim: Claim) -> bool:
        """Return True if this incarnation holds the key."""
        return claim.incarnation == self._incarnation

    def refuse_unseen(self, claim: Claim) -> Refusal | None:
        """Return why a key that the ledger does not know must not be sent."""
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
        if len(self._queue) >= CLAIM_BATCH:
            self._flush()
        elif len(self._queue) == 1:
            self._timer.call_later(self._window_s, self._flush)
        return fut

    def _flush(self) -> None:
        batch, self._queue = self._queue, []
        if not batch:
            return
        task = asyncio.get_running_loop().create_task(self._settle(batch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _settle(self, batch: list[str]) -> None:
        """Claim a batch; each pending future gets a claim or a refusal."""
        try:
            open_keys = batch
            for _ in range(CLAIM_ROUNDS):
                open_keys = await self._insert(open_keys)
                if not open_keys:
                    return
            self._refuse(open_keys, "the claim could not be read back")
        except CrocusError as exc:
            self._refuse(batch, str(exc))
        finally:
            self._refuse(batch, "the claim was interrupted")

    async def _insert(self, row_keys: list[str]) -> list[str]:
        """Try one transaction and return the keys that are still open."""
        self._token += 1
        token = self._token
        value = self._row_value(token)
        try:
            await self._table.transact(
                [Write(k, value, ABSENT_REVISION) for k in row_keys]
            )
        except ConflictError:
            return await self._read_back(row_keys)
        except StoreUncertainError:
            self._note_unsettled(row_keys, token)
            return await self._read_back(row_keys)
        for row_key in row_keys:
            self._resolve(row_key, self._own_claim())
        return []

    async def _read_back(self, row_keys: list[str]) -> list[str]:
        rows = await asyncio.gather(
            *(self._read(k) for k in row_keys), return_exceptions=True
        )
        still_open = []
        for row_key, row in zip(row_keys, rows, strict=True):
            if isinstance(row, BaseException):
                self._refuse([row_key], f"the claim could not be read back: {row}")
            elif row is None:
                still_open.append(row_key)
            else:
                self._resolve_row(row_key, row)
        return still_open

    async def _read(self, row_key: str) -> Row | None:
        async with self._reads:
            return await self._table.read(row_key)

    def _resolve_row(self, row_key: str, row: Row) -> None:
        try:
            found = decode_claim(row.value)
        except CrocusError as exc:
            self._refuse([row_key], str(exc))
            return
        lost_token = self._unsettled.get(row_key)
        own = found.incarnation == self._incarnation
        if own and lost_token is not None and found.token >= lost_token:
            self._resolve(row_key, self._own_claim())
        else:
            self._resolve(row_key, Claim(found.host, found.incarnation, 0.0))

    def _own_claim(self) -> Claim:
        fresh_until_s = self._timer.now() + self._fresh_s
        return Claim(self._host, self._incarnation, fresh_until_s)

    def _resolve(self, row_key: str, claim: Claim) -> None:
        self._unsettled.pop(row_key, None)
        self._known[row_key] = claim
        while len(self._known) > self._cache_size:
            self._known.popitem(last=False)
        fut = self._pending.pop(row_key, None)
        if fut is not None and not fut.done():
            fut.set_result(claim)

    def _refuse(self, row_keys: list[str], reason: str) -> None:
        for row_key in row_keys:
            fut = self._pending.pop(row_key, None)
            if fut is not None and not fut.done():
                fut.set_result(_unavailable(reason))

    def _note_unsettled(self, row_keys: list[str], token: int) -> None:
        for row_key in row_keys:
            self._unsettled.setdefault(row_key, token)
        while len(self._unsettled) > self._cache_size:
            self._unsettled.popitem(last=False)

    def _row_value(self, token: int) -> bytes:
        fields = [CLAIM_FORMAT, self._incarnation, self._host, self._utc_s(), token]
        return cbor2.dumps(fields)


class ClaimRow(Record):
    """Content of a claim row.

    Attributes:
        incarnation: Incarnation of the holder.
        host: Host of the holder.
        created_utc_s: When it was written, by the writer's wall clock, in seconds.
        token: Counts the insert transactions of the incarnation.
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
    kinds = [type(field) for field in fields] if isinstance(fields, list) else []
    if kinds != [int, int, str, int, int] or fields[0] != CLAIM_FORMAT:
        raise CrocusError("a claim row is malformed", code="malformed_claim")
    return ClaimRow(*fields[1:])


def _unavailable(reason: str) -> Refusal:
    return Refusal(
        RefusalCode.CLAIM_UNAVAILABLE,
        f"the key could not be claimed: {reason}",
        outcome=Outcome.UNKNOWN,
        attempt=Attempt.NOT_SENT,
        retry_after_s=CLAIM_RETRY_AFTER_S,
    )
