"""Start of the entry daemon, and replication of the store's tables."""

import asyncio
import contextlib
import io
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from crocusward.desired import RowChange, TablePage
from crocusward.entryd import main
from crocusward.entryd._reader import REMOVAL_HOLD_S, TableFollower
from crocusward.entryd._row_replicator import (
    PULL_TIMEOUT_S,
    decode_page,
    encode_page,
)
from crocusward.errors import StoreUnavailableError
from crocusward.neighbours import ReadTimes
from crocusward.platform import HistoryLostError
from crocusward.timing import LoopTimer

ROOT = Path(__file__).resolve().parent.parent


class StartTest(unittest.TestCase):
    def start(self, environ):
        errors = io.StringIO()
        with (
            mock.patch.dict(os.environ, environ, clear=True),
            contextlib.redirect_stderr(errors),
        ):
            return main(), errors.getvalue()

    def test_missing_settings_end_the_start(self):
        """Guards against a daemon that starts without settings."""
        self.assertEqual(self.start({})[0], 2)
        status, text = self.start({"CROCUSWARD_BOOT": "/nowhere/settings"})
        self.assertEqual(status, 2)
        self.assertIn("/nowhere/settings", text)

    def test_bad_settings_are_reported_with_all_findings(self):
        """Guards against a traceback, and against reporting only the first finding."""
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "settings"
            path.write_text('{"node": "h1", "ip": 5}', encoding="utf-8")
            status, text = self.start({"CROCUSWARD_BOOT": str(path)})
        self.assertEqual(status, 2)
        for place in ("ip", "zone", "listen.front", "platform.address"):
            self.assertIn(place, text)
        self.assertNotIn("Traceback", text)


class EarlySignalTest(unittest.TestCase):
    def test_settings_signal_during_the_start_does_not_end_the_daemon(self):
        """Guards against SIGHUP ending the daemon before its handler is installed."""
        with tempfile.TemporaryDirectory() as name:
            environ = {"CROCUSWARD_BOOT": name, "PATH": os.environ["PATH"]}
            process = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "run.py")],
                env=environ,
                stderr=subprocess.PIPE,
            )
            with process:
                while process.poll() is None and not is_loading(process.pid):
                    time.sleep(0.001)
                process.send_signal(signal.SIGHUP)
                process.communicate()
        # The settings path is a directory, which the daemon reports after loading.
        self.assertEqual(process.returncode, 2)


def is_loading(pid):
    """Return whether a process has started to load the daemon's modules."""
    return "asyncio" in Path(f"/proc/{pid}/maps").read_text(encoding="ascii")


class ScriptedStore:
    """Answers reads from a list of results; the last one is repeated."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    async def _next(self, call):
        self.calls.append(call)
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        await asyncio.sleep(0)
        if isinstance(step, Exception):
            raise step
        return step

    async def read_table(self, table, timeout_s):
        return await self._next("read")

    async def wait_for_changes(self, table, after, wait_s, timeout_s):
        return await self._next(f"changes after {after}")


def page(version, *rows, complete=False):
    changes = [RowChange(key, value, ver) for key, value, ver in rows]
    return TablePage(version, changes, complete=complete)


FIRST = page(5, ("a", b"1", 3), ("b", b"2", 5), complete=True)


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    other_answer_s = -1e9

    def make_follower(self, store, is_reader=True, rank=0, should_read_first=True):
        self.changes = []
        timer = LoopTimer(asyncio.get_running_loop(), random.Random(1))
        return TableFollower(
            "t",
            timer,
            random.Random(1),
            store,
            ReadTimes(2.0),
            lambda: is_reader,
            lambda: should_read_first,
            lambda: rank,
            lambda: self.other_answer_s,
            lambda table, change: self.changes.append((change.key, change.value)),
            lambda: None,
        )

    async def run_steps(self, follower, count):
        for _ in range(count):
            try:
                await follower._step()
            except (StoreUnavailableError, HistoryLostError) as exc:
                await follower._back_off(exc)

    async def test_reads_all_and_follows(self):
        """Guards against changes that are missed or read twice."""
        store = ScriptedStore(FIRST, page(7, ("a", None, 7)), page(7))
        follower = self.make_follower(store)
        await self.run_steps(follower, 3)
        self.assertEqual(store.calls, ["read", "changes after 5", "changes after 7"])
        self.assertEqual(self.changes, [("a", b"1"), ("b", b"2"), ("a", None)])

    async def test_lost_history_causes_a_full_read(self):
        """Guards against removed servers that stay listed after a loss of history."""
        again = page(9, ("b", b"2", 5), complete=True)
        store = ScriptedStore(FIRST, HistoryLostError("gone"), again)
        follower = self.make_follower(store)
        await self.run_steps(follower, 2)
        self.assertEqual(self.changes[-1], ("a", None))

    async def test_stale_read_changes_nothing(self):
        """Guards against a read that is older than the copy."""
        stale = page(3, ("a", b"0", 2), complete=True)
        store = ScriptedStore(FIRST, HistoryLostError("gone"), stale)
        follower = self.make_follower(store)
        await self.run_steps(follower, 2)
        self.assertEqual(len(self.changes), 2)
        self.assertEqual(follower.copy.version, 5)

    async def test_removals_after_an_outage_wait(self):
        """Guards against removing servers whose entries expired in an outage."""
        down = StoreUnavailableError("down")
        store = ScriptedStore(FIRST, down, page(8, ("a", None, 8)))
        follower = self.make_follower(store)
        await self.run_steps(follower, 2)
        follower._failed_since_s -= 2.0  # simulates a longer outage
        await self.run_steps(follower, 1)
        self.assertNotIn(("a", None), self.changes)
        left_s = follower.copy.deferral_left_s(asyncio.get_running_loop().time())
        self.assertAlmostEqual(left_s, REMOVAL_HOLD_S, delta=0.2)

    async def test_one_failed_call_is_no_outage(self):
        """Guards against requests to removed servers after one failed call."""
        down = StoreUnavailableError("down")
        store = ScriptedStore(FIRST, down, page(8, ("a", None, 8)))
        follower = self.make_follower(store)
        await self.run_steps(follower, 3)
        self.assertIn(("a", None), self.changes)

    async def test_host_without_rows_leaves_the_first_read_to_another(self):
        """Guards against reads by every host when the whole fleet starts."""
        store = ScriptedStore(FIRST)
        follower = self.make_follower(store, should_read_first=False)
        await self.run_steps(follower, 1)
        self.assertEqual(store.calls, [])
        follower.apply_page(FIRST)
        await self.run_steps(follower, 1)
        self.assertEqual(store.calls, ["changes after 5"])

    async def test_hosts_of_higher_rank_retry_a_lost_store_less_often(self):
        """Guards against frequent calls by every host during an outage."""
        pauses = []

        async def sleep(delay_s):
            pauses.append(delay_s)

        for rank in (0, 30):
            pauses.clear()
            store = ScriptedStore(FIRST, StoreUnavailableError("down"))
            follower = self.make_follower(store, rank=rank)
            with mock.patch.object(LoopTimer, "sleep", side_effect=sleep):
                await self.run_steps(follower, 21)
            self.assertLessEqual(max(pauses), 6.0)
            if rank:
                self.assertGreater(sum(pauses), 40.0)
            else:
                self.assertLessEqual(max(pauses), 1.0)

    async def test_host_that_does_not_read_makes_no_call(self):
        """Guards against every host calling the store."""
        store = ScriptedStore(FIRST)
        follower = self.make_follower(store, is_reader=False)
        follower.apply_page(FIRST)
        await self.run_steps(follower, 2)
        self.assertEqual(store.calls, [])


class PageTest(unittest.TestCase):
    def test_round_trip(self):
        """Guards against rows that are changed by the codec."""
        found, hold_s = decode_page(encode_page(page(7, ("a", None, 7)), 1.5))
        self.assertEqual(found, page(7, ("a", None, 7)))
        self.assertEqual(hold_s, 1.5)

    def test_many_routes_reach_a_group_over_a_narrow_link(self):
        """Guards against time-outs of pulls from a reader that serves a whole group."""
        rng = random.Random(1)
        routes = [
            [f"r-{rng.randrange(36**6):x}", "shop.example", f"/{rng.random():.8f}/"]
            + ["rider-portal", "safe", "1200ms", "300ms", 2, 0, None]
            for _ in range(1000)
        ]
        value = json.dumps({"routes": {"rows": routes}}).encode()
        size = len(encode_page(page(9, ("config", value, 9)), 0.0))
        link_mbps, neighbours = 5.0, 7
        took_s = size * 8 * neighbours / (link_mbps * 1e6)
        self.assertLess(took_s, PULL_TIMEOUT_S / 2)

    def test_malformed_page_is_rejected(self):
        """Guards against an unexpected exception for data of another program."""
        for data in (b"", b"\xff", b"\x83\x01\x02\x03"):
            with self.subTest(data), self.assertRaises(ValueError):
                decode_page(data)
