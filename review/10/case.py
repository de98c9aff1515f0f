"""The settings name another address of the store, and SIGHUP says that they changed."""

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab"))
import lab  # noqa: E402

BOTH_OPEN_S = 10.0  # the store answers at both addresses for so long
PLAY_S = 10.0
ASKS_PER_S = 20.0


async def play(world: lab.World, trouble: str) -> list[str]:
    """Play the case.

    TROUBLE=0: the settings are written anew with the same address.
    """
    other = world.store.listen()
    await other.open()
    old = world.store_server
    port = old.port if trouble == "0" else other.port
    try:
        for daemon in world.daemons:
            daemon.write_settings(f"127.0.0.1:{port}")
            daemon.signal(signal.SIGHUP)
        world.record.write("settings_changed", store=f"127.0.0.1:{port}")
        await asyncio.sleep(BOTH_OPEN_S)
        if trouble != "0":
            old.close()
            world.record.write("old_address_closed", store=f"127.0.0.1:{old.port}")
        await asyncio.sleep(lab.STABILITY_S + 1.0)
        route = next(r for r in world.routes if r["name"] == "r-tellimus")
        route["service"] = "materjalid"
        world.write_config()
        confirmed_s = lab.now()
        asks = []
        for index in range(int(PLAY_S * ASKS_PER_S)):
            daemon = world.daemons[index % len(world.daemons)]
            ask = world.ask(daemon, "PUT", "/tellimus/a", body=b"order")
            asks.append(asyncio.create_task(ask))
            await asyncio.sleep(1.0 / ASKS_PER_S)
        await asyncio.gather(*asks)
    finally:
        other.close()
    late = [
        req.id
        for _, _, service, req in world.runs
        if service == "tellimused"
        and world.got[req.id].sent_s > confirmed_s + lab.CONFIG_APPLY_S
    ]
    if not late:
        return []
    sent = [
        got
        for got in world.got.values()
        if got.sent_s > confirmed_s + lab.CONFIG_APPLY_S
    ]
    return [
        f"CONFIG: {len(late)} of {len(sent)} requests that were sent later than"
        f" {lab.CONFIG_APPLY_S:g} s after the confirmation of a version ran at the"
        f" service of the version before it"
    ]


if __name__ == "__main__":
    lab.main(
        play,
        CASE,
        limit_s=60.0,
        targets={
            "materjalid": {"tallinn-a": 3, "tartu-a": 3},
            "tellimused": {"tallinn-a": 2, "tartu-a": 2},
        },
    )
