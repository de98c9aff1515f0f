"""A drill restores the store from a copy that lacks an evacuation already in force."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab"))
import lab  # noqa: E402

ZONE = "tallinn-a"
ROW = f"evacuate/{ZONE}"
COPY_BEFORE_S = 0.5  # the copy is taken so long before the order
IN_FORCE_S = 5.5  # from the order to the drill; `evacuate` is 5 s
AWAY_S = 1.0
WRITTEN_AGAIN_S = 4.5  # three heartbeats after the return
ASKS_PER_S = 50.0


async def play(world: lab.World, trouble: str) -> list[str]:
    is_over = False
    asks: list[asyncio.Task] = []

    async def ask_all_the_time() -> None:
        for index in range(1_000_000):
            if is_over:
                return
            daemon = world.daemons[index % len(world.daemons)]
            asks.append(asyncio.create_task(world.ask(daemon, "GET", "/katalog/a")))
            await asyncio.sleep(1.0 / ASKS_PER_S)

    traffic = asyncio.create_task(ask_all_the_time())
    await asyncio.sleep(1.0)
    copy = world.store.copy()
    await asyncio.sleep(COPY_BEFORE_S)
    world.store.put("op", ROW, {})
    ordered_s = lab.now()
    await asyncio.sleep(IN_FORCE_S)
    if trouble != "0":
        world.take_store_down()
        await asyncio.sleep(AWAY_S)
        world.store.restore(copy)
        await world.bring_store_back()
    returned_s = lab.now()
    await asyncio.sleep(WRITTEN_AGAIN_S)
    world.store.put("op", ROW, {})
    again_s = lab.now()
    await asyncio.sleep(3.0)
    is_over = True
    await traffic
    await asyncio.gather(*asks)
    emptied = {t.id for t in world.targets if t.zone == ZONE}
    # The store was impaired until its return; only later than `stability` after that
    # are the machines in touch again.
    from_s = max(ordered_s + lab.EVACUATE_S, returned_s + lab.STABILITY_S)
    late = [at for at, id, _ in world.arrivals if id in emptied and at > from_s]
    if not late:
        return []
    return [
        f"EVAC: {len(late)} requests reached targets in {ZONE} between"
        f" {late[0] - returned_s:.2f} and {late[-1] - returned_s:.2f} s after the"
        f" return of the store, which was {late[0] - ordered_s:.1f} s and more after"
        f" the confirmation; the order was never taken back, and was written again"
        f" {again_s - returned_s:.2f} s after the return"
    ]


if __name__ == "__main__":
    lab.main(
        play,
        CASE / "record.txt",
        limit_s=60.0,
        targets={"materjalid": {"tallinn-a": 3, "tartu-a": 3}},
    )
