"""Applies changed rows to the directory; encodes and decodes the rows of hosts."""

import cbor2

from ..desired import Directory, EntryHost, RowChange
from ..errors import FindingsError
from ..logs import Level, log_event
from ._documents import decode_backend, decode_desired_state
from ._fields import parse_ip_address
from ._wire_names import (
    KEY_DESIRED_STATE,
    KEY_EVACUATED_PREFIX,
    TABLE_BACKENDS,
    TABLE_OPERATOR,
)


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


def decode_daemon(change: RowChange) -> EntryHost | None:
    """Return the host that a daemon registered, or None if the row is malformed."""
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
