"""State of one idempotency key in its holder's memory."""

import asyncio
from enum import StrEnum
from hashlib import blake2b

from ..model import Call, Reply
from ._attempt import SendGuard

FINGERPRINT_BYTES = 16


class KeyState(StrEnum):
    """What is known about the request under a key."""

    UNUSED = "unused"
    SENT = "sent"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Entry:
    """One key of one contract.

    Attributes:
        fingerprint: Digest of the request that the key stands for.
        state: What is known about the request.
        created_s: Monotonic time from which the retention counts, in seconds.
        status: HTTP status of the answer, or 0.
        reply: The answer while it is kept, or None.
        task: The attempt in flight, or None.
        attempt: Send guard of the attempt in flight, or None.
        waiters: Callers that wait for the attempt in flight.
    """

    __slots__ = (
        "fingerprint",
        "state",
        "created_s",
        "status",
        "reply",
        "task",
        "attempt",
        "waiters",
    )

    def __init__(self, fingerprint: bytes, created_s: float) -> None:
        self.fingerprint = fingerprint
        self.state = KeyState.UNUSED
        self.created_s = created_s
        self.status = 0
        self.reply: Reply | None = None
        self.task: asyncio.Task | None = None
        self.attempt: SendGuard | None = None
        self.waiters = 0


def fingerprint(call: Call) -> bytes:
    """Return a digest of method, service, path and body of a request."""
    head = f"{call.method}\0{call.service}\0{len(call.path)}\0{call.path}\0"
    digest = blake2b(
        head.encode("utf-8", "surrogateescape"), digest_size=FINGERPRINT_BYTES
    )
    digest.update(call.body)
    return digest.digest()
