"""Tests of the codec, the validation and the replica of the configuration."""

import random
import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusward.config import (
    Change,
    ChangeDraft,
    DeleteContract,
    DeleteCustomer,
    DeleteService,
    PutContract,
    PutCustomer,
    PutDataCentre,
    PutService,
    ReleaseHold,
    Replica,
    SetDataCentreState,
    SetHostState,
    Snapshot,
    decode_row,
    decode_snapshot,
    encode_row,
    encode_snapshot,
    validate_draft,
)
from crocusward.config._row import ROOT_DIGEST
from crocusward.errors import CrocusError
from crocusward.invariants import Invariants
from crocusward.model import (
    Contract,
    ContractLimits,
    Customer,
    DataCentre,
    HomeRegions,
    Route,
    Service,
    ServiceLevel,
    ServiceState,
)

from .state_fakes import basic_operations

names = st.sampled_from(["a", "b", "c", "d"])
name_sets = st.frozensets(names, max_size=3)
numbers = st.floats(0, 1e6)
states = st.sampled_from(list(ServiceState))
routes = st.builds(
    Route, names, st.just("POST"), st.just("/x"), st.booleans(), name_sets
)
contracts = st.builds(
    Contract,
    names,
    names,
    name_sets,
    limits=st.builds(ContractLimits, rate=numbers, in_flight=st.integers(1, 9**9)),
    home=st.builds(HomeRegions, name_sets, name_sets),
    routes=st.lists(routes, max_size=2).map(tuple),
    level=st.builds(ServiceLevel, availability=st.floats(0, 1)),
    caller_key_sha256=st.sampled_from(["", "ab" * 32]),
    weight=numbers,
)
operations = st.one_of(
    st.builds(PutContract, contracts),
    st.builds(DeleteContract, names),
    st.builds(PutCustomer, st.builds(Customer, names, names)),
    st.builds(DeleteCustomer, names),
    st.builds(PutService, st.builds(Service, names)),
    st.builds(DeleteService, names),
    st.builds(PutDataCentre, st.builds(DataCentre, names, names, states)),
    st.builds(SetDataCentreState, names, states),
    st.builds(SetHostState, names, states),
    st.builds(ReleaseHold, names),
)
operation_lists = st.lists(operations, min_size=1, max_size=4).map(tuple)


def make_rows(groups):
    """Return a chain of rows, one for each group of operations."""
    rows, digest = [], ROOT_DIGEST
    for version, ops in enumerate(groups, 1):
        change = Change(version, f"c{version}", version - 1, "operator", 17, ops)
        rows.append(encode_row(change, digest))
        digest = rows[-1].digest
    return rows


class CodecTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None)
    @given(st.lists(operation_lists, min_size=1, max_size=6))
    def test_rows_and_snapshots_survive_encoding(self, groups):
        """Guards against a field that is lost in encoding."""
        replica = Replica(Invariants())
        for row in make_rows(groups):
            self.assertEqual(decode_row(row.data), row)
            replica.receive_rows([row.data])
        again = decode_snapshot(encode_snapshot(replica.snapshot()))
        self.assertEqual(again, Snapshot(replica.config, replica.digest))

    @settings(max_examples=200, deadline=None)
    @given(st.data())
    def test_damaged_rows_raise_only_the_typed_error(self, data):
        """Guards against malformed bytes of a peer that stop the daemon."""
        (row,) = make_rows([basic_operations()])
        raw = bytearray(row.data)
        for _ in range(data.draw(st.integers(1, 4))):
            raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(
                st.integers(0, 255)
            )
        cut = data.draw(st.integers(0, len(raw)))
        for damaged in (bytes(raw), bytes(raw[:cut]), b"\x02" + bytes(raw)):
            for decode in (decode_row, decode_snapshot):
                try:
                    decode(damaged)
                except CrocusError as exc:
                    self.assertEqual(exc.code, "malformed_document")

    def test_unknown_fields_and_operations_are_refused(self):
        """Guards against a change that two versions of crocusward read differently."""
        (row,) = make_rows([(PutCustomer(Customer("a", "t")),)])
        fields = cbor2.loads(row.data[17:])
        extra = [*fields, "more"]
        unknown = [*fields[:5], [["zz", 1]]]
        longer = [*fields[:5], [["cu", ["a", "t", "more"]]]]
        boolean = [True, *fields[1:]]
        for changed in (extra, unknown, longer, boolean, {}, "text"):
            with self.assertRaises(CrocusError) as caught:
                decode_row(row.data[:17] + cbor2.dumps(changed, canonical=True))
            self.assertEqual(caught.exception.code, "malformed_document")
        with self.assertRaisesRegex(CrocusError, "canonical"):
            decode_row(row.data + b"\x00")


class ValidationTest(unittest.TestCase):
    def findings(self, *ops):
        replica = Replica(Invariants())
        setup = (*basic_operations(), self.put(name="old"))
        replica.receive_rows([make_rows([setup])[0].data])
        draft = ChangeDraft("c2", 1, "operator", ops)
        return {
            (f.location.path, f.code) for f in validate_draft(replica.config, draft)
        }

    def put(self, name="new", customer="liit", services=("materjalid",), **options):
        return PutContract(Contract(name, customer, frozenset(services), **options))

    def test_good_changes_have_no_findings(self):
        """Guards against rules that reject valid changes."""
        service = PutService(Service("tellimused"))
        home = HomeRegions(frozenset({"pohja"}), frozenset({"pohja"}))
        route = Route("tellimused", "POST", "/press", False, frozenset({"pohja"}))
        contract = self.put(services=("tellimused",), home=home, routes=(route,))
        self.assertEqual(self.findings(service, contract), set())
        out = SetDataCentreState("pohja-a", ServiceState.OUT)
        self.assertEqual(self.findings(out, SetHostState("h", ServiceState.OUT)), set())

    def test_all_faults_of_a_contract_are_found_together(self):
        """Guards against a report of only the first error."""
        bad = self.put(
            name="-",
            customer="lit",
            services=("materjald",),
            limits=ContractLimits(rate=-1.0, burst=float("nan"), in_flight=2.5),
            home=HomeRegions(frozenset({"polva"})),
            routes=(Route("other", "BREW", "x", True),),
            weight=0.0,
            caller_key_sha256="zz",
        )
        prefix = "operations[0].contract."
        expected = {
            ("name", "bad_name"),
            ("customer", "unknown_name"),
            ("services", "unknown_name"),
            ("limits.rate", "out_of_range"),
            ("limits.burst", "out_of_range"),
            ("limits.in_flight", "wrong_type"),
            ("home.serve", "unknown_region"),
            ("routes[0].service", "service_not_listed"),
            ("routes[0].method", "unknown_name"),
            ("routes[0].prefix", "bad_prefix"),
            ("weight", "out_of_range"),
            ("caller_key_sha256", "bad_digest"),
        }
        self.assertEqual(
            self.findings(bad), {(prefix + path, code) for path, code in expected}
        )

    def test_what_is_in_use_stays(self):
        """Guards against a contract whose service or customer was deleted."""
        self.assertEqual(
            self.findings(DeleteService("materjalid"), DeleteCustomer("liit")),
            {("operations[0].name", "in_use"), ("operations[1].name", "in_use")},
        )
        self.assertEqual(
            self.findings(DeleteContract("old"), DeleteCustomer("liit")), set()
        )

    def test_data_centre_keeps_its_region(self):
        """Guards against a region move that breaks the home regions of requests."""
        moved = PutDataCentre(DataCentre("pohja-a", "louna"))
        self.assertEqual(
            self.findings(moved),
            {("operations[0].data_centre.region", "region_fixed")},
        )


class ReplicaTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None)
    @given(st.lists(operation_lists, min_size=2, max_size=8), st.integers(0, 2**32))
    def test_any_order_of_messages_ends_in_the_same_configuration(self, groups, seed):
        """Guards against reordered, repeated or late rows that change the result."""
        rows = make_rows(groups)
        straight = Replica(Invariants())
        straight.receive_rows([row.data for row in rows])
        mixed = Replica(Invariants())
        seen = []
        mixed.subscribe(lambda old, new: seen.append((old.version, new.version)))
        order = [*rows, *rows]
        random.Random(seed).shuffle(order)
        for row in order:
            mixed.receive_rows([row.data])
        self.assertEqual(mixed.config, straight.config)
        self.assertEqual(mixed.digest, straight.digest)
        steps = [(n - 1, n) for n in range(1, len(rows) + 1)]
        self.assertEqual(seen, steps)

    def test_failing_subscriber_does_not_stop_the_others(self):
        """Guards against a failing listener that blocks the update of the others."""
        errors, seen = [], []
        replica = Replica(Invariants(), on_error=errors.append)
        replica.subscribe(lambda old, new: 1 / 0)
        replica.subscribe(lambda old, new: seen.append(new.version))
        replica.receive_rows([make_rows([basic_operations()])[0].data])
        self.assertEqual((len(errors), seen), (1, [1]))

    def test_old_snapshot_is_ignored(self):
        """Guards against a late snapshot that reverts changes."""
        rows = make_rows([basic_operations(), (ReleaseHold("h"),)])
        replica = Replica(Invariants())
        replica.receive_rows([rows[0].data])
        old = encode_snapshot(replica.snapshot())
        replica.receive_rows([rows[1].data])
        self.assertEqual(replica.receive_rows([old]), 0)
        self.assertEqual(replica.version, 2)
