"""How long requests of each route take on an idle backend server."""

import math

GAIN = 0.08  # weight of the newest answer
FIRST_SAMPLES = 12  # that weigh equally
START_SHARE = 1.0 / 3.0  # of the objective; operators set objectives at a few times it
MAX_OUTLIER = 4.0  # times the average; a stuck server must not move it
START_SHARING = 1.15  # slowdown of a server with more than one request, until measured
MAX_SHARING = 3.0
MIN_SHARING_SAMPLES = 20
OVERLAP = 1.5  # the measured slowdown to that of sharing throughout
LOG_GAIN = 0.03  # weight of the newest answer
MIN_RATIO = 0.01
TIMEOUT_BLAME = 2.5  # times the usual time of the route
PACE_GAIN = 0.02
START_PACE = 1.5  # of shared machines, until reports tell
START_WEIGHT = 10  # reports that weigh as much as the start value


class _Mean:
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
        sample = min(sample, MAX_OUTLIER * self.value)
        gain = max(GAIN, 1.0 / self.samples if self.samples < FIRST_SAMPLES else 0.0)
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
        gain = max(LOG_GAIN, 1.0 / self.samples)
        self.value += gain * (math.log(ratio) - self.value)


class _PaceMean:
    """Average of reported paces, and the average of those that are not above it."""

    __slots__ = ("value", "best", "samples")

    def __init__(self) -> None:
        self.value = START_PACE
        self.best = 1.0
        self.samples = 0

    def add(self, pace: float) -> None:
        """Add a reported pace."""
        self.samples += 1
        gain = max(PACE_GAIN, 1.0 / (self.samples + START_WEIGHT))
        self.value += gain * (pace - self.value)
        if pace <= self.value:
            self.best += gain * (pace - self.best)
        self.best = min(self.best, self.value)


class ServiceTimeModel:
    """Learns work by route, the cost of sharing by service, and the usual pace."""

    __slots__ = ("_work", "_alone", "_shared", "_pace", "_paceless")

    def __init__(self) -> None:
        self._work: dict[tuple[str, str], _Mean] = {}
        self._alone: dict[str, _LogMean] = {}
        self._shared: dict[str, _LogMean] = {}
        self._pace: dict[str, _PaceMean] = {}
        self._paceless: set[str] = set()

    def service_time_s(self, service: str, route: str, objective_s: float) -> float:
        """Return the usual time of a request on a server that it has to itself."""
        mean = self._work.get((service, route))
        return mean.value if mean else objective_s * START_SHARE

    def concurrency_slowdown(self, service: str) -> float:
        """Return how much longer work takes on a server whose slots are all taken."""
        alone = self._alone.get(service)
        shared = self._shared.get(service)
        if alone is None or shared is None or shared.samples < MIN_SHARING_SAMPLES:
            return START_SHARING
        # On average a shared request has company for about half of its time.
        measured = math.exp(shared.value - alone.value)
        return min(MAX_SHARING, max(1.0, 1.0 + OVERLAP * (measured - 1.0)))

    def has_slowdown_reports(self, service: str) -> bool:
        """Return False if the servers of a service answer without their pace."""
        return service not in self._paceless

    def mean_slowdown(self, service: str) -> float:
        """Return the average pace of the servers' machines, 1.0 when they are free."""
        mean = self._pace.get(service)
        if mean is not None:
            return mean.value
        return START_PACE if self.has_slowdown_reports(service) else 1.0

    def low_slowdown(self, service: str) -> float:
        """Return a pace that the better machines of a service often have."""
        mean = self._pace.get(service)
        return mean.best if mean else 1.0

    def observe_slowdown(self, service: str, pace: float) -> None:
        """Add the pace that an answer reports.

        Args:
            service: Name of the service.
            pace: Time that work takes relative to the usual, 0.0 without a report.
        """
        if pace <= 0.0:
            if service not in self._pace:
                self._paceless.add(service)
            return
        self._paceless.discard(service)
        self._pace.setdefault(service, _PaceMean()).add(pace)

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
            mean = self._work.setdefault((service, route), _Mean(usual_s))
            mean.add(after_s)
        return after_s > TIMEOUT_BLAME * usual_s

    def observe(
        self, service: str, route: str, objective_s: float, took_s: float, filled: bool
    ) -> float:
        """Add the time of an answer; return it relative to the usual one.

        Args:
            service: Name of the service.
            route: Name of the route.
            objective_s: Objective of the route.
            took_s: From the request to its answer.
            filled: Whether the request took the last free slot of the server. What
                the server runs at the end must not count: long requests meet others
                more often.
        """
        usual_s = self.service_time_s(service, route, objective_s)
        ratio = took_s / usual_s if usual_s > 0.0 else 1.0
        group = self._shared if filled else self._alone
        group.setdefault(service, _LogMean()).add(max(MIN_RATIO, ratio))
        if filled:
            return ratio / self.concurrency_slowdown(service)
        self._work.setdefault((service, route), _Mean(usual_s)).add(took_s)
        return ratio
