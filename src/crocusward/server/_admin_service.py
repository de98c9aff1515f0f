"""What the administration API does, apart from HTTP."""

from collections.abc import Callable, Mapping
from typing import Protocol

from ..burn import BurnReport, HostSnapshot
from ..config import Change, ChangeDraft, ConfigService, Operation
from ..documents import FindingList, Section, ServiceCapacity, Table
from ..errors import CrocusError, FindingsError, nearest_name
from ..logs import log_event
from ..peer import Hold
from ..settings import AdminToken
from ._admin_access import check_may_change
from ._admin_changes import (
    Preview,
    check_operations,
    decode_operation,
    encode_change,
    encode_operation,
)
from ._admin_status import FleetStatus

MAX_CHANGES = 500  # changes in one answer
MAX_HISTORY_SCAN = 5_000  # about three days at 1,700 changes a day
CHANGE_ID = r"[\w.:@-]{1,64}"
HOLD_KINDS = ("data_centre", "host", "backend")
# Faults that depend on which backend servers are up now. An operator who sets
# ``force`` may accept them, for example while a data centre is lost.
FORCIBLE_CODES = frozenset({"no_backend", "over_capacity"})


class BurnSource(Protocol):
    """Gives burn snapshots and reports."""

    async def snapshot(self, region: str) -> HostSnapshot:
        """Return the counts of this host that a region may see."""

    async def report(self) -> BurnReport:
        """Return the merged report for the region of this host."""


class AdminService:
    """What the administration API works on.

    Args:
        config: Reads and changes the configuration.
        burn: Gives burn snapshots and reports.
        status: Returns the fleet as seen from this host.
        supply: Returns what backend servers can do.
        tokens: Bearer tokens.
    """

    __slots__ = ("config", "burn", "status", "supply", "tokens")

    def __init__(
        self,
        config: ConfigService,
        burn: BurnSource,
        status: Callable[[], FleetStatus],
        supply: Callable[[], ServiceCapacity],
        tokens: tuple[AdminToken, ...],
    ) -> None:
        self.config = config
        self.burn = burn
        self.status = status
        self.supply = supply
        self.tokens = tokens

    async def change(self, table: Mapping[str, object], operator: AdminToken) -> Table:
        """Commit a change, or show what it would do.

        Raises:
            FindingsError: The change has faults.
            CrocusError: See ``STATUS_BY_CODE``.
        """
        findings = FindingList("request")
        section = Section(table, findings)
        dry_run = section.boolean("dry_run", False)
        draft = _decode_draft(section, operator)
        findings.raise_if_any()
        cfg = self.config.current()
        preview = Preview(cfg, draft.operations)
        check_may_change(operator, draft.operations, cfg, preview.after)
        if dry_run:
            self._check(draft, preview, findings)
            return _dry_run_table(draft, preview, findings)
        if draft.base > cfg.version:
            raise CrocusError(f"base {draft.base} is not known here", code="behind")
        # A draft with an older base is a conflict or the repetition of a committed
        # change, which must get its first answer; the log decides which.
        if draft.base == cfg.version:
            self._check(draft, preview, findings)
            if draft.force:
                findings.drop(FORCIBLE_CODES)
            findings.raise_if_any()
        return await self._commit(draft)

    async def _commit(self, draft: ChangeDraft) -> Table:
        receipt = await self.config.commit(draft)
        log_event(
            "change_committed",
            version=receipt.version,
            author=draft.author,
            change_id=draft.change_id,
            forced=draft.force,
            repeated=receipt.repeated,
        )
        return {
            "version": receipt.version,
            "repeated": receipt.repeated,
            "accepted": receipt.accepted,
            "missing": list(receipt.missing),
        }

    def _check(
        self, draft: ChangeDraft, preview: Preview, findings: FindingList
    ) -> None:
        status = self.status()
        hosts = [item.name for item in status.hosts]
        hosts += [item.id for item in status.backends]
        holds = [item.id for item in self.config.holds()]
        check_operations(
            draft.operations, preview, self.supply(), hosts, holds, findings
        )

    def place_hold(self, table: Mapping[str, object], operator: AdminToken) -> Table:
        """Place a hold; a repeated id has one effect.

        Raises:
            FindingsError: The request has faults.
        """
        findings = FindingList("request")
        section = Section(table, findings)
        hold = Hold(
            section.text("id", pattern=CHANGE_ID, expected="a short id"),
            section.text("kind", choices=HOLD_KINDS),
            section.text("name", pattern=r"\S{1,128}"),
            operator.name,
        )
        section.finish()
        status = self.status()
        known = {
            "data_centre": list(self.config.current().data_centres),
            "host": [item.name for item in status.hosts],
            "backend": [item.id for item in status.backends],
        }.get(hold.kind, [])
        if hold.name and hold.kind in HOLD_KINDS and hold.name not in known:
            near = nearest_name(hold.name, known)
            hint = f"; did you mean {near!r}?" if near else ""
            section.add("name", "unknown_name", f"{hold.name!r} does not exist{hint}")
        findings.raise_if_any()
        if hold.id not in {item.id for item in self.config.holds()}:
            self.config.place_hold(hold)
            log_event(
                "hold_placed",
                id=hold.id,
                kind=hold.kind,
                name=hold.name,
                author=hold.author,
            )
        return hold_table(hold)

    async def contract_history(self, name: str) -> Table:
        """Return the recent changes that touched a contract, newest last."""
        current = self.config.current().version
        above = start = max(0, current - MAX_HISTORY_SCAN)
        found: list[Table] = []
        while above < current:
            changes = await self.config.history(above, MAX_CHANGES)
            if not changes:
                break
            above = changes[-1].version
            found += [encode_change(item) for item in changes if _touches(item, name)]
        return {"contract": name, "above": start, "changes": found}


def _decode_draft(section: Section, operator: AdminToken) -> ChangeDraft:
    operations: list[Operation] = []
    tables = section.sections("operations")
    if not tables:
        section.add("operations", "missing", "at least one operation is required")
    for item in tables:
        operation = decode_operation(item)
        if operation is not None:
            operations.append(operation)
    draft = ChangeDraft(
        section.text("change_id", pattern=CHANGE_ID, expected="a short id"),
        section.integer("base", low=0, high=2**53),
        operator.name,
        tuple(operations),
        force=section.boolean("force", False),
    )
    section.finish()
    return draft


def _touches(change: Change, contract: str) -> bool:
    for operation in change.operations:
        table = encode_operation(operation)
        inner = table.get("contract")
        if isinstance(inner, dict) and inner["name"] == contract:
            return True
        if table["kind"] == "delete_contract" and table["name"] == contract:
            return True
    return False


def _dry_run_table(
    draft: ChangeDraft, preview: Preview, findings: FindingList
) -> Table:
    return {
        "base": draft.base,
        "current": preview.before.version,
        "conflict": draft.base != preview.before.version,
        "differences": [
            {"path": item.path, "before": item.before, "after": item.after}
            for item in preview.differences()
        ],
        "findings": findings_table(FindingsError(findings.items)),
    }


def hold_table(hold: Hold) -> Table:
    return {name: getattr(hold, name) for name in hold.__slots__}


def findings_table(exc: FindingsError) -> list[Table]:
    return [
        {
            "path": item.location.path,
            "line": item.location.line,
            "code": item.code,
            "message": item.message,
        }
        for item in exc.findings
    ]
