"""Encoding and validation of HTTP/1.1 requests.

Every name and value is validated to prevent header injection, request splitting and
conflicting body lengths.
"""

import re
from collections.abc import Sequence

from ..errors import NotSentError

INVALID_REQUEST = "invalid_request"
FRAMING_HEADERS = frozenset(
    {b"host", b"content-length", b"transfer-encoding", b"connection", b"expect"}
)
METHODS_WITH_LENGTH = frozenset({"POST", "PUT", "PATCH"})
MAX_CHECKED_NAMES = 512  # bounds the memory of the cache of validated names

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(r"/[!-~]*")
_CONTROL_CHARS = bytes([*range(0x20), 0x7F]).replace(b"\t", b"")

_checked_names: set[bytes] = set()


def encode_head(
    method: str,
    path: str,
    host: bytes,
    headers: Sequence[tuple[bytes, bytes]],
    body_size: int,
) -> bytes:
    """Return the encoded head of a request with a body of some bytes.

    Raises:
        NotSentError: With code ``invalid_request`` if a part would break the framing.
    """
    _check_request_line(method, path)
    parts = [f"{method} {path} HTTP/1.1\r\nhost: ".encode("ascii"), host, b"\r\n"]
    for name, value in headers:
        if name not in _checked_names:
            _check_name(name)
        parts += (name, b": ", value, b"\r\n")
    if body_size or method in METHODS_WITH_LENGTH:
        parts.append(b"content-length: %d\r\n" % body_size)
        line_count = len(headers) + 4  # request line, Host, length, empty line
    else:
        line_count = len(headers) + 3
    parts.append(b"\r\n")
    head = b"".join(parts)
    _check_control_chars(head, line_count)
    return head


def _check_request_line(method: str, path: str) -> None:
    if not _TARGET.fullmatch(path):
        raise NotSentError("the path has a forbidden character", code=INVALID_REQUEST)
    if not method.isalpha() or not method.isascii():
        raise NotSentError("the method is not a valid token", code=INVALID_REQUEST)


def _check_name(name: bytes) -> None:
    if not _TOKEN.fullmatch(name):
        raise NotSentError("a header name is not a valid token", code=INVALID_REQUEST)
    if name.lower() in FRAMING_HEADERS:
        raise NotSentError(
            f"header {name.decode()} is reserved for the HTTP client",
            code=INVALID_REQUEST,
        )
    if len(_checked_names) < MAX_CHECKED_NAMES:
        _checked_names.add(name)


def _check_control_chars(head: bytes, line_count: int) -> None:
    if not has_no_stray_control_chars(head, line_count):
        raise NotSentError(
            "a header value contains a control character", code=INVALID_REQUEST
        )


def has_no_stray_control_chars(head: bytes, line_count: int) -> bool:
    """Return True if a head has no control characters except its line ends.

    Args:
        head: Encoded start line and headers.
        line_count: Number of lines, each ended by one CR and one LF.
    """
    return len(head) - len(head.translate(None, _CONTROL_CHARS)) == 2 * line_count
