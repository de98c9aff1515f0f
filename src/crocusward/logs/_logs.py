"""Set-up of eliot, event logging and rate-limited event logging."""

import logging
import sys
from collections.abc import Callable
from enum import IntEnum
from typing import TextIO

import eliot

from ..timing import Subscription, TimerService
from ._buffer import LineBuffer
from ._line import SecretRedactor, render_line

FLUSH_PERIOD_S = 0.5
MAX_FINAL_FLUSH_COUNT = 20  # each writes up to MAX_LINES_PER_FLUSH lines


class Level(IntEnum):
    """Severity of an event."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


_threshold = Level.INFO
_active_pipe: "LogPipe | None" = None


def log_event(name: str, /, level: Level = Level.INFO, **fields: object) -> None:
    """Log one event.

    An event below the threshold costs one comparison, which is cheap enough for the
    request path; a written event costs some tens of microseconds.

    Args:
        name: Stable event name, in snake case.
        level: Severity.
        fields: Event fields; must not hold request bodies, headers or credentials.
    """
    if level < _threshold:
        return
    eliot.log_message(message_type=name, level=level.name.lower(), **fields)


class LogPipe:
    """Eliot destination that writes rendered events to a stream.

    Args:
        stream: Output stream.
        threshold: Lowest level that is written.
    """

    __slots__ = ("buffer", "secrets", "threshold", "_flush")

    def __init__(self, stream: TextIO, threshold: Level = Level.INFO) -> None:
        self.buffer = LineBuffer(stream)
        self.secrets = SecretRedactor()
        self.threshold = threshold
        self._flush: Subscription | None = None

    def __call__(self, message: dict[str, object]) -> None:
        """Render an eliot message and append it to the buffer."""
        self.buffer.append(self.secrets.redact(render_line(message)))

    def run(self, timer: TimerService) -> None:
        """Flush the buffer periodically; otherwise the caller must flush it."""
        self._flush = timer.every(FLUSH_PERIOD_S, self.buffer.flush)

    def close(self) -> None:
        """Flush what the stream accepts and detach from eliot."""
        global _active_pipe, _threshold
        if self._flush is not None:
            self._flush.cancel()
        for _ in range(MAX_FINAL_FLUSH_COUNT):
            if not self.buffer.flush():
                break
        if _active_pipe is self:
            eliot.remove_destination(self)
            _active_pipe = None
            _threshold = Level.INFO


def start_logs(stream: TextIO | None = None, level: str = "info") -> LogPipe:
    """Send events to a stream, replacing the previous one.

    Args:
        stream: Output stream, standard error by default.
        level: "debug", "info", "warning" or "error".
    """
    global _active_pipe, _threshold
    if _active_pipe is not None:
        _active_pipe.close()
    threshold = Level[level.upper()]
    pipe = LogPipe(stream or sys.stderr, threshold)
    eliot.add_destinations(pipe)
    _active_pipe = pipe
    _threshold = threshold
    return pipe


class StdlibBridge(logging.Handler):
    """Forwards records of the standard logging module as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as an event, with its level rounded to a :class:`Level`."""
        level_number = min(max(record.levelno // 10 * 10, Level.DEBUG), Level.ERROR)
        log_event(
            "library_message",
            Level(level_number),
            logger=record.name,
            text=record.getMessage(),
        )


class EventSampler:
    """Rate-limits the events of each name, for events on the request path.

    Refusals can occur at the rate of requests, and each written event costs some
    tens of microseconds.

    Args:
        now: Monotonic clock, in seconds.
        per_second: Maximum number of events of one name written per second.
    """

    __slots__ = ("_now", "_per_second", "_windows")

    def __init__(self, now: Callable[[], float], per_second: int = 10) -> None:
        self._now = now
        self._per_second = per_second
        self._windows: dict[str, _SampleWindow] = {}

    def log(self, name: str, /, level: Level = Level.INFO, **fields: object) -> None:
        """Log an event or skip it; the next written one has the count ``skipped``."""
        now_s = self._now()
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = _SampleWindow(now_s)
        if now_s - window.start_s >= 1.0:
            window.start_s = now_s
            window.written = 0
        if window.written >= self._per_second:
            window.skipped += 1
            return
        window.written += 1
        if window.skipped:
            fields["skipped"] = window.skipped
            window.skipped = 0
        log_event(name, level, **fields)


class _SampleWindow:
    __slots__ = ("start_s", "written", "skipped")

    def __init__(self, start_s: float) -> None:
        self.start_s = start_s
        self.written = 0
        self.skipped = 0
