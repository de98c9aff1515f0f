"""Claims of client-supplied keys on several hosts, with store faults."""

import asyncio
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crocusward.devtools.virtual_loop import VirtualLoop
from crocusward.errors import Attempt, Outcome, Refusal, RefusalCode
from crocusward.ledger import ClaimBatcher
from crocusward.timing import LoopTimer

from .state_fakes import FakeTable


class ClaimCase(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.timer = LoopTimer(self.loop, random.Random(1))
        self.reset()

    def reset(self):
        self.rows = {}
        self.tables = [FakeTable(self.timer, self.rows) for _ in range(2)]
        self.hosts = [self.make_host(i, i + 1) for i in range(2)]

    def make_host(self, index, incarnation, **options):
        return ClaimBatcher(
            self.tables[index],
            self.timer,
            b"digest secret",
            incarnation,
            f"h{index}",
            utc_s=lambda: 1_790_000_000,
            **options,
        )

    def gather(self, *work):
        async def run():
            return await asyncio.gather(*work, return_exceptions=True)

        return self.loop.run_until_complete(run())

    def claim(self, index, key="k"):
        return self.gather(self.hosts[index].claim("press", key))[0]


class ClaimTest(ClaimCase):
    def test_claims_within_the_batch_window_share_a_transaction(self):
        """Guards against one transaction for each request."""
        keys = [f"k{i}" for i in range(100)]
        claims = self.gather(*(self.hosts[0].claim("press", k) for k in keys))
        self.assertTrue(all(self.hosts[0].is_own(c) for c in claims))
        self.assertEqual(self.tables[0].transactions, 2)

    def test_race_of_two_hosts_has_one_holder(self):
        """Guards against two holders of one key."""
        keys = [f"k{i}" for i in range(20)]
        work = [h.claim("press", k) for k in keys for h in self.hosts]
        results = self.gather(*work)
        for first, second in zip(results[::2], results[1::2], strict=True):
            self.assertEqual(first.incarnation, second.incarnation)

    def test_mixed_batch_finds_which_keys_were_lost(self):
        """Guards against a conflict that refuses or takes the other keys."""
        self.claim(0, "k3")
        work = [self.hosts[1].claim("press", f"k{i}") for i in range(6)]
        holders = [c.incarnation for c in self.gather(*work)]
        self.assertEqual(holders, [2, 2, 2, 1, 2, 2])

    def test_lost_answers_are_read_back_before_use(self):
        """Guards against a send while the claim may belong to another host."""
        for fault in ("lost-after", "lost-before", "late"):
            with self.subTest(fault=fault):
                self.tables[0].faults = [fault]
                claim = self.claim(0, fault)
                self.assertTrue(self.hosts[0].is_own(claim))
                self.assertIsNone(self.hosts[0].check_first_send(claim))
                self.assertGreater(self.tables[0].reads, 0)
                self.loop.advance(2.0)
                self.assertEqual(self.claim(1, fault).incarnation, 1)

    def test_store_outage_refuses_truthfully(self):
        """Guards against a not-run outcome of a key that another host may have run."""
        self.tables[0].down = True
        refusal = self.claim(0)
        self.assertIsInstance(refusal, Refusal)
        self.assertEqual(refusal.code, RefusalCode.CLAIM_UNAVAILABLE)
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)
        self.assertIs(refusal.attempt, Attempt.NOT_SENT)
        self.assertGreater(refusal.retry_after_s, 0)

    def test_known_claims_need_no_store(self):
        """Guards against a resent key that is refused in an outage."""
        first = self.claim(0)
        self.tables[0].down = True
        self.assertEqual(self.claim(0), first)

    def test_own_row_that_was_never_handed_out_is_fresh(self):
        """Guards against a key in doubt that certainly was never sent."""
        self.tables[0].faults = ["lost-after"]
        self.timer.call_later(0.03, lambda: setattr(self.tables[0], "down", True))
        self.assertIsInstance(self.claim(0), Refusal)
        self.tables[0].down = False
        claim = self.claim(0)
        self.assertIsNone(self.hosts[0].check_first_send(claim))

    def test_own_row_that_was_handed_out_is_in_doubt_once_forgotten(self):
        """Guards against a second run after a retried claim whose answer was lost."""
        self.hosts[0] = self.make_host(0, 1, cache_size=1)
        self.claim(0)
        self.claim(0, "other")
        for faults in ([], ["lost-before"], ["lost-before", "lost-before"]):
            self.hosts[0]._cached_claims.clear()
            self.tables[0].faults = list(faults)
            claim = self.claim(0)
            refusal = self.hosts[0].check_first_send(claim)
            self.assertEqual(refusal.code, RefusalCode.KEY_IN_DOUBT)
        self.loop.advance(1.0)

    def test_claim_does_not_stay_fresh(self):
        """Guards against a claim that stays fresh after the ledger evicted the key."""
        claim = self.claim(0)
        self.loop.advance(601.0)
        self.assertIsNotNone(self.hosts[0].check_first_send(claim))

    def test_restarted_host_does_not_take_over_its_old_claims(self):
        """Guards against a second run after a crash."""
        self.claim(0)
        self.hosts[0] = self.make_host(0, 99)
        claim = self.claim(0)
        self.assertFalse(self.hosts[0].is_own(claim))
        self.assertEqual(claim.host, "h0")

    def test_cancelled_caller_leaves_the_claim_to_the_others(self):
        """Guards against a disconnect that cancels a whole batch."""

        async def scenario():
            host = self.hosts[0]
            tasks = [
                asyncio.create_task(host.claim("press", k)) for k in ("a", "a", "b")
            ]
            await asyncio.sleep(0.001)
            tasks[0].cancel()
            return await asyncio.gather(*tasks[1:])

        for claim in self.loop.run_until_complete(scenario()):
            self.assertTrue(self.hosts[0].is_own(claim))

    def test_rows_hide_the_request(self):
        """Guards against keys or contracts that can be read in the store."""
        self.claim(0, "tellimus-4711")
        ((key, row),) = self.rows.items()
        self.assertRegex(key, "^claim/[0-9a-f]{32}$")
        self.assertNotIn(b"4711", row.value)
        other = self.hosts[0].row_key("press", "tellimus-4711", b"another secret")
        self.assertNotEqual(other, key)

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 1),
                st.integers(0, 2),
                st.integers(0, 40),
                st.sampled_from(["ok", "lost-after", "lost-before", "late", "down"]),
            ),
            max_size=12,
        )
    )
    def test_any_faults_leave_one_fresh_holder(self, steps):
        """Guards against store faults that let two hosts send one key."""
        self.reset()
        fresh = {}

        async def step(host, key, start, fault):
            await asyncio.sleep(start / 1000)
            table = self.tables[host]
            if fault == "down":
                table.down = not table.down
            else:
                table.faults.append(fault)
            claim = await self.hosts[host].claim("press", f"k{key}")
            if self.hosts[host].check_first_send(claim) is None:
                fresh.setdefault(key, set()).add(host)

        self.gather(*(step(*item) for item in steps))
        self.loop.advance(3.0)
        for hosts in fresh.values():
            self.assertEqual(len(hosts), 1)
