"""Copies of the store's tables, read from the store or taken from a neighbour."""

import asyncio
import random
from collections.abc import Callable, Iterable

from ..desired import NO_ERA, RowChange, TablePage, TableReplica
from ..errors import CrocusError, StoreUnavailableError
from ..logs import Level, log_event
from ..neighbours import ReadTimes
from ..platform import TABLE_OPERATOR, HistoryLostError, RowClient
from ..timing import TimerService

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
# Their rows come back in a restored store only when operators write them again.
WRITER_TABLES = frozenset({TABLE_OPERATOR})
ALL_CHANGES = "all"  # requests all rows and removals
MAX_MERGE_TRIES = 3
MAX_LOGGED_ROWS = 16  # named in one line


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
        other_answer_s: Returns when another host of the data centre last had an answer
            from the store, as far as known, in monotonic seconds.
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
        "_other_answer_s",
        "_on_change",
        "_on_version",
        "_failures",
        "_failed_since_s",
        "_last_failure_s",
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
        other_answer_s: Callable[[], float],
        on_change: Callable[[str, RowChange], None],
        on_version: Callable[[], None],
    ) -> None:
        self.copy = TableReplica(table, waits_for_writer=table in WRITER_TABLES)
        self.answered_s = -1e9
        self._merge_tries_left = 0
        self._timer = timer
        self._rng = rng
        self._client = client
        self._times = times
        self._is_reader = is_reader
        self._should_read_first = should_read_first
        self._rank = rank
        self._other_answer_s = other_answer_s
        self._on_change = on_change
        self._on_version = on_version
        self._failures = 0
        self._failed_since_s = 0.0
        self._last_failure_s = 0.0
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
            self._note_answer_elsewhere()
            if self._failures and self._failed_since_s > self._last_failure_s:
                log_event("store_failures_ended", table=copy.name)
                self._failures = 0
            await self._timer.sleep(ROLE_CHECK_PERIOD_S)
            return
        if copy.version < 0:
            page = await self._client.read_table(copy.name, READ_TIMEOUT_S)
            if copy.version < 0:
                self._merge_tries_left = MAX_MERGE_TRIES
        else:
            page = await self._read_changes(copy)
        self._record_answer()
        if page.changes and page.position != copy.position:
            log_event(
                "store_rows_read",
                table=copy.name,
                era=page.era,
                version=page.version,
                rows=len(page.changes),
            )
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

    def _note_answer_elsewhere(self) -> None:
        """Count failures only since the last answer that another host has had.

        Otherwise the first answer to this host, when it reads again, would end an
        outage that was over long before.
        """
        at_s = self._other_answer_s()
        # The next answer to the other host may be under way until then.
        covered_s = at_s + self._times.takeover_age_s
        if not self._failures or covered_s <= self._failed_since_s:
            return
        if at_s > self._failed_since_s:
            self._end_outage(at_s)
        self._failed_since_s = covered_s

    def _end_outage(self, end_s: float) -> None:
        """Hold removals back if the failures until an answer were an outage.

        It has lasted from the first to the last failure that was seen, so that a pause
        of this process is none.

        Args:
            end_s: Time of the answer, in monotonic seconds.
        """
        outage_s = min(self._last_failure_s, end_s) - self._failed_since_s
        if outage_s >= MIN_OUTAGE_S and self.copy.version >= 0:
            self.copy.defer_removals(end_s + REMOVAL_HOLD_S)

    def _record_answer(self) -> None:
        now_s = self._timer.now()
        self.answered_s = now_s
        if self._failures == 0:
            return
        self._note_answer_elsewhere()
        self._end_outage(now_s)
        log_event(
            "store_regained",
            table=self.copy.name,
            outage_s=max(0.0, now_s - self._failed_since_s),
            failures=self._failures,
            hold_s=self.copy.deferral_left_s(now_s),
        )
        self._failures = 0

    async def _back_off(self, exc: CrocusError) -> None:
        now_s = self._timer.now()
        if self._failures == 0:
            self._failed_since_s = now_s
            log_event(
                "store_lost", Level.WARNING, table=self.copy.name, reason=str(exc)
            )
        self._failures += 1
        self._last_failure_s = now_s
        self._note_answer_elsewhere()
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
        before, kept_before = copy.position, self._kept_keys()
        held_before = set(copy.deferred_keys)
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
        self._log_kept_rows(kept_before)
        self._log_held_removals(held_before)
        self._apply_changes(changes)
        if copy.position != before:
            self._on_version()

    def _log_held_removals(self, before: set[str]) -> None:
        """Log which removals are held back, and for how long."""
        held = sorted(set(self.copy.deferred_keys) - before)
        if held:
            log_event(
                "removals_held",
                table=self.copy.name,
                count=len(held),
                rows=",".join(held[:MAX_LOGGED_ROWS]),
                hold_s=self.copy.deferral_left_s(self._timer.now()),
                reason="they may have expired while the store was away",
            )

    def _kept_keys(self) -> set[str]:
        """Return the keys of rows of operators that stay as before a restore."""
        copy = self.copy
        if not copy.waits_for_writer:
            return set()
        return {*copy.lost_keys, *copy.withheld_keys}

    def _log_kept_rows(self, before: set[str]) -> None:
        """Log which rows begin or cease to wait for their writer."""
        after, copy = self._kept_keys(), self.copy
        for key in sorted(after - before):
            is_lost = key in copy.lost_keys
            log_event(
                "operator_row_kept",
                Level.WARNING,
                table=copy.name,
                row=key,
                era=copy.era,
                reason="lost by the store" if is_lost else "older in the store",
            )
        for key in sorted(before - after):
            log_event("operator_row_settled", table=copy.name, row=key, era=copy.era)

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
        kept_before = self._kept_keys()
        changes = self.copy.merge(page, now_s)
        self._log_kept_rows(kept_before)
        log_event(
            "neighbour_rows_merged",
            table=self.copy.name,
            era=page.era,
            version=page.version,
            taken=len(changes),
        )
        self._apply_changes(changes)

    def _apply_changes(self, changes: Iterable[RowChange]) -> None:
        """Apply rows; one that fails does not keep the others back."""
        for change in changes:
            try:
                self._on_change(self.copy.name, change)
            except Exception as exc:
                log_event(
                    "row_change_failed",
                    Level.ERROR,
                    table=self.copy.name,
                    key=change.key,
                    version=change.version,
                    kind=type(exc).__name__,
                    reason=str(exc),
                )

    def apply_deferred(self) -> None:
        """Apply what was deferred and is due."""
        kept_before = self._kept_keys()
        self._apply_changes(self.copy.apply_deferred(self._timer.now()))
        self._log_kept_rows(kept_before)
