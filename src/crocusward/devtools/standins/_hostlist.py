"""Stand-in for the platform's lagging host list."""

import asyncio
import json
import tomllib
from pathlib import Path

from ...errors import CrocusError
from ...registry import Registry
from ._command import Command
from ._http import Connection, StandinRequest
from ._store import STORE_ACTIONS, StoreStandin

LIST_PATH = "/v1/hosts"
DEFAULT_LAG_S = 2.0

HOSTLIST_ACTIONS: Registry = Registry("control action")
for _name in STORE_ACTIONS.names():
    HOSTLIST_ACTIONS.register(_name)(STORE_ACTIONS.get(_name))


def load_hosts(path: Path) -> list[dict]:
    """Read the member ``hosts`` of a JSON or TOML file."""
    text = path.read_text(encoding="utf-8")
    document = tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)
    return list(document["hosts"])


class HostListStandin(StoreStandin):
    """Host entries by name; each answer shows them as they were ``lag_s`` ago.

    An entry may have the member ``via``, which maps the name of a region to the
    address and port under which that region reaches the host (a link relay).

    Args:
        hosts: First entries, visible at once.
        lag_s: Age of the list in each answer, in seconds.
    """

    actions = HOSTLIST_ACTIONS

    def __init__(
        self,
        hosts: list[dict] | None = None,
        *,
        lag_s: float = DEFAULT_LAG_S,
        address: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        super().__init__(address, port)
        self.lag_s = lag_s
        self.hosts: dict[str, dict] = {host["name"]: host for host in hosts or []}
        self._shown = list(self.hosts.values())

    def serve(self, conn: Connection, req: StandinRequest) -> None:
        """Answer with the lagging list."""
        if req.path != LIST_PATH:
            conn.respond(404)
            return
        region = req.argument("region")
        conn.respond_json({"hosts": [_seen_from(host, region) for host in self._shown]})

    def put_host(self, host: dict) -> None:
        """Add or replace an entry."""
        self.hosts[host["name"]] = host
        self._show_later()

    def remove_host(self, name: str) -> None:
        """Remove an entry."""
        self.hosts.pop(name, None)
        self._show_later()

    def mark_leaving(self, name: str, leaving: bool = True) -> None:
        """Set whether a host is about to be stopped."""
        if name not in self.hosts:
            raise CrocusError(f"no host {name!r}", code="unknown_name")
        self.hosts[name] = {**self.hosts[name], "leaving": leaving}
        self._show_later()

    def _show_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self._show, list(self.hosts.values()))

    def _show(self, hosts: list[dict]) -> None:
        self._shown = hosts


def _seen_from(host: dict, region: str) -> dict:
    shown = {key: value for key, value in host.items() if key != "via"}
    if region in host.get("via", {}):
        shown["address"], shown["port"] = host["via"][region]
    return shown


@HOSTLIST_ACTIONS.register("put_host")
def put_host(standin: HostListStandin, command: Command) -> None:
    """Add or replace the entry ``host``."""
    host = command.arguments.get("host")
    if not isinstance(host, dict) or "name" not in host:
        raise CrocusError("host must be an object with a name", code="bad_command")
    standin.put_host(host)


@HOSTLIST_ACTIONS.register("remove_host")
def remove_host(standin: HostListStandin, command: Command) -> None:
    """Remove the entry ``name``."""
    standin.remove_host(command.text("name"))


@HOSTLIST_ACTIONS.register("leaving")
def mark_leaving(standin: HostListStandin, command: Command) -> None:
    """Mark the entry ``name`` as leaving, or not with ``leaving`` false."""
    standin.mark_leaving(command.text("name"), command.flag("leaving", True))


@HOSTLIST_ACTIONS.register("lag")
def set_lag(standin: HostListStandin, command: Command) -> None:
    """Set the lag of later updates to ``lag_s`` seconds."""
    standin.lag_s = command.number("lag_s", DEFAULT_LAG_S)
