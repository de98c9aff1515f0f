"""Files under examples/ and commands in the pages for operators."""

import io
import random
import re
import shlex
import unittest
from pathlib import Path

from crocusward.cli import Tool
from crocusward.cli._main import build_app
from crocusward.documents import (
    ContractDocument,
    FindingList,
    ServiceCapacity,
    check_contract,
)
from crocusward.model import Backend, FleetConfig
from crocusward.settings import load_settings

ROOT = Path(__file__).resolve().parent.parent
# Backend servers in each data centre, and an assumed service time, in seconds.
SIZES = {
    "binders": {"materjalid": (6, 0.02), "tellimused": (2, 0.05)},
    "siam-chainlube": {"rider-portal": (5, 0.02), "billing-desk": (2, 0.05)},
}


def read(name, part):
    path = ROOT / "examples" / name / part
    return ContractDocument.parse(path.read_text(encoding="utf-8"), part)


class ExampleTest(unittest.TestCase):
    def test_contracts_of_the_examples_can_be_met(self):
        """Guards against examples that the administration API refuses."""
        for name, services in SIZES.items():
            topology, document = (
                read(name, "topology.toml"),
                read(name, "contracts.toml"),
            )
            cfg = FleetConfig(
                customers={item.name: item for item in topology.customers},
                services={item.name: item for item in topology.services},
                data_centres={item.name: item for item in topology.data_centres},
            )
            backends = [
                Backend(f"{s}-{dc.name}-{n}", s, dc.region, dc.name, "127.0.0.1", 1)
                for s, (count, _) in services.items()
                for dc in topology.data_centres
                for n in range(count)
            ]
            times = {s: time_s for s, (_, time_s) in services.items()}
            findings = FindingList(name)
            for contract in document.contracts:
                check_contract(
                    contract,
                    cfg,
                    ServiceCapacity(backends, times),
                    findings,
                    contract.name,
                )
            self.assertEqual([str(item) for item in findings.items], [])
            settings = load_settings(ROOT / "examples" / name / "settings.toml")
            for data_centre in topology.data_centres:
                region = settings.fleet.region_of(data_centre.name)
                self.assertEqual(region, data_centre.region)

    def test_non_idempotent_traffic_is_marked(self):
        """Guards against a reservation, job, order or charge that may run twice."""
        cases = (
            ("binders", "leather-reservations", "materjalid", "/reservations/7"),
            ("binders", "binding-jobs", "tellimused", "/jobs"),
            ("binders", "graduation-albums", "tellimused", "/jobs"),
            ("siam-chainlube", "order-changes", "billing-desk", "/orders/1/date"),
            ("siam-chainlube", "card-charges", "billing-desk", "/charges"),
        )
        for name, contract_name, service, path in cases:
            contracts = {c.name: c for c in read(name, "contracts.toml").contracts}
            contract = contracts[contract_name]
            for method in ("POST", "PUT", "DELETE", "PATCH"):
                self.assertFalse(contract.is_idempotent(service, method, path))
            self.assertTrue(contract.is_idempotent(service, "GET", path))

    def test_commands_in_the_pages_exist(self):
        """Guards against pages that name commands or options that do not exist."""
        tool = Tool(io.StringIO(), io.StringIO(), {}, random.Random(1))
        app = build_app(tool)
        pages = [*(ROOT / "docs" / "operators").glob("*.md"), ROOT / "docs/settings.md"]
        seen = 0
        for page in pages:
            text = page.read_text(encoding="utf-8")
            for line in re.findall(r"^ {4,}crocusward ([^>\n]+)", text, re.MULTILINE):
                words = shlex.split(line, comments=True)
                words = ["7" if word == "NUMBER" else word for word in words]
                options = {"exit_on_error": False, "print_error": False}
                _, bound, _ = app.meta.parse_args(words, **options)
                app.parse_args(bound.args, **options)
                seen += 1
        self.assertGreater(seen, 20)
