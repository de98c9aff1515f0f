"""Idempotency keys: issuing, claiming, and the record of what was sent."""

from ._attempt import SendGuard
from ._claims import Claim, ClaimBatcher
from ._issuer import IssuedKey, KeyIssuer
from ._ledger import Ledger
from ._state import KeyState

__all__ = [
    "Claim",
    "ClaimBatcher",
    "IssuedKey",
    "KeyIssuer",
    "KeyState",
    "Ledger",
    "SendGuard",
]
