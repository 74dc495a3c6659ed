"""A small HTTP/1.1 reader and writer for the stand-ins; asyncio streams only."""

import asyncio
import json


class BrokenError(Exception):
    """The connection ended or the peer sent no HTTP."""


async def read_head(reader):
    """Returns the start line and the headers by lower-case name; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenError("ended within a head") from error
    except (OSError, asyncio.LimitOverrunError) as error:
        raise BrokenError(repr(error)) from error
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns a body with a length or in chunks."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    return body
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenError(repr(error)) from error


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def exchange(address, head, body=b"", timeout=1.0, local=None):
    """Sends a request on a new connection and returns the answer."""
    host, _, port = address.rpartition(":")

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
        try:
            writer.write(head + body)
            read = await read_head(reader)
            if read is None:
                raise BrokenError("closed without an answer")
            status = int(read[0].split()[1])
            return Answer(status, read[1], await read_body(reader, read[1]))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, TimeoutError, ValueError, IndexError) as error:
        raise BrokenError(repr(error)) from error


def head(method, target, host, headers=(), length=None):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def call(address, name, of="", document=None, headers=(), timeout=1.0):
    """One call of the control plane; returns the answer."""
    target = f"/rpc?call={name}" + (f"&of={of}" if of else "")
    body = json.dumps(document).encode() if document is not None else b""
    fields = [("Content-Type", "application/json"), *headers]
    return await exchange(address, head("POST", target, address, fields, len(body)), body, timeout)


async def call_any(addresses, name, of="", document=None, headers=(), patience=20.0):
    """A call that goes on to the next address after a failure, a 5xx, 408 or 429."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + patience
    pause = 0.05
    number = 0
    while loop.time() < ends:
        try:
            answer = await call(addresses[number % len(addresses)], name, of, document, headers)
            if answer.status < 500 and answer.status not in (408, 429):
                return answer
        except BrokenError:
            pass
        number += 1
        await asyncio.sleep(pause)
        pause = min(0.5, pause * 1.5)
    raise BrokenError(f"{name}: no clear answer in {patience} s")
