"""Bounded in-memory store of answers for replay."""

from collections import OrderedDict

from ..model import Reply
from ..timing import TimerService
from ._state import LedgerEntry

MAX_STORED_BYTES = 32 * 1024 * 1024
ANSWER_LIFETIME_S = 600.0
ANSWER_OVERHEAD_BYTES = 512  # objects and headers


class AnswerStore:
    """Stores answers up to a total size and an age; evicts the oldest first.

    Args:
        timer: Time source.
        max_bytes: Largest total size of the stored answers, in bytes.
        lifetime_s: Longest time an answer is stored, in seconds.

    Attributes:
        held_bytes: Total size of the stored answers, in bytes.
    """

    __slots__ = ("stored_bytes", "_timer", "_max_bytes", "_lifetime_s", "_stored")

    def __init__(
        self,
        timer: TimerService,
        *,
        max_bytes: int = MAX_STORED_BYTES,
        lifetime_s: float = ANSWER_LIFETIME_S,
    ) -> None:
        self.stored_bytes = 0
        self._timer = timer
        self._max_bytes = max_bytes
        self._lifetime_s = lifetime_s
        self._stored: OrderedDict[int, tuple[LedgerEntry, float]] = OrderedDict()

    def store(self, entry: LedgerEntry, reply: Reply) -> None:
        """Store the answer of an entry and evict old ones to make room."""
        self.discard(entry)
        size = _stored_size(reply)
        if size > self._max_bytes:
            return
        entry.reply = reply
        self._stored[id(entry)] = (entry, self._timer.now())
        self.stored_bytes += size
        self._evict()

    def find(self, entry: LedgerEntry) -> Reply | None:
        """Return the answer of an entry, or None if it is not stored."""
        self._evict()
        return entry.reply

    def discard(self, entry: LedgerEntry) -> None:
        """Remove the answer of an entry, if there is one."""
        if self._stored.pop(id(entry), None) is None:
            return
        assert entry.reply is not None
        self.stored_bytes -= _stored_size(entry.reply)
        entry.reply = None

    def _evict(self) -> None:
        expired_before_s = self._timer.now() - self._lifetime_s
        while self._stored:
            entry, stored_at_s = next(iter(self._stored.values()))
            if self.stored_bytes <= self._max_bytes and stored_at_s > expired_before_s:
                return
            self.discard(entry)


def _stored_size(reply: Reply) -> int:
    return len(reply.body) + ANSWER_OVERHEAD_BYTES
