"""Runs the object store stand-in."""

import cyclopts

from ._objects import ObjectsStandin
from ._runner import DEFAULT_LIFETIME_S, run_standins


def main(
    *, port: int, address: str = "127.0.0.1", lifetime: float = DEFAULT_LIFETIME_S
) -> None:
    """Serve objects on a loopback address for ``lifetime`` seconds."""
    run_standins([ObjectsStandin(address, port)], lifetime)


if __name__ == "__main__":
    cyclopts.run(main)
