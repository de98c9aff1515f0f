"""Tests of slots at servers of other groups and regions."""

import asyncio
import random
import unittest

from crocusward.logs import EventSampler
from crocusward.placing import (
    BackendSelector,
    Refused,
    RemoteRegionFallback,
    SelectionRequest,
    ServiceTimeModel,
)
from crocusward.relay import NO_FREE_SLOT, ReservedSlot, SlotFinder
from crocusward.timing import LoopTimer

from .entry_support import RecordingNotifier, backend, directory, route
from .test_placing import SelectorFixture


class FixedProber:
    """Prober with a fixed outcome."""

    def __init__(self, alive):
        self.alive = alive

    def is_worthwhile(self, service, service_time_s):
        return False

    async def refresh(self, loads, service, service_time_s):
        return False

    async def is_alive(self, load, service):
        return self.alive


def make_slot_finder(bench, notifier, prober=None):
    """Return a slot finder over the servers of a bench, in real time."""
    timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
    bench.load_table._now = timer.now
    bench.selector = BackendSelector(
        bench.directory, bench.load_table, ServiceTimeModel(), "east", random.Random(1)
    )
    return SlotFinder(
        timer,
        bench.directory,
        bench.load_table,
        bench.selector,
        notifier,
        EventSampler(timer.now, 100),
        prober,
    )


class RemoteRegionNotifier(RecordingNotifier):
    """Notifier that answers each slot request with a slot at a fixed server."""

    def __init__(self, backend):
        super().__init__()
        self.backend = backend
        self.asked_groups = []

    async def request_slot(self, req, group, can_share, wait_s):
        self.asked_groups.append(group)
        return ReservedSlot(self.backend, "127.0.0.9", len(self.asked_groups), 1.0, 0)

    def release(self, slot):
        pass


class RemoteRegionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against late answers in a full region while another has free slots."""

    def setUp(self):
        self.bench = SelectorFixture(
            backend("b1", slots=1), backend("w1", "west-a"), state=directory().state
        )

    def occupy_server(self, freed_after_s=None):
        """Occupy the only server here, for a time if one is given."""
        loop = asyncio.get_running_loop()
        load = self.bench.load_table.loads["b1"]
        sent_s = loop.time()
        load.begin(sent_s)
        if freed_after_s is not None:
            loop.call_later(freed_after_s, load.end, sent_s)

    async def find_slot(self, notifier, rule=None, **options):
        finder = make_slot_finder(self.bench, notifier)
        now_s = asyncio.get_running_loop().time()
        options.setdefault("service_time_s", 0.1)
        req = SelectionRequest(
            "q",
            rule or route(),
            "svc",
            objective_s=now_s + 0.3,
            deadline_s=now_s + 0.5,
            **options,
        )
        selection = await finder.find(req)
        return selection, asyncio.get_running_loop().time() - now_s

    async def test_request_leaves_a_full_region_in_time_for_its_objective(self):
        self.occupy_server()
        selection, took_s = await self.find_slot(RemoteRegionNotifier("w1"))
        self.assertEqual(selection.load.entry.id, "w1")
        self.assertLess(took_s + 0.1, 0.3)

    async def test_free_slot_here_goes_before_another_region(self):
        self.occupy_server(freed_after_s=0.02)
        notifier = RemoteRegionNotifier("w1")
        selection, _ = await self.find_slot(notifier)
        self.assertEqual(selection.load.entry.id, "b1")
        self.assertEqual(notifier.asked_groups, [])

    async def test_keeps_waiting_when_the_other_region_is_full(self):
        self.occupy_server(freed_after_s=0.15)
        notifier = RemoteRegionNotifier(NO_FREE_SLOT)
        selection, _ = await self.find_slot(notifier)
        self.assertEqual(selection.load.entry.id, "b1")
        self.assertEqual(len(notifier.asked_groups), 1)

    async def test_requests_with_home_region_or_large_body_stay(self):
        home = route(regions=frozenset({"east"}))
        for rule, size in ((home, 0), (route(), 60_000)):
            req = SelectionRequest(
                "q",
                rule,
                "svc",
                objective_s=100.3,
                deadline_s=101.0,
                service_time_s=0.1,
                body_bytes=size,
            )
            overflow = RemoteRegionFallback(self.bench.selector, req)
            for now_s in (100.0, 100.1, 100.2, 100.3):
                self.assertFalse(overflow.is_due(now_s))


class UnansweredSlotRequestTest(unittest.IsolatedAsyncioTestCase):
    """Guards against sending unprobed to a group whose hosts do not answer."""

    async def find(self, *, alive=True, cold_left_s=0.0):
        bench = SelectorFixture(state=directory().state)
        finder = make_slot_finder(bench, RecordingNotifier(), FixedProber(alive))
        bench.directory.set_backend(
            "c1", backend("c1", "east-b", cold_left_s=cold_left_s)
        )
        now_s = asyncio.get_running_loop().time()
        req = SelectionRequest(
            "q",
            route(),
            "svc",
            objective_s=now_s + 0.3,
            deadline_s=now_s + 0.5,
            service_time_s=0.1,
        )
        return await finder.find(req)

    async def test_server_that_answers_a_probe_is_used(self):
        self.assertEqual((await self.find()).load.entry.id, "c1")

    async def test_silent_server_gets_nothing(self):
        with self.assertRaises(Refused):
            await self.find(alive=False)

    async def test_cold_server_is_left_to_its_group(self):
        with self.assertRaises(Refused):
            await self.find(cold_left_s=3.0)
