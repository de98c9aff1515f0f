"""Fakes of the platform's store and of the links between entry hosts."""

import random

from crocusward.config import (
    ChangeDraft,
    ChangeLog,
    ConfigManager,
    FreshnessTracker,
    PutCustomer,
    PutDataCentre,
    PutService,
    Replica,
)
from crocusward.devtools.virtual_loop import VirtualLoop
from crocusward.errors import (
    ConflictError,
    StoreUnavailableError,
    StoreUncertainError,
)
from crocusward.invariants import Invariants
from crocusward.model import Customer, DataCentre, ListedHost, Service
from crocusward.peer import Heartbeat
from crocusward.platform import ABSENT_REVISION, ANY_REVISION, Row
from crocusward.timing import LoopTimer

LINK_DELAY_S = 0.012
REGIONS = ("pohja", "louna")


class FakeTable:
    """A host's client of the shared table.

    ``faults`` is a queue for the next transactions: "ok", "lost-after" (applied, but
    the response is lost), "lost-before" (not applied), "late" (applied 1 s later).
    """

    def __init__(self, timer, rows):
        self.timer = timer
        self.rows = rows
        self.down = False
        self.delay_s = 0.024
        self.faults = []
        self.transactions = 0
        self.reads = 0

    async def _reach(self):
        await self.timer.sleep(self.delay_s)
        if self.down:
            raise StoreUnavailableError("the store is down")

    async def read(self, key):
        self.reads += 1
        await self._reach()
        return self.rows.get(key)

    async def scan(self, prefix, after, limit):
        self.reads += 1
        await self._reach()
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return [self.rows[k] for k in keys[:limit]]

    async def transact(self, writes):
        self.transactions += 1
        await self._reach()
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "late":
            self.timer.call_later(1.0, lambda: self._try(writes))
        elif fault != "lost-before":
            self._apply(writes)
        if fault != "ok":
            raise StoreUncertainError("the answer of the store was lost")

    def _try(self, writes):
        try:
            self._apply(writes)
        except ConflictError:
            pass

    def _apply(self, writes):
        for write in writes:
            row = self.rows.get(write.key)
            revision = row.revision if row else ABSENT_REVISION
            if write.expected_revision not in (ANY_REVISION, revision):
                raise ConflictError(write.key)
        for write in writes:
            row = self.rows.pop(write.key, None)
            if write.value is not None:
                revision = row.revision + 1 if row else 1
                self.rows[write.key] = Row(write.key, write.value, revision)


class FakeObjects:
    """An object store in memory."""

    def __init__(self):
        self.objects = {}

    async def put(self, name, data):
        self.objects[name] = data

    async def get(self, name):
        return self.objects.get(name)

    async def list(self, prefix):
        return sorted(n for n in self.objects if n.startswith(prefix))


class NodeTimer:
    """Timer of one host; callbacks are queued while the host is paused."""

    def __init__(self, timer):
        self.timer = timer
        self.now = timer.now
        self.paused = False
        self.waiting = []

    def run(self, callback):
        if self.paused:
            self.waiting.append(callback)
        else:
            callback()

    def call_later(self, delay_s, callback):
        return self.timer.call_later(delay_s, lambda: self.run(callback))

    def every(self, period_s, callback):
        return self.timer.every(period_s, lambda: self.run(callback))

    async def sleep(self, delay_s):
        await self.timer.sleep(delay_s)


class Node:
    """One entry host: the configuration service, its store client and its links."""

    def __init__(self, fleet, name, region):
        self.fleet = fleet
        self.name = name
        self.region = region
        self.boots = 0
        self.invariants = Invariants()
        self.table = FakeTable(fleet.timer, fleet.rows)
        self.boot()

    def boot(self):
        self.boots += 1
        self.timer = NodeTimer(self.fleet.timer)
        self.sent_seq = {}
        self.seen_seq = {}
        self.errors = []
        self.freshness = FreshnessTracker(self.timer, self.region, self.name)
        self.replica = Replica(self.invariants)
        self.manager = ConfigManager(
            ChangeLog(self.table, self.fleet.objects, self.timer),
            self.replica,
            self.freshness,
            self.timer,
            self.name,
            send=lambda peer, message: self.fleet.send_message(self, peer, message),
            broadcast=self.broadcast,
            utc_s=lambda: 1_790_000_000,
            on_error=self.errors.append,
        )
        self.manager.set_listed(self.fleet.listed)
        self.timer.every(1.0, self.heartbeat)
        self.fleet.loop.run_until_complete(self.manager.start())

    def restart(self):
        """Replace the host by a new process without state."""
        self.fleet.loop.run_until_complete(self.manager.stop())
        self.timer.paused = True
        for node in self.fleet.others(self.name):
            node.sent_seq.pop(self.name, None)
            node.seen_seq.pop(self.name, None)
            node.freshness.link_opened(self.name)
        self.boot()
        for node in self.fleet.others(self.name):
            node.manager.link_opened(self.name)
            self.manager.link_opened(node.name)

    def broadcast(self, message):
        for node in self.fleet.others(self.name):
            self.fleet.send_message(self, node.name, message)

    def heartbeat(self):
        for node in self.fleet.others(self.name):
            seq = self.sent_seq.get(node.name, 0) + 1
            self.sent_seq[node.name] = seq
            self.manager.heartbeat_sent(node.name, seq)
            echo = self.seen_seq.get(node.name, 0)
            message = self.manager.make_heartbeat(seq, echo)
            self.fleet.send_message(self, node.name, message)

    def receive(self, sender, message):
        if isinstance(message, Heartbeat):
            self.seen_seq[sender.name] = message.seq
            self.manager.heartbeat_received(sender.name, sender.region, message)
        else:
            self.manager.message_received(sender.name, message)


class Fleet:
    """Entry hosts in two regions; the links between them can be cut."""

    def __init__(self, per_region=3, seed=1):
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.timer = LoopTimer(self.loop, self.rng)
        self.rows = {}
        self.objects = FakeObjects()
        self.cut = set()
        self.nodes = {}
        self.listed = [
            ListedHost(f"{region[0]}{i}", "entry", region, f"{region}-a", "", 1)
            for region in REGIONS
            for i in range(per_region)
        ]
        for host in self.listed:
            self.nodes[host.name] = Node(self, host.name, host.region)

    def close(self):
        for node in self.nodes.values():
            self.loop.run_until_complete(node.manager.stop())
        self.loop.close()

    def others(self, name):
        return [node for node in self.nodes.values() if node.name != name]

    def region(self, region):
        return [node for node in self.nodes.values() if node.region == region]

    def partition(self, *groups):
        """Cut all links between groups of host names; without groups, restore all."""
        self.cut = {
            frozenset((a, b))
            for i, group in enumerate(groups)
            for other in groups[i + 1 :]
            for a in group
            for b in other
        }

    def send_message(self, sender, peer, message):
        if frozenset((sender.name, peer)) in self.cut:
            return
        node = self.nodes.get(peer)
        if node is None:
            return
        boots = (sender.boots, node.boots)

        def deliver():
            # Messages of a link are lost when either process restarts.
            if boots == (sender.boots, node.boots):
                node.receive(sender, message)

        node.timer.call_later(LINK_DELAY_S, deliver)

    def set_store(self, down, nodes=None):
        for node in nodes or self.nodes.values():
            node.table.down = down

    def run(self, work):
        return self.loop.run_until_complete(work)

    def commit(self, name, change_id, *ops, base=None, force=False):
        manager = self.nodes[name].manager
        base = manager.current().version if base is None else base
        draft = ChangeDraft(change_id, base, "operator", ops, force=force)
        return self.run(manager.commit(draft))

    def modes(self):
        return {name: node.manager.may_serve() for name, node in self.nodes.items()}

    def versions(self):
        return {node.manager.current().version for node in self.nodes.values()}


def basic_operations():
    """Return operations that create the data centres, a customer and a service."""
    return (
        PutDataCentre(DataCentre("pohja-a", "pohja")),
        PutDataCentre(DataCentre("louna-a", "louna")),
        PutCustomer(Customer("liit", "platform")),
        PutService(Service("materjalid")),
    )
