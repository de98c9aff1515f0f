"""Test client on loopback that sends raw bytes to the HTTP servers."""

import asyncio


class RawAnswer:
    """Status, headers and body of an answer; of repeated headers the last value."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class RawClient:
    """One connection to a server on loopback."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port, **options):
        return cls(*await asyncio.open_connection("127.0.0.1", port, **options))

    def send(self, data):
        self.writer.write(data)

    def request(self, method="GET", path="/svc/x", *headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1".encode(), b"host: h"]
        lines += [b"crocusward-contract: c1", *headers]
        if body:
            lines.append(b"content-length: %d" % len(body))
        self.send(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    async def read(self, *, is_head=False, timeout_s=2.0):
        async with asyncio.timeout(timeout_s):
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:-2])
            size = 0 if is_head else int(headers.get("content-length", 0))
            body = await self.reader.readexactly(size)
        return RawAnswer(int(lines[0].split(" ")[1]), headers, body)

    async def at_eof(self, timeout_s=2.0):
        async with asyncio.timeout(timeout_s):
            return await self.reader.read(1) == b""

    def close(self):
        self.writer.close()
