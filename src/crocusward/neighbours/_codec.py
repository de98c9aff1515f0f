"""CBOR form of the messages. Each is an array that begins with its number."""

from typing import Any

import cbor2

from ..desired import KnownHost
from ..errors import CrocusError
from ._messages import (
    BackendObservation,
    Hello,
    HostReport,
    IdleSummary,
    MemberList,
    ObservationKind,
    SlotOffer,
    SlotRelease,
    SlotRequest,
)

HELLO = 1
INTRODUCTION = 2
REPORT = 3
MS_PER_S = 1000.0
ASK = 4
OFFER = 5
DIGEST = 6
DONE = 7

Message = (
    Hello
    | MemberList
    | HostReport
    | SlotRequest
    | SlotOffer
    | SlotRelease
    | IdleSummary
)


class MessageError(CrocusError):
    """A datagram is no message of the protocol."""

    code = "malformed_message"


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, HostReport):
        return cbor2.dumps(_report_fields(message))
    if isinstance(message, Hello):
        return cbor2.dumps([HELLO, *_host_fields(message.host), message.known])
    if isinstance(message, SlotRequest):
        return cbor2.dumps(
            [
                ASK,
                message.token,
                message.service,
                message.route,
                int(message.work_s * MS_PER_S),
                message.shared,
                int(message.wait_s * MS_PER_S),
            ]
        )
    if isinstance(message, SlotRelease):
        return cbor2.dumps([DONE, message.token])
    if isinstance(message, IdleSummary):
        return cbor2.dumps([DIGEST, message.data_centre, message.idle])
    if isinstance(message, SlotOffer):
        return cbor2.dumps(
            [OFFER, message.token, message.backend, message.slowdown, message.in_flight]
        )
    hosts = [_host_fields(item) for item in message.hosts]
    return cbor2.dumps([INTRODUCTION, hosts])


def _host_fields(item: KnownHost) -> list[str]:
    return [item.host, item.address, item.data_centre]


def _report_fields(msg: HostReport) -> list[Any]:
    observations = [
        [s.backend, int(s.kind), s.running, s.waiting, s.slowdown, s.cold_left_s]
        for s in msg.observations
    ]
    return [
        REPORT,
        msg.host,
        msg.incarnation,
        msg.data_centre,
        msg.seq,
        msg.store_age_s,
        msg.versions,
        msg.is_leaving,
        msg.is_complete,
        msg.in_flight,
        msg.waiting,
        observations,
        [[item.data_centre, item.idle] for item in msg.idle_summaries],
    ]


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
            return Hello(KnownHost(*_texts(fields[1:4])), int(fields[4]))
        if kind == ASK:
            _, token, service, route, work_ms, shared, wait_ms = fields
            _texts([service, route, ""])
            return SlotRequest(
                int(token),
                service,
                route,
                int(work_ms) / MS_PER_S,
                bool(shared),
                int(wait_ms) / MS_PER_S,
            )
        if kind == DONE:
            return SlotRelease(int(fields[1]))
        if kind == DIGEST:
            return _decode_digest(fields[1:])
        if kind == OFFER:
            _, token, backend, slowdown, in_flight = fields
            _texts([backend, "", ""])
            return SlotOffer(int(token), backend, float(slowdown), int(in_flight))
        if kind == INTRODUCTION:
            return MemberList([KnownHost(*_texts(item)) for item in fields[1]])
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
    raise MessageError("a datagram of an unknown kind")


def _texts(values: Any) -> list[str]:
    if len(values) != 3 or not all(isinstance(value, str) for value in values):
        raise ValueError("three texts are needed")
    return list(values)


def _decode_report(fields: list[Any]) -> HostReport:
    _, host, incarnation, data_centre, seq, age_s, versions, *rest = fields
    is_leaving, is_complete, in_flight, waiting, observations, idle_summaries = rest
    _texts([host, data_centre, ""])
    return HostReport(
        host,
        int(incarnation),
        data_centre,
        int(seq),
        store_age_s=float(age_s),
        versions=_counts(versions, low=-1),
        is_leaving=bool(is_leaving),
        is_complete=bool(is_complete),
        in_flight=_counts(in_flight),
        waiting=_counts(waiting),
        observations=[_decode_sighting(item) for item in observations],
        idle_summaries=[_decode_digest(item) for item in idle_summaries],
    )


def _decode_digest(item: list[Any]) -> IdleSummary:
    data_centre, idle = item
    _texts([data_centre, "", ""])
    return IdleSummary(data_centre, _counts(idle))


def _counts(items: Any, low: int = 0) -> dict[str, int]:
    for name, count in items.items():
        if not isinstance(name, str) or type(count) is not int or count < low:
            raise ValueError("a count is malformed")
    return dict(items)


def _decode_sighting(item: list[Any]) -> BackendObservation:
    backend, kind, running, waiting, slowdown, cold_left_s = item
    if not isinstance(backend, str):
        raise ValueError("a backend id is malformed")
    return BackendObservation(
        backend,
        ObservationKind(kind),
        int(running),
        int(waiting),
        float(slowdown),
        float(cold_left_s),
    )
