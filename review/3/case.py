"""A server that has left is in use again after the restart of one host."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import (  # noqa: E402
    TROUBLE,
    CannotRun,
    Client,
    Record,
    Target,
    World,
    run_case,
)

REGIONS = {"east-a": "east"}
HOST = "api.example"
RESTART_DELAY_S = 0.1
WORK_MS = 250  # so that several servers are in use at once
DRAIN_S = 2.0
STABILITY_S = 3.0
ROUNDS = 6  # until one breaks the rule
SERVES_ON_S = 12.0  # for which the server that leaves goes on serving


async def case(record: Record, folder: Path) -> str | None:
    world = World(record, REGIONS, folder)
    await world.store.start()
    names = ("front-east-a-1", "front-east-a-2", "front-east-a-3")
    daemons = [world.add_daemon(name, "east-a", []) for name in names]
    world.choose_ports()
    for daemon in daemons:
        daemon.seeds = [x.address for x in daemons]
    staying = Target(record, "i-stays", "stock", "east-a")
    leaving = [Target(record, f"i-leaves-{i}", "stock", "east-a") for i in range(ROUNDS)]
    for target in (staying, *leaving):
        await target.start()
        world.list_target(target)
    world.put_config(
        7,
        [
            {
                "name": "hold",
                "host": HOST,
                "prefix": "/stock/",
                "kind": "unsafe",
                "timeout": "1200ms",
                "slo": "600ms",
                "priority": 0,
                "service": "stock",
                "maxAttempts": 2,
            }
        ],
        ["stock"],
    )
    client = Client(record, HOST)
    tasks: list[asyncio.Task] = []

    async def send(seconds: float) -> None:
        """Send some requests a second to each daemon that is ready."""
        for _ in range(int(seconds / 0.1)):
            for daemon in daemons:
                if daemon.process.returncode is None:
                    ask = client.ask(daemon, "POST", f"/stock/{WORK_MS}", limit_ms=1200)
                    tasks.append(asyncio.create_task(ask))
            await asyncio.sleep(0.1)

    async def play_round(leaving: Target) -> str | None:
        """Have a server leave while the host that reads the store is down."""
        if not leaving.runs:
            raise CannotRun(f"{leaving.id} was not in use before it leaves")
        reader = daemons[0]
        if TROUBLE:
            reader.send_signal(signal.SIGKILL)
            await reader.process.wait()
        world.unlist_target(leaving)
        left_s = record.now_s()
        if TROUBLE:
            await asyncio.sleep(RESTART_DELAY_S)
            await reader.start()
        await reader.wait_until_ready()
        # From here on every machine is in touch again, and the time to drain is over.
        await asyncio.sleep(STABILITY_S + 0.5)
        await send(3.0)
        late = [run for run in leaving.runs if run[0] > left_s + DRAIN_S]
        if any(run[0] > left_s + SERVES_ON_S for run in late):
            raise CannotRun("the machine is too slow for the times of this case")
        if not late:
            return None
        at_s, id, path = late[0]
        return (
            f"DRAIN: {len(late)} requests reached {leaving.id} more than {DRAIN_S} s"
            f" after the store had accepted that it is gone (at {left_s:.3f} s), the"
            f" first, {id} for {path}, at {at_s:.3f} s"
        )

    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_until_ready()
        await asyncio.sleep(1.0)
        await send(1.0)
        for target in leaving:
            broken = await play_round(target)
            if broken:
                return broken
    finally:
        await asyncio.gather(*tasks, return_exceptions=True)
        for daemon in daemons:
            await daemon.end()
            daemon.copy_log()
    return None


if __name__ == "__main__":
    sys.exit(run_case(case, Path(sys.argv[1])))
