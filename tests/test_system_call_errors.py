"""Errors of accept, socket and connect that pass cost no request and are not held against an endpoint."""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator

import pytest

from gatebank.events import Outcome
from gatebank.proxy.upstream import pools
from tests.support.connections import (
    PING,
    Client,
    DownstreamHarness,
    LoopWithHooks,
    UpstreamHarness,
    encode_success,
    wait_until,
)

pytestmark = pytest.mark.uvloop

LACKS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
OPEN_SOCKET = pools.open_socket


def error(number: int) -> OSError:
    """Return the error that a system call reports."""
    return OSError(number, errno.errorcode[number])


@pytest.mark.parametrize("number", LACKS)
async def test_attempt_is_sent_once_a_passing_lack_of_this_machine_is_over(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = UpstreamHarness()
    failures = iter(range(3))

    def fail_at_first(address: tuple[str, int]) -> socket.socket:
        for _ in failures:
            raise error(number)
        return OPEN_SOCKET(address)

    monkeypatch.setattr(pools, "open_socket", fail_at_first)
    harness.send_attempt("first")
    sock = await harness.endpoint.accept()
    sock.send(encode_success(b"first"))
    await wait_until(lambda: "first" in harness.results)
    assert harness.results["first"] == (Outcome.SUCCESS, b"first")
    assert harness.upstream.local_shortages == 3
    assert harness.upstream.open_count == 1
    harness.close()


async def test_attempt_that_this_machine_cannot_send_in_time_is_not_held_against_the_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = UpstreamHarness({"connect_timeout": 0.1})

    def fail(_: tuple[str, int]) -> socket.socket:
        raise error(errno.EMFILE)

    monkeypatch.setattr(pools, "open_socket", fail)
    harness.send_attempt("first")
    await wait_until(lambda: "first" in harness.results)
    assert harness.results["first"] == (Outcome.NOT_SENT, None)
    assert harness.upstream.open_count == 0
    harness.close()


@pytest.mark.parametrize("number", [errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ECONNREFUSED])
async def test_endpoint_that_cannot_be_reached_fails_the_attempt_at_once(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = UpstreamHarness()

    async def sock_connect(*_: object) -> None:
        raise error(number)

    monkeypatch.setattr(harness.upstream, "loop", LoopWithHooks(sock_connect=sock_connect))
    harness.send_attempt("first")
    await wait_until(lambda: "first" in harness.results)
    assert harness.results["first"] == (Outcome.NO_CONNECTION, None)
    assert harness.upstream.open_count == 0
    harness.close()


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
async def test_client_is_served_after_accept_has_failed(number: int) -> None:
    harness = DownstreamHarness()
    loop = harness.downstream.loop
    failures: Iterator[int] = iter(range(3))

    async def sock_accept(listener: socket.socket) -> tuple[socket.socket, object]:
        for _ in failures:
            raise error(number)
        accepted: tuple[socket.socket, object] = await loop.sock_accept(listener)
        return accepted

    harness.downstream.loop = LoopWithHooks(sock_accept=sock_accept)  # type: ignore[assignment]
    client = Client(harness.address)
    client.sock.send(PING)
    await client.expect(b"+PONG\r\n")
    lacks = 0 if number == errno.ECONNABORTED else 3
    assert harness.handler.counts["accept failed"] == lacks
    harness.close()
    client.sock.close()


async def test_error_line_reaches_a_client_that_is_still_sending() -> None:
    harness = DownstreamHarness()
    harness.start_clock_checks()
    client = Client(harness.address)
    client.sock.setblocking(True)
    client.sock.settimeout(5.0)
    await harness.downstream.loop.run_in_executor(
        None, client.sock.sendall, b"*2\r\n$4\r\nQ.DO\r\n$99999\r\n" + b"x" * 300_000
    )
    client.sock.setblocking(False)
    assert await client.read_to_end() == b"-ERR a length is senseless\r\n"
    harness.close()
