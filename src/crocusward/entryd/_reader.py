"""Copies of the store's tables, replicated from the store or from a neighbour."""

import asyncio
import random
import zlib
from collections.abc import Callable, Sequence
from functools import partial

import cbor2

from ..desired import NO_ERA, RowChange, TablePage, TablePosition, TableReplica
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
# Old rows of a restored table are written again, or have expired, after about 4.5 s.
RESTORED_HOLD_S = 6.0
PULL_TIMEOUT_S = 1.0
COMPRESSION_LEVEL = 1  # the fastest; enough for the repeated names in routes
MAX_PAGE_BYTES = 8 << 20
ROWS_PATH = "/neighbours/rows"
ALL_CHANGES = "all"  # requests all rows and removals
MAX_MERGE_TRIES = 3


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
        on_version: Called after the position of the copy has changed.

    Attributes:
        copy: Copy of the table.
        answered_s: Time of the last answer from the store, in monotonic seconds.
    """

    __slots__ = (
        "copy",
        "answered_s",
        "_merge_tries_left",
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
        self._merge_tries_left = 0
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
            if copy.version < 0:
                self._merge_tries_left = MAX_MERGE_TRIES
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
        after = copy.position
        try:
            page = await self._client.wait_for_changes(
                copy.name, after.version, wait_s, wait_s + self._times.answer_margin_s
            )
            if page.era <= after.era:
                return page
            reason = "the answer is of another era"
        except HistoryLostError as exc:
            reason = str(exc)
        log_event(
            "history_lost",
            Level.WARNING,
            table=copy.name,
            era=after.era,
            version=after.version,
            reason=reason,
        )
        page = await self._client.read_table(copy.name, READ_TIMEOUT_S)
        if page.position < after:
            raise StoreUnavailableError(
                f"table {copy.name} is at version {page.version} of era {page.era},"
                f" {after.version} of {after.era} was read before"
            )
        return page

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
        copy = self.copy
        before = copy.position
        is_new_era = before.version >= 0 and page.complete and page.era > before.era
        if is_new_era:
            # Entries written since the restored copy are written again soon.
            copy.defer_removals(self._timer.now() + REMOVAL_HOLD_S)
            copy.withhold_restored(self._timer.now() + RESTORED_HOLD_S)
        changes = copy.apply(page, self._timer.now())
        if is_new_era:
            log_event(
                "store_era_changed",
                Level.WARNING,
                table=copy.name,
                era=copy.era,
                previous_era=before.era,
                version=copy.version,
                previous_version=before.version,
                rows=len(page.changes),
                taken=len(changes),
                kept=copy.kept_count,
            )
        for change in changes:
            self._on_change(copy.name, change)
        if copy.position != before:
            self._on_version()

    @property
    def needs_merge(self) -> bool:
        """Whether the copy was read from the store alone.

        Neighbours may know of changes that the store has lost.
        """
        return self._merge_tries_left > 0

    def begin_merge(self) -> None:
        """Count an attempt; neighbours that cannot answer it are asked a few times."""
        self._merge_tries_left -= 1

    def should_merge(self, era: int) -> bool:
        """Return whether to merge all rows of a neighbour whose copy is of an era."""
        return self.needs_merge and era == self.copy.era

    def pull_query(self, is_merge: bool) -> str:
        """Return the query for the rows of a neighbour, all or the newer ones."""
        position = self.copy.position
        if is_merge:
            return f"{self.copy.name}&{ALL_CHANGES}"
        if position.era == NO_ERA:
            return f"{self.copy.name}&{position.version}"
        return f"{self.copy.name}&{position.version}&{position.era}"

    def apply_neighbour_page(
        self, page: TablePage, hold_s: float, is_merge: bool
    ) -> None:
        """Apply rows of a neighbour.

        Args:
            page: The rows.
            hold_s: For how long the neighbour still defers removals, in seconds.
            is_merge: Whether the page has all rows of the neighbour.
        """
        now_s = self._timer.now()
        if hold_s > 0.0:
            self.copy.defer_removals(now_s + hold_s)
        if not is_merge:
            self.apply_page(page)
            return
        self._merge_tries_left = 0
        changes = self.copy.merge(page, now_s)
        log_event(
            "neighbour_rows_merged",
            table=self.copy.name,
            era=page.era,
            version=page.version,
            taken=len(changes),
        )
        for change in changes:
            self._on_change(self.copy.name, change)

    def apply_deferred(self) -> None:
        """Apply what was deferred and is due."""
        for change in self.copy.apply_deferred(self._timer.now()):
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
            position = follower.copy.position
            if follower.needs_merge:
                position = TablePosition(position.era)  # any row of this era helps
            sources = [
                neighbours.find_source(table, position, now_s)
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
        is_merge = follower.should_merge(source.positions[table].era)
        path = f"{ROWS_PATH}?{follower.pull_query(is_merge)}"
        if is_merge:
            follower.begin_merge()
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
        follower.apply_neighbour_page(page, hold_s, is_merge)

    def encode_rows_after(self, query: str) -> bytes | None:
        """Return the page that a neighbour requests, or None for a bad query."""
        table, _, after = query.partition("&")
        follower = self._followers.get(table)
        if follower is None or follower.copy.version < 0:
            return None
        if after == ALL_CHANGES:
            page = follower.copy.get_all_changes()
        else:
            version, _, era = after.partition("&")
            if not version.lstrip("-").isdigit() or not (era or "0").isdigit():
                return None
            position = TablePosition(int(era or NO_ERA), int(version))
            page = follower.copy.get_changes_since(position)
        return encode_page(page, follower.copy.deferral_left_s(self._timer.now()))


def encode_page(page: TablePage, hold_s: float) -> bytes:
    """Return the compressed form of a page and its remaining hold of removals.

    Compression reduces a desired state with many routes to a fraction. The reader
    sends it to several neighbours, possibly over a link of a few Mbit/s.
    """
    rows = [[item.key, item.version, item.value] for item in page.changes]
    fields: list[object] = [page.version, page.complete, hold_s, rows]
    if page.era != NO_ERA:
        fields.append(page.era)
    data = cbor2.dumps(fields)
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode_page(data: bytes) -> tuple[TablePage, float]:
    """Decode the result of ``encode_page``.

    Raises:
        ValueError: The data is malformed.
    """
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(data, MAX_PAGE_BYTES)
        version, complete, hold_s, rows, *rest = cbor2.loads(plain)
        era = int(rest[0]) if rest else NO_ERA
        changes = [RowChange(str(key), value, int(ver)) for key, ver, value in rows]
        page = TablePage(int(version), changes, complete=bool(complete), era=era)
        return page, float(hold_s)
    except (zlib.error, cbor2.CBORError, ValueError, TypeError) as exc:
        raise ValueError(f"malformed page: {type(exc).__name__}") from exc
