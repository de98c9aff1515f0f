"""Heartbeats, byte budget and queues of the links between peers."""

import asyncio
import unittest

from crocusward.peer import (
    BackendCold,
    ChangeBatch,
    Heartbeat,
    Hold,
    LinkFault,
    OfferedRate,
)

from .peer_support import MeshCase, forward_request
from .test_peer import dial_raw


class HeartbeatTest(MeshCase):
    async def test_echo_and_messages(self):
        """Guards against confirmations dated by a heartbeat that never arrived."""
        first, second = await self.pair(heartbeat_period_s=0.05)
        await self.until(lambda: len(second.handler.heartbeats("a")) > 4)
        beats = second.handler.heartbeats("a")
        seqs = [beat.seq for beat in beats]
        self.assertEqual(seqs, list(range(1, len(seqs) + 1)))
        self.assertTrue(all(beat.echo in [0, *second.handler.sent] for beat in beats))
        self.assertGreater(beats[-1].echo, 0)
        first.mesh.broadcast(Hold("h1", "host", "b7", "op"))
        self.assertTrue(first.mesh.send("b", BackendCold("b7", "boot")))
        self.assertFalse(first.mesh.send("nobody", BackendCold("b7", "boot")))
        await self.until(
            lambda: ("a", BackendCold("b7", "boot")) in second.handler.messages
        )
        self.assertIn(("a", Hold("h1", "host", "b7", "op")), second.handler.messages)

    async def test_peer_is_announced_before_its_first_heartbeat(self):
        """Guards against losing the send time of the first heartbeat.

        Also against a large message sent before it, which the peer rejects.
        """
        first, second = await self.daemon("a", 1), await self.daemon("b", 2)
        large = ChangeBatch(1, (bytes(100_000),))
        for daemon in (first, second):
            daemon.handler.when_up = lambda p, d=daemon: d.mesh.send(p.host, large)
        first.mesh.update_listed([second.listed()])
        for daemon, host in ((first, "b"), (second, "a")):
            await self.until(lambda d=daemon, h=host: (h, large) in d.handler.messages)
            self.assertEqual(daemon.handler.sent_at_up, [0])
            self.assertIsInstance(daemon.handler.messages[0][1], Heartbeat)
            self.assertEqual(daemon.handler.faults, [])

    async def test_fault_in_a_handler_does_not_stop_the_dialler(self):
        """Guards against a peer that is never dialled again after an error."""
        first, second = await self.daemon("a", 1), await self.daemon("b", 2)
        calls = []

        def fail_once(peer):
            calls.append(peer)
            if len(calls) == 1:
                raise RuntimeError("fault of the test")

        first.handler.when_up = fail_once
        first.mesh.update_listed([second.listed()])
        await self.until(lambda: len(calls) == 2 and first.linked() == ["b"])
        self.assertIn(LinkFault.INTERNAL, first.handler.faults)

    async def test_slow_reader_does_not_grow_memory(self):
        """Guards against queues that grow for a peer that does not read."""
        first = await self.daemon("a", 1, control_queue_bytes=300_000)
        conn = await dial_raw(first, opened=True)
        conn.transport.pause_reading()
        link = first.mesh._links["z"]
        message = ChangeBatch(1, (bytes(100_000),))
        most = 0
        for _ in range(400):
            first.mesh.broadcast(message)
            most = max(most, link.queued_bytes)
            await asyncio.sleep(0)
        self.assertLessEqual(most, 300_000)
        await self.until(lambda: LinkFault.SLOW_READER in first.handler.faults)
        self.assertEqual(first.linked(), [])
        conn.transport.abort()

    async def test_full_forward_queue_refuses_without_sending(self):
        """Guards against forwarded requests that pile up behind a slow peer."""
        first = await self.daemon("a", 1, forward_queue_bytes=300_000)
        conn = await dial_raw(first, opened=True)
        conn.transport.pause_reading()
        req = forward_request(body=bytes(100_000))
        calls = [first.mesh.forward(99, req, 0.5) for _ in range(200)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        unsent = [exc for exc in results if not exc.sent]
        self.assertGreater(len(unsent), 100)
        self.assertLess(len(unsent), 200)
        conn.transport.abort()

    async def test_thirteen_peers_stay_within_the_byte_budget(self):
        """Guards against control traffic above 4,096 bytes a second."""
        daemons = [await self.daemon(f"h{n:02d}", n + 1) for n in range(14)]
        listed = [daemon.listed() for daemon in daemons]
        for daemon in daemons:
            daemon.handler.offered_rates = tuple(
                OfferedRate(f"contract-{n}", 100.0 * n) for n in range(8)
            )
            daemon.mesh.update_listed(listed)
        await self.until(lambda: all(len(d.linked()) == 13 for d in daemons))
        await asyncio.sleep(2.0)
        traffic = daemons[0].mesh.traffic
        before = traffic.control_sent_bytes + traffic.control_received_bytes
        for step in range(5):
            for daemon in daemons:
                daemon.handler.offered_rates = tuple(
                    OfferedRate(f"contract-{n}", 100.0 * n + 150.0 * step)
                    for n in range(8)
                )
            await asyncio.sleep(1.0)
        after = traffic.control_sent_bytes + traffic.control_received_bytes
        self.assertLess((after - before) / 5.0, 4096.0)
        beats = daemons[0].handler.heartbeats("h13")
        self.assertEqual(len(beats[-1].offered_rates), 8)


if __name__ == "__main__":
    unittest.main()
