"""Encoding and validation of HTTP/1.1 requests.

Every name and value is checked, so that no caller can add a header, a second
request or another body length.
"""

import re
from collections.abc import Sequence

from ..errors import NotSentError

INVALID_REQUEST = "invalid_request"
FRAMING_NAMES = frozenset(
    {b"host", b"content-length", b"transfer-encoding", b"connection", b"expect"}
)
METHODS_WITH_LENGTH = frozenset({"POST", "PUT", "PATCH"})
MAX_KNOWN_NAMES = 512  # bounds the memory of names that were already checked

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(r"/[!-~]*")
_CONTROLS = bytes([*range(0x20), 0x7F]).replace(b"\t", b"")

_known_names: set[bytes] = set()


def encode_request(
    method: str,
    path: str,
    host: bytes,
    headers: Sequence[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Return the bytes of one request.

    Raises:
        NotSentError: Code ``invalid_request``: a part would break the framing.
    """
    _check_start(method, path)
    parts = [f"{method} {path} HTTP/1.1\r\nhost: ".encode("ascii"), host, b"\r\n"]
    for name, value in headers:
        if name not in _known_names:
            _check_name(name)
        parts += (name, b": ", value, b"\r\n")
    if body or method in METHODS_WITH_LENGTH:
        parts.append(b"content-length: %d\r\n" % len(body))
        lines = len(headers) + 4
    else:
        lines = len(headers) + 3
    parts.append(b"\r\n")
    head = b"".join(parts)
    _check_head(head, lines)
    return head + body if body else head


def _check_start(method: str, path: str) -> None:
    if not _TARGET.fullmatch(path):
        raise NotSentError("the path has a forbidden character", code=INVALID_REQUEST)
    if not method.isalpha() or not method.isascii():
        raise NotSentError("the method is not a token", code=INVALID_REQUEST)


def _check_name(name: bytes) -> None:
    if not _TOKEN.fullmatch(name):
        raise NotSentError("a header name is not a token", code=INVALID_REQUEST)
    if name.lower() in FRAMING_NAMES:
        raise NotSentError(
            f"header {name.decode()} is set by the connection", code=INVALID_REQUEST
        )
    if len(_known_names) < MAX_KNOWN_NAMES:
        _known_names.add(name)


def _check_head(head: bytes, lines: int) -> None:
    if not has_no_stray_control_chars(head, lines):
        raise NotSentError(
            "a header value has a control character", code=INVALID_REQUEST
        )


def has_no_stray_control_chars(head: bytes, lines: int) -> bool:
    """Return True if a head has no control characters but its own line ends.

    Args:
        head: An encoded head.
        lines: Number of its lines, each of which added one CR and one LF.
    """
    return len(head) - len(head.translate(None, _CONTROLS)) == 2 * lines
