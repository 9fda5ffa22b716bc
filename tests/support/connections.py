"""Both ends of real connections, stepped by the test: clients, toy endpoints, and the parts between.

`in_the_turn` runs an act in the turn of the loop in which the bytes just sent have been read from the
kernel, before any task goes on: epoll reports sockets in the order they became ready, so a socket of the
test's own, written last, has its callback then. docs/races.md lists the places.
"""

from __future__ import annotations

import asyncio
import socket
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

PATIENCE = 10.0  # s for anything awaited; only a failing check takes so long
PING = encode_command(b"PING")
KINDS = [{"name": "read", "retry_safety": RetrySafety.IDEMPOTENT, "deadline": 1.0}]


def request(number: int, left: int = 900) -> bytes:
    return encode_command(b"Q.ASK", b"key", b"%d" % number, b"c=read,d=%d" % left)


class RequestHandler:
    """Stands for the exchange: keeps what is asked until the check answers it."""

    def __init__(self) -> None:
        self.open, self.seen, self.left = dict[PendingReply, ClientRequest](), list[int](), list[int]()

    def start_request(self, asked: ClientRequest, reply: PendingReply) -> None:
        self.open[reply] = asked
        self.seen.append(int(asked.id))

    def on_client_disconnect(self, reply: PendingReply) -> None:
        if asked := self.open.pop(reply, None):
            self.left.append(int(asked.id))

    def fail_reply(self, reply: PendingReply) -> None:
        if self.open.pop(reply, None):
            reply.fail("given up")

    def answer_all(self) -> None:
        """As endpoints answer, the last of a connection first: the others wait, then all go out at once."""
        for reply in reversed(list(self.open)):
            asked = self.open.pop(reply)
            reply.serve(memoryview(b"for %d" % int(asked.id)))


class Client:
    """A client's end, stepped by the check."""

    def __init__(self, where: tuple[str, int]) -> None:
        self.sock = socket.create_connection(where)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # each write is a step
        self.loop = asyncio.get_running_loop()

    async def all(self) -> bytes:
        """What it reads until the end."""
        found = b""
        async with asyncio.timeout(PATIENCE):
            while part := await self.loop.sock_recv(self.sock, 65536):
                found += part
        self.sock.close()
        return found

    async def to_the_reset(self) -> bytes:
        """What it reads until the connection is reset; fails at an end that is none."""
        found = b""
        try:
            async with asyncio.timeout(PATIENCE):
                while part := await self.loop.sock_recv(self.sock, 65536):
                    found += part
        except ConnectionResetError:
            self.sock.close()
            return found
        raise AssertionError(f"the connection ended as if all had been read, behind {found!r}")

    async def reads(self, wanted: bytes) -> None:
        found = b""
        async with asyncio.timeout(PATIENCE):
            while len(found) < len(wanted) and (
                part := await self.loop.sock_recv(self.sock, len(wanted) - len(found))
            ):
                found += part
        assert found == wanted, (found, wanted)


class Front:
    """A listener with its tasks, and the door behind it."""

    def __init__(self, most: int = 64) -> None:
        self.door = RequestHandler()
        orders = make_settings({"request_classes": KINDS})
        self.clients = Downstream(orders, self.door, most, MemoryBounds.within(64))
        self.clients.listen(("127.0.0.1", 0))
        assert self.clients.listener
        self.where = self.clients.listener.getsockname()
        self.tasks = [asyncio.ensure_future(self.clients.accept())]

    async def client(self) -> tuple[Client, ClientConnection]:
        """One that has spoken and is idle."""
        known = set(self.clients.connections)
        client = Client(self.where)
        client.sock.send(PING)
        await client.reads(b"+PONG\r\n")
        (connection,) = set(self.clients.connections) - known
        return client, connection

    def tend(self) -> None:
        self.tasks.append(asyncio.ensure_future(self.clients.check_clocks()))

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.clients.close()


async def until(what: Callable[[], Any]) -> None:
    """Turns of the loop until it holds."""
    async with asyncio.timeout(PATIENCE):
        while not what():
            await asyncio.sleep(0.001)


async def in_the_turn(send: Callable[[], Any], action: Callable[[], Any]) -> None:
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    near, far = socket.socketpair()

    def ready() -> None:
        loop.remove_reader(near)
        try:
            action()
            done.set_result(None)
        except Exception as trouble:
            done.set_exception(trouble)

    loop.add_reader(near, ready)
    await asyncio.sleep(0.01)  # no order hangs on it: the loop has its poll behind it
    send()
    far.send(b"x")
    await asyncio.wait_for(done, PATIENCE)
    near.close()
    far.close()


def settles(clients: Downstream, connection: ClientConnection) -> None:
    clients.leaving = True
    clients.settle(connection)


def makes_room(clients: Downstream, connection: ClientConnection) -> None:
    clients.make_room(None)


def thins(clients: Downstream, connection: ClientConnection) -> None:
    clients.max_connections = 0
    clients.close_surplus_idle()


def idles_out(clients: Downstream, connection: ClientConnection) -> None:
    connection.check_clocks(connection.since + limits.IDLE_S + 1.0, False)


def idles_out_crowded(clients: Downstream, connection: ClientConnection) -> None:
    connection.check_clocks(connection.since + limits.IDLE_CROWDED_S + 1.0, True)


def stops_half_way(clients: Downstream, connection: ClientConnection) -> None:
    connection.check_clocks(connection.bytes_since + limits.COMMAND_TIMEOUT_S + 1.0, False)


def refused(where: tuple[str, int]) -> bool:
    try:
        socket.create_connection(where, 1.0).close()
    except ConnectionRefusedError:
        return True
    return False


class Toy:
    """An endpoint, stepped by the check: it sees what comes, and says what it is told to."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.where = self.listener.getsockname()
        self.loop = asyncio.get_running_loop()
        self.open = list[socket.socket]()

    async def accepted(self) -> socket.socket:
        sock, _ = await asyncio.wait_for(self.loop.sock_accept(self.listener), PATIENCE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open.append(sock)
        return sock

    async def asked(self, sock: socket.socket, data: bytes) -> None:
        found = await asyncio.wait_for(self.loop.sock_recv(sock, 4096), PATIENCE)
        assert found == data, (found, data)

    def close(self) -> None:
        for sock in (self.listener, *self.open):
            sock.close()


def value(text: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(text), text)


class Back:
    """Connections to one toy endpoint, and how the attempts on them ended."""

    def __init__(self, orders: dict[str, Any] | None = None, most: int = 8) -> None:
        self.toy, self.nodes = Toy(), Upstream(make_settings(orders or {}), most)
        self.ended = dict[str, tuple[Outcome, bytes | None]]()
        self.key = EndpointKey(0, self.toy.where, 1, None)

    def shoot(self, name: str) -> Attempt:
        def ended(reply: EndpointReply) -> None:
            assert name not in self.ended
            self.ended[name] = reply.outcome, None if reply.value is None else bytes(reply.value)

        return self.nodes.send(self.key, "toy", lambda: name.encode(), ended)

    async def served(self, name: str) -> tuple[socket.socket, EndpointConnection]:
        """A first attempt, answered: its connection, at both ends."""
        shot = self.shoot(name)
        sock = await self.toy.accepted()
        await self.toy.asked(sock, name.encode())
        assert shot.connection
        sock.send(value(name.encode()))
        await until(lambda: name in self.ended)
        return sock, shot.connection

    def close(self) -> None:
        self.nodes.close()
        self.toy.close()


class Hooked:
    """The loop with steps of the check's own in some of its calls."""

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


class Said:
    """Stands for a client's reply: keeps its answers."""

    def __init__(self) -> None:
        self.request, self.said = None, list[str]()

    def reject(self, retry_after: float | None) -> None:
        self.said.append("rejected")

    def fail(self, reason: str) -> None:
        self.said.append("broken off")

    def serve(self, value: memoryview) -> None:
        self.said.append("satisfied")


def met(flat: dict[str, Any], toys: list[Toy], clock: Callable[[], float]) -> Dispatcher:
    """An exchange whose list has these endpoints."""
    settings = make_settings(flat)
    register, entries = EndpointRegistry(settings), list[Endpoint]()
    exchange = Dispatcher(settings, 1, clock, register, 1 << 20)  # type: ignore[arg-type]
    exchange.upstream = Upstream(settings, 8)
    for number, toy in enumerate(toys):
        node = register.index_of(f"toy-{number}")
        register.addresses[node] = toy.where
        entries.append(Endpoint(node, number, 0, 0, 0, 1, None, Condition.READY, 1.0))
    exchange.on_endpoint_list(entries, True)
    return exchange


def asked(left: int) -> ClientRequest:
    words = [memoryview(each) for each in (b"Q.DO", b"k", b"i", b"c=sign,d=%d,k=ticket" % left, b"body")]
    return parse_request(words, {"sign": RequestClassRef(0, RetrySafety.KEYED)}, {})


def waits_nobody(listener: socket.socket) -> bool:
    try:
        listener.accept()
    except BlockingIOError:
        return True
    return False
