"""Loopback server that sends scripted bytes, for tests of HTTP clients."""

import asyncio
import contextlib


class ScriptedServer:
    """Answers each request head with the next entry of a script.

    An entry is a list of steps: bytes to send, seconds to wait, or "close". The last
    entry is repeated.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []
        self.connections = 0
        self.open_connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks = set()
        return self

    async def __aexit__(self, *exc_info):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.connections += 1
        self.open_connections += 1
        expected_errors = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*expected_errors):
            while await self._answer(reader, writer):
                pass
        self.open_connections -= 1
        writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = await reader.readexactly(length)
        self.requests.append(head + body)
        steps = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        for step in steps:
            if step == "close":
                return False
            if isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            elif await self._is_closed_within(reader, step):
                return False
        return True

    async def _is_closed_within(self, reader, delay_s):
        try:
            async with asyncio.timeout(delay_s):
                return await reader.read(1) == b""
        except TimeoutError:
            return False


def answer(body=b"ok", *headers, status=b"200 OK"):
    """Return the bytes of a complete answer."""
    lines = [b"HTTP/1.1 " + status, *headers, b"content-length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
