"""Who may do what with the administration API."""

import hashlib
import hmac
from collections.abc import Iterable, Sequence

from ..config import DeleteContract, Operation, PutContract
from ..errors import CrocusError
from ..model import FleetConfig
from ..settings import AdminToken

SCHEME = b"bearer "


def find_operator(header: bytes, tokens: Sequence[AdminToken]) -> AdminToken:
    """Return the token entry for an ``Authorization`` header.

    Raises:
        CrocusError: Code ``unauthorised``: no known bearer token.
    """
    found: AdminToken | None = None
    if header[: len(SCHEME)].lower() == SCHEME:
        digest = hashlib.sha256(header[len(SCHEME) :].strip()).hexdigest()
        for token in tokens:
            if hmac.compare_digest(token.sha256, digest):
                found = token
    if found is None:
        raise CrocusError("a valid bearer token is required", code="unauthorised")
    return found


def check_may_operate(operator: AdminToken) -> None:
    """Allow only the role ``operate``.

    Raises:
        CrocusError: Code ``forbidden``.
    """
    if operator.role != "operate":
        message = f"{operator.name} has the role {operator.role}, needs operate"
        raise CrocusError(message, code="forbidden")


def check_may_change(
    operator: AdminToken,
    operations: Iterable[Operation],
    before: FleetConfig,
    after: FleetConfig,
) -> None:
    """Allow a change by the role of the operator.

    The role ``own`` may change contracts whose customer belongs to its team, before
    and after the change, and nothing else.

    Raises:
        CrocusError: Code ``forbidden``.
    """
    if operator.role == "operate":
        return
    if operator.role != "own":
        check_may_operate(operator)
    for operation in operations:
        if isinstance(operation, PutContract):
            name = operation.contract.name
            customers = {operation.contract.customer}
        elif isinstance(operation, DeleteContract):
            name = operation.name
            customers = set()
        else:
            message = f"team {operator.team} may change only its own contracts"
            raise CrocusError(message, code="forbidden")
        old = before.contracts.get(name)
        if old is not None:
            customers.add(old.customer)
        for customer in customers:
            _check_team(operator, customer, name, after)


def _check_team(
    operator: AdminToken, customer: str, contract: str, cfg: FleetConfig
) -> None:
    entry = cfg.customers.get(customer)
    if entry is None or entry.team != operator.team:
        message = f"contract {contract!r} does not belong to team {operator.team}"
        raise CrocusError(message, code="forbidden")
