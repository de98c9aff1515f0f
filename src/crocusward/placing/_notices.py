"""What backend servers told this host: that they leave, or want nothing for a while."""

MAX_NOTICES = 4096  # servers; the oldest is dropped


class _Notice:
    __slots__ = ("started_unix_ms", "is_leaving", "paused_until_s")

    def __init__(self, started_unix_ms: int) -> None:
        self.started_unix_ms = started_unix_ms
        self.is_leaving = False
        self.paused_until_s = -1.0


class ServerNotices:
    """Remembers notices of servers beyond the lifetime of their entries.

    A notice binds this host alone, whatever the entry of the server says, and holds for
    one start of the server.
    """

    __slots__ = ("_notices",)

    def __init__(self) -> None:
        self._notices: dict[str, _Notice] = {}

    def _of(self, id: str, started_unix_ms: int) -> _Notice:
        notice = self._notices.get(id)
        if notice is None or notice.started_unix_ms != started_unix_ms:
            self._notices.pop(id, None)
            notice = self._notices[id] = _Notice(started_unix_ms)
            while len(self._notices) > MAX_NOTICES:
                del self._notices[next(iter(self._notices))]
        return notice

    def note_leaving(self, id: str, started_unix_ms: int) -> bool:
        """Note that a server leaves; return whether that is new.

        Args:
            id: Id of the server.
            started_unix_ms: Its start, as its entry tells, 0 if unknown.
        """
        notice = self._of(id, started_unix_ms)
        is_new = not notice.is_leaving
        notice.is_leaving = True
        return is_new

    def note_pause(self, id: str, started_unix_ms: int, until_s: float) -> None:
        """Note that a server wants nothing until some time, in monotonic seconds."""
        notice = self._of(id, started_unix_ms)
        notice.paused_until_s = max(notice.paused_until_s, until_s)

    def is_closed(self, id: str, started_unix_ms: int, now_s: float) -> bool:
        """Return whether this host may send nothing to a server now."""
        notice = self._notices.get(id)
        if notice is None or notice.started_unix_ms != started_unix_ms:
            return False
        return notice.is_leaving or now_s < notice.paused_until_s

    def pause_left_s(self, id: str, now_s: float) -> float:
        """Return how long a server still wants nothing, 0.0 if it has not said so."""
        notice = self._notices.get(id)
        return max(0.0, notice.paused_until_s - now_s) if notice is not None else 0.0
