"""Refusals of probes that come again where the answer to a request is expected."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from crocusward.config import ServingMode
from crocusward.dispatch._attempts import AttemptRunner, AttemptTrace
from crocusward.invariants import Invariants
from crocusward.ledger import SendGuard
from crocusward.limits import RetryBudget
from crocusward.model import Backend, Call
from crocusward.timing import LoopTimer
from crocusward.upstream import HttpPool, HttpUpstream

from .scripted_server import ScriptedServer, answer
from .test_repeated_ids import CopyingServer

SHED = b"HTTP/1.1 503 Busy\r\nX-Backend-Shed: 1\r\nContent-Length: 0\r\n\r\n"


class FirstUntriedRouter:
    """Selects the first backend server that was not tried."""

    def __init__(self, backends):
        self.backends = backends

    async def acquire(self, route):
        left = [found for found in self.backends if found.id not in route.excluded]
        return SimpleNamespace(backend=left[0])

    def start(self, reservation):
        return True

    def finish(self, reservation, result):
        pass


class ShedAfterProbeTest(unittest.IsolatedAsyncioTestCase):
    async def test_copy_of_the_refusal_of_a_probe_causes_no_second_send(self):
        """Guards against a second run of a request that must not run twice."""
        timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        pool = HttpPool(timer)
        self.addCleanup(pool.close)
        invariants = Invariants()
        upstream = HttpUpstream(pool, invariants)
        own = answer(b"own", b"X-Request-Id: r1")
        async with (
            CopyingServer(SHED, own) as one,
            ScriptedServer([own]) as two,
        ):
            backends = [
                Backend(f"b{index}", "svc", "bkk", "bkk-a", "127.0.0.1", server.port)
                for index, server in enumerate((one, two))
            ]
            runner = AttemptRunner(
                timer,
                "bkk",
                FirstUntriedRouter(backends),
                upstream,
                lambda: ServingMode.NORMAL,
                RetryBudget(1.0),
                invariants,
            )
            contract = SimpleNamespace(
                name="c1",
                customer="c1",
                weight=1.0,
                home_regions=lambda *_: frozenset(),
                limits=SimpleNamespace(answer_bytes=1000),
            )
            call = Call("r1", "c1", "svc", "POST", "/x", headers=[], body=b"x")
            call.deadline_s = timer.now() + 1.0
            guard = SendGuard(invariants)
            await upstream.probe(backends[0], 1.0)
            await runner.run(
                call, contract, idempotent=False, guard=guard, trace=AttemptTrace()
            )
        self.assertEqual((len(one.requests), len(two.requests)), (2, 0))


if __name__ == "__main__":
    unittest.main()
