"""Wire formats of protocol version 1, without those about backend servers."""

from typing import Any

from ..model import Call, Reply
from ._codec import (
    MAX_CONTROL_BYTES,
    MAX_FORWARD_BYTES,
    MAX_HELLO_BYTES,
    message_format,
)
from ._faults import LinkFault, PeerProtocolError
from ._fields import FieldReader
from ._messages import (
    PROTOCOL_VERSION,
    ChangeBatch,
    ChangeRequest,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    Hello,
    Hold,
    OfferedRate,
    OutcomeReply,
    OutcomeRequest,
)

NONCE_BYTES = 16
MAC_BYTES = 32
MAX_DIGEST_BYTES = 32
MAX_AGE_MS = 1 << 32
MAX_RATE_PER_S = 1e9
MAX_OFFERED_RATES = 4096
MAX_CHANGES = 4096
MAX_KEY_CHARS = 1024
MAX_PATH_CHARS = 16_384
MAX_REASON_CHARS = 4096
MAX_HEADERS = 512
MAX_HEADER_BYTES = 65_536
MAX_DEADLINE_S = 86_400.0
MAX_CALL_DEPTH = 1 << 16
MAX_STATUS = 999


@message_format(1, Hello, max_bytes=MAX_HELLO_BYTES)
class HelloFormat:
    """Writes and reads ``Hello``; the version is always the first field."""

    @staticmethod
    def write(message: Hello) -> list[Any]:
        """Return the fields."""
        return [
            message.protocol,
            message.host,
            message.region,
            message.data_centre,
            message.incarnation,
            message.nonce,
            message.mac,
        ]

    @staticmethod
    def read(fields: FieldReader) -> Hello:
        """Build the message from its fields."""
        protocol = fields.integer(0)
        if protocol != PROTOCOL_VERSION:
            raise PeerProtocolError(LinkFault.UNKNOWN_VERSION, f"version {protocol}")
        return Hello(
            protocol,
            fields.text(),
            fields.text(),
            fields.text(),
            fields.integer(0),
            fields.blob(NONCE_BYTES, NONCE_BYTES),
            fields.blob(0, MAC_BYTES),
        )


@message_format(2, Heartbeat)
class HeartbeatFormat:
    """Writes and reads ``Heartbeat``."""

    @staticmethod
    def write(message: Heartbeat) -> list[Any]:
        """Return the fields."""
        return [
            message.seq,
            message.echo,
            message.version,
            message.digest,
            message.confirmed_age_ms,
            message.leaving,
            message.holds,
            [[entry.contract, entry.rate] for entry in message.offered_rates],
        ]

    @staticmethod
    def read(fields: FieldReader) -> Heartbeat:
        """Build the message from its fields."""
        return Heartbeat(
            fields.integer(0),
            fields.integer(0),
            fields.integer(0),
            fields.blob(0, MAX_DIGEST_BYTES),
            fields.integer(-1, MAX_AGE_MS),
            leaving=fields.boolean(),
            holds=fields.integer(0),
            offered_rates=tuple(
                _read_offered_rate(item) for item in fields.items(MAX_OFFERED_RATES)
            ),
        )


def _read_offered_rate(item: Any) -> OfferedRate:
    fields = FieldReader(item)
    entry = OfferedRate(fields.text(), fields.number(MAX_RATE_PER_S))
    fields.check_end()
    return entry


@message_format(3, ChangeRequest)
class ChangeRequestFormat:
    """Writes and reads ``ChangeRequest``."""

    @staticmethod
    def write(message: ChangeRequest) -> list[Any]:
        """Return the fields."""
        return [message.above]

    @staticmethod
    def read(fields: FieldReader) -> ChangeRequest:
        """Build the message from its fields."""
        return ChangeRequest(fields.integer(0))


@message_format(4, ChangeBatch)
class ChangeBatchFormat:
    """Writes and reads ``ChangeBatch``."""

    @staticmethod
    def write(message: ChangeBatch) -> list[Any]:
        """Return the fields."""
        return [message.first, list(message.rows)]

    @staticmethod
    def read(fields: FieldReader) -> ChangeBatch:
        """Build the message from its fields."""
        first = fields.integer(0)
        rows = FieldReader(fields.items(MAX_CHANGES))
        return ChangeBatch(first, rows.blobs(MAX_CONTROL_BYTES))


@message_format(5, Hold)
class HoldFormat:
    """Writes and reads ``Hold``."""

    @staticmethod
    def write(message: Hold) -> list[Any]:
        """Return the fields."""
        return [message.id, message.kind, message.name, message.author]

    @staticmethod
    def read(fields: FieldReader) -> Hold:
        """Build the message from its fields."""
        return Hold(fields.text(), fields.text(), fields.text(), fields.text())


@message_format(8, ForwardRequest, max_bytes=MAX_FORWARD_BYTES)
class ForwardRequestFormat:
    """Writes and reads ``ForwardRequest``; the time of receipt is not sent."""

    @staticmethod
    def write(message: ForwardRequest) -> list[Any]:
        """Return the fields."""
        call = message.call
        return [
            message.issued,
            call.request_id,
            call.contract,
            call.service,
            call.method,
            call.path,
            _write_headers(call.headers),
            call.body,
            call.key,
            call.deadline_s,
            call.depth,
        ]

    @staticmethod
    def read(fields: FieldReader) -> ForwardRequest:
        """Build the message from its fields."""
        issued = fields.boolean()
        call = Call(
            fields.text(MAX_KEY_CHARS),
            fields.text(),
            fields.text(),
            fields.text(),
            fields.text(MAX_PATH_CHARS),
            headers=_read_headers(fields),
            body=fields.blob(0, MAX_FORWARD_BYTES),
            key=fields.text(MAX_KEY_CHARS),
            deadline_s=fields.number(MAX_DEADLINE_S),
            depth=fields.integer(0, MAX_CALL_DEPTH),
        )
        return ForwardRequest(call, issued)


@message_format(9, ForwardReply, max_bytes=MAX_FORWARD_BYTES)
class ForwardReplyFormat:
    """Writes and reads ``ForwardReply``."""

    @staticmethod
    def write(message: ForwardReply) -> list[Any]:
        """Return the fields."""
        return [
            None if message.reply is None else _write_reply(message.reply),
            message.code,
            message.reason,
            message.outcome,
            message.attempt,
        ]

    @staticmethod
    def read(fields: FieldReader) -> ForwardReply:
        """Build the message from its fields."""
        nested = fields.optional()
        return ForwardReply(
            None if nested is None else _read_reply(nested),
            fields.text(),
            fields.text(MAX_REASON_CHARS),
            fields.text(),
            fields.text(),
        )


@message_format(10, OutcomeRequest)
class OutcomeRequestFormat:
    """Writes and reads ``OutcomeRequest``."""

    @staticmethod
    def write(message: OutcomeRequest) -> list[Any]:
        """Return the fields."""
        return [message.contract, message.key]

    @staticmethod
    def read(fields: FieldReader) -> OutcomeRequest:
        """Build the message from its fields."""
        return OutcomeRequest(fields.text(), fields.text(MAX_KEY_CHARS))


@message_format(11, OutcomeReply)
class OutcomeReplyFormat:
    """Writes and reads ``OutcomeReply``."""

    @staticmethod
    def write(message: OutcomeReply) -> list[Any]:
        """Return the fields."""
        return [message.state, message.status]

    @staticmethod
    def read(fields: FieldReader) -> OutcomeReply:
        """Build the message from its fields."""
        return OutcomeReply(fields.text(), fields.integer(0, MAX_STATUS))


def _write_headers(headers: list[tuple[bytes, bytes]]) -> list[list[bytes]]:
    return [[name, value] for name, value in headers]


def _read_headers(fields: FieldReader) -> list[tuple[bytes, bytes]]:
    headers = []
    for item in fields.items(MAX_HEADERS):
        pair = FieldReader(item)
        name = pair.blob(0, MAX_HEADER_BYTES)
        value = pair.blob(0, MAX_HEADER_BYTES)
        pair.check_end()
        headers.append((name, value))
    return headers


def _write_reply(reply: Reply) -> list[Any]:
    return [
        reply.request_id,
        reply.status,
        _write_headers(reply.headers),
        reply.body,
        reply.backend,
        reply.replayed,
    ]


def _read_reply(fields: FieldReader) -> Reply:
    reply = Reply(
        fields.text(MAX_KEY_CHARS),
        fields.integer(0, MAX_STATUS),
        _read_headers(fields),
        fields.blob(0, MAX_FORWARD_BYTES),
        fields.text(),
        replayed=fields.boolean(),
    )
    fields.check_end()
    return reply
