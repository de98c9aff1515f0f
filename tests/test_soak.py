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
    "trust-entry-refusals": InvariantName.AT_MOST_ONCE,
    "trust-kept-connections": InvariantName.CONFIG_IN_TIME,
    "trust-restored-rows": InvariantName.CONFIG_MONOTONIC,
}
# Planted faults that one of several invariants finds first.
INVARIANTS_OF_FAULT = {
    "trust-unnamed-refusals": (InvariantName.AT_MOST_ONCE, InvariantName.NOT_RUN),
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
        names_by_fault = {f: (name,) for f, name in INVARIANT_OF_FAULT.items()}
        names_by_fault |= INVARIANTS_OF_FAULT
        self.assertEqual(set(FAULTS), set(names_by_fault))
        for fault, names in names_by_fault.items():
            with self.subTest(fault=fault):
                found = self.run_until_caught(fault)
                # Plays also leave invariants with a count of 0.
                self.assertGreater(sum(found[name] for name in names), 0)

    def run_until_caught(self, fault):
        totals = Totals()
        for seed in range(MAX_ROUNDS):
            try:
                run_round(5000 + seed, totals, frozenset({fault}))
            except ViolationsFound:
                return totals.violations
        return totals.violations
