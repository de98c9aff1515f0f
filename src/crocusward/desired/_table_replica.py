"""Replica of a platform table whose version never goes back."""

from collections.abc import Iterable

from ._types import RowChange, TablePage

MAX_TOMBSTONES = 2000  # removals kept for neighbours that are behind


class TableReplica:
    """The rows of one table, built from complete pages and pages of changes.

    Pages may come from the store or from a neighbour, late or more than once. A page
    older than the replica is ignored, so that a stale read cannot restore a removed
    row.

    During an outage of the store, entries may expire although their writers are
    alive. ``defer_removals`` keeps such rows until a given time; rows that are still
    missing then are removed.

    Args:
        name: Name of the table.

    Attributes:
        name: Name of the table.
        version: Version of the replica; -1 before the first complete page.
    """

    __slots__ = (
        "name",
        "version",
        "_rows",
        "_tombstones",
        "_deferred",
        "_defer_until_s",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = -1
        self._rows: dict[str, RowChange] = {}
        self._tombstones: dict[str, RowChange] = {}
        self._deferred: dict[str, RowChange] = {}
        self._defer_until_s = -1.0

    def defer_removals(self, until_s: float) -> None:
        """Apply no removal before ``until_s``, in monotonic seconds."""
        self._defer_until_s = max(self._defer_until_s, until_s)

    def deferral_left_s(self, now_s: float) -> float:
        """Return for how long removals are still deferred, in seconds."""
        return max(0.0, self._defer_until_s - now_s)

    def apply(self, page: TablePage, now_s: float) -> list[RowChange]:
        """Apply a page and return the effective changes, in order.

        A page older than the replica is ignored, as are changes before the first
        complete page; the list is then empty.
        """
        if page.version < self.version or (page.version < 0):
            return []
        if self.version < 0 and not page.complete:
            return []
        accepted = [change for change in page.changes if self._is_newer(change)]
        if page.complete:
            present = {change.key for change in page.changes}
            accepted += [
                RowChange(key, None, page.version)
                for key in self._rows
                if key not in present
            ]
        self.version = page.version
        return [change for change in accepted if self._apply_change(change, now_s)]

    def apply_deferred_removals(self, now_s: float) -> list[RowChange]:
        """Apply the deferred removals that are due, and return them."""
        if not self._deferred or now_s < self._defer_until_s:
            return []
        due = list(self._deferred.values())
        self._deferred.clear()
        for change in due:
            self._remove(change)
        return due

    def _is_newer(self, change: RowChange) -> bool:
        known = self._deferred.get(change.key) or self._rows.get(change.key)
        known = known or self._tombstones.get(change.key)
        return known is None or change.version > known.version

    def _apply_change(self, change: RowChange, now_s: float) -> bool:
        if change.value is None:
            if change.key not in self._rows:
                return False
            if now_s < self._defer_until_s:
                self._deferred[change.key] = change
                return False
            self._remove(change)
            return True
        self._deferred.pop(change.key, None)
        self._tombstones.pop(change.key, None)
        self._rows[change.key] = change
        return True

    def _remove(self, change: RowChange) -> None:
        self._rows.pop(change.key, None)
        self._tombstones.pop(change.key, None)
        self._tombstones[change.key] = change
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]

    def rows(self) -> Iterable[RowChange]:
        """Return the current rows."""
        return self._rows.values()

    def get_changes_since(self, version: int) -> TablePage:
        """Return the changes after ``version``, including deferred removals.

        The page is complete if tombstones may have been dropped.
        """
        if version < 0 or len(self._tombstones) >= MAX_TOMBSTONES:
            return TablePage(self.version, list(self._rows.values()), complete=True)
        changes = [row for row in self._rows.values() if row.version > version]
        changes += [row for row in self._tombstones.values() if row.version > version]
        changes += [row for row in self._deferred.values() if row.version > version]
        changes.sort(key=lambda row: row.version)
        return TablePage(self.version, changes, complete=False)
