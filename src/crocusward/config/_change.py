"""Configuration changes and the operations they consist of."""

from ..model import Contract, Customer, DataCentre, Record, Service, ServiceState


class Operation(Record):
    """Base of all operations of a change."""

    __slots__ = ()


class PutContract(Operation):
    """Creates or replaces a contract."""

    __slots__ = ("contract",)

    def __init__(self, contract: Contract) -> None:
        self.contract = contract


class DeleteContract(Operation):
    """Deletes a contract."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class PutCustomer(Operation):
    """Creates or replaces a customer."""

    __slots__ = ("customer",)

    def __init__(self, customer: Customer) -> None:
        self.customer = customer


class DeleteCustomer(Operation):
    """Deletes a customer."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class PutService(Operation):
    """Creates or replaces a service."""

    __slots__ = ("service",)

    def __init__(self, service: Service) -> None:
        self.service = service


class DeleteService(Operation):
    """Deletes a service."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class PutDataCentre(Operation):
    """Creates or replaces a data centre."""

    __slots__ = ("data_centre",)

    def __init__(self, data_centre: DataCentre) -> None:
        self.data_centre = data_centre


class SetDataCentreState(Operation):
    """Takes a data centre out of service or back."""

    __slots__ = ("name", "state")

    def __init__(self, name: str, state: ServiceState) -> None:
        self.name = name
        self.state = state


class SetHostState(Operation):
    """Takes an entry host or a backend server out of service or back."""

    __slots__ = ("name", "state")

    def __init__(self, name: str, state: ServiceState) -> None:
        self.name = name
        self.state = state


class ReleaseHold(Operation):
    """Ends a hold that was placed without the store."""

    __slots__ = ("hold_id",)

    def __init__(self, hold_id: str) -> None:
        self.hold_id = hold_id


class ChangeDraft(Record):
    """A change requested by an operator.

    Attributes:
        change_id: Chosen by the operator; a change is committed once per id.
        base: Version that the change is based on.
        author: Name of the operator.
        operations: Operations to apply, in order.
        force: Commit even if a region in scope cannot be reached.
    """

    __slots__ = ("change_id", "base", "author", "operations", "force")

    def __init__(
        self,
        change_id: str,
        base: int,
        author: str,
        operations: tuple[Operation, ...],
        *,
        force: bool = False,
    ) -> None:
        self.change_id = change_id
        self.base = base
        self.author = author
        self.operations = operations
        self.force = force


class Change(Record):
    """A committed change.

    Attributes:
        version: Position in the log, from 1.
        change_id: Chosen by the operator.
        base: Version that the change was based on.
        author: Name of the operator.
        at_utc_s: Wall-clock time of the commit in seconds, for display only.
        operations: Applied operations, in order.
    """

    __slots__ = ("version", "change_id", "base", "author", "at_utc_s", "operations")

    def __init__(
        self,
        version: int,
        change_id: str,
        base: int,
        author: str,
        at_utc_s: int,
        operations: tuple[Operation, ...],
    ) -> None:
        self.version = version
        self.change_id = change_id
        self.base = base
        self.author = author
        self.at_utc_s = at_utc_s
        self.operations = operations
