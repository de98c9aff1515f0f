"""Counts the crashes of servers under each request, merged over all hosts."""

import math
from collections import Counter
from collections.abc import Callable, Mapping

from ..model import Record
from ._identity import TARGET_DIGEST_BYTES

MAX_CRASHES = 3  # under one request, which then reaches no server any more
MAX_RECORDS = 512  # about 0.5 MB
MAX_CRASHES_KEPT = MAX_CRASHES + 1  # of one request: the first and the latest ones
SAME_MOMENT_S = 0.2  # from the first to the last of crashes that may have one cause
# A request with fewer crashes is forgotten after this time without a further one.
SUSPECT_LIFETIME_S = 60.0
BLOCK_LIFETIME_S = 600.0
CLEARED_LIFETIME_S = 60.0  # outlasts reports of the crashes that were cleared
NEVER_S = -math.inf


class CrashSummary(Record):
    """What a host knows of one request, as sent to other hosts.

    Attributes:
        digest: Digest of the request.
        crash_ages_s: Time since each crash, in seconds, by the id of the crash.
        cleared_age_s: Time since a server survived the request, or since an operator
            released it, in seconds; None if neither happened.
    """

    __slots__ = ("digest", "crash_ages_s", "cleared_age_s")

    def __init__(
        self,
        digest: bytes,
        crash_ages_s: Mapping[bytes, float],
        cleared_age_s: float | None = None,
    ) -> None:
        self.digest = digest
        self.crash_ages_s = dict(crash_ages_s)
        self.cleared_age_s = cleared_age_s


class CrashedRequest(Record):
    """One request under which servers crashed.

    Attributes:
        crashes_s: Time of each crash since it was last cleared, by the id of the crash.
        cleared_s: When it was last cleared.
    """

    __slots__ = ("crashes_s", "cleared_s")

    def __init__(self) -> None:
        self.crashes_s: dict[bytes, float] = {}
        self.cleared_s = NEVER_S

    @property
    def is_blocked(self) -> bool:
        """Whether it may reach no server.

        Servers that end at the same moment may do so for another reason, such as a loss
        of power, which many requests in flight share.
        """
        times_s = self.crashes_s.values()
        if len(times_s) < MAX_CRASHES:
            return False
        return max(times_s) - min(times_s) >= SAME_MOMENT_S

    @property
    def end_s(self) -> float:
        """When it is forgotten."""
        if not self.crashes_s:
            return self.cleared_s + CLEARED_LIFETIME_S
        lifetime_s = BLOCK_LIFETIME_S if self.is_blocked else SUSPECT_LIFETIME_S
        return max(self.crashes_s.values()) + lifetime_s


class CrashRegistry:
    """Requests under which servers crashed.

    A record is a set of crashes and the time up to which they are cleared, so that
    records of several hosts merge in any order and a crash that many hosts see counts
    once. While servers crash under many different requests, those with the fewest
    crashes are forgotten first.

    Args:
        now: Clock that goes on while the host is suspended, in seconds.

    Attributes:
        records: Record of each request, by its digest.
    """

    __slots__ = ("records", "_now", "_targets")

    def __init__(self, now: Callable[[], float]) -> None:
        self.records: dict[bytes, CrashedRequest] = {}
        self._now = now
        self._targets: Counter[bytes] = Counter()

    def knows_target(self, target: bytes) -> bool:
        """Return whether there is a record of a request with this target digest."""
        return target in self._targets

    def count(self, digest: bytes) -> int:
        """Return the number of crashes under a request, ``MAX_CRASHES`` at most."""
        record = self.records.get(digest)
        if record is None or record.end_s <= self._now():
            return 0
        return min(MAX_CRASHES, len(record.crashes_s))

    def is_blocked(self, digest: bytes) -> bool:
        """Return whether a request may reach no server."""
        record = self.records.get(digest)
        return record is not None and record.is_blocked and self.count(digest) > 0

    def block_left_s(self, digest: bytes) -> float:
        """Return for how long a request is blocked, in seconds."""
        record = self.records.get(digest)
        if record is None or not record.is_blocked:
            return 0.0
        return max(0.0, record.end_s - self._now())

    def add_crash(self, digest: bytes, crash: bytes) -> bool:
        """Count a crash that this host saw; return whether it is new."""
        return self.merge(CrashSummary(digest, {crash: 0.0}))

    def clear(self, digest: bytes) -> bool:
        """Forget the crashes of a request; return whether there were any."""
        if not self.count(digest):
            return False
        self.merge(CrashSummary(digest, {}, 0.0))
        return True

    def merge(self, summary: CrashSummary) -> bool:
        """Merge what another host knows; return whether that changed the count."""
        now_s = self._now()
        record = self.records.get(summary.digest)
        before = set(record.crashes_s) if record is not None else set()
        if record is None:
            if not self._make_room(len(summary.crash_ages_s), now_s):
                return False
            record = self.records[summary.digest] = CrashedRequest()
            self._targets[summary.digest[:TARGET_DIGEST_BYTES]] += 1
        if summary.cleared_age_s is not None:
            record.cleared_s = max(record.cleared_s, now_s - summary.cleared_age_s)
        for crash, age_s in summary.crash_ages_s.items():
            known_s = record.crashes_s.get(crash, NEVER_S)
            record.crashes_s[crash] = max(known_s, now_s - age_s)
        remaining = sorted(
            (at_s, crash)
            for crash, at_s in record.crashes_s.items()
            if at_s > record.cleared_s
        )
        if len(remaining) > MAX_CRASHES_KEPT:
            remaining = remaining[:1] + remaining[1 - MAX_CRASHES_KEPT :]
        record.crashes_s = {crash: at_s for at_s, crash in remaining}
        if not record.crashes_s and record.cleared_s == NEVER_S:
            self._remove(summary.digest)
        return set(record.crashes_s) != before

    def _make_room(self, crash_count: int, now_s: float) -> bool:
        """Return whether a record with a number of crashes may be added."""
        if len(self.records) < MAX_RECORDS:
            return True
        self.expire()
        if len(self.records) < MAX_RECORDS:
            return True
        least = min(
            self.records,
            key=lambda digest: (
                len(self.records[digest].crashes_s),
                self.records[digest].end_s,
            ),
        )
        if len(self.records[least].crashes_s) > max(1, crash_count):
            return False
        self._remove(least)
        return True

    def expire(self) -> None:
        """Forget requests whose time is over."""
        now_s = self._now()
        for digest in [d for d, r in self.records.items() if r.end_s <= now_s]:
            self._remove(digest)

    def _remove(self, digest: bytes) -> None:
        del self.records[digest]
        target = digest[:TARGET_DIGEST_BYTES]
        self._targets[target] -= 1
        if not self._targets[target]:
            del self._targets[target]

    def summarise(self, digest: bytes) -> CrashSummary | None:
        """Return what is known of a request, or None."""
        record = self.records.get(digest)
        if record is None:
            return None
        now_s = self._now()
        cleared_age_s = (
            None if record.cleared_s == NEVER_S else now_s - record.cleared_s
        )
        ages_s = {crash: now_s - at_s for crash, at_s in record.crashes_s.items()}
        return CrashSummary(digest, ages_s, cleared_age_s)

    def list_digests(self) -> list[bytes]:
        """Return the digests of all requests, those with the most crashes first."""
        self.expire()
        return sorted(
            self.records, key=lambda d: len(self.records[d].crashes_s), reverse=True
        )

    def count_blocked(self) -> int:
        """Return the number of blocked requests."""
        return sum(record.is_blocked for record in self.records.values())
