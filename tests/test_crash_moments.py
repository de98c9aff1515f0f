"""Crashes of servers at any moment of a run, and ends of connections that are none."""

import asyncio
import contextlib
import itertools
import socket
import struct
import unittest
from unittest import mock

from crocusward.crashes import CrashRegistry
from crocusward.logs import EventSampler
from crocusward.relay import BackendClient, CallerRequest, CrashWatch
from crocusward.relay._crash_watch import _digests
from crocusward.relay._lost_runs import LostRun

from .entry_support import backend, desired, reply, route
from .scripted_server import ScriptedServer
from .test_relay import ORDER, RelayTestCase

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ID = b"Crocusward-Request-Id: %s\r\ncrocusward-response-signature: d1\r\n"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n" + ID + b"\r\nhalf of a body"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\n" + ID + b"\r\n"


def find_moments(id):
    """Return the bytes of an answer that a server has sent when it crashes."""
    whole = whole_answer(id)
    head_size = whole.index(b"\r\n\r\n") + 4
    hints = EARLY_HINTS % id.encode()
    return {
        "before a byte": b"",
        "in the status line": whole[:11],
        "in a header": whole[:30],
        "after the head": whole[:head_size],
        "in the body": whole[: head_size + 5],
        "before the last byte": whole[:-1],
        "in an interim answer": hints[:20],
        "after an interim answer": hints,
        "in the answer after an interim one": hints + whole[:-1],
        "in a body without length": WITHOUT_LENGTH % id.encode(),
    }


def whole_answer(id):
    return reply(id, b"a body of some length")


class CrashingServer(ScriptedServer):
    """Sends the beginning of an answer, and crashes or only ends the connection."""

    def __init__(self, moment, *, is_crash=True, is_reset=False):
        super().__init__()
        self.moment = moment  # None: after a whole answer
        self.is_crash = is_crash
        self.is_reset = is_reset
        self.runs = 0

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        id = head.partition(b"crocusward-request-id: ")[2].split(b"\r\n")[0].decode()
        self.runs += 1
        sent = find_moments(id)[self.moment] if self.moment else whole_answer(id)
        writer.write(sent)
        await writer.drain()
        await asyncio.sleep(0.01)
        if self.is_crash:
            self.server.close()
        if self.is_reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        return False


class CrashMomentTest(RelayTestCase):
    """Guards against crashes that count only if no byte of an answer has come."""

    state = desired(route(max_attempts=1), ORDER)

    async def play(self, moment, path, **options):
        """Let one server after the other get a request; return statuses and relay."""
        servers = [CrashingServer(moment, **options) for _ in range(5)]
        async with contextlib.AsyncExitStack() as stack:
            for server in servers:
                await stack.enter_async_context(server)
            relay = await stack.enter_async_context(
                self.relay(*servers, state=self.state)
            )
            statuses = []
            for number in range(5):
                client = await relay.client()
                client.send("PUT", path, id=f"q{number}", body=b"same")
                statuses.append((await client.raw.read()).status)
                await asyncio.sleep(0.26)
            return statuses, sum(s.runs for s in servers), relay.crash_watch

    async def play_all(self, moments, path, **options):
        """Play each moment, all at the same time."""
        plays = [self.play(moment, path, **options) for moment in moments]
        return zip(moments, await asyncio.gather(*plays), strict=True)

    async def test_third_crash_ends_a_request_whatever_bytes_had_come(self):
        for path in ("/look/deadly", "/order/deadly"):
            for is_reset in (False, True):
                played = await self.play_all(find_moments("q"), path, is_reset=is_reset)
                for moment, (statuses, runs, watch) in played:
                    with self.subTest(moment=moment, path=path, is_reset=is_reset):
                        self.assertEqual(statuses, [502] * 3 + [503] * 2)
                        self.assertEqual(runs, 3)
                        self.assertEqual(watch.events["crash_counted"], 3)

    async def test_ended_connections_of_a_living_server_are_no_crashes(self):
        """Guards against blocks of requests whose answers are cut or garbled."""
        for is_reset in (False, True):
            played = await self.play_all(
                find_moments("q"), "/look/innocent", is_crash=False, is_reset=is_reset
            )
            for moment, (_, runs, watch) in played:
                with self.subTest(moment=moment, is_reset=is_reset):
                    self.assertEqual(runs, 5)
                    self.assertEqual(watch.registry.records, {})

    async def test_server_that_cannot_be_reached_has_not_crashed(self):
        """Guards against blocks of what was in flight when a network was cut."""
        unknown = mock.AsyncMock(return_value=None)
        with mock.patch.object(BackendClient, "is_listening", unknown):
            moments = ("before a byte", "in the body", "in a body without length")
            played = await self.play_all(moments, "/look/innocent")
            for moment, (_, _, watch) in played:
                with self.subTest(moment=moment):
                    self.assertEqual(watch.registry.records, {})

    async def test_last_answer_of_a_leaving_server_is_whole(self):
        """Guards against an answer without length that is lost at a planned stop."""
        server = CrashingServer("in a body without length")
        async with server, self.relay(server, state=self.state) as relay:
            entry = backend("b0", port=server.port, leaving=True)
            client = await relay.client()
            client.send("GET", "/look/x", id="q1")
            while not server.runs:  # it ends some milliseconds later
                await asyncio.sleep(0.001)
            relay.directory.set_backend("b0", entry)
            self.assertEqual((await client.raw.read()).status, 200)


class SilentCrashTest(RelayTestCase):
    """Guards against crashes that leave the server's machine silent."""

    state = desired(route(max_attempts=1, timeout_s=0.3), ORDER)

    async def play(self, restart, slots=1):
        """Let servers fall silent under a request; ``restart`` changes their entries.

        Returns:
            The number of crashes that count after each request.
        """
        counts = []
        async with self.relay(state=self.state) as relay:
            for number in range(5):
                async with ScriptedServer([5.0]) as server:
                    entry = backend(
                        f"i-{number}",
                        port=server.port,
                        slots=slots,
                        started_unix_ms=1000 + number,
                    )
                    relay.directory.set_backend(entry.id, entry)
                    client = await relay.client()
                    await client.ask("PUT", "/look/deadly", id=f"q{number}", body=b"b")
                    await asyncio.sleep(
                        0.1
                    )  # the attempt may end after its caller's time
                    restart(relay.directory, entry)
                    (count,) = {
                        len(record.crashes_s)
                        for record in relay.crash_watch.registry.records.values()
                    } or {0}
                    counts.append(count)
                    relay.directory.set_backend(entry.id, None)
        return counts

    async def test_server_that_starts_again_after_silence_has_crashed(self):
        def with_its_id(directory, entry):
            again = backend(entry.id, port=entry.address[1], started_unix_ms=9000)
            directory.set_backend(entry.id, again)

        def with_another_id(directory, entry):
            again = backend("new", port=entry.address[1], started_unix_ms=9000)
            directory.set_backend("new", again)
            directory.set_backend("new", None)

        for restart in (with_its_id, with_another_id):
            with self.subTest(restart=restart.__name__):
                self.assertEqual(await self.play(restart), [1, 2, 3, 3, 3])

    async def test_cut_network_blocks_nothing(self):
        """Guards against blocks of what was in flight when a network was cut."""

        def lapsed_and_back(directory, entry):
            directory.set_backend(entry.id, None)
            directory.set_backend(entry.id, entry)

        self.assertEqual(await self.play(lapsed_and_back), [0] * 5)


class AnsweredCrashTest(RelayTestCase):
    """Guards against crashes right after an answer that was whole."""

    state = desired(route(max_attempts=1), ORDER)

    async def play(self, *, is_crash):
        servers = [CrashingServer(None, is_crash=is_crash) for _ in range(5)]
        async with contextlib.AsyncExitStack() as stack:
            for server in servers:
                await stack.enter_async_context(server)
            relay = await stack.enter_async_context(
                self.relay(*servers, state=self.state)
            )
            for number in range(5):
                client = await relay.client()
                await client.ask("PUT", "/look/deadly", id=f"q{number}", body=b"b")
                await asyncio.sleep(0.4)
            return sum(s.runs for s in servers), relay.crash_watch

    async def test_third_crash_ends_a_request_that_is_answered(self):
        runs, watch = await self.play(is_crash=True)
        self.assertEqual((runs, watch.events["crash_counted"]), (3, 3))

    async def test_closed_connections_after_answers_are_no_crashes(self):
        runs, watch = await self.play(is_crash=False)
        self.assertEqual((runs, watch.registry.records), (5, {}))


class CountingTest(unittest.TestCase):
    """Has a watch whose crashes the test sets."""

    def setUp(self):
        self.now_s = 1.0
        self.registry = CrashRegistry(lambda: self.now_s)
        self.watch = CrashWatch(
            self.registry, None, None, EventSampler(lambda: 1.0, 0), lambda *_: None
        )
        self.starts = itertools.count(1)

    def crash(self, caller):
        load = mock.Mock(entry=backend(started_unix_ms=next(self.starts)))
        digests = _digests(self.ask(caller))
        self.watch._count(LostRun(digests, "q", load, self.now_s), "gone")

    def ask(self, caller):
        headers = [(b"authorization", caller)] if caller else []
        return CallerRequest(
            "GET", "/x", "h", headers, id=b"q", received_s=0.0, time_left_s=None
        )

    def is_blocked(self, caller):
        digest = self.watch.find(self.ask(caller))
        return digest is not None and self.registry.is_blocked(digest)


class SameMomentTest(CountingTest):
    """Guards against blocks when many servers lose their power together."""

    def test_servers_that_end_together_block_no_request(self):
        for _ in range(6):
            self.crash(b"")
            self.now_s += 0.02
        self.assertFalse(self.is_blocked(b""))

    def test_many_crashes_in_short_order_block_it_in_the_end(self):
        """Guards against a count that keeps the latest crashes only."""
        for _ in range(12):
            self.crash(b"")
            self.now_s += 0.05
        self.assertTrue(self.is_blocked(b""))

    def test_servers_that_end_one_after_the_other_do(self):
        for _ in range(3):
            self.crash(b"")
            self.now_s += 0.6
        self.assertTrue(self.is_blocked(b""))


class ChangingCallerTest(CountingTest):
    """Guards against callers whose credentials differ each time."""

    def test_three_crashes_under_three_credentials_block_the_request(self):
        for caller in (b"a", b"b", b"c"):
            self.crash(caller)
            self.now_s += 0.6
        self.assertTrue(self.is_blocked(b"d"))

    def test_crashes_of_one_caller_block_no_other(self):
        for _ in range(5):
            self.crash(b"a")
            self.now_s += 0.6
        self.assertTrue(self.is_blocked(b"a"))
        self.assertFalse(self.is_blocked(b"b"))
        self.assertFalse(self.is_blocked(b""))


if __name__ == "__main__":
    unittest.main()
