"""Encoding of change log rows and snapshots, with the digest chain."""

import zlib
from hashlib import blake2b
from typing import Any

import cbor2

from ..model import FleetConfig, Record
from ._change import Change
from ._draft import ConfigDraft
from ._fields import ArrayReader, load_array, malformed
from ._operations import decode_operation, encode_operation, find_handler
from ._records import (
    decode_contract,
    decode_customer,
    decode_data_centre,
    decode_service,
    encode_contract,
    encode_customer,
    encode_data_centre,
    encode_service,
)

DIGEST_BYTES = 16
ROOT_DIGEST = bytes(DIGEST_BYTES)  # digest of the empty configuration
CHANGE_TAG = b"\x01"
SNAPSHOT_TAG = b"\x02"
MAX_ROW_BYTES = 64 * 1024  # a quarter of the frame limit between hosts
MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024  # limit after decompression


class ChangeRow(Record):
    """A change as stored in the log.

    The row holds the digest of its parent, so ``digest`` chains all changes up to
    this one.

    Attributes:
        change: The change.
        parent: Digest of the previous version.
        data: Encoded row.
        digest: Digest of this version.
    """

    __slots__ = ("change", "parent", "data", "digest")

    def __init__(self, change: Change, parent: bytes, data: bytes) -> None:
        self.change = change
        self.parent = parent
        self.data = data
        self.digest = blake2b(data, digest_size=DIGEST_BYTES).digest()

    @property
    def version(self) -> int:
        """Version that the change created."""
        return self.change.version


class Snapshot(Record):
    """A complete configuration with the digest of its version.

    Attributes:
        config: The configuration.
        digest: Digest of its version.
    """

    __slots__ = ("config", "digest")

    def __init__(self, config: FleetConfig, digest: bytes) -> None:
        self.config = config
        self.digest = digest


def encode_row(change: Change, parent: bytes) -> ChangeRow:
    """Return the row of a change.

    Raises:
        CrocusError: Code ``malformed_document``: the change is too large.
    """
    fields = [
        change.version,
        change.change_id,
        change.base,
        change.author,
        change.at_utc_s,
        [encode_operation(op) for op in change.operations],
    ]
    data = CHANGE_TAG + parent + cbor2.dumps(fields, canonical=True)
    if len(data) > MAX_ROW_BYTES:
        raise malformed(f"the change has more than {MAX_ROW_BYTES} bytes")
    return ChangeRow(change, parent, data)


def decode_row(data: bytes) -> ChangeRow:
    """Decode a row.

    Raises:
        CrocusError: Code ``malformed_document``.
    """
    head = len(CHANGE_TAG) + DIGEST_BYTES
    if not data.startswith(CHANGE_TAG) or not head < len(data) <= MAX_ROW_BYTES:
        raise malformed("a change row has a wrong tag or size")
    fields = ArrayReader(load_array(data[head:], "a change"), "change", 6)
    change = Change(
        fields.integer("version"),
        fields.text("change_id"),
        fields.integer("base"),
        fields.text("author"),
        fields.integer("at_utc_s"),
        tuple(decode_operation(item) for item in fields.array("operations")),
    )
    if change.version < 1:
        raise malformed("change.version must be positive")
    return ChangeRow(change, data[len(CHANGE_TAG) : head], data)


def apply_change(config: FleetConfig, change: Change) -> FleetConfig:
    """Return the configuration after a change."""
    draft = ConfigDraft(config)
    for op in change.operations:
        find_handler(op).apply(draft, op)
    return draft.freeze(change.version)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a compressed snapshot."""
    cfg = snapshot.config
    fields = [
        cfg.version,
        snapshot.digest,
        [encode_contract(cfg.contracts[name]) for name in sorted(cfg.contracts)],
        [encode_customer(cfg.customers[name]) for name in sorted(cfg.customers)],
        [encode_service(cfg.services[name]) for name in sorted(cfg.services)],
        [encode_data_centre(cfg.data_centres[n]) for n in sorted(cfg.data_centres)],
        sorted(cfg.hosts_out),
        list(cfg.released_holds),
    ]
    return SNAPSHOT_TAG + zlib.compress(cbor2.dumps(fields, canonical=True))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        CrocusError: Code ``malformed_document``.
    """
    if not data.startswith(SNAPSHOT_TAG):
        raise malformed("a snapshot has a wrong tag")
    fields = ArrayReader(load_array(_inflate(data[1:]), "a snapshot"), "snapshot", 8)
    version = fields.integer("version")
    digest = fields.data("digest")
    if version < 0 or len(digest) != DIGEST_BYTES:
        raise malformed("a snapshot has a wrong version or digest")
    return Snapshot(_decode_config(version, fields), digest)


def _decode_config(version: int, fields: ArrayReader) -> FleetConfig:
    contracts = [decode_contract(item) for item in fields.array("contracts")]
    customers = [decode_customer(item) for item in fields.array("customers")]
    services = [decode_service(item) for item in fields.array("services")]
    centres = [decode_data_centre(item) for item in fields.array("data_centres")]
    return FleetConfig(
        version,
        contracts=_by_name(contracts),
        customers=_by_name(customers),
        services=_by_name(services),
        data_centres=_by_name(centres),
        hosts_out=frozenset(fields.texts("hosts_out")),
        released_holds=tuple(fields.texts("released_holds")),
    )


def _by_name(items: list[Any]) -> dict[str, Any]:
    named = {item.name: item for item in items}
    if len(named) != len(items):
        raise malformed("a snapshot has a duplicate name")
    return named


def _inflate(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error:
        raise malformed("a snapshot is not compressed as expected") from None
    if not inflater.eof or inflater.unused_data:
        raise malformed("a snapshot is too large or truncated")
    return plain
