"""Tests of table replicas, the directory and the decoding of documents."""

import json
import unittest
from unittest import mock

from crocusward.desired import RowChange, TablePage, TablePosition, TableReplica
from crocusward.errors import FindingsError
from crocusward.platform import (
    TABLE_BACKENDS,
    TABLE_OPERATOR,
    _documents,
    apply_row_change,
    decode_backend,
    decode_boot_settings,
    decode_desired_state,
)

from .entry_support import backend, desired, directory


def page(version, *rows, complete=False):
    changes = [RowChange(key, value, ver) for key, value, ver in rows]
    return TablePage(version, changes, complete=complete)


class TableReplicaTest(unittest.TestCase):
    def make_replica(self):
        replica = TableReplica("t")
        replica.apply(page(10, ("a", b"1", 4), ("b", b"2", 9), complete=True), 0.0)
        return replica

    def keys(self, replica):
        return sorted(item.key for item in replica.rows())

    def test_older_page_changes_nothing(self):
        """Guards against a stale read that restores a removed row."""
        replica = self.make_replica()
        replica.apply(page(12, ("a", None, 12)), 0.0)
        stale = page(11, ("a", b"1", 4), ("b", b"2", 9), complete=True)
        self.assertEqual(replica.apply(stale, 0.0), [])
        self.assertEqual(self.keys(replica), ["b"])

    def test_repeated_row_is_no_change(self):
        """Guards against reporting a change twice."""
        replica = self.make_replica()
        self.assertEqual(replica.apply(page(12, ("b", b"2", 9)), 0.0), [])

    def test_complete_page_removes_what_it_lacks(self):
        """Guards against keeping removed servers after the change history was lost."""
        replica = self.make_replica()
        changed = replica.apply(page(20, ("b", b"2", 9), complete=True), 0.0)
        self.assertEqual([(c.key, c.value) for c in changed], [("a", None)])

    def test_removal_after_an_outage_is_deferred(self):
        """Guards against removing live servers whose entries expired in an outage."""
        replica = self.make_replica()
        replica.defer_removals(5.0)
        self.assertEqual(replica.apply(page(12, ("a", None, 12)), 3.0), [])
        self.assertEqual(replica.apply_deferred(4.9), [])
        self.assertEqual([c.key for c in replica.apply_deferred(5.0)], ["a"])
        self.assertEqual(self.keys(replica), ["b"])

    def test_row_written_again_is_not_removed(self):
        """Guards against removing a server that registered again."""
        replica = self.make_replica()
        replica.defer_removals(5.0)
        replica.apply(page(12, ("a", None, 12)), 3.0)
        replica.apply(page(13, ("a", b"1", 13)), 4.0)
        self.assertEqual(replica.apply_deferred(6.0), [])
        self.assertEqual(self.keys(replica), ["a", "b"])

    def test_neighbour_gets_missed_changes(self):
        """Guards against neighbours that keep removed servers."""
        replica = self.make_replica()
        replica.apply(page(12, ("a", None, 12)), 0.0)
        behind = TableReplica("t")
        behind.apply(page(10, ("a", b"1", 4), ("b", b"2", 9), complete=True), 0.0)
        behind.apply(replica.get_changes_since(behind.position), 0.0)
        self.assertEqual(self.keys(behind), ["b"])
        self.assertEqual(behind.version, 12)

    def test_deferred_removal_is_sent_to_neighbours(self):
        """Guards against a neighbour at the same version that misses the removal."""
        replica = self.make_replica()
        replica.defer_removals(5.0)
        replica.apply(page(12, ("a", None, 12)), 3.0)
        self.assertIn(
            ("a", None),
            [
                (c.key, c.value)
                for c in replica.get_changes_since(TablePosition(version=10)).changes
            ],
        )


class DirectoryTest(unittest.TestCase):
    def test_older_desired_state_is_ignored(self):
        """Guards against an older desired state in a late answer."""
        view = directory(state=desired(version=7))
        self.assertFalse(view.set_state(desired(version=5)))
        self.assertEqual(view.state.version, 7)

    def test_evacuation_rows_set_data_centres_out(self):
        """Guards against ignoring the start or end of an evacuation."""
        view = directory()
        apply_row_change(view, TABLE_OPERATOR, RowChange("evacuate/east-a", b"{}", 1))
        self.assertEqual(view.data_centres_out, {"east-a"})
        apply_row_change(view, TABLE_OPERATOR, RowChange("evacuate/east-a", None, 2))
        self.assertEqual(view.data_centres_out, set())

    def test_malformed_entry_removes_the_server(self):
        """Guards against using an entry corrupted by another writer."""
        view = directory(backend("b1"))
        apply_row_change(view, TABLE_BACKENDS, RowChange("b1", b"\xff{", 3))
        self.assertEqual(view.backends, {})

    def test_malformed_desired_state_is_ignored(self):
        """Guards against losing the routes because of a malformed document."""
        view = directory(state=desired(version=7))
        apply_row_change(view, TABLE_OPERATOR, RowChange("config", b"{}", 3))
        self.assertEqual(view.state.version, 7)


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
    def test_backend_entry(self):
        """Guards against decoding wrong units or states of backend servers."""
        entry = decode_backend("i1", json.dumps(ENTRY).encode())
        self.assertEqual(entry.address, ("10.0.0.9", 8080))
        self.assertEqual(entry.cold_left_s, 1.5)
        self.assertFalse(entry.leaving)

    def test_faulty_entries_are_rejected(self):
        """Guards against accepting entries with missing, unknown or mistyped values."""
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
        """Guards against decoding wrong routes or services."""
        state = decode_desired_state(json.dumps(STATE).encode())
        self.assertEqual(state.version, 12)
        short = state.find_route("a.example", "/x/z")
        long = state.find_route("a.example", "/x/y/z")
        self.assertEqual((short.name, long.name), ("r1", "r2"))
        self.assertFalse(short.idempotent)
        self.assertEqual(short.regions, frozenset({"e"}))
        self.assertEqual([part.weight for part in long.parts], [90.0, 10.0])
        self.assertIsNone(state.find_route("a.example", "/x"))
        self.assertEqual(state.services["s1"].cold_rate, 2.7)

    def test_faulty_desired_state_reports_all_findings(self):
        """Guards against reporting only the first fault."""
        broken = json.loads(json.dumps(STATE))
        broken["routes"]["rows"][0][3] = 7
        broken["limits"]["idleTimeout"] = 15
        with self.assertRaises(FindingsError) as caught:
            decode_desired_state(json.dumps(broken).encode())
        self.assertEqual(len(caught.exception.findings), 2)

    def test_route_of_an_unknown_kind_is_not_idempotent(self):
        """Guards against rejecting the whole document for one new route kind."""
        changed = json.loads(json.dumps(STATE))
        changed["routes"]["rows"][1][3] = "replay"
        with mock.patch.object(_documents, "log_event") as log:
            state = decode_desired_state(json.dumps(changed).encode())
        self.assertFalse(state.find_route("a.example", "/x/y/z").idempotent)
        self.assertEqual(log.call_count, 1)
        self.assertEqual(log.call_args.kwargs["kind"], "replay")

    def test_upload_routes_are_not_idempotent(self):
        """Guards against retrying uploads, or a warning for a known kind."""
        changed = json.loads(json.dumps(STATE))
        changed["routes"]["rows"][1][3] = "upload"
        with mock.patch.object(_documents, "log_event") as log:
            state = decode_desired_state(json.dumps(changed).encode())
        self.assertFalse(state.find_route("a.example", "/x/y/z").idempotent)
        self.assertFalse(log.called)

    def test_route_without_a_valid_kind_is_rejected(self):
        """Guards against accepting a truncated or mistyped document."""
        for kind in (None, "", 7, ["safe"]):
            broken = json.loads(json.dumps(STATE))
            broken["routes"]["rows"][1][3] = kind
            with self.subTest(kind=kind), self.assertRaises(FindingsError):
                decode_desired_state(json.dumps(broken).encode())

    def test_host_settings(self):
        """Guards against listening on wrong addresses."""
        facts = decode_boot_settings(HOST, "settings")
        self.assertEqual(facts.callers, ("10.1.0.10", 8161))
        self.assertEqual(facts.bounds.drain_s, 2.0)

    def test_faulty_host_settings_report_all_findings(self):
        """Guards against starting with incomplete settings."""
        broken = {**HOST, "listen": {"front": "x"}, "portRange": [1]}
        with self.assertRaises(FindingsError) as caught:
            decode_boot_settings(broken, "settings")
        text = str(caught.exception)
        self.assertIn("listen.front", text)
        self.assertIn("listen.ready", text)
        self.assertIn("portRange", text)
