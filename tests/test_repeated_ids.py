"""Callers that repeat what was refused, under the same id."""

import asyncio
import contextlib
import random
import unittest
from collections import Counter

from crocusward.devtools.fault_soak._callers import PROMISES, Caller
from crocusward.invariants import Invariants
from crocusward.model import Backend
from crocusward.timing import LoopTimer
from crocusward.upstream import HttpPool, HttpUpstream

from .entry_support import reply
from .scripted_server import ScriptedServer
from .test_faulty_answers import OWN_ANSWER, OWN_REFUSAL
from .test_relay import SHED, RelayTestCase
from .test_repeated_refusals import (
    CALLERS,
    MARK,
    PAUSE_S,
    PLAY_S,
    REFUSAL,
    RefusingDaemon,
)
from .test_upstream_client import make_request


class CopyingServer(ScriptedServer):
    """Refuses its first request, and writes that again on its connection only.

    The copy comes where the next answer is expected; all other requests run.
    """

    def __init__(self, refusal, own):
        super().__init__([refusal])
        self.refusal = refusal
        self.own = own
        self.refused_on = None

    async def _answer(self, reader, writer):
        if self.refused_on is None:
            self.script = [[self.refusal]]
            self.refused_on = writer
            return await super()._answer(reader, writer)
        copy = [self.refusal, 0.05] if writer is self.refused_on else []
        self.script = [[*copy, self.own]]
        return await super()._answer(reader, writer)


class RepeatingCaller(Caller):
    """Sends a refused request again under its id, up to twice."""

    async def _ask(self):
        await super()._ask()
        last = self._asked[-1]
        for _ in range(2):
            if last.status not in PROMISES or self._streams is None:
                return
            await asyncio.sleep(0.02)
            self._ids = iter([last.id[1:]])
            await super()._ask()
            del self._ids
            last = self._asked[-1]


class RepeatedIdTest(unittest.IsolatedAsyncioTestCase):
    async def test_copies_of_refusals_of_an_id_that_is_sent_again(self):
        """Guards against a second run of a request that a caller repeats."""
        head = REFUSAL % 503 + MARK
        async with RefusingDaemon("request", head, share=0.7) as daemon:
            for target in daemon.targets:
                target.names_request = True
            callers = [
                # Each with a list of its own, whose last entry is its last request.
                RepeatingCaller(
                    [daemon.daemon], random.Random(index), [], [("POST", "/order/a")]
                )
                for index in range(CALLERS)
            ]
            tasks = [asyncio.create_task(c.run(PAUSE_S)) for c in callers]
            await asyncio.sleep(PLAY_S)
            for task in tasks:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*tasks, return_exceptions=True)
        asked = [item for caller in callers for item in caller._asked]
        times = Counter(run.id for run in daemon.runs)
        twice = [id for id, count in times.items() if count > 1]
        last = {item.id: item.status for item in asked}
        lied = [id for id, status in last.items() if status in PROMISES and times[id]]
        sent = Counter(item.id for item in asked)
        again = sum(count > 1 for count in sent.values())
        self.assertGreater(again, 0)
        found = len(twice), len(lied), len(sent)
        self.assertEqual(found[:2], (0, 0), f"ran twice, refused and ran, of: {found}")


class SameIdTest(RelayTestCase):
    async def test_copy_of_a_refusal_is_no_refusal_of_the_same_id_again(self):
        """Guards against a second run when a caller repeats what was refused."""
        async with (
            CopyingServer(SHED, reply("q1", b"one")) as server,
            ScriptedServer([SHED], [reply("q1", b"other")]) as other,
        ):
            async with self.relay(server, other) as relay:
                relay.book.loads["b1"].own_in_flight = 1
                client = await relay.client()
                first = await client.ask("POST", "/order/a", body=b"x", id="q1")
                await client.ask("POST", "/order/a", body=b"x", id="q1")
            self.assertEqual(first.status, 503)
            self.assertEqual((len(server.requests), len(other.requests)), (2, 1))


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    async def test_copy_of_a_refusal_is_no_refusal_of_the_same_id_again(self):
        """Guards against 'not run' for a request that is running."""
        pool = HttpPool(LoopTimer(asyncio.get_running_loop(), random.Random(1)))
        self.addCleanup(pool.close)
        upstream = HttpUpstream(pool, Invariants())
        refusal = OWN_REFUSAL % b"X-Request-Id: r1\r\n"
        async with CopyingServer(refusal, b"".join(OWN_ANSWER)) as server:
            place = Backend("b1", "billing", "bkk", "bkk-a", "127.0.0.1", server.port)
            self.assertTrue((await upstream.exchange(place, make_request())).shed)
            self.assertFalse((await upstream.exchange(place, make_request())).shed)


if __name__ == "__main__":
    unittest.main()
