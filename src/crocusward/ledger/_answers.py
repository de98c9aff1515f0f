"""Bounded store of answers that are kept for replay."""

from collections import OrderedDict

from ..model import Reply
from ..timing import TimerService
from ._state import Entry

ANSWERS_BYTES = 32 * 1024 * 1024
ANSWERS_LIFETIME_S = 600.0
ANSWER_OVERHEAD_BYTES = 512  # objects and headers beside the body


class AnswerStore:
    """Keeps answers up to a total size and an age; the oldest go first.

    Args:
        timer: Time source.
        max_bytes: Total size of the answers kept, in bytes.
        lifetime_s: Longest time an answer is kept, in seconds.

    Attributes:
        held_bytes: Size of the answers kept now, in bytes.
    """

    __slots__ = ("stored_bytes", "_timer", "_max_bytes", "_lifetime_s", "_kept")

    def __init__(
        self,
        timer: TimerService,
        *,
        max_bytes: int = ANSWERS_BYTES,
        lifetime_s: float = ANSWERS_LIFETIME_S,
    ) -> None:
        self.stored_bytes = 0
        self._timer = timer
        self._max_bytes = max_bytes
        self._lifetime_s = lifetime_s
        self._kept: OrderedDict[int, tuple[Entry, float]] = OrderedDict()

    def keep(self, entry: Entry, reply: Reply) -> None:
        """Keep the answer of an entry, and drop old ones to make room."""
        self.discard(entry)
        size = _size(reply)
        if size > self._max_bytes:
            return
        entry.reply = reply
        self._kept[id(entry)] = (entry, self._timer.now())
        self.stored_bytes += size
        self._evict()

    def find(self, entry: Entry) -> Reply | None:
        """Return the answer of an entry, or None if it is no longer kept."""
        self._evict()
        return entry.reply

    def discard(self, entry: Entry) -> None:
        """Drop the answer of an entry, if there is one."""
        if self._kept.pop(id(entry), None) is None:
            return
        assert entry.reply is not None
        self.stored_bytes -= _size(entry.reply)
        entry.reply = None

    def _evict(self) -> None:
        limit_s = self._timer.now() - self._lifetime_s
        while self._kept:
            entry, kept_s = next(iter(self._kept.values()))
            if self.stored_bytes <= self._max_bytes and kept_s > limit_s:
                return
            self.discard(entry)


def _size(reply: Reply) -> int:
    return len(reply.body) + ANSWER_OVERHEAD_BYTES
