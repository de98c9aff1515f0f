"""The servers that may run a request, as the placer rates them."""

from ._load import BackendLoad
from ._service_times import ServiceTimeModel

COLD_FACTOR = 2.0  # work on a cold server takes about twice as long


class Candidate:
    """A server with room, and what a request may expect there.

    Attributes:
        load: The server.
        count: Requests there.
        time_s: Expected time of the request.
        score_s: The time and the cost of the choice for others.
        best_s: The same if the machine has a good pace now.
        lost_s: Time that is lost because of the pace, as far as known.
        is_stale: Whether its pace may have changed since the last report.
    """

    __slots__ = ("load", "count", "time_s", "score_s", "best_s", "lost_s", "is_stale")

    def __init__(
        self, load: BackendLoad, count: float, time_s: float, score_s: float
    ) -> None:
        self.load = load
        self.count = count
        self.time_s = time_s
        self.score_s = score_s
        self.best_s = score_s
        self.lost_s = 0.0
        self.is_stale = False


class CandidateSet:
    """The servers that may run a request.

    Attributes:
        sharing: How much longer work takes on a server that is shared.
        pace: Usual pace of the machines.
        good_pace: Pace that the better machines often have.
        reports_pace: Whether the servers report the pace of their machines.
        usable: Servers that may run it, also those that are full.
        near_by: Those of them in this group.
        idle: Those of them without a request.
        rate: Requests that the near ones finish within the time of one.
        candidates: Servers with room, the best first.
    """

    __slots__ = (
        "concurrency_slowdown",
        "pace",
        "good_pace",
        "reports_pace",
        "usable",
        "usable_in_group",
        "idle",
        "rate",
        "candidates",
    )

    def __init__(self, times: ServiceTimeModel, service: str) -> None:
        self.concurrency_slowdown = times.concurrency_slowdown(service)
        self.pace = times.mean_slowdown(service)
        self.good_pace = times.low_slowdown(service)
        self.reports_pace = times.has_slowdown_reports(service)
        self.usable = 0
        self.usable_in_group = 0
        self.idle = 0
        self.rate = 0.0
        self.candidates: list[Candidate] = []

    def count(
        self, load: BackendLoad, in_flight: float, is_own: bool, now_s: float
    ) -> None:
        """Count a usable server."""
        self.usable += 1
        self.idle += in_flight < 1.0
        if is_own:
            self.usable_in_group += 1
            cold = COLD_FACTOR if load.is_cold(now_s) else 1.0
            slower = self.concurrency_slowdown * cold * max(1.0, load.latency_ratio(now_s))
            self.rate += load.entry.slots / slower
