"""What a host knows of each backend server."""

from collections import deque

from ..model import Backend

UNLIMITED = 1 << 30
SPEED_GAIN = 0.3  # weight of the newest sample in a server's speed
MEAN_SAMPLES = 50  # that the service's averages stand for
MEAN_GAIN = 1.0 / MEAN_SAMPLES
# Age at which a report of load or speed counts half. Forgetting sooner or later raised
# the 99th percentile (docs/routing.md).
MEMORY_S = 0.3
HOT_QUANTILE = 0.84  # as in Prequal
HOT_WINDOW = 64  # load reports
HOT_REFRESH = 16  # load reports
RECENT_SERVERS = 3  # of a region; their reports are the freshest
INITIAL_SPEED_S = 0.01  # until the first answer
CROSSING_S = 0.024  # both ways between the regions
MIN_SAMPLES = 20  # until then cold servers count for the average speed, too
MAX_OUTLIER = 4.0  # times the average; a stuck server must not move the average


class ServiceView:
    """What a host knows of the backend servers of one service.

    Attributes:
        name: Service name.
        slots: Requests that a server runs at a time.
        mean_others: Average load that servers report beyond this host's own.
        mean_speed_s: Average time of a request that does not wait, in seconds.
        views: All listed servers.
        open_by_region: Servers that may take new work, by region.
        recent: Servers that answered last, by region, newest last.
        warming: Cold servers that this host is to warm.
        samples: Number of times that the average speed was made from.
        loads: Last reported loads.
        hot_load: Load above which a server is hot.
    """

    __slots__ = (
        "name",
        "slots",
        "mean_others",
        "mean_unqueued_time_s",
        "views",
        "open_by_region",
        "recent",
        "warming",
        "samples",
        "loads",
        "hot_load",
        "_until_hot",
    )

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.mean_others = 1.0
        self.mean_unqueued_time_s = INITIAL_SPEED_S
        self.views: dict[str, BackendView] = {}
        self.open_by_region: dict[str, list[BackendView]] = {}
        self.recent: dict[str, list[BackendView]] = {}
        self.warming: list[BackendView] = []
        self.samples = 0
        self.loads: deque[int] = deque(maxlen=HOT_WINDOW)
        self.hot_load = 1
        self._until_hot = HOT_REFRESH

    def observe_load(self, load: int, others: int) -> None:
        """Add a load report, and how much of it is not this host's."""
        self.mean_others += MEAN_GAIN * (others - self.mean_others)
        self.loads.append(load)
        self._until_hot -= 1
        if self._until_hot <= 0:
            self._until_hot = HOT_REFRESH
            ranked = sorted(self.loads)
            self.hot_load = ranked[int(HOT_QUANTILE * (len(ranked) - 1))]

    def observe_answer(self, view: "BackendView") -> None:
        """Make a server the one that answered last."""
        recent = self.recent.get(view.backend.region)
        if recent is None:
            recent = self.recent[view.backend.region] = []
        if recent and recent[-1] is view:
            return
        if view in recent:
            recent.remove(view)
        elif len(recent) >= RECENT_SERVERS:
            del recent[0]
        recent.append(view)

    def observe_speed(self, sample_s: float) -> None:
        """Add a sample to the average speed; the first ones weigh most."""
        self.samples += 1
        if self.samples == 1:
            self.mean_unqueued_time_s = sample_s
            return
        if sample_s > MAX_OUTLIER * self.mean_unqueued_time_s:
            sample_s = MAX_OUTLIER * self.mean_unqueued_time_s
        gain = 1.0 / self.samples if self.samples < MEAN_SAMPLES else MEAN_GAIN
        self.mean_unqueued_time_s += gain * (sample_s - self.mean_unqueued_time_s)


class BackendView:
    """What a host knows of one backend server.

    Attributes:
        backend: Static data.
        service: State of its service.
        in_flight: This host's requests there, reserved ones included.
        limit: Most requests that this host may have there.
        warm_limit: The same by warmth alone.
        is_warm: Whether it takes full load.
        evidence: Lost or very slow exchanges in a row.
        is_open: Whether it may take new work at all.
        others: Load of other hosts as last reported.
        report_s: When that report came, in seconds.
        speed_s: Time of a request that does not wait, in seconds.
        drained_until_s: End of the effect of a drain mark, in seconds.
        refused_until_s: End of the pause after refused connections, in seconds.
        refusals: Refused connections in a row.
    """

    __slots__ = (
        "backend",
        "service",
        "in_flight",
        "limit",
        "warm_limit",
        "is_warm",
        "evidence",
        "is_open",
        "others",
        "report_s",
        "speed_s",
        "drained_until_s",
        "refused_until_s",
        "refusals",
    )

    def __init__(self, backend: Backend, service: ServiceView) -> None:
        self.backend = backend
        self.service = service
        self.in_flight = 0
        self.limit = 0
        self.warm_limit = 0
        self.is_warm = False
        self.evidence = 0
        self.is_open = False
        self.others: float = service.mean_others
        self.report_s = -1e9
        self.speed_s = service.mean_unqueued_time_s
        self.drained_until_s = -1.0
        self.refused_until_s = -1.0
        self.refusals = 0

    def observe_load(self, load: int, now_s: float) -> None:
        """Take over a load report; own requests are known and don't count."""
        others = load - self.in_flight
        if others < 0:  # the report is older than this host's last requests
            others = 0
        self.others = others
        self.report_s = now_s
        self.service.observe_load(load, others)

    def observe_time(self, service_time_s: float, load: int, is_remote: bool) -> float:
        """Take over the time of an exchange and return it without the waiting.

        Args:
            service_time_s: From the first byte written to the whole answer.
            load: Requests in flight that the server reported, or -1.
            is_remote: Whether the link took a part of the time that is only assumed;
                such a time does not count for the average.
        """
        service = self.service
        sample_s = service_time_s
        if load >= service.slots:
            sample_s *= service.slots / (load + 1)
        self.speed_s += SPEED_GAIN * (sample_s - self.speed_s)
        if not is_remote and (self.is_warm or service.samples < MIN_SAMPLES):
            service.observe_speed(sample_s)
        return sample_s

    def speed_at(self, now_s: float) -> float:
        """Return the estimated time of a request that does not wait, in seconds."""
        mean_s = self.service.mean_unqueued_time_s
        known = MEMORY_S / (MEMORY_S + now_s - self.report_s)
        return mean_s + (self.speed_s - mean_s) * known

    def wait_s(self, now_s: float) -> float:
        """Return the estimated time until an answer, in seconds.

        Load and speed decay towards the service's averages as they age. Load below
        the number of slots costs nothing.
        """
        service = self.service
        mean_s = service.mean_unqueued_time_s
        mean = service.mean_others
        known = MEMORY_S / (MEMORY_S + now_s - self.report_s)
        wait_s = mean_s + (self.speed_s - mean_s) * known
        others = mean + (self.others - mean) * known
        queued = self.in_flight + others + 1 - service.slots
        if queued > 0.0:
            wait_s *= 1.0 + queued / service.slots
        return wait_s
