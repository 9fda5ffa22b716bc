"""Race conditions between endpoints and clients: one final answer to each request, and no state left over."""

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
    SETTINGS,
    TIMEOUT_S,
    AnswerRecorder,
    FakeEndpoint,
    LoopWithHooks,
    encode_success,
    make_dispatcher,
    make_request,
    no_connection_waiting,
    run_in_same_turn,
    wait_until,
)

pytestmark = pytest.mark.uvloop


async def test_attempt_with_idempotency_key_is_not_sent_after_its_window() -> None:
    """A request's idempotency key expires before the connection for its next attempt is open.

    The attempt must not be sent after the window within which endpoints recognize a repeated key.
    """
    endpoints, may_connect = [FakeEndpoint(), FakeEndpoint()], asyncio.Event()
    loop, clock_offset = asyncio.get_running_loop(), [0.0]
    dispatcher = make_dispatcher(SETTINGS, endpoints, lambda: time.time() + clock_offset[0])
    is_first = True

    async def sock_connect(sock: socket.socket, address: tuple[str, int]) -> None:
        nonlocal is_first
        is_first, must_wait = False, not is_first
        if must_wait:
            await may_connect.wait()
        await loop.sock_connect(sock, address)

    dispatcher.upstream.loop = LoopWithHooks(sock_connect=sock_connect)

    try:
        reply = AnswerRecorder()
        dispatcher.start_request(make_request(4000), reply)
        accept_tasks = [asyncio.ensure_future(endpoint.accept()) for endpoint in endpoints]
        (done,), _ = await asyncio.wait(accept_tasks, return_when=asyncio.FIRST_COMPLETED)
        sock = done.result()
        assert b"ticket" in await asyncio.wait_for(loop.sock_recv(sock, 4096), TIMEOUT_S)
        sock.send(b"-ERR failed\r\n")
        await wait_until(lambda: len(dispatcher.upstream.connect_tasks) == 1)
        clock_offset[0] = 0.6  # The window has passed, but not the deadline.
        may_connect.set()
        await wait_until(
            lambda: (
                reply.answers or (sum(task.done() for task in accept_tasks) == 2 and not dispatcher.requests)
            )
        )
        assert reply.answers == ["broken off"], reply.answers
        other_sockets = [task.result() for task in accept_tasks if task.done() and task is not done]
        assert all(peek_receive_state(other) != 1 for other in other_sockets), (
            "the attempt was sent after the window"
        )
    finally:
        for task in accept_tasks:
            task.cancel()
        dispatcher.upstream.close()
        for endpoint in endpoints:
            endpoint.close()


async def test_request_of_disconnected_client_is_removed_at_its_deadline() -> None:
    """Attempts may not be cancelled, the client has disconnected, and the endpoint never answers.

    The request's entry and the connection to the endpoint were kept forever. Both must be removed at the
    deadline, and not before.
    """
    endpoint = FakeEndpoint()
    dispatcher = make_dispatcher(SETTINGS | {"may_cancel": False}, [endpoint], time.time)
    loop = asyncio.get_running_loop()
    try:
        reply = AnswerRecorder()
        dispatcher.start_request(make_request(300), reply)
        sock = await endpoint.accept()
        await loop.sock_recv(sock, 4096)
        dispatcher.on_client_disconnect(reply)
        assert dispatcher.requests, "cancelled although the settings forbid it"
        assert await asyncio.wait_for(loop.sock_recv(sock, 4096), TIMEOUT_S) == b""
        await wait_until(lambda: not dispatcher.requests)
        assert not reply.answers and not dispatcher.requests.ids and not dispatcher.requests.size_bytes
    finally:
        dispatcher.upstream.close()
        endpoint.close()


@pytest.mark.parametrize(
    "end",
    [
        pytest.param(Dispatcher.on_deadline, id="deadline during the answer"),
        pytest.param(
            lambda dispatcher, request: dispatcher.fail_reply(request.reply),
            id="end of the client connection during the answer",
        ),
    ],
)
async def test_request_that_ends_during_its_answer_gets_one_final_answer(
    end: Callable[[Dispatcher, Any], None],
) -> None:
    """An endpoint's answer has been read, but its task has not continued, as the request ends.

    The request ends by its deadline or by the end of its client's connection. There is one final answer, no
    state is left over, and the endpoint's answer is not used for another request.
    """
    endpoint, clock_offset, reply = FakeEndpoint(), [0.0], AnswerRecorder()
    dispatcher = make_dispatcher(SETTINGS, [endpoint], lambda: time.time() + clock_offset[0])
    try:
        dispatcher.start_request(make_request(4000), reply)
        sock = await endpoint.accept()
        await dispatcher.loop.sock_recv(sock, 4096)
        (request,) = dispatcher.requests.values()
        (pool,) = dispatcher.upstream.pools.values()
        (connection,) = pool.connections

        def end_request() -> None:
            assert connection.reading.done and not reply.answers, "the order was not forced"
            clock_offset[0] = 4.0
            end(dispatcher, request)

        await run_in_same_turn(lambda: sock.send(encode_success(b"v")), end_request)
        await wait_until(lambda: not dispatcher.requests)
        assert len(reply.answers) == 1 and reply.answers != ["satisfied"], reply.answers
        assert (
            dispatcher.upstream.open_count == 0
            and not dispatcher.requests.ids
            and not dispatcher.requests.size_bytes
        )
    finally:
        dispatcher.upstream.close()
        endpoint.close()


async def test_fault_after_the_balancer_started_an_attempt_sends_nothing() -> None:
    """An event fails after the balancer has asked for an attempt.

    The client gets one final answer, and nothing is sent to an endpoint afterwards.
    """
    endpoint = FakeEndpoint()
    dispatcher = make_dispatcher(SETTINGS, [endpoint], time.time)
    on_request = dispatcher.balancer.on_request

    def fail_after_request(request: Any) -> None:
        on_request(request)
        assert any(isinstance(action, StartAttempt) for action in dispatcher.balancer.actions), (
            "the order was not forced"
        )
        raise RuntimeError("a fault made by the test")

    try:
        dispatcher.balancer.on_request = fail_after_request  # type: ignore[method-assign]
        reply = AnswerRecorder()
        dispatcher.start_request(make_request(4000), reply)
        assert reply.answers == ["broken off"] and not dispatcher.requests and not dispatcher.requests.ids
        await asyncio.sleep(0.02)
        assert no_connection_waiting(endpoint.listener) and not dispatcher.upstream.open_count
    finally:
        dispatcher.upstream.close()
        endpoint.close()


async def test_connection_of_trickling_endpoint_is_closed_at_the_deadline() -> None:
    """An endpoint sends its reply byte by byte, always before the timeout of a stalled reply.

    The client gets one final answer at its deadline, and the connection to the endpoint is closed then.
    """
    endpoint = FakeEndpoint()
    dispatcher = make_dispatcher(SETTINGS | {"connect_timeout": 1.0}, [endpoint], time.time)
    loop = asyncio.get_running_loop()
    try:
        reply = AnswerRecorder()
        dispatcher.start_request(make_request(400), reply)
        sock = await endpoint.accept()
        await loop.sock_recv(sock, 4096)
        started = loop.time()
        with suppress(ConnectionError):
            for byte in encode_success(b"x" * 4096):
                sock.send(bytes([byte]))
                if reply.answers:
                    break
                await asyncio.sleep(0.005)
        assert reply.answers in (["rejected"], ["broken off"]), reply.answers
        assert 0.3 < loop.time() - started < 0.6, loop.time() - started
        assert not dispatcher.requests and not dispatcher.upstream.open_count
    finally:
        dispatcher.upstream.close()
        endpoint.close()
