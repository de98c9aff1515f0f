"""Links and mesh of the peer protocol, over loopback."""

import asyncio
from unittest import mock

from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from crocusward.devtools.standins import LinkDirection, LinkRelay
from crocusward.errors import PeerUnreachableError
from crocusward.model import ListedHost
from crocusward.peer import (
    ChangeRequest,
    ForwardReply,
    Heartbeat,
    Hello,
    LinkFault,
    OutcomeReply,
    OutcomeRequest,
    PeerIdentity,
    decode,
    encode,
)
from crocusward.peer._auth import Authenticator

from .peer_support import KEY, MeshCase, forward_request


async def dial_raw(daemon, *, name="z", key=KEY, opened=False):
    """Open an authenticated connection for frames written by the test."""
    conn = await connect(
        f"ws://127.0.0.1:{daemon.server.port}/", compression=None, proxy=None
    )
    identity = PeerIdentity(name, "pohja", "tallinn-a", 99)
    await Authenticator(identity, key).dial(conn, daemon.name)
    if opened:
        await conn.send(encode(Heartbeat(1, 0, 1, b"", 0)))
        await conn.recv()
        await conn.recv()
    return conn


async def close_reason(conn):
    """Return the close reason sent by the peer."""
    try:
        async with asyncio.timeout(5.0):
            while True:
                await conn.recv()
    except ConnectionClosed as exc:
        return exc.rcvd.reason if exc.rcvd is not None else ""


class AuthenticationTest(MeshCase):
    async def test_wrong_key_is_refused(self):
        """Guards against a link to a process that does not have the key."""
        first = await self.daemon("a", 1)
        second = await self.daemon("b", 2, key=b"x" * 32)
        first.mesh.update_listed([second.listed()])
        await self.until(lambda: LinkFault.AUTH_FAILED in first.handler.faults)
        self.assertEqual(first.linked() + second.linked(), [])

    async def test_replayed_hello_is_refused(self):
        """Guards against replay of a recorded handshake."""
        daemon = await self.daemon("a", 1)
        sent = []
        conn = await connect(f"ws://127.0.0.1:{daemon.server.port}/", proxy=None)
        original = conn.send

        async def record(data):
            sent.append(data)
            await original(data)

        conn.send = record
        identity = PeerIdentity("z", "pohja", "tallinn-a", 99)
        await Authenticator(identity, KEY).dial(conn, "a")
        await self.until(lambda: daemon.linked() == ["z"])
        await conn.close()
        await self.until(lambda: daemon.linked() == [])
        replay = await connect(f"ws://127.0.0.1:{daemon.server.port}/", proxy=None)
        for data in sent:
            await replay.send(data)
        self.assertEqual(await close_reason(replay), LinkFault.AUTH_FAILED)
        self.assertEqual(daemon.linked(), [])

    async def test_acceptors_own_mac_is_not_accepted_back(self):
        """Guards against reflection of the acceptor's MAC."""
        daemon = await self.daemon("a", 1)
        conn = await connect(f"ws://127.0.0.1:{daemon.server.port}/", proxy=None)
        hello = Hello(1, "z", "r", "d", 99, bytes(16))
        await conn.send(encode(hello))
        hello.mac = decode(await conn.recv()).message.mac
        await conn.send(encode(hello))
        self.assertEqual(await close_reason(conn), LinkFault.AUTH_FAILED)

    async def test_other_host_at_the_listed_address(self):
        """Guards against a link under the wrong name when the host list is old."""
        first, second = await self.daemon("a", 1), await self.daemon("b", 2)
        listed = second.listed()
        listed.name = "c"
        first.mesh.update_listed([listed])
        await self.until(lambda: LinkFault.WRONG_HOST in first.handler.faults)
        self.assertEqual(first.linked(), [])

    async def test_unknown_version_is_refused(self):
        """Guards against misreading the messages of another version."""
        daemon = await self.daemon("a", 1)
        conn = await connect(f"ws://127.0.0.1:{daemon.server.port}/", proxy=None)
        await conn.send(encode(Hello(2, "z", "r", "d", 99, bytes(16))))
        self.assertEqual(await close_reason(conn), LinkFault.UNKNOWN_VERSION)


class MalformedInputTest(MeshCase):
    async def test_bad_frames_close_only_their_link(self):
        """Guards against a faulty peer whose frames affect other links."""
        first, second = await self.pair()
        cases = [
            (b"\xff\x00garbage", LinkFault.MALFORMED),
            (encode(ChangeRequest(5))[:-1], LinkFault.MALFORMED),
            ("text", LinkFault.MALFORMED),
            (b"\x82\x18\x63\x00", LinkFault.UNKNOWN_TYPE),
            (encode(Hello(1, "z", "r", "d", 9, bytes(16))), LinkFault.UNEXPECTED),
            (encode(Heartbeat(1, 77, 1, b"", 0)), LinkFault.BAD_ECHO),
            (encode(ChangeRequest(5)), LinkFault.UNEXPECTED),
        ]
        for frame, fault in cases:
            conn = await dial_raw(first)
            await conn.send(frame)
            self.assertEqual(await close_reason(conn), fault)
        reply = await first.mesh.forward(2, forward_request(), 2.0)
        self.assertEqual(reply.reply.status, 200)
        ups = [event for event in first.handler.events if event[1] == "b"]
        self.assertEqual(ups, [("up", "b", 2)])

    async def test_oversized_frames_close_the_link(self):
        """Guards against unbounded memory use by a peer, before and after its Hello."""
        daemon = await self.daemon("a", 1)
        raw = await connect(f"ws://127.0.0.1:{daemon.server.port}/", proxy=None)
        await raw.send(bytes(5000))
        with self.assertRaises(ConnectionClosed) as caught:
            await raw.recv()
        self.assertEqual(caught.exception.rcvd.code, 1009)
        conn = await dial_raw(daemon)
        await conn.send(encode(Heartbeat(1, 0, 1, b"", 0)))
        await conn.send(bytes((2 << 20) + 1))
        with self.assertRaises(ConnectionClosed) as caught:
            while True:
                await conn.recv()
        self.assertEqual(caught.exception.rcvd.code, 1009)

    async def test_raw_garbage_on_the_port(self):
        """Guards against a server stopped by a port scan."""
        first, second = await self.pair()
        for data in (b"\x00\xff" * 100, b"GET / HTTP/1.1\r\n\r\n", b""):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", first.server.port
            )
            writer.write(data)
            writer.write_eof()
            await reader.read()
            writer.close()
        self.assertEqual(first.linked(), ["b"])


class ForwardTest(MeshCase):
    async def test_forward_and_outcome(self):
        """Guards against replies matched to the wrong request."""
        first, second = await self.pair()
        bodies = [bytes([n]) * (n * 1000) for n in range(40)]
        calls = [
            first.mesh.forward(2, forward_request(f"r{n}", body), 3.0)
            for n, body in enumerate(bodies)
        ]
        replies = await asyncio.gather(*calls)
        self.assertEqual([reply.reply.body for reply in replies], bodies)
        outcome = await second.mesh.outcome(1, OutcomeRequest("c", "k"), 3.0)
        self.assertEqual(outcome, OutcomeReply("sent", 0))

    async def test_link_cut_in_the_middle_of_a_forward(self):
        """Guards against reporting "not sent" for a request that was written."""
        first = await self.daemon("a", 1)
        second = await self.daemon("b", 2)
        second.handler.delay_s = 5.0
        relay = LinkRelay(
            "127.0.0.1",
            0,
            "127.0.0.1",
            second.server.port,
            LinkDirection(0.001),
            LinkDirection(0.001),
        )
        await relay.start()
        self.addCleanup(relay.stop)
        first.mesh.update_listed([second.listed(relay.port)])
        await self.until(lambda: first.linked() == ["b"])
        task = asyncio.create_task(first.mesh.forward(2, forward_request(), 4.0))
        await self.until(lambda: second.handler.served)
        relay.set_cut(True)
        with self.assertRaises(PeerUnreachableError) as caught:
            await task
        self.assertTrue(caught.exception.sent)
        with self.assertRaises(PeerUnreachableError) as caught:
            await first.mesh.forward(2, forward_request(), 1.0)
        self.assertFalse(caught.exception.sent or caught.exception.gone)
        relay.set_cut(False)
        await self.until(lambda: first.linked() == ["b"], 8.0)

    async def test_late_and_foreign_replies_are_dropped(self):
        """Guards against a late reply that answers another request."""
        first, second = await self.pair()
        second.handler.delay_s = 0.2
        with self.assertRaises(PeerUnreachableError) as caught:
            await first.mesh.forward(2, forward_request(), 0.05)
        self.assertTrue(caught.exception.sent)
        await self.until(lambda: first.mesh.traffic.replies_dropped == 1)
        intruder = await dial_raw(first)
        task = asyncio.create_task(first.mesh.forward(2, forward_request("r2"), 2.0))
        await asyncio.sleep(0.05)
        await intruder.send(encode(Heartbeat(1, 0, 1, b"", 0)))
        await intruder.send(encode(ForwardReply(None, "forged"), 2))
        self.assertEqual((await task).reply.request_id, "r2")
        self.assertEqual(first.mesh.traffic.replies_dropped, 2)
        await intruder.close()

    async def test_reply_that_does_not_fit_is_a_refusal(self):
        """Guards against a caller that waits for a reply over the size limit."""
        first, second = await self.pair()
        limit = 2 << 20
        body = bytes(limit - 80)
        with self.assertRaises(PeerUnreachableError) as caught:
            await first.mesh.forward(2, forward_request(body=bytes(limit)), 3.0)
        self.assertFalse(caught.exception.sent)

        async def grow(peer, req):
            reply = await type(second.handler).serve_forward(second.handler, peer, req)
            reply.reply.body = bytes(limit)
            return reply

        second.handler.serve_forward = grow
        reply = await first.mesh.forward(2, forward_request(body=body), 3.0)
        self.assertEqual(reply.code, "answer_too_large")
        self.assertEqual(reply.outcome, "unknown")


class MembershipTest(MeshCase):
    async def test_both_sides_dialling_at_once_keep_one_link(self):
        """Guards against two links to a peer, or none, after simultaneous dials."""
        first = await self.daemon("a", 1)
        second = await self.daemon("b", 2)
        first.mesh.update_listed([second.listed()])
        second.mesh.update_listed([first.listed()])
        # Without the delay of the non-preferred dialler, both dial at once.
        second.mesh._diallers["a"]._is_preferred_dialler = True
        await self.until(lambda: first.linked() and second.linked())
        await asyncio.sleep(2.5)
        self.assertTrue(first.mesh._links["b"].is_dialled)
        self.assertFalse(second.mesh._links["a"].is_dialled)
        for daemon, other in ((first, 2), (second, 1)):
            ups = [event for event in daemon.handler.events if event[0] == "up"]
            self.assertEqual(len(daemon.handler.events), len(ups))
            reply = await daemon.mesh.forward(other, forward_request(), 2.0)
            self.assertEqual(reply.reply.status, 200)

    async def test_host_that_only_the_larger_name_knows_is_dialled(self):
        """Guards against a new host that stays unlinked while the host list is old."""
        first = await self.daemon("a", 1)
        second = await self.daemon("b", 2)
        second.mesh.update_listed([first.listed()])
        await self.until(lambda: first.linked() == ["b"])

    async def test_replaced_peer(self):
        """Guards against a request bound to an incarnation that no longer runs."""
        first, second = await self.pair()
        second.handler.delay_s = 5.0
        task = asyncio.create_task(first.mesh.forward(2, forward_request(), 4.0))
        await self.until(lambda: second.handler.served)
        newer = await self.daemon("b", 3)
        newer.mesh.update_listed([first.listed()])
        with self.assertRaises(PeerUnreachableError) as caught:
            await task
        self.assertTrue(caught.exception.sent and caught.exception.gone)
        self.assertTrue(first.mesh.is_replaced(2))
        with self.assertRaises(PeerUnreachableError) as caught:
            await first.mesh.forward(2, forward_request(), 1.0)
        self.assertTrue(caught.exception.gone)
        self.assertFalse(caught.exception.sent)
        reply = await first.mesh.forward(3, forward_request(), 2.0)
        self.assertEqual(reply.reply.status, 200)
        second.mesh.update_listed([first.listed()])
        await self.until(
            lambda: LinkFault.INCARNATION_GONE in first.handler.faults, 8.0
        )
        self.assertEqual([p.incarnation for p in first.mesh.peers()], [3])

    async def test_other_host_at_the_address_of_a_linked_one(self):
        """Guards against a holder thought alive after a host took its address."""
        first, second = await self.pair()
        port = second.server.port
        await second.stop()
        self.assertFalse(first.mesh.is_replaced(2))
        await self.daemon("c", 3, port=port)
        await self.until(lambda: first.mesh.is_replaced(2))

    async def test_holder_limits_forwarded_work(self):
        """Guards against memory use by forwarded bodies, and a false "not run"."""
        first, second = await self.pair()
        second.handler.delay_s = 0.3
        body = bytes(2_000_000)
        calls = [
            first.mesh.forward(2, forward_request(f"r{n}", body), 4.0) for n in range(4)
        ]
        with mock.patch("crocusward.peer._serving.MAX_SERVED_BYTES", 5_000_000):
            replies = await asyncio.gather(*calls)
        refused = [reply for reply in replies if reply.code == "queue_full"]
        self.assertEqual(len(refused), 2)
        self.assertEqual(refused[0].outcome, "unknown")
        self.assertEqual(refused[0].attempt, "not-sent")
        self.assertEqual(len(second.handler.served), 2)

    async def test_silent_peer_is_dropped(self):
        """Guards against keeping the link to a paused peer."""
        first = await self.daemon("a", 1, heartbeat_period_s=0.05, idle_timeout_s=0.2)
        conn = await dial_raw(first)
        await self.until(lambda: first.linked() == ["z"])
        await self.until(lambda: LinkFault.IDLE in first.handler.faults)
        self.assertEqual(first.linked(), [])
        await conn.close()

    async def test_concurrent_handshakes_are_limited(self):
        """Guards against handshakes that all time out on a busy CPU."""
        upgrades = []

        class NeverAnswer(asyncio.Protocol):
            def data_received(self, data):
                upgrades.append(data)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(NeverAnswer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        first = await self.daemon("a", 1)
        hosts = [
            ListedHost(f"b{n}", "entry", "r", "d", "127.0.0.1", port) for n in range(20)
        ]
        first.mesh.update_listed(hosts)
        await asyncio.sleep(1.0)
        self.assertEqual(len(upgrades), 4)

    async def test_unreachable_host_is_dialled_with_growing_delay(self):
        """Guards against dialling an unreachable host every few milliseconds."""
        first = await self.daemon("a", 1)
        dead = ListedHost("b", "entry", "r", "d", "127.0.0.1", 1)
        first.mesh.update_listed([dead])
        await asyncio.sleep(2.0)
        self.assertLess(len(first.handler.faults), 14)
        self.assertGreater(len(first.handler.faults), 2)
        first.mesh.update_listed([])
        count = len(first.handler.faults)
        await asyncio.sleep(0.5)
        self.assertEqual(len(first.handler.faults), count)
