"""Formats of all messages of version 1."""

from typing import Any

from ..model import Call, Reply
from ._codec import (
    MAX_CONTROL_BYTES,
    MAX_FORWARD_BYTES,
    MAX_HELLO_BYTES,
    message_format,
)
from ._faults import LinkFault, PeerProtocolError
from ._fields import Fields
from ._messages import (
    PROTOCOL_VERSION,
    BackendCold,
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
    SlowStartAllowance,
    SlowStartPermit,
    SlowStartPermitRequest,
    SlowStartReport,
)

NONCE_BYTES = 16
MAC_BYTES = 32
MAX_DIGEST_BYTES = 32
MAX_AGE_MS = 1 << 32
MAX_RATE = 1e9  # requests per second
MAX_DEMAND = 4096
MAX_CHANGES = 4096
MAX_WARMTH = 4096
MAX_KEY = 1024  # characters
MAX_PATH = 16_384  # characters
MAX_REASON = 4096  # characters
MAX_HEADERS = 512
MAX_HEADER_BYTES = 65_536
MAX_TIME_LEFT_S = 86_400.0
MAX_DEPTH_OF_CALLS = 1 << 16
MAX_STATUS = 999
MAX_ALLOWANCE = 1 << 20


@message_format(1, Hello, limit_bytes=MAX_HELLO_BYTES)
class HelloFormat:
    """Writes and reads ``Hello``; the version comes first in every version."""

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
    def read(fields: Fields) -> Hello:
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
    def read(fields: Fields) -> Heartbeat:
        """Build the message from its fields."""
        return Heartbeat(
            fields.integer(0),
            fields.integer(0),
            fields.integer(0),
            fields.blob(0, MAX_DIGEST_BYTES),
            fields.integer(-1, MAX_AGE_MS),
            leaving=fields.flag(),
            holds=fields.integer(0),
            offered_rates=tuple(
                _read_demand(item) for item in fields.items(MAX_DEMAND)
            ),
        )


def _read_demand(item: Any) -> OfferedRate:
    fields = Fields(item)
    entry = OfferedRate(fields.text(), fields.number(MAX_RATE))
    fields.end()
    return entry


@message_format(3, ChangeRequest)
class ChangeRequestFormat:
    """Writes and reads ``ChangeRequest``."""

    @staticmethod
    def write(message: ChangeRequest) -> list[Any]:
        """Return the fields."""
        return [message.above]

    @staticmethod
    def read(fields: Fields) -> ChangeRequest:
        """Build the message from its fields."""
        return ChangeRequest(fields.integer(0))


@message_format(4, ChangeBatch)
class ChangesFormat:
    """Writes and reads ``Changes``."""

    @staticmethod
    def write(message: ChangeBatch) -> list[Any]:
        """Return the fields."""
        return [message.first, list(message.rows)]

    @staticmethod
    def read(fields: Fields) -> ChangeBatch:
        """Build the message from its fields."""
        first = fields.integer(0)
        rows = Fields(fields.items(MAX_CHANGES))
        return ChangeBatch(first, rows.blobs(MAX_CONTROL_BYTES))


@message_format(5, Hold)
class HoldFormat:
    """Writes and reads ``Hold``."""

    @staticmethod
    def write(message: Hold) -> list[Any]:
        """Return the fields."""
        return [message.id, message.kind, message.name, message.author]

    @staticmethod
    def read(fields: Fields) -> Hold:
        """Build the message from its fields."""
        return Hold(fields.text(), fields.text(), fields.text(), fields.text())


@message_format(6, BackendCold)
class BackendColdFormat:
    """Writes and reads ``BackendCold``."""

    @staticmethod
    def write(message: BackendCold) -> list[Any]:
        """Return the fields."""
        return [message.backend, message.boot]

    @staticmethod
    def read(fields: Fields) -> BackendCold:
        """Build the message from its fields."""
        return BackendCold(fields.text(), fields.text())


@message_format(7, SlowStartReport)
class WarmthReportFormat:
    """Writes and reads ``WarmthReport``."""

    @staticmethod
    def write(message: SlowStartReport) -> list[Any]:
        """Return the fields."""
        return [[[e.backend, e.boot, e.allowance] for e in message.entries]]

    @staticmethod
    def read(fields: Fields) -> SlowStartReport:
        """Build the message from its fields."""
        items = fields.items(MAX_WARMTH)
        return SlowStartReport(tuple(_read_warmth(item) for item in items))


def _read_warmth(item: Any) -> SlowStartAllowance:
    fields = Fields(item)
    entry = SlowStartAllowance(
        fields.text(), fields.text(), fields.integer(0, MAX_ALLOWANCE)
    )
    fields.end()
    return entry


@message_format(8, ForwardRequest, limit_bytes=MAX_FORWARD_BYTES)
class ForwardRequestFormat:
    """Writes and reads ``ForwardRequest``; the time of receipt stays local."""

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
    def read(fields: Fields) -> ForwardRequest:
        """Build the message from its fields."""
        issued = fields.flag()
        call = Call(
            fields.text(MAX_KEY),
            fields.text(),
            fields.text(),
            fields.text(),
            fields.text(MAX_PATH),
            headers=_read_headers(fields),
            body=fields.blob(0, MAX_FORWARD_BYTES),
            key=fields.text(MAX_KEY),
            deadline_s=fields.number(MAX_TIME_LEFT_S),
            depth=fields.integer(0, MAX_DEPTH_OF_CALLS),
        )
        return ForwardRequest(call, issued)


@message_format(9, ForwardReply, limit_bytes=MAX_FORWARD_BYTES)
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
    def read(fields: Fields) -> ForwardReply:
        """Build the message from its fields."""
        nested = fields.optional()
        return ForwardReply(
            None if nested is None else _read_reply(nested),
            fields.text(),
            fields.text(MAX_REASON),
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
    def read(fields: Fields) -> OutcomeRequest:
        """Build the message from its fields."""
        return OutcomeRequest(fields.text(), fields.text(MAX_KEY))


@message_format(11, OutcomeReply)
class OutcomeReplyFormat:
    """Writes and reads ``OutcomeReply``."""

    @staticmethod
    def write(message: OutcomeReply) -> list[Any]:
        """Return the fields."""
        return [message.state, message.status]

    @staticmethod
    def read(fields: Fields) -> OutcomeReply:
        """Build the message from its fields."""
        return OutcomeReply(fields.text(), fields.integer(0, MAX_STATUS))


def _write_headers(headers: list[tuple[bytes, bytes]]) -> list[list[bytes]]:
    return [[name, value] for name, value in headers]


def _read_headers(fields: Fields) -> list[tuple[bytes, bytes]]:
    headers = []
    for item in fields.items(MAX_HEADERS):
        pair = Fields(item)
        name = pair.blob(0, MAX_HEADER_BYTES)
        value = pair.blob(0, MAX_HEADER_BYTES)
        pair.end()
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


def _read_reply(fields: Fields) -> Reply:
    reply = Reply(
        fields.text(MAX_KEY),
        fields.integer(0, MAX_STATUS),
        _read_headers(fields),
        fields.blob(0, MAX_FORWARD_BYTES),
        fields.text(),
        replayed=fields.flag(),
    )
    fields.end()
    return reply


@message_format(12, SlowStartPermitRequest)
class WarmthClaimFormat:
    """Writes and reads ``WarmthClaim``."""

    @staticmethod
    def write(message: SlowStartPermitRequest) -> list[Any]:
        """Return the fields."""
        return [message.backend, message.asked_ms]

    @staticmethod
    def read(fields: Fields) -> SlowStartPermitRequest:
        """Build the message from its fields."""
        return SlowStartPermitRequest(fields.text(), fields.integer(0))


@message_format(13, SlowStartPermit)
class WarmthGrantFormat:
    """Writes and reads ``WarmthGrant``."""

    @staticmethod
    def write(message: SlowStartPermit) -> list[Any]:
        """Return the fields."""
        return [message.backend, message.host, message.asked_ms]

    @staticmethod
    def read(fields: Fields) -> SlowStartPermit:
        """Build the message from its fields."""
        return SlowStartPermit(fields.text(), fields.text(), fields.integer(0))
