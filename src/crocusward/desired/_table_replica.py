"""Replica of a platform table that never goes back to an older position."""

import math
from collections.abc import Iterable

from ._past_rows import PastRows
from ._position import NO_ERA, NO_VERSION, TablePosition
from ._types import RowChange, TablePage

MAX_TOMBSTONES = 2000  # removals kept for neighbours that are behind
FIRST_VERSION = 0  # of a kept row that the restored table lacks
# Operators write what a restored table lacks one by one. What is missing so long after
# their first write was taken back while the store had lost it.
WRITER_SETTLE_S = 60.0


class TableReplica:
    """The rows of one table, built from complete pages and pages of changes.

    Pages may come from the store or from a neighbour, late or more than once. A page
    older than the replica is ignored, so that a stale read cannot restore a removed
    row.

    A complete page of a later era is a new history. Rows that were written in it are
    taken, whatever their version. Rows from before the restored copy was taken are
    withheld: the replica keeps what it has until it is written again. What is still in
    the store after ``withhold_restored`` is taken.

    During an outage of the store, entries may expire although their writers are
    alive, and a restored table lacks rows that were written since the copy.
    ``defer_removals`` keeps such rows until a given time; rows that are still missing
    then are removed.

    Rows of operators do not expire, and come back only when their writer writes them
    again, at any time. With ``waits_for_writer`` the replica stays as it was before a
    restore, row by row, until the row is written or removed in the new era, or until
    ``WRITER_SETTLE_S`` after the first write of any row in it.

    A complete page tells what is in the table, not what was removed before. So the
    replica knows all changes only from the version of its last complete page on; a
    neighbour with an older position gets a complete page in its turn.

    Args:
        name: Name of the table.
        waits_for_writer: Whether rows come back only when operators write them again.

    Attributes:
        name: Name of the table.
        waits_for_writer: See above.
        era: Era of the replica.
        version: Version of the replica; ``NO_VERSION`` before the first complete page.
        history_start: Version after which the replica knows all changes.
        kept_count: Number of rows and removals of the last change of era that the store
            has lost.
    """

    __slots__ = (
        "name",
        "waits_for_writer",
        "era",
        "version",
        "history_start",
        "kept_count",
        "_rows",
        "_past",
        "_tombstones",
        "_deferred",
        "_defer_until_s",
        "_withheld",
        "_withhold_until_s",
        "_settled_s",
    )

    def __init__(self, name: str, *, waits_for_writer: bool = False) -> None:
        self.name = name
        self.waits_for_writer = waits_for_writer
        self.era = NO_ERA
        self.version = NO_VERSION
        self.history_start = NO_VERSION
        self.kept_count = 0
        self._rows: dict[str, RowChange] = {}
        self._past = PastRows()
        self._tombstones: dict[str, RowChange] = {}
        self._deferred: dict[str, RowChange] = {}
        self._defer_until_s = -1.0
        self._withheld: dict[str, RowChange] = {}
        self._withhold_until_s = -1.0
        self._settled_s = math.inf  # when rows that wait for their writer end

    @property
    def position(self) -> TablePosition:
        """Position of the replica."""
        return TablePosition(self.era, self.version)

    @property
    def lost_keys(self) -> list[str]:
        """Keys of the rows in force that the restored table lacks."""
        return [key for key, r in self._rows.items() if r.version == FIRST_VERSION]

    @property
    def withheld_keys(self) -> list[str]:
        """Keys of the rows of the restored table that are not in force yet."""
        return list(self._withheld)

    @property
    def deferred_keys(self) -> list[str]:
        """Keys of the rows whose removal is deferred."""
        return list(self._deferred)

    def defer_removals(self, until_s: float) -> None:
        """Apply no removal before ``until_s``, in monotonic seconds.

        Rows that wait for their writer do not expire, so none of their removals is
        deferred.
        """
        if self.waits_for_writer:
            return
        self._defer_until_s = max(self._defer_until_s, until_s)

    def withhold_restored(self, until_s: float) -> None:
        """Take no older row of a restored table before ``until_s``."""
        self._withhold_until_s = max(self._withhold_until_s, until_s)

    def settle(self, at_s: float) -> None:
        """Wait for writers no longer than until ``at_s``, in monotonic seconds."""
        if self.waits_for_writer:
            self._settled_s = min(self._settled_s, at_s)

    def settle_left_s(self, now_s: float) -> float | None:
        """Return for how long rows wait for their writer, None if that is not known."""
        if self._settled_s == math.inf:
            return None
        return max(0.0, self._settled_s - now_s)

    def deferral_left_s(self, now_s: float) -> float:
        """Return for how long removals are still deferred, in seconds."""
        return max(0.0, self._defer_until_s - now_s)

    def apply(self, page: TablePage, now_s: float) -> list[RowChange]:
        """Apply a page and return the effective changes, in order.

        A page older than the replica is ignored, as are changes before the first
        complete page of an era; the list is then empty.
        """
        if page.version < 0 or page.position < self.position:
            return []
        if self.version < 0 or page.era != self.era:
            if not page.complete:
                return []
        if self.version >= 0 and page.era != self.era:
            accepted = self._enter_era(page)
        else:
            accepted = self._find_newer(page)
        is_first = self.version < 0
        if not is_first and any(c.version > FIRST_VERSION for c in accepted):
            self.settle(now_s + WRITER_SETTLE_S)
        if page.settle_left_s is not None:
            self.settle(now_s + page.settle_left_s)
        if page.complete and page.position > self.position:
            self.history_start = page.version
        self.era = page.era
        self.version = page.version
        return [change for change in accepted if self._apply_change(change, now_s)]

    def merge(self, page: TablePage, now_s: float) -> list[RowChange]:
        """Apply what a neighbour kept of a lost history; return the effective changes.

        The position stays as it is: the page may lack changes that this replica has.
        Pages of another era change nothing. A row that this replica lacks is taken only
        if the store has lost it. Any other one was removed before this replica was
        read, or is newer than it and comes with the changes after its position.
        """
        if self.version < 0 or page.era != self.era:
            return []
        if page.settle_left_s is not None:
            self.settle(now_s + page.settle_left_s)
        present = {change.key for change in page.changes if change.value is not None}
        accepted = [change for change in page.changes if self._should_merge(change)]
        changed = []
        for change in accepted:
            if change.value is None and change.key not in present:
                # Not deferred at the neighbour either.
                if change.key in self._rows:
                    changed.append(change)
                self._remove(change)
            elif self._apply_change(change, now_s):
                changed.append(change)
        return changed

    def apply_deferred(self, now_s: float) -> list[RowChange]:
        """Apply deferred removals and withheld rows that are due, and return them."""
        due: list[RowChange] = []
        if self._deferred and now_s >= self._defer_until_s:
            due += self._deferred.values()
            self._deferred.clear()
        for change in due:
            self._remove(change)
        if self.waits_for_writer:
            return self._settle_rows(now_s)
        if self._withheld and now_s >= self._withhold_until_s:
            restored = list(self._withheld.values())
            due += [item for item in restored if self._apply_change(item, now_s)]
        return due

    def _settle_rows(self, now_s: float) -> list[RowChange]:
        """Return the changes of rows that wait for their writer no longer."""
        if now_s < self._settled_s:
            return []
        changes = [RowChange(key, None, self.version) for key in self.lost_keys]
        changes += self._withheld.values()
        return [change for change in changes if self._apply_change(change, now_s)]

    def _find_newer(self, page: TablePage) -> list[RowChange]:
        """Return the changes of a page of this era that the replica lacks."""
        accepted = [change for change in page.changes if self._is_newer(change)]
        if page.complete:
            present = {change.key for change in page.changes}
            accepted += [
                RowChange(key, None, page.version)
                for key in [*self._rows, *self._withheld]
                if key not in present and not self._waits_for_writer(key)
            ]
        return accepted

    def _waits_for_writer(self, key: str) -> bool:
        """Return whether a row stays in force although the store has lost it."""
        row = self._rows.get(key)
        if row is None or not self.waits_for_writer:
            return False
        return row.version == FIRST_VERSION

    def _is_newer(self, change: RowChange) -> bool:
        known = self._deferred.get(change.key) or self._rows.get(change.key)
        known = known or self._tombstones.get(change.key)
        return known is None or change.version > known.version

    def _should_merge(self, change: RowChange) -> bool:
        if change.value is None or change.key in self._rows:
            return self._is_newer(change)
        is_known = change.key in self._tombstones or change.key in self._withheld
        return change.version == FIRST_VERSION and not is_known

    def _enter_era(self, page: TablePage) -> list[RowChange]:
        """Return the changes that were written in a new era.

        What the replica keeps gets versions of the new era: the version of the page if
        the store has an older row, so that the row of this replica is the newer one for
        its neighbours.
        """
        copied = self._past.find_copied(page.changes, self._rows)
        for known in self._rows.values():
            self._past.add(known)  # under its version of this era
        accepted = []
        self.kept_count = 0
        self._settled_s = math.inf
        self._withheld.clear()
        tombstones = {
            key: RowChange(key, None, page.version) for key in self._tombstones
        }
        for change in page.changes:
            row = self._rows.get(change.key)
            if row is not None and row.value == change.value:
                self._rows[change.key] = change
            elif change.value is None:
                accepted.append(change)
            elif change.key not in copied or change.version == FIRST_VERSION:
                accepted.append(change)
            else:
                self.kept_count += 1
                self._past.add(change)
                self._withheld[change.key] = RowChange(
                    change.key, change.value, page.version
                )
                value = row.value if row is not None else None
                kept = RowChange(change.key, value, page.version)
                (tombstones if row is None else self._rows)[change.key] = kept
        present = {change.key for change in page.changes}
        for key, row in self._rows.items():
            if key not in present:
                self.kept_count += 1
                self._rows[key] = RowChange(key, row.value, FIRST_VERSION)
                if not self.waits_for_writer:
                    accepted.append(RowChange(key, None, page.version))
            elif key in tombstones:
                del tombstones[key]
        self._tombstones = tombstones
        self._deferred.clear()
        return accepted

    def _apply_change(self, change: RowChange, now_s: float) -> bool:
        self._withheld.pop(change.key, None)
        if change.value is None:
            if change.key not in self._rows:
                self._add_tombstone(change)
                return False
            if now_s < self._defer_until_s:
                self._deferred[change.key] = change
                return False
            self._remove(change)
            return True
        self._deferred.pop(change.key, None)
        self._tombstones.pop(change.key, None)
        self._past.add(self._rows.get(change.key))
        self._rows[change.key] = change
        return True

    def _remove(self, change: RowChange) -> None:
        self._withheld.pop(change.key, None)
        self._past.add(self._rows.pop(change.key, None))
        self._add_tombstone(change)

    def _add_tombstone(self, change: RowChange) -> None:
        self._tombstones.pop(change.key, None)
        self._tombstones[change.key] = change
        while len(self._tombstones) > MAX_TOMBSTONES:
            dropped = self._tombstones.pop(next(iter(self._tombstones)))
            self.history_start = max(self.history_start, dropped.version)

    def rows(self) -> Iterable[RowChange]:
        """Return the current rows."""
        return self._rows.values()

    def get_changes_since(self, position: TablePosition) -> TablePage:
        """Return the changes after a position, including deferred removals.

        The page is complete if the position is of another era, or if this replica does
        not know all changes after it.
        """
        if position.era != self.era or position.version < self.history_start:
            rows = [*self._rows.values(), *self._deferred.values()]
            if position.version >= 0 and position.era != self.era:
                rows += self._tombstones.values()  # the store may have some of them
            return TablePage(self.version, rows, complete=True, era=self.era)
        return self._collect_changes(position.version)

    def get_all_changes(self) -> TablePage:
        """Return all rows and removals, for the merge of a neighbour."""
        return self._collect_changes(NO_VERSION)

    def _collect_changes(self, version: int) -> TablePage:
        changes = [row for row in self._rows.values() if row.version > version]
        changes += [row for row in self._tombstones.values() if row.version > version]
        changes += [row for row in self._deferred.values() if row.version > version]
        changes.sort(key=lambda row: row.version)
        return TablePage(self.version, changes, complete=False, era=self.era)
