"""Limits the share of the event loop that fragmented messages take."""

import asyncio
from collections.abc import Callable

from ..timing import Subscription, TimerService

PIECES_PER_S = 40_000.0  # a parser callback for each takes one or two microseconds
MAX_BURST_S = 0.05  # of that rate, after an idle time
FREE_PIECES = 512  # of one message; few have more
MIN_PIECE_BYTES = 512  # mean size from which on the whole buffer is used
FIRST_READ_BYTES = 8192
SMALL_READ_BYTES = 2048


class ReadPacer:
    """Shares a rate of pieces among the connections that read fragmented messages.

    A piece is a part of a body, or a header. A peer that sends chunks of some bytes
    costs the loop thousands of callbacks for each read, and delays all others.

    Args:
        timer: Source of time.

    Attributes:
        pause_count: Number of pauses so far.
    """

    __slots__ = ("pause_count", "timer", "_free_at_s")

    def __init__(self, timer: TimerService) -> None:
        self.pause_count = 0
        self.timer = timer
        self._free_at_s = 0.0

    def charge(self, pieces: int) -> float:
        """Return for how long the reader of some pieces should pause, in seconds."""
        now_s = self.timer.now()
        begin_s = max(self._free_at_s, now_s - MAX_BURST_S)
        self._free_at_s = begin_s + pieces / PIECES_PER_S
        return max(0.0, self._free_at_s - now_s)


class PacedReads:
    """Paces the reads of one connection.

    Args:
        pacer: Shared with other connections.
        resume: Resumes reading after a pause.
    """

    __slots__ = (
        "_pacer",
        "_resume",
        "_message_pieces",
        "_message_bytes",
        "_new_pieces",
        "_pause",
    )

    def __init__(self, pacer: ReadPacer, resume: Callable[[], object]) -> None:
        self._pacer = pacer
        self._resume = resume
        self._pause: Subscription | None = None
        self._new_pieces = 0
        self.start_message()

    @property
    def is_paused(self) -> bool:
        """Whether reading is paused."""
        return self._pause is not None

    def start_message(self) -> None:
        """Begin a message, whose first pieces are free."""
        self._message_pieces = 0
        self._message_bytes = 0

    def add_piece(self) -> None:
        """Count a piece of the message."""
        self._new_pieces += 1

    def limit_read(self, buffer: memoryview) -> memoryview:
        """Return the part of a buffer for the next read, small while pieces are."""
        if not self._message_bytes:
            return buffer[:FIRST_READ_BYTES]
        if self._message_bytes >= MIN_PIECE_BYTES * self._message_pieces:
            return buffer
        return buffer[:SMALL_READ_BYTES]

    def end_read(self, size: int, transport: asyncio.ReadTransport | None) -> None:
        """Charge the pieces of a read, and pause the connection if it must wait."""
        pieces = self._new_pieces
        self._new_pieces = 0
        self._message_bytes += size
        self._message_pieces += pieces
        if self._message_pieces <= FREE_PIECES or transport is None:
            return
        pause_s = self._pacer.charge(pieces)
        if pause_s > 0.0 and self._pause is None and not transport.is_closing():
            self._pacer.pause_count += 1
            transport.pause_reading()
            self._pause = self._pacer.timer.call_later(pause_s, self._end_pause)

    def _end_pause(self) -> None:
        self._pause = None
        self._resume()

    def close(self) -> None:
        """Cancel a pause."""
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
