"""Slow start: limits on requests to cold backend servers, agreed with peers."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from ..limits import HostCounter
from ..model import Backend
from ..peer import (
    BackendCold,
    Message,
    SlowStartAllowance,
    SlowStartPermit,
    SlowStartPermitRequest,
    SlowStartReport,
)
from ..timing import TimerService
from ._backend_view import UNLIMITED
from ._permits import WarmupPermits
from ._slow_start_state import (
    COLD_HOLD_S,
    WARM_ALLOWANCE,
    SlowStartState,
    rendezvous_score,
)

COLD_ALLOWANCE = 0  # marks a cold server in a full report
RUN_SUCCESS_COUNT = 8  # successes that double the allowance of a known cold server
# The same for servers of which a starting daemon knows nothing; when the whole fleet
# restarts, most of them are warm and requests wait for slow start.
UNKNOWN_RUN_SUCCESS_COUNT = 3
SLOW_RUN_FACTOR = 2.0  # on the average time; slower runs do not raise the allowance
MAX_SLOW_RUNS_S = 10.0  # afterwards a server counts as always slow, not as cold
ROTATION_ENTRY_COUNT = 2  # warm servers per rotation, to replace lost reports
# With 14 hosts, warm servers in every report, four times a second, took 13.7 KB/s
# against a budget of 4,096 bytes/s per host.
ROTATION_PERIOD_S = 2.0
MAX_WARMUP_IN_FLIGHT = 4  # above two per slot, requests would only queue there
TAKEOVER_TIMEOUT_S = 2.0  # without progress before the next host warms the server
ACTIVE_REPORT_S = 1.0  # after a success, while every periodic report has the entry
IDLE_REPORT_TURN_COUNT = 4  # once a second when idle, below TAKEOVER_TIMEOUT_S
DEFER_S = 1.0  # how long this host defers to a reporting host of higher score
WARM_REPORT_S = 3.0  # how long periodic reports repeat a completed slow start
MAX_STATE_COUNT = 4096
PEER_COLD_WINDOW_S = 5.0
MAX_PEER_COLD_SHARE = 0.25  # of a service, which one peer may mark cold in the window
MIN_PEER_COLD_COUNT = 2


class SlowStart:
    """Decides how many requests this host may have at a cold backend server.

    Only the warming host sends to a cold server, at first one request at a time. Each
    run of successes doubles the allowance. Once it reaches the number of entry
    hosts, the others join with their share. Reports from peers only raise an
    allowance, and only for the boot id that this host knows or for a newer one; a
    cold mark resets it. Warming hosts are ranked by rendezvous hashing, so two hosts
    with different membership agree on which one defers once they exchange reports.

    Args:
        timer: Source of time.
        host: Name of this host.
        share: Number of entry hosts.
        broadcast: Sends a message to all peers.
    """

    __slots__ = (
        "_timer",
        "_host",
        "_share",
        "_broadcast",
        "_permits",
        "_states",
        "_hosts",
        "_peer_cold_times",
        "_rotation_index",
        "_scores",
        "_last_rotation_s",
        "_report_count",
    )

    def __init__(
        self,
        timer: TimerService,
        host: str,
        share: HostCounter,
        broadcast: Callable[[Message], object],
    ) -> None:
        self._timer = timer
        self._host = host
        self._share = share
        self._broadcast = broadcast
        self._permits = WarmupPermits(timer, host, broadcast)
        self._states: dict[str, SlowStartState] = {}
        self._hosts: Mapping[str, Sequence[str]] = {}
        self._peer_cold_times: dict[str, list[float]] = {}
        self._rotation_index = 0
        self._scores: dict[str, dict[str, int]] = {}
        self._last_rotation_s = timer.now()
        self._report_count = 0

    def add_backend(self, backend: Backend, *, is_new: bool) -> SlowStartState:
        """Register a listed server and return its state.

        Args:
            backend: The server.
            is_new: Whether it is absent from earlier lists.
        """
        state = self._get_state(backend.id)
        state.is_known_cold = state.is_known_cold or is_new
        if state.region != backend.region:
            state.region = backend.region
            self._update_position(state)
        return state

    def forget_backends(self, backends: Iterable[str]) -> None:
        """Delete the state of servers that are no longer listed."""
        for name in backends:
            self._states.pop(name, None)
            for scores in self._scores.values():
                scores.pop(name, None)

    def set_hosts(self, hosts_by_region: Mapping[str, Sequence[str]]) -> bool:
        """Replace the entry hosts of each region; return whether they changed."""
        hosts_now = {name: list(hosts) for name, hosts in hosts_by_region.items()}
        if hosts_now == self._hosts:
            return False
        self._hosts = hosts_now
        listed = {host for hosts in hosts_now.values() for host in hosts}
        self._scores = {
            host: scores for host, scores in self._scores.items() if host in listed
        }
        for state in self._states.values():
            self._update_position(state)
        return True

    def get_in_flight_limit(self, state: SlowStartState, now_s: float) -> int:
        """Return how many requests this host may have in flight at a server."""
        if state.is_warm:
            return UNLIMITED
        hosts = self._share.divisor(now_s)
        if state.allowance >= hosts:
            return state.allowance // hosts
        if not self.is_warming_host(state, now_s):
            return 0
        return min(state.own_allowance, MAX_WARMUP_IN_FLIGHT)

    def check_boot(self, state: SlowStartState, boot: str, started_s: float) -> bool:
        """Apply the boot id of an answer; return False if the answer is late.

        Args:
            state: State of the server.
            boot: Boot id of the answer, or "".
            started_s: Start of the exchange, in seconds.
        """
        if not boot or boot == state.boot:
            return True
        now_s = self._timer.now()
        if boot in state.past_boots:
            if started_s < state.boot_seen_s:
                return False
            state.set_boot(boot, now_s)  # a peer reported the newer id wrongly
        elif state.boot:
            self.mark_cold(state, boot)
        else:
            state.set_boot(boot, now_s)
        return True

    def record_success(self, state: SlowStartState, latency_ratio: float) -> None:
        """Record a success at a cold server.

        Args:
            state: State of the server.
            latency_ratio: Unqueued time relative to the average of its service.
        """
        if state.is_warm:
            return
        state.last_success_s = self._timer.now()
        state.run_successes += 1
        state.run_latency_ratio_sum += latency_ratio
        needed = RUN_SUCCESS_COUNT if state.is_known_cold else UNKNOWN_RUN_SUCCESS_COUNT
        if state.run_successes < needed:
            return
        now_s = self._timer.now()
        is_slow = state.run_latency_ratio_sum > SLOW_RUN_FACTOR * state.run_successes
        state.reset_run()
        if is_slow and now_s - state.cold_since_s < MAX_SLOW_RUNS_S:
            return
        self._double_allowance(state, now_s)

    def _double_allowance(self, state: SlowStartState, now_s: float) -> None:
        hosts = self._share.divisor(now_s)
        state.own_allowance = max(state.own_allowance, state.allowance) * 2
        if state.own_allowance >= 2 * hosts:
            state.own_allowance = WARM_ALLOWANCE
            state.warm_since_s = now_s
            state.is_known_cold = False
        state.allowance = state.own_allowance
        self._broadcast(SlowStartReport((self._make_entry(state),)))

    def record_shed(self, state: SlowStartState) -> None:
        """Halve the own allowance of a cold server that shed a request."""
        if state.is_warm:
            return
        state.reset_run()
        state.own_allowance = max(1, state.own_allowance // 2)

    def mark_cold(
        self, state: SlowStartState, boot: str = "", *, should_announce: bool = True
    ) -> None:
        """Restart slow start from one request in flight and notify the peers."""
        state.reset_cold(boot, self._timer.now())
        if should_announce:
            self._broadcast(BackendCold(state.backend, state.boot))

    def on_cold(self, host: str, message: BackendCold, service_size: int) -> bool:
        """Apply a peer's cold mark; return whether it was accepted.

        A host with a faulty network would mark the whole fleet cold, so one peer can
        mark only a share of the servers of a service unless the boot id is new.

        Args:
            host: Name of the peer.
            message: The cold mark.
            service_size: Number of servers of the same service.
        """
        state = self._get_state(message.backend)
        if message.boot and message.boot in state.past_boots:
            return False
        is_new_boot = bool(message.boot) and message.boot != state.boot
        if not is_new_boot and not self._can_mark_cold(host, service_size):
            return False
        state.reset_cold(message.boot, self._timer.now())
        return True

    def on_report(self, host: str, report: SlowStartReport) -> list[str]:
        """Apply a peer's report; return the ids of servers whose state changed."""
        changed = []
        for entry in report.entries:
            if entry.allowance == COLD_ALLOWANCE:
                is_changed = self._merge_cold(host, entry, len(report.entries))
            else:
                is_changed = self._merge_entry(host, entry)
            if is_changed:
                changed.append(entry.backend)
        return changed

    def make_report(self, is_full: bool) -> SlowStartReport:
        """Return all states, or those that are changing and a few warm ones.

        A full report includes known cold servers, for a peer that was disconnected when
        they were marked. A warming host repeats its warm servers in rotation every
        few seconds, to correct hosts that missed a report or wrongly marked a server
        cold.
        """
        if not is_full:
            known = self._list_changing() + self._rotate_warm()
            return SlowStartReport(tuple(self._make_entry(state) for state in known))
        states = self._states.values()
        entries = [self._make_entry(state) for state in states if state.allowance > 0]
        entries += [
            SlowStartAllowance(state.backend, state.boot, COLD_ALLOWANCE)
            for state in states
            if state.allowance == 0 and state.is_known_cold
        ]
        return SlowStartReport(tuple(entries))

    def _list_changing(self) -> list[SlowStartState]:
        now_s = self._timer.now()
        # An idle warming host only has to report before the next one takes over.
        self._report_count += 1
        is_slow_turn = self._report_count % IDLE_REPORT_TURN_COUNT == 0
        return [
            state
            for state in self._states.values()
            if state.warm_since_s > now_s - WARM_REPORT_S
            or not state.is_warm
            and (is_slow_turn or now_s - state.last_success_s < ACTIVE_REPORT_S)
            and self.is_warming_host(state, now_s)
        ]

    def _rotate_warm(self) -> list[SlowStartState]:
        now_s = self._timer.now()
        if now_s - self._last_rotation_s < ROTATION_PERIOD_S:
            return []
        self._last_rotation_s = now_s
        states = self._states.values()
        own = [state for state in states if state.is_warm and state.position == 0]
        chosen = own[self._rotation_index : self._rotation_index + ROTATION_ENTRY_COUNT]
        self._rotation_index += ROTATION_ENTRY_COUNT
        if self._rotation_index >= len(own):
            self._rotation_index = 0
        return chosen

    def _get_state(self, backend: str) -> SlowStartState:
        state = self._states.get(backend)
        if state is None:
            state = SlowStartState(backend, self._timer.now())
            if len(self._states) < MAX_STATE_COUNT:
                self._states[backend] = state
        return state

    def _make_entry(self, state: SlowStartState) -> SlowStartAllowance:
        # A warming host reports from the start, so that no other host takes over.
        allowance = max(state.allowance, state.own_allowance)
        return SlowStartAllowance(state.backend, state.boot, allowance)

    def _get_score(self, host: str, backend: str) -> int:
        """Return a cached score; hashing for a new host would take 20 ms."""
        scores = self._scores.get(host)
        if scores is None:
            scores = self._scores[host] = {}
        value = scores.get(backend)
        if value is None:
            value = scores[backend] = rendezvous_score(host, backend)
        return value

    def _update_position(self, state: SlowStartState) -> None:
        hosts = self._hosts.get(state.region, ())
        own = self._get_score(self._host, state.backend)
        above = [name for name in hosts if self._get_score(name, state.backend) > own]
        position = len(above) if self._host in hosts else -1
        if position != state.position and not state.is_warm:
            state.permit_until_s = -1.0  # its grantor may no longer be first
            # The previous warming host may still have its requests in flight.
            state.own_allowance = 1
            state.reset_run()
        state.position = position

    def is_warming_host(self, state: SlowStartState, now_s: float) -> bool:
        """Return whether this host is the warming host of a cold server."""
        if now_s < state.permit_until_s:
            return True
        if state.position < 0 or now_s < state.defer_until_s:
            return False
        if state.position == 0:
            return True
        return now_s - state.peer_progress_s > TAKEOVER_TIMEOUT_S * state.position

    def request_permit(self, state: SlowStartState, now_s: float) -> None:
        """Request a permit from the warming host of a server."""
        self._permits.request_permit(state, now_s)

    def on_claim(
        self, host: str, message: SlowStartPermitRequest, *, is_idle: bool
    ) -> None:
        """Answer a peer that requests a permit for a server.

        Args:
            host: Name of the peer.
            message: The request.
            is_idle: Whether this host has no request at the server and none queued.
        """
        state = self._get_state(message.backend)
        if state.allowance >= self._share.divisor(self._timer.now()):
            self._broadcast(SlowStartReport((self._make_entry(state),)))
        elif is_idle:
            self._permits.on_claim(state, host, message)

    def on_grant(self, host: str, message: SlowStartPermit) -> bool:
        """Apply a permit; return whether it makes this host the warming host."""
        state = self._get_state(message.backend)
        return self._permits.on_grant(
            state, message, is_from_first=self._is_first_host(host, state)
        )

    def _is_first_host(self, host: str, state: SlowStartState) -> bool:
        hosts = self._hosts.get(state.region, ())
        own = self._get_score(host, state.backend)
        return all(self._get_score(name, state.backend) <= own for name in hosts)

    def _can_mark_cold(self, host: str, service_size: int) -> bool:
        now_s = self._timer.now()
        recent = self._peer_cold_times.get(host, [])
        recent = [at_s for at_s in recent if now_s - at_s < PEER_COLD_WINDOW_S]
        self._peer_cold_times[host] = recent
        if len(recent) >= max(MIN_PEER_COLD_COUNT, MAX_PEER_COLD_SHARE * service_size):
            return False
        recent.append(now_s)
        return True

    def _merge_cold(
        self, host: str, entry: SlowStartAllowance, service_size: int
    ) -> bool:
        state = self._get_state(entry.backend)
        if not state.is_warm and state.boot == entry.boot:
            return False
        return self.on_cold(host, BackendCold(entry.backend, entry.boot), service_size)

    def _merge_entry(self, host: str, entry: SlowStartAllowance) -> bool:
        state = self._get_state(entry.backend)
        now_s = self._timer.now()
        is_serving = entry.allowance >= self._share.divisor(now_s)
        if entry.boot and entry.boot != state.boot:
            if not self._merge_boot(state, entry.boot, is_serving, now_s):
                return False
        if state.is_warm or now_s - state.cold_since_s < COLD_HOLD_S:
            return False
        state.peer_progress_s = now_s
        if is_serving:
            self._raise_allowance(state, entry.allowance, now_s)
        elif self._get_score(host, state.backend) > self._get_score(
            self._host, state.backend
        ):
            state.defer_until_s = now_s + DEFER_S
        return True

    def _merge_boot(
        self, state: SlowStartState, boot: str, is_serving: bool, now_s: float
    ) -> bool:
        """Apply another boot id; return whether the report may be used.

        Boot ids have no order, so a report that a server is warm under another id
        never opens one that this host knows to be cold.
        """
        if (
            boot in state.past_boots
            or state.is_known_cold
            and state.boot
            and is_serving
        ):
            return False
        if state.boot and not is_serving:
            state.reset_cold(boot, now_s)
            state.cold_since_s = now_s - COLD_HOLD_S
        else:
            state.set_boot(boot, now_s)
        return True

    def _raise_allowance(
        self, state: SlowStartState, allowance: int, now_s: float
    ) -> None:
        if allowance > state.allowance:
            state.allowance = allowance
            if state.is_warm:
                state.warm_since_s = now_s
                state.is_known_cold = False
