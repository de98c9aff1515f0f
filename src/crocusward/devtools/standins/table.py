"""Runs the table service stand-in."""

import cyclopts

from ._runner import DEFAULT_LIFETIME_S, run_standins
from ._table import TableStandin


def main(
    *, port: int, address: str = "127.0.0.1", lifetime: float = DEFAULT_LIFETIME_S
) -> None:
    """Serve a table on a loopback address for ``lifetime`` seconds."""
    run_standins([TableStandin(address, port)], lifetime)


if __name__ == "__main__":
    cyclopts.run(main)
