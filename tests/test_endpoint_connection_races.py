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
from gatebank.proxy.sockets import waiting
from gatebank.proxy.upstream.pool import REUSE_DELAY_S
from tests.support.connections import (
    PING,
    TIMEOUT_S,
    LoopWithHooks,
    UpstreamHarness,
    encode_success,
    run_in_same_turn,
    wait_until,
)

pytestmark = pytest.mark.uvloop


async def test_late_second_answer_is_not_the_next_shots() -> None:
    """A second answer late.

    An endpoint answers twice, 5 ms apart; the next attempt must not have the second for its own.
    """
    with closing(UpstreamHarness()) as there:
        sock, connection = await there.serve_first_attempt("first")
        for name in ("idle_since", "reusable_at"):  # 5 ms pass
            setattr(connection, name, getattr(connection, name, 0.0) - 0.005)
        there.send_attempt("second")
        other = asyncio.ensure_future(there.endpoint.accept())
        await wait_until(lambda: other.done() or waiting(sock) == 1)
        sock.send(encode_success(b"first"))
        await wait_until(lambda: connection.closed or "second" in there.results)
        if other.done():
            await there.endpoint.expect(other.result(), b"second")
            other.result().send(encode_success(b"second"))
        await wait_until(lambda: "second" in there.results)
        assert there.results["second"] == (Outcome.SUCCESS, b"second"), there.results
        other.cancel()


async def test_second_answer_already_read_is_not_the_next_shots() -> None:
    """A second answer read, not gone on.

    The second answer has been read and its task has not gone on, as the next attempt is sent.
    """
    with closing(UpstreamHarness()) as there:
        sock, connection = await there.serve_first_attempt("first")
        connection.idle_since, connection.reusable_at = connection.idle_since - 1.0, 0.0

        def act() -> None:
            assert waiting(connection.sock) == 0, "the order was not forced"
            there.send_attempt("second")

        await run_in_same_turn(lambda: sock.send(encode_success(b"first")), act)
        await wait_until(lambda: connection.closed)
        assert "second" not in there.results, there.results
        other = await there.endpoint.accept()
        await there.endpoint.expect(other, b"second")
        other.send(encode_success(b"second"))
        await wait_until(lambda: "second" in there.results)
        assert there.results["second"] == (Outcome.SUCCESS, b"second"), there.results


async def test_second_answer_while_descriptors_are_short_is_not_the_next_attempts() -> None:
    """A second answer while every descriptor is in use.

    With no descriptor left, an attempt was written behind one that was out, on the same connection. The
    endpoint answers the first attempt twice; the second answer was taken for the next attempt's, whose client
    was served with another's value. Found by the soak (seed 13, a crowd at 192 descriptors: request 0d15 was
    served `endpoint-4 ...0cd1`; both attempts stand in the records at endpoint-4, 0.18 s apart).
    """
    with closing(UpstreamHarness(max_connections=1)) as there:
        there.send_attempt("first")
        sock = await there.endpoint.accept()
        await there.endpoint.expect(sock, b"first")
        there.send_attempt("second")
        sock.send(encode_success(b"first") + encode_success(b"first"))
        await wait_until(lambda: len(there.results) == 2)
        assert there.results["first"] == (Outcome.SUCCESS, b"first"), there.results
        assert there.results["second"] == (Outcome.NO_CONNECTION, None), there.results


async def test_answer_read_as_its_time_runs_out_counts() -> None:
    """The rest of an answer as its time runs out.

    The rest of an answer is read in the turn in which its time runs out: none of it is lost.
    """
    with closing(UpstreamHarness({"connect_timeout": 0.1})) as there:
        there.send_attempt("first")
        sock = await there.endpoint.accept()
        await there.endpoint.expect(sock, b"first")
        whole = encode_success(b"first")
        sock.send(whole[:9])
        (pool,) = there.upstream.pools.values()
        (connection,) = pool.connections
        await wait_until(lambda: connection.inbox.held)
        await run_in_same_turn(lambda: sock.send(whole[9:]), lambda: time.sleep(0.25))
        await wait_until(lambda: "first" in there.results)
        assert there.results["first"] == (Outcome.SUCCESS, b"first"), there.results


async def test_shot_written_whole_is_cut_when_the_connection_breaks() -> None:
    """The last byte written, not gone on.

    The loop has written the last byte; the connection breaks before its task goes on: it may have run.
    """
    there, written = UpstreamHarness(), asyncio.Event()
    loop = asyncio.get_running_loop()

    async def sock_sendall(sock: socket.socket, data: bytes) -> None:
        await loop.sock_sendall(sock, data)
        if len(data) == 1:
            written.set()
            await asyncio.Event().wait()  # the task does not go on

    try:
        there.upstream.loop = LoopWithHooks(sock_sendall=sock_sendall)
        big = "x" * (8 << 20)
        shot = there.send_attempt(big)
        sock, got = await there.endpoint.accept(), 0
        while not written.is_set():
            got += len(await loop.sock_recv(sock, 1 << 20))
        assert shot.connection
        shot.connection.close()
        await wait_until(lambda: there.results)
        assert there.results[big] == (Outcome.CONNECTION_LOST, None), there.results[big][0]
    finally:
        there.close()


async def test_rest_that_ends_early_is_looked_at_again() -> None:
    """Rested too early.

    An attempt waits for a connection that does not come up, and another one has answered. Its rest ends by a
    timer of the loop, whose clock stands within a turn, so that it came too early: nobody looked again.
    """
    there = UpstreamHarness({"connect_timeout": TIMEOUT_S})
    loop = asyncio.get_running_loop()

    async def sock_connect(sock: socket.socket, where: tuple[str, int]) -> None:
        await asyncio.Event().wait()

    def call_later(delay: float, act: Callable[..., None], *words: Any) -> asyncio.TimerHandle:
        return loop.call_later(max(0.0, delay - REUSE_DELAY_S / 2), act, *words)

    try:
        there.send_attempt("first")
        sock = await there.endpoint.accept()
        await there.endpoint.expect(sock, b"first")
        there.upstream.loop = LoopWithHooks(sock_connect=sock_connect, call_later=call_later)
        there.send_attempt("second")
        sock.send(encode_success(b"first"))
        await there.endpoint.expect(sock, b"second")
    finally:
        there.close()


async def test_attempt_waits_for_the_health_check_that_is_out() -> None:
    """An attempt while a health check has the only descriptor.

    The attempt is not written before the check's answer has come and the connection has rested. Where the
    check's patience ends first, its connection ends with it, and the attempt was never sent: the late answer
    to the health check is not taken for the attempt's.
    """
    for late in (False, True):
        there = UpstreamHarness(max_connections=1)
        try:
            found = list[Outcome]()
            note = partial(lambda found, reply: found.append(reply.outcome), found)
            there.upstream.check_health(there.key, "toy", TIMEOUT_S, note)
            sock = await there.endpoint.accept()
            await there.endpoint.expect(sock, PING)
            ((_, pool),) = there.upstream.pools.items()
            (connection,) = pool.connections
            probe = connection.attempt
            there.send_attempt("first")
            await asyncio.sleep(REUSE_DELAY_S)
            assert waiting(sock) == 0, "the attempt was written behind the check"
            if late:
                probe.abort(Outcome.TIMED_OUT)
                await wait_until(lambda there=there: there.results)
                assert there.results["first"] == (Outcome.NO_CONNECTION, None), there.results
                assert found == [Outcome.TIMED_OUT]
                continue
            sock.send(b"+PONG\r\n")
            await wait_until(lambda found=found: found)
            assert not there.results
            await there.endpoint.expect(sock, b"first")
            sock.send(encode_success(b"first"))
            await wait_until(lambda there=there: there.results)
            assert there.results["first"] == (Outcome.SUCCESS, b"first"), there.results
            assert found == [Outcome.SUCCESS]
        finally:
            there.close()


async def test_cancelled_attempt_that_waits_is_never_written() -> None:
    """Cancelled while it waits for the only descriptor.

    No byte of it goes out, before or behind the first attempt's answer, and the first is served.
    """
    there = UpstreamHarness(max_connections=1)
    try:
        there.send_attempt("first")
        sock = await there.endpoint.accept()
        await there.endpoint.expect(sock, b"first")
        second = there.send_attempt("x" * (8 << 20))
        await asyncio.sleep(REUSE_DELAY_S)
        assert waiting(sock) == 0, "the second was written behind the first"
        second.abort(Outcome.CANCELLED)
        sock.send(encode_success(b"first"))
        await wait_until(lambda: "first" in there.results)
        assert there.results["first"] == (Outcome.SUCCESS, b"first"), there.results["first"]
        await asyncio.sleep(2 * REUSE_DELAY_S)
        assert waiting(sock) == 0, "the second was written after it had been cancelled"
    finally:
        there.close()


async def test_withdrawn_half_written_shot_goes_no_further() -> None:
    """Half written.

    Half of an attempt is written when it is withdrawn: its rest must not go out behind its final answer.
    """
    there = UpstreamHarness(max_connections=1)
    loop = asyncio.get_running_loop()
    try:
        attempt = there.send_attempt("x" * (8 << 20))
        sock = await there.endpoint.accept()
        await wait_until(lambda: attempt.connection)
        assert attempt.connection.writer and not attempt.written, "the order was not forced"
        attempt.abort(Outcome.CANCELLED)
        got = 0
        with suppress(ConnectionError):
            async with asyncio.timeout(TIMEOUT_S):
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
            there = UpstreamHarness({"report_fields": ["load_share"]})
            try:
                there.send_attempt("first")
                sock = await there.endpoint.accept()
                await there.endpoint.expect(sock, b"first")
                sock.send(whole[:size])
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
                await wait_until(lambda there=there: there.results)
                assert there.results["first"] == (Outcome.CONNECTION_LOST, None), (size, there.results)
            finally:
                there.close()
    with closing(UpstreamHarness()) as there:
        there.send_attempt("first")
        sock = await there.endpoint.accept()
        await there.endpoint.expect(sock, b"first")
        sock.send(whole)
        sock.close()
        await wait_until(lambda: there.results)
        assert there.results["first"] == (Outcome.SUCCESS, b"value of 16 byte"), there.results
