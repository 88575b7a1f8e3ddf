"""A small deployment with drafts, which are streams, and reads: three servers
of each service, and clients that send seven drafts to one read."""

import asyncio
import json
import random

from lab import ZONES, Server, StreamServer, call, now

RECOVER_S = 12.0
SERVER_DOWN_S = 4.5
REQUESTS_PER_S = 72
HOST = "drafts.example"
# The part of the prompt that all drafts share.
SHARED_PART = "5c1e07a2:40"
CONFIG = {
    "version": 4,
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
               "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
    "routes": [
        {"name": "r-draft", "host": HOST, "prefix": "/draft/",
         "kind": "stream", "timeoutMs": 20000, "targetLatencyMs": 1000,
         "priority": 0, "service": "drafts", "maxAttempts": 2,
         "public": True, "sticky": True, "resumable": True, "gapAimMs": 200},
        {"name": "r-read", "host": HOST, "prefix": "/read/",
         "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 150,
         "priority": 2, "service": "clubdesk", "maxAttempts": 2,
         "public": True}],
    "services": [
        {"name": "drafts", "healthPath": "/healthz", "maxConns": 2444,
         "protocol": "h1", "tls": False},
        {"name": "clubdesk", "healthPath": "/healthz", "maxConns": 208,
         "protocol": "h1", "tls": False}],
}


class Traffic:
    """Clients of one zone, or of any zone when none is given. They connect to
    the addresses that the directory names."""

    DIRECTORY_KEPT_S = 2.0
    CLIENTS_PER_ZONE = 30

    def __init__(self, lab, zone=None):
        self.lab, self.zone = lab, zone
        self.sent = []  # (time, kind, status)
        self.known = {}  # client -> (time, addresses)

    async def resolve(self, zone):
        client = (zone, random.randrange(self.CLIENTS_PER_ZONE))
        kept = self.known.get(client)
        if kept and now() - kept[0] < self.DIRECTORY_KEPT_S:
            return kept[1]
        nearest_first = sorted(self.lab.routers,
                               key=lambda router: router.zone != zone)
        for router in nearest_first:
            try:
                answer = await call(
                    router.ip, self.lab.port + 2, "GET",
                    f"/resolve?name={HOST}&region=prairie&zone={zone}", HOST,
                    {}, timeout=1)
                addresses = json.loads(answer.body)["addresses"]
            except (OSError, asyncio.TimeoutError, ConnectionError,
                    asyncio.IncompleteReadError, AttributeError):
                continue
            if addresses:
                self.known[client] = (now(), addresses)
                return addresses
        return kept[1] if kept else []

    async def request(self, is_read):
        attempt = "%016x" % random.getrandbits(64)
        began = now()
        headers = {"Attempt-Id": attempt, "Deadline-Ms": "20000"}
        status, address = "closed", "-"
        try:
            address = random.choice(
                await self.resolve(self.zone or random.choice(ZONES)))
            host, _, port = address.rpartition(":")
            if is_read:
                headers["Deadline-Ms"] = "2500"
                answer = await call(host, int(port), "GET",
                                    f"/read/{attempt}", HOST, headers,
                                    timeout=3)
            else:
                headers.update({
                    "Model": "m0", "Token-Counts": "800,20",
                    "Prompt-Prefix": f"{SHARED_PART},{attempt[:8]}:760"})
                answer = await call(host, int(port), "POST", "/draft/1", HOST,
                                    headers, attempt.encode(), timeout=20)
            if answer is not None:
                status = answer.status
                if status == 503:
                    status = "503 " + answer.body.decode(errors="replace")
        except (OSError, asyncio.TimeoutError, ConnectionError,
                asyncio.IncompleteReadError, IndexError):
            pass
        kind = "read" if is_read else "draft"
        self.sent.append((began, kind, status))
        self.lab.record(f"client {attempt} at {address} {kind} -> {status}")

    async def run(self, seconds):
        stop_at = now() + seconds
        tasks = []
        while now() < stop_at:
            tasks.append(asyncio.create_task(
                self.request(len(tasks) % 8 == 0)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    def share_served(self, since, until):
        chosen = [e for e in self.sent if since < e[0] < until]
        served = sum(1 for entry in chosen if entry[2] == 200)
        return served / max(1, len(chosen)), len(chosen)


async def add_draft_server(lab, zone):
    return await lab.add_server(StreamServer(
        lab, "drafts", zone, first_event_s=0.8, event_s=0.05, events=12))


async def add_servers(lab):
    """Three servers of each service; returns those of the drafts."""
    for zone in ZONES:
        await lab.add_server(Server(lab, "clubdesk", zone))
    return [await add_draft_server(lab, zone) for zone in ZONES]


async def final_fault(lab):
    """All processes are killed right after a configuration was acknowledged,
    and started again. Returns when they are back."""
    lab.config["version"] += 3
    lab.store.put_json("op", "config", lab.config)
    lab.record("final fault: all routers are killed")
    for router in lab.routers:
        await router.kill()
    await asyncio.sleep(0.6)
    for router in lab.routers:
        await router.start()
    while not all([await router.is_ready() for router in lab.routers]):
        await asyncio.sleep(0.02)
    lab.record("the routers are back")


async def crash_one_after_the_other(lab, servers, interval_s):
    """Each server is down for SERVER_DOWN_S."""
    for server in servers:
        lab.record(f"server {server.id} crashes")
        await server.crash()
        await asyncio.sleep(interval_s)
    await asyncio.sleep(SERVER_DOWN_S - len(servers) * interval_s)
    for server in servers:
        new = await add_draft_server(lab, server.zone)
        lab.record(f"server {new.id} is up in its place")
        await asyncio.sleep(interval_s)


def judge_recovery(lab, traffic, killed_at, back_at):
    """The rule RECOVER."""
    before, _ = traffic.share_served(0, killed_at - 1)
    after, count = traffic.share_served(back_at + RECOVER_S, now())
    text = (f"{after:.3f} of {count} requests were served later than "
            f"{RECOVER_S} s after the machines were back, {before:.3f} "
            "before the final fault")
    lab.record(text)
    return ["RECOVER: " + text] if before >= 0.25 > after else []
