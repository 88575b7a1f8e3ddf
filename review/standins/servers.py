"""Stand-ins of backend servers: model servers that hold layers and stream
events, and record servers that run plain requests."""

import asyncio
import json
import time

from . import http

LAYERS = 80
LAYER_LOAD_S = 0.25


def parse_path(text):
    """Parses a Hop-Count header into (address, first layer, end layer)."""
    stages = []
    for item in text.split(","):
        address, _, layers = item.partition("=")
        begin, _, end = layers.partition("-")
        stages.append((address, int(begin), int(end)))
    return stages


class Server:
    """Registration, incarnations and connections of both kinds."""

    def __init__(self, world, ident, service, zone, host, port):
        self.world = world
        self.ident = ident
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.alive = False
        self.born = 0
        self._listener = None
        self._heartbeat = None
        self._writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.alive = True
        self.born = int(time.time() * 1000)
        self.reset_state()
        self._listener = await asyncio.start_server(
            self._connection, self.host, self.port, limit=http.MAX_HEAD_BYTES)
        self._heartbeat = asyncio.create_task(self._register())

    def reset_state(self):
        """Clears what does not survive a restart."""

    def crash(self):
        """Ends at once: the port is closed, and every connection ends."""
        if not self.alive:
            return
        self.alive = False
        self.reset_state()
        self._heartbeat.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.close()
        self.world.note("server crashed", server=self.ident)

    async def crash_for(self, seconds):
        self.crash()
        await asyncio.sleep(seconds)
        await self.start()
        self.world.note("server is back", server=self.ident)

    async def _register(self):
        while True:
            self.world.store.put("servers", self.ident, self.row())
            await asyncio.sleep(1.2)

    def row(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 192,
                "state": "ready", "coldLeftMs": 0, "born": self.born,
                "seq": int(time.monotonic() * 1000)}

    async def _connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await http.read_head(reader):
                body = await http.read_body(reader, head)
                if not self.alive or not await self._handle(head, body, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, head, body, writer):
        method, target, _ = head.first_line.split(" ", 2)
        if target == "/healthz":
            writer.write(http.answer_bytes(200, b"",
                                           {"Instance-Id": self.ident}))
            return True
        if target in ("/report", "/order"):
            status, answer = self.control(target, body)
            writer.write(http.answer_bytes(
                status, json.dumps(answer).encode(),
                {"Content-Type": "application/json"}))
            return True
        if head.get("expect-instance") not in ("", self.ident):
            writer.write(http.answer_bytes(421, b"",
                                           {"Instance-Id": self.ident}))
            return True
        return await self.work(head, body, writer)

    def control(self, target, body):
        return 404, {}

    def answer_headers(self, attempt):
        return {"Attempt-Id": attempt, "Server-Seal": f"{self.ident}.{attempt}"}


class ModelServer(Server):
    """Runs streams. Its first stage is this server; the layers of the other
    stages are checked only."""

    EVENT_INTERVAL_S = 0.02
    PREFILL_S = 0.04

    def __init__(self, *args, kind):
        super().__init__(*args)
        self.kind = kind
        self.layers = None

    def reset_state(self):
        self.layers = None
        self.seq = 0
        self.fence = 0
        self.busy = False
        self.paths = {}

    def row(self):
        layers = self.layers and {"from": self.layers[0],
                                  "target": self.layers[1], "version": 1}
        return super().row() | {
            "kind": self.kind, "layers": layers, "stage": "both",
            "models": [{"name": "m0", "version": 1, "adapters": []}]}

    def control(self, target, body):
        if target == "/report":
            return 200, {
                "stage": "both", "models": [], "busy": self.busy,
                "seq": self.seq, "queued": 0, "running": len(self.paths),
                "kvUsed": 0, "kvTotal": 100000, "handles": 0, "pace": 1.0,
                "stalled": [],
                "layers": self.layers and {"from": self.layers[0],
                                           "target": self.layers[1],
                                           "version": 1}}
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return 412, {}
        self.fence = order.get("fence", 0)
        if order["op"] == "repath":
            return self._repath(order), {}
        if order.get("expected", self.seq) != self.seq or self.busy:
            return 409, {}
        self.seq += 1
        self.busy = True
        asyncio.create_task(self._load((order["from"], order["target"])))
        return 202, {}

    async def _load(self, layers):
        born = self.born
        held = self.layers or (0, 0)
        kept = (max(held[0], layers[0]), min(held[1], layers[1]))
        self.layers = kept if kept[0] < kept[1] else None
        await asyncio.sleep(LAYER_LOAD_S)
        if self.born == born and self.alive:
            self.layers = layers
            self.busy = False
            self.world.store.put("servers", self.ident, self.row())

    def _repath(self, order):
        if order["id"] not in self.paths:
            return 404
        path = parse_path(order["path"])
        if path[0] != self.paths[order["id"]][0] or self._unusable(path):
            return 409
        self.paths[order["id"]] = path
        return 200

    def _unusable(self, path):
        """Address of the first stage that cannot run; None when all can."""
        for address, begin, end in path:
            server = self.world.server_at(address)
            if (server is None or not server.alive or not server.layers
                    or begin < server.layers[0] or end > server.layers[1]):
                return address
        return None

    async def _usable(self, attempt):
        """Waits for a usable path, as long as a stall lasts."""
        until = time.monotonic() + 3.0
        while attempt in self.paths and time.monotonic() < until:
            if not self._unusable(self.paths[attempt]):
                return True
            await asyncio.sleep(0.02)
        return False

    async def work(self, head, body, writer):
        attempt = head.get("attempt-id")
        path = parse_path(head.get("hop-count",
                                   f"{self.address}=0-{LAYERS}"))
        unusable = self._unusable(path)
        if unusable or path[0][0] != self.address:
            status = 421 if unusable == self.address else 503
            writer.write(http.answer_bytes(status, b"", {
                "Not-Run": "1", "Attempt-Id": attempt,
                "At-Server": unusable or path[0][0]}))
            return True
        self.world.on_arrival(self, attempt, head)
        self.paths[attempt] = path
        try:
            return await self.stream(head, attempt, writer)
        finally:
            self.paths.pop(attempt, None)

    async def stream(self, head, attempt, writer):
        await asyncio.sleep(self.PREFILL_S)
        writer.write(http.head_bytes("HTTP/1.1 200 OK", {
            **self.answer_headers(attempt),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        first = int(head.get("last-event-id") or -1) + 1
        for number in range(first, self.world.event_count(attempt)):
            await asyncio.sleep(self.EVENT_INTERVAL_S)
            if not await self._usable(attempt):
                return False
            event = self.world.event(attempt, number)
            if not await self.send_event(attempt, number, event, first, writer):
                return False
        writer.write(http.LAST_CHUNK)
        return True

    async def send_event(self, attempt, number, event, first, writer):
        if writer.transport.is_closing():
            return False
        writer.write(http.chunk_bytes(event))
        await writer.drain()
        return True


class RecordServer(Server):
    """Runs plain requests in a few slots and queues some more."""

    SLOTS = 6
    QUEUE = 24

    def reset_state(self):
        self.running = 0
        self.queued = 0
        self.free = asyncio.Semaphore(self.SLOTS)

    def refuse(self, attempt, writer):
        writer.write(http.answer_bytes(503, b"", {
            "Not-Run": "1", "Attempt-Id": attempt}))
        return True

    async def work(self, head, body, writer):
        attempt = head.get("attempt-id")
        if self.queued >= self.QUEUE:
            return self.refuse(attempt, writer)
        self.queued += 1
        try:
            async with self.free:
                if not self.alive or writer.transport.is_closing():
                    return False
                self.world.on_arrival(self, attempt, head)
                await asyncio.sleep(self.world.work_s())
        finally:
            self.queued -= 1
        if not self.alive:
            return False
        writer.write(http.answer_bytes(200, f"{attempt} ".encode() * 40,
                                       self.answer_headers(attempt)))
        return True
