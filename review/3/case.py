"""A server crashes in the middle of the first event of a stream."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[0]))

from standins import clients, http, world as worlds
from standins.servers import ModelServer

CLIENTS = 12
LENGTH_S = 24
CRASHES = 3
DOWN_S = 4.0


class CrashingServer(ModelServer):
    # The next event that begins an answer is cut off by a crash.
    crash_armed = False

    async def send_event(self, attempt, number, event, first, writer):
        if not self.crash_armed or number != first or number != 0:
            return await super().send_event(attempt, number, event, first,
                                            writer)
        self.crash_armed = False
        part = event[:len(event) // 2]
        writer.write(http.chunk_bytes(event)[:-2 - len(event) + len(part)])
        await writer.drain()
        self.world.note("cut in event", server=self.ident, attempt=attempt,
                        event=number, sent=repr(part))
        await asyncio.sleep(0.01)
        self.world.task(self.crash_for(DOWN_S))
        return False


async def client(world, zone, counts):
    while True:
        addresses = await clients.resolve(world, zone)
        if not addresses:
            await asyncio.sleep(0.2)
            continue
        for _ in range(2):
            address = addresses[hash(asyncio.current_task()) % len(addresses)]
            answer = await clients.send(
                world, address, "POST", "/draft/2f", clients.stream_headers(),
                b"{}" * 400)
            fault = clients.order_fault(world, answer) \
                if answer.status == 200 else None
            world.note("answer", attempt=answer.attempt, status=answer.status,
                       complete=answer.complete, bytes=len(answer.body))
            counts[answer.status, answer.complete] += 1
            if fault:
                world.found("ORDER", attempt=answer.attempt,
                            complete=answer.complete, what=fault)


async def case(folder):
    world = worlds.World(folder, ["regina", "regina", "regina"])
    try:
        for index in range(12):
            world.add_server(CrashingServer, f"i-{index:02d}", "trefoil-pool",
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
            world.task(client(world, "regina", counts))
        await asyncio.sleep(3)
        for index in range(CRASHES):
            firsts = [s for s in world.servers
                      if s.alive and s.layers and s.layers[0] == 0]
            if worlds.trouble() and firsts:
                firsts[index % len(firsts)].crash_armed = True
            await asyncio.sleep((LENGTH_S - 3) / CRASHES)
        served = counts[200, True]
        print(f"answers {dict(counts)}; broken: {world.findings or 'none'}")
        if served < 50:
            return 2
        return 1 if world.findings else 0
    finally:
        world.close()


worlds.run_case(case, FOLDER)
