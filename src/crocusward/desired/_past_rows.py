"""Rows that were replaced or removed lately, to recognise them in a restored table."""

import math
from collections.abc import Iterable, Mapping

from ._types import RowChange

MAX_PAST_ROWS = 4000  # of one table; a restored copy is seconds old


class PastRows:
    """Tells which rows of a restored table are older than those of a replica.

    A row of a restored table was either written before the copy was taken, and is then
    no news, or after the restore. Versions are given out again, so that a row of either
    kind may have a lower version than the row known of its key.
    """

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[tuple[str, int, int], None] = {}  # in order of addition

    def add(self, row: RowChange | None) -> None:
        """Remember a row that is replaced, removed or older than the known one."""
        if row is None:
            return
        self._known[_identify(row)] = None
        while len(self._known) > MAX_PAST_ROWS:
            del self._known[next(iter(self._known))]

    def find_copied(
        self, restored: Iterable[RowChange], rows: Mapping[str, RowChange]
    ) -> set[str]:
        """Return the keys of restored rows that were written before the copy was taken.

        These are the rows that are known with their version and value, now or in the
        past, and those with a lower version than such a row. Versions of rows that the
        copy has lost do not count for that: such a version was given out again.

        Args:
            restored: Rows of the restored table.
            rows: Current rows of the replica.
        """
        restored = list(restored)
        first_lost = min(
            (
                rows[row.key].version
                for row in restored
                if row.key in rows and row.version < rows[row.key].version
            ),
            default=math.inf,
        )
        known = {row.key: row.version for row in restored if self._is_known(row, rows)}
        last_copied = max((v for v in known.values() if v < first_lost), default=-1)
        return {
            row.key
            for row in restored
            if row.key in known or row.version <= last_copied
        }

    def _is_known(self, row: RowChange, rows: Mapping[str, RowChange]) -> bool:
        current = rows.get(row.key)
        return current == row or _identify(row) in self._known


def _identify(row: RowChange) -> tuple[str, int, int]:
    return row.key, row.version, hash(row.value)
