"""Runs under which a server may have crashed, until that is known."""

from collections import deque

from ..desired import BackendEntry
from ..model import Record
from ..placing import BackendLoad

MAX_LOST_RUNS = 128
# A server that crashed is back after some seconds. Later it may have restarted for
# another reason.
LOST_RUN_LIFETIME_S = 15.0


class LostRun(Record):
    """One run of a request that ended without an answer.

    Attributes:
        digests: Digests of the request, see ``request_digests``.
        request_id: Id of the request.
        load: The server.
        ended_s: When it was given up, in monotonic seconds.
    """

    __slots__ = ("digests", "request_id", "load", "ended_s")

    def __init__(
        self,
        digests: tuple[bytes, ...],
        request_id: str,
        load: BackendLoad,
        ended_s: float,
    ) -> None:
        self.digests = digests
        self.request_id = request_id
        self.load = load
        self.ended_s = ended_s


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
    """The latest lost runs of a host whose server fell silent."""

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: deque[LostRun] = deque(maxlen=MAX_LOST_RUNS)

    def add(self, run: LostRun) -> None:
        """Remember a run."""
        self._runs.append(run)

    def take_crashed(self, entry: BackendEntry, now_s: float) -> list[LostRun]:
        """Remove and return the runs whose server has started again.

        Args:
            entry: New entry of a server.
            now_s: Monotonic time, in seconds.
        """
        while self._runs and now_s - self._runs[0].ended_s > LOST_RUN_LIFETIME_S:
            self._runs.popleft()
        found = [run for run in self._runs if is_restart(run.load.entry, entry)]
        for run in found:
            self._runs.remove(run)
        return found
