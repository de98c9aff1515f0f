"""Wiring of the daemon, signal handling, and start and stop sequence."""

import asyncio
import gc
import os
import random
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from ..crashes import CrashRegistry
from ..desired import (
    NO_ERA,
    Directory,
    EntryHost,
    HostFacts,
    RowChange,
    TablePosition,
)
from ..errors import ConflictError, CrocusError
from ..invariants import Invariants, Violation
from ..logs import EventSampler, Level, LogPipe, log_event
from ..neighbours import BackendObservation, NeighbourTable, ReadTimes
from ..placing import (
    BackendLoad,
    BackendLoadTable,
    BackendSelector,
    FleetRetryBudget,
    HostGroups,
    ServiceTimeModel,
)
from ..platform import (
    REPLICATED_TABLES,
    TABLE_BACKENDS,
    TABLE_HOSTS,
    TABLE_OPERATOR,
    RowClient,
    apply_row_change,
    decode_daemon,
    encode_daemon,
    read_boot_settings,
)
from ..relay import (
    BackendClient,
    CrashWatch,
    Listener,
    LoadProber,
    NoticeTracker,
    RateLimitTracker,
    Relay,
    RequestLog,
    SlotFinder,
    SlotOffers,
)
from ..timing import LoopTimer, boot_time_s
from ..upstream import AnswerMemoryBudget, HttpPool
from ._control import ControlHandler
from ._crash_rows import CrashRowKeeper
from ._hub import NeighbourHub
from ._reader import READ_TIMEOUT_S, TableFollower
from ._row_replicator import RowReplicator
from ._stop import PlannedStop

TICK_PERIOD_S = 0.1
SETTINGS_CHECK_PERIOD_S = 1.0  # detects changes of the file without a signal
# What a running daemon does not take over when its settings change.
SETTINGS_OF_A_START = (
    "name",
    "address",
    "data_centre",
    "region",
    "regions",
    "callers",
    "ready",
    "control",
    "peer_ports",
    "limits",
)
REGISTER_PAUSE_S = 1.0
REGISTER_SPREAD_S = 2.0  # over which all hosts register again at a restored store
MAX_BACKEND_CONNECTIONS = 16  # per server, each of which runs few requests at a time
BACKEND_IDLE_TIMEOUT_S = 8.0  # servers that state none close after about 10 s
BACKEND_CONNECT_TIMEOUT_S = 0.3  # the slowest path has 12 ms of one-way delay
MAX_STORE_CONNECTIONS = 8
MAX_PULL_CONNECTIONS = 8  # to one neighbour
# At the first start of the fleet, hosts discover each other for the first of these
# times; the others of a data centre wait for the first one's rows up to the second.
FIRST_START_DISCOVERY_S = 1.5
FIRST_START_MAX_WAIT_S = 3.0
# A host that starts asks hosts of other data centres for rows that the store has lost.
REMOTE_MERGE_PAUSE_S = 0.5  # hosts of the own data centre are asked first
MAX_REMOTE_MERGES = 20  # until rows and other hosts of this era are known
REMOTE_MERGE_HOSTS = 3  # asked one after the other
BYTES_PER_MB = 1 << 20
ANSWER_MEMORY_SHARE = 0.25  # of the host's memory, for incomplete answers
MAX_LOG_LINES_PER_S = 20  # per event; the rest are only counted


class EntryProcess:
    """One running daemon.

    Args:
        facts: Settings of this host.
        path: Settings file, read again at a change or a signal.
        logs: Output of log events.
        rng: Source of jitter and random choices.
        boot_time: Clock that goes on while the host is suspended, in seconds.
    """

    def __init__(
        self,
        facts: HostFacts,
        path: Path,
        logs: LogPipe,
        rng: random.Random | None = None,
        boot_time: Callable[[], float] = boot_time_s,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.facts = facts
        self._start_facts = facts
        self._last_read_facts = facts
        self._path = path
        self._logs = logs
        self._rng = rng or random.Random()
        self.timer = LoopTimer(loop, self._rng)
        self._stop = asyncio.Event()
        self._started_s = self.timer.now()
        self._is_stopping = False
        self._era: int | None = None  # of the store, once a table was read
        self._tasks: list[asyncio.Task[None]] = []
        self.sampler = EventSampler(self.timer.now, MAX_LOG_LINES_PER_S)
        self.invariants = Invariants(self._log_violation)
        self.directory = Directory(facts.regions)
        self.load_table = BackendLoadTable(
            self.directory,
            HostGroups(facts.name, facts.data_centre),
            self.timer.now,
            lambda: time.time() * 1000.0,
        )
        self._read_times = ReadTimes(facts.bounds.change_s)
        self.neighbours = NeighbourTable(facts.name, self._read_times)
        self.other_readers = NeighbourTable(facts.name, self._read_times)
        self.store_pool = HttpPool(self.timer, connections=MAX_STORE_CONNECTIONS)
        self.backend_pool = HttpPool(
            self.timer,
            connections=MAX_BACKEND_CONNECTIONS,
            idle_s=BACKEND_IDLE_TIMEOUT_S,
            connect_timeout_s=BACKEND_CONNECT_TIMEOUT_S,
            memory_budget=AnswerMemoryBudget(
                int(facts.limits.memory_mb * BYTES_PER_MB * ANSWER_MEMORY_SHARE)
            ),
        )
        self.store = RowClient(self.store_pool, facts.store)
        self.followers = {name: self._make_follower(name) for name in REPLICATED_TABLES}
        self.rate_limits = RateLimitTracker(boot_time, self.sampler)
        self.notices = NoticeTracker(
            self.load_table.notices, self.timer.now, self.sampler
        )
        backend_client = BackendClient(self.backend_pool)
        self.crash_watch = CrashWatch(
            CrashRegistry(boot_time),
            backend_client,
            self.timer,
            self.sampler,
            self._on_backend_gone,
        )
        self.crash_watch.follow(self.directory)
        self.hub = NeighbourHub(
            facts,
            time.time_ns() // 1_000_000,
            self.timer,
            self._rng,
            self.load_table,
            self.neighbours,
            self.other_readers,
            self.sampler,
            self._positions,
            lambda: self.timer.now() - self._compute_current_s(),
            self._is_reader,
            lambda service: self.relay.dispatch_queued(service),
            lambda: self.row_replicator.pull_newer_rows(),
            lambda *request: self.slot_offers.offer(*request),
            lambda key: self.slot_offers.release_offer(key),
            lambda *request: self.slot_offers.issue_permit(*request),
            self._on_forgotten,
            self.rate_limits,
            self.crash_watch,
            boot_time,
        )
        times = ServiceTimeModel()
        bounds = facts.bounds
        self.retry_budget = FleetRetryBudget(
            bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window_s
        )
        self.selector = BackendSelector(
            self.directory,
            self.load_table,
            times,
            facts.region,
            self._rng,
        )
        self.load_table.set_cold_bounds(bounds.cold_rate_factor, bounds.cold_burst)
        self.slot_finder = SlotFinder(
            self.timer,
            self.directory,
            self.load_table,
            self.selector,
            self.hub,
            self.sampler,
            LoadProber(
                self.timer,
                self.directory,
                times,
                backend_client,
                self.sampler,
                self.rate_limits,
                self.notices,
            ),
        )
        self.slot_offers = SlotOffers(
            self.timer,
            self.directory,
            self.load_table,
            self.slot_finder,
            self.hub,
            self.sampler,
            self.rate_limits,
        )
        self.request_log = RequestLog(self.timer.now, self.directory, self.sampler)
        self._crash_rows = CrashRowKeeper(
            self.store,
            self.crash_watch,
            self.timer,
            self._rng,
            self.sampler,
            lambda: time.time() * 1000.0,
            self._start_task,
        )
        self.relay = Relay(
            self.timer,
            self.directory,
            self.load_table,
            times,
            self.selector,
            self.slot_finder,
            self.retry_budget,
            backend_client,
            self.hub,
            self.request_log,
            self.invariants,
            self.rate_limits,
            self.notices,
            self.crash_watch,
            facts.limits.memory_mb,
            self.backend_pool.memory_budget,
        )
        control = ControlHandler(self)
        self.callers = Listener(self.relay, self.timer, self.sampler)
        self._ready_listener = Listener(control, self.timer)
        self._neighbour_listener = Listener(control, self.timer)
        self._control_listener = Listener(control, self.timer)
        self.row_replicator = RowReplicator(
            self.timer,
            self.followers,
            (self.neighbours, self.other_readers),
            HttpPool(self.timer, connections=MAX_PULL_CONNECTIONS, reuse=False),
            facts.peer_ports[0],
            self.sampler,
        )

    def _make_follower(self, table: str) -> TableFollower:
        return TableFollower(
            table,
            self.timer,
            self._rng,
            self.store,
            self._read_times,
            self._is_reader,
            self._should_read_first,
            lambda: self.hub.rank,
            self._last_answer_elsewhere_s,
            self._on_change,
            self._on_version,
        )

    def _log_violation(self, violation: Violation) -> None:
        self.sampler.log(
            "invariant_violated",
            Level.ERROR,
            invariant=violation.name.value,
            detail=violation.detail,
        )

    def _on_backend_gone(
        self, load: BackendLoad, observation: BackendObservation
    ) -> None:
        load.observe(observation, self.timer.now())
        self.hub.notify_change(load, observation)

    # State.

    def is_ready(self) -> bool:
        """Return whether the platform should route callers to this host."""
        return self.directory.is_usable() and not self._is_stopping

    @property
    def dropped_log_lines(self) -> int:
        """Log lines that were dropped because the output was slow."""
        return self._logs.buffer.dropped

    def _oldest_answer_s(self) -> float:
        return min(item.answered_s for item in self.followers.values())

    def _compute_current_s(self) -> float:
        """Return the time up to which this host's rows are known to be current.

        Rows taken from a reader in another group are as current as the reader's.
        """
        current_s = self.other_readers.update_current_s(
            self._positions(), self.timer.now()
        )
        return max(self._oldest_answer_s(), current_s)

    def _last_answer_elsewhere_s(self) -> float:
        """Return when another host last had an answer from the store."""
        return max(self.neighbours.last_answer_s(), self.other_readers.last_answer_s())

    def _is_reader(self) -> bool:
        now_s = self.timer.now()
        if not self.other_readers.is_reader(now_s, self._oldest_answer_s()):
            return False
        return self.neighbours.is_reader(now_s, self._oldest_answer_s())

    def _should_read_first(self) -> bool:
        """Return whether this host reads tables of which it has no copy.

        A first start of the whole fleet is not urgent, so one host of each data centre
        reads the store and the others take the rows from it.
        """
        if not self.facts.is_first_start:
            return True
        age_s = self.timer.now() - self._started_s
        if age_s < FIRST_START_DISCOVERY_S:
            return False
        return age_s > FIRST_START_MAX_WAIT_S or self.hub.rank == 0

    def _positions(self) -> dict[str, TablePosition]:
        return {name: item.copy.position for name, item in self.followers.items()}

    def _on_change(self, table: str, change: RowChange) -> None:
        previous = self.directory.state
        is_first = table == TABLE_BACKENDS and not self.directory.has_backend_list
        apply_row_change(self.directory, table, change, is_first=is_first)
        state = self.directory.state
        if state is not None:
            self.relay.limits = state.limits
            if state is not previous:
                self.load_table.refresh_cold_rates()
            if previous is None:
                self.load_table.refresh_cold()
                self.relay.start_gate.open_if_usable()

    def _on_version(self) -> None:
        self._check_era()
        version = self.followers[TABLE_BACKENDS].copy.version
        if version >= 0 and not self.directory.has_backend_list:
            self.directory.has_backend_list = True
            count = len(self.directory.backends)
            log_event("backends_listed", count=count, version=version)
            self.relay.start_gate.open_if_usable()
        self.hub.report_positions()
        for service in list(self.load_table.by_service):
            self.relay.dispatch_queued(service)

    def _check_era(self) -> None:
        """Write again what this host wrote to the store, once the store has lost it."""
        era = max(item.copy.era for item in self.followers.values())
        if self._era is not None and era > self._era:
            self._start_task(self._register_again())
        self._era = max(era, self._era or NO_ERA)

    # Start.

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        gc.collect()
        gc.freeze()
        await self._stop.wait()
        await self._shut_down()

    async def start(self) -> None:
        """Open the listeners and begin to follow the store and the neighbours.

        Raises:
            OSError: An address cannot be bound.
        """
        facts = self.facts
        self._logs.run(self.timer)
        log_event(
            "started",
            host=facts.name,
            data_centre=facts.data_centre,
            region=facts.region,
            pid=os.getpid(),
        )
        await self._neighbour_listener.start(facts.address, facts.peer_ports[0])
        if facts.control is not None:
            await self._control_listener.start(*facts.control)
        await self._ready_listener.start(*facts.ready)
        await self.callers.start(*facts.callers)
        await self.hub.start()
        for follower in self.followers.values():
            self._start_task(follower.run())
        self._start_task(self._register())
        if not facts.is_first_start:
            self._start_task(self._merge_from_afar())
        self.timer.every(TICK_PERIOD_S, self._tick)
        self.timer.every(SETTINGS_CHECK_PERIOD_S, self._check_settings)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def _register(self) -> None:
        """Register this host in the store and load the list of hosts."""
        facts = self.facts
        own = EntryHost(facts.name, facts.address, facts.data_centre)
        is_registered = False
        if facts.is_first_start:
            await self.timer.sleep(FIRST_START_DISCOVERY_S)
        while True:
            try:
                if not is_registered:
                    await self.store.write_row(
                        TABLE_HOSTS, facts.name, encode_daemon(own), READ_TIMEOUT_S
                    )
                    is_registered = True
                if facts.is_first_start and self.hub.fleet_size > 1:
                    return  # the seeds report the hosts that start at the same time
                page = await self.store.read_table(TABLE_HOSTS, READ_TIMEOUT_S)
            except ConflictError as exc:
                raise AssertionError("unconditional write reported a conflict") from exc
            except CrocusError as exc:
                self.sampler.log("register_failed", Level.WARNING, reason=str(exc))
                pause_s = REGISTER_PAUSE_S * (0.5 + self._rng.random())
                await self.timer.sleep(pause_s)
                continue
            self._crash_rows.load(page.changes)
            hosts = [decode_daemon(row) for row in page.changes]
            self.hub.add_hosts([host for host in hosts if host is not None])
            return

    async def _merge_from_afar(self) -> None:
        """Learn orders in force that a restored store has lost, once after a start."""
        for _ in range(MAX_REMOTE_MERGES):
            await self.timer.sleep(REMOTE_MERGE_PAUSE_S)
            addresses = self.hub.list_remote_addresses()
            if addresses and self.followers[TABLE_OPERATOR].copy.version >= 0:
                hosts = addresses[:REMOTE_MERGE_HOSTS]
                if await self.row_replicator.merge_from_afar(TABLE_OPERATOR, hosts):
                    return

    async def _register_again(self) -> None:
        await self.timer.sleep(REGISTER_SPREAD_S * self._rng.random())
        facts = self.facts
        own = EntryHost(facts.name, facts.address, facts.data_centre)
        while not self._is_stopping:
            try:
                await self.store.write_row(
                    TABLE_HOSTS, facts.name, encode_daemon(own), READ_TIMEOUT_S
                )
            except CrocusError as exc:
                self.sampler.log("register_failed", Level.WARNING, reason=str(exc))
                await self.timer.sleep(REGISTER_PAUSE_S * (0.5 + self._rng.random()))
            else:
                log_event("host_registered_again", era=self._era)
                return

    def _tick(self) -> None:
        for follower in self.followers.values():
            follower.apply_deferred()
        self.row_replicator.pull_newer_rows()
        self.retry_budget.host_count = max(1, self.hub.fleet_size)

    def _on_forgotten(self, host: str) -> None:
        """Remove the row of a silent host from the store.

        Only the first live host of the group does so. A host that was partitioned is
        added again with its next report.
        """
        live = self.neighbours.list_live(self.timer.now())
        if all(self.facts.name < n.host for n in live):
            self._start_task(self._unregister(host))

    async def _unregister(self, host: str) -> None:
        try:
            await self.store.delete_row(TABLE_HOSTS, host, READ_TIMEOUT_S)
        except CrocusError as exc:
            self.sampler.log(
                "unregister_failed", Level.WARNING, host=host, reason=str(exc)
            )
        else:
            log_event("host_unregistered", host=host)

    # Settings.

    def _reload(self) -> None:
        self._apply_settings("signal")

    def _check_settings(self) -> None:
        self._apply_settings("change")

    def _apply_settings(self, cause: str) -> None:
        try:
            facts = read_boot_settings(self._path)
        except (CrocusError, OSError) as exc:
            self.sampler.log(
                "settings_ignored", Level.ERROR, cause=cause, reason=str(exc)
            )
            return
        if facts == self._last_read_facts and cause != "signal":
            return
        self._last_read_facts = facts
        self.facts = facts
        self.store.address = facts.store
        self._read_times.set_bound(facts.bounds.change_s)
        self.load_table.set_cold_bounds(
            facts.bounds.cold_rate_factor, facts.bounds.cold_burst
        )
        self.retry_budget.set_bounds(
            facts.bounds.retry_ratio,
            facts.bounds.retry_reserve,
            facts.bounds.retry_window_s,
        )
        needs_restart = [
            name
            for name in SETTINGS_OF_A_START
            if getattr(facts, name) != getattr(self._start_facts, name)
        ]
        log_event(
            "settings_reloaded",
            cause=cause,
            store=":".join(map(str, facts.store)),
            needs_restart=",".join(needs_restart),
        )

    # Stop.

    async def _shut_down(self) -> None:
        grace_s = self.facts.bounds.stop_grace_s
        log_event("stopping", grace_s=grace_s, pending=self.callers.pending)
        self._is_stopping = True
        stop = PlannedStop(self.timer, self.callers, self.relay, grace_s)
        self.hub.is_leaving = True
        self.hub.report_positions()
        await stop.run()
        for task in self._tasks:
            task.cancel()
        for listener in (
            self.callers,
            self._ready_listener,
            self._control_listener,
            self._neighbour_listener,
        ):
            listener.close()
        self.hub.close()
        self._logs.close()
