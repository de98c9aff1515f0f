"""The randomised run: clean without a fault, failing with each planted one."""

import unittest

from crocusward.devtools.soak.__main__ import FAULTS, run_round
from crocusward.devtools.soak._machine import Totals, ViolationsFound
from crocusward.invariants import InvariantName

INVARIANT_OF_FAULT = {
    "cross-answers": InvariantName.OWN_ANSWER,
    "cut-on-stop": InvariantName.GRACEFUL_STOP,
    "double-dispatch": InvariantName.AT_MOST_ONCE,
    "false-not-run": InvariantName.NOT_RUN,
    "forget-crashes": InvariantName.CRASHING_REQUEST,
    "hand-out-gaps": InvariantName.BACKEND_LEAVING,
    "ignore-cold-rate": InvariantName.COLD_START,
    "ignore-drain": InvariantName.DATA_CENTRE_OUT,
    "ignore-leaving": InvariantName.BACKEND_LEAVING,
    "ignore-rate-limit": InvariantName.RATE_LIMIT,
    "leak-region": InvariantName.RESIDENCY,
    "overload-cold": InvariantName.COLD_START,
    "probe-flood": InvariantName.PROBE_BUDGET,
    "reuse-tokens": InvariantName.SERVICE,
    "revert-config": InvariantName.CONFIG_MONOTONIC,
    "trust-kept-connections": InvariantName.CONFIG_IN_TIME,
    "trust-restored-rows": InvariantName.CONFIG_MONOTONIC,
}
MAX_ROUNDS = 12  # a planted fault needs the right event to show


class SoakTest(unittest.TestCase):
    def test_run_without_a_fault_is_clean(self):
        """Guards against a broken promise, and against checks that cry wolf."""
        totals = Totals()
        run_round(4001, totals, frozenset())
        self.assertEqual(totals.violations.total(), 0, totals.details)
        self.assertEqual(totals.errors, [])

    def test_each_planted_fault_is_caught_by_its_own_invariant(self):
        """Guards against an invariant that no longer checks anything."""
        self.assertEqual(set(FAULTS), set(INVARIANT_OF_FAULT))
        for fault, name in INVARIANT_OF_FAULT.items():
            with self.subTest(fault=fault):
                self.assertIn(name, self.run_until_caught(fault))

    def run_until_caught(self, fault):
        totals = Totals()
        for seed in range(MAX_ROUNDS):
            try:
                run_round(5000 + seed, totals, frozenset({fault}))
            except ViolationsFound:
                return totals.violations
        return totals.violations
