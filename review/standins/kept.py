"""A client connection that is kept for several requests. It reads one answer
for each request and, as a sound client, sends nothing on a connection on which
bytes have come that nobody asked for, or that has ended."""

import asyncio
import socket

from . import http
from .world import request_head


class KeptConnection:
    def __init__(self):
        self._socket = None
        self._buffer = b""
        self._loop = asyncio.get_running_loop()

    async def open(self, host, port):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.wait_for(
            self._loop.sock_connect(self._socket, (host, port)), 1)

    def is_quiet(self):
        """True when the connection is open and nothing waits to be read."""
        if self._buffer:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    async def send(self, method, path, attempt, headers, body=b""):
        fields = dict(headers)
        if method == "POST":
            fields["Content-Length"] = len(body)
        await self._loop.sock_sendall(
            self._socket, request_head(method, path, attempt, **fields) + body)

    async def read_answer(self, timeout_s):
        """Head and body of the next answer; None when it does not come whole
        in time."""
        try:
            return await asyncio.wait_for(self._read(), timeout_s)
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            return None

    async def _read(self):
        raw = await self._until(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        head = http.Head(lines[0], headers)
        if head.get("transfer-encoding").lower() != "chunked":
            return head, await self._exactly(int(head.get("content-length")))
        body = b""
        while True:
            size = int(await self._until(b"\r\n"), 16)
            data = await self._exactly(size + 2)
            if size == 0:
                return head, body
            body += data[:-2]

    async def _more(self):
        data = await self._loop.sock_recv(self._socket, 65536)
        if not data:
            raise EOFError
        self._buffer += data

    async def _until(self, end):
        while end not in self._buffer:
            await self._more()
        at = self._buffer.index(end) + len(end)
        out, self._buffer = self._buffer[:at], self._buffer[at:]
        return out

    async def _exactly(self, count):
        while len(self._buffer) < count:
            await self._more()
        out, self._buffer = self._buffer[:count], self._buffer[count:]
        return out

    def close(self):
        if self._socket:
            self._socket.close()


def status_of(head):
    return int(head.first_line.split(" ")[1])
