"""Freshness of a host's copy of the configuration, and contact with peers."""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from enum import StrEnum

from ..peer import Heartbeat
from ..timing import TimerService

# A host that is cut off serves this long after its last confirmation. Below the 3 s
# after which a data centre taken out of service must receive no new work.
CONFIRMATION_LIFETIME_S = 2.8
CONTACT_TIMEOUT_S = 2.0  # heartbeats are sent about once a second
# An echo proves contact in both directions. Two periods with jitter and a round trip
# take up to 2.3 s; the limit bounds the age of the state in a delayed heartbeat.
ECHO_TIMEOUT_S = 3.5
PAUSE_THRESHOLD_S = 2.0  # a longer gap between events means the process was paused
MAX_SENT_HEARTBEATS = 32  # per link, with recorded send times
PEER_RETENTION_S = 60.0
NEVER_S = -math.inf


class ServingMode(StrEnum):
    """Which requests a host may send to backend servers."""

    NORMAL = "normal"
    OWN_REGION = "own-region"
    REFUSE = "refuse"


class _PeerState:
    """State of one peer; times are on the local clock."""

    __slots__ = (
        "region",
        "sent",
        "last_seq",
        "received_s",
        "echoed_s",
        "version",
        "confirmed_s",
    )

    def __init__(self, region: str) -> None:
        self.region = region
        self.sent: OrderedDict[int, float] = OrderedDict()
        self.last_seq = 0
        self.received_s = NEVER_S
        self.echoed_s = NEVER_S
        self.version = 0
        self.confirmed_s = NEVER_S

    def record_sent(self, seq: int, now_s: float) -> None:
        if seq in self.sent or seq == 1:
            self.reset()
        self.sent[seq] = now_s
        while len(self.sent) > MAX_SENT_HEARTBEATS:
            self.sent.popitem(last=False)

    def take_sent_time(self, echo: int) -> float:
        """Return the send time of an echoed heartbeat; discard older ones."""
        sent_s = self.sent.get(echo)
        if sent_s is None:
            return NEVER_S
        while next(iter(self.sent)) != echo:
            self.sent.popitem(last=False)
        return sent_s

    def reset(self) -> None:
        self.sent.clear()
        self.last_seq = 0

    def contact_until_s(self) -> float:
        return min(self.received_s + CONTACT_TIMEOUT_S, self.echoed_s + ECHO_TIMEOUT_S)


class FreshnessTracker:
    """Tracks confirmations of this host's copy and contact with peers.

    A confirmation at time T means that this copy has every change committed before T.

    Args:
        timer: Time source; all times are on its clock.
        region: Region of this host.
        host: Name of this host.
        lifetime_s: How long a confirmation is valid, in seconds.
    """

    __slots__ = (
        "_timer",
        "_region",
        "_host",
        "_lifetime_s",
        "_version",
        "_known_version",
        "_confirmed_s",
        "_confirmed_until_s",
        "_peers",
        "_listed",
        "_group",
        "_group_until_s",
        "_is_group_stale",
        "_last_event_s",
        "_is_unverified",
        "_unverified_since_s",
    )

    def __init__(
        self,
        timer: TimerService,
        region: str,
        host: str,
        lifetime_s: float = CONFIRMATION_LIFETIME_S,
    ) -> None:
        self._timer = timer
        self._region = region
        self._host = host
        self._lifetime_s = lifetime_s
        self._version = 0
        self._known_version = 0
        self._confirmed_s = NEVER_S
        self._confirmed_until_s = NEVER_S
        self._peers: dict[str, _PeerState] = {}
        self._listed: dict[str, frozenset[str]] = {}
        # Hosts of this region of which half must be in contact. While this host is
        # unconfirmed, the set only grows: hosts that leave the list may have formed
        # the majority of a commit.
        self._group: frozenset[str] = frozenset()
        self._group_until_s = NEVER_S
        self._is_group_stale = True
        # After a start or a pause, this host may have missed a commit whose majority
        # included it, so it does not count itself until it has heard from others.
        self._last_event_s = timer.now()
        self._is_unverified = True
        self._unverified_since_s = timer.now()

    @property
    def known_version(self) -> int:
        """Highest version known to exist."""
        return self._known_version

    def may_serve(self) -> ServingMode:
        """Return the serving mode; called immediately before each send."""
        now_s = self._timer.now()
        if now_s < self._confirmed_until_s:
            return ServingMode.NORMAL
        self._detect_pause(now_s)
        if self._is_group_stale:
            self._update_group_deadline(now_s)
        if now_s < self._group_until_s:
            return ServingMode.OWN_REGION
        return ServingMode.REFUSE

    def confirmed_age_ms(self) -> int:
        """Return the age of the confirmation for a heartbeat, or -1 for none."""
        now_s = self._timer.now()
        if now_s >= self._confirmed_until_s:
            return -1
        return math.ceil((now_s - self._confirmed_s) * 1000.0)

    def tick(self) -> None:
        """Record that the process is running; call at least once a second."""
        self._detect_pause(self._timer.now())

    def confirmed_by_store(self, started_s: float) -> None:
        """Record that a store read begun at ``started_s`` found no later version."""
        self._detect_pause(self._timer.now())
        self._confirm(started_s)

    def version_applied(self, version: int) -> None:
        """Record that a version is in force on this host."""
        self._version = version
        self._known_version = max(self._known_version, version)
        self._is_group_stale = True
        for peer in self._peers.values():
            self._adopt_confirmation(peer)

    def note_version(self, version: int) -> None:
        """Record that a version exists."""
        if version > self._known_version:
            self._known_version = version
            self._is_group_stale = True

    def link_opened(self, peer: str) -> None:
        """Handle a new link, whose sequence numbers may restart.

        Messages of the replaced link must not be delivered after this call: their
        echoes would be matched to heartbeats of the new link.
        """
        if peer in self._peers:
            self._peers[peer].reset()

    def heartbeat_sent(self, peer: str, seq: int, region: str = "") -> None:
        """Record the send time of a heartbeat; call before it is written."""
        now_s = self._timer.now()
        self._detect_pause(now_s)
        self._peer(peer, region).record_sent(seq, now_s)

    def heartbeat_received(
        self, peer: str, region: str, heartbeat: Heartbeat, *, trusted: bool = True
    ) -> bool:
        """Process a heartbeat of a peer.

        Args:
            peer: Host name of the peer.
            region: Region of the peer.
            heartbeat: The heartbeat.
            trusted: False if the peer's digest contradicts this copy.

        Returns:
            False for a duplicate or reordered heartbeat, which is ignored.
        """
        now_s = self._timer.now()
        self._detect_pause(now_s)
        state = self._peer(peer, region)
        if heartbeat.seq <= state.last_seq:
            return False
        state.last_seq = heartbeat.seq
        if not trusted:
            return True
        # The peer sent this after it had received the echoed heartbeat.
        sent_s = state.take_sent_time(heartbeat.echo)
        state.received_s = now_s
        state.echoed_s = max(state.echoed_s, sent_s)
        state.version = heartbeat.version
        age_ms = heartbeat.confirmed_age_ms
        state.confirmed_s = sent_s - age_ms / 1000.0 if age_ms >= 0 else NEVER_S
        self.note_version(heartbeat.version)
        self._is_group_stale = True
        self._adopt_confirmation(state)
        return True

    def set_listed(self, hosts: Mapping[str, Collection[str]]) -> None:
        """Set the listed entry hosts of each region."""
        self._listed = {region: frozenset(names) for region, names in hosts.items()}
        self._update_group()
        self._is_group_stale = True
        limit_s = self._timer.now() - PEER_RETENTION_S
        listed = frozenset().union(*self._listed.values())
        for name in [n for n in self._peers if n not in listed]:
            if self._peers[name].received_s < limit_s:
                del self._peers[name]

    def find_missing_contacts(
        self, regions: Iterable[str], heard: Collection[str] | None = None
    ) -> list[str]:
        """Return hosts out of contact, of regions without a majority.

        Args:
            regions: Regions in the scope of a change.
            heard: If given, only these peers count as in contact.

        Returns:
            An empty list if a change with this scope may be committed. Before the
            host list is known, the name of this host.
        """
        if not self._listed:
            return [self._host]
        now_s = self._timer.now()
        missing: list[str] = []
        for region in sorted(regions):
            hosts = self._listed.get(region, frozenset())
            lost = self._out_of_contact(hosts, now_s, heard)
            if hosts and 2 * (len(hosts) - len(lost)) <= len(hosts):
                missing += lost
        return missing

    def out_of_contact(self, regions: Iterable[str]) -> list[str]:
        """Return all listed hosts of some regions that are not in contact."""
        now_s = self._timer.now()
        hosts: set[str] = set()
        for region in regions:
            hosts |= self._listed.get(region, frozenset())
        return self._out_of_contact(hosts, now_s)

    def _out_of_contact(
        self,
        hosts: Collection[str],
        now_s: float,
        heard: Collection[str] | None = None,
    ) -> list[str]:
        lost = {name for name in hosts if now_s >= self._contact_until_s(name)}
        if heard is not None:
            lost |= {name for name in hosts if name not in heard}
        return sorted(lost - {self._host})

    def _contact_until_s(self, name: str) -> float:
        peer = self._peers.get(name)
        return NEVER_S if peer is None else peer.contact_until_s()

    def _peer(self, name: str, region: str) -> _PeerState:
        state = self._peers.get(name)
        if state is None:
            state = self._peers[name] = _PeerState(region)
        return state

    def _adopt_confirmation(self, peer: _PeerState) -> None:
        """Adopt a peer's confirmation if this copy has the peer's version."""
        if peer.version <= self._version:
            self._confirm(peer.confirmed_s)

    def _confirm(self, at_s: float) -> None:
        if at_s <= self._confirmed_s:
            return
        self._confirmed_s = at_s
        self._confirmed_until_s = at_s + self._lifetime_s
        self._update_group()
        if at_s >= self._unverified_since_s:
            self._is_unverified = False
            self._is_group_stale = True

    def _detect_pause(self, now_s: float) -> None:
        if now_s - self._last_event_s > PAUSE_THRESHOLD_S:
            self._is_unverified = True
            self._unverified_since_s = now_s
            self._is_group_stale = True
        self._last_event_s = now_s

    def _update_group(self) -> None:
        own = self._listed.get(self._region, frozenset())
        if self._timer.now() < self._confirmed_until_s:
            self._group = own
        else:
            self._group |= own

    def _update_group_deadline(self, now_s: float) -> None:
        """Compute until when at least half of this region is in contact."""
        self._is_group_stale = False
        self._group_until_s = NEVER_S
        own = self._group
        if not own or self._known_version > self._version:
            return
        until = sorted(
            (self._group_contact_until_s(name) for name in own), reverse=True
        )
        half = (len(own) + 1) // 2
        if self._is_unverified:
            if now_s >= until[half - 1]:
                return
            self._is_unverified = False
        counts_itself = self._host in own
        needed = half - 1 if counts_itself else half
        self._group_until_s = until[needed - 1] if needed else math.inf

    def _group_contact_until_s(self, name: str) -> float:
        """Return until when another host counts as in contact."""
        peer = self._peers.get(name)
        if peer is None or name == self._host:
            return NEVER_S
        if self._is_unverified and peer.echoed_s < self._unverified_since_s:
            return NEVER_S
        return peer.contact_until_s()
