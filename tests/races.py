"""Rare moments on real connections: each check forces one bad order of events, the same every time.

The loop is uvloop, as in service. `in_the_turn` runs an act in the turn of the loop in which the bytes just
sent have been read from the kernel, before any task goes on: epoll reports sockets in the order they became
ready, so a socket of the check's own, written last, has its callback run then. docs/races.md lists the places.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop

from gatebank.interface import Repeats
from gatebank.net import customers as net
from gatebank.net.customers import Asked, Customers, Line, Slot
from gatebank.net.launch import Bounds
from gatebank.net.sockets import waiting
from gatebank.standins.wire import packed

PATIENCE = 10.0  # s for anything awaited; only a failing check takes so long
PING = packed(b"PING")
KINDS = [{"name": "read", "repeats": Repeats.RERUNNABLE, "time_limit": 1.0}]


def request(number: int, left: int = 900) -> bytes:
    return packed(b"Q.ASK", b"key", b"%d" % number, b"c=read,d=%d" % left)


class Door:
    """Stands for the exchange: keeps what is asked until the check answers it."""

    def __init__(self) -> None:
        self.open, self.seen, self.left = dict[Slot, Asked](), list[int](), list[int]()

    def invoked(self, asked: Asked, slot: Slot) -> None:
        self.open[slot] = asked
        self.seen.append(int(asked.id))

    def customer_left(self, slot: Slot) -> None:
        if asked := self.open.pop(slot, None):
            self.left.append(int(asked.id))

    def give_up(self, slot: Slot) -> None:
        if self.open.pop(slot, None):
            slot.broken_off("given up")

    def answer_all(self) -> None:
        """As nodes answer, the last of a connection first: the others wait, and then all go out at once."""
        for slot in reversed(list(self.open)):
            asked = self.open.pop(slot)
            slot.satisfied(memoryview(b"for %d" % int(asked.id)))


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
        self.door = Door()
        orders = {"workloads": KINDS, "customers": []}
        self.customers = Customers(orders, self.door, most, Bounds.within(64))
        self.customers.listen(("127.0.0.1", 0))
        assert self.customers.listener
        self.where = self.customers.listener.getsockname()
        self.tasks = [asyncio.ensure_future(self.customers.accept())]

    async def client(self) -> tuple[Client, Line]:
        """One that has spoken and is idle."""
        known = set(self.customers.lines)
        client = Client(self.where)
        client.sock.send(PING)
        await client.reads(b"+PONG\r\n")
        (line,) = set(self.customers.lines) - known
        return client, line

    def tend(self) -> None:
        self.tasks.append(asyncio.ensure_future(self.customers.tend()))

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.customers.close()


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


async def read_but_not_gone_on(close: Callable[[Customers, Line], Any], prepare: bytes = b"") -> None:
    """A request that has been read, whose task has not gone on: whoever closes what looks idle must not."""
    front = Front()
    try:
        client, line = await front.client()
        last, others = request(1), list[Client]()
        if prepare:  # a part of the command is in the buffer already
            last = last[len(prepare) :]
            client.sock.send(prepare)
            await until(lambda: line.begun)

        def act() -> None:
            assert waiting(line.sock) == 0 and not front.door.seen, "the order was not forced"
            close(front.customers, line)

        await in_the_turn(lambda: client.sock.send(last), act)
        await until(lambda: front.door.seen or line.closed or line.ending)
        assert front.door.seen == [1], "a request that had been read was lost"
        front.door.answer_all()
        await client.reads(b"$5\r\nfor 1\r\n")
        for each in (client, *others):
            each.sock.close()
    finally:
        front.close()


def settles(customers: Customers, line: Line) -> None:
    customers.leaving = True
    customers.settle(line)


def makes_room(customers: Customers, line: Line) -> None:
    customers.spare(None)


def thins(customers: Customers, line: Line) -> None:
    customers.most = 0
    customers.thin()


def idles_out(customers: Customers, line: Line) -> None:
    line.look(line.since + net.IDLE + 1.0, False)


def stops_half_way(customers: Customers, line: Line) -> None:
    line.look(line.came + net.WHOLE + 1.0, False)


async def behind_an_answer_at_once() -> None:
    """SIGTERM: PING and a request come in one read. With the PONG the connection looked idle and was closed
    amid its own reading; the request behind was taken on a closed connection, whose row then never went."""
    front = Front()
    try:
        client, line = await front.client()
        front.customers.leaving = True
        client.sock.send(PING + request(1) + PING)
        await until(lambda: front.door.seen)
        front.door.answer_all()
        assert (found := await client.all()) == b"+PONG\r\n$5\r\nfor 1\r\n+PONG\r\n", found
        await until(lambda: not front.customers.lines or front.customers.settle(line))
    finally:
        front.close()


async def behind_a_full_pipeline() -> None:
    """All that is read ahead is answered in one go while the marshal leaves; the rest is in the buffer."""
    front = Front()
    try:
        client, line = await front.client()
        many = net.IN_HAND + 6
        front.customers.leaving = True
        client.sock.send(b"".join(request(each) for each in range(many)))
        await until(lambda: len(front.door.open) == net.IN_HAND)
        front.door.answer_all()
        await until(lambda: len(front.door.seen) == many or line.closed)
        front.door.answer_all()
        wanted = b"".join(b"$%d\r\nfor %d\r\n" % (len(f"for {each}"), each) for each in range(many))
        await client.reads(wanted)
    finally:
        front.close()


async def gone(sent: bytes, at_least: int) -> None:
    """A client closes while nothing of it is read: what it still had waiting is dropped within 0.3 s."""
    front = Front()
    try:
        front.tend()
        client, line = await front.client()
        client.sock.send(sent)
        await until(lambda: len(front.door.open) >= at_least)
        client.sock.close()
        started = front.customers.loop.time()
        await until(lambda: line.closed)
        took = front.customers.loop.time() - started
        assert took < 0.3 and not front.door.open, took
        assert len(front.door.left) == at_least, front.door.left
    finally:
        front.close()


async def half_closed() -> None:
    """A client that ends its sending and reads on has one whole final answer to each, in their order."""
    front = Front()
    try:
        client, _ = await front.client()
        client.sock.send(request(1) + request(2))
        await until(lambda: len(front.door.open) == 2)
        client.sock.shutdown(socket.SHUT_WR)
        assert (found := await client.all()) == 2 * b"-ERR its connection ended\r\n", found
        assert front.door.left == [1, 2]
    finally:
        front.close()


async def accepted_but_not_gone_on() -> None:
    """The listener closes in the turn in which a connection was accepted, before its task went on; another
    waits in the backlog. Both are served, and nobody listens any more, though the loop waited to accept."""
    front = Front()
    try:
        await asyncio.sleep(0)
        clients = list[Client]()
        ends = list[asyncio.Future[None]]()

        def connect() -> None:
            clients.extend((Client(front.where), Client(front.where)))

        await in_the_turn(connect, lambda: ends.append(asyncio.ensure_future(front.customers.shut())))
        await ends[0]
        for each in clients:
            each.sock.send(PING)
            await each.reads(b"+PONG\r\n")
        assert refused(front.where), "somebody listens still"
    finally:
        front.close()


async def nobody_listens_after_it() -> None:
    """The loop held the listener open for as long as the task waited in it, until one more had come: that one
    was taken after the end, and those behind it were reset."""
    front = Front()
    try:
        client, _ = await front.client()
        client.sock.send(request(1))
        await until(lambda: front.door.open)
        net.NOTICED, noticed = 0.0, net.NOTICED
        front.tasks.append(asyncio.ensure_future(front.customers.leave()))
        await until(lambda: front.customers.leaving)
        net.NOTICED = noticed
        assert refused(front.where), "the machine accepts what nobody will take"
        front.door.answer_all()
        await client.reads(b"$5\r\nfor 1\r\n")
    finally:
        front.close()


def refused(where: tuple[str, int]) -> bool:
    try:
        socket.create_connection(where, 1.0).close()
    except ConnectionRefusedError:
        return True
    return False


async def never_idle() -> None:
    """A client that never stops sending: what could meet SIGKILL is refused at once, what can be answered is.
    Then nothing more is read, and the connection ends behind the answers, though bytes wait in the kernel."""
    front = Front()
    try:
        front.tend()
        client, line = await front.client()
        customers = front.customers
        customers.told_at, customers.leaving = customers.loop.time() - net.LAST_CALL - 0.5, True
        client.sock.send(request(1, 100) + request(2, 900))
        await until(lambda: len(line.slots) == 2)
        assert front.door.seen == [1], front.door.seen
        customers.told_at -= 1.0
        wanted = b"$5\r\nfor 1\r\n-BUSY\r\n"
        await in_the_turn(lambda: None, lambda: (client.sock.send(request(3)), front.door.answer_all()))
        assert (found := await client.all()) in (wanted, wanted + b"-BUSY\r\n"), found
        await until(lambda: not customers.lines)
        assert front.door.seen == [1]
    finally:
        front.close()


async def fresh_at_the_end() -> None:
    """Who has just connected as the marshal leaves gets to speak."""
    front = Front()
    try:
        client = Client(front.where)
        await until(lambda: front.customers.lines)
        (line,) = front.customers.lines
        front.customers.leaving = True
        front.customers.settle(line)
        client.sock.send(request(1))
        await until(lambda: front.door.seen or line.closed)
        front.door.answer_all()
        assert (found := await client.all()) == b"$5\r\nfor 1\r\n", found
    finally:
        front.close()


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
        ("fresh at the end", fresh_at_the_end),
    ]
    return [(f"races: {title}", lambda check=check: uvloop.run(check())) for title, check in found]


def main() -> None:
    for title, check in checks():
        try:
            check()
            print("ok    ", title)
        except Exception as trouble:
            print("FAILED", title, repr(trouble)[:200])


if __name__ == "__main__":
    main()
