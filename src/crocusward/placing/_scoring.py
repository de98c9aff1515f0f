"""Scores backend servers by the expected time of a request and its cost to others."""

import random

from ._candidates import COLD_FACTOR, Candidate, CandidateSet
from ._groups import data_centre_of
from ._load import BackendLoad
from ._load_table import BackendLoadTable
from ._selection import SelectionRequest

# Costs of leaving the group, data centre or region, as multiples of the service time.
# Loads there are not known here; the link between regions is narrow and billed by
# volume, the one between data centres is billed less.
OTHER_DATA_CENTRE_COST_FACTOR = 0.4
OTHER_GROUP_COST_FACTOR = 0.2
REMOTE_REGION_COST_FACTOR = 1.2
CONNECT_COST_S = 0.004  # a handshake at the server, and its price
PERMIT_COST_S = 0.002  # a message to the coordinator and back
FRESH_SLOWDOWN_S = 0.025  # a small part of the time for which a slowdown lasts
UNTRIED_BONUS_S = 0.02  # new servers get their first request soon
FAILURE_SCORE_WEIGHT = 3.0  # service times per recent failure
REMAINING_SERVICE_SHARE = 0.5  # of a request already running, on average


class BackendScorer:
    """Scores the servers that have a free slot for a request.

    Args:
        load_table: Loads of the backend servers.
        region: Region of this host.
        rng: Random source for ties.
    """

    __slots__ = ("_load_table", "_permits", "_region", "_rng")

    def __init__(
        self, load_table: BackendLoadTable, region: str, rng: random.Random
    ) -> None:
        self._load_table = load_table
        self._permits = load_table.permits
        self._region = region
        self._rng = rng

    def score(
        self,
        load: BackendLoad,
        req: SelectionRequest,
        candidate_set: CandidateSet,
        in_flight: float,
        now_s: float,
    ) -> Candidate:
        """Return the candidate for a request at a server with a free slot."""
        base_s = req.service_time_s * load.latency_ratio(now_s)
        if in_flight + 1.0 >= load.entry.slots and load.entry.slots > 1:
            base_s *= candidate_set.concurrency_slowdown
        cold_factor = COLD_FACTOR if load.is_cold(now_s) else 1.0
        if load.group == self._load_table.groups.own:
            expected_s = base_s * load.expected_slowdown(
                now_s, candidate_set.mean_slowdown * cold_factor
            )
        else:
            # The host that reserves the slot there selects by the current slowdown.
            expected_s = base_s * candidate_set.low_slowdown * cold_factor
        penalty_s = self._penalty_s(
            load, req, in_flight, candidate_set.concurrency_slowdown, now_s
        )
        candidate = Candidate(load, in_flight, expected_s, expected_s + penalty_s)
        fast_s = base_s * candidate_set.low_slowdown * cold_factor
        if not load.has_been_tried:
            # A new server is cold and gets a first request soon, unless its machine is
            # known to be slow now.
            slowdown = load.expected_slowdown(now_s, candidate_set.low_slowdown)
            candidate.score_s = req.service_time_s * slowdown - UNTRIED_BONUS_S
        candidate.optimistic_score_s = fast_s + penalty_s
        candidate.slowdown_loss_s = expected_s - fast_s
        candidate.has_stale_slowdown = (
            candidate_set.has_slowdown_reports
            and load.group == self._load_table.groups.own
            and not load.is_cold(now_s)
            and (
                not load.is_limited(now_s)
                or self._permits.is_coordinator(req.service, now_s)
            )
            and load.slowdown_age_s(now_s) > FRESH_SLOWDOWN_S
            and load.can_probe(now_s)
        )
        return candidate

    def _penalty_s(
        self,
        load: BackendLoad,
        req: SelectionRequest,
        in_flight: float,
        concurrency_slowdown: float,
        now_s: float,
    ) -> float:
        penalty_s = self._rng.random() * 1e-3
        own_group = self._load_table.groups.own
        if load.group != own_group:
            if load.region != self._region:
                penalty_s += req.service_time_s * REMOTE_REGION_COST_FACTOR
            elif load.entry.data_centre != data_centre_of(own_group):
                penalty_s += req.service_time_s * OTHER_DATA_CENTRE_COST_FACTOR
            else:
                penalty_s += req.service_time_s * OTHER_GROUP_COST_FACTOR
        if not load.idle_connections:
            penalty_s += CONNECT_COST_S
        if load.is_limited(now_s) and not self._permits.is_coordinator(
            req.service, now_s
        ):
            penalty_s += PERMIT_COST_S
        if in_flight >= 1.0:
            # The requests already running there become slower as well.
            penalty_s += (
                (concurrency_slowdown - 1.0)
                * REMAINING_SERVICE_SHARE
                * req.service_time_s
            )
        return (
            penalty_s
            + FAILURE_SCORE_WEIGHT * req.service_time_s * load.failure_score(now_s)
        )
