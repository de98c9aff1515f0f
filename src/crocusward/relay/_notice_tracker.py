"""Applies, logs and counts what backend servers tell this host about themselves."""

from collections import Counter
from collections.abc import Callable

from ..logs import EventSampler, Level
from ..neighbours import BackendObservation
from ..placing import BackendLoad, ServerNotices


class NoticeTracker:
    """Applies the notices that answers to this host carry.

    Args:
        notices: Remembers them.
        now: Monotonic clock, in seconds.
        sampler: Logs them.

    Attributes:
        events: Number of notices by name of the event.
    """

    __slots__ = ("events", "_notices", "_now", "_sampler")

    def __init__(
        self, notices: ServerNotices, now: Callable[[], float], sampler: EventSampler
    ) -> None:
        self.events: Counter[str] = Counter()
        self._notices = notices
        self._now = now
        self._sampler = sampler

    def observe(
        self, load: BackendLoad, observation: BackendObservation, request_id: str = ""
    ) -> None:
        """Apply an answer of a server.

        Args:
            load: The server.
            observation: What the answer says.
            request_id: Id of the request, or "" for a probe.
        """
        entry = load.entry
        if observation.is_leaving:
            if self._notices.note_leaving(entry.id, entry.started_unix_ms):
                self._log("backend_leaving_learned", load, request_id)
        if observation.retry_after_error:
            self._log(
                "backend_retry_after_ignored",
                load,
                request_id,
                Level.WARNING,
                reason=observation.retry_after_error,
            )
        elif observation.retry_after_s > 0.0:
            until_s = self._now() + observation.retry_after_s
            self._notices.note_pause(entry.id, entry.started_unix_ms, until_s)
            self._log(
                "backend_pause_learned",
                load,
                request_id,
                for_s=observation.retry_after_s,
            )

    def _log(
        self,
        name: str,
        load: BackendLoad,
        request_id: str,
        level: Level = Level.INFO,
        **fields: object,
    ) -> None:
        self.events[name] += 1
        self._sampler.log(
            name,
            level,
            backend=load.entry.id,
            service=load.entry.service,
            entry_leaving=load.entry.leaving,
            id=request_id,
            **fields,
        )
