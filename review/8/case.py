"""Planned stops under load: requests that arrive just after the third second
after SIGTERM are taken, passed on, and cut off when the process exits."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import deployment as d  # noqa: E402

EVENTS = 60
# Below the longest pause that the sheet allows (200 ms): 7.8 s in all.
EVENT_INTERVAL_S = 0.13
STOPS = 4
# Requests of clients that still hold the directory's answer, 100 a second.
FIRST_REQUEST_S = 2.7
LAST_REQUEST_S = 3.3
REQUEST_INTERVAL_S = 0.01
# Until when the pages excuse a cut: "sent no later than 3 s after the SIGTERM".
EXCUSED_SEND_S = 3.0
# The time of sending is taken after the last byte was handed to the kernel.
MEASUREMENT_S = 0.005


async def run(record, trouble):
    deployment = d.Deployment(2)
    ran = {}

    async def stream(server, first, headers, body, writer):
        attempt = headers["attempt-id"]
        ran[attempt] = d.now()
        record.add(f"server {server.ident} runs {attempt}")
        begin = int(headers.get("last-event-id", "0")) + 1
        writer.write(d.head_bytes("HTTP/1.1 200 OK", {
            **server.headers(attempt), "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(begin, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                record.add(f"server {server.ident} drops {attempt} "
                           f"at event {number}")
                return False
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        record.add(f"server {server.ident} ended {attempt}")
        return True

    findings = []

    async def client(instance, since):
        """One request on a new connection; `since` is the time of SIGTERM."""
        attempt = d.attempt_id()
        sent = None
        got = b""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*instance.front), 1)
            writer.write(d.request_bytes(
                "POST", "/draft/2f", attempt, 20000, b"topic",
                **{"Token-Counts": "760,146", "Prompt-Prefix": "5c1e:760"}))
            await writer.drain()
            sent = d.now()
            while data := await reader.read(65536):
                got += data
                if got.endswith(b"0\r\n\r\n"):
                    break
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        if sent is None:
            record.add(f"client {attempt}: no connection")
            return
        complete = got.endswith(b"0\r\n\r\n") or b" 503 " in got[:20]
        offset = sent - since
        record.add(
            f"client {attempt}: sent {offset:.3f} s after "
            f"{'SIGTERM' if trouble else 'the time of no SIGTERM'}, "
            f"{'passed on' if attempt in ran else 'not passed on'}, "
            f"{got.count(b'id: ')} events, "
            f"{'complete' if complete else 'cut'} {d.now() - since:.3f} s")
        if attempt in ran and not complete and offset > EXCUSED_SEND_S + MEASUREMENT_S:
            findings.append(
                f"LOST: {attempt} was sent {offset:.3f} s after SIGTERM, read "
                f"and passed on, and cut off at {d.now() - since:.3f} s after "
                f"{got.count(b'id: ')} of {EVENTS} events")

    try:
        d.Server(deployment, "i-7f3a91c2", "huvo11a", stream)
        d.Server(deployment, "i-02d9e6b4", "huvo11a", stream)
        await deployment.start([d.route("/draft/", "stream", "huvo11a")],
                               ["huvo11a"])
        for number in range(STOPS):
            instance = deployment.instances[number % 2]
            begin = d.now()
            record.add(f"stop {number + 1} of {instance.ip}" if trouble else
                       f"no stop of {instance.ip}")
            stop = (asyncio.ensure_future(instance.stop_as_planned())
                    if trouble else asyncio.sleep(d.GRACE_S))
            requests = []
            offset = FIRST_REQUEST_S
            while offset < LAST_REQUEST_S:
                await asyncio.sleep(max(0, begin + offset - d.now()))
                requests.append(asyncio.ensure_future(client(instance, begin)))
                offset += REQUEST_INTERVAL_S
            await stop
            await asyncio.gather(*requests)
            if trouble:
                record.add(f"{instance.ip} has ended with "
                           f"{instance.process.returncode}")
                instance.start()
                if not await instance.wait_until_ready():
                    raise RuntimeError("the instance did not come back")
                await asyncio.sleep(2)
    finally:
        deployment.stop()
    return findings


d.main(run, FOLDER)
