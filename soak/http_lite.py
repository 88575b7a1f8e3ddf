"""Minimal HTTP/1.1 over asyncio streams, for stand-ins and clients.

Unlike a client library, it shows how much of an answer arrived before the
connection ended, and it lets a stand-in end a response after any byte.
"""

import asyncio
import socket
import struct

MAX_HEAD_BYTES = 65536


class Head:
    """First line and headers; header names are in lower case."""

    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; None when the connection ended before it was complete."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_chunk(reader):
    """Reads one chunk; empty at the end of the body."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, head):
    if head.get("transfer-encoding") == "chunked":
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    return await reader.readexactly(int(head.get("content-length", "0")))


def head_bytes(first_line, headers):
    lines = [first_line] + [f"{name}: {value}"
                            for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response_bytes(status, body=b"", headers=None):
    return head_bytes(f"HTTP/1.1 {status} Status",
                      {"Content-Length": len(body), **(headers or {})}) + body


def abort(writer):
    """Resets the connection. Without a linger time of 0 it would end in order
    when all bytes of the other side have been read."""
    if not writer.transport or writer.transport.is_closing():
        return
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def never_early(head, reader, writer):
    return False


async def serve(handler, host, port, answer_early=never_early):
    """Calls `handler(head, body, reader, writer)` for each request.

    The handler writes the answer; a false result closes the connection.
    `answer_early(head, reader, writer)` may do so before the body is read: a
    true result closes the connection.
    """

    async def connection(reader, writer):
        try:
            while head := await read_head(reader):
                if await answer_early(head, reader, writer):
                    break
                body = await read_body(reader, head)
                if not await handler(head, body, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port,
                                      limit=MAX_HEAD_BYTES)
