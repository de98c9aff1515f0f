"""State of an idempotency key in the ledger of its holder."""

import asyncio
from enum import StrEnum
from hashlib import blake2b

from ..model import Call, Reply
from ._send_guard import SendGuard

FINGERPRINT_BYTES = 16


class KeyState(StrEnum):
    """State of the request under a key."""

    UNUSED = "unused"
    SENT = "sent"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class LedgerEntry:
    """Ledger entry of one key of one contract.

    Attributes:
        fingerprint: Digest of the request that the key stands for.
        state: State of the request, without the attempt in flight.
        retained_from_s: Monotonic time from which the retention counts, in seconds.
        status: HTTP status of the answer, or 0.
        reply: The stored answer, or None.
        send_task: Task of the attempt in flight, or None.
        guard: Send guard of the attempt in flight, or None.
        waiter_count: Number of callers that wait for the attempt in flight.
    """

    __slots__ = (
        "fingerprint",
        "state",
        "retained_from_s",
        "status",
        "reply",
        "send_task",
        "guard",
        "waiter_count",
    )

    def __init__(self, fingerprint: bytes, retained_from_s: float) -> None:
        self.fingerprint = fingerprint
        self.state = KeyState.UNUSED
        self.retained_from_s = retained_from_s
        self.status = 0
        self.reply: Reply | None = None
        self.send_task: asyncio.Task | None = None
        self.guard: SendGuard | None = None
        self.waiter_count = 0


def compute_fingerprint(call: Call) -> bytes:
    """Return a digest of method, service, path and body of a request."""
    head = f"{call.method}\0{call.service}\0{len(call.path)}\0{call.path}\0"
    digest = blake2b(
        head.encode("utf-8", "surrogateescape"), digest_size=FINGERPRINT_BYTES
    )
    digest.update(call.body)
    return digest.digest()
