"""Runs the host list stand-in."""

from pathlib import Path

import cyclopts

from ._hostlist import DEFAULT_LAG_S, HostListStandin, load_hosts
from ._runner import DEFAULT_LIFETIME_S, run_standins


def main(
    *,
    port: int,
    address: str = "127.0.0.1",
    hosts: Path | None = None,
    lag: float = DEFAULT_LAG_S,
    lifetime: float = DEFAULT_LIFETIME_S,
) -> None:
    """Serve the hosts of a JSON or TOML file for ``lifetime`` seconds."""
    entries = load_hosts(hosts) if hosts is not None else []
    standin = HostListStandin(entries, lag_s=lag, address=address, port=port)
    run_standins([standin], lifetime)


if __name__ == "__main__":
    cyclopts.run(main)
