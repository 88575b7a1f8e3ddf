#!/usr/bin/env python3
"""Faults of real processes at steps of a request.

Each case starts work, brings about one fault (kill, freeze, silent
connections, store outage, lost store answers) at a known step, and compares
what callers were told with the journals of the stand-ins.
"""

import json
import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "scripts"))
from fleet_callers import (Stream, busy_stage, call, fleet,  # noqa: E402
                           load_env, pid_of)

PROMPT = "this house would abolish the second chamber"
TOKENS = 60
FAILURES = []


class Fleet:
    def __init__(self):
        self.env = load_env()
        self.entries = [u[len("http://"):]
                        for u in self.env["ENTRY_URLS"].split(",")]
        self.services = [u[len("http://"):]
                         for u in self.env["SERVICE_URLS"].split(",")]
        self.engines = [u[len("http://"):]
                        for u in self.env["ENGINE_URLS"].split(",")]
        self.table = self.env["TABLE_URL"][len("http://"):]
        self.key = self.env["API_KEY"]
        self.reference = None

    def faults(self, addresses, fault):
        for address in addresses:
            try:
                call(address, "POST", "/faults", fault,
                     headers={"Connection": "close"}, timeout=5)
            except OSError:
                pass  # the process was killed by the case

    def clear(self):
        self.faults([self.table, *self.services, *self.engines],
                    {"reset": True})

    def runs(self, key):
        total = 0
        for service in self.services:
            journal = call(service, "GET", "/journal")[2].decode()
            total += sum(1 for line in journal.splitlines()
                         if json.loads(line).get("key") == key)
        return total


def stream(fleet_, entry=0, tokens=TOKENS, prompt=PROMPT):
    result = Stream(fleet_.entries[entry], fleet_.key, prompt, tokens)
    result.start()
    return result


def freeze(pid, seconds):
    os.kill(pid, signal.SIGSTOP)
    timer = threading.Timer(seconds, os.kill, (pid, signal.SIGCONT))
    timer.start()
    return timer


def whole(fleet_, result, limit=30):
    result.join(limit)
    if result.is_alive():
        return "no end within the limit"
    if not result.done:
        return f"not finished: {result.error}"
    if result.tokens != fleet_.reference:
        return "the answer is not the expected one"
    return ""


class Ballot(threading.Thread):
    """A call that may not be repeated, sent in the background."""

    def __init__(self, fleet_, key, entry=0):
        super().__init__(daemon=True)
        self.fleet, self.key, self.entry = fleet_, key, entry
        self.status, self.body, self.error = None, {}, None
        self.start()

    def run(self):
        try:
            self.status, _, data = call(
                self.fleet.entries[self.entry], "POST",
                "/v1/services/ballot/record", {"vote": 1}, "key-ballot-desk",
                {"Idempotency-Key": self.key}, timeout=30)
            self.body = json.loads(data)
        except (OSError, ValueError) as error:
            self.error = repr(error)

    def told(self):
        """done, not_run, unknown, or lost when no answer arrived."""
        self.join(40)
        if self.status == 200:
            return "done"
        return self.body.get("outcome", "lost")


def ballot_verdict(fleet_, key, told):
    """Compares what callers of one key were told with what ran."""
    runs = fleet_.runs(key)
    if runs > 1:
        return f"ran {runs} times"
    if "done" in told and runs != 1:
        return "done was said and it did not run"
    if runs and all(t == "not_run" for t in told):
        return "not_run was said and it ran"
    return ""


def stage_killed_mid_stream(fleet_, number):
    result = stream(fleet_)
    result.wait_for_tokens(10)
    os.kill(pid_of(busy_stage(fleet_.entries, fleet_.env)), signal.SIGKILL)
    return whole(fleet_, result)


def stage_frozen_mid_stream(fleet_, number):
    result = stream(fleet_)
    result.wait_for_tokens(10)
    freeze(pid_of(busy_stage(fleet_.entries, fleet_.env)), 8)
    return whole(fleet_, result)


def engine_connections_silent_mid_stream(fleet_, number):
    result = stream(fleet_)
    result.wait_for_tokens(10)
    fleet_.faults(fleet_.engines, {"silent_connections": True})
    return whole(fleet_, result)


def scheduler_frozen_mid_stream(fleet_, number):
    result = stream(fleet_, entry=0, tokens=TOKENS)
    result.wait_for_tokens(5)
    owner = None
    for index, entry in enumerate(fleet_.entries[1:], 1):
        view = json.loads(call(entry, "GET", "/v1/admin/status",
                               key=fleet_.env["OPERATOR_KEY"])[2])
        if any(load["running"] for load in view["owned_chains"]):
            owner = index
    if owner is None:
        return whole(fleet_, result)  # the entry itself is the scheduler
    timer = freeze(pid_of(f"entry-{owner}"), 9)
    found = whole(fleet_, result)
    timer.join()
    return found


def store_down_mid_stream(fleet_, number):
    result = stream(fleet_)
    result.wait_for_tokens(5)
    fleet_.faults([fleet_.table], {"down": True})
    return whole(fleet_, result)


def store_down_at_accept(fleet_, number):
    fleet_.faults([fleet_.table], {"down": True})
    key = f"down-{number}"
    begin = time.monotonic()
    ballot = Ballot(fleet_, key)
    told = ballot.told()
    took = time.monotonic() - begin
    fleet_.clear()
    if told != "not_run" or took > 5:
        return f"told {told} after {took:.1f} s"
    again = Ballot(fleet_, key, entry=1).told()
    if again != "done":
        return f"sent again after the outage: {again}"
    return ballot_verdict(fleet_, key, [told, again])


def store_answers_lost_at_ledger_insert(fleet_, number):
    fleet_.faults([fleet_.table], {"lose_answer_count": 1})
    key = f"lost-{number}"
    told = [Ballot(fleet_, key).told()]
    fleet_.clear()
    told.append(Ballot(fleet_, key, entry=1).told())
    return ballot_verdict(fleet_, key, told)


def store_down_at_ledger_finish(fleet_, number):
    fleet_.faults(fleet_.services, {"delay_ms": 700})
    key = f"finish-{number}"
    ballot = Ballot(fleet_, key)
    time.sleep(0.35)  # the call is at the server, its answer is on its way
    fleet_.faults([fleet_.table], {"down": True})
    told = [ballot.told()]
    fleet_.clear()
    time.sleep(1.5)
    told.append(Ballot(fleet_, key, entry=1).told())
    if told[0] != "done":
        return f"the answer was there and the caller was told {told[0]}"
    return ballot_verdict(fleet_, key, told)


def service_answer_lost(fleet_, number):
    fleet_.faults(fleet_.services, {"lose_answer": True})
    key = f"answer-{number}"
    ballot = Ballot(fleet_, key)
    told = [ballot.told()]
    fleet_.clear()
    told.append(Ballot(fleet_, key, entry=1).told())
    if told != ["unknown", "unknown"]:
        return f"told {told}"
    return ballot_verdict(fleet_, key, told)


def entry_killed_at_dispatch(fleet_, number):
    fleet_.faults(fleet_.services, {"delay_ms": 700})
    key = f"killed-{number}"
    ballot = Ballot(fleet_, key, entry=len(fleet_.entries) - 1)
    time.sleep(0.35)
    os.kill(pid_of(f"entry-{len(fleet_.entries) - 1}"), signal.SIGKILL)
    told = [ballot.told()]
    fleet_.clear()
    told.append(Ballot(fleet_, key).told())
    if told[1] == "done" and fleet_.runs(key) != 1:
        return "done was said and it did not run"
    return ballot_verdict(fleet_, key, told)


def entry_frozen_at_ledger_insert(fleet_, number):
    # The store answers slowly, so that the freeze falls between two writes.
    fleet_.faults([fleet_.table], {"slow_ms": 300})
    key = f"frozen-{number}"
    ballot = Ballot(fleet_, key)
    time.sleep(0.15)
    timer = freeze(pid_of("entry-0"), 10)
    fleet_.clear()
    told = []
    begin = time.monotonic()
    while time.monotonic() - begin < 9:
        told.append(Ballot(fleet_, key, entry=1).told())
        if told[-1] in ("done", "not_run"):
            break
        time.sleep(0.5)
    timer.join()
    told.append(ballot.told())
    return ballot_verdict(fleet_, key, told)


def crashing_request_sent_again(fleet_, number):
    # The processes that end are engines; at most two per such request.
    def engines_gone():
        gone = 0
        for engine in fleet_.engines:
            try:
                call(engine, "GET", "/healthz", timeout=2)
            except OSError:
                gone += 1
        return gone

    before = engines_gone()
    neighbour = stream(fleet_)
    neighbour.wait_for_tokens(3)
    prompt = f"CRASH-SERVER motion {number}"
    for entry in (0, 1, 2):
        crash = Stream(fleet_.entries[entry], fleet_.key, prompt, 5)
        crash.start()
        crash.join(30)
        if crash.done or crash.is_alive():
            return "a crashing request did not end as not finished"
    lost = engines_gone() - before
    if lost > 2:
        return f"{lost} servers lost"
    return whole(fleet_, neighbour)


# Cases that end a process come last, so that the others see a whole fleet.
CASES = [
    store_down_mid_stream,
    engine_connections_silent_mid_stream,
    stage_frozen_mid_stream,
    store_down_at_accept,
    store_answers_lost_at_ledger_insert,
    store_down_at_ledger_finish,
    service_answer_lost,
    entry_frozen_at_ledger_insert,
    scheduler_frozen_mid_stream,
    stage_killed_mid_stream,
    crashing_request_sent_again,
    entry_killed_at_dispatch,
]


def main():
    wanted = sys.argv[1:]
    fleet("down")
    up = fleet("up", "--entries", "4", "--chains", "6")
    if up.returncode != 0:
        print(up.stdout + up.stderr)
        return 1
    try:
        under_test = Fleet()
        time.sleep(2)  # until every member has heard of every other
        first = stream(under_test)
        first.join(20)
        under_test.reference = first.tokens
        if not first.done or len(first.tokens) != TOKENS:
            print("FAIL  no reference answer:", first.error)
            return 1
        for number, case in enumerate(CASES):
            if wanted and case.__name__ not in wanted:
                continue
            begin = time.monotonic()
            found = case(under_test, number)
            under_test.clear()
            print(f"{'FAIL' if found else 'ok  '}  {case.__name__} "
                  f"({time.monotonic() - begin:.1f} s) {found}", flush=True)
            if found:
                FAILURES.append(case.__name__)
            time.sleep(1)
    finally:
        fleet("down")
    print(f"{len(CASES) - len(FAILURES)} passed, {len(FAILURES)} failed")
    return 1 if FAILURES else 0


if __name__ == "__main__":
    sys.exit(main())
