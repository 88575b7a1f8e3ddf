"""Stand-ins of a small deployment on loopback addresses: the platform's store,
backend servers, clients, and the platform that starts and stops processes.

All of them follow the users' pages (PROTOCOL.md, DEPLOY.md). One run uses one
block of addresses 127.BLOCK.*.* and a temporary folder.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The program and the command of deploy/system.toml.
COMMAND = [str(ROOT / "target/trefoilwick"), "route"]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
FRONT, READY, DIRECTORY, STORE = 8227, 8220, 8224, 8223
# Bounds of the sheet of motionhall.
GRACE_S = 8.0
DRAIN_S = 2.0
# A case gives up after this time, and is ended by force somewhat later.
RUN_LIMIT_S = 108
HARD_LIMIT_S = 115

# Processes that this run has started; none is started once it is stopping.
_started = []
_stopping = False


def spawn(command, **options):
    if _stopping:
        raise RuntimeError("the run is stopping")
    process = subprocess.Popen(command, **options)
    _started.append(process)
    return process


def end_processes():
    """Ends all processes that this run has started, by their ids."""
    global _stopping
    _stopping = True
    for process in _started:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


def now():
    return time.monotonic()


async def read_head(reader):
    """Returns (first line, headers), or None when the connection ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head_bytes(first_line, headers):
    lines = [first_line] + [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status, body=b"", headers=None):
    return head_bytes(f"HTTP/1.1 {status} S",
                      {"Content-Length": len(body), **(headers or {})}) + body


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = now()

    def add(self, text):
        self._file.write(f"{now() - self._start:9.3f} {text}\n")

    def close(self):
        self._file.close()


class Store:
    """The platform's metadata store: rows, a feed, transactions."""

    def __init__(self):
        self.version = 1
        self.rows = {}
        self._changed = asyncio.Condition()

    async def start(self, host):
        await asyncio.start_server(self._serve, host, STORE)

    async def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (json.dumps(value).encode(), self.version)
        async with self._changed:
            self._changed.notify_all()

    async def remove(self, table, key):
        self.rows.pop((table, key), None)
        self.version += 1

    async def _serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                status, out = await self._answer(head[0].split(" ")[1], body)
                writer.write(answer(status, json.dumps(out).encode(),
                                    {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _body(self, rows):
        return {"rows": rows, "truncated": False, "ver": self.version,
                "nowMs": int(now() * 1000)}

    def _row(self, row):
        value, version = self.rows[row]
        return {"table": row[0], "part": "", "key": row[1],
                "value": base64.b64encode(value).decode(), "ver": version}

    async def _answer(self, target, body):
        target = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == "/rows-tx":
            return self._transact(json.loads(body))
        if target.path == "/rows-get":
            rows = [self._row(r) for r in sorted(self.rows)
                    if r[0] == query["table"] and r[1] >= query.get("from", "")
                    and query.get("part", "") == ""]
            return 200, self._body(rows[:int(query.get("limit", "500"))])
        if target.path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _feed(self, query):
        since = int(query["sinceRev"])
        end = now() + int(query.get("waitMs", "0")) / 1000

        def changed():
            return [self._row(r) for r in sorted(self.rows)
                    if r[0] == query["table"] and self.rows[r][1] > since]

        async with self._changed:
            while not changed() and now() < end:
                try:
                    await asyncio.wait_for(self._changed.wait(), end - now())
                except asyncio.TimeoutError:
                    break
        return 200, self._body(changed())

    def _transact(self, call):
        if any(p["table"] in ("op", "servers") for p in call["puts"]):
            return 403, {}
        expected = [(e["table"], e["key"]) for e in call["expected"]]
        if any(self.rows.get((e["table"], e["key"]), (b"", 0))[1] != e["ver"]
               for e in call["expected"]):
            return 412, self._body([self._row(r) for r in expected
                                    if r in self.rows])
        self.version += 1
        for put in call["puts"]:
            self.rows[(put["table"], put["key"])] = (
                base64.b64decode(put["value"]), self.version)
        return 200, self._body([])


class Instance:
    """A process of the system, started and stopped as the platform does."""

    def __init__(self, deployment, index):
        self.ip = f"127.{deployment.block}.1.{index + 1}"
        self.file = deployment.folder / f"{self.ip}.toml"
        self.log = deployment.folder / f"{self.ip}.log"
        self.file.write_text(settings_text(self.ip, deployment.store_ip))
        self.process = None
        self.exits = []

    @property
    def front(self):
        return self.ip, FRONT

    def start(self):
        with open(self.log, "ab") as log:
            self.process = spawn(
                COMMAND, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ["PATH"],
                     "TREFOILWICK_BOOT": str(self.file)})

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def stop_as_planned(self):
        """SIGTERM, and SIGKILL after the grace time. Returns the time of the
        SIGTERM."""
        begin = now()
        self.signal(signal.SIGTERM)
        while self.process.poll() is None and now() < begin + GRACE_S:
            await asyncio.sleep(0.01)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        return begin

    async def wait_until_ready(self, timeout_s=10.0):
        end = now() + timeout_s
        while now() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, READY)
                writer.write(head_bytes("GET /ready HTTP/1.1", {"Host": "x"}))
                head = await read_head(reader)
                writer.close()
                if head and head[0].split(" ")[1] == "200":
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False


def settings_text(ip, store_ip):
    """The settings file of DEPLOY.md with the figures of motionhall's sheet."""
    return f"""nodeName = "front-{ip.split('.')[-1]}"
role = "entry"
machineClass = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "regina"
region = "prairie"
portRange = [7340, 7355]
seeds = []
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers"]
[zones]
regina = "prairie"
[listen]
front = "{ip}:{FRONT}"
ready = "{ip}:{READY}"
control = "{ip}:8229"
directory = "{ip}:{DIRECTORY}"
[limits]
cpuShare = 0.17
cores = 1
memoryMb = 182
maxFds = 2940
linkMbps = 700.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
applyMs = 2000
backMs = 250
outerMs = 5000
reuseAfterS = 2
retryRatio = 0.2
retryWindowS = 10
retrySlack = 425
recoverS = 12
passMs = 120
stall_ms = 3000
requireFence = true
ttl_max_s = 5
[platform]
address = "{store_ip}:{STORE}"
form = "table"
writesPerS = 400
readsPerS = 2000
rowBytes = 65536
historyS = 20
"""


def route(prefix, kind, service, **more):
    """A route with the figures of motionhall's sheet."""
    stream = kind == "stream"
    return {"name": "r-" + prefix.strip("/"), "host": HOST, "prefix": prefix,
            "kind": kind, "service": service,
            "timeoutMs": 20000 if stream else 2500,
            "targetLatencyMs": 500 if stream else 150, "priority": 0,
            "maxAttempts": 2, "public": False, "sticky": stream,
            "resumable": stream, "gapAimMs": 200, **more}


class Deployment:
    """Store, instances and servers in one block of loopback addresses."""

    def __init__(self, instances):
        self.block, self._reservation = reserve_block()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store_ip = f"127.{self.block}.0.1"
        self.store = Store()
        self.instances = [Instance(self, i) for i in range(instances)]
        self.servers = []
        self.version = 0

    async def start(self, routes, services):
        await self.store.start(self.store_ip)
        for server in self.servers:
            await server.start()
        await self.configure(routes, services)
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            if not await instance.wait_until_ready():
                raise RuntimeError(f"{instance.ip} is not ready")
        # Traffic starts 10 s after the machines; the coordinator is known by
        # then.
        await asyncio.sleep(3)

    async def configure(self, routes, services, keys=(KEY,)):
        self.version += 3
        await self.store.put("op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": s, "healthPath": "/healthz",
                          "maxConns": 2444, "protocol": "h1", "tls": False}
                         if isinstance(s, str) else s for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": list(keys),
                         "priority": 1}]})

    def stop(self):
        end_processes()
        self._temporary.cleanup()
        self._reservation.close()


def reserve_block():
    """A block of loopback addresses that no other run on this machine uses."""
    blocks = list(range(60, 250))
    random.shuffle(blocks)
    for block in blocks:
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{block}.255.254", STORE))
            return block, reservation
        except OSError:
            reservation.close()
    raise RuntimeError("no free block of addresses")


class Server:
    """A backend server of a service without layers. Registers in the store and
    calls `work(request, writer, reader)` for each request that it runs."""

    def __init__(self, deployment, ident, service, work, register=True):
        self.deployment = deployment
        self.ident = ident
        self.service = service
        self.work = work
        self.register = register
        self.ip = f"127.{deployment.block}.2.{len(deployment.servers) + 1}"
        self.address = f"{self.ip}:8500"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        deployment.servers.append(self)

    async def start(self):
        await asyncio.start_server(self._serve, self.ip, 8500, backlog=1000)
        if self.register:
            asyncio.ensure_future(self._beat())

    def row(self):
        self.seq += 1
        return {"service": self.service, "address": self.address,
                "zone": "regina", "version": "v1", "slots": 192,
                "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                "born": self.born}

    async def _beat(self):
        while True:
            await self.deployment.store.put("servers", self.ident, self.row())
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                first, headers = head
                body = await read_body(reader, headers)
                if headers.get("expect-instance", self.ident) != self.ident:
                    writer.write(answer(421, b"",
                                        {"Instance-Id": self.ident}))
                    continue
                if first.split(" ")[1] == "/healthz":
                    writer.write(answer(200, b"",
                                        {"Instance-Id": self.ident}))
                    continue
                if not await self.work(self, first, headers, body, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def headers(self, attempt):
        return {"Attempt-Id": attempt, "Server-Seal": f"{self.ident}.{attempt}"}


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def request_bytes(method, target, attempt, deadline_ms, body=b"", **more):
    headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": deadline_ms,
               "Credential": KEY, **more}
    if body or method == "POST":
        headers["Content-Length"] = len(body)
    return head_bytes(f"{method} {target} HTTP/1.1", headers) + body


def main(run, case_folder):
    """Runs `run(record, trouble)`, which returns the broken findings as texts,
    and exits with 1 if there are any, with 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(case_folder) / "record.txt")

    async def run_and_exit():
        # Tasks of connections that are open at the end are not waited for.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        code = 2
        try:
            findings = await asyncio.wait_for(run(record, trouble),
                                              RUN_LIMIT_S)
            for finding in findings:
                record.add("BROKEN " + finding)
                print("BROKEN", finding)
            if not findings:
                record.add("HELD")
                print("HELD")
            code = 1 if findings else 0
        except Exception as error:  # The case could not run.
            record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        finally:
            end_processes()
            record.close()
            sys.stdout.flush()
            os._exit(code)

    def end_by_force():
        end_processes()
        os._exit(2)

    watchdog = threading.Timer(HARD_LIMIT_S, end_by_force)
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(run_and_exit())
