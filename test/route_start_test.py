#!/usr/bin/env python3
"""A real `trefoilwick route` process that starts: signals, and odd settings.

The process reads its settings from a pipe, so that the test knows when it has
begun to start and is not ready yet.
"""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

TIMEOUT_S = 15
# Time in which a process that a signal ends is gone, and in which one that runs
# has read its settings.
PAUSE_S = 0.5
NETWORK = f"127.{100 + os.getpid() % 100}"
INSTANCE = f"{NETWORK}.1.1"
READY_PORT = 8220
SETTINGS = f"""ip = "{INSTANCE}"
zone = "east"
portRange = [7340, 7355]
[listen]
front = "{INSTANCE}:8227"
ready = "{INSTANCE}:{READY_PORT}"
directory = "{INSTANCE}:8224"
[bounds]
graceS = 2
[platform]
address = "{NETWORK}.0.1:8223"
"""


def write_settings(pipe):
    """Blocks until the process reads."""
    with open(pipe, "w", encoding="utf-8") as file:
        file.write(SETTINGS)


def wait_until_listening(process):
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if process.poll() is not None:
            return False
        try:
            socket.create_connection((INSTANCE, READY_PORT), 1).close()
            return True
        except OSError:
            time.sleep(0.02)
    return False


def start(folder):
    """A process that is about to read its settings, and the pipe of these."""
    pipe = Path(folder) / "settings.toml"
    os.mkfifo(pipe)
    process = subprocess.Popen(
        [os.environ["TREFOILWICK_BIN"], "route"], stdout=subprocess.DEVNULL,
        env={"PATH": os.environ["PATH"], "TREFOILWICK_BOOT": str(pipe)})
    # Opens only when the process has opened the other end.
    writer = open(pipe, "w", encoding="utf-8")
    return process, pipe, writer


def reload_while_starting():
    """Guards against a process that a SIGHUP ends while it starts, as changed
    settings are announced to all processes at any time."""
    with tempfile.TemporaryDirectory() as folder:
        process, pipe, writer = start(folder)
        try:
            process.send_signal(signal.SIGHUP)
            time.sleep(PAUSE_S)
            assert process.poll() is None, f"ended: {process.returncode}"
            with writer:
                writer.write(SETTINGS)
            # The first reading must not get the bytes of the next one as well.
            time.sleep(PAUSE_S)
            # The signal is not lost: the settings are read again.
            write_settings(pipe)
            assert wait_until_listening(process), "does not listen"
        finally:
            process.kill()
            process.wait()


def start_with_odd_bounds():
    """Guards against processes that do not start because of figures that may be
    fractions, or that they can do without."""
    odd = SETTINGS.replace("graceS = 2", "graceS = 7.5\ndrainMs = true\n"
                           "retryWindowS = -1\nretrySlack = 1e300")
    with tempfile.TemporaryDirectory() as folder:
        process, _, writer = start(folder)
        try:
            with writer:
                writer.write(odd)
            assert wait_until_listening(process), "does not listen"
            process.send_signal(signal.SIGTERM)
            assert process.wait(TIMEOUT_S) == 0, f"{process.returncode}"
        finally:
            process.kill()
            process.wait()


def stop_while_starting():
    """Guards against a process that misses a SIGTERM while it starts."""
    with tempfile.TemporaryDirectory() as folder:
        process, _, writer = start(folder)
        try:
            process.send_signal(signal.SIGTERM)
            with writer:
                writer.write(SETTINGS)
            assert process.wait(TIMEOUT_S) == 0, f"{process.returncode}"
        finally:
            process.kill()
            process.wait()


def main():
    failed = 0
    for case in (reload_while_starting, start_with_odd_bounds,
                 stop_while_starting):
        try:
            case()
            print(f"ok {case.__name__}")
        except AssertionError as error:
            failed += 1
            print(f"FAILED {case.__name__}: {error}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
