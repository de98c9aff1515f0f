"""The change log in the table service and snapshots in the object store."""

from collections.abc import Sequence

import cbor2

from ..errors import (
    ConflictError,
    CrocusError,
    StoreUnavailableError,
    StoreUncertainError,
)
from ..model import Record
from ..platform import ABSENT_REVISION, ObjectStore, Row, TableService, Write
from ..timing import TimerService
from ._replica import Replica
from ._row import ChangeRow, Snapshot, decode_row, decode_snapshot, encode_snapshot

CHANGE_PREFIX = "change/"
CHANGE_ID_PREFIX = "changeid/"
SNAPSHOT_PREFIX = "config/snapshot/"
VERSION_DIGITS = 12
SNAPSHOT_INTERVAL_CHANGES = 200
MAX_FETCH_ROWS = 200  # per scan
APPEND_TIMEOUT_S = 4.0  # an operator waits for it; a change may be retried safely
APPEND_RETRY_DELAY_S = 0.2


class AppendResult(Record):
    """Result of an append.

    Attributes:
        row: The committed row.
        repeated: True if an earlier attempt with its change id committed it.
    """

    __slots__ = ("row", "repeated")

    def __init__(self, row: ChangeRow, *, repeated: bool) -> None:
        self.row = row
        self.repeated = repeated


def change_key(version: int) -> str:
    """Return the key of a change row."""
    return f"{CHANGE_PREFIX}{version:0{VERSION_DIGITS}d}"


def snapshot_name(version: int) -> str:
    """Return the name of a snapshot."""
    return f"{SNAPSHOT_PREFIX}{version:0{VERSION_DIGITS}d}"


class ChangeLog:
    """Reads the change log and appends to it.

    Args:
        table: The table service.
        objects: The object store.
        timer: Time source.
    """

    __slots__ = ("_table", "_objects", "_timer")

    def __init__(
        self, table: TableService, objects: ObjectStore, timer: TimerService
    ) -> None:
        self._table = table
        self._objects = objects
        self._timer = timer

    async def fetch_above(
        self, version: int, limit: int = MAX_FETCH_ROWS
    ) -> list[bytes]:
        """Return the encoded rows above a version, in order without gaps.

        Raises:
            StoreUnavailableError: The store cannot be read.
            CrocusError: Code ``log_gap``: a version is missing.
        """
        rows = await self._table.scan(CHANGE_PREFIX, change_key(version), limit)
        _check_gapless(version, rows)
        return [row.value for row in rows]

    async def find_lost(self, rows: Sequence[ChangeRow]) -> list[ChangeRow]:
        """Return the rows that the log does not have, in order.

        Args:
            rows: Rows that were in the log, in order without gaps.

        Raises:
            StoreUnavailableError: The store cannot be read.
        """
        if not rows:
            return []
        present = set()
        after = change_key(rows[0].version - 1)
        while found := await self._table.scan(CHANGE_PREFIX, after, MAX_FETCH_ROWS):
            present |= {row.key for row in found}
            after = found[-1].key
        return [row for row in rows if change_key(row.version) not in present]

    async def head(self, above: int = 0) -> int:
        """Return the last version of the log, scanning from a known version."""
        version = above
        while rows := await self.fetch_above(version):
            version += len(rows)
        return version

    async def find_change_id(self, change_id: str) -> ChangeRow | None:
        """Return the row that committed a change id, or None.

        Raises:
            StoreUnavailableError: The store cannot be read.
        """
        row = await self._table.read(CHANGE_ID_PREFIX + change_id)
        if row is None:
            return None
        found = await self._table.read(change_key(_decode_version(row.value)))
        if found is None:
            raise CrocusError("a change id refers to a missing change", code="log_gap")
        return decode_row(found.value)

    async def append(self, row: ChangeRow) -> AppendResult:
        """Commit a row at its version.

        A lost response is resolved by retrying the same conditional writes, which
        are idempotent, and by reading the rows back.

        Raises:
            ConflictError: Another change has this version; nothing was committed.
            StoreUnavailableError: Nothing was committed.
            StoreUncertainError: The outcome could not be determined in time.
        """
        deadline_s = self._timer.now() + APPEND_TIMEOUT_S
        uncertain = False
        while True:
            try:
                await self._table.transact(_make_writes(row))
                return AppendResult(row, repeated=False)
            except ConflictError:
                return await self._resolve_conflict(row, uncertain)
            except StoreUncertainError:
                uncertain = True
            except StoreUnavailableError:
                if not uncertain:
                    raise
            if self._timer.now() >= deadline_s:
                raise StoreUncertainError("the outcome of the commit is unknown")
            await self._timer.sleep(APPEND_RETRY_DELAY_S)

    async def _resolve_conflict(self, row: ChangeRow, uncertain: bool) -> AppendResult:
        """Determine whether the row, or an earlier attempt, was committed."""
        try:
            found = await self.find_change_id(row.change.change_id)
        except StoreUnavailableError as exc:
            raise StoreUncertainError(str(exc)) from exc
        if found is None:
            raise ConflictError(f"version {row.version} holds another change")
        is_own = uncertain and found.data == row.data
        return AppendResult(found, repeated=not is_own)

    async def load(self, replica: Replica) -> None:
        """Load an empty replica from the last snapshot and the log.

        Raises:
            StoreUnavailableError: The store cannot be read; what was read is kept.
        """
        snapshot = await self._last_snapshot()
        if snapshot is not None:
            replica.install_snapshot(snapshot)
        while rows := await self.fetch_above(replica.version):
            replica.receive_rows(rows)

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot; every host writes the same bytes for a version."""
        name = snapshot_name(snapshot.config.version)
        await self._objects.put(name, encode_snapshot(snapshot))

    async def _last_snapshot(self) -> Snapshot | None:
        """Return the latest snapshot that can be read, or None.

        Without a readable snapshot, loading only takes longer.
        """
        try:
            for name in reversed(await self._objects.list(SNAPSHOT_PREFIX)):
                snapshot = _try_decode(await self._objects.get(name))
                if snapshot is not None:
                    return snapshot
        except StoreUnavailableError:
            return None
        return None


def _make_writes(row: ChangeRow) -> list[Write]:
    id_key = CHANGE_ID_PREFIX + row.change.change_id
    return [
        Write(change_key(row.version), row.data, ABSENT_REVISION),
        Write(id_key, cbor2.dumps(row.version), ABSENT_REVISION),
    ]


def _check_gapless(version: int, rows: Sequence[Row]) -> None:
    for offset, row in enumerate(rows, 1):
        if row.key != change_key(version + offset):
            raise CrocusError(f"change {version + offset} is missing", code="log_gap")


def _decode_version(value: bytes) -> int:
    version = cbor2.loads(value)
    if type(version) is not int or version < 1:
        raise CrocusError("a change id row is malformed", code="malformed_document")
    return version


def _try_decode(data: bytes | None) -> Snapshot | None:
    if data is None:
        return None
    try:
        return decode_snapshot(data)
    except CrocusError:
        return None
