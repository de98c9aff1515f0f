"""Liveness of neighbours, choice of the store reader and source of newer rows."""

from collections.abc import Mapping

from ..desired import NO_POSITION, TablePosition
from ..model import Record
from ._messages import HostReport
from ._times import ReadTimes

# A neighbour is live while it reports within this time. It ends after three lost
# reports at a report period of 0.25 s, or two at the longest period, 0.45 s; a shorter
# time would drop neighbours on lossy links.
SILENCE_TIMEOUT_S = 1.0
FORGET_AFTER_S = 60.0  # reports are no longer sent to a neighbour silent for this long
NEVER_S = -1e9  # before the first answer from the store, in monotonic seconds
TAKEOVER_STEP_S = 0.12  # takeover delay for each rank, so that only one host takes over


class Neighbour(Record):
    """Last reported state of another daemon.

    Attributes:
        host: Name of the host.
        address: IP address.
        incarnation: Start time of its daemon, 0 before the first report.
        seq: Sequence number of its last report.
        last_report_s: Time of its last report, in monotonic seconds.
        store_answered_s: Time up to which its rows were known to be current, in
            monotonic seconds.
        positions: Position of its copy of each store table.
        is_leaving: Whether it is stopping.
    """

    __slots__ = (
        "host",
        "address",
        "incarnation",
        "seq",
        "last_report_s",
        "store_answered_s",
        "positions",
        "is_leaving",
    )

    def __init__(self, host: str, address: str, now_s: float) -> None:
        self.host = host
        self.address = address
        self.incarnation = 0
        self.seq = -1
        self.last_report_s = now_s - SILENCE_TIMEOUT_S
        self.store_answered_s = NEVER_S
        self.positions: dict[str, TablePosition] = {}
        self.is_leaving = False


class NeighbourTable:
    """Tracks the neighbours of one host and decides whether it reads the store.

    There is no election. Each host reads the store unless a live neighbour of lower
    rank had a recent answer from it; the rank is the order of host names. A reader that
    hangs, dies or loses the store is replaced by the next in rank after
    ``ReadTimes.takeover_age_s`` plus ``TAKEOVER_STEP_S`` for each rank.

    Args:
        host: Name of this host.
        times: Timing of store reads.

    Attributes:
        neighbours: Known neighbours by host name.
    """

    __slots__ = ("_host", "_times", "_current_s", "neighbours")

    def __init__(self, host: str, times: ReadTimes) -> None:
        self._host = host
        self._times = times
        self._current_s = NEVER_S
        self.neighbours: dict[str, Neighbour] = {}

    def add(self, host: str, address: str, now_s: float) -> bool:
        """Add a neighbour or update its address; return whether it was new."""
        if host == self._host:
            return False
        neighbour = self.neighbours.get(host)
        if neighbour is not None:
            neighbour.address = address
            return False
        self.neighbours[host] = Neighbour(host, address, now_s)
        return True

    def apply_report(
        self, report: HostReport, address: str, now_s: float
    ) -> Neighbour | None:
        """Apply a report; return its sender, or None if the report is outdated."""
        if report.host == self._host:
            return None
        self.add(report.host, address, now_s)
        neighbour = self.neighbours[report.host]
        if report.incarnation != neighbour.incarnation:
            is_older = report.incarnation < neighbour.incarnation
            if is_older and now_s - neighbour.last_report_s < SILENCE_TIMEOUT_S:
                return None
            neighbour.incarnation = report.incarnation
            neighbour.seq = -1
            neighbour.positions = {}
        elif report.seq <= neighbour.seq:
            return None
        neighbour.seq = report.seq
        neighbour.last_report_s = now_s
        neighbour.store_answered_s = now_s - report.store_age_s
        neighbour.is_leaving = report.is_leaving
        neighbour.positions.update(report.positions)
        return neighbour

    def list_live(self, now_s: float) -> list[Neighbour]:
        """Return the neighbours that reported within ``SILENCE_TIMEOUT_S``."""
        return [
            n
            for n in self.neighbours.values()
            if now_s - n.last_report_s < SILENCE_TIMEOUT_S
        ]

    def list_staying(self) -> list[Neighbour]:
        """Return the neighbours that are not leaving, silent ones included."""
        return [n for n in self.neighbours.values() if not n.is_leaving]

    def find_host(self, address: str) -> str:
        """Return the name of the neighbour with an IP address, "" if there is none."""
        for neighbour in self.neighbours.values():
            if neighbour.address == address:
                return neighbour.host
        return ""

    def remove_expired(self, now_s: float) -> list[str]:
        """Remove neighbours silent for ``FORGET_AFTER_S``; return their names."""
        expired = [
            host
            for host, n in self.neighbours.items()
            if now_s - n.last_report_s > FORGET_AFTER_S
        ]
        for host in expired:
            del self.neighbours[host]
        return expired

    def is_reader(self, now_s: float, own_answered_s: float) -> bool:
        """Return whether this host must read the store itself.

        Args:
            now_s: Monotonic time in seconds.
            own_answered_s: Time of this host's last answer from the store.
        """
        live = self.list_live(now_s)
        ahead = [n for n in live if n.host < self._host and not n.is_leaving]
        if not ahead:
            return True
        takeover_age_s = self._times.takeover_age_s
        if now_s - max(n.store_answered_s for n in ahead) < takeover_age_s:
            return False
        if now_s - own_answered_s < takeover_age_s:
            return True
        latest_s = max(n.store_answered_s for n in live)
        return now_s - latest_s >= takeover_age_s + TAKEOVER_STEP_S * len(ahead)

    def update_current_s(
        self, positions: Mapping[str, TablePosition], now_s: float
    ) -> float:
        """Return the time up to which rows of these positions are known to be current.

        Rows are as current as those of a live neighbour without newer ones. Once it
        reports newer ones, the time of its earlier report remains valid until the rows
        are fetched; otherwise every host would read the store at each change. The
        returned time never decreases.
        """
        for neighbour in self.list_live(now_s):
            if all(
                positions.get(table, NO_POSITION) >= position
                for table, position in neighbour.positions.items()
            ):
                self._current_s = max(self._current_s, neighbour.store_answered_s)
        return self._current_s

    def last_answer_s(self) -> float:
        """Return when a neighbour last had an answer from the store, as far as known.

        Answers that one neighbour has learned of from another count too.
        """
        known = (n.store_answered_s for n in self.neighbours.values())
        return max(known, default=NEVER_S)

    def list_sources(
        self, table: str, position: TablePosition, now_s: float
    ) -> list[Neighbour]:
        """Return the live neighbours with rows after ``position``, newest first."""
        found = [
            neighbour
            for neighbour in self.list_live(now_s)
            if neighbour.positions.get(table, NO_POSITION) > position
        ]
        return sorted(found, key=lambda item: item.positions[table], reverse=True)
