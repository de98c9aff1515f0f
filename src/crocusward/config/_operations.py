"""Registry of operation handlers: encoding, application and scope."""

from collections.abc import Callable
from typing import Any, Protocol

from ..errors import CrocusError
from ..model import Contract, DataCentre, FleetConfig
from ..registry import Registry
from ._change import (
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
from ._draft import ConfigDraft
from ._fields import ArrayReader, malformed
from ._records import (
    decode_contract,
    decode_customer,
    decode_data_centre,
    decode_service,
    decode_state,
    encode_contract,
    encode_customer,
    encode_data_centre,
    encode_service,
    encode_state,
)

RegionOf = Callable[[str], str | None]


class Scope:
    """Determines the regions that an operation affects.

    Args:
        config: Configuration to which the operation is applied.
        region_of_host: Returns the region of a listed host, or None.
        all_regions: Every region with a data centre or a listed entry host.
    """

    __slots__ = ("config", "region_of_host", "all_regions")

    def __init__(
        self,
        config: FleetConfig,
        region_of_host: RegionOf,
        all_regions: frozenset[str],
    ) -> None:
        self.config = config
        self.region_of_host = region_of_host
        self.all_regions = all_regions

    def of_host(self, name: str) -> frozenset[str]:
        """Return the region of a host, or all regions if it is not listed."""
        region = self.region_of_host(name)
        return self.all_regions if region is None else frozenset({region})

    def of_data_centre(self, data_centre: DataCentre | None) -> frozenset[str]:
        """Return the region of a data centre, or all if it is unknown."""
        if data_centre is None:
            return self.all_regions
        return frozenset({data_centre.region})

    def of_contract(self, contract: Contract | None) -> frozenset[str]:
        """Return the regions that serve a contract, or all if not limited."""
        if contract is None or not contract.home.serve:
            return self.all_regions
        regions = contract.home.serve
        for route in contract.routes:
            regions = regions | route.serve_regions
        return regions


class OperationHandler(Protocol):
    """Handler of one kind of operation."""

    kind: type[Operation]

    def encode(self, op: Any) -> list[Any]:
        """Return the fields of an operation as an array."""

    def decode(self, value: list[Any]) -> Operation:
        """Return the operation that has these fields."""

    def apply(self, draft: ConfigDraft, op: Any) -> None:
        """Apply the operation to a draft."""

    def scope(self, scope: Scope, op: Any) -> frozenset[str]:
        """Return the regions that the operation affects."""


OPERATIONS: Registry[OperationHandler] = Registry("operation")
_NAMES: dict[type[Operation], str] = {}


def _handles(name: str, kind: type[Operation]) -> Callable[[type], type]:
    def add(handler: type) -> type:
        instance = handler()
        instance.kind = kind
        OPERATIONS.register(name)(instance)
        _NAMES[kind] = name
        return handler

    return add


def find_handler(op: Operation) -> OperationHandler:
    """Return the handler of an operation."""
    return OPERATIONS.get(_NAMES[type(op)])


def encode_operation(op: Operation) -> list[Any]:
    """Return the array of an operation."""
    return [_NAMES[type(op)], *find_handler(op).encode(op)]


def decode_operation(value: object) -> Operation:
    """Return the operation of an array.

    Raises:
        CrocusError: Code ``malformed_document``; also for unknown operations.
    """
    if not isinstance(value, list) or not value or not isinstance(value[0], str):
        raise malformed("an operation must be an array that starts with its name")
    try:
        handler = OPERATIONS.get(value[0])
    except CrocusError as exc:
        raise malformed(str(exc)) from None
    return handler.decode(value[1:])


class _Handler:
    """Base handler: an operation affects every region."""

    kind: type[Operation] = Operation

    def scope(self, scope: Scope, op: Any) -> frozenset[str]:
        return scope.all_regions


class _NamedHandler(_Handler):
    """Base handler of operations whose only field is a name."""

    def encode(self, op: Any) -> list[Any]:
        return [op.name]

    def decode(self, value: list[Any]) -> Operation:
        build: Any = self.kind
        return build(ArrayReader(value, self.kind.__name__, 1).text("name"))


@_handles("ct", PutContract)
class _PutContract(_Handler):
    def encode(self, op: PutContract) -> list[Any]:
        return [encode_contract(op.contract)]

    def decode(self, value: list[Any]) -> Operation:
        fields = ArrayReader(value, "PutContract", 1)
        return PutContract(decode_contract(fields.array("contract")))

    def apply(self, draft: ConfigDraft, op: PutContract) -> None:
        draft.put_contract(op.contract)

    def scope(self, scope: Scope, op: PutContract) -> frozenset[str]:
        regions = scope.of_contract(op.contract)
        old = scope.config.contracts.get(op.contract.name)
        return regions if old is None else regions | scope.of_contract(old)


@_handles("ct-", DeleteContract)
class _DeleteContract(_NamedHandler):
    def apply(self, draft: ConfigDraft, op: DeleteContract) -> None:
        draft.delete_contract(op.name)

    def scope(self, scope: Scope, op: DeleteContract) -> frozenset[str]:
        return scope.of_contract(scope.config.contracts.get(op.name))


@_handles("cu", PutCustomer)
class _PutCustomer(_Handler):
    def encode(self, op: PutCustomer) -> list[Any]:
        return [encode_customer(op.customer)]

    def decode(self, value: list[Any]) -> Operation:
        fields = ArrayReader(value, "PutCustomer", 1)
        return PutCustomer(decode_customer(fields.array("customer")))

    def apply(self, draft: ConfigDraft, op: PutCustomer) -> None:
        draft.put_customer(op.customer)


@_handles("cu-", DeleteCustomer)
class _DeleteCustomer(_NamedHandler):
    def apply(self, draft: ConfigDraft, op: DeleteCustomer) -> None:
        draft.delete_customer(op.name)


@_handles("sv", PutService)
class _PutService(_Handler):
    def encode(self, op: PutService) -> list[Any]:
        return [encode_service(op.service)]

    def decode(self, value: list[Any]) -> Operation:
        fields = ArrayReader(value, "PutService", 1)
        return PutService(decode_service(fields.array("service")))

    def apply(self, draft: ConfigDraft, op: PutService) -> None:
        draft.put_service(op.service)


@_handles("sv-", DeleteService)
class _DeleteService(_NamedHandler):
    def apply(self, draft: ConfigDraft, op: DeleteService) -> None:
        draft.delete_service(op.name)


@_handles("dc", PutDataCentre)
class _PutDataCentre(_Handler):
    def encode(self, op: PutDataCentre) -> list[Any]:
        return [encode_data_centre(op.data_centre)]

    def decode(self, value: list[Any]) -> Operation:
        fields = ArrayReader(value, "PutDataCentre", 1)
        return PutDataCentre(decode_data_centre(fields.array("data_centre")))

    def apply(self, draft: ConfigDraft, op: PutDataCentre) -> None:
        draft.put_data_centre(op.data_centre)

    def scope(self, scope: Scope, op: PutDataCentre) -> frozenset[str]:
        regions = scope.of_data_centre(op.data_centre)
        old = scope.config.data_centres.get(op.data_centre.name)
        return regions if old is None else regions | scope.of_data_centre(old)


class _StateHandler(_Handler):
    """Base handler of operations with a name and a state."""

    def encode(self, op: Any) -> list[Any]:
        return [op.name, encode_state(op.state)]

    def decode(self, value: list[Any]) -> Operation:
        fields = ArrayReader(value, self.kind.__name__, 2)
        name = fields.text("name")
        build: Any = self.kind
        return build(name, decode_state(fields.flag("in")))


@_handles("dcs", SetDataCentreState)
class _SetDataCentreState(_StateHandler):
    def apply(self, draft: ConfigDraft, op: SetDataCentreState) -> None:
        old = draft.data_centres.get(op.name)
        if old is not None:
            draft.put_data_centre(DataCentre(old.name, old.region, op.state))

    def scope(self, scope: Scope, op: SetDataCentreState) -> frozenset[str]:
        return scope.of_data_centre(scope.config.data_centres.get(op.name))


@_handles("hs", SetHostState)
class _SetHostState(_StateHandler):
    def apply(self, draft: ConfigDraft, op: SetHostState) -> None:
        draft.set_host_state(op.name, op.state)

    def scope(self, scope: Scope, op: SetHostState) -> frozenset[str]:
        return scope.of_host(op.name)


@_handles("rh", ReleaseHold)
class _ReleaseHold(_Handler):
    def encode(self, op: ReleaseHold) -> list[Any]:
        return [op.hold_id]

    def decode(self, value: list[Any]) -> Operation:
        return ReleaseHold(ArrayReader(value, "ReleaseHold", 1).text("hold_id"))

    def apply(self, draft: ConfigDraft, op: ReleaseHold) -> None:
        draft.release_hold(op.hold_id)
