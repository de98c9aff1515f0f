"""Commands about data centres, hosts, holds, status and burn."""

from pathlib import Path
from typing import Any, Literal

from cyclopts import App

from ..burn import decode_report, render_html, render_text
from ..documents import ContractDocument
from ..settings import load_settings
from ._apply import read_document_text
from ._client import Table
from ._exit import ToolError
from ._tool import Tool, in_force_line

STATUS_PERIOD_S = 2.0
DOCUMENT_KEYS = ("[[contracts]]", "[[customers]]", "[[services]]", "[[data_centres]]")


def add_state_commands(app: App, tool: Tool) -> None:
    """Add the groups ``data-centre``, ``host`` and ``backend``."""
    groups = (
        ("data-centre", "set_data_centre_state", "Data centres."),
        ("host", "set_host_state", "Entry hosts."),
        ("backend", "set_host_state", "Backend servers."),
    )
    for name, kind, text in groups:
        group = App(name=name, help=text)
        app.command(group)
        _add_out_and_back(group, kind, name.replace("-", " "), tool)
        if name == "data-centre":
            group.command(_make_list(tool), name="list")


def _add_out_and_back(group: App, kind: str, what: str, tool: Tool) -> None:
    def change(
        name: str,
        state: str,
        change_id: str,
        base: int | None,
        force: bool,
        watch: bool,
    ) -> None:
        operation = {"kind": kind, "name": name, "state": state}
        receipt = tool.commit_state(operation, change_id, force, base)
        tool.report_receipt(receipt, watch)

    def out(
        name: str,
        *,
        change_id: str = "",
        base: int | None = None,
        force: bool = False,
        watch: bool = True,
    ) -> None:
        change(name, "out", change_id, base, force, watch)

    def back(
        name: str,
        *,
        change_id: str = "",
        base: int | None = None,
        force: bool = False,
        watch: bool = True,
    ) -> None:
        change(name, "in", change_id, base, force, watch)

    arguments = f"""

    Args:
        name: Name of the {what}.
        change_id: Id of the change; a repeated id has one effect.
        base: Version the change is based on; by default the current one.
        force: Commit although a region is cut off.
        watch: Wait until the change is in force everywhere.
    """
    out.__doc__ = f"Take a {what} out of service.{arguments}"
    back.__doc__ = f"Take a {what} back into service.{arguments}"
    group.command(out)
    group.command(back)


def _make_list(tool: Tool) -> Any:
    def list_data_centres() -> None:
        """List all data centres."""
        answer = tool.client.get("data_centres")
        if tool.json:
            tool.show_json(answer)
            return
        rows = [[x["name"], x["region"], x["state"]] for x in answer["data_centres"]]
        tool.show_rows(("data centre", "region", "state"), rows)

    return list_data_centres


def add_hold_commands(app: App, tool: Tool) -> None:
    """Add the group ``hold``."""
    hold = App(name="hold", help="Out-only decisions that need no store.")
    app.command(hold)

    @hold.command
    def place(
        kind: Literal["data-centre", "host", "backend"], name: str, *, id: str = ""
    ) -> None:
        """Take something out of service without the store.

        Args:
            kind: What it is.
            name: Its name.
            id: Id of the hold; a repeated id has one effect.
        """
        hold_id = id or tool.new_id()
        table = {"id": hold_id, "kind": kind.replace("-", "_"), "name": name}
        answer = tool.client.post("holds", table)
        if tool.json:
            tool.show_json(answer)
        tool.say(f"placed hold {answer['id']} on {kind} {name}")

    @hold.command
    def release(id: str, *, change_id: str = "", watch: bool = True) -> None:
        """End a hold; this is a change and needs the store.

        Args:
            id: Id of the hold.
            change_id: Id of the change; a repeated id has one effect.
            watch: Wait until the change is in force everywhere.
        """
        operation = {"kind": "release_hold", "hold_id": id}
        receipt = tool.commit_state(operation, change_id, False)
        tool.report_receipt(receipt, watch)

    @hold.command(name="list")
    def list_holds() -> None:
        """List the holds in effect."""
        answer = tool.client.get("holds")
        if tool.json:
            tool.show_json(answer)
            return
        rows = [[x["id"], x["kind"], x["name"], x["author"]] for x in answer["holds"]]
        tool.show_rows(("id", "kind", "name", "author"), rows)


def add_report_commands(app: App, tool: Tool) -> None:
    """Add ``status``, ``change``, ``burn``, ``config check`` and ``completion``."""

    @app.command
    def status(*, watch: bool = False, rounds: int = 0) -> None:
        """Show the fleet as seen from the answering host.

        Args:
            watch: Repeat every two seconds.
            rounds: Stop watching after this many times; 0 never stops.
        """
        count = 0
        while True:
            _show_status(tool, tool.client.get("status"))
            count += 1
            if not watch or count == rounds:
                return
            tool.pause(STATUS_PERIOD_S)

    @app.command
    def change(number: int, *, watch: bool = False) -> None:
        """Show whether a change is accepted and where it is in force.

        Args:
            number: Version of the change.
            watch: Wait until it is in force everywhere.
        """
        answer = tool.client.get("changes", str(number))
        if tool.json:
            tool.show_json(answer)
        tool.say(in_force_line(answer))
        if watch and not answer["in_force"]:
            tool.watch(number)

    @app.command
    def burn(*, html: str = "") -> None:
        """Show how fast contracts use their service-level budget.

        Args:
            html: Write one HTML page with plots to this file.
        """
        answer = tool.client.get("burn")
        report = decode_report(answer)
        for item in report.unreachable:
            tool.note(f"not included: {item.host} ({item.reason})")
        if html:
            _write(html, render_html(report))
            tool.say(f"wrote {html}")
        elif tool.json:
            tool.show_json(answer)
        else:
            tool.console.print(render_text(report), markup=False, end="")

    config = App(name="config", help="Files, checked without a daemon.")
    app.command(config)

    @config.command
    def check(file: str) -> None:
        """Check a settings file or a file with contracts.

        Args:
            file: TOML or JSON file.
        """
        text = read_document_text(file)
        is_document = file.endswith(".json") or any(
            line.strip().startswith(DOCUMENT_KEYS) for line in text.splitlines()
        )
        if is_document:
            ContractDocument.parse(text, file)
        else:
            load_settings(file)
        tool.say(f"{file}: no findings")

    @app.command
    def completion(shell: Literal["bash", "zsh", "fish"]) -> None:
        """Print the completion script of a shell.

        Args:
            shell: Name of the shell.
        """
        script = app.generate_completion(shell=shell)
        tool.console.print(script, markup=False, end="")


def _show_status(tool: Tool, answer: Table) -> None:
    if tool.json:
        tool.show_json(answer)
        return
    state = "confirmed" if answer["confirmed"] else "NOT confirmed"
    tool.say(
        f"{answer['host']} in {answer['region']}: version {answer['version']}, {state}"
    )
    tool.show_rows(
        ("entry host", "region", "data centre", "version", "contact s", "leaving"),
        [_host_row(item) for item in answer["hosts"]],
    )
    tool.show_rows(
        ("data centre", "region", "state"),
        [[x["name"], x["region"], x["state"]] for x in answer["data_centres"]],
    )
    tool.show_rows(
        ("service", "region", "data centre", "state", "backends", "in flight"),
        _backend_rows(answer["backends"]),
    )
    for hold in answer["holds"]:
        tool.say(f"hold {hold['id']}: {hold['kind']} {hold['name']}")
    if answer["hosts_out"]:
        tool.say(f"hosts out: {', '.join(answer['hosts_out'])}")
    for name, count in answer["violations"].items():
        if count:
            tool.say(f"VIOLATED {name}: {count}")


def _host_row(item: Table) -> list[Any]:
    age_s = item["contact_age_s"]
    contact = "never" if age_s < 0 else f"{age_s:.1f}"
    leaving = "yes" if item["leaving"] else ""
    place = [item["name"], item["region"], item["data_centre"]]
    return [*place, item["version"], contact, leaving]


def _backend_rows(backends: list[Table]) -> list[list[Any]]:
    groups: dict[tuple[str, ...], list[int]] = {}
    names = ("service", "region", "data_centre", "state")
    for item in backends:
        key = tuple(item[name] for name in names)
        groups.setdefault(key, []).append(item["in_flight"])
    return [[*key, len(found), sum(found)] for key, found in sorted(groups.items())]


def _write(path: str, text: str) -> None:
    try:
        Path(path).write_text(text, encoding="utf-8")
    except OSError as exc:
        message = f"cannot write {path!r}: {exc.strerror}"
        raise ToolError(message, code="usage") from None
