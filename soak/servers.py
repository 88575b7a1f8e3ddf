"""Stand-ins of backend servers: model servers that hold layers, and records
services whose calls may run once. They keep a journal of all that ran."""

import asyncio
import dataclasses
import json
import time

import http_lite

LAYERS = 8
EVENT_INTERVAL_S = 0.02
STALL_S = 1.0
LOAD_S = 0.25


@dataclasses.dataclass
class Run:
    """One request that a server began to work on."""

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


def event_count(attempt):
    return 20 + int(attempt[-2:], 16) % 60


def event_bytes(attempt, number):
    return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()


def plain_body(attempt, request):
    return f"{attempt} {request} ".encode() * 20


def parse_path(text):
    """List of (address, from, to)."""
    parts = []
    for item in text.split(","):
        address, _, layers = item.partition("=")
        begin, _, end = layers.partition("-")
        parts.append((address, int(begin), int(end)))
    return parts


class Server:
    """What both kinds share: registration, incarnation, faults."""

    def __init__(self, world, ident, service, zone, proxy, listen):
        self.world = world
        self.ident = ident
        self.service = service
        self.zone = zone
        self.proxy = proxy
        self.listen = listen
        self.alive = False
        self.draining = False
        # Time from which no request may reach it any more.
        self.closed_to_work = None
        # Set to a word of FAULTS while it misbehaves.
        self.fault = None
        self.born = 0
        self._server = None
        self._beat = None

    FAULTS = ("fail", "cut", "lose", "refuse", "slow", "extra")

    @property
    def address(self):
        return f"{self.proxy.listen[0]}:{self.proxy.listen[1]}"

    async def start(self):
        self.alive = True
        self.draining = False
        self.closed_to_work = None
        self.fault = None
        self.born = int(time.time() * 1000)
        self.forget()
        self._server = await http_lite.serve(self._handle, *self.listen)
        await self.proxy.start()
        self._beat = asyncio.create_task(self._register())

    def forget(self):
        """A start holds nothing of before."""

    async def crash(self):
        self.alive = False
        if self._beat:
            self._beat.cancel()
        self._server.close()
        await self.proxy.stop()

    async def leave(self, drain_s):
        """Planned end: announced, then it serves on for a while."""
        self.draining = True
        await self.world.register(self)
        self.closed_to_work = time.monotonic() + drain_s
        await asyncio.sleep(drain_s + 1.5)
        await self.crash()
        self.world.store.remove("servers", self.ident)

    async def _register(self):
        while True:
            await self.world.register(self)
            await asyncio.sleep(1)

    def row(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 64,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0, "born": self.born,
                "seq": int(time.monotonic() * 10)}

    async def _handle(self, head, body, reader, writer):
        method, target, _ = head.first_line.split(" ", 2)
        if target == "/healthz":
            status = 503 if self.draining or self.fault else 200
            writer.write(http_lite.answer_bytes(
                status, b"", {"Instance-Id": self.ident}))
            return True
        if target in ("/report", "/order"):
            return await self.control(target, body, writer)
        attempt = head.get("attempt-id")
        if head.get("expect-instance") not in ("", self.ident):
            writer.write(http_lite.answer_bytes(
                421, b"", {"Instance-Id": self.ident}))
            return True
        self.world.journal.arrivals.append(
            (time.monotonic(), self.ident, attempt))
        if self.fault == "refuse":
            writer.write(http_lite.answer_bytes(
                503, b"", {"Not-Run": "1", "Attempt-Id": attempt}))
            return True
        run = Run(attempt, self.ident, self.service, f"{method} {target}", body,
                  head.get("tenant"), time.monotonic())
        try:
            return await self.work(head, run, writer)
        finally:
            run.ended = time.monotonic()

    async def control(self, target, body, writer):
        writer.write(http_lite.answer_bytes(404))
        return True

    def answer_headers(self, run):
        return {"Attempt-Id": run.attempt,
                "Server-Seal": f"{self.ident}.{run.attempt}"}


class RecordsServer(Server):
    async def work(self, head, run, writer):
        self.world.journal.runs.append(run)
        await asyncio.sleep(1 if self.fault == "slow" else 0.03)
        if self.fault == "lose":
            return False
        if self.fault == "fail":
            writer.write(http_lite.answer_bytes(500, b"failed",
                                                self.answer_headers(run)))
            return True
        answer = http_lite.answer_bytes(
            200, plain_body(run.attempt, run.request), self.answer_headers(run))
        if self.fault == "cut":
            writer.write(answer[:len(answer) // 2])
            return False
        writer.write(answer)
        if self.fault == "extra":
            writer.write(answer[:60])
        return True


class ModelServer(Server):
    def __init__(self, *args, kind):
        super().__init__(*args)
        self.kind = kind
        self.layers = None

    def forget(self):
        self.layers = None
        self.seq = 0
        self.fence = 0
        self.busy = False
        # Orders are carried out this much later.
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

    @staticmethod
    def _json(status, body):
        return http_lite.answer_bytes(status, json.dumps(body).encode(),
                                      {"Content-Type": "application/json"})

    async def _load(self, layers):
        self.world.check_order(self, layers)
        held = self.layers or (0, 0)
        both = (max(held[0], layers[0]), min(held[1], layers[1]))
        self.layers = both if both[0] < both[1] else None
        await asyncio.sleep(LOAD_S + self.order_delay_s)
        self.layers = layers
        self.busy = False

    def _repath(self, order):
        if order["id"] not in self._paths:
            return 404
        path = parse_path(order["path"])
        if path[0] != self._paths[order["id"]][0] or self._missing(path):
            return 409
        self._paths[order["id"]] = path
        return 200

    def _missing(self, path):
        """Address of the first part that cannot be run; None for none."""
        for address, begin, end in path:
            server = self.world.at(address)
            if (server is None or not server.alive or not server.layers
                    or begin < server.layers[0] or end > server.layers[1]):
                return address
        return None

    async def _path_in_service(self, attempt):
        """The path of a stream; None when a part of it stays away, or when
        this server crashed and knows nothing of the stream any more."""
        stalled_since = time.monotonic()
        while path := self._paths.get(attempt):
            if not self._missing(path):
                return path
            if time.monotonic() - stalled_since > STALL_S:
                return None
            await asyncio.sleep(0.02)
        return None

    async def work(self, head, run, writer):
        path = parse_path(head.get("hop-count", f"{self.address}=0-{LAYERS}"))
        missing = self._missing(path)
        if missing or path[0][0] != self.address:
            writer.write(http_lite.answer_bytes(
                421, b"", {"Attempt-Id": run.attempt, "At-Server":
                           missing or path[0][0]}))
            return True
        self.world.journal.runs.append(run)
        self._paths[run.attempt] = path
        try:
            return await self._stream(head, run, writer)
        finally:
            self._paths.pop(run.attempt, None)

    async def _stream(self, head, run, writer):
        if self.fault == "fail":
            writer.write(http_lite.answer_bytes(500, b"failed",
                                                self.answer_headers(run)))
            return True
        writer.write(http_lite.head_bytes("HTTP/1.1 200 OK", {
            **self.answer_headers(run), "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        first = int(head.get("last-event-id", "0") or 0) + 1
        last = event_count(run.attempt)
        for number in range(first, last + 1):
            await asyncio.sleep(0.3 if self.fault == "slow" else
                                EVENT_INTERVAL_S)
            path = await self._path_in_service(run.attempt)
            if path is None:
                return False
            begins = [part[1] for part in path] + [LAYERS]
            ends = [0] + [part[2] for part in path]
            run.tokens_on_bad_path += begins != ends
            event = event_bytes(run.attempt, number)
            if self.fault == "cut" and number == last // 2:
                event = event[:5]
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                return False
            if self.fault in ("cut", "lose") and number == last // 2:
                return False
        writer.write(b"0\r\n\r\n")
        return True
