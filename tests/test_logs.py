"""Tests for log rendering, redaction, sampling and buffering."""

import io
import logging
import os
import unittest

from crocusward.logs import (
    HIDDEN,
    EventSampler,
    Level,
    LineBuffer,
    StdlibBridge,
    log_event,
)
from crocusward.logs import start_logs as start


class LogTest(unittest.TestCase):
    def setUp(self):
        # Eliot delivers the messages it buffered so far to the first destination.
        start(io.StringIO()).close()
        self.stream = io.StringIO()
        self.pipe = start(self.stream, "info")
        self.addCleanup(self.pipe.close)

    def lines(self):
        self.pipe.buffer.flush()
        return self.stream.getvalue().splitlines()

    def test_value_cannot_inject_a_line_or_field(self):
        """Guards against log injection through a request path."""
        hostile_value = 'x\nlevel=error event=forged\r\u2028\x85\x1b[31m" admin="yes \\'
        log_event("refused", contract=hostile_value, **{"a b=c": 1})
        lines = self.lines()
        self.assertEqual(len(lines), 1)
        self.assertTrue(lines[0].isprintable())
        self.assertNotIn('" admin="yes', lines[0].replace('\\"', ""))
        self.assertIn(" a_b_c=1", lines[0])

    def test_secrets_never_reach_a_line(self):
        """Guards against a token in a field, a text or a library's message."""
        secret = 'peer"key-3141\n'
        self.pipe.secrets.hide(secret)
        self.pipe.secrets.hide("tok-2718")
        log_event("one", token="anything", text=f"got {secret} here")
        log_event("two", text="Bearer tok-2718", Authorization="Bearer zzz")
        record = logging.LogRecord("lib", 30, "", 0, "key %s", ("tok-2718",), None)
        StdlibBridge().emit(record)
        text = "\n".join(self.lines())
        self.assertEqual(len(self.lines()), 3)
        for part in ("peer", "3141", "2718", "zzz", "anything"):
            self.assertNotIn(part, text)
        self.assertIn(HIDDEN, text)

    def test_events_below_the_level_are_not_written(self):
        """Guards against debug events in production logs."""
        log_event("quiet", Level.DEBUG)
        log_event("loud", Level.ERROR)
        self.assertEqual([line.split()[2] for line in self.lines()], ["event=loud"])

    def test_long_line_is_truncated_below_pipe_buf(self):
        """A longer write to a pipe may be interleaved with that of another writer."""
        log_event("big", **{f"f{n}": "ä" * 900 for n in range(20)})
        self.assertLess(len(self.lines()[0].encode()), 4096)

    def test_flood_of_refusals_is_sampled_and_counted(self):
        """Guards against refusals that occupy the event loop with logging."""
        now_s = [0.0]
        sampler = EventSampler(lambda: now_s[0], per_second=3)
        for _ in range(1000):
            sampler.log("refused", code="rate_limited")
        now_s[0] = 1.5
        sampler.log("refused", code="rate_limited")
        lines = self.lines()
        self.assertEqual(len(lines), 4)
        self.assertIn("skipped=997", lines[3])


class BufferTest(unittest.TestCase):
    def test_stalled_reader_does_not_block_and_drops_are_counted(self):
        """Guards against an event loop blocked by a stalled log reader."""
        read_fd, write_fd = os.pipe()
        with open(read_fd, "rb") as reader, open(write_fd, "w") as stream:
            buffer = LineBuffer(stream, max_lines=100)
            for _ in range(1000):
                buffer.append("x" * 3000)
                buffer.flush()
            self.assertGreater(buffer.dropped, 800)
            dropped = buffer.dropped
            os.set_blocking(reader.fileno(), False)
            text = b""
            for _ in range(200):
                buffer.flush()
                text += reader.read() or b""
            self.assertEqual(text.count(b"x" * 3000 + b"\n"), 1000 - dropped)
            self.assertIn(b"event=log_lines_dropped count=%d" % dropped, text)
