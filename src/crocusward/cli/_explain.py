"""Prints what the logs of several hosts say of one request."""

from collections.abc import Iterable
from pathlib import Path

from cyclopts import App

from ..errors import CrocusError
from ..model import Record
from ._tool import Tool


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


def explain(id: str, logs: Iterable[tuple[str, Iterable[str]]]) -> list[LogLine]:
    """Return the lines of all logs about a request.

    Lines are sorted by time; those of one log keep their order, since clocks of
    different hosts differ but one log is written in order.
    """
    found = [item for name, lines in logs for item in find_lines(id, name, lines)]
    return sorted(found, key=lambda item: item.time)


def add_explain_command(app: App, tool: Tool) -> None:
    """Add the command."""

    @app.command(name="explain")
    def run(id: str, *files: Path) -> None:
        """Print what logs say of one request, in order of time.

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
        for item in found:
            tool.console.print(
                f"{item.time} {item.source:{width}} {item.text}",
                highlight=False,
                soft_wrap=True,
                markup=False,
            )
