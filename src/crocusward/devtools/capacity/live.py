"""Measures one running deployment and prints one line of JSON.

``scripts/measure-capacity.sh`` runs it while the deployment is up.
"""

import asyncio
import json
from pathlib import Path

import cyclopts

from ..deployment import load_plan
from ._case import Case
from ._daemons import DaemonView, load_daemons
from ._path import measure_path
from ._phases import Setup, measure_changes, measure_idle, measure_traffic


def measure(directory: Path) -> dict[str, object]:
    """Measure a running deployment.

    Args:
        directory: Directory of its files.
    """
    case = Case.load(directory)
    daemons = load_daemons(load_plan(directory))
    setup = Setup(case, daemons)
    setup.run()
    table: dict[str, object] = {
        "case": case.name,
        "peers": case.hosts - 1,
        "backends": case.backends,
        "services": case.services,
    }
    idle = asyncio.run(measure_idle(case, daemons))
    table["idle"] = idle
    if case.peers:
        # Before any request: ramps of cold servers cause control traffic too.
        baseline = idle["control_bytes_s"][0]  # type: ignore[index]
        work = measure_changes(case, daemons, setup, baseline)
        table["changes"] = asyncio.run(work)
        table["traffic"] = asyncio.run(measure_traffic(case, daemons))
    if case.requests:
        backends = _backends_near(directory, daemons[0], case.service_names()[0])
        table["requests"] = measure_path(case, daemons[0], backends)
    return table


def _backends_near(
    directory: Path, daemon: DaemonView, service: str
) -> list[tuple[str, int]]:
    """Return the addresses of the servers of a service in a daemon's region."""
    places = json.loads((directory / "places.json").read_text(encoding="utf-8"))
    region = daemon.entry.region
    near = [p for p in places if p["region"] == region and p["service"] == service]
    return [(place["address"], place["port"]) for place in near]


def main(directory: Path) -> None:
    """Measure the deployment of a directory."""
    print(json.dumps(measure(directory)))


if __name__ == "__main__":
    cyclopts.run(main)
