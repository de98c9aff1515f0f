"""Runs randomised deployments for some time and prints one line of JSON."""

import json
import sys
import time
import traceback
import warnings

import cyclopts
import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis.errors import NonInteractiveExampleWarning
from hypothesis.stateful import run_state_machine_as_test

from ...errors import nearest_name
from ...invariants import InvariantName
from ._entry_plays import ENTRY_PLAYS
from ._machine import Totals, ViolationsFound, make_machine

FAULTS = (
    "cross-answers",
    "cut-on-stop",
    "double-dispatch",
    "false-not-run",
    "forget-crashes",
    "hand-out-gaps",
    "ignore-cold-rate",
    "ignore-drain",
    "ignore-leaving",
    "ignore-rate-limit",
    "leak-region",
    "overload-cold",
    "probe-flood",
    "reuse-tokens",
    "revert-config",
    "trust-entry-refusals",
    "trust-kept-connections",
    "trust-restored-rows",
    "trust-unnamed-refusals",
)
NOT_FAULTS = frozenset(
    {
        "entry_requests",
        "requests",
        "changes",
        "operator_conflict",
        "operator_refused",
        "host_start",
    }
)
EXIT_USAGE = 2
EXAMPLES_PER_ROUND = 4
STEPS_PER_EXAMPLE = 60

app = cyclopts.App(help=__doc__)


def run_round(seed: int, totals: Totals, faults: frozenset[str]) -> None:
    """Run some examples with one seed."""
    for name in ENTRY_PLAYS.names():
        if faults <= {name}:
            ENTRY_PLAYS.get(name)(seed, totals, bool(faults))
    machine = make_machine(totals, faults)
    seeded = hypothesis.seed(seed)(machine)
    run_state_machine_as_test(
        seeded,
        settings=settings(
            max_examples=EXAMPLES_PER_ROUND,
            stateful_step_count=STEPS_PER_EXAMPLE,
            deadline=None,
            database=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
            print_blob=False,
        ),
    )


def report(seed: int, totals: Totals, fault: str, rounds: int) -> dict[str, object]:
    """Return the figures of a run."""
    counts = totals.counts
    faults = {k: v for k, v in sorted(counts.items()) if k not in NOT_FAULTS}
    violations = {name.value: totals.violations[name] for name in InvariantName}
    return {
        "seed": seed,
        "fault": fault or None,
        "rounds": rounds,
        "examples": totals.examples,
        "steps": totals.steps,
        "requests": counts["requests"],
        "entry_requests": counts["entry_requests"],
        "changes": counts["changes"],
        "operator_conflicts": counts["operator_conflict"],
        "answers": dict(sorted(totals.answers.items())),
        "faults": faults,
        "errors": totals.errors[:5],
        "violations": violations,
    }


@app.default
def main(*, seed: int = 1, duration: float = 20.0, fault: str = "") -> int:
    """Run for ``duration`` seconds; exit 0 only if no invariant was violated.

    Args:
        seed: Seed of the first round; each round adds one.
        duration: Time to run, in seconds.
        fault: Name of a planted fault, with which the run must fail.
    """
    if fault and fault not in FAULTS:
        near = nearest_name(fault, FAULTS)
        hint = f"; did you mean {near!r}?" if near else ""
        print(f"unknown fault {fault!r}{hint}", file=sys.stderr)
        return EXIT_USAGE
    warnings.simplefilter("ignore", NonInteractiveExampleWarning)
    totals = Totals()
    end_s = time.monotonic() + duration
    rounds = 0
    failed = False
    while not failed and (rounds == 0 or time.monotonic() < end_s):
        try:
            run_round(seed * 1000 + rounds, totals, frozenset({fault} - {""}))
        except Exception as exc:
            failed = True
            if isinstance(exc, ViolationsFound):
                print("\n".join(getattr(exc, "__notes__", ())), file=sys.stderr)
            else:
                traceback.print_exception(exc)
        rounds += 1
    for detail in totals.details[:20]:
        print(detail, file=sys.stderr)
    print(json.dumps(report(seed, totals, fault, rounds)))
    return 1 if failed or totals.violations.total() else 0


if __name__ == "__main__":
    sys.exit(app())
