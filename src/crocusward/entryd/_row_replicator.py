"""Replication of table rows between hosts: pulls from neighbours, and their pages."""

import asyncio
import zlib
from collections.abc import Sequence
from functools import partial

import cbor2

from ..desired import NO_ERA, RowChange, TablePage, TablePosition
from ..errors import CrocusError
from ..logs import EventSampler, Level
from ..neighbours import Neighbour, NeighbourTable
from ..timing import TimerService
from ..upstream import HttpPool
from ._reader import ALL_CHANGES, TableFollower

PULL_TIMEOUT_S = 1.0
# A second attempt starts after this time, which exceeds the answer over a slow link of
# the same data centre by far; each further one after twice the time.
FIRST_HEDGE_DELAY_S = 0.1
MAX_PULL_ATTEMPTS = 3
COMPRESSION_LEVEL = 1  # the fastest; enough for the repeated names in routes
MAX_PAGE_BYTES = 8 << 20
ROWS_PATH = "/neighbours/rows"


class PulledPage:
    """Rows of a neighbour, and how they were obtained.

    Attributes:
        page: The rows.
        hold_end_s: Until when the neighbour defers removals, or earlier by the time
            that the request took to reach it, in monotonic seconds.
        source: The neighbour.
        is_merge: Whether the page has all rows of the neighbour.
    """

    __slots__ = ("page", "hold_end_s", "source", "is_merge")

    def __init__(
        self, page: TablePage, hold_end_s: float, source: Neighbour, is_merge: bool
    ) -> None:
        self.page = page
        self.hold_end_s = hold_end_s
        self.source = source
        self.is_merge = is_merge


class RowReplicator:
    """Replicates table rows between this host and its neighbours.

    A pull asks one neighbour, and after a short while another one that has newer rows,
    or the same one again. The first page that arrives is applied, so that a host or a
    connection that has fallen silent delays a change by that while, not by a timeout.

    Args:
        timer: Source of time.
        followers: Followers by table.
        neighbour_tables: Hosts that may have newer rows, in order of preference.
        pool: Opens connections to neighbours. It should keep none: a connection that
            was good when it was last used may have fallen silent since.
        port: Port on which daemons serve each other.
        sampler: Logs pulls.

    Attributes:
        outcomes: Number of attempts by outcome: "taken", "missed", "superseded".
        complete_pages: Number of complete pages sent to neighbours that had a copy,
            since this host does not know all changes after it.
    """

    __slots__ = (
        "outcomes",
        "complete_pages",
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
        self.outcomes = {"taken": 0, "missed": 0, "superseded": 0}
        self.complete_pages = 0
        self._timer = timer
        self._followers = followers
        self._neighbour_tables = neighbour_tables
        self._pool = pool
        self._port = port
        self._sampler = sampler
        self._pulls: dict[str, asyncio.Task[None]] = {}

    def pull_newer_rows(self) -> None:
        """Start a pull for each table of which a neighbour has a newer version."""
        for table, follower in self._followers.items():
            if table not in self._pulls and self._list_sources(table, follower):
                task = asyncio.get_running_loop().create_task(
                    self._pull(table, follower)
                )
                self._pulls[table] = task
                task.add_done_callback(partial(self._on_pulled, table))

    def _on_pulled(self, table: str, task: "asyncio.Task[None]") -> None:
        del self._pulls[table]

    def _list_sources(self, table: str, follower: TableFollower) -> list[Neighbour]:
        """Return the neighbours with newer rows, the best source first."""
        position = follower.copy.position
        if follower.needs_merge:
            position = TablePosition(position.era)  # any row of this era helps
        now_s = self._timer.now()
        return [
            source
            for neighbours in self._neighbour_tables
            for source in neighbours.list_sources(table, position, now_s)
        ]

    async def merge_from_afar(self, table: str, addresses: Sequence[str]) -> bool:
        """Merge the rows of a host of another data centre that knows this era.

        All hosts of a data centre may have started since the store was restored. Such
        a host knows rows of operators that the store has lost from others only.

        Args:
            table: Name of the table.
            addresses: Hosts to ask, one after the other.

        Returns:
            Whether one of them had rows as new as this host's.
        """
        follower = self._followers[table]
        for address in addresses:
            began_s = self._timer.now()
            try:
                response = await self._pool.request(
                    address,
                    self._port,
                    "GET",
                    f"{ROWS_PATH}?{table}&{ALL_CHANGES}",
                    timeout_s=PULL_TIMEOUT_S,
                    limit_bytes=MAX_PAGE_BYTES,
                )
                page, _ = decode_page(response.body)
            except (CrocusError, ValueError) as exc:
                self._sampler.log(
                    "remote_rows_missed",
                    Level.WARNING,
                    table=table,
                    address=address,
                    took_s=self._timer.now() - began_s,
                    reason=str(exc),
                )
                continue
            # One that is behind may keep rows which have been taken back since.
            position = follower.copy.position
            if page.era == position.era and page.position >= position:
                follower.apply_neighbour_page(page, 0.0, is_merge=True)
                return True
            self._sampler.log(
                "remote_rows_missed",
                table=table,
                address=address,
                took_s=self._timer.now() - began_s,
                reason=f"at version {page.version} of era {page.era}",
            )
        return False

    async def _pull(self, table: str, follower: TableFollower) -> None:
        """Ask neighbours, each later than the one before, until one answers."""
        began_s = self._timer.now()
        running: set[asyncio.Task[PulledPage | None]] = set()
        asked: list[Neighbour] = []
        delay_s = FIRST_HEDGE_DELAY_S
        pulled: PulledPage | None = None
        try:
            while pulled is None:
                sources = self._list_sources(table, follower)
                if sources and len(asked) < MAX_PULL_ATTEMPTS:
                    source = min(sources, key=asked.count)
                    asked.append(source)
                    running.add(self._start_attempt(table, follower, source))
                if not running:
                    return
                is_last = len(asked) >= MAX_PULL_ATTEMPTS
                done, running = await asyncio.wait(
                    running,
                    timeout=None if is_last else delay_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                delay_s *= 2.0
                pulled = next((r for t in done if (r := t.result())), None)
        finally:
            self.outcomes["superseded"] += len(running)
            for task in running:
                task.cancel()
        self.outcomes["taken"] += 1
        hold_s = pulled.hold_end_s - self._timer.now()
        follower.apply_neighbour_page(pulled.page, hold_s, pulled.is_merge)
        if pulled.page.changes:
            self._sampler.log(
                "neighbour_rows_taken",
                table=table,
                neighbour=pulled.source.host,
                era=pulled.page.era,
                version=pulled.page.version,
                rows=len(pulled.page.changes),
                is_complete=pulled.page.complete,
                took_s=self._timer.now() - began_s,
                attempts=len(asked),
            )

    def _start_attempt(
        self, table: str, follower: TableFollower, source: Neighbour
    ) -> "asyncio.Task[PulledPage | None]":
        return asyncio.get_running_loop().create_task(
            self._ask(table, follower, source)
        )

    async def _ask(
        self, table: str, follower: TableFollower, source: Neighbour
    ) -> PulledPage | None:
        """Return the rows of one neighbour, or None if it does not send them."""
        is_merge = follower.should_merge(source.positions[table].era)
        path = f"{ROWS_PATH}?{follower.pull_query(is_merge)}"
        if is_merge:
            follower.begin_merge()
        began_s = self._timer.now()
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
            self.outcomes["missed"] += 1
            self._sampler.log(
                "neighbour_rows_missed",
                Level.WARNING,
                table=table,
                neighbour=source.host,
                took_s=self._timer.now() - began_s,
                reason=str(exc),
            )
            return None
        # Counted from the request on, so that a slow answer prolongs no hold.
        return PulledPage(page, began_s + hold_s, source, is_merge)

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
            if page.complete and position.version >= 0:
                self.complete_pages += 1
                self._sampler.log(
                    "neighbour_history_incomplete",
                    table=table,
                    asked_era=position.era,
                    asked_version=position.version,
                    era=page.era,
                    history_start=follower.copy.history_start,
                    rows=len(page.changes),
                )
        now_s = self._timer.now()
        page.settle_left_s = follower.copy.settle_left_s(now_s)
        return encode_page(page, follower.copy.deferral_left_s(now_s))


def encode_page(page: TablePage, hold_s: float) -> bytes:
    """Return the compressed form of a page and its remaining hold of removals.

    Compression reduces a desired state with many routes to a fraction. The reader
    sends it to several neighbours, possibly over a link of a few Mbit/s.
    """
    rows = [[item.key, item.version, item.value] for item in page.changes]
    fields: list[object] = [page.version, page.complete, hold_s, rows]
    if page.era != NO_ERA or page.settle_left_s is not None:
        fields.append(page.era)
    if page.settle_left_s is not None:
        fields.append(page.settle_left_s)
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
        settle_left_s = float(rest[1]) if len(rest) > 1 else None
        changes = [RowChange(str(key), value, int(ver)) for key, ver, value in rows]
        page = TablePage(
            int(version),
            changes,
            complete=bool(complete),
            era=era,
            settle_left_s=settle_left_s,
        )
        return page, float(hold_s)
    except (
        zlib.error,
        cbor2.CBORError,
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise ValueError(f"malformed page: {type(exc).__name__}") from exc
