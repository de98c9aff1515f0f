"""A request crashes each target that runs it, after the target has begun to answer."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab"))
import lab  # noqa: E402

DEADLY = "/katalog/deadly"
BACK_AFTER_S = 2.5  # a crashed target starts again
PERIOD_S = 1.0  # between the client's tries
PLAY_S = 30.0
MAX_RETRIES = 3  # NEWS, BUDGET: no more once the third crash is `stability` old
ANSWER_LINES = 100


async def play(world: lab.World, trouble: str) -> list[str]:
    """Play the case.

    TROUBLE=0: the request crashes no target. TROUBLE=plain: targets crash before they
    send a byte.
    """
    crashes: list[float] = []
    restarts: list[asyncio.Task] = []
    asks: list[asyncio.Task] = []

    async def behave(target, req, writer, common) -> bool:
        if req.target != DEADLY or trouble == "0":
            return False
        world.note_run(target, req)
        await asyncio.sleep(0.02)
        if trouble != "plain":
            body = lab.make_body(target, req) * ANSWER_LINES
            answer = lab.make_answer(200, [*common, lab.signature(body)], body)
            writer.write(answer[: len(answer) // 2])
            await writer.drain()
            await asyncio.sleep(0.02)
        if target.is_up:
            crashes.append(lab.now())
            target.crash()
            restarts.append(asyncio.create_task(restart(target)))
        raise ConnectionResetError

    async def restart(target) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        await target.start()

    async def ask_innocent() -> None:
        for index in range(int(PLAY_S / 0.2)):
            daemon = world.daemons[index % len(world.daemons)]
            asks.append(asyncio.create_task(world.ask(daemon, "GET", "/katalog/a")))
            await asyncio.sleep(0.2)

    for target in world.targets:
        target.behave = behave
    innocent = asyncio.create_task(ask_innocent())
    for index in range(int(PLAY_S / PERIOD_S)):
        daemon = world.daemons[index % len(world.daemons)]
        asks.append(asyncio.create_task(world.ask(daemon, "GET", DEADLY)))
        await asyncio.sleep(PERIOD_S)
    await innocent
    await asyncio.gather(*asks, *restarts)
    if len(crashes) < 3:
        return []
    bound_s = crashes[2] + lab.STABILITY_S
    deadly = {req.id for _, _, _, req in world.runs if req.target == DEADLY}
    late = [id for at, _, id in world.arrivals if id in deadly and at > bound_s]
    if len(late) <= MAX_RETRIES:
        return []
    return [
        f"BUDGET: the request reached targets {len(late)} times later than"
        f" {lab.STABILITY_S:g} s after the third crash; it crashed"
        f" {len(crashes)} targets in {PLAY_S:g} s"
    ]


if __name__ == "__main__":
    lab.main(
        play,
        CASE / "record.txt",
        limit_s=90.0,
        targets={"materjalid": {"tallinn-a": 4, "tartu-a": 4}},
    )
