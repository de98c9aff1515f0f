"""A pipelined request is passed on and then cut, since the one before it is refused."""

import asyncio
import contextlib
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
    read_message,
    run_case,
)

HOST = "api.example"
SENT_AFTER_SIGTERM_S = 2.9
# Paths and time limits in milliseconds. A path ends with the time that it takes.
BATCH = (("/fast/300", 1200), ("/slow/50", 3000), ("/fast/400", 1200))


def route(name: str, timeout: str) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "safe",
        "timeout": timeout,
        "slo": "600ms",
        "priority": 0,
        "service": "stock",
        "maxAttempts": 2,
    }


async def case(record: Record, folder: Path) -> str | None:
    world = World(record, {"east-a": "east"}, folder)
    await world.store.start()
    daemon = world.add_daemon("front-east-a-1", "east-a", [])
    world.choose_ports()
    daemon.seeds = [daemon.address]
    targets = [Target(record, f"i-stock-{i}", "stock", "east-a") for i in (1, 2)]
    for target in targets:
        await target.start()
        world.list_target(target)
    world.put_config(7, [route("slow", "3s"), route("fast", "1200ms")], ["stock"])
    client = Client(record, HOST)
    answers: list[str] = []
    try:
        await daemon.start()
        await daemon.wait_until_ready()
        await asyncio.sleep(1.0)
        reader, writer = await asyncio.open_connection(
            daemon.address, daemon.ports["front"]
        )

        async def exchange(*paths: tuple[str, int]) -> None:
            """Send pipelined requests and read their answers."""
            sent = [client.encode("GET", path, limit) for path, limit in paths]
            for (id, _), (path, limit) in zip(sent, paths, strict=True):
                record.write(f"client sends {id} GET {path} ({limit} ms), pipelined")
            writer.write(b"".join(data for _, data in sent))
            for id, _ in sent:
                message = None
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    async with asyncio.timeout(4.0):
                        message = await read_message(reader)
                if message is None:
                    answers.append(f"{id}: the connection closed without an answer")
                else:
                    close = message.headers.get("connection", "kept")
                    answers.append(f"{id}: {message.status}, connection {close}")
                record.write(f"client gets for {answers[-1]}")

        await exchange(*BATCH)
        if TROUBLE:
            daemon.send_signal(signal.SIGTERM)
        await asyncio.sleep(SENT_AFTER_SIGTERM_S)
        await exchange(*BATCH)
        writer.close()
    finally:
        await daemon.end()
        daemon.copy_log()
    if not any("200" in answer for answer in answers[: len(BATCH)]):
        raise CannotRun("the requests before the signal were not served")
    run_ids = {id for target in targets for _, id, _ in target.runs}
    for answer in answers:
        if answer.endswith("without an answer") and answer.partition(":")[0] in run_ids:
            return f"LOST: a server ran {answer}"
    return None


if __name__ == "__main__":
    sys.exit(run_case(case, Path(sys.argv[1])))
