"""Runs whose server fell silent, until it is known whether the server crashed."""

from collections import deque

from ..desired import BackendEntry
from ..model import Record

MAX_LOST_RUNS = 128  # oldest dropped first; about 20 KB
# A server that crashed is back after some seconds. Later it may have restarted for
# another reason.
LOST_RUN_LIFETIME_S = 15.0


class LostRun(Record):
    """One run of a request without an end that this host has seen.

    Attributes:
        digest: Digest of the request.
        request_id: Id of the request.
        entry: Entry of the server when the request was sent.
        was_alone: Whether the server ran nothing else.
        lost_s: When the run was given up, in monotonic seconds.
    """

    __slots__ = ("digest", "request_id", "entry", "was_alone", "lost_s")

    def __init__(
        self,
        digest: bytes,
        request_id: str,
        entry: BackendEntry,
        was_alone: bool,
        lost_s: float,
    ) -> None:
        self.digest = digest
        self.request_id = request_id
        self.entry = entry
        self.was_alone = was_alone
        self.lost_s = lost_s


def is_restart(old: BackendEntry, new: BackendEntry) -> bool:
    """Return whether an entry is that of a later start of a server.

    A server that starts again has its former id, or another one at its address. Behind
    a network that was cut it goes on with the same start.
    """
    is_same = new.id == old.id or (
        new.address == old.address and new.service == old.service
    )
    return is_same and new.started_unix_ms > old.started_unix_ms


class LostRuns:
    """The latest lost runs of a host."""

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: deque[LostRun] = deque(maxlen=MAX_LOST_RUNS)

    def add(self, run: LostRun) -> None:
        """Remember a run."""
        self._runs.append(run)

    def take_crashed(self, entry: BackendEntry, now_s: float) -> list[LostRun]:
        """Remove and return the runs that ended with a start before that of an entry.

        Args:
            entry: New entry of a server.
            now_s: Monotonic time, in seconds.
        """
        while self._runs and now_s - self._runs[0].lost_s > LOST_RUN_LIFETIME_S:
            self._runs.popleft()
        crashed = [run for run in self._runs if is_restart(run.entry, entry)]
        for run in crashed:
            self._runs.remove(run)
        return crashed
