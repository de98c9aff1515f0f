"""Entries, documents, pages and headers of other writers that no host expects."""

import json
import random
import tomllib
import unittest
import zlib

import cbor2

from crocusward.desired import RowChange
from crocusward.devtools.entry_soak import WholeFleet
from crocusward.documents._section import FindingList, Section
from crocusward.entryd._row_replicator import decode_page
from crocusward.errors import FindingsError
from crocusward.neighbours import MessageError, ObservationKind, decode_message
from crocusward.platform import decode_backend, decode_daemon, decode_desired_state
from crocusward.relay._exchange import _read_answer
from crocusward.relay._messages import CallerRequest
from crocusward.upstream import HttpAnswer
from crocusward.upstream._pool import _parse_keep_alive_s

ENTRY = {
    "service": "svc",
    "address": "127.0.0.1:80",
    "zone": "east-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeft": "0s",
    "seq": 1,
    "born": 5,
}
HUGE = 10**400  # no float holds it
DEEP = "[" * 900 + "]" * 900  # parsed, but too deep to be printed
DEEPER = "[" * 100_000
ODD_VALUES = {
    "service": [DEEP, '"\\ud800"', '"a\\nb"', "5", '""'],
    "address": ['"foo:80"', '"-1:80"', '"127.0.0.1:0"', '"127.0.0.1:65536"', DEEP]
    + [f'"127.0.0.1:{HUGE}"', '"127.0.0.1:\\u0663"', '"0.0.0.0:80"', f"{HUGE}"],
    "zone": ['"\\ud800"', DEEP, "{}"],
    "version": [DEEP, "1"],
    "slots": [f"{HUGE}", "0", "-1", "1e3", "true", "NaN"],
    "state": ['"gone"', DEEP],
    "warmupLeft": [f'"{HUGE}s"', '"1e9s"', '"-1s"', "5", '"99999999s"'],
    "seq": [f"{HUGE}", f"-{HUGE}", "1.5"],
    "born": [f"{HUGE}", "Infinity", '"5"'],
}
STATE = {
    "version": "0000000c",
    "routes": {
        "columns": ["name", "host", "prefix", "kind", "timeout", "slo", "service"],
        "rows": [["look", "api.example", "/look/", "safe", "1500ms", "400ms", "svc"]],
    },
    "services": {
        "columns": ["name", "healthPath", "maxConns", "warmup", "warmupPerS"],
        "rows": [["svc", "/health", 200, "3s", 5.0]],
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 100_000,
        "headerTimeout": "3s",
        "idleTimeout": "15s",
    },
}


def odd_entries():
    """Return the text of each odd entry: one value replaced, or no entry at all."""
    for name, values in ODD_VALUES.items():
        for value in values:
            text = json.dumps({**ENTRY, name: "@@"}).replace('"@@"', value)
            yield text.encode("utf-8", "surrogatepass")
    yield from (DEEPER.encode(), b"\xff\xfe", b"", b"null", b"[]", b'{"service"')


class FieldTest(unittest.TestCase):
    def test_each_odd_entry_of_a_server_is_a_finding(self):
        """Guards against odd entries that are used, or end the reader."""
        decode_backend("i-1", json.dumps(ENTRY).encode())
        for text in odd_entries():
            with self.subTest(text=text[:150]), self.assertRaises(FindingsError):
                decode_backend("i-1", text)

    def test_each_odd_id_of_a_server_is_a_finding(self):
        """Guards against ids that no request can name."""
        for id in ("", "a\nb", "\ud800", "a b", "ü", "x" * 5000):
            with self.subTest(id=id[:20]), self.assertRaises(FindingsError):
                decode_backend(id, json.dumps(ENTRY).encode())

    def test_each_odd_value_of_the_desired_state_is_a_finding(self):
        """Guards against documents that end the reader in place of being refused."""
        decode_desired_state(json.dumps(STATE).encode())
        text = json.dumps(STATE)
        for old, odd in (
            ('"0000000c"', f'"{HUGE}"'),
            ('"0000000c"', '"-5"'),
            ('"0000000c"', DEEP),
            ('"name", "host"', f'{DEEP}, "host"'),
            ('"name", "host"', '{}, "host"'),
            ('"1500ms"', f'"{HUGE}ms"'),
            ("5.0", f"{HUGE}"),
            ("5.0", "Infinity"),
            ("200", f"{HUGE}"),
            ("16384", f"{HUGE}"),
            ('"look"', '"\\ud800"'),
            ('"svc"]', '"svc"'),
        ):
            changed = text.replace(old, odd, 1)
            with self.subTest(odd=odd[:30]), self.assertRaises(FindingsError):
                decode_desired_state(changed.encode())
        for split in ("5", '"x"', f'[{{"service": "svc", "weight": {HUGE}}}]', DEEP):
            odd = text.replace('"service"]', '"trafficSplit"]', 1)
            odd = odd.replace('"400ms", "svc"', f'"400ms", {split}', 1)
            with self.subTest(split=split[:30]), self.assertRaises(FindingsError):
                decode_desired_state(odd.encode())

    def test_odd_rows_of_hosts_are_ignored(self):
        """Guards against hosts without an address that datagrams can be sent to."""
        for value in (
            cbor2.dumps(["no address", "east-a"]),
            cbor2.dumps(["10.0.0.1", "\n"]),
            cbor2.dumps(HUGE),
            b"\x81" * 100_000,
            b"",
        ):
            self.assertIsNone(decode_daemon(RowChange("h1", value, 1)))

    def test_odd_pages_and_messages_of_neighbours_are_refused(self):
        """Guards against neighbours that end a daemon."""
        for page in ([1, True, 0.0, [["k", b"v", float("inf")]]], [HUGE], DEEP):
            with self.assertRaises(ValueError):
                decode_page(zlib.compress(cbor2.dumps(page)))
        with self.assertRaises(ValueError):
            decode_page(zlib.compress(b"\x81" * 100_000))
        report = [3, "h", 1, "east-a", 1, 0.0, {}, False, True, {}, {}, [], []]
        decode_message(cbor2.dumps(report))
        for index, odd in ((5, float("nan")), (5, HUGE), (2, HUGE), (4, HUGE)):
            changed = [*report[:index], odd, *report[index + 1 :]]
            with self.subTest(odd=odd), self.assertRaises(MessageError):
                decode_message(cbor2.dumps(changed))
        for odd in (HUGE, float("inf")):
            observed = [["i-1", 0, odd, 0, 1.0, -1.0]], [["i-1", 0, 1, 0, odd, -1.0]]
            for observations in observed:
                changed = [*report[:11], observations, []]
                with self.assertRaises(MessageError):
                    decode_message(cbor2.dumps(changed))
        for message in ([2, [["h", "no address", "east-a"]]], b"\x81" * 60_000):
            data = message if isinstance(message, bytes) else cbor2.dumps(message)
            with self.assertRaises(MessageError):
                decode_message(data)

    def test_odd_numbers_in_headers_do_not_fail_the_answer(self):
        """Guards against a server whose header turns its answers into errors."""
        req = CallerRequest(
            "GET", "/x", "h", [], id=b"q", received_s=0.0, time_left_s=None
        )
        for digits in (b"9" * 400, b"9" * 5000, b"\xb2"):
            headers = [
                (b"crocusward-response-signature", b"s"),
                (b"crocusward-server-load", b"1,2,3," + digits),
                (b"crocusward-server-load", digits + b",2,3"),
                (b"crocusward-warmup-remaining-ms", digits),
                (b"keep-alive", b"timeout=" + digits),
            ]
            answer = HttpAnswer(200, headers, b"")
            exchange = _read_answer("i-1", answer, req)
            self.assertIs(exchange.observation.kind, ObservationKind.ANSWERED)
            self.assertEqual(exchange.observation.slowdown, 0.0)
            self.assertLess(exchange.observation.cold_left_s, 1e6)
            self.assertIsNone(_parse_keep_alive_s(answer))

    def test_odd_numbers_in_contracts_are_findings(self):
        """Guards against documents of the own interface that end the reader."""
        for value in (f"{HUGE}", "inf", "nan"):
            table = tomllib.loads(f"b = {value}\n")
            findings = FindingList("odd.toml")
            Section(table, findings).number("b", low=0.0, high=1.0)
            self.assertTrue(findings.items)


class WholeDaemonTest(unittest.TestCase):
    def test_daemons_follow_the_store_past_odd_entries(self):
        """Guards against daemons that end, or read one page for ever."""
        fleet = WholeFleet(1, 3)
        self.addCleanup(fleet.close)
        fleet.add_servers(6)
        fleet.network.advance(1.0)
        texts = list(odd_entries())
        random.Random(1).shuffle(texts)
        with self.assertNoLogs("asyncio", "ERROR"):
            for number, text in enumerate(texts):
                fleet.store.put("servers", f"odd-{number}", text)
                if number % 8 == 0:
                    fleet.store.put("op", "config", text)
                    fleet.network.advance(0.3)
            for key in ("a\nb", "\ud800", ""):
                fleet.store.put("servers", key, json.dumps(ENTRY).encode())
                fleet.store.put("crocusward-hosts", key, b"\x81" * 1000)
            fleet.network.advance(2.0)
            version = fleet.write_state()
            fleet.add_servers(2)
            fleet.network.run_until_complete(fleet.start("host-west-a-002"))
            fleet.network.advance(4.0)
        self.assertEqual(fleet.late_hosts(version), [])
        for host in fleet.hosts.values():
            self.assertEqual(set(host.directory.backends), set(fleet.servers))
        items = [fleet.ask(f"/look/{number}") for number in range(20)]
        fleet.network.advance(2.0)
        self.assertEqual([item.status for item in items], [200] * 20)


if __name__ == "__main__":
    unittest.main()
