"""Clients that load an instance in one way until they are stopped; run as a process of its own.

python -m tests.support.flood_clients ADDRESS KIND COUNT     runs COUNT clients until its input ends

Kinds:

    half_body     send half of a command with a body of 65,000 bytes, and stop; come again when closed
    half_head     send a command with 10,000 short fields but for its end, and stop; come again when closed
    whole_head    send a command with 10,000 short fields and read the answer, again and again
    pieces        send a command with a body of 65,000 bytes in pieces of 1,700 bytes, 10 ms apart
    unread        send 60 requests whose answers are large (key `large`), and read none of them
    out_of_order  send a request that waits (key `slow`) and 60 behind it whose answers are large
    ping          send PING at full speed, and read the answers
    unsound       send unknown commands at full speed; come again when closed
    new_names     send requests with new classes, tenants, fields and ids at full speed, and come again
    short         send requests with a timeout of 1 ms at full speed, and read the answers
    patient       send requests with a timeout of an hour at full speed, and read the answers
    garbage       send bytes that are no command at full speed; come again when closed
    empty         send empty commands (`*0`) at full speed, and read the answers; come again when closed
    blank         send blank lines at full speed; come again when closed
    blank_pieces  send a blank line in each of many writes; come again when closed
    huge_length   send a command with an argument of 60 MB at full speed; come again when closed
    negative      send a command of a negative length at full speed; come again when closed
    endless_line  send a line without an end at full speed; come again when closed
    connect       connect, send nothing and close at once, again and again
    many_fields   send a command with 10,000 short fields at full speed, and read the answers
    payouts       send a payout at full speed, and read the answers
    leave         send 200 payouts and close without reading; again and again
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count

import uvloop

from gatebank.fakes.wire import encode_command

PORT = 6379
BODY_BYTES = 65_000
FIELD_COUNT = 10_000
PIECE_BYTES = 1_700
PIECE_PAUSE_S = 0.01
REQUESTS_AT_ONCE = 60
PAYOUTS_AT_ONCE = 200
BATCH_BYTES = 65_536  # Bytes of a batch that is sent again and again.
HUGE_LENGTH = 60_000_000
RETRY_S = 0.05  # Pause after a connection that was refused, and between two connections of a client.
NUMBERS = count(1)


def new_id() -> bytes:
    """Return an id that no other client uses."""
    return b"f%07x%016x" % (os.getpid(), next(NUMBERS))


def read_command(fields: bytes = b"", key: bytes = b"flood", timeout_ms: int = 2000) -> bytes:
    """Return a request of the class "read"."""
    return encode_command(b"Q.ASK", key, new_id(), b"c=read,t=all,d=%d%b" % (timeout_ms, fields))


def pay_command(body: bytes) -> bytes:
    """Return a request of the class "pay"."""
    return encode_command(b"Q.DO", b"flood", new_id(), b"c=pay,t=all,d=2000", body)


def short_fields() -> bytes:
    """Return the text of many short fields."""
    return b"".join(b",%x=" % number for number in range(FIELD_COUNT))


class FloodClient:
    """One connection of a flooding client.

    Raises:
        OSError: The connection has ended.
    """

    def __init__(self, address: str) -> None:
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.sock = socket.socket()
        self.sock.setblocking(False)

    async def connect(self) -> None:
        await self.loop.sock_connect(self.sock, (self.address, PORT))

    async def send(self, data: bytes) -> None:
        await self.loop.sock_sendall(self.sock, data)

    async def wait_for_end(self) -> None:
        """Read until the instance closes the connection."""
        while await self.loop.sock_recv(self.sock, 65536):
            pass

    async def exchange_at_full_speed(self, make_batch: Callable[[], bytes]) -> None:
        """Write without a pause, and read all answers, until the instance closes the connection."""
        reader = asyncio.ensure_future(self.wait_for_end())
        try:
            while not reader.done():
                await self.send(make_batch())
                await asyncio.sleep(0)
        finally:
            reader.cancel()
            with suppress(OSError, asyncio.CancelledError):
                await reader

    async def half_body(self) -> None:
        await self.send(pay_command(b"x" * BODY_BYTES)[: BODY_BYTES // 2])
        await self.wait_for_end()

    async def half_head(self) -> None:
        await self.send(read_command(short_fields())[:-3])
        await self.wait_for_end()

    async def whole_head(self) -> None:
        command = read_command(short_fields())
        await self.send(command)
        await self.loop.sock_recv(self.sock, 65536)

    async def pieces(self) -> None:
        command = pay_command(b"x" * BODY_BYTES)
        for begin in range(0, len(command), PIECE_BYTES):
            await self.send(command[begin : begin + PIECE_BYTES])
            await asyncio.sleep(PIECE_PAUSE_S)
        await self.loop.sock_recv(self.sock, 65536)

    async def unread(self) -> None:
        await self.send(b"".join(read_command(key=b"large") for _ in range(REQUESTS_AT_ONCE)))
        await asyncio.sleep(5.0)

    async def out_of_order(self) -> None:
        large = b"".join(read_command(key=b"large") for _ in range(REQUESTS_AT_ONCE))
        await self.send(read_command(key=b"slow") + large)
        await asyncio.sleep(5.0)

    async def ping(self) -> None:
        batch = encode_command(b"PING") * 200
        await self.exchange_at_full_speed(lambda: batch)

    async def unsound(self) -> None:
        batch = encode_command(b"NOPE", b"x") * 200
        await self.exchange_at_full_speed(lambda: batch)

    async def new_names(self) -> None:
        def batch() -> bytes:
            number = next(NUMBERS)
            names = (b"c=read%d,t=all,d=900", b"c=read,t=x%d,d=900", b"c=read,t=all,d=900,x%d=1")
            return b"".join(encode_command(b"Q.ASK", b"k%d" % number, new_id(), n % number) for n in names)

        await self.exchange_at_full_speed(batch)

    async def short(self) -> None:
        await self.exchange_at_full_speed(
            lambda: b"".join(read_command(timeout_ms=1) for _ in range(REQUESTS_AT_ONCE))
        )

    async def patient(self) -> None:
        await self.exchange_at_full_speed(
            lambda: b"".join(read_command(timeout_ms=3_600_000) for _ in range(REQUESTS_AT_ONCE))
        )

    async def garbage(self) -> None:
        await self.exchange_at_full_speed(lambda: b"\0" * 4096)

    async def repeat_at_full_speed(self, data: bytes) -> None:
        """Send the same bytes again and again."""
        batch = data * (BATCH_BYTES // len(data))
        await self.exchange_at_full_speed(lambda: batch)

    async def empty(self) -> None:
        await self.repeat_at_full_speed(b"*0\r\n")

    async def blank(self) -> None:
        await self.repeat_at_full_speed(b"\r\n")

    async def blank_pieces(self) -> None:
        await self.exchange_at_full_speed(lambda: b"\r\n")

    async def huge_length(self) -> None:
        await self.send(b"*5\r\n$4\r\nQ.DO\r\n$%d\r\n" % HUGE_LENGTH)
        await self.repeat_at_full_speed(b"x")

    async def negative(self) -> None:
        await self.repeat_at_full_speed(b"*-7\r\n")

    async def endless_line(self) -> None:
        await self.repeat_at_full_speed(b"*1")

    async def many_fields(self) -> None:
        await self.repeat_at_full_speed(read_command(short_fields()))

    async def payouts(self) -> None:
        await self.repeat_at_full_speed(pay_command(b"b"))

    async def leave(self) -> None:
        await self.send(b"".join(pay_command(b"b") for _ in range(PAYOUTS_AT_ONCE)))

    async def connect_only(self) -> None:
        return


async def run_client(address: str, kind: str, pause: float) -> None:
    """Run one client until it is cancelled: connect, flood, close, and come again."""
    while True:
        client = FloodClient(address)
        method: Callable[[], Awaitable[None]] = getattr(client, "connect_only" if kind == "connect" else kind)
        try:
            await client.connect()
            await method()
        except OSError:
            await asyncio.sleep(RETRY_S)
        finally:
            client.sock.close()
        await asyncio.sleep(pause)


async def run_clients(address: str, kind: str, number: int) -> None:
    """Run the clients until the process's input ends."""
    loop = asyncio.get_running_loop()
    pause = RETRY_S if kind == "leave" else 0.0
    tasks = [asyncio.create_task(run_client(address, kind, pause)) for _ in range(number)]
    await loop.run_in_executor(None, sys.stdin.read)
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    uvloop.run(run_clients(sys.argv[1], sys.argv[2], int(sys.argv[3])))
