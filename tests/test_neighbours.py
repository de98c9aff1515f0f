"""Codec of the messages between daemons, and choice of the store reader."""

import asyncio
import unittest

import cbor2

from crocusward.desired import EntryHost, TablePosition
from crocusward.devtools.entry_soak import LimitedFleet, make_servers
from crocusward.logs import EventSampler
from crocusward.neighbours import (
    BackendObservation,
    Hello,
    HostReport,
    MemberList,
    MessageError,
    NeighbourEndpoint,
    NeighbourTable,
    ObservationKind,
    ReadTimes,
    decode_message,
    encode_message,
)
from crocusward.neighbours._table import TAKEOVER_STEP_S


def at(version, era=0):
    return TablePosition(era, version)


def report(host, seq=1, *, age_s=0.1, incarnation=1, **options):
    return HostReport(
        host,
        incarnation,
        "east-a",
        seq,
        store_age_s=age_s,
        positions=options.pop("positions", {"op": at(3)}),
        **options,
    )


class CodecTest(unittest.TestCase):
    def test_round_trip(self):
        """Guards against fields that are lost or reordered by the codec."""
        observed = [BackendObservation("b1", ObservationKind.FAILED, 2, 1, 5.0, 0.5)]
        messages = [
            report("h1", in_flight={"b1": 2}, observations=observed, is_complete=True),
            report("h1", positions={"op": at(-1), "servers": at(7, era=2)}),
            Hello(EntryHost("h1", "10.0.0.1", "east-a"), 3),
            MemberList([EntryHost("h1", "10.0.0.1", "east-a")]),
        ]
        for message in messages:
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_malformed_datagrams_are_rejected(self):
        """Guards against a datagram that raises another exception in the daemon."""
        malformed = [
            b"",
            b"\xff\xff",
            cbor2.dumps(7),
            cbor2.dumps([]),
            cbor2.dumps([9]),
            cbor2.dumps([1, 2, 3, 4]),
            cbor2.dumps([2, [["a"]]]),
            cbor2.dumps([3, "h"]),
            cbor2.dumps([3, "h", 1, "d", 1, 0.0, {"op": "x"}, 0, 0, {}, {}, []]),
            cbor2.dumps([3, "h", 1, "d", 1, 0.0, {}, 0, 0, {"b": -1}, {}, []]),
            cbor2.dumps([3, "h", 1, "d", 1, 0.0, {}, 0, 0, {}, {}, [["b", 99]]]),
        ]
        for data in malformed:
            with self.subTest(data), self.assertRaises(MessageError):
                decode_message(data)


class ReportOrderTest(unittest.TestCase):
    def test_older_report_is_dropped(self):
        """Guards against a reordered datagram that overwrites newer state."""
        table = NeighbourTable("h1", ReadTimes(2.0))
        self.assertIsNotNone(table.apply_report(report("h2", 5), "a", 0.0))
        self.assertIsNone(table.apply_report(report("h2", 4), "a", 0.1))

    def test_restart_resets_the_sequence(self):
        """Guards against ignoring reports of a restarted neighbour."""
        table = NeighbourTable("h1", ReadTimes(2.0))
        table.apply_report(report("h2", 50), "a", 0.0)
        self.assertIsNotNone(
            table.apply_report(report("h2", 1, incarnation=2), "a", 0.1)
        )
        self.assertIsNone(table.apply_report(report("h2", 51), "a", 0.2))

    def test_lower_incarnation_after_silence_is_accepted(self):
        """Guards against ignoring a host whose clock was set back before a restart."""
        table = NeighbourTable("h1", ReadTimes(2.0))
        table.apply_report(report("h2", 5, incarnation=9), "a", 0.0)
        self.assertIsNone(table.apply_report(report("h2", 1, incarnation=8), "a", 0.5))
        self.assertIsNotNone(
            table.apply_report(report("h2", 2, incarnation=8), "a", 2.0)
        )


class ReaderTest(unittest.TestCase):
    def is_reader(self, table, now_s, own_answered_s=-1e9):
        return table.is_reader(now_s, own_answered_s)

    def test_first_in_rank_reads(self):
        """Guards against a data centre without a reader."""
        self.assertTrue(self.is_reader(NeighbourTable("h1", ReadTimes(2.0)), 0.0))
        table = NeighbourTable("h1", ReadTimes(2.0))
        table.apply_report(report("h2"), "a", 0.0)
        self.assertTrue(self.is_reader(table, 0.0))

    def test_others_do_not_read_while_the_first_reads(self):
        """Guards against every host calling the store."""
        table = NeighbourTable("h2", ReadTimes(2.0))
        table.apply_report(report("h1"), "a", 0.0)
        self.assertFalse(self.is_reader(table, 0.5))

    def test_silent_reader_is_replaced(self):
        """Guards against missed changes after the reader hung."""
        table = NeighbourTable("h2", ReadTimes(2.0))
        table.apply_report(report("h1"), "a", 0.0)
        self.assertTrue(self.is_reader(table, 1.1))

    def test_reader_that_lost_the_store_is_replaced(self):
        """Guards against missed changes after the reader lost its connection."""
        table = NeighbourTable("h2", ReadTimes(2.0))
        for step in range(12):
            now_s = 0.25 * step
            table.apply_report(report("h1", step, age_s=0.1 + now_s), "a", now_s)
            if now_s < 0.9:
                self.assertFalse(self.is_reader(table, now_s), now_s)
        self.assertTrue(self.is_reader(table, 1.6))

    def test_next_in_rank_waits_for_the_one_before(self):
        """Guards against all hosts taking over at once."""
        second = NeighbourTable("h2", ReadTimes(2.0))
        third = NeighbourTable("h3", ReadTimes(2.0))
        for step in range(8):
            now_s = 0.2 * step
            for table in (second, third):
                table.apply_report(report("h1", step, age_s=now_s), "a", now_s)
            third.apply_report(report("h2", step, age_s=now_s), "a", now_s)
        takeover_age_s = ReadTimes(2.0).takeover_age_s
        self.assertFalse(self.is_reader(second, takeover_age_s))
        self.assertTrue(self.is_reader(second, takeover_age_s + TAKEOVER_STEP_S))
        self.assertFalse(self.is_reader(third, takeover_age_s + TAKEOVER_STEP_S))

    def test_a_reader_is_replaced_within_the_bound(self):
        """Guards against a takeover too late for changes to be in force in time."""
        for bound_s in (2.0, 3.0, 9.0):
            times = ReadTimes(bound_s)
            read_s = 0.1  # one read, and passing the rows on
            takeover_s = times.takeover_age_s + 2 * TAKEOVER_STEP_S + read_s
            self.assertLess(takeover_s, bound_s)
            self.assertLess(
                times.long_poll_s + times.answer_margin_s + 2 * read_s, bound_s
            )
            self.assertGreater(times.takeover_age_s, times.long_poll_s + 0.3)

    def test_rows_stay_current_while_newer_ones_are_fetched(self):
        """Guards against a whole group reading the store at each change."""
        table = NeighbourTable("h2", ReadTimes(2.0))
        self.assertLess(table.update_current_s({"op": at(3)}, 0.0), -1e6)
        table.apply_report(
            report("h1", 1, age_s=0.1, positions={"op": at(3)}), "a", 5.0
        )
        self.assertAlmostEqual(table.update_current_s({"op": at(3)}, 5.0), 4.9)
        table.apply_report(
            report("h1", 2, age_s=0.0, positions={"op": at(5)}), "a", 5.5
        )
        self.assertAlmostEqual(table.update_current_s({"op": at(3)}, 5.5), 4.9)
        self.assertAlmostEqual(table.update_current_s({"op": at(5)}, 5.6), 5.5)

    def test_newest_rows_are_found(self):
        """Guards against pulling rows from a neighbour without newer ones."""
        table = NeighbourTable("h1", ReadTimes(2.0))
        table.apply_report(report("h2", positions={"op": at(3)}), "a", 0.0)
        table.apply_report(report("h3", positions={"op": at(5)}), "b", 0.0)
        self.assertEqual(table.list_sources("op", at(4), 0.1)[0].host, "h3")
        self.assertEqual(table.list_sources("op", at(5), 0.1), [])

    def test_rows_of_a_later_era_are_newer(self):
        """Guards against a source whose versions are of a history that was lost."""
        table = NeighbourTable("h1", ReadTimes(2.0))
        table.apply_report(report("h2", positions={"op": at(3, era=2)}), "a", 0.0)
        self.assertLess(table.update_current_s({"op": at(50, era=1)}, 0.1), -1e6)
        table.apply_report(report("h3", positions={"op": at(50, era=1)}), "b", 0.0)
        self.assertEqual(table.list_sources("op", at(50, era=1), 0.1)[0].host, "h2")
        self.assertEqual(table.list_sources("op", at(3, era=2), 0.1), [])


class EndpointTest(unittest.IsolatedAsyncioTestCase):
    async def test_send_after_close_is_ignored(self):
        """Guards against an error from a report that was due when the host stopped."""
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        endpoint = NeighbourEndpoint(lambda *_: None, EventSampler(loop.time, 0))
        await endpoint.start("127.0.0.1", 0)
        endpoint.close()
        await asyncio.sleep(0.01)
        endpoint.send(Hello(EntryHost("h1", "127.0.0.1", "east-a"), 1), ["127.0.0.1"])
        self.assertEqual((errors, endpoint.sent_count), ([], 0))


class HubTest(unittest.TestCase):
    def test_new_neighbour_does_not_take_the_observations_of_the_others(self):
        """Guards against observations that only the host being greeted receives."""
        fleet = LimitedFleet(1, make_servers(3, 0.0, 1.0), hosts_per_data_centre=2)
        self.addCleanup(fleet.close)
        hub = fleet.hosts["host-east-a-0"].hub
        known = fleet.hosts["host-east-a-1"].address
        sent = []
        hub._endpoint.send = lambda message, to: sent.append((message, list(to)))
        seen = BackendObservation("i-000", ObservationKind.FAILED)
        hub._observations.append(seen)
        hub.add_hosts([EntryHost("host-east-a-9", "10.9.0.9", "east-a")])
        hub._send_changes()
        got = [m for m, to in sent if isinstance(m, HostReport) and known in to]
        self.assertEqual([item.observations for item in got], [[seen]])
