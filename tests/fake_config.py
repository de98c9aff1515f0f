"""Fake in-memory configuration service and an administration service using it."""

import hashlib

from crocusward.burn import BurnReport, HostSnapshot, UnreachableHost
from crocusward.config import Change, ChangeReceipt, InForceReport
from crocusward.documents import ServiceCapacity
from crocusward.errors import ConflictError
from crocusward.model import Backend, Customer, DataCentre, FleetConfig, Service
from crocusward.server import AdminService, BackendStatus, FleetStatus, HostStatus
from crocusward.server._admin_changes import Preview
from crocusward.settings import AdminToken

TOKENS = {"mari": "operate-token-1", "arne": "read-token-2", "liis": "own-token-3"}
ROLES = {"mari": ("operate", ""), "arne": ("read", ""), "liis": ("own", "press")}


def admin_tokens():
    return tuple(
        AdminToken(
            name=name,
            role=ROLES[name][0],
            team=ROLES[name][1],
            sha256=hashlib.sha256(token.encode()).hexdigest(),
        )
        for name, token in TOKENS.items()
    )


class FakeConfig:
    """Stores the log in a list; commits raise ``failure`` if it is set."""

    def __init__(self):
        self.cfg = FleetConfig(
            customers={
                "guild": Customer("guild", "press"),
                "school": Customer("school", "sales"),
            },
            services={"tellimused": Service("tellimused")},
            data_centres={
                "tallinn-a": DataCentre("tallinn-a", "pohja"),
                "tartu-a": DataCentre("tartu-a", "louna"),
            },
        )
        self.log = []
        self.placed = []
        self.failure = None
        self.effect_before_failure = False
        self.missing = ()
        self.rivals = 0  # concurrent changes committed before the next commits

    def current(self):
        return self.cfg

    async def commit(self, draft):
        for change in self.log:
            if change.change_id == draft.change_id:
                return ChangeReceipt(change.version, repeated=True)
        if self.failure is not None and not self.effect_before_failure:
            raise self.failure
        if self.rivals:
            self.rivals -= 1
            self.log.append(Change(len(self.log) + 1, f"r{self.rivals}", 0, "x", 0, ()))
            self.cfg = Preview(self.cfg, ()).after
            self.cfg.version = len(self.log)
        if draft.base != self.cfg.version:
            raise ConflictError(f"base {draft.base} is not the current version")
        after = Preview(self.cfg, draft.operations).after
        after.version = len(self.log) + 1
        self.cfg = after
        change = Change(
            after.version,
            draft.change_id,
            draft.base,
            draft.author,
            0,
            draft.operations,
        )
        self.log.append(change)
        if self.failure is not None:
            raise self.failure
        return ChangeReceipt(after.version, missing=self.missing)

    async def history(self, above, limit):
        return self.log[above : above + limit]

    def in_force(self, version):
        return InForceReport(version, ("entry-1",), tuple(self.missing))

    def place_hold(self, hold):
        self.placed.append(hold)

    def holds(self):
        return self.placed


class FakeBurn:
    async def snapshot(self, region):
        return HostSnapshot("entry-1", "pohja", ())

    async def report(self):
        missing = (UnreachableHost("entry-9", "connection refused"),)
        return BurnReport("pohja", (300,), (), ("entry-1",), missing)


def fake_service(config):
    host = HostStatus("entry-1", "pohja", "tallinn-a", 0, 0.0)
    backends = [Backend("b1", "tellimused", "pohja", "tallinn-a", "127.0.0.1", 1)]

    def status():
        return FleetStatus(
            "entry-1",
            "pohja",
            config.cfg.version,
            True,
            hosts=(host,),
            backends=(BackendStatus("b1", "tellimused", "pohja", "tallinn-a", "warm"),),
        )

    return AdminService(
        config,
        FakeBurn(),
        status,
        lambda: ServiceCapacity(backends, {"tellimused": 0.01}),
        admin_tokens(),
    )


def contract_table(name="albums", customer="guild", **more):
    return {"name": name, "customer": customer, "services": ["tellimused"]} | {
        "limits": {"rate": 50, "burst": 10},
        **more,
    }


def change_table(*operations, base=0, change_id="c1", **more):
    return {"change_id": change_id, "base": base, "operations": list(operations)} | more


def put(name="albums", customer="guild", **more):
    return {"kind": "put_contract", "contract": contract_table(name, customer, **more)}


def out(name="tallinn-a"):
    return {"kind": "set_data_centre_state", "name": name, "state": "out"}
