"""TLS of the HTTP server, with a certificate that is only for tests."""

import asyncio
import socket
import ssl
from pathlib import Path

from .server_case import ServerTestCase

TLS_DIR = Path(__file__).parent / "tls"


class TlsTest(ServerTestCase):
    server_options = {"cert": TLS_DIR / "cert.pem", "key": TLS_DIR / "key.pem"}

    async def test_requests_and_drain_over_tls(self):
        """Guards against answers or a drain that work only without TLS."""
        context = ssl.create_default_context(cafile=str(TLS_DIR / "cert.pem"))
        client = await self.connect(ssl=context, server_hostname="127.0.0.1")
        body = b"x" * 90_000
        for _ in range(2):
            client.request("POST", body=body)
            self.assertEqual((await client.read()).body, b"POST /x " + body)
        self.assertEqual(await self.server.drain(2.0), 0)
        self.assertTrue(await client.at_eof())
        self.assertEqual(self.server.connections, 0)

    async def test_drain_waits_for_a_handshake(self):
        """Guards against a drain that ends while a connection is in its handshake."""
        context = ssl.create_default_context(cafile=str(TLS_DIR / "cert.pem"))
        plain = socket.create_connection(("127.0.0.1", self.port), 2.0)
        await asyncio.sleep(0.05)  # the loop accepts it

        async def stop():
            await self.server.drain(5.0)
            await self.server.close()

        stopped = asyncio.create_task(stop())
        await asyncio.sleep(0.1)
        self.assertFalse(stopped.done())

        def ask():
            with context.wrap_socket(plain, server_hostname="127.0.0.1") as client:
                client.sendall(
                    b"GET /svc/x HTTP/1.1\r\ncrocusward-contract: c1\r\n\r\n"
                )
                return client.recv(12)

        answer = await asyncio.to_thread(ask)
        self.assertEqual(answer, b"HTTP/1.1 200")
        await stopped

    async def test_large_pipelined_requests_over_tls(self):
        """Guards against a read buffer that is smaller than what TLS has ready."""
        self.handler.delay_s = 0.02
        context = ssl.create_default_context(cafile=str(TLS_DIR / "cert.pem"))
        client = await self.connect(ssl=context, server_hostname="127.0.0.1")
        bodies = [bytes([n]) * 90_000 for n in range(12)]
        for body in bodies:
            client.request("POST", body=body)
        for body in bodies:
            self.assertEqual((await client.read()).body, b"POST /x " + body)

    async def test_plain_text_ends_only_its_own_connection(self):
        """Guards against a plain request that disturbs the TLS listener."""
        plain = await self.connect()
        plain.request()
        self.assertTrue(await plain.at_eof())
        context = ssl.create_default_context(cafile=str(TLS_DIR / "cert.pem"))
        client = await self.connect(ssl=context, server_hostname="127.0.0.1")
        client.request()
        self.assertEqual((await client.read()).status, 200)
