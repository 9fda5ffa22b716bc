"""Race conditions while answers are written to clients: each test forces one order of events."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import closing, suppress
from typing import Any

import pytest

from gatebank.proxy.downstream import ClientConnection, Downstream, limits
from gatebank.proxy.downstream.close_reason import CloseReason
from gatebank.proxy.sockets import peer_has_closed
from tests.support.connections import (
    TIMEOUT_S,
    Client,
    DownstreamHarness,
    LoopWithHooks,
    close_if_finished,
    close_surplus,
    encode_request,
    make_room,
    run_in_same_turn,
    time_out_idle_crowded,
    wait_until,
)

pytestmark = pytest.mark.uvloop

# Turns of the loop within which a task reacts to a change that the kernel shows; too few for any timer.
MAX_TURNS = 8


async def run_turns(count: int) -> None:
    """Let the loop run ``count`` turns."""
    for _ in range(count):
        await asyncio.sleep(0)


async def test_reset_during_two_answers_leaves_nothing_behind() -> None:
    """A client has reset its connection with two requests in flight, and both are answered in one turn.

    The first answer reveals the reset; the second is given before the close that follows.
    """
    with closing(DownstreamHarness()) as harness:
        client, connection = await harness.connect_client()
        client.sock.send(encode_request(1) + encode_request(2))
        await wait_until(lambda: len(harness.handler.pending) == 2)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        first, second = harness.handler.pending

        def answer_both() -> None:
            harness.handler.pending.clear()
            first.serve(memoryview(b"one"))
            assert not connection.closed, "the order was not forced"
            second.serve(memoryview(b"two"))

        await run_in_same_turn(client.sock.close, answer_both)
        await wait_until(lambda: connection.closed)
        assert not harness.downstream.connections and not harness.downstream.unwritten_bytes


@pytest.mark.parametrize(
    "half_closed",
    [
        pytest.param(True, id="half-closed during an answer"),
        pytest.param(False, id="closed during an answer"),
    ],
)
async def test_client_that_disconnects_during_an_answer_can_read_the_rest(half_closed: bool) -> None:
    """A client disconnects while a large answer to it is partly written.

    Its other requests are dropped at once. A client that has only stopped sending gets the whole answer
    when it reads on; for one that has closed the connection, nothing more is kept.

    The client has CLOSING_TIMEOUT_S for the rest. The test sets the connection's clock, which shows up to
    0.99 of this time while the client reads, so the machine's speed does not matter. The test checks that
    the instance waits for nothing but the client between two parts of the rest.
    """
    with closing(DownstreamHarness()) as harness:
        client, connection = await harness.connect_client()
        for sock in (
            client.sock,
            connection.sock,
        ):  # Fixed sizes make the test independent of the machine's defaults.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
        started_at = now = connection.timeout_start
        loop, write_count, pauses = connection.loop, 0, list[int]()

        async def sock_sendall(sock: socket.socket, part: bytes) -> None:
            nonlocal write_count
            write_count += 1
            await loop.sock_sendall(sock, part)
            checks.append(asyncio.ensure_future(check_next_write(write_count)))

        async def check_next_write(written: int) -> None:
            await run_turns(MAX_TURNS)
            if write_count == written and connection.unwritten:
                pauses.append(written)

        checks = list[asyncio.Future[None]]()
        connection.loop = LoopWithHooks(time=lambda: now, sock_sendall=sock_sendall)
        client.sock.send(encode_request(1) + encode_request(2) + encode_request(3))
        await wait_until(lambda: len(harness.handler.pending) == 3)
        first, value = next(iter(harness.handler.pending)), b"x" * (4 << 20)
        del harness.handler.pending[first]
        first.serve(memoryview(value))
        assert connection.writer and len(connection.unwritten) > len(value) // 2, "the order was not forced"
        if half_closed:
            client.sock.shutdown(socket.SHUT_WR)
        else:
            client.sock.close()
        await wait_until(lambda: connection.closed or peer_has_closed(connection.sock))
        await run_turns(MAX_TURNS)
        assert not harness.handler.pending and harness.handler.disconnected_ids == [2, 3], (
            harness.handler.disconnected_ids
        )
        if half_closed:
            expected = b"$%d\r\n%b\r\n" % (len(value), value) + 2 * b"-ERR its connection ended\r\n"
            received, part_count = b"", 16
            for part in range(part_count):
                now = started_at + limits.CLOSING_TIMEOUT_S * 0.99 * part / (part_count - 1)
                connection.check_timeouts(now, False)
                assert not connection.closed and (part == part_count - 1 or connection.unwritten), part
                async with asyncio.timeout(TIMEOUT_S):
                    while len(received) < len(expected) * (part + 1) // part_count:
                        data = await client.loop.sock_recv(client.sock, 65536)
                        assert data, (len(received), part)
                        received += data
            received += await client.read_to_end()
            assert received == expected, (len(received), len(expected))
            await asyncio.gather(*checks)
            assert write_count and not pauses, "the rest waited for something other than the client"
            now += limits.LINGER_S
            connection.check_timeouts(now, False)
        await wait_until(lambda: connection.closed)
        assert not harness.downstream.unwritten_bytes


@pytest.mark.parametrize(
    "close",
    [
        pytest.param(close_if_finished, id="shutdown"),
        pytest.param(make_room, id="making room"),
        pytest.param(close_surplus, id="closing surplus idle connections"),
        pytest.param(time_out_idle_crowded, id="idle timeout"),
    ],
)
async def test_answer_still_in_the_kernel_is_delivered_whole(
    close: Callable[[Downstream, ClientConnection], Any],
) -> None:
    """A connection looks idle while its answer is still in the kernel's send buffer.

    The client reads slowly and sends its next request. If the connection were closed, this unread request
    would make the kernel discard the rest of the answer. The answer must arrive whole, whatever happens to
    the next request.
    """
    with closing(DownstreamHarness()) as harness:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(harness.address)
        client = Client(harness.address)
        client.sock.close()
        client.sock = sock
        sock.setblocking(False)
        await wait_until(lambda: len(harness.downstream.connections) == 1)
        (connection,) = harness.downstream.connections
        sock.send(encode_request(1))
        await wait_until(lambda: harness.handler.pending)
        ((reply, _),) = harness.handler.pending.items()
        harness.handler.pending.clear()
        value = b"x" * 60_000
        reply.serve(memoryview(value))
        assert connection.idle and not connection.writer, "the order was not forced"
        close(harness.downstream, connection)
        with suppress(ConnectionError):
            sock.send(encode_request(2))
        expected, received = b"$60000\r\n%b\r\n" % value, b""
        with suppress(ConnectionError):
            async with asyncio.timeout(TIMEOUT_S):
                while len(received) < len(expected) and (part := await client.loop.sock_recv(sock, 4096)):
                    received += part
                    harness.handler.answer_all()
        assert received.startswith(expected), (len(received), len(expected))


async def test_request_sent_again_by_its_client_is_served_once() -> None:
    """The instance's close crosses a request, so the client sends the request again on a new connection.

    The first copy, which was never read, must not prevent the second from being served.
    """
    with closing(DownstreamHarness()) as harness:
        client, connection = await harness.connect_client()
        connection.close(CloseReason.DISCONNECTED)
        client.sock.send(encode_request(1))
        second_client, _ = await harness.connect_client()
        second_client.sock.send(encode_request(1))
        await wait_until(lambda: harness.handler.started_ids)
        harness.handler.answer_all()
        await second_client.expect(b"$5\r\nfor 1\r\n")
        assert harness.handler.started_ids == [1]
