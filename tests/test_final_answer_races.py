"""Rare moments between endpoints and clients: one final answer each, and nothing left in hand."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from gatebank.actions import StartAttempt
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.sockets import peek_receive_state
from tests.support.connections import (
    PATIENCE,
    SETTINGS,
    Hooked,
    Said,
    Toy,
    asked,
    in_the_turn,
    met,
    until,
    value,
    waits_nobody,
)

pytestmark = pytest.mark.uvloop


async def test_ticketed_shot_is_not_sent_past_its_window() -> None:
    """A ticket's window passes before the connection is up.

    A ticketed request's next attempt waits for a connection that comes up late: past the window in which
    endpoints drop a repeat it must not be sent.
    """
    toys, late = [Toy(), Toy()], asyncio.Event()
    loop, skipped = asyncio.get_running_loop(), [0.0]
    exchange = met(SETTINGS, toys, lambda: time.time() + skipped[0])
    first = True

    async def sock_connect(sock: socket.socket, where: tuple[str, int]) -> None:
        nonlocal first
        first, waits = False, not first
        if waits:
            await late.wait()
        await loop.sock_connect(sock, where)

    exchange.upstream.loop = Hooked(sock_connect=sock_connect)

    try:
        said = Said()
        exchange.start_request(asked(4000), said)
        accepting = [asyncio.ensure_future(toy.accepted()) for toy in toys]
        (done,), _ = await asyncio.wait(accepting, return_when=asyncio.FIRST_COMPLETED)
        sock = done.result()
        assert b"ticket" in await asyncio.wait_for(loop.sock_recv(sock, 4096), PATIENCE)
        sock.send(b"-ERR failed\r\n")
        await until(lambda: len(exchange.upstream.opening) == 1)
        skipped[0] = 0.6  # the window has passed; the deadline has not
        late.set()
        await until(
            lambda: said.said or (sum(each.done() for each in accepting) == 2 and not exchange.requests)
        )
        assert said.said == ["broken off"], said.said
        sent = [each.result() for each in accepting if each.done() and each is not done]
        assert all(peek_receive_state(each) != 1 for each in sent), "it was sent past the window"
    finally:
        for each in accepting:
            each.cancel()
        exchange.upstream.close()
        for toy in toys:
            toy.close()


async def test_row_of_a_gone_customer_goes_with_its_time_limit() -> None:
    """Gone where nothing is withdrawn.

    Settings forbid to withdraw, the client has gone, and the endpoint never answers: its row and the
    connection to the endpoint were kept for good. They go with the deadline, and not before.
    """
    toy = Toy()
    exchange = met(SETTINGS | {"may_cancel": False}, [toy], time.time)
    loop = asyncio.get_running_loop()
    try:
        said = Said()
        exchange.start_request(asked(300), said)
        sock = await toy.accepted()
        await loop.sock_recv(sock, 4096)
        exchange.on_client_disconnect(said)
        assert exchange.requests, "withdrawn though settings forbid it"
        assert await asyncio.wait_for(loop.sock_recv(sock, 4096), PATIENCE) == b""
        await until(lambda: not exchange.requests)
        assert not said.said and not exchange.requests.ids and not exchange.requests.size_bytes
    finally:
        exchange.upstream.close()
        toy.close()


@pytest.mark.parametrize(
    "end",
    [
        pytest.param(Dispatcher.on_deadline, id="time is up as it answers"),
        pytest.param(lambda e, h: e.fail_reply(h.reply), id="its end is due as it answers"),
    ],
)
async def test_end_as_it_answers_gives_one_final_answer(end: Callable[[Dispatcher, Any], None]) -> None:
    """An answer has been read, and its task has not gone on, as the request's deadline or the end of its
    connection comes: one final answer, nothing left in hand, and the answer goes to nobody else."""
    toy, skipped, said = Toy(), [0.0], Said()
    exchange = met(SETTINGS, [toy], lambda: time.time() + skipped[0])
    try:
        exchange.start_request(asked(4000), said)
        sock = await toy.accepted()
        await exchange.loop.sock_recv(sock, 4096)
        (held,) = exchange.requests.values()
        (pool,) = exchange.upstream.pools.values()
        (connection,) = pool.connections

        def act() -> None:
            assert connection.reading.done and not said.said, "the order was not forced"
            skipped[0] = 4.0
            end(exchange, held)

        await in_the_turn(lambda: sock.send(value(b"v")), act)
        await until(lambda: not exchange.requests)
        assert len(said.said) == 1 and said.said != ["satisfied"], said.said
        assert (
            exchange.upstream.open_count == 0
            and not exchange.requests.ids
            and not exchange.requests.size_bytes
        )
    finally:
        exchange.upstream.close()
        toy.close()


async def test_marshal_that_fails_after_its_acts_sends_nothing() -> None:
    """The instance fails after its acts.

    The instance fails in an event after it has asked for an attempt: the client has its one final answer, and
    nothing is sent behind it.
    """
    toy = Toy()
    exchange = met(SETTINGS, [toy], time.time)
    invoked = exchange.balancer.on_request

    def fails(invocation: Any) -> None:
        invoked(invocation)
        assert any(isinstance(act, StartAttempt) for act in exchange.balancer.actions), (
            "the order was not forced"
        )
        raise RuntimeError("told to")

    try:
        exchange.balancer.on_request = fails  # type: ignore[method-assign]
        said = Said()
        exchange.start_request(asked(4000), said)
        assert said.said == ["broken off"] and not exchange.requests and not exchange.requests.ids
        await asyncio.sleep(0.02)
        assert waits_nobody(toy.listener) and not exchange.upstream.open_count
    finally:
        exchange.upstream.close()
        toy.close()


async def test_trickling_node_is_ended_at_the_time_limit() -> None:
    """An endpoint that trickles.

    An endpoint that sends a byte now and then, always soon enough to be no answer that stopped: the client
    has its one final answer at its deadline, and the connection goes then.
    """
    toy = Toy()
    exchange = met(SETTINGS | {"connect_timeout": 1.0}, [toy], time.time)
    loop = asyncio.get_running_loop()
    try:
        said = Said()
        exchange.start_request(asked(400), said)
        sock = await toy.accepted()
        await loop.sock_recv(sock, 4096)
        started = loop.time()
        with suppress(ConnectionError):
            for byte in value(b"x" * 4096):
                sock.send(bytes([byte]))
                if said.said:
                    break
                await asyncio.sleep(0.005)
        assert said.said in (["rejected"], ["broken off"]), said.said
        assert 0.3 < loop.time() - started < 0.6, loop.time() - started
        assert not exchange.requests and not exchange.upstream.open_count
    finally:
        exchange.upstream.close()
        toy.close()
