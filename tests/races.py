"""Rare moments on real connections: each check forces one bad order of events, the same every time.

The loop is uvloop, as in service. `in_the_turn` runs an act in the turn of the loop in which the bytes just
sent have been read from the kernel, before any task goes on: epoll reports sockets in the order they became
ready, so a socket of the check's own, written last, has its callback then. docs/races.md lists the places.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import closing, suppress
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import uvloop

from gatebank.actions import CastVote, StartAttempt
from gatebank.events import Condition, Endpoint, Outcome, Phase, ReleaseStatus, RetrySafety, Verdict
from gatebank.fakes.wire import packed, page
from gatebank.proxy import downstream as net
from gatebank.proxy import upstream as back
from gatebank.proxy.configuration import Bounds
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.downstream import ClientRequest, Clients, Connection, PendingReply
from gatebank.proxy.release_service import PAUSE, ReleaseService
from gatebank.proxy.service import ControlPlaneWatches
from gatebank.proxy.sockets import waiting
from gatebank.proxy.upstream import Attempt, Nodes
from tests.settings_factory import make_settings
from tests.sockets import ROOT, InstanceProcess, Stand

PATIENCE = 10.0  # s for anything awaited; only a failing check takes so long
PING = packed(b"PING")
KINDS = [{"name": "read", "repeats": RetrySafety.IDEMPOTENT, "time_limit": 1.0}]


def request(number: int, left: int = 900) -> bytes:
    return packed(b"Q.ASK", b"key", b"%d" % number, b"c=read,d=%d" % left)


class RequestHandler:
    """Stands for the exchange: keeps what is asked until the check answers it."""

    def __init__(self) -> None:
        self.open, self.seen, self.left = dict[PendingReply, ClientRequest](), list[int](), list[int]()

    def invoked(self, asked: ClientRequest, reply: PendingReply) -> None:
        self.open[reply] = asked
        self.seen.append(int(asked.id))

    def client_left(self, reply: PendingReply) -> None:
        if asked := self.open.pop(reply, None):
            self.left.append(int(asked.id))

    def give_up(self, reply: PendingReply) -> None:
        if self.open.pop(reply, None):
            reply.broken_off("given up")

    def answer_all(self) -> None:
        """As nodes answer, the last of a connection first: the others wait, and then all go out at once."""
        for reply in reversed(list(self.open)):
            asked = self.open.pop(reply)
            reply.satisfied(memoryview(b"for %d" % int(asked.id)))


class Client:
    """A customer's end, stepped by the check."""

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
        orders = make_settings({"workloads": KINDS})
        self.clients = Clients(orders, self.door, most, Bounds.within(64))
        self.clients.listen(("127.0.0.1", 0))
        assert self.clients.listener
        self.where = self.clients.listener.getsockname()
        self.tasks = [asyncio.ensure_future(self.clients.accept())]

    async def client(self) -> tuple[Client, Connection]:
        """One that has spoken and is idle."""
        known = set(self.clients.connections)
        client = Client(self.where)
        client.sock.send(PING)
        await client.reads(b"+PONG\r\n")
        (connection,) = set(self.clients.connections) - known
        return client, connection

    def tend(self) -> None:
        self.tasks.append(asyncio.ensure_future(self.clients.tend()))

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.clients.close()


async def until(what: Callable[[], Any]) -> None:
    """Turns of the loop until it holds."""
    async with asyncio.timeout(PATIENCE):
        while not what():
            await asyncio.sleep(0.001)


async def in_the_turn(send: Callable[[], Any], act: Callable[[], Any]) -> None:
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    near, far = socket.socketpair()

    def ready() -> None:
        loop.remove_reader(near)
        try:
            act()
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


async def read_but_not_gone_on(close: Callable[[Clients, Connection], Any], prepare: bytes = b"") -> None:
    """A request that has been read, whose task has not gone on: whoever closes what looks idle must not."""
    with closing(Front()) as front:
        client, connection = await front.client()
        last, others = request(1), list[Client]()
        if prepare:  # a part of the command is in the buffer already
            last = last[len(prepare) :]
            client.sock.send(prepare)
            await until(lambda: connection.begun)

        def act() -> None:
            assert waiting(connection.sock) == 0 and not front.door.seen, "the order was not forced"
            close(front.clients, connection)

        await in_the_turn(lambda: client.sock.send(last), act)
        await until(lambda: front.door.seen or connection.closed or connection.ending)
        assert front.door.seen == [1], "a request that had been read was lost"
        front.door.answer_all()
        await client.reads(b"$5\r\nfor 1\r\n")
        for each in (client, *others):
            each.sock.close()


def settles(clients: Clients, connection: Connection) -> None:
    clients.leaving = True
    clients.settle(connection)


def makes_room(clients: Clients, connection: Connection) -> None:
    clients.spare(None)


def thins(clients: Clients, connection: Connection) -> None:
    clients.most = 0
    clients.thin()


def idles_out(clients: Clients, connection: Connection) -> None:
    connection.look(connection.since + net.IDLE + 1.0, False)


def idles_out_crowded(clients: Clients, connection: Connection) -> None:
    connection.look(connection.since + net.IDLE_CROWDED + 1.0, True)


def stops_half_way(clients: Clients, connection: Connection) -> None:
    connection.look(connection.came + net.WHOLE + 1.0, False)


async def behind_an_answer_at_once() -> None:
    """SIGTERM: PING and a request come in one read. With the PONG the connection looked idle and was closed
    amid its own reading; the request behind was taken on a closed connection, whose row then never went."""
    with closing(Front()) as front:
        client, connection = await front.client()
        front.clients.leaving = True
        client.sock.send(PING + request(1) + PING)
        await until(lambda: front.door.seen)
        front.door.answer_all()
        assert (found := await client.all()) == b"+PONG\r\n$5\r\nfor 1\r\n+PONG\r\n", found
        await until(lambda: not front.clients.connections or front.clients.settle(connection))


async def behind_a_full_pipeline() -> None:
    """All that is read ahead is answered in one go while the marshal leaves; the rest is in the buffer."""
    with closing(Front()) as front:
        client, connection = await front.client()
        many = net.IN_HAND + 6
        front.clients.leaving = True
        client.sock.send(b"".join(request(each) for each in range(many)))
        await until(lambda: len(front.door.open) == net.IN_HAND)
        front.door.answer_all()
        await until(lambda: len(front.door.seen) == many or connection.closed)
        front.door.answer_all()
        wanted = b"".join(b"$%d\r\nfor %d\r\n" % (len(f"for {each}"), each) for each in range(many))
        await client.reads(wanted)


async def gone(sent: bytes, at_least: int) -> None:
    """A client closes while nothing of it is read: what it still had waiting is dropped within 0.3 s."""
    with closing(Front()) as front:
        front.tend()
        client, connection = await front.client()
        client.sock.send(sent)
        await until(lambda: len(front.door.open) >= at_least)
        client.sock.close()
        started = front.clients.loop.time()
        await until(lambda: connection.closed)
        took = front.clients.loop.time() - started
        assert took < 0.3 and not front.door.open, took
        assert len(front.door.left) == at_least, front.door.left


async def half_closed() -> None:
    """A client that ends its sending and reads on has one whole final answer to each, in their order."""
    with closing(Front()) as front:
        client, _ = await front.client()
        client.sock.send(request(1) + request(2))
        await until(lambda: len(front.door.open) == 2)
        client.sock.shutdown(socket.SHUT_WR)
        assert (found := await client.all()) == 2 * b"-ERR its connection ended\r\n", found
        assert front.door.left == [1, 2]


async def accepted_but_not_gone_on() -> None:
    """The listener closes in the turn in which a connection was accepted, before its task went on; another
    waits in the backlog. Both are served, and nobody listens any more, though the loop waited to accept."""
    with closing(Front()) as front:
        await asyncio.sleep(0)
        clients = list[Client]()
        ends = list[asyncio.Future[None]]()

        def connect() -> None:
            clients.extend((Client(front.where), Client(front.where)))

        await in_the_turn(connect, lambda: ends.append(asyncio.ensure_future(front.clients.shut())))
        await ends[0]
        for each in clients:
            each.sock.send(PING)
            await each.reads(b"+PONG\r\n")
        assert refused(front.where), "somebody listens still"


async def nobody_listens_after_it() -> None:
    """The loop held the listener open for as long as the task waited in it, until one more had come: that one
    was taken after the end, and those behind it were reset."""
    with closing(Front()) as front:
        client, _ = await front.client()
        client.sock.send(request(1))
        await until(lambda: front.door.open)
        net.NOTICED, noticed = 0.0, net.NOTICED
        front.tasks.append(asyncio.ensure_future(front.clients.leave()))
        await until(lambda: front.clients.leaving)
        net.NOTICED = noticed
        assert refused(front.where), "the machine accepts what nobody will take"
        front.door.answer_all()
        await client.reads(b"$5\r\nfor 1\r\n")


def refused(where: tuple[str, int]) -> bool:
    try:
        socket.create_connection(where, 1.0).close()
    except ConnectionRefusedError:
        return True
    return False


async def never_idle() -> None:
    """A client that never stops sending: what could meet SIGKILL is refused at once, what can be answered is.
    Then nothing more is read, and the connection ends behind the answers, though bytes wait in the kernel."""
    with closing(Front()) as front:
        front.tend()
        client, connection = await front.client()
        clients = front.clients
        clients.told_at, clients.leaving = clients.loop.time() - net.LAST_CALL - 0.5, True
        client.sock.send(request(1, 100) + request(2, 900))
        await until(lambda: len(connection.replies) == 2)
        assert front.door.seen == [1], front.door.seen
        clients.told_at -= 1.0
        wanted = b"$5\r\nfor 1\r\n-BUSY\r\n"
        await in_the_turn(lambda: None, lambda: (client.sock.send(request(3)), front.door.answer_all()))
        assert (found := await client.all()) in (wanted, wanted + b"-BUSY\r\n"), found
        await until(lambda: not clients.connections)
        assert front.door.seen == [1]


async def fresh_at_the_end() -> None:
    """Who has just connected as the marshal leaves gets to speak."""
    with closing(Front()) as front:
        client = Client(front.where)
        await until(lambda: front.clients.connections)
        (connection,) = front.clients.connections
        front.clients.leaving = True
        front.clients.settle(connection)
        client.sock.send(request(1))
        await until(lambda: front.door.seen or connection.closed)
        front.door.answer_all()
        assert (found := await client.all()) == b"$5\r\nfor 1\r\n", found


class Toy:
    """A node, stepped by the check: it sees what comes, and says what it is told to."""

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
    """Connections to one toy node, and how the shots on them ended."""

    def __init__(self, orders: dict[str, Any] | None = None, most: int = 8) -> None:
        self.toy, self.nodes = Toy(), Nodes(make_settings(orders or {}), most)
        self.ended = dict[str, tuple[Outcome, bytes | None]]()
        self.key = (0, self.toy.where, 1, None)

    def shoot(self, name: str) -> Attempt:
        def ended(ending: Outcome, value: memoryview | None, _: Any) -> None:
            assert name not in self.ended
            self.ended[name] = ending, None if value is None else bytes(value)

        return self.nodes.send(self.key, "toy", lambda: name.encode(), ended)

    async def served(self, name: str) -> tuple[socket.socket, back.Connection]:
        """A first shot, answered: its connection, at both ends."""
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


async def second_answer_late() -> None:
    """A node answers twice, 5 ms apart; the next shot must not have the second for its own."""
    with closing(Back()) as there:
        sock, connection = await there.served("first")
        for name in ("idle_since", "rests_until"):  # 5 ms pass
            setattr(connection, name, getattr(connection, name, 0.0) - 0.005)
        there.shoot("second")
        other = asyncio.ensure_future(there.toy.accepted())
        await until(lambda: other.done() or waiting(sock) == 1)
        sock.send(value(b"first"))
        await until(lambda: connection.closed or "second" in there.ended)
        if other.done():
            await there.toy.asked(other.result(), b"second")
            other.result().send(value(b"second"))
        await until(lambda: "second" in there.ended)
        assert there.ended["second"] == (Outcome.SUCCESS, b"second"), there.ended
        other.cancel()


async def second_answer_read() -> None:
    """The second answer has been read and its task has not gone on, as the next shot is sent."""
    with closing(Back()) as there:
        sock, connection = await there.served("first")
        connection.idle_since, connection.rests_until = connection.idle_since - 1.0, 0.0

        def act() -> None:
            assert waiting(connection.sock) == 0, "the order was not forced"
            there.shoot("second")

        await in_the_turn(lambda: sock.send(value(b"first")), act)
        await until(lambda: connection.closed)
        assert "second" not in there.ended, there.ended
        other = await there.toy.accepted()
        await there.toy.asked(other, b"second")
        other.send(value(b"second"))
        await until(lambda: "second" in there.ended)
        assert there.ended["second"] == (Outcome.SUCCESS, b"second"), there.ended


async def answer_in_time() -> None:
    """The rest of an answer is read in the turn in which its time runs out: none of it is lost."""
    with closing(Back({"connect_timeout": 0.1})) as there:
        there.shoot("first")
        sock = await there.toy.accepted()
        await there.toy.asked(sock, b"first")
        whole = value(b"first")
        sock.send(whole[:9])
        (pool,) = there.nodes.pools.values()
        (connection,) = pool.connections
        await until(lambda: connection.inbox.held)
        await in_the_turn(lambda: sock.send(whole[9:]), lambda: time.sleep(0.25))
        await until(lambda: "first" in there.ended)
        assert there.ended["first"] == (Outcome.SUCCESS, b"first"), there.ended


class Hooked:
    """The loop with steps of the check's own in some of its calls."""

    def __init__(self, **hooks: Callable[..., Any]) -> None:
        self.loop = asyncio.get_running_loop()
        vars(self).update(hooks)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


async def last_byte_written() -> None:
    """The loop has written the last byte; the connection breaks before its task goes on: it may have run."""
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


SETTINGS = {
    "me": 0, "marshals": 1, "most_shots": 4, "caps": [1.0], "counted_by": "all", "exposure_window": 2.0,
    "spare_shots": 2, "may_say_back_in": True, "may_withdraw": True, "may_tell": False, "customers": [],
    "fall_multiple": 3.0, "fall_window": 1.5, "start_capacity": 0.4, "warm_up": 5.0,
    "connect_timeout": 5.0, "vote_life": 6.0, "vote_timeout": 1.0,
    "workloads": [{
        "name": "sign", "repeats": RetrySafety.KEYED, "target_time": 4.0, "payoff": 1.0, "group": "all",
        "window": 0.5,
    }],
}  # fmt: skip


class Said:
    """Stands for a customer's reply: keeps its answers."""

    def __init__(self) -> None:
        self.held, self.said = None, list[str]()

    def rejected(self, back_in: float | None) -> None:
        self.said.append("rejected")

    def broken_off(self, why: str) -> None:
        self.said.append("broken off")

    def satisfied(self, value: memoryview) -> None:
        self.said.append("satisfied")


def met(settings: dict[str, Any], toys: list[Toy], clock: Callable[[], float]) -> Dispatcher:
    """An exchange whose list has these nodes."""
    register, entries = EndpointRegistry({}), list[Endpoint]()
    exchange = Dispatcher(settings, 1, clock, register, 1 << 20)  # type: ignore[arg-type]
    exchange.nodes = Nodes(settings, 8)
    for number, toy in enumerate(toys):
        node = register.node(f"toy-{number}")
        register.addresses[node] = toy.where
        entries.append(Endpoint(node, number, 0, 0, 0, 1, None, Condition.READY, 1.0))
    exchange.rolled(entries, True)
    return exchange


def asked(left: int) -> ClientRequest:
    words = [memoryview(each) for each in (b"Q.DO", b"k", b"i", b"c=sign,d=%d,k=ticket" % left, b"body")]
    return ClientRequest(words, {"sign": (0, RetrySafety.KEYED)}, {})


async def waited_too_long() -> None:
    """A ticketed invocation's next shot waits for a connection that comes up late: past the window in which
    nodes drop a repeat it must not be sent."""
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

    exchange.nodes.loop = Hooked(sock_connect=sock_connect)

    try:
        said = Said()
        exchange.invoked(asked(4000), said)
        accepting = [asyncio.ensure_future(toy.accepted()) for toy in toys]
        (done,), _ = await asyncio.wait(accepting, return_when=asyncio.FIRST_COMPLETED)
        sock = done.result()
        assert b"ticket" in await asyncio.wait_for(loop.sock_recv(sock, 4096), PATIENCE)
        sock.send(b"-ERR failed\r\n")
        await until(lambda: len(exchange.nodes.opening) == 1)
        skipped[0] = 0.6  # the window has passed; the time limit has not
        late.set()
        await until(lambda: said.said or (sum(each.done() for each in accepting) == 2 and not exchange.held))
        assert said.said == ["broken off"], said.said
        sent = [each.result() for each in accepting if each.done() and each is not done]
        assert all(waiting(each) != 1 for each in sent), "it was sent past the window"
    finally:
        for each in accepting:
            each.cancel()
        exchange.nodes.close()
        for toy in toys:
            toy.close()


async def gone_where_nothing_is_withdrawn() -> None:
    """Settings forbid to withdraw, the customer has gone, and the node never answers: its row and the
    connection to the node were kept for good. They go with the time limit, and not before."""
    toy = Toy()
    exchange = met(SETTINGS | {"may_withdraw": False}, [toy], time.time)
    loop = asyncio.get_running_loop()
    try:
        said = Said()
        exchange.invoked(asked(300), said)
        sock = await toy.accepted()
        await loop.sock_recv(sock, 4096)
        exchange.client_left(said)  # type: ignore[arg-type]
        assert exchange.held, "withdrawn though settings forbid it"
        assert await asyncio.wait_for(loop.sock_recv(sock, 4096), PATIENCE) == b""
        await until(lambda: not exchange.held)
        assert not said.said and not exchange.ids and not exchange.held_bytes
    finally:
        exchange.nodes.close()
        toy.close()


async def rested_too_early() -> None:
    """A shot waits for a connection that does not come up, and another one has answered. Its rest ends by a
    timer of the loop, whose clock stands within a turn, so that it came too early: nobody looked again."""
    there = Back({"connect_timeout": PATIENCE})
    loop = asyncio.get_running_loop()

    async def sock_connect(sock: socket.socket, where: tuple[str, int]) -> None:
        await asyncio.Event().wait()

    def call_later(delay: float, act: Callable[..., None], *words: Any) -> asyncio.TimerHandle:
        return loop.call_later(max(0.0, delay - back.REST / 2), act, *words)

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


async def ends_as_it_answers(end: Callable[[Dispatcher, Any], None]) -> None:
    """An answer has been read, and its task has not gone on, as the invocation's time limit or the end of its
    connection comes: one final answer, nothing left in hand, and the answer goes to nobody else."""
    toy, skipped, said = Toy(), [0.0], Said()
    exchange = met(SETTINGS, [toy], lambda: time.time() + skipped[0])
    try:
        exchange.invoked(asked(4000), said)
        sock = await toy.accepted()
        await exchange.loop.sock_recv(sock, 4096)
        (held,) = exchange.held.values()
        (pool,) = exchange.nodes.pools.values()
        (connection,) = pool.connections

        def act() -> None:
            assert connection.reading.done and not said.said, "the order was not forced"
            skipped[0] = 4.0
            end(exchange, held)

        await in_the_turn(lambda: sock.send(value(b"v")), act)
        await until(lambda: not exchange.held)
        assert len(said.said) == 1 and said.said != ["satisfied"], said.said
        assert exchange.nodes.open == 0 and not exchange.ids and not exchange.held_bytes
    finally:
        exchange.nodes.close()
        toy.close()


async def fails_after_its_acts() -> None:
    """The marshal fails in an event after it has asked for a shot: the customer has its one final answer, and
    nothing is sent behind it."""
    toy = Toy()
    exchange = met(SETTINGS, [toy], time.time)
    invoked = exchange.marshal.on_request

    def fails(invocation: Any) -> None:
        invoked(invocation)
        assert any(isinstance(act, StartAttempt) for act in exchange.marshal.actions), (
            "the order was not forced"
        )
        raise RuntimeError("told to")

    try:
        exchange.marshal.on_request = fails  # type: ignore[method-assign]
        said = Said()
        exchange.invoked(asked(4000), said)
        assert said.said == ["broken off"] and not exchange.held and not exchange.ids
        await asyncio.sleep(0.02)
        assert waits_nobody(toy.listener) and not exchange.nodes.open
    finally:
        exchange.nodes.close()
        toy.close()


async def reset_under_two_answers() -> None:
    """A client has reset its connection with two requests in hand, and both are answered in one turn: the
    first shows the reset, the second comes before the close that follows from it."""
    with closing(Front()) as front:
        client, connection = await front.client()
        client.sock.send(request(1) + request(2))
        await until(lambda: len(front.door.open) == 2)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        first, second = front.door.open

        def act() -> None:
            front.door.open.clear()
            first.satisfied(memoryview(b"one"))
            assert not connection.closed, "the order was not forced"
            second.satisfied(memoryview(b"two"))

        await in_the_turn(client.sock.close, act)
        await until(lambda: connection.closed)
        assert not front.clients.connections and not front.clients.owed


async def probe_before_a_shot() -> None:
    """Descriptors are short, and a shot is written behind a probe that is out, whose patience then ends: the
    late answer to the probe is not taken for the shot's."""
    for late in (False, True):
        there = Back({"shots_per_connection": 4}, most=1)
        try:
            found = list[Outcome]()
            note = partial(lambda found, ending, *_: found.append(ending), found)
            there.nodes.probe(there.key, "toy", PATIENCE, note)
            sock = await there.toy.accepted()
            await there.toy.asked(sock, PING)
            ((_, pool),) = there.nodes.pools.items()
            (connection,) = pool.connections
            probe = connection.attempts[0]
            there.shoot("first")
            await there.toy.asked(sock, b"first")
            if late:
                probe.give_up(Outcome.TIMED_OUT)
            sock.send(b"+PONG\r\n")
            await until(lambda found=found: found)
            assert not there.ended
            sock.send(value(b"first"))
            await until(lambda there=there: there.ended)
            assert there.ended["first"] == (Outcome.SUCCESS, b"first"), there.ended
            assert found == [Outcome.TIMED_OUT if late else Outcome.SUCCESS]
        finally:
            there.close()


async def trickles() -> None:
    """A node that sends a byte now and then, always soon enough to be no answer that stopped: the customer
    has its one final answer at its time limit, and the connection goes then."""
    toy = Toy()
    exchange = met(SETTINGS | {"connect_timeout": 1.0}, [toy], time.time)
    loop = asyncio.get_running_loop()
    try:
        said = Said()
        exchange.invoked(asked(400), said)
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
        assert not exchange.held and not exchange.nodes.open
    finally:
        exchange.nodes.close()
        toy.close()


async def gone_amid_an_answer(shut: bool) -> None:
    """A client ends its sending while a large answer to it is half out: it has the whole of it, once it reads
    on, and what else it asked is dropped at once. One that closed for good costs nothing more."""
    with closing(Front()) as front:
        front.tend()
        client, connection = await front.client()
        client.sock.send(request(1) + request(2) + request(3))
        await until(lambda: len(front.door.open) == 3)
        first, value = next(iter(front.door.open)), b"x" * (16 << 20)
        del front.door.open[first]
        first.satisfied(memoryview(value))
        await until(lambda: connection.writer)
        assert connection.rest, "the order was not forced"
        started = front.clients.loop.time()
        if shut:
            client.sock.shutdown(socket.SHUT_WR)
        else:
            client.sock.close()
        await until(lambda: not front.door.open)
        assert front.clients.loop.time() - started < 0.3 and front.door.left == [2, 3], front.door.left
        if shut:
            wanted = b"$%d\r\n%b\r\n" % (len(value), value) + 2 * b"-ERR its connection ended\r\n"
            assert (found := await client.all()) == wanted, (len(found), len(wanted))
        await until(lambda: connection.closed)
        assert not front.clients.owed


async def untaken_answer(close: Callable[[Clients, Connection], Any]) -> None:
    """An answer is out of this process and not yet with its client, which is slow to read and has a next
    request ready. Whoever closes what looks idle meets that request: the kernel then throws away what it
    still had to send. The answer is whole, whatever becomes of the request behind it."""
    with closing(Front()) as front:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(front.where)
        client = Client(front.where)
        client.sock.close()
        client.sock = sock
        sock.setblocking(False)
        await until(lambda: len(front.clients.connections) == 1)
        (connection,) = front.clients.connections
        sock.send(request(1))
        await until(lambda: front.door.open)
        ((reply, _),) = front.door.open.items()
        front.door.open.clear()
        value = b"x" * 60_000
        reply.satisfied(memoryview(value))
        assert connection.idle and not connection.writer, "the order was not forced"
        close(front.clients, connection)
        with suppress(ConnectionError):
            sock.send(request(2))
        wanted, found = b"$60000\r\n%b\r\n" % value, b""
        with suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE):
                while len(found) < len(wanted) and (part := await client.loop.sock_recv(sock, 4096)):
                    found += part
                    front.door.answer_all()
        assert found.startswith(wanted), (len(found), len(wanted))


async def sent_again_by_its_client() -> None:
    """A close of ours crosses a request: its client sends the same once more on a new connection. The first
    copy, which was never taken, must not stand in its way."""
    with closing(Front()) as front:
        client, connection = await front.client()
        connection.close()
        client.sock.send(request(1))
        other, _ = await front.client()
        other.sock.send(request(1))
        await until(lambda: front.door.seen)
        front.door.answer_all()
        await other.reads(b"$5\r\nfor 1\r\n")
        assert front.door.seen == [1]


async def half_written_behind_another() -> None:
    """Descriptors are short, so a second shot is written behind the first, half of it, and then withdrawn:
    its rest must not go out behind its final answer, though the first is out on the same connection."""
    there = Back({"shots_per_connection": 2}, most=1)
    loop = asyncio.get_running_loop()
    try:
        there.shoot("first")
        sock = await there.toy.accepted()
        await there.toy.asked(sock, b"first")
        second = there.shoot("x" * (8 << 20))
        writing = second.connection and second.connection.writer
        assert writing and not second.written, "the order was not forced"
        second.give_up(Outcome.CANCELLED)
        got = 0
        with suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE):
                while part := await loop.sock_recv(sock, 1 << 20):
                    got += len(part)
        assert got < 8 << 20, "it was sent on to its last byte"
        await until(lambda: "first" in there.ended)
        assert there.ended["first"] == (Outcome.CONNECTION_LOST, None), there.ended["first"]
    finally:
        there.close()


async def breaks_off_anywhere() -> None:
    """An answer that breaks off behind each of its bytes, by an end or by a reset, is never a whole one."""
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


class Told:
    """Stands for the exchange where a list and news are followed: keeps what it is told."""

    def __init__(self) -> None:
        self.orders, self.rolls, self.news = dict[str, Any](), list[list[Condition]](), list[ReleaseStatus]()
        register = EndpointRegistry({})
        self.desk = ReleaseService(None, register, 1.0, time.time, self.news.append, print, {})
        self.following = ControlPlaneWatches(self, register, self.desk)  # type: ignore[arg-type]

    def rolled(self, entries: list[Endpoint], whole: bool) -> None:
        self.rolls.append([each.condition for each in entries])

    def roll_failed(self) -> None: ...
    def count(self, what: str) -> None: ...

    def move(self, roll: tuple[str, int] | None = None, desk: tuple[str, int] | None = None) -> None:
        self.following.move(SimpleNamespace(roll=roll, desk=desk, seed=1))  # type: ignore[arg-type]


def listed(state: str, version: int) -> bytes:
    node = {"instanceId": "a", "hostPort": "127.0.0.1:1", "lifecycle": state, "version_no": 1}
    body = json.dumps({"generation": version, "reset": True, "instances": [node]}, indent=1)
    return page("200 OK", "application/json", body.encode())


def rollout(progress: str, ring: int, lag: int = 0) -> bytes:
    cap = 0.0 if progress == "ROLLING_BACK" else 0.2
    text = f"event: ROLLOUT\ndata: image=42&ring={ring}&progress={progress}&ceiling={cap}&lag_ms={lag}\n\n"
    return b"%x\r\n%b\r\n" % (len(text), text.encode())


STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


async def list_written_as_it_moves() -> None:
    """A drain has been read from the kernel, and SIGHUP's new addresses come before its task goes on: it
    counts as told. What was followed goes on until the new one has answered, and no longer."""
    old, new, told = Toy(), Toy(), Told()
    loop = asyncio.get_running_loop()
    try:
        told.move(roll=old.where)
        sock = await old.accepted()
        await loop.sock_recv(sock, 4096)
        sock.send(listed("SERVING", 3))
        await until(lambda: told.rolls)
        await loop.sock_recv(sock, 4096)
        await in_the_turn(lambda: sock.send(listed("DRAINING", 4)), lambda: told.move(roll=new.where))
        other = await new.accepted()  # and says nothing yet
        await until(lambda: len(told.rolls) == 2)
        assert told.rolls[1] == [Condition.DRAINING]
        await loop.sock_recv(sock, 4096)  # the watch goes on
        sock.send(listed("SERVING", 5))
        await until(lambda: len(told.rolls) == 3)
        await loop.sock_recv(other, 4096)
        other.send(listed("DRAINING", 1))
        await until(lambda: len(told.rolls) == 4)
        async with asyncio.timeout(PATIENCE):
            while await loop.sock_recv(sock, 4096):
                pass
        assert told.rolls[3] == [Condition.DRAINING]
    finally:
        told.following.close()
        old.close()
        new.close()


async def news_written_as_it_moves() -> None:
    """The same for the desk's stream: a build that goes back."""
    old, new, told = Toy(), Toy(), Told()
    loop = asyncio.get_running_loop()
    try:
        told.move(desk=old.where)
        sock = await old.accepted()
        await loop.sock_recv(sock, 4096)
        sock.send(STREAM + rollout("IN_PROGRESS", 0))
        await until(lambda: told.news)
        back = rollout("ROLLING_BACK", 0)
        await in_the_turn(lambda: sock.send(back), lambda: told.move(desk=new.where))
        other = await new.accepted()
        await until(lambda: len(told.news) == 2)
        assert told.news[1].phase is Phase.ROLLING_BACK
        await loop.sock_recv(other, 4096)
        other.send(STREAM + back)
        await until(lambda: len(told.news) == 3)
        assert await asyncio.wait_for(loop.sock_recv(sock, 4096), PATIENCE) == b""
        # One that ends before the next has told anything is not asked again: it takes no connection now.
        last = Toy()
        told.move(desk=last.where)
        (await last.accepted())  # silent
        other.close()
        await asyncio.sleep(10 * PAUSE)
        assert waits_nobody(new.listener) and waits_nobody(old.listener)
        last.close()
    finally:
        told.following.close()
        old.close()
        new.close()


def waits_nobody(listener: socket.socket) -> bool:
    try:
        listener.accept()
    except BlockingIOError:
        return True
    return False


async def news_overtaken() -> None:
    """The answer to a vote was written before a build went back and comes long after: it raises no cap again,
    though by its age, counted as it was written, it looks the younger."""
    told = Told()
    desk, back = Toy(), rollout("ROLLING_BACK", 1, 400)
    loop = asyncio.get_running_loop()
    try:
        told.move(desk=desk.where)
        stream = await desk.accepted()
        await loop.sock_recv(stream, 4096)
        stream.send(STREAM + rollout("IN_PROGRESS", 1, 100))
        await until(lambda: told.news)
        told.desk.vote(CastVote(42, 1, Verdict.PROMOTE))
        asked = await desk.accepted()
        await loop.sock_recv(asked, 4096)
        stream.send(back)
        await until(lambda: len(told.news) == 2)
        state = "<image>42</image><ring>1</ring><progress>IN_PROGRESS</progress><ceiling>0.2</ceiling>"
        text = f"<Response><groups><item>{state}<lag_ms>150</lag_ms></item></groups></Response>"
        asked.send(page("200 OK", "application/xml", text.encode()))
        await until(lambda: len(told.news) == 3)
        assert (told.news[2].phase, told.news[2].cap) == (Phase.ROLLING_BACK, 0.0), told.news[2]
        assert told.news[2].is_vote_reply
    finally:
        told.following.close()
        told.desk.close()
        desk.close()


async def silent_watch() -> None:
    """A watch falls silent, also amid an answer: it is begun anew within the 6 s after which what it misses
    counts as told, and by another connection."""
    for sent in (b"", listed("DRAINING", 9)[:-20]):
        there, told = Toy(), Told()
        loop = asyncio.get_running_loop()
        try:
            told.move(roll=there.where)
            sock = await there.accepted()
            await loop.sock_recv(sock, 4096)
            sock.send(listed("SERVING", 3))
            await until(lambda told=told: told.rolls)
            await loop.sock_recv(sock, 4096)
            sock.send(sent)
            started = loop.time()
            other = await there.accepted()
            await loop.sock_recv(other, 4096)
            other.send(listed("DRAINING", 10))
            await until(lambda told=told: len(told.rolls) == 2)
            assert told.rolls[1] == [Condition.DRAINING] and loop.time() - started < 4.0
        finally:
            told.following.close()
            there.close()


HOOK = """
import os, signal, sys

class Hook:
    def find_spec(self, name, path=None, target=None):
        if name == {name!r}:
            os.kill(os.getpid(), signal.{signal})

sys.meta_path.insert(0, Hook())
"""


async def signalled_at_start(name: str, number: str) -> None:
    """The signal comes as the starting process imports this module. SIGHUP waits until it can be heeded;
    SIGTERM ends what has taken nothing yet."""
    stand = Stand()
    process = None
    try:
        await stand.world.start()
        await stand.world.add("a", 41)
        (Path(stand.folder.name) / "sitecustomize.py").write_text(HOOK.format(name=name, signal=number))
        command = (sys.executable, "-m", "gatebank", "serve", str(stand.configuration(0, 1)))
        environment = dict(os.environ) | {"PYTHONPATH": stand.folder.name}
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stderr=asyncio.subprocess.PIPE, env=environment
        )
        marshal = InstanceProcess(stand.address(0), process)
        if number == "SIGHUP":
            await marshal.says("event=ready")
            await marshal.says("event=reloaded")
            process.send_signal(signal.SIGTERM)
        found = await asyncio.wait_for(process.wait(), PATIENCE)
        await marshal.reader
        assert found == (0 if number == "SIGHUP" else -signal.SIGTERM), (found, marshal.lines)
    finally:
        if process and process.returncode is None:
            process.kill()
        await stand.world.stop()
        stand.folder.cleanup()


async def flooded() -> None:
    """Floods of connections, commands, datagrams, list changes and news, one after the other, from those that
    take no answer where there is one: memory and descriptors stay within bounds, and an ordinary customer's
    next request is served each time."""
    stand = Stand()
    bound, room = 96, 12  # descriptors; MB that a flood may leave behind it: first buffers, the allocator
    try:
        await stand.world.start()
        await stand.do_limits(0, f"sockets={bound}", "memory_mb=64")
        await stand.do_nodes(0, "a:41", "b:41")
        await stand.do_marshals(0, "1")
        (marshal,) = stand.marshals
        about, others = Path(f"/proc/{marshal.process.pid}"), list[asyncio.StreamWriter]()

        def memory() -> float:
            return int((about / "statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

        async def connections() -> None:
            for _ in range(300):
                others.append((await asyncio.open_connection(marshal.address, 6379))[1])

        async def commands() -> None:
            _, writer = await asyncio.open_connection(marshal.address, 6379)
            others.append(writer)
            writer.write(packed(b"NOPE") * 20_000)
            for part in (b"*1\r\n$4\r\n", b"\0" * 100_000, b"*3\r\n$2\r\nab\r\n$65000\r\n" + b"y" * 60_000):
                for _ in range(8):
                    _, writer = await asyncio.open_connection(marshal.address, 6379)
                    others.append(writer)
                    writer.write(part)

        async def datagrams() -> None:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for number in range(20_000):
                    sender.sendto(os.urandom(number % 300), (marshal.address, 7946))

        async def lists() -> None:
            for number in range(1500):
                stand.world.list_anew("b", ("SERVING", "DRAINING")[number % 2])
                await asyncio.sleep(0)
            await stand.do_told(0)

        async def news() -> None:
            for number in range(2000):
                stand.world.say(f"event: ROLLOUT\ndata: image=41&ring=2&progress=COMPLETE&n={number}\n\n")
                stand.world.say("event: DISPUTE\ndata: host=nobody&type=read&lag_ms=1\n\n")
                await asyncio.sleep(0)

        await stand.do_burst(0, "50", "read", "value")
        before = memory()
        for flood in (connections, commands, datagrams, lists, news):
            await asyncio.wait_for(flood(), PATIENCE)
            await stand.do_ask(0, "read", "2000", "value")
            for writer in others:
                writer.transport.abort()
            others.clear()
            assert memory() < before + room, (flood.__name__, before, memory())
            assert len(list((about / "fd").iterdir())) <= bound, flood.__name__
        assert not any("event=fault" in line for line in marshal.lines), marshal.lines
        assert marshal.process.returncode is None
    finally:
        for marshal in stand.marshals:
            marshal.process.kill()
        await stand.world.stop()
        stand.folder.cleanup()


def started() -> list[tuple[str, Any]]:
    """Those that start the program."""
    places = ("typer", "uvloop", "gatebank.proxy.service")
    signals = [
        (f"races: {number} at the import of {name}", signalled_at_start(name, number))
        for name in places
        for number in ("SIGHUP", "SIGTERM")
    ]
    return [*signals, ("races: floods", flooded())]


def checks() -> list[tuple[str, Callable[[], None]]]:
    found: list[tuple[str, Callable[[], Awaitable[None]]]] = [
        ("read, not gone on: leaving", lambda: read_but_not_gone_on(settles)),
        ("read, not gone on: making room", lambda: read_but_not_gone_on(makes_room)),
        ("read, not gone on: thinning", lambda: read_but_not_gone_on(thins)),
        ("read, not gone on: idle for long", lambda: read_but_not_gone_on(idles_out)),
        ("read, not gone on: half a command", lambda: read_but_not_gone_on(stops_half_way, request(1)[:9])),
        ("behind an answer at once", behind_an_answer_at_once),
        ("behind a full pipeline", behind_a_full_pipeline),
        (
            "gone behind a full pipeline",
            lambda: gone(b"".join(request(each) for each in range(net.IN_HAND + 6)), net.IN_HAND),
        ),
        (
            "gone behind a senseless command",
            lambda: gone(request(1) + 4 * packed(b"NOPE") + request(2), 1),
        ),
        ("half-closed", half_closed),
        ("accepted, not gone on", accepted_but_not_gone_on),
        ("nobody listens after it", nobody_listens_after_it),
        ("never idle", never_idle),
        ("a second answer late", second_answer_late),
        ("a second answer read, not gone on", second_answer_read),
        ("the rest of an answer as its time runs out", answer_in_time),
        ("the last byte written, not gone on", last_byte_written),
        ("a ticket's window passes before the connection is up", waited_too_long),
        ("fresh at the end", fresh_at_the_end),
        ("gone where nothing is withdrawn", gone_where_nothing_is_withdrawn),
        ("rested too early", rested_too_early),
        ("a node that trickles", trickles),
        ("time is up as it answers", lambda: ends_as_it_answers(Dispatcher.time_is_up)),
        ("its end is due as it answers", lambda: ends_as_it_answers(lambda e, h: e.give_up(h.reply))),
        ("the marshal fails after its acts", fails_after_its_acts),
        ("reset under two answers", reset_under_two_answers),
        ("a shot behind a probe", probe_before_a_shot),
        ("half-closed amid an answer", lambda: gone_amid_an_answer(True)),
        ("closed amid an answer", lambda: gone_amid_an_answer(False)),
        ("an answer not taken: leaving", lambda: untaken_answer(settles)),
        ("an answer not taken: making room", lambda: untaken_answer(makes_room)),
        ("an answer not taken: thinning", lambda: untaken_answer(thins)),
        ("an answer not taken: idle for long", lambda: untaken_answer(idles_out_crowded)),
        ("sent again by its client", sent_again_by_its_client),
        ("half written behind another", half_written_behind_another),
        ("an answer that breaks off anywhere", breaks_off_anywhere),
        ("a list written as discovery moves", list_written_as_it_moves),
        ("news written as the desk moves", news_written_as_it_moves),
        ("news overtaken", news_overtaken),
        ("a silent watch", silent_watch),
    ]
    return [(f"races: {title}", lambda check=check: uvloop.run(check())) for title, check in found]


def main() -> None:
    for title, check in checks():
        try:
            check()
            print("ok    ", title)
        except Exception as trouble:
            print("FAILED", title, repr(trouble)[:200])
    for title, check in started():
        try:
            asyncio.run(check)
            print("ok    ", title)
        except Exception as trouble:
            print("FAILED", title, repr(trouble)[:200])


if __name__ == "__main__":
    main()
