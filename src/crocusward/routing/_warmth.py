"""Cold starts: which backend servers are cold and how much work they get."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from ..limits import HostCounter
from ..model import Backend
from ..peer import (
    BackendCold,
    Message,
    WarmthClaim,
    WarmthEntry,
    WarmthGrant,
    WarmthReport,
)
from ..timing import TimerService
from ._grants import Grants
from ._view import UNLIMITED
from ._warm_state import COLD_HOLD_S, FULL_ALLOWANCE, WarmState, rank

FOUND_COLD = 0  # allowance in a full report of a server that was found to be cold
RUN_SUCCESSES = 8  # that double the allowance of a server found to be cold
# The same for servers of which a starting daemon knows nothing; when the whole fleet
# restarts, most of them are warm and requests wait for the ramp.
UNKNOWN_RUN_SUCCESSES = 3
SLOW_RUN = 2.0  # times the usual service time, from which a run proves nothing
SLOW_PATIENCE_S = 10.0  # then a server counts as permanently slow, not as cold
ROTATING_ENTRIES = 2  # warm servers in a periodic report, to repair lost ones
# With 14 hosts, warm servers in each report, four a second, took 13.7 KB/s of each
# host's budget of 4,096 bytes/s.
ROTATION_PERIOD_S = 2.0
WARMING_HOST_LIMIT = 4  # in flight; above two per slot they would only wait there
TAKEOVER_S = 2.0  # silence before the next host in rank warms the server
ACTIVE_S = 1.0  # after a success, in which a ramp is reported at every turn
IDLE_REPORT_TURNS = 4  # an idle one is reported once a second, below TAKEOVER_S
YIELD_S = 1.0  # how long a report of a host of higher rank holds this one back
REPORTED_S = 3.0  # how long a finished ramp stays in the periodic reports
MAX_UNLISTED = 4096
COLD_WINDOW_S = 5.0
COLD_SHARE = 0.25  # of a service's servers that one peer may close in a window
MIN_COLD_PER_PEER = 2


class Warmth:
    """Decides how many requests this host may have at a cold backend server.

    Only the warming host sends to a cold server, first one request at a time. Each
    run of successes doubles the allowance. Once it reaches the number of entry
    hosts, the others join with their share. Peers' reports only raise an allowance,
    and only for the boot id that this host knows or for a newer one; a found cold
    turn lowers it. Rank is a hash of host and server, so two hosts that disagree
    about the membership agree on who yields as soon as they hear each other.

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
        "_grants",
        "_states",
        "_hosts",
        "_closed_by",
        "_rotation",
        "_ranks",
        "_rotated_s",
        "_reports",
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
        self._grants = Grants(timer, host, broadcast)
        self._states: dict[str, WarmState] = {}
        self._hosts: Mapping[str, Sequence[str]] = {}
        self._closed_by: dict[str, list[float]] = {}
        self._rotation = 0
        self._ranks: dict[str, dict[str, int]] = {}
        self._rotated_s = timer.now()
        self._reports = 0

    def list_backend(self, backend: Backend, *, is_new: bool) -> WarmState:
        """Return the state of a listed server.

        Args:
            backend: The server.
            is_new: Whether earlier lists did not have it.
        """
        state = self._state(backend.id)
        state.known_cold = state.known_cold or is_new
        if state.region != backend.region:
            state.region = backend.region
            self._place(state)
        return state

    def drop(self, backends: Iterable[str]) -> None:
        """Forget servers that are not listed any more."""
        for name in backends:
            self._states.pop(name, None)
            for ranks in self._ranks.values():
                ranks.pop(name, None)

    def set_hosts(self, hosts_by_region: Mapping[str, Sequence[str]]) -> bool:
        """Take over the entry hosts of each region; return whether they changed."""
        hosts_now = {name: list(hosts) for name, hosts in hosts_by_region.items()}
        if hosts_now == self._hosts:
            return False
        self._hosts = hosts_now
        listed = {host for hosts in hosts_now.values() for host in hosts}
        self._ranks = {
            host: ranks for host, ranks in self._ranks.items() if host in listed
        }
        for state in self._states.values():
            self._place(state)
        return True

    def limit(self, state: WarmState, now_s: float) -> int:
        """Return how many requests this host may have in flight at a server."""
        if state.is_warm:
            return UNLIMITED
        hosts = self._share.divisor(now_s)
        if state.allowance >= hosts:
            return state.allowance // hosts
        if not self.is_warming_host(state, now_s):
            return 0
        return min(state.ramp, WARMING_HOST_LIMIT)

    def saw_boot(self, state: WarmState, boot: str, started_s: float) -> bool:
        """Compare the boot id of an answer; return False if the answer is late.

        Args:
            state: State of the server.
            boot: Boot id of the answer, or "".
            started_s: When the exchange was started, in seconds.
        """
        if not boot or boot == state.boot:
            return True
        now_s = self._timer.now()
        if boot in state.past:
            if started_s < state.boot_s:
                return False
            state.adopt(boot, now_s)  # the newer id came from a peer that was wrong
        elif state.boot:
            self.turn_cold(state, boot)
        else:
            state.adopt(boot, now_s)
        return True

    def succeeded(self, state: WarmState, slowness: float) -> None:
        """Count a success at a cold server.

        Args:
            state: State of the server.
            slowness: Service time, in units of the usual time of its service.
        """
        if state.is_warm:
            return
        state.active_s = self._timer.now()
        state.run += 1
        state.run_slowness += slowness
        needed = RUN_SUCCESSES if state.known_cold else UNKNOWN_RUN_SUCCESSES
        if state.run < needed:
            return
        now_s = self._timer.now()
        is_slow = state.run_slowness > SLOW_RUN * state.run
        state.end_run()
        if is_slow and now_s - state.cold_s < SLOW_PATIENCE_S:
            return
        self._double(state, now_s)

    def _double(self, state: WarmState, now_s: float) -> None:
        hosts = self._share.divisor(now_s)
        state.ramp = max(state.ramp, state.allowance) * 2
        if state.ramp >= 2 * hosts:
            state.ramp = FULL_ALLOWANCE
            state.warm_s = now_s
            state.known_cold = False
        state.allowance = state.ramp
        self._broadcast(WarmthReport((self._entry(state),)))

    def pushed_back(self, state: WarmState) -> None:
        """Halve the ramp of a cold server that shed a request."""
        if state.is_warm:
            return
        state.end_run()
        state.ramp = max(1, state.ramp // 2)

    def turn_cold(self, state: WarmState, boot: str = "", *, tell: bool = True) -> None:
        """Start again from one request in flight and tell the peers."""
        state.chill(boot, self._timer.now())
        if tell:
            self._broadcast(BackendCold(state.backend, state.boot))

    def on_cold(self, host: str, message: BackendCold, service_size: int) -> bool:
        """Take over a peer's finding and return whether it was believed.

        A host with a faulty network would close the whole fleet, so one peer can
        close only a share of a service's servers unless the boot id is new.

        Args:
            host: Name of the peer.
            message: The finding.
            service_size: Number of servers of the same service.
        """
        state = self._state(message.backend)
        if message.boot and message.boot in state.past:
            return False
        is_new_boot = bool(message.boot) and message.boot != state.boot
        if not is_new_boot and not self._may_close(host, service_size):
            return False
        state.chill(message.boot, self._timer.now())
        return True

    def on_report(self, host: str, report: WarmthReport) -> list[str]:
        """Take over a peer's report; return the servers whose state changed."""
        changed = []
        for entry in report.entries:
            if entry.allowance == FOUND_COLD:
                is_changed = self._merge_cold(host, entry, len(report.entries))
            else:
                is_changed = self._merge(host, entry)
            if is_changed:
                changed.append(entry.backend)
        return changed

    def report(self, full: bool) -> WarmthReport:
        """Return all states, or those that are changing and a few warm ones.

        A full report names the servers found to be cold, for a peer that was cut off
        when that was told. A warm server is repeated in turn by its warming host
        every few seconds, so that a host which missed a report, or was wrong to call
        the server cold, learns of it.
        """
        if not full:
            known = self._changing() + self._next_warm()
            return WarmthReport(tuple(self._entry(state) for state in known))
        states = self._states.values()
        entries = [self._entry(state) for state in states if state.allowance > 0]
        entries += [
            WarmthEntry(state.backend, state.boot, FOUND_COLD)
            for state in states
            if state.allowance == 0 and state.known_cold
        ]
        return WarmthReport(tuple(entries))

    def _changing(self) -> list[WarmState]:
        now_s = self._timer.now()
        # An idle warming host only has to be heard before the next one takes over.
        self._reports += 1
        is_slow_turn = self._reports % IDLE_REPORT_TURNS == 0
        return [
            state
            for state in self._states.values()
            if state.warm_s > now_s - REPORTED_S
            or not state.is_warm
            and (is_slow_turn or now_s - state.active_s < ACTIVE_S)
            and self.is_warming_host(state, now_s)
        ]

    def _next_warm(self) -> list[WarmState]:
        now_s = self._timer.now()
        if now_s - self._rotated_s < ROTATION_PERIOD_S:
            return []
        self._rotated_s = now_s
        states = self._states.values()
        own = [state for state in states if state.is_warm and state.position == 0]
        chosen = own[self._rotation : self._rotation + ROTATING_ENTRIES]
        self._rotation += ROTATING_ENTRIES
        if self._rotation >= len(own):
            self._rotation = 0
        return chosen

    def _state(self, backend: str) -> WarmState:
        state = self._states.get(backend)
        if state is None:
            state = WarmState(backend, self._timer.now())
            if len(self._states) < MAX_UNLISTED:
                self._states[backend] = state
        return state

    def _entry(self, state: WarmState) -> WarmthEntry:
        # A warming host reports its ramp from the start, so that no other takes over.
        allowance = max(state.allowance, state.ramp)
        return WarmthEntry(state.backend, state.boot, allowance)

    def _rank(self, host: str, backend: str) -> int:
        """Return a rank from memory; a new host must not cost 20 ms of hashing."""
        ranks = self._ranks.get(host)
        if ranks is None:
            ranks = self._ranks[host] = {}
        value = ranks.get(backend)
        if value is None:
            value = ranks[backend] = rank(host, backend)
        return value

    def _place(self, state: WarmState) -> None:
        hosts = self._hosts.get(state.region, ())
        own = self._rank(self._host, state.backend)
        above = [name for name in hosts if self._rank(name, state.backend) > own]
        position = len(above) if self._host in hosts else -1
        if position != state.position and not state.is_warm:
            state.granted_until_s = -1.0  # by a host that may not be first any more
            state.ramp = 1  # the previous warming host may still have its requests
            state.end_run()
        state.position = position

    def is_warming_host(self, state: WarmState, now_s: float) -> bool:
        """Return whether this host is to warm a cold server."""
        if now_s < state.granted_until_s:
            return True
        if state.position < 0 or now_s < state.yield_until_s:
            return False
        if state.position == 0:
            return True
        return now_s - state.heard_s > TAKEOVER_S * state.position

    def ask(self, state: WarmState, now_s: float) -> None:
        """Ask the warming host of a server to let this host warm it."""
        self._grants.ask(state, now_s)

    def on_claim(self, host: str, message: WarmthClaim, *, is_idle: bool) -> None:
        """Answer a peer that asks to warm a server.

        Args:
            host: Name of the peer.
            message: What it asks for.
            is_idle: Whether this host has no request at the server and none waiting.
        """
        state = self._state(message.backend)
        if state.allowance >= self._share.divisor(self._timer.now()):
            self._broadcast(WarmthReport((self._entry(state),)))
        elif is_idle:
            self._grants.claimed(state, host, message)

    def on_grant(self, host: str, message: WarmthGrant) -> bool:
        """Take over a grant; return whether it is for this host."""
        state = self._state(message.backend)
        return self._grants.granted(
            state, message, by_first=self._is_first(host, state)
        )

    def _is_first(self, host: str, state: WarmState) -> bool:
        hosts = self._hosts.get(state.region, ())
        own = self._rank(host, state.backend)
        return all(self._rank(name, state.backend) <= own for name in hosts)

    def _may_close(self, host: str, service_size: int) -> bool:
        now_s = self._timer.now()
        recent = self._closed_by.get(host, [])
        recent = [at_s for at_s in recent if now_s - at_s < COLD_WINDOW_S]
        self._closed_by[host] = recent
        if len(recent) >= max(MIN_COLD_PER_PEER, COLD_SHARE * service_size):
            return False
        recent.append(now_s)
        return True

    def _merge_cold(self, host: str, entry: WarmthEntry, service_size: int) -> bool:
        state = self._state(entry.backend)
        if not state.is_warm and state.boot == entry.boot:
            return False
        return self.on_cold(host, BackendCold(entry.backend, entry.boot), service_size)

    def _merge(self, host: str, entry: WarmthEntry) -> bool:
        state = self._state(entry.backend)
        now_s = self._timer.now()
        is_serving = entry.allowance >= self._share.divisor(now_s)
        if entry.boot and entry.boot != state.boot:
            if not self._merge_boot(state, entry.boot, is_serving, now_s):
                return False
        if state.is_warm or now_s - state.cold_s < COLD_HOLD_S:
            return False
        state.heard_s = now_s
        if is_serving:
            self._raise(state, entry.allowance, now_s)
        elif self._rank(host, state.backend) > self._rank(self._host, state.backend):
            state.yield_until_s = now_s + YIELD_S
        return True

    def _merge_boot(
        self, state: WarmState, boot: str, is_serving: bool, now_s: float
    ) -> bool:
        """Take over another boot id; return whether the report may be used.

        Boot ids have no order, so a claim that a server is warm under another id
        never opens one that this host found to be cold.
        """
        if boot in state.past or state.known_cold and state.boot and is_serving:
            return False
        if state.boot and not is_serving:
            state.chill(boot, now_s)
            state.cold_s = now_s - COLD_HOLD_S
        else:
            state.adopt(boot, now_s)
        return True

    def _raise(self, state: WarmState, allowance: int, now_s: float) -> None:
        if allowance > state.allowance:
            state.allowance = allowance
            if state.is_warm:
                state.warm_s = now_s
                state.known_cold = False
