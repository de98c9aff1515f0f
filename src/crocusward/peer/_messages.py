"""Messages of the peer protocol, version 1."""

from ..model import Call, Record, Reply

PROTOCOL_VERSION = 1


class Message(Record):
    """Base class of all messages."""

    __slots__ = ()


class Hello(Message):
    """First message on a link; ``mac`` proves knowledge of the shared key.

    Attributes:
        protocol: Protocol version.
        host: Name on the host list.
        region: Region name.
        data_centre: Data centre name.
        incarnation: Random number of this run of the daemon.
        nonce: Random bytes.
        mac: HMAC over both nonces and the fields above, empty in the first step.
    """

    __slots__ = (
        "protocol",
        "host",
        "region",
        "data_centre",
        "incarnation",
        "nonce",
        "mac",
    )

    def __init__(
        self,
        protocol: int,
        host: str,
        region: str,
        data_centre: str,
        incarnation: int,
        nonce: bytes,
        mac: bytes = b"",
    ) -> None:
        self.protocol = protocol
        self.host = host
        self.region = region
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.nonce = nonce
        self.mac = mac


class OfferedRate(Record):
    """Rate of requests offered for one contract at one host.

    Attributes:
        contract: Contract name.
        rate: Requests per second offered to this host.
    """

    __slots__ = ("contract", "rate")

    def __init__(self, contract: str, rate: float) -> None:
        self.contract = contract
        self.rate = rate


class Heartbeat(Message):
    """State of a host, sent about once a second.

    The receiver dates a confirmation by its own clock: ``echo`` is the last
    heartbeat of the receiver that had arrived when this one was sent, so this one
    is newer than that one, whatever the network delay.

    Attributes:
        seq: Counts the sender's heartbeats on this link, from 1.
        echo: Last ``seq`` received from the peer, or 0.
        version: Configuration version in force at the sender.
        digest: Prefix of the digest chain at that version.
        confirmed_age_ms: Age of the sender's own confirmation, or -1 for none.
        leaving: True if the sender is stopping.
        holds: Number of holds that the sender knows.
        offered_rates: Offered rates of the active contracts.
    """

    __slots__ = (
        "seq",
        "echo",
        "version",
        "digest",
        "confirmed_age_ms",
        "leaving",
        "holds",
        "offered_rates",
    )

    def __init__(
        self,
        seq: int,
        echo: int,
        version: int,
        digest: bytes,
        confirmed_age_ms: int,
        *,
        leaving: bool = False,
        holds: int = 0,
        offered_rates: tuple[OfferedRate, ...] = (),
    ) -> None:
        self.seq = seq
        self.echo = echo
        self.version = version
        self.digest = digest
        self.confirmed_age_ms = confirmed_age_ms
        self.leaving = leaving
        self.holds = holds
        self.offered_rates = offered_rates


class ChangeRequest(Message):
    """Requests the changes after a version.

    Attributes:
        above: Latest version of the sender.
    """

    __slots__ = ("above",)

    def __init__(self, above: int) -> None:
        self.above = above


class ChangeBatch(Message):
    """Encoded configuration changes in order of version.

    Attributes:
        first: Version of the first change.
        rows: Encoded changes, one for each version from ``first``.
    """

    __slots__ = ("first", "rows")

    def __init__(self, first: int, rows: tuple[bytes, ...]) -> None:
        self.first = first
        self.rows = rows


class Hold(Message):
    """A decision, made without the store, to take something out of service.

    Attributes:
        id: Unique id.
        kind: "data_centre", "host" or "backend".
        name: What is held out of service.
        author: Who made the decision.
    """

    __slots__ = ("id", "kind", "name", "author")

    def __init__(self, id: str, kind: str, name: str, author: str) -> None:
        self.id = id
        self.kind = kind
        self.name = name
        self.author = author


class BackendCold(Message):
    """Reports that the sender saw a backend server turn cold.

    Attributes:
        backend: Backend id.
        boot: Boot id last seen, or "".
    """

    __slots__ = ("backend", "boot")

    def __init__(self, backend: str, boot: str) -> None:
        self.backend = backend
        self.boot = boot


class SlowStartPermitRequest(Message):
    """Requests a slow-start permit for a cold backend server.

    The sender has requests for the server but is not its warming host.

    Attributes:
        backend: Backend id.
        asked_ms: Time on the sender's clock, in milliseconds.
    """

    __slots__ = ("backend", "asked_ms")

    def __init__(self, backend: str, asked_ms: int) -> None:
        self.backend = backend
        self.asked_ms = asked_ms


class SlowStartPermit(Message):
    """Hands slow start of a backend server over from its idle warming host.

    Attributes:
        backend: Backend id.
        host: Host that may warm the server for a limited time.
        asked_ms: ``asked_ms`` of that host's request, in milliseconds.
    """

    __slots__ = ("backend", "host", "asked_ms")

    def __init__(self, backend: str, host: str, asked_ms: int) -> None:
        self.backend = backend
        self.host = host
        self.asked_ms = asked_ms


class SlowStartAllowance(Record):
    """Slow-start allowance of one backend server.

    Attributes:
        backend: Backend id.
        boot: Boot id.
        allowance: Maximum requests in flight of the whole fleet at the server.
    """

    __slots__ = ("backend", "boot", "allowance")

    def __init__(self, backend: str, boot: str, allowance: int) -> None:
        self.backend = backend
        self.boot = boot
        self.allowance = allowance


class SlowStartReport(Message):
    """Reports slow-start allowances known to the sender.

    Attributes:
        entries: Servers whose allowance changed since the last report.
    """

    __slots__ = ("entries",)

    def __init__(self, entries: tuple[SlowStartAllowance, ...]) -> None:
        self.entries = entries


class RateLimitEntry(Record):
    """Rate limit of one backend server, as the sender knows it.

    Attributes:
        backend: Backend id.
        boot: Boot id that named the limit, or "".
        per_s: Requests per second that the server takes from all hosts together, 0.0
            if it names no limit any more.
        age_ms: Age of that knowledge, in milliseconds.
    """

    __slots__ = ("backend", "boot", "per_s", "age_ms")

    def __init__(self, backend: str, boot: str, per_s: float, age_ms: int) -> None:
        self.backend = backend
        self.boot = boot
        self.per_s = per_s
        self.age_ms = age_ms


class RateLimitReport(Message):
    """Reports rate limits of backend servers.

    Attributes:
        entries: Limits that changed, or all that are in force.
    """

    __slots__ = ("entries",)

    def __init__(self, entries: tuple[RateLimitEntry, ...]) -> None:
        self.entries = entries


class RateLimitPermitRequest(Message):
    """Requests permits for rate-limited backend servers from their coordinator.

    Attributes:
        backends: Backend ids.
        count: Number of permits wanted for each.
        asked_ms: Time at the sender, returned with the permits, in milliseconds.
    """

    __slots__ = ("backends", "count", "asked_ms")

    def __init__(self, backends: tuple[str, ...], count: int, asked_ms: int) -> None:
        self.backends = backends
        self.count = count
        self.asked_ms = asked_ms


class RateLimitPermit(Message):
    """Permits requests to a rate-limited backend server.

    Attributes:
        backend: Backend id.
        count: Number of requests.
        asked_ms: ``asked_ms`` of the request for them, in milliseconds.
    """

    __slots__ = ("backend", "count", "asked_ms")

    def __init__(self, backend: str, count: int, asked_ms: int) -> None:
        self.backend = backend
        self.count = count
        self.asked_ms = asked_ms


class ForwardRequest(Message):
    """Forwards a request to the holder of its idempotency key.

    Attributes:
        call: The request; its deadline is the time left, in seconds.
        issued: True if the receiver issued the key, False if it was claimed.
    """

    __slots__ = ("call", "issued")

    def __init__(self, call: Call, issued: bool) -> None:
        self.call = call
        self.issued = issued


class ForwardReply(Message):
    """Answer or refusal by the holder of a key.

    Attributes:
        reply: The whole answer, or None for a refusal.
        code: Refusal code, or "".
        reason: Refusal reason, or "".
        outcome: Refusal outcome, or "".
        attempt: Refusal attempt, or "".
    """

    __slots__ = ("reply", "code", "reason", "outcome", "attempt")

    def __init__(
        self,
        reply: Reply | None,
        code: str = "",
        reason: str = "",
        outcome: str = "",
        attempt: str = "",
    ) -> None:
        self.reply = reply
        self.code = code
        self.reason = reason
        self.outcome = outcome
        self.attempt = attempt


class OutcomeRequest(Message):
    """Requests the state of a key from its holder.

    Attributes:
        contract: Contract name.
        key: Idempotency key.
    """

    __slots__ = ("contract", "key")

    def __init__(self, contract: str, key: str) -> None:
        self.contract = contract
        self.key = key


class OutcomeReply(Message):
    """State of a key in its holder's ledger.

    Attributes:
        state: "unused", "sent", "answered" or "unknown".
        status: HTTP status of the answer, or 0.
    """

    __slots__ = ("state", "status")

    def __init__(self, state: str, status: int) -> None:
        self.state = state
        self.status = status
