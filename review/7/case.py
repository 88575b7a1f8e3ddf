"""All servers of a service crash one after the other and are back after some
seconds. Requests whose prompts begin with a common part are refused from then
on, also after a loss of all processes."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import deployment as d  # noqa: E402

SERVERS = 3
FIRST_EVENT_S = 0.35
EVENT_INTERVAL_S = 0.1
EVENTS = 30
REQUESTS_PER_S = 60
CALM_S = 8.0
# Time from one crash to the next, and from a crash to the server's return.
CRASH_INTERVAL_S = 0.15
DOWN_S = 4.5
# The servers crash in this way twice.
ROUNDS, ROUND_S = 2, 8.0
# The final fault: all processes are killed, and start again.
PROCESSES_DOWN_S = 0.8
RECOVER_S = 12.0
CHECK_S = 10.0
MIN_SERVED_SHARE = 0.25


class CrashingServer(d.Server):
    """A server whose process can end and start again under its id."""

    async def start(self):
        self.writers = set()
        self.listener = await asyncio.start_server(self._connection, self.ip,
                                                   8500, backlog=1000)
        self.beat = asyncio.ensure_future(self._beat())

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def crash(self):
        self.beat.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def come_back(self):
        self.born = int(d.time.time() * 1000)
        self.seq = 0
        await self.start()


async def run(record, trouble):
    deployment = d.Deployment(2)
    results = []

    async def stream(server, first, headers, body, writer):
        attempt = headers["attempt-id"]
        record.add(f"server {server.ident} runs {attempt}")
        begin = int(headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write(d.head_bytes("HTTP/1.1 200 OK", {
            **server.headers(attempt), "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(begin, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                return False
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        return True

    async def client(instance):
        attempt = d.attempt_id()
        sent = d.now()
        outcome = "no connection"
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*instance.front), 1)
            outcome = "no answer"
            # All prompts begin with one part, and go on with one of their own.
            writer.write(d.request_bytes(
                "POST", "/draft/2f", attempt, 20000, attempt.encode(),
                **{"Token-Counts": "800,60",
                   "Prompt-Prefix": f"5c1e07a2:40,{attempt[:8]}:760"}))
            head = await asyncio.wait_for(d.read_head(reader), 21)
            if head:
                outcome = head[0].split(" ")[1]
                body = await asyncio.wait_for(d.read_body(reader, head[1]), 21)
                if outcome != "200":
                    outcome += " " + body.decode("latin-1")
            writer.close()
        except (OSError, asyncio.TimeoutError, ValueError,
                asyncio.IncompleteReadError):
            pass
        record.add(f"client {attempt}: {outcome}")
        results.append((sent, outcome))

    async def traffic():
        number = 0
        while True:
            number += 1
            asyncio.ensure_future(client(deployment.instances[number % 2]))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    def served(begin, end):
        some = [outcome for sent, outcome in results if begin <= sent < end]
        return len([o for o in some if o == "200"]), len(some)

    try:
        for number in range(SERVERS):
            CrashingServer(deployment, f"i-{number}", "huvo11a", stream)
        await deployment.start([d.route("/draft/", "stream", "huvo11a")],
                               ["huvo11a"])
        start = d.now()
        asyncio.ensure_future(traffic())
        await asyncio.sleep(CALM_S)
        crash_at = d.now()

        async def down(server, after):
            await asyncio.sleep(after)
            record.add(f"server {server.ident} crashes")
            server.crash()
            await asyncio.sleep(DOWN_S)
            await server.come_back()
            record.add(f"server {server.ident} is back")

        for _ in range(ROUNDS):
            crashes = [down(server, number * CRASH_INTERVAL_S)
                       for number, server in enumerate(deployment.servers)]
            if trouble:
                await asyncio.gather(asyncio.sleep(ROUND_S), *crashes)
            else:
                for crash in crashes:
                    crash.close()
                await asyncio.sleep(ROUND_S)
        final_at = d.now()
        if trouble:
            record.add("all processes are killed")
            for instance in deployment.instances:
                instance.signal(signal.SIGKILL)
                instance.process.wait()
            await asyncio.sleep(PROCESSES_DOWN_S)
            for instance in deployment.instances:
                instance.start()
        back_at = d.now()
        record.add("all processes are back")
        await asyncio.sleep(RECOVER_S + CHECK_S + 4)
        before, before_all = served(start, crash_at)
        middle, middle_all = served(final_at - 2, final_at)
        after, after_all = served(back_at + RECOVER_S,
                                  back_at + RECOVER_S + CHECK_S)
        whole, whole_all = served(start, final_at)
    finally:
        deployment.stop()
    text = (f"served before the crashes {before} of {before_all}, in the two "
            f"seconds before the final fault {middle} of {middle_all}, in all before it "
            f"{whole} of {whole_all}, later than recoverS after it {after} of "
            f"{after_all}")
    record.add(text)
    print(text)
    if (whole >= MIN_SERVED_SHARE * whole_all
            and after < MIN_SERVED_SHARE * after_all):
        return ["RECOVER: " + text]
    return []


d.main(run, FOLDER)
