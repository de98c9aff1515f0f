"""Meshes on loopback for tests of the peer protocol."""

import asyncio
import random
import unittest

from crocusward.model import Call, ListedHost, Reply
from crocusward.peer import (
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    OutcomeReply,
    PeerIdentity,
    PeerMesh,
    PeerOptions,
    PeerServer,
)
from crocusward.timing import LoopTimer

KEY = b"k" * 32


class RecordingHandler:
    """Records callbacks and replies to forwarded requests after ``delay_s``."""

    def __init__(self):
        self.messages = []
        self.events = []
        self.faults = []
        self.sent = []
        self.served = []
        self.offered_rates = ()
        self.delay_s = 0.0
        self.sent_at_up = []
        self.when_up = lambda peer: None

    def make_heartbeat(self, peer):
        return Heartbeat(0, 0, 7, bytes(8), 100, offered_rates=self.offered_rates)

    def on_heartbeat_sent(self, peer, seq):
        self.sent.append(seq)

    def on_message(self, peer, message):
        self.messages.append((peer.host, message))

    def on_peer_up(self, peer):
        self.events.append(("up", peer.host, peer.incarnation))
        self.sent_at_up.append(len(self.sent))
        self.when_up(peer)

    def on_peer_down(self, peer, gone):
        self.events.append(("gone" if gone else "down", peer.host, peer.incarnation))

    def on_link_fault(self, host, fault, reason):
        self.faults.append(fault)

    async def serve_forward(self, peer, req):
        self.served.append(req.call.request_id)
        await asyncio.sleep(self.delay_s)
        return ForwardReply(Reply(req.call.request_id, 200, [], req.call.body, "b0"))

    async def serve_outcome(self, peer, req):
        return OutcomeReply("sent", 0)

    def heartbeats(self, host):
        return [m for h, m in self.messages if h == host and isinstance(m, Heartbeat)]


class Daemon:
    """A mesh, its server and its handler."""

    def __init__(self, name, incarnation, *, port=0, key=KEY, **options):
        loop = asyncio.get_running_loop()
        rng = random.Random(incarnation)
        self.name = name
        self.handler = RecordingHandler()
        self.identity = PeerIdentity(name, "pohja", "tallinn-a", incarnation)
        self.mesh = PeerMesh(
            LoopTimer(loop, rng),
            rng,
            self.identity,
            PeerOptions(key, **options),
            self.handler,
        )
        self.server = PeerServer(self.mesh, "127.0.0.1", port)

    async def start(self):
        await self.server.start()
        self.mesh.start()

    async def stop(self):
        await self.mesh.close()
        await self.server.close()

    def listed(self, port=None):
        return ListedHost(
            self.name,
            "entry",
            "pohja",
            "tallinn-a",
            "127.0.0.1",
            port or self.server.port,
        )

    def linked(self):
        return [peer.host for peer in self.mesh.peers()]


class MeshCase(unittest.IsolatedAsyncioTestCase):
    async def daemon(self, name, incarnation, **arguments):
        daemon = Daemon(name, incarnation, **arguments)
        await daemon.start()
        self.addAsyncCleanup(daemon.stop)
        return daemon

    async def pair(self, **arguments):
        first = await self.daemon("a", 1, **arguments)
        second = await self.daemon("b", 2, **arguments)
        first.mesh.update_listed([second.listed()])
        await self.until(lambda: first.linked() and second.linked())
        return first, second

    async def until(self, condition, timeout_s=5.0):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)


def forward_request(request_id="r1", body=b"body"):
    call = Call(request_id, "c", "s", "POST", "/x", body=body, key="k", deadline_s=5.0)
    return ForwardRequest(call, True)
