"""Candidate backend servers of one selection, with their scores."""

import math

from ._load import BackendLoad
from ._service_times import ServiceTimeModel

COLD_FACTOR = 2.0  # a cold server takes about twice as long for a request


class Candidate:
    """A backend server with a free slot, and its score for one request.

    Attributes:
        load: Load of the server.
        in_flight: Known or estimated requests in flight there.
        expected_s: Expected time of the request.
        score_s: Expected time plus penalties for costs to others; lowest is best.
        optimistic_score_s: The score if the machine's slowdown is low now.
        slowdown_loss_s: Part of the expected time above that at a low slowdown.
        has_stale_slowdown: Whether its slowdown may have changed since the last report.
    """

    __slots__ = (
        "load",
        "in_flight",
        "expected_s",
        "score_s",
        "optimistic_score_s",
        "slowdown_loss_s",
        "has_stale_slowdown",
    )

    def __init__(
        self, load: BackendLoad, in_flight: float, expected_s: float, score_s: float
    ) -> None:
        self.load = load
        self.in_flight = in_flight
        self.expected_s = expected_s
        self.score_s = score_s
        self.optimistic_score_s = score_s
        self.slowdown_loss_s = 0.0
        self.has_stale_slowdown = False


class CandidateSet:
    """The backend servers that may run one request.

    Attributes:
        concurrency_slowdown: Slowdown of requests that fill a server's slots.
        mean_slowdown: Mean slowdown of the service's machines.
        low_slowdown: Slowdown that the faster machines often have.
        has_slowdown_reports: Whether the servers report the slowdown of their machines.
        usable_count: Number of servers that may run it, including full ones.
        usable_in_group: Number of usable servers in this group.
        count_idle: Number of usable servers without a request.
        limited_count: Number of usable servers in this group with a limited rate, cold
            ones included.
        without_permit_count: Number of those that may get no request now.
        cold_count: Number of usable servers in this group that are cold.
        warm_in_s: Time until the first of those is warm, in seconds.
        completions_per_service_time: Requests that this group completes in one
            service time.
        candidates: Servers with a free slot, in the end by rising score.
    """

    __slots__ = (
        "concurrency_slowdown",
        "mean_slowdown",
        "low_slowdown",
        "has_slowdown_reports",
        "usable_count",
        "usable_in_group",
        "count_idle",
        "limited_count",
        "without_permit_count",
        "cold_count",
        "warm_in_s",
        "completions_per_service_time",
        "candidates",
    )

    def __init__(self, service_times: ServiceTimeModel, service: str) -> None:
        self.concurrency_slowdown = service_times.concurrency_slowdown(service)
        self.mean_slowdown = service_times.mean_slowdown(service)
        self.low_slowdown = service_times.low_slowdown(service)
        self.has_slowdown_reports = service_times.has_slowdown_reports(service)
        self.usable_count = 0
        self.usable_in_group = 0
        self.count_idle = 0
        self.limited_count = 0
        self.without_permit_count = 0
        self.cold_count = 0
        self.warm_in_s = math.inf
        self.completions_per_service_time = 0.0
        self.candidates: list[Candidate] = []

    def add_usable(
        self,
        load: BackendLoad,
        in_flight: float,
        is_own_group: bool,
        now_s: float,
        *,
        max_completions: float = math.inf,
        has_permit: bool = True,
    ) -> None:
        """Count a usable server.

        Args:
            load: The server.
            in_flight: Requests in flight there.
            is_own_group: Whether it belongs to this group.
            now_s: Monotonic time.
            max_completions: Requests in one service time that its rate limit allows.
            has_permit: Whether its rate limit allows a request now.
        """
        self.usable_count += 1
        self.count_idle += in_flight < 1.0 and has_permit
        if is_own_group:
            self.usable_in_group += 1
            cold_factor = 1.0
            if load.is_cold(now_s):
                cold_factor = COLD_FACTOR
                self.cold_count += 1
                self.warm_in_s = min(self.warm_in_s, load.cold_until_s - now_s)
            latency_factor = (
                self.concurrency_slowdown
                * cold_factor
                * max(1.0, load.latency_ratio(now_s))
            )
            self.completions_per_service_time += min(
                load.entry.slots / latency_factor, max_completions
            )
            self.limited_count += max_completions < math.inf
            self.without_permit_count += not has_permit
