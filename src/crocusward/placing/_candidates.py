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
        optimistic_score_s: The same if the machine has a good pace now.
        slowdown_loss_s: Time that is lost because of the pace, as far as known.
        has_stale_slowdown: Whether its pace may have changed since the last report.
    """

    __slots__ = (
        "load",
        "count",
        "time_s",
        "score_s",
        "optimistic_score_s",
        "slowdown_loss_s",
        "has_stale_slowdown",
    )

    def __init__(
        self, load: BackendLoad, count: float, time_s: float, score_s: float
    ) -> None:
        self.load = load
        self.count = count
        self.time_s = time_s
        self.score_s = score_s
        self.optimistic_score_s = score_s
        self.slowdown_loss_s = 0.0
        self.has_stale_slowdown = False


class CandidateSet:
    """The servers that may run a request.

    Attributes:
        sharing: How much longer work takes on a server that is shared.
        pace: Usual pace of the machines.
        low_slowdown: Pace that the better machines often have.
        has_slowdown_reports: Whether the servers report the pace of their machines.
        usable: Servers that may run it, also those that are full.
        near_by: Those of them in this group.
        idle: Those of them without a request.
        rate: Requests that the near ones finish within the time of one.
        candidates: Servers with room, the best first.
    """

    __slots__ = (
        "concurrency_slowdown",
        "mean_slowdown",
        "low_slowdown",
        "has_slowdown_reports",
        "usable_count",
        "usable_in_group",
        "idle_count",
        "completion_rate",
        "candidates",
    )

    def __init__(self, times: ServiceTimeModel, service: str) -> None:
        self.concurrency_slowdown = times.concurrency_slowdown(service)
        self.mean_slowdown = times.mean_slowdown(service)
        self.low_slowdown = times.low_slowdown(service)
        self.has_slowdown_reports = times.has_slowdown_reports(service)
        self.usable_count = 0
        self.usable_in_group = 0
        self.idle_count = 0
        self.completion_rate = 0.0
        self.candidates: list[Candidate] = []

    def add_usable(
        self, load: BackendLoad, in_flight: float, is_own: bool, now_s: float
    ) -> None:
        """Count a usable server."""
        self.usable_count += 1
        self.idle_count += in_flight < 1.0
        if is_own:
            self.usable_in_group += 1
            cold = COLD_FACTOR if load.is_cold(now_s) else 1.0
            slower = (
                self.concurrency_slowdown * cold * max(1.0, load.latency_ratio(now_s))
            )
            self.completion_rate += load.entry.slots / slower
