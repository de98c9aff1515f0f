"""Reading of request heads."""

import re
from collections.abc import MutableMapping, Sequence
from typing import Any

from ..errors import Refusal, RefusalCode
from ..model import Record
from ..upstream import HOP_BY_HOP_NAMES, select_end_to_end_headers

MAX_DEPTH = 29
MAX_ID_CHARS = 128  # request ids and idempotency keys, also kept by peers
MAX_NUMBER_DIGITS = 15

METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
CONTRACT = b"crocusward-contract"
CALLER_KEY = b"crocusward-key"
DEADLINE = b"crocusward-deadline-ms"
DEPTH = b"crocusward-depth"
IDEMPOTENCY_KEY = b"idempotency-key"
REQUEST_ID = b"x-request-id"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"

_OWN_NAMES = frozenset(
    {
        CONTRACT,
        CALLER_KEY,
        DEADLINE,
        DEPTH,
        IDEMPOTENCY_KEY,
        REQUEST_ID,
        CONTENT_LENGTH,
        TRANSFER_ENCODING,
    }
)
_DROP_NAMES = HOP_BY_HOP_NAMES | (_OWN_NAMES - {IDEMPOTENCY_KEY})
_TOKEN = re.compile(rb"[!-~]{1,%d}" % MAX_ID_CHARS)
_TARGET = re.compile(rb"[!-~]*")
_ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})")
_UNRESERVED = re.compile(rb"[A-Za-z0-9._~-]")
_ODD_SEGMENT = re.compile(rb"/(?:\.{0,2})(?=/)|/\.{1,2}$")

Scope = MutableMapping[str, Any]


class RequestHead(Record):
    """The parts of a request head that matter here.

    Attributes:
        method: HTTP method.
        service: First segment of the path.
        path: Rest of the path, and the query.
        headers: End-to-end headers for the backend server.
        contract: Contract name.
        caller_key: Key of the callers of the contract, or "".
        key: Idempotency key, or "".
        request_id: Request id, or "" if the caller gave none.
        deadline_ms: Time that the caller waits, in milliseconds, or 0.
        depth: How many calls are above this one.
        body_bytes: Announced body size, or -1 for a chunked body.
    """

    __slots__ = (
        "method",
        "service",
        "path",
        "headers",
        "contract",
        "caller_key",
        "key",
        "request_id",
        "deadline_ms",
        "depth",
        "body_bytes",
    )

    def __init__(self, method: str) -> None:
        self.method = method
        self.service = ""
        self.path = ""
        self.headers: list[tuple[bytes, bytes]] = []
        self.contract = ""
        self.caller_key = ""
        self.key = ""
        self.request_id = ""
        self.deadline_ms = 0
        self.depth = 0
        self.body_bytes = 0

    def read_headers(self, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Take the known headers.

        Raises:
            Refusal: A header is malformed or repeated.
        """
        own: dict[bytes, bytes] = {}
        for name, value in headers:
            if name in _OWN_NAMES:
                if name in own:
                    raise bad_request(f"header {name.decode()} is repeated")
                own[name] = value
        self.headers = select_end_to_end_headers(headers, _DROP_NAMES)
        if own:
            self._read_own(own)

    def _read_own(self, own: dict[bytes, bytes]) -> None:
        # The request id comes first, so that later refusals can name it.
        self.request_id = _read_token(own, REQUEST_ID)
        self.contract = _read_token(own, CONTRACT)
        self.caller_key = _read_token(own, CALLER_KEY)
        self.key = _read_token(own, IDEMPOTENCY_KEY)
        self.deadline_ms = _read_number(own, DEADLINE)
        self.depth = _read_number(own, DEPTH)
        self.body_bytes = _read_number(own, CONTENT_LENGTH)
        if DEADLINE in own and self.deadline_ms == 0:
            raise bad_request("the deadline has no time left")
        if self.depth > MAX_DEPTH:
            raise bad_request(f"the call depth is above {MAX_DEPTH}")
        if TRANSFER_ENCODING in own:
            self._read_transfer_encoding(own)

    def _read_transfer_encoding(self, own: dict[bytes, bytes]) -> None:
        if CONTENT_LENGTH in own:
            raise bad_request("the request has a length and a transfer encoding")
        if own[TRANSFER_ENCODING].lower() != b"chunked":
            raise bad_request("the transfer encoding is not supported")
        self.body_bytes = -1

    def read_target(self, raw_path: bytes, query: bytes) -> None:
        """Take service and path from the request target.

        Raises:
            Refusal: The path has several spellings, which could evade the rules
                that contracts give for path prefixes.
        """
        if b"%" in raw_path:
            raw_path = _ENCODED.sub(_decode_unreserved, raw_path)
        if (b"/." in raw_path or b"//" in raw_path) and _ODD_SEGMENT.search(raw_path):
            raise bad_request("the path has an empty or a dot segment")
        if not _TARGET.fullmatch(raw_path) or not _TARGET.fullmatch(query):
            raise bad_request("the path has a character that must be encoded")
        target = raw_path.decode("ascii")
        _, self.service, rest = _split_target(target)
        self.path = f"{rest}?{query.decode('ascii')}" if query else rest


def read_head(scope: Scope, head: RequestHead) -> None:
    """Fill ``head`` from an ASGI scope.

    Raises:
        Refusal: The head is malformed.
    """
    head.read_headers(scope["headers"])
    if head.method not in METHODS:
        raise bad_request(f"method {head.method} is not supported")
    head.read_target(scope["raw_path"], scope["query_string"])
    if not head.contract:
        raise bad_request("header crocusward-contract is missing")


def bad_request(reason: str) -> Refusal:
    """Return a refusal of a malformed request."""
    return Refusal(RefusalCode.BAD_REQUEST, reason)


def _split_target(target: str) -> tuple[str, str, str]:
    start, service, *rest = target.split("/", 2)
    return start, service, "/" + rest[0] if rest else "/"


def _decode_unreserved(match: re.Match[bytes]) -> bytes:
    char = bytes((int(match[1], 16),))
    return char if _UNRESERVED.fullmatch(char) else match[0]


def _read_token(own: dict[bytes, bytes], name: bytes) -> str:
    value = own.get(name)
    if value is None:
        return ""
    if not _TOKEN.fullmatch(value):
        raise bad_request(f"header {name.decode()} is malformed")
    return value.decode("ascii")


def _read_number(own: dict[bytes, bytes], name: bytes) -> int:
    value = own.get(name)
    if value is None:
        return 0
    if not value.isdigit() or len(value) > MAX_NUMBER_DIGITS:
        raise bad_request(f"header {name.decode()} is not a number")
    return int(value)
