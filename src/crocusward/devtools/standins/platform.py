"""Runs table service, object store and host list in one process."""

from pathlib import Path

import cyclopts

from ._hostlist import DEFAULT_LAG_S, HostListStandin, load_hosts
from ._objects import ObjectsStandin
from ._runner import DEFAULT_LIFETIME_S, run_standins
from ._table import TableStandin


def main(
    *,
    port: int,
    address: str = "127.0.0.1",
    hosts: Path | None = None,
    lag: float = DEFAULT_LAG_S,
    lifetime: float = DEFAULT_LIFETIME_S,
) -> None:
    """Serve the table on ``port``, objects on the next and hosts on the third."""
    entries = load_hosts(hosts) if hosts is not None else []
    standins = [
        TableStandin(address, port),
        ObjectsStandin(address, port + 1),
        HostListStandin(entries, lag_s=lag, address=address, port=port + 2),
    ]
    run_standins(standins, lifetime)


if __name__ == "__main__":
    cyclopts.run(main)
