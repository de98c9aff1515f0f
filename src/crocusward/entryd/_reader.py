"""Copies of the store's tables, replicated from the store or from a neighbour."""

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
ROLE_CHECK_PERIOD_S = 0.1
INITIAL_BACKOFF_S = 0.1
FIRST_RANK_MAX_BACKOFF_S = 1.0  # of the first host in a data centre
MAX_BACKOFF_S = 6.0  # of any host; each detects the end of an outage by itself
MIN_OUTAGE_S = 1.0  # entries may expire in the store if it fails for this long
# Entries that expired in an outage are written again within about 2 s of its end.
REMOVAL_HOLD_S = 2.3
PULL_TIMEOUT_S = 1.0
COMPRESSION_LEVEL = 1  # the fastest; enough for the repeated names in routes
MAX_PAGE_BYTES = 8 << 20
ROWS_PATH = "/neighbours/rows"


class TableFollower:
    """Maintains the copy of one store table.

    Args:
        table: Name of the table.
        timer: Source of time.
        rng: Source of jitter.
        client: Calls the store.
        times: Timing of store reads.
        is_reader: Returns whether this host reads the store.
        should_read_first: Returns whether this host reads a table without a copy.
        rank: Returns how many hosts of the data centre precede this one.
        on_change: Called with the table name and each changed row.
        on_version: Called after the version of the copy has changed.

    Attributes:
        copy: Copy of the table.
        answered_s: Time of the last answer from the store, in monotonic seconds.
    """

    __slots__ = (
        "copy",
        "answered_s",
        "_timer",
        "_rng",
        "_client",
        "_times",
        "_is_reader",
        "_should_read_first",
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
        should_read_first: Callable[[], bool],
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
        self._should_read_first = should_read_first
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
                await self._back_off(exc)
            except Exception as exc:
                log_event(
                    "unexpected_error",
                    Level.ERROR,
                    kind=type(exc).__name__,
                    reason=str(exc),
                )
                await self._timer.sleep(FIRST_RANK_MAX_BACKOFF_S)

    async def _step(self) -> None:
        copy = self.copy
        if copy.version < 0:
            is_reader = self._should_read_first()
        else:
            is_reader = self._is_reader()
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            log_event("reader_role", table=copy.name, reads_store=is_reader)
        if not is_reader:
            await self._timer.sleep(ROLE_CHECK_PERIOD_S)
            return
        if copy.version < 0:
            page = await self._client.read_table(copy.name, READ_TIMEOUT_S)
        else:
            page = await self._read_changes(copy)
        self._record_answer()
        self.apply_page(page)
        self._has_changed = bool(page.changes) and not page.complete

    async def _read_changes(self, copy: TableReplica) -> TablePage:
        wait_s = self._times.long_poll_s
        if self._failures:
            wait_s = 0.0  # an answer without a wait is the first sign of recovery
        elif self._has_changed:
            await self._timer.sleep(self._times.batch_pause_s)
            wait_s -= self._times.batch_pause_s
        try:
            return await self._client.wait_for_changes(
                copy.name, copy.version, wait_s, wait_s + self._times.answer_margin_s
            )
        except HistoryLostError:
            log_event("history_lost", Level.WARNING, table=copy.name)
            return await self._client.read_table(copy.name, READ_TIMEOUT_S)

    def _record_answer(self) -> None:
        now_s = self._timer.now()
        self.answered_s = now_s
        if self._failures == 0:
            return
        outage_s = now_s - self._failed_since_s
        log_event("store_regained", table=self.copy.name, outage_s=outage_s)
        self._failures = 0
        if outage_s >= MIN_OUTAGE_S and self.copy.version >= 0:
            self.copy.defer_removals(now_s + REMOVAL_HOLD_S)

    async def _back_off(self, exc: CrocusError) -> None:
        now_s = self._timer.now()
        if self._failures == 0:
            self._failed_since_s = now_s
            log_event(
                "store_lost", Level.WARNING, table=self.copy.name, reason=str(exc)
            )
        self._failures += 1
        # Hosts of higher rank retry less often, which limits the calls in an outage
        # however large the fleet is.
        max_backoff_s = min(
            FIRST_RANK_MAX_BACKOFF_S * (1 + self._rank()), MAX_BACKOFF_S
        )
        pause_s = min(max_backoff_s, INITIAL_BACKOFF_S * 2.0 ** min(self._failures, 6))
        await self._timer.sleep(pause_s * (0.5 + 0.5 * self._rng.random()))

    def apply_page(self, page: TablePage) -> None:
        """Apply a page from the store or from a neighbour."""
        before = self.copy.version
        for change in self.copy.apply(page, self._timer.now()):
            self._on_change(self.copy.name, change)
        if self.copy.version != before:
            self._on_version()

    def apply_deferred_removals(self) -> None:
        """Apply removals whose hold time has passed."""
        for change in self.copy.apply_deferred_removals(self._timer.now()):
            self._on_change(self.copy.name, change)


class RowReplicator:
    """Replicates table rows between this host and its neighbours.

    Args:
        timer: Source of time.
        followers: Followers by table.
        neighbour_tables: Hosts that may have newer rows, in order of preference.
        pool: Connections to neighbours.
        port: Port on which daemons serve each other.
        sampler: Logs failed pulls.
    """

    __slots__ = (
        "_timer",
        "_followers",
        "_neighbour_tables",
        "_pool",
        "_port",
        "_sampler",
        "_pulls",
    )

    def __init__(
        self,
        timer: TimerService,
        followers: dict[str, TableFollower],
        neighbour_tables: Sequence[NeighbourTable],
        pool: HttpPool,
        port: int,
        sampler: EventSampler,
    ) -> None:
        self._timer = timer
        self._followers = followers
        self._neighbour_tables = neighbour_tables
        self._pool = pool
        self._port = port
        self._sampler = sampler
        self._pulls: dict[str, asyncio.Task[None]] = {}

    def pull_newer_rows(self) -> None:
        """Start a pull for each table of which a neighbour has a newer version."""
        now_s = self._timer.now()
        for table, follower in self._followers.items():
            if table in self._pulls:
                continue
            version = follower.copy.version
            sources = [
                neighbours.find_source(table, version, now_s)
                for neighbours in self._neighbour_tables
            ]
            source = next((item for item in sources if item is not None), None)
            if source is not None:
                task = asyncio.get_running_loop().create_task(
                    self._pull(table, follower, source)
                )
                self._pulls[table] = task
                task.add_done_callback(partial(self._on_pulled, table))

    def _on_pulled(self, table: str, task: "asyncio.Task[None]") -> None:
        del self._pulls[table]

    async def _pull(
        self, table: str, follower: TableFollower, source: Neighbour
    ) -> None:
        after = follower.copy.version
        path = f"{ROWS_PATH}?{table}&{after}"
        try:
            response = await self._pool.request(
                source.address,
                self._port,
                "GET",
                path,
                timeout_s=PULL_TIMEOUT_S,
                limit_bytes=MAX_PAGE_BYTES,
            )
            page, hold_s = decode_page(response.body)
        except (CrocusError, ValueError) as exc:
            self._sampler.log(
                "neighbour_rows_missed",
                Level.WARNING,
                table=table,
                neighbour=source.host,
                reason=str(exc),
            )
            return
        if hold_s > 0.0:
            follower.copy.defer_removals(self._timer.now() + hold_s)
        follower.apply_page(page)

    def encode_rows_after(self, query: str) -> bytes | None:
        """Return the page that a neighbour requests, or None for a bad query."""
        table, _, after = query.partition("&")
        follower = self._followers.get(table)
        if follower is None or not after.lstrip("-").isdigit():
            return None
        if follower.copy.version < 0:
            return None
        page = follower.copy.get_changes_since(int(after))
        return encode_page(page, follower.copy.deferral_left_s(self._timer.now()))


def encode_page(page: TablePage, hold_s: float) -> bytes:
    """Return the compressed form of a page and its remaining hold of removals.

    Compression reduces a desired state with many routes to a fraction. The reader
    sends it to several neighbours, possibly over a link of a few Mbit/s.
    """
    rows = [[item.key, item.version, item.value] for item in page.changes]
    data = cbor2.dumps([page.version, page.complete, hold_s, rows])
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode_page(data: bytes) -> tuple[TablePage, float]:
    """Decode the result of ``encode_page``.

    Raises:
        ValueError: The data is malformed.
    """
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(data, MAX_PAGE_BYTES)
        version, complete, hold_s, rows = cbor2.loads(plain)
        changes = [RowChange(str(key), value, int(ver)) for key, ver, value in rows]
        page = TablePage(int(version), changes, complete=bool(complete))
        return page, float(hold_s)
    except (zlib.error, cbor2.CBORError, ValueError, TypeError) as exc:
        raise ValueError(f"malformed page: {type(exc).__name__}") from exc
