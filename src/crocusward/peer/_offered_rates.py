"""Keeps the demand in heartbeats within a byte budget.

Demand only informs, so it may be a little old or rounded. Each heartbeat carries
the entries that changed most since they were last sent, as many as fit.
"""

import math
import struct
from collections.abc import Iterable

from ..model import Record
from ._faults import LinkFault, PeerProtocolError
from ._formats import MAX_DEMAND, MAX_RATE
from ._messages import OfferedRate

MAX_OFFERED_RATES_BYTES = 40  # per heartbeat; about two entries
ENTRY_OVERHEAD_BYTES = 6  # list, text header and a rate of half precision
MIN_CHANGE = 0.1  # as a natural logarithm, about 10%
MAX_HALF_FLOAT = 65_504.0


class _Sent(Record):
    """What the other side knows of one contract."""

    __slots__ = ("rate", "age")

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.age = 0


class DemandSender:
    """Chooses the demand entries for the next heartbeat on a link."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}

    def choose(self, offered_rates: Iterable[OfferedRate]) -> tuple[OfferedRate, ...]:
        """Return the entries to send; a rate of 0 ends an entry."""
        current = {entry.contract: _round_rate(entry.rate) for entry in offered_rates}
        for name in self._sent:
            current.setdefault(name, 0.0)
        ranked = sorted(
            ((self._urgency(name, rate), name) for name, rate in current.items()),
            reverse=True,
        )
        chosen = self._fit([name for urgency, name in ranked if urgency > 0.0])
        self._note(chosen, current)
        return tuple(OfferedRate(name, current[name]) for name in chosen)

    def _urgency(self, name: str, rate: float) -> float:
        sent = self._sent.get(name)
        if sent is None:
            return math.inf if rate > 0.0 else 0.0
        if rate == 0.0:
            return math.inf
        change = abs(math.log((1.0 + rate) / (1.0 + sent.rate)))
        # The age lets a small change pass before large ones that repeat.
        return change * (1 + sent.age) ** 2 if change > MIN_CHANGE else 0.0

    def _fit(self, names: list[str]) -> list[str]:
        chosen: list[str] = []
        left = MAX_OFFERED_RATES_BYTES
        for name in names:
            size = len(name.encode()) + ENTRY_OVERHEAD_BYTES
            # A name longer than the budget goes alone.
            if size > left and chosen:
                break
            left -= size
            chosen.append(name)
        return chosen

    def _note(self, chosen: list[str], current: dict[str, float]) -> None:
        for sent in self._sent.values():
            sent.age += 1
        for name in chosen:
            if current[name] == 0.0:
                self._sent.pop(name, None)
            else:
                self._sent[name] = _Sent(current[name])


class DemandReceiver:
    """Restores the whole demand of the other side of a link."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def merge(self, entries: Iterable[OfferedRate]) -> tuple[OfferedRate, ...]:
        """Apply received entries and return all that are known.

        Raises:
            PeerProtocolError: There are too many contracts.
        """
        for entry in entries:
            if entry.rate == 0.0:
                self._rates.pop(entry.contract, None)
            else:
                self._rates[entry.contract] = entry.rate
        if len(self._rates) > MAX_DEMAND:
            raise PeerProtocolError(LinkFault.BAD_FIELD, "too many contracts")
        return tuple(OfferedRate(name, rate) for name, rate in self._rates.items())


def _round_rate(rate: float) -> float:
    """Round to half precision, which CBOR writes in 3 bytes."""
    if not 0.0 < rate <= MAX_RATE:
        return 0.0
    if rate <= MAX_HALF_FLOAT:
        return float(struct.unpack("e", struct.pack("e", rate))[0])
    return float(struct.unpack("f", struct.pack("f", rate))[0])
