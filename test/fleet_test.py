"""Tests of scripts/fleet with real stand-ins and a substitute daemon."""

import json
import os
import subprocess
import sys
import tempfile
import tomllib
import unittest
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

# Answers every GET at the address in its settings file: /readyz with the given
# status, everything else with 200.
DAEMON = """#!{python}
import sys, tomllib
from http.server import BaseHTTPRequestHandler, HTTPServer
class Handler(BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response({status} if self.path == "/readyz" else 200)
        self.end_headers()
assert sys.argv[1:3] == ["serve", "--config"]
with open(sys.argv[3], "rb") as f:
    host, port = tomllib.load(f)["address"].split(":")
HTTPServer((host, int(port)), Handler).serve_forever()
"""

SETTINGS = {"id", "data_center", "address", "peer_address", "table_url",
            "object_url", "list_url", "operator_key_sha256", "log_level",
            "chain_policy", "drain_seconds", "store_deadline_ms",
            "max_connections", "max_body_bytes"}


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.temp_dir = tempfile.TemporaryDirectory()
        self.dir = Path(self.temp_dir.name) / "fleet"
        self.bin = Path(self.temp_dir.name) / "daemon"
        self.write_daemon(200)

    def tearDown(self):
        self.fleet("down")
        self.temp_dir.cleanup()

    def write_daemon(self, status):
        self.bin.write_text(DAEMON.format(python=sys.executable,
                                          status=status))
        self.bin.chmod(0o755)

    def fleet(self, *arguments):
        env = dict(os.environ, TREFOILWICK_FLEET_DIR=str(self.dir),
                   TREFOILWICK_BIN=str(self.bin))
        return subprocess.run(
            [sys.executable, str(ROOT / "scripts" / "fleet"), *arguments],
            env=env, capture_output=True, text=True, timeout=60, check=False)

    def start_fleet(self, *arguments):
        return self.fleet("up", "--entries", "2", "--chains", "1", "--spares",
                          "1", "--services", "1", "--data-centers", "a,b",
                          "--lifetime-seconds", "60", "--no-apply", *arguments)

    # Guards against a fleet whose list, settings or table are incomplete.
    def test_up_writes_complete_list_settings_and_table(self):
        started = self.start_fleet()
        self.assertEqual(0, started.returncode, started.stderr)
        self.assertEqual(0, self.fleet("status").returncode)
        env = dict(line.split("=", 1) for line in
                   (self.dir / "env").read_text().splitlines())
        with urllib.request.urlopen(env["LIST_URL"] + "/instances",
                                    timeout=5) as answer:
            listed = json.load(answer)["instances"]
        roles = [i["role"] for i in listed]
        self.assertEqual((5, 1, 2), tuple(map(
            roles.count, ("engine", "service", "entry"))))
        engines = sorted(i["layers"] for i in listed if "layers" in i)
        self.assertEqual([[0, 8], [0, 8], [8, 16], [16, 24], [24, 32]],
                         engines)
        settings = tomllib.loads((self.dir / "entry-1.toml").read_text())
        self.assertEqual(SETTINGS, set(settings))
        self.assertIn("http://" + settings["address"],
                      env["ENTRY_URLS"].split(","))
        table = tomllib.loads((self.dir / "table.toml").read_text())
        self.assertEqual(10, len(table["account"]))
        self.assertEqual(6, len(table["kind"]))
        self.assertNotEqual(0, self.start_fleet().returncode,
                            "a second fleet started")
        stopped = self.fleet("down")
        self.assertEqual(0, stopped.returncode, stopped.stderr)
        self.assertNotEqual(0, self.fleet("status").returncode)

    # Guards against processes that keep running after a failed start.
    def test_failed_start_stops_all_processes(self):
        self.write_daemon(503)
        started = self.start_fleet("--timeout", "1")
        self.assertEqual(1, started.returncode)
        self.assertIn("not ready", started.stderr)
        records = json.loads((self.dir / "pids.json").read_text())
        self.assertEqual(11, len(records))
        status = self.fleet("status").stdout
        self.assertIn("fleet: 0 of 11 running", status)

    # Guards against killing an unrelated process that reuses a recorded pid.
    def test_down_ignores_reused_process_ids(self):
        with subprocess.Popen(["sleep", "30"]) as other:
            try:
                self.dir.mkdir()
                (self.dir / "pids.json").write_text(json.dumps(
                    [{"id": "table", "pid": other.pid, "start_time": 0,
                      "command": ["trefoilwick_standin"]}]))
                self.assertEqual(0, self.fleet("down").returncode)
                self.assertIsNone(other.poll())
            finally:
                other.kill()


if __name__ == "__main__":
    unittest.main()
