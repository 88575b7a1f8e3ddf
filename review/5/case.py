"""A request crashes each server that begins to run it, some tokens after the
first, and comes again."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[0]))

from standins import clients, world as worlds
from standins.servers import ModelServer

CLIENTS = 8
LENGTH_S = 40
DOWN_S = 4.0
COMES_AGAIN_S = 3.0
CONTACT_S = 3.0
# The crash comes this many events after the first of a run.
EVENTS_BEFORE_CRASH = 5
DEADLY_BODY = b'{"prompt":"deadly"}' + b" " * 700
DEADLY_PARTS = "3f:40,dead1234:720"


class World(worlds.World):
    def __init__(self, *args):
        super().__init__(*args)
        self.deadly = set()
        # Times of the crashes, and (time, attempt) of the runs of the deadly
        # request.
        self.crashes = []
        self.arrivals = []

    def on_arrival(self, server, attempt, head):
        super().on_arrival(server, attempt, head)
        if attempt in self.deadly:
            self.arrivals.append((time.monotonic(), attempt))


class DeadlyServer(ModelServer):
    async def send_event(self, attempt, number, event, first, writer):
        sent = await super().send_event(attempt, number, event, first, writer)
        if (worlds.trouble() and attempt in self.world.deadly
                and number - first + 1 >= EVENTS_BEFORE_CRASH and self.alive):
            self.world.crashes.append(time.monotonic())
            self.world.note("crash by the request", server=self.ident,
                            attempt=attempt)
            self.world.task(self.crash_for(DOWN_S))
            return False
        return sent


async def client(world, counts):
    while True:
        address = "%s:%d" % random.choice(world.instances).front
        answer = await clients.send(world, address, "POST", "/draft/2f",
                                    clients.stream_headers(), b"{}" * 400)
        counts[answer.status, answer.complete] += 1
        world.note("answer", attempt=answer.attempt, status=answer.status,
                   complete=answer.complete)


async def deadly_client(world, counts):
    while True:
        attempt = worlds.attempt_id()
        world.deadly.add(attempt)
        address = "%s:%d" % random.choice(world.instances).front
        headers = clients.stream_headers() | {"Prompt-Prefix": DEADLY_PARTS}
        answer = await clients.send(world, address, "POST", "/draft/dead",
                                    headers, DEADLY_BODY, attempt=attempt)
        counts["deadly", answer.status, answer.complete] += 1
        world.note("deadly answer", attempt=attempt, status=answer.status,
                   complete=answer.complete)
        await asyncio.sleep(COMES_AGAIN_S)


def late_retries(world):
    """Sends of an attempt beyond its first, later than contactMs after the
    third crash."""
    if len(world.crashes) < 3:
        return 0
    since = world.crashes[2] + CONTACT_S
    seen = set()
    count = 0
    for at, attempt in world.arrivals:
        if attempt in seen and at > since:
            count += 1
            world.note("late retry", attempt=attempt)
        seen.add(attempt)
    return count


async def case(folder):
    world = World(folder, ["regina", "regina", "regina"])
    try:
        for index in range(24):
            world.add_server(DeadlyServer, f"i-{index:02d}", "trefoil-pool",
                             "regina", kind="a100s")
        world.configure(7, [world.route("/draft/", "stream", "trefoil-pool")],
                        [{"name": "trefoil-pool", "healthPath": "/healthz",
                          "maxConns": 2444, "protocol": "h1", "tls": False,
                          "engine": world.engine()}])
        await world.start()
        if not await world.wait_ready() or not await world.wait_layers():
            print("the instances did not start")
            return 2
        counts = Counter()
        for _ in range(CLIENTS):
            world.task(client(world, counts))
        await asyncio.sleep(3)
        world.task(deadly_client(world, counts))
        await asyncio.sleep(LENGTH_S)
        retries = late_retries(world)
        if retries > 3:
            world.found("BUDGET", crashes=len(world.crashes),
                        late_retries=retries)
        print(f"answers {dict(counts)}; crashes {len(world.crashes)}; "
              f"late retries {retries}; broken: {world.findings or 'none'}")
        if counts[200, True] < 50:
            return 2
        return 1 if world.findings else 0
    finally:
        world.close()


worlds.run_case(case, FOLDER)
