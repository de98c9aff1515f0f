"""Rate limit of a backend server, as its answers name it, and its token bucket."""

import math

NO_LIMIT = 0.0
NEVER_S = -1e9  # before anything is known of a limit
BURST_S = 0.5  # seconds of the limit that may be sent at once, at least one request
# Seconds of the limit by which requests without a permit may overdraw the bucket.
MAX_DEBT_S = 2.0
PERMIT_LIFETIME_S = 1.0  # the request of a permit is reported by then


class ServerRateLimit:
    """Request rate that a backend server takes from all hosts together.

    Times are those of a clock that goes on while the host is suspended, since a limit
    learned before a suspension is older than one that was learned meanwhile.

    Attributes:
        per_s: Limit in requests per second, or ``NO_LIMIT``.
        known_s: Time up to which ``per_s`` is known to hold.
        is_own: Whether this host learned it from the server itself.
    """

    __slots__ = ("per_s", "known_s", "is_own")

    def __init__(self) -> None:
        self.per_s = NO_LIMIT
        self.known_s = NEVER_S
        self.is_own = False

    def __bool__(self) -> bool:
        return self.per_s > NO_LIMIT

    @property
    def is_known(self) -> bool:
        """Whether the server ever named a limit, as far as this host knows."""
        return self.known_s > NEVER_S

    def observe(self, per_s: float, asked_s: float, answered_s: float) -> bool:
        """Apply an answer of the server; return whether the limit changed.

        Only an answer to a request that was sent after the limit was last named ends
        it: an older request may have been answered before the limit began.

        Args:
            per_s: Limit that the answer names, or ``NO_LIMIT``.
            asked_s: When the request was sent.
            answered_s: When the answer arrived.
        """
        known_s = answered_s if per_s > NO_LIMIT else asked_s
        return self._update(per_s, known_s, True)

    def merge(self, per_s: float, known_s: float) -> bool:
        """Apply what another host knew at a time, unless this host knows later.

        An end that this host saw itself stays its own, as only such ends are reported.

        Returns:
            Whether the limit changed.
        """
        if per_s == self.per_s == NO_LIMIT and self.is_own:
            return False
        return self._update(per_s, known_s, False)

    def _update(self, per_s: float, known_s: float, is_own: bool) -> bool:
        if known_s <= self.known_s:
            return False
        self.known_s = known_s
        self.is_own = is_own
        has_changed = per_s != self.per_s
        self.per_s = per_s
        return has_changed


class PermitBucket:
    """Token bucket of the permits for requests to one server with a limited rate.

    It starts empty, so that hosts which take over from each other exceed the limit by
    no more than a burst. Requests that were sent without a permit are deducted as well.

    Args:
        tokens: Requests that may be sent at once at the start.
    """

    __slots__ = ("_tokens", "_updated_s", "_issued")

    def __init__(self, tokens: float = 0.0) -> None:
        self._tokens = tokens
        self._updated_s: float | None = None
        self._issued: dict[str, list[float]] = {}

    def tokens(self, per_s: float, now_s: float, max_burst: float = math.inf) -> float:
        """Return the requests that may be sent now.

        Args:
            per_s: Tokens per second since the last call.
            now_s: Monotonic time.
            max_burst: Requests that may be sent at once, if fewer than ``BURST_S``
                allows; at least one.
        """
        if self._updated_s is not None:
            self._tokens += per_s * max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        self._tokens = max(
            min(self._tokens, max(1.0, min(per_s * BURST_S, max_burst))),
            -max(1.0, per_s * MAX_DEBT_S),
        )
        return self._tokens

    def empty(self) -> None:
        """Discard the tokens collected so far."""
        self._tokens = min(0.0, self._tokens)

    def restart(self, debt: float = 0.0) -> None:
        """Begin a limit; the time without one has brought no tokens.

        Args:
            debt: Requests sent just before that the limit would not have allowed.
        """
        self._tokens = min(0.0, self._tokens) - debt
        self._updated_s = None

    def issue(self, host: str, now_s: float) -> None:
        """Take a token for a request that another host is about to send."""
        self._tokens -= 1.0
        self.expect_send(host, now_s)

    def expect_send(self, host: str, now_s: float) -> None:
        """Expect a request of a host whose token has been taken."""
        self._issued.setdefault(host, []).append(now_s + PERMIT_LIFETIME_S)

    def count_send(self, host: str, now_s: float) -> None:
        """Take a token for a request, unless its permit has taken one."""
        issued = self._issued.pop(host, None)
        if issued:
            valid = [end_s for end_s in issued if end_s >= now_s]
            if valid:
                if len(valid) > 1:
                    self._issued[host] = valid[1:]
                return
        self._tokens -= 1.0
