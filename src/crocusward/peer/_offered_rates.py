"""Delta encoding of offered rates in heartbeats, within a byte budget.

Offered rates are hints, so they may be slightly old or rounded. Each heartbeat
carries the entries that changed most since they were last sent, as many as fit.
"""

import math
import struct
from collections.abc import Iterable

from ..model import Record
from ._faults import LinkFault, PeerProtocolError
from ._formats import MAX_OFFERED_RATES, MAX_RATE_PER_S
from ._messages import OfferedRate

MAX_OFFERED_RATES_BYTES = 40  # per heartbeat; about two entries
ENTRY_OVERHEAD_BYTES = 6  # list and string headers, half-precision rate
MIN_LOG_CHANGE = 0.1  # natural logarithm; about 10%
MAX_HALF_PRECISION = 65_504.0


class _SentRate(Record):
    """Rate last sent to the peer for one contract."""

    __slots__ = ("rate", "skipped")

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.skipped = 0


class OfferedRateSender:
    """Selects the offered rates for the next heartbeat on a link."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: dict[str, _SentRate] = {}

    def select(self, offered_rates: Iterable[OfferedRate]) -> tuple[OfferedRate, ...]:
        """Return the entries to send; a rate of 0 removes an entry."""
        current = {entry.contract: _round_rate(entry.rate) for entry in offered_rates}
        for name in self._sent:
            current.setdefault(name, 0.0)
        ranked = sorted(
            ((self._priority(name, rate), name) for name, rate in current.items()),
            reverse=True,
        )
        selected = self._limit_to_budget(
            [name for priority, name in ranked if priority > 0.0]
        )
        self._record_sent(selected, current)
        return tuple(OfferedRate(name, current[name]) for name in selected)

    def _priority(self, name: str, rate: float) -> float:
        sent = self._sent.get(name)
        if sent is None:
            return math.inf if rate > 0.0 else 0.0
        if rate == 0.0:
            return math.inf
        change = abs(math.log((1.0 + rate) / (1.0 + sent.rate)))
        # Skipped heartbeats raise the priority, so that contracts with repeated large
        # changes do not starve a small change.
        return change * (1 + sent.skipped) ** 2 if change > MIN_LOG_CHANGE else 0.0

    def _limit_to_budget(self, names: list[str]) -> list[str]:
        selected: list[str] = []
        remaining_bytes = MAX_OFFERED_RATES_BYTES
        for name in names:
            size = len(name.encode()) + ENTRY_OVERHEAD_BYTES
            # An entry larger than the budget is sent alone.
            if size > remaining_bytes and selected:
                break
            remaining_bytes -= size
            selected.append(name)
        return selected

    def _record_sent(self, selected: list[str], current: dict[str, float]) -> None:
        for sent in self._sent.values():
            sent.skipped += 1
        for name in selected:
            if current[name] == 0.0:
                self._sent.pop(name, None)
            else:
                self._sent[name] = _SentRate(current[name])


class OfferedRateReceiver:
    """Rebuilds all offered rates of the peer from its heartbeats."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def merge(self, entries: Iterable[OfferedRate]) -> tuple[OfferedRate, ...]:
        """Apply received entries and return all current ones.

        Raises:
            PeerProtocolError: The peer reports too many contracts.
        """
        for entry in entries:
            if entry.rate == 0.0:
                self._rates.pop(entry.contract, None)
            else:
                self._rates[entry.contract] = entry.rate
        if len(self._rates) > MAX_OFFERED_RATES:
            raise PeerProtocolError(LinkFault.BAD_FIELD, "too many contracts")
        return tuple(OfferedRate(name, rate) for name, rate in self._rates.items())


def _round_rate(rate: float) -> float:
    """Round to half precision, which CBOR writes in 3 bytes."""
    if not 0.0 < rate <= MAX_RATE_PER_S:
        return 0.0
    if rate <= MAX_HALF_PRECISION:
        return float(struct.unpack("e", struct.pack("e", rate))[0])
    return float(struct.unpack("f", struct.pack("f", rate))[0])
