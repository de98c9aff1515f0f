"""What servers of the soak told each daemon, and what arrived from it afterwards."""

from collections.abc import Callable, Mapping

from ._callers import Asked

DRAIN_S = 2.0
PAUSE_KNOWN_S = 0.5  # from an answer with Retry-After until it binds
PAUSE_REQUESTS = 2  # that may arrive all the same


class Pause:
    """A time in which a server wants nothing from the daemon of a request."""

    __slots__ = ("server", "id", "start_s", "end_s")

    def __init__(self, server: str, id: str, start_s: float, end_s: float) -> None:
        self.server = server
        self.id = id
        self.start_s = start_s
        self.end_s = end_s


class Notices:
    """Records notices and arrivals, and finds those that came in spite of a notice.

    Servers know the requests but not the daemons, whose connections a proxy relays.
    Probes have no id and are not counted.

    Attributes:
        leaving: Answers that say that a server leaves: server, request and time.
        pauses: Times in which servers want nothing from a daemon.
        arrivals: Requests that arrived: server, request and time.
    """

    def __init__(self) -> None:
        self.leaving: list[tuple[str, str, float]] = []
        self.pauses: list[Pause] = []
        self.arrivals: list[tuple[str, str, float]] = []

    def find_told(self, answered: Mapping[str, Asked]) -> dict[tuple[str, str], float]:
        """Return when each daemon first passed on that a server leaves.

        Args:
            answered: Requests whose answers were passed on, by id.
        """
        told_s: dict[tuple[str, str], float] = {}
        for server, id, _ in self.leaving:
            item = answered.get(id)
            if item is not None:
                key = (server, item.daemon)
                told_s[key] = min(told_s.get(key, item.ended_s), item.ended_s)
        return told_s

    def find_broken_pauses(
        self, daemon_of: Callable[[str], str]
    ) -> list[tuple[Pause, str, int]]:
        """Return the pauses in which too many requests arrived, daemon and count."""
        found = []
        for pause in self.pauses:
            daemon = daemon_of(pause.id)
            count = sum(
                server == pause.server
                and pause.start_s + PAUSE_KNOWN_S < at_s < pause.end_s
                and daemon_of(id) == daemon
                for server, id, at_s in self.arrivals
            )
            if count > PAUSE_REQUESTS:
                found.append((pause, daemon, count))
        return found
