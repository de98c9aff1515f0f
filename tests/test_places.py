"""Places at servers of other groups when nobody there answers."""

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
from crocusward.relay import FULL, KeptPlace, PlaceFinder
from crocusward.timing import LoopTimer

from .entry_support import RecordingNotifier, backend, directory, route
from .test_placing import SelectorFixture


class SilentProber:
    """Stands for probes with a fixed outcome."""

    def __init__(self, alive):
        self.alive = alive

    def pays(self, service, service_time_s):
        return False

    async def refresh(self, loads, service, service_time_s):
        return False

    async def is_alive(self, load, service):
        return self.alive


def finder_over(bench, announcer, prober=None):
    """Return a finder over the servers of a bench, in real time."""
    timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
    bench.load_table._now = timer.now
    bench.selector = BackendSelector(
        bench.directory, bench.load_table, ServiceTimeModel(), "east", random.Random(1)
    )
    return PlaceFinder(
        timer,
        bench.directory,
        bench.load_table,
        bench.selector,
        announcer,
        EventSampler(timer.now, 100),
        prober,
    )


class FarRegion(RecordingNotifier):
    """Answers questions of other regions with a fixed place."""

    def __init__(self, backend):
        super().__init__()
        self.backend = backend
        self.asked = []

    async def ask(self, place, group, shared, wait_s):
        self.asked.append(group)
        return KeptPlace(self.backend, "127.0.0.9", len(self.asked), 1.0, 0)

    def release(self, kept):
        pass


class OverflowTest(unittest.IsolatedAsyncioTestCase):
    """Guards against late answers in a full region beside room in another."""

    def setUp(self):
        self.bench = SelectorFixture(
            backend("b1", slots=1), backend("w1", "west-a"), state=directory().state
        )

    def fill(self, free_in_s=None):
        """Put a request on the only server here, which may end after a time."""
        loop = asyncio.get_running_loop()
        load = self.bench.load_table.loads["b1"]
        sent_s = loop.time()
        load.begin(sent_s)
        if free_in_s is not None:
            loop.call_later(free_in_s, load.end, sent_s)

    async def place(self, announcer, rule=None, **options):
        finder = finder_over(self.bench, announcer)
        now_s = asyncio.get_running_loop().time()
        options.setdefault("service_time_s", 0.1)
        place = SelectionRequest(
            "q",
            rule or route(),
            "svc",
            objective_s=now_s + 0.3,
            deadline_s=now_s + 0.5,
            **options,
        )
        choice = await finder.find(place)
        return choice, asyncio.get_running_loop().time() - now_s

    async def test_request_leaves_a_full_region_in_time_for_its_objective(self):
        self.fill()
        choice, took_s = await self.place(FarRegion("w1"))
        self.assertEqual(choice.load.entry.id, "w1")
        self.assertLess(took_s + 0.1, 0.3)

    async def test_room_here_goes_before_another_region(self):
        self.fill(free_in_s=0.02)
        announcer = FarRegion("w1")
        choice, _ = await self.place(announcer)
        self.assertEqual(choice.load.entry.id, "b1")
        self.assertEqual(announcer.asked, [])

    async def test_waits_on_when_the_other_region_is_full(self):
        self.fill(free_in_s=0.15)
        announcer = FarRegion(FULL)
        choice, _ = await self.place(announcer)
        self.assertEqual(choice.load.entry.id, "b1")
        self.assertEqual(len(announcer.asked), 1)

    async def test_home_regions_and_large_bodies_stay(self):
        home = route(regions=frozenset({"east"}))
        for rule, size in ((home, 0), (route(), 60_000)):
            request = SelectionRequest(
                "q",
                rule,
                "svc",
                objective_s=100.3,
                deadline_s=101.0,
                service_time_s=0.1,
                body_bytes=size,
            )
            overflow = RemoteRegionFallback(self.bench.selector, request)
            for now_s in (100.0, 100.1, 100.2, 100.3):
                self.assertFalse(overflow.is_due(now_s))


class UnaskedPlaceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against sending blindly to a data centre whose hosts do not answer."""

    async def find(self, *, alive=True, cold_left_s=0.0):
        bench = SelectorFixture(state=directory().state)
        finder = finder_over(bench, RecordingNotifier(), SilentProber(alive))
        bench.directory.set_backend(
            "c1", backend("c1", "east-b", cold_left_s=cold_left_s)
        )
        now_s = asyncio.get_running_loop().time()
        place = SelectionRequest(
            "q",
            route(),
            "svc",
            objective_s=now_s + 0.3,
            deadline_s=now_s + 0.5,
            service_time_s=0.1,
        )
        return await finder.find(place)

    async def test_server_that_answers_a_probe_is_used(self):
        self.assertEqual((await self.find()).load.entry.id, "c1")

    async def test_silent_server_gets_nothing(self):
        with self.assertRaises(Refused):
            await self.find(alive=False)

    async def test_cold_server_is_left_to_its_group(self):
        with self.assertRaises(Refused):
            await self.find(cold_left_s=3.0)
