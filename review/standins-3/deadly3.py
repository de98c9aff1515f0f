"""Targets that a request crashes, and the check of the rule about such requests."""

import asyncio
import random
import time

from platform3 import (
    Fleet,
    Target,
    encode_request,
    new_id,
    read_message,
)

HOST = "press.example"
DEADLY = "/look/poison"
STABILITY_S = 3.0
BACK_S = 2.5  # until a target is back: "after some seconds"
MAX_RETRIES = 3
WORK_S = 0.22  # katalog-paring
LIMIT_MS = 1500
CLIENT_RETRIES = 1  # of a safe request, after any failure, within its time limit
MIN_LEFT_MS = 50
PERIOD_S = 1.0  # between the deadly requests
RUN_S = 36.0
ORDERS_PER_S = 45.0


class DeadlyTarget(Target):
    """Its process ends under the deadly request, and is back after some seconds.

    Args:
        crash_after_s: Time from the beginning of a run to the crash.
        is_answered: Whether the whole answer is sent right before the crash.
        is_deadly: Whether the request crashes it at all.
    """

    crash_after_s = 0.0
    is_answered = False
    is_deadly = True
    crashes = ()

    def is_poison(self, path):
        return self.is_deadly and path.partition("?")[0] == DEADLY

    async def _handle(self, writer, message):
        path = message[0].split(" ")[1]
        if not self.is_poison(path):
            return await super()._handle(writer, message)
        limit_s = int(message[1].get("crocusward-deadline-ms", "60000")) / 1000
        if self.is_answered:
            await super()._handle(writer, message)
            id = message[1].get("crocusward-request-id")
            if any(run["id"] == id and run["how"] == "done" for run in self.runs):
                self.crash()
            return
        if limit_s <= self.crash_after_s:
            # It stops work at its time limit, and answers 504.
            return await super()._handle(writer, message)
        crash = asyncio.get_running_loop().call_later(self.crash_after_s, self.crash)
        try:
            await super()._handle(writer, message)
        finally:
            crash.cancel()

    def crash(self):
        """End as a process does: all sockets are closed, the port refuses."""
        self.record.write("crash", server=self.id)
        self.crashes = [*self.crashes, self.record.now()]
        self._beat.cancel()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        asyncio.get_running_loop().create_task(self._come_back())

    async def _come_back(self):
        await asyncio.sleep(BACK_S)
        self.id = f"i-{random.randbytes(5).hex()}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self.report("ready")
        self._beat = asyncio.create_task(self._heartbeat())


class DeadlyRun:
    """One run: clients with orders, one client with the deadly request."""

    def __init__(self, record, make_target, paths=None):
        self.record = record
        self.fleet = Fleet(record, {"tallinn-a": "pohja"})
        self.make_target = make_target
        self.paths = paths or (lambda number: DEADLY)
        self.asked = []  # of orders: [id, end]
        self.statuses = {}

    async def run(self):
        fleet = self.fleet
        try:
            await fleet.store.start()
            for index in range(8):
                target = self.make_target(f"{fleet.network}.{40 + index}")
                await target.start()
                fleet.targets.append(target)
            fleet.write_config(_routes(), _services())
            fleet.add_daemons({"tallinn-a": 2})
            await fleet.start()
            await fleet.wait_ready()
            await asyncio.sleep(STABILITY_S + 0.5)  # in touch
            fleet.tasks.append(asyncio.create_task(self._orders()))
            fleet.tasks.append(asyncio.create_task(self._poison()))
            await asyncio.sleep(RUN_S)
            return self.judge()
        finally:
            await fleet.close()

    async def _ask(self, daemon, method, path, limit_ms, item=None):
        id = new_id()
        if item is not None:
            item[0] = id
        try:
            reader, writer = await asyncio.open_connection(
                daemon.address, daemon.ports["front"]
            )
            writer.write(encode_request(method, HOST, path, id, limit_ms, b""))
            self.record.write("sent", id=id, request=f"{method} {path}", limit=limit_ms)
            message = await read_message(reader)
            writer.close()
        except OSError:
            message = None
        how = message[0].split(" ")[1] if message else "closed"
        self.record.write("ended", id=id, how=how)
        if item is not None:
            item[1] = how
        return how

    async def _orders(self):
        tasks = set()
        number = 0
        while True:
            number += 1
            item = ["", "in flight"]
            self.asked.append(item)
            daemon = self.fleet.daemons[number % 2]
            task = asyncio.create_task(
                self._ask(daemon, "POST", f"/orders/{number}", LIMIT_MS, item)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(ORDERS_PER_S))

    async def _poison(self):
        """The client comes again, at either daemon."""
        number = 0
        while True:
            began = self.record.now()
            for _ in range(1 + CLIENT_RETRIES):
                left_ms = LIMIT_MS - int(1000 * (self.record.now() - began))
                if left_ms < MIN_LEFT_MS:
                    break
                daemon = self.fleet.daemons[number % 2]
                number += 1
                how = await self._ask(daemon, "GET", self.paths(number), left_ms)
                self.statuses[how] = self.statuses.get(how, 0) + 1
                if how == "200":
                    break
                if how == "503":  # Retry-After is longer than a third of the rest
                    break
            await asyncio.sleep(PERIOD_S)

    def judge(self):
        targets = self.fleet.targets
        crashes = sorted(at for t in targets for at in getattr(t, "crashes", ()))
        runs = [run for t in targets for run in t.runs]
        deadly = [r for r in runs if r["path"].partition("?")[0] == DEADLY]
        late = []
        lost = 0
        if len(crashes) >= 3:
            end = crashes[2] + STABILITY_S
            late = [run for run in deadly if run["begin"] > end]
            cut = {r["id"] for r in runs if r["how"] == "connection closed"}
            cut = {r["id"] for r in runs if r["id"] in cut and r["begin"] > end}
            lost = sum(id in cut and end_ != "200" for id, end_ in self.asked)
        good = sum(end == "200" for _, end in self.asked)
        print(f"deadly request: {len(deadly)} runs, answers {self.statuses};")
        print(f"{len(crashes)} crashes; runs later than {STABILITY_S} s after the third")
        print(f"crash: {len(late)}, {MAX_RETRIES} allowed; orders answered {good},")
        print(f"orders cut by crashes in that time: {lost}")
        self.record.write("verdict", crashes=len(crashes), late=len(late), lost=lost)
        if good < 100 or not deadly:
            return 2
        return 1 if len(late) > MAX_RETRIES else 0


def _routes():
    route = {
        "host": HOST,
        "service": "press",
        "maxAttempts": 2,
        "timeout": "1500ms",
        "slo": "600ms",
        "priority": 1,
    }
    return [
        {**route, "name": "look", "prefix": "/look/", "kind": "safe"},
        {**route, "name": "orders", "prefix": "/orders/", "kind": "unsafe"},
    ]


def _services():
    return [
        {
            "name": "press",
            "healthPath": "/health",
            "maxConns": 220,
            "warmup": "3s",
            "warmupPerS": 2.7,
        }
    ]
