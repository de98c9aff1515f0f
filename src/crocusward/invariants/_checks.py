"""Run-time checks of the guarantees to users, with counts of violations."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from ..model import Record

MAX_RECORDED_VIOLATIONS = 100


class InvariantName(StrEnum):
    """Name of each guarantee of the design; the values are stable."""

    PROBE_BUDGET = "probe_budget"
    COLD_START = "cold_start"
    DATA_CENTRE_OUT = "data_centre_out"
    RESIDENCY = "residency"
    OWN_ANSWER = "own_answer"
    NOT_RUN = "not_run"
    AT_MOST_ONCE = "at_most_once"
    BACKEND_LEAVING = "backend_leaving"
    GRACEFUL_STOP = "graceful_stop"
    RATE_LIMIT = "rate_limit"
    CONFIG_MONOTONIC = "config_monotonic"
    CONFIG_IN_TIME = "config_in_time"
    CRASHING_REQUEST = "crashing_request"
    SERVICE = "service"


class Violation(Record):
    """One violation of an invariant.

    Attributes:
        name: Which invariant.
        detail: Observed state, without request data.
    """

    __slots__ = ("name", "detail")

    def __init__(self, name: InvariantName, detail: str) -> None:
        self.name = name
        self.detail = detail


class Invariants:
    """Counts checks and violations of one daemon.

    Args:
        on_violation: Called for each violation, for logging.
    """

    __slots__ = ("checks", "violations", "first_violations", "_on_violation")

    def __init__(
        self, on_violation: Callable[[Violation], object] | None = None
    ) -> None:
        self.checks: Counter[InvariantName] = Counter()
        self.violations: Counter[InvariantName] = Counter()
        self.first_violations: list[Violation] = []
        self._on_violation = on_violation

    def check(self, name: InvariantName, is_satisfied: bool, detail: str) -> bool:
        """Count one check and return whether it is satisfied."""
        self.checks[name] += 1
        if not is_satisfied:
            self._record(Violation(name, detail))
        return is_satisfied

    def _record(self, violation: Violation) -> None:
        self.violations[violation.name] += 1
        if len(self.first_violations) < MAX_RECORDED_VIOLATIONS:
            self.first_violations.append(violation)
        if self._on_violation is not None:
            self._on_violation(violation)
