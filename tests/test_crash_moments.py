"""Crashes of servers at any moment of a run, and ends of connections that are none."""

import asyncio
import contextlib
import socket
import struct
from unittest import mock

from crocusward.relay import BackendClient

from .entry_support import backend, desired, reply, route
from .scripted_server import ScriptedServer
from .test_relay import ORDER, RelayTestCase

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ID = b"Crocusward-Request-Id: %s\r\ncrocusward-response-signature: d1\r\n"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n" + ID + b"\r\nhalf of a body"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\n" + ID + b"\r\n"


def find_moments(id):
    """Return the bytes of an answer that a server has sent when it crashes."""
    whole = reply(id, b"a body of some length")
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


class CrashingServer(ScriptedServer):
    """Sends the beginning of an answer, and crashes or only ends the connection."""

    def __init__(self, moment, *, is_crash=True, is_reset=False):
        super().__init__()
        self.moment = moment
        self.is_crash = is_crash
        self.is_reset = is_reset
        self.runs = 0

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        id = head.partition(b"crocusward-request-id: ")[2].split(b"\r\n")[0].decode()
        self.runs += 1
        writer.write(find_moments(id)[self.moment])
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
                await asyncio.sleep(0.08)
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
            await asyncio.sleep(0.005)
            relay.directory.set_backend("b0", entry)
            self.assertEqual((await client.raw.read()).status, 200)
