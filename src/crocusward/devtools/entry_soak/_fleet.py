"""Fleets of entry hosts in front of rate-limited or cold servers, with faults."""

import asyncio
import random
from collections import Counter

from ...relay import CallerRequest
from ..virtual_loop import VirtualLoop
from ._host import BOUNDS, LOOK, ORDER, REGIONS, SimulatedHost, make_entry
from ._servers import (
    COLD_RATE_PER_S,
    SLOTS,
    STABILITY_S,
    WINDOW_S,
    ColdServer,
    LimitedServer,
)

STEP_S = 1e-6  # least time between two iterations of the loop
LOCAL_DELAY_S = 0.0003
REGION_DELAY_S = 0.001
REMOTE_DELAY_S = 0.012
ORDER_SHARE = 0.25  # of the requests
START_S = 2.0  # until all hosts know each other
LISTING_SPREAD_S = 0.005  # between the hosts that list one change of an entry
MAX_COLD_REQUESTS = COLD_RATE_PER_S * BOUNDS.cold_rate_factor + BOUNDS.cold_burst


class Outcome:
    """What a caller got."""

    __slots__ = ("route", "host", "sent_s", "took_s", "status", "retry_after_s")

    def __init__(self, route, host, sent_s, took_s, answer):
        self.route = route
        self.host = host
        self.sent_s = sent_s
        self.took_s = took_s
        self.status = answer.status
        values = [value for name, value in answer.headers if name == b"retry-after"]
        self.retry_after_s = float(values[0]) if values else None


class LimitedFleet:
    """Hosts, servers and callers of one run."""

    def __init__(self, seed, servers, *, hosts_per_data_centre=4, loss=0.0):
        self.loop = VirtualLoop(STEP_S)
        self.rng = random.Random(seed)
        self.servers = {server.id: server for server in servers}
        self.loss = loss
        self.cut = set()
        self.outcomes = []
        self.host_count = hosts_per_data_centre * len(REGIONS)
        self._tasks = set()
        self._starts = 0
        self.places = [
            (f"host-{data_centre}-{index}", f"10.{number}.0.{index + 10}", data_centre)
            for number, data_centre in enumerate(REGIONS)
            for index in range(hosts_per_data_centre)
        ]
        self.seeds = [address for _, address, _ in self.places[::hosts_per_data_centre]]
        self.hosts = {}
        self.by_address = {}
        asyncio.set_event_loop(self.loop)
        for name, _, _ in self.places:
            self.start(name)
        self.loop.advance(START_S)
        self.start_s = self.loop.time()

    def entries(self):
        now_s = self.loop.time()
        return [
            make_entry(server.id, server.data_centre, SLOTS, server.cold_left_s(now_s))
            for server in self.servers.values()
            if server.has_started(now_s)
        ]

    def list_cold_servers(self, lag_s=0.2):
        """Plan the entries of all servers that start or turn cold.

        Args:
            lag_s: From the start of a server until the first host lists it.
        """
        for server in self.servers.values():
            if isinstance(server, ColdServer):
                server.cold_from_s += self.start_s
                self.loop.call_at(server.cold_from_s + lag_s, self._list, server)

    def _list(self, server):
        cold_left_s = server.cold_left_s(self.loop.time())
        entry = make_entry(server.id, server.data_centre, SLOTS, cold_left_s)
        for host in self.hosts.values():
            host.timer.call_later(
                LISTING_SPREAD_S * self.rng.random(),
                lambda host=host: host.directory.set_backend(entry.id, entry),
            )

    def take_out(self, data_centre, is_out):
        """Take a data centre out of service, or back."""
        for host in self.hosts.values():
            host.directory.set_data_centre_out(data_centre, is_out)

    def start(self, name):
        """Start the daemon of a host, with no memory of an earlier run."""
        self._starts += 1
        address, data_centre = next(
            (place[1], place[2]) for place in self.places if place[0] == name
        )
        host = SimulatedHost(self, name, address, data_centre, self._starts)
        self.hosts[name] = self.by_address[address] = host
        for server in self.servers.values():
            server.told_s.pop(name, None)
        if self.loop.is_running():
            self._spawn(host.hub.start())
        else:
            self.loop.run_until_complete(host.hub.start())

    def _spawn(self, coroutine):
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def kill(self, name):
        """End the daemon of a host at once."""
        host = self.hosts[name]
        host.is_dead = True
        host.hub.close()

    def restart(self, name, down_s):
        """End the daemon of a host and start it again later."""
        self.kill(name)
        self.loop.call_later(down_s, self.start, name)

    def freeze(self, name, for_s):
        """Let a host stand still for a while."""
        self.hosts[name].frozen_until_s = self.loop.time() + for_s

    def cut_off(self, name, for_s):
        """Cut a host off from all others for a while, but not from the servers."""
        self.cut.add(name)
        self.loop.call_later(for_s, self.cut.discard, name)

    def delay_s(self, one, other):
        if one.data_centre == other.data_centre:
            return LOCAL_DELAY_S
        if REGIONS[one.data_centre] == REGIONS[other.data_centre]:
            return REGION_DELAY_S
        return REMOTE_DELAY_S

    def carry(self, sender, address, data):
        """Deliver a datagram, unless it is lost."""
        receiver = self.by_address.get(address)
        if receiver is None or sender.is_dead or self.rng.random() < self.loss:
            return
        if sender.name in self.cut or receiver.name in self.cut:
            return
        sent_s = max(self.loop.time(), sender.frozen_until_s)
        at_s = max(sent_s + self.delay_s(sender, receiver), receiver.frozen_until_s)
        self.loop.call_at(at_s, self._deliver, receiver, data, sender.address)

    def _deliver(self, receiver, data, sender):
        left_s = receiver.frozen_until_s - self.loop.time()
        if left_s > 0.0:
            self.loop.call_later(left_s, self._deliver, receiver, data, sender)
        else:
            receiver.endpoint.receive(data, sender)

    # Load.

    def now_s(self):
        """Return the time since all hosts are up."""
        return self.loop.time() - self.start_s

    async def _ask(self, host, rule, number):
        sent_s = self.loop.time()
        req = CallerRequest(
            "GET",
            f"{rule.prefix}x",
            rule.host,
            [],
            id=b"q%d" % number,
            received_s=sent_s,
            time_left_s=rule.timeout_s,
        )
        await host.thaw()
        answer = await host.relay.answer(req)
        took_s = self.loop.time() - sent_s
        if not host.is_dead:
            self.outcomes.append(
                Outcome(rule.name, host.name, sent_s - self.start_s, took_s, answer)
            )

    async def _generate(self, per_s, until_s):
        number = 0
        while self.now_s() < until_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            host = self.hosts[self.rng.choice(self.places)[0]]
            rule = ORDER if self.rng.random() < ORDER_SHARE else LOOK
            number += 1
            if not host.is_dead:
                self._spawn(self._ask(host, rule, number))

    def at(self, at_s, function, *args):
        """Call a function ``at_s`` seconds after all hosts are up."""
        self.loop.call_at(self.start_s + at_s, function, *args)

    def play(self, per_s, until_s):
        """Send requests until a moment, and wait for the answers."""
        self._spawn(self._generate(per_s, until_s))
        self.loop.advance(until_s + 3.0)

    def most_in_window(self):
        """Return the most requests that a limited server got in one window."""
        most = 0
        for server in self.servers.values():
            if server.first_named_s is None:
                continue
            begin_s = server.first_named_s + STABILITY_S
            times = [item.at_s for item in server.arrivals if item.at_s > begin_s]
            for end_s in times:
                most = max(most, sum(end_s - WINDOW_S < at <= end_s for at in times))
        return most

    def violations(self):
        """Return the invariants that hosts found broken."""
        return sum((h.invariants.violations for h in self.hosts.values()), Counter())

    def breaches(self):
        """Return what servers saw of requests beyond their limits."""
        return [text for item in self.servers.values() for text in item.breaches()]

    def cold_breaches(self):
        """Return what cold servers saw of requests beyond their rate."""
        counts = {
            server.id: server.most_while_cold()
            for server in self.servers.values()
            if isinstance(server, ColdServer)
        }
        return [
            f"{id} got {count} in one second while cold, {MAX_COLD_REQUESTS:g} allowed"
            for id, count in counts.items()
            if count > MAX_COLD_REQUESTS
        ]

    def close(self):
        """End the run."""
        for host in self.hosts.values():
            host.is_dead = True
            host.hub.close()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0.1))
        asyncio.set_event_loop(None)
        self.loop.close()


def play_faults(fleet, seed, until_s, count=10):
    """Plan restarts, freezes and cuts of hosts, in series and overlapping."""
    rng = random.Random(seed)
    names = [name for name, _, _ in fleet.places]
    faults = (fleet.restart, fleet.freeze, fleet.cut_off)
    for _ in range(count):
        at_s = 3.0 + rng.random() * (until_s - 6.0)
        fault = rng.choice(faults)
        for name in rng.sample(names, rng.choice([1, 1, 2, len(names) // 3])):
            fleet.at(at_s, fault, name, 0.3 + 3.0 * rng.random())


def make_servers(count, share, limit, *, begin_s=4.0, end_s=1e9):
    """Return servers spread over the data centres, a share of them limited."""
    names = list(REGIONS)
    return [
        LimitedServer(
            f"i-{index:03}",
            names[index % len(names)],
            [(begin_s, limit), (end_s, 0.0)] if index < share * count else [],
        )
        for index in range(count)
    ]
