"""Faults that need several steps, or answers that are odd by themselves."""

import asyncio
import random
from typing import TYPE_CHECKING

from ._checks import STABLE_S
from ._faults import APPLY_S, EVERYWHERE_S, FAULTS, READER_PAUSE_S
from ._offering_callers import OfferingCaller

if TYPE_CHECKING:
    from ._world import World

OUTAGE_MIN_S = 1.6  # beyond the shortest outage after which removals are held back
OUTAGES = 3
CALM_MAX_S = 1.5  # after the moment from which bounds count again
IN_FORCE_S = 5.5  # of an order, before the store goes away
# From the return of the store to an operator's write; bounds count from STABLE_S on.
LATE_WRITES_S = (4.5, 7.0, 9.0)
ORDER_S = 24.0  # until an order is taken back
DEADLY_S = 9.0  # some seconds beyond the third crash and the time until it is known
# Shares of an answer's bytes that are out when a server crashes. One before the first
# byte is another fault's; one after the last byte is not counted yet.
CRASH_SHARES = (0.03, 0.4, 0.7, 0.99)


@FAULTS.register("offered_upgrades")
async def offer_upgrades(world: "World", rng: random.Random, for_s: float) -> None:
    """Let callers offer other protocols with their requests."""
    loop = asyncio.get_running_loop()
    callers = [
        OfferingCaller(world.daemons, rng, world.promises.asked) for _ in world.daemons
    ]
    tasks = [loop.create_task(caller.run()) for caller in callers]
    await world.sleep(for_s + EVERYWHERE_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@FAULTS.register("deadly_answers")
async def crash_in_answers(world: "World", rng: random.Random, for_s: float) -> None:
    """Let a request crash servers at any byte of their answers."""
    path = f"/look/deadly-answer-{len(world.played)}"
    world.crash_shares[path] = rng.choice(CRASH_SHARES)
    world.deadly.add(path)
    entry = ("GET", path)
    world.paths.append(entry)
    await world.sleep(2.0 * for_s + DEADLY_S)
    world.paths.remove(entry)


@FAULTS.register("late_operators")
async def write_orders_late(world: "World", rng: random.Random, for_s: float) -> None:
    """Restore the store from a copy without an order, which is written again late."""
    data_centre = rng.choice(world.data_centres)
    if world.is_out(data_centre):
        return
    copy = world.store.copy()
    out = asyncio.create_task(world.evacuate(data_centre, ORDER_S))
    await world.sleep(IN_FORCE_S)
    with world.unstable():
        world.set_store_mode(rng.choice(["drop", "unavailable"]))
        await world.sleep(rng.choice([0.1, 0.5, 1.5]))
        world.store.restore(copy)
        world.set_store_mode("up")
        await world.sleep(rng.random())
        world.write_again("servers")
    await world.sleep(rng.choice(LATE_WRITES_S))
    world.write_again("op")
    await out


@FAULTS.register("readers_after_outage")
async def replace_readers(world: "World", rng: random.Random, for_s: float) -> None:
    """Kill the readers of all data centres, long after an outage, several times.

    Servers leave without a word at the same moment.
    """
    for _ in range(OUTAGES):
        with world.unstable():
            world.set_store_mode(rng.choice(["drop", "hang", "unavailable"]))
            await world.sleep(OUTAGE_MIN_S + for_s)
            world.set_store_mode("up")
        await world.sleep(STABLE_S + CALM_MAX_S * rng.random())
        readers = [
            min(
                (d for d in world.daemons if d.data_centre == data_centre),
                key=lambda daemon: daemon.name,
            )
            for data_centre in world.data_centres
        ]
        for reader in readers:
            reader.kill()
        for reader in readers:
            await reader.wait(2.0)
        for data_centre in world.data_centres:
            used = [t for t in world.targets if t.data_centre == data_centre]
            if used:
                await world.remove_serving(rng.choice(used))
        await world.sleep(READER_PAUSE_S)
        for reader in readers:
            await reader.start()
            world.disturb(reader, 1.0)


@FAULTS.register("odd_statuses")
async def answer_oddly(world: "World", rng: random.Random, for_s: float) -> None:
    """Let some servers answer with statuses that are none, and then all."""
    some = rng.sample(world.targets, len(world.targets) // 3)
    for chosen, lasts_s in ((some, for_s), (list(world.targets), EVERYWHERE_S)):
        with world.unstable():
            for target in chosen:
                target.mode, target.share = "odd_status", rng.choice([0.3, 1.0])
            await world.sleep(lasts_s)
            for target in chosen:
                target.mode = ""
    await world.sleep(APPLY_S)
