"""Opening sockets and giving them back, the same way for all who own one."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Coroutine, Generator
from fcntl import ioctl
from types import coroutine
from typing import Any, Protocol

from gatebank.proxy.configuration import Address


class Tape(Protocol):
    """Who hears of a connection, where it is recorded: side 0 opened it and asks, side 1 replies."""

    def asked(self, data: bytes, comment: str = "") -> None: ...
    def replied(self, data: bytes, comment: str = "") -> None: ...
    def ended(self, side: int, abrupt: bool = False, comment: str = "") -> None: ...


Record = Callable[[socket.socket], Tape | None]  # makes the tape of a connection that has come up


def opened(where: Address, kind: int = socket.SOCK_STREAM) -> socket.socket:
    """A socket of the address's family that blocks nobody and, for a stream, holds no small message back."""
    family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
    sock = socket.socket(family, kind | socket.SOCK_NONBLOCK)
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def give_back(sock: socket.socket, *tasks: asyncio.Task[None] | None) -> None:
    """End who reads and writes, but the caller itself, and only then close."""
    for task in tasks:
        if task and task is not asyncio.current_task():
            task.cancel()
    sock.close()


class Pending:
    """An operation on a socket that a task waits for. The loop ends it as the socket becomes ready, but the
    task goes on only later, and what runs in between finds nothing in the kernel any more: a read may have
    brought a whole command, an accept a connection. ``done`` tells so. One at a time."""

    __slots__ = ("future",)

    def __init__(self) -> None:
        self.future: asyncio.Future[Any] | None = None

    @property
    def done(self) -> bool:
        """It has ended, and its task has not gone on yet."""
        return self.future is not None and self.future.done()

    @coroutine
    def of(self, operation: Coroutine[Any, Any, Any]) -> Generator[Any, Any, Any]:
        """Await it: what it waits for is handed on, and kept in sight."""
        steps = operation.__await__()
        try:
            self.future = steps.send(None)
            while True:
                try:
                    found = yield self.future
                except BaseException as trouble:
                    self.future = steps.throw(trouble)
                else:
                    self.future = steps.send(found)
        except StopIteration as ended:
            return ended.value
        finally:
            self.future = None


class Turn:
    """Who is followed at one address. What that address has written to this marshal counts as told
    (PROTOCOL), so a turn ends only with the first word of the next: until then it goes on, and ends by itself
    as its connection does."""

    __slots__ = ("before", "over", "task")

    def __init__(self, before: Turn | None = None) -> None:
        while before and before.task and before.task.done():
            before = before.before
        self.before, self.over = before, False  # over: the next has been begun
        self.task: asyncio.Future[None] | None = None
        if before:
            before.over = True

    def begins(self) -> None:
        """The first word has come from here: those before have had their turn."""
        if self.before:
            self.before.close()
        self.before = None

    def close(self) -> None:
        if self.task:
            self.task.cancel()
        self.begins()


def hung_up(sock: socket.socket) -> bool:
    """The other side has ended its sending or the connection is broken, whatever lies unread before that."""
    look = select.poll()
    look.register(sock, select.POLLRDHUP)
    return bool(look.poll(0))


SIOCOUTQNSD = 0x894B  # linux/sockios.h: bytes in the send queue that have not been sent, in an int


def unsent(sock: socket.socket) -> bool:
    """Bytes written to it wait here, as the other side has no room for them. A close forgets them as soon as
    one byte comes that nobody reads. Where the system does not tell, none are."""
    try:
        return any(ioctl(sock, SIOCOUTQNSD, bytes(4)))
    except OSError:
        return False


def waiting(sock: socket.socket) -> int:
    """1 if bytes wait to be read, 0 if none, -1 if the connection has ended."""
    try:
        return 1 if sock.recv(1, socket.MSG_PEEK) else -1
    except BlockingIOError:
        return 0
    except OSError:
        return -1
