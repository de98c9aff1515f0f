"""Metrics."""

import random
import unittest

from hdrh.histogram import HdrHistogram

from crocusward.devtools.entry_soak import WholeFleet
from crocusward.entryd._exposition import format_metrics
from crocusward.metrics import LatencyCells, LatencyRecorder, Metrics, merge_blocks


class RecorderTest(unittest.TestCase):
    def test_cells_agree_with_the_library(self):
        """Guards against an index that differs from the histogram's own."""
        rng = random.Random(5)
        recorder = LatencyRecorder()
        whole = HdrHistogram(1, 120_000_000, 2)
        for _ in range(5000):
            value = int(10 ** rng.uniform(0, 8))
            recorder.record((value + 0.5) / 1e6)
            whole.record_value(value)
        hist = recorder.histogram()
        self.assertEqual(list(hist.counts), list(whole.counts))
        shares = (0.001, 0.5, 0.99, 0.999, 1.0)
        for share, found_s in zip(shares, recorder.quantiles_s(shares), strict=True):
            expected = whole.get_value_at_percentile(share * 100)
            self.assertAlmostEqual(found_s * 1e6, expected, delta=expected * 0.01)
        cells = recorder.take()
        self.assertEqual(LatencyCells.decode(cells.encode()), cells)
        self.assertEqual(recorder.histogram().get_total_count(), 0)
        for share in shares:
            expected = whole.get_value_at_percentile(share * 100)
            self.assertEqual(hist.get_value_at_percentile(share * 100), expected)


class MetricsTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.metrics = Metrics(lambda: self.now_s)

    def record(self, contract="c", code="answered", backend=""):
        self.metrics.record_call(
            contract, "s", "r", "d", code, total_s=0.01, backend=backend
        )

    def close_minute(self):
        self.now_s += 60
        self.metrics.close_minute()

    def test_label_sets_are_bounded_and_no_request_is_lost(self):
        """Guards against memory that grows with the names callers send."""
        for number in range(2000):
            self.record(f"c{number}")
        text = self.metrics.expose()
        counts = [
            int(line.rsplit(" ", 1)[1])
            for line in text.splitlines()
            if line.startswith("crocusward_requests_total")
        ]
        self.assertLessEqual(len(counts), 401)
        self.assertEqual(sum(counts), 2000)
        self.assertIn('contract="other"', text)

    def test_label_values_are_quoted(self):
        """Guards against a name that breaks the exposition."""
        self.record('a"b\nc\\')
        self.assertIn('contract="a\\"b\\nc\\\\"', self.metrics.expose())

    def test_sums_go_on_and_quantiles_are_of_the_last_minute(self):
        """Guards against counters that fall when a minute is closed."""
        for _ in range(3):
            self.record()
            self.close_minute()
        self.record()
        text = self.metrics.expose()
        labels = 'contract="c",service="s",region="r",data_centre="d"'
        self.assertIn(f"latency_seconds_count{{{labels}}} 4\n", text)
        self.assertIn(f"latency_seconds_sum{{{labels}}} 0.04\n", text)
        line = f'crocusward_latency_seconds{{{labels},quantile="0.99"}} '
        value_s = float(text.split(line)[1].split()[0])
        self.assertAlmostEqual(value_s, 0.01, delta=0.0001)

    def test_windows_lose_no_request_and_forget_old_ones(self):
        """Guards against a gap or an overlap between minutes and blocks."""
        for minute in range(400):
            self.record(code="no_backend" if minute % 2 else "answered", backend="b")
            self.close_minute()
        for window_s, expected in ((300, 5), (3600, 60), (21600, 360)):
            total = sum(
                item.good + item.bad
                for item in merge_blocks(self.metrics.ring.last(window_s))
            )
            self.assertEqual(total, expected, window_s)

    def test_counts_are_complete_at_each_step_of_closing(self):
        """Guards against a report made during the merge that lacks five minutes."""
        for _ in range(64):
            self.record()
            self.close_minute()
        self.record("a")
        self.record("b")
        seen = set()
        steps = self.metrics._close_steps()
        for _ in steps:
            blocks = merge_blocks(self.metrics.ring.last(90 * 60))
            seen.add(sum(item.good for item in blocks))
        seen.add(sum(i.good for i in merge_blocks(self.metrics.ring.last(90 * 60))))
        self.assertEqual(seen, {64, 66})

    def test_faults_of_the_caller_use_no_budget(self):
        """Guards against a customer who burns the budget by exceeding the rate."""
        self.record(code="rate_limited")
        self.record(code="no_backend")
        self.record()
        self.close_minute()
        (item,) = merge_blocks(self.metrics.ring.last(60))
        self.assertEqual((item.good, dict(item.codes)), (1, {"no_backend": 1}))
        self.assertEqual(item.latency.histogram().get_total_count(), 1)


class EntryMetricsTest(unittest.TestCase):
    def test_attempts_and_skipped_answers_are_exposed(self):
        """Guards against sends, and answers of others, that no metric shows."""
        fleet = WholeFleet(3, 1)
        self.addCleanup(fleet.close)
        fleet.add_servers(2)
        fleet.network.advance(1.0)
        name, host = next(iter(fleet.hosts.items()))
        item = fleet.ask("/look/a", name)
        fleet.network.advance(2.0)
        self.assertEqual(item.status, 200)
        host.store_pool.skipped_answers = 2
        host.backend_pool.skipped_answers = 3
        lines = format_metrics(host).decode().splitlines()
        attempts = [line for line in lines if "_attempts_total{" in line]
        labels = 'end="answered",evidence="own_answer"'
        self.assertEqual(attempts, [f"crocusward_entry_attempts_total{{{labels}}} 1"])
        for to, count in (("store", 2), ("backends", 3)):
            name = f'crocusward_entry_answers_skipped_total{{to="{to}"}}'
            self.assertIn(f"{name} {count}", lines)
