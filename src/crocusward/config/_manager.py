"""The configuration service of a daemon: commits, polling, replication."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence

from ..errors import (
    ConflictError,
    CrocusError,
    Finding,
    FindingsError,
    SourceLocation,
)
from ..model import FleetConfig, ListedHost
from ..peer import (
    ChangeBatch,
    ChangeRequest,
    Heartbeat,
    Hold,
    Message,
    OfferedRate,
)
from ..timing import Subscription, TimerService
from ._background import BackgroundTasks
from ._change import Change, ChangeDraft
from ._freshness import FreshnessTracker, ServingMode
from ._holds import Holds, find_name_fault
from ._interface import ChangeReceipt, InForceReport
from ._log import MAX_FETCH_ROWS, SNAPSHOT_INTERVAL_CHANGES, ChangeLog
from ._log_repair import LogRepair
from ._operations import Scope, find_handler
from ._quorum import QuorumCheck
from ._replica import Listener, Replica
from ._reports import VersionReports
from ._row import ChangeRow, decode_row, encode_row
from ._validate import validate_draft

POLL_PERIOD_S = 1.0
ACCEPT_TIMEOUT_S = 3.0  # well below the 9 s within which a change must be in force
ACCEPT_POLL_PERIOD_S = 0.01
MIN_REQUEST_INTERVAL_S = 0.3  # between two requests for missing changes
HOLDS_RESEND_PERIOD_S = 10.0  # resending repairs hosts with differing sets
MAX_HISTORY_CHANGES = 500

SendMessage = Callable[[str, Message], object]
BroadcastMessage = Callable[[Message], object]


class ConfigManager:
    """Commits and replicates the configuration; implements ConfigService.

    Args:
        log: The change log.
        replica: This host's copy.
        freshness: Freshness of this host's copy.
        timer: Time source.
        host: Name of this host.
        send: Sends a message to the peer with a host name, without waiting.
        broadcast: Sends a message to every peer, without waiting.
        utc_s: Returns wall-clock time in seconds, for display only.
        on_error: Called with errors of background work, for logging.
        poll_s: Period of reading the head of the log, in seconds.

    Attributes:
        counts: Number of polls, failed polls, forks and snapshots, for metrics.
    """

    __slots__ = (
        "counts",
        "replica",
        "freshness",
        "_log",
        "_timer",
        "_send",
        "_broadcast",
        "_utc_s",
        "_holds",
        "_lock",
        "_subs",
        "_background",
        "_poll_task",
        "_poll_s",
        "_last_request_s",
        "_listed",
        "_regions",
        "_reports",
        "_quorum_check",
        "_repair",
    )

    def __init__(
        self,
        log: ChangeLog,
        replica: Replica,
        freshness: FreshnessTracker,
        timer: TimerService,
        host: str,
        *,
        send: SendMessage,
        broadcast: BroadcastMessage,
        utc_s: Callable[[], int],
        on_error: Callable[[Exception], object] | None = None,
        on_holds: Callable[[], object] | None = None,
        poll_s: float = POLL_PERIOD_S,
    ) -> None:
        self._poll_s = poll_s
        self.counts: Counter[str] = Counter()
        self.replica = replica
        self.freshness = freshness
        self._log = log
        self._timer = timer
        self._send = send
        self._broadcast = broadcast
        self._utc_s = utc_s
        self._holds = Holds(on_holds)
        self._lock = asyncio.Lock()
        self._subs: list[Subscription] = []
        self._background = BackgroundTasks(self.counts, on_error)
        self._poll_task: asyncio.Task | None = None
        self._last_request_s = -MIN_REQUEST_INTERVAL_S
        self._listed: frozenset[str] = frozenset()
        self._regions: dict[str, str] = {}
        self._reports = VersionReports(host)
        self._quorum_check: QuorumCheck | None = None
        self._repair = LogRepair(log, replica, self.counts)
        replica.subscribe(self._version_changed)

    async def start(self) -> None:
        """Load the configuration from the store, then poll the store.

        A store outage is not an error: peers send the configuration.
        """
        self._subs.append(self._timer.every(self._poll_s, self._poll_due))
        self._subs.append(
            self._timer.every(HOLDS_RESEND_PERIOD_S, self._broadcast_holds)
        )
        self._poll_due()
        if self._poll_task is not None:
            await self._poll_task

    async def stop(self) -> None:
        """Stop all background work."""
        for sub in self._subs:
            sub.cancel()
        await self._background.stop()

    def current(self) -> FleetConfig:
        """Return the version in force on this host."""
        return self.replica.config

    def subscribe(self, listener: Listener) -> Subscription:
        """Call ``listener(old, new)`` for each new version."""
        return self.replica.subscribe(listener)

    def may_serve(self) -> ServingMode:
        """Return what may be sent now; called immediately before each send."""
        return self.freshness.may_serve()

    # Operator requests

    async def commit(self, draft: ChangeDraft) -> ChangeReceipt:
        """Commit a change; see ``ConfigService.commit``."""
        async with self._lock:
            receipt = await self._commit_once(draft)
        if not draft.force:
            scope = self._scope_of(self.replica.config, draft)
            receipt.accepted = await self._wait_accepted(receipt.version, scope)
        return receipt

    async def _commit_once(self, draft: ChangeDraft) -> ChangeReceipt:
        row = await self._find_committed(draft)
        if row is not None:
            return _make_repeat_receipt(draft, row)
        return await self._commit_new(draft)

    async def history(self, above: int, limit: int) -> list[Change]:
        """Return committed changes above a version, in order.

        Raises:
            StoreUnavailableError: The changes are not in memory and the store is down.
        """
        limit = min(limit, MAX_HISTORY_CHANGES)
        if above >= self.replica.version or self.replica.recent_row(above + 1):
            return self.replica.recent_changes(above, limit)
        rows = await self._log.fetch_above(above, limit)
        return [decode_row(data).change for data in rows]

    def in_force(self, version: int) -> InForceReport:
        """Return where a version is in force."""
        return self._reports.report(version, self.replica.version)

    def version_of(self, name: str) -> int:
        """Return the version that a host has reported, or -1."""
        return self._reports.version_of(name, self.replica.version)

    def place_hold(self, hold: Hold) -> None:
        """Take something out of service without the store.

        Raises:
            CrocusError: Code ``bad_hold``: a hold that would have no effect.
        """
        known = self.current().data_centres
        fault = self._holds.fault(hold) or find_name_fault(hold, known)
        if fault:
            raise CrocusError(fault, code="bad_hold")
        if self._holds.place(hold):
            self._broadcast(hold)

    def holds(self) -> list[Hold]:
        """Return the holds in effect."""
        return self._holds.active()

    def held_names(self, kind: str) -> frozenset[str]:
        """Return the names of one kind that are held out of service."""
        return self._holds.names(kind)

    # Peer messages

    def make_heartbeat(
        self,
        seq: int,
        echo: int,
        *,
        leaving: bool = False,
        offered_rates: tuple[OfferedRate, ...] = (),
    ) -> Heartbeat:
        """Return a heartbeat with the state of the configuration."""
        return Heartbeat(
            seq,
            echo,
            self.replica.version,
            self.replica.digest_prefix,
            self.freshness.confirmed_age_ms(),
            leaving=leaving,
            holds=len(self._holds),
            offered_rates=offered_rates,
        )

    def link_opened(self, peer: str) -> None:
        """Handle a new link: send the holds to the peer."""
        self.freshness.link_opened(peer)
        self._reports.forget(peer)
        self._send_holds(peer)

    def heartbeat_sent(self, peer: str, seq: int) -> None:
        """Record the send time of a heartbeat; call before it is written."""
        self.freshness.heartbeat_sent(peer, seq)

    def heartbeat_received(self, peer: str, region: str, heartbeat: Heartbeat) -> None:
        """Process a heartbeat of a peer."""
        forked = self.replica.contradicts(heartbeat.version, heartbeat.digest)
        fresh = self.freshness.heartbeat_received(
            peer, region, heartbeat, trusted=not forked
        )
        if not fresh:
            return
        if forked:
            self.counts["forks"] += 1
            return
        self._reports.reported(peer, heartbeat.version)
        if heartbeat.version > self.replica.version:
            self._request_changes(peer)
        if heartbeat.holds < len(self._holds):
            self._send_holds(peer)

    def message_received(self, peer: str, message: Message) -> None:
        """Process a ChangeRequest, Changes or Hold of a peer.

        A ChangeRequest is always answered, as a commit counts the replies.

        Raises:
            CrocusError: Code ``malformed_document`` or ``config_fork``.
        """
        if isinstance(message, ChangeRequest):
            self._reports.reported(peer, message.above)
            changes = self.replica.changes_above(message.above)
            self._send(peer, changes or ChangeBatch(message.above + 1, ()))
        elif isinstance(message, ChangeBatch):
            self._receive_changes(peer, message)
        elif isinstance(message, Hold):
            self._holds.place(message)

    def set_listed(self, hosts: Sequence[ListedHost]) -> None:
        """Set the platform's host list; backend servers only supply their region."""
        entries: dict[str, set[str]] = {}
        for host in hosts:
            if host.role == "entry":
                entries.setdefault(host.region, set()).add(host.name)
        self._regions = {host.name: host.region for host in hosts}
        self._listed = frozenset().union(*entries.values())
        self.freshness.set_listed(entries)
        self._reports.set_listed(entries)

    # Commit

    async def _commit_new(self, draft: ChangeDraft) -> ChangeReceipt:
        config = self.replica.config
        self._require_base(draft)
        findings = validate_draft(config, draft)
        if findings:
            raise FindingsError(findings)
        scope = self._scope_of(config, draft)
        missing = self.freshness.out_of_contact(scope)
        if not draft.force:
            await self._require_contact(scope)
            self._require_base(draft)
        row = encode_row(self._make_change(draft), self.replica.digest)
        done = await self._log.append(row)
        if done.repeated:
            return _make_repeat_receipt(draft, done.row)
        self._publish(row)
        return ChangeReceipt(row.version, missing=tuple(missing))

    async def _wait_accepted(self, version: int, scope: frozenset[str]) -> bool:
        """Wait until a majority of each region in scope has the version.

        Any group of hosts that keeps serving unconfirmed then contains a host with
        the version, so a link failure after this point cannot hide the change.
        """
        end_s = self._timer.now() + ACCEPT_TIMEOUT_S
        while not self._reports.has_majority(version, self.replica.version, scope):
            if self._timer.now() >= end_s:
                return False
            await self._timer.sleep(ACCEPT_POLL_PERIOD_S)
        return True

    def _require_base(self, draft: ChangeDraft) -> None:
        version = self.replica.version
        if draft.base != version:
            raise ConflictError(
                f"the base is version {draft.base}, the current version is {version}"
            )

    async def _find_committed(self, draft: ChangeDraft) -> ChangeRow | None:
        """Return the row that already committed the change id, or None."""
        row = self.replica.find_change_id(draft.change_id)
        if row is not None or draft.base == self.replica.version:
            return row
        await self._read_head()
        return self.replica.find_change_id(
            draft.change_id
        ) or await self._log.find_change_id(draft.change_id)

    def _make_change(self, draft: ChangeDraft) -> Change:
        return Change(
            draft.base + 1,
            draft.change_id,
            draft.base,
            draft.author,
            self._utc_s(),
            draft.operations,
        )

    def _scope_of(self, config: FleetConfig, draft: ChangeDraft) -> frozenset[str]:
        all_regions = {item.region for item in config.data_centres.values()}
        all_regions |= {self._regions[name] for name in self._listed}
        scope = Scope(config, self._regions.get, frozenset(all_regions))
        regions: frozenset[str] = frozenset()
        for op in draft.operations:
            regions |= find_handler(op).scope(scope, op)
        return regions

    async def _require_contact(self, scope: frozenset[str]) -> None:
        """Require replies from a majority in each region in scope, now."""
        missing = self.freshness.find_missing_contacts(scope)
        if not missing:
            self._quorum_check = QuorumCheck(self.freshness, self._timer, scope)
            question = ChangeRequest(self.replica.version)
            try:
                missing = await self._quorum_check.collect(
                    lambda: self._broadcast(question)
                )
            finally:
                self._quorum_check = None
        if missing:
            raise CrocusError(
                "no contact with a majority of the entry hosts of a region; "
                f"missing: {', '.join(missing)}",
                code="region_unreachable",
            )

    def _publish(self, row: ChangeRow) -> None:
        try:
            self.replica.receive_row(row)
        except CrocusError as exc:
            self._background.failed(exc)
            return
        self._broadcast(ChangeBatch(row.version, (row.data,)))
        # The store may have lost the changes before this one since it was last read.
        self._background.spawn(self._repair.write_lost_changes())
        if row.version % SNAPSHOT_INTERVAL_CHANGES == 0:
            self._background.spawn(self._log.save_snapshot(self.replica.snapshot()))
            self.counts["snapshots"] += 1

    # Background work

    def _poll_due(self) -> None:
        self.freshness.tick()
        if self._poll_task is None or self._poll_task.done():
            self._poll_task = self._background.spawn(self._read_head())

    async def _read_head(self) -> None:
        """Apply the log above the version in force, then confirm the copy.

        Raises:
            StoreUnavailableError: The store cannot be read.
        """
        self.counts["polls"] += 1
        if self.replica.version == 0:
            await self._log.load(self.replica)
        while True:
            started_s = self._timer.now()
            rows = await self._repair.fetch_from_version()
            self.replica.receive_rows(rows)
            if len(rows) < MAX_FETCH_ROWS:
                break
        self.freshness.confirmed_by_store(started_s)

    def _version_changed(self, old: FleetConfig, new: FleetConfig) -> None:
        self.freshness.version_applied(new.version)
        self._holds.set_released(new.released_holds)

    def _request_changes(self, peer: str) -> None:
        now_s = self._timer.now()
        if now_s - self._last_request_s >= MIN_REQUEST_INTERVAL_S:
            self._last_request_s = now_s
            self._send(peer, ChangeRequest(self.replica.version))

    def _receive_changes(self, peer: str, message: ChangeBatch) -> None:
        if self._quorum_check is not None:
            self._quorum_check.record_answer(peer)
        advanced = self.replica.receive_rows(message.rows)
        if advanced:
            # Reports the version in force, which a commit of the sender waits for,
            # and requests the changes that are still missing.
            self._last_request_s = self._timer.now()
            self._send(peer, ChangeRequest(self.replica.version))

    def _send_holds(self, peer: str) -> None:
        for hold in self._holds.active():
            self._send(peer, hold)

    def _broadcast_holds(self) -> None:
        for hold in self._holds.active():
            self._broadcast(hold)


def _make_repeat_receipt(draft: ChangeDraft, row: ChangeRow) -> ChangeReceipt:
    """Return the receipt of a repeated change id.

    Raises:
        FindingsError: The id was used with other operations.
    """
    if row.change.operations == draft.operations:
        return ChangeReceipt(row.version, repeated=True)
    place = SourceLocation("change", "change_id")
    message = f"{draft.change_id!r} was used for version {row.version}"
    raise FindingsError([Finding(place, "change_id_reused", message)])
