#!/usr/bin/env python3
"""Responses of the HTTP interface of one instance to valid and invalid input.

Guards against invalid input that runs something, crashes the daemon, or gets a
response with a wrong outcome.
"""

import json
import socket
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "scripts"))
from fleet_callers import (BINARY, FLEET, MODEL, Stream, call,  # noqa: E402
                           fleet, load_env)

KEY = "key-regina-club"
GOOD = {"model": MODEL, "prompt": "a b c", "max_tokens": 2}
COMPLETIONS = "/v1/completions"

# Name, method, path, body, key, headers, status, outcome, type.
CASES = [
    ("no key", "POST", COMPLETIONS, GOOD, None, {}, 401, "not_run",
     "unknown_key"),
    ("unknown key", "POST", COMPLETIONS, GOOD, "nobody", {}, 401, "not_run",
     "unknown_key"),
    ("not JSON", "POST", COMPLETIONS, b"{", KEY, {}, 400, "not_run",
     "bad_request"),
    ("JSON list", "POST", COMPLETIONS, b"[]", KEY, {}, 400, "not_run",
     "bad_request"),
    ("no prompt", "POST", COMPLETIONS, {"model": MODEL}, KEY, {}, 400,
     "not_run", "bad_request"),
    ("max_tokens 0", "POST", COMPLETIONS, {**GOOD, "max_tokens": 0}, KEY, {},
     400, "not_run", "bad_request"),
    ("max_tokens text", "POST", COMPLETIONS, {**GOOD, "max_tokens": "4"}, KEY,
     {}, 400, "not_run", "bad_request"),
    ("stream text", "POST", COMPLETIONS, {**GOOD, "stream": "yes"}, KEY, {},
     400, "not_run", "bad_request"),
    ("unknown model", "POST", COMPLETIONS, {**GOOD, "model": "none"}, KEY, {},
     404, "not_run", "unknown_model"),
    ("unknown kind", "POST", COMPLETIONS, {**GOOD, "kind": "none"}, KEY, {},
     404, "not_run", "unknown_kind"),
    ("rank not permitted", "POST", COMPLETIONS,
     {**GOOD, "kind": "brief-draft"}, "key-newsletter-desk", {}, 403,
     "not_run", "rank_not_permitted"),
    ("body too large", "POST", COMPLETIONS, b"x" * (2 << 20), KEY, {}, 413,
     "not_run", "body_too_large"),
    ("no idempotency key", "POST", "/v1/services/ballot/x", {}, KEY, {}, 400,
     "not_run", "idempotency_key_required"),
    ("unknown service", "POST", "/v1/services/none/x", {}, KEY, {}, 404,
     "not_run", "unknown_kind"),
    ("model kind as service", "POST", "/v1/services/brief-draft/x", {}, KEY,
     {}, 404, "not_run", "unknown_kind"),
    ("empty batch", "POST", "/v1/batches", {"model": MODEL, "items": []}, KEY,
     {}, 400, "not_run", "bad_request"),
    ("unknown batch", "GET", "/v1/batches/none", None, KEY, {}, 404,
     "not_run", "unknown_batch"),
    ("unknown request", "GET", "/v1/requests/none", None, KEY, {}, 404,
     "not_run", "unknown_request"),
    ("unknown operation", "GET", "/v1/operations/none", None, KEY, {}, 404,
     "not_run", "unknown_operation"),
    ("no such path", "GET", "/v2/none", None, KEY, {}, 404, "not_run",
     "not_found"),
    ("wrong method", "DELETE", COMPLETIONS, None, KEY, {}, 405, "not_run",
     "method_not_allowed"),
    ("admin without the operators' key", "GET", "/v1/admin/status", None, KEY,
     {}, 401, "not_run", "operator_key_required"),
    ("long target", "GET", "/v1/requests/" + "x" * 5000, None, KEY, {}, 414,
     "not_run", "uri_too_long"),
]

# Requests that the client library does not send, with the expected status. None
# means that the HTTP library may close the connection without a response.
RAW = [
    ("length and chunked", b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
     b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411),
    # The library responds only after it has read the body, which never ends
    # here. That nothing ran and the daemon is alive is checked afterwards.
    ("negative length", b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
     b"Content-Length: -5\r\n\r\n", None),
    ("length not a number", b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
     b"Content-Length: many\r\n\r\n", 400),
    ("not HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", None),
]

FAILURES = []


def check(name, condition, detail):
    if not condition:
        FAILURES.append(name)
        print(f"FAIL  {name}: {detail}", flush=True)


def raw_status(address, data):
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), timeout=15) as connection:
        connection.sendall(data)
        try:
            answer = connection.recv(4096)
        except OSError:
            return None
    return int(answer.split()[1]) if answer.startswith(b"HTTP/") else None


def run_table(entry):
    for name, method, path, body, key, headers, status, outcome, kind in CASES:
        try:
            code, received, data = call(entry, method, path, body, key, headers)
            answer = json.loads(data)
        except (OSError, ValueError) as error:
            check(name, False, repr(error))
            continue
        check(name, code == status and answer.get("outcome") == outcome
              and answer.get("type", "").endswith(":" + kind)
              and received.get("Content-Type") == "application/problem+json"
              and "X-Request-Id" in received, (code, answer))
    for name, data, status in RAW:
        detail = raw_status(entry, data)
        check(name, status is None or detail == status, detail)


def engines_idle(env):
    running = 0
    for url in env["ENGINE_URLS"].split(","):
        load = json.loads(call(url[len("http://"):], "GET", "/v1/load")[2])
        running += load["running"] + load["kv_tokens"]
    return running == 0


def check_streams(entry, env):
    stream = Stream(entry, KEY, "one two three", 30)
    stream.start()
    stream.join(20)
    check("stream", stream.done and len(stream.tokens) == 30, stream.error)
    path = f"/v1/requests/{stream.request_id}/stream?from=20"
    code, _, data = call(entry, "GET", path, key=KEY)
    check("resume", code == 200 and data.count(b"token_index") == 10
          and data.endswith(b"data: [DONE]\n\n"), data[-200:])
    code, _, data = call(entry, "GET", f"/v1/requests/{stream.request_id}",
                         key="key-brandon-club")
    check("outcome of another account's request", code == 404, (code, data))
    code, _, data = call(entry, "POST", COMPLETIONS,
                         {"model": MODEL, "prompt": "one two three",
                          "max_tokens": 30, "kind": "brief-draft"}, KEY)
    check("not streamed", code == 200 and json.loads(data)["choices"][0][
        "text"].split() == stream.tokens, data[:200])


def check_caller_leaves(entry, env):
    host, _, port = entry.partition(":")
    body = json.dumps({"model": MODEL, "prompt": "leaving", "stream": True,
                       "max_tokens": 2000, "kind": "brief-draft"}).encode()
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
            + KEY.encode() + b"\r\nContent-Length: " + str(len(body)).encode()
            + b"\r\n\r\n" + body)
        connection.recv(4096)
        time.sleep(0.3)
    left_at = time.monotonic()
    while not engines_idle(env) and time.monotonic() - left_at < 5:
        time.sleep(0.05)
    seconds_to_free = time.monotonic() - left_at
    # The caller may resume for 0.5 s; then the servers are freed within 1 s.
    check("work of a caller that left is cancelled", seconds_to_free <= 1.6,
          f"{seconds_to_free:.2f} s")


def check_bytes(entry, env):
    """Guards against a header that ends the daemon because its bytes are not
    UTF-8."""
    for header in (b"Authorization", b"Idempotency-Key", b"X-Request-Id",
                   b"Content-Type", b"X-Other"):
        for byte in (b"\x01", b"\x80", b"\xc3\x28", b"\xff"):
            raw_status(entry, b"POST /v1/services/ballot/x HTTP/1.1\r\n"
                       b"Host: a\r\nAuthorization: Bearer " + KEY.encode()
                       + b"\r\nConnection: close\r\nContent-Length: 2\r\n"
                       + header + b": k" + byte + b"\r\n\r\n{}")
            code, _, _ = call(entry, "GET", "/healthz")
            check(f"alive after {header} with {byte}", code == 200, code)


def check_limit(entry, env):
    statuses = [call(entry, "POST", "/v1/services/archive-read/x", {},
                     "key-visitors")[0] for _ in range(3)]
    check("idempotent service", statuses == [200, 200, 200], statuses)


def check_table_history(entry, env):
    """Guards against a history that prints nothing after a commit."""
    def table(*action):
        return subprocess.run([BINARY, "table", *action, "--entry", entry,
                               "--key", env["OPERATOR_KEY"]],
                              capture_output=True, text=True, check=False)
    edited = FLEET / "edited.toml"
    edited.write_text(table("get").stdout.replace(
        'name = "visitors"', 'name = "visitors"\nweight = 3', 1))
    applied = table("apply", str(edited), "--author", "ada")
    history = table("history")
    check("table history", applied.returncode == 0
          and history.returncode == 0 and "version 2" in history.stdout
          and "author ada" in history.stdout,
          (applied.stdout, history.stdout, history.stderr))


def main():
    fleet("down")
    up = fleet("up", "--entries", "1", "--chains", "1")
    if up.returncode != 0:
        print(up.stdout + up.stderr)
        return 1
    try:
        env = load_env()
        entry = env["ENTRY_URLS"][len("http://"):]
        run_table(entry)
        check("nothing ran", engines_idle(env), "an engine holds work")
        check_streams(entry, env)
        check_caller_leaves(entry, env)
        check_bytes(entry, env)
        check_limit(entry, env)
        check_table_history(entry, env)
        code, _, _ = call(entry, "GET", "/healthz")
        check("alive at the end", code == 200, code)
    finally:
        fleet("down")
    total = len(CASES) + len(RAW) + 29
    print(f"{total - len(FAILURES)} passed, {len(FAILURES)} failed")
    return 1 if FAILURES else 0


if __name__ == "__main__":
    sys.exit(main())
