"""Exception hierarchy."""


class CrocusError(Exception):
    """Base of all errors raised by crocusward.

    Attributes:
        code: Stable error code.
    """

    code = "internal"

    def __init__(self, message: str, *, code: str | None = None) -> None:
        super().__init__(message)
        if code is not None:
            self.code = code


class NotSentError(CrocusError):
    """No byte of the request was written, so it cannot have run."""

    code = "not_sent"


class ExchangeLostError(CrocusError):
    """The request was written at least in part and no complete answer arrived.

    Attributes:
        reused: True if the connection had served an earlier request.
        idle_s: Idle time of the connection before the request, in seconds.
        was_reset: True if the connection broke with an error, rather than in order.
        exchange_number: Number of the exchange on its connection, from 1.
        skipped_answers: Number of answers to other requests that came before the end.
    """

    code = "exchange_lost"
    reused = False
    exchange_number = 0
    skipped_answers = 0
    idle_s = 0.0
    was_reset = False


class ConflictError(CrocusError):
    """The precondition of a conditional write failed; it had no effect."""

    code = "conflict"


class StoreUnavailableError(CrocusError):
    """The platform's store is unreachable and the call had no effect."""

    code = "store_unavailable"


class StoreUncertainError(CrocusError):
    """The platform's store did not answer; whether a write took effect is unknown."""

    code = "store_uncertain"


class PeerUnreachableError(CrocusError):
    """No link to the named incarnation exists, or the link broke.

    Attributes:
        sent: True if the message may have reached the peer.
        gone: True if the peer's address now belongs to another incarnation.
    """

    code = "peer_unreachable"

    def __init__(self, message: str, *, sent: bool, gone: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.gone = gone
