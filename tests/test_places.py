"""Places at servers of other groups when nobody there answers."""

import asyncio
import random
import unittest

from crocusward.logs import EventSampler
from crocusward.placing import Placer, PlaceRequest, Refused, WorkTimes
from crocusward.relay import PlaceFinder
from crocusward.timing import LoopTimer

from .entry_support import RecordingAnnouncer, backend, directory, route
from .test_placing import Bench


class SilentProber:
    """Stands for probes with a fixed outcome."""

    def __init__(self, alive):
        self.alive = alive

    def pays(self, service, work_s):
        return False

    async def refresh(self, loads, service, work_s):
        return False

    async def is_alive(self, load, service):
        return self.alive


class UnaskedPlaceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against sending blindly to a data centre whose hosts do not answer."""

    async def find(self, *, alive=True, cold_left_s=0.0):
        bench = Bench(state=directory().state)
        loop = asyncio.get_running_loop()
        timer = LoopTimer(loop, random.Random(1))
        bench.book._now = timer.now
        bench.directory.set_backend(
            "c1", backend("c1", "east-b", cold_left_s=cold_left_s)
        )
        placer = Placer(
            bench.directory, bench.book, WorkTimes(), "east", random.Random(1)
        )
        finder = PlaceFinder(
            timer,
            bench.directory,
            bench.book,
            placer,
            RecordingAnnouncer(),
            EventSampler(timer.now, 100),
            SilentProber(alive),
        )
        place = PlaceRequest(
            "q",
            route(),
            "svc",
            objective_s=timer.now() + 0.3,
            deadline_s=timer.now() + 0.5,
            work_s=0.1,
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
