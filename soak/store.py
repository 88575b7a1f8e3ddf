"""Stand-in of the platform's store: versioned rows, a feed, transactions."""

import asyncio
import base64
import enum
import json
import time
import urllib.parse

import http_lite


class StoreFault(enum.Enum):
    NONE = "none"
    # Answers 503 and runs nothing.
    DOWN = "down"
    # Runs nothing and never answers.
    SILENT = "silent"
    # Runs the call and closes the connection without an answer.
    LOST = "lost"
    # Answers after a second.
    SLOW = "slow"
    # Answers 410 to every feed.
    COMPACTED = "compacted"


class Store:
    def __init__(self):
        self.fault = StoreFault.NONE
        self.version = 1
        self.calls = 0
        self._rows = {}
        self._changed = asyncio.Condition()

    async def start(self, host, port):
        await http_lite.serve(self._handle, host, port)

    def put(self, table, key, value, part=""):
        self.version += 1
        self._rows[(table, part, key)] = (json.dumps(value).encode(),
                                          self.version)
        return self.version

    def remove(self, table, key, part=""):
        if self._rows.pop((table, part, key), None):
            self.version += 1

    async def announce(self):
        async with self._changed:
            self._changed.notify_all()

    def _row(self, row_id):
        value, version = self._rows[row_id]
        return {"table": row_id[0], "part": row_id[1], "key": row_id[2],
                "value": base64.b64encode(value).decode(), "ver": version}

    def _rows_body(self, rows):
        return json.dumps({"rows": rows, "truncated": False,
                           "ver": self.version,
                           "nowMs": int(time.monotonic() * 1000)}).encode()

    async def _handle(self, head, body, reader, writer):
        self.calls += 1
        fault = self.fault
        if fault is StoreFault.DOWN:
            writer.write(http_lite.response_bytes(503))
            return True
        if fault is StoreFault.SILENT:
            await reader.read(1)
            return False
        if fault is StoreFault.SLOW:
            await asyncio.sleep(1)
        status, answer = await self._answer(head, body)
        if fault is StoreFault.LOST:
            return False
        writer.write(http_lite.response_bytes(
            status, answer, {"Content-Type": "application/json"}))
        return True

    async def _answer(self, head, body):
        target = urllib.parse.urlsplit(head.first_line.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == "/rows-tx":
            return self._transact(json.loads(body))
        if target.path == "/rows-get":
            return 200, self._rows_body(self._select(query))
        if target.path == "/rows-feed":
            return await self._feed(query)
        return 404, b"{}"

    def _select(self, query):
        return [self._row(row_id) for row_id in sorted(self._rows)
                if row_id[0] == query["table"]
                and row_id[1] == query.get("part", "")
                and row_id[2] >= query.get("from", "")]

    async def _feed(self, query):
        if self.fault is StoreFault.COMPACTED:
            return 410, b"{}"
        since = int(query["sinceRev"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000

        def changed():
            return [self._row(row_id) for row_id in sorted(self._rows)
                    if row_id[0] == query["table"]
                    and self._rows[row_id][1] > since]

        async with self._changed:
            while not changed() and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self._changed.wait(),
                                           end - time.monotonic())
                except asyncio.TimeoutError:
                    break
        return 200, self._rows_body(changed())

    def _transact(self, entries):
        def row_id(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        current = [row_id(entry) for entry in entries["expected"]]
        if any(self._rows.get(row_id(entry), (b"", 0))[1] != entry["ver"]
               for entry in entries["expected"]):
            return 412, self._rows_body([self._row(p) for p in current
                                         if p in self._rows])
        self.version += 1
        for entry in entries["puts"]:
            self._rows[row_id(entry)] = (base64.b64decode(entry["value"]),
                                         self.version)
        return 200, self._rows_body([])
