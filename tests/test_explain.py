"""The ways from a request's id to its cause that docs/OPERATIONS.md shows."""

import asyncio
import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from crocusward.cli import main
from crocusward.cli._explain import explain
from crocusward.cli._request_summary import summarize
from crocusward.logs import EventSampler, LineBuffer, LogPipe, start_logs

from .entry_support import RelayOnLoopback, backend, desired, reply, route
from .scripted_server import ScriptedServer
from .test_relay import SHED


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

    async def test_summary_says_whether_the_request_has_run(self):
        """Guards against logs from which nobody can tell whether a request has run."""
        refusal = SHED.replace(b"q1", b"q7")
        unnamed = SHED.replace(b"Crocusward-Request-Id: q1\r\n", b"")
        for steps, status, end, verdict in (
            ([reply("q7")], 200, "end=answered evidence=own_answer", "ran"),
            ([refusal], 503, "end=not_run evidence=own_refusal", "not run"),
            ([unnamed], 502, "end=unknown evidence=unnamed_refusal", "may have run"),
            ([5.0], 504, "end=unknown evidence=no_answer", "may have run"),
        ):
            with self.subTest(end):
                answer, text = await self.story([steps], reserve=0.0)
                self.assertEqual(answer.status, status)
                summary = text.partition("\nsummary id=q7\n")[2].splitlines()
                start = f"host-1 send=1 backend=b0 {end} conn_exchange=1"
                self.assertTrue(summary[0].startswith(start), summary[0])
                self.assertTrue(summary[0].endswith(f'verdict="{verdict}"'))
                self.assertTrue(summary[1].startswith(f"host-1 answer={status} "))
                last = f'request sends=1 arrivals=1 verdict="{verdict}"'
                self.assertEqual(summary[2:], [last])

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
        lines, heading, summary = out.getvalue().partition("\nsummary id=q7\n")
        self.assertTrue(heading and summary)
        events = [line.split(" event=")[1] for line in lines.splitlines()]
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


class SummaryTest(unittest.TestCase):
    """Guards against a summary that says "not run" or "ran once" without a basis."""

    def summarize(self, *logs):
        """Return the summary of logs whose lines are numbered by the second."""
        named = [
            (
                f"host-{number}",
                [
                    f"time=2026-12-05T10:00:{second:02} level=info event={text}"
                    for second, text in enumerate(lines)
                ],
            )
            for number, lines in enumerate(logs, 1)
        ]
        return summarize("q7", named)

    placed = "request_placed id=q7 backend={} attempt=1 send={}"
    ended = "attempt_failed id=q7 backend={} end={} evidence={} send={}"
    answered = (
        "request_answered id=q7 outcome=answered status=200 sends={} backend={}"
        " send={} evidence=own_answer"
    )
    failed = "request_failed id=q7 outcome={} status={} sends={}"

    def test_second_run_on_another_host_is_counted(self):
        log = [self.placed.format("b1", 1), self.answered.format(1, "b1", 1)]
        found = self.summarize(log, log)
        self.assertEqual(found[-1], 'request sends=2 arrivals=2 verdict="ran 2 times"')

    def test_second_run_on_the_same_host_is_counted(self):
        refused = self.failed.format("no_repeats", 503, 1) + " basis=own_refusal"
        found = self.summarize(
            [
                self.placed.format("b1", 1),
                self.ended.format("b1", "not_run", "own_refusal", 1),
                refused,
                self.placed.format("b1", 1),
                self.answered.format(1, "b1", 1),
                self.placed.format("b2", 1),
                self.answered.format(1, "b2", 1),
            ]
        )
        self.assertEqual(
            found[1], "host-1 answer=503 outcome=no_repeats basis=own_refusal"
        )
        self.assertEqual(found[-1], 'request sends=3 arrivals=3 verdict="ran 2 times"')

    def test_refusal_beside_a_running_request_is_another_arrival(self):
        found = self.summarize(
            [
                self.placed.format("b1", 1),
                "request_refused id=q7 reason=stopping status=503 basis=not_started",
                self.answered.format(1, "b1", 1),
            ]
        )
        self.assertIn("host-1 answer=503 basis=not_started", found)
        self.assertEqual(found[-1], 'request sends=1 arrivals=2 verdict="ran"')

    def test_send_that_outlives_its_request_is_no_further_send(self):
        late = self.ended.format("b1", "cancelled", "no_answer", 1)
        found = self.summarize(
            [
                self.placed.format("b1", 1),
                self.placed.format("b2", 2),
                self.answered.format(2, "b2", 2),
                late.replace("attempt_failed", "attempt_abandoned"),
            ]
        )
        self.assertEqual(
            found[-1],
            'request sends=2 arrivals=1 verdict="ran, may have run once more"',
        )

    def test_refusal_without_proof_is_shown_as_contradiction(self):
        for end, evidence, verdict in (
            ("not_run", "unnamed_refusal", "may have run"),
            ("not_run", "no_answer", "may have run"),
            ("cancelled", "no_answer", "may have run"),
            ("answered", "own_answer", "ran"),
            ("not_run", "not_written", "not run"),
            ("cancelled", "not_written", "not run"),
        ):
            with self.subTest(end=end, evidence=evidence):
                found = self.summarize(
                    [
                        self.placed.format("b1", 1),
                        self.ended.format("b1", end, evidence, 1),
                        self.failed.format("no_repeats", 503, 1),
                    ]
                )
                is_shown = "contradiction=" in found[1]
                self.assertEqual(is_shown, verdict != "not run")
                self.assertIn(f'verdict="{verdict}"', found[0])
                self.assertIn(f'verdict="{verdict}"', found[-1])

    def test_answer_that_names_no_request_proves_no_run(self):
        line = self.answered.format(1, "b1", 1).replace("own_", "unnamed_")
        found = self.summarize([self.placed.format("b1", 1), line])
        self.assertIn('verdict="may have run"', found[-1])

    def test_lines_that_are_missing_are_named(self):
        refused = self.failed.format("no_repeats", 503, 2) + " basis=own_refusal"
        found = self.summarize(
            [
                "request_placed id=q6 backend=b1 attempt=1 send=1",
                self.placed.format("b1", 1),
                self.ended.format("b1", "not_run", "own_refusal", 1),
                refused,
                "request_placed id=q8 backend=b1 attempt=1 send=1 skipped=5",
            ]
        )
        self.assertIn("host-1 sends_without_lines=1", found)
        missing = "host-1 lines_missing skipped=5 event=request_placed"
        self.assertTrue(any(line.startswith(missing) for line in found), found)
        self.assertTrue(
            found[-1].endswith(
                'verdict="may have run, as far as the logs say: lines are missing"'
            )
        )

    def test_lines_left_out_at_another_time_are_not_named(self):
        found = self.summarize(
            [
                "request_placed id=q5 backend=b1 send=1",
                "request_placed id=q6 backend=b1 send=1 skipped=5",
                self.placed.format("b1", 1),
                self.answered.format(1, "b1", 1),
            ]
        )
        self.assertEqual(found[-1], 'request sends=1 arrivals=1 verdict="ran"')

    def test_send_without_an_end_may_have_run(self):
        found = self.summarize([self.placed.format("b1", 1)])
        self.assertIn("end=not_logged", found[0])
        self.assertEqual(found[1], "host-1 answer=not_logged")
        self.assertIn('verdict="may have run, as far', found[-1])

    def test_field_in_a_quoted_value_is_not_read(self):
        ended = self.ended.format("b1", "unknown", "no_answer", 1)
        forged = ended + ' reason="\\" end=not_run evidence=own_refusal"'
        found = self.summarize([self.placed.format("b1", 1), forged])
        self.assertIn("end=unknown evidence=no_answer", found[0])
