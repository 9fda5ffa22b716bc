"""RESP2 and HTTP as the stand-ins speak them, apart from `net/resp.py` so that a fault there shows here."""

from __future__ import annotations

import asyncio


async def command(reader: asyncio.StreamReader) -> list[bytes]:
    """One RESP command; IncompleteReadError once the other side has ended."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def packed(*words: bytes) -> bytes:
    """
    >>> packed(b"PING", b"")
    b'*2\\r\\n$4\\r\\nPING\\r\\n$0\\r\\n\\r\\n'
    """
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def answered(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """A marshal's next answer: `satisfied`, `rejected` or `broken off`, and its value or line; `ended` once
    the connection has."""
    line = await reader.readline()
    if line[:1] == b"$" and not line.startswith(b"$-"):
        return "satisfied", (await reader.readexactly(int(line[1:]) + 2))[:-2]
    if not line.endswith(b"\r\n"):
        return "ended", line
    return ("rejected" if line.startswith(b"-BUSY") else "broken off"), line[:-2]


def page(status: str, kind: str, body: bytes) -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
