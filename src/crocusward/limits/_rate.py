"""Rate limits and requests in flight by contract."""

from ..errors import Refusal, RefusalCode
from ..model import Contract, ContractLimits
from ..peer import DemandEntry
from ..timing import TimerService
from ._share import HostCounter

DEMAND_TIME_CONSTANT_S = 2.0  # memory of the offered rate
DEMAND_LIFETIME_S = 3.0  # three missed heartbeats
IN_FLIGHT_RETRY_S = 0.1
MIN_REPORTED_RATE = 0.01  # requests per second; below this a contract is idle


class AdmissionPermit:
    """An admitted request; ``release`` must be called when it ends."""

    __slots__ = ("_bucket",)

    def __init__(self, bucket: "_Bucket") -> None:
        self._bucket: _Bucket | None = bucket

    def release(self) -> None:
        """End the request; calling it twice does no harm."""
        if self._bucket is not None:
            self._bucket.in_flight -= 1
            self._bucket = None


class _Bucket:
    """This host's level for one contract."""

    __slots__ = ("level", "filled_s", "in_flight", "offered_rates", "offered_s")

    def __init__(self, filled_s: float, now_s: float) -> None:
        self.level = 0.0
        self.filled_s = filled_s
        self.in_flight = 0
        self.offered_rates = 0.0
        self.offered_s = now_s

    def fill(self, limits: ContractLimits, divisor: int, now_s: float) -> None:
        """Add what has accrued since the last call."""
        accrued = (now_s - self.filled_s) * limits.rate / divisor
        size = max(1.0, limits.burst / divisor)
        self.level = min(size, self.level + accrued)
        self.filled_s = now_s

    def count_offer(self, now_s: float) -> None:
        """Add one request to the offered rate."""
        self.decay_offer(now_s)
        self.offered_rates += 1.0 / DEMAND_TIME_CONSTANT_S

    def decay_offer(self, now_s: float) -> None:
        """Age the offered rate; hyperbolic decay is cheap and long enough."""
        age = (now_s - self.offered_s) / DEMAND_TIME_CONSTANT_S
        self.offered_rates /= 1.0 + age
        self.offered_s = now_s


class RateLimiter:
    """Applies the contracts' rates and limits of requests in flight.

    Each host has an equal share: rate, burst and requests in flight divided by the
    number of hosts. With N hosts, in any T seconds the fleet admits at most
    ``rate * T + max(burst, N)``. While a host is replaced it admits at most one
    share ``rate / N`` and one host's burst ``max(burst / N, 1)`` more, for as long
    as the hosts disagree. A partition leaves the divisor, and so the bound, as it
    is. Requests in flight stay within ``max(in_flight, N)``.

    A split weighted by the demand that heartbeats report was weighed: it lets a
    customer on one host use the whole rate, but hosts whose peers were idle in the
    last heartbeat each admit the whole rate until the next one, N times the limit,
    which breaks the bound. The reports serve the operators' metrics.

    Args:
        timer: Source of time.
        share: Number of entry hosts.
    """

    __slots__ = ("_timer", "_share", "_started_s", "_buckets", "_peer_demand")

    def __init__(self, timer: TimerService, share: HostCounter) -> None:
        self._timer = timer
        self._share = share
        self._started_s = timer.now()
        self._buckets: dict[str, _Bucket] = {}
        self._peer_demand: dict[str, _PeerDemand] = {}

    def admit(self, contract: Contract) -> AdmissionPermit:
        """Admit one request.

        Raises:
            Refusal: ``rate_limited`` or ``too_many_in_flight``.
        """
        now_s = self._timer.now()
        bucket = self._buckets.get(contract.name)
        if bucket is None:
            # Accrual counts from the start of the daemon: a new host has no burst.
            bucket = _Bucket(self._started_s, now_s)
            self._buckets[contract.name] = bucket
        limits = contract.limits
        divisor = self._share.divisor(now_s)
        bucket.fill(limits, divisor, now_s)
        bucket.count_offer(now_s)
        if bucket.in_flight >= max(1, limits.in_flight // divisor):
            raise Refusal(
                RefusalCode.TOO_MANY_IN_FLIGHT,
                f"contract {contract.name!r} has too many requests in flight",
                retry_after_s=IN_FLIGHT_RETRY_S,
            )
        if bucket.level < 1.0:
            wait_s = (1.0 - bucket.level) * divisor / max(limits.rate, 1e-9)
            raise Refusal(
                RefusalCode.RATE_LIMITED,
                f"contract {contract.name!r} exceeds its rate",
                retry_after_s=wait_s,
            )
        bucket.level -= 1.0
        bucket.in_flight += 1
        return AdmissionPermit(bucket)

    def forget(self, contract: str) -> None:
        """Drop the level of a deleted contract."""
        self._buckets.pop(contract, None)

    def offered(self) -> list[DemandEntry]:
        """Return the rates offered to this host, for heartbeats."""
        now_s = self._timer.now()
        entries = []
        for name, bucket in self._buckets.items():
            bucket.decay_offer(now_s)
            if bucket.offered_rates >= MIN_REPORTED_RATE:
                entries.append(DemandEntry(name, bucket.offered_rates))
        return entries

    def record_peer_rates(self, host: str, entries: list[DemandEntry], now_s: float) -> None:
        """Record the rates offered to a peer."""
        self._peer_demand[host] = _PeerDemand(entries, now_s)

    def fleet_offered_rate(self, contract: str) -> float:
        """Return the rate offered to all hosts in contact, requests per second."""
        now_s = self._timer.now()
        own = [entry for entry in self.offered_rates() if entry.contract == contract]
        total = sum(entry.rate for entry in own)
        for demand in self._peer_demand.values():
            if now_s - demand.at_s <= DEMAND_LIFETIME_S:
                total += demand.rates.get(contract, 0.0)
        return total


class _PeerDemand:
    """The last report of one peer."""

    __slots__ = ("rates", "at_s")

    def __init__(self, entries: list[DemandEntry], at_s: float) -> None:
        self.rates = {entry.contract: entry.rate for entry in entries}
        self.at_s = at_s
