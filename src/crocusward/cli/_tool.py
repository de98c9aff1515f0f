"""What all commands share: output, client, and the path of a change."""

import json
import random
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TextIO

from rich.console import Console
from rich.table import Table as RichTable
from rich.text import Text

from ..errors import Finding, SourceLocation
from ._client import AdminClient, Table
from ._exit import ToolError

DEFAULT_SERVER = "http://127.0.0.1:8081"
WATCH_PERIOD_S = 0.5
# A change is in force within 9 s while every host can be reached; the list of hosts
# may name a stopped host somewhat longer.
WATCH_LIMIT_S = 30.0
MAX_CONFLICT_RETRIES = 5
ID_BITS = 64
Placer = Callable[[str], SourceLocation]


class Tool:
    """State of one run of the tool.

    Args:
        out: Standard output.
        err: Standard error.
        environ: Environment variables.
        rng: Source of change ids.
        sleep: Waits for a number of seconds.
    """

    __slots__ = ("console", "errors", "json", "_environ", "_rng", "_sleep", "_client")

    def __init__(
        self,
        out: TextIO,
        err: TextIO,
        environ: Mapping[str, str],
        rng: random.Random,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.console = Console(file=out, highlight=False, soft_wrap=True)
        self.errors = Console(file=err, highlight=False, soft_wrap=True)
        self.json = False
        self._environ = environ
        self._rng = rng
        self._sleep = sleep
        self._client: AdminClient | None = None

    @property
    def client(self) -> AdminClient:
        """Client for the servers of this run."""
        if self._client is None:
            self.configure("", "", False)
        assert self._client is not None
        return self._client

    def configure(self, server: str, token_file: str, as_json: bool) -> None:
        """Take the global options.

        Raises:
            ToolError: The token file cannot be read.
        """
        self.json = as_json
        servers = server or self._environ.get("CROCUSWARD_SERVER", DEFAULT_SERVER)
        names = [item.strip().rstrip("/") for item in servers.split(",")]
        full = [item if "://" in item else f"http://{item}" for item in names if item]
        ca_file = self._environ.get("CROCUSWARD_CA_FILE", "")
        self._client = AdminClient(full, self._read_token(token_file), ca_file)

    def _read_token(self, token_file: str) -> str:
        if not token_file:
            return self._environ.get("CROCUSWARD_TOKEN", "").strip()
        try:
            return Path(token_file).read_text(encoding="ascii").strip()
        except (OSError, UnicodeDecodeError):
            message = f"cannot read the token file {token_file!r}"
            raise ToolError(message, code="usage") from None

    def new_id(self) -> str:
        """Return a change id that nobody else has."""
        return f"{self._rng.getrandbits(ID_BITS):016x}"

    def pause(self, duration_s: float) -> None:
        """Wait."""
        self._sleep(duration_s)

    def say(self, text: str) -> None:
        """Print a line for people; with --json nothing is printed."""
        if not self.json:
            self.console.print(text, markup=False)

    def note(self, text: str) -> None:
        """Print a line about progress to standard error."""
        self.errors.print(text, markup=False)

    def show_json(self, table: object) -> None:
        """Print a table as JSON."""
        text = json.dumps(table, indent=2, ensure_ascii=False)
        self.console.print(text, markup=False)

    def show_rows(self, columns: tuple[str, ...], rows: list[list[Any]]) -> None:
        """Print a table for people."""
        table = RichTable(*columns)
        for row in rows:
            table.add_row(*(Text(str(cell)) for cell in row))
        self.console.print(table)

    def current_version(self) -> int:
        """Return the version in force on the answering host."""
        return int(self.client.get("status")["version"])

    def commit(
        self,
        operations: list[Table],
        *,
        base: int,
        change_id: str = "",
        force: bool = False,
        placer: Placer | None = None,
    ) -> Table:
        """Send one change and return the receipt.

        Raises:
            ToolError: The change was refused, or its effect is unknown; then the
                advice names the change id.
        """
        change_id = change_id or self.new_id()
        table = {
            "change_id": change_id,
            "base": base,
            "force": force,
            "operations": operations,
        }
        try:
            return self.client.post("changes", table)
        except ToolError as exc:
            if exc.code in ("exchange_lost", "store_uncertain"):
                exc.advice = (
                    "the effect is unknown; repeat the command with"
                    f" --change-id {change_id} --base {base}, it has one effect"
                )
            raise _placed(exc, placer) from None

    def rehearse(
        self, operations: list[Table], base: int, placer: Placer | None = None
    ) -> Table:
        """Send one change as a dry run, show the differences and return the answer.

        Raises:
            ToolError: The change has faults.
        """
        table = {
            "change_id": self.new_id(),
            "base": base,
            "dry_run": True,
            "operations": operations,
        }
        try:
            answer = self.client.post("changes", table, read_only=True)
        except ToolError as exc:
            raise _placed(exc, placer) from None
        for item in answer["differences"]:
            self.say(_difference_line(item))
        return answer

    def commit_state(
        self, operation: Table, change_id: str, force: bool, base: int | None = None
    ) -> Table:
        """Send a change that does not depend on what else changed.

        A conflict had no effect, so it is sent again on the current version.

        Raises:
            ToolError: The change was refused, or its effect is unknown.
        """
        change_id = change_id or self.new_id()
        for attempt in range(MAX_CONFLICT_RETRIES):
            start = base if base is not None else self.current_version()
            try:
                return self.commit(
                    [operation], base=start, change_id=change_id, force=force
                )
            except ToolError as exc:
                last = attempt + 1 == MAX_CONFLICT_RETRIES
                if exc.code != "conflict" or base is not None or last:
                    raise
        raise AssertionError("unreachable")

    def report_receipt(self, receipt: Table, watch: bool) -> None:
        """Say that a change was accepted, and watch it come into force.

        Raises:
            ToolError: Code ``not_in_force``: hosts are still missing.
        """
        version = int(receipt["version"])
        repeated = " (was accepted before)" if receipt.get("repeated") else ""
        if receipt.get("accepted", True):
            self.say(f"accepted as version {version}{repeated}")
        else:
            self.say(f"committed as version {version}, not yet accepted{repeated}")
            self.note("it cannot be undone; hosts that are cut off may not have it yet")
        if receipt.get("missing"):
            self.note(f"not in contact at the commit: {', '.join(receipt['missing'])}")
        if self.json:
            self.show_json(receipt)
        if watch:
            self.watch(version)

    def watch(self, version: int, limit_s: float = WATCH_LIMIT_S) -> None:
        """Wait until a version is in force everywhere, showing who is missing.

        Raises:
            ToolError: Code ``not_in_force``.
        """
        shown = ""
        rounds = max(1, int(limit_s / WATCH_PERIOD_S))
        for _ in range(rounds):
            answer = self.client.get("changes", str(version))
            if answer["in_force"]:
                self.say(f"version {version} is in force on every host")
                return
            line = in_force_line(answer)
            if line != shown:
                self.note(line)
                shown = line
            self.pause(WATCH_PERIOD_S)
        raise ToolError(
            shown,
            code="not_in_force",
            advice=f"watch on with: crocusward change {version} --watch",
        )


def in_force_line(answer: Table) -> str:
    """Return where a version is in force, in one line."""
    if not answer["accepted"]:
        return f"version {answer['version']} has not reached the answering host"
    total = len(answer["hosts"]) + len(answer["missing"])
    missing = ", ".join(answer["missing"]) or "none"
    return (
        f"version {answer['version']} is in force on {len(answer['hosts'])} of"
        f" {total} hosts; missing: {missing}"
    )


def _difference_line(item: Table) -> str:
    if item["before"] is None:
        return f"+ {item['path']} = {item['after']}"
    if item["after"] is None:
        return f"- {item['path']} = {item['before']}"
    return f"~ {item['path']}: {item['before']} -> {item['after']}"


def _placed(exc: ToolError, placer: Placer | None) -> ToolError:
    if placer is not None:
        exc.findings = [
            Finding(placer(item.location.path), item.code, item.message)
            for item in exc.findings
        ]
    return exc
