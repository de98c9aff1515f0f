"""What backend servers tell one host: that they leave, or want nothing for a while."""

import asyncio
import unittest

from crocusward.placing import ServerNotices
from crocusward.upstream import parse_retry_after

from .entry_support import RelayOnLoopback, backend, desired, reply, route
from .scripted_server import ScriptedServer
from .test_placing import SelectorFixture
from .test_relay import SHED

LEAVING = b"Server-Leaving: 1\r\n"


def with_header(answer, line):
    return answer.replace(b"\r\n", b"\r\n" + line, 1)


class NoticeTestCase(unittest.IsolatedAsyncioTestCase):
    async def play(self, *answers, act=lambda relay: None, pause_s=0.0, count=2):
        """Return the statuses, and the requests at the server."""
        async with ScriptedServer(*([item] for item in answers)) as server:
            entry = backend("b0", port=server.port, started_unix_ms=5)
            async with RelayOnLoopback(entry, state=desired(route())) as relay:
                client = await relay.client()
                statuses = [(await client.ask()).status]
                act(relay)
                await asyncio.sleep(pause_s)
                for _ in range(count - 1):
                    statuses.append((await client.ask()).status)
            return statuses, len(server.requests)


class LeavingTest(NoticeTestCase):
    async def test_server_that_says_so_gets_nothing_more(self):
        """Guards against requests to a server that leaves, before its entry says so."""
        for status in (b"200 OK", b"500 Error"):
            leaving = with_header(reply("q1", b"x", status), LEAVING)
            found = await self.play(leaving, reply("q2"))
            self.assertEqual((found[0][1], found[1]), (503, 1))
        found = await self.play(with_header(SHED, LEAVING), reply("q2"))
        self.assertEqual(found, ([503, 503], 1))

    async def test_entry_that_says_ready_changes_nothing(self):
        """Guards against an older entry, or one that was removed and is back."""

        def list_again(relay):
            entry = relay.directory.backends["b0"]
            options = {"port": entry.address[1], "started_unix_ms": 5}
            relay.directory.set_backend("b0", backend("b0", seq=9, **options))
            relay.directory.set_backend("b0", None)
            relay.directory.set_backend("b0", backend("b0", **options))

        leaving = with_header(reply("q1"), LEAVING)
        found = await self.play(leaving, reply("q2"), act=list_again)
        self.assertEqual(found, ([200, 503], 1))

    async def test_new_start_under_the_same_id_has_left_nothing(self):
        """Guards against a server that gets nothing after its next start."""

        def start_again(relay):
            port = relay.directory.backends["b0"].address[1]
            entry = backend("b0", port=port, started_unix_ms=9)
            relay.directory.set_backend("b0", entry)

        leaving = with_header(reply("q1"), LEAVING)
        found = await self.play(leaving, reply("q2"), act=start_again)
        self.assertEqual(found[0], [200, 200])

    async def test_other_values_mean_nothing(self):
        """Guards against a malformed value that takes a server out of use."""
        for value in (b"0", b"", b"yes", b"-1", b"11"):
            odd = with_header(reply("q1"), b"Server-Leaving: %s\r\n" % value)
            self.assertEqual((await self.play(odd, reply("q2")))[0], [200, 200])


class RetryAfterTest(NoticeTestCase):
    async def test_refusing_server_gets_nothing_for_the_time_it_names(self):
        """Guards against requests that a server has asked not to get."""
        refusal = with_header(SHED, b"Retry-After: 2\r\n")
        self.assertEqual(await self.play(refusal, reply("q2")), ([503, 503], 1))

    async def test_server_is_used_again_after_that_time(self):
        """Guards against a server that gets nothing any more."""
        refusal = with_header(SHED, b"Retry-After: 0.3\r\n")
        found = await self.play(refusal, reply("q2"), pause_s=0.4)
        self.assertEqual(found, ([503, 200], 2))

    async def test_header_of_another_status_means_nothing(self):
        """Guards against a pause that no server asked for."""
        odd = with_header(reply("q1"), b"Retry-After: 9\r\n")
        self.assertEqual((await self.play(odd, reply("q2")))[0], [200, 200])

    async def test_refusal_names_the_time_that_is_left(self):
        """Guards against callers that come back too early."""
        refusal = with_header(SHED, b"Retry-After: 2\r\n")
        async with ScriptedServer([refusal]) as server:
            entry = backend("b0", port=server.port)
            async with RelayOnLoopback(entry, state=desired(route())) as relay:
                client = await relay.client()
                await client.ask()
                found = await client.ask()
        self.assertGreater(float(found.headers["retry-after"]), 0.9)

    def test_bad_values_are_rejected(self):
        """Guards against a value from outside that stops a server for good."""
        for text in (b"0", b"1", b"1.5", b" 20 ", b"3600"):
            self.assertEqual(parse_retry_after([text]), float(text))
        bad = [b"", b"-1", b"nan", b"inf", b"1e3", b"0x1", b"1,2", b"9" * 5000]
        bad += [b"Wed, 21 Oct 2026 07:28:00 GMT", b"1." + b"0" * 5000, b"99999999"]
        for text in bad:
            with self.subTest(text=text[:20]), self.assertRaises(ValueError):
                parse_retry_after([text])
        with self.assertRaises(ValueError):
            parse_retry_after([b"1", b"2"])


class SelectionTest(unittest.TestCase):
    def test_notices_bind_placing_probing_and_reserved_slots(self):
        """Guards against a path that does not ask."""
        for note in (
            lambda notices, now_s: notices.note_leaving("b1", 0),
            lambda notices, now_s: notices.note_pause("b1", 0, now_s + 2.0),
        ):
            fixture = SelectorFixture(backend("b1"), backend("b2"))
            load = fixture.load_table.loads["b1"]
            note(fixture.load_table.notices, fixture.now_s)
            rule = fixture.request().route
            allowed = fixture.selector.is_allowed(load, rule, fixture.now_s)
            self.assertFalse(allowed)
            self.assertEqual(fixture.choose().load.entry.id, "b2")

    def test_pause_ends_and_leaving_does_not(self):
        """Guards against notices that are mixed up."""
        notices = ServerNotices()
        notices.note_pause("b1", 5, 12.0)
        notices.note_pause("b1", 5, 11.0)
        self.assertTrue(notices.is_closed("b1", 5, 11.9))
        self.assertFalse(notices.is_closed("b1", 5, 12.1))
        self.assertFalse(notices.is_closed("b1", 6, 11.0))
        notices.note_leaving("b1", 5)
        self.assertTrue(notices.is_closed("b1", 5, 1e9))
        self.assertFalse(notices.is_closed("b1", 6, 11.0))
