"""Runs under which a server may have crashed, until that is known."""

from collections import deque

from ..desired import BackendEntry
from ..model import Record
from ..placing import BackendLoad

MAX_LOST_RUNS = 128
# A server that crashed is back after some seconds. Later it may have restarted for
# another reason.
LOST_RUN_LIFETIME_S = 15.0
MAX_ANSWERED_RUNS = 64  # of all servers, in the time below
# A server that ends so soon after an answer may have crashed under its request.
ANSWERED_RUN_LIFETIME_S = 0.05
ANSWER_SLACK_S = 0.01  # between an answer on a connection and the end of its run


class Run(Record):
    """One run of a request at a server.

    Attributes:
        digests: Digests of the request, see ``request_digests``.
        request_id: Id of the request.
        load: The server.
        ended_s: When it was answered or given up, in monotonic seconds.
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


class RunHistory:
    """The latest runs of a host under which a server may have crashed.

    Attributes:
        lost: Runs whose server fell silent, oldest first.
        answered: Runs that were answered just now, oldest first.
    """

    __slots__ = ("lost", "answered")

    def __init__(self) -> None:
        self.lost: deque[Run] = deque(maxlen=MAX_LOST_RUNS)
        self.answered: deque[Run] = deque(maxlen=MAX_ANSWERED_RUNS)

    def take_restarted(self, entry: BackendEntry, now_s: float) -> list[Run]:
        """Remove and return the lost runs whose server has started again.

        Args:
            entry: New entry of a server.
            now_s: Monotonic time, in seconds.
        """
        _drop_older(self.lost, now_s - LOST_RUN_LIFETIME_S)
        found = [run for run in self.lost if is_restart(run.load.entry, entry)]
        for run in found:
            self.lost.remove(run)
        return found

    def add_answered(self, run: Run) -> None:
        """Remember a run that was answered."""
        _drop_older(self.answered, run.ended_s - ANSWERED_RUN_LIFETIME_S)
        self.answered.append(run)

    def take_answered(self, address: tuple[str, int], answered_s: float) -> list[Run]:
        """Remove and return the runs that a server answered at a moment.

        Args:
            address: Address and port of the server.
            answered_s: Time of the answer, in monotonic seconds.
        """
        found = [
            run
            for run in self.answered
            if run.load.entry.address == address
            and abs(run.ended_s - answered_s) <= ANSWER_SLACK_S
        ]
        for run in found:
            self.answered.remove(run)
        return found


def _drop_older(runs: "deque[Run]", since_s: float) -> None:
    while runs and runs[0].ended_s < since_s:
        runs.popleft()
