"""Checks of the router's guarantees against the records of clients and servers.

Each check returns findings as text. `undisturbed(begin, end, instance)` tells
whether no fault affected that instance, its links or the store in that time.
"""

import collections
import re

import servers

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Bounds are checked only after an instance had no fault for this long.
UNDISTURBED_LEAD_S = 3.0
DRAIN_S = 2.0
MAX_APPLY_S = 2.0
# Longest time that work may continue after its client has left.
MAX_CANCEL_S = 0.6
PAUSE_SLACK_S = 0.5
MAX_SENDS_IN_PAUSE = 2
MIN_SERVED_FRACTION = 0.95


def expected_answer(attempt):
    if attempt.kind == "stream":
        return b"".join(servers.event_bytes(attempt.ident, number)
                        for number in range(
                            1, servers.event_count(attempt.ident) + 1))
    return servers.plain_body(attempt.ident, attempt.request)


def mixed_answers(attempts):
    """A client gets an answer other than the expected one to its request."""
    found = []
    for attempt in attempts:
        if attempt.status is None:
            continue
        if attempt.answered_id not in ("", attempt.ident):
            found.append(f"{attempt.ident}: answer to {attempt.answered_id}")
        if attempt.status == 200:
            expected = expected_answer(attempt)
            if not attempt.sealed:
                found.append(f"{attempt.ident}: success without a seal")
            if attempt.complete and attempt.answer != expected:
                found.append(f"{attempt.ident}: complete with a wrong body of "
                             f"{len(attempt.answer)} bytes")
            elif not expected.startswith(attempt.answer):
                found.append(f"{attempt.ident}: parts missing or repeated")
        elif attempt.sealed and attempt.status != 500:
            found.append(f"{attempt.ident}: seal on status {attempt.status}")
    return found


def run_twice(attempts, runs):
    """A request that is not idempotent runs more than once."""
    non_idempotent = {a.ident for a in attempts if a.kind == "once"}
    counts = collections.Counter(r.attempt for r in runs
                                 if r.attempt in non_idempotent)
    return [f"{ident}: ran {count} times"
            for ident, count in counts.items() if count > 1]


def refused_but_run(attempts, runs):
    """A request was refused as not run, but it did run."""
    ran = {run.attempt for run in runs}
    return [f"{a.ident}: status {a.status}, but it ran" for a in attempts
            if a.kind == "once" and not a.sealed and a.ident in ran
            and a.status in NOT_RUN_STATUSES]


def not_asked(attempts, runs, account):
    """A server runs a request that no client sent, or for the wrong client
    account."""
    sent = {a.ident: a for a in attempts}
    found = []
    for run in runs:
        attempt = sent.get(run.attempt)
        if attempt is None:
            found.append(f"{run.attempt}: no client sent it")
        elif (run.request, run.body) != (attempt.request, attempt.body):
            found.append(f"{run.attempt}: changed to {run.request}")
        elif run.account != account:
            found.append(f"{run.attempt}: account {run.account!r}")
    return found


def bad_paths(runs):
    """A token is generated on a path that does not run each layer once and in
    order."""
    return [f"{run.attempt}: {run.tokens_on_bad_path} tokens" for run in runs
            if run.tokens_on_bad_path]


def too_many_servers(attempts, runs, max_servers):
    """More than three requests run on more servers than their route allows."""
    by_attempt = collections.defaultdict(set)
    for run in runs:
        by_attempt[run.attempt].add(run.server)
    # Servers that ended meanwhile do not count. The soak cannot tell for each
    # run, so it allows for one such server.
    over = [ident for ident, used in by_attempt.items()
            if len(used) > max_servers + 1]
    return [f"{len(over)} requests on too many servers: {over[:3]}"
            ] if len(over) > 3 else []


def after_drain(arrivals, closed_intervals, undisturbed, instances):
    """A request reaches a server after its drain period."""
    found = []
    for at, server, attempt in arrivals:
        interval = closed_intervals.get(server)
        if interval and at > interval[0] + 0.1 and at < interval[1] and any(
                undisturbed(interval[0] - DRAIN_S - UNDISTURBED_LEAD_S, at,
                            instance)
                for instance in instances(attempt)):
            found.append(f"{attempt}: reached {server} "
                         f"{at - interval[0]:.2f} s too late")
    return found


def after_announcement(announcements, arrivals, attempts, undisturbed):
    """An instance sends a request to a server that announced its shutdown in
    an answer that the instance forwarded a drain period before."""
    announced = {}
    for at, server, ident in announcements:
        answered = attempts.get(ident)
        if answered and answered.status is not None and answered.sealed:
            announced.setdefault((server, answered.instance), at)
    found = []
    for at, server, ident in arrivals:
        sent = attempts.get(ident)
        since = sent and announced.get((server, sent.instance))
        if (since and sent.sent > since + DRAIN_S
                and undisturbed(since, at, sent.instance)):
            found.append(f"{ident}: reached {server} {at - since:.2f} s after "
                         f"its announcement to {sent.instance}")
    return found


def during_pause(pauses, arrivals, attempts, undisturbed):
    """An instance sends more than two requests to a server from half a second
    after the server asked it for a pause to the end of the pause."""
    found = []
    for asked_at, server, ident, seconds in pauses:
        instance = attempts[ident].instance if ident in attempts else None
        begin, end = asked_at + PAUSE_SLACK_S, asked_at + seconds
        sent = [a for at, s, a in arrivals
                if s == server and begin < at < end and a in attempts
                and attempts[a].instance == instance]
        if (len(sent) > MAX_SENDS_IN_PAUSE
                and undisturbed(asked_at, end, instance)):
            found.append(f"{len(sent)} requests from {instance} in a pause of "
                         f"{server}: {sent[:3]}")
    return found


def unanswered(attempts, undisturbed):
    """An instance without a fault does not answer by the deadline."""
    return [f"{a.ident}: no answer from {a.instance}" for a in attempts
            if a.sent and a.status is None and not a.client_left
            and not a.silenced
            and a.ended >= a.deadline
            and undisturbed(a.sent - UNDISTURBED_LEAD_S, a.ended, a.instance)]


def lost_around_stop(attempts, stops, undisturbed_except_stops, broken_off):
    """A planned stop cuts a request in progress. Those in `broken_off` may be
    cut because a server broke off its answer."""
    found = []
    for a in attempts:
        if a.ident in broken_off:
            continue
        if (not a.sent or a.complete or a.client_left or a.never_sent
                or a.silenced or a.ended >= a.deadline):
            continue
        for stopped, ended in stops.get(a.instance, []):
            in_time = a.sent <= stopped + 3 and a.ended < ended - 0.1
            if (a.ended > stopped and in_time
                    and undisturbed_except_stops(a.sent - UNDISTURBED_LEAD_S,
                                                 a.ended, a.instance)):
                found.append(f"{a.ident}: cut {a.ended - stopped:.2f} s after "
                             f"SIGTERM of {a.instance}")
    return found


def work_after_client_left(attempts, runs, undisturbed):
    """Servers continue too many of the requests whose client has left."""
    left = {a.ident: a for a in attempts if a.client_left and a.kind != "once"
            and undisturbed(a.sent - UNDISTURBED_LEAD_S, a.ended + 1,
                            a.instance)}
    late = [r.attempt for r in runs if r.attempt in left
            and (r.ended is None
                 or r.ended > left[r.attempt].ended + MAX_CANCEL_S)]
    return [f"{len(late)} of {len(left)} ran on: {late[:3]}"
            ] if len(late) > max(3, len(left) / 4) else []


def stale_configuration(attempts, runs, changes, undisturbed):
    """A configuration change is not applied in time.

    `changes` has (time, prefix, present) for each route added or removed.
    """
    ran = {run.attempt for run in runs}
    found = []
    for a in attempts:
        prefix = re.sub(r"^\w+ (/[^/]+/).*", r"\1", a.request)
        before = [c for c in changes if c[1] == prefix and a.sent
                  and c[0] + MAX_APPLY_S < a.sent]
        later = [c for c in changes if c[1] == prefix and a.sent
                 and a.sent - MAX_APPLY_S <= c[0] <= a.ended]
        if not before or later or not undisturbed(
                a.sent - MAX_APPLY_S - UNDISTURBED_LEAD_S, a.ended, a.instance):
            continue
        present = before[-1][2]
        if present and a.status in (401, 403, 404) and not a.sealed:
            found.append(f"{a.ident}: {a.status} for an added route")
        if not present and a.ident in ran:
            found.append(f"{a.ident}: ran on a removed route")
    return found


def denied(attempts, changing):
    """Valid requests get a 4xx status that is not a refusal."""
    found = [a.ident for a in attempts if a.status and not a.sealed
             and 400 <= a.status < 500 and a.status not in NOT_RUN_STATUSES
             and not any(prefix in a.request for prefix in changing)]
    return [f"{len(found)} denied: {found[:3]}"
            ] if len(found) > 5 + len(attempts) / 500 else []


def not_recovered(attempts, since):
    """Service does not recover after the faults have ended."""
    counted = [a for a in attempts if a.sent and a.sent > since
               and not a.client_left and not a.silenced]
    served = sum(a.complete and a.status == 200 for a in counted)
    if len(counted) < 20:
        return [f"only {len(counted)} requests were sent after the last fault"]
    if served < MIN_SERVED_FRACTION * len(counted):
        missed = [a.ident for a in counted
                  if not (a.complete and a.status == 200)]
        return [f"{served} of {len(counted)} served after the last fault; "
                f"missed {missed[:4]}"]
    return []
