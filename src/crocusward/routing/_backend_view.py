"""State of each service and backend server as this host observes it."""

from collections import deque

from ..model import Backend

UNLIMITED = 1 << 30
UNQUEUED_TIME_EWMA_WEIGHT = 0.3
MEAN_SAMPLE_COUNT = 50  # samples that the averages of a service cover
MEAN_EWMA_WEIGHT = 1.0 / MEAN_SAMPLE_COUNT
# Age at which a report of load or latency has half its weight. Shorter and longer ages
# raised the 99th percentile (docs/routing.md).
REPORT_HALF_AGE_S = 0.3
HOT_QUANTILE = 0.84  # as in Prequal
HOT_WINDOW_REPORT_COUNT = 64
HOT_REFRESH_REPORT_COUNT = 16
RECENT_BACKEND_COUNT = 3  # per region; their load reports are the freshest
INITIAL_UNQUEUED_TIME_S = 0.01  # until the first answer
CROSS_REGION_RTT_S = 0.024
MIN_SAMPLE_COUNT = 20  # until then cold servers count for the average time, too
MAX_OUTLIER_FACTOR = 4.0  # so that a stuck server does not move the average


class ServiceView:
    """State of the backend servers of one service, as this host observes it.

    Attributes:
        name: Service name.
        slots: Number of requests that a server runs concurrently.
        mean_other_load: Average reported load of a server from other hosts.
        mean_unqueued_time_s: Average time of a request that does not queue at the
            server, in seconds.
        views: All listed servers.
        open_by_region: Servers that may take new requests, by region.
        recent_by_region: Latest servers to answer, by region, newest last.
        warmup_views: Cold servers whose warming host is this host.
        sample_count: Number of samples in the average time.
        recent_loads: Latest reported loads.
        hot_load: Load above which a server is hot.
    """

    __slots__ = (
        "name",
        "slots",
        "mean_other_load",
        "mean_unqueued_time_s",
        "views",
        "open_by_region",
        "recent_by_region",
        "warmup_views",
        "sample_count",
        "recent_loads",
        "hot_load",
        "_reports_until_hot",
    )

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.mean_other_load = 1.0
        self.mean_unqueued_time_s = INITIAL_UNQUEUED_TIME_S
        self.views: dict[str, BackendView] = {}
        self.open_by_region: dict[str, list[BackendView]] = {}
        self.recent_by_region: dict[str, list[BackendView]] = {}
        self.warmup_views: list[BackendView] = []
        self.sample_count = 0
        self.recent_loads: deque[int] = deque(maxlen=HOT_WINDOW_REPORT_COUNT)
        self.hot_load = 1
        self._reports_until_hot = HOT_REFRESH_REPORT_COUNT

    def observe_load(self, load: int, other_load: int) -> None:
        """Add a load report and the part of it that other hosts cause."""
        self.mean_other_load += MEAN_EWMA_WEIGHT * (other_load - self.mean_other_load)
        self.recent_loads.append(load)
        self._reports_until_hot -= 1
        if self._reports_until_hot <= 0:
            self._reports_until_hot = HOT_REFRESH_REPORT_COUNT
            ranked = sorted(self.recent_loads)
            self.hot_load = ranked[int(HOT_QUANTILE * (len(ranked) - 1))]

    def observe_answer(self, view: "BackendView") -> None:
        """Move a server to the end of the latest servers to answer."""
        recent = self.recent_by_region.get(view.backend.region)
        if recent is None:
            recent = self.recent_by_region[view.backend.region] = []
        if recent and recent[-1] is view:
            return
        if view in recent:
            recent.remove(view)
        elif len(recent) >= RECENT_BACKEND_COUNT:
            del recent[0]
        recent.append(view)

    def observe_unqueued_time(self, sample_s: float) -> None:
        """Add a sample to the average time; the first samples weigh most."""
        self.sample_count += 1
        if self.sample_count == 1:
            self.mean_unqueued_time_s = sample_s
            return
        if sample_s > MAX_OUTLIER_FACTOR * self.mean_unqueued_time_s:
            sample_s = MAX_OUTLIER_FACTOR * self.mean_unqueued_time_s
        weight = (
            1.0 / self.sample_count
            if self.sample_count < MEAN_SAMPLE_COUNT
            else MEAN_EWMA_WEIGHT
        )
        self.mean_unqueued_time_s += weight * (sample_s - self.mean_unqueued_time_s)


class BackendView:
    """State of one backend server, as this host observes it.

    Attributes:
        backend: Static data.
        service: State of its service.
        in_flight: This host's requests there, reserved ones included.
        limit: Maximum number of requests in flight from this host.
        slow_start_limit: The same by slow start alone.
        is_warm: Whether it takes full load.
        suspect_streak: Consecutive lost or very slow exchanges.
        is_open: Whether it may take new requests at all.
        other_load: Load from other hosts as last reported.
        report_s: When that report arrived, in seconds.
        unqueued_time_s: Average time of a request that does not queue at the
            server, in seconds.
        drain_until_s: End of the pause after a drain mark, in seconds.
        backoff_until_s: End of the backoff after connection failures, in seconds.
        connect_failures: Consecutive connection failures.
    """

    __slots__ = (
        "backend",
        "service",
        "in_flight",
        "limit",
        "slow_start_limit",
        "is_warm",
        "suspect_streak",
        "is_open",
        "other_load",
        "report_s",
        "unqueued_time_s",
        "drain_until_s",
        "backoff_until_s",
        "connect_failures",
    )

    def __init__(self, backend: Backend, service: ServiceView) -> None:
        self.backend = backend
        self.service = service
        self.in_flight = 0
        self.limit = 0
        self.slow_start_limit = 0
        self.is_warm = False
        self.suspect_streak = 0
        self.is_open = False
        self.other_load: float = service.mean_other_load
        self.report_s = -1e9
        self.unqueued_time_s = service.mean_unqueued_time_s
        self.drain_until_s = -1.0
        self.backoff_until_s = -1.0
        self.connect_failures = 0

    def observe_load(self, load: int, now_s: float) -> None:
        """Record a load report, less this host's own requests."""
        other_load = load - self.in_flight
        if other_load < 0:  # the report predates this host's latest requests
            other_load = 0
        self.other_load = other_load
        self.report_s = now_s
        self.service.observe_load(load, other_load)

    def observe_service_time(
        self, service_time_s: float, load: int, is_remote: bool
    ) -> float:
        """Record the time of an exchange and return it less the time in queue.

        Args:
            service_time_s: From the first byte written to the complete answer.
            load: Requests in flight that the server reported, or -1.
            is_remote: Whether the server is in another region; the time on the link
                is only assumed then, so the sample does not count for the average.
        """
        service = self.service
        sample_s = service_time_s
        if load >= service.slots:
            sample_s *= service.slots / (load + 1)
        self.unqueued_time_s += UNQUEUED_TIME_EWMA_WEIGHT * (
            sample_s - self.unqueued_time_s
        )
        if not is_remote and (self.is_warm or service.sample_count < MIN_SAMPLE_COUNT):
            service.observe_unqueued_time(sample_s)
        return sample_s

    def estimate_unqueued_time(self, now_s: float) -> float:
        """Return the estimated time of an unqueued request, in seconds."""
        mean_s = self.service.mean_unqueued_time_s
        report_weight = REPORT_HALF_AGE_S / (REPORT_HALF_AGE_S + now_s - self.report_s)
        return mean_s + (self.unqueued_time_s - mean_s) * report_weight

    def estimate_wait_s(self, now_s: float) -> float:
        """Return the estimated time until an answer, in seconds.

        Load and time decay towards the averages of the service as they age. Load
        below the number of slots adds no wait.
        """
        service = self.service
        mean_s = service.mean_unqueued_time_s
        mean_other_load = service.mean_other_load
        report_weight = REPORT_HALF_AGE_S / (REPORT_HALF_AGE_S + now_s - self.report_s)
        wait_s = mean_s + (self.unqueued_time_s - mean_s) * report_weight
        other_load = (
            mean_other_load + (self.other_load - mean_other_load) * report_weight
        )
        queue_length = self.in_flight + other_load + 1 - service.slots
        if queue_length > 0.0:
            wait_s *= 1.0 + queue_length / service.slots
        return wait_s
