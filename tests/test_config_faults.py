"""Replicas of the configuration under random faults of links, store and hosts."""

import unittest

from crocusward.config import (
    PutCustomer,
    ServingMode,
    SetDataCentreState,
)
from crocusward.errors import (
    CrocusError,
    FindingsError,
)
from crocusward.model import Customer, ServiceState

from .state_fakes import Fleet, basic_operations

OUT_OF_POHJA = SetDataCentreState("pohja-a", ServiceState.OUT)
OUT_OF_LOUNA = SetDataCentreState("louna-a", ServiceState.OUT)


def put_customer(name):
    return PutCustomer(Customer(name, "platform"))


class RandomFaultTest(unittest.TestCase):
    """Random runs with a fault 0.1 s before and at least 2.5 s after each commit.

    A link failure during a commit can leave a group of hosts without the change;
    see docs/configuration.md.
    """

    def test_copies_stay_current_under_random_faults(self):
        """Guards against serving with a copy older than the rules allow."""
        for seed in range(12):
            with self.subTest(seed=seed):
                self.run_faults(seed)

    def test_links_that_break_during_a_commit(self):
        """Guards against a group that keeps serving without a committed change."""
        self.cut_during_commit = True
        for seed in (147, 148, 149, 150):
            with self.subTest(seed=seed):
                self.run_faults(seed)

    def run_faults(self, seed):
        self.fleet = Fleet(2 + seed % 3, seed)
        self.rng = self.fleet.rng
        self.commits = []
        try:
            self.advance_and_check(3.0)
            self.fleet.commit("p0", "setup", *basic_operations())
            for step in range(25):
                self.rng.choice(
                    (self.cut, self.heal, self.toggle_store, self.pause, self.restart)
                )()
                self.advance_and_check(0.1)
                self.try_commit(f"c{step}")
                self.advance_and_check(self.rng.choice((2.5, 6.0)))
            self.check_recovery()
        finally:
            self.fleet.close()

    def check_recovery(self):
        for node in self.fleet.nodes.values():
            self.resume(node)
        self.heal()
        self.fleet.set_store(False)
        self.fleet.loop.advance(5.0)
        self.assertEqual(len(self.fleet.versions()), 1)
        digests = {node.replica.digest for node in self.fleet.nodes.values()}
        self.assertEqual(len(digests), 1)
        self.assertEqual(set(self.fleet.modes().values()), {ServingMode.NORMAL})
        for node in self.fleet.nodes.values():
            self.assertEqual(node.invariants.violations.total(), 0)
            self.assertEqual(node.replica.forks, 0)

    def cut(self):
        names = list(self.fleet.nodes)
        chosen = [name for name in names if self.rng.random() < 0.4]
        self.fleet.partition(chosen, [n for n in names if n not in chosen])

    def heal(self):
        self.fleet.partition()

    def toggle_store(self):
        for node in self.fleet.nodes.values():
            if self.rng.random() < 0.5:
                node.table.down = not node.table.down

    def pause(self):
        node = self.rng.choice(list(self.fleet.nodes.values()))
        if node.timer.paused:
            self.resume(node)
        else:
            node.timer.paused = True

    def resume(self, node):
        async def run():
            waiting, node.timer.waiting = node.timer.waiting, []
            node.timer.paused = False
            for callback in waiting:
                callback()
                self.check_host(node)

        self.fleet.run(run())

    def restart(self):
        if not self.fleet.cut:
            self.rng.choice(list(self.fleet.nodes.values())).restart()

    def try_commit(self, change_id):
        live = [n.name for n in self.fleet.nodes.values() if not n.timer.paused]
        if not live:
            return
        op, scope = self.rng.choice(
            (
                (put_customer(change_id), {"pohja", "louna"}),
                (OUT_OF_POHJA, {"pohja"}),
                (OUT_OF_LOUNA, {"louna"}),
            )
        )
        try:
            receipt = self.fleet.commit(self.rng.choice(live), change_id, op)
        except (CrocusError, FindingsError):
            return
        if receipt.accepted:
            self.commits.append((self.fleet.timer.now(), receipt.version, scope))

    def advance_and_check(self, duration_s):
        for _ in range(round(duration_s / 0.1)):
            self.fleet.loop.advance(0.1)
            for node in self.fleet.nodes.values():
                if not node.timer.paused:
                    self.check_host(node)

    def check_host(self, node):
        """Check that a serving host has every change past its time limit."""
        mode = node.manager.may_serve()
        now_s = self.fleet.timer.now()
        version = node.manager.current().version
        for at_s, committed, scope in self.commits:
            if committed <= version:
                continue
            if mode is ServingMode.NORMAL:
                self.assertLess(now_s - at_s, 4.0, (node.name, committed))
            elif mode is ServingMode.OWN_REGION and node.region in scope:
                self.assertLess(now_s - at_s, 9.0, (node.name, committed))
