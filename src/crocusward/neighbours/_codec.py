"""CBOR form of the messages. Each is an array that begins with its number."""

from typing import Any

import cbor2

from ..desired import KnownHost
from ..errors import CrocusError
from ._messages import (
    Hello,
    HostReport,
    Introduction,
    LoadDigest,
    PlaceAsk,
    PlaceDone,
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
DIGEST = 6
DONE = 7

Message = (
    Hello | Introduction | HostReport | PlaceAsk | PlaceOffer | PlaceDone | LoadDigest
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
    if isinstance(message, PlaceAsk):
        return cbor2.dumps(
            [
                ASK,
                message.token,
                message.service,
                message.route,
                int(message.service_time_s * MS_PER_S),
                message.shared,
                int(message.wait_s * MS_PER_S),
            ]
        )
    if isinstance(message, PlaceDone):
        return cbor2.dumps([DONE, message.token])
    if isinstance(message, LoadDigest):
        return cbor2.dumps([DIGEST, message.data_centre, message.idle])
    if isinstance(message, PlaceOffer):
        return cbor2.dumps(
            [OFFER, message.token, message.backend, message.pace, message.in_flight]
        )
    hosts = [_host_fields(item) for item in message.hosts]
    return cbor2.dumps([INTRODUCTION, hosts])


def _host_fields(item: KnownHost) -> list[str]:
    return [item.host, item.address, item.data_centre]


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
        [[item.data_centre, item.idle] for item in msg.digests],
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
            return PlaceAsk(
                int(token),
                service,
                route,
                int(work_ms) / MS_PER_S,
                bool(shared),
                int(wait_ms) / MS_PER_S,
            )
        if kind == DONE:
            return PlaceDone(int(fields[1]))
        if kind == DIGEST:
            return _decode_digest(fields[1:])
        if kind == OFFER:
            _, token, backend, pace, in_flight = fields
            _texts([backend, "", ""])
            return PlaceOffer(int(token), backend, float(pace), int(in_flight))
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
    leaving, complete, in_flight, waiting, sightings, digests = rest
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
        digests=[_decode_digest(item) for item in digests],
    )


def _decode_digest(item: list[Any]) -> LoadDigest:
    data_centre, idle = item
    _texts([data_centre, "", ""])
    return LoadDigest(data_centre, _counts(idle))


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
