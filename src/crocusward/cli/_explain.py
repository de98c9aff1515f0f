"""Prints what the logs of several hosts say of one request."""

import re
from collections.abc import Iterable
from datetime import datetime, timedelta
from pathlib import Path

from cyclopts import App

from ..errors import CrocusError
from ..model import Record
from ._request_summary import summarize
from ._tool import Tool

CONTEXT_TIME = timedelta(seconds=10)  # before the first line of the request
# What a host believed while it decided.
STATE_EVENTS = frozenset(
    {
        "data_centre_back",
        "data_centre_out",
        "desired_state_ignored",
        "desired_state_taken",
        "history_lost",
        "intake_ended",
        "neighbour_history_incomplete",
        "neighbour_rows_merged",
        "neighbour_rows_missed",
        "neighbour_rows_taken",
        "operator_row_kept",
        "operator_row_settled",
        "remote_rows_missed",
        "removals_held",
        "slot_offer_ignored",
        "stopped",
        "stopping",
        "store_era_changed",
        "store_failures_ended",
        "store_lost",
        "store_regained",
        "store_rows_read",
    }
)
# What it knew of a server that the request names.
BACKEND_EVENTS = frozenset(
    {
        "backend_entry_ignored",
        "backend_cold_learned",
        "backend_leaving_learned",
        "backend_limit_changed",
        "backend_limit_confirmed",
        "backend_limit_ended",
        "backend_limit_learned",
        "backend_limit_reported",
        "backend_listed",
        "backend_pause_learned",
        "backend_removed",
    }
)
# What it knew of crashes of servers under the request.
CRASH_EVENTS = frozenset(
    {
        "crash_cleared",
        "crash_counted",
        "crash_learned",
        "crash_loaded",
        "crash_released",
    }
)
CRASH_CONTEXT_TIME = timedelta(minutes=10)  # for which a request may be blocked
_DIGEST_PATTERN = re.compile(r" digest=([0-9a-f]+)")
_EVENT_PATTERN = re.compile(r" event=(\S+)")
_BACKEND_PATTERN = re.compile(r" backend=([^\s\"]+)")


class LogLine(Record):
    """One line about a request.

    Attributes:
        time: Time of day as written, which sorts like the time.
        source: Name of the log.
        text: The rest of the line.
    """

    __slots__ = ("time", "source", "text")

    def __init__(self, time: str, source: str, text: str) -> None:
        self.time = time
        self.source = source
        self.text = text


def find_lines(id: str, source: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines of one log that name a request."""
    mark = f" id={id} "
    found = []
    for line in lines:
        start = line.find("time=")
        if start < 0 or mark not in line.rstrip("\n") + " ":
            continue
        time, _, text = line[start:].rstrip("\n").partition(" ")
        found.append(LogLine(time.removeprefix("time="), source, text))
    return found


def find_context(
    request_lines: Iterable[LogLine], source: str, lines: Iterable[str]
) -> list[LogLine]:
    """Return what one log says of state and servers around a request.

    Args:
        request_lines: Lines of all logs that name the request.
        source: Name of the log.
        lines: Lines of the log.
    """
    request_lines = list(request_lines)
    times = [time for item in request_lines if (time := _parse_time(item.time))]
    if not times:
        return []
    begin, end = min(times) - CONTEXT_TIME, max(times)
    backends = {
        name
        for item in request_lines
        for name in _BACKEND_PATTERN.findall(f" {item.text}")
    }
    digests = {
        name
        for item in request_lines
        for name in _DIGEST_PATTERN.findall(f" {item.text}")
    }
    known = {item.text for item in request_lines}
    found = []
    for line in lines:
        start = line.find("time=")
        time_text, _, text = line[max(0, start) :].rstrip("\n").partition(" ")
        event = _EVENT_PATTERN.search(f" {text}")
        if start < 0 or event is None or text in known:
            continue
        is_backend_event = event[1] in BACKEND_EVENTS and bool(
            backends.intersection(_BACKEND_PATTERN.findall(f" {text}"))
        )
        is_crash_event = event[1] in CRASH_EVENTS and bool(
            digests.intersection(_DIGEST_PATTERN.findall(f" {text}"))
        )
        time_text = time_text.removeprefix("time=")
        if event[1] in STATE_EVENTS or is_backend_event or is_crash_event:
            time = _parse_time(time_text)
            first = end - CRASH_CONTEXT_TIME if is_crash_event else begin
            if time is not None and first <= time <= end:
                found.append(LogLine(time_text, source, text))
    return found


def _parse_time(text: str) -> datetime | None:
    try:
        return datetime.fromisoformat(text)
    except ValueError:
        return None


def explain(id: str, logs: Iterable[tuple[str, Iterable[str]]]) -> list[LogLine]:
    """Return the lines of all logs about a request, and what led to its decisions.

    Only logs that name the request are searched for what their hosts knew. Lines are
    sorted by time; those of one log keep their order, since clocks of different hosts
    differ but one log is written in order.
    """
    logs = [(name, list(lines)) for name, lines in logs]
    found = [(name, find_lines(id, name, lines), lines) for name, lines in logs]
    about = [item for _, items, _ in found for item in items]
    context = [
        item
        for name, items, lines in found
        if items
        for item in find_context(about, name, lines)
    ]
    return sorted(about + context, key=lambda item: item.time)


def add_explain_command(app: App, tool: Tool) -> None:
    """Add the command."""

    @app.command(name="explain")
    def run(id: str, *files: Path) -> None:
        """Print what logs say of one request, and a summary of its sends.

        Example: crocusward explain 9c41d07be2a35f68 host-1.log host-2.log

        Args:
            id: Id of the request.
            files: Logs of the hosts.
        """
        try:
            logs = [
                (path.stem, path.read_text(errors="replace").splitlines())
                for path in files
            ]
        except OSError as exc:
            raise CrocusError(str(exc), code="unreadable_log") from exc
        found = explain(id, logs)
        if not found:
            raise CrocusError(f"no line names request {id!r}", code="unknown_request")
        width = max(len(item.source) for item in found)
        shown = [f"{item.time} {item.source:{width}} {item.text}" for item in found]
        for line in [*shown, "", f"summary id={id}", *summarize(id, logs)]:
            tool.console.print(line, highlight=False, soft_wrap=True, markup=False)
