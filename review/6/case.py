"""A client offers an upgrade (h2c) with its requests, as some HTTP libraries do."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab"))
import lab  # noqa: E402

# What a client sends that could also speak HTTP/2; a server may ignore it.
OFFER = (
    ("Connection", "Upgrade, HTTP2-Settings"),
    ("Upgrade", "h2c"),
    ("HTTP2-Settings", "AAMAAABkAAQAAP__"),
)
ORDERS = 40


async def ask_twice_on_one_connection(world: lab.World, offer) -> list[str]:
    """The second request, on the kept connection, must get an answer of its own."""
    broken = []
    for daemon in world.daemons:
        streams = await asyncio.open_connection(daemon.address, world.ports[0])
        first = await world.ask(
            daemon, "GET", "/katalog/a", headers=offer, streams=streams
        )
        await asyncio.sleep(0.1)
        keeps = first.headers.get("connection", "").lower() != "close"
        if first.status == 200 and keeps:
            second = await world.ask(daemon, "GET", "/katalog/b", streams=streams)
            if second.status not in (0, 200):
                broken.append(
                    f"MIXED: {second.id} got {second.status} {second.body!r} on a kept"
                    f" connection, the second answer to {first.id}"
                )
        streams[1].close()
    return broken


async def play(world: lab.World, trouble: str) -> list[str]:
    bodies = {}
    offer = () if trouble == "0" else OFFER

    async def order(index: int) -> None:
        body = b'{"album": %d, "press": "shared", "copies": 1}' % index
        daemon = world.daemons[index % len(world.daemons)]
        got = await world.ask(
            daemon, "PUT", f"/tellimus/{index}", body=body, headers=offer
        )
        bodies[got.id] = body

    for first in range(0, ORDERS, 4):
        await asyncio.gather(*(order(i) for i in range(first, first + 4)))
    broken = await ask_twice_on_one_connection(world, offer)
    await asyncio.sleep(1.0)
    for _, target, _, req in world.runs:
        if req.body != bodies.get(req.id, b""):
            broken.append(
                f"UNASKED: {target} ran {req.id} with a body of {len(req.body)} bytes,"
                f" {len(bodies[req.id])} were sent; the client got"
                f" {world.got[req.id].status}"
            )
    return broken


if __name__ == "__main__":
    lab.main(
        play,
        CASE / "record.txt",
        limit_s=60.0,
        targets={
            "materjalid": {"tallinn-a": 2, "tartu-a": 2},
            "tellimused": {"tallinn-a": 2, "tartu-a": 2},
        },
    )
