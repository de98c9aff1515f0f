"""Rate limits and limits of requests in flight for each contract."""

from ..errors import Refusal, RefusalCode
from ..model import Contract, ContractLimits
from ..peer import OfferedRate
from ..timing import TimerService
from ._host_count import HostCounter

OFFERED_RATE_TIME_CONSTANT_S = 2.0
PEER_RATES_LIFETIME_S = 3.0  # three missed heartbeats
IN_FLIGHT_RETRY_AFTER_S = 0.1
MIN_REPORTED_RATE_PER_S = 0.01  # a contract below it is idle


class AdmissionPermit:
    """Permit of an admitted request; call ``release`` when the request ends."""

    __slots__ = ("_bucket",)

    def __init__(self, bucket: "_TokenBucket") -> None:
        self._bucket: _TokenBucket | None = bucket

    def release(self) -> None:
        """Release the permit; further calls have no effect."""
        if self._bucket is not None:
            self._bucket.in_flight -= 1
            self._bucket = None


class _TokenBucket:
    """Token bucket, requests in flight and offered rate of one contract here.

    Attributes:
        tokens: Requests that may be admitted now.
        refilled_s: Monotonic time of the last refill, in seconds.
        in_flight: Number of admitted requests that have not ended.
        offered_rate: Requests per second at ``offered_at_s``, admitted or not.
        offered_at_s: Monotonic time of the last update of the rate, in seconds.
    """

    __slots__ = ("tokens", "refilled_s", "in_flight", "offered_rate", "offered_at_s")

    def __init__(self, refilled_s: float, now_s: float) -> None:
        self.tokens = 0.0
        self.refilled_s = refilled_s
        self.in_flight = 0
        self.offered_rate = 0.0
        self.offered_at_s = now_s

    def refill(self, limits: ContractLimits, divisor: int, now_s: float) -> None:
        """Add the tokens accrued since the last call."""
        accrued = (now_s - self.refilled_s) * limits.rate / divisor
        size = max(1.0, limits.burst / divisor)
        self.tokens = min(size, self.tokens + accrued)
        self.refilled_s = now_s

    def record_arrival(self, now_s: float) -> None:
        """Add one request to the offered rate."""
        self.decay_offered_rate(now_s)
        self.offered_rate += 1.0 / OFFERED_RATE_TIME_CONSTANT_S

    def decay_offered_rate(self, now_s: float) -> None:
        """Decay the offered rate; hyperbolic decay is cheap and slow enough."""
        elapsed = (now_s - self.offered_at_s) / OFFERED_RATE_TIME_CONSTANT_S
        self.offered_rate /= 1.0 + elapsed
        self.offered_at_s = now_s


class RateLimiter:
    """Applies the contracts' rates and limits of requests in flight.

    Each host has an equal share: rate, burst and requests in flight divided by the
    number of hosts. With N hosts, in any T seconds the fleet admits at most
    ``rate * T + max(burst, N)``. While a host is replaced it admits at most one
    share ``rate / N`` and one host's burst ``max(burst / N, 1)`` more, for as long
    as the hosts disagree. A partition leaves the divisor, and so the bound, as it
    is. Requests in flight stay within ``max(in_flight, N)``.

    Shares are not weighted by the offered rates that heartbeats report. That would
    let a customer on one host use the whole rate, but hosts whose peers were idle in
    the last heartbeat would each admit the whole rate until the next one: N times
    the limit, which breaks the bound. The reports serve the operators' metrics.

    Args:
        timer: Time source.
        host_counter: Counts the entry hosts.
    """

    __slots__ = ("_timer", "_host_counter", "_started_s", "_buckets", "_peer_rates")

    def __init__(self, timer: TimerService, host_counter: HostCounter) -> None:
        self._timer = timer
        self._host_counter = host_counter
        self._started_s = timer.now()
        self._buckets: dict[str, _TokenBucket] = {}
        self._peer_rates: dict[str, _PeerRates] = {}

    def admit(self, contract: Contract) -> AdmissionPermit:
        """Admit one request.

        Raises:
            Refusal: ``rate_limited`` or ``too_many_in_flight``.
        """
        now_s = self._timer.now()
        bucket = self._buckets.get(contract.name)
        if bucket is None:
            # Tokens accrue from the start of the daemon: a new host has no burst.
            bucket = _TokenBucket(self._started_s, now_s)
            self._buckets[contract.name] = bucket
        limits = contract.limits
        divisor = self._host_counter.divisor(now_s)
        bucket.refill(limits, divisor, now_s)
        bucket.record_arrival(now_s)
        if bucket.in_flight >= max(1, limits.in_flight // divisor):
            raise Refusal(
                RefusalCode.TOO_MANY_IN_FLIGHT,
                f"contract {contract.name!r} has too many requests in flight",
                retry_after_s=IN_FLIGHT_RETRY_AFTER_S,
            )
        if bucket.tokens < 1.0:
            wait_s = (1.0 - bucket.tokens) * divisor / max(limits.rate, 1e-9)
            raise Refusal(
                RefusalCode.RATE_LIMITED,
                f"contract {contract.name!r} exceeds its rate",
                retry_after_s=wait_s,
            )
        bucket.tokens -= 1.0
        bucket.in_flight += 1
        return AdmissionPermit(bucket)

    def remove_contract(self, contract: str) -> None:
        """Remove the token bucket of a deleted contract."""
        self._buckets.pop(contract, None)

    def offered_rates(self) -> list[OfferedRate]:
        """Return the rates offered to this host, for its heartbeats."""
        now_s = self._timer.now()
        entries = []
        for name, bucket in self._buckets.items():
            bucket.decay_offered_rate(now_s)
            if bucket.offered_rate >= MIN_REPORTED_RATE_PER_S:
                entries.append(OfferedRate(name, bucket.offered_rate))
        return entries

    def record_peer_rates(
        self, host: str, entries: list[OfferedRate], now_s: float
    ) -> None:
        """Record the offered rates that a peer reports."""
        self._peer_rates[host] = _PeerRates(entries, now_s)

    def fleet_offered_rate(self, contract: str) -> float:
        """Return the rate offered to all hosts in contact, requests per second."""
        now_s = self._timer.now()
        own = [entry for entry in self.offered_rates() if entry.contract == contract]
        total = sum(entry.rate for entry in own)
        for report in self._peer_rates.values():
            if now_s - report.reported_at_s <= PEER_RATES_LIFETIME_S:
                total += report.rates.get(contract, 0.0)
        return total


class _PeerRates:
    """The last reported offered rates of one peer."""

    __slots__ = ("rates", "reported_at_s")

    def __init__(self, entries: list[OfferedRate], reported_at_s: float) -> None:
        self.rates = {entry.contract: entry.rate for entry in entries}
        self.reported_at_s = reported_at_s
