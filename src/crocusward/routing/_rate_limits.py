"""Rate limits that backend servers name, kept over all entry hosts by permits."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from ..limits import HostCounter
from ..logs import EventSampler, Level
from ..model import Backend, BackendAnswer
from ..peer import (
    Message,
    RateLimitEntry,
    RateLimitPermit,
    RateLimitPermitRequest,
    RateLimitReport,
)
from ..placing import NO_LIMIT, PERMIT_LIFETIME_S, PermitBucket, ServerRateLimit
from ..timing import TimerService
from ._backend_view import UNLIMITED
from ._slow_start_state import rendezvous_score

PERMIT_REQUEST_PERIOD_S = 0.25
TURN_LIFETIME_S = 0.6  # two requests for permits, one of which may be late
TURN_CHECK_PERIOD_S = 0.02
MAX_PERMIT_COUNT = 64  # that one message asks for
MS_PER_S = 1000.0


class RateLimitState:
    """Rate limit of one backend server, as this host knows it.

    Attributes:
        backend: The server.
        boot: Boot id that named the limit, or "".
        limit: The limit.
        bucket: Permits that this host issues, if it is the coordinator.
        coordinator: Host that issues the permits, or None while not determined.
        coordinated_since_s: When this host became the coordinator, in seconds, or None
            if it was not when it last looked.
        permit_ends_s: When the permits that this host holds expire, in seconds.
        requested_s: When this host last requested permits, in seconds.
        turns: Hosts that wait for permits, in order.
    """

    __slots__ = (
        "backend",
        "boot",
        "limit",
        "bucket",
        "coordinator",
        "coordinated_since_s",
        "permit_ends_s",
        "requested_s",
        "turns",
    )

    def __init__(self, backend: Backend, boot: str) -> None:
        self.backend = backend
        self.boot = boot
        self.limit = ServerRateLimit()
        self.bucket = PermitBucket()
        self.coordinator: str | None = None
        self.coordinated_since_s: float | None = None
        self.permit_ends_s: list[float] = []
        self.requested_s = -1e9
        self.turns: dict[str, _Turn] = {}


class _Turn:
    """Place of a host among those that wait for permits of one server.

    Attributes:
        count: Number of permits wanted.
        requested_s: When the host last requested them, in seconds.
        asked_ms: The same by the clock of that host, in milliseconds.
    """

    __slots__ = ("count", "requested_s", "asked_ms")

    def __init__(self) -> None:
        self.count = 0
        self.requested_s = 0.0
        self.asked_ms = 0


class FleetRateLimits:
    """Decides how many requests this host may send to a rate-limited server.

    A server takes its limit from all hosts together. One entry host of its region, the
    coordinator, issues permits from a token bucket; hosts wait for them in turn. The
    coordinator is the first by rendezvous hashing among the linked hosts. Hosts that
    see different links may choose different ones, so each issues only the share of the
    limit that its linked hosts are of the known ones. A new coordinator starts with an
    empty bucket once the permits of the one before it have expired. Hosts of other
    regions get no permits.

    Args:
        timer: Schedules the turns.
        clock: Clock of the limits in seconds; goes on while the host is suspended.
        host: Name of this host.
        region_share: Number of entry hosts of this region.
        broadcast: Sends a message to all peers.
        send: Sends a message to one peer.

    Attributes:
        states: State of each server that named a limit, by id.
    """

    __slots__ = (
        "states",
        "_timer",
        "_clock",
        "_host",
        "_region_share",
        "_broadcast",
        "_send",
        "_hosts",
        "_sampler",
        "_is_check_scheduled",
    )

    def __init__(
        self,
        timer: TimerService,
        clock: Callable[[], float],
        host: str,
        region_share: HostCounter,
        broadcast: Callable[[Message], object],
        send: Callable[[str, Message], object],
    ) -> None:
        self.states: dict[str, RateLimitState] = {}
        self._timer = timer
        self._clock = clock
        self._host = host
        self._region_share = region_share
        self._broadcast = broadcast
        self._send = send
        self._hosts: dict[str, list[str]] = {}
        self._sampler = EventSampler(timer.now)
        self._is_check_scheduled = False

    def now(self) -> float:
        """Return the time of the clock of the limits, in seconds."""
        return self._clock()

    def set_hosts(self, hosts_by_region: Mapping[str, Sequence[str]]) -> None:
        """Replace the linked entry hosts of each region, with this one."""
        self._hosts = {region: list(h) for region, h in hosts_by_region.items()}
        for state in self.states.values():
            state.coordinator = None

    def forget_backends(self, backend_ids: Iterable[str]) -> None:
        """Delete the limits of servers that are no longer listed."""
        for id in backend_ids:
            self.states.pop(id, None)

    # What servers and peers say.

    def observe(
        self, backend: Backend, answer: BackendAnswer, asked_s: float, request_id: str
    ) -> bool:
        """Apply what an answer says of the limit; return whether it changed.

        Args:
            backend: The server.
            answer: Its answer.
            asked_s: When the request was sent, by the clock of the limits.
            request_id: Id of the request, or "" for a probe.
        """
        if answer.rate_limit_error:
            self._log(
                "backend_limit_ignored",
                backend.id,
                Level.WARNING,
                reason=answer.rate_limit_error,
                id=request_id,
            )
            return False
        per_s = answer.rate_limit_per_s
        state = self.states.get(backend.id)
        if per_s < NO_LIMIT or (state is None and per_s == NO_LIMIT):
            return False
        state = self._get_state(backend, answer.boot)
        before = state.limit.per_s
        if not state.limit.observe(per_s, asked_s, self._clock()):
            return False
        self._log_change(state, before, id=request_id)
        self._broadcast(RateLimitReport((self._make_entry(state),)))
        return True

    def merge(self, host: str, backend: Backend, entry: RateLimitEntry) -> bool:
        """Apply what a peer knew of a server; return whether the limit changed."""
        known_s = self._clock() - entry.age_ms / MS_PER_S
        state = self.states.get(backend.id)
        if state is not None and known_s <= state.limit.known_s:
            return False
        if state is None or entry.per_s > NO_LIMIT:
            state = self._get_state(backend, entry.boot)
        before = state.limit.per_s
        if not state.limit.merge(entry.per_s, known_s):
            return False
        self._log_change(state, before, source=host)
        return True

    def make_report(self) -> RateLimitReport:
        """Return all limits in force, for a peer that was just linked."""
        states = [state for state in self.states.values() if state.limit]
        return RateLimitReport(tuple(self._make_entry(state) for state in states))

    def _get_state(self, backend: Backend, boot: str) -> RateLimitState:
        state = self.states.get(backend.id)
        if state is None or (boot and state.boot and boot != state.boot):
            state = self.states[backend.id] = RateLimitState(backend, boot)
        state.boot = state.boot or boot
        return state

    def _make_entry(self, state: RateLimitState) -> RateLimitEntry:
        age_s = max(0.0, self._clock() - state.limit.known_s)
        return RateLimitEntry(
            state.backend.id, state.boot, state.limit.per_s, int(age_s * MS_PER_S)
        )

    # What this host may send.

    def is_limited(self, backend_id: str) -> bool:
        """Return whether a server names a limit."""
        state = self.states.get(backend_id)
        return state is not None and bool(state.limit)

    def count_available(self, backend_id: str) -> int:
        """Return how many requests this host may send to a server now."""
        state = self.states.get(backend_id)
        if state is None or not state.limit:
            return UNLIMITED
        now_s = self._clock()
        if not self._is_coordinator(state):
            return sum(end_s >= now_s for end_s in state.permit_ends_s)
        self._serve_turns(state)
        count = max(0, int(self._count_tokens(state)))
        if next(iter(state.turns), self._host) != self._host:
            return 0
        return min(count, 1) if len(state.turns) > 1 else count

    def take(self, backend_id: str) -> bool:
        """Use a permit for a request that this host is about to send.

        Returns:
            False if it has none.
        """
        state = self.states[backend_id]
        if self.count_available(backend_id) < 1:
            return False
        if self._is_coordinator(state):
            state.turns.pop(self._host, None)
            state.bucket.count_send(self._host, self._clock())
            self._serve_turns(state)
            return True
        now_s = self._clock()
        state.permit_ends_s = [end for end in state.permit_ends_s if end >= now_s][1:]
        return True

    def rate_per_s(self, backend_id: str) -> float:
        """Return the most requests that this region may send to a limited server."""
        state = self.states[backend_id]
        hosts = self._hosts.get(state.backend.region, ())
        if self._host not in hosts:
            return 0.0
        known_count = self._region_share.divisor(self._timer.now())
        return state.limit.per_s * min(1.0, len(hosts) / known_count)

    def request_permits(self, backend_ids: Iterable[str], count: int) -> None:
        """Wait for permits of rate-limited servers, for queued requests.

        Args:
            backend_ids: Servers, limited or not.
            count: Number of queued requests.
        """
        now_s = self._clock()
        wanted: dict[str, list[str]] = {}
        for id in backend_ids:
            state = self.states.get(id)
            if state is None or not state.limit or self.rate_per_s(id) <= 0.0:
                continue
            if self._is_coordinator(state):
                self._add_turn(state, self._host, 1, 0)
            elif now_s - state.requested_s >= PERMIT_REQUEST_PERIOD_S:
                state.requested_s = now_s
                wanted.setdefault(state.coordinator or "", []).append(id)
        count = min(count, MAX_PERMIT_COUNT)
        for host, ids in wanted.items():
            asked_ms = int(now_s * MS_PER_S)
            self._send(host, RateLimitPermitRequest(tuple(ids), count, asked_ms))

    def on_request(self, host: str, message: RateLimitPermitRequest) -> None:
        """Let a peer wait for permits of the servers that this host coordinates."""
        for id in message.backends:
            state = self.states.get(id)
            if state is None or not self._is_coordinator(state):
                continue
            if state.limit:
                self._add_turn(state, host, message.count, message.asked_ms)
                self._serve_turns(state)
            else:
                self._send(host, RateLimitReport((self._make_entry(state),)))

    def on_permit(self, message: RateLimitPermit) -> bool:
        """Keep permits for this host; return whether there are any.

        They count from the request for them, so that permits which were delayed, or
        read late by a suspended host, have expired.
        """
        state = self.states.get(message.backend)
        end_s = message.asked_ms / MS_PER_S + PERMIT_LIFETIME_S
        now_s = self._clock()
        if state is None or end_s < now_s:
            return False
        state.permit_ends_s = [end for end in state.permit_ends_s if end >= now_s]
        state.permit_ends_s += [end_s] * min(message.count, MAX_PERMIT_COUNT)
        return True

    # The coordinator.

    def _is_coordinator(self, state: RateLimitState) -> bool:
        if state.coordinator is None:
            hosts = self._hosts.get(state.backend.region, ())
            id = state.backend.id
            state.coordinator = max(
                hosts, key=lambda host: rendezvous_score(host, id), default=""
            )
        if state.coordinator != self._host:
            state.coordinated_since_s = None
            return False
        if state.coordinated_since_s is None:
            state.coordinated_since_s = self._clock()
            state.bucket.empty()
            state.turns.clear()
        return True

    def _count_tokens(self, state: RateLimitState) -> float:
        now_s = self._clock()
        since_s = state.coordinated_since_s
        if since_s is None or now_s < since_s + PERMIT_LIFETIME_S:
            return state.bucket.tokens(NO_LIMIT, now_s)
        return state.bucket.tokens(self.rate_per_s(state.backend.id), now_s)

    def _add_turn(
        self, state: RateLimitState, host: str, count: int, asked_ms: int
    ) -> None:
        turn = state.turns.setdefault(host, _Turn())
        turn.count = count
        turn.asked_ms = asked_ms
        turn.requested_s = self._clock()
        self._schedule_check()

    def _serve_turns(self, state: RateLimitState) -> None:
        """Issue permits to the hosts whose turn it is, until it is this host's."""
        now_s = self._clock()
        for host, turn in list(state.turns.items()):
            if now_s - turn.requested_s > TURN_LIFETIME_S:
                del state.turns[host]
                continue
            tokens = int(self._count_tokens(state))
            if host == self._host or tokens < 1:
                return
            del state.turns[host]
            share = math.ceil(tokens / (len(state.turns) + 1))
            count = min(turn.count, share)
            for _ in range(count):
                state.bucket.count_send("", now_s)
            self._log("permit_issued", state.backend.id, host=host, count=count)
            self._send(host, RateLimitPermit(state.backend.id, count, turn.asked_ms))

    def _schedule_check(self) -> None:
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._timer.call_later(TURN_CHECK_PERIOD_S, self._check_turns)

    def _check_turns(self) -> None:
        self._is_check_scheduled = False
        for state in self.states.values():
            if state.turns and self._is_coordinator(state):
                self._serve_turns(state)
                self._schedule_check()

    # Logs.

    def _log_change(
        self, state: RateLimitState, before: float, *, source: str = "", id: str = ""
    ) -> None:
        if before == NO_LIMIT:
            state.bucket = PermitBucket()
            name = "backend_limit_learned"
        elif state.limit:
            name = "backend_limit_changed"
        else:
            name = "backend_limit_ended"
        self._log(name, state.backend.id, previous_per_s=before, source=source, id=id)

    def _log(
        self, name: str, backend_id: str, level: Level = Level.INFO, **fields: object
    ) -> None:
        state = self.states.get(backend_id)
        per_s = state.limit.per_s if state is not None else NO_LIMIT
        self._sampler.log(name, level, backend=backend_id, limit_per_s=per_s, **fields)
