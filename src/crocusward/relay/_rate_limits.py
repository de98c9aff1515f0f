"""Rate limits that backend servers name: applies, logs and counts their changes."""

from collections import Counter
from collections.abc import Callable

from ..logs import EventSampler, Level
from ..neighbours import BackendObservation
from ..placing import NO_LIMIT, BackendLoad

OWN_HOST = ""  # source of a limit that this host learned from the server itself


class RateLimitTracker:
    """Applies what answers and neighbours say of the rate limits of servers.

    Args:
        now: Clock of rate limits, in seconds; goes on while the host is suspended.
        sampler: Logs the changes.

    Attributes:
        on_change: Called with the server after a change that an answer to this host
            brought.
        events: Number of changes, permits and denials, by name of the event.
    """

    __slots__ = ("on_change", "events", "_now", "_sampler")

    def __init__(self, now: Callable[[], float], sampler: EventSampler) -> None:
        self.on_change: Callable[[BackendLoad], object] | None = None
        self.events: Counter[str] = Counter()
        self._now = now
        self._sampler = sampler

    def now(self) -> float:
        """Return the time of the clock of rate limits, in seconds."""
        return self._now()

    def observe(
        self, load: BackendLoad, observation: BackendObservation, request_id: str = ""
    ) -> None:
        """Apply the answer of a server to this host.

        Args:
            load: The server.
            observation: What the answer says.
            request_id: Id of the request, or "" for a probe.
        """
        if observation.rate_limit_error:
            self._log(
                "backend_limit_ignored",
                load,
                Level.WARNING,
                reason=observation.rate_limit_error,
                id=request_id,
            )
            return
        per_s = observation.rate_limit_per_s
        if per_s < NO_LIMIT or (per_s == NO_LIMIT and not load.rate_limit):
            return
        before = load.rate_limit.per_s
        if load.rate_limit.observe(per_s, observation.asked_s, observation.answered_s):
            self._log_change(load, before, OWN_HOST, request_id)
            if self.on_change is not None:
                self.on_change(load)

    def merge(self, load: BackendLoad, per_s: float, age_s: float, host: str) -> bool:
        """Apply what a host knew ``age_s`` seconds ago; return whether it is news."""
        before = load.rate_limit.per_s
        has_changed = load.rate_limit.merge(per_s, self._now() - age_s)
        if has_changed:
            self._log_change(load, before, host, "")
        return has_changed

    def _log_change(
        self, load: BackendLoad, before: float, host: str, request_id: str
    ) -> None:
        if before == NO_LIMIT:
            load.permits.restart()
            name = "backend_limit_learned"
        elif load.rate_limit:
            name = "backend_limit_changed"
        else:
            name = "backend_limit_ended"
        self._log(name, load, previous_per_s=before, source=host, id=request_id)

    def _log(
        self, name: str, load: BackendLoad, level: Level = Level.INFO, **fields: object
    ) -> None:
        self.events[name] += 1
        self._sampler.log(
            name,
            level,
            backend=load.entry.id,
            service=load.entry.service,
            limit_per_s=load.rate_limit.per_s,
            **fields,
        )
