"""Issued keys, and the ledger of keyed requests."""

import asyncio
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusward.devtools.virtual_loop import VirtualLoop
from crocusward.errors import (
    ExchangeLostError,
    NotSentError,
    Outcome,
    Refusal,
    RefusalCode,
)
from crocusward.invariants import InvariantName, Invariants
from crocusward.ledger import KeyIssuer, Ledger
from crocusward.ledger._answers import AnswerStore
from crocusward.model import Call, Reply
from crocusward.timing import LoopTimer

SECRET = b"0123456789abcdef"


def make_call(key="k", request_id="r1", body=b"job", path="/jobs"):
    return Call(request_id, "press", "jobs", "POST", path, body=body, key=key)


def allow():
    return None


class FakeBackend:
    """A backend server that counts what it runs; each send follows a script."""

    def __init__(self, script=("answer",)):
        self.script = list(script)
        self.ran = 0
        self.gate = None

    async def send(self, attempt):
        step = self.script.pop(0) if self.script else "answer"
        if step == "refuse":
            raise Refusal(RefusalCode.NO_BACKEND, "no backend server")
        if self.gate is not None and step == "queued":
            await self.gate.wait()
        attempt.mark_sent()
        if step == "not-sent":
            raise NotSentError("connection refused")
        if step == "resend":
            attempt.mark_not_sent()
            attempt.mark_sent()
        self.ran += 1
        if self.gate is not None:
            await self.gate.wait()
        if step == "lost":
            raise ExchangeLostError("connection broke")
        if step == "refuse-sent":
            raise Refusal(RefusalCode.NO_BACKEND, "not run")
        return Reply("r1", 201, [], b"album", "b1")


class LedgerCase(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.timer = LoopTimer(self.loop, random.Random(1))
        self.invariants = Invariants()
        self.ledger = Ledger(self.timer, self.invariants)
        self.backend = FakeBackend()

    def run_call(self, call=None, check_first_send=allow, **options):
        work = self.ledger.run(
            call or make_call(),
            self.backend.send,
            check_first_send=check_first_send,
            **options,
        )
        return self.loop.run_until_complete(work)

    def refused(self, call=None, check_first_send=allow):
        with self.assertRaises(Refusal) as caught:
            self.run_call(call, check_first_send)
        return caught.exception

    def violations(self):
        return self.invariants.violations.total()


class LedgerTest(LedgerCase):
    def test_answer_is_replayed_with_the_new_request_id(self):
        """Guards against a second run of a retried request."""
        first = self.run_call()
        again = self.run_call(make_call(request_id="r2"))
        self.assertEqual(self.backend.ran, 1)
        self.assertFalse(first.replayed)
        self.assertEqual(
            (again.request_id, again.body, again.replayed), ("r2", b"album", True)
        )

    def test_other_request_under_the_same_key_is_refused(self):
        """Guards against an answer to another request."""
        self.run_call()
        for call in (make_call(body=b"other"), make_call(path="/other")):
            refusal = self.refused(call)
            self.assertEqual(refusal.code, RefusalCode.KEY_REUSED)
            self.assertIs(refusal.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.backend.ran, 1)

    def test_keys_of_different_contracts_are_separate(self):
        """Guards against a key that returns another contract's answer."""
        self.run_call()
        other = Call("r2", "leather", "jobs", "POST", "/jobs", body=b"job", key="k")
        self.assertFalse(self.run_call(other).replayed)
        self.assertEqual(self.backend.ran, 2)

    def test_concurrent_arrivals_share_one_send(self):
        """Guards against two sends of a key that arrives twice at once."""
        self.backend.gate = asyncio.Event()

        async def both():
            calls = [make_call(request_id=f"r{i}") for i in (1, 2, 3)]
            tasks = [
                asyncio.create_task(
                    self.ledger.run(call, self.backend.send, check_first_send=allow)
                )
                for call in calls
            ]
            await asyncio.sleep(0.1)
            self.assertEqual(self.ledger.outcome("press", "k").state, "sent")
            self.backend.gate.set()
            return await asyncio.gather(*tasks)

        replies = self.loop.run_until_complete(both())
        self.assertEqual(self.backend.ran, 1)
        self.assertEqual([r.request_id for r in replies], ["r1", "r2", "r3"])

    def test_cancelled_waiter_leaves_the_attempt_running(self):
        """Guards against a disconnect that cancels the request of another caller."""
        self.backend.gate = asyncio.Event()

        async def scenario():
            tasks = [
                asyncio.create_task(
                    self.ledger.run(
                        make_call(), self.backend.send, check_first_send=allow
                    )
                )
                for _ in range(2)
            ]
            await asyncio.sleep(0.1)
            tasks[0].cancel()
            await asyncio.sleep(0.1)
            tasks[1].cancel()
            await asyncio.sleep(0.1)
            self.backend.gate.set()
            return await self.ledger.run(
                make_call(), self.backend.send, check_first_send=allow
            )

        reply = self.loop.run_until_complete(scenario())
        self.assertEqual((reply.status, self.backend.ran), (201, 1))

    def test_queued_attempt_without_waiters_is_never_sent(self):
        """Guards against an abandoned attempt that sends beside a new one."""
        self.backend.script = ["queued"]
        self.backend.gate = asyncio.Event()

        async def scenario():
            run = lambda: self.ledger.run(
                make_call(), self.backend.send, check_first_send=allow
            )
            first = asyncio.create_task(run())
            await asyncio.sleep(0.1)
            first.cancel()
            second = asyncio.create_task(run())
            self.backend.gate.set()
            await asyncio.sleep(0)
            return await second

        self.assertEqual(self.loop.run_until_complete(scenario()).status, 201)
        self.assertEqual(self.backend.ran, 1)
        self.assertEqual(self.violations(), 0)

    def test_abandoned_attempt_cannot_send_any_more(self):
        """Guards against a send function that goes on after its cancellation."""
        sent = []

        async def stubborn(attempt):
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                await asyncio.sleep(1)
            attempt.mark_sent()
            sent.append("stubborn")

        async def scenario():
            first = self.ledger.run(make_call(), stubborn, check_first_send=allow)
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(first, 0.1)
            return await self.ledger.run(
                make_call(), self.backend.send, check_first_send=allow
            )

        self.loop.run_until_complete(scenario())
        self.loop.advance(20.0)
        self.assertEqual((sent, self.backend.ran), ([], 1))
        self.assertTrue(self.run_call().replayed)

    def test_refusal_before_sending_allows_a_retry(self):
        """Guards against a key that is lost although nothing was sent."""
        self.backend.script = ["refuse", "not-sent", "resend"]
        for _ in range(2):
            refusal = self.refused()
            self.assertIs(refusal.outcome, Outcome.NOT_RUN)
            self.assertEqual(self.ledger.outcome("press", "k").state, "unused")
        self.assertEqual(self.run_call().status, 201)
        self.assertEqual(self.backend.ran, 1)
        self.assertEqual(self.violations(), 0)

    def test_lost_exchange_stays_unknown(self):
        """Guards against a resend of a request that may have run."""
        self.backend.script = ["lost"]
        refusal = self.refused()
        self.assertEqual(refusal.code, RefusalCode.BACKEND_LOST)
        again = self.refused()
        self.assertEqual(again.code, RefusalCode.KEY_IN_DOUBT)
        self.assertIs(again.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.backend.ran, 1)
        self.assertEqual(self.ledger.outcome("press", "k").state, "unknown")

    def test_false_not_run_is_corrected_and_counted(self):
        """Guards against a refusal that says not-run for a sent request."""
        self.backend.script = ["refuse-sent"]
        self.assertIs(self.refused().outcome, Outcome.UNKNOWN)
        self.assertEqual(self.invariants.violations[InvariantName.NOT_RUN], 1)

    def test_injected_faults_are_counted(self):
        """Guards against checks that do not detect the violations they test."""
        faults = frozenset({"double-dispatch", "false-not-run"})
        self.ledger = Ledger(self.timer, self.invariants, faults=faults)
        self.backend.script = ["answer", "answer", "lost"]
        self.run_call()
        self.run_call()
        self.assertEqual(self.invariants.violations[InvariantName.AT_MOST_ONCE], 1)
        self.assertIs(self.refused(make_call(key="k2")).outcome, Outcome.NOT_RUN)
        self.assertEqual(self.invariants.violations[InvariantName.NOT_RUN], 1)

    def test_evicted_answer_tells_that_the_request_ran(self):
        """Guards against an eviction that lets a key run again."""
        answers = AnswerStore(self.timer, max_bytes=3_000)
        self.ledger = Ledger(self.timer, self.invariants, answers=answers)
        for number in range(10):
            self.run_call(make_call(key=f"k{number}"))
            self.assertLessEqual(answers.stored_bytes, 3_000)
        refusal = self.refused(make_call(key="k0"))
        self.assertEqual(refusal.code, RefusalCode.KEY_ANSWERED)
        self.assertIn("status 201", refusal.reason)
        self.assertEqual(self.ledger.outcome("press", "k0").status, 201)
        self.assertTrue(self.run_call(make_call(key="k9")).replayed)
        self.assertEqual(self.backend.ran, 10)

    def test_answer_that_must_not_be_kept_is_not_kept(self):
        """Guards against an answer stored outside its home regions."""
        self.run_call(keep_answer=False)
        self.assertEqual(self.refused().code, RefusalCode.KEY_ANSWERED)
        self.assertEqual(self.ledger._answers.stored_bytes, 0)

    def test_full_ledger_refuses_new_keys_and_keeps_old_ones(self):
        """Guards against unbounded memory and against early eviction."""
        self.ledger = Ledger(self.timer, self.invariants, max_entries=5)
        for number in range(5):
            self.run_call(make_call(key=f"k{number}"))
        refusal = self.refused(make_call(key="new"))
        self.assertEqual(refusal.code, RefusalCode.QUEUE_FULL)
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertTrue(self.run_call(make_call(key="k0")).replayed)
        self.loop.advance(901.0)
        self.assertEqual(self.run_call(make_call(key="new")).status, 201)
        self.assertEqual(len(self.ledger), 1)

    def test_refusals_made_elsewhere_get_the_outcome_of_the_key(self):
        """Guards against a rate limit that says not-run for a key that ran."""
        limit = Refusal(RefusalCode.RATE_LIMITED, "rate limit")
        call = make_call()
        correct_outcome = self.ledger.correct_outcome
        self.assertIs(correct_outcome(call, limit, allow).outcome, Outcome.NOT_RUN)
        self.assertIs(correct_outcome(call, limit).outcome, Outcome.UNKNOWN)
        self.run_call()
        self.assertIs(correct_outcome(call, limit, allow).outcome, Outcome.UNKNOWN)
        self.assertIs(
            correct_outcome(make_call(key=""), limit).outcome, Outcome.NOT_RUN
        )

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(
            st.sampled_from(
                [
                    "answer",
                    "refuse",
                    "not-sent",
                    "lost",
                    "refuse-sent",
                    "resend",
                    "queued",
                ]
            ),
            min_size=1,
            max_size=6,
        ),
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 12)), max_size=8),
    )
    def test_any_mix_of_arrivals_and_cancels_runs_at_most_once(self, script, arrivals):
        """Guards against an interleaving with two sends or a false not-run."""
        backend = FakeBackend(script)
        ledger = Ledger(self.timer, Invariants())

        async def caller(start, patience):
            await asyncio.sleep(start / 10)
            work = ledger.run(make_call(), backend.send, check_first_send=allow)
            try:
                return await asyncio.wait_for(work, 0.01 + patience / 10)
            except TimeoutError:
                return None
            except Refusal as refusal:
                if refusal.outcome is Outcome.NOT_RUN:
                    self.assertEqual(backend.ran, 0)
                return refusal

        async def scenario():
            backend.gate = asyncio.Event()
            self.timer.call_later(0.55, backend.gate.set)
            work = [caller(*arrival) for arrival in arrivals]
            return await asyncio.gather(*work)

        self.loop.run_until_complete(scenario())
        self.loop.advance(3.0)
        self.assertLessEqual(backend.ran, 1)


class IssuerTest(LedgerCase):
    def setUp(self):
        super().setUp()
        self.issuer = self.make_issuer(7)

    def make_issuer(self, incarnation, secret=SECRET):
        return KeyIssuer(secret, "p0", "pohja", incarnation, self.timer)

    def test_key_names_its_issuer_on_every_host(self):
        """Guards against a key that another host can't route to its holder."""
        key = self.issuer.issue("press")
        issued = self.make_issuer(8).parse(key, "press")
        self.assertEqual((issued.host, issued.region), ("p0", "pohja"))
        self.assertEqual((issued.incarnation, issued.sequence), (7, 1))
        self.assertNotEqual(key, self.issuer.issue("press"))
        self.assertIsNone(self.issuer.parse("order-4711", "press"))

    def test_altered_forged_and_foreign_keys_are_refused(self):
        """Guards against a forged key that is accepted as unused."""
        key = self.issuer.issue("press")
        forged = self.make_issuer(7, b"another secret!!").issue("press")
        moved = key.replace("~p0~", "~p1~")
        cases = [(forged, "press"), (key, "leather"), (moved, "press")]
        cases += [(key[:-1], "press"), (key + "A", "press"), ("k1~", "press")]
        cases += [("k1~a~b~" + "é" * 43, "press")]
        for index in range(len(key) - 43, len(key)):
            other = "A" if key[index] != "A" else "B"
            cases.append((key[:index] + other + key[index + 1 :], "press"))
        for altered, contract in cases:
            with self.assertRaises(Refusal, msg=altered) as caught:
                self.issuer.parse(altered, contract)
            self.assertEqual(caught.exception.code, RefusalCode.BAD_REQUEST)

    def run_issued(self, key):
        issued = self.issuer.parse(key, "press")
        call = make_call(key=key)
        return self.run_call(call, lambda: self.issuer.check_first_send(issued))

    def test_outcome_of_a_key_that_the_ledger_does_not_know(self):
        """Guards against reporting a state for a key that another host holds."""
        self.assertIsNone(self.ledger.outcome("press", "x"))

    def test_key_never_runs_again_however_old_it_is(self):
        """Guards against eviction of an entry before its key expires."""
        early, late, unused = (self.issuer.issue("press") for _ in range(3))
        self.run_issued(early)
        self.loop.advance(599.0)
        self.run_issued(late)
        self.loop.advance(0.5)
        self.run_issued(early)
        for _ in range(40):
            self.loop.advance(30.0)
            for key in (early, late):
                try:
                    self.run_issued(key)
                except Refusal as refusal:
                    self.assertIs(refusal.outcome, Outcome.UNKNOWN)
            with self.assertRaises(Refusal) as caught:
                self.run_issued(unused)
            self.assertEqual(caught.exception.code, RefusalCode.KEY_EXPIRED)
        self.assertEqual(self.backend.ran, 2)
        self.assertEqual(len(self.ledger), 0)

    def test_key_of_a_dead_incarnation_is_unknown(self):
        """Guards against a new process on the same host that takes over keys."""
        issued = self.issuer.parse(self.issuer.issue("press"), "press")
        refusal = self.make_issuer(9).check_first_send(issued)
        self.assertEqual(refusal.code, RefusalCode.HOLDER_GONE)
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)
