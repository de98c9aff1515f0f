"""Codec and offered rates of the peer protocol."""

import random
import string
import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusward.model import Call, Reply
from crocusward.peer import (
    BackendCold,
    ChangeBatch,
    ChangeRequest,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    Hello,
    Hold,
    LinkFault,
    OfferedRate,
    OutcomeReply,
    OutcomeRequest,
    PeerProtocolError,
    SlowStartAllowance,
    SlowStartPermit,
    SlowStartPermitRequest,
    SlowStartReport,
    decode,
    encode,
)
from crocusward.peer._offered_rates import OfferedRateReceiver, OfferedRateSender

NAMES = st.text(max_size=40)
COUNTS = st.integers(0, (1 << 64) - 1)
BLOBS = st.binary(max_size=64)
HEADERS = st.lists(st.tuples(BLOBS, BLOBS), max_size=4)
SECONDS = st.floats(0, 86_400)
CALLS = st.builds(
    Call,
    NAMES,
    NAMES,
    NAMES,
    NAMES,
    NAMES,
    headers=HEADERS,
    body=BLOBS,
    key=NAMES,
    deadline_s=SECONDS,
    depth=st.integers(0, 29),
)
REPLIES = st.builds(
    Reply, NAMES, st.integers(100, 599), HEADERS, BLOBS, NAMES, replayed=st.booleans()
)
OFFERED_RATES = st.lists(st.builds(OfferedRate, NAMES, st.floats(0, 1e9)), max_size=5)
MESSAGES = st.one_of(
    st.builds(
        Hello,
        st.just(1),
        NAMES,
        NAMES,
        NAMES,
        COUNTS,
        st.binary(min_size=16, max_size=16),
        st.binary(max_size=32),
    ),
    st.builds(
        Heartbeat,
        COUNTS,
        COUNTS,
        COUNTS,
        st.binary(max_size=32),
        st.integers(-1, 1 << 32),
        leaving=st.booleans(),
        holds=COUNTS,
        offered_rates=OFFERED_RATES.map(tuple),
    ),
    st.builds(ChangeRequest, COUNTS),
    st.builds(ChangeBatch, COUNTS, st.lists(BLOBS, max_size=5).map(tuple)),
    st.builds(Hold, NAMES, NAMES, NAMES, NAMES),
    st.builds(BackendCold, NAMES, NAMES),
    st.builds(SlowStartPermitRequest, NAMES, st.integers(0, 2**40)),
    st.builds(SlowStartPermit, NAMES, NAMES, st.integers(0, 2**40)),
    st.builds(
        SlowStartReport,
        st.lists(
            st.builds(SlowStartAllowance, NAMES, NAMES, st.integers(0, 1 << 20)),
            max_size=5,
        ).map(tuple),
    ),
    st.builds(ForwardRequest, CALLS, st.booleans()),
    st.builds(ForwardReply, st.none() | REPLIES, NAMES, NAMES, NAMES, NAMES),
    st.builds(OutcomeRequest, NAMES, NAMES),
    st.builds(OutcomeReply, NAMES, st.integers(0, 999)),
)
SCALARS = (
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary()
)
LISTS = st.lists(SCALARS, max_size=6)
VALUES = SCALARS | LISTS | st.lists(LISTS, max_size=3) | st.dictionaries(NAMES, SCALARS)


def fault_of(data):
    try:
        decode(data)
    except PeerProtocolError as exc:
        return exc.fault
    return None


class CodecTest(unittest.TestCase):
    @given(MESSAGES, COUNTS)
    @settings(max_examples=300, deadline=None)
    def test_round_trip(self, message, correlation):
        """Guards against fields that are lost, swapped or changed on the way."""
        frame = decode(encode(message, correlation))
        self.assertEqual(frame.message, message)
        self.assertEqual(frame.correlation, correlation)

    @given(st.binary(max_size=200))
    @settings(max_examples=500, deadline=5000)
    def test_arbitrary_bytes_raise_only_protocol_errors(self, data):
        """Guards against input that raises another exception or hangs."""
        fault_of(data)

    @given(st.integers(0, 12), VALUES, st.lists(VALUES, max_size=9))
    @settings(max_examples=500, deadline=5000)
    def test_arbitrary_fields_raise_only_protocol_errors(self, number, corr, fields):
        """Guards against field values that reach a message unchecked."""
        fault_of(cbor2.dumps([number, corr, *fields]))

    @given(MESSAGES, st.data())
    @settings(max_examples=300, deadline=5000)
    def test_damaged_frames(self, message, data):
        """Guards against a truncated or altered frame that raises another exception."""
        frame = bytearray(encode(message))
        cut = data.draw(st.integers(0, len(frame) - 1))
        self.assertIsNotNone(fault_of(bytes(frame[:cut])))
        frame[cut] ^= data.draw(st.integers(1, 255))
        fault_of(bytes(frame))

    def test_no_tag_is_decoded(self):
        """Guards against tags that are costly to decode or yield other types."""
        for tag in range(1 << 16):
            data = cbor2.dumps(cbor2.CBORTag(tag, [1, 2]))
            self.assertEqual(fault_of(data), LinkFault.MALFORMED, tag)

    def test_codes(self):
        """Guards against a wrong error code for a kind of malformed input."""
        beat = cbor2.loads(encode(Heartbeat(1, 0, 1, b"", 0)))
        hello = cbor2.loads(encode(Hello(1, "a", "r", "d", 1, bytes(16))))
        cases = [
            (b"", LinkFault.MALFORMED),
            (encode(ChangeRequest(1)) + b"\x00", LinkFault.MALFORMED),
            (b"\x9f\x03\x00\x01\xff", LinkFault.MALFORMED),
            (cbor2.dumps([99, 0]), LinkFault.UNKNOWN_TYPE),
            (cbor2.dumps([*hello[:2], 2, "new field"]), LinkFault.UNKNOWN_VERSION),
            (cbor2.dumps(beat[:-1]), LinkFault.BAD_FIELD),
            (cbor2.dumps([*beat, 0]), LinkFault.BAD_FIELD),
            (cbor2.dumps([3, 0, True]), LinkFault.BAD_FIELD),
            (cbor2.dumps([3, 0, -1]), LinkFault.BAD_FIELD),
            (cbor2.dumps([3, 0, 1 << 64]), LinkFault.MALFORMED),  # a tag
            (cbor2.dumps([5, 0, "x" * 257, "", "", ""]), LinkFault.BAD_FIELD),
            (cbor2.dumps([4, 0, 1, [bytes(300_000)]]), LinkFault.TOO_LARGE),
        ]
        for data, fault in cases:
            self.assertEqual(fault_of(data), fault, data[:20])

    def test_too_large_message_is_not_encoded(self):
        """Guards against sending a frame that makes the peer close the link."""
        with self.assertRaises(PeerProtocolError):
            encode(ChangeBatch(1, (bytes(300_000),)))
        call = Call("r", "c", "s", "POST", "/", body=bytes(2 << 20))
        with self.assertRaises(PeerProtocolError):
            encode(ForwardRequest(call, True))


class OfferedRateTest(unittest.TestCase):
    def run_beats(self, sender, receiver, offered_rates, count):
        seen = ()
        for _ in range(count):
            chosen = sender.select(offered_rates)
            heartbeat = Heartbeat(1 << 20, 1 << 20, 1 << 16, bytes(8), 1500)
            heartbeat.offered_rates = chosen
            self.assertLessEqual(len(encode(heartbeat)), 100)
            seen = receiver.merge(chosen)
        return {entry.contract: entry.rate for entry in seen}

    def test_receiver_learns_all_rates_within_the_byte_budget(self):
        """Guards against heartbeats over 100 bytes, and contracts never sent."""
        rng = random.Random(1)
        sender, receiver = OfferedRateSender(), OfferedRateReceiver()
        rates = {
            "".join(rng.choices(string.ascii_lowercase, k=12)): rng.uniform(1, 5000)
            for _ in range(30)
        }
        offered_rates = [OfferedRate(name, rate) for name, rate in rates.items()]
        seen = self.run_beats(sender, receiver, offered_rates, 15)
        self.assertEqual(seen.keys(), rates.keys())
        for name, rate in rates.items():
            self.assertAlmostEqual(seen[name] / rate, 1.0, delta=0.11)
        self.assertEqual(sender.select(offered_rates), ())

    def test_small_change_is_not_starved_by_large_ones(self):
        """Guards against an offered rate that is never updated."""
        rng = random.Random(1)
        sender, receiver = OfferedRateSender(), OfferedRateReceiver()
        noisy = [f"noisy-contract-{n}" for n in range(8)]
        steady = OfferedRate("steady", 100.0)
        for _ in range(30):
            offered_rates = [OfferedRate(name, rng.uniform(1, 1000)) for name in noisy]
            self.run_beats(sender, receiver, [*offered_rates, steady], 1)
            steady.rate = 120.0
        seen = self.run_beats(sender, receiver, [*offered_rates, steady], 1)
        self.assertEqual(seen["steady"], 120.0)

    def test_ended_rate_is_removed(self):
        """Guards against an offered rate that stays after its contract became idle."""
        sender, receiver = OfferedRateSender(), OfferedRateReceiver()
        self.run_beats(sender, receiver, [OfferedRate("a", 5.0)], 1)
        self.assertEqual(self.run_beats(sender, receiver, [], 1), {})
