"""Stand-in of the platform's store: versioned rows, a feed, transactions."""

import asyncio
import base64
import json
import time
import urllib.parse

from . import http


class Store:
    def __init__(self):
        self.version = 1
        # None, or the status that every call is answered with.
        self.refusal = None
        self._rows = {}
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host, port):
        self._server = await asyncio.start_server(
            self._connection, host, port, limit=http.MAX_HEAD_BYTES)

    async def stop(self):
        self._server.close()

    def put(self, table, key, value, part=""):
        self.version += 1
        self._rows[(table, part, key)] = (json.dumps(value).encode(),
                                          self.version)
        self._announce()

    def remove(self, table, key, part=""):
        if self._rows.pop((table, part, key), None):
            self.version += 1
            self._announce()

    def _announce(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, row_id):
        value, version = self._rows[row_id]
        return {"table": row_id[0], "part": row_id[1], "key": row_id[2],
                "value": base64.b64encode(value).decode(), "ver": version}

    def _answer(self, rows):
        return {"rows": rows, "truncated": False, "ver": self.version,
                "nowMs": int(time.monotonic() * 1000)}

    async def _connection(self, reader, writer):
        try:
            while head := await http.read_head(reader):
                body = await http.read_body(reader, head)
                status, answer = 503, {}
                if self.refusal is None:
                    await asyncio.sleep(0.004)
                    status, answer = await self._call(head, body)
                writer.write(http.answer_bytes(
                    status, json.dumps(answer).encode(),
                    {"Content-Type": "application/json"}))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _call(self, head, body):
        target = urllib.parse.urlsplit(head.first_line.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == "/rows-tx":
            return self._transact(json.loads(body))
        if target.path == "/rows-get":
            rows = [self._row(i) for i in sorted(self._rows)
                    if i[0] == query["table"] and i[1] == query.get("part", "")
                    and i[2] >= query.get("from", "")]
            return 200, self._answer(rows[:int(query.get("limit", 500))])
        if target.path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _feed(self, query):
        since = int(query["sinceRev"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            rows = [self._row(i) for i in sorted(self._rows)
                    if i[0] == query["table"] and self._rows[i][1] > since]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self._answer(rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, entries):
        def row_id(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        if any(self._rows.get(row_id(e), (b"", 0))[1] != e["ver"]
               for e in entries["expected"]):
            return 412, self._answer([self._row(row_id(e))
                                      for e in entries["expected"]
                                      if row_id(e) in self._rows])
        self.version += 1
        for entry in entries["puts"]:
            self._rows[row_id(entry)] = (base64.b64decode(entry["value"]),
                                         self.version)
        for entry in entries["remove"]:
            self._rows.pop(row_id(entry), None)
        self._announce()
        return 200, self._answer([])
