"""A target leaves as another host takes over the reads of the store, long after an outage."""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab"))
import lab  # noqa: E402

OUTAGE_S = 8.0  # the store is down once, at the beginning
CALM_S = 10.0  # then everything is calm
KILLS = 3  # one host after the other
ASKS_PER_S = 100.0
WORK_S = 0.08


def find_busiest(world: lab.World, killed: lab.Daemon) -> lab.Target:
    """Return the target that got most of the last requests from the other daemons."""
    counts = Counter(
        id
        for at, id, req_id in world.arrivals
        if at > lab.now() - 1.0 and world.got[req_id].daemon is not killed
    )
    staying = [t for t in world.targets if not t.is_leaving]
    return max(staying, key=lambda target: counts[target.id])


async def play(world: lab.World, trouble: str) -> list[str]:
    is_over = False
    asks: list[asyncio.Task] = []

    async def ask_all_the_time() -> None:
        for index in range(1_000_000):
            if is_over:
                return
            running = [d for d in world.daemons if d.process.returncode is None]
            daemon = running[index % len(running)]
            asks.append(asyncio.create_task(world.ask(daemon, "GET", "/katalog/a")))
            await asyncio.sleep(1.0 / ASKS_PER_S)

    traffic = asyncio.create_task(ask_all_the_time())
    if trouble != "0":
        world.take_store_down()
        await asyncio.sleep(OUTAGE_S)
        await world.bring_store_back()
    await asyncio.sleep(CALM_S)
    broken = []
    for killed in world.daemons[:KILLS]:
        killed.signal(signal.SIGKILL)
        world.record.write("killed", daemon=killed.name)
        await asyncio.sleep(0.2)
        target = find_busiest(world, killed)
        # It reports no draining: the entry goes, and it serves on.
        target.leave()
        left_s = lab.now()
        await asyncio.sleep(6.0)
        late = [
            at - left_s
            for at, id, req_id in world.arrivals
            if id == target.id
            and at > left_s + lab.DRAIN_S
            and world.got[req_id].daemon is not killed
        ]
        if late:
            broken.append(
                f"DRAIN: {target.id} got {len(late)} requests later than"
                f" {lab.DRAIN_S:g} s after the store had removed its entry, the last"
                f" one {late[-1]:.2f} s after; the store had been up for"
                f" {CALM_S:g} s before"
            )
        await asyncio.sleep(1.0)
    is_over = True
    await traffic
    await asyncio.gather(*asks)
    return broken


if __name__ == "__main__":
    lab.main(
        play,
        CASE / "record.txt",
        limit_s=100.0,
        work_s=WORK_S,
        zones=["tallinn-a"] * 5,
        targets={"materjalid": {"tallinn-a": 8}},
    )
