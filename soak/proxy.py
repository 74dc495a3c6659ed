"""A TCP proxy between two processes that injects network faults."""

import asyncio
import threading


class Proxy:
    """Forwards TCP connections to one address.

    Args:
        target: Address to forward to, ``IP:port``.
        listen: Address to listen on; a free port on loopback by default.
        loop: Event loop that runs in another thread; by default the proxy starts its own.

    ``cut`` aborts open and new connections. ``silent`` keeps connections open but drops all bytes
    in both directions; ``silent_answers`` drops only those from the target. ``delay_s`` delays each
    chunk.
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

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    async def _serve(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer, lambda: self.silent),
            self._forward(target_reader, writer, lambda: self.silent or self.silent_answers),
        )
        self.writers -= {writer, target_writer}

    async def _forward(self, reader, writer, is_silent):
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
        """Sets the faults from now on; those that are not given end."""

        def apply():
            self.cut, self.silent, self.silent_answers = cut, silent, silent_answers
            self.delay_s = delay_s
            if cut:
                self._abort_all()

        self.loop.call_soon_threadsafe(apply)

    def reset(self):
        """Aborts the open connections."""
        self.loop.call_soon_threadsafe(self._abort_all)

    def _abort_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        """Closes the proxy and its connections."""

        async def stop():
            self.server.close()
            self._abort_all()

        self._call(stop())
        if self.thread:
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join(10)
