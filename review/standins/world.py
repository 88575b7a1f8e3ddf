"""A small deployment on loopback: the store, the servers and the instances,
which are processes of the command in deploy/system.toml."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from . import http
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "review.example"
KEY = "key-of-club"
TENANT = "club"
# Kinds of accelerators of a small deployment: memory in MB.
KINDS = {"a100s": (36000.0, 3.1, 3.2), "l4": (21600.0, 16.0, 8.2)}

BOUNDS = """seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 8
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
"""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(hosts, count):
    """Ports that are free for TCP and UDP on all the given addresses."""
    out = []
    while len(out) < count:
        port = random.randint(20000, 30000)
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        if port not in out and port + 1 not in out and port - 1 not in out:
            out.append(port)
    return out


class Instance:
    """One process of the system, restarted after its end as the platform
    does."""

    def __init__(self, world, name, ip, zone):
        self.world = world
        self.name = name
        self.ip = ip
        self.zone = zone
        # Address of the store, or of a proxy before it.
        self.store_host = world.store_host
        self.process = None
        self.supervised = False
        self.file = world.directory / f"{name}.toml"
        self.log = world.directory / f"{name}.log"

    @property
    def front(self):
        return self.ip, self.world.ports["front"]

    def settings(self):
        ports = self.world.ports
        zones = "\n".join(f'{zone} = "prairie"' for zone in self.world.zones)
        seeds = json.dumps([f"{i.ip}:{ports['control']}"
                            for i in self.world.instances[:3]])
        return f"""nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front","directory"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "prairie"
portRange = [{ports['peer']},{ports['peer'] + 15}]
seeds = {seeds}
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
{zones}
[listen]
front = "{self.ip}:{ports['front']}"
ready = "{self.ip}:{ports['ready']}"
control = "{self.ip}:{ports['control']}"
directory = "{self.ip}:{ports['directory']}"
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
{BOUNDS}[platform]
address = "{self.store_host}:{ports['store']}"
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

    def spawn(self):
        self.file.write_text(self.settings())
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.world.command, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, cwd=ROOT,
                env={**env, "TREFOILWICK_BOOT": str(self.file)})

    async def supervise(self):
        self.supervised = True
        self.spawn()
        while self.supervised:
            await asyncio.sleep(0.05)
            code = self.process.poll()
            if code is None:
                continue
            self.world.note("process ended", instance=self.name, code=code)
            self.world.ended(self, code)
            await asyncio.sleep(0.3)
            if self.supervised:
                self.spawn()

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.supervised = False
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class World:
    zones = ["regina"]

    def __init__(self, folder, instances):
        """`folder` is that of the case; `instances` lists their zones."""
        self.folder = Path(folder)
        self.started = time.monotonic()
        self.record = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["entry"]["run"])
        self.command = [str(ROOT / words[0])] + words[1:]
        block = random.randint(2, 250)
        self.store_host = f"127.{block}.0.1"
        self.server_host = f"127.{block}.2."
        self.instances = []
        for index, zone in enumerate(instances):
            self.instances.append(Instance(
                self, f"front-{zone}-{index + 1}",
                f"127.{block}.1.{index + 1}", zone))
        ports = free_ports([self.store_host]
                           + [i.ip for i in self.instances], 6)
        self.ports = dict(zip(("front", "ready", "control", "directory",
                               "store", "peer"), ports))
        self.server_port = free_ports([self.server_host + "1"], 1)[0]
        self.store = Store()
        self.servers = []
        self.findings = []
        self._tasks = []

    # What servers and cases use.

    def server_at(self, address):
        return next((s for s in self.servers if s.address == address), None)

    def add_server(self, server_class, ident, service, zone, **options):
        server = server_class(self, ident, service, zone,
                      f"{self.server_host}{len(self.servers) + 1}",
                      self.server_port, **options)
        self.servers.append(server)
        return server

    def on_arrival(self, server, attempt, head):
        self.note("runs", server=server.ident, attempt=attempt,
                  last_event=head.get("last-event-id", "-"))

    def ended(self, instance, code):
        """Called when a process of the system has ended."""

    def event_count(self, attempt):
        return 30 + int(attempt[-2:], 16) % 40

    def event(self, attempt, number):
        text = f"{attempt}-{number}:".ljust(65, "x")
        return f"id: {number}\ndata: {text}\n\n".encode()

    def note(self, event_name, **fields):
        at = time.monotonic() - self.started
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{at:8.3f} {event_name} {text}\n")

    def found(self, rule, **fields):
        self.findings.append(rule)
        self.note("BROKEN " + rule, **fields)

    def task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    # Configuration.

    def engine(self):
        return {"slots": 192, "kvCapacity": 100000, "kvTokenBytes": 426000,
                "linkMbps": 480000.0, "stride": 2,
                "models": [{"name": "m0", "pace": 1.0, "loadS": 14.0,
                            "warmS": 1.0}],
                "step_ms": 0.85, "per_seq_ms": 0.00276,
                "context_per_k": 0.0037, "read_per_s": 272000.0,
                "pairs_per_m": 0.12, "chunk": 512, "report_lag_ms": 200.0,
                "loadsPerS": 0.0, "loads_at_once": 6, "delays": [],
                "usual": {"prompt": 772, "answer": 145}, "layers": 80,
                "layerMb": 1750.0, "actBytes": 21300, "pipeMbps": 9300.0,
                "kinds": [{"name": name, "mb": mb, "pace": pace,
                           "readX": read}
                          for name, (mb, pace, read) in KINDS.items()]}

    def route(self, prefix, kind, service, **fields):
        out = {"name": prefix.strip("/"), "host": HOST, "prefix": prefix,
               "kind": kind, "service": service, "timeoutMs": 20000,
               "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2,
               "public": False}
        if kind == "stream":
            out |= {"sticky": True, "resumable": True, "gapAimMs": 200}
        return out | fields

    def configure(self, version, routes, services, **limits):
        self.store.put("op", "config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                       **limits},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}]})

    # Start and end.

    async def start(self):
        await self.store.start(self.store_host, self.ports["store"])
        for server in self.servers:
            await server.start()
        for instance in self.instances:
            self.task(instance.supervise())

    async def wait_ready(self, seconds=20):
        """False when the instances are not all ready in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await self._is_ready(i) for i in self.instances]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _is_ready(self, instance):
        try:
            reader, writer = await asyncio.open_connection(
                instance.ip, self.ports["ready"])
            writer.write(http.head_bytes("GET /ready HTTP/1.1",
                                         {"Host": "x"}))
            head = await asyncio.wait_for(http.read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head.first_line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_layers(self, seconds=15):
        """False when the model servers do not hold all layers in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            held = [s.layers for s in self.servers
                    if getattr(s, "layers", None)]
            if all(any(a <= layer < b for a, b in held) for layer in range(80)):
                await asyncio.sleep(1.5)
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for instance in self.instances:
            instance.end()
        for task in self._tasks:
            task.cancel()
        self.record.close()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def request_head(method, path, attempt, **headers):
    return http.head_bytes(f"{method} {path} HTTP/1.1", {
        "Host": HOST, "Attempt-Id": attempt, "Credential": KEY, **headers})


def run_case(case, folder, limit_s=110):
    """Runs `case(folder)`, a coroutine that returns the exit code."""
    async def limited():
        task = asyncio.ensure_future(case(folder))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, limit_s)

    def ignore_cancelled(loop, context):
        if not isinstance(context.get("exception"),
                          (asyncio.CancelledError, OSError)):
            loop.default_exception_handler(context)

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(ignore_cancelled)
    try:
        code = loop.run_until_complete(limited())
    except (Exception, asyncio.CancelledError):
        # A case that could not run is no result.
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    # All processes have been ended; the open connections need no farewell.
    os._exit(code)
