"""Chooses a backend server, or says that a request should wait or be refused."""

import random
from collections.abc import Collection, Sequence

from ..desired import Directory, RouteRule, ServiceRule
from ._candidates import COLD_FACTOR, Candidate, CandidateSet
from ._groups import data_centre_of
from ._load import SLOWDOWN_MEMORY_S, BackendLoad
from ._load_table import BackendLoadTable
from ._selection import Refused, Selection, SelectionRequest, SelectionVerdict
from ._service_times import ServiceTimeModel

# Cost of leaving the data centre or region, in times of the work. Loads there are not
# known here; the link between regions is narrow and billed by volume, the one between
# data centres is billed less.
OTHER_DATA_CENTRE_COST_FACTOR = 0.4
OTHER_GROUP_COST_FACTOR = 0.2
REMOTE_REGION_COST_FACTOR = 1.2
MAX_SAMPLED_BACKENDS = (
    48  # servers outside the group that are looked at for one request
)
CONNECT_COST_S = (
    0.004  # cost of a new connection: a handshake at the server, and its price
)
REMOTE_REGION_OVERHEAD_S = 0.06  # a question and an exchange between regions
# Larger bodies stay in the region while it can answer them at all: this one takes 4 ms
# of a link of 30 Mbit/s that all traffic shares.
MAX_REMOTE_BODY_BYTES = 16_384
REMOTE_SERVICE_TIME_FACTOR = (
    1.5  # times the usual work that most answers of a busy server take
)
OTHER_DATA_CENTRE_IDLE_SHARE = (
    0.15  # share of idle servers from which another data centre has room
)
OTHER_GROUP_IDLE_SHARE = (
    0.1  # the same for another group of the data centre, asked at little cost
)
# Share of failing servers above which their failures say nothing of a single one, and
# closing them would only move their load to the rest.
PANIC_THRESHOLD_SHARE = 0.4
MAX_PROBES_PER_SELECTION = 3  # servers that are probed together before a selection
FRESH_SLOWDOWN_S = 0.025  # a small part of the time for which a machine keeps its pace
MIN_PROBE_GAIN_S = 0.005  # by which a server must be able to beat the best one known
# Part of the expected time that even a short request of its route takes.
MIN_SERVICE_TIME_FACTOR = 0.7
UNTRIED_BONUS_S = 0.02  # new servers get their first request soon
FAILURE_SCORE_WEIGHT = 3.0  # times the work, for each recent failure
SILENT_FACTOR = 2.5  # times the expected time without an answer make a server suspect
MIN_SILENT_S = 0.1
REMAINING_SERVICE_SHARE = (
    0.5  # of the work of the request already there is left on average
)
MIN_WAIT_S = 0.004
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
NO_BACKEND_RETRY_AFTER_S = (
    0.6  # a closed server is has_been_tried again after about this time
)
OTHER_DATA_CENTRE_COLD_PERIOD_S = (
    2.0  # between requests of another data centre to a cold server
)


class BackendSelector:
    """Places requests by the expected time until the answer.

    Answers loads in which a few slow, failing or busy servers stand beside idle
    ones, and short loads above the capacity of the data centre. A server that a
    request has to itself is preferred; when all are taken, the request waits here if
    a server is likely to become free before sharing one would have paid.

    Args:
        directory: Desired state and data centres out of service.
        load_table: Loads of the servers.
        times: Learned times of work.
        region: Region of this host.
        rng: Breaks ties.

    Attributes:
        cold_rate_factor: Multiple of its cold rate that a cold server bears.
    """

    __slots__ = (
        "cold_rate_factor",
        "_directory",
        "_load_table",
        "_service_times",
        "_region",
        "_rng",
    )

    def __init__(
        self,
        directory: Directory,
        load_table: BackendLoadTable,
        times: ServiceTimeModel,
        region: str,
        rng: random.Random,
    ) -> None:
        self.cold_rate_factor = 1.0
        self._directory = directory
        self._load_table = load_table
        self._service_times = times
        self._region = region
        self._rng = rng

    def is_allowed(self, load: BackendLoad, route: RouteRule) -> bool:
        """Return whether a request of a route may go to a server at all."""
        entry = load.entry
        return (
            not entry.leaving
            and not load.is_misdirected
            and entry.data_centre not in self._directory.out
            and (not route.regions or load.region in route.regions)
        )

    def remote_region_backend(
        self, req: SelectionRequest, now_s: float, *, avoid: Collection[str] = ()
    ) -> BackendLoad | None:
        """Return a server of another region that may run a request, or None.

        The link between regions is narrow and billed by volume, so that it is for
        requests that would be refused or late otherwise.

        Args:
            req: The request.
            now_s: Monotonic time.
            avoid: Groups that have no room.
        """
        if now_s + req.service_time_s + REMOTE_REGION_OVERHEAD_S > req.deadline_s:
            return None
        loads = self._load_table.by_service.get(req.service, [])
        far = [
            load
            for load in loads
            if load.region != self._region
            and self.is_allowed(load, req.route)
            and load.group not in avoid
            and self._is_eligible(load, req, now_s, False)
        ]
        return self._rng.choice(far) if far else None

    def remote_region_slack_s(
        self, req: SelectionRequest, now_s: float
    ) -> float | None:
        """Return how long a request may wait here and meet its objective elsewhere.

        Answers loads above the capacity of one region beside room in another.

        Returns:
            The time until it must ask another region, below 0 if that has passed, or
            None if it has to stay.
        """
        if req.body_bytes > MAX_REMOTE_BODY_BYTES:
            return None
        regions = req.route.regions
        if regions and not regions - {self._region}:
            return None
        return (
            req.objective_s
            - now_s
            - REMOTE_SERVICE_TIME_FACTOR * req.service_time_s
            - REMOTE_REGION_OVERHEAD_S
        )

    def choose(
        self,
        req: SelectionRequest,
        now_s: float,
        *,
        ahead: int = 0,
        can_wait: bool = True,
        own_group_only: bool = False,
        avoid: Collection[str] = (),
    ) -> Selection:
        """Decide on a request.

        Args:
            req: The request.
            now_s: Monotonic time.
            ahead: Waiting requests that go before it.
            may_wait: Whether it may go on waiting for a server of its own.
            own_group: Consider only servers of this group.
            avoid: Groups that have no room.

        Raises:
            Refused: No server can answer it in time.
        """
        state = self._directory.state
        rule = state.services.get(req.service) if state else None
        if rule is None:
            raise Refused(
                "the service is unknown", MAX_RETRY_AFTER_S, code="no_service"
            )
        candidate_set = self._collect_candidates(
            req, rule, now_s, own_group_only, avoid
        )
        if not candidate_set.usable_count:
            raise Refused(
                "no usable backend server",
                self._add_jitter(NO_BACKEND_RETRY_AFTER_S),
                code="no_backend",
            )
        return self._decide(req, candidate_set, now_s, ahead, can_wait)

    def _collect_candidates(
        self,
        req: SelectionRequest,
        rule: ServiceRule,
        now_s: float,
        own_group_only: bool,
        avoid: Collection[str],
    ) -> CandidateSet:
        """Rate the servers that may run a request."""
        candidate_set = CandidateSet(self._service_times, req.service)
        own = self._load_table.groups.own
        allowed = self._filter_allowed(self._load_table.in_group(req.service, own), req)
        if not own_group_only and not self._has_idle(allowed, req, now_s):
            others = self._load_table.by_service.get(req.service, [])
            if len(others) > MAX_SAMPLED_BACKENDS:
                others = self._rng.sample(others, MAX_SAMPLED_BACKENDS)
            others = [load for load in others if load.group != own]
            allowed = allowed + self._filter_allowed(others, req)
        is_panicking = self._is_panicking(allowed, now_s)
        for load in allowed:
            entry = load.entry
            is_own = load.group == own
            if not self._is_eligible(load, req, now_s, is_panicking):
                continue
            count = load.in_flight(now_s)
            if not is_own:
                count = max(count, self._estimate_in_flight(load, now_s))
            candidate_set.add_usable(load, count, is_own, now_s)
            if load.group in avoid or count + 1.0 > entry.slots:
                continue
            if not self._has_cold_budget(load, rule, now_s):
                continue
            candidate_set.candidates.append(
                self._score(load, req, candidate_set, count, now_s)
            )
        if candidate_set.usable_in_group:
            # The link between regions is for requests that cannot run here, and
            # another group is asked only if it has told that servers are idle.
            candidate_set.candidates = [
                found
                for found in candidate_set.candidates
                if found.load.group == own
                or (found.load.region == self._region and found.count < 1.0)
            ]
        candidate_set.candidates.sort(key=lambda found: found.score_s)
        return candidate_set

    def _has_idle(
        self, loads: Sequence[BackendLoad], req: SelectionRequest, now_s: float
    ) -> bool:
        """Return whether a server is open to a request and has none."""
        is_panicking = self._is_panicking(loads, now_s)
        return any(
            load.in_flight(now_s) < 1.0
            and self._is_eligible(load, req, now_s, is_panicking)
            for load in loads
        )

    @staticmethod
    def _is_panicking(loads: Sequence[BackendLoad], now_s: float) -> bool:
        """Return whether so many servers fail that closing them helps nobody."""
        closed = sum(load.is_ejected(now_s) for load in loads)
        return closed > PANIC_THRESHOLD_SHARE * len(loads)

    def _decide(
        self,
        req: SelectionRequest,
        candidate_set: CandidateSet,
        now_s: float,
        ahead: int,
        can_wait: bool,
    ) -> Selection:
        """Choose between the best server and waiting."""
        best = candidate_set.candidates[0] if candidate_set.candidates else None
        fast_s = req.service_time_s * candidate_set.low_slowdown
        rate = candidate_set.completion_rate or float(candidate_set.usable_count)
        wait_s = max(MIN_WAIT_S, req.service_time_s / rate * (1.0 + ahead))
        selection = Selection(SelectionVerdict.WAIT, None, wait_s=wait_s)
        selection.candidate_count = len(candidate_set.candidates)
        selection.idle_share = candidate_set.idle_count / candidate_set.usable_count
        selection.usable_in_group = candidate_set.usable_in_group
        selection.max_wait_s = self._max_wait_s(
            req, candidate_set.concurrency_slowdown, now_s
        )
        if best is None:
            self._check_deadline(req, wait_s, now_s)
            selection.max_wait_s = max(MIN_WAIT_S, req.deadline_s - now_s - fast_s)
            return selection
        selection.probe_targets = self._probe_targets(candidate_set, best)
        is_slow = best.slowdown_loss_s > req.service_time_s and (
            best.load.slowdown_age_s(now_s) < SLOWDOWN_MEMORY_S
        )
        if is_slow and now_s + best.time_s > req.objective_s:
            # A machine changes its pace sooner than a slowed request ends.
            selection.max_wait_s = self._fast_machine_wait_s(req, fast_s, now_s)
            selection.is_awaiting_fast_machine = selection.max_wait_s > MIN_WAIT_S
            if selection.is_awaiting_fast_machine:
                return selection
            left_s = req.deadline_s - now_s
            if MIN_SERVICE_TIME_FACTOR * best.time_s > left_s:
                raise Refused(
                    f"an answer would take {best.time_s:.2f} s of {left_s:.2f} s",
                    self._add_jitter(MIN_RETRY_AFTER_S),
                    code="no_time",
                )
        if best.count >= 1.0:
            if ahead:
                self._check_deadline(req, wait_s, now_s)
                return selection
            slack_s = req.objective_s - now_s - best.time_s
            pays = wait_s + req.service_time_s < best.score_s and slack_s > 0.0
            if can_wait and candidate_set.usable_in_group and pays:
                return selection
        selection.verdict = SelectionVerdict.PLACE
        selection.load = best.load
        selection.in_flight = best.count
        selection.expected_s = best.time_s
        selection.slowdown_age_s = best.load.slowdown_age_s(now_s)
        selection.is_slowdown_current = (
            not candidate_set.has_slowdown_reports
            or selection.slowdown_age_s <= FRESH_SLOWDOWN_S
        )
        selection.slowdown = best.load.expected_slowdown(
            now_s, candidate_set.mean_slowdown
        )
        return selection

    @staticmethod
    def _probe_targets(
        candidate_set: CandidateSet, best: Candidate
    ) -> list[BackendLoad]:
        """Return the servers whose present pace would decide the selection."""
        found = [
            item
            for item in candidate_set.candidates
            if item.has_stale_slowdown
            and (
                item is best
                or item.optimistic_score_s + MIN_PROBE_GAIN_S < best.score_s
            )
        ]
        found.sort(key=lambda item: item.optimistic_score_s)
        return [item.load for item in found[:MAX_PROBES_PER_SELECTION]]

    @staticmethod
    def _fast_machine_wait_s(
        req: SelectionRequest, fast_s: float, now_s: float
    ) -> float:
        """Return how long a request may wait for a machine with a good pace.

        Until the last start that meets its objective; beyond that, until the last
        that is answered at all.
        """
        objective_wait_s = req.objective_s - now_s - fast_s
        if objective_wait_s > MIN_WAIT_S:
            return objective_wait_s
        return req.deadline_s - now_s - fast_s / MIN_SERVICE_TIME_FACTOR

    def _filter_allowed(
        self, loads: Sequence[BackendLoad], req: SelectionRequest
    ) -> list[BackendLoad]:
        return [load for load in loads if self.is_allowed(load, req.route)]

    def _estimate_in_flight(self, load: BackendLoad, now_s: float) -> float:
        """Return the requests to expect at a server of another group."""
        entry = load.entry
        share = self._load_table.idle_share_of_group(load.group, entry.service, now_s)
        is_near = entry.data_centre == data_centre_of(self._load_table.groups.own)
        enough = OTHER_GROUP_IDLE_SHARE if is_near else OTHER_DATA_CENTRE_IDLE_SHARE
        return 0.0 if share >= enough else 1.0

    def _is_eligible(
        self, load: BackendLoad, req: SelectionRequest, now_s: float, is_panicking: bool
    ) -> bool:
        if load.entry.id in req.excluded:
            return False
        if is_panicking:
            return not load.is_unreachable
        if load.is_ejected(now_s):
            return False
        if load.is_half_open(now_s):
            return req.route.idempotent and load.own_in_flight == 0
        suspect_s = max(
            MIN_SILENT_S, SILENT_FACTOR * req.service_time_s
        ) * load.latency_ratio(now_s)
        return load.silent_for_s(now_s) < suspect_s

    def _has_cold_budget(
        self, load: BackendLoad, rule: ServiceRule, now_s: float
    ) -> bool:
        """Return whether a cold server bears one more request."""
        if not load.is_cold(now_s):
            return True
        sends = load.sends_in_last_second(now_s)
        if load.group == self._load_table.groups.own:
            return sends < max(1, int(rule.cold_rate * self.cold_rate_factor))
        return sends == 0 and load.own_in_flight == 0

    def _score(
        self,
        load: BackendLoad,
        req: SelectionRequest,
        candidate_set: CandidateSet,
        count: float,
        now_s: float,
    ) -> Candidate:
        """Return what a request may expect at a server with room."""
        base_s = req.service_time_s * load.latency_ratio(now_s)
        if count + 1.0 >= load.entry.slots and load.entry.slots > 1:
            base_s *= candidate_set.concurrency_slowdown
        cold = COLD_FACTOR if load.is_cold(now_s) else 1.0
        if load.group == self._load_table.groups.own:
            time_s = base_s * load.expected_slowdown(
                now_s, candidate_set.mean_slowdown * cold
            )
        else:
            # The host that keeps the place there chooses by the present pace.
            time_s = base_s * candidate_set.low_slowdown * cold
        penalty_s = self._penalty_s(
            load, req, count, candidate_set.concurrency_slowdown, now_s
        )
        found = Candidate(load, count, time_s, time_s + penalty_s)
        fast_s = base_s * candidate_set.low_slowdown * cold
        if not load.has_been_tried:
            # A new server is cold and gets a first request soon, unless its machine is
            # known to be slow just now.
            pace = load.expected_slowdown(now_s, candidate_set.low_slowdown)
            found.score_s = req.service_time_s * pace - UNTRIED_BONUS_S
        found.optimistic_score_s = fast_s + penalty_s
        found.slowdown_loss_s = time_s - fast_s
        found.has_stale_slowdown = (
            candidate_set.has_slowdown_reports
            and load.group == self._load_table.groups.own
            and not load.is_cold(now_s)
            and load.slowdown_age_s(now_s) > FRESH_SLOWDOWN_S
            and load.can_probe(now_s)
        )
        return found

    def _penalty_s(
        self,
        load: BackendLoad,
        req: SelectionRequest,
        count: float,
        concurrency_slowdown: float,
        now_s: float,
    ) -> float:
        penalty_s = self._rng.random() * 1e-3
        own = self._load_table.groups.own
        if load.group != own:
            if load.region != self._region:
                penalty_s += req.service_time_s * REMOTE_REGION_COST_FACTOR
            elif load.entry.data_centre != data_centre_of(own):
                penalty_s += req.service_time_s * OTHER_DATA_CENTRE_COST_FACTOR
            else:
                penalty_s += req.service_time_s * OTHER_GROUP_COST_FACTOR
        if not load.idle_connections:
            penalty_s += CONNECT_COST_S
        if count >= 1.0:
            # The requests already there become slower, too.
            penalty_s += (
                (concurrency_slowdown - 1.0)
                * REMAINING_SERVICE_SHARE
                * req.service_time_s
            )
        return (
            penalty_s
            + FAILURE_SCORE_WEIGHT * req.service_time_s * load.failure_score(now_s)
        )

    def _max_wait_s(
        self, req: SelectionRequest, concurrency_slowdown: float, now_s: float
    ) -> float:
        """Return how long to wait rather than share a server.

        Sharing lengthens this request and the one already there. A request that
        would miss its objective by waiting shares.
        """
        cost_s = (
            (concurrency_slowdown - 1.0)
            * (1.0 + REMAINING_SERVICE_SHARE)
            * req.service_time_s
        )
        slack_s = req.objective_s - now_s - req.service_time_s * concurrency_slowdown
        return max(MIN_WAIT_S, min(cost_s, slack_s))

    def _check_deadline(
        self, req: SelectionRequest, wait_s: float, now_s: float
    ) -> None:
        left_s = req.deadline_s - now_s
        if wait_s + req.service_time_s > left_s:
            raise Refused(
                f"an answer would take {wait_s + req.service_time_s:.2f} s of {left_s:.2f} s",
                self._add_jitter(wait_s),
                code="no_time",
            )

    def _add_jitter(self, delay_s: float) -> float:
        delay_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay_s))
        return delay_s * (0.7 + 0.6 * self._rng.random())
