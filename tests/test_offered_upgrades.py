"""Requests that offer another protocol, which the daemon ignores."""

import asyncio
import contextlib
import itertools
import random

from .entry_support import desired, reply, route
from .scripted_server import ScriptedServer
from .server_case import ServerTestCase
from .test_relay import ORDER, RelayTestCase

OFFERS = {
    "h2c": (
        b"Connection: Upgrade, HTTP2-Settings",
        b"Upgrade: h2c",
        b"HTTP2-Settings: AAMAAABkAAQAAP__",
    ),
    "websocket": (b"Upgrade: websocket", b"Connection: keep-alive, Upgrade"),
    "no offer": (),
}
BODY = b"GET /look/smuggled HTTP/1.1\r\nHost: api.example\r\n\r\n"
PIECE_SIZES = (1, 7, 65_536)


def frame(body, is_chunked):
    """Return the framing headers and the bytes of a body."""
    if not is_chunked:
        return [b"Content-Length: %d" % len(body)], body
    parts = [body[i : i + 9] for i in range(0, len(body), 9)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return [b"Transfer-Encoding: chunked"], chunks + b"0\r\nX-Trailer: t\r\n\r\n"


class BodyServer(ScriptedServer):
    """Answers each request with its id and body, and keeps both."""

    def __init__(self):
        super().__init__()
        self.ran = []

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        lines = dict(ln.split(b": ", 1) for ln in head.split(b"\r\n")[1:-2])
        body = await reader.readexactly(int(lines.get(b"content-length", 0)))
        id = lines[b"crocusward-request-id"].decode()
        self.ran.append((head.split(b" ")[0], id, body, lines))
        writer.write(reply(id, body))
        return True


class EntryDaemonTest(RelayTestCase):
    """Guards against a request that runs without the body behind its offer."""

    async def play(self, requests, piece_size):
        """Pipeline requests in pieces; return the answers and what the server ran."""
        state = desired(route(), ORDER)
        async with BodyServer() as server, self.relay(server, state=state) as relay:
            client = await relay.client()
            data = b"".join(requests)
            for start in range(0, len(data), piece_size):
                client.raw.send(data[start : start + piece_size])
                if piece_size < 100:
                    await asyncio.sleep(0)
            answers = [await client.raw.read() for _ in requests]
            is_closed = False
            with contextlib.suppress(TimeoutError):
                is_closed = await client.raw.at_eof(timeout_s=0.05)
            self.assertEqual(is_closed, answers[-1].status != 200)
            return answers, server.ran

    def encode(self, id, method, offer, is_chunked, body):
        framing, data = frame(body, is_chunked) if body else ([], b"")
        lines = [f"{method} /look/x HTTP/1.1".encode(), b"Host: api.example"]
        lines += [b"Crocusward-Request-Id: " + id.encode(), *OFFERS[offer], *framing]
        return b"\r\n".join(lines) + b"\r\n\r\n" + data

    async def test_each_request_of_a_pipeline_runs_whole(self):
        kinds = list(itertools.product(OFFERS, (False, True), (b"", BODY)))
        rng = random.Random(44)
        for piece_size in PIECE_SIZES:
            with self.subTest(piece_size=piece_size):
                rng.shuffle(kinds)
                requests = {f"q{n}": kind for n, kind in enumerate(kinds)}
                answers, ran = await self.play(
                    [self.encode(id, "PUT", *kind) for id, kind in requests.items()],
                    piece_size,
                )
                expected = [kind[2] for kind in requests.values()]
                self.assertEqual([a.status for a in answers], [200] * len(expected))
                self.assertEqual([a.body for a in answers], expected)
                got = {id: (method, body) for method, id, body, _ in ran}
                self.assertEqual(
                    got, {id: (b"put", kind[2]) for id, kind in requests.items()}
                )
                for *_, headers in ran:
                    self.assertFalse({b"upgrade", b"http2-settings"} & set(headers))

    async def test_unsafe_request_of_one_connection_keeps_it_open(self):
        lines = (b"PUT /order/x HTTP/1.1", b"Host: api.example", *OFFERS["h2c"])
        head = b"\r\n".join((*lines, b"Crocusward-Request-Id: q1"))
        request = head + b"\r\nContent-Length: 4\r\n\r\nbody"
        answers, ran = await self.play([request], 5)
        self.assertEqual([a.status for a in answers], [200])
        self.assertNotIn("connection", answers[0].headers)
        self.assertEqual([item[2] for item in ran], [b"body"])

    async def test_bytes_behind_a_request_that_closes_get_no_answer(self):
        """Guards against an answer to no request, which a caller takes for its own."""
        state = desired(route(), ORDER)
        for options in (b"close", b"close, Upgrade\r\nUpgrade: h2c"):
            for size, tail in itertools.product((10, 65_536), (b"", b"\r\n", BODY)):
                with self.subTest(options=options, size=size, tail=tail):
                    async with (
                        BodyServer() as server,
                        self.relay(server, state=state) as relay,
                    ):
                        client = await relay.client()
                        data = b"PUT /look/x HTTP/1.1\r\nHost: api.example\r\n"
                        data += b"Crocusward-Request-Id: q1\r\nConnection: " + options
                        data += b"\r\nContent-Length: 2\r\n\r\nab" + tail
                        for start in range(0, len(data), size):
                            client.raw.send(data[start : start + size])
                            await asyncio.sleep(0)
                        got = await client.raw.read()
                        self.assertEqual((got.status, got.body), (200, b"ab"))
                        self.assertEqual(got.headers["connection"], "close")
                        self.assertTrue(await client.raw.at_eof())
                        self.assertEqual(len(server.ran), 1)

    async def test_connect_and_bad_framing_are_refused_before_they_run(self):
        """Guards against a refusal that follows the answer to a request that ran."""
        offer = b"\r\n".join((b"Host: api.example", *OFFERS["h2c"]))
        id = b"\r\nCrocusward-Request-Id: q1\r\n"
        for request in (
            b"CONNECT /look/x HTTP/1.1\r\nHost: api.example" + id + b"\r\n",
            b"CONNECT api.example:80 HTTP/1.1\r\nHost: api.example" + id + b"\r\n",
            b"PUT /look/x HTTP/1.1\r\n%s%sTransfer-Encoding: gzip\r\n\r\nabc"
            % (offer, id),
            b"PUT /look/x HTTP/1.1\r\n%s%sTransfer-Encoding: chunked\r\n\r\nzz"
            % (offer, id),
        ):
            with self.subTest(request=request[:60]):
                answers, ran = await self.play([request], 65_536)
                self.assertEqual([a.status for a in answers], [400])
                self.assertEqual(answers[0].headers["connection"], "close")
                self.assertEqual(ran, [])


class OwnInterfaceTest(ServerTestCase):
    """Guards against the same fault at the server of the own interface."""

    async def test_requests_with_offers_are_answered_whole_on_a_kept_connection(self):
        for piece_size in PIECE_SIZES:
            client = await self.connect()
            sent = b""
            kinds = list(itertools.product(OFFERS, (False, True), (b"", BODY)))
            for offer, is_chunked, body in kinds:
                framing, data = frame(body, is_chunked) if body else ([], b"")
                lines = [b"POST /svc/x HTTP/1.1", b"host: h"]
                lines += [b"crocusward-contract: c1", *OFFERS[offer], *framing]
                sent += b"\r\n".join(lines) + b"\r\n\r\n" + data
            for start in range(0, len(sent), piece_size):
                client.send(sent[start : start + piece_size])
                if piece_size < 100:
                    await asyncio.sleep(0)
            for kind in kinds:
                with self.subTest(piece_size=piece_size, kind=kind):
                    self.assertEqual((await client.read()).body, b"POST /x " + kind[2])

    async def test_connect_is_refused(self):
        client = await self.connect()
        client.send(b"CONNECT /svc/x HTTP/1.1\r\nhost: h\r\n\r\n")
        self.assertEqual((await client.read()).status, 400)
        self.assertEqual(self.handler.calls, [])
