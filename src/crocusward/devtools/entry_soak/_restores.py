"""Copies of a store that goes back to older states, on hosts that exchange rows."""

import random

from ...desired import RowChange, TablePage, TableReplica

HOST_COUNT = 5
READER = 0  # host that is never cut off
KEYS = frozenset(f"k{number}" for number in range(12))
STEP_COUNT = 300
RESTORE_STEP = 40  # about as many steps between two restores
MAX_LOST_STEPS = 25  # between the copy and the restore
HOLD_S = 3.0  # of removals after a restore
REWRITE_S = 2.0  # within which lost rows are written again
STEP_S = 0.1


class ModelStore:
    """A store with one table, which can go back to an older copy."""

    def __init__(self):
        self.era = 1
        self.version = 0
        self.rows: dict[str, RowChange] = {}
        self.wanted: dict[str, bytes | None] = {}

    def write(self, key, value):
        self.version += 1
        self.wanted[key] = value
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = RowChange(key, value, self.version)

    def copy(self):
        return self.version, dict(self.rows)

    def restore(self, copy):
        self.version, self.rows = copy[0], dict(copy[1])
        self.era += 1

    def lost_keys(self):
        return [
            key
            for key, value in self.wanted.items()
            if (self.rows[key].value if key in self.rows else None) != value
        ]

    def page(self):
        rows = list(self.rows.values())
        return TablePage(self.version, rows, complete=True, era=self.era)


class RestoredStoreRun:
    """One run: writes, restores, late pages, cuts and starts of hosts at random.

    Values rise with each write of a key, so that a value which falls is a reversal. A
    host that is connected reads each change; one that is cut off pulls the rows of a
    neighbour when it is back.

    Attributes:
        findings: What went wrong.
    """

    def __init__(self, seed):
        self.findings: list[str] = []
        self._rng = random.Random(seed)
        self._store = ModelStore()
        self._now_s = 0.0
        self._number = 0
        self._rewrites = []
        self._late_pages = []
        self._hosts = [TableReplica("t") for _ in range(HOST_COUNT)]
        self._seen: list[dict[str, int]] = [{} for _ in range(HOST_COUNT)]
        self._cut_until_s = [0.0] * HOST_COUNT

    def play(self):
        copy = self._store.copy()
        copied_at = 0
        for step in range(STEP_COUNT):
            self._now_s += STEP_S
            # Hosts read once a step and would miss the first of two writes.
            self._act(step, KEYS - self._write_again())
            if self._rng.random() < 1.0 / RESTORE_STEP and not self._rewrites:
                self._restore(copy)
            if not self._rewrites and step - copied_at >= MAX_LOST_STEPS:
                copy, copied_at = self._store.copy(), step
        while self._rewrites:
            self._now_s += STEP_S
            self._write_again()
        self._check_agreement()

    def _act(self, step, keys):
        rng = self._rng
        for key in rng.sample(sorted(keys), rng.randrange(min(3, len(keys) + 1))):
            self._number += 1
            is_removal = rng.random() < 0.2
            self._store.write(key, None if is_removal else b"%d" % self._number)
        if rng.random() < 0.2:
            self._late_pages.append(self._store.page())
        index = rng.randrange(HOST_COUNT)
        kind = rng.choice(["cut", "late", "start", "none", "none"])
        if kind == "cut" and index != READER:
            self._cut_until_s[index] = self._now_s + 4.0 * rng.random()
        elif kind == "late" and self._late_pages:
            page = rng.choice(self._late_pages)
            if page.era <= self._hosts[index].era:
                self._apply(index, page)
        elif kind == "start" and index != READER and not step % 5:
            self._start(index)
        for number, host in enumerate(self._hosts):
            if self._now_s < self._cut_until_s[number]:
                continue
            if self._hosts[READER].position > host.position:
                self._pull(number)
            self._apply(number, self._store.page())
            host.apply_deferred(self._now_s)

    def _restore(self, copy):
        self._store.restore(copy)
        # All hosts defer removals from here on, as they do when they learn the era.
        for host in self._hosts:
            host.defer_removals(self._now_s + HOLD_S)
            host.withhold_restored(self._now_s + HOLD_S)
        for key in self._store.lost_keys():
            due_s = self._now_s + REWRITE_S * self._rng.random()
            self._rewrites.append((due_s, key))

    def _write_again(self):
        """Write again what is due; return the keys."""
        keys = set()
        for item in list(self._rewrites):
            due_s, key = item
            if due_s <= self._now_s:
                self._rewrites.remove(item)
                if key in self._store.lost_keys():
                    self._store.write(key, self._store.wanted[key])
                    keys.add(key)
        return keys

    def _apply(self, index, page):
        self._hosts[index].apply(page, self._now_s)
        self._check_host(index)

    def _pull(self, index):
        source, host = self._hosts[READER], self._hosts[index]
        host.defer_removals(self._now_s + source.deferral_left_s(self._now_s))
        self._apply(index, source.get_changes_since(host.position))

    def _start(self, index):
        """Start a host anew: it reads the store, then merges what a neighbour has."""
        host = self._hosts[index] = TableReplica("t")
        self._seen[index] = {}
        self._cut_until_s[index] = 0.0
        host.apply(self._store.page(), self._now_s)
        source = self._hosts[READER]
        host.defer_removals(self._now_s + source.deferral_left_s(self._now_s))
        host.merge(source.get_all_changes(), self._now_s)
        self._check_host(index)

    def _check_host(self, index):
        """Find rows that went back to an older value."""
        seen = self._seen[index]
        for row in self._hosts[index].rows():
            number = int(row.value or 0)
            if number < seen.get(row.key, 0):
                self.findings.append(
                    f"host {index}: {row.key} went back from {seen[row.key]}"
                    f" to {number} at {self._now_s:.1f} s"
                )
            seen[row.key] = max(number, seen.get(row.key, 0))

    def _check_agreement(self):
        """Find hosts that do not end with the rows of the store."""
        self._now_s += HOLD_S + REWRITE_S
        expected = {row.key: row.value for row in self._store.rows.values()}
        for index, host in enumerate(self._hosts):
            host.apply(self._store.page(), self._now_s)
            host.apply_deferred(self._now_s)
            found = {row.key: row.value for row in host.rows()}
            if found != expected:
                self.findings.append(f"host {index} has {found}, store has {expected}")
