"""Rows that were replaced or removed lately, to recognise them in a restored table."""

from collections.abc import Iterable, Mapping

from ._types import RowChange

MAX_PAST_ROWS = 4000  # of one table; a restored copy is seconds old


class PastRows:
    """Tells which rows of a restored table are older than those of a replica.

    A row of a restored table was either written before the copy was taken, and is then
    no news, or after the restore. Versions are given out again, so that a row of either
    kind may have a lower version than the row known of its key.
    """

    __slots__ = ("_digests",)

    def __init__(self) -> None:
        self._digests: dict[tuple[str, int], int] = {}

    def add(self, row: RowChange | None) -> None:
        """Remember a row that is replaced, removed or older than the known one."""
        if row is None:
            return
        self._digests[(row.key, row.version)] = hash(row.value)
        while len(self._digests) > MAX_PAST_ROWS:
            del self._digests[next(iter(self._digests))]

    def find_copied(
        self, restored: Iterable[RowChange], rows: Mapping[str, RowChange]
    ) -> set[str]:
        """Return the keys of restored rows that were written before the copy was taken.

        These are the rows that are known with their version and value, now or in the
        past, and those with a lower version than such a row: all versions up to there
        are from before the copy.

        Args:
            restored: Rows of the restored table.
            rows: Current rows of the replica.
        """
        restored = list(restored)
        known = [row for row in restored if self._is_known(row, rows)]
        last_copied = max((row.version for row in known), default=-1)
        return {row.key for row in restored if row.version <= last_copied}

    def _is_known(self, row: RowChange, rows: Mapping[str, RowChange]) -> bool:
        current = rows.get(row.key)
        if current is not None and current.version == row.version:
            return current.value == row.value
        return self._digests.get((row.key, row.version)) == hash(row.value)
