"""A small HTTP/1.1 client and message reader over asyncio streams, standard library only."""

from __future__ import annotations

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or a response: its first line, headers in lower case, and its body."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a start line and headers."""
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return start, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class KeptConnection:
    """A client's connection to one address, kept open from one request to the next."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Closes the connection; the next request opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 1.0,
    ) -> Message | None:
        """Sends one request; None if no whole answer came in time. The connection is then closed,
        as it is after an answer that says so."""
        answer = None
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    host, _, port = self._address.rpartition(":")
                    self._streams = await asyncio.open_connection(host, int(port))
                reader, writer = self._streams
                fields = {"Host": self._address, **(headers or {})}
                writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
                await writer.drain()
                start, answer_headers = await read_head(reader)
                answer = Message(start, answer_headers, await read_body(reader, answer_headers))
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if answer is None or answer.headers.get("connection", "").lower() == "close":
                self.close()
        return answer


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message | None:
    """Sends one request on a connection of its own; None if no whole answer came in time."""
    connection = KeptConnection(address)
    try:
        return await connection.call(method, target, headers, body, timeout_s)
    finally:
        connection.close()
