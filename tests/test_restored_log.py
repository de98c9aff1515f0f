"""The change log of the own interface after its store went back to an older copy."""

import unittest

from crocusward.config import PutCustomer
from crocusward.errors import CrocusError
from crocusward.model import Customer

from .state_fakes import Fleet, basic_operations

REPAIR_S = 4.0  # some polls of the log


def put_customer(name):
    return PutCustomer(Customer(name, "platform"))


class RestoredLogTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(2)
        self.addCleanup(self.fleet.close)
        self.fleet.loop.advance(3.0)
        self.fleet.commit("p0", "setup", *basic_operations())
        self.commit_customers("a")

    def commit_customers(self, *names, host="p0"):
        for name in names:
            self.fleet.commit(host, f"put-{name}", put_customer(name))
            self.fleet.loop.advance(1.0)

    def restore(self, copy):
        self.fleet.rows.clear()
        self.fleet.rows.update(copy)

    def customers(self):
        return [
            sorted(node.manager.current().customers)
            for node in self.fleet.nodes.values()
        ]

    def restart_all(self):
        for node in self.fleet.nodes.values():
            self.fleet.run(node.manager.stop())
        for node in self.fleet.nodes.values():
            node.restart()
        self.fleet.loop.advance(REPAIR_S)

    def test_lost_changes_are_written_again(self):
        """Guards against confirmed changes that end with the last host."""
        copy = dict(self.fleet.rows)
        self.commit_customers("b", "c")
        self.restore(copy)
        self.fleet.loop.advance(REPAIR_S)
        self.restart_all()
        self.assertEqual(self.customers(), [["a", "b", "c", "liit"]] * 4)
        self.assertEqual(self.fleet.versions(), {4})

    def test_change_after_the_restore_leaves_no_gap(self):
        """Guards against a log that no host can load again."""
        copy = dict(self.fleet.rows)
        self.commit_customers("b", "c")
        self.restore(copy)
        self.commit_customers("d")
        self.fleet.loop.advance(REPAIR_S)
        self.restart_all()
        self.assertEqual(self.customers(), [["a", "b", "c", "d", "liit"]] * 4)
        for node in self.fleet.nodes.values():
            self.assertEqual(node.replica.forks, 0)
            self.assertEqual(node.invariants.violations.total(), 0)

    def test_host_that_starts_in_between_takes_what_is_in_force(self):
        """Guards against a starting host that serves by an older version."""
        copy = dict(self.fleet.rows)
        self.commit_customers("b")
        for node in self.fleet.nodes.values():
            node.table.down = node.name != "l1"
        self.restore(copy)
        self.fleet.nodes["l1"].restart()
        self.fleet.loop.advance(REPAIR_S)
        self.fleet.set_store(False)
        self.fleet.loop.advance(REPAIR_S)
        self.assertEqual(self.customers(), [["a", "b", "liit"]] * 4)
        with self.assertRaises(CrocusError):
            self.fleet.commit("l1", "late", put_customer("x"), base=2)

    def test_log_that_lost_more_than_hosts_keep_is_loaded_from_a_snapshot(self):
        """Guards against a gap below the rows that hosts keep in memory."""
        copy = dict(self.fleet.rows)
        self.commit_customers("b", "c", "d")
        for node in self.fleet.nodes.values():
            while len(node.replica._rows) > 1:
                node.replica._rows.popleft()
        self.restore(copy)
        self.fleet.loop.advance(REPAIR_S)
        self.restart_all()
        self.assertEqual(self.customers(), [["a", "b", "c", "d", "liit"]] * 4)
