"""Rows of operators that a restored store lacks or brings back."""

import io
import random
import unittest

from crocusward.cli._explain import explain
from crocusward.desired import RowChange, TablePage, TableReplica
from crocusward.desired._table_replica import WRITER_SETTLE_S
from crocusward.devtools.entry_soak import WholeFleet
from crocusward.devtools.standins._store import FaultMode
from crocusward.entryd._exposition import format_metrics
from crocusward.logs import start_logs

from .test_restored_store import RestoredStoreCase

ORDER = "evacuate/east-a"
LATE_S = (0.5, 4.5, 9.0, 30.0)  # after the return, until an order is written again


def page(version, *rows, era=1, complete=True):
    changes = [RowChange(key, b"{}", ver) for key, ver in rows]
    return TablePage(version, changes, complete=complete, era=era)


class ReplicaTest(unittest.TestCase):
    """Guards against orders that end because a restored table lacks them."""

    def setUp(self):
        self.replica = TableReplica("op", waits_for_writer=True)
        self.now_s = 100.0
        self.apply(page(5, ("config", 1), ("out", 5)))

    def apply(self, found):
        return self.replica.apply(found, self.now_s)

    def run_for(self, duration_s):
        for _ in range(int(duration_s)):
            self.now_s += 1.0
            self.replica.apply_deferred(self.now_s)

    @property
    def keys(self):
        return {row.key for row in self.replica.rows()}

    def restore(self):
        self.apply(page(3, ("config", 1), era=2))

    def test_lost_row_stays_until_its_writer_removes_it(self):
        self.restore()
        self.run_for(1000)
        self.assertIn("out", self.keys)
        self.apply(page(4, ("out", 4), era=2, complete=False))
        self.assertEqual(self.replica.lost_keys, [])
        removal = TablePage(5, [RowChange("out", None, 5)], complete=False, era=2)
        self.apply(removal)
        self.assertNotIn("out", self.keys)

    def test_removal_of_a_row_that_the_store_lacks_ends_it(self):
        """Guards against an order that was taken back while the store had lost it."""
        self.restore()
        removal = TablePage(4, [RowChange("out", None, 4)], complete=False, era=2)
        self.apply(removal)
        self.assertNotIn("out", self.keys)

    def test_row_that_is_not_written_again_ends_after_other_writes(self):
        """Guards against a data centre that stays out for good."""
        self.restore()
        self.run_for(20)
        self.apply(page(4, ("config", 4), era=2, complete=False))
        self.run_for(WRITER_SETTLE_S - 1)
        self.assertIn("out", self.keys)
        self.run_for(2)
        self.assertNotIn("out", self.keys)

    def test_lost_row_outlasts_a_loss_of_history(self):
        self.restore()
        self.apply(page(8, ("config", 1), era=2))
        self.assertIn("out", self.keys)

    def test_era_that_rises_twice(self):
        self.restore()
        self.apply(page(4, ("config", 4), era=2, complete=False))
        self.run_for(WRITER_SETTLE_S - 5)
        self.apply(page(3, ("config", 1), era=3))
        self.run_for(10)
        self.assertIn("out", self.keys)

    def test_removed_row_that_comes_back_stays_removed(self):
        """Guards against an old order that is in force again unasked."""
        removal = TablePage(6, [RowChange("out", None, 6)], complete=False, era=1)
        self.apply(removal)
        self.apply(page(5, ("config", 1), ("out", 5), era=2))
        self.run_for(1000)
        self.assertNotIn("out", self.keys)
        self.assertEqual(self.replica.withheld_keys, ["out"])
        self.apply(page(6, ("out", 6), era=2, complete=False))
        self.assertIn("out", self.keys)

    def test_outage_defers_no_removal(self):
        """Guards against rows of operators that count as expired in an outage."""
        self.replica.defer_removals(self.now_s + 2.0)
        removal = TablePage(6, [RowChange("out", None, 6)], complete=False, era=1)
        self.assertEqual([c.key for c in self.apply(removal)], ["out"])

    def test_host_that_starts_learns_of_lost_rows_and_for_how_long(self):
        self.restore()
        self.apply(page(4, ("config", 4), era=2, complete=False))
        fresh = TableReplica("op", waits_for_writer=True)
        fresh.apply(page(4, ("config", 4), era=2), self.now_s)
        known = self.replica.get_all_changes()
        known.settle_left_s = self.replica.settle_left_s(self.now_s)
        fresh.merge(known, self.now_s)
        self.assertEqual(fresh.lost_keys, ["out"])
        self.now_s += WRITER_SETTLE_S + 1.0
        self.assertEqual(
            [(c.key, c.value) for c in fresh.apply_deferred(self.now_s)],
            [("out", None)],
        )

    def test_host_that_was_cut_off_takes_lost_rows_of_a_neighbour(self):
        behind = TableReplica("op", waits_for_writer=True)
        behind.apply(page(4, ("config", 1), ("scratch", 4)), self.now_s)
        self.restore()
        behind.apply(self.replica.get_changes_since(behind.position), self.now_s)
        self.assertIn("out", {row.key for row in behind.rows()})


class OperatorTest(RestoredStoreCase):
    """Guards against the same with the client of the store."""

    async def test_order_is_in_force_until_it_is_written_again(self):
        copy = self.store.copy()
        self.store.put_json("op", ORDER, {})
        await self.settle()
        self.store.restore(copy)
        for _ in range(6):
            await self.settle()
            for follower in self.host.followers.values():
                follower.apply_deferred()
            self.assertEqual(self.host.directory.data_centres_out, {"east-a"})
        self.store.put_json("op", ORDER, {})
        await self.settle()
        self.store.drop("op", ORDER)
        await self.settle()
        self.assertEqual(self.host.directory.data_centres_out, set())


class WholeDaemonsTest(unittest.TestCase):
    """Guards against requests to an evacuated data centre after a drill."""

    def play(self, seed, late_s, restarted):
        """Restore the store from a copy that lacks an order.

        Args:
            seed: Seed of the fleet.
            late_s: Time until the order is written again, in seconds.
            restarted: Hosts that start again in between, by the beginnings of names.

        Returns:
            The hosts that did not follow the order, with the time since the return.
        """
        fleet = WholeFleet(seed, 2, era=1)
        self.addCleanup(fleet.close)
        fleet.add_servers(6)
        copy = fleet.store.copy()
        fleet.network.advance(0.5 + fleet.rng.random())
        fleet.store.put("op", ORDER, b"{}")
        fleet.network.advance(5.5)
        fleet.store.mode = fleet.rng.choice([FaultMode.DROP, FaultMode.UNAVAILABLE])
        fleet.network.advance(0.3 + 2.0 * fleet.rng.random())
        fleet.store.restore(copy)
        fleet.store.mode = FaultMode.UP
        returned_s = fleet.now_s()
        names = [name for name in fleet.places if name.startswith(restarted)]
        if names:
            fleet.network.advance(0.3 * late_s)
        for name in names:
            fleet.stop(name)
            fleet.network.create_task(fleet.start(name))
        broken = []
        grace_end_s = fleet.now_s() + (3.0 if names else 0.0)
        while fleet.now_s() < returned_s + late_s:
            fleet.network.advance(0.1)
            for name, host in fleet.hosts.items():
                is_new = name in names and fleet.now_s() < grace_end_s
                if "east-a" not in host.directory.data_centres_out and not is_new:
                    broken.append((name, fleet.now_s() - returned_s))
        fleet.store.put("op", ORDER, b"{}")
        fleet.network.advance(2.0)
        fleet.store.drop("op", ORDER)
        fleet.network.advance(2.5)
        for name, host in fleet.hosts.items():
            if host.directory.data_centres_out:
                broken.append((name, "taken back"))
        return broken

    def test_kept_order_shows_in_logs_metrics_and_explain(self):
        """Guards against a data centre that stays out without a reason to be found."""
        stream = io.StringIO()
        pipe = start_logs(stream)
        fleet = WholeFleet(3, 2, era=1)
        self.addCleanup(fleet.close)
        fleet.add_servers(4)
        copy = fleet.store.copy()
        fleet.store.put("op", ORDER, b"{}")
        fleet.network.advance(2.0)
        fleet.store.restore(copy)
        fleet.network.advance(2.0)
        item = fleet.ask("/look/x", "host-east-a-000")
        fleet.network.advance(1.0)
        host = fleet.hosts["host-east-a-000"]
        metrics = format_metrics(host).decode()
        pipe.buffer.flush()
        pipe.close()
        found = explain(item.id, [("hosts", stream.getvalue().splitlines())])
        text = " ".join(line.text for line in found)
        self.assertIn(f"event=operator_row_kept table=op row={ORDER} era=2", text)
        self.assertIn('rows_lost_by_store{table="op"} 1', metrics)
        self.assertIn('removals_held{table="servers"} 0', metrics)
        self.assertIn('invalid_statuses_total{to="backends"} 0', metrics)

    def test_late_operators_and_hosts_that_start_in_between(self):
        rng = random.Random(8)
        cases = [(late_s, "none") for late_s in LATE_S]
        cases += [(9.0, "host-east-a-000"), (9.0, "host-west"), (30.0, "host-east")]
        for late_s, restarted in cases:
            with self.subTest(late_s=late_s, restarted=restarted):
                broken = self.play(rng.randrange(1000), late_s, restarted)
                self.assertEqual(broken, [])


if __name__ == "__main__":
    unittest.main()
