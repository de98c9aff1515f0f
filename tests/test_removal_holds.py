"""Removals that are held back, and for how long, by what hosts know of an outage."""

import asyncio
import random
import unittest

from crocusward.desired import RowChange, TablePage, TablePosition
from crocusward.devtools.entry_soak import WholeFleet
from crocusward.devtools.standins._store import FaultMode
from crocusward.devtools.virtual_loop import VirtualLoop
from crocusward.entryd._reader import REMOVAL_HOLD_S, TableFollower
from crocusward.entryd._row_replicator import RowReplicator, encode_page
from crocusward.errors import StoreUnavailableError
from crocusward.logs import EventSampler
from crocusward.neighbours import NeighbourTable, ReadTimes
from crocusward.timing import LoopTimer
from crocusward.upstream import HttpAnswer

from .test_neighbours import report

BOUND_S = 2.0  # of changes of configuration, and of leaving servers


class FollowerCase(unittest.TestCase):
    """Has a follower in virtual time, whose store and role the test sets."""

    def setUp(self):
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(asyncio.set_event_loop, None)
        self.addCleanup(self.loop.close)
        self.timer = LoopTimer(self.loop, random.Random(1))
        self.is_reader = True
        self.is_up = True
        self.other_answer_s = -1e9
        self.rows = [RowChange("a", b"1", 1), RowChange("b", b"1", 2)]
        self.version = 2
        self.removed_s = {}
        self.follower = TableFollower(
            "servers",
            self.timer,
            random.Random(1),
            self,
            ReadTimes(BOUND_S),
            lambda: self.is_reader,
            lambda: self.is_reader,
            lambda: 1,
            lambda: self.other_answer_s,
            self.on_change,
            lambda: None,
        )
        self.task = self.loop.create_task(self.follower.run())
        self.addCleanup(self.end)
        self.run_for(0.2)

    def end(self):
        self.task.cancel()
        self.loop.run_until_complete(asyncio.wait([self.task]))

    def on_change(self, table, change):
        if change.value is None:
            self.removed_s[change.key] = self.loop.time()

    async def read_table(self, table, timeout_s):
        await asyncio.sleep(0.005)
        if not self.is_up:
            raise StoreUnavailableError("down")
        return TablePage(self.version, list(self.rows), complete=True)

    async def wait_for_changes(self, table, after, wait_s, timeout_s):
        end_s = self.loop.time() + wait_s
        while True:
            await asyncio.sleep(0.01)
            if not self.is_up:
                raise StoreUnavailableError("down")
            rows = [row for row in self.rows if row.version > after]
            if rows or self.loop.time() >= end_s:
                return TablePage(self.version, rows, complete=False)

    def remove(self, key):
        self.version += 1
        self.rows = [row for row in self.rows if row.key != key]
        self.rows.append(RowChange(key, None, self.version))

    def run_for(self, duration_s):
        end_s = self.loop.time() + duration_s
        while self.loop.time() < end_s:
            self.loop.run_until_complete(asyncio.sleep(0.05))
            self.follower.apply_deferred()


class StaleOutageTest(FollowerCase):
    """Guards against a hold that begins when a host reads again, not at a return."""

    def test_reader_that_was_relieved_remembers_no_outage(self):
        for calm_s in (1.0, 10.0, 300.0):
            with self.subTest(calm_s=calm_s):
                self.is_up = False
                self.run_for(8.0)
                self.is_up = True
                self.is_reader = False
                self.other_answer_s = self.loop.time()
                self.run_for(calm_s)
                self.other_answer_s = self.loop.time()
                self.run_for(1.4)  # the other host stops; this one takes over
                self.is_reader = True
                self.run_for(0.1)
                key = f"leaving-{calm_s}"
                self.rows.append(RowChange(key, b"1", self.version + 1))
                self.version += 1
                self.run_for(0.5)
                self.remove(key)
                at_s = self.loop.time()
                self.run_for(4.0)
                self.assertLess(self.removed_s[key] - at_s, 0.5)

    def test_outage_in_which_the_role_changes_is_still_one(self):
        """Guards against lapsed entries that are taken for servers that left."""
        self.is_up = False
        self.run_for(3.0)
        self.is_reader = False
        self.run_for(2.0)
        self.is_reader = True
        self.run_for(3.0)
        self.remove("a")
        self.is_up = True
        returned_s = self.loop.time()
        self.run_for(6.0)
        held_s = self.removed_s["a"] - returned_s
        self.assertGreater(held_s, REMOVAL_HOLD_S)

    def test_host_that_reads_after_another_holds_back_until_the_same_moment(self):
        """Guards against a host without the hold of the one that read first."""
        for is_relieved in (False, True):
            with self.subTest(is_relieved=is_relieved):
                key = f"lapsed-{is_relieved}"
                self.rows.append(RowChange(key, b"1", self.version + 1))
                self.version += 1
                self.run_for(0.5)
                self.is_up = False
                self.run_for(6.0)
                self.remove(key)
                returned_s = self.other_answer_s = self.loop.time()
                self.is_reader = not is_relieved
                self.run_for(0.8)
                self.is_up = self.is_reader = True
                self.run_for(4.0)
                held_s = self.removed_s[key] - returned_s
                # The hold is over when it ends; the last read may come after that.
                self.assertGreaterEqual(held_s, REMOVAL_HOLD_S)
                self.assertLess(held_s, REMOVAL_HOLD_S + 0.5)

    def test_host_that_the_store_alone_refuses_holds_nothing_back(self):
        """Guards against a hold after trouble that was that of one host."""
        self.is_up = False
        for _ in range(16):
            self.other_answer_s = self.loop.time()
            self.run_for(0.5)
        self.remove("a")
        self.is_up = True
        returned_s = self.loop.time()
        self.run_for(6.0)
        self.assertLess(self.removed_s["a"] - returned_s, BOUND_S)

    def test_paused_host_holds_nothing_back(self):
        """Guards against a pause that counts as the length of an outage."""
        self.is_up = False
        self.run_for(0.3)  # one call fails
        self.is_up = True
        self.loop._jumping.now_s += 10.0
        self.other_answer_s = self.loop.time() - 0.2
        self.remove("a")
        at_s = self.loop.time()
        self.run_for(4.0)
        self.assertLess(self.removed_s["a"] - at_s, BOUND_S)


class HandedOnHoldTest(FollowerCase):
    """Guards against holds that grow on their way from host to host."""

    def test_slow_answer_prolongs_no_hold(self):
        neighbours = NeighbourTable("h2", ReadTimes(BOUND_S))
        positions = {"servers": TablePosition(version=9)}
        neighbours.apply_report(
            report("h1", positions=positions), "10.0.0.1", self.loop.time()
        )
        replicator = RowReplicator(
            self.timer,
            {"servers": self.follower},
            (neighbours,),
            self,
            1,
            EventSampler(self.timer.now, 0),
        )
        self.is_reader = False
        began_s = self.loop.time()
        self.loop.call_soon(replicator.pull_newer_rows)
        self.run_for(1.0)
        left_s = self.follower.copy.deferral_left_s(self.loop.time())
        self.assertGreater(left_s, 0.0)
        end_s = self.loop.time() + left_s
        self.assertLessEqual(end_s, began_s + REMOVAL_HOLD_S + 0.01)

    async def request(self, *args, **options):
        """Answer a pull as a neighbour does that hangs right after the encoding."""
        rows = [RowChange("a", None, 9)]
        page = TablePage(9, rows, complete=False)
        body = encode_page(page, REMOVAL_HOLD_S)
        await asyncio.sleep(0.7)
        return HttpAnswer(200, [], body)


class WholeDaemonsTest(unittest.TestCase):
    """Guards against the same fault with reports, roles and pulls of whole daemons."""

    def play(self, seed, outages, calm_s, kills):
        """Let hosts that read the store die long after outages, as servers leave.

        Returns:
            How long each removal took until it was in force on all hosts, in seconds.
        """
        fleet = WholeFleet(seed, 4)
        self.addCleanup(fleet.close)
        fleet.add_servers(10)
        fleet.network.advance(2.0)
        for mode, duration_s, pause_s in outages:
            fleet.store.mode = mode
            fleet.network.advance(duration_s)
            fleet.store.mode = FaultMode.UP
            fleet.network.advance(pause_s)
        fleet.network.advance(calm_s)
        took_s = []
        for kill in range(kills):
            for name in sorted(fleet.hosts)[:1] + sorted(fleet.hosts)[-4 + kill :][:1]:
                fleet.stop(name)
            fleet.network.advance(0.3 * fleet.rng.random())
            left = sorted(fleet.servers)[kill]
            fleet.store.drop("servers", left)
            began_s = fleet.now_s()
            while any(left in h.directory.backends for h in fleet.hosts.values()):
                fleet.network.advance(0.05)
                if fleet.now_s() > began_s + 10.0:
                    break
            took_s.append(fleet.now_s() - began_s)
            fleet.network.advance(1.5)
        return took_s

    def test_readers_replaced_after_outages_apply_removals_in_time(self):
        rng = random.Random(9)
        modes = [FaultMode.DROP, FaultMode.HANG, FaultMode.UNAVAILABLE]
        for seed in range(1, 7):
            outages = [
                (rng.choice(modes), rng.uniform(1.5, 9.0), rng.uniform(0.1, 3.0))
                for _ in range(rng.randint(1, 3))
            ]
            calm_s = rng.uniform(3.5, 20.0)
            with self.subTest(seed=seed, outages=outages, calm_s=calm_s):
                took_s = self.play(seed, outages, calm_s, 2)
                self.assertLess(max(took_s), BOUND_S)


if __name__ == "__main__":
    unittest.main()
