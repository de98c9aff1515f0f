"""Command line of the fault soak; ends with one line of JSON."""

import asyncio
import json
import sys
from pathlib import Path

import cyclopts

from ._planted import PLANTS
from ._world import run_soak

app = cyclopts.App(help="Plays faults against real entry daemons on loopback.")


@app.default
def main(
    *,
    seed: int = 1,
    duration: float = 12.0,
    daemons: int = 2,
    callers: int = 12,
    keep: Path | None = None,
    first: str = "",
    plant: str = "",
    loss: float = 0.0,
) -> int:
    """Play one run.

    Args:
        seed: Seed of the run.
        duration: Time in which faults begin, in seconds.
        daemons: Daemons in each of three data centres.
        callers: Callers.
        keep: Directory for settings and logs of the daemons.
        first: Name of the first fault, drawn by default.
        plant: Name of a wrong decision that the daemons take, to test the checks.
        loss: Share of the datagrams between daemons that are lost.
    """
    if plant:
        PLANTS.get(plant)  # an unknown name fails before anything starts
    world = asyncio.run(
        run_soak(
            seed,
            duration,
            daemons=daemons,
            callers=callers,
            keep=keep,
            first=first,
            plant=plant,
            loss=loss,
        )
    )
    asked = world.promises.asked
    served = sum(200 <= item.status < 300 for item in asked)
    for text in world.findings[:20]:
        print(text)
    print(
        json.dumps(
            {
                "seed": seed,
                "asked": len(asked),
                "served": served,
                "runs": len(world.promises.runs),
                "faults": len(world.played),
                "played": world.played,
                "odd_answers": world.odd_answers,
                "limits": len(world.promises.limits),
                "broken": len(world.findings),
            }
        )
    )
    return 1 if world.findings else 0


if __name__ == "__main__":
    sys.exit(app())
