"""Requests to the backend selector, and its results."""

import math
from collections.abc import Callable, Collection
from enum import Enum

from ..desired import RouteRule
from ..errors import CrocusError
from ..model import Record
from ._load import BackendLoad


class Refused(CrocusError):
    """No backend server can answer the request in time; it has not run.

    Attributes:
        retry_after_s: Time after which the caller should retry.
    """

    code = "refused"

    def __init__(self, message: str, retry_after_s: float, *, code: str) -> None:
        super().__init__(message, code=code)
        self.retry_after_s = retry_after_s


class SelectionVerdict(Enum):
    """Whether to send a request now or to queue it."""

    PLACE = "place"
    WAIT = "wait"


class LimitedServers(Enum):
    """Whether a selection may use servers with a limited rate, cold ones included."""

    ALLOWED = "allowed"
    EXCLUDED = "excluded"  # only servers without a limit, for hosts without a permit
    REQUIRED = "required"  # only servers with a limit, to issue a permit


class SelectionRequest(Record):
    """Requirements of a request for a backend server.

    Attributes:
        id: Id of the request, for logs.
        route: Route of the request.
        service: The service chosen by the route's weights.
        objective_s: Monotonic time of the route's latency objective.
        deadline_s: Monotonic time after which an answer is useless.
        service_time_s: Expected time of the request at an idle server whose machine
            has slowdown 1.0.
        excluded: Ids of backend servers that were tried.
        body_bytes: Size of the request body.
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

    def rank(
        self, now_s: float, *, priority_first: bool = False
    ) -> tuple[int, int, float]:
        """Return the sort key in the queue, smallest first.

        Args:
            now_s: Monotonic time.
            priority_first: Whether urgent late requests precede others in time.
        """
        is_late = now_s + self.service_time_s > self.objective_s
        if priority_first:
            return self.route.priority, is_late, self.deadline_s
        return is_late, self.route.priority, self.deadline_s


class Selection(Record):
    """Result of the selection of a backend server.

    Attributes:
        verdict: Whether to send now.
        load: The selected server, or None if the request should wait.
        in_flight: Known or estimated requests in flight at the server.
        expected_s: Expected time until the answer.
        wait_s: Expected wait for a free server.
        candidate_count: Number of servers that could take the request.
        idle_share: Share of the usable servers that have no request.
        max_wait_s: Longest wait in the queue that is worthwhile.
        usable_in_group: Number of usable servers of this group.
        probe_targets: Servers of this group whose current slowdown could change the
            selection.
        is_awaiting_fast_machine: Whether it waits for a machine with a low slowdown.
        slowdown: Known slowdown of the selected server's machine.
        slowdown_age_s: Age of the last report of that slowdown.
        is_slowdown_current: Whether that report is fresh, or the service sends none.
        release: Releases a slot that another group reserved, or None.
        begun_s: Monotonic time when the request was counted at the server, or None.
        needs_permit: Whether the coordinator must issue a permit for the server first.
        permit_end_s: When the permit of another host expires, by the clock of rate
            limits, or None.
        granted_by: IP address of the host that reserved the slot or issued the permit,
            "" if this host decided alone.
        limited_count: Number of usable servers in this group with a limited rate, cold
            ones included.
        without_permit_count: Number of those that may get no request now.
        cold_count: Number of usable servers in this group that are cold.
        warm_in_s: Time until the first of those is warm, in seconds.
        completions_per_s: Requests that this group completes in a second.
        held_slots: Slots of the server that are kept empty while the request runs.
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
        "needs_permit",
        "permit_end_s",
        "granted_by",
        "limited_count",
        "without_permit_count",
        "cold_count",
        "warm_in_s",
        "completions_per_s",
        "held_slots",
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
        self.needs_permit = False
        self.permit_end_s: float | None = None
        self.granted_by = ""
        self.limited_count = 0
        self.without_permit_count = 0
        self.cold_count = 0
        self.warm_in_s = math.inf
        self.completions_per_s = 0.0
        self.held_slots = 0

    def copy_from(self, other: "Selection") -> None:
        """Copy all fields of another selection."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))
