"""The configuration grows by many routes, and the links are those of the
smallest machines."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from lab import (TROUBLE, ZONES, Router, Server, call, now,  # noqa: E402
                 run_case)
from link import SlowLink  # noqa: E402

APPLY_S = 3.0
LINK_MBPS = 14.0
ROUTES, GROWTH, STEPS = 249, 1400, 4
HOST = "records.example"


def name():
    return "".join(random.choice("abcdefghijklmnopqrstuvwxyz0123456789")
                   for _ in range(8))


def route(prefix):
    return {"name": f"r-{name()}", "host": HOST, "prefix": prefix,
            "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 150,
            "priority": 2, "service": "clubdesk", "maxAttempts": 2,
            "public": False, "sticky": False, "resumable": False}


def first_config():
    return {
        "version": 4,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                   "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
        "routes": [route("/read/")] + [route(f"/{name()}/")
                                       for _ in range(ROUTES - 1)],
        "services": [{"name": "clubdesk", "healthPath": "/healthz",
                      "maxConns": 208, "protocol": "h1", "tls": False}],
        "tenants": [{"name": "club", "apiKeys": ["key-kept", "key-dropped"]}],
    }


def send_config(lab):
    lab.config["version"] += 3
    lab.store.put_json("op", "config", lab.config)
    lab.record(f"store: version {lab.config['version']} acknowledged, "
               f"{len(lab.config['routes'])} routes")


async def ask(lab, router, path, key):
    try:
        answer = await call(
            router.ip, lab.port, "GET", path, HOST,
            {"Attempt-Id": "%016x" % random.getrandbits(64),
             "Deadline-Ms": "2500", "Credential": key}, timeout=3)
        status = answer.status if answer else "closed"
    except (OSError, asyncio.TimeoutError, ConnectionError,
            asyncio.IncompleteReadError):
        status = "closed"
    lab.record(f"client asks router {router.number} for {path} with {key}: "
               f"{status}")
    return status


async def main(lab):
    await lab.start_store(first_config())
    for zone in ZONES:
        await lab.add_server(Server(lab, "clubdesk", zone))
    for number in range(3):
        link = SlowLink(lab, LINK_MBPS)
        await link.listen()
        router = Router(lab, number)
        router.link_mbps = LINK_MBPS
        router.store_address = f"{link.host}:{link.port}"
        lab.routers.append(router)
        await router.start()
    while not all([await router.is_ready() for router in lab.routers]):
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)
    for _ in range(STEPS):
        if TROUBLE:
            lab.config["routes"] += [route(f"/{name()}/")
                                     for _ in range(GROWTH)]
        send_config(lab)
        await asyncio.sleep(5)
    # One route more and one key less.
    lab.config["routes"].append(route("/late/"))
    lab.config["tenants"][0]["apiKeys"].remove("key-dropped")
    send_config(lab)
    acknowledged_at = now()
    await asyncio.sleep(APPLY_S + 0.5)
    wrong = {"late route": 0, "dropped key": 0}
    asked = 0
    while now() < acknowledged_at + 20:
        for router in lab.routers:
            asked += 1
            if await ask(lab, router, "/late/1", "key-kept") == 404:
                wrong["late route"] += 1
            if await ask(lab, router, "/read/1", "key-dropped") == 200:
                wrong["dropped key"] += 1
        await asyncio.sleep(0.5)
    lab.record(f"of {asked} each, handled as by an older version: {wrong}")
    if any(wrong.values()):
        return [f"CONFIG: 3.5 to 20 s after the acknowledgement "
                f"{wrong['late route']} of {asked} requests were refused with "
                f"404 though the route is there, and {wrong['dropped key']} "
                f"of {asked} ran with a dropped key"]
    return []


sys.exit(run_case(HERE, main))
