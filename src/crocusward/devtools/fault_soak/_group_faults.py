"""Faults for which the daemons of one data centre must work together."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING

from ._checks import FAR_SERVICE, LIMIT_STABLE_S, LIMIT_WINDOW_S, STABLE_S
from ._daemons import Daemon
from ._faults import FAULTS
from ._fresh_callers import FreshCaller, list_in_rotation

if TYPE_CHECKING:
    from ._world import World

STOP_GAPS_S = (0.3, 1.3)  # between the stops of a data centre, least and most
STOP_SERIES = 3
FRESH_PER_S = 18.0  # requests to a data centre whose daemons stop
FAR_SERVERS = 6
FAR_PER_S = 40.0  # requests from other data centres, far more than the limits
REMOVED_S = 1.0  # from the loss of a daemon until servers name limits
FAR_LIMIT_S = LIMIT_STABLE_S + 2.0 * LIMIT_WINDOW_S
FAR_PATH = f"/far-{FAR_SERVICE}/x"


@contextlib.asynccontextmanager
async def _fresh_callers(
    world: "World", choose: Callable[[], list[Daemon]], path: str, per_s: float
) -> AsyncIterator[None]:
    caller = FreshCaller(choose, world.rng, world.promises.asked, [path], per_s)
    task = asyncio.get_running_loop().create_task(caller.run())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@FAULTS.register("stops_in_series")
async def stop_in_series(world: "World", rng: random.Random, for_s: float) -> None:
    """Stop the daemons of each data centre in turn, overlapping, in several series.

    Callers open a connection for each request meanwhile, and go to stopping daemons
    while fewer than half are in rotation. Some daemons get signals again.
    """
    for _ in range(STOP_SERIES):
        series = [_stop_all(world, rng, name) for name in world.data_centres]
        await asyncio.gather(*series)
        await world.sleep(rng.choice([0.0, STABLE_S]))


async def _stop_all(world: "World", rng: random.Random, data_centre: str) -> None:
    members = [d for d in world.daemons if d.data_centre == data_centre]
    async with _fresh_callers(
        world,
        lambda: list_in_rotation(members, world.now_s()),
        "/order/x",
        FRESH_PER_S,
    ):
        stops = []
        for daemon in members:
            await world.sleep(rng.uniform(*STOP_GAPS_S))
            stops.append(asyncio.create_task(_stop_and_start(world, rng, daemon)))
        await asyncio.gather(*stops)


async def _stop_and_start(world: "World", rng: random.Random, daemon: Daemon) -> None:
    if daemon.paused or daemon.stopping_s is not None or not daemon.is_running:
        return
    world.stop_planned(daemon)
    if rng.random() < 0.5:
        await world.sleep(2.0 * rng.random())
        daemon.reload()
        daemon.stop_again()
    await world.wait_for_stop(daemon)


@FAULTS.register("foreign_limits")
async def limit_far_servers(world: "World", rng: random.Random, for_s: float) -> None:
    """Let servers name limits that only one daemon of another data centre sees.

    One of the daemons beside the servers is gone for good; if there are more than two,
    another restarts about the moment when the limits begin.
    """
    data_centre = rng.choice(world.data_centres)
    members = [d for d in world.daemons if d.data_centre == data_centre]
    learner = rng.choice([d for d in world.daemons if d.data_centre != data_centre])
    removed, *left = rng.sample(members, len(members))
    targets = [
        await world.add_target(FAR_SERVICE, data_centre) for _ in range(FAR_SERVERS)
    ]
    for target in targets:
        target.reports_load = False  # else the owners probe, and learn the limits
    async with _fresh_callers(
        world, lambda: [learner] if learner.is_running else [], FAR_PATH, FAR_PER_S
    ):
        await world.sleep(REMOVED_S)
        world.remove_daemon(removed)
        await world.sleep(REMOVED_S)
        for target in targets:
            world.start_limit(target, rng.choice([0.5, 1.0, 2.0]))
        if len(left) > 1:
            await world.sleep(0.5 * rng.random())
            await world.restart_daemon(rng.choice(left))
        await world.sleep(FAR_LIMIT_S + for_s)
        for target in targets:
            world.end_limit(target)
        await world.sleep(for_s)
    for target in targets:
        await world.drop_target(target)
    await world.return_daemon(removed)
