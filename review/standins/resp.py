"""RESP2 for the stand-ins, and a client of an instance."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

CRLF = b"\r\n"
READ_LIMIT = 1 << 20  # Bytes that a reader buffers; the longest line or value is far shorter.


class Answer(NamedTuple):
    """An answer of an instance to a client.

    Attributes:
        kind: ``served``, ``refused``, ``failed``, or ``ended`` where the connection ended with no answer.
        text: The value or the line.
    """

    kind: str
    text: bytes


def encode_command(*arguments: bytes) -> bytes:
    """Return a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(arguments)]
    parts += [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"".join(parts)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read the next command.

    Raises:
        asyncio.IncompleteReadError: The connection has ended.
    """
    count = int((await reader.readuntil(CRLF))[1:])
    arguments = []
    for _ in range(count):
        size = int((await reader.readuntil(CRLF))[1:])
        arguments.append((await reader.readexactly(size + 2))[:-2])
    return arguments


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an instance's answer to one command."""
    try:
        line = await reader.readuntil(CRLF)
        if line.startswith(b"$") and not line.startswith(b"$-"):
            return Answer("served", (await reader.readexactly(int(line[1:]) + 2))[:-2])
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer("ended", b"")
    return Answer("refused" if line.startswith(b"-BUSY") else "failed", line[:-2])


def fields_of(arguments: list[bytes]) -> dict[bytes, bytes]:
    """Return the names and values of a request's command."""
    pairs = (field.partition(b"=") for field in arguments[3].split(b","))
    return {name: value for name, _, value in pairs}
