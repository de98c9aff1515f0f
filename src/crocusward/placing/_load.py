"""Load and health of one backend server, as this host knows them."""

import math
from collections import deque

from ..desired import BackendEntry
from ..neighbours import BackendObservation, ObservationKind
from ._rate_limit import BURST_S, NO_LIMIT, PermitBucket, ServerRateLimit

# The slowdown of shared machines changes many times a second.
SLOWDOWN_DECAY_S = 0.15
PROBE_BACKOFF_S = 0.2  # after an unanswered probe; the server may be full
PROBE_MISS_EJECTION_S = 1.0  # after an unanswered probe
UNATTRIBUTED_MEMORY_S = 0.15  # about the time of one request
LATENCY_RATIO_SMOOTHING_FACTOR = 0.3
LATENCY_RATIO_HALF_LIFE_S = 4.0  # a slow server is retried within seconds
MIN_LATENCY_RATIO = 0.5
MAX_LATENCY_RATIO = 12.0
FAILURE_SCORE_HALF_LIFE_S = 3.0
SUCCESS_SCORE_FACTOR = 0.6  # applied to the failure score at each answer
EJECTION_SCORE = 1.7  # reached by two failures in a row
BASE_EJECTION_S = 0.7
MAX_EJECTION_S = 6.0
COLD_WINDOW_S = 1.0  # over which requests to a cold server are counted
DEFAULT_COLD_RATE_PER_S = 1.0  # until the rate of the service is known
DEFAULT_COLD_BURST = 1.0  # requests

_REQUEST_OUTCOMES = frozenset({ObservationKind.ANSWERED, ObservationKind.FAILED})


class BackendLoad:
    """Load and health of one backend server.

    Attributes:
        entry: Entry of the server in the directory.
        region: Region of the server.
        group: Group of hosts that sends requests to it.
        own_in_flight: Requests of this host in flight, including reserved slots.
        neighbour_in_flight: Requests of neighbours in flight, by host.
        has_been_tried: Whether this host or a neighbour of its group has sent to it or
            reserved a slot there.
        is_misdirected: Whether another server answered at its address.
        is_unreachable: Whether the last connection to it failed.
        ejected_until_s: Monotonic time until which it is ejected.
        cold_until_s: Monotonic time until which it is cold.
        cold_told_until_s: The same, as its own answers said; entries may be older.
        cold_rate_per_s: Requests per second that it takes from all hosts together while
            it is cold.
        cold_burst: Requests that it takes at once while it is cold.
        rate_limit: Request rate that it named, for all hosts together.
        permits: Tokens of the rate that holds now, while there is a limit.
        idle_connections: Number of idle connections of this host to it.
        sent_times_s: Monotonic send times of this host's requests in flight.
        probe_missed_s: Monotonic time of this host's last unanswered probe.
    """

    __slots__ = (
        "entry",
        "region",
        "group",
        "own_in_flight",
        "neighbour_in_flight",
        "has_been_tried",
        "is_misdirected",
        "is_unreachable",
        "ejected_until_s",
        "cold_until_s",
        "cold_told_until_s",
        "cold_rate_per_s",
        "cold_burst",
        "rate_limit",
        "permits",
        "idle_connections",
        "sent_times_s",
        "probe_missed_s",
        "_neighbour_total",
        "_unattributed",
        "_unattributed_at_s",
        "_slowdown",
        "_slowdown_at_s",
        "_latency_ratio",
        "_latency_ratio_at_s",
        "_failure_score",
        "_failure_score_at_s",
        "_ejection_count",
        "_answered_at_s",
        "_recent_sends",
    )

    def __init__(self, entry: BackendEntry, region: str) -> None:
        self.entry = entry
        self.region = region
        self.group = ""
        self.own_in_flight = 0
        self.neighbour_in_flight: dict[str, int] = {}
        self.has_been_tried = False
        self.is_misdirected = False
        self.is_unreachable = False
        self.ejected_until_s = -1.0
        self.cold_until_s = -1.0
        self.cold_told_until_s = -1.0
        self.cold_rate_per_s = DEFAULT_COLD_RATE_PER_S
        self.cold_burst = DEFAULT_COLD_BURST
        self.rate_limit = ServerRateLimit()
        self.permits = PermitBucket()
        self.idle_connections = 0
        self.sent_times_s: list[float] = []
        self.probe_missed_s = -1e9
        self._neighbour_total = 0
        self._unattributed = 0.0
        self._unattributed_at_s = -1e9
        self._slowdown = 1.0
        self._slowdown_at_s = -1e9
        self._latency_ratio = 1.0
        self._latency_ratio_at_s = 0.0
        self._failure_score = 0.0
        self._failure_score_at_s = 0.0
        self._ejection_count = 0
        self._answered_at_s = -1e9
        self._recent_sends: deque[float] = deque()

    # Requests in flight.

    def begin(self, now_s: float) -> None:
        """Count a request that this host sends."""
        self.reserve_slot(now_s)
        self.sent_times_s.append(now_s)

    def reserve_slot(self, now_s: float) -> None:
        """Count a request that another host is about to send, until ``end``."""
        self.own_in_flight += 1
        self.has_been_tried = True
        self._count_send(now_s)

    def keep_reserved(self, sent_s: float) -> None:
        """Turn a request of this host into a slot reserved for another host."""
        self.sent_times_s.remove(sent_s)

    def hold_free_slots(self) -> int:
        """Count all slots but one as taken, so that a request runs alone.

        Returns:
            The number of slots, for ``release_held_slots``.
        """
        held = max(0, self.entry.slots - 1)
        self.own_in_flight += held
        return held

    def release_held_slots(self, count: int) -> None:
        """Free slots that were held for a request to run alone."""
        self.own_in_flight -= count

    def end(self, sent_s: float) -> None:
        """Count the end of a request of this host."""
        self.own_in_flight -= 1
        if sent_s in self.sent_times_s:
            self.sent_times_s.remove(sent_s)

    def set_neighbour_in_flight(
        self, host: str, count: int, now_s: float, *, ended_count: int = 0
    ) -> None:
        """Replace the number of a neighbour's requests in flight.

        Args:
            host: Name of the neighbour.
            count: Its requests in flight.
            now_s: Monotonic time.
            ended_count: Number of its requests that ended since its last report. As
                many others may have begun meanwhile, with no change of ``count``.
        """
        before = self.neighbour_in_flight.get(host, 0)
        for _ in range(count - before + ended_count):
            self.has_been_tried = True
            self._count_send(now_s, host)
        if count == before:
            return
        self._neighbour_total += count - before
        if count:
            self.neighbour_in_flight[host] = count
        else:
            self.neighbour_in_flight.pop(host, None)

    def in_flight(self, now_s: float) -> float:
        """Return the requests in flight: own, of neighbours, and unattributed ones."""
        age_s = now_s - self._unattributed_at_s
        unattributed = self._unattributed if age_s < UNATTRIBUTED_MEMORY_S else 0.0
        return self.own_in_flight + self._neighbour_total + unattributed

    def _count_send(self, now_s: float, host: str = "") -> None:
        self._recent_sends.append(now_s)
        if self.is_limited(now_s):
            self.permits.count_send(host, now_s)
        while self._recent_sends and now_s - self._recent_sends[0] > COLD_WINDOW_S:
            self._recent_sends.popleft()

    def sends_in_last_second(self, now_s: float) -> int:
        """Return how many requests this host and neighbours sent in the last second."""
        while self._recent_sends and now_s - self._recent_sends[0] > COLD_WINDOW_S:
            self._recent_sends.popleft()
        return len(self._recent_sends)

    # Health and speed.

    def observe(self, observation: BackendObservation, now_s: float) -> None:
        """Apply an observation of this host or a neighbour."""
        if observation.running >= 0:
            known = self.own_in_flight + self._neighbour_total
            if observation.kind in _REQUEST_OUTCOMES:
                # The load report includes the request just answered, which has ended.
                known += 1
            self._unattributed = max(
                0.0, float(observation.running + observation.waiting - known)
            )
            self._unattributed_at_s = now_s
        if observation.slowdown > 0.0:
            self._slowdown = observation.slowdown
            self._slowdown_at_s = now_s
        if observation.cold_left_s >= 0.0:
            self.set_cold_until(now_s + observation.cold_left_s, now_s)
            self.cold_told_until_s = self.cold_until_s
        kind = observation.kind
        if kind is ObservationKind.ANSWERED:
            self._answered_at_s = now_s
            self.is_unreachable = False
            self._failure_score = self.failure_score(now_s) * SUCCESS_SCORE_FACTOR
            self._failure_score_at_s = now_s
            self._ejection_count = 0
            self.ejected_until_s = -1.0
        elif kind is ObservationKind.MISDIRECTED:
            self.is_misdirected = True
        elif kind is ObservationKind.UNREACHABLE:
            self.is_unreachable = True
            self._add_failure(2.0, now_s)
        elif kind is not ObservationKind.REFUSED:
            self._add_failure(1.0, now_s)

    def _add_failure(self, amount: float, now_s: float) -> None:
        self._failure_score = self.failure_score(now_s) + amount
        self._failure_score_at_s = now_s
        if self._failure_score >= EJECTION_SCORE:
            ejection_s = min(
                MAX_EJECTION_S, BASE_EJECTION_S * 2.0**self._ejection_count
            )
            if now_s >= self.ejected_until_s:
                self._ejection_count += 1
            self.ejected_until_s = now_s + ejection_s

    def failure_score(self, now_s: float) -> float:
        """Return the decayed sum of recent failures."""
        return self._failure_score * 0.5 ** (
            (now_s - self._failure_score_at_s) / FAILURE_SCORE_HALF_LIFE_S
        )

    def is_ejected(self, now_s: float) -> bool:
        """Return whether failures or an unanswered probe eject the server now."""
        has_missed_probe = self.probe_missed_s > max(
            self._answered_at_s, self._slowdown_at_s
        )
        return now_s < self.ejected_until_s or (
            has_missed_probe and now_s - self.probe_missed_s < PROBE_MISS_EJECTION_S
        )

    def is_half_open(self, now_s: float) -> bool:
        """Return whether an ejection has run out without an answer since."""
        return self._ejection_count > 0 and now_s >= self.ejected_until_s

    def observe_latency_ratio(self, ratio: float, now_s: float) -> None:
        """Add the latency of an answer relative to the expected one."""
        before = self.latency_ratio(now_s)
        ratio = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        self._latency_ratio = before + LATENCY_RATIO_SMOOTHING_FACTOR * (ratio - before)
        self._latency_ratio_at_s = now_s

    def latency_ratio(self, now_s: float) -> float:
        """Return the smoothed latency ratio, which decays towards 1."""
        weight = 0.5 ** ((now_s - self._latency_ratio_at_s) / LATENCY_RATIO_HALF_LIFE_S)
        return 1.0 + (self._latency_ratio - 1.0) * weight

    def expected_slowdown(self, now_s: float, mean: float) -> float:
        """Return the slowdown of a request that starts now; 1.0 if unloaded.

        The slowdown at the start of a request holds for all of it. The last report
        counts less as it ages.

        Args:
            now_s: Monotonic time.
            mean: Slowdown assumed without a recent report, such as the mean of the
                servers of the service.
        """
        weight = math.exp(-max(0.0, now_s - self._slowdown_at_s) / SLOWDOWN_DECAY_S)
        return mean + (self._slowdown - mean) * weight

    def can_probe(self, now_s: float) -> bool:
        """Return whether the backoff after an unanswered probe is over."""
        return now_s - self.probe_missed_s > PROBE_BACKOFF_S

    def slowdown_age_s(self, now_s: float) -> float:
        """Return the age of the last reported slowdown."""
        return now_s - self._slowdown_at_s

    def silent_for_s(self, now_s: float) -> float:
        """Return the age of this host's oldest request, if nothing was answered since.

        A server that has answered a later request works, so that the older one is
        merely long; the result is then 0.
        """
        if not self.sent_times_s or self._answered_at_s > self.sent_times_s[0]:
            return 0.0
        return now_s - self.sent_times_s[0]

    # Request rate.

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is cold, and bears only a low request rate."""
        return now_s < self.cold_until_s

    def set_cold_until(self, until_s: float, now_s: float) -> None:
        """Set the end of the cold time, in monotonic seconds."""
        if until_s > now_s and not self.is_limited(now_s):
            burst = min(self.cold_rate_per_s * BURST_S, self.cold_burst)
            self.permits.restart(max(0.0, self.sends_in_last_second(now_s) - burst))
        self.cold_until_s = until_s

    def extend_cold(self, until_s: float, now_s: float) -> None:
        """Set a later end of the cold time; an earlier one changes nothing."""
        if until_s > self.cold_until_s:
            self.set_cold_until(until_s, now_s)

    def limit_per_s(self, now_s: float) -> float:
        """Return the request rate for all hosts together, or ``NO_LIMIT``."""
        named = self.rate_limit.per_s
        if not self.is_cold(now_s):
            return named
        return min(named, self.cold_rate_per_s) if named else self.cold_rate_per_s

    def told_limit_per_s(self, now_s: float) -> float:
        """Return the rate that the server itself has told hosts, or ``NO_LIMIT``."""
        named = self.rate_limit.per_s
        if now_s >= self.cold_told_until_s:
            return named
        return min(named, self.cold_rate_per_s) if named else self.cold_rate_per_s

    def extend_told_cold(self, until_s: float, now_s: float) -> bool:
        """Apply a cold time that another host was told; return whether it is news."""
        self.cold_told_until_s = max(self.cold_told_until_s, until_s)
        is_news = not self.is_cold(now_s) and until_s > now_s
        self.extend_cold(until_s, now_s)
        return is_news

    def is_limited(self, now_s: float) -> bool:
        """Return whether all hosts together must keep to a rate now."""
        return self.limit_per_s(now_s) > NO_LIMIT

    def tokens(self, share: float, now_s: float) -> float:
        """Return the permits that may be issued now, while there is a limit.

        Args:
            share: Part of the limit that this part of the group may use.
            now_s: Monotonic time.
        """
        per_s = self.limit_per_s(now_s) * share
        max_burst = self.cold_burst if self.is_cold(now_s) else math.inf
        return self.permits.tokens(per_s, now_s, max_burst)
