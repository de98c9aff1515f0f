"""Changes and operations as JSON tables, and their checks."""

from collections.abc import Callable, Iterable
from typing import Any

from ..config import (
    Change,
    DeleteContract,
    DeleteCustomer,
    DeleteService,
    Operation,
    PutContract,
    PutCustomer,
    PutDataCentre,
    PutService,
    ReleaseHold,
    SetDataCentreState,
    SetHostState,
)
from ..documents import (
    Difference,
    FindingList,
    Section,
    ServiceCapacity,
    Table,
    check_contract,
    decode_contract,
    decode_customer,
    decode_data_centre,
    decode_service,
    decode_state,
    encode_contract,
    encode_customer,
    encode_data_centre,
    encode_service,
    find_differences,
    read_name,
)
from ..errors import nearest_name
from ..model import DataCentre, FleetConfig, ServiceState
from ..registry import Registry

MAX_NAME_CHARS = 128

Decoder = Callable[[Section], Operation]

_DECODERS: Registry[Decoder] = Registry("operation")


def decode_operation(section: Section) -> Operation | None:
    """Return the operation of a table, or None if its kind is unknown."""
    kind = section.text("kind", choices=_DECODERS.names())
    if kind not in _DECODERS.names():
        return None
    operation = _DECODERS.get(kind)(section)
    section.finish()
    return operation


def encode_operation(operation: Operation) -> Table:
    """Return the table of an operation."""
    kind = _KINDS[type(operation)]
    table: Table = {"kind": kind}
    fields: tuple[str, ...] = type(operation).__slots__
    for name in fields:
        value: Any = getattr(operation, name)
        if name in _ENCODERS:
            table[name] = _ENCODERS[name](value)
        else:
            table[name] = value.value if isinstance(value, ServiceState) else value
    return table


def encode_change(change: Change) -> Table:
    """Return the table of a committed change."""
    return {
        "version": change.version,
        "change_id": change.change_id,
        "base": change.base,
        "author": change.author,
        "at_utc_s": change.at_utc_s,
        "operations": [encode_operation(item) for item in change.operations],
    }


@_DECODERS.register("put_contract")
def _put_contract(section: Section) -> Operation:
    return PutContract(decode_contract(section.section("contract")))


@_DECODERS.register("delete_contract")
def _delete_contract(section: Section) -> Operation:
    return DeleteContract(read_name(section))


@_DECODERS.register("put_customer")
def _put_customer(section: Section) -> Operation:
    return PutCustomer(decode_customer(section.section("customer")))


@_DECODERS.register("delete_customer")
def _delete_customer(section: Section) -> Operation:
    return DeleteCustomer(read_name(section))


@_DECODERS.register("put_service")
def _put_service(section: Section) -> Operation:
    return PutService(decode_service(section.section("service")))


@_DECODERS.register("delete_service")
def _delete_service(section: Section) -> Operation:
    return DeleteService(read_name(section))


@_DECODERS.register("put_data_centre")
def _put_data_centre(section: Section) -> Operation:
    return PutDataCentre(decode_data_centre(section.section("data_centre")))


@_DECODERS.register("set_data_centre_state")
def _set_data_centre_state(section: Section) -> Operation:
    return SetDataCentreState(read_name(section), decode_state(section))


@_DECODERS.register("set_host_state")
def _set_host_state(section: Section) -> Operation:
    name = section.text("name", pattern=rf"\S{{1,{MAX_NAME_CHARS}}}")
    return SetHostState(name, decode_state(section))


@_DECODERS.register("release_hold")
def _release_hold(section: Section) -> Operation:
    return ReleaseHold(section.text("hold_id", pattern=rf"\S{{1,{MAX_NAME_CHARS}}}"))


_KINDS: dict[type[Operation], str] = {
    PutContract: "put_contract",
    DeleteContract: "delete_contract",
    PutCustomer: "put_customer",
    DeleteCustomer: "delete_customer",
    PutService: "put_service",
    DeleteService: "delete_service",
    PutDataCentre: "put_data_centre",
    SetDataCentreState: "set_data_centre_state",
    SetHostState: "set_host_state",
    ReleaseHold: "release_hold",
}
_ENCODERS: dict[str, Callable[[Any], Table]] = {
    "contract": encode_contract,
    "customer": encode_customer,
    "service": encode_service,
    "data_centre": encode_data_centre,
}


class Preview:
    """The configuration as it would be after some operations.

    Args:
        cfg: The configuration now.
        operations: Operations in order.
    """

    __slots__ = ("before", "after")

    def __init__(self, cfg: FleetConfig, operations: Iterable[Operation]) -> None:
        self.before = cfg
        self.after = FleetConfig(
            cfg.version,
            contracts=dict(cfg.contracts),
            customers=dict(cfg.customers),
            services=dict(cfg.services),
            data_centres=dict(cfg.data_centres),
            hosts_out=cfg.hosts_out,
        )
        for operation in operations:
            self._apply(operation)

    def differences(self) -> list[Difference]:
        """Return every field that changes."""
        found: list[Difference] = []
        for kind, encode in (
            ("data_centres", encode_data_centre),
            ("services", encode_service),
            ("customers", encode_customer),
            ("contracts", encode_contract),
        ):
            old: dict[str, Any] = getattr(self.before, kind)
            new: dict[str, Any] = getattr(self.after, kind)
            for name in sorted(old.keys() | new.keys()):
                before = encode(old[name]) if name in old else None
                after = encode(new[name]) if name in new else None
                found += find_differences(f"{kind}.{name}", before, after)
        before_out = {"hosts_out": sorted(self.before.hosts_out)}
        after_out = {"hosts_out": sorted(self.after.hosts_out)}
        return found + find_differences("fleet", before_out, after_out)

    def _apply(self, operation: Operation) -> None:
        after: Any = self.after
        match operation:
            case PutContract(contract=item):
                after.contracts[item.name] = item
            case PutCustomer(customer=item):
                after.customers[item.name] = item
            case PutService(service=item):
                after.services[item.name] = item
            case PutDataCentre(data_centre=item):
                after.data_centres[item.name] = item
            case DeleteContract(name=name):
                after.contracts.pop(name, None)
            case DeleteCustomer(name=name):
                after.customers.pop(name, None)
            case DeleteService(name=name):
                after.services.pop(name, None)
            case SetDataCentreState(name=name, state=state):
                if name in after.data_centres:
                    region = after.data_centres[name].region
                    after.data_centres[name] = DataCentre(name, region, state)
            case SetHostState(name=name, state=ServiceState.OUT):
                after.hosts_out = after.hosts_out | {name}
            case SetHostState(name=name):
                after.hosts_out = after.hosts_out - {name}


def check_operations(
    operations: Iterable[Operation],
    preview: Preview,
    supply: ServiceCapacity,
    known_hosts: Iterable[str],
    known_holds: Iterable[str],
    findings: FindingList,
) -> None:
    """Add a finding for each operation that names nothing or cannot be met."""
    before, after = preview.before, preview.after
    hosts = set(known_hosts) | before.hosts_out
    for index, operation in enumerate(operations):
        path = f"operations[{index}]"
        match operation:
            case PutContract(contract=contract):
                path = f"{path}.contract"
                check_contract(contract, after, supply, findings, path)
            case DeleteContract(name=name):
                _known(name, before.contracts, findings, path)
            case DeleteCustomer(name=name):
                if _known(name, before.customers, findings, path):
                    users = [
                        c.name for c in after.contracts.values() if c.customer == name
                    ]
                    _unused(users, findings, path)
            case DeleteService(name=name):
                if _known(name, before.services, findings, path):
                    users = [
                        c.name for c in after.contracts.values() if name in c.services
                    ]
                    _unused(users, findings, path)
            case SetDataCentreState(name=name):
                _known(name, after.data_centres, findings, path)
            case SetHostState(name=name):
                _known(name, hosts, findings, path)
            case ReleaseHold(hold_id=hold_id):
                _known(hold_id, known_holds, findings, path, "hold_id")


def _known(
    name: str,
    known: Iterable[str],
    findings: FindingList,
    path: str,
    key: str = "name",
) -> bool:
    names = list(known)
    if name in names:
        return True
    near = nearest_name(name, names)
    hint = f"; did you mean {near!r}?" if near else ""
    findings.add(f"{path}.{key}", "unknown_name", f"{name!r} does not exist{hint}")
    return False


def _unused(users: list[str], findings: FindingList, path: str) -> None:
    if users:
        message = f"still used by contracts {', '.join(sorted(users))}"
        findings.add(f"{path}.name", "in_use", message)
