"""A store that comes back from a copy, and servers that leave after it."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from lab import TROUBLE, ZONES, Server, call, now, run_case  # noqa: E402

COPY_AGE_S = 9.0
AWAY_S = 1.0
CONTACT_S = 3.0
DRAIN_S = 2.0
# The servers serve on for a little longer than drainMs, then they exit.
SERVES_ON_S = 2.6
HOST = "records.example"
CONFIG = {
    "version": 4,
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
               "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
    "routes": [
        {"name": "r-read", "host": HOST, "prefix": "/read/",
         "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 150,
         "priority": 2, "service": "clubdesk", "maxAttempts": 2,
         "public": True},
        {"name": "r-ballot", "host": HOST, "prefix": "/ballot/",
         "kind": "non_idempotent", "timeoutMs": 1200, "targetLatencyMs": 150,
         "priority": 2, "service": "clubdesk", "maxAttempts": 1,
         "public": True}],
    "services": [{"name": "clubdesk", "healthPath": "/healthz",
                  "maxConns": 208, "protocol": "h1", "tls": False}],
}


async def client(lab, sent, stop_at):
    """One request after the other, each at any router."""
    while now() < stop_at:
        attempt = "%016x" % random.getrandbits(64)
        is_read = random.random() < 0.4
        router = random.choice(lab.routers)
        began = now()
        answer = None
        try:
            answer = await call(
                router.ip, lab.port, "GET" if is_read else "POST",
                "/read/1" if is_read else "/ballot/1", HOST,
                {"Attempt-Id": attempt, "Deadline-Ms": "2500"},
                b"" if is_read else b"vote", timeout=3)
        except (OSError, asyncio.TimeoutError, ConnectionError,
                asyncio.IncompleteReadError):
            pass
        sent[attempt] = (began, answer.status if answer else "closed")
        lab.record(f"client {attempt} router {router.number} "
                   f"{'read' if is_read else 'ballot'} -> {sent[attempt][1]}")
        await asyncio.sleep(random.uniform(0.05, 0.15))


async def main(lab):
    await lab.start_store(CONFIG)
    for number in range(6):
        await lab.add_server(Server(lab, "clubdesk", ZONES[number % 3]))
    await lab.start_routers(3)
    await asyncio.sleep(COPY_AGE_S + 3)
    sent = {}
    clients = [asyncio.create_task(client(lab, sent, now() + 22))
               for _ in range(16)]
    await asyncio.sleep(1.1)
    # Planned work: one more server, shortly before the drill.
    added = await lab.add_server(Server(lab, "clubdesk", ZONES[0]))
    lab.record(f"server {added.id} added, version {lab.store.ver}")
    await asyncio.sleep(0.9)
    copy_taken_at = now() + AWAY_S - COPY_AGE_S
    if TROUBLE:
        lab.record(f"store: away for {AWAY_S} s, version {lab.store.ver}")
        await lab.store.go_away()
        await asyncio.sleep(AWAY_S)
        await lab.store.come_back_from_copy(copy_taken_at)
        # What the operator wrote is written again. The servers write their
        # entries with their next heartbeat, within 1.2 s.
        lab.store.put_json("op", "config", lab.config)
    else:
        await asyncio.sleep(AWAY_S)
    # From here on the store is stable and the machines are in touch.
    await asyncio.sleep(CONTACT_S + 0.1)
    leaving = lab.servers[:2]
    for server in leaving:
        server.drain()
        server.drained_at = now()
        lab.record(f"store: {server.id} draining acknowledged, "
                   f"version {lab.store.ver}")
    await asyncio.sleep(SERVES_ON_S)
    for server in leaving:
        lab.record(f"server {server.id} exits")
        await server.exit()
    await asyncio.gather(*clients)

    violations = []
    for server in leaving:
        late = [run for run in server.arrivals
                if run[0] > server.drained_at + DRAIN_S]
        for at, attempt, status in late:
            lab.record(f"server {server.id} got {attempt} "
                       f"{at - server.drained_at:.2f} s after the "
                       f"acknowledgement: {status}")
        if late:
            cut = sum(1 for run in late if run[2] == "cut")
            violations.append(
                f"DRAIN: {server.id} got {len(late)} requests up to "
                f"{late[-1][0] - server.drained_at:.2f} s after its leaving "
                f"was acknowledged; {cut} of them were cut off by its exit")
    answers = {}
    for _, status in sent.values():
        answers[status] = answers.get(status, 0) + 1
    lab.record(f"answers: {answers}")
    return violations


sys.exit(run_case(HERE, main))
