"""Daemons as processes in front of backend servers whose refusals come twice."""

import asyncio
import json
import random
import sys
import unittest
from collections import Counter

from crocusward.errors import CrocusError

from .test_daemon import DaemonCase

PLAY_S = 4.0
CALLERS = 24
PAUSE_S = 0.03  # mean time between the requests of a caller
IDLE_PAUSE_S = 1.0  # the same where probes matter; busy servers get none
REFUSED_SHARE = 0.3
READY_TRIES = 200
MAX_REPEATS = 3  # of a request refused as not run, under the same id
COMMAND = "from crocusward.daemon import main; main()"


class ProcessCase(DaemonCase):
    """The first daemon runs here, to write the configuration; the others do not."""

    async def start_daemons(self):
        self.start_here(self.plan.entries[0])
        self.processes = []
        for entry in self.plan.entries[1:]:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                COMMAND,
                str(self.plan.directory / f"{entry.name}.toml"),
                stdout=self.log,
                stderr=self.log,
            )
            self.processes.append(process)

    async def asyncTearDown(self):
        for process in self.processes:
            if process.returncode is None:
                process.terminate()
        for process in self.processes:
            await process.wait()
        await super().asyncTearDown()

    async def wait_until_ready(self):
        for entry in self.plan.entries[1:]:
            for number in range(READY_TRIES):
                if await self.is_served(entry, f"ready-{entry.name}-{number}"):
                    break
                await asyncio.sleep(0.1)
            else:
                self.fail(f"{entry.name} serves nothing")

    async def is_served(self, entry, id):
        try:
            return (await self.order(entry, id))[0] == 200
        except CrocusError:
            return False

    async def order(self, entry, id):
        """Send a request that must run once; return status and outcome."""
        answer = await self.pool.request(
            entry.address,
            self.plan.caller_port,
            "POST",
            f"/tellimused/jobs/{id}",
            [(b"crocusward-contract", b"jobs"), (b"x-request-id", id.encode())],
            b"job",
            timeout_s=15.0,
            limit_bytes=65_536,
        )
        return answer.status, json.loads(answer.body or b"{}").get("outcome")


class RepeatedShedTest(ProcessCase):
    """Guards against a refusal that is taken for the answer to another request."""

    async def call_for_a_while(self, number, pause_s):
        rng = random.Random(number)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + PLAY_S
        count = 0
        while loop.time() < end_s:
            id = f"c{number}-{count}"
            count += 1
            await self.order_with_repeats(rng.choice(self.plan.entries[1:]), id)
            await asyncio.sleep(rng.expovariate(1.0 / pause_s))

    async def order_with_repeats(self, entry, id):
        for _ in range(MAX_REPEATS):
            status, outcome = await self.order(entry, id)
            self.statuses[status] += 1
            if outcome != "not-run":
                self.refused_not_run.discard(id)
                return
            self.refused_not_run.add(id)

    async def check(self, repeated, *, named):
        self.statuses = Counter()
        self.refused_not_run = set()
        await self.wait_until_ready()
        for backend in self.backends.backends.values():
            backend.repeated = repeated
            backend.repeated_share = 1.0 if repeated == "probe" else REFUSED_SHARE
            backend.names_requests = named
        pause_s = IDLE_PAUSE_S if repeated == "probe" else PAUSE_S
        callers = [self.call_for_a_while(n, pause_s) for n in range(CALLERS)]
        await asyncio.gather(*callers)
        rows = self.backends.log.above(0, 100_000)
        runs = Counter(row.request_id for row in rows)
        twice = [id for id, count in runs.items() if count > 1]
        ran_though_refused = self.refused_not_run & set(runs)
        refused = self.backends.stats()["total"].get("refused_twice", 0)
        self.assertGreater(refused, 0)
        self.assertGreater(self.statuses[200], 0)
        found = (len(twice), len(ran_though_refused))
        self.assertEqual(found, (0, 0), f"{found} of {self.statuses}, {refused} copies")

    async def test_copy_of_the_refusal_of_a_probe(self):
        await self.check("probe", named=True)

    async def test_copy_of_a_refusal_that_names_its_request(self):
        await self.check("request", named=True)

    async def test_copy_of_a_refusal_of_a_server_that_names_no_request(self):
        await self.check("request", named=False)


if __name__ == "__main__":
    unittest.main()
