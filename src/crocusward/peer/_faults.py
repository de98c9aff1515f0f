"""Error codes of links between peers."""

from enum import StrEnum

from ..errors import CrocusError


class LinkFault(StrEnum):
    """Why a link was closed; the values are stable."""

    MALFORMED = "malformed"
    UNKNOWN_TYPE = "unknown_type"
    UNKNOWN_VERSION = "unknown_version"
    TOO_LARGE = "too_large"
    BAD_FIELD = "bad_field"
    UNEXPECTED = "unexpected_message"
    BAD_ECHO = "bad_echo"
    AUTH_FAILED = "auth_failed"
    WRONG_HOST = "wrong_host"
    OWN_NAME = "own_name"
    INCARNATION_GONE = "incarnation_gone"
    BUSY = "busy"
    SLOW_READER = "slow_reader"
    IDLE = "idle"
    REPLACED = "replaced"
    LOST = "lost"
    STOPPING = "stopping"
    INTERNAL = "internal"


class PeerProtocolError(CrocusError):
    """A peer violated the protocol.

    Attributes:
        fault: Kind of violation; its value is the ``code``.
    """

    def __init__(self, fault: LinkFault, message: str) -> None:
        super().__init__(message, code=fault.value)
        self.fault = fault
