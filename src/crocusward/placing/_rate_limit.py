"""Rate limit of a backend server, as its answers name it, and its token bucket."""

NO_LIMIT = 0.0
# Seconds of the limit that may be sent at once, at least one request.
BURST_S = 0.5


class ServerRateLimit:
    """Request rate that a backend server takes from all hosts together.

    Times are those of a clock that goes on while the host is suspended, since a limit
    learned before a suspension is older than one that was learned meanwhile.

    Attributes:
        per_s: Limit in requests per second, or ``NO_LIMIT``.
        known_s: Time up to which ``per_s`` is known to hold.
    """

    __slots__ = ("per_s", "known_s")

    def __init__(self) -> None:
        self.per_s = NO_LIMIT
        self.known_s = -1e9

    def __bool__(self) -> bool:
        return self.per_s > NO_LIMIT

    def observe(self, per_s: float, asked_s: float, answered_s: float) -> bool:
        """Apply an answer of the server; return whether the limit changed.

        Only an answer to a request that was sent after the limit was last named ends
        it: an older request may have been answered before the limit began.

        Args:
            per_s: Limit that the answer names, or ``NO_LIMIT``.
            asked_s: When the request was sent.
            answered_s: When the answer arrived.
        """
        return self.merge(per_s, answered_s if per_s > NO_LIMIT else asked_s)

    def merge(self, per_s: float, known_s: float) -> bool:
        """Apply what was known at a time, unless later knowledge is present.

        Returns:
            Whether the limit changed.
        """
        if known_s <= self.known_s:
            return False
        self.known_s = known_s
        has_changed = per_s != self.per_s
        self.per_s = per_s
        return has_changed
