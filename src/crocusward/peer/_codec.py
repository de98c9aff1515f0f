"""CBOR codec of the peer protocol.

A frame is the list ``[type, correlation, field, ...]``. The correlation number
matches a reply with its request and is 0 in all other messages.
"""

import io
from collections.abc import Callable
from typing import Any, NoReturn, Protocol, TypeVar

import cbor2

from ..model import Record
from ._faults import LinkFault, PeerProtocolError
from ._fields import MAX_UINT64, FieldReader
from ._messages import Message

MAX_CONTROL_BYTES = 256 << 10
MAX_FORWARD_BYTES = 2 << 20
MAX_HELLO_BYTES = 4096
MAX_NESTING_DEPTH = 8

# Tags that the CBOR library decodes to other types. All are rejected: no message
# uses any, and some are costly to decode.
_LIBRARY_TAGS = (
    *range(0, 6),
    25,
    *range(28, 31),
    *range(35, 38),
    52,
    54,
    100,
    256,
    258,
    260,
    261,
    1004,
    43000,
    55799,
)

M = TypeVar("M", bound=Message)
C = TypeVar("C", bound="type[MessageFormat]")


class MessageFormat(Protocol):
    """Serialization of one message type."""

    @staticmethod
    def write(message: Any) -> list[Any]:
        """Return the fields."""

    @staticmethod
    def read(fields: FieldReader) -> Message:
        """Build the message from its fields."""


class Frame(Record):
    """A decoded frame.

    Attributes:
        message: The message.
        correlation: Number that matches a reply to its request, or 0.
    """

    __slots__ = ("message", "correlation")

    def __init__(self, message: Message, correlation: int) -> None:
        self.message = message
        self.correlation = correlation


class _MessageType(Record):
    """A registered message type."""

    __slots__ = ("number", "format", "max_bytes")

    def __init__(
        self, number: int, format: type[MessageFormat], max_bytes: int
    ) -> None:
        self.number = number
        self.format = format
        self.max_bytes = max_bytes


_TYPE_BY_NUMBER: dict[int, _MessageType] = {}
_TYPE_BY_CLASS: dict[type[Message], _MessageType] = {}


def message_format(
    number: int, message: type[Message], *, max_bytes: int = MAX_CONTROL_BYTES
) -> Callable[[C], C]:
    """Return a decorator that registers the format of a message type.

    Args:
        number: Type number on the wire; never reused.
        message: Class of the message.
        max_bytes: Largest frame of this type.
    """

    def register(format: C) -> C:
        if number in _TYPE_BY_NUMBER or message in _TYPE_BY_CLASS:
            raise ValueError(f"message type {number} is registered twice")
        message_type = _MessageType(number, format, max_bytes)
        _TYPE_BY_NUMBER[number] = message_type
        _TYPE_BY_CLASS[message] = message_type
        return format

    return register


def encode(message: Message, correlation: int = 0) -> bytes:
    """Encode a message as a frame.

    Raises:
        PeerProtocolError: The message cannot be encoded, or is too large.
    """
    message_type = _TYPE_BY_CLASS[type(message)]
    fields = [message_type.number, correlation, *message_type.format.write(message)]
    try:
        data = cbor2.dumps(fields, canonical=True)
    except (cbor2.CBOREncodeError, ValueError, TypeError) as exc:
        raise PeerProtocolError(LinkFault.BAD_FIELD, str(exc)) from exc
    _check_size(message_type, len(data))
    return data


def decode(data: bytes) -> Frame:
    """Decode a frame.

    Raises:
        PeerProtocolError: The data is not a valid frame.
    """
    fields = FieldReader(_decode_cbor(data))
    number = fields.integer(0)
    message_type = _TYPE_BY_NUMBER.get(number)
    if message_type is None:
        raise PeerProtocolError(LinkFault.UNKNOWN_TYPE, f"message type {number}")
    _check_size(message_type, len(data))
    correlation = fields.integer(0, MAX_UINT64)
    message = message_type.format.read(fields)
    fields.check_end()
    return Frame(message, correlation)


def _check_size(message_type: _MessageType, size: int) -> None:
    if size > message_type.max_bytes:
        reason = f"{size} bytes in a message of type {message_type.number}"
        raise PeerProtocolError(LinkFault.TOO_LARGE, reason)


def _reject_tag(*_args: Any) -> NoReturn:
    raise cbor2.CBORDecodeError("CBOR tags are not allowed")


_TAG_DECODERS = {tag: _reject_tag for tag in _LIBRARY_TAGS}


def _decode_cbor(data: bytes) -> Any:
    stream = io.BytesIO(data)
    try:
        document = cbor2.CBORDecoder(
            stream,
            tag_hook=_reject_tag,
            semantic_decoders=_TAG_DECODERS,
            max_depth=MAX_NESTING_DEPTH,
            allow_indefinite=False,
        ).decode()
    except (cbor2.CBORError, ValueError, TypeError, OverflowError) as exc:
        raise PeerProtocolError(LinkFault.MALFORMED, str(exc)) from exc
    except (RecursionError, MemoryError) as exc:
        raise PeerProtocolError(
            LinkFault.MALFORMED, "nested too deeply or too large to decode"
        ) from exc
    if stream.tell() != len(data):
        raise PeerProtocolError(LinkFault.MALFORMED, "trailing data after the message")
    return document
