"""Faults of the soak; each begins, lasts, and ends."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from ...registry import Registry
from ..standins._flood import FLOODS
from ._callers import LONG_BODY_PREFIX
from ._checks import APPLY_S, STABLE_S, FloodSpan
from ._targets import DOUBTFUL_MODES, NOT_RUN_LINE

if TYPE_CHECKING:
    from ._world import World

Fault = Callable[["World", random.Random, float], Coroutine[Any, Any, None]]
FAULTS: Registry[Fault] = Registry("fault")
LIMIT_MIN_S = 4.0  # beyond the time from which a limit binds
LIMIT_FACTOR = 2.0
SERVICE_NAMES = ("alpha", "beta")
LOST_WRITES = 300
BUSY_S = 2.0  # work of a server for which requests wait
STARTED_S = 0.9  # after which a restarted daemon serves
READER_PAUSE_S = 3.5  # until the hosts are in touch again
READ_S = 0.5  # until daemons have read a change, in calm
COLD_S = 3.0  # of a server that has just started
LONG_REQUEST = ("POST", f"{LONG_BODY_PREFIX}x")
EVERYWHERE_S = 2.0  # of a fault at all servers, for some dozens of odd answers
REFUSAL_STATUSES = (503, 429, 421)


@FAULTS.register("daemon_kill")
async def kill_daemon(world: "World", rng: random.Random, for_s: float) -> None:
    """Kill a daemon, sometimes several, and start them again."""
    chosen = rng.sample(world.daemons, rng.choice([1, 1, 2, len(world.daemons)]))
    for daemon in chosen:
        daemon.kill()
    await world.sleep(min(for_s, 1.0))
    for daemon in chosen:
        await daemon.wait(2.0)
        await daemon.start()
        world.disturb(daemon, 1.0)


@FAULTS.register("daemon_pause")
async def pause_daemon(world: "World", rng: random.Random, for_s: float) -> None:
    """Freeze a daemon and let it go on."""
    daemon = rng.choice(world.daemons)
    with world.unstable(daemon.address):
        daemon.pause()
        await world.sleep(for_s)
        daemon.resume()


@FAULTS.register("daemon_stop")
async def stop_daemon(world: "World", rng: random.Random, for_s: float) -> None:
    """Stop a daemon as planned and start it again."""
    daemon = rng.choice(world.daemons)
    if daemon.paused or daemon.stopping_s is not None or not daemon.is_running:
        return
    world.stop_planned(daemon)
    await world.wait_for_stop(daemon)


@FAULTS.register("settings_reload")
async def reload_settings(world: "World", rng: random.Random, for_s: float) -> None:
    """Tell daemons that their settings changed."""
    for daemon in rng.sample(world.daemons, 2):
        daemon.reload()
        await world.sleep(0.2)


@FAULTS.register("store_down")
async def take_store_down(world: "World", rng: random.Random, for_s: float) -> None:
    """Let the store refuse, hang, drop or answer late."""
    with world.unstable():
        world.set_store_mode(rng.choice(["unavailable", "hang", "drop", "slow"]))
        await world.sleep(for_s)
        world.set_store_mode("up")


@FAULTS.register("store_refuses_some")
async def refuse_some(world: "World", rng: random.Random, for_s: float) -> None:
    """Let the path to the store go silent for good on open connections."""
    with world.unstable():
        world.store_proxy.mute_open()
        await world.sleep(0.5)


@FAULTS.register("store_forgets")
async def forget_history(world: "World", rng: random.Random, for_s: float) -> None:
    """Drop the store's history."""
    with world.unstable():
        world.store.forget_history()
        await world.sleep(0.2)


@FAULTS.register("store_restored")
async def restore_store(world: "World", rng: random.Random, for_s: float) -> None:
    """Let the store come back from an older copy; its writers write again later.

    Other lost rows leave its counter far behind what the daemons have read. A route
    moves afterwards, which they must not miss.
    """
    copy = world.store.copy()
    world.move_route()
    await world.sleep(2.0 * for_s)
    for number in range(LOST_WRITES):
        world.store.put("heartbeats", f"{number}", b"")
    await world.sleep(READ_S)
    with world.unstable():
        world.set_store_mode("drop")
        await world.sleep(rng.choice([0.1, 0.5, 1.5]))
        world.store.restore(copy)
        world.set_store_mode("up")
        await world.sleep(1.5 * rng.random())
        world.write_again()
    await world.sleep(STABLE_S + READ_S)
    world.move_route()
    await world.sleep(APPLY_S + 1.0)


@FAULTS.register("store_loses_answers")
async def lose_answers(world: "World", rng: random.Random, for_s: float) -> None:
    """Apply writes and lose their answers."""
    world.store.lose_answers += 2


@FAULTS.register("server_misbehaves")
async def misbehave(world: "World", rng: random.Random, for_s: float) -> None:
    """Let some servers hang, reset, lose, cut, shed or answer twice."""
    modes = ["hang", "reset", "lose", "cut", "shed", "extra"]
    chosen = rng.sample(world.targets, 2)
    with world.unstable():
        for target in chosen:
            target.mode = rng.choice(modes)
            target.share = rng.choice([0.3, 1.0])
        await world.sleep(for_s)
        for target in chosen:
            target.mode = ""


@FAULTS.register("repeated_refusals")
async def repeat_refusals(world: "World", rng: random.Random, for_s: float) -> None:
    """Let some servers refuse probes or requests twice, and then all of them.

    Status 421 comes with and without the not-run header, the others always with it.
    """
    some = rng.sample(world.targets, len(world.targets) // 3)
    for chosen, lasts_s in ((some, for_s), (list(world.targets), EVERYWHERE_S)):
        with world.unstable():
            for target in chosen:
                status = rng.choice(REFUSAL_STATUSES)
                is_marked = status != 421 or rng.random() < 0.5
                target.refusal_head = b"HTTP/1.1 %d Refused\r\n" % status
                target.refusal_head += NOT_RUN_LINE if is_marked else b""
                target.names_request = rng.random() < 0.3
                target.repeated_share = rng.choice([0.4, 0.4, 1.0])
                target.repeated = rng.choice(["probe", "probe", "request"])
            await world.sleep(lasts_s)
            for target in chosen:
                target.repeated = ""


@FAULTS.register("doubtful_answers")
async def answer_doubtfully(world: "World", rng: random.Random, for_s: float) -> None:
    """Let some servers answer so that a host might take a run for none, then all.

    Callers send long bodies as well, which a server may answer before it has read them.
    """
    some = rng.sample(world.targets, len(world.targets) // 3)
    modes = rng.sample(sorted(DOUBTFUL_MODES), len(DOUBTFUL_MODES))
    world.paths.append(LONG_REQUEST)
    for chosen, lasts_s in ((some, for_s), (list(world.targets), EVERYWHERE_S)):
        with world.unstable():
            for target, mode in zip(chosen, itertools.cycle(modes), strict=False):
                target.mode, target.share = mode, rng.choice([0.4, 1.0])
            await world.sleep(lasts_s)
            for target in chosen:
                target.mode = ""
    world.paths.remove(LONG_REQUEST)


@FAULTS.register("server_limits")
async def limit_rate(world: "World", rng: random.Random, for_s: float) -> None:
    """Let some servers name rate limits that change, and values that are not valid."""
    for target in rng.sample(world.targets, rng.choice([2, 4, len(world.targets)])):
        if not target.limits:
            world.start_limit(target, rng.choice([1.0, 2.0, 4.0]))
    await world.sleep(LIMIT_FACTOR * for_s + LIMIT_MIN_S)
    for target in world.targets:
        target.limits = [*target.limits[:1], "-1"] if target.limits else []
    await world.sleep(for_s)
    for target in world.targets:
        if target.limits:
            world.end_limit(target)
            if rng.random() < 0.5:
                world.start_limit(target, rng.choice([0.5, 3.0]))
    await world.sleep(LIMIT_FACTOR * for_s + LIMIT_MIN_S)
    for target in world.targets:
        world.end_limit(target)


@FAULTS.register("server_says_leaving")
async def say_leaving(world: "World", rng: random.Random, for_s: float) -> None:
    """Let a server say that it leaves, some time before its entry does."""
    target = rng.choice(world.targets)
    target.is_leaving = True
    await world.sleep(2.0 * for_s + 1.0)
    if target in world.targets:
        await world.replace_target(target)


@FAULTS.register("server_pauses")
async def pause_server(world: "World", rng: random.Random, for_s: float) -> None:
    """Let servers refuse requests with the time for which they want none."""
    chosen = rng.sample(world.targets, rng.choice([1, 3]))
    with world.unstable():
        for target in chosen:
            target.mode, target.share = "shed", rng.choice([0.3, 1.0])
            target.pause_s = rng.choice([0.8, 2.0, 5.0])
        await world.sleep(for_s)
        for target in chosen:
            target.mode, target.pause_s = "", 0.0


@FAULTS.register("deadly_request")
async def send_deadly(world: "World", rng: random.Random, for_s: float) -> None:
    """Let callers send a request that crashes each server which runs it."""
    path = f"/look/deadly-{len(world.played)}"
    world.deadly.add(path)
    entry = ("GET", path)
    world.paths.append(entry)
    await world.sleep(2.0 * for_s + 4.0)
    world.paths.remove(entry)


@FAULTS.register("reader_pauses")
async def pause_readers(world: "World", rng: random.Random, for_s: float) -> None:
    """Freeze the daemons that read the store while a route moves.

    Their listeners still accept connections, which stay silent.
    """
    chosen = rng.sample(world.daemons, max(1, len(world.daemons) // 3))
    with contextlib.ExitStack() as stack:
        for daemon in chosen:
            stack.enter_context(world.unstable(daemon.address))
            daemon.pause()
        await world.sleep(rng.choice([0.0, 0.4]))
        world.move_route()
        await world.sleep(for_s + APPLY_S)
        for daemon in chosen:
            daemon.resume()


@FAULTS.register("reader_restarts")
async def restart_readers(world: "World", rng: random.Random, for_s: float) -> None:
    """Remove servers while the daemon that reads the store restarts, in series."""
    for _ in range(rng.choice([1, 2, 3])):
        data_centre = rng.choice(world.data_centres)
        members = [d for d in world.daemons if d.data_centre == data_centre]
        reader = min(members, key=lambda daemon: daemon.name)
        used = [t for t in world.targets if t.data_centre == data_centre]
        reader.kill()
        await reader.wait(2.0)
        if used:
            await world.remove_serving(rng.choice(used))
        await world.sleep(rng.choice([0.0, 0.0, 0.3]))
        await reader.start()
        world.disturb(reader, 1.0)
        await world.sleep(READER_PAUSE_S)


@FAULTS.register("awaited_slots")
async def restart_waiting(world: "World", rng: random.Random, for_s: float) -> None:
    """Restart daemons twice within a second or so while they wait for others' slots.

    Their data centre is out of service, and servers elsewhere are busy. After each
    restart, requests for the other service wait there.
    """
    data_centre = rng.choice(world.data_centres)
    members = [d for d in world.daemons if d.data_centre == data_centre]
    out = asyncio.create_task(world.evacuate(data_centre, for_s + 9.0))
    await world.sleep(APPLY_S)
    services = rng.sample(SERVICE_NAMES, 2)
    with world.unstable():
        chosen = [t for t in world.targets if t.data_centre != data_centre]
        for target in chosen:
            target.work_s = BUSY_S
        waiting = world.ask_for_slots(world.daemons, services[0])
        await world.sleep(0.3)
        for round_number in (1, 2):
            waiting += world.ask_for_slots(members, services[round_number - 1])
            await world.sleep(0.2 + 0.3 * rng.random())
            for daemon in members:
                daemon.kill()
            for daemon in members:
                await daemon.start()
                world.disturb(daemon, 1.0)
            await world.sleep(STARTED_S)
            waiting += world.ask_for_slots(members, services[round_number % 2])
        for target in chosen:
            target.work_s = 0.0
        await asyncio.gather(*waiting)
    await out


@FAULTS.register("server_floods")
async def flood(world: "World", rng: random.Random, for_s: float) -> None:
    """Let servers of one service send bytes without end."""
    service = rng.choice(SERVICE_NAMES)
    chosen = [t for t in world.targets if t.service == service]
    span = FloodSpan(service, world.now_s())
    world.promises.floods.append(span)
    for target in rng.sample(chosen, min(len(chosen), rng.choice([1, 3, 6]))):
        target.flood = rng.choice(sorted(FLOODS))
        target.mode, target.share = "flood", 1.0
    await world.sleep(for_s + 2.0)
    span.end_s = world.now_s()
    for target in chosen:
        target.mode = ""


@FAULTS.register("server_path")
async def harm_path(world: "World", rng: random.Random, for_s: float) -> None:
    """Delay, reset, silence or cut one way the path to a server."""
    target = rng.choice(world.targets)
    proxy = world.proxies[target.id]
    kind = rng.choice(["delay", "reset", "silent", "deaf", "refuse", "mute"])
    with world.unstable(), world.harmed(target):
        if kind == "reset":
            proxy.reset()
        elif kind == "mute":
            proxy.mute_open()
        elif kind == "delay":
            proxy.delay_s = 0.15
        else:
            setattr(proxy, kind, True)
        await world.sleep(for_s)
        proxy.delay_s = 0.0
        proxy.silent = proxy.deaf = proxy.refuse = False


@FAULTS.register("server_leaves")
async def leave(world: "World", rng: random.Random, for_s: float) -> None:
    """Let a server announce its end and leave; another one takes its place."""
    await world.replace_target(rng.choice(world.targets))


@FAULTS.register("servers_start_cold")
async def start_cold(world: "World", rng: random.Random, for_s: float) -> None:
    """Start several cold servers of one data centre at once."""
    service = rng.choice(SERVICE_NAMES)
    data_centre = rng.choice(world.data_centres)
    added = [
        await world.add_target(service, data_centre, cold_s=COLD_S)
        for _ in range(rng.choice([1, 3]))
    ]
    await world.sleep(COLD_S + for_s)
    for target in added:
        if target in world.targets:
            await world.remove_target(target)


@FAULTS.register("address_reuse")
async def reuse_address(world: "World", rng: random.Random, for_s: float) -> None:
    """End a server without notice; one of another service gets its address."""
    await world.reuse_address(rng.choice(world.targets))


@FAULTS.register("evacuate")
async def evacuate(world: "World", rng: random.Random, for_s: float) -> None:
    """Take a data centre out of service and back."""
    await world.evacuate(rng.choice(world.data_centres), for_s + 6.0)


@FAULTS.register("route_moves")
async def move_route(world: "World", rng: random.Random, for_s: float) -> None:
    """Move a route to another service, sometimes several times quickly."""
    for _ in range(rng.choice([1, 1, 3])):
        world.move_route()
        await world.sleep(rng.choice([0.1, 2.5]))
