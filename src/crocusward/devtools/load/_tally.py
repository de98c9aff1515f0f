"""Counts of outcomes, checked against what the backend servers ran."""

from collections import Counter

from ...metrics import LatencyRecorder
from ..deployment import CallShape
from ._caller import CallOutcome


class Tally:
    """Keeps outcomes and their latencies.

    Attributes:
        outcomes: All outcomes, in order of their end.
    """

    __slots__ = ("outcomes", "latency")

    def __init__(self) -> None:
        self.outcomes: list[CallOutcome] = []
        self.latency = LatencyRecorder()

    def add(self, outcome: CallOutcome) -> None:
        """Add an outcome."""
        self.outcomes.append(outcome)
        if outcome.code == "answered":
            self.latency.record(outcome.latency_s)

    def by_region(self) -> dict[str, Counter[str]]:
        """Return counts of "kind code" by region."""
        regions: dict[str, Counter[str]] = {}
        for item in self.outcomes:
            kind = "idempotent" if item.shape.idempotent else "non-idempotent"
            regions.setdefault(item.region, Counter())[f"{kind} {item.code}"] += 1
        return regions

    def failed(self) -> int:
        """Return the number of calls without an answer."""
        return sum(1 for item in self.outcomes if item.code != "answered")

    def check(self, executions: list[dict], shapes: list[CallShape]) -> dict[str, int]:
        """Compare outcomes with executions.

        Returns:
            ``doubled``: non-idempotent requests that ran more than once;
            ``lost``: answered requests that never ran; ``false_not_run``: requests
            refused as not-run that ran; ``misplaced``: requests that ran outside
            the regions of their clients although these are their home regions.
        """
        runs: Counter[str] = Counter()
        regions: dict[str, set[str]] = {}
        for row in executions:
            name = row["key"] or row["request_id"]
            runs[name] += 1
            regions.setdefault(name, set()).add(row["region"])
        result = {"doubled": 0, "lost": 0, "false_not_run": 0, "misplaced": 0}
        for item in self.outcomes:
            name = item.key or item.request_id
            ran = runs[name]
            result["doubled"] += not item.shape.idempotent and ran > 1
            result["lost"] += item.code == "answered" and ran == 0
            result["false_not_run"] += item.outcome == "not-run" and ran > 0
            home = set(item.shape.regions)
            result["misplaced"] += bool(home and regions.get(name, set()) - home)
        return result
