"""RESP2 and HTTP for the fakes.

The code is independent of `proxy/resp.py`, so that tests with the fakes detect faults there.
"""

from __future__ import annotations

import asyncio

CRLF = b"\r\n"


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the arguments of the next RESP2 command.

    Raises:
        asyncio.IncompleteReadError: The connection has ended.
        ValueError: The bytes are not a command.
    """
    count = int((await reader.readuntil(CRLF))[1:])
    arguments = []
    for _ in range(count):
        size = int((await reader.readuntil(CRLF))[1:])
        arguments.append((await reader.readexactly(size + len(CRLF)))[: -len(CRLF)])
    return arguments


def encode_command(*arguments: bytes) -> bytes:
    r"""Return a RESP2 command.

    >>> encode_command(b"PING", b"")
    b'*2\r\n$4\r\nPING\r\n$0\r\n\r\n'
    """
    return b"*%d\r\n" % len(arguments) + b"".join(
        b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments
    )


async def read_reply(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Read the next reply of an instance.

    Returns:
        The result and its text: ``satisfied`` and the value; ``rejected`` or ``broken off`` and the line; or
        ``ended`` and the bytes that were received before the connection ended.

    Raises:
        asyncio.IncompleteReadError: The connection ended within a value.
    """
    line = await reader.readline()
    if line.startswith(b"$") and not line.startswith(b"$-"):
        size = int(line[1:])
        return "satisfied", (await reader.readexactly(size + len(CRLF)))[: -len(CRLF)]
    if not line.endswith(CRLF):
        return "ended", line
    result = "rejected" if line.startswith(b"-BUSY") else "broken off"
    return result, line[: -len(CRLF)]


def http_response(status: str, content_type: str, body: bytes) -> bytes:
    """Return an HTTP/1.1 response; ``status`` is a status code and its text, such as "200 OK"."""
    head = f"HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body
