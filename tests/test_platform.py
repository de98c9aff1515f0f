"""Tests the HTTP clients of the platform against stand-ins with injected faults."""

import asyncio
import random
import unittest

from crocusward.devtools.standins import (
    HostListStandin,
    ObjectsStandin,
    TableStandin,
)
from crocusward.errors import (
    ConflictError,
    NotSentError,
    StoreUnavailableError,
    StoreUncertainError,
)
from crocusward.model import ListedHost
from crocusward.platform import (
    ABSENT_REVISION,
    HttpHostList,
    HttpObjectStore,
    HttpTableService,
    PlatformClient,
    PlatformEndpoint,
    Row,
    Write,
)
from crocusward.timing import LoopTimer

from .standin_support import PlainClient, control

HOST = {
    "name": "e1",
    "role": "entry",
    "region": "pohja",
    "data_centre": "tallinn-a",
    "address": "127.0.0.1",
    "port": 9001,
}


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, standin):
        await standin.start()
        self.addCleanup(standin.stop)
        return standin

    def make_client(self, port, *, timeout_s=0.3, client=None, max_reads=16):
        rng = random.Random(1)
        timer = LoopTimer(asyncio.get_running_loop(), rng)
        endpoint = PlatformEndpoint("127.0.0.1", port, timeout_s)
        return PlatformClient(
            client or PlainClient(), endpoint, timer, rng, max_reads=max_reads
        )


class HttpTableTest(PlatformCase):
    async def asyncSetUp(self):
        self.standin = await self.start(TableStandin())
        self.table = HttpTableService(self.make_client(self.standin.port))

    async def test_transaction_applies_all_writes_or_none(self):
        """Guards against a batch of claims that is only partly written."""
        await self.table.transact([Write("a", b"1", ABSENT_REVISION)])
        batch = [Write("b", b"2", ABSENT_REVISION), Write("a", b"3", ABSENT_REVISION)]
        with self.assertRaises(ConflictError):
            await self.table.transact(batch)
        self.assertIsNone(await self.table.read("b"))
        self.assertEqual(await self.table.read("a"), Row("a", b"1", 1))

    async def test_write_depends_on_revision(self):
        """Guards against overwriting a row that changed since it was read."""
        await self.table.transact([Write("a", b"1", ABSENT_REVISION)])
        await self.table.transact([Write("a", b"2", 1)])
        with self.assertRaises(ConflictError):
            await self.table.transact([Write("a", b"3", 1)])
        await self.table.transact([Write("a", None, 2)])
        self.assertIsNone(await self.table.read("a"))

    async def test_scan_returns_pages_in_order(self):
        """Guards against rows that are skipped or repeated between pages."""
        keys = [f"change/{n:03d}" for n in range(7)]
        await self.table.transact([Write(key, b"x") for key in [*keys, "zone"]])
        first = await self.table.scan("change/", "", 4)
        rest = await self.table.scan("change/", first[-1].key, 4)
        self.assertEqual([row.key for row in first + rest], keys)

    async def test_lost_answer_is_uncertain_and_the_write_took_effect(self):
        """Guards against reporting an applied write as not written."""
        await control(self.standin.port, "lose_answers", count=1)
        with self.assertRaises(StoreUncertainError):
            await self.table.transact([Write("a", b"1", ABSENT_REVISION)])
        self.assertEqual(await self.table.read("a"), Row("a", b"1", 1))

    async def test_slow_write_is_uncertain(self):
        """Guards against reporting a write that is still in progress as failed."""
        await control(self.standin.port, "slow", delay_s=0.5)
        with self.assertRaises(StoreUncertainError):
            await self.table.transact([Write("a", b"1", ABSENT_REVISION)])
        await asyncio.sleep(0.3)
        self.assertIn("a", self.standin.rows)

    async def test_unavailable_service_had_no_effect(self):
        """Guards against an uncertain result when the service reports no effect."""
        await control(self.standin.port, "mode", mode="unavailable")
        with self.assertRaises(StoreUnavailableError):
            await self.table.transact([Write("a", b"1", ABSENT_REVISION)])
        with self.assertRaises(StoreUnavailableError):
            await self.table.read("a")
        self.assertEqual(self.standin.rows, {})

    async def test_refused_connection_is_unavailable_and_service_returns(self):
        """Guards against a client that does not recover after an outage."""
        await control(self.standin.port, "refuse", for_s=0.2)
        await asyncio.sleep(0.05)
        with self.assertRaises(StoreUnavailableError):
            await self.table.transact([Write("a", b"1", ABSENT_REVISION)])
        with self.assertRaises(StoreUnavailableError):
            await self.table.read("a")
        await asyncio.sleep(0.3)
        self.assertIsNone(await self.table.read("a"))


class CountingClient:
    """Counts concurrent requests and refuses connections while ``is_down``."""

    def __init__(self):
        self.start_times_s = []
        self.running = 0
        self.max_running = 0
        self.is_down = False
        self.inner = PlainClient()

    async def request(self, *args, **kwargs):
        self.start_times_s.append(asyncio.get_running_loop().time())
        if self.is_down:
            raise NotSentError("refused")
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            return await self.inner.request(*args, **kwargs)
        finally:
            self.running -= 1


class ReadLoadTest(PlatformCase):
    async def test_reads_are_bounded(self):
        """Guards against a burst of reads that overloads the table service."""
        standin = await self.start(TableStandin())
        client = CountingClient()
        platform_client = self.make_client(
            standin.port, client=client, max_reads=3, timeout_s=30.0
        )
        table = HttpTableService(platform_client)
        await asyncio.gather(*(table.read(f"k{n}") for n in range(40)))
        self.assertEqual(client.max_running, 3)

    async def test_reads_back_off_during_an_outage(self):
        """Guards against 14 hosts that all retry at once when an outage ends."""
        client = CountingClient()
        client.is_down = True
        table = HttpTableService(self.make_client(1, client=client, timeout_s=5.0))
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + 1.0
        while loop.time() < deadline_s:
            with self.assertRaises(StoreUnavailableError):
                await table.read("a")
        self.assertLess(len(client.start_times_s), 20)


class HttpObjectsTest(PlatformCase):
    async def test_put_get_list(self):
        """Guards against wrongly quoted names and errors for missing objects."""
        standin = await self.start(ObjectsStandin())
        objects = HttpObjectStore(self.make_client(standin.port))
        await objects.put("snapshot/louna/7 ä?", b"\x00data")
        self.assertEqual(await objects.get("snapshot/louna/7 ä?"), b"\x00data")
        self.assertIsNone(await objects.get("snapshot/louna/8"))
        self.assertEqual(await objects.list("snapshot/"), ["snapshot/louna/7 ä?"])

    async def test_put_during_an_outage_is_unavailable(self):
        """Guards against a failed put that raises anything but unavailable."""
        standin = await self.start(ObjectsStandin())
        objects = HttpObjectStore(self.make_client(standin.port))
        for mode in ("drop", "hang", "unavailable"):
            await control(standin.port, "mode", mode=mode)
            with self.assertRaises(StoreUnavailableError):
                await objects.put("a", b"")


class HttpHostListTest(PlatformCase):
    async def test_list_lags(self):
        """Guards against a stand-in that shows changes without its lag."""
        standin = await self.start(HostListStandin([HOST], lag_s=0.2))
        hosts = HttpHostList(self.make_client(standin.port))
        await control(standin.port, "leaving", name="e1")
        self.assertFalse((await hosts.fetch())[0].leaving)
        await asyncio.sleep(0.25)
        self.assertTrue((await hosts.fetch())[0].leaving)

    async def test_other_region_sees_the_relay(self):
        """Guards against traffic between regions that bypasses the simulated link."""
        entry = {**HOST, "via": {"louna": ["127.0.0.9", 7000]}}
        standin = await self.start(HostListStandin([entry]))
        local = HttpHostList(self.make_client(standin.port), "pohja")
        remote = HttpHostList(self.make_client(standin.port), "louna")
        expected = ListedHost("e1", "entry", "pohja", "tallinn-a", "127.0.0.1", 9001)
        self.assertEqual(await local.fetch(), [expected])
        self.assertEqual((await remote.fetch())[0].port, 7000)

    async def test_malformed_entry_makes_the_list_unusable(self):
        """Guards against oversized budget shares because hosts were skipped."""
        for change in ({"port": "x"}, {"role": "other"}, {"name": ""}, {"port": 0}):
            standin = await self.start(HostListStandin([HOST, {**HOST, **change}]))
            hosts = HttpHostList(self.make_client(standin.port))
            with self.assertRaises(StoreUnavailableError):
                await hosts.fetch()
