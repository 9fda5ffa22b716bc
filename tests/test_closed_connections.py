"""Closed connections are freed at once, without the garbage collector, and with them their buffers."""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from typing import Any

import pytest

from gatebank.proxy.downstream import limits
from gatebank.proxy.downstream.close_reason import CloseReason
from gatebank.proxy.http import READ_BYTES, HttpClient, NoReplyError
from tests.support.connections import (
    PING,
    Client,
    DownstreamHarness,
    UpstreamHarness,
    encode_request,
    wait_until,
)

pytestmark = pytest.mark.uvloop

HALF_BODY = b"*5\r\n$4\r\nQ.DO\r\n$1\r\nk\r\n$1\r\ni\r\n$15\r\nc=read,d=900000\r\n$60000\r\n" + b"x" * 30_000
WAIT_S = 5.0


@pytest.fixture(autouse=True)
def no_collector() -> Iterator[None]:
    """Keep the garbage collector from freeing what reference counts do not free."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def disconnect(client: Client) -> None:
    client.sock.close()


async def disconnect_within_a_command(client: Client) -> None:
    client.sock.send(HALF_BODY)
    await asyncio.sleep(0.02)
    client.sock.close()


async def send_no_command(client: Client) -> None:
    client.sock.send(b"\0" * 3000)


async def stop_within_a_command(client: Client) -> None:
    client.sock.send(HALF_BODY)


async def disconnect_before_the_answer(client: Client) -> None:
    client.sock.send(encode_request(1) + encode_request(2) + encode_request(1)[:20])
    await asyncio.sleep(0.02)
    client.sock.close()


@pytest.mark.parametrize(
    "act",
    [
        disconnect,
        disconnect_within_a_command,
        send_no_command,
        stop_within_a_command,
        disconnect_before_the_answer,
    ],
)
async def test_closed_client_connection_is_freed_without_the_collector(
    act: Callable[[Client], Awaitable[Any]],
) -> None:
    harness = DownstreamHarness()
    harness.start_clock_checks()
    client, connection = await harness.connect_client()
    freed = weakref.ref(connection)
    del connection
    try:
        await act(client)
        async with asyncio.timeout(WAIT_S):
            while freed():
                await asyncio.sleep(0.01)
    finally:
        harness.close()
        client.sock.close()


async def test_connection_closed_from_outside_is_freed_without_the_collector() -> None:
    harness = DownstreamHarness()
    client, connection = await harness.connect_client()
    freed = weakref.ref(connection)
    connection.close(CloseReason.IDLE)
    del connection
    await wait_until(lambda: freed() is None)
    harness.close()
    client.sock.close()


async def test_abandoned_endpoint_connection_is_freed_without_the_collector() -> None:
    harness = UpstreamHarness()
    _, connection = await harness.serve_first_attempt("first")
    freed = weakref.ref(connection)
    connection.close("closed by the test")
    del connection
    await wait_until(lambda: freed() is None)
    harness.close()


async def test_failed_call_frees_its_http_client_without_the_collector() -> None:
    async def end(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    server = await asyncio.start_server(end, "127.0.0.1", 0)
    client = HttpClient(server.sockets[0].getsockname())
    freed = weakref.ref(client)
    with suppress(NoReplyError):
        await client.call("GET", "/", 1.0)
    client.close()
    del client
    await wait_until(lambda: freed() is None)
    server.close()


async def test_bytes_of_a_closed_connection_are_freed_while_its_request_is_in_flight() -> None:
    harness = DownstreamHarness()
    client, connection = await harness.connect_client()
    client.sock.send(encode_request(1) + HALF_BODY)
    await wait_until(lambda: connection.receive_buffer.incomplete_bytes > 4096)
    (reply,) = harness.handler.pending
    assert reply.connection is connection
    connection.close(CloseReason.IDLE)
    await wait_until(lambda: len(connection.receive_buffer.data) == 0)
    harness.close()
    client.sock.close()


async def test_clients_that_stopped_within_a_command_give_their_memory_to_one_that_sends() -> None:
    harness = DownstreamHarness()
    downstream = harness.downstream
    downstream.buffer_budget.available = 3 * 64 * 1024
    stopped = [Client(harness.address) for _ in range(6)]
    for client in stopped:
        client.sock.send(HALF_BODY)
    await asyncio.sleep(limits.STALLED_COMMAND_S + 0.1)
    client = Client(harness.address)
    body = b"x" * 60_000
    command = b"*2\r\n$4\r\nPING\r\n$60000\r\n" + body + b"\r\n"
    await asyncio.get_running_loop().sock_sendall(client.sock, command)
    await client.expect(b"+PONG\r\n")
    harness.close()
    for other in (client, *stopped):
        other.sock.close()


async def test_reply_beyond_its_bound_ends_the_call_and_is_not_kept() -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n")
        with suppress(OSError):
            for _ in range(100):
                writer.write(b"x" * 100_000)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    client = HttpClient(server.sockets[0].getsockname(), max_body_bytes=200_000)
    with pytest.raises(NoReplyError, match="too long"):
        await client.call("GET", "/", 5.0)
    assert len(client.body) <= 200_000 + READ_BYTES
    assert client.sock is None
    server.close()


async def test_command_without_memory_is_rejected_and_those_behind_it_are_served() -> None:
    harness = DownstreamHarness()
    harness.downstream.buffer_budget.available = 1024
    client = Client(harness.address)
    body = b"$40000\r\n" + b"x" * 40_000 + b"\r\n"
    data = PING + b"*2\r\n$4\r\nQ.DO\r\n" + body + PING + b"*3\r\n" + body + body + b"$1\r\nx\r\n" + PING
    sending = asyncio.ensure_future(asyncio.get_running_loop().sock_sendall(client.sock, data))
    await client.expect(b"+PONG\r\n-BUSY\r\n+PONG\r\n-BUSY\r\n+PONG\r\n")
    await sending
    assert harness.downstream.buffer_budget.available == 1024
    harness.close()
    client.sock.close()
