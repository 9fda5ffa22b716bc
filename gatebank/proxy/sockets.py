"""Opening sockets and giving them back, the same way for all who own one."""

from __future__ import annotations

import asyncio
import select
import socket
import sys
from collections.abc import Callable, Coroutine, Generator
from fcntl import ioctl
from types import coroutine
from typing import Any, Protocol, TypeVar

from gatebank.proxy.configuration import Address

Result = TypeVar("Result")


class ConnectionRecording(Protocol):
    """Who hears of a connection that is recorded: side 0 opened it and asks, side 1 replies."""

    def record_request_bytes(self, data: bytes, comment: str = "") -> None:
        """Bytes of side 0."""

    def record_reply_bytes(self, data: bytes, comment: str = "") -> None:
        """Bytes of side 1."""

    def record_end(self, side: int, abrupt: bool = False, comment: str = "") -> None:
        """The connection ended, by this side."""


# Begins the recording of a connection that has come up; None where that side is not recorded.
StartRecording = Callable[[socket.socket], ConnectionRecording | None]


def open_socket(address: Address, kind: int = socket.SOCK_STREAM) -> socket.socket:
    """Open a socket that blocks nobody and, for a stream, holds no small message back.

    Raises:
        OSError: No descriptor is left, or the address family is unknown here.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, kind | socket.SOCK_NONBLOCK)
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def cancel_and_close(sock: socket.socket, *tasks: asyncio.Task[None] | None) -> None:
    """Cancel the tasks that read and write, but the caller itself, and only then close the socket."""
    for task in tasks:
        if task and task is not asyncio.current_task():
            task.cancel()
    sock.close()


class PendingOperation:
    """An operation on a socket that a task waits for, one at a time.

    The loop ends it as the socket becomes ready, but the task goes on only later, and what runs in between
    finds nothing in the kernel any more: a read may have brought a whole command, an accept a connection.
    ``done`` tells so.
    """

    __slots__ = ("future",)

    def __init__(self) -> None:
        self.future: asyncio.Future[Any] | None = None

    @property
    def done(self) -> bool:
        """It has ended, and its task has not gone on yet."""
        return self.future is not None and self.future.done()

    @coroutine
    def run(self, operation: Coroutine[Any, Any, Result]) -> Generator[Any, Any, Result]:
        """Await the operation: what it waits for is handed on, and kept in sight."""
        steps = operation.__await__()
        try:
            self.future = steps.send(None)
            while True:
                try:
                    found = yield self.future
                except BaseException as error:  # a cancellation too is the operation's to handle
                    self.future = steps.throw(error)
                else:
                    self.future = steps.send(found)
        except StopIteration as ended:
            result: Result = ended.value
            return result
        finally:
            self.future = None


class WatchLease:
    """Who watches one address of a control plane service.

    What that address has written to this instance counts as received (PROTOCOL), so a turn ends only with the
    first message of the next: until then it goes on, and ends by itself as its connection does.

    Attributes:
        over: The next turn has begun: this one lasts only as long as its connection.
    """

    __slots__ = ("is_superseded", "previous", "task")

    previous: WatchLease | None

    def __init__(self, previous: WatchLease | None = None) -> None:
        while previous and previous.task and previous.task.done():
            previous = previous.previous
        self.previous = previous
        self.is_superseded = False
        self.task: asyncio.Future[None] | None = None
        if previous:
            previous.is_superseded = True

    def on_first_message(self) -> None:
        """The first message has come from here: the turns before are over for good."""
        if self.previous:
            self.previous.close()
        self.previous = None

    def close(self) -> None:
        """End this turn and those before."""
        if self.task:
            self.task.cancel()
        self.on_first_message()


def peer_has_closed(sock: socket.socket) -> bool:
    """The other side has ended its sending or the connection is broken, whatever lies unread before that."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


SIOCOUTQNSD = 0x894B  # linux/sockios.h: bytes in the send queue that have not been sent, in an int


def has_unsent_bytes(sock: socket.socket) -> bool:
    """Bytes written to it wait here, as the other side has no room for them.

    A close forgets them as soon as one byte comes that nobody reads. Where the system does not say, none are.
    """
    try:
        return any(ioctl(sock, SIOCOUTQNSD, bytes(4)))
    except OSError:
        return False


def peek_receive_state(sock: socket.socket) -> int:
    """Look without reading: 1 if bytes wait to be read, 0 if none, -1 if the connection has ended."""
    try:
        return 1 if sock.recv(1, socket.MSG_PEEK) else -1
    except BlockingIOError:
        return 0
    except OSError:
        return -1


TCP_INFO_LAST_RECEIVED = slice(52, 56)  # linux/tcp.h, struct tcp_info: tcpi_last_data_recv, in ms


def seconds_since_received(sock: socket.socket) -> float:
    """Seconds since the last bytes of a TCP connection came to this machine, read or not.

    Where the system does not say it is 0.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_RECEIVED.stop)
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_LAST_RECEIVED.stop:
        return 0.0
    return int.from_bytes(info[TCP_INFO_LAST_RECEIVED], sys.byteorder) / 1000
