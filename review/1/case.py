"""A slot offered to the former process of a host is used by its next process."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import TROUBLE, CannotRun, Client, Record, Target, World, run_case  # noqa: E402

REGIONS = {"east-a": "east", "east-b": "east"}
HOST = "api.example"
RESTART_DELAY_S = 0.5
SETTLE_S = 0.5  # until the process has read the list of hosts
BUSY_MS = 3600


def route(name: str, prefix: str, service: str) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "unsafe",
        "timeout": "6s",
        "slo": "4s",
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
    }


async def case(record: Record, folder: Path) -> str | None:
    world = World(record, REGIONS, folder)
    await world.store.start()
    a = world.add_daemon("front-east-a-1", "east-a", [])
    b = world.add_daemon("front-east-b-1", "east-b", [])
    world.choose_ports()
    for daemon in world.daemons:
        daemon.seeds = [x.address for x in world.daemons]
    orders = Target(record, "i-orders-1", "orders", "east-b")
    stock = Target(record, "i-stock-1", "stock", "east-b")
    for target in (orders, stock):
        await target.start()
        world.list_target(target)
    world.put_config(
        7,
        [route("place", "/orders/", "orders"), route("hold", "/stock/", "stock")],
        ["orders", "stock"],
    )
    client = Client(record, HOST)
    tasks: list[asyncio.Task] = []

    def send(daemon, path, limit_ms=6000):
        task = asyncio.create_task(
            client.ask(daemon, "POST", path, limit_ms=limit_ms, body=b"x")
        )
        tasks.append(task)
        return task

    try:
        for daemon in world.daemons:
            await daemon.start()
        for daemon in world.daemons:
            await daemon.wait_until_ready()
        await asyncio.sleep(2.0)
        # Both servers are busy; then a request for stock waits for a slot there.
        for _ in range(2):
            send(b, f"/stock/{BUSY_MS}")
            send(b, f"/orders/{BUSY_MS + 800}")
        await asyncio.sleep(0.4)
        send(a, "/stock/100")
        await asyncio.sleep(0.3)
        if TROUBLE:
            a.send_signal(signal.SIGKILL)
            await a.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            await a.start()
        else:
            await asyncio.sleep(RESTART_DELAY_S)
        await a.wait_until_ready()
        await asyncio.sleep(SETTLE_S)
        if len(stock.runs) != 2 or len(orders.runs) != 2:
            raise CannotRun("the servers were not busy")
        _, answer = await send(a, "/orders/100")
        await asyncio.gather(*tasks)
    finally:
        for daemon in world.daemons:
            await daemon.end()
            daemon.copy_log()
    for target in (orders, stock):
        for at_s, id, path in target.runs:
            if not path.startswith(f"/{target.service}/"):
                return (
                    f"ROUTE: request {id} for {path} was run by {target.id} of service"
                    f" {target.service} at {at_s:.3f} s; its client got: {answer}"
                )
    return None


if __name__ == "__main__":
    sys.exit(run_case(case, Path(sys.argv[1])))
