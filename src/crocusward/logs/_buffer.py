"""Bounded, non-blocking buffer in front of the log stream."""

import contextlib
import io
import select
from collections import deque
from typing import TextIO

MAX_BUFFERED_LINES = 10_000
MAX_LINES_PER_FLUSH = 500  # bounds how long a flush blocks the event loop


class LineBuffer:
    """Buffers lines until the stream accepts them without blocking.

    The stream is polled before each write, and a line is shorter than PIPE_BUF, so
    writing it to a writable pipe is atomic. When the reader of the stream stalls,
    new lines are dropped and counted.

    Args:
        stream: Text stream; one without a file descriptor is written directly.
        max_lines: Maximum number of buffered lines.
    """

    __slots__ = (
        "dropped",
        "_stream",
        "_poll",
        "_lines",
        "_max_lines",
        "_reported_dropped",
    )

    def __init__(self, stream: TextIO, max_lines: int = MAX_BUFFERED_LINES) -> None:
        self.dropped = 0
        self._stream = stream
        self._lines: deque[str] = deque()
        self._max_lines = max_lines
        self._reported_dropped = 0
        self._poll: select.poll | None = None
        with contextlib.suppress(io.UnsupportedOperation, AttributeError):
            poll = select.poll()
            poll.register(stream.fileno(), select.POLLOUT)
            self._poll = poll

    def append(self, line: str) -> None:
        """Append a line, or drop and count it if the buffer is full."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(line)

    def flush(self, limit: int = MAX_LINES_PER_FLUSH) -> int:
        """Write lines until the stream would block; return the number written."""
        written = 0
        while self._lines and written < limit and self._is_writable():
            if not self._write(self._lines[0]):
                break
            self._lines.popleft()
            written += 1
        if not self._lines and self.dropped > self._reported_dropped:
            dropped_count = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self.append(f"level=warning event=log_lines_dropped count={dropped_count}")
        return written

    def _is_writable(self) -> bool:
        if self._poll is None:
            return True
        return any(mask & select.POLLOUT for _, mask in self._poll.poll(0))

    def _write(self, line: str) -> bool:
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader closed the stream; the daemon keeps running without logs.
            self.dropped += 1
        return True
