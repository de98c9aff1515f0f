"""Measures the cost of every part and prints one line of JSON at the end.

The program writes the files of all deployments and then becomes the script that
starts the processes, so that no process of ours starts another.
"""

import os
import tempfile
from pathlib import Path

import cyclopts

from ._case import full_cases, prepare_case, quick_case

ROOT = Path(__file__).resolve().parents[4]
SCRIPT = ROOT / "scripts" / "measure-capacity.sh"
EXAMPLE = ROOT / "examples" / "binders"
PORTS_PER_CASE = 1_400  # above the ports that a case of 540 backend servers uses


def main(*, quick: bool = False, network: int = 33, port_base: int = 23_000) -> None:
    """Measure everything.

    Args:
        quick: Measure one deployment only, so without slopes per peer and server.
        network: Second byte of the loopback addresses.
        port_base: First port.
    """
    directory = Path(tempfile.mkdtemp(prefix="crocusward-capacity-"))
    names = []
    for number, case in enumerate([quick_case()] if quick else full_cases()):
        port = port_base + number * PORTS_PER_CASE
        prepare_case(
            case, EXAMPLE, directory / case.name, network=network, port_base=port
        )
        names.append(case.name)
    mode = "quick" if quick else "full"
    os.execv("/bin/bash", ["bash", str(SCRIPT), str(directory), mode, *names])


if __name__ == "__main__":
    cyclopts.run(main)
