"""Chooses a backend server, or says that a request should wait or be refused."""

import random
from collections.abc import Collection, Sequence

from ..desired import Directory, RouteRule, ServiceRule
from ._candidates import COLD_FACTOR, Candidate, CandidateSet
from ._groups import data_centre_of
from ._load import PACE_MEMORY_S, BackendLoad
from ._load_table import BackendLoadTable
from ._selection import Selection, SelectionRequest, Refused, SelectionVerdict
from ._service_times import ServiceTimeModel

# Cost of leaving the data centre or region, in times of the work. Loads there are not
# known here; the link between regions is narrow and billed by volume, the one between
# data centres is billed less.
OTHER_DATA_CENTRE = 0.4
OTHER_GROUP = 0.2
OTHER_REGION = 1.2
SAMPLED = 48  # servers outside the group that are looked at for one request
CONNECT_S = 0.004  # cost of a new connection: a handshake at the server, and its price
FAR_TRIP_S = 0.06  # a question and an exchange between regions
# Larger bodies stay in the region while it can answer them at all: this one takes 4 ms
# of a link of 30 Mbit/s that all traffic shares.
FAR_BODY_BYTES = 16_384
FAR_WORK = 1.5  # times the usual work that most answers of a busy server take
IDLE_ELSEWHERE = 0.15  # share of idle servers from which another data centre has room
IDLE_NEAR = 0.1  # the same for another group of the data centre, asked at little cost
# Share of failing servers above which their failures say nothing of a single one, and
# closing them would only move their load to the rest.
PANIC_SHARE = 0.4
PROBED_AT_ONCE = 3  # servers that are probed together before a choice
FRESH_PACE_S = 0.025  # a small part of the time for which a machine keeps its pace
PROBE_COST_S = 0.005  # by which a server must be able to beat the best one known
# Part of the expected time that even a short request of its route takes.
SHORT_WORK = 0.7
UNTRIED_BONUS_S = 0.02  # new servers get their first request soon
BLAME_WEIGHT = 3.0  # times the work, for each recent failure
SILENT_FACTOR = 2.5  # times the expected time without an answer make a server suspect
SILENT_MIN_S = 0.1
SHARED_SHARE = 0.5  # of the work of the request already there is left on average
MIN_WAIT_S = 0.004
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 2.0
NO_BACKEND_RETRY_S = 0.6  # a closed server is tried again after about this time
FOREIGN_COLD_PERIOD_S = 2.0  # between requests of another data centre to a cold server


class BackendSelector:
    """Places requests by the expected time until the answer.

    Answers loads in which a few slow, failing or busy servers stand beside idle
    ones, and short loads above the capacity of the data centre. A server that a
    request has to itself is preferred; when all are taken, the request waits here if
    a server is likely to become free before sharing one would have paid.

    Args:
        directory: Desired state and data centres out of service.
        book: Loads of the servers.
        times: Learned times of work.
        region: Region of this host.
        rng: Breaks ties.

    Attributes:
        cold_rate_factor: Multiple of its cold rate that a cold server bears.
    """

    __slots__ = ("cold_rate_factor", "_directory", "_book", "_times", "_region", "_rng")

    def __init__(
        self,
        directory: Directory,
        book: BackendLoadTable,
        times: ServiceTimeModel,
        region: str,
        rng: random.Random,
    ) -> None:
        self.cold_rate_factor = 1.0
        self._directory = directory
        self._book = book
        self._times = times
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
        if now_s + req.service_time_s + FAR_TRIP_S > req.deadline_s:
            return None
        loads = self._book.by_service.get(req.service, [])
        far = [
            load
            for load in loads
            if load.region != self._region
            and self.is_allowed(load, req.route)
            and load.group not in avoid
            and self._is_open(load, req, now_s, False)
        ]
        return self._rng.choice(far) if far else None

    def remote_region_slack_s(self, req: SelectionRequest, now_s: float) -> float | None:
        """Return how long a request may wait here and meet its objective elsewhere.

        Answers loads above the capacity of one region beside room in another.

        Returns:
            The time until it must ask another region, below 0 if that has passed, or
            None if it has to stay.
        """
        if req.body_bytes > FAR_BODY_BYTES:
            return None
        regions = req.route.regions
        if regions and not regions - {self._region}:
            return None
        return req.objective_s - now_s - FAR_WORK * req.service_time_s - FAR_TRIP_S

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
                "the service is unknown", RETRY_AFTER_MAX_S, code="no_service"
            )
        survey = self._survey(req, rule, now_s, own_group_only, avoid)
        if not survey.usable:
            raise Refused(
                "no usable backend server",
                self._spread(NO_BACKEND_RETRY_S),
                code="no_backend",
            )
        return self._decide(req, survey, now_s, ahead, can_wait)

    def _survey(
        self,
        req: SelectionRequest,
        rule: ServiceRule,
        now_s: float,
        own_group_only: bool,
        avoid: Collection[str],
    ) -> CandidateSet:
        """Rate the servers that may run a request."""
        survey = CandidateSet(self._times, req.service)
        own = self._book.groups.own
        allowed = self._allowed(self._book.in_group(req.service, own), req)
        if not own_group_only and not self._has_idle(allowed, req, now_s):
            others = self._book.by_service.get(req.service, [])
            if len(others) > SAMPLED:
                others = self._rng.sample(others, SAMPLED)
            others = [load for load in others if load.group != own]
            allowed = allowed + self._allowed(others, req)
        ignores_closing = self._ignores_closing(allowed, now_s)
        for load in allowed:
            entry = load.entry
            is_own = load.group == own
            if not self._is_open(load, req, now_s, ignores_closing):
                continue
            count = load.in_flight(now_s)
            if not is_own:
                count = max(count, self._least_count(load, now_s))
            survey.count(load, count, is_own, now_s)
            if load.group in avoid or count + 1.0 > entry.slots:
                continue
            if not self._bears(load, rule, now_s):
                continue
            survey.candidates.append(self._rate(load, req, survey, count, now_s))
        if survey.usable_in_group:
            # The link between regions is for requests that cannot run here, and
            # another group is asked only if it has told that servers are idle.
            survey.candidates = [
                found
                for found in survey.candidates
                if found.load.group == own
                or (found.load.region == self._region and found.count < 1.0)
            ]
        survey.candidates.sort(key=lambda found: found.score_s)
        return survey

    def _has_idle(
        self, loads: Sequence[BackendLoad], req: SelectionRequest, now_s: float
    ) -> bool:
        """Return whether a server is open to a request and has none."""
        ignores_closing = self._ignores_closing(loads, now_s)
        return any(
            load.in_flight(now_s) < 1.0
            and self._is_open(load, req, now_s, ignores_closing)
            for load in loads
        )

    @staticmethod
    def _ignores_closing(loads: Sequence[BackendLoad], now_s: float) -> bool:
        """Return whether so many servers fail that closing them helps nobody."""
        closed = sum(load.is_ejected(now_s) for load in loads)
        return closed > PANIC_SHARE * len(loads)

    def _decide(
        self,
        req: SelectionRequest,
        survey: CandidateSet,
        now_s: float,
        ahead: int,
        can_wait: bool,
    ) -> Selection:
        """Choose between the best server and waiting."""
        best = survey.candidates[0] if survey.candidates else None
        good_s = req.service_time_s * survey.good_pace
        rate = survey.rate or float(survey.usable)
        wait_s = max(MIN_WAIT_S, req.service_time_s / rate * (1.0 + ahead))
        choice = Selection(SelectionVerdict.WAIT, None, wait_s=wait_s)
        choice.candidate_count = len(survey.candidates)
        choice.idle = survey.idle / survey.usable
        choice.usable_in_group = survey.usable_in_group
        choice.max_wait_s = self._patience_s(req, survey.concurrency_slowdown, now_s)
        if best is None:
            self._check_time(req, wait_s, now_s)
            choice.max_wait_s = max(MIN_WAIT_S, req.deadline_s - now_s - good_s)
            return choice
        choice.probe_targets = self._worth_probing(survey, best)
        is_slow = best.lost_s > req.service_time_s and (
            best.load.pace_age_s(now_s) < PACE_MEMORY_S
        )
        if is_slow and now_s + best.time_s > req.objective_s:
            # A machine changes its pace sooner than a slowed request ends.
            choice.max_wait_s = self._pace_patience_s(req, good_s, now_s)
            choice.is_awaiting_fast_machine = choice.max_wait_s > MIN_WAIT_S
            if choice.is_awaiting_fast_machine:
                return choice
            left_s = req.deadline_s - now_s
            if SHORT_WORK * best.time_s > left_s:
                raise Refused(
                    f"an answer would take {best.time_s:.2f} s of {left_s:.2f} s",
                    self._spread(RETRY_AFTER_MIN_S),
                    code="no_time",
                )
        if best.count >= 1.0:
            if ahead:
                self._check_time(req, wait_s, now_s)
                return choice
            slack_s = req.objective_s - now_s - best.time_s
            pays = wait_s + req.service_time_s < best.score_s and slack_s > 0.0
            if can_wait and survey.usable_in_group and pays:
                return choice
        choice.verdict = SelectionVerdict.PLACE
        choice.load = best.load
        choice.in_flight = best.count
        choice.expected_s = best.time_s
        choice.pace_age_s = best.load.pace_age_s(now_s)
        choice.is_slowdown_current = not survey.reports_pace or choice.pace_age_s <= FRESH_PACE_S
        choice.pace = best.load.pace_factor(now_s, survey.pace)
        return choice

    @staticmethod
    def _worth_probing(survey: CandidateSet, best: Candidate) -> list[BackendLoad]:
        """Return the servers whose present pace would decide the choice."""
        found = [
            item
            for item in survey.candidates
            if item.is_stale
            and (item is best or item.best_s + PROBE_COST_S < best.score_s)
        ]
        found.sort(key=lambda item: item.best_s)
        return [item.load for item in found[:PROBED_AT_ONCE]]

    @staticmethod
    def _pace_patience_s(req: SelectionRequest, good_s: float, now_s: float) -> float:
        """Return how long a request may wait for a machine with a good pace.

        Until the last start that meets its objective; beyond that, until the last
        that is answered at all.
        """
        in_aim_s = req.objective_s - now_s - good_s
        if in_aim_s > MIN_WAIT_S:
            return in_aim_s
        return req.deadline_s - now_s - good_s / SHORT_WORK

    def _allowed(
        self, loads: Sequence[BackendLoad], req: SelectionRequest
    ) -> list[BackendLoad]:
        return [load for load in loads if self.is_allowed(load, req.route)]

    def _least_count(self, load: BackendLoad, now_s: float) -> float:
        """Return the requests to expect at a server of another group."""
        entry = load.entry
        share = self._book.idle_elsewhere(load.group, entry.service, now_s)
        is_near = entry.data_centre == data_centre_of(self._book.groups.own)
        enough = IDLE_NEAR if is_near else IDLE_ELSEWHERE
        return 0.0 if share >= enough else 1.0

    def _is_open(
        self, load: BackendLoad, req: SelectionRequest, now_s: float, ignores_closing: bool
    ) -> bool:
        if load.entry.id in req.excluded:
            return False
        if ignores_closing:
            return not load.is_unreachable
        if load.is_ejected(now_s):
            return False
        if load.is_half_open(now_s):
            return req.route.idempotent and load.own == 0
        suspect_s = max(SILENT_MIN_S, SILENT_FACTOR * req.service_time_s) * load.latency_ratio(now_s)
        return load.silent_for_s(now_s) < suspect_s

    def _bears(self, load: BackendLoad, rule: ServiceRule, now_s: float) -> bool:
        """Return whether a cold server bears one more request."""
        if not load.is_cold(now_s):
            return True
        sends = load.sends_last_second(now_s)
        if load.group == self._book.groups.own:
            return sends < max(1, int(rule.cold_rate * self.cold_rate_factor))
        return sends == 0 and load.own == 0

    def _rate(
        self,
        load: BackendLoad,
        req: SelectionRequest,
        survey: CandidateSet,
        count: float,
        now_s: float,
    ) -> Candidate:
        """Return what a request may expect at a server with room."""
        base_s = req.service_time_s * load.latency_ratio(now_s)
        if count + 1.0 >= load.entry.slots and load.entry.slots > 1:
            base_s *= survey.concurrency_slowdown
        cold = COLD_FACTOR if load.is_cold(now_s) else 1.0
        if load.group == self._book.groups.own:
            time_s = base_s * load.pace_factor(now_s, survey.pace * cold)
        else:
            # The host that keeps the place there chooses by the present pace.
            time_s = base_s * survey.good_pace * cold
        extra_s = self._extra_s(load, req, count, survey.concurrency_slowdown, now_s)
        found = Candidate(load, count, time_s, time_s + extra_s)
        good_s = base_s * survey.good_pace * cold
        if not load.tried:
            # A new server is cold and gets a first request soon, unless its machine is
            # known to be slow just now.
            pace = load.pace_factor(now_s, survey.good_pace)
            found.score_s = req.service_time_s * pace - UNTRIED_BONUS_S
        found.best_s = good_s + extra_s
        found.lost_s = time_s - good_s
        found.is_stale = (
            survey.reports_pace
            and load.group == self._book.groups.own
            and not load.is_cold(now_s)
            and load.pace_age_s(now_s) > FRESH_PACE_S
            and load.can_probe(now_s)
        )
        return found

    def _extra_s(
        self,
        load: BackendLoad,
        req: SelectionRequest,
        count: float,
        concurrency_slowdown: float,
        now_s: float,
    ) -> float:
        extra_s = self._rng.random() * 1e-3
        own = self._book.groups.own
        if load.group != own:
            if load.region != self._region:
                extra_s += req.service_time_s * OTHER_REGION
            elif load.entry.data_centre != data_centre_of(own):
                extra_s += req.service_time_s * OTHER_DATA_CENTRE
            else:
                extra_s += req.service_time_s * OTHER_GROUP
        if not load.idle_connections:
            extra_s += CONNECT_S
        if count >= 1.0:
            # The requests already there become slower, too.
            extra_s += (concurrency_slowdown - 1.0) * SHARED_SHARE * req.service_time_s
        return extra_s + BLAME_WEIGHT * req.service_time_s * load.failure_score(now_s)

    def _patience_s(self, req: SelectionRequest, concurrency_slowdown: float, now_s: float) -> float:
        """Return how long to wait rather than share a server.

        Sharing lengthens this request and the one already there. A request that
        would miss its objective by waiting shares.
        """
        cost_s = (concurrency_slowdown - 1.0) * (1.0 + SHARED_SHARE) * req.service_time_s
        slack_s = req.objective_s - now_s - req.service_time_s * concurrency_slowdown
        return max(MIN_WAIT_S, min(cost_s, slack_s))

    def _check_time(self, req: SelectionRequest, wait_s: float, now_s: float) -> None:
        left_s = req.deadline_s - now_s
        if wait_s + req.service_time_s > left_s:
            raise Refused(
                f"an answer would take {wait_s + req.service_time_s:.2f} s of {left_s:.2f} s",
                self._spread(wait_s),
                code="no_time",
            )

    def _spread(self, delay_s: float) -> float:
        delay_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, delay_s))
        return delay_s * (0.7 + 0.6 * self._rng.random())
