"""Writes changes again that the change log has lost, from the copy of this host."""

from collections import Counter

from ..errors import CrocusError
from ..logs import Level, log_event
from ._log import ChangeLog
from ._replica import Replica


class LogRepair:
    """Compares the change log with the copy of this host, and completes the log.

    A store that came back from an older copy lacks changes that are in force.

    Args:
        log: The change log.
        replica: This host's copy.
        counts: Counts the repairs, for metrics.
    """

    __slots__ = ("_log", "_replica", "_counts")

    def __init__(self, log: ChangeLog, replica: Replica, counts: Counter[str]) -> None:
        self._log = log
        self._replica = replica
        self._counts = counts

    async def fetch_from_version(self) -> list[bytes]:
        """Return the rows of the log from the version in force on.

        The row of that version shows whether the store has come back from an older
        copy. What it has lost is then written again.

        Raises:
            ConflictError: The log has another change of a lost version since.
            StoreUnavailableError: The store cannot be read or written.
        """
        version = self._replica.version
        try:
            rows = await self._log.fetch_above(max(0, version - 1))
        except CrocusError as exc:
            if exc.code != "log_gap":
                raise
            rows = []
        if rows or not version:
            return rows
        await self.write_lost_changes()
        return await self._log.fetch_above(version)

    async def write_lost_changes(self) -> None:
        """Write the changes that the log has lost, or a snapshot in their place.

        Raises:
            ConflictError: The log has another change of a version since.
            StoreUnavailableError: Some may not have been written.
        """
        recent = self._replica.recent_rows()
        lost = await self._log.find_lost(recent)
        if recent and not lost:
            return
        self._counts["log_restores"] += 1
        log_event(
            "change_log_restored",
            Level.WARNING,
            version=self._replica.version,
            lost=len(lost),
        )
        if len(lost) == len(recent):
            # Earlier rows may be lost too, and are not in memory.
            await self._log.save_snapshot(self._replica.snapshot())
        for row in lost:
            await self._log.append(row)
