"""Tests for parsing, validating and comparing configuration documents."""

import unittest

from crocusward.documents import (
    ContractDocument,
    FindingList,
    ServiceCapacity,
    check_contract,
    find_differences,
)
from crocusward.errors import FindingsError
from crocusward.model import (
    Backend,
    Contract,
    ContractLimits,
    Customer,
    DataCentre,
    FleetConfig,
    HomeRegions,
    Route,
    Service,
)

TEXT = """\
[[contracts]]
name = "one"
customer = "guild"
services = ["tellimused"]

[[contracts]]
name = "two"
customer = "guild"
services = ["tellimused"]
[contracts.limits]
rate = -5
[[contracts.routes]]
service = "tellimused"
prefix = "/look"
idempotent = true
[[contracts.routes]]
service = "materjalid"
idempotent = "no"
"""


class DocumentTest(unittest.TestCase):
    def test_findings_in_nested_arrays_have_their_line(self):
        """A finding in a later array element must not get the line of the first."""
        with self.assertRaises(FindingsError) as caught:
            ContractDocument.parse(TEXT, "c.toml")
        seen = [(f.location.line, f.location.path) for f in caught.exception.findings]
        self.assertEqual(
            seen,
            [
                (11, "contracts[1].limits.rate"),
                (17, "contracts[1].routes[1].service"),
                (18, "contracts[1].routes[1].idempotent"),
            ],
        )

    def test_every_field_survives_toml_and_json(self):
        """Guards against a field that the codec does not encode or decode."""
        contract = Contract(
            "two",
            "guild",
            frozenset({"a", "b"}),
            limits=ContractLimits(rate=7.5, burst=2, in_flight=3, deadline_s=4),
            home=HomeRegions(frozenset({"pohja"}), frozenset({"pohja", "louna"})),
            routes=(Route("a", "POST", "/x", True, frozenset({"pohja"})),),
            caller_key_sha256="0f" * 32,
            weight=2.5,
        )
        document = ContractDocument(
            contracts=(contract,),
            customers=(Customer("guild", "press"),),
            services=(Service("a", slots=3),),
            data_centres=(DataCentre("tallinn-a", "pohja"),),
        )
        for text, name in (
            (document.to_toml(), "c.toml"),
            (document.to_json(), "c.json"),
        ):
            self.assertEqual(ContractDocument.parse(text, name), document)

    def test_shadowed_route_is_a_finding(self):
        """Guards against a non-idempotent route shadowed by an earlier, wider one."""
        text = TEXT.replace("-5", "5").replace('"no"', "false")
        text = text.replace("materjalid", "tellimused").replace("/look", "/")
        with self.assertRaisesRegex(FindingsError, r"routes\[0\] matches first"):
            ContractDocument.parse(text, "c.toml")

    def test_infeasible_contract_is_a_finding(self):
        """Guards against accepting a contract under which requests must fail."""
        cfg = FleetConfig(
            customers={"guild": Customer("guild", "press")},
            services={"a": Service("a")},
            data_centres={"d": DataCentre("d", "pohja"), "e": DataCentre("e", "louna")},
        )
        service_capacity = ServiceCapacity(
            [Backend("b1", "a", "louna", "e", "127.0.0.1", 1)], {"a": 0.1}
        )
        contract = Contract(
            "c", "gild", frozenset({"a"}), home=HomeRegions(frozenset({"pohja"}))
        )
        found = FindingList("request")
        check_contract(contract, cfg, service_capacity, found, "contract")
        codes = [item.code for item in found.items]
        self.assertEqual(codes, ["unknown_name", "no_backend"])
        self.assertIn("did you mean 'guild'", found.items[0].message)
        contract = Contract("c", "guild", frozenset({"a"}))
        found = FindingList("request")
        check_contract(contract, cfg, service_capacity, found, "contract")
        self.assertEqual([item.code for item in found.items], ["over_capacity"])

    def test_difference_names_every_changed_field_and_no_other(self):
        """Guards against a dry run that omits part of a change."""
        before = {"a": 1, "b": {"c": 2, "d": [1]}, "r": [{"x": 1}]}
        after = {"a": 1, "b": {"c": 3, "d": [1]}, "r": []}
        shown = [str(item) for item in find_differences("k", before, after)]
        self.assertEqual(shown, ["~ k.b.c: 2 -> 3", "+ k.r = []", "- k.r[0].x = 1"])
