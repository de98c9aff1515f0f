"""Targets name a limit after a daemon of their zone was removed for good."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from platform3 import (  # noqa: E402
    Fleet,
    Record,
    Target,
    encode_request,
    new_id,
    read_message,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT = "2"
RATE_PER_S = 40.0
WORK_S = 0.06
LIMIT_MS = 1500
CALM_S = 4.0
NEED_S = 20.0
TARGETS = 6
STABILITY_S = 3.0
WINDOW_S = 4.0

record = Record(HERE / "record.txt")
sent_by = {}  # id -> name of the daemon
passed_on = {}  # daemon -> when it first passed on an answer with the limit
statuses = {}


class Needy(Target):
    """Names a limit in its answers while it is in need."""

    in_need = False

    def extra_headers(self):
        return {"Server-Limit": LIMIT} if self.in_need else {}


async def ask(daemon, number):
    id = new_id()
    sent_by[id] = daemon.name
    reader, writer = await asyncio.open_connection(daemon.address, daemon.ports["front"])
    writer.write(encode_request("GET", "press.example", f"/look/{number}", id, LIMIT_MS))
    record.write("sent", id=id, host=daemon.name)
    message = await read_message(reader)
    writer.close()
    status = message[0].split(" ")[1] if message else "closed"
    statuses[status] = statuses.get(status, 0) + 1
    limit = message[1].get("server-limit", "-") if message else "-"
    if limit != "-":
        passed_on.setdefault(daemon.name, record.now())
    record.write("ended", id=id, how=status, server_limit=limit)


async def traffic(daemons):
    tasks = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(ask(daemons[number % len(daemons)], number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(RATE_PER_S))


async def main():
    fleet = Fleet(record, {"tallinn-a": "pohja", "rakvere-b": "pohja"})
    try:
        await fleet.store.start()
        for index in range(TARGETS):
            target = Needy(
                record, fleet.store, "press", "rakvere-b", f"{fleet.network}.{40 + index}"
            )
            target.work = lambda path: WORK_S
            await target.start()
            fleet.targets.append(target)
        fleet.write_config(
            [
                {
                    "name": "look",
                    "host": "press.example",
                    "prefix": "/look/",
                    "service": "press",
                    "kind": "safe",
                    "maxAttempts": 2,
                    "timeout": "1500ms",
                    "slo": "600ms",
                    "priority": 2,
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
        fleet.add_daemons({"tallinn-a": 1, "rakvere-b": 2})
        await fleet.start()
        await fleet.wait_ready()
        fleet.tasks.append(asyncio.create_task(traffic(fleet.daemons[:1])))
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            fleet.daemons[2].signal(signal.SIGKILL)  # it is not started again
        await asyncio.sleep(CALM_S)
        for needy in fleet.targets:
            needy.in_need = True
            record.write("in_need", server=needy.id, limit=LIMIT)
        began = record.now()
        await asyncio.sleep(NEED_S)
        return judge(fleet.targets, began)
    finally:
        await fleet.close()


def judge(targets, began):
    """Count arrivals in windows, as the rule LIMIT does."""
    first = min(passed_on.values(), default=None)
    allowed = 1.5 * float(LIMIT) * WINDOW_S + 5
    worst = 0
    for needy in targets:
        counted = [
            run["begin"]
            for run in needy.runs
            if first is not None
            and run["begin"] >= began + STABILITY_S
            and passed_on.get(sent_by[run["id"]], 1e9) + 0.5 <= run["begin"]
        ]
        most = max(
            (sum(t <= x < t + WINDOW_S for x in counted) for t in counted), default=0
        )
        worst = max(worst, most)
        print(f"{needy.id}: {most} requests in {WINDOW_S} s, allowed {allowed:.1f}")
    print(f"answers: {statuses}; limit passed on by {sorted(passed_on)}")
    record.write("verdict", most=worst, allowed=f"{allowed:.1f}")
    if statuses.get("200", 0) < 50 or first is None:
        return 2
    return 1 if worst > allowed else 0


run_case(main)
