#!/usr/bin/env python3
"""Faults of real processes at given steps of a request.

Each case starts work, injects one fault (kill, suspension, silent connections,
store outage, lost store responses) at a known step, and compares the outcomes
reported to callers with the journals of the stand-ins.
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

    def inject_faults(self, addresses, fault):
        for address in addresses:
            try:
                call(address, "POST", "/faults", fault,
                     headers={"Connection": "close"}, timeout=5)
            except OSError:
                pass  # the case has killed the process

    def clear_faults(self):
        self.inject_faults([self.table, *self.services, *self.engines],
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


def suspend(pid, seconds):
    os.kill(pid, signal.SIGSTOP)
    timer = threading.Timer(seconds, os.kill, (pid, signal.SIGCONT))
    timer.start()
    return timer


def check_complete(fleet_, result, timeout_s=30):
    result.join(timeout_s)
    if result.is_alive():
        return "did not end within the time limit"
    if not result.done:
        return f"not finished: {result.error}"
    if result.tokens != fleet_.reference:
        return "the answer is not the expected one"
    return ""


class Ballot(threading.Thread):
    """A non-idempotent call that is sent in the background."""

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

    def outcome(self):
        """done, not_run, unknown, or lost when no response arrived."""
        self.join(40)
        if self.status == 200:
            return "done"
        return self.body.get("outcome", "lost")


def check_ballot_runs(fleet_, key, outcomes):
    """Compares the outcomes reported for one key with the journaled runs."""
    runs = fleet_.runs(key)
    if runs > 1:
        return f"ran {runs} times"
    if "done" in outcomes and runs != 1:
        return "reported as done, but it did not run"
    if runs and all(t == "not_run" for t in outcomes):
        return "reported as not_run, but it ran"
    return ""


def stage_killed_mid_stream(fleet_, number):
    result = stream(fleet_)
    result.wait_for_tokens(10)
    os.kill(pid_of(busy_stage(fleet_.entries, fleet_.env)), signal.SIGKILL)
    return check_complete(fleet_, result)


def stage_frozen_mid_stream(fleet_, number):
    result = stream(fleet_)
    result.wait_for_tokens(10)
    suspend(pid_of(busy_stage(fleet_.entries, fleet_.env)), 8)
    return check_complete(fleet_, result)


def engine_connections_silent_mid_stream(fleet_, number):
    result = stream(fleet_)
    result.wait_for_tokens(10)
    fleet_.inject_faults(fleet_.engines, {"silent_connections": True})
    return check_complete(fleet_, result)


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
        # The entry itself is the scheduler.
        return check_complete(fleet_, result)
    timer = suspend(pid_of(f"entry-{owner}"), 9)
    problem = check_complete(fleet_, result)
    timer.join()
    return problem


def store_down_mid_stream(fleet_, number):
    result = stream(fleet_)
    result.wait_for_tokens(5)
    fleet_.inject_faults([fleet_.table], {"down": True})
    return check_complete(fleet_, result)


def store_down_at_accept(fleet_, number):
    fleet_.inject_faults([fleet_.table], {"down": True})
    key = f"down-{number}"
    begin = time.monotonic()
    ballot = Ballot(fleet_, key)
    first_outcome = ballot.outcome()
    elapsed_s = time.monotonic() - begin
    fleet_.clear_faults()
    if first_outcome != "not_run" or elapsed_s > 5:
        return f"reported {first_outcome} after {elapsed_s:.1f} s"
    retry_outcome = Ballot(fleet_, key, entry=1).outcome()
    if retry_outcome != "done":
        return f"retry after the outage reported {retry_outcome}"
    return check_ballot_runs(fleet_, key, [first_outcome, retry_outcome])


def store_answers_lost_at_ledger_insert(fleet_, number):
    fleet_.inject_faults([fleet_.table], {"lose_answer_count": 1})
    key = f"lost-{number}"
    outcomes = [Ballot(fleet_, key).outcome()]
    fleet_.clear_faults()
    outcomes.append(Ballot(fleet_, key, entry=1).outcome())
    return check_ballot_runs(fleet_, key, outcomes)


def store_down_at_ledger_finish(fleet_, number):
    fleet_.inject_faults(fleet_.services, {"delay_ms": 700})
    key = f"finish-{number}"
    ballot = Ballot(fleet_, key)
    time.sleep(0.35)  # the call has run; its response is delayed
    fleet_.inject_faults([fleet_.table], {"down": True})
    outcomes = [ballot.outcome()]
    fleet_.clear_faults()
    time.sleep(1.5)
    outcomes.append(Ballot(fleet_, key, entry=1).outcome())
    if outcomes[0] != "done":
        return f"the call ran, but the caller got the outcome {outcomes[0]}"
    return check_ballot_runs(fleet_, key, outcomes)


def service_answer_lost(fleet_, number):
    fleet_.inject_faults(fleet_.services, {"lose_answer": True})
    key = f"answer-{number}"
    ballot = Ballot(fleet_, key)
    outcomes = [ballot.outcome()]
    fleet_.clear_faults()
    outcomes.append(Ballot(fleet_, key, entry=1).outcome())
    if outcomes != ["unknown", "unknown"]:
        return f"reported {outcomes}"
    return check_ballot_runs(fleet_, key, outcomes)


def entry_killed_at_dispatch(fleet_, number):
    fleet_.inject_faults(fleet_.services, {"delay_ms": 700})
    key = f"killed-{number}"
    ballot = Ballot(fleet_, key, entry=len(fleet_.entries) - 1)
    time.sleep(0.35)
    os.kill(pid_of(f"entry-{len(fleet_.entries) - 1}"), signal.SIGKILL)
    outcomes = [ballot.outcome()]
    fleet_.clear_faults()
    outcomes.append(Ballot(fleet_, key).outcome())
    if outcomes[1] == "done" and fleet_.runs(key) != 1:
        return "reported as done, but it did not run"
    return check_ballot_runs(fleet_, key, outcomes)


def entry_frozen_at_ledger_insert(fleet_, number):
    # The store responds slowly, so that the suspension falls between two
    # writes.
    fleet_.inject_faults([fleet_.table], {"slow_ms": 300})
    key = f"frozen-{number}"
    ballot = Ballot(fleet_, key)
    time.sleep(0.15)
    timer = suspend(pid_of("entry-0"), 10)
    fleet_.clear_faults()
    outcomes = []
    begin = time.monotonic()
    while time.monotonic() - begin < 9:
        outcomes.append(Ballot(fleet_, key, entry=1).outcome())
        if outcomes[-1] in ("done", "not_run"):
            break
        time.sleep(0.5)
    timer.join()
    outcomes.append(ballot.outcome())
    return check_ballot_runs(fleet_, key, outcomes)


def crashing_request_sent_again(fleet_, number):
    # Such a request may crash at most two engines.
    def count_lost_engines():
        lost_count = 0
        for engine in fleet_.engines:
            try:
                call(engine, "GET", "/healthz", timeout=2)
            except OSError:
                lost_count += 1
        return lost_count

    before = count_lost_engines()
    concurrent_stream = stream(fleet_)
    concurrent_stream.wait_for_tokens(3)
    prompt = f"CRASH-SERVER motion {number}"
    for entry in (0, 1, 2):
        crash = Stream(fleet_.entries[entry], fleet_.key, prompt, 5)
        crash.start()
        crash.join(30)
        if crash.done or crash.is_alive():
            return "a crashing request finished or did not end"
    lost = count_lost_engines() - before
    if lost > 2:
        return f"{lost} engines lost"
    return check_complete(fleet_, concurrent_stream)


# Cases that kill a process come last, so that the others run on a full fleet.
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
    selected = sys.argv[1:]
    fleet("down")
    up = fleet("up", "--entries", "4", "--chains", "6")
    if up.returncode != 0:
        print(up.stdout + up.stderr)
        return 1
    try:
        under_test = Fleet()
        time.sleep(2)  # until all members know each other
        reference_stream = stream(under_test)
        reference_stream.join(20)
        under_test.reference = reference_stream.tokens
        if not reference_stream.done or len(reference_stream.tokens) != TOKENS:
            print("FAIL  no reference answer:", reference_stream.error)
            return 1
        for number, case in enumerate(CASES):
            if selected and case.__name__ not in selected:
                continue
            begin = time.monotonic()
            problem = case(under_test, number)
            under_test.clear_faults()
            print(f"{'FAIL' if problem else 'ok  '}  {case.__name__} "
                  f"({time.monotonic() - begin:.1f} s) {problem}", flush=True)
            if problem:
                FAILURES.append(case.__name__)
            time.sleep(1)
    finally:
        fleet("down")
    print(f"{len(CASES) - len(FAILURES)} passed, {len(FAILURES)} failed")
    return 1 if FAILURES else 0


if __name__ == "__main__":
    sys.exit(main())
