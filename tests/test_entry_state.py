"""Copies of the store's tables, the directory and the decoding of documents."""

import json
import unittest
from unittest import mock

from crocusward.desired import RowChange, TablePage, TableReplica
from crocusward.errors import FindingsError
from crocusward.platform import (
    TABLE_BACKENDS,
    TABLE_OPERATOR,
    _documents,
    apply_change,
    decode_backend,
    decode_desired_state,
    decode_host_file,
)

from .entry_support import backend, desired, directory


def page(version, *rows, complete=False):
    changes = [RowChange(key, value, ver) for key, value, ver in rows]
    return TablePage(version, changes, complete=complete)


class TableCopyTest(unittest.TestCase):
    def copy(self):
        found = TableReplica("t")
        found.apply(page(10, ("a", b"1", 4), ("b", b"2", 9), complete=True), 0.0)
        return found

    def keys(self, copy):
        return sorted(item.key for item in copy.rows())

    def test_older_page_changes_nothing(self):
        """Guards against a stale read that brings back what was removed."""
        copy = self.copy()
        copy.apply(page(12, ("a", None, 12)), 0.0)
        stale = page(11, ("a", b"1", 4), ("b", b"2", 9), complete=True)
        self.assertEqual(copy.apply(stale, 0.0), [])
        self.assertEqual(self.keys(copy), ["b"])

    def test_repeated_row_is_no_change(self):
        """Guards against handling a change twice."""
        copy = self.copy()
        self.assertEqual(copy.apply(page(12, ("b", b"2", 9)), 0.0), [])

    def test_complete_page_removes_what_it_lacks(self):
        """Guards against servers that stay listed after lost history."""
        copy = self.copy()
        changed = copy.apply(page(20, ("b", b"2", 9), complete=True), 0.0)
        self.assertEqual([(c.key, c.value) for c in changed], [("a", None)])

    def test_removal_after_an_outage_waits(self):
        """Guards against dropping live servers whose entries lapsed."""
        copy = self.copy()
        copy.defer_removals(5.0)
        self.assertEqual(copy.apply(page(12, ("a", None, 12)), 3.0), [])
        self.assertEqual(copy.apply_deferred_removals(4.9), [])
        self.assertEqual([c.key for c in copy.apply_deferred_removals(5.0)], ["a"])
        self.assertEqual(self.keys(copy), ["b"])

    def test_row_that_returns_is_not_removed(self):
        """Guards against removing a server that registered itself again."""
        copy = self.copy()
        copy.defer_removals(5.0)
        copy.apply(page(12, ("a", None, 12)), 3.0)
        copy.apply(page(13, ("a", b"1", 13)), 4.0)
        self.assertEqual(copy.apply_deferred_removals(6.0), [])
        self.assertEqual(self.keys(copy), ["a", "b"])

    def test_neighbour_gets_what_it_lacks(self):
        """Guards against neighbours that keep removed servers."""
        copy = self.copy()
        copy.apply(page(12, ("a", None, 12)), 0.0)
        late = TableReplica("t")
        late.apply(page(10, ("a", b"1", 4), ("b", b"2", 9), complete=True), 0.0)
        late.apply(copy.get_changes_since(late.version), 0.0)
        self.assertEqual(self.keys(late), ["b"])
        self.assertEqual(late.version, 12)

    def test_held_removal_reaches_the_neighbour(self):
        """Guards against a neighbour at the same version that never learns of it."""
        copy = self.copy()
        copy.defer_removals(5.0)
        copy.apply(page(12, ("a", None, 12)), 3.0)
        self.assertIn(
            ("a", None), [(c.key, c.value) for c in copy.get_changes_since(10).changes]
        )


class DirectoryTest(unittest.TestCase):
    def test_version_never_goes_back(self):
        """Guards against an older desired state from a late answer."""
        found = directory(state=desired(version=7))
        self.assertFalse(found.set_state(desired(version=5)))
        self.assertEqual(found.state.version, 7)

    def test_evacuation_rows(self):
        """Guards against data centres that stay out, or never go out."""
        found = directory()
        apply_change(found, TABLE_OPERATOR, RowChange("evacuate/east-a", b"{}", 1))
        self.assertEqual(found.data_centres_out, {"east-a"})
        apply_change(found, TABLE_OPERATOR, RowChange("evacuate/east-a", None, 2))
        self.assertEqual(found.data_centres_out, set())

    def test_unreadable_entry_names_no_server(self):
        """Guards against using an entry that another writer has spoilt."""
        found = directory(backend("b1"))
        apply_change(found, TABLE_BACKENDS, RowChange("b1", b"\xff{", 3))
        self.assertEqual(found.backends, {})

    def test_unreadable_desired_state_keeps_the_known_one(self):
        """Guards against losing the routes to a bad document."""
        found = directory(state=desired(version=7))
        apply_change(found, TABLE_OPERATOR, RowChange("config", b"{}", 3))
        self.assertEqual(found.state.version, 7)


ENTRY = {
    "service": "svc",
    "address": "10.0.0.9:8080",
    "zone": "east-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeft": "1500ms",
    "seq": 4,
    "born": 1_700_000_000_000,
}

STATE = {
    "version": "0000000c",
    "routes": {
        "columns": [
            "name",
            "host",
            "prefix",
            "kind",
            "timeout",
            "slo",
            "priority",
            "service",
            "maxAttempts",
            "allowedRegions",
            "trafficSplit",
        ],
        "rows": [
            ["r1", "A.example", "/x/", "unsafe", "1200ms", "0.8s", 1, "s1", 2, ["e"]],
            [
                "r2",
                "a.example",
                "/x/y/",
                "safe",
                "1s",
                "600ms",
                2,
                None,
                2,
                [],
                [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            ],
        ],
    },
    "services": {
        "columns": ["name", "healthPath", "maxConns", "warmup", "warmupPerS", "new"],
        "rows": [["s1", "/h", 220, "3s", 2.7, 1], ["s2", "/h", 220, "3s", 2.7, None]],
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
}

HOST = {
    "node": "h1",
    "ip": "10.1.0.10",
    "zone": "east-a",
    "region": "east",
    "zones": {"east-a": "east"},
    "listen": {
        "front": "10.1.0.10:8161",
        "ready": "10.1.0.10:8167",
        "control": "10.1.0.10:8166",
    },
    "portRange": [7720, 7735],
    "seeds": ["10.1.0.10:8166"],
    "limits": {"cpuShare": 0.86, "memoryMb": 300, "maxFds": 4100},
    "heartbeat": "1500ms",
    "bounds": {
        "drain": "2000ms",
        "grace": "6s",
        "configApply": "2000ms",
        "reuseAfter": "2s",
        "retryBudgetRatio": 0.2,
        "retryWindow": "10s",
        "retryBudgetSlack": 58,
        "warmupOverage": 1.5,
        "warmupSlack": 5,
    },
    "platform": {"address": "10.200.1.7:8169"},
    "later": {"field": 1},
}


class DecodingTest(unittest.TestCase):
    def test_entry(self):
        """Guards against wrong units or states of backend servers."""
        found = decode_backend("i1", json.dumps(ENTRY).encode())
        self.assertEqual(found.address, ("10.0.0.9", 8080))
        self.assertEqual(found.cold_left_s, 1.5)
        self.assertFalse(found.leaving)

    def test_faulty_entries_are_rejected(self):
        """Guards against entries with missing, strange or mistyped fields."""
        for change in (
            {"state": "asleep"},
            {"slots": "2"},
            {"slots": True},
            {"address": "10.0.0.9"},
            {"warmupLeft": 5},
            {"service": None},
            {"born": 1.5},
            {"seq": None},
        ):
            with self.subTest(change), self.assertRaises(FindingsError):
                decode_backend("i1", json.dumps({**ENTRY, **change}).encode())

    def test_desired_state(self):
        """Guards against requests on the wrong route or with wrong limits."""
        found = decode_desired_state(json.dumps(STATE).encode())
        self.assertEqual(found.version, 12)
        short = found.find_route("a.example", "/x/z")
        long = found.find_route("a.example", "/x/y/z")
        self.assertEqual((short.name, long.name), ("r1", "r2"))
        self.assertFalse(short.idempotent)
        self.assertEqual(short.regions, frozenset({"e"}))
        self.assertEqual([part.weight for part in long.parts], [90.0, 10.0])
        self.assertIsNone(found.find_route("a.example", "/x"))
        self.assertEqual(found.services["s1"].cold_rate, 2.7)

    def test_faulty_desired_state_reports_all_findings(self):
        """Guards against reports that name one fault at a time."""
        broken = json.loads(json.dumps(STATE))
        broken["routes"]["rows"][0][3] = 7
        broken["limits"]["idleTimeout"] = 15
        with self.assertRaises(FindingsError) as caught:
            decode_desired_state(json.dumps(broken).encode())
        self.assertEqual(len(caught.exception.findings), 2)

    def test_route_of_an_unknown_kind_is_not_idempotent(self):
        """Guards against one new word that costs the whole service."""
        changed = json.loads(json.dumps(STATE))
        changed["routes"]["rows"][1][3] = "replay"
        with mock.patch.object(_documents, "log_event") as log:
            found = decode_desired_state(json.dumps(changed).encode())
        self.assertFalse(found.find_route("a.example", "/x/y/z").idempotent)
        self.assertEqual(log.call_count, 1)
        self.assertEqual(log.call_args.kwargs["kind"], "replay")

    def test_uploads_are_known_and_not_idempotent(self):
        """Guards against uploads that run twice, or a warning for a known kind."""
        changed = json.loads(json.dumps(STATE))
        changed["routes"]["rows"][1][3] = "upload"
        with mock.patch.object(_documents, "log_event") as log:
            found = decode_desired_state(json.dumps(changed).encode())
        self.assertFalse(found.find_route("a.example", "/x/y/z").idempotent)
        self.assertFalse(log.called)

    def test_route_without_a_kind_refuses_the_document(self):
        """Guards against serving a document that was cut or mistyped."""
        for kind in (None, "", 7, ["safe"]):
            broken = json.loads(json.dumps(STATE))
            broken["routes"]["rows"][1][3] = kind
            with self.subTest(kind=kind), self.assertRaises(FindingsError):
                decode_desired_state(json.dumps(broken).encode())

    def test_settings(self):
        """Guards against a daemon that listens on wrong addresses."""
        found = decode_host_file(HOST, "settings")
        self.assertEqual(found.callers, ("10.1.0.10", 8161))
        self.assertEqual(found.bounds.drain_s, 2.0)

    def test_faulty_settings_report_all_findings_with_place(self):
        """Guards against a start with half of the settings."""
        broken = {**HOST, "listen": {"front": "x"}, "portRange": [1]}
        with self.assertRaises(FindingsError) as caught:
            decode_host_file(broken, "settings")
        text = str(caught.exception)
        self.assertIn("listen.front", text)
        self.assertIn("listen.ready", text)
        self.assertIn("portRange", text)
