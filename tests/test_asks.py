"""Questions for places at the servers of other groups."""

import asyncio
import random
import unittest

from crocusward.desired import KnownHost
from crocusward.entryd._asks import PlaceAsks
from crocusward.logs import EventSampler
from crocusward.neighbours import PlaceAsk, PlaceDone, PlaceOffer
from crocusward.placing import SelectionRequest
from crocusward.timing import LoopTimer

from .entry_support import route

HOST = KnownHost("h9", "10.0.0.9", "east-b")


class RecordingEndpoint:
    """Keeps the messages that are sent."""

    def __init__(self):
        self.sent = []

    def send(self, message, addresses):
        self.sent.append((message, list(addresses)))


async def offer_nothing(key, *ask):
    return None


class PlaceAsksTest(unittest.IsolatedAsyncioTestCase):
    def asks(self):
        timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        self.endpoint = RecordingEndpoint()
        return PlaceAsks(
            timer,
            random.Random(1),
            EventSampler(timer.now, 100),
            self.endpoint,
            offer_nothing,
            lambda key: None,
        )

    def ask(self, asks, wait_s=0.0):
        place = SelectionRequest(
            "q", route(), "svc", objective_s=1.0, deadline_s=1.0, service_time_s=0.1
        )
        return asks.ask(place, "east-b#0", [HOST], False, wait_s)

    async def test_offer_is_taken(self):
        """Guards against an answer that is lost inside the daemon."""
        asks = self.asks()
        task = asyncio.create_task(self.ask(asks))
        await asyncio.sleep(0)
        message, addresses = self.endpoint.sent[0]
        self.assertIsInstance(message, PlaceAsk)
        self.assertEqual(addresses, [HOST.address])
        asks.take(PlaceOffer(message.token, "b1", 2.0, 1), HOST.address)
        kept = await task
        self.assertEqual((kept.backend, kept.pace, kept.in_flight), ("b1", 2.0, 1))

    async def test_offer_for_a_caller_who_left_is_given_back(self):
        """Guards against places that stay taken after the request is gone."""
        asks = self.asks()
        task = asyncio.create_task(self.ask(asks, wait_s=1.0))
        await asyncio.sleep(0)
        token = self.endpoint.sent[0][0].token
        task.cancel()
        await asyncio.sleep(0)
        asks.take(PlaceOffer(token, "b1", 1.0, 0), HOST.address)
        message, addresses = self.endpoint.sent[-1]
        self.assertIsInstance(message, PlaceDone)
        self.assertEqual((message.token, addresses), (token, [HOST.address]))
