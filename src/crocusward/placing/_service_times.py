"""How long requests of each route take on an idle backend server."""

import math

SMOOTHING_FACTOR = 0.08  # weight of the newest answer
EQUAL_WEIGHT_SAMPLE_COUNT = 12  # that weigh equally
INITIAL_OBJECTIVE_SHARE = (
    1.0 / 3.0
)  # of the objective; operators set objectives at a few times it
MAX_OUTLIER_FACTOR = 4.0  # times the average; a stuck server must not move it
INITIAL_CONCURRENCY_SLOWDOWN = (
    1.15  # slowdown of a server with more than one request, until measured
)
MAX_CONCURRENCY_SLOWDOWN = 3.0
MIN_CONCURRENT_SAMPLE_COUNT = 20
OVERLAP_FACTOR = 1.5  # the measured slowdown to that of sharing throughout
RATIO_SMOOTHING_FACTOR = 0.03  # weight of the newest answer
MIN_LATENCY_RATIO = 0.01
TIMEOUT_FAILURE_FACTOR = 2.5  # times the usual time of the route
SLOWDOWN_SMOOTHING_FACTOR = 0.02
INITIAL_SLOWDOWN = 1.5  # of shared machines, until reports tell
INITIAL_SAMPLE_COUNT = 10  # reports that weigh as much as the start value


class _ClippedMean:
    __slots__ = ("value", "samples")

    def __init__(self, value: float) -> None:
        self.value = value
        self.samples = 0

    def add(self, sample: float) -> None:
        """Add a sample; the first ones weigh equally."""
        self.samples += 1
        if self.samples == 1:
            self.value = sample
            return
        sample = min(sample, MAX_OUTLIER_FACTOR * self.value)
        gain = max(
            SMOOTHING_FACTOR,
            1.0 / self.samples if self.samples < EQUAL_WEIGHT_SAMPLE_COUNT else 0.0,
        )
        self.value += gain * (sample - self.value)


class _LogMean:
    """Mean of logarithms; slow outliers hardly move it."""

    __slots__ = ("value", "samples")

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, ratio: float) -> None:
        """Add a ratio above 0."""
        self.samples += 1
        gain = max(RATIO_SMOOTHING_FACTOR, 1.0 / self.samples)
        self.value += gain * (math.log(ratio) - self.value)


class _SlowdownMeans:
    """Average of reported paces, and the average of those that are not above it."""

    __slots__ = ("value", "low", "samples")

    def __init__(self) -> None:
        self.value = INITIAL_SLOWDOWN
        self.low = 1.0
        self.samples = 0

    def add(self, slowdown: float) -> None:
        """Add a reported slowdown."""
        self.samples += 1
        gain = max(
            SLOWDOWN_SMOOTHING_FACTOR, 1.0 / (self.samples + INITIAL_SAMPLE_COUNT)
        )
        self.value += gain * (slowdown - self.value)
        if slowdown <= self.value:
            self.low += gain * (slowdown - self.low)
        self.low = min(self.low, self.value)


class ServiceTimeModel:
    """Learns work by route, the cost of sharing by service, and the usual slowdown."""

    __slots__ = (
        "_service_time_means",
        "_unshared_ratios",
        "_full_ratios",
        "_slowdowns",
        "_without_slowdown",
    )

    def __init__(self) -> None:
        self._service_time_means: dict[tuple[str, str], _ClippedMean] = {}
        self._unshared_ratios: dict[str, _LogMean] = {}
        self._full_ratios: dict[str, _LogMean] = {}
        self._slowdowns: dict[str, _SlowdownMeans] = {}
        self._without_slowdown: set[str] = set()

    def service_time_s(self, service: str, route: str, objective_s: float) -> float:
        """Return the usual time of a request on a server that it has to itself."""
        mean = self._service_time_means.get((service, route))
        return mean.value if mean else objective_s * INITIAL_OBJECTIVE_SHARE

    def concurrency_slowdown(self, service: str) -> float:
        """Return how much longer work takes on a server whose slots are all taken."""
        alone = self._unshared_ratios.get(service)
        shared = self._full_ratios.get(service)
        if (
            alone is None
            or shared is None
            or shared.samples < MIN_CONCURRENT_SAMPLE_COUNT
        ):
            return INITIAL_CONCURRENCY_SLOWDOWN
        # On average a shared request has company for about half of its time.
        measured = math.exp(shared.value - alone.value)
        return min(
            MAX_CONCURRENCY_SLOWDOWN, max(1.0, 1.0 + OVERLAP_FACTOR * (measured - 1.0))
        )

    def has_slowdown_reports(self, service: str) -> bool:
        """Return False if the servers of a service answer without their slowdown."""
        return service not in self._without_slowdown

    def mean_slowdown(self, service: str) -> float:
        """Return the average slowdown of the servers' machines, 1.0 when they are free."""
        mean = self._slowdowns.get(service)
        if mean is not None:
            return mean.value
        return INITIAL_SLOWDOWN if self.has_slowdown_reports(service) else 1.0

    def low_slowdown(self, service: str) -> float:
        """Return a slowdown that the better machines of a service often have."""
        mean = self._slowdowns.get(service)
        return mean.low if mean else 1.0

    def observe_slowdown(self, service: str, slowdown: float) -> None:
        """Add the slowdown that an answer reports.

        Args:
            service: Name of the service.
            slowdown: Time that work takes relative to the usual, 0.0 without a report.
        """
        if slowdown <= 0.0:
            if service not in self._slowdowns:
                self._without_slowdown.add(service)
            return
        self._without_slowdown.discard(service)
        self._slowdowns.setdefault(service, _SlowdownMeans()).add(slowdown)

    def observe_timeout(
        self, service: str, route: str, objective_s: float, after_s: float
    ) -> bool:
        """Add a request that was not answered in time.

        Returns:
            Whether the route's requests usually take much less, so that the server is
            to blame.
        """
        usual_s = self.service_time_s(service, route, objective_s)
        if after_s > usual_s:
            mean = self._service_time_means.setdefault(
                (service, route), _ClippedMean(usual_s)
            )
            mean.add(after_s)
        return after_s > TIMEOUT_FAILURE_FACTOR * usual_s

    def observe(
        self,
        service: str,
        route: str,
        objective_s: float,
        took_s: float,
        has_filled_slots: bool,
    ) -> float:
        """Add the time of an answer; return it relative to the usual one.

        Args:
            service: Name of the service.
            route: Name of the route.
            objective_s: Objective of the route.
            took_s: From the request to its answer.
            has_filled_slots: Whether the request took the last free slot of the server. What
                the server runs at the end must not count: long requests meet others
                more often.
        """
        usual_s = self.service_time_s(service, route, objective_s)
        ratio = took_s / usual_s if usual_s > 0.0 else 1.0
        group = self._full_ratios if has_filled_slots else self._unshared_ratios
        group.setdefault(service, _LogMean()).add(max(MIN_LATENCY_RATIO, ratio))
        if has_filled_slots:
            return ratio / self.concurrency_slowdown(service)
        self._service_time_means.setdefault(
            (service, route), _ClippedMean(usual_s)
        ).add(took_s)
        return ratio
