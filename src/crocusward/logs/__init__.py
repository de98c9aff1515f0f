"""Structured logs: eliot messages as lines of key=value pairs."""

from ._buffer import LineBuffer
from ._line import HIDDEN, SecretRedactor, render_line
from ._logs import EventSampler, Level, LogPipe, StdlibBridge, log_event, start_logs

__all__ = [
    "HIDDEN",
    "EventSampler",
    "Level",
    "LineBuffer",
    "LogPipe",
    "SecretRedactor",
    "StdlibBridge",
    "log_event",
    "render_line",
    "start_logs",
]
