"""Removals that a host could miss, since no neighbour knows all of the history."""

import itertools
import random
import unittest

from crocusward.desired import RowChange, TablePage, TablePosition, TableReplica
from crocusward.desired import _table_replica as table_replica
from crocusward.devtools.entry_soak import WholeFleet
from crocusward.devtools.entry_soak._host import BOUND_S

RESTART_S = 0.1


class StoreTable:
    """A table with versions, and replicas that read it."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.history = []

    def write(self, key, value):
        self.version += 1
        change = RowChange(key, value, self.version)
        self.history.append(change)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = change

    def read(self, replica):
        """Read all rows or the changes after the position of a replica."""
        if replica.version < 0:
            page = TablePage(self.version, list(self.rows.values()), complete=True)
        else:
            changes = self.history[replica.version :]
            page = TablePage(self.version, changes, complete=False)
        replica.apply(page, 0.0)


def values(replica):
    return {row.key: row.value for row in replica.rows()}


class ReplicaHistoryTest(unittest.TestCase):
    """Guards against pages of changes from a copy that lacks older removals."""

    def setUp(self):
        self.store = StoreTable()
        for number in range(3):
            self.store.write(f"s{number}", b"ready")
        self.behind = TableReplica("servers")
        self.store.read(self.behind)

    def pull(self, replica, source, now_s=0.0):
        page = source.get_changes_since(replica.position)
        replica.apply(page, now_s)
        return page

    def test_removal_before_the_first_read_reaches_a_neighbour_that_is_behind(self):
        self.store.write("s1", None)
        fresh = TableReplica("servers")
        self.store.read(fresh)
        self.assertTrue(self.pull(self.behind, fresh).complete)
        self.assertEqual(values(self.behind), self.store_values())

    def store_values(self):
        return {key: row.value for key, row in self.store.rows.items()}

    def test_fresh_copy_takes_no_removed_row_of_a_neighbour(self):
        self.store.write("s1", None)
        fresh = TableReplica("servers")
        self.store.read(fresh)
        fresh.merge(self.behind.get_all_changes(), 0.0)
        self.assertEqual(values(fresh), self.store_values())

    def test_row_that_is_newer_than_a_fresh_copy_is_not_kept_for_good(self):
        fresh = TableReplica("servers")
        self.store.read(fresh)
        self.store.write("s9", b"ready")
        self.store.read(self.behind)
        fresh.merge(self.behind.get_all_changes(), 0.0)
        self.store.write("s9", None)
        other = TableReplica("servers")
        self.store.read(other)
        self.pull(fresh, other)
        self.assertEqual(values(fresh), self.store_values())

    def test_changes_within_the_history_stay_a_page_of_changes(self):
        reader = TableReplica("servers")
        self.store.read(reader)
        self.store.write("s1", None)
        self.store.read(reader)
        page = self.pull(self.behind, reader)
        self.assertFalse(page.complete)
        self.assertEqual(values(self.behind), self.store_values())

    def test_history_that_the_store_forgot_is_not_handed_out(self):
        reader = TableReplica("servers")
        self.store.read(reader)
        self.store.write("s7", b"ready")
        self.store.read(self.behind)  # ahead of the reader, with a row that goes again
        self.store.write("s7", None)
        rows = list(self.store.rows.values())
        reader.apply(TablePage(self.store.version, rows, complete=True), 0.0)
        self.pull(self.behind, reader)
        self.assertEqual(values(self.behind), self.store_values())

    def test_dropped_tombstones_end_the_history(self):
        limit, table_replica.MAX_TOMBSTONES = table_replica.MAX_TOMBSTONES, 1
        self.addCleanup(setattr, table_replica, "MAX_TOMBSTONES", limit)
        reader = TableReplica("servers")
        self.store.read(reader)
        for key in ("s0", "s1"):
            self.store.write(key, None)
        self.store.read(reader)
        self.assertEqual(reader.history_start, 4)
        self.assertTrue(self.pull(self.behind, reader).complete)
        self.assertEqual(values(self.behind), self.store_values())

    def test_deferred_removal_comes_with_a_complete_page(self):
        reader = TableReplica("servers")
        self.store.read(reader)
        reader.defer_removals(2.0)
        self.store.write("s1", None)
        reader.apply(TablePage(4, self.store.history[3:], complete=False), 0.0)
        fresh = TableReplica("servers")
        fresh.defer_removals(2.0)
        fresh.apply(reader.get_changes_since(TablePosition()), 0.0)
        self.assertIn("s1", values(fresh))
        for replica in (reader, fresh):
            replica.apply_deferred(2.0)
            self.assertEqual(values(replica), self.store_values())

    def test_random_pulls_end_with_the_rows_of_the_store(self):
        for seed in range(300):
            with self.subTest(seed=seed):
                self.play_random_pulls(random.Random(seed))

    def play_random_pulls(self, rng):
        """Change, read, restart and pull in any order; then all agree."""
        store = StoreTable()
        store.write("s0", b"0")
        replicas = [TableReplica("servers") for _ in range(4)]
        for number in itertools.count():
            one, other = rng.sample(replicas, 2)
            step = rng.randrange(6)
            if step == 0:
                store.write(f"s{rng.randrange(5)}", rng.choice([None, b"%d" % number]))
            elif step == 1:
                store.read(one)
            elif step == 2:
                replicas[replicas.index(one)] = TableReplica("servers")
            elif step == 3 and other.version >= 0:
                one.merge(other.get_all_changes(), 0.0)
            elif step >= 4 and other.position > one.position:
                self.pull(one, other)
            if number > 60:
                break
        store.write("s0", b"last")
        store.read(replicas[0])
        for replica in replicas:
            self.pull(replica, replicas[0])
            expected = {key: row.value for key, row in store.rows.items()}
            self.assertEqual(values(replica), expected)


class WholeDaemonsTest(unittest.TestCase):
    """Guards against servers and evacuations that are used on after their removal."""

    def make_fleet(self, seed):
        fleet = WholeFleet(seed, 3)
        self.addCleanup(fleet.close)
        fleet.add_servers(4)
        fleet.store.put("op", "evacuate/west-a", b"{}")
        fleet.network.advance(2.0)
        return fleet

    def test_removals_while_the_reader_restarts_are_in_force_everywhere(self):
        for seed, count in ((1, 1), (2, 2), (3, 1), (4, 3)):
            with self.subTest(seed=seed, restarted=count):
                fleet = self.make_fleet(seed)
                left = sorted(fleet.servers)[0]
                outs = [
                    host.directory.data_centres_out for host in fleet.hosts.values()
                ]
                self.assertTrue(all(outs))
                readers = sorted(name for name in fleet.hosts if "east" in name)[:count]
                for name in readers:
                    fleet.stop(name)
                fleet.store.drop("servers", left)
                fleet.store.drop("op", "evacuate/west-a")
                fleet.network.advance(RESTART_S)
                for name in readers:
                    fleet.network.create_task(fleet.start(name))
                fleet.network.advance(BOUND_S + 4.0)
                for name, host in fleet.hosts.items():
                    self.assertNotIn(left, host.directory.backends, name)
                    self.assertFalse(host.directory.data_centres_out, name)


if __name__ == "__main__":
    unittest.main()
