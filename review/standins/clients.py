"""Clients of stream routes: they ask the directory for an address, send a
request and keep each byte of the answer."""

import asyncio
import json
import random
import time

from . import http
from .world import HOST, attempt_id, request_head

CONNECT_S = 1.0


async def resolve(world, zone):
    """Front addresses from the directory of one instance; empty on failure."""
    instance = random.choice(world.instances)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(
            instance.ip, world.ports["directory"]), CONNECT_S)
        writer.write(http.head_bytes(
            f"GET /resolve?name={HOST}&region=prairie&zone={zone} HTTP/1.1",
            {"Host": HOST}))
        head = await asyncio.wait_for(http.read_head(reader), CONNECT_S)
        body = await asyncio.wait_for(http.read_body(reader, head), CONNECT_S)
        writer.close()
        return json.loads(body)["addresses"]
    except (OSError, asyncio.TimeoutError, ValueError, AttributeError,
            asyncio.IncompleteReadError):
        return []


class Answer:
    """What a client saw of one attempt."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.sent = time.monotonic()
        # False when no connection could be made.
        self.was_sent = False
        self.status = None
        self.headers = None
        self.body = b""
        # The end of the body arrived.
        self.complete = False


async def send(world, address, method, path, headers=None, body=b"",
               deadline_s=20.0, attempt=None):
    """One attempt on a new connection."""
    answer = Answer(attempt or attempt_id())
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), CONNECT_S)
    except (OSError, asyncio.TimeoutError):
        return answer
    fields = {"Deadline-Ms": str(int(deadline_s * 1000)), **(headers or {})}
    if method == "POST":
        fields["Content-Length"] = len(body)
    writer.write(request_head(method, path, answer.attempt, **fields) + body)
    answer.sent = time.monotonic()
    answer.was_sent = True
    world.note("sent", attempt=answer.attempt, to=address,
               request=f"{method} {path}")
    try:
        await asyncio.wait_for(_read(reader, answer), deadline_s + 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        pass
    writer.close()
    return answer


async def _read(reader, answer):
    head = await http.read_head(reader)
    if head is None:
        return
    answer.status = int(head.first_line.split(" ")[1])
    answer.headers = head
    if head.get("transfer-encoding").lower() != "chunked":
        answer.body = await reader.readexactly(
            int(head.get("content-length", "0")))
        answer.complete = True
        return
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            answer.complete = True
            return
        answer.body += data[:-2]


def stream_headers():
    return {"Model": "m0", "Token-Counts": "760,146",
            "Prompt-Prefix": f"{random.randint(1, 60):x}:40,"
                             f"{random.getrandbits(32):x}:720",
            "Content-Type": "application/json"}


def order_fault(world, answer):
    """What is wrong with the events of a stream; None when nothing is."""
    rest = answer.body
    number = 0
    while rest:
        event = world.event(answer.attempt, number)
        if not rest.startswith(event):
            if not answer.complete and event.startswith(rest):
                return None
            return f"at event {number} the client got {rest[:120]!r}"
        rest = rest[len(event):]
        number += 1
    if answer.complete and number != world.event_count(answer.attempt):
        return f"the stream ends as complete after {number} events"
    return None
