"""A client connection on a raw socket, which records when bytes arrive and how the connection ends."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from time import monotonic

from tests.soak.records import Answer, AnswerKind, ConnectionEnd, Records, RequestRecord

READ_BYTES = 256 * 1024


@dataclass(slots=True, eq=False)
class Target:
    """The address of an instance and whether clients may connect to it.

    Attributes:
        incarnation: The number of the instance's current process; -1 before its first start.
        accepts: Whether clients open new connections to the instance.
        accepting: Event that is set while ``accepts`` is true.
    """

    instance: int
    host: str
    port: int
    incarnation: int = -1
    accepts: bool = False
    accepting: asyncio.Event | None = None


def has_hung_up(sock: socket.socket) -> bool:
    """Return whether the peer has shut down its sending side or the connection is broken."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


class ClientConnection:
    """One connection to an instance; answers are assigned to requests in the order of sending.

    Attributes:
        pending: Requests without an answer, in the order of sending.
        answers: The number of answers received.
        closed: Whether the connection has ended, so that nothing more is sent or read.
        changed: Event that is set when an answer arrives or the connection ends.
    """

    def __init__(self, target: Target, records: Records) -> None:
        self.target = target
        self.incarnation = target.incarnation
        self.records = records
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.pending: deque[RequestRecord] = deque()
        self.answers = 0
        self.closed = False
        self.changed = asyncio.Event()
        self.buffer = bytearray()
        self.reader: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Connect.

        Raises:
            OSError: The instance does not listen, or the system refuses the connection.
        """
        try:
            await self.loop.sock_connect(self.sock, (self.target.host, self.target.port))
        except BaseException:
            self.closed = True
            self.sock.close()
            raise
        self.records.connections_opened += 1
        self.reader = asyncio.create_task(self.read())

    def is_usable(self) -> bool:
        """Return whether no sign of the connection's end has been seen yet."""
        return not self.closed and not has_hung_up(self.sock)

    async def send(self, request: RequestRecord, pieces: Sequence[bytes], pause: Callable[[], float]) -> bool:
        """Write a request in pieces, with a pause between them.

        Returns:
            False if the connection had ended before the first byte; true otherwise.
        """
        if not self.is_usable():
            return False
        self.records.requests[request.id] = request
        request.previous = self.pending[-1] if self.pending else None
        request.connection_was_used = self.answers > 0
        self.pending.append(request)
        try:
            for index, piece in enumerate(pieces):
                if index:
                    await asyncio.sleep(pause())
                await self.loop.sock_sendall(self.sock, piece)
        except OSError:
            return True
        request.sent_at = monotonic()
        return True

    async def read(self) -> None:
        """Read answers until the connection ends."""
        end = ConnectionEnd.REQUEST_READ
        try:
            while data := await self.loop.sock_recv(self.sock, READ_BYTES):
                self.handle_data(data)
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) in (errno.EPIPE, errno.ECONNRESET):
                end = ConnectionEnd.REQUEST_UNREAD
        except OSError:
            end = ConnectionEnd.REQUEST_UNREAD
        self.record_end(end)

    def handle_data(self, data: bytes) -> None:
        """Assign the complete answers in the received bytes to their requests."""
        self.buffer += data
        while (answer := self.pop_answer()) is not None:
            self.answers += 1
            if self.pending:
                self.pending.popleft().answers.append(answer)
            else:
                self.records.unsolicited_answers.append((answer.at, self.target.instance, answer.text))
            self.changed.set()

    def pop_answer(self) -> Answer | None:
        """Remove the next complete answer from the buffer, and return it; None if there is none."""
        line_end = self.buffer.find(b"\r\n")
        if line_end < 0:
            return None
        line = bytes(self.buffer[:line_end])
        size = line_end + 2
        kind = AnswerKind.FAILED
        text = line
        if line[:1] == b"$" and line[1:2] != b"-":
            length = int(line[1:])
            size += length + 2
            if len(self.buffer) < size:
                return None
            kind = AnswerKind.SERVED
            text = bytes(self.buffer[line_end + 2 : line_end + 2 + length])
        elif line.startswith(b"-BUSY"):
            kind = AnswerKind.REJECTED
        del self.buffer[:size]
        return Answer(monotonic(), kind, text)

    def record_end(self, how: ConnectionEnd) -> None:
        """Record the end of the connection for all pending requests, and close the socket."""
        if self.closed:
            return
        self.closed = True
        now = monotonic()
        for request in self.pending:
            request.end = how
            request.ended_at = now
            if how is ConnectionEnd.BY_CLIENT:
                request.client_closed_at = now
        self.pending.clear()
        if self.reader and self.reader is not asyncio.current_task():
            self.reader.cancel()
        self.sock.close()
        self.changed.set()

    def close(self) -> None:
        """Close the connection from the client's side."""
        self.record_end(ConnectionEnd.BY_CLIENT)

    async def wait_until_settled(self, deadline: float) -> None:
        """Wait until no request is pending, at most until ``deadline`` on the monotonic clock."""
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, deadline - monotonic())):
                while self.pending:
                    self.changed.clear()
                    await self.changed.wait()
