"""Clients: they query the directory, keep connections open until their instance
is gone, and record how much of each answer arrived."""

import asyncio
import dataclasses
import json
import random
import time

import http_lite
import servers

ATTEMPT_TIMEOUT_S = 8.0
CONNECT_TIMEOUT_S = 1.0
# Interval at which clients check whether their connection was silenced.
SILENCE_CHECK_INTERVAL_S = 1.0
# Time after its deadline for which a client still waits for the answer.
ANSWER_MARGIN_S = 0.5
LONG_BODIES_OF_256 = 24


@dataclasses.dataclass
class Attempt:
    """One request as its client saw it."""

    ident: str
    kind: str
    request: str
    body: bytes
    key: str
    instance: str
    sent: float = None
    deadline: float = None
    ended: float = None
    status: int = None
    sealed: bool = False
    complete: bool = False
    answer: bytes = b""
    answered_id: str = ""
    client_left: bool = False
    # The connection could not be made, or was closed before the request.
    never_sent: bool = False
    # The answer has the header Connection: close.
    wants_close: bool = False
    # The soak silenced its connection, so that no answer can come.
    silenced: bool = False

    @property
    def is_http10(self):
        """Such a client takes an orderly end for that of an answer."""
        return self.ident[2] == "0"


def request_body(ident):
    """A long body for a small share of the requests."""
    is_long = int(ident[:2], 16) < LONG_BODIES_OF_256
    return servers.LONG_BODY if is_long else ident.encode() * 4


class Client:
    def __init__(self, world, index, seed):
        self.world = world
        self.zone = world.zones[index % len(world.zones)]
        self.random = random.Random(f"{seed}-{index}")
        self._connections = {}
        self._addresses = []
        self._addresses_expire_at = 0.0

    async def run(self, end):
        while time.monotonic() < end:
            await self._send_one_request()
            await asyncio.sleep(self.random.expovariate(12))

    async def _send_one_request(self):
        await self._resolve()
        if not self._addresses:
            return
        # Open connections are used until their instance is gone.
        instance = self.random.choice(
            self._addresses + list(self._connections))
        kind, target, method = self.random.choice(self.world.calls)
        ident = f"{self.random.getrandbits(64):016x}"
        body = b"" if method == "GET" else request_body(ident)
        attempt = Attempt(ident, kind, f"{method} {target}", body,
                          self.world.key, instance)
        self.world.attempts.append(attempt)
        await self._send(attempt)

    async def _resolve(self):
        now = time.monotonic()
        if now < self._addresses_expire_at:
            return
        directories = list(self.world.directories(self.zone))
        self.random.shuffle(directories)
        for host, port in directories[:3]:
            try:
                answer = await asyncio.wait_for(
                    self._query_directory(host, port), CONNECT_TIMEOUT_S)
            except (OSError, asyncio.TimeoutError, ValueError,
                    asyncio.IncompleteReadError):
                continue
            if answer.get("addresses"):
                self._addresses = answer["addresses"]
                self._addresses_expire_at = now + min(answer["ttlS"], 5)
                return

    async def _query_directory(self, host, port):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(http_lite.head_bytes(
                f"GET /resolve?name=soak.example&region=r&zone={self.zone} "
                "HTTP/1.1", {"Host": "soak.example"}))
            head = await http_lite.read_head(reader)
            if head is None:
                raise ValueError("no answer")
            return json.loads(await http_lite.read_body(reader, head))
        finally:
            writer.close()

    async def _connection(self, instance):
        if instance in self._connections:
            return self._connections.pop(instance)
        host, port = self.world.front_address(instance)
        return await asyncio.wait_for(asyncio.open_connection(host, port),
                                      CONNECT_TIMEOUT_S)

    async def _send(self, attempt):
        try:
            reader, writer = await self._connection(attempt.instance)
        except (OSError, asyncio.TimeoutError):
            attempt.never_sent = True
            self._addresses = [a for a in self._addresses
                               if a != attempt.instance]
            return
        if reader.at_eof() or writer.transport.is_closing():
            attempt.never_sent = True
            return
        leave_after_s = (self.random.uniform(0.05, 1)
                         if self.random.random() < 0.05 else None)
        attempt.sent = time.monotonic()
        attempt.deadline = attempt.sent + ATTEMPT_TIMEOUT_S
        try:
            await self._exchange_until(
                attempt, reader, writer,
                leave_after_s or ATTEMPT_TIMEOUT_S + ANSWER_MARGIN_S)
        except asyncio.TimeoutError:
            attempt.client_left = leave_after_s is not None
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        attempt.ended = time.monotonic()
        if attempt.complete and self._can_reuse(attempt, writer):
            self._connections[attempt.instance] = (reader, writer)
        else:
            writer.close()

    async def _exchange_until(self, attempt, reader, writer, timeout_s):
        """Runs the exchange until it ends, times out, or the soak silences the
        connection."""
        port = writer.get_extra_info("sockname")[1]
        task = asyncio.create_task(self._exchange(attempt, reader, writer))
        end = time.monotonic() + timeout_s
        while not task.done() and time.monotonic() < end:
            wait = min(SILENCE_CHECK_INTERVAL_S, end - time.monotonic())
            await asyncio.wait([task], timeout=wait)
            attempt.silenced = not task.done() and self.world.is_silenced(
                attempt.instance, port)
            if attempt.silenced:
                break
        if task.done():
            return task.result()
        task.cancel()
        if not attempt.silenced:
            raise asyncio.TimeoutError
        return None

    def _can_reuse(self, attempt, writer):
        return not attempt.wants_close and not writer.transport.is_closing()

    async def _exchange(self, attempt, reader, writer):
        method, target = attempt.request.split(" ")
        version = "HTTP/1.0" if attempt.is_http10 else "HTTP/1.1"
        writer.write(http_lite.head_bytes(f"{method} {target} {version}", {
            "Host": "soak.example", "Attempt-Id": attempt.ident,
            "Credential": attempt.key, "Token-Counts": "60,160",
            "Deadline-Ms": int(ATTEMPT_TIMEOUT_S * 1000),
            "Content-Length": len(attempt.body)}) + attempt.body)
        head = await http_lite.read_head(reader)
        if head is None:
            return
        attempt.status = int(head.first_line.split(" ")[1])
        attempt.sealed = bool(head.get("server-seal"))
        attempt.answered_id = head.get("attempt-id")
        attempt.wants_close = head.get("connection").lower() == "close"
        if attempt.is_http10 and not head.get("content-length"):
            attempt.wants_close = True
            attempt.answer = await reader.read()
        elif head.get("transfer-encoding") == "chunked":
            while chunk := await http_lite.read_chunk(reader):
                attempt.answer += chunk
        else:
            attempt.answer = await http_lite.read_body(reader, head)
        attempt.complete = True
