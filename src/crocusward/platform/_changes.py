"""Applies changed rows to the directory; encodes and decodes the rows of hosts."""

import cbor2

from ..crashes import DIGEST_BYTES, CrashSummary
from ..desired import Directory, EntryHost, RowChange
from ..errors import FindingsError
from ..logs import Level, log_event
from ._documents import decode_backend, decode_desired_state
from ._fields import parse_ip_address
from ._wire_names import (
    KEY_CRASH_PREFIX,
    KEY_DESIRED_STATE,
    KEY_EVACUATED_PREFIX,
    TABLE_BACKENDS,
    TABLE_OPERATOR,
)

MS_PER_S = 1000.0


def apply_row_change(
    directory: Directory, table: str, change: RowChange, *, is_first: bool = False
) -> None:
    """Apply one changed row to the directory.

    A malformed row is logged. A malformed backend entry also removes the backend
    server; a malformed desired state leaves the one in force.

    Args:
        directory: Directory to update.
        table: Name of the table.
        change: The changed row.
        is_first: Whether the row belongs to the first complete read. Its backend
            servers are not logged one by one; the calling code logs their number.
    """
    if table == TABLE_BACKENDS:
        _apply_backend(directory, change, is_first)
    elif table == TABLE_OPERATOR:
        _apply_operator(directory, change)


def _apply_backend(directory: Directory, change: RowChange, is_first: bool) -> None:
    if change.value is None:
        log_event("backend_removed", backend=change.key, version=change.version)
        directory.set_backend(change.key, None)
        return
    try:
        entry = decode_backend(change.key, change.value)
    except FindingsError as exc:
        log_event(
            "backend_entry_ignored",
            Level.WARNING,
            backend=change.key,
            version=change.version,
            reason=str(exc.findings[0]),
        )
        directory.set_backend(change.key, None)
        return
    if is_first:
        directory.set_backend(entry.id, entry)
        return
    log_event(
        "backend_listed",
        backend=entry.id,
        service=entry.service,
        data_centre=entry.data_centre,
        leaving=entry.leaving,
        cold_left_s=entry.cold_left_s,
        version=change.version,
    )
    directory.set_backend(entry.id, entry)


def _apply_operator(directory: Directory, change: RowChange) -> None:
    if change.key.startswith(KEY_EVACUATED_PREFIX):
        name = change.key[len(KEY_EVACUATED_PREFIX) :]
        directory.set_data_centre_out(name, change.value is not None)
    elif change.key == KEY_DESIRED_STATE and change.value is not None:
        try:
            directory.set_state(decode_desired_state(change.value))
        except FindingsError as exc:
            log_event(
                "desired_state_ignored",
                Level.ERROR,
                version=change.version,
                findings=len(exc.findings),
                reason=str(exc.findings[0]),
            )


def encode_daemon(daemon: EntryHost) -> bytes:
    """Return the value of the row by which a daemon registers its host."""
    return cbor2.dumps([daemon.address, daemon.data_centre])


def crash_row_key(digest: bytes) -> str:
    """Return the key of the row of a request under which servers crashed."""
    return f"{KEY_CRASH_PREFIX}{digest.hex()}"


def encode_crash_row(summary: CrashSummary, unix_ms: float) -> bytes:
    """Return the value of the row of a request under which servers crashed."""
    return cbor2.dumps(
        {
            crash: int(unix_ms - MS_PER_S * age_s)
            for crash, age_s in summary.crash_ages_s.items()
        }
    )


def decode_crash_row(change: RowChange, unix_ms: float) -> CrashSummary | None:
    """Return what a row says of a request, or None if it is another or malformed."""
    if not change.key.startswith(KEY_CRASH_PREFIX):
        return None
    try:
        digest = bytes.fromhex(change.key[len(KEY_CRASH_PREFIX) :])
        if len(digest) != DIGEST_BYTES:
            raise ValueError("the digest has another length")
        ages_s = {}
        for crash, at_ms in cbor2.loads(change.value or b"").items():
            if type(crash) is not bytes or type(at_ms) is not int:
                raise ValueError("not a time of a crash")
            ages_s[crash] = max(0.0, unix_ms - at_ms) / MS_PER_S
    except (
        cbor2.CBORError,
        ValueError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as exc:
        log_event("crash_row_ignored", Level.WARNING, key=change.key, reason=str(exc))
        return None
    return CrashSummary(digest, ages_s)


def decode_daemon(change: RowChange) -> EntryHost | None:
    """Return the host that a daemon registered, or None if the row is malformed."""
    if change.key.startswith(KEY_CRASH_PREFIX):
        return None
    try:
        address, data_centre = cbor2.loads(change.value or b"")
        parse_ip_address(address)
        if not isinstance(data_centre, str) or not data_centre.isprintable():
            raise ValueError("the data centre is not a printable string")
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as exc:
        log_event(
            "daemon_row_ignored",
            Level.WARNING,
            host=change.key,
            reason=f"{type(exc).__name__}: {exc}",
        )
        return None
    return EntryHost(change.key, address, data_centre)
