"""What shows the own interface that a non-idempotent request has not run."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from crocusward.config import ServingMode
from crocusward.dispatch import AttemptRunner, AttemptTrace
from crocusward.errors import Outcome, Refusal
from crocusward.invariants import InvariantName, Invariants
from crocusward.ledger import Ledger, SendGuard
from crocusward.limits import RetryBudget
from crocusward.model import Backend, Call, Contract
from crocusward.timing import LoopTimer
from crocusward.upstream import HttpPool, HttpUpstream

from .scripted_server import ScriptedServer, answer

SHED = (b"X-Backend-Shed: 1", b"X-Backend-Load: 1")
OWN = b"X-Request-Id: r1"
DEADLINE_S = 1.0
CONTRACT = Contract("jobs", "liit", frozenset({"svc"}))


def shed(*headers):
    """Return a refusal that says that the request has not run."""
    return answer(b"", *SHED, *headers, status=b"503 Busy")


def make_call(request_id="r1", method="POST", key=""):
    deadline_s = asyncio.get_running_loop().time() + DEADLINE_S
    return Call(
        request_id, "jobs", "svc", method, "/job", key=key, deadline_s=deadline_s
    )


class ListRouter:
    """Selects the first server of a list that is not excluded."""

    def __init__(self, servers):
        self.backends = [
            Backend(f"b{n}", "svc", "pohja", "tallinn-a", "127.0.0.1", server.port)
            for n, server in enumerate(servers)
        ]

    async def acquire(self, req):
        for backend in self.backends:
            if backend.id not in req.excluded:
                return SimpleNamespace(backend=backend)
        raise AssertionError("no server left")

    def start(self, reservation):
        return True

    def finish(self, reservation, result):
        pass


class AttemptCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        self.pool = HttpPool(self.timer)
        self.addCleanup(self.pool.close)
        self.invariants = Invariants()
        self.upstream = HttpUpstream(self.pool, self.invariants)
        self.guard = SendGuard(self.invariants)
        self.retry_budget = RetryBudget()

    def make_runner(self, servers, *, faults=frozenset()):
        self.router = ListRouter(servers)
        return AttemptRunner(
            self.timer,
            "pohja",
            self.router,
            self.upstream,
            lambda: ServingMode.NORMAL,
            self.retry_budget,
            self.invariants,
            faults,
        )

    async def send(self, runner, call, guard=None):
        return await runner.run(
            call,
            CONTRACT,
            idempotent=call.method == "GET",
            guard=None if call.method == "GET" else guard or self.guard,
            trace=AttemptTrace(),
        )

    async def refused(self, runner, call=None, guard=None):
        with self.assertRaises(Refusal) as caught:
            await self.send(runner, call or make_call(), guard)
        return caught.exception


class ShedAnswerTest(AttemptCase):
    """Guards against a refusal that is believed to be that of another request."""

    async def test_shed_without_an_id_does_not_repeat_a_request(self):
        async with (
            ScriptedServer([shed()]) as first,
            ScriptedServer([answer(b"ok", OWN)]) as second,
        ):
            refusal = await self.refused(self.make_runner([first, second]))
        self.assertEqual((refusal.code, refusal.status), ("backend_lost", 502))
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)
        self.assertEqual(second.requests, [])
        self.assertTrue(self.guard.sent)

    async def test_shed_without_an_id_makes_the_key_unknown(self):
        ledger = Ledger(self.timer, self.invariants)
        async with (
            ScriptedServer([shed()]) as first,
            ScriptedServer([answer(b"ok", OWN)]) as second,
        ):
            runner = self.make_runner([first, second])
            call = make_call(key="k")
            with self.assertRaises(Refusal) as caught:
                await ledger.run(
                    call,
                    lambda guard: self.send(runner, call, guard),
                    check_first_send=lambda: None,
                )
        self.assertEqual(caught.exception.code, "backend_lost")
        self.assertEqual(ledger.outcome("jobs", "k").state, "unknown")
        self.assertEqual(second.requests, [])

    async def test_shed_without_an_id_lets_idempotent_requests_go_on(self):
        async with (
            ScriptedServer([shed()]) as first,
            ScriptedServer([answer(b"ok", OWN)]) as second,
        ):
            reply = await self.send(
                self.make_runner([first, second]), make_call(method="GET")
            )
        self.assertEqual((reply.status, reply.backend), (200, "b1"))

    async def test_shed_that_names_the_request_is_believed(self):
        async with (
            ScriptedServer([shed(OWN)]) as first,
            ScriptedServer([answer(b"ok", OWN)]) as second,
        ):
            reply = await self.send(self.make_runner([first, second]), make_call())
        self.assertEqual((reply.status, reply.backend), (200, "b1"))


class CopyingServer(ScriptedServer):
    """Sends a copy of each refusal where the next answer is expected.

    Attributes:
        runs: Number of requests answered otherwise.
    """

    def __init__(self, *script):
        super().__init__(*script)
        self.runs = 0
        self.copies = {}

    async def _answer(self, reader, writer):
        self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(self.copies.pop(writer, b""))
        (data,) = self.script.pop(0)
        if data.startswith(b"HTTP/1.1 503"):
            self.copies[writer] = data
        else:
            self.runs += 1
        writer.write(data)
        return True


class RepeatedRefusalTest(AttemptCase):
    """Guards against the copy of a refusal that is taken for the next answer."""

    async def test_copy_of_the_refusal_of_a_probe_is_no_answer(self):
        own = answer(b"ok", OWN)
        async with (
            CopyingServer([shed()], [own]) as first,
            CopyingServer([own]) as second,
        ):
            runner = self.make_runner([first, second])
            await self.upstream.probe(self.router.backends[0], 0.5)
            reply = await self.send(runner, make_call())
        self.assertEqual((reply.status, first.runs, second.runs), (200, 1, 0))

    async def test_copy_of_a_refusal_with_an_id_that_is_used_again_is_no_answer(self):
        own = answer(b"ok", OWN)
        async with (
            CopyingServer([shed(OWN)], [own]) as first,
            CopyingServer([own]) as second,
        ):
            await self.refuse_once(first)
            runner = self.make_runner([first, second])
            reply = await self.send(runner, make_call())
        self.assertEqual((reply.status, first.runs, second.runs), (200, 1, 0))

    async def refuse_once(self, server):
        """Send a request that its caller will repeat under the same id."""
        self.retry_budget = RetryBudget(share=-1.0)  # allows no second server
        runner = self.make_runner([server])
        refusal = await self.refused(runner, guard=SendGuard(self.invariants))
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.retry_budget = RetryBudget()


class RuntimeCheckTest(AttemptCase):
    """Guards against checks that count a violation and let it happen."""

    async def lose(self, fault):
        """Lose the first exchange under an injected fault."""
        guard = SendGuard(self.invariants, allow_resend=True)
        async with (
            ScriptedServer(["close"]) as first,
            ScriptedServer([answer(b"ok", OWN)]) as second,
        ):
            runner = self.make_runner([first, second], faults=frozenset({fault}))
            refusal = await self.refused(runner, guard=guard)
        self.assertEqual((len(first.requests), second.requests), (1, []))
        self.assertEqual(refusal.code, "backend_lost")
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)

    async def test_injected_retry_is_recorded_and_not_sent(self):
        await self.lose("double-dispatch")
        self.assertEqual(self.invariants.violations[InvariantName.AT_MOST_ONCE], 1)

    async def test_refused_connection_does_not_clear_an_earlier_send(self):
        self.retry_budget = RetryBudget(share=-1.0)  # allows no second attempt
        async with ScriptedServer([answer(b"ok", OWN)]) as server:
            runner = self.make_runner([server])
        self.guard.mark_sent()
        refusal = await self.refused(runner)
        self.assertEqual(refusal.code, "no_backend")
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)
        self.assertTrue(self.guard.sent)

    async def test_injected_not_run_is_recorded_and_corrected(self):
        await self.lose("false-not-run")
        self.assertEqual(self.invariants.violations[InvariantName.NOT_RUN], 1)


class ProbeTest(AttemptCase):
    """Guards against probes that read the answer to a request."""

    REPORT = b'{"in_flight": 1, "boot": "b7", "draining": false}'

    async def test_copy_of_an_answer_to_a_request_is_no_load_report(self):
        late = answer(b'{"in_flight": 9, "boot": "b7", "draining": true}', OWN)
        script = [answer(b"ok", OWN)], [late, 0.02, answer(self.REPORT)]
        async with ScriptedServer(*script) as server:
            runner = self.make_runner([server])
            await self.send(runner, make_call())
            report = await self.upstream.probe(self.router.backends[0], 0.5)
        self.assertEqual((report.load, report.draining), (1, False))
        self.assertEqual(server.connections, 1)

    async def test_refusal_of_a_probe_with_an_empty_id_is_read(self):
        script = [shed(b"X-Request-Id: ", b"X-Backend-Draining: 1")]
        async with ScriptedServer(script) as server:
            self.make_runner([server])
            report = await self.upstream.probe(self.router.backends[0], 0.5)
        self.assertEqual(report.status, 503)

    async def test_server_that_names_no_request_is_served_beside_probes(self):
        script = [answer(b"ok")], [answer(self.REPORT)], [answer(b"ok")]
        async with ScriptedServer(*script) as server:
            runner = self.make_runner([server])
            await self.send(runner, make_call())
            await self.upstream.probe(self.router.backends[0], 0.5)
            reply = await self.send(runner, make_call("r2"), SendGuard(self.invariants))
        self.assertEqual((reply.status, reply.body), (200, b"ok"))
        self.assertEqual(server.connections, 1)


if __name__ == "__main__":
    unittest.main()
