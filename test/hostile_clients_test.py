#!/usr/bin/env python3
"""Clients outside the limits against one real `trefoilwick route` process.

Each case starts a process with small limits and lets a crowd of clients act.
It guards against a process that ends, that needs more memory or descriptors
than its settings allow, or that no longer answers ordinary clients. Nothing
that depends on the speed of the machine is checked.

  hostile_clients_test.py [CASE...]
"""

import asyncio
import os
import socket
import subprocess
import sys
import tempfile
import time
import types
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "soak"))
import http_lite  # noqa: E402
import servers  # noqa: E402
import store  # noqa: E402

MEMORY_MB = 48
MAX_FDS = 128
BODY_BYTES = 1 << 20
CROWD = 40
# More than the connections that the settings allow.
IDLE_CROWD = 80
HELD_BACK_BYTES = 64
# Limit on the time for which a crowd may be held up by backpressure.
SEND_S = 4
ORDINARY_ATTEMPTS = 10
ATTEMPT_S = 3
START_S = 15
NETWORK = f"127.{100 + os.getpid() % 100}"
INSTANCE = f"{NETWORK}.1.1"
PORTS = {"front": 8227, "ready": 8220, "directory": 8224, "metrics": 7341}

SETTINGS = f"""ip = "{INSTANCE}"
zone = "east"
portRange = [7340, 7355]
[listen]
front = "{INSTANCE}:{PORTS['front']}"
ready = "{INSTANCE}:{PORTS['ready']}"
directory = "{INSTANCE}:{PORTS['directory']}"
[limits]
cpuShare = 0.5
cores = 1
memoryMb = {MEMORY_MB}
maxFds = {MAX_FDS}
[bounds]
graceS = 5
[platform]
address = "{NETWORK}.0.1:8223"
"""


def route(prefix, service):
    return {"name": prefix.strip("/"), "host": "crowd.example",
            "prefix": prefix, "kind": "idempotent", "service": service,
            "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 1,
            "maxAttempts": 2, "public": False, "resumable": False,
            "gapAimMs": 200}


CONFIGURATION = {
    "version": 1,
    "routes": [route("/echo/", "records"), route("/waiting/", "absent")],
    "services": [{"name": "records"}, {"name": "absent"}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": BODY_BYTES,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "club", "apiKeys": ["key"]}]}


class Backend(servers.RecordsServer):
    async def work(self, head, run, writer):
        if "/slow" in run.request:
            await asyncio.sleep(1)
        body = b"r" * BODY_BYTES if "/large" in run.request else b"done"
        writer.write(http_lite.response_bytes(200, body,
                                              self.answer_headers(run)))
        return True


class World:
    def __init__(self):
        self.journal = servers.Journal()
        self.store = store.Store()

    async def start(self):
        await self.store.start(f"{NETWORK}.0.1", 8223)
        address = (f"{NETWORK}.2.1", 8080)

        async def no_proxy():
            pass
        proxy = types.SimpleNamespace(listen=address, start=no_proxy)
        await Backend(self, "i-0", "records", "east", proxy, address).start()
        self.store.put("op", "config", CONFIGURATION)
        await self.store.announce()

    async def register(self, server):
        self.store.put("servers", server.ident, server.row())
        await self.store.announce()


def head(path="/echo/a", key="key", **headers):
    ident = os.urandom(8).hex()
    return http_lite.head_bytes(
        f"POST {path} HTTP/1.1",
        {"Host": "crowd.example", "Credential": key, "Attempt-Id": ident,
         **{name.replace("_", "-"): value for name, value in headers.items()}})


def body_case(held_back, **fields):
    """A body of legal size, announced, without its last bytes."""
    size = BODY_BYTES - held_back
    return [head(Content_Length=BODY_BYTES, **fields), b"b" * size]


def chunked_case(chunk_bytes, end, body_bytes=BODY_BYTES, **fields):
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"c" * chunk_bytes)
    count = body_bytes // chunk_bytes - (0 if end else 1)
    return [head(Transfer_Encoding="chunked", **fields), chunk * count,
            b"0\r\n\r\n" if end else b""]


SHORT, LARGE_CHUNK, SMALL_CHUNK = HELD_BACK_BYTES, 64 * 1024, 4
# (ports, connections, bytes that each of them sends); nothing is read.
FRONT = ("front",)
AUXILIARY = ("ready", "directory", "metrics")
CASES = {
    "length_short": (FRONT, CROWD, lambda: body_case(SHORT)),
    "length_whole": (FRONT, CROWD, lambda: body_case(0)),
    "length_waiting": (FRONT, CROWD, lambda: body_case(0, path="/waiting/a")),
    "length_in_service": (FRONT, CROWD, lambda: body_case(0, path="/echo/slow")),
    "chunks_large_short": (FRONT, CROWD,
                           lambda: chunked_case(LARGE_CHUNK, False)),
    "chunks_large_whole": (FRONT, CROWD,
                           lambda: chunked_case(LARGE_CHUNK, True)),
    "chunks_small_short": (FRONT, CROWD,
                           lambda: chunked_case(SMALL_CHUNK, False)),
    "chunks_endless": (FRONT, CROWD,
                       lambda: chunked_case(LARGE_CHUNK, False,
                                            4 * BODY_BYTES)),
    "over_limit_announced": (
        FRONT, CROWD, lambda: [head(Content_Length=64 * BODY_BYTES),
                               b"b" * 4 * BODY_BYTES]),
    "unknown_key": (FRONT, CROWD, lambda: body_case(SHORT, key="other")),
    "unknown_route": (FRONT, CROWD, lambda: body_case(SHORT, path="/none")),
    "expect": (FRONT, CROWD, lambda: body_case(SHORT, Expect="100-continue")),
    "slow_readers": (FRONT, CROWD,
                     lambda: [head("/echo/large", Content_Length=0)]),
    "pipelined": (FRONT, CROWD,
                  lambda: [head("/echo/slow", Content_Length=0)]
                  + body_case(0) * 2),
    "endless_head": (FRONT, CROWD,
                     lambda: [head()[:-2], b"Field: value\r\n" * 75000]),
    "endless_extension": (FRONT, CROWD,
                          lambda: [head(Transfer_Encoding="chunked"),
                                   b"4;" + b"e" * BODY_BYTES]),
    "silent": (FRONT, IDLE_CROWD, lambda: []),
    "auxiliary_silent": (AUXILIARY, CROWD, lambda: []),
    "auxiliary_endless_head": (
        AUXILIARY, CROWD,
        lambda: [b"GET /metrics HTTP/1.1\r\n",
                 b"Field: value\r\n" * 75000]),
    "auxiliary_bodies": (
        AUXILIARY, CROWD,
        lambda: [b"GET /ready HTTP/1.1\r\nHost: x\r\n"
                 b"Content-Length: 8192\r\n\r\n", b"b" * 8000]),
}


async def connect(port):
    sock = socket.socket()
    sock.setblocking(False)
    # The responses of slow readers must not fit into the kernel's buffers.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await asyncio.get_running_loop().sock_connect(sock, (INSTANCE, port))
    return sock


async def act(port, parts, sockets):
    try:
        sock = await connect(port)
        sockets.append(sock)
        for part in parts:
            await asyncio.get_running_loop().sock_sendall(sock, part)
    except OSError:
        pass  # closed by the process


async def ordinary_request(size):
    """Status of one request with a body; None without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(INSTANCE,
                                                       PORTS["front"])
        try:
            writer.write(head(Content_Length=size) + b"o" * size)
            answer = await http_lite.read_head(reader)
            return answer and int(answer.first_line.split()[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), ATTEMPT_S)
    except (OSError, asyncio.TimeoutError):
        return None


async def is_answered(size):
    """Repeats a refused request, as an ordinary client does."""
    for _ in range(ORDINARY_ATTEMPTS):
        if await ordinary_request(size) == 200:
            return True
        await asyncio.sleep(0.2)
    return False


class Instance:
    def __init__(self, directory):
        boot = Path(directory) / "boot.toml"
        boot.write_text(SETTINGS)
        self.log = open(Path(directory) / "log", "ab")
        self.process = subprocess.Popen(
            [os.environ["TREFOILWICK_BIN"], "route"], stdout=self.log,
            stderr=self.log,
            env={**os.environ, "TREFOILWICK_BOOT": str(boot)})
        self.peak_fds = 0

    def count_fds(self):
        try:
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            count = 0
        self.peak_fds = max(self.peak_fds, count)

    def peak_mb(self):
        for line in Path(f"/proc/{self.process.pid}/status").open():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.log.close()


async def sample_fds(instance):
    while True:
        instance.count_fds()
        await asyncio.sleep(0.02)


async def run_crowd(case):
    ports, count, make = case
    sockets = []
    tasks = [asyncio.create_task(act(PORTS[port], make(), sockets))
             for _ in range(count) for port in ports]
    _, held_up = await asyncio.wait(tasks, timeout=SEND_S)
    return sockets, held_up


async def run_case(name, world, directory):
    findings = []
    world.journal.runs.clear()
    instance = Instance(directory)
    sampler = asyncio.create_task(sample_fds(instance))
    sockets, held_up = [], []
    try:
        end = time.monotonic() + START_S
        while await ordinary_request(10) != 200:
            if time.monotonic() > end:
                return ["the process did not start to serve"]
            await asyncio.sleep(0.1)
        idle_mb = instance.peak_mb()
        if not await is_answered(BODY_BYTES):
            findings.append("a request of legal size is not served, no load")
        sockets, held_up = await run_crowd(CASES[name])
        if not await is_answered(1000):
            findings.append("an ordinary request is not answered")
        # The crowd was accepted before the ordinary request.
        instance.count_fds()
        for task in held_up:
            task.cancel()
        for sock in sockets:
            sock.close()
        if not await is_answered(BODY_BYTES):
            findings.append("a request of legal size is not served afterwards")
        if instance.process.poll() is not None:
            return findings + [f"the process ended: {instance.process.poll()}"]
        peak_mb = instance.peak_mb()
        if peak_mb > MEMORY_MB:
            findings.append(f"peak memory over {MEMORY_MB} MB")
        if instance.peak_fds > MAX_FDS:
            findings.append(f"more than {MAX_FDS} descriptors")
        print(f"{name}: start {idle_mb:.1f} MB, peak {peak_mb:.1f} MB, "
              f"{instance.peak_fds} descriptors: "
              f"{'; '.join(findings) or 'ok'}", flush=True)
    finally:
        for sock in sockets:
            sock.close()
        sampler.cancel()
        instance.stop()
    return findings


def report_exception(loop, context):
    """Ignores connections of the stand-ins that are open at the end."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def main():
    asyncio.get_running_loop().set_exception_handler(report_exception)
    world = World()
    await world.start()
    failed = []
    for name in sys.argv[1:] or CASES:
        with tempfile.TemporaryDirectory() as directory:
            findings = await run_case(name, world, directory)
            if findings:
                print(f"FAILED {name}: {'; '.join(findings)}", flush=True)
                failed.append(name)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
