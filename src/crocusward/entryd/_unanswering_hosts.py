"""Hosts of other groups that leave requests unanswered."""

from collections.abc import Callable, Iterable, Sequence

from ..desired import EntryHost

FIRST_PAUSE_S = 2.0  # after an unanswered request
MAX_AVOIDED_S = 16.0  # after several, while other hosts of the group answer


class _Silence:
    """Unanswered requests of one host.

    Attributes:
        count: Their number since it was last heard.
        last_s: Time of the last, in monotonic seconds.
    """

    __slots__ = ("count", "last_s")

    def __init__(self) -> None:
        self.count = 0
        self.last_s = 0.0


class UnansweringHosts:
    """Tells which hosts of a group to ask, so that a host that is gone costs little.

    A host gets no request for a while after one that it did not answer. If it goes on
    so, others of its group are preferred to it for a longer time, until it is heard.

    Args:
        now: Monotonic clock, in seconds.
    """

    __slots__ = ("_now", "_silent")

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._silent: dict[str, _Silence] = {}

    def note_unanswered(self, address: str) -> None:
        """Count a request that a host did not answer in time."""
        silence = self._silent.setdefault(address, _Silence())
        silence.count += 1
        silence.last_s = self._now()

    def note_heard(self, address: str) -> None:
        """Note a message of a host; a pause that has begun goes on."""
        silence = self._silent.get(address)
        if silence is not None:
            silence.count = 1
            if self._now() - silence.last_s >= FIRST_PAUSE_S:
                del self._silent[address]

    def list_responsive(self, hosts: Iterable[EntryHost]) -> list[EntryHost]:
        """Return the hosts that may be asked now, without those to avoid."""
        now_s = self._now()
        allowed = [
            host
            for host in hosts
            if (silence := self._silent.get(host.address)) is None
            or now_s - silence.last_s >= FIRST_PAUSE_S
        ]
        return self.prefer(allowed)

    def prefer(self, hosts: Sequence[EntryHost]) -> list[EntryHost]:
        """Return the hosts that do not seem to be gone; all, if all do."""
        now_s = self._now()
        return [h for h in hosts if not self._is_avoided(h, now_s)] or list(hosts)

    def _is_avoided(self, host: EntryHost, now_s: float) -> bool:
        silence = self._silent.get(host.address)
        if silence is None:
            return False
        avoided_s = min(MAX_AVOIDED_S, FIRST_PAUSE_S * 2.0 ** (silence.count - 1))
        return now_s - silence.last_s < avoided_s
