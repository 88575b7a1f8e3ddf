"""The grace period becomes a fraction of seconds, and the routers are
restarted in turn."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from lab import TROUBLE, ZONES, Server, call, now, run_case  # noqa: E402

GRACE_S = 7.5 if TROUBLE else 8
RESTART_DELAY_S = 0.5
HOST = "records.example"
CONFIG = {
    "version": 4,
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
               "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
    "routes": [
        {"name": "r-read", "host": HOST, "prefix": "/read/",
         "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 150,
         "priority": 2, "service": "clubdesk", "maxAttempts": 2,
         "public": True}],
    "services": [{"name": "clubdesk", "healthPath": "/healthz",
                  "maxConns": 208, "protocol": "h1", "tls": False}],
}


async def client(lab, sent, stop_at):
    """One read after the other; a router that refuses the connection is
    tried once more at another one."""
    while now() < stop_at:
        began, status = now(), "no connection"
        for router in random.sample(lab.routers, 2):
            attempt = "%016x" % random.getrandbits(64)
            try:
                answer = await call(
                    router.ip, lab.port, "GET", "/read/1", HOST,
                    {"Attempt-Id": attempt, "Deadline-Ms": "2500"}, timeout=3)
                status = answer.status if answer else "closed"
                if status == 200:
                    break
            except (OSError, asyncio.TimeoutError, ConnectionError,
                    asyncio.IncompleteReadError):
                continue
        sent.append((began, status))
        lab.record(f"client {attempt} -> {status}")
        await asyncio.sleep(0.2)


async def keep_running(lab, router, ends):
    """The platform restarts a process that has exited."""
    while True:
        code = await router.process.wait()
        lab.record(f"router {router.number} exited with {code}")
        if router.is_stopped:
            router.is_stopped = False
        else:
            ends[router.number] = ends.get(router.number, 0) + 1
        await asyncio.sleep(RESTART_DELAY_S)
        await router.start()


async def main(lab):
    await lab.start_store(CONFIG)
    for zone in ZONES:
        await lab.add_server(Server(lab, "clubdesk", zone))
    await lab.start_routers(3)
    sent, ends = [], {}
    for router in lab.routers:
        router.is_stopped = False
    keepers = [asyncio.create_task(keep_running(lab, router, ends))
               for router in lab.routers]
    clients = [asyncio.create_task(client(lab, sent, now() + 34))
               for _ in range(8)]
    await asyncio.sleep(4)
    for router in lab.routers:
        router.grace_s = GRACE_S
        router.write_settings()
        router.signal(signal.SIGHUP)
    lab.record(f"settings changed: graceS = {GRACE_S}; SIGHUP to all")
    await asyncio.sleep(2)
    for router in lab.routers:
        lab.record(f"SIGTERM to router {router.number}")
        router.is_stopped = True
        router.signal(signal.SIGTERM)
        await asyncio.sleep(6)
    await asyncio.gather(*clients)
    is_ready = [await router.is_ready() for router in lab.routers]
    for keeper in keepers:
        keeper.cancel()
    await asyncio.gather(*keepers, return_exceptions=True)
    late = [status for at, status in sent if at > now() - 8]
    served = sum(1 for status in late if status == 200)
    lab.record(f"ready at the end: {is_ready}; ended by themselves: {ends}; "
               f"served in the last 8 s: {served} of {len(late)}")
    failed = [number for number, count in ends.items() if count >= 3]
    if len(failed) >= 2:
        return [f"Fault: the processes of routers {sorted(failed)} don't "
                f"start and end by themselves ({ends} times); {served} of "
                f"{len(late)} requests were served in the last 8 s"]
    return []


sys.exit(run_case(HERE, main))
