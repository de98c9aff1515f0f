"""The randomised run as a hypothesis state machine."""

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ...model import ServiceState
from ._backends import FakeBackend
from ._host import SimHost
from ._oracle import Job
from ._shape import CENTRES
from ._world import World

SECONDS = st.floats(0.05, 3.0)
OUTAGE_S = st.floats(1.0, 12.0)
PAUSE_S = st.floats(0.2, 8.0)
PICK = st.integers(0, 1_000)
RATE_LIMIT_PER_S = st.sampled_from([0.5, 1.0, 4.0, 12.0])
SETTLE_S = 12.0


class Totals:
    """Counts over all examples of a run."""

    def __init__(self) -> None:
        self.steps = 0
        self.examples = 0
        self.counts: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.details: list[str] = []
        self.errors: list[str] = []


class ViolationsFound(AssertionError):
    """An invariant was violated."""


def make_machine(totals: Totals, faults: frozenset[str]) -> type[RuleBasedStateMachine]:
    """Return a state machine that adds to ``totals``."""

    class Deployment(RuleBasedStateMachine):
        """Operators, callers and faults act on one deployment."""

        def __init__(self) -> None:
            super().__init__()
            self.started = False
            self.world: World
            self.keyed: list[Job] = []

        @initialize(seed=st.integers(0, 2**32 - 1))
        def start(self, seed: int) -> None:
            self.world = World(seed, faults)
            self.started = True

        def _host(self, pick: int, region: str = "") -> SimHost | None:
            hosts = self.world.live_hosts(region)
            return hosts[pick % len(hosts)] if hosts else None

        def _centre(self, pick: int) -> str:
            return list(CENTRES)[pick % len(CENTRES)]

        def _server(self, pick: int) -> FakeBackend:
            servers = list(self.world.servers.values())
            return servers[pick % len(servers)]

        # Callers

        @rule(count=st.integers(1, 60), pick=PICK)
        def look_up(self, count: int, pick: int) -> None:
            for number in range(count):
                contract = "homed" if number % 5 == 0 else "open"
                job = self.world.new_job(contract, True)
                region = "louna" if contract == "homed" else ""
                host = self._host(pick + number, region)
                if host is not None:
                    self.world.call(host, job)
            self.world.advance(0.05)

        @rule(count=st.integers(1, 20), pick=PICK)
        def order_without_key(self, count: int, pick: int) -> None:
            for number in range(count):
                host = self._host(pick + number)
                if host is not None:
                    self.world.call(host, self.world.new_job("open", False))
            self.world.advance(0.02)

        @rule(count=st.integers(1, 10), pick=PICK, copies=st.integers(1, 4))
        def order_with_issued_key(self, count: int, pick: int, copies: int) -> None:
            for number in range(count):
                host = self._host(pick + number)
                if host is None or host.gate.paused:
                    continue
                work = self.world.issue_key(host, "open")
                key = self.world.loop.run_until_complete(work)
                if key:
                    self._order(key, pick + number, copies)

        @rule(count=st.integers(1, 10), pick=PICK, copies=st.integers(1, 4))
        def order_with_own_key(self, count: int, pick: int, copies: int) -> None:
            for number in range(count):
                key = f"own-{len(self.world.jobs)}"
                self._order(key, pick + number, copies)

        def _order(self, key: str, pick: int, copies: int) -> None:
            contract = "homed" if pick % 4 == 0 and key.startswith("own") else "open"
            job = self.world.new_job(contract, False, key)
            self.keyed.append(job)
            for copy in range(copies):
                host = self._host(pick + copy, "louna" if job.home else "")
                if host is not None:
                    self.world.call(host, job)
            self.world.advance(0.004)

        @rule(pick=PICK, count=st.integers(1, 30))
        def repeat_orders(self, pick: int, count: int) -> None:
            for number in range(min(count, len(self.keyed))):
                job = self.keyed[(pick * 7 + number) % len(self.keyed)]
                host = self._host(pick + number, "louna" if job.home else "")
                if host is not None:
                    self.world.call(host, job)
            self.world.advance(0.02)

        @rule(pick=PICK, duration_s=st.floats(0.5, 4.0))
        def steady_load(self, pick: int, duration_s: float) -> None:
            end_s = self.world.loop.time() + duration_s
            while self.world.loop.time() < end_s:
                pick += 1
                job = self.world.new_job("open", pick % 4 != 0)
                host = self._host(pick)
                if host is not None:
                    self.world.call(host, job)
                self.world.advance(0.004)

        @rule(duration_s=SECONDS)
        def wait(self, duration_s: float) -> None:
            self.world.advance(duration_s)

        # Hosts

        @rule(pick=PICK)
        def crash(self, pick: int) -> None:
            host = self._host(pick)
            if host is not None and len(self.world.live_hosts()) > 2:
                self.world.crash_host(host)

        @rule(pick=PICK)
        def restart(self, pick: int) -> None:
            dead = [h for h in self.world.hosts.values() if not h.alive]
            if dead:
                self.world.restart_host(dead[pick % len(dead)])

        @rule(pick=PICK, duration_s=PAUSE_S)
        def pause(self, pick: int, duration_s: float) -> None:
            host = self._host(pick)
            if host is not None:
                self.world.pause_host(host, duration_s)

        @rule(pick=PICK)
        def planned_stop(self, pick: int) -> None:
            host = self._host(pick)
            if host is not None and len(self.world.live_hosts()) > 3:
                self.world.stop_host(host)

        @rule(pick=PICK, duration_s=OUTAGE_S)
        def isolate(self, pick: int, duration_s: float) -> None:
            host = self._host(pick)
            if host is not None:
                self.world.isolate_host(host, duration_s)

        @rule(duration_s=OUTAGE_S)
        def part_regions(self, duration_s: float) -> None:
            self.world.part_regions(duration_s)

        # Store

        @rule(duration_s=OUTAGE_S, kind=st.sampled_from(["down", "slow"]))
        def store_outage(self, duration_s: float, kind: str) -> None:
            self.world.store_outage(duration_s, kind)

        @rule(duration_s=OUTAGE_S, share=st.floats(0.1, 1.0))
        def lose_answers(self, duration_s: float, share: float) -> None:
            self.world.lose_write_answers(share, duration_s)

        # Backend servers

        @rule(pick=PICK, restart=st.booleans())
        def turn_cold(self, pick: int, restart: bool) -> None:
            self.world.counts["backend_cold"] += 1
            self._server(pick).turn_cold(restart=restart)

        @rule(pick=PICK, factor=st.floats(1.0, 6.0))
        def slow_down(self, pick: int, factor: float) -> None:
            self.world.counts["backend_slow"] += 1
            self._server(pick).slowdown = factor

        @rule(pick=PICK, per_s=RATE_LIMIT_PER_S)
        def limit_rate(self, pick: int, per_s: float) -> None:
            self.world.counts["backend_limit"] += 1
            self._server(pick).set_rate_limit(per_s)

        @rule(pick=PICK)
        def end_rate_limit(self, pick: int) -> None:
            self._server(pick).set_rate_limit(0.0)

        @rule(pick=PICK)
        def drain(self, pick: int) -> None:
            server = self._server(pick)
            server.draining = not server.draining
            self.world.counts["backend_drain"] += server.draining

        @rule(pick=PICK)
        def repeat_refusals(self, pick: int) -> None:
            server = self._server(pick)
            server.repeats_refusals = not server.repeats_refusals
            self.world.counts["backend_repeats"] += server.repeats_refusals

        @rule(pick=PICK, leaving=st.booleans())
        def leave(self, pick: int, leaving: bool) -> None:
            self.world.set_leaving(self._server(pick).backend.id, leaving)

        # Operators

        @rule(pick=PICK, out=st.booleans())
        def set_centre(self, pick: int, out: bool) -> None:
            host = self._host(pick)
            state = ServiceState.OUT if out else ServiceState.IN
            if host is not None:
                self.world.operators.set_centre(host, self._centre(pick), state)
                self.world.advance(0.2)

        @rule(pick=PICK, racers=st.integers(1, 4))
        def change_contract(self, pick: int, racers: int) -> None:
            for number in range(racers):
                host = self._host(pick + number)
                if host is not None:
                    self.world.operators.put_job_contract(host, "open")
            self.world.counts["operator_race"] += racers > 1
            self.world.advance(0.05)

        # Checks

        @invariant()
        def promises_hold(self) -> None:
            if self.started:
                totals.steps += 1
                self.world.check()
                self._raise_violations()

        def teardown(self) -> None:
            if not self.started:
                return
            try:
                if not self.world.oracle.violations and not self.world.errors:
                    self.world.advance(SETTLE_S)
                    self.world.check()
            finally:
                self._add_totals()
                self.world.close()
            self._raise_violations()

        def _raise_violations(self) -> None:
            if self.world.oracle.violations:
                raise ViolationsFound("; ".join(self.world.oracle.details))
            if self.world.errors:
                raise self.world.errors[0]

        def _add_totals(self) -> None:
            world = self.world
            for host in world.hosts.values():
                world.counts_of(host)
            totals.examples += 1
            totals.counts.update(world.counts)
            totals.counts.update(world.store.faults)
            totals.answers.update(world.oracle.answers)
            totals.errors.extend(repr(exc) for exc in world.errors)
            totals.violations.update(world.oracle.violations)
            totals.details.extend(world.oracle.details)

    return Deployment
