"""Many users come at once. Their connections are kept: a client whose draft was
refused sends its next request on the same connection."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[0]))

from standins import clients, kept, world as worlds
from standins.servers import ModelServer, RecordServer

LENGTH_S = 100
DRAFTS_PER_S = 15
BURST_X = 2.6
BURST_S = 6.0
BURST_EVERY_S = 8.0
# Requests that a model server runs at once.
SLOTS = 16


class World(worlds.World):
    def __init__(self, *args):
        super().__init__(*args)
        # Attempts that a server began to work on.
        self.run = {}

    def engine(self):
        return super().engine() | {"slots": SLOTS}

    def on_arrival(self, server, attempt, head):
        super().on_arrival(server, attempt, head)
        self.run[attempt] = server.ident

    def work_s(self):
        return 0.03


async def session(world, counts):
    """A draft, then at once a ballot on the same connection."""
    connection = kept.KeptConnection()
    try:
        await connection.open(*random.choice(world.instances).front)
        draft = worlds.attempt_id()
        await connection.send(
            "POST", "/draft/2f", draft,
            {"Deadline-Ms": "20000", **clients.stream_headers()}, b"{}" * 400)
        world.note("sent", attempt=draft, request="POST /draft/2f")
        answer = await connection.read_answer(21)
        if answer is None:
            counts["draft", None] += 1
            return
        status = kept.status_of(answer[0])
        counts["draft", status] += 1
        if not connection.is_quiet():
            counts["not quiet"] += 1
            world.note("bytes that nobody asked for", after=draft)
            return
        ballot = worlds.attempt_id()
        await connection.send("POST", "/ballot/2f", ballot,
                              {"Deadline-Ms": "2500"}, b"x" * 600)
        world.note("sent", attempt=ballot, request="POST /ballot/2f",
                   on_the_connection_of=draft)
        answer = await connection.read_answer(3.5)
        if answer is None:
            counts["ballot", None] += 1
            return
        head = answer[0]
        counts["ballot", kept.status_of(head)] += 1
        world.note("answers", draft=draft, draft_status=status, ballot=ballot,
                   ballot_status=kept.status_of(head),
                   ballot_answer_is_for=head.get("attempt-id"))
        if head.get("attempt-id") != ballot:
            world.found("MIXED", sent=ballot, answer_for=head.get("attempt-id"),
                        status=kept.status_of(head))
            late = await connection.read_answer(1)
            if late:
                world.note("the next answer on the connection",
                           status=kept.status_of(late[0]),
                           answer_for=late[0].get("attempt-id"))
            if ballot in world.run:
                world.note("the ballot ran all the same", attempt=ballot,
                           server=world.run[ballot])
                counts["ran, but the client read 503"] += 1
    except (OSError, asyncio.TimeoutError):
        counts["no connection"] += 1
    finally:
        connection.close()


async def traffic(world, counts):
    while True:
        await asyncio.sleep(random.expovariate(DRAFTS_PER_S))
        world.task(session(world, counts))


async def burst(world, counts):
    """For BURST_S, the users beyond the usual come at once, each second."""
    world.note("burst begins")
    for _ in range(int(BURST_S)):
        for _ in range(int(DRAFTS_PER_S * (BURST_X - 1))):
            world.task(session(world, counts))
        await asyncio.sleep(1)


async def case(folder):
    world = World(folder, ["regina", "regina"])
    try:
        for index in range(12):
            world.add_server(ModelServer, f"i-{index:02d}", "trefoil-pool",
                             "regina", kind="a100s")
        for index in range(3):
            world.add_server(RecordServer, f"c-{index:02d}", "clubdesk",
                             "regina")
        world.configure(
            7, [world.route("/draft/", "stream", "trefoil-pool"),
                world.route("/ballot/", "non_idempotent", "clubdesk",
                            timeoutMs=1200, targetLatencyMs=150,
                            maxAttempts=1)],
            [{"name": "trefoil-pool", "healthPath": "/healthz",
              "maxConns": 2444, "protocol": "h1", "tls": False,
              "engine": world.engine()},
             {"name": "clubdesk", "healthPath": "/healthz", "maxConns": 208,
              "protocol": "h1", "tls": False}])
        await world.start()
        if not await world.wait_ready() or not await world.wait_layers():
            print("the instances did not start")
            return 2
        counts = Counter()
        world.task(traffic(world, counts))
        await asyncio.sleep(4)
        for _ in range(int((LENGTH_S - 4) / BURST_EVERY_S)):
            if worlds.trouble():
                world.task(burst(world, counts))
            await asyncio.sleep(BURST_EVERY_S)
        await asyncio.sleep(4)
        print(f"answers {dict(counts)}; broken: "
              f"{Counter(world.findings) or 'none'}")
        if counts["ballot", 200] < 100:
            return 2
        return 1 if world.findings else 0
    finally:
        world.close()


worlds.run_case(case, FOLDER)
