"""Request pipeline: admission, idempotency keys, attempts and retries."""

from ._attempts import AttemptRunner, AttemptTrace
from ._dispatcher import Dispatcher
from ._interface import CallRecorder, PeerNetwork
from ._keyed import KeyedRunner

__all__ = [
    "AttemptRunner",
    "AttemptTrace",
    "CallRecorder",
    "Dispatcher",
    "KeyedRunner",
    "PeerNetwork",
]
