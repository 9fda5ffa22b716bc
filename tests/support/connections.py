"""Clients and fake endpoints that a test controls step by step, with the proxy's connections in between.

`run_in_same_turn` runs an action in the turn of the loop in which the bytes just sent have been read from the
kernel, before any task continues: epoll reports sockets in the order in which they became ready, so the
callback of a socket that the test writes last runs at that moment. docs/races.md lists the places where this
matters.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any

from gatebank.events import Condition, Endpoint, Outcome, RetrySafety
from gatebank.fakes.wire import encode_command
from gatebank.proxy.configuration import MemoryBounds
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.downstream import (
    ClientConnection,
    Downstream,
    PendingReply,
    limits,
)
from gatebank.proxy.messages import ClientRequest, RequestClassRef
from gatebank.proxy.resp2.commands import parse_request
from gatebank.proxy.upstream import Attempt, EndpointConnection, EndpointKey, EndpointReply, Upstream
from tests.support.settings_factory import make_settings

TIMEOUT_S = 10.0  # Time limit of everything that is awaited; only a failing test waits so long.
PING = encode_command(b"PING")
REQUEST_CLASSES = [{"name": "read", "retry_safety": RetrySafety.IDEMPOTENT, "deadline": 1.0}]


def encode_request(number: int, timeout_ms: int = 900) -> bytes:
    """Encode a request of class "read" whose id is ``number``."""
    return encode_command(b"Q.ASK", b"key", b"%d" % number, b"c=read,d=%d" % timeout_ms)


class RecordingHandler:
    """Stands in for the dispatcher: keeps requests until the test answers them.

    Attributes:
        pending: Requests without an answer, by the pending reply of the connection.
        started_ids: Ids of all requests, in the order of arrival.
        disconnected_ids: Ids of the requests whose client disconnected before the answer.
    """

    def __init__(self) -> None:
        self.pending, self.started_ids, self.disconnected_ids = (
            dict[PendingReply, ClientRequest](),
            list[int](),
            list[int](),
        )
        self.counts = Counter[str]()

    def start_request(self, request: ClientRequest, reply: PendingReply) -> None:
        self.pending[reply] = request
        self.started_ids.append(int(request.id))

    def refuse(self, request_id: bytes | None, reply: PendingReply) -> None:
        reply.reject(None)

    def on_client_disconnect(self, reply: PendingReply) -> None:
        if request := self.pending.pop(reply, None):
            self.disconnected_ids.append(int(request.id))

    def fail_reply(self, reply: PendingReply) -> None:
        if self.pending.pop(reply, None):
            reply.fail("given up")

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def answer_all(self) -> None:
        """Answer all requests, the last one first: its answer waits for the others, then all are written."""
        for reply in reversed(list(self.pending)):
            request = self.pending.pop(reply)
            reply.serve(memoryview(b"for %d" % int(request.id)))


class Client:
    """The client's end of a connection, controlled by the test."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # Each write is sent at once.
        self.loop = asyncio.get_running_loop()

    async def read_to_end(self) -> bytes:
        """Return all bytes up to the end of the connection."""
        received = b""
        async with asyncio.timeout(TIMEOUT_S):
            while part := await self.loop.sock_recv(self.sock, 65536):
                received += part
        self.sock.close()
        return received

    async def read_to_reset(self) -> bytes:
        """Return all bytes up to the reset of the connection; fail if the connection ends without a reset."""
        received = b""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while part := await self.loop.sock_recv(self.sock, 65536):
                    received += part
        except ConnectionResetError:
            self.sock.close()
            return received
        raise AssertionError(f"the connection ended without a reset after {received!r}")

    async def expect(self, expected: bytes) -> None:
        """Read as many bytes as expected and compare them."""
        received = b""
        async with asyncio.timeout(TIMEOUT_S):
            while len(received) < len(expected) and (
                part := await self.loop.sock_recv(self.sock, len(expected) - len(received))
            ):
                received += part
        assert received == expected, (received, expected)


class DownstreamHarness:
    """A `Downstream` with its listener and tasks, and a `RecordingHandler` that takes its requests."""

    def __init__(self, max_connections: int = 64) -> None:
        self.handler = RecordingHandler()
        settings = make_settings({"request_classes": REQUEST_CLASSES})
        self.downstream = Downstream(settings, self.handler, max_connections, MemoryBounds.within(64))
        self.downstream.listen(("127.0.0.1", 0))
        assert self.downstream.listener
        self.address = self.downstream.listener.getsockname()
        self.tasks = [asyncio.ensure_future(self.downstream.accept())]

    async def connect_client(self) -> tuple[Client, ClientConnection]:
        """Connect a client that has sent a PING and is idle; return both ends of the connection."""
        known = set(self.downstream.connections)
        client = Client(self.address)
        client.sock.send(PING)
        await client.expect(b"+PONG\r\n")
        (connection,) = set(self.downstream.connections) - known
        return client, connection

    def start_clock_checks(self) -> None:
        self.tasks.append(asyncio.ensure_future(self.downstream.check_timeouts()))

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.downstream.close()


async def wait_until(condition: Callable[[], Any]) -> None:
    """Run turns of the loop until the condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


async def run_in_same_turn(send: Callable[[], Any], action: Callable[[], Any]) -> None:
    """Run ``action`` in the turn of the loop that has read what ``send`` sent; see the module's docstring."""
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    near, far = socket.socketpair()

    def ready() -> None:
        loop.remove_reader(near)
        try:
            action()
            done.set_result(None)
        except Exception as error:
            done.set_exception(error)

    loop.add_reader(near, ready)
    await asyncio.sleep(
        0.01
    )  # Lets the loop finish its current poll; the order of events does not depend on it.
    send()
    far.send(b"x")
    await asyncio.wait_for(done, TIMEOUT_S)
    near.close()
    far.close()


def close_if_finished(downstream: Downstream, connection: ClientConnection) -> None:
    downstream.shutting_down = True
    downstream.close_if_finished(connection)


def make_room(downstream: Downstream, connection: ClientConnection) -> None:
    downstream.make_room(None)


def close_surplus(downstream: Downstream, connection: ClientConnection) -> None:
    downstream.max_connections = 0
    downstream.close_surplus_idle()


def time_out_idle(downstream: Downstream, connection: ClientConnection) -> None:
    connection.check_timeouts(connection.timeout_start + limits.IDLE_TIMEOUT_S + 1.0, False)


def time_out_idle_crowded(downstream: Downstream, connection: ClientConnection) -> None:
    connection.check_timeouts(connection.timeout_start + limits.CROWDED_IDLE_TIMEOUT_S + 1.0, True)


def time_out_partial_command(downstream: Downstream, connection: ClientConnection) -> None:
    connection.check_timeouts(connection.last_bytes_at + limits.COMMAND_TIMEOUT_S + 1.0, False)


def connection_refused(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, 1.0).close()
    except ConnectionRefusedError:
        return True
    return False


class FakeEndpoint:
    """An endpoint controlled by the test, which accepts its connections and sends its replies."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.loop = asyncio.get_running_loop()
        self.connections = list[socket.socket]()

    async def accept(self) -> socket.socket:
        sock, _ = await asyncio.wait_for(self.loop.sock_accept(self.listener), TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.append(sock)
        return sock

    async def expect(self, sock: socket.socket, data: bytes) -> None:
        """Read once and compare the bytes."""
        received = await asyncio.wait_for(self.loop.sock_recv(sock, 4096), TIMEOUT_S)
        assert received == data, (received, data)

    def close(self) -> None:
        for sock in (self.listener, *self.connections):
            sock.close()


def encode_success(text: bytes) -> bytes:
    """Encode an endpoint's successful reply without a load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(text), text)


class UpstreamHarness:
    """An `Upstream` with one fake endpoint, and the results of the attempts by their names."""

    def __init__(self, settings: dict[str, Any] | None = None, max_connections: int = 8) -> None:
        self.endpoint, self.upstream = (
            FakeEndpoint(),
            Upstream(make_settings(settings or {}), max_connections),
        )
        self.results = dict[str, tuple[Outcome, bytes | None]]()
        self.key = EndpointKey(0, self.endpoint.address, 1, None)

    def send_attempt(self, name: str) -> Attempt:
        def on_result(reply: EndpointReply) -> None:
            assert name not in self.results
            self.results[name] = reply.outcome, None if reply.value is None else bytes(reply.value)

        return self.upstream.send(self.key, "toy", lambda: name.encode(), on_result)

    async def serve_first_attempt(self, name: str) -> tuple[socket.socket, EndpointConnection]:
        """Send a first attempt and answer it; return both ends of its connection."""
        attempt = self.send_attempt(name)
        sock = await self.endpoint.accept()
        await self.endpoint.expect(sock, name.encode())
        assert attempt.connection
        sock.send(encode_success(name.encode()))
        await wait_until(lambda: name in self.results)
        return sock, attempt.connection

    def close(self) -> None:
        self.upstream.close()
        self.endpoint.close()


class LoopWithHooks:
    """The running loop with some of its methods replaced by the test."""

    def __init__(self, **hooks: Callable[..., Any]) -> None:
        self.loop = asyncio.get_running_loop()
        vars(self).update(hooks)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


SETTINGS = {
    "instance": 0, "instance_count": 1, "max_attempts": 4, "caps": [1.0], "cap_counted_by": "all",
    "exposure_window": 2.0, "spare_attempts": 2, "may_advise_retry_after": True, "may_cancel": True,
    "may_message_peers": False, "tenants": [],
    "overload_multiple": 3.0, "overload_window": 1.5, "initial_capacity": 0.4, "warm_up": 5.0,
    "connect_timeout": 5.0, "vote_lifetime": 6.0, "vote_timeout": 1.0,
    "request_classes": [{
        "name": "sign", "retry_safety": RetrySafety.KEYED, "latency_objective": 4.0, "priority_weight": 1.0,
        "retry_group": "all", "retry_window": 0.5,
    }],
}  # fmt: skip


class AnswerRecorder:
    """Stands in for a client's reply, and records its answers."""

    def __init__(self) -> None:
        self.request, self.answers = None, list[str]()

    source = 1

    def is_pipelined(self) -> bool:
        return False

    def client_has_gone(self) -> bool:
        return False

    def close_may_be_hidden(self) -> bool:
        return False

    def reject(self, retry_after: float | None) -> None:
        self.answers.append("rejected")

    def fail(self, reason: str) -> None:
        self.answers.append("broken off")

    def serve(self, value: memoryview) -> None:
        self.answers.append("satisfied")


def make_dispatcher(
    flat_settings: dict[str, Any], fake_endpoints: list[FakeEndpoint], clock: Callable[[], float]
) -> Dispatcher:
    """Create a dispatcher whose endpoint list has these endpoints."""
    settings = make_settings(flat_settings)
    registry, entries = EndpointRegistry(settings), list[Endpoint]()
    dispatcher = Dispatcher(settings, 1, clock, registry, 1 << 20)  # type: ignore[arg-type]
    dispatcher.upstream = Upstream(settings, 8)
    for number, endpoint in enumerate(fake_endpoints):
        index = registry.index_of(f"toy-{number}")
        registry.addresses[index] = endpoint.address
        entries.append(Endpoint(index, number, 0, 0, 0, 1, None, Condition.READY, 1.0))
    dispatcher.on_endpoint_list(entries, True)
    return dispatcher


def make_request(timeout_ms: int) -> ClientRequest:
    """Make a request of class "sign", whose requests carry an idempotency key."""
    arguments = [
        memoryview(argument)
        for argument in (b"Q.DO", b"k", b"i", b"c=sign,d=%d,k=ticket" % timeout_ms, b"body")
    ]
    return parse_request(arguments, {"sign": RequestClassRef(0, RetrySafety.KEYED)}, {})


def no_connection_waiting(listener: socket.socket) -> bool:
    try:
        listener.accept()
    except BlockingIOError:
        return True
    return False
