"""The server side: customers' connections, their commands and the order of their answers.

Customers owns the listener and a row a connection; a Line owns its socket, buffer and tasks, and gives them
back in `close`, the one place. What is asked goes to the exchange with a Slot, which takes the answer.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Mapping, Sequence
from contextlib import suppress
from hashlib import blake2b
from typing import Any, Protocol

from gatebank.net import resp
from gatebank.net.launch import Address
from gatebank.net.log import say
from gatebank.net.sockets import give_back, opened, waiting

IN_HAND = 64  # commands of a connection before it is read on
OWED = 24 * 1024 * 1024  # bytes of answers not taken, of all together: an eighth of 192 MB
LINGER = 1.0  # s a customer that sent no command may go on sending
STALL = 10.0  # s without taking a byte of an answer
BACKLOG = 1024
NOTICED = 0.45  # s after SIGTERM: until 0.4 s new connections go on coming (PROTOCOL)


class Senseless(Exception):
    """A command that can't be carried out; the text says why."""


class Asked:
    """An invocation as a customer wrote it, copied: it outlives the buffer, as it may need several shots."""

    __slots__ = ("cost_guess", "customer", "key", "left", "parts", "repeated", "size", "workload")

    def __init__(
        self, words: Sequence[memoryview], workloads: Mapping[str, int], customers: Mapping[str, int]
    ) -> None:
        if len(words) < 4:
            raise Senseless("a command needs a key, an id and names and values")
        told = bytes(words[3]).decode("utf-8", "surrogateescape").split(",")  # unknown names pass unchanged
        pairs = [each.partition("=")[::2] for each in told]
        names = dict(reversed(pairs))
        if names.get("c") not in workloads:
            raise Senseless("no such workload")
        if customers and names.get("t") not in customers:
            raise Senseless("no such customer")
        self.workload, self.customer = workloads[names["c"]], customers.get(names.get("t", ""), 0)
        left, guess = number(names.get("d")), number(names.get("h"))
        if not left:
            raise Senseless("d is no time")
        self.left, self.cost_guess = left / 1e3, guess / 1e6 if guess else None  # ms and us
        self.repeated = names.get("r") == "1"
        subject = bytes(words[1])
        self.key = int.from_bytes(blake2b(subject, digest_size=6).digest(), "big") if subject else None
        at = next(i for i, (name, _) in enumerate(pairs) if name == "d")
        before, after = ",".join([*told[:at], "d="]), ",".join(["", *told[at + 1 :]])
        self.parts = (  # all but the figure of d, which is the marshal's
            b"*%d\r\n" % len(words) + resp.bulks(words[:3]),
            before.encode("utf-8", "surrogateescape"),
            after.encode("utf-8", "surrogateescape"),
            resp.bulks(words[4:]),
        )
        self.size = sum(map(len, self.parts))

    def command(self, left: float) -> bytes:
        """As it goes to a node that has ``left`` seconds for it.

        >>> words = (b"Q.ASK", b"k", b"id", b"z=\\xff,d=480,c=read,d=1", b"body")
        >>> Asked([memoryview(word) for word in words], {"read": 0}, {}).command(0.25)[30:]
        b'$20\\r\\nz=\\xff,d=250,c=read,d=1\\r\\n$4\\r\\nbody\\r\\n'
        """
        head, before, after, body = self.parts
        names = b"%b%d%b" % (before, max(1, int(left * 1000)), after)
        return b"".join((head, *resp.bulk(names), body))


def number(text: str | None) -> float | None:
    """
    >>> number("480"), number("0"), number("nan"), number(None)
    (480.0, None, None, None)
    """
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value if 0 < value < 1e9 else None


class Door(Protocol):
    """What the exchange offers to customers."""

    def invoked(self, asked: Asked, slot: Slot) -> None: ...
    def customer_left(self, slot: Slot) -> None: ...


class Slot:
    """The place of one answer among those of its connection."""

    __slots__ = ("held", "line", "parts")

    def __init__(self, line: Line) -> None:
        self.line, self.held = line, None  # held: the exchange's own
        self.parts: Sequence[bytes | memoryview] | None = None

    def satisfied(self, value: memoryview) -> None:
        self.answer(resp.bulk(value))

    def rejected(self, back_in: float | None) -> None:
        self.answer([b"-BUSY %d\r\n" % (back_in * 1000) if back_in else b"-BUSY\r\n"])

    def broken_off(self, why: str) -> None:
        self.answer([f"-ERR {why}\r\n".encode()])

    def answer(self, parts: Sequence[bytes | memoryview]) -> None:
        first = bool(self.line.slots) and self.line.slots[0] is self
        self.parts = parts if first else [bytes(part) for part in parts]  # it waits, and its buffer does not
        if first:
            self.line.flush()


class Line:
    """A customer's connection."""

    def __init__(self, owner: Customers, sock: socket.socket) -> None:
        self.owner, self.sock = owner, sock
        self.slots: deque[Slot] = deque()  # in the order of the commands; emptied by answers, or by `close`
        self.rest = b""  # of answers, not yet taken
        self.closed = False
        self.free = asyncio.Event()
        self.reader = asyncio.ensure_future(self.read())
        self.writer: asyncio.Task[None] | None = None

    @property
    def idle(self) -> bool:
        return not self.slots and not self.rest

    async def read(self) -> None:
        inbox = resp.Inbox()
        try:
            while True:
                if len(self.slots) >= IN_HAND or self.rest:
                    self.free.clear()
                    await self.free.wait()
                    continue
                size = await self.owner.loop.sock_recv_into(self.sock, inbox.room())
                if not size:
                    break
                inbox.filled(size)
                for words in inbox.commands():
                    self.take(words)
        except resp.Broken as trouble:
            say("customer_broken", logging.WARNING, why=trouble)
            self.next_slot().broken_off(str(trouble))
            await self.linger()
        except OSError:
            pass
        finally:
            self.close()

    async def linger(self) -> None:
        """The customer may still be sending: read on to no use, that a reset does not take its error line."""
        while not self.idle:
            self.free.clear()
            await self.free.wait()
        self.sock.shutdown(socket.SHUT_WR)
        room = bytearray(4096)
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(LINGER):
                while await self.owner.loop.sock_recv_into(self.sock, room):
                    pass

    def take(self, words: list[memoryview]) -> None:
        name = bytes(words[0][:16]).upper()
        slot = self.next_slot()
        self.owner.lines[self] = self.owner.lines.pop(self, None)
        if name == b"PING":
            slot.answer([b"+PONG\r\n"])
        elif name in (b"Q.ASK", b"Q.DO"):
            try:
                asked = Asked(words, self.owner.workloads, self.owner.customers)
            except Senseless as trouble:
                slot.broken_off(str(trouble))
            else:
                self.owner.door.invoked(asked, slot)
        else:
            slot.broken_off("unknown command")

    def next_slot(self) -> Slot:
        slot = Slot(self)
        self.slots.append(slot)
        return slot

    def flush(self) -> None:
        """Send the answers whose turn it is."""
        parts: list[bytes | memoryview] = []
        while self.slots and self.slots[0].parts is not None:
            parts += self.slots.popleft().parts or ()
        if self.closed or not parts:
            return
        if self.rest:
            self.hold(b"".join(parts))
            return
        size = sum(map(len, parts))
        try:
            sent = self.sock.sendmsg(parts if len(parts) < 64 else [b"".join(parts)])
        except BlockingIOError:
            sent = 0
        except OSError:
            self.reader.cancel()
            return
        if sent < size:
            self.hold(b"".join(parts)[sent:])
            self.writer = asyncio.ensure_future(self.write())
        else:
            self.free.set()
            self.owner.settle(self)

    def hold(self, data: bytes) -> None:
        self.rest += data
        self.owner.owed += len(data)
        if self.owner.owed > OWED:
            say("customer_cut", logging.WARNING, why="too many bytes owed", owed=self.owner.owed)
            self.reader.cancel()

    async def write(self) -> None:
        try:
            while self.rest:
                part = self.rest[: 64 * 1024]
                async with asyncio.timeout(STALL):
                    await self.owner.loop.sock_sendall(self.sock, part)
                self.rest = self.rest[len(part) :]
                self.owner.owed -= len(part)
        except (OSError, TimeoutError):
            self.close()
            return
        self.free.set()
        self.owner.settle(self)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.owner.lines.pop(self, None)
        self.owner.owed -= len(self.rest)
        give_back(self.sock, self.reader, self.writer)
        while self.slots:
            slot = self.slots.popleft()
            if slot.parts is None:
                self.owner.door.customer_left(slot)


class Customers:
    def __init__(self, orders: Mapping[str, Any], door: Door, most: int) -> None:
        self.loop, self.door, self.most = asyncio.get_running_loop(), door, most
        self.workloads = {each["name"]: i for i, each in enumerate(orders["workloads"])}
        self.customers = {each.get("name", str(i)): i for i, each in enumerate(orders["customers"])}
        # A row a connection, the longest unused first; each goes with `Line.close`.
        self.lines: dict[Line, None] = {}
        self.owed, self.peak, self.leaving = 0, 0, False
        self.listener: socket.socket | None = None

    def listen(self, where: Address) -> None:
        self.listener = opened(where)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(where)
        self.listener.listen(BACKLOG)

    async def accept(self) -> None:
        while self.listener:
            try:
                sock, _ = await self.loop.sock_accept(self.listener)
            except OSError as trouble:
                say("accept_failed", logging.WARNING, why=trouble)
                await asyncio.sleep(0.05)
                continue
            newest = self.welcome(sock)
            while len(self.lines) > self.most and not self.spare(newest):
                await asyncio.sleep(0.01)  # the next wait in the backlog until one is idle

    def welcome(self, sock: socket.socket) -> Line:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        line = Line(self, sock)
        self.lines[line] = None
        self.peak = max(self.peak, len(self.lines))
        return line

    def spare(self, newest: Line) -> bool:
        """Close an idle connection to make room, but the newest, whose command is on its way."""
        idle = (line for line in self.lines if line.idle and line is not newest)
        line = next((line for line in idle if waiting(line.sock) == 0), None)
        if line:
            line.close()
        return line is not None

    def settle(self, line: Line) -> None:
        """An answer is out: while this marshal leaves, a line ends when it is idle."""
        if self.leaving and line.idle and waiting(line.sock) == 0:
            line.close()

    async def leave(self) -> None:
        """SIGTERM: serve on until nobody sends anew, then close each connection as it becomes idle."""
        await asyncio.sleep(NOTICED)
        if listener := self.listener:
            self.listener = None
            try:
                while True:  # what the machine has accepted, the marshal has taken
                    self.welcome(listener.accept()[0])
            except OSError:
                pass
            listener.close()
        self.leaving = True
        while self.lines:
            for line in list(self.lines):
                self.settle(line)
            await asyncio.sleep(0.02)

    def close(self) -> None:
        if self.listener:
            self.listener.close()
        self.listener = None
        for line in list(self.lines):
            line.close()
