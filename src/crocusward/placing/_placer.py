"""Chooses a backend server, or says that a request should wait or be refused."""

import random
from collections.abc import Collection
from enum import Enum

from ..desired import Directory, RouteRule, ServiceRule
from ..errors import CrocusError
from ..model import Record
from ._book import LoadBook
from ._load import BackendLoad
from ._work import WorkTimes

# Cost of leaving the data centre or region, in times of the work. Loads there are not
# known here; the link between regions is narrow and billed by volume, the one between
# data centres is billed less.
OTHER_DATA_CENTRE = 0.4
OTHER_REGION = 1.2
CONNECT_S = 0.004  # cost of a new connection: a handshake at the server, and its price
IDLE_ELSEWHERE = 0.3  # share of idle servers from which another data centre has room
RUNNERS_UP = 3  # servers of a choice that are compared by probes
UNTRIED_BONUS_S = 0.02  # new servers get their first request soon
BLAME_WEIGHT = 3.0  # times the work, for each recent failure
COLD_FACTOR = 2.0  # work on a cold server takes about twice as long
SILENT_FACTOR = 2.5  # times the expected time without an answer make a server suspect
SILENT_MIN_S = 0.1
SHARED_SHARE = 0.5  # of the work of the request already there is left on average
MIN_WAIT_S = 0.004
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 2.0
NO_BACKEND_RETRY_S = 0.6  # a closed server is tried again after about this time
FOREIGN_COLD_PERIOD_S = 2.0  # between requests of another data centre to a cold server


class Refused(CrocusError):
    """A request cannot be served in time; it has not run.

    Attributes:
        retry_after_s: When the caller should come back.
    """

    code = "refused"

    def __init__(self, message: str, retry_after_s: float, *, code: str) -> None:
        super().__init__(message, code=code)
        self.retry_after_s = retry_after_s


class Verdict(Enum):
    """What to do with a request now."""

    PLACE = "place"
    WAIT = "wait"


class PlaceRequest(Record):
    """What a request needs.

    Attributes:
        id: Id of the request, for logs.
        route: Its route.
        service: The service chosen by the route's weights.
        objective_s: Monotonic time by which an answer has its full worth.
        deadline_s: Monotonic time after which an answer is useless.
        work_s: Usual time of such a request.
        excluded: Backend servers that were tried.
    """

    __slots__ = (
        "id",
        "route",
        "service",
        "objective_s",
        "deadline_s",
        "work_s",
        "excluded",
    )

    def __init__(
        self,
        id: str,
        route: RouteRule,
        service: str,
        *,
        objective_s: float,
        deadline_s: float,
        work_s: float,
        excluded: Collection[str] = (),
    ) -> None:
        self.id = id
        self.route = route
        self.service = service
        self.objective_s = objective_s
        self.deadline_s = deadline_s
        self.work_s = work_s
        self.excluded = excluded

    def rank(self, now_s: float) -> tuple[bool, int, float]:
        """Return the place in the order of waiting requests, smallest first."""
        is_late = now_s + self.work_s > self.objective_s
        return is_late, self.route.priority, self.deadline_s


class Choice(Record):
    """What the placer decided.

    Attributes:
        verdict: Whether to send now.
        load: The server, if the verdict is to place.
        in_flight: Requests known to be there already.
        expected_s: Expected time until the answer.
        wait_s: Expected wait for a free server.
        free: Servers that could take the request.
        idle: Share of the usable servers that have no request.
        patience_s: How long waiting for a server of its own is worth it.
        near_by: Usable servers of this data centre.
        runners_up: Other servers with room here, the best first.
        begun_s: When the request was counted at the server, or None.
    """

    __slots__ = (
        "verdict",
        "load",
        "in_flight",
        "expected_s",
        "wait_s",
        "free",
        "idle",
        "patience_s",
        "near_by",
        "runners_up",
        "begun_s",
    )

    def __init__(
        self,
        verdict: Verdict,
        load: BackendLoad | None,
        in_flight: float = 0.0,
        expected_s: float = 0.0,
        wait_s: float = 0.0,
        free: int = 0,
        idle: float = 0.0,
        patience_s: float = 0.0,
        near_by: int = 0,
    ) -> None:
        self.verdict = verdict
        self.load = load
        self.in_flight = in_flight
        self.expected_s = expected_s
        self.wait_s = wait_s
        self.free = free
        self.idle = idle
        self.patience_s = patience_s
        self.near_by = near_by
        self.runners_up: list[BackendLoad] = []
        self.begun_s: float | None = None

    def take(self, other: "Choice") -> None:
        """Take over another choice."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))


class Placer:
    """Places requests by the expected time until the answer.

    Answers loads in which a few slow, failing or busy servers stand beside idle
    ones, and short loads above the capacity of the data centre. A server that a
    request has to itself is preferred; when all are taken, the request waits here if
    a server is likely to become free before sharing one would have paid.

    Args:
        directory: Desired state and data centres out of service.
        book: Loads of the servers.
        times: Learned times of work.
        data_centre: Data centre of this host.
        region: Region of this host.
        rng: Breaks ties.
    """

    __slots__ = ("_directory", "_book", "_times", "_data_centre", "_region", "_rng")

    def __init__(
        self,
        directory: Directory,
        book: LoadBook,
        times: WorkTimes,
        data_centre: str,
        region: str,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._book = book
        self._times = times
        self._data_centre = data_centre
        self._region = region
        self._rng = rng

    def is_allowed(self, load: BackendLoad, route: RouteRule) -> bool:
        """Return whether a request of a route may go to a server at all."""
        entry = load.entry
        return (
            not entry.leaving
            and not load.misdirected
            and entry.data_centre not in self._directory.out
            and (not route.regions or load.region in route.regions)
        )

    def choose(
        self,
        req: PlaceRequest,
        now_s: float,
        *,
        ahead: int = 0,
        may_wait: bool = True,
        own_data_centre: bool = False,
        avoid: Collection[str] = (),
    ) -> Choice:
        """Decide on a request.

        Args:
            req: The request.
            now_s: Monotonic time.
            ahead: Waiting requests that go before it.
            may_wait: Whether it may go on waiting for a server of its own.
            own_data_centre: Consider only servers of this data centre.
            avoid: Data centres that have no room.

        Raises:
            Refused: No server can answer it in time.
        """
        state = self._directory.state
        rule = state.services.get(req.service) if state else None
        if rule is None:
            raise Refused(
                "the service is unknown", RETRY_AFTER_MAX_S, code="no_service"
            )
        sharing = self._times.sharing(req.service)
        speed = self._times.usual_speed(req.service)
        best: BackendLoad | None = None
        best_score_s = best_time_s = 1e18
        best_count = 0.0
        usable = near_by = free = idle = 0
        rate = 0.0
        scored: list[tuple[float, str, BackendLoad]] = []
        for load in self._book.by_service.get(req.service, ()):
            if not self.is_allowed(load, req.route):
                continue
            if not self._is_open(load, req, now_s):
                continue
            is_own = load.entry.data_centre == self._data_centre
            if own_data_centre and not is_own:
                continue
            usable += 1
            near_by += is_own
            rate += load.entry.slots / sharing if is_own else 0.0
            count = load.in_flight(now_s)
            if not is_own:
                count = max(count, self._least_count(load, now_s))
            idle += count < 1.0
            if load.entry.data_centre in avoid:
                continue
            if count + 1.0 > load.entry.slots or not self._bears(load, rule, now_s):
                continue
            free += 1
            time_s = self._time_s(load, req, count, sharing, speed, now_s)
            score_s = time_s + self._extra_s(load, req, count, sharing, now_s)
            if is_own:
                scored.append((score_s, load.entry.id, load))
            if score_s < best_score_s:
                best, best_score_s, best_time_s = load, score_s, time_s
                best_count = count
        if not usable:
            raise Refused(
                "no usable backend server",
                self._spread(NO_BACKEND_RETRY_S),
                code="no_backend",
            )
        wait_s = self._wait_s(req, rate or float(usable), ahead)
        patience_s = self._patience_s(req, sharing, now_s)
        share = idle / usable
        if best is None or (ahead and best_count >= 1.0):
            self._check_time(req, wait_s, now_s)
            if best is None:
                patience_s = max(MIN_WAIT_S, req.deadline_s - now_s - req.work_s)
            return Choice(
                Verdict.WAIT, None, 0.0, 0.0, wait_s, free, share, patience_s, near_by
            )
        is_shared = best_count >= 1.0
        slack_s = req.objective_s - now_s - best_time_s
        if (
            may_wait
            and near_by
            and is_shared
            and wait_s + req.work_s < best_score_s
            and slack_s > 0.0
        ):
            return Choice(
                Verdict.WAIT, None, 0.0, 0.0, wait_s, free, share, patience_s, near_by
            )
        choice = Choice(
            Verdict.PLACE,
            best,
            best_count,
            best_time_s,
            wait_s,
            free,
            share,
            patience_s,
            near_by,
        )
        scored.sort()
        choice.runners_up = [item[2] for item in scored[1:RUNNERS_UP]]
        return choice

    def _least_count(self, load: BackendLoad, now_s: float) -> float:
        """Return the requests to expect at a server of another data centre."""
        entry = load.entry
        share = self._book.idle_elsewhere(entry.data_centre, entry.service, now_s)
        return 0.0 if share >= IDLE_ELSEWHERE else 1.0

    def _is_open(self, load: BackendLoad, req: PlaceRequest, now_s: float) -> bool:
        if now_s < load.closed_until_s or load.entry.id in req.excluded:
            return False
        if load.is_on_trial(now_s):
            return req.route.idempotent and load.own == 0
        suspect_s = max(SILENT_MIN_S, SILENT_FACTOR * req.work_s) * load.slowness(now_s)
        return load.silent_for_s(now_s) < suspect_s

    def _bears(self, load: BackendLoad, rule: ServiceRule, now_s: float) -> bool:
        """Return whether a cold server bears one more request."""
        if not load.is_cold(now_s):
            return True
        sends = load.sends_last_second(now_s)
        if load.entry.data_centre == self._data_centre:
            return sends < max(1, int(rule.cold_rate))
        return sends == 0 and load.own == 0

    def _time_s(
        self,
        load: BackendLoad,
        req: PlaceRequest,
        count: float,
        sharing: float,
        speed: float,
        now_s: float,
    ) -> float:
        time_s = req.work_s * load.slowness(now_s)
        time_s = max(0.0, time_s + load.pace_delay_s(now_s, speed))
        if count + 1.0 >= load.entry.slots and load.entry.slots > 1:
            time_s *= sharing
        if load.is_cold(now_s):
            time_s *= COLD_FACTOR
        return time_s

    def _extra_s(
        self,
        load: BackendLoad,
        req: PlaceRequest,
        count: float,
        sharing: float,
        now_s: float,
    ) -> float:
        extra_s = self._rng.random() * 1e-3
        if load.entry.data_centre != self._data_centre:
            is_near = load.region == self._region
            extra_s += req.work_s * (OTHER_DATA_CENTRE if is_near else OTHER_REGION)
        if not load.tried:
            extra_s -= UNTRIED_BONUS_S
        elif not load.idle_connections:
            extra_s += CONNECT_S
        if count >= 1.0:
            # The requests already there become slower, too.
            extra_s += (sharing - 1.0) * SHARED_SHARE * req.work_s
        return extra_s + BLAME_WEIGHT * req.work_s * load.blame(now_s)

    def _patience_s(self, req: PlaceRequest, sharing: float, now_s: float) -> float:
        """Return how long to wait rather than share a server.

        Sharing lengthens this request and the one already there. A request that
        would miss its objective by waiting shares.
        """
        cost_s = (sharing - 1.0) * (1.0 + SHARED_SHARE) * req.work_s
        slack_s = req.objective_s - now_s - req.work_s * sharing
        return max(MIN_WAIT_S, min(cost_s, slack_s))

    def _wait_s(self, req: PlaceRequest, rate: float, ahead: int) -> float:
        """Return the wait behind others.

        Args:
            req: The request.
            rate: Requests that the servers in reach finish within the work of one.
            ahead: Waiting requests that go before it.
        """
        return max(MIN_WAIT_S, req.work_s / rate * (1.0 + ahead))

    def _check_time(self, req: PlaceRequest, wait_s: float, now_s: float) -> None:
        left_s = req.deadline_s - now_s
        if wait_s + req.work_s > left_s:
            raise Refused(
                f"an answer would take {wait_s + req.work_s:.2f} s of {left_s:.2f} s",
                self._spread(wait_s),
                code="no_time",
            )

    def _spread(self, delay_s: float) -> float:
        delay_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, delay_s))
        return delay_s * (0.7 + 0.6 * self._rng.random())
