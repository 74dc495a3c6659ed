"""Compression of the JSON bodies that the system's own processes send each other.

A process that understands compressed bodies says so with ``accept-encoding`` in its calls and
responses. Bodies are compressed only for a peer that has said so, so builds without it get plain
ones."""

from __future__ import annotations

import collections.abc
import zlib

from flamingotiller import errors, wire

ENCODING = b"deflate"
ACCEPT_HEADER = (b"accept-encoding", ENCODING)
CONTENT_HEADER = (b"content-encoding", ENCODING)
# Shorter bodies gain less than the compression costs.
MIN_BYTES = 1024
# The fastest level; bodies are JSON with many repeated names.
LEVEL = 1

Headers = collections.abc.Iterable[tuple[bytes, bytes]]


def is_accepted(headers: Headers) -> bool:
    """Returns whether the sender of a message understands compressed bodies."""
    accepted = wire.header(headers, b"accept-encoding") or ""
    return ENCODING.decode() in [token.strip() for token in accepted.split(",")]


def compress(body: bytes) -> bytes | None:
    """Returns the compressed body, None if it is too short to be worth it."""
    return zlib.compress(body, LEVEL) if len(body) >= MIN_BYTES else None


def decompress(body: bytes, headers: Headers, max_bytes: int) -> bytes:
    """Returns the plain body of a message.

    Args:
        body: Body as received.
        headers: Headers of the message.
        max_bytes: Longest plain body.

    Raises:
        errors.ProtocolError: The body is not in the encoding that the headers name, the encoding is
            unknown, or the plain body is too long.
    """
    encoding = wire.header(headers, b"content-encoding")
    if encoding is None:
        return body
    if encoding != ENCODING.decode():
        raise errors.ProtocolError(f"unknown content encoding {encoding!r}", step="decompress")
    decoder = zlib.decompressobj()
    try:
        plain = decoder.decompress(body, max_bytes)
    except zlib.error as error:
        raise errors.ProtocolError(f"body is corrupt: {error}", step="decompress") from error
    if not decoder.eof or decoder.unused_data:
        raise errors.ProtocolError("body is truncated or too long", step="decompress")
    return plain
