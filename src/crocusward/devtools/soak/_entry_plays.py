"""Randomised runs of entry daemons, played besides the deployments of the soak."""

import contextlib
import random
from collections import Counter
from collections.abc import Callable
from unittest import mock

from ...crashes import CrashRegistry
from ...desired import TableReplica
from ...desired._past_rows import PastRows
from ...invariants import InvariantName
from ...placing import NO_LIMIT, BackendLoad, PermitIssuer
from ...registry import Registry
from ...upstream import AnswerMatch
from ..entry_soak import (
    ColdServer,
    LimitedFleet,
    LimitedServer,
    RestoredStoreRun,
    SlotOfferRun,
    WholeFleet,
    make_servers,
    play_faults,
)
from ._machine import Totals, ViolationsFound

LIMITED_SERVERS = 12
LIMITED_REQUESTS_PER_S = 40.0
LIMITS_PLAYED_S = 14.0
DATAGRAM_LOSS = 0.02  # share of the datagrams between hosts
COLD_SERVERS = 6
WARM_SERVERS = 9
COLD_REQUESTS_PER_S = 160.0
COLD_FROM_S = 4.0
COLD_PLAYED_S = 8.0
RESTORED_RUNS = 5
SILENCED_HOSTS = 16  # in each data centre, two groups
CHANGES_BEFORE = 3  # which open connections between hosts
STABLE_S = 3.0  # from the silence until changes must be in force in time
CHANGE_BOUND_S = 2.0
CRASHED_HOSTS = 8  # in each data centre
CRASHED_SERVERS = 12
CRASHES_PLAYED_S = 9.0
CRASH_REQUESTS_PER_S = 30.0
OFFER_RUNS = 5
RESTARTED_HOSTS = 3  # in each data centre
RESTART_ROUNDS = 3
RESTART_S = 0.1
REMOVAL_BOUND_S = 3.0  # from a removal until it is in force everywhere
REFUSING_HOSTS = 3  # in each data centre
REFUSING_SERVERS = 6
REFUSED_SHARE = 0.3
REFUSALS_PLAYED_S = 6.0
ORDERS_PER_S = 60.0
REFUSED_STATUS = 503  # says that the request has not run
UNNAMED_REFUSAL = b"HTTP/1.1 503 Refused\r\nCrocusward-Not-Executed: 1\r\n"
INNOCENTS = ("/look/a", "/look/b", "/look/c")
DATA_CENTRES = ("east-a", "east-b", "west-a")

Play = Callable[[int, Totals, bool], None]
# Plays by the planted fault that makes them fail.
ENTRY_PLAYS: Registry[Play] = Registry("play")


def _report(
    totals: Totals, name: InvariantName, found: list[str], requests: int
) -> None:
    totals.counts["entry_requests"] += requests
    totals.violations[name] += len(found)
    totals.details += found[:5]
    if found:
        raise ViolationsFound("; ".join(found[:5]))


@ENTRY_PLAYS.register("ignore-rate-limit")
def play_rate_limits(seed: int, totals: Totals, is_faulty: bool) -> None:
    """Play one fleet of entry daemons in front of rate-limited servers.

    Args:
        seed: Seed of the run.
        totals: Collects what was broken.
        is_faulty: Whether the hosts ignore the limits.

    Raises:
        ViolationsFound: A server got more than its limit allows.
    """
    rng = random.Random(seed)
    with contextlib.ExitStack() as stack:
        if is_faulty:
            stack.enter_context(
                mock.patch.object(PermitIssuer, "has_token", lambda *_: True)
            )
        servers = make_servers(LIMITED_SERVERS, 1.0, rng.choice((0.5, 1.0, 3.0)))
        fleet = LimitedFleet(seed, servers, loss=DATAGRAM_LOSS)
        stack.callback(fleet.close)
        play_faults(fleet, seed, LIMITS_PLAYED_S)
        fleet.play(LIMITED_REQUESTS_PER_S, LIMITS_PLAYED_S)
        totals.violations.update(fleet.violations())
        found = fleet.breaches()
        count = len(fleet.outcomes)
    _report(totals, InvariantName.RATE_LIMIT, found, count)


@ENTRY_PLAYS.register("ignore-cold-rate")
def play_cold_servers(seed: int, totals: Totals, is_faulty: bool) -> None:
    """Play one fleet whose requests wait while several cold servers start at once.

    Args:
        seed: Seed of the run.
        totals: Collects what was broken.
        is_faulty: Whether the hosts take cold servers for warm ones.

    Raises:
        ViolationsFound: A cold server got more than its rate allows.
    """
    rng = random.Random(seed)
    servers: list[LimitedServer] = [
        LimitedServer(f"w-{n}", DATA_CENTRES[n % 3]) for n in range(WARM_SERVERS)
    ]
    place = rng.choice(DATA_CENTRES)
    servers += [
        ColdServer(f"c-{n}", place, COLD_FROM_S + 0.2 * rng.random())
        for n in range(COLD_SERVERS)
    ]
    with contextlib.ExitStack() as stack:
        if is_faulty:
            stack.enter_context(
                mock.patch.object(BackendLoad, "limit_per_s", lambda *_: NO_LIMIT)
            )
        fleet = LimitedFleet(seed, servers, loss=DATAGRAM_LOSS)
        stack.callback(fleet.close)
        fleet.list_cold_servers()
        if rng.random() < 0.5:
            other = rng.choice([name for name in DATA_CENTRES if name != place])
            fleet.at(COLD_FROM_S / 2, fleet.take_out, other, True)
        play_faults(fleet, seed, COLD_PLAYED_S, count=rng.choice((0, 4)))
        fleet.play(COLD_REQUESTS_PER_S, COLD_PLAYED_S)
        totals.violations.update(fleet.violations())
        found = fleet.cold_breaches()
        count = len(fleet.outcomes)
    _report(totals, InvariantName.COLD_START, found, count)


@ENTRY_PLAYS.register("trust-restored-rows")
def play_restored_stores(seed: int, totals: Totals, is_faulty: bool) -> None:
    """Play copies of a store that goes back to older states.

    Args:
        seed: Seed of the first run.
        totals: Collects what was broken.
        is_faulty: Whether the copies take every row of a restored table for a new one.

    Raises:
        ViolationsFound: A row went back, or a copy differs from the store in the end.
    """
    found: list[str] = []
    with contextlib.ExitStack() as stack:
        if is_faulty:
            stack.enter_context(
                mock.patch.object(PastRows, "find_copied", lambda *_: set())
            )
        for number in range(RESTORED_RUNS):
            run = RestoredStoreRun(seed * RESTORED_RUNS + number)
            run.play()
            found += run.findings
    _report(totals, InvariantName.CONFIG_MONOTONIC, found, 0)


@ENTRY_PLAYS.register("trust-kept-connections")
def play_silent_connections(seed: int, totals: Totals, is_faulty: bool) -> None:
    """Play changes after connections of hosts have fallen silent without a reset.

    Args:
        seed: Seed of the run.
        totals: Collects what was broken.
        is_faulty: Whether the hosts keep connections to neighbours, and trust each for
            as long as a change may take.

    Raises:
        ViolationsFound: A change was not in force everywhere in time.
    """
    rng = random.Random(seed)
    found: list[str] = []
    with contextlib.ExitStack() as stack:
        if is_faulty:
            stack.enter_context(
                mock.patch.multiple(
                    "crocusward.entryd._row_replicator",
                    MAX_PULL_ATTEMPTS=1,
                    PULL_TIMEOUT_S=CHANGE_BOUND_S,
                )
            )
        fleet = WholeFleet(seed, SILENCED_HOSTS, DATAGRAM_LOSS)
        stack.callback(fleet.close)
        if is_faulty:
            fleet.keep_inner_connections()
        for _ in range(CHANGES_BEFORE):
            fleet.write_state()
            fleet.network.advance(0.5)
        fleet.silence(rng.choice((0.7, 1.0)), with_store=rng.random() < 0.5)
        fleet.network.advance(STABLE_S + rng.random())
        version = fleet.write_state()
        fleet.network.advance(CHANGE_BOUND_S)
        late = fleet.late_hosts(version)
        if late:
            found.append(f"{len(late)} hosts lack a change after {CHANGE_BOUND_S:g} s")
    _report(totals, InvariantName.CONFIG_IN_TIME, found, 0)


@ENTRY_PLAYS.register("trust-entry-refusals")
def play_repeated_refusals(seed: int, totals: Totals, is_faulty: bool) -> None:
    """Play servers that refuse probes or requests twice, without an id.

    Args:
        seed: Seed of the run.
        totals: Collects what was broken.
        is_faulty: Whether the hosts take each refusal for that of their request.

    Raises:
        ViolationsFound: A request that must run once ran twice, or ran although it was
            refused as not run.
    """
    rng = random.Random(seed)
    with contextlib.ExitStack() as stack:
        if is_faulty:
            stack.enter_context(
                mock.patch(
                    "crocusward.relay._exchange.match_answer",
                    lambda *_: AnswerMatch.OWN,
                )
            )
        fleet = WholeFleet(seed, REFUSING_HOSTS, DATAGRAM_LOSS)
        stack.callback(fleet.close)
        fleet.add_servers(REFUSING_SERVERS)
        fleet.network.advance(1.0)
        for server in fleet.servers.values():
            server.repeated = rng.choice(("probe", "request"))
            server.refusal_head = UNNAMED_REFUSAL
            server.repeated_share = REFUSED_SHARE
        end_s = fleet.now_s() + REFUSALS_PLAYED_S
        while fleet.now_s() < end_s:
            fleet.network.advance(rng.expovariate(ORDERS_PER_S))
            fleet.ask(f"/order/{len(fleet.promises.asked)}", body=b"x")
        fleet.network.advance(2.0)
        runs = Counter(run.id for run in fleet.promises.runs)
        asked = fleet.promises.asked
        for host in fleet.hosts.values():
            totals.violations.update(host.invariants.violations)
    found = [f"{id} ran {count} times" for id, count in runs.items() if count > 1]
    found += [
        f"{item.id} ran, refused as not run"
        for item in asked
        if item.status == REFUSED_STATUS and runs[item.id]
    ]
    _report(totals, InvariantName.AT_MOST_ONCE, found, len(asked))


@ENTRY_PLAYS.register("forget-crashes")
def play_crashing_requests(seed: int, totals: Totals, is_faulty: bool) -> None:
    """Play a request that crashes servers and comes again at any host.

    Args:
        seed: Seed of the run.
        totals: Collects what was broken.
        is_faulty: Whether the hosts do not count crashes.

    Raises:
        ViolationsFound: The request went on to servers, or an innocent one was blocked.
    """
    rng = random.Random(seed)
    with contextlib.ExitStack() as stack:
        if is_faulty:
            stack.enter_context(mock.patch.object(CrashRegistry, "count", lambda *_: 0))
        fleet = WholeFleet(seed, CRASHED_HOSTS, DATAGRAM_LOSS)
        stack.callback(fleet.close)
        fleet.add_servers(CRASHED_SERVERS)
        fleet.network.advance(1.0)
        deadly = [f"/look/deadly-{n}" for n in range(rng.choice((1, 1, 2)))]
        fleet.deadly.update(deadly)
        end_s = fleet.now_s() + CRASHES_PLAYED_S
        while fleet.now_s() < end_s:
            fleet.ask(rng.choice(deadly))
            fleet.ask_for(rng.uniform(0.1, 0.6), CRASH_REQUESTS_PER_S, *INNOCENTS)
            if fleet.servers and rng.random() < 0.1:
                fleet.crash(rng.choice(list(fleet.servers.values())))
        fleet.network.advance(2.0)
        found = fleet.promises.broken()
        count = len(fleet.promises.asked)
    _report(totals, InvariantName.CRASHING_REQUEST, found, count)


@ENTRY_PLAYS.register("reuse-tokens")
def play_slot_offers(seed: int, totals: Totals, is_faulty: bool) -> None:
    """Play hosts that restart while they wait for slots of others.

    Args:
        seed: Seed of the first run.
        totals: Collects what was broken.
        is_faulty: Whether each process numbers its slot requests from the same number.

    Raises:
        ViolationsFound: A request got a server of another service.
    """
    found: list[str] = []
    asked = 0
    with contextlib.ExitStack() as stack:
        if is_faulty:
            stack.enter_context(
                mock.patch(
                    "crocusward.devtools.entry_soak._slot_offers.make_first_token",
                    lambda *_: 0,
                )
            )
        for number in range(OFFER_RUNS):
            run = SlotOfferRun(seed * OFFER_RUNS + number)
            run.play()
            found += run.findings
            asked += run.asked_count
    _report(totals, InvariantName.SERVICE, found, asked)


@ENTRY_PLAYS.register("hand-out-gaps")
def play_lost_removals(seed: int, totals: Totals, is_faulty: bool) -> None:
    """Play servers that leave while the host that reads the store restarts.

    Args:
        seed: Seed of the run.
        totals: Collects what was broken.
        is_faulty: Whether hosts hand out changes from before their history starts.

    Raises:
        ViolationsFound: A host uses a server that has left.
    """
    rng = random.Random(seed)
    found: list[str] = []
    with contextlib.ExitStack() as stack:
        if is_faulty:
            stack.enter_context(
                mock.patch.object(
                    TableReplica,
                    "get_changes_since",
                    lambda self, at: self._collect_changes(at.version),
                )
            )
        fleet = WholeFleet(seed, RESTARTED_HOSTS, DATAGRAM_LOSS)
        stack.callback(fleet.close)
        fleet.add_servers(2 * RESTART_ROUNDS)
        fleet.network.advance(1.0)
        for _ in range(RESTART_ROUNDS):
            place = rng.choice(["east-a", "west-a"])
            members = sorted(name for name in fleet.hosts if place in name)
            restarted = members[: rng.choice((1, 1, 2))]
            for name in restarted:
                fleet.stop(name)
            left = rng.choice(sorted(fleet.servers))
            del fleet.servers[left]
            fleet.store.drop("servers", left)
            fleet.network.advance(RESTART_S * rng.random())
            for name in restarted:
                fleet.network.create_task(fleet.start(name))
            fleet.network.advance(REMOVAL_BOUND_S + rng.random())
            users = [n for n, h in fleet.hosts.items() if left in h.directory.backends]
            if users:
                found.append(f"{len(users)} hosts list {left}, which has left")
    _report(totals, InvariantName.BACKEND_LEAVING, found, 0)
