"""Whether a host's copy of the configuration is current enough to serve."""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from enum import StrEnum

from ..peer import Heartbeat
from ..timing import TimerService

# Below the 3 s after which a data centre that was taken out gets no new work: a host
# that is cut off serves for this long after its last confirmation.
CONFIRMATION_LIFETIME_S = 2.8
CONTACT_S = 2.0  # heartbeats come about each second
# A heartbeat proves contact in both directions. Two periods with jitter and a round
# trip take up to 2.3 s; this bounds how old the state in a delayed heartbeat can be.
ECHO_CONTACT_S = 3.5
PAUSE_S = 2.0  # a gap between events of this length counts as a pause of the process
MAX_SENT_NOTES = 32  # heartbeats of one link whose send time is remembered
FORGET_PEER_S = 60.0
NEVER_S = -math.inf


class ServingMode(StrEnum):
    """What a host may send to backend servers."""

    NORMAL = "normal"
    OWN_REGION = "own-region"
    REFUSE = "refuse"


class _Peer:
    """What is known of one peer, on the receiver's clock."""

    __slots__ = (
        "region",
        "sent",
        "last_seq",
        "heard_s",
        "echoed_s",
        "version",
        "confirmed_s",
    )

    def __init__(self, region: str) -> None:
        self.region = region
        self.sent: OrderedDict[int, float] = OrderedDict()
        self.last_seq = 0
        self.heard_s = NEVER_S
        self.echoed_s = NEVER_S
        self.version = 0
        self.confirmed_s = NEVER_S

    def note_sent(self, seq: int, now_s: float) -> None:
        if seq in self.sent or seq == 1:
            self.reset()
        self.sent[seq] = now_s
        while len(self.sent) > MAX_SENT_NOTES:
            self.sent.popitem(last=False)

    def sent_at(self, echo: int) -> float:
        """Return when an echoed heartbeat was sent, and forget older ones."""
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
        return min(self.heard_s + CONTACT_S, self.echoed_s + ECHO_CONTACT_S)


class FreshnessTracker:
    """Keeps confirmations and contacts.

    A confirmation dated T means: this copy holds every change committed before T.

    Args:
        timer: Time source; all dates are on its clock.
        region: Region of this host.
        host: Name of this host.
        lifetime_s: How long a confirmation counts, in seconds.
    """

    __slots__ = (
        "_timer",
        "_region",
        "_host",
        "_lifetime_s",
        "_version",
        "_known",
        "_confirmed_s",
        "_confirmed_until_s",
        "_peers",
        "_listed",
        "_group",
        "_group_until_s",
        "_stale",
        "_awake_s",
        "_doubt",
        "_doubt_since_s",
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
        self._known = 0
        self._confirmed_s = NEVER_S
        self._confirmed_until_s = NEVER_S
        self._peers: dict[str, _Peer] = {}
        self._listed: dict[str, frozenset[str]] = {}
        # Hosts of the own region that the group rule counts. While this host is
        # unconfirmed, the set only grows: hosts that leave the list may have been
        # the majority that a commit counted on.
        self._group: frozenset[str] = frozenset()
        self._group_until_s = NEVER_S
        self._stale = True
        # A host that has just started or resumed may have missed a commit that
        # counted on it, so it does not count itself until it has heard of others.
        self._awake_s = timer.now()
        self._doubt = True
        self._doubt_since_s = timer.now()

    @property
    def known_version(self) -> int:
        """Highest version that is known to exist."""
        return self._known

    def may_serve(self) -> ServingMode:
        """Return what may be sent now; called immediately before each send."""
        now_s = self._timer.now()
        if now_s < self._confirmed_until_s:
            return ServingMode.NORMAL
        self._note_awake(now_s)
        if self._stale:
            self._count_group(now_s)
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
        """Note that the process runs; call at least once a second."""
        self._note_awake(self._timer.now())

    def confirmed_by_store(self, started_s: float) -> None:
        """Note that a read of the head begun at ``started_s`` found our version."""
        self._note_awake(self._timer.now())
        self._confirm(started_s)

    def version_applied(self, version: int) -> None:
        """Note that a version is in force here."""
        self._version = version
        self._known = max(self._known, version)
        self._stale = True
        for peer in self._peers.values():
            self._adopt(peer)

    def behind(self, version: int) -> None:
        """Note that a version exists."""
        if version > self._known:
            self._known = version
            self._stale = True

    def link_opened(self, peer: str) -> None:
        """Note that a link was opened; sequence numbers may start again.

        Messages of the replaced link must not be delivered after this call, as
        their echoes would be taken for echoes of the new link's heartbeats.
        """
        if peer in self._peers:
            self._peers[peer].reset()

    def heartbeat_sent(self, peer: str, seq: int, region: str = "") -> None:
        """Note when a heartbeat was sent; call before it is written."""
        now_s = self._timer.now()
        self._note_awake(now_s)
        self._peer(peer, region).note_sent(seq, now_s)

    def heartbeat_received(
        self, peer: str, region: str, heartbeat: Heartbeat, *, trusted: bool = True
    ) -> bool:
        """Take a peer's heartbeat.

        Args:
            peer: Host name of the peer.
            region: Region of the peer.
            heartbeat: The heartbeat.
            trusted: False if the peer's digest contradicts this copy.

        Returns:
            False for a repeated or reordered heartbeat, which is ignored.
        """
        now_s = self._timer.now()
        self._note_awake(now_s)
        state = self._peer(peer, region)
        if heartbeat.seq <= state.last_seq:
            return False
        state.last_seq = heartbeat.seq
        if not trusted:
            return True
        # The peer sent this after it had received the echoed heartbeat.
        sent_s = state.sent_at(heartbeat.echo)
        state.heard_s = now_s
        state.echoed_s = max(state.echoed_s, sent_s)
        state.version = heartbeat.version
        age_ms = heartbeat.confirmed_age_ms
        state.confirmed_s = sent_s - age_ms / 1000.0 if age_ms >= 0 else NEVER_S
        self.behind(heartbeat.version)
        self._stale = True
        self._adopt(state)
        return True

    def set_listed(self, hosts: Mapping[str, Collection[str]]) -> None:
        """Set the listed entry hosts of each region."""
        self._listed = {region: frozenset(names) for region, names in hosts.items()}
        self._update_group()
        self._stale = True
        limit_s = self._timer.now() - FORGET_PEER_S
        listed = frozenset().union(*self._listed.values())
        for name in [n for n in self._peers if n not in listed]:
            if self._peers[name].heard_s < limit_s:
                del self._peers[name]

    def contact_missing(
        self, regions: Iterable[str], heard: Collection[str] | None = None
    ) -> list[str]:
        """Return the hosts not in contact, of regions without a majority.

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

    def _peer(self, name: str, region: str) -> _Peer:
        state = self._peers.get(name)
        if state is None:
            state = self._peers[name] = _Peer(region)
        return state

    def _adopt(self, peer: _Peer) -> None:
        """Take over a peer's confirmation if this copy holds the peer's version."""
        if peer.version <= self._version:
            self._confirm(peer.confirmed_s)

    def _confirm(self, at_s: float) -> None:
        if at_s <= self._confirmed_s:
            return
        self._confirmed_s = at_s
        self._confirmed_until_s = at_s + self._lifetime_s
        self._update_group()
        if at_s >= self._doubt_since_s:
            self._doubt = False
            self._stale = True

    def _note_awake(self, now_s: float) -> None:
        if now_s - self._awake_s > PAUSE_S:
            self._doubt = True
            self._doubt_since_s = now_s
            self._stale = True
        self._awake_s = now_s

    def _update_group(self) -> None:
        own = self._listed.get(self._region, frozenset())
        if self._timer.now() < self._confirmed_until_s:
            self._group = own
        else:
            self._group |= own

    def _count_group(self, now_s: float) -> None:
        """Find until when at least half of the own region is in contact."""
        self._stale = False
        self._group_until_s = NEVER_S
        own = self._group
        if not own or self._known > self._version:
            return
        until = sorted((self._group_contact_s(name) for name in own), reverse=True)
        half = (len(own) + 1) // 2
        if self._doubt:
            if now_s >= until[half - 1]:
                return
            self._doubt = False
        counts_itself = self._host in own
        needed = half - 1 if counts_itself else half
        self._group_until_s = until[needed - 1] if needed else math.inf

    def _group_contact_s(self, name: str) -> float:
        """Return until when a listed host other than this one counts."""
        peer = self._peers.get(name)
        if peer is None or name == self._host:
            return NEVER_S
        if self._doubt and peer.echoed_s < self._doubt_since_s:
            return NEVER_S
        return peer.contact_until_s()
