"""CBOR form of the messages. Each is an array that begins with its number."""

from typing import Any

import cbor2

from ..errors import CrocusError
from ._messages import (
    Hello,
    HostReport,
    Introduction,
    KnownHost,
    PlaceAsk,
    PlaceOffer,
    Sighting,
    SightingKind,
)

HELLO = 1
INTRODUCTION = 2
REPORT = 3
MS_PER_S = 1000.0
ASK = 4
OFFER = 5

Message = Hello | Introduction | HostReport | PlaceAsk | PlaceOffer


class MessageError(CrocusError):
    """A datagram is no message of the protocol."""

    code = "malformed_message"


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, HostReport):
        return cbor2.dumps(_report_fields(message))
    if isinstance(message, Hello):
        return cbor2.dumps([HELLO, message.host, message.address, message.data_centre])
    if isinstance(message, PlaceAsk):
        work_ms = int(message.work_s * MS_PER_S)
        return cbor2.dumps(
            [
                ASK,
                message.token,
                message.service,
                message.route,
                work_ms,
                message.shared,
            ]
        )
    if isinstance(message, PlaceOffer):
        return cbor2.dumps([OFFER, message.token, message.backend])
    hosts = [[item.host, item.address, item.data_centre] for item in message.hosts]
    return cbor2.dumps([INTRODUCTION, hosts])


def _report_fields(msg: HostReport) -> list[Any]:
    sightings = [
        [s.backend, int(s.kind), s.running, s.waiting, s.pace, s.cold_left_s]
        for s in msg.sightings
    ]
    return [
        REPORT,
        msg.host,
        msg.incarnation,
        msg.data_centre,
        msg.seq,
        msg.store_age_s,
        msg.versions,
        msg.leaving,
        msg.complete,
        msg.in_flight,
        msg.waiting,
        sightings,
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
            return Hello(*_texts(fields[1:4]))
        if kind == ASK:
            _, token, service, route, work_ms, shared = fields
            _texts([service, route, ""])
            work_s = int(work_ms) / MS_PER_S
            return PlaceAsk(int(token), service, route, work_s, bool(shared))
        if kind == OFFER:
            _, token, backend = fields
            _texts([backend, "", ""])
            return PlaceOffer(int(token), backend)
        if kind == INTRODUCTION:
            return Introduction([KnownHost(*_texts(item)) for item in fields[1]])
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
    leaving, complete, in_flight, waiting, sightings = rest
    _texts([host, data_centre, ""])
    return HostReport(
        host,
        int(incarnation),
        data_centre,
        int(seq),
        store_age_s=float(age_s),
        versions=_counts(versions, low=-1),
        leaving=bool(leaving),
        complete=bool(complete),
        in_flight=_counts(in_flight),
        waiting=_counts(waiting),
        sightings=[_decode_sighting(item) for item in sightings],
    )


def _counts(items: Any, low: int = 0) -> dict[str, int]:
    for name, count in items.items():
        if not isinstance(name, str) or type(count) is not int or count < low:
            raise ValueError("a count is malformed")
    return dict(items)


def _decode_sighting(item: list[Any]) -> Sighting:
    backend, kind, running, waiting, pace, cold_left_s = item
    if not isinstance(backend, str):
        raise ValueError("a backend id is malformed")
    return Sighting(
        backend,
        SightingKind(kind),
        int(running),
        int(waiting),
        float(pace),
        float(cold_left_s),
    )
