"""Drives the demo: load, a data centre out and back, and a summary."""

import asyncio
import json
import random
import sys
import time
from collections import Counter
from pathlib import Path

import cyclopts

from ..timing import LoopTimer
from ..upstream import HttpPool
from .deployment import Plan, load_plan, load_shape
from .load import Caller, LoadGenerator, LoadOptions, Standins, Tally

RATE = 250.0  # calls per second
READY_LIMIT_S = 10.0
CONNECTIONS = 64
SEED = 2026
SETTLE_S = 3.0  # after which a data centre that was taken out gets no new work


class Demo:
    """The demo on a running deployment.

    Args:
        plan: The deployment.
        duration_s: Length of the load, in seconds.
    """

    def __init__(self, plan: Plan, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(SEED)
        self._plan = plan
        self._shape = load_shape(plan.example)
        self._duration_s = duration_s
        pool = HttpPool(LoopTimer(loop, rng), connections=CONNECTIONS)
        self._standins = Standins(plan, pool)
        self._tally = Tally()
        self._generator = LoadGenerator(
            Caller(pool, plan.caller_port, "demo"),
            plan.entries,
            self._shape.calls,
            rng,
            self._tally.add,
            self._standins.is_ready,
        )

    async def run(self) -> int:
        """Run the load and print the summary; return the exit status."""
        if not await self._standins.wait_ready(READY_LIMIT_S):
            print("the entry hosts did not become ready", file=sys.stderr)
            return 1
        await self._generator.run(LoadOptions(RATE, self._duration_s))
        executions = await self._standins.executions()
        checks = self._tally.check(executions, self._shape.calls)
        self._print_regions()
        self._print_centres(executions)
        lost = checks["lost"] + checks["doubled"] + checks["false_not_run"]
        summary = {
            "calls": len(self._tally.outcomes),
            "answered": len(self._tally.outcomes) - self._tally.failed(),
            "without_answer": self._tally.failed(),
            **checks,
        }
        print(json.dumps(summary))
        return 1 if lost or checks["misplaced"] or self._tally.failed() else 0

    def _print_regions(self) -> None:
        for region, counts in sorted(self._tally.by_region().items()):
            print(f"clients in {region}:")
            for name, count in sorted(counts.items()):
                print(f"  {count:6d}  {name}")

    def _print_centres(self, executions: list[dict]) -> None:
        counts: Counter[str] = Counter()
        centres = {f"-{centre.name}-": centre.name for centre in self._shape.centres}
        for row in executions:
            for part, name in centres.items():
                if part in row["backend"]:
                    counts[name] += 1
        text = ", ".join(f"{name} {counts[name]}" for name in sorted(counts))
        print(f"requests run by data centre: {text}")


def main(directory: Path, *, duration: float = 20.0) -> int:
    """Drive the demo on the deployment in a directory."""

    async def run() -> int:
        return await Demo(load_plan(directory), duration).run()

    started_s = time.monotonic()
    status = asyncio.run(run())
    print(f"demo load took {time.monotonic() - started_s:.1f} s")
    return status


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
