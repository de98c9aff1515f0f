"""Runs many backend server stand-ins in one process."""

import json
import random
from pathlib import Path

import cyclopts

from ...model import Backend
from ._backend_model import BackendBehaviour
from ._fleet import BackendFleet
from ._runner import DEFAULT_LIFETIME_S, run_standins


def load_places(path: Path) -> list[Backend]:
    """Read a JSON list of objects with the members of ``Backend``."""
    entries = json.loads(path.read_text(encoding="utf-8"))
    return [Backend(**entry) for entry in entries]


def main(
    *,
    port: int,
    places: Path,
    address: str = "127.0.0.1",
    mean_ms: float = 10.0,
    spread: float = 0.4,
    shed_queue: int = 40,
    cold_s: float = 4.0,
    cold_start: bool = False,
    antagonist_share: float = 0.0,
    seed: int = 1,
    lifetime: float = DEFAULT_LIFETIME_S,
) -> None:
    """Serve the servers of a JSON file; ``port`` is the control endpoint."""
    behaviour = BackendBehaviour(
        mean_s=mean_ms / 1000.0,
        spread=spread,
        shed_queue=shed_queue,
        cold_s=cold_s,
        warm_start=not cold_start,
    )
    fleet = BackendFleet(
        load_places(places),
        behaviour,
        random.Random(seed),
        address=address,
        port=port,
        antagonist_share=antagonist_share,
    )
    run_standins([fleet], lifetime)


if __name__ == "__main__":
    cyclopts.run(main)
