"""Settings and records of the backend server stand-in."""

from ...model import Record

BACKEND_SLOTS = 2
BACKEND_CONNECTIONS = 220
PROBE_COST_S = 0.006  # slot time of one load report
CONNECT_COST_S = 0.001  # slot time of a new connection, paid by its first request


class BackendBehaviour(Record):
    """How backend servers behave; shared by all of one process.

    Attributes:
        mean_s: Mean service time, in seconds.
        spread: Sigma of the lognormal service time.
        slots: Requests that run at a time.
        connections: Connections accepted.
        shed_queue: Length of the queue at which requests are shed.
        report_lag_s: Interval at which the load report is renewed, in seconds.
        cold_s: Time that a server stays cold after its boot, in seconds.
        cold_factor: Service time of a cold server relative to a warm one.
        cold_limit: Requests in flight at which a cold server falls over.
        down_s: Time that a fallen server refuses connections, in seconds.
        warm_start: True if servers are warm when the process starts.
    """

    __slots__ = (
        "mean_s",
        "spread",
        "slots",
        "connections",
        "shed_queue",
        "report_lag_s",
        "cold_s",
        "cold_factor",
        "cold_limit",
        "down_s",
        "warm_start",
    )

    def __init__(
        self,
        *,
        mean_s: float = 0.010,
        spread: float = 0.4,
        slots: int = BACKEND_SLOTS,
        connections: int = BACKEND_CONNECTIONS,
        shed_queue: int = 40,
        report_lag_s: float = 0.5,
        cold_s: float = 4.0,
        cold_factor: float = 3.0,
        cold_limit: int = 5,
        down_s: float = 2.0,
        warm_start: bool = True,
    ) -> None:
        self.mean_s = mean_s
        self.spread = spread
        self.slots = slots
        self.connections = connections
        self.shed_queue = shed_queue
        self.report_lag_s = report_lag_s
        self.cold_s = cold_s
        self.cold_factor = cold_factor
        self.cold_limit = cold_limit
        self.down_s = down_s
        self.warm_start = warm_start


class Execution(Record):
    """A request that began to run.

    Attributes:
        request_id: Value of X-Request-Id.
        key: Value of Idempotency-Key, or "".
        contract: Value of Crocusward-Contract, or "".
        method: HTTP method.
        path: Path without the query.
        backend: Id of the backend server.
        region: Region of the backend server.
        began_s: Monotonic time at which it began, in seconds.
        arrived_s: Monotonic time of its arrival, in seconds.
        finished: True once it ran to the end.
    """

    __slots__ = (
        "request_id",
        "key",
        "contract",
        "method",
        "path",
        "backend",
        "region",
        "began_s",
        "arrived_s",
        "finished",
    )

    def __init__(
        self,
        request_id: str,
        key: str,
        contract: str,
        method: str,
        path: str,
        backend: str,
        region: str,
        began_s: float,
        arrived_s: float,
    ) -> None:
        self.request_id = request_id
        self.key = key
        self.contract = contract
        self.method = method
        self.path = path
        self.backend = backend
        self.region = region
        self.began_s = began_s
        self.arrived_s = arrived_s
        self.finished = False

    def as_document(self) -> dict[str, object]:
        """Return the members for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}


class ExecutionLog:
    """All executions of one process, oldest dropped above the limit.

    Args:
        limit: Number of executions kept.
    """

    __slots__ = ("kept", "total", "_limit")

    def __init__(self, limit: int = 500_000) -> None:
        self.kept: list[Execution] = []
        self.total = 0
        self._limit = limit

    def add(self, execution: Execution) -> None:
        """Record one execution."""
        self.total += 1
        self.kept.append(execution)
        if len(self.kept) > self._limit:
            del self.kept[: self._limit // 10]

    def above(self, index: int, limit: int) -> list[Execution]:
        """Return up to ``limit`` executions from number ``index``."""
        dropped = self.total - len(self.kept)
        first = max(0, index - dropped)
        return self.kept[first : first + limit]
