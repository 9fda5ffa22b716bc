"""All places of client connections are taken: who loses one to a new client, and what is answered first."""

from __future__ import annotations

from contextlib import closing

import pytest

from gatebank.fakes.wire import encode_command
from gatebank.proxy.downstream import ClientConnection, limits
from gatebank.proxy.sockets import unread_bytes
from tests.support.connections import PING, Client, DownstreamHarness, encode_request, wait_until

pytestmark = pytest.mark.uvloop

PLACES = 4
PIPELINED = 200  # "Hundreds of commands at once", as LATER has it.
FLOOD_PINGS = 10_000


def new_client(harness: DownstreamHarness) -> Client:
    """Connect a client that sends a PING."""
    client = Client(harness.address)
    client.sock.send(PING)
    return client


async def test_client_that_always_has_commands_waiting_makes_room() -> None:
    """Guards against connections that are never closed as they never have nothing unread (review/6)."""
    with closing(DownstreamHarness(PLACES)) as harness:
        floods = [await harness.connect_client() for _ in range(PLACES)]
        for client, _ in floods:
            client.sock.send(PING * FLOOD_PINGS)
        newcomers = [new_client(harness) for _ in range(PLACES)]  # One more than the places is accepted.
        for newcomer in newcomers:
            await newcomer.expect(b"+PONG\r\n")
        received = [await client.read_to_reset() for client, connection in floods if connection.closed]
    assert received
    assert all(len(answers) < FLOOD_PINGS * len(b"+PONG\r\n") for answers in received)
    assert all(answers.replace(b"+PONG\r\n", b"") == b"" for answers in received)


async def test_commands_that_were_read_are_answered_before_the_close() -> None:
    """Guards against requests that are read and lost, and places held for the time of slow requests."""
    requests = [encode_request(number, 5000) for number in range(PIPELINED)]
    with closing(DownstreamHarness(PLACES)) as harness:
        harness.start_clock_checks()
        floods = [await harness.connect_client() for _ in range(PLACES)]
        for client, _ in floods:
            client.sock.send(b"".join(requests))
        max_pipelined = harness.downstream.max_pipelined()
        await wait_until(lambda: len(harness.handler.pending) == PLACES * max_pipelined)
        read_bytes = [len(b"".join(requests)) - unread_bytes(connection.sock) for _, connection in floods]
        newcomer = new_client(harness)
        await newcomer.expect(b"+PONG\r\n")
        received = [await client.read_to_reset() for client, _ in floods]
    for size, answers in zip(read_bytes, received, strict=True):
        read_count = max(count for count in range(PIPELINED) if len(b"".join(requests[:count])) <= size)
        lines = answers.splitlines()
        assert len(lines) == read_count > max_pipelined
        assert lines == [b"-ERR given up"] * max_pipelined + [b"-BUSY"] * (read_count - max_pipelined)


async def test_client_that_waits_for_its_answer_keeps_its_place() -> None:
    with closing(DownstreamHarness(PLACES)) as harness:
        harness.start_clock_checks()
        ordinary = [await harness.connect_client() for _ in range(PLACES)]
        for number, (client, _) in enumerate(ordinary):
            client.sock.send(encode_request(number))
        await wait_until(lambda: len(harness.handler.pending) == PLACES)
        newcomer = new_client(harness)
        await wait_until(lambda: len(harness.downstream.connections) > PLACES)
        waited_until = newcomer.loop.time() + limits.EVICTION_GRACE_S
        await wait_until(lambda: newcomer.loop.time() > waited_until)
        assert len(harness.handler.pending) == PLACES
        harness.handler.answer_all()
        for number, (client, _) in enumerate(ordinary):
            value = b"for %d" % number
            await client.expect(b"$%d\r\n%b\r\n" % (len(value), value))
        await newcomer.expect(b"+PONG\r\n")


async def test_rest_of_a_refused_command_holds_no_place() -> None:
    """Guards against clients that hold places with the rest of a command which has its answer."""
    with closing(DownstreamHarness(PLACES)) as harness:
        client, connection = await harness.connect_client()
        budget = harness.downstream.buffer_budget
        assert budget.reserve(budget.available)
        command = encode_command(b"Q.DO", b"key", b"1", b"c=read,d=900", b"x" * 60_000)
        client.sock.send(command[:30_000])
        await client.expect(b"-BUSY\r\n")
        assert not may_be_evicted(connection, 0.0)
        assert may_be_evicted(connection, 2 * limits.FIRST_COMMAND_GRACE_S)
        client.sock.send(command[30_000:])
        await wait_until(lambda: not may_be_evicted(connection, 2 * limits.FIRST_COMMAND_GRACE_S))


def may_be_evicted(connection: ClientConnection, seconds: float) -> bool:
    """Return whether a connection may be evicted a time after its last answer."""
    return connection.may_be_evicted(connection.timeout_start + seconds)
