"""A proxy between two processes that can be cut, silenced, slowed or reset, one way or both."""

import asyncio
import threading


class Proxy:
    """Forwards TCP to one address, in a thread of its own.

    Args:
        target: Where it forwards to, ``IP:port``.
        listen: Where it listens; a free port of loopback unless given.
        loop: Event loop of a running thread to share; a thread of its own unless given.

    ``cut`` closes and refuses connections; ``silent`` keeps them open and drops every byte of both
    ways, ``silent_answers`` only those of the answers; ``delay_s`` holds each piece for so long.
    """

    def __init__(self, target, listen="127.0.0.1:0", loop=None):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.cut = False
        self.silent = False
        self.silent_answers = False
        self.delay_s = 0.0
        self.thread = None
        self.loop = loop
        if loop is None:
            self.loop = asyncio.new_event_loop()
            self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
            self.thread.start()
        self.writers = set()
        host, port = listen.rsplit(":", 1)
        self.server = self._call(asyncio.start_server(self._serve, host, int(port)))
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

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
        await asyncio.gather(
            self._pump(reader, far_writer, lambda: self.silent),
            self._pump(far_reader, writer, lambda: self.silent or self.silent_answers),
        )
        self.writers -= {writer, far_writer}

    async def _pump(self, reader, writer, is_silent):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not is_silent():
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not is_silent():
            writer.close()

    def set(self, *, cut=False, silent=False, silent_answers=False, delay_s=0.0):
        """Changes what happens to bytes from now on; what is not named ends."""

        def apply():
            self.cut, self.silent, self.silent_answers = cut, silent, silent_answers
            self.delay_s = delay_s
            if cut:
                self._abort_all()

        self.loop.call_soon_threadsafe(apply)

    def reset(self):
        """Resets the open connections."""
        self.loop.call_soon_threadsafe(self._abort_all)

    def _abort_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        """Ends the proxy and its connections."""

        async def stop():
            self.server.close()
            self._abort_all()

        self._call(stop())
        if self.thread:
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join(10)
