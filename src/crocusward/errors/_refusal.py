"""Refusals: error answers that state whether the request may have run."""

from enum import StrEnum

from ._errors import CrocusError


class Outcome(StrEnum):
    """Whether the request may have run, over all attempts under its key."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Attempt(StrEnum):
    """Whether this attempt may have reached a backend server."""

    NOT_SENT = "not-sent"
    MAYBE_SENT = "maybe-sent"


class RefusalCode(StrEnum):
    """Reason of a refusal."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_CONTRACT = "unknown_contract"
    UNKNOWN_SERVICE = "unknown_service"
    UNAUTHORISED = "unauthorised"
    WRONG_REGION = "wrong_region"
    CONFIG_UNCONFIRMED = "config_unconfirmed"
    STOPPING = "stopping"
    RATE_LIMITED = "rate_limited"
    TOO_MANY_IN_FLIGHT = "too_many_in_flight"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    NO_BACKEND = "no_backend"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    BACKEND_LOST = "backend_lost"
    ANSWER_TOO_LARGE = "answer_too_large"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    HOLDER_UNREACHABLE = "holder_unreachable"
    HOLDER_GONE = "holder_gone"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    KEY_IN_DOUBT = "key_in_doubt"
    KEY_ANSWERED = "key_answered"


STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.UNKNOWN_CONTRACT: 404,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.UNAUTHORISED: 401,
    RefusalCode.WRONG_REGION: 421,
    RefusalCode.CONFIG_UNCONFIRMED: 503,
    RefusalCode.STOPPING: 503,
    RefusalCode.RATE_LIMITED: 429,
    RefusalCode.TOO_MANY_IN_FLIGHT: 429,
    RefusalCode.QUEUE_FULL: 503,
    RefusalCode.QUEUE_TIMEOUT: 503,
    RefusalCode.NO_BACKEND: 503,
    RefusalCode.DEADLINE_EXCEEDED: 504,
    RefusalCode.BACKEND_LOST: 502,
    RefusalCode.ANSWER_TOO_LARGE: 502,
    RefusalCode.CLAIM_UNAVAILABLE: 503,
    RefusalCode.HOLDER_UNREACHABLE: 503,
    RefusalCode.HOLDER_GONE: 409,
    RefusalCode.KEY_EXPIRED: 409,
    RefusalCode.KEY_REUSED: 409,
    RefusalCode.KEY_IN_DOUBT: 409,
    RefusalCode.KEY_ANSWERED: 409,
}


class Refusal(CrocusError):
    """Refuses a request.

    Attributes:
        code: Reason, a :class:`RefusalCode`.
        reason: One-line human-readable explanation.
        outcome: Whether the request may have run, over all attempts under its key.
        attempt: Whether this attempt may have reached a backend server.
        retry_after_s: Delay after which to retry, in seconds, or None.
    """

    def __init__(
        self,
        code: RefusalCode,
        reason: str,
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        attempt: Attempt = Attempt.NOT_SENT,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(reason, code=code.value)
        self.reason = reason
        self.outcome = outcome
        self.attempt = attempt
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """HTTP status code."""
        return STATUS_BY_CODE[RefusalCode(self.code)]
