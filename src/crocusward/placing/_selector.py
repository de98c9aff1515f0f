"""Selects a backend server for a request, or has it wait or be refused."""

import random
from collections.abc import Collection, Sequence

from ..desired import Directory, RouteRule
from ._candidates import Candidate, CandidateSet
from ._groups import data_centre_of
from ._load import SLOWDOWN_DECAY_S, BackendLoad
from ._load_table import BackendLoadTable
from ._scoring import FRESH_SLOWDOWN_S, REMAINING_SERVICE_SHARE, BackendScorer
from ._selection import (
    LimitedServers,
    Refused,
    Selection,
    SelectionRequest,
    SelectionVerdict,
)
from ._service_times import ServiceTimeModel

MAX_SAMPLED_BACKENDS = 48  # sample of all servers, if this group has no idle one
REMOTE_REGION_OVERHEAD_S = 0.06  # a slot request and an exchange between regions
# Larger bodies stay in the region while it can answer them at all: this one takes 4 ms
# of a link of 30 Mbit/s that all traffic shares.
MAX_REMOTE_BODY_BYTES = 16_384
REMOTE_SERVICE_TIME_FACTOR = 1.5  # covers most answers of a busy server
# Share of idle servers from which another data centre has free capacity.
OTHER_DATA_CENTRE_IDLE_SHARE = 0.15
OTHER_GROUP_IDLE_SHARE = 0.1  # lower, since asking inside the data centre costs little
# Share of failing servers above which their failures say nothing of a single one, and
# ejecting them would only move their load to the rest.
PANIC_THRESHOLD_SHARE = 0.4
MAX_PROBES_PER_SELECTION = 3
MIN_PROBE_GAIN_S = 0.005  # possible gain over the best candidate that justifies a probe
# Part of the expected time that even a short request of its route takes. Dividing by it
# leaves the same margin for a long one.
MIN_SERVICE_TIME_FACTOR = 0.7
SILENT_FACTOR = 2.5  # expected times without an answer that make a server suspect
MIN_SILENT_S = 0.1
MIN_WAIT_S = 0.004
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
NO_BACKEND_RETRY_AFTER_S = 0.6  # about the time of a first ejection


class BackendSelector:
    """Selects backend servers by the expected time until the answer.

    Handles a few slow, failing or busy servers among idle ones, and short peaks above
    the capacity of the data centre. An idle server is preferred; when all are busy, the
    request waits here if a server is likely to become idle before a shared one would
    have answered.

    Args:
        directory: Desired state and data centres out of service.
        load_table: Loads of the backend servers.
        service_times: Learned service times and slowdowns.
        region: Region of this host.
        rng: Random source for samples, ties and jitter.
    """

    __slots__ = (
        "_directory",
        "_load_table",
        "_service_times",
        "_region",
        "_rng",
        "_scorer",
    )

    def __init__(
        self,
        directory: Directory,
        load_table: BackendLoadTable,
        service_times: ServiceTimeModel,
        region: str,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._load_table = load_table
        self._service_times = service_times
        self._region = region
        self._rng = rng
        self._scorer = BackendScorer(load_table, region, rng)

    def is_allowed(self, load: BackendLoad, route: RouteRule, now_s: float) -> bool:
        """Return whether requests of a route may be sent to a server at all."""
        entry = load.entry
        return (
            not entry.leaving
            and not load.is_misdirected
            and entry.data_centre not in self._directory.data_centres_out
            and not self._load_table.is_closed(load, now_s)
            and (not route.regions or load.region in route.regions)
        )

    def remote_region_backend(
        self, req: SelectionRequest, now_s: float, *, avoid: Collection[str] = ()
    ) -> BackendLoad | None:
        """Return any server of a remote region that may run a request, or None.

        None also if too little time is left for an answer from there.

        The link between regions is narrow and billed by volume, and reserved for
        requests that would otherwise be refused or late.

        Args:
            req: The request.
            now_s: Monotonic time.
            avoid: Groups that were already asked.
        """
        if now_s + req.service_time_s + REMOTE_REGION_OVERHEAD_S > req.deadline_s:
            return None
        loads = self._load_table.by_service.get(req.service, [])
        remote = [
            load
            for load in loads
            if load.region != self._region
            and self.is_allowed(load, req.route, now_s)
            and load.group not in avoid
            and self._is_eligible(load, req, now_s, False)
        ]
        return self._rng.choice(remote) if remote else None

    def remote_region_slack_s(
        self, req: SelectionRequest, now_s: float
    ) -> float | None:
        """Return how long a request may wait here to be in time in a remote region.

        Serves load above the capacity of one region while another has capacity left.

        Returns:
            The time until it must ask a remote region to meet its objective there,
            negative if that has passed; or None if it has to stay in this region, for
            the size of its body or the regions of its route.
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
        limited: LimitedServers = LimitedServers.ALLOWED,
    ) -> Selection:
        """Select a server for a request, or have it wait.

        Args:
            req: The request.
            now_s: Monotonic time.
            ahead: Number of queued requests that precede it.
            can_wait: Whether it may wait for an idle server.
            own_group_only: Whether to consider only servers of this group.
            avoid: Groups without a free slot.
            limited: Which servers it may use, by their rate limits.

        Raises:
            Refused: No server can answer it in time.
        """
        state = self._directory.state
        if state is None or req.service not in state.services:
            raise Refused(
                "the service is unknown", MAX_RETRY_AFTER_S, code="no_service"
            )
        candidate_set = self._collect_candidates(
            req, now_s, own_group_only, avoid, limited
        )
        if not candidate_set.usable_count:
            raise Refused(
                "no usable backend server",
                self._add_jitter(self._no_backend_wait_s(req, now_s)),
                code="no_backend",
            )
        return self._decide(req, candidate_set, now_s, ahead, can_wait)

    def _no_backend_wait_s(self, req: SelectionRequest, now_s: float) -> float:
        """Return when a server may be usable again, if all have refused this host."""
        notices = self._load_table.notices
        pauses_s = [
            notices.pause_left_s(load.entry.id, now_s)
            for load in self._load_table.by_service.get(req.service, [])
        ]
        return max(NO_BACKEND_RETRY_AFTER_S, min(pauses_s, default=0.0))

    def _collect_candidates(
        self,
        req: SelectionRequest,
        now_s: float,
        own_group_only: bool,
        avoid: Collection[str],
        limited: LimitedServers,
    ) -> CandidateSet:
        """Score the servers that may run a request."""
        candidate_set = CandidateSet(self._service_times, req.service)
        own_group = self._load_table.groups.own
        own_loads = self._load_table.in_group(req.service, own_group)
        permits = self._load_table.permits
        permits.take_over(req.service, own_loads, now_s)
        allowed = self._filter_allowed(own_loads, req, now_s)
        if not own_group_only and not self._has_idle(allowed, req, now_s):
            others = self._load_table.by_service.get(req.service, [])
            if len(others) > MAX_SAMPLED_BACKENDS:
                others = self._rng.sample(others, MAX_SAMPLED_BACKENDS)
            others = [load for load in others if load.group != own_group]
            allowed = allowed + self._filter_allowed(others, req, now_s)
        is_panicking = self._is_panicking(allowed, now_s)
        for load in allowed:
            entry = load.entry
            is_own_group = load.group == own_group
            if not self._is_eligible(load, req, now_s, is_panicking):
                continue
            in_flight = load.in_flight(now_s)
            if not is_own_group:
                in_flight = max(in_flight, self._estimate_in_flight(load, now_s))
            has_permit = True
            if is_own_group and load.is_limited(now_s):
                has_permit = permits.has_token(load, now_s)
                rate_per_s = permits.rate_per_s(load, now_s)
                candidate_set.add_usable(
                    load,
                    in_flight,
                    is_own_group,
                    now_s,
                    max_completions=rate_per_s * req.service_time_s,
                    has_permit=has_permit,
                )
                has_permit = has_permit and limited is not LimitedServers.EXCLUDED
            elif limited is LimitedServers.REQUIRED:
                continue
            else:
                candidate_set.add_usable(load, in_flight, is_own_group, now_s)
            if load.group in avoid or in_flight + 1.0 > entry.slots or not has_permit:
                continue
            candidate_set.candidates.append(
                self._scorer.score(load, req, candidate_set, in_flight, now_s)
            )
        if candidate_set.usable_in_group:
            # The link between regions is for requests that cannot run here, and another
            # group is asked only if it has reported idle servers.
            candidate_set.candidates = [
                candidate
                for candidate in candidate_set.candidates
                if candidate.load.group == own_group
                or (candidate.load.region == self._region and candidate.in_flight < 1.0)
            ]
        candidate_set.candidates.sort(key=lambda candidate: candidate.score_s)
        return candidate_set

    def _has_idle(
        self, loads: Sequence[BackendLoad], req: SelectionRequest, now_s: float
    ) -> bool:
        """Return whether any server is idle and eligible for a request."""
        is_panicking = self._is_panicking(loads, now_s)
        permits = self._load_table.permits
        return any(
            load.in_flight(now_s) < 1.0
            and permits.has_token(load, now_s)
            and self._is_eligible(load, req, now_s, is_panicking)
            for load in loads
        )

    @staticmethod
    def _is_panicking(loads: Sequence[BackendLoad], now_s: float) -> bool:
        """Return whether more servers than the panic threshold are ejected."""
        ejected_count = sum(load.is_ejected(now_s) for load in loads)
        return ejected_count > PANIC_THRESHOLD_SHARE * len(loads)

    def _decide(
        self,
        req: SelectionRequest,
        candidate_set: CandidateSet,
        now_s: float,
        ahead: int,
        can_wait: bool,
    ) -> Selection:
        """Choose between the best candidate and waiting.

        Raises:
            Refused: No server can answer it in time.
        """
        best = candidate_set.candidates[0] if candidate_set.candidates else None
        fast_s = req.service_time_s * candidate_set.low_slowdown
        rate = candidate_set.completions_per_service_time or float(
            candidate_set.usable_count
        )
        wait_s = max(MIN_WAIT_S, req.service_time_s / rate * (1.0 + ahead))
        wait_s = min(wait_s, candidate_set.warm_in_s + req.service_time_s)
        selection = Selection(SelectionVerdict.WAIT, None, wait_s=wait_s)
        selection.candidate_count = len(candidate_set.candidates)
        selection.idle_share = candidate_set.count_idle / candidate_set.usable_count
        selection.usable_in_group = candidate_set.usable_in_group
        selection.limited_count = candidate_set.limited_count
        selection.without_permit_count = candidate_set.without_permit_count
        selection.cold_count = candidate_set.cold_count
        selection.warm_in_s = candidate_set.warm_in_s
        selection.completions_per_s = rate / req.service_time_s
        selection.max_wait_s = self._max_wait_s(
            req, candidate_set.concurrency_slowdown, now_s
        )
        if best is None:
            self._check_deadline(req, wait_s, now_s, candidate_set)
            selection.max_wait_s = max(MIN_WAIT_S, req.deadline_s - now_s - fast_s)
            return selection
        selection.probe_targets = self._probe_targets(candidate_set, best)
        is_slow = best.slowdown_loss_s > req.service_time_s and (
            best.load.slowdown_age_s(now_s) < SLOWDOWN_DECAY_S
        )
        if is_slow and now_s + best.expected_s > req.objective_s:
            # A machine changes its slowdown sooner than a slowed request ends.
            selection.max_wait_s = self._fast_machine_wait_s(req, fast_s, now_s)
            selection.is_awaiting_fast_machine = selection.max_wait_s > MIN_WAIT_S
            if selection.is_awaiting_fast_machine:
                return selection
            left_s = req.deadline_s - now_s
            if MIN_SERVICE_TIME_FACTOR * best.expected_s > left_s:
                raise Refused(
                    f"an answer would take {best.expected_s:.2f} s of {left_s:.2f} s",
                    self._add_jitter(MIN_RETRY_AFTER_S),
                    code="no_time",
                )
        own_group = self._load_table.groups.own
        is_limited = best.load.is_limited(now_s) and best.load.group == own_group
        if best.in_flight >= 1.0 or is_limited:
            if ahead:
                self._check_deadline(req, wait_s, now_s, candidate_set)
                return selection
        if best.in_flight >= 1.0:
            slack_s = req.objective_s - now_s - best.expected_s
            is_wait_shorter = (
                wait_s + req.service_time_s < best.score_s and slack_s > 0.0
            )
            if can_wait and candidate_set.usable_in_group and is_wait_shorter:
                return selection
        selection.verdict = SelectionVerdict.PLACE
        selection.load = best.load
        selection.needs_permit = is_limited and not self._is_coordinator(req, now_s)
        selection.in_flight = best.in_flight
        selection.expected_s = best.expected_s
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
        """Return the servers whose current slowdown could change the selection."""
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
        """Return how long a request may wait for a machine with a low slowdown.

        Up to the last start that meets its objective; if that has passed, up to the
        last start that meets its deadline.
        """
        objective_wait_s = req.objective_s - now_s - fast_s
        if objective_wait_s > MIN_WAIT_S:
            return objective_wait_s
        return req.deadline_s - now_s - fast_s / MIN_SERVICE_TIME_FACTOR

    def _is_coordinator(self, req: SelectionRequest, now_s: float) -> bool:
        return self._load_table.permits.is_coordinator(req.service, now_s)

    def _filter_allowed(
        self, loads: Sequence[BackendLoad], req: SelectionRequest, now_s: float
    ) -> list[BackendLoad]:
        return [load for load in loads if self.is_allowed(load, req.route, now_s)]

    def _estimate_in_flight(self, load: BackendLoad, now_s: float) -> float:
        """Return the requests in flight to assume at a server of another group."""
        entry = load.entry
        share = self._load_table.idle_share_of_group(load.group, entry.service, now_s)
        is_same_data_centre = entry.data_centre == data_centre_of(
            self._load_table.groups.own
        )
        min_idle_share = (
            OTHER_GROUP_IDLE_SHARE
            if is_same_data_centre
            else OTHER_DATA_CENTRE_IDLE_SHARE
        )
        return 0.0 if share >= min_idle_share else 1.0

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

    def _max_wait_s(
        self, req: SelectionRequest, concurrency_slowdown: float, now_s: float
    ) -> float:
        """Return how long to wait rather than share a server.

        Sharing slows down this request and the one already running. A request that
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
        self,
        req: SelectionRequest,
        wait_s: float,
        now_s: float,
        candidate_set: CandidateSet,
    ) -> None:
        left_s = req.deadline_s - now_s
        if wait_s + req.service_time_s <= left_s:
            return
        took_s = wait_s + req.service_time_s
        reason = f"an answer would take {took_s:.2f} s of {left_s:.2f} s"
        if candidate_set.without_permit_count:
            reason += (
                f", {candidate_set.without_permit_count} servers at their limit,"
                f" {candidate_set.cold_count} cold"
            )
        raise Refused(
            reason,
            self._add_jitter(wait_s),
            code="rate_limited" if candidate_set.without_permit_count else "no_time",
        )

    def refuse_for_limits(
        self, req: SelectionRequest, wait_s: float, now_s: float
    ) -> Refused:
        """Return the refusal of a queued request that cannot be served in time.

        Args:
            req: The request.
            wait_s: Expected further wait.
            now_s: Monotonic time.
        """
        return Refused(
            f"an answer would take {wait_s + req.service_time_s:.2f} s of"
            f" {req.deadline_s - now_s:.2f} s, servers at their limit",
            self._add_jitter(wait_s),
            code="rate_limited",
        )

    def _add_jitter(self, delay_s: float) -> float:
        delay_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay_s))
        return delay_s * (0.7 + 0.6 * self._rng.random())
