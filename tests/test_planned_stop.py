"""Planned stops of entry hosts: what is let in is answered whole, or refused."""

import asyncio
import io
import re
import unittest
from functools import partial

from crocusward.cli._explain import explain
from crocusward.devtools.entry_soak import WholeFleet
from crocusward.entryd._exposition import format_metrics
from crocusward.entryd._stop import StopSchedule
from crocusward.logs import start_logs

from .entry_support import (
    RelayOnLoopback,
    WeightedService,
    backend,
    desired,
    reply,
    route,
)
from .scripted_server import ScriptedServer

CALLER_IP = "10.0.0.200"
CALLER_PORT = 8000
GRACE_S = 6.0
WORK_S = 0.08
MOMENTS_S = (2.58, 2.61, 2.63, 2.66, 2.69, 2.72)  # around the end of the notice


class OneRequest(asyncio.Protocol):
    """Caller that opens a connection for one request, in pieces if wanted.

    Attributes:
        data: What came back.
        is_closed: Whether the connection has ended.
    """

    def __init__(self, loop, head, pieces, pause_s):
        self.data = b""
        self._transport = None
        self.is_closed = False
        self._loop = loop
        self._head = head
        self._size = -(-len(head) // pieces)
        self._pause_s = pause_s

    def connection_made(self, transport):
        self._transport = transport
        for index, start in enumerate(range(0, len(self._head), self._size)):
            piece = self._head[start : start + self._size]
            self._loop.call_later(index * self._pause_s, transport.write, piece)

    def data_received(self, data):
        self.data += data
        if self.status:
            self._transport.close()

    def connection_lost(self, exc):
        self.is_closed = True

    @property
    def status(self):
        """Status of the answer, 0 if it is not complete."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        is_whole = length is not None and len(body) == int(length[1])
        return int(head.split()[1]) if is_whole else 0


class FleetStopCase(unittest.TestCase):
    def setUp(self):
        self.fleet = WholeFleet(4, 2)
        self.addCleanup(self.fleet.close)
        self.fleet.add_servers(4)
        for server in self.fleet.servers.values():
            server.work_s = WORK_S
        self.fleet.network.advance(1.0)
        self.name = "host-east-a-000"
        self.host = self.fleet.hosts[self.name]
        self.callers = []

    def ask(self, id, method="PUT", path="/order/x", pieces=1, pause_s=0.0):
        """Open a connection to the host and send one request."""
        network = self.fleet.network
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: api.example\r\n"
            f"Crocusward-Request-Id: {id}\r\nCrocusward-Deadline-Ms: 1200\r\n"
            "Content-Length: 1\r\n\r\nx"
        ).encode()
        caller = OneRequest(network, head, pieces, pause_s)
        self.callers.append((id, caller))

        async def connect():
            network._next_port += 1
            local = (CALLER_IP, network._next_port)
            remote = (self.fleet.places[self.name][0], CALLER_PORT)
            try:
                await network.connect(local, remote, lambda: caller)
            except ConnectionRefusedError:
                self.callers.remove((id, caller))

        network.create_task(connect())

    def stop(self):
        """Begin a planned stop of the host."""
        self.began_s = self.fleet.now_s()
        return self.fleet.network.create_task(self.host._shut_down())

    def ask_at(self, moment_s, id, **options):
        """Send a request so long after the begin of the stop."""
        send = partial(self.ask, id, **options)
        self.fleet.network.call_at(self.began_s + moment_s, send)

    def check(self):
        """Each request that a server ran was answered whole, others not run."""
        ran = {run.id for run in self.fleet.promises.runs}
        for id, caller in self.callers:
            with self.subTest(id=id):
                self.assertTrue(caller.status, f"no whole answer: {caller.data!r}")
                self.assertEqual(caller.status == 200, id in ran)


class QuietMomentTest(FleetStopCase):
    """Guards against a stop that takes a moment without connections for the last."""

    def test_connections_that_follow_a_quiet_moment_are_answered(self):
        for moment_s in MOMENTS_S:
            with self.subTest(moment_s=moment_s):
                self.setUp()
                stopped = self.stop()
                self.ask_at(2.3, "before")
                self.ask_at(moment_s, "after")
                self.fleet.network.advance(GRACE_S)
                self.assertTrue(stopped.done())
                self.check()
                self.assertEqual(
                    [caller.status for _, caller in self.callers], [200] * 2
                )

    def test_host_without_callers_stops_right_after_the_notice(self):
        """Guards against stops that always take the whole grace time."""
        stopped = self.stop()
        self.fleet.network.advance(2.8)
        self.assertTrue(stopped.done())

    def test_request_in_pieces_is_answered(self):
        """Guards against a close between the parts of one request."""
        self.stop()
        for index, moment_s in enumerate((1.5, 2.5, 2.58, 4.0, 4.15)):
            self.ask_at(moment_s, f"p{index}", pieces=5, pause_s=0.07)
        self.fleet.network.advance(GRACE_S)
        self.check()

    def test_request_that_stays_incomplete_is_refused(self):
        """Guards against a caller who cannot tell that its request was not run."""
        self.stop()
        for moment_s in (2.4, 2.8):
            self.ask_at(moment_s, f"q{moment_s}")
        self.ask_at(3.0, "p", pieces=2, pause_s=9.0)
        self.fleet.network.advance(GRACE_S)
        self.check()
        self.assertEqual(self.callers[-1][1].status, 503)

    def test_stop_shows_in_logs_metrics_and_explain(self):
        """Guards against a stop of which nobody can tell what it did to a request."""
        stream = io.StringIO()
        pipe = start_logs(stream)
        self.stop()
        self.ask_at(2.3, "early")
        self.ask_at(2.7, "slow", pieces=2, pause_s=2.0)  # keeps the intake open
        self.fleet.network.advance(GRACE_S)
        metrics = format_metrics(self.host).decode()
        pipe.buffer.flush()
        pipe.close()
        lines = stream.getvalue().splitlines()
        found = explain("slow", [("host", lines)])
        text = " ".join(line.text for line in found)
        self.assertIn("event=intake_ended", text)
        self.assertIn("reason=stopping", text)
        last = [line for line in lines if "event=stopped" in line][-1]
        self.assertIn("admitted=1 refused=1 ended=0 cut=0", last)
        self.assertIn('stop_requests_total{end="refused"} 1', metrics)


class StopScheduleTest(unittest.TestCase):
    def test_intake_stays_open_while_callers_come(self):
        """Guards against an early end beside callers, and a late one without."""
        schedule = StopSchedule(10.0, GRACE_S)
        for now_s, is_open, opened_s, expected in (
            (12.5, False, 0.0, False),  # the notice
            (12.7, False, 0.0, True),
            (12.7, False, 12.5, False),
            (12.7, True, 0.0, False),
            (14.3, True, 14.2, True),
        ):
            found = schedule.is_intake_over(
                now_s, is_open=is_open, last_opened_s=opened_s
            )
            self.assertEqual(found, expected, (now_s, is_open, opened_s))

    def test_short_grace_times_leave_room_for_each_step(self):
        """Guards against a notice that uses up a short grace time."""
        for grace_s in (1.0, 2.0, 30.0):
            schedule = StopSchedule(0.0, grace_s)
            self.assertLess(schedule.notice_end_s, schedule.intake_end_s)
            self.assertLess(schedule.intake_end_s, schedule.end_s)


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    async def test_queued_connections_are_answered_after_the_intake(self):
        """Guards against connections that are reset in the listen backlog."""
        ids = [f"q{number}" for number in range(3)]
        servers = [ScriptedServer([reply(id)]) for id in ids]
        async with servers[0], servers[1], servers[2]:
            routes = [
                route(id, f"/{id}/", parts=[WeightedService(id, 1.0)]) for id in ids
            ]
            state = desired(*routes, services=ids)
            entries = [
                backend(id, service=id, port=server.port)
                for id, server in zip(ids, servers, strict=True)
            ]
            async with RelayOnLoopback(*entries, state=state) as relay:
                sock = relay.listener._server.sockets[0]
                asyncio.get_running_loop().remove_reader(sock.fileno())
                clients = [await relay.client() for _ in ids]  # in the kernel's queue
                for id, client in zip(ids, clients, strict=True):
                    client.send("GET", f"/{id}/x", id=id)
                await asyncio.sleep(0.05)
                self.assertEqual(relay.listener.accepted, 0)
                await relay.listener.end_intake()
                found = [(await client.raw.read()).status for client in clients]
                with self.assertRaises(ConnectionRefusedError):
                    await relay.client()
        self.assertEqual(found, [200] * 3)

    async def test_new_connection_is_kept_for_its_first_request(self):
        """Guards against closing a connection whose request is on its way."""
        async with ScriptedServer([reply("q1")]) as server:
            entry = backend("b0", port=server.port)
            async with RelayOnLoopback(entry) as relay:
                client = await relay.client()
                await relay.listener.end_intake()
                relay.listener.drain()
                relay.listener.close_idle()
                found = await client.ask()
                self.assertTrue(await client.raw.at_eof())
        self.assertEqual(found.status, 200)


if __name__ == "__main__":
    unittest.main()
