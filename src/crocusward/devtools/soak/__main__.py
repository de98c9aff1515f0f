"""Runs randomised deployments for some time and prints one line of JSON."""

import contextlib
import json
import random
import sys
import time
import traceback
import warnings
from unittest import mock

import cyclopts
import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis.errors import NonInteractiveExampleWarning
from hypothesis.stateful import run_state_machine_as_test

from ...errors import nearest_name
from ...invariants import InvariantName
from ...placing import PermitIssuer
from ..entry_soak import LimitedFleet, make_servers, play_faults
from ._machine import Totals, ViolationsFound, make_machine

FAULTS = (
    "cross-answers",
    "cut-on-stop",
    "double-dispatch",
    "false-not-run",
    "ignore-drain",
    "ignore-leaving",
    "ignore-rate-limit",
    "leak-region",
    "overload-cold",
    "probe-flood",
    "revert-config",
)
NOT_FAULTS = frozenset(
    {
        "rate_limited_requests",
        "requests",
        "changes",
        "operator_conflict",
        "operator_refused",
        "host_start",
    }
)
RATE_LIMIT_FAULT = "ignore-rate-limit"
LIMITED_SERVERS = 12
LIMITED_REQUESTS_PER_S = 40.0
LIMITS_PLAYED_S = 14.0
DATAGRAM_LOSS = 0.02  # share of the datagrams between hosts
EXIT_USAGE = 2
EXAMPLES_PER_ROUND = 4
STEPS_PER_EXAMPLE = 60

app = cyclopts.App(help=__doc__)


def run_round(seed: int, totals: Totals, faults: frozenset[str]) -> None:
    """Run some examples with one seed."""
    if faults <= {RATE_LIMIT_FAULT}:
        play_rate_limits(seed, totals, is_ignored=bool(faults))
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


def play_rate_limits(seed: int, totals: Totals, *, is_ignored: bool) -> None:
    """Play one fleet of entry daemons in front of rate-limited servers.

    Args:
        seed: Seed of the run.
        totals: Collects what was broken.
        is_ignored: Whether the hosts ignore the limits.

    Raises:
        ViolationsFound: A server got more than its limit allows.
    """
    rng = random.Random(seed)
    with contextlib.ExitStack() as stack:
        if is_ignored:
            stack.enter_context(
                mock.patch.object(PermitIssuer, "has_token", lambda *_: True)
            )
        servers = make_servers(LIMITED_SERVERS, 1.0, rng.choice((0.5, 1.0, 3.0)))
        fleet = LimitedFleet(seed, servers, loss=DATAGRAM_LOSS)
        stack.callback(fleet.close)
        play_faults(fleet, seed, LIMITS_PLAYED_S)
        fleet.play(LIMITED_REQUESTS_PER_S, LIMITS_PLAYED_S)
        found = fleet.breaches()
        totals.counts["rate_limited_requests"] += len(fleet.outcomes)
        totals.violations.update(fleet.violations())
    totals.violations[InvariantName.RATE_LIMIT] += len(found)
    totals.details += found[:5]
    if found:
        raise ViolationsFound("; ".join(found[:5]))


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
        "rate_limited_requests": counts["rate_limited_requests"],
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
    return 1 if failed or totals.violations else 0


if __name__ == "__main__":
    sys.exit(app())
