"""The in-memory replica of the configuration on a host."""

from collections import deque
from collections.abc import Callable, Sequence

from ..errors import CrocusError
from ..invariants import InvariantName, Invariants
from ..model import FleetConfig
from ..peer import ChangeBatch
from ..timing import Subscription
from ._change import Change
from ._row import (
    ROOT_DIGEST,
    SNAPSHOT_TAG,
    ChangeRow,
    Snapshot,
    apply_change,
    decode_row,
    decode_snapshot,
    encode_snapshot,
)

MAX_RECENT_ROWS = 512  # about 2.5 snapshot intervals; 0.2 MB at 300 bytes a row
MAX_ROWS_PER_MESSAGE = 200
MAX_MESSAGE_BYTES = 192 * 1024  # below the frame limit of 256 KiB
MAX_PENDING_ROWS = 256
DIGEST_PREFIX_BYTES = 8

Listener = Callable[[FleetConfig, FleetConfig], object]


class Replica:
    """Applies changes strictly in order; the version never decreases.

    Args:
        invariants: Counts violations.
        on_error: Called with errors of listeners, for logging.
        faults: Names of injected faults: ``revert-config``.

    Attributes:
        config: The version in force on this host.
        digest: Digest of that version.
        forks: Number of received rows and digests that contradict this copy.
    """

    __slots__ = (
        "config",
        "digest",
        "forks",
        "_invariants",
        "_on_error",
        "_faults",
        "_highest",
        "_rows",
        "_pending",
        "_listeners",
    )

    def __init__(
        self,
        invariants: Invariants,
        *,
        on_error: Callable[[Exception], object] | None = None,
        faults: frozenset[str] = frozenset(),
    ) -> None:
        self.config = FleetConfig()
        self.digest = ROOT_DIGEST
        self.forks = 0
        self._invariants = invariants
        self._on_error = on_error
        self._faults = faults
        self._highest = 0
        self._rows: deque[ChangeRow] = deque(maxlen=MAX_RECENT_ROWS)
        self._pending: dict[int, ChangeRow] = {}
        self._listeners: dict[Subscription, Listener] = {}

    @property
    def version(self) -> int:
        """Version in force on this host."""
        return self.config.version

    @property
    def digest_prefix(self) -> bytes:
        """First bytes of the digest, for heartbeats."""
        return self.digest[:DIGEST_PREFIX_BYTES]

    def subscribe(self, listener: Listener) -> Subscription:
        """Call ``listener(old, new)`` for each new version."""
        sub = Subscription()
        self._listeners[sub] = listener
        return sub

    def receive_rows(self, rows: Sequence[bytes]) -> int:
        """Process encoded rows or a snapshot from the store or a peer.

        Known rows are ignored; rows ahead of the next version wait in a bounded buffer.

        Returns:
            The number of versions by which this copy advanced.

        Raises:
            CrocusError: Code ``malformed_document``, or ``config_fork``: a row
                contradicts this copy. Rows before it stay applied.
        """
        before = self.version
        for data in rows:
            if data.startswith(SNAPSHOT_TAG):
                self.install_snapshot(decode_snapshot(data))
            else:
                self.receive_row(decode_row(data))
        return self.version - before

    def receive_row(self, row: ChangeRow) -> None:
        """Process one row; see ``receive_rows``."""
        if row.version <= self.version:
            self._check_known(row)
            if "revert-config" in self._faults:
                self._advance(apply_change(self.config, row.change), row.digest)
            return
        if row.version > self.version + 1:
            if len(self._pending) < MAX_PENDING_ROWS:
                self._pending[row.version] = row
            return
        self._apply(row)
        self._apply_pending()

    def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Install a snapshot; return False if its version is not later."""
        if snapshot.config.version <= self.version:
            return False
        self._rows.clear()
        self._advance(snapshot.config, snapshot.digest)
        self._pending = {n: r for n, r in self._pending.items() if n > self.version}
        self._apply_pending()
        return True

    def snapshot(self) -> Snapshot:
        """Return the version in force as a snapshot."""
        return Snapshot(self.config, self.digest)

    def recent_row(self, version: int) -> ChangeRow | None:
        """Return a recent row, or None if it was evicted."""
        if not self._rows:
            return None
        index = version - self._rows[0].version
        return self._rows[index] if 0 <= index < len(self._rows) else None

    def recent_rows(self) -> list[ChangeRow]:
        """Return the recent rows, in order without gaps."""
        return list(self._rows)

    def recent_changes(self, above: int, limit: int) -> list[Change]:
        """Return recent changes above a version, in order."""
        last = min(above + limit, self.version)
        rows = [self.recent_row(number) for number in range(above + 1, last + 1)]
        return [row.change for row in rows if row is not None]

    def find_change_id(self, change_id: str) -> ChangeRow | None:
        """Return the recent row with a change id, or None."""
        for row in reversed(self._rows):
            if row.change.change_id == change_id:
                return row
        return None

    def changes_above(self, version: int) -> ChangeBatch | None:
        """Return rows above a version, or a snapshot if they were evicted.

        Returns:
            None if there is nothing above the version.
        """
        if version >= self.version:
            return None
        if self.recent_row(version + 1) is None:
            return ChangeBatch(self.version, (encode_snapshot(self.snapshot()),))
        rows: list[bytes] = []
        size = 0
        for number in range(version + 1, self.version + 1):
            row = self.recent_row(number)
            assert row is not None
            size += len(row.data)
            if size > MAX_MESSAGE_BYTES or len(rows) >= MAX_ROWS_PER_MESSAGE:
                break
            rows.append(row.data)
        return ChangeBatch(version + 1, tuple(rows))

    def contradicts(self, version: int, digest_prefix: bytes) -> bool:
        """Return True if a peer's digest of a known version differs."""
        known = self._digest_at(version)
        if known is None or known.startswith(digest_prefix):
            return False
        self.forks += 1
        return True

    def _digest_at(self, version: int) -> bytes | None:
        if version == self.version:
            return self.digest
        if version == 0:
            return ROOT_DIGEST
        row = self.recent_row(version)
        return row.digest if row else None

    def _check_known(self, row: ChangeRow) -> None:
        known = self._digest_at(row.version)
        if known is not None and known != row.digest:
            raise self._make_fork_error(row.version)

    def _apply_pending(self) -> None:
        while (row := self._pending.pop(self.version + 1, None)) is not None:
            self._apply(row)

    def _apply(self, row: ChangeRow) -> None:
        if row.parent != self.digest:
            raise self._make_fork_error(row.version)
        self._rows.append(row)
        self._advance(apply_change(self.config, row.change), row.digest)

    def _make_fork_error(self, version: int) -> CrocusError:
        self.forks += 1
        return CrocusError(
            f"change {version} does not continue the digest chain of this host",
            code="config_fork",
        )

    def _advance(self, config: FleetConfig, digest: bytes) -> None:
        is_monotonic = self._invariants.check(
            InvariantName.CONFIG_MONOTONIC,
            config.version > self._highest,
            f"version {config.version} after {self._highest}",
        )
        if not is_monotonic and "revert-config" not in self._faults:
            return
        old = self.config
        self._highest = max(self._highest, config.version)
        self.config = config
        self.digest = digest
        self._notify_listeners(old, config)

    def _notify_listeners(self, old: FleetConfig, new: FleetConfig) -> None:
        for sub, listener in list(self._listeners.items()):
            if sub.cancelled:
                del self._listeners[sub]
                continue
            try:
                listener(old, new)
            except Exception as exc:  # one failing listener must not stop the others
                if self._on_error is not None:
                    self._on_error(exc)
