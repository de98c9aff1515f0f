"""Targets name a Server-Limit that is a decimal number of many digits."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab"))
import lab  # noqa: E402

LIMIT_PER_S = 10.0 / 3.0
# TROUBLE=short names the same limit with fewer digits.
TEXTS = {"1": repr(LIMIT_PER_S), "short": f"{LIMIT_PER_S:.4f}"}
PLAY_S = 20.0
ASKS_PER_S = 60.0
WINDOW_S, FACTOR, EXTRA, KNOWN_S = 4.0, 1.5, 5, 0.5  # NEWS, LIMIT


async def play(world: lab.World, trouble: str) -> list[str]:
    if trouble in TEXTS:
        for target in world.targets:
            target.extra_headers = [("Server-Limit", TEXTS[trouble])]
    asks = []
    for index in range(int(PLAY_S * ASKS_PER_S)):
        daemon = world.daemons[index % len(world.daemons)]
        asks.append(asyncio.create_task(world.ask(daemon, "GET", "/katalog/a")))
        await asyncio.sleep(1.0 / ASKS_PER_S)
    await asyncio.gather(*asks)
    if trouble not in TEXTS:
        return []
    ran_at = {req.id: target for _, target, _, req in world.runs}
    # When each daemon first passed on an answer with the limit, by target.
    told: dict[tuple[str, str], float] = {}
    for got in world.got.values():
        if got.status == 200 and "server-limit" in got.headers:
            key = (ran_at[got.id], got.daemon.name)
            told[key] = min(told.get(key, 1e18), got.ended_s)
    allowed = FACTOR * LIMIT_PER_S * WINDOW_S + EXTRA
    broken = []
    for target in world.targets:
        named_s = [at for (id, _), at in told.items() if id == target.id]
        if not named_s:
            continue
        binding_s = min(named_s) + lab.STABILITY_S
        times = sorted(
            at
            for at, id, req_id in world.arrivals
            if id == target.id
            and at > binding_s
            and at > told.get((id, world.got[req_id].daemon.name), 1e18) + KNOWN_S
        )
        most = max((sum(s <= t < s + WINDOW_S for t in times) for s in times), default=0)
        if most > allowed:
            broken.append(
                f"LIMIT: {target.id} named {TEXTS[trouble]} a second and got {most}"
                f" requests in {WINDOW_S:g} s, {allowed:.0f} are allowed"
            )
    return broken


if __name__ == "__main__":
    lab.main(
        play,
        CASE,
        limit_s=60.0,
        targets={"materjalid": {"tallinn-a": 3, "tartu-a": 3}},
    )
