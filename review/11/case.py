"""Rolling restart of a zone's daemons while clients open a connection a request."""

import asyncio
import os
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from platform3 import (  # noqa: E402
    Balancer,
    Fleet,
    Record,
    Target,
    encode_request,
    new_id,
    read_message,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"tallinn-a": "pohja", "rakvere-b": "pohja"}
GAP_S = 1.3  # roll_term of the site's troubles
ROUNDS = 10
ROUND_S = 9.5
RATE_PER_S = 17.4  # of the zone tallinn-a on the day scale-1
WORK_S = 0.15  # koitetoo-tellimus
LIMIT_MS = 1200
LOSS_SLACK_S = 0.2

record = Record(HERE / "record.txt")
asked = []


async def ask(balancer, number):
    """One order: a new connection, PUT, one answer."""
    id = new_id()
    daemon = balancer.pick("tallinn-a", f"client-{number}")
    item = {"id": id, "host": daemon.name, "end": "no connection", "sent": None}
    asked.append(item)
    try:
        async with asyncio.timeout(LIMIT_MS / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(
                daemon.address, daemon.ports["front"]
            )
            path = f"/orders/{number}"
            writer.write(
                encode_request("PUT", "press.example", path, id, LIMIT_MS, b"x" * 1200)
            )
            item["sent"] = record.now()
            record.write("sent", id=id, host=daemon.name)
            item["end"] = "in flight"
            message = await read_message(reader)
            item["end"] = "closed without an answer"
            if message is not None:
                item["end"] = message[0].split(" ")[1]
            writer.close()
    except TimeoutError:
        item["end"] = "time limit"
    except OSError as exc:
        if item["sent"] is not None:
            item["end"] = f"closed without an answer ({type(exc).__name__})"
    item["at"] = record.now()
    record.write("ended", id=id, host=daemon.name, how=item["end"].replace(" ", "_"))


async def traffic(balancer):
    number = 0
    tasks = set()
    while True:
        number += 1
        task = asyncio.create_task(ask(balancer, number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(RATE_PER_S))


async def main():
    fleet = Fleet(record, ZONES)
    try:
        await fleet.store.start()
        for index in range(6):
            target = Target(
                record, fleet.store, "press", "tallinn-a", f"{fleet.network}.{40 + index}"
            )
            target.work = lambda path: random.uniform(0.1, 0.2)
            await target.start()
            fleet.targets.append(target)
        fleet.write_config(
            [
                {
                    "name": "orders",
                    "host": "press.example",
                    "prefix": "/orders/",
                    "service": "press",
                    "kind": "unsafe",
                    "maxAttempts": 1,
                    "timeout": "1200ms",
                    "slo": "400ms",
                    "priority": 0,
                }
            ],
            [
                {
                    "name": "press",
                    "healthPath": "/health",
                    "maxConns": 220,
                    "warmup": "3s",
                    "warmupPerS": 2.7,
                }
            ],
        )
        fleet.add_daemons({"tallinn-a": 3, "rakvere-b": 1})
        await fleet.start()
        await fleet.wait_ready()
        balancer = Balancer(fleet.daemons, record)
        fleet.tasks.append(asyncio.create_task(balancer.run()))
        await asyncio.sleep(3.0)
        fleet.tasks.append(asyncio.create_task(traffic(balancer)))
        own = [d for d in fleet.daemons if d.zone == "tallinn-a"]
        for _ in range(ROUNDS):
            began = record.now()
            stops = []
            if TROUBLE:
                for daemon in own:
                    stops.append(asyncio.create_task(daemon.stop_and_start()))
                    await asyncio.sleep(GAP_S)
            await asyncio.gather(*stops)
            await asyncio.sleep(max(0.0, ROUND_S - (record.now() - began)))
            if lost_orders(fleet):
                break
        await asyncio.sleep(1.0)
        fleet.tasks.pop().cancel()
        await asyncio.sleep(2.0)
        return judge(fleet)
    finally:
        await fleet.close()


def lost_orders(fleet):
    """Return the orders that a target got and whose connection ended without an answer."""
    begun = {run["id"] for target in fleet.targets for run in target.runs}
    return [
        item
        for item in asked
        if item["end"].startswith("closed without") and item["id"] in begun
    ]


def judge(fleet):
    ends = {}
    for item in asked:
        ends[item["end"]] = ends.get(item["end"], 0) + 1
    lost = lost_orders(fleet)
    for item in lost:
        runs = [r for t in fleet.targets for r in t.runs if r["id"] == item["id"]]
        took = item["at"] - item["sent"]
        record.write("LOST", id=item["id"], host=item["host"], after_s=f"{took:.3f}")
        print(f"LOST {item['id']} {item['host']} after {took:.3f} s; runs: {runs}")
    print(f"{len(asked)} orders: {ends}; lost after they were passed on: {len(lost)}")
    record.write("verdict", lost=len(lost), orders=len(asked))
    if ends.get("200", 0) < 0.5 * len(asked):
        return 2
    return 1 if lost else 0


run_case(main)
