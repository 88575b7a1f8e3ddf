"""Callers of a local fleet, for the demo and for tests with real processes."""

import http.client
import json
import os
import subprocess
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FLEET = Path(os.environ.get("TREFOILWICK_FLEET_DIR",
                            ROOT / "build" / "fleet")).resolve()
BINARY = os.environ.get("TREFOILWICK_BIN",
                        str(ROOT / "build" / "default" / "trefoilwick"))
MODEL = "debate-70b"


def fleet(*args):
    return subprocess.run([str(ROOT / "scripts" / "fleet"), *args], check=False,
                          capture_output=True, text=True)


def load_env():
    env = {}
    for line in (FLEET / "env").read_text().splitlines():
        name, _, value = line.partition("=")
        env[name] = value
    return env


def call(address, method, path, body=None, key=None, headers=None, timeout=30):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    if key:
        all_headers["Authorization"] = "Bearer " + key
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body)
    connection.request(method, path, body, all_headers)
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response.status, dict(response.getheaders()), data


class Stream(threading.Thread):
    """A streamed completion, read in the background."""

    def __init__(self, address, key, prompt, max_tokens, kind="brief-draft"):
        super().__init__(daemon=True)
        self.address, self.key = address, key
        self.body = {"model": MODEL, "prompt": prompt, "kind": kind,
                     "max_tokens": max_tokens, "stream": True}
        self.tokens, self.times = [], []
        self.request_id = self.error = None
        self.done = False
        self.begin = time.monotonic()

    def run(self):
        try:
            connection = http.client.HTTPConnection(self.address, timeout=60)
            connection.request("POST", "/v1/completions", json.dumps(self.body),
                               {"Authorization": "Bearer " + self.key})
            response = connection.getresponse()
            self.request_id = response.getheader("X-Request-Id")
            if response.status != 200:
                self.error = response.read().decode()
                return
            for line in response:
                self.handle(line.decode().strip())
        except (OSError, ValueError, http.client.HTTPException) as error:
            self.error = repr(error)

    def handle(self, line):
        if line == "data: [DONE]":
            self.done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            if "choices" in event:
                self.tokens.append(event["choices"][0]["text"].strip())
                self.times.append(time.monotonic())
            else:
                self.error = event

    def wait_for_tokens(self, count, timeout_s=20):
        end = time.monotonic() + timeout_s
        while len(self.tokens) < count and time.monotonic() < end:
            time.sleep(0.005)
        return len(self.tokens) >= count


def pid_of(name):
    for process in json.loads((FLEET / "pids.json").read_text()):
        if process["id"] == name:
            return process["pid"]
    raise KeyError(name)


def status(address, env):
    return json.loads(call(address, "GET", "/v1/admin/status",
                           key=env["OPERATOR_KEY"])[2])


def busy_stage(entries, env):
    """Returns the second stage of a chain that is running requests."""
    for entry in entries:
        view = status(entry, env)
        for load in view["owned_chains"]:
            if load["running"] > 0:
                for chain in view["chains"]:
                    if chain["id"] == load["chain"]:
                        return chain["stages"][1]
    return None
