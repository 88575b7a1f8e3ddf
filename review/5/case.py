"""A machine is cut off from the store and restarted; clients keep connections
that they opened meanwhile."""

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[0]))

from standins import clients, http, world as worlds
from standins.servers import RecordServer

CUT_S = 4.0
CONTACT_S = 3.0
# Clients keep an answer of the directory for three times its ttlS of 2 s.
KEPT_S = 6.0
CLIENTS = 90
LARGE_BODY = 1_500_000
MAX_BODY = 4_194_304


class World(worlds.World):
    def work_s(self):
        return 0.03


class StoreLink:
    """Path of one machine to the store."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.is_cut = False
        self._writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._connection, self.host, self.world.ports["store"])

    def cut(self):
        self.is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        if self.is_cut:
            writer.transport.abort()
            return
        there_reader, there = await asyncio.open_connection(
            self.world.store_host, self.world.ports["store"])
        self._writers |= {writer, there}
        await asyncio.gather(self._pass(reader, there),
                             self._pass(there_reader, writer))
        self._writers -= {writer, there}

    async def _pass(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


async def read_answer(reader):
    head = await http.read_head(reader)
    await http.read_body(reader, head)
    return head


async def client(world, address, opens_at, large_at, counts):
    """Opens a connection, sends a small request and keeps the connection for a
    large one."""
    await asyncio.sleep(opens_at - time.monotonic())
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), clients.CONNECT_S)
        for body in (b"x" * 600, b"x" * LARGE_BODY):
            if len(body) > 600:
                await asyncio.sleep(large_at - time.monotonic())
            attempt = worlds.attempt_id()
            writer.write(worlds.request_head(
                "POST", "/lookup/2f", attempt,
                **{"Deadline-Ms": "2500", "Content-Length": len(body)}) + body)
            head = await asyncio.wait_for(read_answer(reader), 5)
            status = int(head.first_line.split(" ")[1])
            counts["large" if len(body) > 600 else "small", status] += 1
            world.note("answer", instance=host, attempt=attempt,
                       bytes=len(body), status=status)
            if status // 100 == 4 and status not in (408, 421, 429):
                world.note("denied", attempt=attempt, status=status,
                           limit=MAX_BODY)
                counts["denied"] += 1
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            AttributeError) as error:
        counts["ended", type(error).__name__] += 1


async def case(folder):
    world = World(folder, ["regina", "regina", "regina"])
    try:
        for index in range(3):
            world.add_server(RecordServer, f"i-{index:02d}", "clubdesk",
                             "regina")
        world.configure(
            7, [world.route("/lookup/", "idempotent", "clubdesk",
                            timeoutMs=2400, priority=2)],
            [{"name": "clubdesk", "healthPath": "/healthz", "maxConns": 208,
              "protocol": "h1", "tls": False}], maxBodyBytes=MAX_BODY)
        victim = world.instances[0]
        link = StoreLink(world, victim.ip)
        await link.start()
        victim.store_host = victim.ip
        await world.start()
        if not await world.wait_ready():
            print("the instances did not start")
            return 2
        await asyncio.sleep(12)
        addresses = await clients.resolve(world, "regina")
        resolved_at = time.monotonic()
        if len(addresses) != 3:
            print("not all machines are in the directory")
            return 2
        counts = Counter()
        large_at = resolved_at + CUT_S + CONTACT_S + 2
        if worlds.trouble():
            link.cut()
            victim.send(signal.SIGKILL)
            world.note("cut off from the store and restarted",
                       instance=victim.name)
        for _ in range(CLIENTS):
            # While the answer of the directory is kept.
            opens_at = resolved_at + random.uniform(0.6, min(KEPT_S, CUT_S))
            world.task(client(world, random.choice(addresses), opens_at,
                              large_at + random.uniform(0, 2), counts))
        await asyncio.sleep(resolved_at + CUT_S - time.monotonic())
        link.is_cut = False
        world.note("the cut is over")
        await asyncio.sleep(2)
        world.note("directory", addresses=await clients.resolve(world,
                                                                "regina"))
        await asyncio.sleep(large_at + 6 - time.monotonic())
        sent = sum(n for kind, n in counts.items() if kind[0] in
                   ("small", "large"))
        most = 5 + sent / 500
        if counts["denied"] > most:
            world.found("DENIED", denied=counts["denied"], requests=sent)
        print(f"answers {dict(counts)}; broken: {world.findings or 'none'}")
        if counts["large", 200] < 10:
            return 2
        return 1 if world.findings else 0
    finally:
        world.close()


worlds.run_case(case, FOLDER)
