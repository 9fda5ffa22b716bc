"""Rare moments on connections to endpoints: each test forces one bad order of events."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from contextlib import closing, suppress
from functools import partial
from typing import Any

import pytest

from gatebank.events import Outcome
from gatebank.proxy.sockets import peek_receive_state
from gatebank.proxy.upstream.pool import REST_S
from tests.support.connections import PATIENCE, PING, Back, Hooked, in_the_turn, until, value

pytestmark = pytest.mark.uvloop


async def test_late_second_answer_is_not_the_next_shots() -> None:
    """A second answer late.

    An endpoint answers twice, 5 ms apart; the next attempt must not have the second for its own.
    """
    with closing(Back()) as there:
        sock, connection = await there.served("first")
        for name in ("idle_since", "rests_until"):  # 5 ms pass
            setattr(connection, name, getattr(connection, name, 0.0) - 0.005)
        there.shoot("second")
        other = asyncio.ensure_future(there.toy.accepted())
        await until(lambda: other.done() or peek_receive_state(sock) == 1)
        sock.send(value(b"first"))
        await until(lambda: connection.closed or "second" in there.ended)
        if other.done():
            await there.toy.asked(other.result(), b"second")
            other.result().send(value(b"second"))
        await until(lambda: "second" in there.ended)
        assert there.ended["second"] == (Outcome.SUCCESS, b"second"), there.ended
        other.cancel()


async def test_second_answer_already_read_is_not_the_next_shots() -> None:
    """A second answer read, not gone on.

    The second answer has been read and its task has not gone on, as the next attempt is sent.
    """
    with closing(Back()) as there:
        sock, connection = await there.served("first")
        connection.idle_since, connection.rests_until = connection.idle_since - 1.0, 0.0

        def act() -> None:
            assert peek_receive_state(connection.sock) == 0, "the order was not forced"
            there.shoot("second")

        await in_the_turn(lambda: sock.send(value(b"first")), act)
        await until(lambda: connection.closed)
        assert "second" not in there.ended, there.ended
        other = await there.toy.accepted()
        await there.toy.asked(other, b"second")
        other.send(value(b"second"))
        await until(lambda: "second" in there.ended)
        assert there.ended["second"] == (Outcome.SUCCESS, b"second"), there.ended


async def test_second_answer_while_descriptors_are_short_is_not_the_next_attempts() -> None:
    """A second answer while every descriptor is in use.

    With no descriptor left, an attempt was written behind one that was out, on the same connection. The
    endpoint answers the first attempt twice; the second answer was taken for the next attempt's, whose client
    was served with another's value. Found by the soak (seed 13, a crowd at 192 descriptors: request 0d15 was
    served `endpoint-4 ...0cd1`; both attempts stand in the records at endpoint-4, 0.18 s apart).
    """
    with closing(Back(most=1)) as there:
        there.shoot("first")
        sock = await there.toy.accepted()
        await there.toy.asked(sock, b"first")
        there.shoot("second")
        sock.send(value(b"first") + value(b"first"))
        await until(lambda: len(there.ended) == 2)
        assert there.ended["first"] == (Outcome.SUCCESS, b"first"), there.ended
        assert there.ended["second"] == (Outcome.NO_CONNECTION, None), there.ended


async def test_answer_read_as_its_time_runs_out_counts() -> None:
    """The rest of an answer as its time runs out.

    The rest of an answer is read in the turn in which its time runs out: none of it is lost.
    """
    with closing(Back({"connect_timeout": 0.1})) as there:
        there.shoot("first")
        sock = await there.toy.accepted()
        await there.toy.asked(sock, b"first")
        whole = value(b"first")
        sock.send(whole[:9])
        (pool,) = there.nodes.pools.values()
        (connection,) = pool.connections
        await until(lambda: connection.receive_buffer.incomplete_bytes)
        await in_the_turn(lambda: sock.send(whole[9:]), lambda: time.sleep(0.25))
        await until(lambda: "first" in there.ended)
        assert there.ended["first"] == (Outcome.SUCCESS, b"first"), there.ended


async def test_shot_written_whole_is_cut_when_the_connection_breaks() -> None:
    """The last byte written, not gone on.

    The loop has written the last byte; the connection breaks before its task goes on: it may have run.
    """
    there, written = Back(), asyncio.Event()
    loop = asyncio.get_running_loop()

    async def sock_sendall(sock: socket.socket, data: bytes) -> None:
        await loop.sock_sendall(sock, data)
        if len(data) == 1:
            written.set()
            await asyncio.Event().wait()  # the task does not go on

    try:
        there.nodes.loop = Hooked(sock_sendall=sock_sendall)
        big = "x" * (8 << 20)
        shot = there.shoot(big)
        sock, got = await there.toy.accepted(), 0
        while not written.is_set():
            got += len(await loop.sock_recv(sock, 1 << 20))
        assert shot.connection
        shot.connection.close()
        await until(lambda: there.ended)
        assert there.ended[big] == (Outcome.CONNECTION_LOST, None), there.ended[big][0]
    finally:
        there.close()


async def test_rest_that_ends_early_is_looked_at_again() -> None:
    """Rested too early.

    An attempt waits for a connection that does not come up, and another one has answered. Its rest ends by a
    timer of the loop, whose clock stands within a turn, so that it came too early: nobody looked again.
    """
    there = Back({"connect_timeout": PATIENCE})
    loop = asyncio.get_running_loop()

    async def sock_connect(sock: socket.socket, where: tuple[str, int]) -> None:
        await asyncio.Event().wait()

    def call_later(delay: float, act: Callable[..., None], *words: Any) -> asyncio.TimerHandle:
        return loop.call_later(max(0.0, delay - REST_S / 2), act, *words)

    try:
        there.shoot("first")
        sock = await there.toy.accepted()
        await there.toy.asked(sock, b"first")
        there.nodes.loop = Hooked(sock_connect=sock_connect, call_later=call_later)
        there.shoot("second")
        sock.send(value(b"first"))
        await there.toy.asked(sock, b"second")
    finally:
        there.close()


async def test_attempt_waits_for_the_health_check_that_is_out() -> None:
    """An attempt while a health check has the only descriptor.

    The attempt is not written before the check's answer has come and the connection has rested. Where the
    check's patience ends first, its connection ends with it, and the attempt was never sent: the late answer
    to the health check is not taken for the attempt's.
    """
    for late in (False, True):
        there = Back(most=1)
        try:
            found = list[Outcome]()
            note = partial(lambda found, reply: found.append(reply.outcome), found)
            there.nodes.check_health(there.key, "toy", PATIENCE, note)
            sock = await there.toy.accepted()
            await there.toy.asked(sock, PING)
            ((_, pool),) = there.nodes.pools.items()
            (connection,) = pool.connections
            probe = connection.attempt
            there.shoot("first")
            await asyncio.sleep(REST_S)
            assert peek_receive_state(sock) == 0, "the attempt was written behind the check"
            if late:
                probe.give_up(Outcome.TIMED_OUT)
                await until(lambda there=there: there.ended)
                assert there.ended["first"] == (Outcome.NO_CONNECTION, None), there.ended
                assert found == [Outcome.TIMED_OUT]
                continue
            sock.send(b"+PONG\r\n")
            await until(lambda found=found: found)
            assert not there.ended
            await there.toy.asked(sock, b"first")
            sock.send(value(b"first"))
            await until(lambda there=there: there.ended)
            assert there.ended["first"] == (Outcome.SUCCESS, b"first"), there.ended
            assert found == [Outcome.SUCCESS]
        finally:
            there.close()


async def test_cancelled_attempt_that_waits_is_never_written() -> None:
    """Cancelled while it waits for the only descriptor.

    No byte of it goes out, before or behind the first attempt's answer, and the first is served.
    """
    there = Back(most=1)
    try:
        there.shoot("first")
        sock = await there.toy.accepted()
        await there.toy.asked(sock, b"first")
        second = there.shoot("x" * (8 << 20))
        await asyncio.sleep(REST_S)
        assert peek_receive_state(sock) == 0, "the second was written behind the first"
        second.give_up(Outcome.CANCELLED)
        sock.send(value(b"first"))
        await until(lambda: "first" in there.ended)
        assert there.ended["first"] == (Outcome.SUCCESS, b"first"), there.ended["first"]
        await asyncio.sleep(2 * REST_S)
        assert peek_receive_state(sock) == 0, "the second was written after it had been cancelled"
    finally:
        there.close()


async def test_withdrawn_half_written_shot_goes_no_further() -> None:
    """Half written.

    Half of an attempt is written when it is withdrawn: its rest must not go out behind its final answer.
    """
    there = Back(most=1)
    loop = asyncio.get_running_loop()
    try:
        attempt = there.shoot("x" * (8 << 20))
        sock = await there.toy.accepted()
        await until(lambda: attempt.connection)
        assert attempt.connection.writer and not attempt.written, "the order was not forced"
        attempt.give_up(Outcome.CANCELLED)
        got = 0
        with suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE):
                while part := await loop.sock_recv(sock, 1 << 20):
                    got += len(part)
        assert got < 8 << 20, "it was sent on to its last byte"
    finally:
        there.close()


async def test_answer_that_breaks_off_anywhere_is_cut() -> None:
    """An answer that breaks off anywhere.

    An answer that breaks off behind each of its bytes, by an end or by a reset, is never a whole one.
    """
    whole = b"*3\r\n$16\r\nvalue of 16 byte\r\n$-1\r\n$9\r\nutil=0.25\r\n"
    for reset in (False, True):
        for size in range(len(whole)):
            there = Back({"report_fields": ["load_share"]})
            try:
                there.shoot("first")
                sock = await there.toy.accepted()
                await there.toy.asked(sock, b"first")
                sock.send(whole[:size])
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
                await until(lambda there=there: there.ended)
                assert there.ended["first"] == (Outcome.CONNECTION_LOST, None), (size, there.ended)
            finally:
                there.close()
    with closing(Back()) as there:
        there.shoot("first")
        sock = await there.toy.accepted()
        await there.toy.asked(sock, b"first")
        sock.send(whole)
        sock.close()
        await until(lambda: there.ended)
        assert there.ended["first"] == (Outcome.SUCCESS, b"value of 16 byte"), there.ended
