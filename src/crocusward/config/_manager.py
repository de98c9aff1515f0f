"""The configuration service of one daemon."""

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
    ChangeRequest,
    Changes,
    DemandEntry,
    Heartbeat,
    Hold,
    Message,
)
from ..timing import Subscription, TimerService
from ._background import Background
from ._change import Change, ChangeDraft
from ._currency import Currency, ServingMode
from ._holds import Holds, name_fault
from ._interface import ChangeReceipt, InForceReport
from ._log import FETCH_LIMIT, SNAPSHOT_EVERY, ChangeLog
from ._operations import Scope, handler_of
from ._proof import ContactProof
from ._replica import Listener, Replica
from ._reports import VersionReports
from ._row import ChangeRow, decode_row, encode_row
from ._validate import validate_draft

POLL_PERIOD_S = 1.0
ACCEPT_LIMIT_S = 3.0  # well below the 9 s in which a change must be in force
ACCEPT_POLL_S = 0.01
REQUEST_PERIOD_S = 0.3  # least time between two requests for missing changes
HOLDS_PERIOD_S = 10.0  # holds are sent again in case two hosts have different sets
MAX_HISTORY = 500

Send = Callable[[str, Message], object]
Broadcast = Callable[[Message], object]


class ConfigManager:
    """Reads, changes and passes on the configuration; implements ConfigService.

    Args:
        log: The change log.
        replica: This host's copy.
        currency: Confirmations and contacts of this host.
        timer: Time source.
        host: Name of this host.
        send: Sends a message to the peer with a host name, without waiting.
        broadcast: Sends a message to every peer, without waiting.
        utc_s: Returns wall-clock time in seconds, shown to people only.
        on_error: Called with errors of background work, for logging.
        poll_s: Period of reading the head of the log, in seconds.

    Attributes:
        counts: Number of polls, failed polls, forks and snapshots, for metrics.
    """

    __slots__ = (
        "counts",
        "replica",
        "currency",
        "_log",
        "_timer",
        "_send",
        "_broadcast",
        "_utc_s",
        "_holds",
        "_lock",
        "_subs",
        "_background",
        "_poll",
        "_poll_s",
        "_asked_s",
        "_listed",
        "_regions",
        "_reports",
        "_proof",
    )

    def __init__(
        self,
        log: ChangeLog,
        replica: Replica,
        currency: Currency,
        timer: TimerService,
        host: str,
        *,
        send: Send,
        broadcast: Broadcast,
        utc_s: Callable[[], int],
        on_error: Callable[[Exception], object] | None = None,
        on_holds: Callable[[], object] | None = None,
        poll_s: float = POLL_PERIOD_S,
    ) -> None:
        self._poll_s = poll_s
        self.counts: Counter[str] = Counter()
        self.replica = replica
        self.currency = currency
        self._log = log
        self._timer = timer
        self._send = send
        self._broadcast = broadcast
        self._utc_s = utc_s
        self._holds = Holds(on_holds)
        self._lock = asyncio.Lock()
        self._subs: list[Subscription] = []
        self._background = Background(self.counts, on_error)
        self._poll: asyncio.Task | None = None
        self._asked_s = -REQUEST_PERIOD_S
        self._listed: frozenset[str] = frozenset()
        self._regions: dict[str, str] = {}
        self._reports = VersionReports(host)
        self._proof: ContactProof | None = None
        replica.subscribe(self._version_changed)

    async def start(self) -> None:
        """Load what the store has, then poll it.

        A store outage is not an error: peers bring the configuration.
        """
        self._subs.append(self._timer.every(self._poll_s, self._poll_due))
        self._subs.append(self._timer.every(HOLDS_PERIOD_S, self._spread_holds))
        self._poll_due()
        if self._poll is not None:
            await self._poll

    async def stop(self) -> None:
        """End all background work."""
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
        return self.currency.may_serve()

    # Operators

    async def commit(self, draft: ChangeDraft) -> ChangeReceipt:
        """Commit a change; see ``ConfigService.commit``."""
        async with self._lock:
            receipt = await self._commit_once(draft)
        if not draft.force:
            scope = self._scope_of(self.replica.config, draft)
            receipt.accepted = await self._wait_accepted(receipt.version, scope)
        return receipt

    async def _commit_once(self, draft: ChangeDraft) -> ChangeReceipt:
        row = await self._find_repeat(draft)
        if row is not None:
            return _repeat_receipt(draft, row)
        return await self._commit_new(draft)

    async def history(self, above: int, limit: int) -> list[Change]:
        """Return committed changes above a version, in order.

        Raises:
            StoreUnavailableError: They are not in memory and the store is down.
        """
        limit = min(limit, MAX_HISTORY)
        if above >= self.replica.version or self.replica.kept_row(above + 1):
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
        fault = self._holds.fault(hold) or name_fault(hold, known)
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

    # Peers

    def make_heartbeat(
        self,
        seq: int,
        echo: int,
        *,
        leaving: bool = False,
        demand: tuple[DemandEntry, ...] = (),
    ) -> Heartbeat:
        """Return a heartbeat with the state of the configuration."""
        return Heartbeat(
            seq,
            echo,
            self.replica.version,
            self.replica.digest_prefix,
            self.currency.confirmed_age_ms(),
            leaving=leaving,
            holds=len(self._holds),
            demand=demand,
        )

    def link_opened(self, peer: str) -> None:
        """Note a new link, and send it the holds."""
        self.currency.link_opened(peer)
        self._reports.forget(peer)
        self._send_holds(peer)

    def heartbeat_sent(self, peer: str, seq: int) -> None:
        """Note when a heartbeat is sent; call before it is written."""
        self.currency.heartbeat_sent(peer, seq)

    def heartbeat_received(self, peer: str, region: str, heartbeat: Heartbeat) -> None:
        """Take a heartbeat of a peer."""
        forked = self.replica.contradicts(heartbeat.version, heartbeat.digest)
        fresh = self.currency.heartbeat_received(
            peer, region, heartbeat, trusted=not forked
        )
        if not fresh:
            return
        if forked:
            self.counts["forks"] += 1
            return
        self._reports.reported(peer, heartbeat.version)
        if heartbeat.version > self.replica.version:
            self._ask(peer)
        if heartbeat.holds < len(self._holds):
            self._send_holds(peer)

    def message_received(self, peer: str, message: Message) -> None:
        """Take a ChangeRequest, Changes or Hold of a peer.

        A ChangeRequest is always answered, as a commit counts the answers.

        Raises:
            CrocusError: Code ``malformed_document`` or ``config_fork``.
        """
        if isinstance(message, ChangeRequest):
            self._reports.reported(peer, message.above)
            changes = self.replica.changes_above(message.above)
            self._send(peer, changes or Changes(message.above + 1, ()))
        elif isinstance(message, Changes):
            self._take_changes(peer, message)
        elif isinstance(message, Hold):
            self._holds.place(message)

    def set_listed(self, hosts: Sequence[ListedHost]) -> None:
        """Take the platform's host list; backend servers give their region only."""
        entries: dict[str, set[str]] = {}
        for host in hosts:
            if host.role == "entry":
                entries.setdefault(host.region, set()).add(host.name)
        self._regions = {host.name: host.region for host in hosts}
        self._listed = frozenset().union(*entries.values())
        self.currency.set_listed(entries)
        self._reports.set_listed(entries)

    # Commit

    async def _commit_new(self, draft: ChangeDraft) -> ChangeReceipt:
        config = self.replica.config
        self._require_base(draft)
        findings = validate_draft(config, draft)
        if findings:
            raise FindingsError(findings)
        scope = self._scope_of(config, draft)
        missing = self.currency.out_of_contact(scope)
        if not draft.force:
            await self._require_contact(scope)
            self._require_base(draft)
        row = encode_row(self._change_of(draft), self.replica.digest)
        done = await self._log.append(row)
        if done.repeated:
            return _repeat_receipt(draft, done.row)
        self._committed(row)
        return ChangeReceipt(row.version, missing=tuple(missing))

    async def _wait_accepted(self, version: int, scope: frozenset[str]) -> bool:
        """Wait until a majority of each region in scope has the version.

        Any group of hosts that goes on serving without a confirmation then contains
        a host that knows the version, so no link that breaks now can hide it.
        """
        end_s = self._timer.now() + ACCEPT_LIMIT_S
        while not self._reports.has_majority(version, self.replica.version, scope):
            if self._timer.now() >= end_s:
                return False
            await self._timer.sleep(ACCEPT_POLL_S)
        return True

    def _require_base(self, draft: ChangeDraft) -> None:
        version = self.replica.version
        if draft.base != version:
            raise ConflictError(
                f"the base is version {draft.base}, the current version is {version}"
            )

    async def _find_repeat(self, draft: ChangeDraft) -> ChangeRow | None:
        """Return the row that committed the change id earlier, or None."""
        row = self.replica.find_change_id(draft.change_id)
        if row is not None or draft.base == self.replica.version:
            return row
        await self._read_head()
        return self.replica.find_change_id(
            draft.change_id
        ) or await self._log.find_change_id(draft.change_id)

    def _change_of(self, draft: ChangeDraft) -> Change:
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
            regions |= handler_of(op).scope(scope, op)
        return regions

    async def _require_contact(self, scope: frozenset[str]) -> None:
        """Require fresh answers from a majority in each region in scope."""
        missing = self.currency.contact_missing(scope)
        if not missing:
            self._proof = ContactProof(self.currency, self._timer, scope)
            question = ChangeRequest(self.replica.version)
            try:
                missing = await self._proof.collect(lambda: self._broadcast(question))
            finally:
                self._proof = None
        if missing:
            raise CrocusError(
                "no contact with a majority of the entry hosts of a region; "
                f"missing: {', '.join(missing)}",
                code="region_unreachable",
            )

    def _committed(self, row: ChangeRow) -> None:
        try:
            self.replica.offer_row(row)
        except CrocusError as exc:
            self._background.failed(exc)
            return
        self._broadcast(Changes(row.version, (row.data,)))
        if row.version % SNAPSHOT_EVERY == 0:
            self._background.spawn(self._log.save_snapshot(self.replica.snapshot()))
            self.counts["snapshots"] += 1

    # Background work

    def _poll_due(self) -> None:
        self.currency.tick()
        if self._poll is None or self._poll.done():
            self._poll = self._background.spawn(self._read_head())

    async def _read_head(self) -> None:
        """Read the log above the version in force; at its end this confirms.

        Raises:
            StoreUnavailableError: The store cannot be read.
        """
        self.counts["polls"] += 1
        if self.replica.version == 0:
            await self._log.load(self.replica)
        while True:
            started_s = self._timer.now()
            rows = await self._log.fetch_above(self.replica.version)
            self.replica.offer(rows)
            if len(rows) < FETCH_LIMIT:
                break
        self.currency.confirmed_by_store(started_s)

    def _version_changed(self, old: FleetConfig, new: FleetConfig) -> None:
        self.currency.version_applied(new.version)
        self._holds.set_released(new.released_holds)

    def _ask(self, peer: str) -> None:
        now_s = self._timer.now()
        if now_s - self._asked_s >= REQUEST_PERIOD_S:
            self._asked_s = now_s
            self._send(peer, ChangeRequest(self.replica.version))

    def _take_changes(self, peer: str, message: Changes) -> None:
        if self._proof is not None:
            self._proof.answered(peer)
        advanced = self.replica.offer(message.rows)
        if advanced:
            # Tells the sender what is in force here, which a commit waits for, and
            # asks for what may still be missing.
            self._asked_s = self._timer.now()
            self._send(peer, ChangeRequest(self.replica.version))

    def _send_holds(self, peer: str) -> None:
        for hold in self._holds.active():
            self._send(peer, hold)

    def _spread_holds(self) -> None:
        for hold in self._holds.active():
            self._broadcast(hold)


def _repeat_receipt(draft: ChangeDraft, row: ChangeRow) -> ChangeReceipt:
    """Return the receipt of a repeated change id.

    Raises:
        FindingsError: The id was used for other operations.
    """
    if row.change.operations == draft.operations:
        return ChangeReceipt(row.version, repeated=True)
    place = SourceLocation("change", "change_id")
    message = f"{draft.change_id!r} was used for version {row.version}"
    raise FindingsError([Finding(place, "change_id_reused", message)])
