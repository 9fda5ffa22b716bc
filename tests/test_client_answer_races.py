"""Rare moments as answers go out to clients: each test forces one bad order of events."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import closing, suppress
from typing import Any

import pytest

from gatebank.proxy.downstream import ClientConnection, Downstream, limits
from gatebank.proxy.sockets import peer_has_closed
from tests.support.connections import (
    PATIENCE,
    Client,
    Front,
    Hooked,
    idles_out_crowded,
    in_the_turn,
    makes_room,
    request,
    settles,
    thins,
    until,
)

pytestmark = pytest.mark.uvloop

AT_ONCE = 8  # turns of the loop in which a task goes on with what the kernel shows: no timer fits in


async def turns(number: int) -> None:
    for _ in range(number):
        await asyncio.sleep(0)


async def test_reset_under_two_answers_owes_nothing() -> None:
    """Reset under two answers.

    A client has reset its connection with two requests in hand, and both are answered in one turn: the
    first shows the reset, the second comes before the close that follows from it.
    """
    with closing(Front()) as front:
        client, connection = await front.client()
        client.sock.send(request(1) + request(2))
        await until(lambda: len(front.door.open) == 2)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        first, second = front.door.open

        def act() -> None:
            front.door.open.clear()
            first.serve(memoryview(b"one"))
            assert not connection.closed, "the order was not forced"
            second.serve(memoryview(b"two"))

        await in_the_turn(client.sock.close, act)
        await until(lambda: connection.closed)
        assert not front.clients.connections and not front.clients.unwritten_bytes


@pytest.mark.parametrize(
    "shut",
    [
        pytest.param(True, id="half-closed amid an answer"),
        pytest.param(False, id="closed amid an answer"),
    ],
)
async def test_client_gone_amid_an_answer_loses_only_its_own(shut: bool) -> None:
    """A client ends its sending while a large answer to it is half out: it has the whole of it, once it reads
    on, and what else it asked is dropped at once. One that closed for good costs nothing more.

    It has SETTLE_S for the rest. The test sets the connection's clock, which shows up to 0.99 of that time
    while the client reads: how fast the machine is does not count. What does is that between two parts of
    the rest the instance waits for nothing.
    """
    with closing(Front()) as front:
        client, connection = await front.client()
        for sock in (client.sock, connection.sock):  # so that the machine's own bounds don't count
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
        started = now = connection.since
        loop, begun, pauses = connection.loop, 0, list[int]()

        async def sock_sendall(sock: socket.socket, part: bytes) -> None:
            nonlocal begun
            begun += 1
            await loop.sock_sendall(sock, part)
            checks.append(asyncio.ensure_future(goes_on(begun)))

        async def goes_on(written: int) -> None:
            await turns(AT_ONCE)
            if begun == written and connection.unwritten:
                pauses.append(written)

        checks = list[asyncio.Future[None]]()
        connection.loop = Hooked(time=lambda: now, sock_sendall=sock_sendall)
        client.sock.send(request(1) + request(2) + request(3))
        await until(lambda: len(front.door.open) == 3)
        first, value = next(iter(front.door.open)), b"x" * (4 << 20)
        del front.door.open[first]
        first.serve(memoryview(value))
        assert connection.writer and len(connection.unwritten) > len(value) // 2, "the order was not forced"
        if shut:
            client.sock.shutdown(socket.SHUT_WR)
        else:
            client.sock.close()
        await until(lambda: connection.closed or peer_has_closed(connection.sock))
        await turns(AT_ONCE)
        assert not front.door.open and front.door.left == [2, 3], front.door.left
        if shut:
            wanted = b"$%d\r\n%b\r\n" % (len(value), value) + 2 * b"-ERR its connection ended\r\n"
            found, parts = b"", 16
            for part in range(parts):
                now = started + limits.SETTLE_S * 0.99 * part / (parts - 1)
                connection.check_clocks(now, False)
                assert not connection.closed and (part == parts - 1 or connection.unwritten), part
                async with asyncio.timeout(PATIENCE):
                    while len(found) < len(wanted) * (part + 1) // parts:
                        more = await client.loop.sock_recv(client.sock, 65536)
                        assert more, (len(found), part)
                        found += more
            found += await client.all()
            assert found == wanted, (len(found), len(wanted))
            await asyncio.gather(*checks)
            assert begun and not pauses, "the rest waited for something else than the client"
            now += limits.LINGER_S
            connection.check_clocks(now, False)
        await until(lambda: connection.closed)
        assert not front.clients.unwritten_bytes


@pytest.mark.parametrize(
    "close",
    [
        pytest.param(settles, id="an answer not taken: leaving"),
        pytest.param(makes_room, id="an answer not taken: making room"),
        pytest.param(thins, id="an answer not taken: thinning"),
        pytest.param(idles_out_crowded, id="an answer not taken: idle for long"),
    ],
)
async def test_untaken_answer_goes_out_whole(close: Callable[[Downstream, ClientConnection], Any]) -> None:
    """An answer is out of this process and not yet with its client, which is slow to read and has a next
    request ready. Whoever closes what looks idle meets that request: the kernel then throws away what it
    still had to send. The answer is whole, whatever becomes of the request behind it."""
    with closing(Front()) as front:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(front.where)
        client = Client(front.where)
        client.sock.close()
        client.sock = sock
        sock.setblocking(False)
        await until(lambda: len(front.clients.connections) == 1)
        (connection,) = front.clients.connections
        sock.send(request(1))
        await until(lambda: front.door.open)
        ((reply, _),) = front.door.open.items()
        front.door.open.clear()
        value = b"x" * 60_000
        reply.serve(memoryview(value))
        assert connection.idle and not connection.writer, "the order was not forced"
        close(front.clients, connection)
        with suppress(ConnectionError):
            sock.send(request(2))
        wanted, found = b"$60000\r\n%b\r\n" % value, b""
        with suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE):
                while len(found) < len(wanted) and (part := await client.loop.sock_recv(sock, 4096)):
                    found += part
                    front.door.answer_all()
        assert found.startswith(wanted), (len(found), len(wanted))


async def test_request_sent_again_by_its_client_is_served_once() -> None:
    """Sent again by its client.

    A close of ours crosses a request: its client sends the same once more on a new connection. The first
    copy, which was never taken, must not stand in its way.
    """
    with closing(Front()) as front:
        client, connection = await front.client()
        connection.close()
        client.sock.send(request(1))
        other, _ = await front.client()
        other.sock.send(request(1))
        await until(lambda: front.door.seen)
        front.door.answer_all()
        await other.reads(b"$5\r\nfor 1\r\n")
        assert front.door.seen == [1]
