"""Slot requests to other groups."""

import asyncio
import random
import unittest

from crocusward.desired import EntryHost
from crocusward.entryd._slot_broker import SlotBroker
from crocusward.entryd._unanswering_hosts import UnansweringHosts
from crocusward.logs import EventSampler
from crocusward.neighbours import (
    SlotOffer,
    SlotRelease,
    SlotRequest,
    decode_message,
    encode_message,
)
from crocusward.placing import PERMIT_LIFETIME_S, SelectionRequest
from crocusward.relay import PermitAnswer
from crocusward.timing import LoopTimer

from .entry_support import route

HOST = EntryHost("h9", "10.0.0.9", "east-b")


class RecordingEndpoint:
    """Records the messages that are sent."""

    def __init__(self):
        self.sent = []

    def send(self, message, addresses):
        self.sent.append((message, list(addresses)))


async def reserve_nothing(key, *request):
    return None


async def deny_permit(neighbour, *request):
    return PermitAnswer(None)


class SlotBrokerTestCase(unittest.IsolatedAsyncioTestCase):
    """Makes slot brokers whose messages are recorded."""

    clock_s = 100.0

    def make_broker(self, first_token=0):
        timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        self.endpoint = RecordingEndpoint()
        return SlotBroker(
            timer,
            random.Random(1),
            EventSampler(timer.now, 100),
            self.endpoint,
            reserve_nothing,
            lambda key: None,
            deny_permit,
            lambda address: "",
            lambda: self.clock_s,
            first_token,
            lambda *limit: None,
            UnansweringHosts(timer.now),
        )

    def request_slot(self, broker, max_wait_s=0.0, **options):
        req = SelectionRequest(
            "q", route(), "svc", objective_s=1.0, deadline_s=1.0, service_time_s=0.1
        )
        return broker.request_slot(
            req, "east-b#0", [HOST], False, max_wait_s, **options
        )


class SlotBrokerTest(SlotBrokerTestCase):
    async def test_offer_resolves_the_request(self):
        """Guards against an offer that does not reach the waiting request."""
        broker = self.make_broker()
        task = asyncio.create_task(self.request_slot(broker))
        await asyncio.sleep(0)
        message, addresses = self.endpoint.sent[0]
        self.assertIsInstance(message, SlotRequest)
        self.assertEqual(addresses, [HOST.address])
        broker.handle_message(SlotOffer(message.token, "b1", 2.0, 1), HOST.address)
        slot = await task
        self.assertEqual((slot.backend, slot.slowdown, slot.in_flight), ("b1", 2.0, 1))

    async def test_permit_expires_from_its_issue(self):
        """Guards against a suspended host that uses a permit which it reads late."""
        broker = self.make_broker()
        task = asyncio.create_task(
            self.request_slot(broker, max_wait_s=1.0, is_permit=True)
        )
        await asyncio.sleep(0)
        message = decode_message(encode_message(self.endpoint.sent[0][0]))
        self.assertEqual(message.request_id, "q")
        self.clock_s = 103.0
        permit = SlotOffer(message.token, "b1", waited_s=0.5)
        broker.handle_message(decode_message(encode_message(permit)), HOST.address)
        slot = await task
        self.assertEqual(slot.expires_s, 100.5 + PERMIT_LIFETIME_S)

    async def test_offer_after_cancellation_is_released(self):
        """Guards against slots that stay reserved after the request was cancelled."""
        broker = self.make_broker()
        task = asyncio.create_task(self.request_slot(broker, max_wait_s=1.0))
        await asyncio.sleep(0)
        token = self.endpoint.sent[0][0].token
        task.cancel()
        await asyncio.sleep(0)
        broker.handle_message(SlotOffer(token, "b1", 1.0, 0), HOST.address)
        message, addresses = self.endpoint.sent[-1]
        self.assertIsInstance(message, SlotRelease)
        self.assertEqual((message.token, addresses), (token, [HOST.address]))
