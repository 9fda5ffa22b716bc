"""A connection to an endpoint: when an attempt counts as sent, and which bytes are not its reply."""

from __future__ import annotations

import asyncio
import socket
from functools import partial

from gatebank.events import Outcome
from gatebank.proxy.upstream import Attempt, ConnectionPool, EndpointConnection, EndpointKey, Upstream
from gatebank.settings import Settings
from tests.support.socket_scenarios import TIMEOUT_S


async def test_attempt_counts_as_sent_only_once_its_last_byte_is_written() -> None:
    """The connection breaks while an attempt is partly written.

    The attempt's connection counts as lost once the last byte is written; before that, the attempt counts
    as never sent.
    """
    for bytes_to_read, expected in (
        (0, Outcome.NO_CONNECTION),
        (60_000, Outcome.NO_CONNECTION),
        (1 << 20, Outcome.CONNECTION_LOST),
    ):
        upstream, outcomes, data = Upstream(Settings(), 4), list[Outcome](), b"x" * (1 << 20)
        near, far = socket.socketpair()
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        pool = ConnectionPool(upstream, EndpointKey(0, ("", 0), 1, None), "a")
        connection = EndpointConnection(pool, near)
        attempt = Attempt(
            lambda data=data: data, lambda reply, outcomes=outcomes: outcomes.append(reply.outcome), False
        )
        connection.write(attempt)
        assert not attempt.written
        while bytes_to_read > 0:
            bytes_to_read -= len(await asyncio.get_running_loop().sock_recv(far, min(bytes_to_read, 4096)))
        while expected is Outcome.CONNECTION_LOST and not attempt.written:
            await asyncio.sleep(0)
        far.close()
        await asyncio.wait_for(connection.reader, TIMEOUT_S)
        assert outcomes == [expected], (outcomes, expected)


async def test_bytes_behind_a_reply_are_not_used_for_another_attempt() -> None:
    """A reply is followed by surplus bytes, such as a second copy of the reply.

    The bytes must not go to the attempt that waits for the connection: its client would be served with the
    value of another request.
    """
    for surplus in (b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n", b"*3\r\n$1", b"\x00"):
        upstream, outcomes = Upstream(Settings(), 4), dict[str, Outcome]()
        pool = ConnectionPool(upstream, EndpointKey(0, ("", 0), 1, None), "a")
        near, far = socket.socketpair()
        near.setblocking(False)
        connection = EndpointConnection(pool, near)
        pool.connections.add(connection)
        for name in ("first", "second"):
            record_outcome = partial(
                lambda outcomes, name, reply: outcomes.setdefault(name, reply.outcome), outcomes, name
            )
            pool.waiting_attempts.append(Attempt(lambda: b"x", record_outcome, False))
        connection.write(pool.waiting_attempts.popleft())
        far.send(b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n" + surplus)
        await asyncio.wait_for(connection.reader, TIMEOUT_S)
        assert outcomes == {"first": Outcome.SUCCESS, "second": Outcome.NO_CONNECTION}, outcomes
        far.close()
