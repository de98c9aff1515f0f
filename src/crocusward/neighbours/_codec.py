"""CBOR encoding of the messages: arrays that start with the message number."""

import ipaddress
from typing import Any

import cbor2

from ..crashes import DIGEST_BYTES, CrashSummary
from ..desired import NO_ERA, NO_VERSION, EntryHost, TablePosition
from ..errors import CrocusError
from ._messages import (
    BackendObservation,
    CrashReport,
    Hello,
    HostReport,
    IdleSummary,
    MemberList,
    ObservationKind,
    RateLimitReport,
    SlotOffer,
    SlotRelease,
    SlotRequest,
)

HELLO = 1
MEMBER_LIST = 2
REPORT = 3
MS_PER_S = 1000.0
SLOT_REQUEST = 4
SLOT_OFFER = 5
IDLE_SUMMARY = 6
SLOT_RELEASE = 7
RATE_LIMITS = 8
CRASHES = 9
MAX_CRASH_AGE_MS = 86_400_000  # a day, longer than any crash is remembered
CRASH_ID_BYTES = 8
MAX_COUNT = 2**53  # up to here a float holds each integer
MAX_AGE_S = 1e9
MAX_COLD_S = 3600.0  # longer than any server takes to get warm
MAX_RATE_LIMIT_PER_S = 1e9  # above any value that a server may name

Message = (
    Hello
    | MemberList
    | HostReport
    | SlotRequest
    | SlotOffer
    | SlotRelease
    | IdleSummary
    | RateLimitReport
    | CrashReport
)


class MessageError(CrocusError):
    """A datagram is not a valid message of the protocol."""

    code = "malformed_message"


def encode_message(message: Message) -> bytes:
    """Encode a message as one datagram."""
    if isinstance(message, HostReport):
        return cbor2.dumps(_encode_report(message))
    if isinstance(message, Hello):
        return cbor2.dumps([HELLO, *_encode_host(message.host), message.known_count])
    if isinstance(message, SlotRequest):
        request: list[Any] = [
            SLOT_REQUEST,
            message.token,
            message.service,
            message.route,
            int(message.service_time_s * MS_PER_S),
            message.can_share,
            int(message.max_wait_s * MS_PER_S),
        ]
        if message.request_id:
            request.append(message.request_id)
        return cbor2.dumps(request)
    if isinstance(message, SlotRelease):
        return cbor2.dumps([SLOT_RELEASE, message.token])
    if isinstance(message, IdleSummary):
        return cbor2.dumps([IDLE_SUMMARY, message.group, message.idle])
    if isinstance(message, RateLimitReport):
        limits: list[Any] = [RATE_LIMITS, message.host, message.limits]
        if message.cold_left_s:
            limits.append(message.cold_left_s)
        return cbor2.dumps(limits)
    if isinstance(message, CrashReport):
        return cbor2.dumps(
            [CRASHES, message.host, [_encode_crashes(r) for r in message.requests]]
        )
    if isinstance(message, SlotOffer):
        offer: list[Any] = [
            SLOT_OFFER,
            message.token,
            message.backend,
            message.slowdown,
            message.in_flight,
        ]
        is_limited = message.permit_per_s > 0.0 or message.limit_age_s >= 0.0
        if message.retry_after_s > 0.0 or message.waited_s > 0.0 or is_limited:
            offer += [message.retry_after_s, int(message.waited_s * MS_PER_S)]
        if is_limited:
            offer += [message.permit_per_s, message.limit_per_s, message.limit_age_s]
        return cbor2.dumps(offer)
    hosts = [_encode_host(item) for item in message.hosts]
    return cbor2.dumps([MEMBER_LIST, hosts])


def _encode_crashes(item: CrashSummary) -> list[Any]:
    ages_ms = {id: int(s * MS_PER_S) for id, s in item.crash_ages_s.items()}
    if item.cleared_age_s is None:
        return [item.digest, ages_ms]
    return [item.digest, ages_ms, int(item.cleared_age_s * MS_PER_S)]


def _encode_host(item: EntryHost) -> list[str]:
    return [item.host, item.address, item.data_centre]


def _encode_report(msg: HostReport) -> list[Any]:
    observations = [
        [o.backend, int(o.kind), o.running, o.waiting, o.slowdown, o.cold_left_s]
        for o in msg.observations
    ]
    return [
        REPORT,
        msg.host,
        msg.incarnation,
        msg.data_centre,
        msg.seq,
        msg.store_age_s,
        {table: _encode_position(at) for table, at in msg.positions.items()},
        msg.is_leaving,
        msg.is_complete,
        msg.in_flight,
        msg.waiting,
        observations,
        [[item.group, item.idle] for item in msg.idle_summaries],
    ]


def _encode_position(position: TablePosition) -> int | list[int]:
    """Return the version alone for a store that names no era."""
    if position.era == NO_ERA:
        return position.version
    return [position.era, position.version]


def decode_message(data: bytes) -> Message:
    """Decode a datagram.

    Raises:
        MessageError: The datagram is malformed.
    """
    try:
        fields = cbor2.loads(data)
        kind = fields[0]
        if kind == REPORT:
            return _decode_report(fields)
        if kind == HELLO:
            return Hello(EntryHost(*_check_three_strings(fields[1:4])), int(fields[4]))
        if kind == SLOT_REQUEST:
            _, token, service, route, service_time_ms, can_share, wait_ms = fields[:7]
            request_id = fields[7] if len(fields) > 7 else ""
            _check_three_strings([service, route, request_id])
            return SlotRequest(
                int(token),
                service,
                route,
                int(service_time_ms) / MS_PER_S,
                bool(can_share),
                int(wait_ms) / MS_PER_S,
                request_id,
            )
        if kind == SLOT_RELEASE:
            return SlotRelease(int(fields[1]))
        if kind == IDLE_SUMMARY:
            return _decode_idle_summary(fields[1:])
        if kind == SLOT_OFFER:
            _, token, backend, slowdown, in_flight, *rest = fields
            _check_three_strings([backend, "", ""])
            return SlotOffer(
                int(token),
                backend,
                float(slowdown),
                int(in_flight),
                float(rest[0]) if rest else 0.0,
                int(rest[1]) / MS_PER_S if len(rest) > 1 else 0.0,
                *_check_offered_limit(rest[2:5]),
            )
        if kind == RATE_LIMITS:
            return _decode_rate_limits(fields[1:])
        if kind == CRASHES:
            _check_three_strings([fields[1], "", ""])
            return CrashReport(fields[1], [_decode_crashes(r) for r in fields[2]])
        if kind == MEMBER_LIST:
            return MemberList([_decode_host(item) for item in fields[1]])
    except (
        cbor2.CBORError,
        ValueError,
        TypeError,
        IndexError,
        KeyError,
        AttributeError,
        RecursionError,
        OverflowError,
    ) as exc:
        raise MessageError(f"malformed datagram: {type(exc).__name__}") from exc
    raise MessageError("unknown message number")


def _check_three_strings(values: Any) -> list[str]:
    if len(values) != 3 or not all(isinstance(value, str) for value in values):
        raise ValueError("expected three strings")
    return list(values)


def _decode_host(item: Any) -> EntryHost:
    host, address, data_centre = _check_three_strings(item)
    ipaddress.ip_address(address)
    return EntryHost(host, address, data_centre)


def _check_integer(value: Any, minimum: int) -> int:
    if type(value) is not int or not minimum <= value <= MAX_COUNT:
        raise ValueError("malformed integer")
    return value


def _check_number(value: Any, minimum: float, maximum: float) -> float:
    # False also for values that are not numbers.
    if type(value) not in (int, float) or not minimum <= value <= maximum:
        raise ValueError("malformed number")
    return float(value)


def _decode_report(fields: list[Any]) -> HostReport:
    _, host, incarnation, data_centre, seq, age_s, positions, *rest = fields
    is_leaving, is_complete, in_flight, waiting, observations, idle_summaries = rest
    _check_three_strings([host, data_centre, ""])
    return HostReport(
        host,
        _check_integer(incarnation, 0),
        data_centre,
        _check_integer(seq, 0),
        store_age_s=_check_number(age_s, -MAX_AGE_S, MAX_AGE_S),
        positions={str(k): _decode_position(v) for k, v in positions.items()},
        is_leaving=bool(is_leaving),
        is_complete=bool(is_complete),
        in_flight=_check_counts(in_flight),
        waiting=_check_counts(waiting),
        observations=[_decode_observation(item) for item in observations],
        idle_summaries=[_decode_idle_summary(item) for item in idle_summaries],
    )


def _decode_position(value: Any) -> TablePosition:
    era, version = value if isinstance(value, list) else (NO_ERA, value)
    if type(era) is not int or type(version) is not int:
        raise ValueError("malformed position")
    if era < NO_ERA or version < NO_VERSION:
        raise ValueError("malformed position")
    return TablePosition(era, version)


def _decode_idle_summary(item: list[Any]) -> IdleSummary:
    group, idle = item
    _check_three_strings([group, "", ""])
    return IdleSummary(group, _check_counts(idle))


def _check_offered_limit(fields: list[Any]) -> list[float]:
    """Return the last three fields of an offer; none from hosts that lack them."""
    if len(fields) < 3:
        return []
    permit_per_s, limit_per_s, age_s = fields
    return [
        _check_number(permit_per_s, 0.0, MAX_RATE_LIMIT_PER_S),
        _check_number(limit_per_s, 0.0, MAX_RATE_LIMIT_PER_S),
        _check_number(age_s, -1.0, MAX_AGE_S),
    ]


def _decode_rate_limits(fields: list[Any]) -> RateLimitReport:
    host, limits, *rest = fields
    _check_three_strings([host, "", ""])
    checked = {}
    for id, (per_s, age_s) in limits.items():
        # False also for values that are not numbers.
        if not (0.0 <= per_s <= MAX_RATE_LIMIT_PER_S and age_s >= 0.0):
            raise ValueError("malformed rate limit")
        checked[str(id)] = (float(per_s), float(age_s))
    cold_left_s = {
        str(id): _check_number(left_s, 0.0, MAX_COLD_S)
        for id, left_s in (rest[0].items() if rest else ())
    }
    return RateLimitReport(host, checked, cold_left_s)


def _decode_crashes(item: list[Any]) -> CrashSummary:
    digest, ages_ms, *cleared = item
    if not isinstance(digest, bytes) or len(digest) != DIGEST_BYTES or len(cleared) > 1:
        raise ValueError("malformed digest")
    for id in ages_ms:
        if not isinstance(id, bytes) or len(id) != CRASH_ID_BYTES:
            raise ValueError("malformed crash id")
    return CrashSummary(
        digest,
        {id: _check_age_s(age_ms) for id, age_ms in ages_ms.items()},
        _check_age_s(cleared[0]) if cleared else None,
    )


def _check_age_s(age_ms: Any) -> float:
    if type(age_ms) is not int or not 0 <= age_ms <= MAX_CRASH_AGE_MS:
        raise ValueError("malformed age")
    return age_ms / MS_PER_S


def _check_counts(items: Any, minimum: int = 0) -> dict[str, int]:
    for name, count in items.items():
        if not isinstance(name, str):
            raise ValueError("malformed name")
        _check_integer(count, minimum)
    return dict(items)


def _decode_observation(item: list[Any]) -> BackendObservation:
    backend, kind, running, waiting, slowdown, cold_left_s = item
    if not isinstance(backend, str):
        raise ValueError("malformed backend id")
    return BackendObservation(
        backend,
        ObservationKind(kind),
        _check_integer(running, -1),
        _check_integer(waiting, 0),
        _check_number(slowdown, 0.0, MAX_AGE_S),
        _check_number(cold_left_s, -1.0, MAX_AGE_S),
    )
