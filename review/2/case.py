"""All servers of one of two services of a split route crash."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[0]))

from standins import clients, world as worlds
from standins.servers import RecordServer

LENGTH_S = 96
CRASH_EVERY_S = 9.0
DOWN_S = 4.5
LOOKUPS_PER_S = 30
BALLOTS_PER_S = 30


class World(worlds.World):
    def __init__(self, *args):
        super().__init__(*args)
        # Attempts that a server began to work on.
        self.run = {}

    def on_arrival(self, server, attempt, head):
        super().on_arrival(server, attempt, head)
        self.run[attempt] = server.ident

    def work_s(self):
        """30 ms at the mean, and five times as long for one in a hundred."""
        factor = 5 if random.random() < 0.01 else 1
        return min(0.22, factor * 0.03 * random.lognormvariate(-0.11, 0.47))


async def request(world, kind, counts):
    address = "%s:%d" % random.choice(world.instances).front
    method, path, body = {
        "ballot": ("POST", "/ballot/2f", b"x" * 600),
        "lookup": ("GET", "/lookup/2f", b"")}[kind]
    answer = await clients.send(world, address, method, path, body=body,
                                deadline_s=2.5)
    world.note("answer", kind=kind, attempt=answer.attempt,
               status=answer.status)
    counts[kind, answer.status] += 1
    if kind == "ballot" and answer.status in (408, 421, 429, 503):
        # A server may still begin to work on it.
        await asyncio.sleep(2.5)
        if answer.attempt in world.run:
            world.found("REFUSED", attempt=answer.attempt,
                        status=answer.status, ran=world.run[answer.attempt])


async def traffic(world, kind, per_s, counts):
    while True:
        await asyncio.sleep(random.expovariate(per_s))
        world.task(request(world, kind, counts))


async def case(folder):
    world = World(folder, ["regina", "regina"])
    try:
        for index in range(6):
            world.add_server(RecordServer, f"i-{index:02d}",
                             "clubdesk" if index < 3 else "clubdesk-new",
                             "regina")
        both = [{"service": "clubdesk", "weight": 50},
                {"service": "clubdesk-new", "weight": 50}]
        plain = {"timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2}
        ballot = world.route("/ballot/", "non_idempotent", "", **plain,
                             maxAttempts=1, backends=both)
        del ballot["service"]
        world.configure(
            7, [ballot, world.route("/lookup/", "idempotent", "clubdesk",
                                    **plain)],
            [{"name": name, "healthPath": "/healthz", "maxConns": 208,
              "protocol": "h1", "tls": False}
             for name in ("clubdesk", "clubdesk-new")])
        await world.start()
        if not await world.wait_ready():
            print("the instances did not start")
            return 2
        counts = Counter()
        world.task(traffic(world, "ballot", BALLOTS_PER_S, counts))
        world.task(traffic(world, "lookup", LOOKUPS_PER_S, counts))
        await asyncio.sleep(3)
        for _ in range(int((LENGTH_S - 3) / CRASH_EVERY_S)):
            if worlds.trouble():
                for server in world.servers[:3]:
                    world.task(server.crash_for(DOWN_S))
            await asyncio.sleep(CRASH_EVERY_S)
        await asyncio.sleep(3)
        print(f"answers {dict(counts)}; broken: "
              f"{Counter(world.findings) or 'none'}")
        if counts["ballot", 200] < 200:
            return 2
        return 1 if world.findings else 0
    finally:
        world.close()


worlds.run_case(case, FOLDER)
