"""What a host knows of one backend server at this moment."""

import math
from collections import deque

from ..desired import BackendEntry
from ..neighbours import Sighting, SightingKind

PACE_MEMORY_S = 0.15  # shared machines change their pace many times a second
PROBE_PAUSE_S = 0.2  # after a probe without an answer; the server may be full
PROBE_MISS_S = 1.0  # for which a server without an answer to a probe gets nothing
OTHERS_MEMORY_S = 0.15  # about the time of one request
SLOWNESS_GAIN = 0.3  # weight of the newest answer
SLOWNESS_HALF_LIFE_S = 4.0  # a slow server is tried again within seconds
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 12.0
BLAME_HALF_LIFE_S = 3.0  # a failure counts half after this time
BLAME_ON_SUCCESS = 0.6  # an answer keeps this part of the blame
CLOSING_BLAME = 1.7  # two failures in a row
CLOSED_FIRST_S = 0.7
CLOSED_MAX_S = 6.0
COLD_WINDOW_S = 1.0  # span over which requests to a cold server are counted


_OF_REQUESTS = frozenset({SightingKind.ANSWERED, SightingKind.FAILED})


class BackendLoad:
    """Load and health of one backend server.

    Attributes:
        entry: The server as listed.
        region: Its region.
        group: Group of hosts that place requests on it.
        own: Requests of this host in flight there.
        neighbours: Requests of neighbours in flight there, by host.
        tried: Whether any host of the data centre has sent to it.
        misdirected: Whether another server answered at its address.
        is_unreachable: Whether the last connection to it failed.
        closed_until_s: Until when it gets nothing.
        cold_until_s: Until when it is cold.
        idle_connections: Open unused connections of this host to it.
        sent_s: When the requests of this host in flight there were sent.
        probe_missed_s: When a probe of this host last got no answer.
    """

    __slots__ = (
        "entry",
        "region",
        "group",
        "own",
        "neighbours",
        "tried",
        "misdirected",
        "is_unreachable",
        "ejected_until_s",
        "cold_until_s",
        "idle_connections",
        "sent_s",
        "probe_missed_s",
        "_neighbour_sum",
        "_others",
        "_others_s",
        "_pace",
        "_pace_s",
        "_slowness",
        "_slowness_s",
        "_blame",
        "_blame_s",
        "_closings",
        "_answered_s",
        "_recent",
    )

    def __init__(self, entry: BackendEntry, region: str) -> None:
        self.entry = entry
        self.region = region
        self.group = ""
        self.own = 0
        self.neighbours: dict[str, int] = {}
        self.tried = False
        self.misdirected = False
        self.is_unreachable = False
        self.ejected_until_s = -1.0
        self.cold_until_s = -1.0
        self.idle_connections = 0
        self.sent_s: list[float] = []
        self.probe_missed_s = -1e9
        self._neighbour_sum = 0
        self._others = 0.0
        self._others_s = -1e9
        self._pace = 1.0
        self._pace_s = -1e9
        self._slowness = 1.0
        self._slowness_s = 0.0
        self._blame = 0.0
        self._blame_s = 0.0
        self._closings = 0
        self._answered_s = -1e9
        self._recent: deque[float] = deque()

    # Requests in flight.

    def begin(self, now_s: float) -> None:
        """Count a request that this host sends."""
        self.reserve_slot(now_s)
        self.sent_s.append(now_s)

    def reserve_slot(self, now_s: float) -> None:
        """Count a request that another host is about to send; ``end`` it later."""
        self.own += 1
        self.tried = True
        self._count_send(now_s)

    def end(self, sent_s: float) -> None:
        """Count the end of a request of this host."""
        self.own -= 1
        if sent_s in self.sent_s:
            self.sent_s.remove(sent_s)

    def set_neighbour(self, host: str, count: int, now_s: float) -> None:
        """Replace the number of requests of a neighbour."""
        before = self.neighbours.get(host, 0)
        if count == before:
            return
        self._neighbour_sum += count - before
        if count:
            self.neighbours[host] = count
        else:
            self.neighbours.pop(host, None)
        for _ in range(count - before):
            self.tried = True
            self._count_send(now_s)

    def in_flight(self, now_s: float) -> float:
        """Return requests in flight: own, of neighbours, and estimated others."""
        age_s = now_s - self._others_s
        others = self._others if age_s < OTHERS_MEMORY_S else 0.0
        return self.own + self._neighbour_sum + others

    def _count_send(self, now_s: float) -> None:
        self._recent.append(now_s)
        while self._recent and now_s - self._recent[0] > COLD_WINDOW_S:
            self._recent.popleft()

    def sends_last_second(self, now_s: float) -> int:
        """Return requests that the data centre sent to it within the last second."""
        while self._recent and now_s - self._recent[0] > COLD_WINDOW_S:
            self._recent.popleft()
        return len(self._recent)

    # Health and speed.

    def observe(self, seen: Sighting, now_s: float) -> None:
        """Take over what this host or a neighbour learned."""
        if seen.running >= 0:
            known = self.own + self._neighbour_sum
            if seen.kind in _OF_REQUESTS:
                # The report counts the request that it answers, which has ended.
                known += 1
            self._others = max(0.0, float(seen.running + seen.waiting - known))
            self._others_s = now_s
        if seen.pace > 0.0:
            self._pace = seen.pace
            self._pace_s = now_s
        if seen.cold_left_s >= 0.0:
            self.cold_until_s = now_s + seen.cold_left_s
        kind = seen.kind
        if kind is SightingKind.ANSWERED:
            self._answered_s = now_s
            self.is_unreachable = False
            self._blame = self.failure_score(now_s) * BLAME_ON_SUCCESS
            self._blame_s = now_s
            self._closings = 0
            self.ejected_until_s = -1.0
        elif kind is SightingKind.MISDIRECTED:
            self.misdirected = True
        elif kind is SightingKind.UNREACHABLE:
            self.is_unreachable = True
            self._add_blame(2.0, now_s)
        elif kind is not SightingKind.REFUSED:
            self._add_blame(1.0, now_s)

    def _add_blame(self, amount: float, now_s: float) -> None:
        self._blame = self.failure_score(now_s) + amount
        self._blame_s = now_s
        if self._blame >= CLOSING_BLAME:
            pause_s = min(CLOSED_MAX_S, CLOSED_FIRST_S * 2.0**self._closings)
            if now_s >= self.ejected_until_s:
                self._closings += 1
            self.ejected_until_s = now_s + pause_s

    def blame(self, now_s: float) -> float:
        """Return recent failures, each counting less as it ages."""
        return self._blame * 0.5 ** ((now_s - self._blame_s) / BLAME_HALF_LIFE_S)

    def is_ejected(self, now_s: float) -> bool:
        """Return True while failures, or a probe without an answer, keep it closed."""
        missed = self.probe_missed_s > max(self._answered_s, self._pace_s)
        return now_s < self.ejected_until_s or (
            missed and now_s - self.probe_missed_s < PROBE_MISS_S
        )

    def is_half_open(self, now_s: float) -> bool:
        """Return True between a pause and the next answer."""
        return self._closings > 0 and now_s >= self.ejected_until_s

    def observe_latency_ratio(self, ratio: float, now_s: float) -> None:
        """Take over the time of an answer relative to the usual one."""
        before = self.latency_ratio(now_s)
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        self._slowness = before + SLOWNESS_GAIN * (ratio - before)
        self._slowness_s = now_s

    def latency_ratio(self, now_s: float) -> float:
        """Return how long work takes relative to the usual; ages towards 1."""
        kept = 0.5 ** ((now_s - self._slowness_s) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * kept

    def pace_factor(self, now_s: float, usual: float) -> float:
        """Return how long work that starts now takes relative to a free machine.

        The pace at the start of a request holds for all of it. The last report
        counts less as it ages.

        Args:
            now_s: Monotonic time.
            usual: Average of this factor over the servers of the service.
        """
        kept = math.exp(-max(0.0, now_s - self._pace_s) / PACE_MEMORY_S)
        return usual + (self._pace - usual) * kept

    def can_probe(self, now_s: float) -> bool:
        """Return False for a while after a probe got no answer."""
        return now_s - self.probe_missed_s > PROBE_PAUSE_S

    def pace_age_s(self, now_s: float) -> float:
        """Return the age of the last reported pace."""
        return now_s - self._pace_s

    def silent_for_s(self, now_s: float) -> float:
        """Return for how long a request of this host has seen no sign of life.

        A server that has answered another request since then works; the request is
        merely a long one.
        """
        if not self.sent_s or self._answered_s > self.sent_s[0]:
            return 0.0
        return now_s - self.sent_s[0]

    def is_cold(self, now_s: float) -> bool:
        """Return True while the server bears little."""
        return now_s < self.cold_until_s
