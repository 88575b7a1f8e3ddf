#!/usr/bin/env python3
"""Randomized fault soak: real instances as processes on loopback.

Store, backend servers and clients are stand-ins in this process. Faults are
injected from outside the instances, several at a time: links that are delayed,
reset, cut in one or both directions, or silenced; signals; a store that is
down, silent, slow or loses answers; servers that crash, fail, cut answers,
send garbage or leave; configuration changes. The records of clients and
servers are checked against the guarantees.

  soak.py --bin TREFOILWICK [--seeds 50 | --seed N ...] [--jobs 3]
"""

import argparse
import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import checks
import clients
import servers
import store
from proxy import Proxy

ZONES = ("east", "west")
STARTUP_S = 4.0
FAULTS_S = 12.0
# Time to recover after the last fault, then time to check the recovery.
RECOVERY_S = 6.0
RECOVERY_CHECK_S = 4.0
VARIANT_SEED_OFFSET = 1 << 40
# Share of the faults of servers in which they send garbage instead.
GARBAGE_SHARE = 0.4
# Rollbacks of the store to a copy: time away, age of the copy, time until the
# rows that it lacks are written again, and time until it drops those that nobody
# writes any more.
MAX_AWAY_S = 3.0
COPY_AGE_S = (0.5, 10.0)
MAX_REWRITE_S = 2.0
REVIVAL_S = 6.0
GRACE_S = 5
MAX_BODY_BYTES = 8 << 20
ACCOUNT = "club"
KEY = "key-of-club"
MODEL, RECORDS = "model-pool", "records"
KINDS = {"big": 6000.0, "small": 4000.0}
CALLS = [("stream", "/draft/a", "POST"), ("stream", "/draft/b", "POST"),
         ("once", "/ballot/x", "POST"), ("again", "/lookup/y", "GET")]
CHANGING = ("/added-0/", "/added-1/")


def settings_text(ip, zone, store_port):
    return f"""ip = "{ip}"
zone = "{zone}"
portRange = [7340, 7355]
[listen]
front = "{ip}:8227"
ready = "{ip}:8220"
directory = "{ip}:8224"
[limits]
cpuShare = 0.5
cores = 1
memoryMb = 182
maxFds = 1024
[bounds]
graceS = {GRACE_S}
drainMs = 2000
retryRatio = 0.2
retrySlack = 400
retryWindowS = 10
[platform]
address = "{ip}:{store_port}"
"""


def report_exception(loop, context):
    """Ignores cancelled tasks of connections that are open at the end."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


class Instance:
    """An instance process behind proxies to its clients and to the store."""

    def __init__(self, world, ip, zone):
        self.world = world
        self.ip = ip
        self.zone = zone
        self.process = None
        self.supervised = True
        # Intervals in which a fault affected the process or its links.
        self.disturbances = []
        # (SIGTERM, end) of planned stops.
        self.stops = []
        self.client_link = Proxy((ip, 9227), (ip, 8227))
        self.store_link = Proxy((ip, 9223), world.store_address)
        self.file = world.directory / f"{ip}.toml"
        self.log = world.directory / f"{ip}.log"

    async def start(self):
        self.file.write_text(settings_text(self.ip, self.zone, 9223))
        await self.client_link.start()
        await self.store_link.start()
        self.spawn()

    def spawn(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [self.world.binary, "route"], stdout=log, stderr=log,
                env={**os.environ, "TREFOILWICK_BOOT": str(self.file)})

    async def supervise(self):
        """Restarts the process after each end, as the platform does."""
        while self.supervised:
            await asyncio.sleep(0.1)
            code = self.process.poll()
            if code is None:
                continue
            if code not in (0, -signal.SIGKILL):
                self.world.findings.append(
                    f"{self.ip} exited unexpectedly with {code}")
            await asyncio.sleep(0.3)
            self.spawn()

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def term(self):
        stopped = time.monotonic()
        self.send(signal.SIGTERM)
        end = stopped + GRACE_S
        process = self.process
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            process.kill()
        self.stops.append((stopped, time.monotonic()))

    async def kill(self):
        self.supervised = False
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class World:
    """All state of the run of one seed."""

    def __init__(self, binary, seed, count, directory, block, rollbacks):
        self.binary = binary
        self.seed = seed
        self.random = random.Random(seed)
        # Separate, so that seeds of earlier failures keep their faults.
        self.variant_random = random.Random(seed + VARIANT_SEED_OFFSET)
        self.garbage_random = random.Random(seed + 2 * VARIANT_SEED_OFFSET)
        self.rollback_random = random.Random(seed + 3 * VARIANT_SEED_OFFSET)
        self.directory = directory
        self.block = block
        self.rollbacks = rollbacks
        self.store = store.Store()
        self.store_address = (f"127.{block}.0.1", 8223)
        self.journal = servers.Journal()
        self.attempts = []
        self.findings = []
        self.zones = ZONES
        self.calls = CALLS + [("again", p + "z", "GET") for p in CHANGING]
        self.key = KEY
        self.store_disturbances = []
        self.server_disturbances = []
        self.changes = []
        self.closed_intervals = {}
        self.version = 0
        self.present = set()
        self.servers = []
        self.fault_log = []
        self.instances = [
            Instance(self, f"127.{block}.1.{1 + i}", ZONES[i % len(ZONES)])
            for i in range(count)]
        self._make_servers()

    def _make_servers(self):
        for index in range(14):
            zone = ZONES[index % 2]
            model = index < 12
            ip = f"127.{self.block}.2.{1 + index}"
            proxy = Proxy((ip, 8080), (ip, 8081))
            args = (self, f"i-{index}", MODEL if model else RECORDS, zone,
                    proxy, (ip, 8081))
            self.servers.append(
                servers.ModelServer(*args, kind="big" if index % 4 < 2 else
                                    "small")
                if model else servers.RecordsServer(*args))

    # Interface for stand-ins and clients.

    def server_at(self, address):
        return next((s for s in self.servers if s.address == address), None)

    def directories(self, zone):
        same_zone = [i for i in self.instances if i.zone == zone]
        return [(i.ip, 8224) for i in same_zone + self.instances]

    def front_address(self, instance):
        return instance.split(":")[0], 9227

    def is_silenced(self, instance, port):
        ip = instance.split(":")[0]
        return next(i for i in self.instances
                    if i.ip == ip).client_link.is_silenced(port)

    async def register(self, server):
        if self.store.fault in (store.StoreFault.DOWN, store.StoreFault.SILENT):
            return
        self.store.put("servers", server.ident, server.row())
        await self.store.announce()

    def check_order(self, server, layers):
        max_layers = KINDS[server.kind] / 1000
        if layers[1] - layers[0] > max_layers:
            self.findings.append(f"{server.ident} was ordered to hold {layers}")

    # Configuration.

    async def configure(self, present):
        now = time.monotonic()
        for prefix in CHANGING:
            if (prefix in present) != (prefix in self.present):
                self.changes.append((now, prefix, prefix in present))
        self.present = set(present)
        self.version += self.random.randint(1, 5)
        self.store.put("op", "config", self._configuration())
        await self.store.announce()

    def _configuration(self):
        def route(prefix, kind, service, rank):
            return {"name": prefix.strip("/"), "host": "soak.example",
                    "prefix": prefix, "kind": kind, "service": service,
                    "timeoutMs": 8000, "targetLatencyMs": 500,
                    "priority": rank, "maxAttempts": 2, "public": False,
                    "resumable": kind == "stream", "gapAimMs": 200}

        routes = [route("/draft/", "stream", MODEL, 0),
                  route("/ballot/", "non_idempotent", RECORDS, 1),
                  route("/lookup/", "idempotent", RECORDS, 1)]
        routes += [route(p, "idempotent", RECORDS, 2) for p in
                   sorted(self.present)]
        engine = {"slots": 64, "kvTokenBytes": 80000, "layers": servers.LAYERS,
                  "layerMb": 1000.0, "actBytes": 100, "pipeMbps": 9000.0,
                  "step_ms": 0.5, "per_seq_ms": 0.01, "read_per_s": 272000.0,
                  "loads_at_once": 6, "usual": {"prompt": 60, "answer": 50},
                  "models": [{"name": "m", "loadS": 1.0}],
                  "kinds": [{"name": name, "mb": mb, "pace": 1, "readX": 1}
                            for name, mb in KINDS.items()]}
        return {"version": self.version, "routes": routes,
                "services": [{"name": MODEL, "engine": engine},
                             {"name": RECORDS}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                "tenants": [{"name": ACCOUNT, "apiKeys": [KEY]}]}

    # Faults. Each lasts for a while and is then undone.

    def record_disturbance(self, intervals, seconds):
        now = time.monotonic()
        intervals.append((now, now + seconds))

    async def inject_process_fault(self, instance):
        fault_kind = self.random.choice(("term", "kill", "stop", "hup", "term"))
        self.fault_log.append(f"{fault_kind} {instance.ip}")
        if fault_kind == "term":
            await instance.term()
            # Requests that arrive during the restart are affected too.
            self.record_disturbance(instance.disturbances, 1)
        elif fault_kind == "kill":
            self.record_disturbance(instance.disturbances, 1.5)
            instance.send(signal.SIGKILL)
        elif fault_kind == "stop":
            pause = self.random.uniform(0.2, 3)
            self.record_disturbance(instance.disturbances, pause + 0.5)
            instance.send(signal.SIGSTOP)
            await asyncio.sleep(pause)
            instance.send(signal.SIGCONT)
        else:
            instance.send(signal.SIGHUP)

    async def inject_link_fault(self, link, intervals):
        fault_kind = self.random.choice((
            "delay", "reset", "up", "down", "both", "silence"))
        self.fault_log.append(f"{fault_kind} {link.listen[0]}:{link.listen[1]}")
        duration_s = self.random.uniform(0.3, 3)
        self.record_disturbance(intervals, duration_s + 1)
        if fault_kind == "delay":
            link.delay_s = self.random.uniform(0.01, 0.3)
        elif fault_kind == "reset":
            link.reset()
        elif fault_kind == "silence":
            link.silence()
        else:
            link.cut(up=fault_kind != "down", down=fault_kind != "up")
        await asyncio.sleep(duration_s)
        link.heal()

    async def inject_store_fault(self):
        fault = self.random.choice([f for f in store.StoreFault
                                    if f is not store.StoreFault.NONE])
        self.fault_log.append(f"store {fault.value}")
        duration_s = self.random.uniform(0.5, 4)
        self.record_disturbance(self.store_disturbances, duration_s + 1)
        self.store.fault = fault
        await asyncio.sleep(duration_s)
        self.store.fault = store.StoreFault.NONE

    async def run_rollback(self):
        """The store is away and comes back from a copy."""
        await asyncio.sleep(self.rollback_random.uniform(0, FAULTS_S))
        away_s = self.rollback_random.uniform(0, MAX_AWAY_S)
        age_s = self.rollback_random.uniform(*COPY_AGE_S)
        self.fault_log.append(f"rollback, away {away_s:.2f}, copy {age_s:.2f}")
        self.record_disturbance(self.store_disturbances,
                                away_s + MAX_REWRITE_S + 1)
        self.store.fault = store.StoreFault.DOWN
        await asyncio.sleep(away_s)
        self.store.roll_back(age_s)
        self.store.fault = store.StoreFault.NONE
        await self.store.announce()
        await asyncio.gather(*[
            self.write_again(row_id,
                             self.rollback_random.uniform(0, MAX_REWRITE_S))
            for row_id in sorted(self.store.lost)])
        await asyncio.sleep(REVIVAL_S - MAX_REWRITE_S)
        self.store.drop_revived()
        await self.store.announce()

    async def write_again(self, row_id, delay_s):
        await asyncio.sleep(delay_s)
        await self.store.write_again(row_id)

    def pick_answering_server(self, server):
        """Another server of the service that answers clients: of model servers
        only those with the first layers do."""
        answering = [s for s in self.servers if s.service == server.service
                     and s.alive and not s.draining
                     and (s.service != MODEL or (s.layers or (1,))[0] == 0)]
        return self.garbage_random.choice(answering) if answering else server

    async def inject_server_fault(self, server):
        if not server.alive or server.draining:
            return
        fault_kind = self.random.choice(
            server.FAULTS + ("crash", "crash", "leave", "late orders"))
        if (fault_kind in server.FAULTS
                and self.garbage_random.random() < GARBAGE_SHARE):
            fault_kind = server.GARBAGE
            server = self.pick_answering_server(server)
        self.fault_log.append(f"server {server.ident} {fault_kind}")
        duration_s = self.random.uniform(0.5, 4)
        self.record_disturbance(self.server_disturbances, duration_s + 2)
        if fault_kind == "crash":
            await server.crash()
            await asyncio.sleep(duration_s)
            if self.random.random() < 0.5:
                self.store.remove("servers", server.ident)
                server.ident += "n"
            await server.start()
        elif fault_kind == "leave":
            begin = time.monotonic()
            if self.variant_random.random() < 0.5:
                self.fault_log.append(f"server {server.ident} unlisted")
                await server.leave_unlisted(2.5 * checks.DRAIN_S)
            else:
                await server.leave(checks.DRAIN_S)
                self.closed_intervals[server.ident] = (
                    begin + checks.DRAIN_S, time.monotonic())
            server.ident += "n"
            await server.start()
        elif fault_kind == "late orders":
            server.order_delay_s = 1.5
            await asyncio.sleep(duration_s)
            server.order_delay_s = 0.0
        else:
            server.fault = fault_kind
            if fault_kind == "refuse" and self.variant_random.random() < 0.5:
                server.pause_s = self.variant_random.uniform(0.3, 3)
            await asyncio.sleep(duration_s)
            server.fault = server.pause_s = None

    async def change_configuration(self):
        self.fault_log.append("configuration")
        await self.configure({p for p in CHANGING
                              if self.random.random() < 0.5})

    def next_fault(self):
        instance = self.random.choice(self.instances)
        server = self.random.choice(self.servers)
        return self.random.choice((
            lambda: self.inject_process_fault(instance),
            lambda: self.inject_process_fault(instance),
            lambda: self.inject_link_fault(instance.client_link,
                                           instance.disturbances),
            lambda: self.inject_link_fault(instance.store_link,
                                           instance.disturbances),
            lambda: self.inject_link_fault(server.proxy,
                                           self.server_disturbances),
            lambda: self.inject_server_fault(server),
            lambda: self.inject_server_fault(server),
            self.inject_store_fault,
            self.change_configuration))()

    async def inject_faults_until(self, end):
        tasks = []
        while time.monotonic() < end:
            for _ in range(self.random.choice((1, 1, 1, 2, 3))):
                tasks.append(asyncio.create_task(self.next_fault()))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*tasks)

    # The run.

    async def run(self):
        asyncio.get_running_loop().set_exception_handler(report_exception)
        await self.store.start(*self.store_address)
        await self.configure({CHANGING[0]})
        for server in self.servers:
            await server.start()
        for instance in self.instances:
            await instance.start()
        supervisors = [asyncio.create_task(i.supervise())
                       for i in self.instances]
        try:
            await asyncio.sleep(STARTUP_S)
            end = time.monotonic() + FAULTS_S
            # Clients run until they are cancelled at the end of the recovery
            # check.
            load = [asyncio.create_task(
                clients.Client(self, i, self.seed).run(float("inf")))
                for i in range(8)]
            self.journal.answers_early = True
            rollbacks = [asyncio.create_task(self.run_rollback())
                         for _ in range(self.rollbacks)]
            await self.inject_faults_until(end)
            await asyncio.gather(*rollbacks)
            self.journal.answers_early = False
            await asyncio.sleep(RECOVERY_S)
            recovered_at = time.monotonic()
            await asyncio.sleep(RECOVERY_CHECK_S)
            for task in load + supervisors:
                task.cancel()
            results = await asyncio.gather(*load, *supervisors,
                                           return_exceptions=True)
            for result in results:
                if isinstance(result, Exception):
                    raise result
            now = time.monotonic()
            for attempt in self.attempts:
                attempt.ended = attempt.ended or now
            self.check(recovered_at, now)
        finally:
            for instance in self.instances:
                await instance.kill()

    @staticmethod
    def _any_overlap(intervals, begin, end):
        return any(a < end and b > begin for a, b in intervals)

    def ran_on(self, begin, end, instance):
        """True when no fault affected the instance or its links, whatever the
        state of the store."""
        found = next(i for i in self.instances if i.ip in instance)
        return not self._any_overlap(found.disturbances + found.stops, begin,
                                     end)

    def undisturbed(self, begin, end, instance, ignore_stops=False):
        found = next(i for i in self.instances if i.ip in instance)
        stops = [] if ignore_stops else found.stops
        return not (self._any_overlap(found.disturbances + stops,
                                      begin, end)
                    or self._any_overlap(self.store_disturbances,
                                         begin, end))

    def check(self, recovered_at, now):
        attempts, runs = self.attempts, self.journal.runs
        done = [a for a in attempts if a.ended < now or a.complete]
        by_ident = {a.ident: a for a in attempts}

        def instances(attempt):
            return [by_ident[attempt].instance] if attempt in by_ident else []

        def undisturbed_except_stops(begin, end, instance):
            return self.undisturbed(begin, end, instance, True) and not (
                self._any_overlap(self.server_disturbances, begin, end))

        self.findings += [
            f"{name}: {text}" for name, texts in (
                ("mixed", checks.mixed_answers(attempts)),
                ("twice", checks.run_twice(attempts, runs)),
                ("refused", checks.refused_but_run(attempts, runs)),
                ("not asked", checks.not_asked(attempts, runs, ACCOUNT)),
                ("path", checks.bad_paths(runs)),
                ("attempts", checks.too_many_servers(attempts, runs, 2)),
                ("drain", checks.after_drain(
                    self.journal.arrivals, self.closed_intervals,
                    self.undisturbed, instances)),
                ("announcement", checks.after_announcement(
                    self.journal.announcements, self.journal.arrivals,
                    by_ident, self.ran_on)),
                ("pause", checks.during_pause(
                    self.journal.pauses, self.journal.arrivals, by_ident,
                    self.ran_on)),
                ("unanswered", checks.unanswered(done, self.undisturbed)),
                ("lost", checks.lost_around_stop(
                    done, {f"{i.ip}:8227": i.stops for i in self.instances},
                    undisturbed_except_stops, self.journal.broken_off())),
                ("gone", checks.work_after_client_left(done, runs,
                                                       self.undisturbed)),
                ("configuration", checks.stale_configuration(
                    done, runs, self.changes, self.undisturbed)),
                ("denied", checks.denied(attempts, CHANGING)),
                ("recover", checks.not_recovered(
                    [a for a in done if "added" not in a.request],
                    recovered_at)),
            ) for text in texts]


def run_seed(args, seed, block):
    directory = Path(args.logs) / f"seed-{seed}"
    directory.mkdir(parents=True, exist_ok=True)
    for old in directory.glob("*.log"):
        old.unlink()
    world = World(args.bin, seed, args.instances, directory, block,
                  args.rollbacks)
    asyncio.run(world.run())
    served = sum(a.complete and a.status == 200 for a in world.attempts)
    print(f"seed {seed}: {len(world.attempts)} requests, {served} served, "
          f"{len(world.fault_log)} faults, {len(world.findings)} findings",
          flush=True)
    for finding in world.findings[:12]:
        print("  " + finding)
    if world.findings:
        (directory / "faults.txt").write_text("\n".join(world.fault_log) + "\n")
    return not world.findings


def reserve_blocks(count):
    """Reserves blocks of loopback addresses that no other soak on this machine
    uses. Each is reserved while its socket is open."""
    blocks = {}
    for block in range(10, 250):
        if len(blocks) == count:
            break
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{block}.255.254", 8223))
            blocks[block] = reservation
        except OSError:
            reservation.close()
    return blocks


def run_in_parallel(args, seeds):
    """Runs one process per seed, each with its own block of loopback addresses.

    Returns the seeds that failed.
    """
    running, failed, queue = {}, [], list(seeds)
    blocks = reserve_blocks(args.jobs)
    while queue or running:
        for block in blocks:
            if block not in running and queue:
                seed = queue.pop(0)
                running[block] = seed, subprocess.Popen(
                    [sys.executable, __file__, "--bin", args.bin, "--logs",
                     args.logs, "--instances", str(args.instances),
                     "--rollbacks", str(args.rollbacks), "--block", str(block),
                     "--seed", str(seed)])
        time.sleep(0.2)
        for block, (seed, process) in list(running.items()):
            if process.poll() is not None:
                del running[block]
                if process.returncode:
                    failed.append(seed)
    return failed


def regression_seeds():
    """Seeds of earlier failures; the rest of each line is the cause."""
    path = Path(__file__).with_name("regressions.txt")
    return [int(line.split()[0]) for line in path.read_text().splitlines()
            if line and line[0].isdigit()]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bin", required=True,
                        help="path of the trefoilwick program")
    parser.add_argument("--seed", type=int, nargs="*", default=[])
    parser.add_argument("--seeds", type=int, default=0,
                        help="number of random seeds to run")
    parser.add_argument("--regressions", action="store_true",
                        help="run the seeds of regressions.txt")
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--rollbacks", type=int, default=0,
                        help="rollbacks of the store in the run of a seed")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--logs", default="build/soak")
    parser.add_argument("--block", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.block is not None:
        sys.exit(0 if run_seed(args, args.seed[0], args.block) else 1)
    fresh = random.SystemRandom()
    seeds = args.seed + [fresh.randrange(10**9) for _ in range(args.seeds)]
    if args.regressions:
        seeds += regression_seeds()
    failed = run_in_parallel(args, seeds)
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    if failed:
        print("failed seeds:", *failed)
        sys.exit(1)


if __name__ == "__main__":
    main()
