"""Which neighbours live, who reads the store and who has newer rows."""

from collections.abc import Mapping

from ..model import Record
from ._messages import HostReport
from ._times import ReadTimes

# Silence after which a neighbour's numbers no longer count. Three reports are missed;
# a shorter time would drop neighbours on lossy links.
SILENT_S = 1.0
FORGET_S = 60.0  # silence after which a neighbour is no longer addressed
TAKEOVER_STEP_S = 0.12  # the next in rank waits this long, so that one takes over


class Neighbour(Record):
    """What is known of another daemon of the data centre.

    Attributes:
        host: Name of the host.
        address: IP address.
        incarnation: Start of its daemon, 0 before the first report.
        seq: Number of its last report.
        heard_s: When its last report came, in monotonic seconds.
        store_s: When it last had an answer of the store, in monotonic seconds.
        versions: Version by table of the store.
        leaving: Whether it is stopping.
    """

    __slots__ = (
        "host",
        "address",
        "incarnation",
        "seq",
        "heard_s",
        "store_s",
        "versions",
        "is_leaving",
    )

    def __init__(self, host: str, address: str, now_s: float) -> None:
        self.host = host
        self.address = address
        self.incarnation = 0
        self.seq = -1
        self.heard_s = now_s - SILENT_S
        self.store_s = -1e9
        self.versions: dict[str, int] = {}
        self.is_leaving = False


class NeighbourTable:
    """Keeps the neighbours of one host and decides who reads the store.

    There is no election. Each host reads the store unless a live neighbour that
    ranks before it had a recent answer of the store. A reader that freezes, dies or
    loses the store is replaced by the next in rank within ``ReadTimes.stale_s`` and
    ``TAKEOVER_STEP_S`` for each rank.

    Args:
        host: Name of this host.
        times: Times of the reads.
    """

    __slots__ = ("_host", "_times", "_current_s", "peers")

    def __init__(self, host: str, times: ReadTimes) -> None:
        self._host = host
        self._times = times
        self._current_s = -1e9
        self.peers: dict[str, Neighbour] = {}

    def add(self, host: str, address: str, now_s: float) -> bool:
        """Add a neighbour or its new address; return whether it was unknown."""
        if host == self._host:
            return False
        peer = self.peers.get(host)
        if peer is not None:
            peer.address = address
            return False
        self.peers[host] = Neighbour(host, address, now_s)
        return True

    def take(self, report: HostReport, address: str, now_s: float) -> Neighbour | None:
        """Take over a report; return the sender, or None for an old report."""
        if report.host == self._host:
            return None
        self.add(report.host, address, now_s)
        peer = self.peers[report.host]
        if report.incarnation != peer.incarnation:
            is_older = report.incarnation < peer.incarnation
            if is_older and now_s - peer.heard_s < SILENT_S:
                return None
            peer.incarnation = report.incarnation
            peer.seq = -1
            peer.versions = {}
        elif report.seq <= peer.seq:
            return None
        peer.seq = report.seq
        peer.heard_s = now_s
        peer.store_s = now_s - report.store_age_s
        peer.is_leaving = report.is_leaving
        peer.versions.update(report.versions)
        return peer

    def live(self, now_s: float) -> list[Neighbour]:
        """Return the neighbours that reported recently."""
        return [p for p in self.peers.values() if now_s - p.heard_s < SILENT_S]

    def expire(self, now_s: float) -> list[str]:
        """Forget neighbours that have been silent for long; return their names."""
        gone = [n for n, p in self.peers.items() if now_s - p.heard_s > FORGET_S]
        for name in gone:
            del self.peers[name]
        return gone

    def is_reader(self, now_s: float, own_store_s: float) -> bool:
        """Return whether this host must read the store itself.

        Args:
            now_s: Monotonic time in seconds.
            own_store_s: When this host last had an answer of the store.
        """
        live = self.live(now_s)
        ahead = [p for p in live if p.host < self._host and not p.is_leaving]
        if not ahead:
            return True
        stale_s = self._times.stale_s
        if now_s - max(p.store_s for p in ahead) < stale_s:
            return False
        if now_s - own_store_s < stale_s:
            return True
        freshest_s = max(p.store_s for p in live)
        return now_s - freshest_s >= stale_s + TAKEOVER_STEP_S * len(ahead)

    def current_s(self, versions: Mapping[str, int], now_s: float) -> float:
        """Return up to when rows of these versions are known to be current.

        They are as current as a live neighbour that has no newer ones. Once it has,
        they stay current up to its last word, until they are taken over; the
        neighbours of this host would all read the store otherwise.
        """
        for peer in self.live(now_s):
            if all(versions.get(t, -1) >= v for t, v in peer.versions.items()):
                self._current_s = max(self._current_s, peer.store_s)
        return self._current_s

    def source_of(self, table: str, version: int, now_s: float) -> Neighbour | None:
        """Return the neighbour with the newest rows beyond ``version``, or None."""
        best = None
        for peer in self.live(now_s):
            found = peer.versions.get(table, -1)
            if found > version:
                version = found
                best = peer
        return best
