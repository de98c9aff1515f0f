"""A copy of one table that only moves forward."""

from collections.abc import Iterable

from ._types import RowChange, TablePage

MAX_TOMBSTONES = 2000  # removals remembered for neighbours that are behind


class TableReplica:
    """The rows of one table, built from complete pages and pages of changes.

    Pages may come from the store or from a neighbour, late or twice. A page that is
    older than the copy changes nothing, so a stale read cannot bring a row back.

    While the store was away, entries may have lapsed although their writers live.
    ``hold_removals`` keeps rows until a given time; a row that is still missing then
    is removed.

    Args:
        name: Name of the table.

    Attributes:
        name: Name of the table.
        version: Version of the copy; -1 before the first complete page.
    """

    __slots__ = ("name", "version", "_rows", "_removed", "_held", "_hold_until_s")

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = -1
        self._rows: dict[str, RowChange] = {}
        self._removed: dict[str, RowChange] = {}
        self._held: dict[str, RowChange] = {}
        self._hold_until_s = -1.0

    def defer_removals(self, until_s: float) -> None:
        """Apply no removal before ``until_s``, in monotonic seconds."""
        self._hold_until_s = max(self._hold_until_s, until_s)

    def deferral_left_s(self, now_s: float) -> float:
        """Return for how long removals are still held back, in seconds."""
        return max(0.0, self._hold_until_s - now_s)

    def apply(self, page: TablePage, now_s: float) -> list[RowChange]:
        """Take over a page and return what changed, in order."""
        if page.version < self.version or (page.version < 0):
            return []
        if self.version < 0 and not page.complete:
            return []
        changed = [item for item in page.changes if self._is_newer(item)]
        if page.complete:
            present = {item.key for item in page.changes}
            changed += [
                RowChange(key, None, page.version)
                for key in self._rows
                if key not in present
            ]
        self.version = page.version
        return [item for item in changed if self._store(item, now_s)]

    def apply_deferred_removals(self, now_s: float) -> list[RowChange]:
        """Return the removals whose time of holding is over."""
        if not self._held or now_s < self._hold_until_s:
            return []
        due = list(self._held.values())
        self._held.clear()
        for item in due:
            self._remove(item)
        return due

    def _is_newer(self, item: RowChange) -> bool:
        known = self._held.get(item.key) or self._rows.get(item.key)
        known = known or self._removed.get(item.key)
        return known is None or item.version > known.version

    def _store(self, item: RowChange, now_s: float) -> bool:
        if item.value is None:
            if item.key not in self._rows:
                return False
            if now_s < self._hold_until_s:
                self._held[item.key] = item
                return False
            self._remove(item)
            return True
        self._held.pop(item.key, None)
        self._removed.pop(item.key, None)
        self._rows[item.key] = item
        return True

    def _remove(self, item: RowChange) -> None:
        self._rows.pop(item.key, None)
        self._removed.pop(item.key, None)
        self._removed[item.key] = item
        while len(self._removed) > MAX_TOMBSTONES:
            del self._removed[next(iter(self._removed))]

    def rows(self) -> Iterable[RowChange]:
        """Return the present rows."""
        return self._rows.values()

    def get_changes_since(self, version: int) -> TablePage:
        """Return what a neighbour at ``version`` lacks, held removals included."""
        if version < 0 or len(self._removed) >= MAX_TOMBSTONES:
            return TablePage(self.version, list(self._rows.values()), complete=True)
        items = [item for item in self._rows.values() if item.version > version]
        items += [item for item in self._removed.values() if item.version > version]
        items += [item for item in self._held.values() if item.version > version]
        items.sort(key=lambda item: item.version)
        return TablePage(self.version, items, complete=False)
