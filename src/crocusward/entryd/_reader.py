"""Keeps copies of the store's tables, from the store or from a neighbour."""

import asyncio
import random
import zlib
from collections.abc import Callable, Sequence
from functools import partial

import cbor2

from ..desired import RowChange, TablePage, TableReplica
from ..errors import CrocusError, StoreUnavailableError
from ..logs import EventSampler, Level, log_event
from ..neighbours import Neighbour, NeighbourTable, ReadTimes
from ..platform import HistoryLostError, RowClient
from ..timing import TimerService
from ..upstream import HttpPool

READ_TIMEOUT_S = 1.5
TICK_S = 0.1  # period of the check who reads
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 1.0  # of the first host of a data centre
BACKOFF_LAST_S = 6.0  # of any host; each must find the store again by itself
OUTAGE_S = 1.0  # failures for this long are an outage in which entries may lapse
# Entries that lapsed in an outage are back within about 2 s of its end.
LAPSE_HOLD_S = 2.3
PULL_TIMEOUT_S = 1.0
PACK_LEVEL = 1  # the fastest; routes repeat the same names
PULL_BYTES = 8 << 20
ROWS_PATH = "/neighbours/rows"


class TableFollower:
    """Keeps the copy of one table up to date.

    Args:
        table: Name of the table.
        timer: Source of time.
        rng: Source of jitter.
        client: Calls the store.
        times: Times of the reads.
        is_reader: Tells whether this host reads the store.
        reads_first: Tells whether this host reads a table of which it has no copy.
        rank: Tells how many hosts of the data centre go before this one.
        on_change: Called with each changed row.
        on_version: Called after the version of the copy has grown.

    Attributes:
        copy: The copy.
        answered_s: When the store last answered, in monotonic seconds.
    """

    __slots__ = (
        "copy",
        "answered_s",
        "_timer",
        "_rng",
        "_client",
        "_times",
        "_is_reader",
        "_reads_first",
        "_rank",
        "_on_change",
        "_on_version",
        "_failures",
        "_failed_since_s",
        "_wake",
        "_was_reader",
        "_has_changed",
    )

    def __init__(
        self,
        table: str,
        timer: TimerService,
        rng: random.Random,
        client: RowClient,
        times: ReadTimes,
        is_reader: Callable[[], bool],
        reads_first: Callable[[], bool],
        rank: Callable[[], int],
        on_change: Callable[[str, RowChange], None],
        on_version: Callable[[], None],
    ) -> None:
        self.copy = TableReplica(table)
        self.answered_s = -1e9
        self._timer = timer
        self._rng = rng
        self._client = client
        self._times = times
        self._is_reader = is_reader
        self._reads_first = reads_first
        self._rank = rank
        self._on_change = on_change
        self._on_version = on_version
        self._failures = 0
        self._failed_since_s = 0.0
        self._wake = asyncio.Event()
        self._was_reader = False
        self._has_changed = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._step()
            except (StoreUnavailableError, HistoryLostError) as exc:
                await self._pause(exc)
            except Exception as exc:
                log_event(
                    "unexpected_error",
                    Level.ERROR,
                    kind=type(exc).__name__,
                    reason=str(exc),
                )
                await self._timer.sleep(BACKOFF_MAX_S)

    async def _step(self) -> None:
        copy = self.copy
        if copy.version < 0:
            is_reader = self._reads_first()
        else:
            is_reader = self._is_reader()
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            log_event("reader_role", table=copy.name, reads_store=is_reader)
        if not is_reader:
            await self._timer.sleep(TICK_S)
            return
        if copy.version < 0:
            page = await self._client.read_table(copy.name, READ_TIMEOUT_S)
        else:
            page = await self._read_changes(copy)
        self._take_answer()
        self.take_page(page)
        self._has_changed = bool(page.changes) and not page.complete

    async def _read_changes(self, copy: TableReplica) -> TablePage:
        wait_s = self._times.wait_s
        if self._failures:
            wait_s = 0.0  # such an answer shows soonest that the store is back
        elif self._has_changed:
            await self._timer.sleep(self._times.gather_s)
            wait_s -= self._times.gather_s
        try:
            return await self._client.wait_for_changes(
                copy.name, copy.version, wait_s, wait_s + self._times.margin_s
            )
        except HistoryLostError:
            log_event("history_lost", Level.WARNING, table=copy.name)
            return await self._client.read_table(copy.name, READ_TIMEOUT_S)

    def _take_answer(self) -> None:
        now_s = self._timer.now()
        self.answered_s = now_s
        if self._failures == 0:
            return
        outage_s = now_s - self._failed_since_s
        log_event("store_regained", table=self.copy.name, outage_s=outage_s)
        self._failures = 0
        if outage_s >= OUTAGE_S and self.copy.version >= 0:
            self.copy.defer_removals(now_s + LAPSE_HOLD_S)

    async def _pause(self, exc: CrocusError) -> None:
        now_s = self._timer.now()
        if self._failures == 0:
            self._failed_since_s = now_s
            log_event(
                "store_lost", Level.WARNING, table=self.copy.name, reason=str(exc)
            )
        self._failures += 1
        # Hosts at the end try less often, so that an outage brings few calls however
        # many hosts there are.
        most_s = min(BACKOFF_MAX_S * (1 + self._rank()), BACKOFF_LAST_S)
        pause_s = min(most_s, BACKOFF_FIRST_S * 2.0 ** min(self._failures, 6))
        await self._timer.sleep(pause_s * (0.5 + 0.5 * self._rng.random()))

    def take_page(self, page: TablePage) -> None:
        """Apply a page of the store or of a neighbour."""
        before = self.copy.version
        for change in self.copy.apply(page, self._timer.now()):
            self._on_change(self.copy.name, change)
        if self.copy.version != before:
            self._on_version()

    def apply_deferred_removals(self) -> None:
        """Apply removals that were held back for long enough."""
        for change in self.copy.apply_deferred_removals(self._timer.now()):
            self._on_change(self.copy.name, change)


class NeighbourRows:
    """Hands rows to neighbours and takes rows from them.

    Args:
        timer: Source of time.
        followers: Followers by table.
        peers: Tables of hosts that may have newer rows.
        pool: Connections to neighbours.
        port: Port on which daemons answer each other.
        sampler: Logs failures.
    """

    __slots__ = (
        "_timer",
        "_followers",
        "_peers",
        "_pool",
        "_port",
        "_sampler",
        "_busy",
    )

    def __init__(
        self,
        timer: TimerService,
        followers: dict[str, TableFollower],
        peers: Sequence[NeighbourTable],
        pool: HttpPool,
        port: int,
        sampler: EventSampler,
    ) -> None:
        self._timer = timer
        self._followers = followers
        self._peers = peers
        self._pool = pool
        self._port = port
        self._sampler = sampler
        self._busy: dict[str, asyncio.Task[None]] = {}

    def check(self) -> None:
        """Ask for rows of each table of which a neighbour has a newer version."""
        now_s = self._timer.now()
        for table, follower in self._followers.items():
            if table in self._busy:
                continue
            version = follower.copy.version
            found = [p.source_of(table, version, now_s) for p in self._peers]
            peer = next((item for item in found if item is not None), None)
            if peer is not None:
                task = asyncio.get_running_loop().create_task(
                    self._pull(table, follower, peer)
                )
                self._busy[table] = task
                task.add_done_callback(partial(self._on_pulled, table))

    def _on_pulled(self, table: str, task: "asyncio.Task[None]") -> None:
        del self._busy[table]

    async def _pull(self, table: str, follower: TableFollower, peer: Neighbour) -> None:
        after = follower.copy.version
        path = f"{ROWS_PATH}?{table}&{after}"
        try:
            answer = await self._pool.request(
                peer.address,
                self._port,
                "GET",
                path,
                timeout_s=PULL_TIMEOUT_S,
                limit_bytes=PULL_BYTES,
            )
            page, hold_s = decode_page(answer.body)
        except (CrocusError, ValueError) as exc:
            self._sampler.log(
                "neighbour_rows_missed",
                Level.WARNING,
                table=table,
                neighbour=peer.host,
                reason=str(exc),
            )
            return
        if hold_s > 0.0:
            follower.copy.defer_removals(self._timer.now() + hold_s)
        follower.take_page(page)

    def answer(self, query: str) -> bytes | None:
        """Return the encoded page for a neighbour, or None for a bad query."""
        table, _, after = query.partition("&")
        follower = self._followers.get(table)
        if follower is None or not after.lstrip("-").isdigit():
            return None
        if follower.copy.version < 0:
            return None
        page = follower.copy.get_changes_since(int(after))
        return encode_page(page, follower.copy.deferral_left_s(self._timer.now()))


def encode_page(page: TablePage, hold_s: float) -> bytes:
    """Return the packed form of a page and of the time for which removals are held.

    A desired state with many routes packs to a fraction, and its reader sends it to
    several neighbours, perhaps over a link of some Mbit/s.
    """
    rows = [[item.key, item.version, item.value] for item in page.changes]
    data = cbor2.dumps([page.version, page.complete, hold_s, rows])
    return zlib.compress(data, PACK_LEVEL)


def decode_page(data: bytes) -> tuple[TablePage, float]:
    """Decode what ``encode_page`` returned.

    Raises:
        ValueError: The data is malformed.
    """
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(data, PULL_BYTES)
        version, complete, hold_s, rows = cbor2.loads(plain)
        changes = [RowChange(str(key), value, int(ver)) for key, ver, value in rows]
        page = TablePage(int(version), changes, complete=bool(complete))
        return page, float(hold_s)
    except (zlib.error, cbor2.CBORError, ValueError, TypeError) as exc:
        raise ValueError(f"malformed page: {type(exc).__name__}") from exc
