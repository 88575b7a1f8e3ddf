"""Stand-in of the platform's store: versioned rows, a feed, transactions, and
rollbacks to a copy."""

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


# Time for which copies are kept.
MAX_COPY_AGE_S = 12.0
# Tables whose writers notice a rollback and write their rows again.
REWRITTEN_TABLES = ("op", "servers")


class Store:
    def __init__(self):
        self.fault = StoreFault.NONE
        self.version = 1
        # Rises with each rollback.
        self.era = 1
        self.calls = 0
        # Rows that a rollback lost and nobody has written or removed since.
        self.lost = {}
        # Rows that a rollback brought back and nobody has written since.
        self.revived = set()
        self._rows = {}
        # (time, version, rows) after each change, the oldest first.
        self._copies = [(time.monotonic(), 1, {})]
        self._changed = asyncio.Condition()

    async def start(self, host, port):
        await http_lite.serve(self._handle, host, port)

    def put(self, table, key, value, part=""):
        self._write((table, part, key), json.dumps(value).encode())
        return self.version

    def remove(self, table, key, part=""):
        row_id = (table, part, key)
        self.lost.pop(row_id, None)
        if self._rows.pop(row_id, None):
            self.version += 1
            self._copy()

    def roll_back(self, age_s):
        """Goes on from a copy that is `age_s` old."""
        before = self._rows
        limit = time.monotonic() - age_s
        while len(self._copies) > 1 and self._copies[-1][0] > limit:
            self._copies.pop()
        _, self.version, rows = self._copies[-1]
        self.era += 1
        self._rows = dict(rows)
        known = self.lost | {row_id: value for row_id, (value, _)
                             in before.items() if row_id[0] in REWRITTEN_TABLES}
        self.lost = {row_id: value for row_id, value in known.items()
                     if rows.get(row_id, (None,))[0] != value}
        self.revived = {row_id for row_id in rows
                        if row_id not in before and row_id not in known}

    async def write_again(self, row_id):
        """Writes a row that the last rollback lost."""
        if row_id in self.lost:
            self._write(row_id, self.lost[row_id])
            await self.announce()

    def drop_revived(self):
        for table, part, key in list(self.revived):
            self.remove(table, key, part)
        self.revived.clear()

    def _write(self, row_id, value):
        self.version += 1
        self.lost.pop(row_id, None)
        self.revived.discard(row_id)
        self._rows[row_id] = value, self.version
        self._copy()

    def _copy(self):
        now = time.monotonic()
        self._copies.append((now, self.version, dict(self._rows)))
        while self._copies[1][0] < now - MAX_COPY_AGE_S:
            self._copies.pop(0)

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
            writer.write(http_lite.response_bytes(503, b"", self._headers()))
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
            status, answer,
            {"Content-Type": "application/json", **self._headers()}))
        return True

    def _headers(self):
        return {"Store-Era": str(self.era)}

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
        since = int(query["sinceRev"])
        if self.fault is StoreFault.COMPACTED or since > self.version:
            return 410, b"{}"
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
        for entry in entries["puts"]:
            self._write(row_id(entry), base64.b64decode(entry["value"]))
        return 200, self._rows_body([])
