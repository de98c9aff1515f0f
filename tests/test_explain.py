"""The ways from a request's id to its cause that docs/OPERATIONS.md shows."""

import asyncio
import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from crocusward.cli import main
from crocusward.cli._explain import explain
from crocusward.logs import EventSampler, LineBuffer, LogPipe, start_logs

from .entry_support import RelayOnLoopback, backend, desired, reply, route
from .scripted_server import ScriptedServer


class ExplainTest(unittest.IsolatedAsyncioTestCase):
    """Plays a failed request and follows its id through the log."""

    async def story(self, server_script, *, method="POST", path="/order/x", **options):
        stream = io.StringIO()
        pipe = start_logs(stream)
        order = route("order", "/order/", idempotent=False, timeout_s=0.4)
        async with ScriptedServer(*server_script) as server:
            entries = [backend("b0", port=server.port)] if server_script else []
            relay = RelayOnLoopback(*entries, state=desired(route(), order), **options)
            relay.relay._log._sampler = EventSampler(relay.timer.now, 100)
            async with relay:
                client = await relay.client()
                body = b"x" if method == "POST" else b""
                answer = await client.ask(method, path, body=body, id="q7")
        pipe.buffer.flush()
        pipe.close()
        with tempfile.TemporaryDirectory() as name:
            log = Path(name) / "host-1.log"
            log.write_text(stream.getvalue(), encoding="utf-8")
            out = io.StringIO()
            status = main(["explain", "q7", str(log)], out, io.StringIO(), {})
        self.assertEqual(status, 0)
        return answer, out.getvalue()

    async def test_refusal_names_its_reason(self):
        """Guards against a 503 that cannot be explained."""
        answer, text = await self.story([])
        self.assertEqual(answer.status, 503)
        self.assertIn("event=request_failed", text)
        self.assertIn("outcome=no_backend", text)
        self.assertIn("attempts=0", text)

    async def test_timeout_names_the_server(self):
        """Guards against a 504 whose server cannot be found."""
        answer, text = await self.story([[5.0]])
        self.assertEqual(answer.status, 504)
        self.assertIn("event=request_placed", text)
        self.assertIn("backend=b0", text)
        self.assertIn("status=504", text)

    async def test_broken_connection_names_server_and_reason(self):
        """Guards against a 502 whose cause is not in the log."""
        answer, text = await self.story([["close"]])
        self.assertEqual(answer.status, 502)
        self.assertIn("event=attempt_failed", text)
        self.assertIn("end=unknown", text)
        self.assertIn("the server closed the connection", text)

    def test_context_names_era_and_notices(self):
        """Guards against a request whose cause is in lines without its id."""
        second = "time=2026-12-05T08:00:0{}.000+00:00 level=info event={}"
        lines = [
            second.format(1, "store_era_changed table=op era=4 kept=1"),
            second.format(2, "backend_pause_learned backend=b7 id=q6 for_s=2"),
            second.format(2, "backend_pause_learned backend=b8 id=q6 for_s=2"),
            second.format(3, "request_placed id=q7 backend=b7"),
            second.format(4, "request_failed id=q7 outcome=no_backend"),
            second.format(5, "store_lost table=op"),
        ]
        with tempfile.TemporaryDirectory() as name:
            log, other = Path(name) / "host-1.log", Path(name) / "host-2.log"
            log.write_text("\n".join(lines) + "\n", encoding="utf-8")
            other.write_text(lines[0] + "\n", encoding="utf-8")
            out = io.StringIO()
            args = ["explain", "q7", str(log), str(other)]
            status = main(args, out, io.StringIO(), {})
        self.assertEqual(status, 0)
        events = [line.split(" event=")[1] for line in out.getvalue().splitlines()]
        self.assertEqual(
            [text.split()[0] for text in events],
            [
                "store_era_changed",
                "backend_pause_learned",
                "request_placed",
                "request_failed",
            ],
        )

    def test_unknown_id_is_an_error(self):
        """Guards against an empty answer that looks like a story."""
        with tempfile.TemporaryDirectory() as name:
            log = Path(name) / "host-1.log"
            log.write_text("time=1 level=info event=started host=h\n")
            errors = io.StringIO()
            status = main(["explain", "q7", str(log)], io.StringIO(), errors, {})
        self.assertNotEqual(status, 0)
        self.assertIn("q7", errors.getvalue())


class StalledReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_is_served_while_nobody_reads_the_log(self):
        """Guards against a stalled reader of the output that stops requests."""
        async with ScriptedServer([reply("q1")]) as server:
            relay = RelayOnLoopback(backend("b0", port=server.port))
            pipe = LogPipe(io.StringIO())
            pipe.buffer = LineBuffer(_Stalled(), max_lines=2)
            relay.relay._log._sampler = EventSampler(relay.timer.now, 100)
            async with relay:
                client = await relay.client()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(2.0):
                        answer = await client.ask()
                pipe.buffer.flush()
        self.assertEqual(answer.status, 200)


class _Stalled(io.StringIO):
    def fileno(self):
        raise io.UnsupportedOperation

    def write(self, text):
        raise BlockingIOError


class ContextTest(unittest.TestCase):
    """Guards against causes in the logs that are not shown with a request."""

    def test_offers_histories_cuts_and_given_up_answers_are_shown(self):
        lines = [
            "time=2026-12-05T10:00:01 event=slot_offer_ignored reason=not_awaited",
            "time=2026-12-05T10:00:02 event=neighbour_history_incomplete table=op",
            "time=2026-12-05T10:00:03 event=offered_slot_unusable id=q7 backend=b1",
            "time=2026-12-05T10:00:04 event=attempt_failed id=q7 reason=memory",
            "time=2026-12-05T10:00:05 event=caller_connection_cut id=q7 reason=stalled",
            "time=2026-12-05T10:00:05 event=caller_connection_cut id=q8 reason=stalled",
        ]
        found = explain("q7", [("host-1", lines)])
        self.assertEqual(
            [item.text.split()[0] for item in found],
            [f"event={line.partition('event=')[2].split()[0]}" for line in lines[:5]],
        )
