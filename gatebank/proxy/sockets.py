"""Helpers to open, inspect and close sockets, shared by all modules that own one."""

from __future__ import annotations

import asyncio
import select
import socket
import sys
from collections.abc import Callable, Coroutine, Generator
from contextlib import suppress
from fcntl import ioctl
from termios import FIONREAD
from types import coroutine
from typing import Any, Protocol, TypeVar

from gatebank.proxy.configuration import Address

Result = TypeVar("Result")


class ConnectionRecording(Protocol):
    """Recording of one connection: side 0 opened the connection and sends requests, side 1 replies."""

    def record_request_bytes(self, data: bytes, comment: str = "") -> None:
        """Record bytes sent by side 0."""

    def record_reply_bytes(self, data: bytes, comment: str = "") -> None:
        """Record bytes sent by side 1."""

    def record_end(self, side: int, abrupt: bool = False, comment: str = "") -> None:
        """Record that ``side`` ended the connection."""


# Starts recording an established connection; returns None if connections of that kind are not recorded.
StartRecording = Callable[[socket.socket], ConnectionRecording | None]


def open_socket(address: Address, kind: int = socket.SOCK_STREAM) -> socket.socket:
    """Create a non-blocking socket; for a TCP socket, disable the delay of small packets (Nagle's algorithm).

    Raises:
        OSError: No descriptor is left, or the system does not support the address family.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, kind | socket.SOCK_NONBLOCK)
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def cancel_and_close(sock: socket.socket, *tasks: asyncio.Task[None] | None) -> None:
    """Cancel the socket's tasks, except the current task, and close the socket afterwards."""
    for task in tasks:
        if task and task is not asyncio.current_task():
            task.cancel()
    sock.close()


class PendingOperation:
    """Tracks the socket operation that a task is waiting for, one at a time.

    The event loop completes the operation when the socket becomes ready, but the task resumes later. Code
    that runs in between no longer finds the data in the kernel, although a read may have received a complete
    command or an accept a connection. ``done`` detects this state.
    """

    __slots__ = ("future",)

    def __init__(self) -> None:
        self.future: asyncio.Future[Any] | None = None

    @property
    def done(self) -> bool:
        """Whether the operation has completed but its task has not resumed yet."""
        return self.future is not None and self.future.done()

    @coroutine
    def run(self, operation: Coroutine[Any, Any, Result]) -> Generator[Any, Any, Result]:
        """Await the operation, and keep a reference to the future that the operation is waiting for."""
        steps = operation.__await__()
        try:
            self.future = steps.send(None)
            while True:
                try:
                    value = yield self.future
                except BaseException as error:  # The operation also handles cancellation itself.
                    self.future = steps.throw(error)
                else:
                    self.future = steps.send(value)
        except StopIteration as ended:
            result: Result = ended.value
            return result
        finally:
            self.future = None


class WatchLease:
    """Tracks the handover between watches of successive addresses of a control plane service.

    By the protocol, whatever an address has written to this instance counts as received. The watch of the
    previous address therefore continues until the next one receives its first message, or until its own
    connection ends.

    Attributes:
        previous: Lease of the preceding watch, while that watch is still active.
        is_superseded: True once a newer lease exists; the watch then ends with its connection.
        task: Task of the watch, set by its owner.
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
        """End the preceding watches, because this watch has received its first message."""
        if self.previous:
            self.previous.close()
        self.previous = None

    def close(self) -> None:
        """End this watch and the preceding ones."""
        if self.task:
            self.task.cancel()
        self.on_first_message()


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the peer has shut down sending or the connection is broken, even if data is unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


SIOCOUTQNSD = 0x894B  # linux/sockios.h: returns the unsent bytes in the send queue as an int.


def has_unsent_bytes(sock: socket.socket) -> bool:
    """Return whether written bytes wait in the send queue, because the peer has no room for them.

    If the socket is closed, the system discards these bytes as soon as a byte arrives that nobody reads.
    Returns False if the system does not provide the number.
    """
    try:
        return any(ioctl(sock, SIOCOUTQNSD, bytes(4)))
    except OSError:
        return False


def unread_bytes(sock: socket.socket) -> int:
    """Return the number of bytes in the receive queue; 0 if the system does not provide it."""
    try:
        return int.from_bytes(ioctl(sock, FIONREAD, bytes(4)), sys.byteorder)
    except OSError:
        return 0


def peek_receive_state(sock: socket.socket) -> int:
    """Peek at the receive queue: 1 if bytes wait there, 0 if none do, -1 if the connection has ended."""
    try:
        return 1 if sock.recv(1, socket.MSG_PEEK) else -1
    except BlockingIOError:
        return 0
    except OSError:
        return -1


def acknowledge_received(sock: socket.socket) -> None:
    """Acknowledge all received bytes now, not after 40 ms or more or with the next bytes written.

    While a segment is not acknowledged, the peer's system may hold further small ones (Nagle's algorithm),
    so that a look at the receive queue does not show what the peer has sent. Nothing happens where the
    system does not provide the option.
    """
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)


TCP_INFO_LAST_RECEIVED = slice(52, 56)  # linux/tcp.h, struct tcp_info: tcpi_last_data_recv, in ms.


def seconds_since_received(sock: socket.socket) -> float:
    """Return the seconds since the last bytes of a TCP connection arrived at this machine, read or not.

    Returns 0 if the system does not provide the time.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_RECEIVED.stop)
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_LAST_RECEIVED.stop:
        return 0.0
    return int.from_bytes(info[TCP_INFO_LAST_RECEIVED], sys.byteorder) / 1000
