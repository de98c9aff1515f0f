"""Requests of one connection that are being read or answered."""

import asyncio

from ..platform import DEADLINE_MS_HEADER, REQUEST_ID_HEADER
from ..upstream import parse_digits
from ._messages import CallerAnswer, CallerRequest, Headers

MS_PER_S = 1000.0


class PendingRequest:
    """A request that has not been answered yet.

    Attributes:
        req: The request.
        task: Task that produces the answer, once started.
        answer: The answer, once there is one.
        is_complete: Whether the whole request has been read.
        keep_alive: Whether the caller lets the connection stay open.
        reserved_bytes: Memory reserved for the body.
        body: The body as far as it was read.
    """

    __slots__ = (
        "req",
        "task",
        "answer",
        "is_complete",
        "keep_alive",
        "reserved_bytes",
        "body",
    )

    def __init__(self, req: CallerRequest, keep_alive: bool) -> None:
        self.req = req
        self.task: asyncio.Task[CallerAnswer] | None = None
        self.answer: CallerAnswer | None = None
        self.is_complete = False
        self.keep_alive = keep_alive
        self.reserved_bytes = 0
        self.body = bytearray()


def parse_head(
    method: str, target: bytes, headers: Headers, received_s: float
) -> CallerRequest | None:
    """Return the request of a head, or None if target, host or id are malformed.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        received_s: When the head was complete, in monotonic seconds.
    """
    hosts = [value for name, value in headers if name == b"host"]
    ids = {value for name, value in headers if name == REQUEST_ID_HEADER}
    if len(hosts) != 1 or len(ids) > 1 or not target.startswith(b"/"):
        return None
    try:
        text = target.decode("ascii")
        host = hosts[0].decode("ascii").lower()
    except UnicodeDecodeError:
        return None
    if not host.startswith("["):
        host = host.partition(":")[0]
    time_left = find_header(headers, DEADLINE_MS_HEADER)
    time_left_ms = None if time_left is None else parse_digits(time_left)
    return CallerRequest(
        method,
        text,
        host,
        headers,
        id=find_header(headers, REQUEST_ID_HEADER) or b"",
        received_s=received_s,
        time_left_s=None if time_left_ms is None else time_left_ms / MS_PER_S,
    )


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None
