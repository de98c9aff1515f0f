"""Copies of the store's tables after the store came back from an older copy."""

import asyncio
import json
import math
import random
import unittest

from crocusward.desired import Directory
from crocusward.devtools.standins import RowsStandin
from crocusward.entryd._reader import TableFollower
from crocusward.entryd._row_replicator import RowReplicator, decode_page
from crocusward.logs import EventSampler
from crocusward.neighbours import ReadTimes
from crocusward.platform import (
    TABLE_BACKENDS,
    TABLE_OPERATOR,
    RowClient,
    apply_row_change,
)
from crocusward.timing import LoopTimer
from crocusward.upstream import HttpPool

from .test_entry_state import ENTRY, STATE

SETTLE_S = 0.6  # several reads of changes at the shortest bound
BOUND_S = 0.4
OTHER_KEY = "other"  # a row of no meaning, which moves the versions


class Host:
    """Copies of both tables of one host, with the real client of the store."""

    def __init__(self, store):
        self.directory = Directory({"east-a": "east", "east-b": "east"})
        self.versions = []  # of the desired state, in the order of their use
        self.timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        self.pool = HttpPool(self.timer, connections=4)
        self.store = RowClient(self.pool, ("127.0.0.1", store.port))
        self.followers = {
            table: TableFollower(
                table,
                self.timer,
                random.Random(1),
                self.store,
                ReadTimes(BOUND_S),
                lambda: True,
                lambda: True,
                lambda: 0,
                lambda: -math.inf,
                self._on_change,
                lambda: None,
            )
            for table in (TABLE_OPERATOR, TABLE_BACKENDS)
        }
        self.replicator = RowReplicator(
            self.timer,
            self.followers,
            (),
            self.pool,
            1,
            EventSampler(self.timer.now, 0),
        )
        self._tasks = []

    def _on_change(self, table, change):
        apply_row_change(self.directory, table, change)
        state = self.directory.state
        if state is not None and self.versions[-1:] != [state.version]:
            self.versions.append(state.version)

    def start(self):
        self._tasks = [
            asyncio.get_running_loop().create_task(follower.run())
            for follower in self.followers.values()
        ]

    def cut_off(self):
        for task in self._tasks:
            task.cancel()

    def take_rows_from(self, other):
        """Take the rows of a neighbour, as a pull does."""
        for follower in self.followers.values():
            source = other.followers[follower.copy.name].copy
            is_merge = follower.should_merge(source.era)
            data = other.replicator.encode_rows_after(follower.pull_query(is_merge))
            page, hold_s = decode_page(data)
            follower.apply_neighbour_page(page, hold_s, is_merge)

    @property
    def servers(self):
        return {e.id: e.leaving for e in self.directory.backends.values()}


class RestoredStoreCase(unittest.IsolatedAsyncioTestCase):
    """Has a store of era 1 with three servers, and a host that follows it."""

    async def asyncSetUp(self):
        self.store = RowsStandin()
        self.store.era = 1
        await self.store.start()
        self.addCleanup(self.store.stop)
        self.put_state(1)
        for id in ("i-1", "i-2", "i-3"):
            self.put_server(id)
        self.host = await self.start_host()

    async def start_host(self):
        host = Host(self.store)
        host.start()
        self.addCleanup(host.cut_off)
        await self.settle()
        return host

    async def settle(self):
        await asyncio.sleep(SETTLE_S)

    def put_state(self, version):
        self.store.put_json(
            TABLE_OPERATOR, "config", {**STATE, "version": f"{version:08x}"}
        )

    def put_server(self, id, state="ready", seq=1, born=1):
        entry = {**ENTRY, "state": state, "seq": seq, "born": born}
        self.store.put_json(TABLE_BACKENDS, id, {**entry, "warmupLeft": "0s"})

    def move_versions(self, count):
        for number in range(count):
            self.store.put("scratch", OTHER_KEY, b"%d" % number)


class RestoredStoreTest(RestoredStoreCase):
    async def test_changes_written_after_the_restore_are_taken(self):
        """Guards against changes that are ignored until the counter has caught up."""
        copy = self.store.copy()
        self.put_state(2)
        self.move_versions(50)
        await self.settle()
        self.store.restore(copy)
        self.put_state(2)
        await self.settle()
        self.put_state(3)
        self.put_server("i-4")
        await self.settle()
        self.assertEqual(self.host.versions, [1, 2, 3])
        self.assertIn("i-4", self.host.servers)

    async def test_row_that_is_written_again_with_a_lower_version_is_taken(self):
        """Guards against servers that stay in use since their row seems older."""
        copy = self.store.copy()
        self.move_versions(50)
        self.put_server("i-1", seq=2)
        await self.settle()
        self.store.restore(copy)
        self.put_server("i-1", seq=3)
        await self.settle()
        self.put_server("i-1", "draining", seq=4)
        self.move_versions(60)
        await self.settle()
        self.assertTrue(self.host.servers["i-1"])

    async def test_versions_that_have_passed_the_old_ones_are_a_new_history(self):
        """Guards against changes missed between the copy and the lost version."""
        copy = self.store.copy()
        self.move_versions(5)
        await self.settle()
        self.store.mode = self.store.mode.DROP
        await self.settle()
        self.store.restore(copy)
        self.put_server("i-1", "draining", seq=2)
        self.put_state(2)
        self.move_versions(20)
        self.store.mode = self.store.mode.UP
        await asyncio.sleep(1.5)
        self.assertTrue(self.host.servers["i-1"])
        self.assertEqual(self.host.versions, [1, 2])

    async def test_nothing_in_force_reverts_before_it_is_written_again(self):
        """Guards against servers and data centres that come back with an old copy."""
        self.store.put_json(TABLE_OPERATOR, "evacuate/east-a", {})
        await self.settle()
        copy = self.store.copy()
        self.put_state(2)
        self.put_server("i-1", "draining", seq=2)
        self.store.drop(TABLE_BACKENDS, "i-2")
        self.put_server("i-4")
        self.store.put_json(TABLE_OPERATOR, "evacuate/east-b", {})
        self.store.drop(TABLE_OPERATOR, "evacuate/east-a")
        await self.settle()
        before = dict(self.host.servers)
        self.assertEqual(before, {"i-1": True, "i-3": False, "i-4": False})
        self.store.restore(copy)
        for _ in range(3):
            await self.settle()
            self.assertEqual(self.host.servers, before)
            self.assertEqual(self.host.directory.data_centres_out, {"east-b"})
            self.assertEqual(self.host.versions, [1, 2])

    async def test_what_is_not_written_again_ends_after_the_hold(self):
        """Guards against servers that died with the store and are kept for good."""
        copy = self.store.copy()
        self.put_server("i-4")
        await self.settle()
        self.store.restore(copy)
        await asyncio.sleep(3.0)
        for follower in self.host.followers.values():
            follower.apply_deferred()
        self.assertEqual(set(self.host.servers), {"i-1", "i-2", "i-3"})

    async def test_first_restore_of_a_store_that_names_era_zero(self):
        """Guards against a first era that counts as none."""
        self.host.cut_off()
        self.store.era = 0
        self.host = await self.start_host()
        copy = self.store.copy()
        self.move_versions(50)
        self.put_state(2)
        await self.settle()
        self.store.restore(copy)
        self.put_state(3)
        await self.settle()
        self.assertEqual(self.host.versions, [1, 2, 3])

    async def test_era_that_rises_twice(self):
        """Guards against a second restore that is taken for a part of the first."""
        copy = self.store.copy()
        self.move_versions(50)
        await self.settle()
        for version in (2, 3):
            self.store.restore(copy)
            self.put_state(version)
            await self.settle()
        self.assertEqual(self.host.versions, [1, 2, 3])
        self.assertEqual(self.host.followers[TABLE_OPERATOR].copy.era, 3)

    async def test_host_that_was_cut_off_learns_the_era_from_a_neighbour(self):
        """Guards against a lost history that a host spreads when it is back."""
        copy = self.store.copy()
        self.move_versions(50)
        self.put_state(2)
        other = await self.start_host()
        other.cut_off()
        self.store.restore(copy)
        self.put_state(2)
        self.put_state(3)
        self.put_server("i-1", "draining", seq=2)
        await self.settle()
        other.take_rows_from(self.host)
        self.assertEqual(other.versions, [2, 3])
        self.assertTrue(other.servers["i-1"])
        self.assertEqual(self.host.versions, [1, 2, 3])
        position = other.followers[TABLE_OPERATOR].copy.position
        self.assertEqual(position, self.host.followers[TABLE_OPERATOR].copy.position)

    async def test_late_page_of_the_old_era_is_ignored(self):
        """Guards against an answer from before the restore that arrives after it."""
        copy = self.store.copy()
        self.move_versions(50)
        other = await self.start_host()
        other.cut_off()
        self.store.restore(copy)
        await self.settle()
        self.put_server("i-2", "draining", seq=2)
        await self.settle()
        self.host.take_rows_from(other)
        self.assertTrue(self.host.servers["i-2"])

    async def test_host_that_starts_takes_what_neighbours_have_in_force(self):
        """Guards against a starting host that uses a server which has left."""
        copy = self.store.copy()
        self.put_server("i-1", "draining", seq=2)
        self.store.drop(TABLE_BACKENDS, "i-2")
        self.put_server("i-4")
        self.put_state(2)
        await self.settle()
        self.store.restore(copy)
        await self.settle()
        other = await self.start_host()
        other.take_rows_from(self.host)
        self.assertEqual(other.servers, {"i-1": True, "i-3": False, "i-4": False})
        self.assertEqual(other.directory.state.version, 2)

    async def test_restored_store_causes_few_calls(self):
        """Guards against reads without a pause while a copy ignores the answers."""
        copy = self.store.copy()
        self.move_versions(50)
        await self.settle()
        self.store.restore(copy)
        before = sum(self.store.counts.values())
        await self.settle()
        await self.settle()
        self.assertLess(sum(self.store.counts.values()) - before, 40)

    async def test_store_without_era_that_goes_back_causes_few_calls(self):
        """Guards against reads without a pause at a store that names no era."""
        copy = self.store.copy()
        self.move_versions(50)
        await self.settle()
        self.store.restore(copy)
        self.store.era = None
        before = sum(self.store.counts.values())
        await self.settle()
        await self.settle()
        self.assertLess(sum(self.store.counts.values()) - before, 40)

    async def test_entry_with_a_lower_sequence_number_is_ignored(self):
        """Guards against an old entry whose version was never seen here."""
        self.put_server("i-1", "draining", seq=5)
        await self.settle()
        self.put_server("i-1", "ready", seq=4)
        await self.settle()
        self.assertTrue(self.host.servers["i-1"])
        self.put_server("i-1", "ready", seq=1, born=2)
        await self.settle()
        self.assertFalse(self.host.servers["i-1"])


class MalformedEraTest(unittest.IsolatedAsyncioTestCase):
    async def test_malformed_era_is_no_answer(self):
        """Guards against a header that resets or raises the era without bounds."""
        store = RowsStandin()
        await store.start()
        self.addCleanup(store.stop)
        store.put("op", "config", json.dumps(STATE).encode())
        timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        client = RowClient(HttpPool(timer, connections=1), ("127.0.0.1", store.port))
        for bad in (-1, 10**30):
            store.era = bad
            with self.subTest(era=bad), self.assertRaises(Exception) as caught:
                await client.read_table("op", 1.0)
            self.assertEqual(caught.exception.code, "store_unavailable")
