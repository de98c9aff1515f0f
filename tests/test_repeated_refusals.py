"""A whole daemon in front of servers whose refusals come twice."""

import asyncio
import contextlib
import random
import unittest
from collections import Counter

from crocusward.devtools.fault_soak._callers import PROMISES, Caller
from crocusward.devtools.fault_soak._notices import Notices
from crocusward.devtools.fault_soak._targets import Target

from .daemon_support import WholeDaemon

PLAY_S = 4.0
CALLERS = 12
PAUSE_S = 0.03  # mean time between the requests of a caller
SERVERS = 6
ROUTES = [["order", "api.example", "/order/", "unsafe", "1500ms", "400ms", "svc"]]
REFUSAL = b"HTTP/1.1 %d Refused\r\n"
MARK = b"Crocusward-Not-Executed: 1\r\n"


class RefusingDaemon(WholeDaemon):
    """A daemon whose servers refuse probes or requests twice, and run the others.

    Attributes:
        runs: What the servers ran.
        asked: What callers asked and got.
    """

    def __init__(self, repeated, refusal_head, share=0.3):
        super().__init__(ROUTES)
        self.runs = []
        self.asked = []
        self.targets = []
        for index in range(SERVERS):
            rng = random.Random(index)
            parts = (f"i-{index}", "svc", "east-a", self.runs, [], Notices(), rng)
            target = Target(*parts)
            target.repeated, target.refusal_head = repeated, refusal_head
            target.repeated_share = share
            self.targets.append(target)

    async def start_servers(self):
        for target in self.targets:
            await target.listener.open()
            self.register(target.id, "svc", target.listener.port)

    def stop_servers(self):
        for target in self.targets:
            target.listener.shut()

    async def play(self):
        """Send requests over kept connections for some time."""
        callers = [
            Caller(
                [self.daemon], random.Random(index), self.asked, [("POST", "/order/a")]
            )
            for index in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run(PAUSE_S)) for caller in callers]
        await asyncio.sleep(PLAY_S)
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)


class RepeatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a refusal that is taken for the answer to a later request."""

    async def check(self, repeated, status, mark=MARK):
        head = REFUSAL % status + mark
        async with RefusingDaemon(repeated, head) as daemon:
            await daemon.play()
        times = Counter(run.id for run in daemon.runs)
        twice = {id: count for id, count in times.items() if count > 1}
        refused = {item.id for item in daemon.asked if item.status in PROMISES}
        served = sum(item.status == 200 for item in daemon.asked)
        self.assertGreater(sum(target.refusals_sent for target in daemon.targets), 0)
        self.assertGreater(served, 0)
        ran_though_refused = refused & set(times)
        found = len(twice), len(ran_though_refused), len(daemon.asked)
        self.assertEqual(found[:2], (0, 0), f"ran twice, refused and ran, of: {found}")

    async def test_repeated_refusal_of_a_probe_is_no_refusal_of_a_request(self):
        for status in (503, 429, 421):
            with self.subTest(status=status):
                await self.check("probe", status)

    async def test_repeated_refusal_of_a_request_is_no_refusal_of_the_next(self):
        for status in (503, 429, 421):
            with self.subTest(status=status):
                await self.check("request", status)

    async def test_repeated_421_without_the_mark_is_no_refusal_of_a_request(self):
        for repeated in ("probe", "request"):
            with self.subTest(repeated):
                await self.check(repeated, 421, b"")


if __name__ == "__main__":
    unittest.main()
