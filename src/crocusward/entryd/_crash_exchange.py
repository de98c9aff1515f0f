"""Exchange of the crashes under requests between all hosts."""

import random
from collections.abc import Callable, Iterable, Sequence

from ..crashes import CrashRegistry
from ..logs import EventSampler
from ..neighbours import CrashReport, Message
from ..relay import CrashWatch, show_digest
from ..timing import TimerService

MAX_REQUESTS_PER_DATAGRAM = 12  # about 1.2 KB
SEND_DELAY_S = 0.01  # gathers what one crash ends
# When a change is sent again to all hosts, in case a datagram was lost. A single crash
# is only passed on within groups.
REPEAT_DELAYS_S = (0.25, 0.8)
MIN_CRASHES_TO_REPEAT = 2
SHARE_PERIOD_S = 1.0
MAX_SHARED_REQUESTS = 24  # in one period, to each host of the group


class CrashExchange:
    """Reports crashes to all hosts, and merges what they report.

    What this host counts goes to every known host at once. Besides, each host shares
    what it knows with its group each second, and with a host that says hello, so that
    a host that starts, wakes or returns from a partition learns it. Nothing is sent
    while nothing is known.

    Args:
        host: Name of this host.
        watch: Counts the crashes that this host sees.
        timer: Source of time.
        rng: Chooses what is shared if there is too much.
        sampler: Logs what is learned.
        send: Sends a message to IP addresses.
        all_addresses: Returns the addresses of all other hosts.
        group_addresses: Returns the addresses of the other hosts of this group.
    """

    __slots__ = (
        "_host",
        "_registry",
        "_watch",
        "_timer",
        "_rng",
        "_sampler",
        "_send",
        "_all_addresses",
        "_group_addresses",
        "_changed",
    )

    def __init__(
        self,
        host: str,
        watch: CrashWatch,
        timer: TimerService,
        rng: random.Random,
        sampler: EventSampler,
        send: Callable[[Message, Iterable[str]], None],
        all_addresses: Callable[[], list[str]],
        group_addresses: Callable[[], list[str]],
    ) -> None:
        self._host = host
        self._registry: CrashRegistry = watch.registry
        self._watch = watch
        self._timer = timer
        self._rng = rng
        self._sampler = sampler
        self._send = send
        self._all_addresses = all_addresses
        self._group_addresses = group_addresses
        self._changed: set[bytes] = set()
        watch.observers.append(self._on_change)

    def start(self) -> None:
        """Begin to share with the group."""
        self._timer.every(SHARE_PERIOD_S, self._share)

    def _on_change(self, digest: bytes, was_blocked: bool) -> None:
        if not self._changed:
            self._timer.call_later(SEND_DELAY_S, self._send_changes)
        self._changed.add(digest)

    def _send_changes(self) -> None:
        digests = list(self._changed)
        self._changed.clear()
        self._report(digests, self._all_addresses())
        if any(self._is_worth_repeating(digest) for digest in digests):
            for delay_s in REPEAT_DELAYS_S:
                self._timer.call_later(delay_s, lambda: self._repeat(digests))

    def _repeat(self, digests: Sequence[bytes]) -> None:
        found = [digest for digest in digests if self._is_worth_repeating(digest)]
        self._report(found, self._all_addresses())

    def _is_worth_repeating(self, digest: bytes) -> bool:
        record = self._registry.records.get(digest)
        if record is None:
            return False
        is_cleared = not record.crashes_s
        return is_cleared or len(record.crashes_s) >= MIN_CRASHES_TO_REPEAT

    def _share(self) -> None:
        digests = self._registry.list_digests()
        if len(digests) > MAX_SHARED_REQUESTS:
            # Those with the most crashes always, others in turn.
            half = MAX_SHARED_REQUESTS // 2
            digests = digests[:half] + self._rng.sample(digests[half:], half)
        self._report(digests, self._group_addresses())

    def report_all(self, address: str) -> None:
        """Report all that is known to a host that may have missed it."""
        self._report(self._registry.list_digests(), [address])

    def _report(self, digests: Sequence[bytes], addresses: Sequence[str]) -> None:
        if not digests or not addresses:
            return
        for start in range(0, len(digests), MAX_REQUESTS_PER_DATAGRAM):
            part = digests[start : start + MAX_REQUESTS_PER_DATAGRAM]
            found = [self._registry.summarise(digest) for digest in part]
            requests = [summary for summary in found if summary is not None]
            self._send(CrashReport(self._host, requests), addresses)

    def apply(self, report: CrashReport) -> None:
        """Merge what another host reports."""
        for summary in report.requests:
            if self._registry.merge(summary):
                self._watch.events["crash_learned"] += 1
                self._sampler.log(
                    "crash_learned",
                    digest=show_digest(summary.digest),
                    crashes=self._registry.count(summary.digest),
                    source=report.host,
                )
