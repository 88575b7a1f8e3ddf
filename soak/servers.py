"""Stand-ins of backend servers: model servers that hold layers, and record
servers whose calls may run at most once. They keep a journal of all runs."""

import asyncio
import dataclasses
import json
import time
import zlib

import http_lite

LAYERS = 8
EVENT_INTERVAL_S = 0.02
MAX_STALL_S = 1.0
MAX_READ_BYTES = 65536
# What a faulty model server sends between two events: in a chunk of its own,
# in front of the next event, and outside of any chunk.
GARBAGE_CHUNKS = (
    b"garbage\n\n", b"data: garbage\n\n", b"garbage", b"id: 07\ndata: x\n\n",
    b"id: x\ndata: x\n\n", b"\x01\xff\r\n\r\n")
GARBAGE_PREFIXES = (b"garbage", b"\n\r\n", b"id: 3\n", b"\r", b"\n")
GARBAGE_OUTSIDE = (b"garbage\r\n", b"HTTP/1.1 200 OK\r\n\r\n")
# Faults of a head that no answer can have.
BROKEN_HEADS = ("status", "name", "folded")
# Kinds of garbage in place of a stream; None for garbage within it.
GARBAGE_ANSWERS = ("plain", "no type", "behind", "before", "no seal",
                   *BROKEN_HEADS, None, None, None, None, None)
# Garbage within a stream comes before one of its first events.
GARBAGE_EVENTS = range(3, 15)
LAYER_LOAD_S = 0.25
# Larger than what the buffers between an instance and a server take.
LONG_BODY = b"u" * (6 << 20)
# How a connection ends after an answer without a length that comes before the
# body of the request was read. Only in order the answer is whole.
EARLY_ENDS = ("reset", "order")
# Time in which the upload fills all buffers.
EARLY_ANSWER_S = 0.1


@dataclasses.dataclass
class Run:
    """One request that a server began to run."""

    attempt: str
    server: str
    service: str
    request: str
    body: bytes
    account: str
    at: float
    tokens_on_bad_path: int = 0
    ended: float = None


class Journal:
    def __init__(self):
        self.runs = []
        # (time, server, attempt) of every request that reached a server.
        self.arrivals = []
        # (time, server, attempt) of answers that announced a shutdown.
        self.announcements = []
        # (time, server, attempt, seconds) of refusals that asked for a pause.
        self.pauses = []
        # Whether long bodies are answered early.
        self.answers_early = False
        # How the connections of attempts ended that were; further sends of
        # these are served soundly.
        self.early_ends = {}

    def broken_off(self):
        """Attempts of which a server broke off an early answer."""
        return {attempt for attempt, end in self.early_ends.items()
                if end != "order"}


def pick(choices, text):
    """One of the choices, always the same for a text."""
    return choices[zlib.crc32(text.encode()) % len(choices)]


def event_count(attempt):
    return 20 + int(attempt[-2:], 16) % 60


def event_bytes(attempt, number):
    return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()


def plain_body(attempt, request):
    return f"{attempt} {request} ".encode() * 20


def parse_path(text):
    """Parses a path into a list of (address, first layer, end layer)."""
    stages = []
    for item in text.split(","):
        address, _, layers = item.partition("=")
        begin, _, end = layers.partition("-")
        stages.append((address, int(begin), int(end)))
    return stages


class Server:
    """Shared part of both kinds: registration, incarnation, faults."""

    def __init__(self, world, ident, service, zone, proxy, listen):
        self.world = world
        self.ident = ident
        self.service = service
        self.zone = zone
        self.proxy = proxy
        self.listen = listen
        self.alive = False
        self.draining = False
        # One of FAULTS while a fault is injected, else None.
        self.fault = None
        # Seconds for which refusals ask for a pause; None for no pause.
        self.pause_s = None
        # Serves on without an announcement in the store.
        self.leaving_unlisted = False
        self.start_unix_ms = 0
        self._server = None
        self._heartbeat = None

    # Injected beside FAULTS by its own random sequence.
    GARBAGE = "garbage"
    FAULTS = ("fail", "cut", "lose", "refuse", "slow", "extra")

    @property
    def address(self):
        return f"{self.proxy.listen[0]}:{self.proxy.listen[1]}"

    async def start(self):
        self.alive = True
        self.draining = False
        self.leaving_unlisted = False
        self.fault = None
        self.start_unix_ms = int(time.time() * 1000)
        self.reset_state()
        self._server = await http_lite.serve(self._handle, *self.listen,
                                             self._answer_early)
        await self.proxy.start()
        self._heartbeat = asyncio.create_task(self._register())

    def reset_state(self):
        """Clears state that does not survive a restart."""

    async def crash(self):
        self.alive = False
        if self._heartbeat:
            self._heartbeat.cancel()
        self._server.close()
        await self.proxy.stop()

    async def leave(self, drain_s):
        """Planned end: announced, then the server drains for a while."""
        self.draining = True
        await self.world.register(self)
        await asyncio.sleep(drain_s + 1.5)
        await self.crash()
        self.world.store.remove("servers", self.ident)

    async def leave_unlisted(self, serve_on_s):
        """Planned end that only answers announce, as while the store is
        down."""
        self.leaving_unlisted = True
        await asyncio.sleep(serve_on_s)
        await self.crash()
        self.world.store.remove("servers", self.ident)

    def leaving_headers(self):
        leaving = self.draining or self.leaving_unlisted
        return {"Server-Leaving": "1"} if leaving else {}

    def refusal_headers(self, attempt):
        out = {"Not-Run": "1", "Attempt-Id": attempt, **self.leaving_headers()}
        if self.pause_s is not None:
            out["Retry-After"] = f"{self.pause_s:.2f}"
            self.world.journal.pauses.append(
                (time.monotonic(), self.ident, attempt, self.pause_s))
        return out

    async def _register(self):
        while True:
            await self.world.register(self)
            await asyncio.sleep(1)

    def row(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 64,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0, "born": self.start_unix_ms,
                "seq": int(time.monotonic() * 10)}

    async def _handle(self, head, body, reader, writer):
        method, target, _ = head.first_line.split(" ", 2)
        if target == "/healthz":
            status = 503 if self.draining or self.fault else 200
            writer.write(http_lite.response_bytes(
                status, b"", {"Instance-Id": self.ident,
                              **self.leaving_headers()}))
            return True
        if target in ("/report", "/order"):
            return await self.control(target, body, writer)
        attempt = head.get("attempt-id")
        if head.get("expect-instance") not in ("", self.ident):
            writer.write(http_lite.response_bytes(
                421, b"", {"Instance-Id": self.ident,
                           **self.leaving_headers()}))
            return True
        self.world.journal.arrivals.append(
            (time.monotonic(), self.ident, attempt))
        if self.fault == "refuse":
            writer.write(http_lite.response_bytes(
                503, b"", self.refusal_headers(attempt)))
            return True
        # One copy of a long body is kept for all runs.
        body = LONG_BODY if body == LONG_BODY else body
        run = Run(attempt, self.ident, self.service, f"{method} {target}", body,
                  head.get("tenant"), time.monotonic())
        try:
            return await self.work(head, run, writer)
        finally:
            run.ended = time.monotonic()

    async def _answer_early(self, head, reader, writer):
        """Answers a long body before reading it; False when it does not."""
        journal, attempt = self.world.journal, head.get("attempt-id")
        if (not journal.answers_early or attempt in journal.early_ends
                or int(head.get("content-length", "0")) < len(LONG_BODY)
                or head.get("expect-instance") not in ("", self.ident)
                or self.fault or self.draining or self.leaving_unlisted):
            return False
        end = journal.early_ends[attempt] = pick(EARLY_ENDS, attempt)
        journal.arrivals.append((time.monotonic(), self.ident, attempt))
        method, target, _ = head.first_line.split(" ", 2)
        run = Run(attempt, self.ident, self.service, f"{method} {target}",
                  LONG_BODY, head.get("tenant"), time.monotonic())
        journal.runs.append(run)
        headers, body = self.early_answer(head, run)
        writer.write(http_lite.head_bytes("HTTP/1.1 200 OK", headers)
                     + (body if end == "order" else body[:len(body) // 2]))
        await asyncio.sleep(EARLY_ANSWER_S)
        run.ended = time.monotonic()
        if end == "reset":
            http_lite.abort(writer)
        else:
            writer.write_eof()
            while await reader.read(MAX_READ_BYTES):
                pass
        return True

    async def control(self, target, body, writer):
        writer.write(http_lite.response_bytes(404))
        return True

    def answer_headers(self, run):
        leaving = self.leaving_headers()
        if leaving and self.fault is None:
            self.world.journal.announcements.append(
                (time.monotonic(), self.ident, run.attempt))
        return {"Attempt-Id": run.attempt,
                "Server-Seal": f"{self.ident}.{run.attempt}", **leaving}


def broken_head_answer(kind, headers):
    """A success, or status 000, that no client may get: `kind` is one of
    BROKEN_HEADS."""
    headers = {**headers, "X-Own": "x"}
    if kind == "folded":
        headers["X-Own"] += "\r\n Content-Length: 3"
    else:
        headers["Content-Length"] = len(b"garbage")
    if kind == "name":
        headers["X Own"] = "x"
    status = "000 Status" if kind == "status" else "200 OK"
    return http_lite.head_bytes(f"HTTP/1.1 {status}", headers) + b"garbage"


class RecordsServer(Server):
    def early_answer(self, head, run):
        return self.answer_headers(run), plain_body(run.attempt, run.request)

    async def work(self, head, run, writer):
        self.world.journal.runs.append(run)
        await asyncio.sleep(1 if self.fault == "slow" else 0.03)
        if self.fault == "lose":
            return False
        if self.fault == "fail":
            writer.write(http_lite.response_bytes(500, b"failed",
                                                  self.answer_headers(run)))
            return True
        if self.fault == self.GARBAGE:
            writer.write(self.garbage_answer(run))
            return False
        answer = http_lite.response_bytes(
            200, plain_body(run.attempt, run.request), self.answer_headers(run))
        if self.fault == "cut":
            writer.write(answer[:len(answer) // 2])
            return False
        writer.write(answer)
        if self.fault == "extra":
            writer.write(answer[:60])
        return True

    def garbage_answer(self, run):
        headers = self.answer_headers(run)
        kind = pick(("unsealed", "other request", "not run", *BROKEN_HEADS),
                    run.attempt)
        if kind in BROKEN_HEADS:
            return broken_head_answer(kind, headers)
        if kind == "unsealed":
            del headers["Server-Seal"]
            return http_lite.response_bytes(200, b"garbage", headers)
        if kind == "other request":
            headers["Attempt-Id"] += "0"
            return http_lite.response_bytes(200, b"garbage", headers)
        return http_lite.response_bytes(500, b"failed",
                                        {**headers, "Not-Run": "1"})


class ModelServer(Server):
    def __init__(self, *args, kind):
        super().__init__(*args)
        self.kind = kind
        self.layers = None

    def reset_state(self):
        self.layers = None
        self.seq = 0
        self.fence = 0
        self.busy = False
        # Additional time to carry out an order.
        self.order_delay_s = 0.0
        self._paths = {}

    def row(self):
        layers = self.layers and {"from": self.layers[0],
                                  "target": self.layers[1], "version": 1}
        return super().row() | {"kind": self.kind, "layers": layers}

    async def control(self, target, body, writer):
        if target == "/report":
            writer.write(self._json(200, {
                "stage": "both", "busy": self.busy, "seq": self.seq,
                "running": len(self._paths), "queued": 0, "kvUsed": 0,
                "kvTotal": 100000, "stalled": [],
                "layers": self.layers and {"from": self.layers[0],
                                           "target": self.layers[1],
                                           "version": 1}}))
            return True
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            writer.write(self._json(412, {}))
            return True
        self.fence = order.get("fence", 0)
        if order["op"] == "repath":
            writer.write(self._json(self._repath(order), {}))
        elif order.get("expected", self.seq) != self.seq or self.busy:
            writer.write(self._json(409, {}))
        else:
            self.seq += 1
            self.busy = True
            asyncio.create_task(self._load((order["from"], order["target"])))
            writer.write(self._json(202, {}))
        return True

    def _json(self, status, body):
        return http_lite.response_bytes(
            status, json.dumps(body).encode(),
            {"Content-Type": "application/json", **self.leaving_headers()})

    async def _load(self, layers):
        self.world.check_order(self, layers)
        old_layers = self.layers or (0, 0)
        kept_layers = (max(old_layers[0], layers[0]),
                       min(old_layers[1], layers[1]))
        self.layers = kept_layers if kept_layers[0] < kept_layers[1] else None
        await asyncio.sleep(LAYER_LOAD_S + self.order_delay_s)
        self.layers = layers
        self.busy = False

    def _repath(self, order):
        if order["id"] not in self._paths:
            return 404
        path = parse_path(order["path"])
        if path[0] != self._paths[order["id"]][0] or self._unusable_stage(path):
            return 409
        self._paths[order["id"]] = path
        return 200

    def _unusable_stage(self, path):
        """Address of the first stage that cannot run; None when all can."""
        for address, begin, end in path:
            server = self.world.server_at(address)
            if (server is None or not server.alive or not server.layers
                    or begin < server.layers[0] or end > server.layers[1]):
                return address
        return None

    async def _wait_for_usable_path(self, attempt):
        """Returns the path of a stream. None when a stage stays unusable for
        MAX_STALL_S, or when this server crashed and lost the stream."""
        stalled_since = time.monotonic()
        while path := self._paths.get(attempt):
            if not self._unusable_stage(path):
                return path
            if time.monotonic() - stalled_since > MAX_STALL_S:
                return None
            await asyncio.sleep(0.02)
        return None

    async def work(self, head, run, writer):
        path = parse_path(head.get("hop-count", f"{self.address}=0-{LAYERS}"))
        unusable = self._unusable_stage(path)
        if unusable or path[0][0] != self.address:
            writer.write(http_lite.response_bytes(
                421, b"", {"Attempt-Id": run.attempt, "At-Server":
                           unusable or path[0][0], **self.leaving_headers()}))
            return True
        self.world.journal.runs.append(run)
        self._paths[run.attempt] = path
        try:
            return await self._stream(head, run, writer)
        finally:
            self._paths.pop(run.attempt, None)

    def early_answer(self, head, run):
        first = int(head.get("last-event-id", "0") or 0) + 1
        events = [event_bytes(run.attempt, number) for number in
                  range(first, event_count(run.attempt) + 1)]
        return {**self.answer_headers(run),
                "Content-Type": "text/event-stream"}, b"".join(events)

    def garbage_success(self, kind, headers):
        """A success that is no event stream."""
        del headers["Transfer-Encoding"]
        del headers["Content-Type"]
        if kind == "plain":
            headers["Content-Type"] = "text/plain"
        return http_lite.response_bytes(200, b"garbage\n\n", headers)

    def add_garbage(self, writer, event, text):
        """Sends garbage, or returns the event with garbage in front."""
        kind = pick(("chunk", "prefix", "within", "outside", "cut"), text)
        if kind == "chunk":
            garbage = pick(GARBAGE_CHUNKS, text[1:])
            writer.write(b"%x\r\n%s\r\n" % (len(garbage), garbage))
        elif kind == "prefix":
            return pick(GARBAGE_PREFIXES, text[1:]) + event
        elif kind == "within":
            id_line, _, rest = event.partition(b"\n")
            return id_line + b"\n" + pick(GARBAGE_PREFIXES, text[1:]) + rest
        elif kind == "outside":
            writer.write(pick(GARBAGE_OUTSIDE, text[1:]))
        else:
            return event[:5]
        return event

    async def _stream(self, head, run, writer):
        if self.fault == "fail":
            writer.write(http_lite.response_bytes(500, b"failed",
                                                  self.answer_headers(run)))
            return True
        first = int(head.get("last-event-id", "0") or 0) + 1
        last = event_count(run.attempt)
        headers = {**self.answer_headers(run),
                   "Content-Type": "text/event-stream",
                   "Transfer-Encoding": "chunked"}
        garbage_event = None
        if self.fault == self.GARBAGE:
            answer = pick(GARBAGE_ANSWERS, run.attempt)
            if answer in ("plain", "no type"):
                writer.write(self.garbage_success(answer, headers))
                return False
            if answer in BROKEN_HEADS:
                del headers["Transfer-Encoding"]
                writer.write(broken_head_answer(answer, headers))
                return False
            if answer == "no seal":
                del headers["Server-Seal"]
            elif answer == "behind":
                first += 3
            elif answer == "before":
                first = 1
            else:
                garbage_event = pick(GARBAGE_EVENTS, run.attempt)
        writer.write(http_lite.head_bytes("HTTP/1.1 200 OK", headers))
        for number in range(first, last + 1):
            await asyncio.sleep(0.3 if self.fault == "slow" else
                                EVENT_INTERVAL_S)
            path = await self._wait_for_usable_path(run.attempt)
            if path is None:
                return False
            begins = [stage[1] for stage in path] + [LAYERS]
            ends = [0] + [stage[2] for stage in path]
            run.tokens_on_bad_path += begins != ends
            event = event_bytes(run.attempt, number)
            if self.fault == "cut" and number == last // 2:
                event = event[:5]
            if number == garbage_event:
                event = self.add_garbage(writer, event, run.attempt)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                return False
            if self.fault in ("cut", "lose") and number == last // 2:
                return False
        writer.write(b"0\r\n\r\n")
        return True
