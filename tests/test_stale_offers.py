"""Slot offers that outlive the process, the host or the server they were meant for."""

import asyncio
import random
import unittest
from unittest import mock

from crocusward.entryd._slot_broker import make_first_token
from crocusward.neighbours import SlotOffer, SlotRelease, SlotRequest
from crocusward.placing import Refused, SelectionRequest
from crocusward.relay import NO_FREE_SLOT
from crocusward.upstream import HttpPool

from .entry_support import RelayOnLoopback, backend, desired, reply, route
from .scripted_server import ScriptedServer
from .test_asks import HOST, SlotBrokerTestCase
from .test_places import RemoteRegionNotifier, make_slot_finder
from .test_placing import SelectorFixture

STARTED_MS = 1_780_000_000_000
STOCK_BACKEND = "i-stock"


class OfferForFormerProcessTest(SlotBrokerTestCase):
    """Guards against an offer to a former process that a new request takes."""

    async def ask_after_restart(self, former_ms, next_ms):
        """Offer a slot to a former process of a host while the next one waits."""
        former = self.make_broker(make_first_token(former_ms, random.Random(1)))
        asked = asyncio.create_task(self.request_slot(former, max_wait_s=1.0))
        await asyncio.sleep(0)
        token = self.endpoint.sent[0][0].token
        asked.cancel()
        await asyncio.gather(asked, return_exceptions=True)
        broker = self.make_broker(make_first_token(next_ms, random.Random(2)))
        waiting = asyncio.create_task(self.request_slot(broker, max_wait_s=1.0))
        await asyncio.sleep(0)
        broker.handle_message(SlotOffer(token, STOCK_BACKEND, 1.0, 0), HOST.address)
        await asyncio.sleep(0)
        return broker, waiting, token

    async def test_offer_to_a_former_process_is_returned(self):
        for next_ms in (STARTED_MS + 300, STARTED_MS, STARTED_MS - 2000):
            with self.subTest(next_ms=next_ms):
                broker, waiting, token = await self.ask_after_restart(
                    STARTED_MS, next_ms
                )
                self.assertFalse(waiting.done())
                message, addresses = self.endpoint.sent[-1]
                self.assertIsInstance(message, SlotRelease)
                self.assertEqual((message.token, addresses), (token, [HOST.address]))
                self.assertEqual(broker.ignored_offers["not_awaited"], 1)
                waiting.cancel()

    async def test_offer_of_a_host_that_was_not_asked_is_returned(self):
        broker = self.make_broker()
        waiting = asyncio.create_task(self.request_slot(broker, max_wait_s=1.0))
        await asyncio.sleep(0)
        token = self.endpoint.sent[0][0].token
        broker.handle_message(SlotOffer(token, STOCK_BACKEND, 1.0, 0), "10.0.0.77")
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.assertEqual(self.endpoint.sent[-1][1], ["10.0.0.77"])
        self.assertEqual(broker.ignored_offers["other_sender"], 1)
        broker.handle_message(SlotOffer(token, "b1", 1.0, 0), HOST.address)
        self.assertEqual((await waiting).backend, "b1")

    async def test_offer_that_comes_twice_keeps_the_slot(self):
        broker = self.make_broker()
        waiting = asyncio.create_task(self.request_slot(broker, max_wait_s=1.0))
        await asyncio.sleep(0)
        offer = SlotOffer(self.endpoint.sent[0][0].token, "b1", 1.0, 0)
        broker.handle_message(offer, HOST.address)
        slot = await waiting
        broker.handle_message(offer, HOST.address)
        self.assertEqual(len(self.endpoint.sent), 1)
        broker.release_slot(slot)
        self.assertIsInstance(self.endpoint.sent[-1][0], SlotRelease)

    async def test_permit_request_of_an_unknown_host_reserves_no_slot(self):
        broker = self.make_broker()
        broker._reserve_slot = mock.AsyncMock(return_value=None)
        request = SlotRequest(5, "svc", "look", 0.1, True, 1.0, "q1")
        broker.handle_message(request, "10.0.0.8")
        await asyncio.sleep(0.01)
        broker._reserve_slot.assert_not_awaited()
        self.assertEqual(self.endpoint.sent[-1][0].backend, NO_FREE_SLOT)

    async def test_request_that_comes_twice_is_answered_once(self):
        broker = self.make_broker()
        broker._reserve_slot = mock.AsyncMock(return_value=None)
        request = SlotRequest(5, "svc", "look", 0.1, True, 1.0)
        broker.handle_message(request, "10.0.0.8")
        broker.handle_message(request, "10.0.0.8")
        await asyncio.sleep(0.01)
        self.assertEqual(broker._reserve_slot.await_count, 1)


class OfferedServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against offered servers that do not serve what a request asks."""

    async def test_server_of_another_service_is_not_used(self):
        state = desired(services=("svc", "stock"))
        bench = SelectorFixture(
            backend("w1", "west-a"),
            backend(STOCK_BACKEND, "west-a", service="stock"),
            state=state,
        )
        notifier = RemoteRegionNotifier(STOCK_BACKEND)
        notifier.release = mock.Mock()
        finder = make_slot_finder(bench, notifier)
        now_s = asyncio.get_running_loop().time()
        req = SelectionRequest(
            "q",
            route(),
            "svc",
            objective_s=now_s + 0.3,
            deadline_s=now_s + 0.5,
            service_time_s=0.1,
        )
        with self.assertRaises(Refused):
            await finder.find(req)
        self.assertTrue(notifier.asked_groups)
        self.assertEqual(notifier.release.call_count, len(notifier.asked_groups))


class ServerChangedBeforeFirstByteTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a request to what a selected server became before the write."""

    async def run_with_change(self, change):
        """Change the listed server while a request opens its connection."""
        open_connection = HttpPool._connect

        async def connect(pool, *args):
            conn = await open_connection(pool, *args)
            change(relay.directory)
            return conn

        state = desired(route(idempotent=False), services=("svc", "stock"))
        async with ScriptedServer([reply("q1")]) as server:
            entry = backend("b1", port=server.port)
            async with RelayOnLoopback(entry, state=state) as relay:
                with mock.patch.object(HttpPool, "_connect", connect):
                    client = await relay.client()
                    answer = await client.ask()
        return answer, server

    async def test_server_that_is_gone_or_has_another_service_gets_nothing(self):
        changed = backend("b1", service="stock", port=1)
        for name, entry in (("gone", None), ("other service", changed)):
            with self.subTest(name):
                answer, server = await self.run_with_change(
                    lambda directory, entry=entry: directory.set_backend("b1", entry)
                )
                self.assertEqual(answer.status, 503)
                self.assertEqual(server.requests, [])
