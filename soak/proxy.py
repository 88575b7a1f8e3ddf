"""A TCP forwarder on loopback that injects faults into open connections."""

import asyncio
import socket

import http_lite

# Small buffers on the way make the sender of a long body wait for room.
BUFFER_BYTES = 200_000


class Proxy:
    """Forwards `listen` (IP, port) to `target`.

    Bytes in a direction that is cut wait until it is healed, as with TCP over a
    partition. Silenced connections never carry a byte again, while new
    connections work.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self._open = {True: asyncio.Event(), False: asyncio.Event()}
        self._writers = set()
        self._silenced = set()
        self._server = None
        self.heal()

    async def start(self):
        self._server = await asyncio.start_server(self._connection,
                                                  *self.listen)

    async def stop(self):
        """Closes the port and resets every connection."""
        if self._server:
            self._server.close()
            self._server = None
        self.reset()

    def heal(self):
        self.delay_s = 0.0
        self._open[True].set()
        self._open[False].set()

    def cut(self, up=True, down=True):
        """Holds bytes towards the target (`up`) or from it (`down`)."""
        if up:
            self._open[True].clear()
        if down:
            self._open[False].clear()

    def reset(self):
        for writer in list(self._writers):
            http_lite.abort(writer)

    def silence(self):
        self._silenced |= self._writers

    def is_silenced(self, port):
        """Whether the connection from this client port was silenced."""
        return any(writer.get_extra_info("peername")[1] == port
                   for writer in self._silenced
                   if writer.get_extra_info("peername"))

    async def _connection(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            http_lite.abort(writer)
            return
        for side in (writer, target_writer):
            sock = side.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for buffer in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                sock.setsockopt(socket.SOL_SOCKET, buffer, BUFFER_BYTES)
        self._writers |= {writer, target_writer}
        await asyncio.gather(self._forward(reader, target_writer, True),
                             self._forward(target_reader, writer, False))
        for side in (writer, target_writer):
            self._writers.discard(side)
            self._silenced.discard(side)
            side.close()

    async def _forward(self, reader, writer, up):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._open[up].wait()
                if writer in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
            if writer not in self._silenced:
                writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            http_lite.abort(writer)
