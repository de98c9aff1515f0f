"""Encoding of answers to callers."""

import json
import math
from collections.abc import Awaitable, Callable

from ..errors import Refusal
from ..model import Record, Reply

Headers = list[tuple[bytes, bytes]]
SendAnswer = Callable[[int, Headers, bytes, bool], Awaitable[None]]

# Entries of the scope of each request, beyond those of ASGI.
SEND_ANSWER = "crocusward.send_answer"
TAKE_BODY = "crocusward.take_body"

INTERNAL_CODE = "internal"
_FRAMING_NAMES = frozenset(
    {b"content-length", b"transfer-encoding", b"connection", b"x-request-id"}
)
_EMPTY_STATUSES = frozenset({204, 304})


class RefusalAnswer(Record):
    """A refusal as HTTP.

    Attributes:
        status: HTTP status.
        headers: All headers but those of framing.
        body: JSON text.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


def encode_refusal(refusal: Refusal, request_id: str) -> RefusalAnswer:
    """Return the HTTP form of a refusal."""
    return _encode_fields(
        refusal.status,
        refusal.code,
        refusal.reason,
        str(refusal.outcome),
        str(refusal.attempt),
        request_id,
        refusal.retry_after_s,
    )


def encode_internal_error(request_id: str) -> RefusalAnswer:
    """Return the answer to a request that ended in a fault of this program."""
    return _encode_fields(
        500, INTERNAL_CODE, "internal error", "unknown", "maybe-sent", request_id, None
    )


def _encode_fields(
    status: int,
    code: str,
    reason: str,
    outcome: str,
    attempt: str,
    request_id: str,
    retry_after_s: float | None,
) -> RefusalAnswer:
    fields = {
        "code": code,
        "reason": reason,
        "outcome": outcome,
        "attempt": attempt,
        "request_id": request_id,
    }
    headers = [
        (b"content-type", b"application/json"),
        (b"crocusward-outcome", outcome.encode("ascii")),
        (b"crocusward-code", code.encode("ascii")),
    ]
    if request_id:
        headers.append((b"x-request-id", request_id.encode("ascii")))
    if retry_after_s is not None:
        seconds = max(1, math.ceil(retry_after_s))
        headers.append((b"retry-after", b"%d" % seconds))
    return RefusalAnswer(status, headers, json.dumps(fields).encode("ascii"))


async def send_refusal(
    send: SendAnswer, answer: RefusalAnswer, *, close: bool = False
) -> None:
    """Send a refusal; ``close`` ends the connection if the body is not yet read."""
    answer.headers.append((b"content-length", b"%d" % len(answer.body)))
    await send(answer.status, answer.headers, answer.body, close)


async def send_reply(
    send: SendAnswer, reply: Reply, *, is_head: bool, next_key: str | None
) -> None:
    """Send a complete answer."""
    headers = [h for h in reply.headers if h[0] not in _FRAMING_NAMES]
    headers.append((b"x-request-id", reply.request_id.encode("ascii")))
    if next_key:
        headers.append((b"crocusward-next-key", next_key.encode("ascii")))
    body = reply.body
    if is_head or reply.status in _EMPTY_STATUSES:
        body = b""
        if reply.status != 204:
            headers += [h for h in reply.headers if h[0] == b"content-length"][:1]
    else:
        headers.append((b"content-length", b"%d" % len(body)))
    await send(reply.status, headers, body, False)
