"""Minimal HTTP/1.1 over asyncio streams. Shows each byte of an answer and lets
a stand-in end an answer after any byte."""

import asyncio

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


async def read_body(reader, head):
    if head.get("transfer-encoding").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(head.get("content-length", "0")))


def head_bytes(first_line, headers):
    lines = [first_line] + [f"{name}: {value}"
                            for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status, body=b"", headers=None):
    return head_bytes(f"HTTP/1.1 {status} Status",
                      {"Content-Length": len(body), **(headers or {})}) + body


def chunk_bytes(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
