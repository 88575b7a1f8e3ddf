"""Stand-ins for the cases of this review, and what starts the processes.

One Python process holds the platform's store, the servers and the clients.
The router runs as separate processes, started as deploy/system.toml says.
Everything listens on loopback addresses; ports are chosen at run time.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A case that has not ended by then is ended by force.
HARD_LIMIT_S = 117
CANNOT_RUN_EXIT_CODE = 2


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


def now():
    return time.monotonic()


# --- HTTP ------------------------------------------------------------------


class Message:
    """A request or a response: first line, headers with lower-case names."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first.split(" ", 2)[1])

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns first line and headers; None when the peer closed before."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the head is incomplete")
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def read_message(reader, is_response=False):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read() if is_response else b""
    return Message(first, headers, body)


def response_bytes(status, headers, body=b""):
    out = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers.items():
        out += f"{name}: {value}\r\n"
    out += f"Content-Length: {len(body)}\r\n\r\n"
    return out.encode() + body


def request_bytes(method, path, host, headers, body=b""):
    out = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in headers.items():
        out += f"{name}: {value}\r\n"
    if body or method == "POST":
        out += f"Content-Length: {len(body)}\r\n"
    return (out + "\r\n").encode() + body


# --- The platform's store --------------------------------------------------


class Store:
    """Rows under one counter of versions, which each transaction raises."""

    HISTORY_S = 20.0
    ANSWER_S = 0.004

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.log = []  # (time, ver, key, value or None)
        self.ver = 0
        self.era = 1
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()
        self.started = now()

    async def listen(self, host, port):
        self.host, self.port = host, port
        self.server = await asyncio.start_server(
            self.serve, host, port, reuse_address=True)

    def commit(self, changes):
        """One transaction: {(table, part, key): bytes or None}."""
        self.ver += 1
        for key, value in changes.items():
            self.log.append((now(), self.ver, key, value))
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.ver)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return self.ver

    def put_json(self, table, key, value):
        return self.commit({(table, "", key): json.dumps(value).encode()})

    async def go_away(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def come_back_from_copy(self, taken_at):
        """What was acknowledged after `taken_at` is gone; versions go back."""
        kept = [entry for entry in self.log if entry[0] <= taken_at]
        lost = len(self.log) - len(kept)
        before = self.ver
        self.rows, self.ver, self.log = {}, 0, kept
        for _, ver, key, value in kept:
            self.ver = ver
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, ver)
        self.era += 1
        self.record(f"store: back from a copy; version {before} -> {self.ver},"
                    f" {lost} changes lost, era {self.era}")
        await self.listen(self.host, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                await asyncio.sleep(self.ANSWER_S)
                status, body = await self.answer(request)
                body["nowMs"] = int((now() - self.started) * 1000)
                writer.write(response_bytes(
                    status, {"Content-Type": "application/json",
                             "Store-Era": str(self.era)},
                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        method, target, _ = request.first.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if method == "GET" and url.path == "/rows-get":
            return self.get_rows(query)
        if method == "GET" and url.path == "/rows-feed":
            return await self.feed(query)
        if method == "POST" and url.path == "/rows-tx":
            return self.transact(json.loads(request.body))
        return 404, {}

    def row(self, key, value, ver):
        return {"table": key[0], "part": key[1], "key": key[2],
                "value": base64.b64encode(value).decode(), "ver": ver}

    def get_rows(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted(
            (key, entry) for key, entry in self.rows.items()
            if key[0] == query["table"] and key[1] == query.get("part", "")
            and key[2] >= query.get("from", "")
            and ("target" not in query or key[2] < query["target"]))
        return 200, {"rows": [self.row(key, *entry)
                              for key, entry in found[:limit]],
                     "truncated": len(found) > limit, "ver": self.ver}

    async def feed(self, query):
        since = int(query["sinceRev"])
        deadline = now() + min(int(query.get("waitMs", 0)), 30000) / 1000
        oldest = now() - self.HISTORY_S
        recent = [e for e in self.log if e[0] >= oldest]
        if since > self.ver or (recent and since < recent[0][1] - 1) or (
                not recent and since < self.ver):
            return 410, {}
        while True:
            rows = []
            for _, ver, key, value in self.log:
                if ver <= since or key[0] != query["table"]:
                    continue
                if value is None:
                    rows.append({"table": key[0], "part": key[1],
                                 "key": key[2], "ver": ver, "deleted": True})
                else:
                    rows.append(self.row(key, value, ver))
            if rows or now() >= deadline:
                return 200, {"rows": rows, "truncated": False,
                             "ver": self.ver}
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       max(0.001, deadline - now()))
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        keys = [(e["table"], e.get("part", ""), e["key"])
                for name in ("expected", "puts", "remove")
                for e in call.get(name, [])]
        if any(key[0] in ("op", "servers") for key in keys):
            return 403, {}
        expected = [((e["table"], e.get("part", ""), e["key"]), e["ver"])
                    for e in call.get("expected", [])]
        if any(self.rows.get(key, (b"", 0))[1] != ver
               for key, ver in expected):
            return 412, {"rows": [self.row(key, *self.rows[key])
                                  for key, _ in expected if key in self.rows],
                         "ver": self.ver}
        changes = {(e["table"], e.get("part", ""), e["key"]):
                   base64.b64decode(e["value"]) for e in call.get("puts", [])}
        for e in call.get("remove", []):
            changes[(e["table"], e.get("part", ""), e["key"])] = None
        return 200, {"ver": self.commit(changes)}


# --- Servers ---------------------------------------------------------------


class Server:
    """A plain service's server: it registers, serves and leaves."""

    HEARTBEAT_S = 1.2

    def __init__(self, lab, service, zone, slots=6, work_s=0.03):
        self.lab, self.service, self.zone = lab, service, zone
        self.slots, self.work_s = slots, work_s
        self.id = "i-%010x" % random.getrandbits(40)
        self.host = lab.next_host()
        self.port = lab.port
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.arrivals = []  # (time, attempt id, status or "cut")
        self.writers = set()
        self.tasks = set()
        self.free = asyncio.Semaphore(slots)

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(
            self.accept, self.host, self.port, reuse_address=True)
        self.write_entry()
        self.beat = asyncio.create_task(self.heartbeat())

    def write_entry(self):
        """Returns when the store has acknowledged; it may be away."""
        if self.lab.store.server.is_serving():
            self.lab.store.put_json("servers", self.id, self.entry())

    async def heartbeat(self):
        await asyncio.sleep(random.random() * self.HEARTBEAT_S)
        while True:
            self.write_entry()
            await asyncio.sleep(self.HEARTBEAT_S)

    def drain(self):
        self.state = "draining"
        self.write_entry()

    async def exit(self):
        """Ends like a process: what is in progress is cut off."""
        self.beat.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        if self.lab.store.server.is_serving():
            self.lab.store.commit({("servers", "", self.id): None})

    async def crash(self):
        """Ends without a word; the platform drops the entry later."""
        self.beat.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            3 * self.HEARTBEAT_S, lambda: self.lab.store.commit(
                {("servers", "", self.id): None}))

    async def accept(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def answer(self, request):
        attempt = request.get("attempt-id")
        if request.get("expect-instance", self.id) != self.id:
            return response_bytes(421, {"Instance-Id": self.id})
        if not attempt:
            return response_bytes(400, {"Not-Run": "1"})
        run = [now(), attempt, "cut"]
        self.arrivals.append(run)
        async with self.free:
            await asyncio.sleep(self.work_s)
        run[2] = 200
        headers = {"Attempt-Id": attempt, "Server-Seal": "s." + attempt,
                   "Content-Type": "text/plain"}
        if self.state == "draining":
            headers["Connection"] = "close"
        return response_bytes(200, headers, b"ran at " + self.id.encode())


class StreamServer(Server):
    """A server whose answers are streams of events."""

    def __init__(self, lab, service, zone, first_event_s, event_s, events):
        super().__init__(lab, service, zone, slots=192)
        self.first_event_s, self.event_s = first_event_s, event_s
        self.events = events

    async def accept(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                attempt = request.get("attempt-id")
                if request.get("expect-instance", self.id) != self.id:
                    writer.write(response_bytes(421,
                                                {"Instance-Id": self.id}))
                    continue
                run = [now(), attempt, "cut"]
                self.arrivals.append(run)
                await self.stream(request, attempt, writer)
                run[2] = 200
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def stream(self, request, attempt, writer):
        await asyncio.sleep(self.first_event_s)
        writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                      f"Server-Seal: s.{attempt}\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        after = int(request.get("last-event-id", "0"))
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# --- The router and the lab ------------------------------------------------

SETTINGS = """nodeName = "front-{zone}-{number}"
role = "entry"
machineClass = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "prairie"
portRange = [{peer}, {peer_end}]
seeds = []
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine",
  "stream", "tenants", "platform", "layers"]
[zones]
regina = "prairie"
brandon = "prairie"
lethbridge = "prairie"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.17
cores = 1
memoryMb = 182
maxFds = 2940
linkMbps = {link_mbps}
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = {grace_s}
lossSlackMs = 200
applyMs = 2000
backMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 425
recoverS = 12
passMs = 120
retryAfterS = 0
stall_ms = 3000
requireFence = true
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"""
ZONES = ["regina", "brandon", "lethbridge"]


def run_command():
    """The program of the deploy file and its arguments."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    command = re.search(r'^run\s*=\s*"([^"]+)"', text, re.M).group(1).split()
    program = ROOT / command[0]
    if not program.exists():
        raise CannotRun(f"{command[0]} is not built")
    return [str(program)] + command[1:]


class Router:
    def __init__(self, lab, number):
        self.lab, self.number = lab, number
        self.ip = lab.next_host()
        self.zone = ZONES[number % len(ZONES)]
        self.process = None
        self.grace_s = 8
        self.link_mbps = 700.0
        self.store_address = f"{lab.store.host}:{lab.store.port}"

    @property
    def settings_path(self):
        return self.lab.folder / f"router-{self.number}.toml"

    def write_settings(self):
        lab = self.lab
        self.settings_path.write_text(SETTINGS.format(
            zone=self.zone, number=self.number, ip=self.ip,
            peer=lab.peer_port, peer_end=lab.peer_port + 15, front=lab.port,
            ready=lab.port + 1, directory=lab.port + 2, grace_s=self.grace_s,
            link_mbps=self.link_mbps, store=self.store_address))

    async def start(self):
        lab = self.lab
        if lab.is_stopping:
            return
        self.write_settings()
        self.log_path = lab.folder / f"router-{self.number}.log"
        with open(self.log_path, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                *run_command(), cwd=ROOT, stdout=out, stderr=out,
                stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": str(lab.folder), "LANG": "C",
                     "TREFOILWICK_BOOT": str(self.settings_path)})
        lab.processes.append(self.process)
        lab.record(f"router {self.number} started at {self.ip}")

    async def kill(self):
        self.process.kill()
        await self.process.wait()

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await call(self.ip, self.lab.port + 1, "GET", "/ready",
                                "ready", {}, timeout=0.5)
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False
        return answer is not None and answer.status == 200


async def call(host, port, method, path, host_name, headers, body=b"",
               timeout=5.0):
    """One request on a new connection; None when it got no answer."""
    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request_bytes(
                method, path, host_name,
                {**headers, "Connection": "close"}, body))
            await writer.drain()
            return await read_message(reader, is_response=True)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


class Lab:
    """The processes and stand-ins of one case."""

    def __init__(self, case_folder):
        self.case_folder = Path(case_folder)
        self.out = open(self.case_folder / "record.txt", "w")
        self.started = now()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        # Addresses of this run only, so that two runs do not meet.
        self.net = f"127.{random.randrange(40, 200)}.{random.randrange(250)}"
        self.last_host = 0
        self.port = self.find_port(20000, 28000)
        self.peer_port = self.find_port(28000, 32000)
        self.servers, self.routers = [], []
        self.is_stopping = False
        self.processes = []  # all that were started
        self.store = Store(self.record)

    def record(self, text):
        if self.out.closed:
            return
        self.out.write(f"{now() - self.started:9.3f} {text}\n")
        self.out.flush()

    def next_host(self):
        self.last_host += 1
        return f"{self.net}.{self.last_host}"

    def find_port(self, low, high):
        for _ in range(100):
            port = random.randrange(low, high - 16)
            try:
                for offset in range(3):
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.1", port + offset))
                return port
            except OSError:
                continue
        raise CannotRun("no free port")

    async def start_store(self, config):
        await self.store.listen(self.next_host(), self.port)
        self.config = config
        self.store.put_json("op", "config", config)

    async def add_server(self, server):
        await server.start()
        self.servers.append(server)
        return server

    async def start_routers(self, count):
        for number in range(count):
            router = Router(self, number)
            self.routers.append(router)
            await router.start()
        deadline = now() + 15
        while not all([await r.is_ready() for r in self.routers]):
            if now() > deadline:
                raise CannotRun("the routers are not ready")
            await asyncio.sleep(0.1)

    def kill_processes(self):
        """Ends the processes that this case started, by their ids."""
        self.is_stopping = True
        for process in self.processes:
            if process.returncode is None:
                try:
                    os.kill(process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass

    async def stop(self):
        self.kill_processes()
        for process in self.processes:
            await process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def end_by_force(lab):
    lab.kill_processes()
    print("cannot run: the case did not end")
    sys.stdout.flush()
    os._exit(CANNOT_RUN_EXIT_CODE)


def run_case(case_folder, main, limit_s=110):
    """Runs `main(lab)`, which returns a list of violations. Returns 1 when
    there are any, 0 when there are none, and 2 after any other end."""
    async def run():
        lab = Lab(case_folder)
        watchdog = threading.Timer(HARD_LIMIT_S, end_by_force, [lab])
        watchdog.daemon = True
        watchdog.start()
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(main(lab), limit_s)
        finally:
            await lab.stop()
    try:
        violations = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"cannot run: {error!r}")
        return CANNOT_RUN_EXIT_CODE
    for line in violations:
        print(line)
    print("rule broken" if violations else "rule held")
    with open(Path(case_folder) / "record.txt", "a") as out:
        for line in violations:
            out.write(f"violation: {line}\n")
        out.write("rule broken\n" if violations else "rule held\n")
    return 1 if violations else 0
