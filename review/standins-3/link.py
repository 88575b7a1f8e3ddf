"""A machine's link to the platform's store: a proxy that carries a given
number of bits a second from the store, over all connections together."""

import asyncio

from lab import now

PIECE_BYTES = 8192


class SlowLink:
    def __init__(self, lab, mbps):
        self.lab, self.bytes_per_s = lab, mbps * 1e6 / 8
        self.host, self.port = lab.next_host(), lab.port
        self.free_at = 0.0

    async def listen(self):
        self.server = await asyncio.start_server(
            self.accept, self.host, self.port, reuse_address=True,
            limit=PIECE_BYTES)

    async def carry(self, reader, writer, is_limited):
        try:
            while True:
                piece = await reader.read(PIECE_BYTES)
                if not piece:
                    break
                if is_limited:
                    self.free_at = max(self.free_at, now())
                    self.free_at += len(piece) / self.bytes_per_s
                    await asyncio.sleep(max(0, self.free_at - now()))
                writer.write(piece)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def accept(self, reader, writer):
        try:
            store = await asyncio.open_connection(
                self.lab.store.host, self.lab.store.port, limit=PIECE_BYTES)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(self.carry(reader, store[1], False),
                                 self.carry(store[0], writer, True))
        except asyncio.CancelledError:
            pass
