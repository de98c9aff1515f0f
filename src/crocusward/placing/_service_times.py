"""Learned service times by route and slowdowns by service."""

import math

SERVICE_TIME_SMOOTHING_FACTOR = 0.08
EQUAL_WEIGHT_SAMPLE_COUNT = 12  # the first samples of a mean
INITIAL_OBJECTIVE_SHARE = 1.0 / 3.0  # operators set objectives at a few service times
MAX_OUTLIER_FACTOR = 4.0  # times the mean, so that a stuck server doesn't move it
INITIAL_CONCURRENCY_SLOWDOWN = 1.15
MAX_CONCURRENCY_SLOWDOWN = 3.0
MIN_CONCURRENT_SAMPLE_COUNT = 20
OVERLAP_FACTOR = 1.5  # from the measured slowdown to that of full overlap
RATIO_SMOOTHING_FACTOR = 0.03
MIN_RATIO = 0.01
TIMEOUT_FAILURE_FACTOR = 2.5  # times the service time of the route
SLOWDOWN_SMOOTHING_FACTOR = 0.02
INITIAL_SLOWDOWN = 1.5  # of shared machines, before any report
INITIAL_SLOWDOWN_SAMPLE_COUNT = 10  # reports that weigh as much as the initial value


class _ClippedMean:
    __slots__ = ("value", "sample_count")

    def __init__(self, value: float) -> None:
        self.value = value
        self.sample_count = 0

    def add(self, sample: float) -> None:
        """Add a sample, clipped against outliers; the first ones weigh equally."""
        self.sample_count += 1
        if self.sample_count == 1:
            self.value = sample
            return
        sample = min(sample, MAX_OUTLIER_FACTOR * self.value)
        gain = max(
            SERVICE_TIME_SMOOTHING_FACTOR,
            1.0 / self.sample_count
            if self.sample_count < EQUAL_WEIGHT_SAMPLE_COUNT
            else 0.0,
        )
        self.value += gain * (sample - self.value)


class _LogMean:
    """Smoothed mean of logarithms, which slow outliers hardly move."""

    __slots__ = ("value", "sample_count")

    def __init__(self) -> None:
        self.value = 0.0
        self.sample_count = 0

    def add(self, ratio: float) -> None:
        """Add a ratio above 0."""
        self.sample_count += 1
        gain = max(RATIO_SMOOTHING_FACTOR, 1.0 / self.sample_count)
        self.value += gain * (math.log(ratio) - self.value)


class _SlowdownMeans:
    """Smoothed mean of reported slowdowns, and of those not above it."""

    __slots__ = ("value", "low", "sample_count")

    def __init__(self) -> None:
        self.value = INITIAL_SLOWDOWN
        self.low = 1.0
        self.sample_count = 0

    def add(self, slowdown: float) -> None:
        """Add a reported slowdown."""
        self.sample_count += 1
        gain = max(
            SLOWDOWN_SMOOTHING_FACTOR,
            1.0 / (self.sample_count + INITIAL_SLOWDOWN_SAMPLE_COUNT),
        )
        self.value += gain * (slowdown - self.value)
        if slowdown <= self.value:
            self.low += gain * (slowdown - self.low)
        self.low = min(self.low, self.value)


class ServiceTimeModel:
    """Learns service times by route and slowdowns by service."""

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
        """Return the mean time of a request on an idle server, at slowdown 1.0."""
        mean = self._service_time_means.get((service, route))
        return mean.value if mean else objective_s * INITIAL_OBJECTIVE_SHARE

    def concurrency_slowdown(self, service: str) -> float:
        """Return the slowdown of requests on a server whose slots are all taken."""
        unshared = self._unshared_ratios.get(service)
        full = self._full_ratios.get(service)
        if (
            unshared is None
            or full is None
            or full.sample_count < MIN_CONCURRENT_SAMPLE_COUNT
        ):
            return INITIAL_CONCURRENCY_SLOWDOWN
        # Such a request overlaps with others for about half of its time on average.
        measured = math.exp(full.value - unshared.value)
        return min(
            MAX_CONCURRENCY_SLOWDOWN, max(1.0, 1.0 + OVERLAP_FACTOR * (measured - 1.0))
        )

    def has_slowdown_reports(self, service: str) -> bool:
        """Return whether the servers of a service report their slowdown."""
        return service not in self._without_slowdown

    def mean_slowdown(self, service: str) -> float:
        """Return the mean slowdown of a service's machines, 1.0 if unloaded."""
        mean = self._slowdowns.get(service)
        if mean is not None:
            return mean.value
        return INITIAL_SLOWDOWN if self.has_slowdown_reports(service) else 1.0

    def low_slowdown(self, service: str) -> float:
        """Return a slowdown that the faster machines of a service often have."""
        mean = self._slowdowns.get(service)
        return mean.low if mean else 1.0

    def observe_slowdown(self, service: str, slowdown: float) -> None:
        """Add the slowdown that an answer reports.

        Args:
            service: Name of the service.
            slowdown: Reported slowdown, 0.0 without a report.
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
        """Add a request that was not answered within ``after_s``.

        Args:
            service: Name of the service.
            route: Name of the route.
            objective_s: Latency objective of the route.
            after_s: Time without an answer at slowdown 1.0; callers divide the
                measured time by the slowdown of the machine.

        Returns:
            Whether the route's requests usually take much less, so that it counts as
            a failure of the server.
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
        """Add the latency of an answer; return its ratio to the expected one.

        Args:
            service: Name of the service.
            route: Name of the route.
            objective_s: Latency objective of the route.
            took_s: Time from the request to its answer at slowdown 1.0; callers divide
                the measured time by the slowdown of the machine.
            has_filled_slots: Whether the request took the server's last free slot. Its
                load at the end would be biased: long requests overlap with others
                more often.
        """
        usual_s = self.service_time_s(service, route, objective_s)
        ratio = took_s / usual_s if usual_s > 0.0 else 1.0
        ratios = self._full_ratios if has_filled_slots else self._unshared_ratios
        ratios.setdefault(service, _LogMean()).add(max(MIN_RATIO, ratio))
        if has_filled_slots:
            return ratio / self.concurrency_slowdown(service)
        self._service_time_means.setdefault(
            (service, route), _ClippedMean(usual_s)
        ).add(took_s)
        return ratio
