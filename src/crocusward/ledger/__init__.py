"""Idempotency keys: issuing, claims, and the state of requests sent under them."""

from ._claims import Claim, ClaimBatcher
from ._issuer import IssuedKey, KeyIssuer
from ._ledger import Ledger
from ._send_guard import SendGuard
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
