"""What is asked of the placer, and what it decides."""

from collections.abc import Callable, Collection
from enum import Enum

from ..desired import RouteRule
from ..errors import CrocusError
from ..model import Record
from ._load import BackendLoad


class Refused(CrocusError):
    """A request cannot be served in time; it has not run.

    Attributes:
        retry_after_s: When the caller should come back.
    """

    code = "refused"

    def __init__(self, message: str, retry_after_s: float, *, code: str) -> None:
        super().__init__(message, code=code)
        self.retry_after_s = retry_after_s


class SelectionVerdict(Enum):
    """What to do with a request now."""

    PLACE = "place"
    WAIT = "wait"


class SelectionRequest(Record):
    """What a request needs.

    Attributes:
        id: Id of the request, for logs.
        route: Its route.
        service: The service chosen by the route's weights.
        objective_s: Monotonic time by which an answer has its full worth.
        deadline_s: Monotonic time after which an answer is useless.
        work_s: Usual time of such a request.
        excluded: Backend servers that were has_been_tried.
        body_bytes: Size of its body.
    """

    __slots__ = (
        "id",
        "route",
        "service",
        "objective_s",
        "deadline_s",
        "service_time_s",
        "excluded",
        "body_bytes",
    )

    def __init__(
        self,
        id: str,
        route: RouteRule,
        service: str,
        *,
        objective_s: float,
        deadline_s: float,
        service_time_s: float,
        excluded: Collection[str] = (),
        body_bytes: int = 0,
    ) -> None:
        self.id = id
        self.route = route
        self.service = service
        self.objective_s = objective_s
        self.deadline_s = deadline_s
        self.service_time_s = service_time_s
        self.excluded = excluded
        self.body_bytes = body_bytes

    def rank(self, now_s: float) -> tuple[bool, int, float]:
        """Return the place in the order of waiting requests, smallest first."""
        is_late = now_s + self.service_time_s > self.objective_s
        return is_late, self.route.priority, self.deadline_s


class Selection(Record):
    """What the placer decided.

    Attributes:
        verdict: Whether to send now.
        load: The server, if the verdict is to place.
        in_flight: Requests known to be there already.
        expected_s: Expected time until the answer.
        wait_s: Expected wait for a free server.
        free: Servers that could take the request.
        idle: Share of the usable servers that have no request.
        max_wait_s: How long waiting for a server of its own is worth it.
        near_by: Usable servers of this group.
        stale: Servers here whose present pace would decide the choice.
        awaits_pace: Whether it waits for a machine with a good pace.
        pace: Pace of the chosen machine, as known.
        slowdown_age_s: Age of that report.
        is_paced: Whether it was reported just now, or never is.
        release: Gives back a place that another data centre keeps, or None.
        begun_s: When the request was counted at the server, or None.
    """

    __slots__ = (
        "verdict",
        "load",
        "in_flight",
        "expected_s",
        "wait_s",
        "candidate_count",
        "idle_share",
        "max_wait_s",
        "usable_in_group",
        "probe_targets",
        "is_awaiting_fast_machine",
        "slowdown",
        "slowdown_age_s",
        "is_slowdown_current",
        "release",
        "begun_s",
    )

    def __init__(
        self,
        verdict: SelectionVerdict,
        load: BackendLoad | None,
        *,
        wait_s: float = 0.0,
    ) -> None:
        self.verdict = verdict
        self.load = load
        self.in_flight = 0.0
        self.expected_s = 0.0
        self.wait_s = wait_s
        self.candidate_count = 0
        self.idle_share = 0.0
        self.max_wait_s = 0.0
        self.usable_in_group = 0
        self.probe_targets: list[BackendLoad] = []
        self.is_awaiting_fast_machine = False
        self.slowdown = 1.0
        self.slowdown_age_s = 0.0
        self.is_slowdown_current = False
        self.release: Callable[[], None] | None = None
        self.begun_s: float | None = None

    def copy_from(self, other: "Selection") -> None:
        """Take over another choice."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))
