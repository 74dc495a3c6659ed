"""A proxy between two processes that can be cut, silenced or slowed, one way or both."""

import asyncio
import threading


class Proxy:
    """Forwards TCP to one address, in a thread of its own.

    ``cut`` closes and refuses connections; ``silent`` keeps them open and drops every byte.
    """

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.cut = False
        self.silent = False
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.writers = set()
        self.server = self._call(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def _call(self, work):
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(10)

    async def _serve(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        self.writers -= {writer, far_writer}

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not self.silent:
            writer.close()

    def set(self, *, cut=False, silent=False):
        def apply():
            self.cut, self.silent = cut, silent
            if cut:
                for writer in self.writers:
                    writer.transport.abort()

        self.loop.call_soon_threadsafe(apply)

    def close(self):
        async def stop():
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()

        self._call(stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
