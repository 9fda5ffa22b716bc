"""What a connection to a client and one to an endpoint do alike.

A `Stream` owns a socket, its receive buffer and the two tasks that read and write. How a connection writes
differs between the two sides and stays with them.
"""

from __future__ import annotations

import asyncio
import socket

from gatebank.proxy.buffers import ReceiveBuffer
from gatebank.proxy.sockets import ConnectionRecording, PendingOperation, cancel_and_close, peek_receive_state


class Stream:
    """One TCP connection with a receive buffer; `release` gives back all that it owns.

    Attributes:
        handling: A read has ended, and not all that it brought is used up yet.
        closed: Nothing is read or written any more.
        recording: Who records the connection; None if nobody does.
        reader: The task that reads, begun by the subclass as the last thing of its making.
        writer: The task that writes what the system did not take at once.
    """

    reader: asyncio.Task[None]
    receive_buffer: ReceiveBuffer

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        inbox: ReceiveBuffer,
        recording: ConnectionRecording | None,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.receive_buffer = inbox
        self.recording = recording
        self.reading = PendingOperation()
        self.is_handling_read = False
        self.closed = False
        self.writer: asyncio.Task[None] | None = None

    def has_unread(self) -> bool:
        """Tell whether bytes or an end of the connection wait that nobody has seen yet.

        They may be in the kernel, in a read that ended before its task went on, or in the buffer.
        """
        return self.is_being_read() or peek_receive_state(self.sock) != 0

    def is_being_read(self) -> bool:
        """Tell whether a read has ended whose bytes are not used up yet."""
        return self.is_handling_read or self.reading.done

    def account_read(self, size: int) -> bytes | None:
        """Account for a read of ``size`` bytes; returns a copy of them where the connection is recorded."""
        self.is_handling_read = True
        self.receive_buffer.commit(size)
        if self.recording is None:
            return None
        return bytes(self.receive_buffer.data[self.receive_buffer.end - size : self.receive_buffer.end])

    def release(self, peer_side: int, comment: str = "") -> None:
        """Give back buffer memory, tasks and socket.

        Args:
            peer_side: The other end's side in a recording: 0 opened the connection, 1 accepted it.
            comment: For the recording.
        """
        self.receive_buffer.close()
        if self.recording:
            ended_by_peer = peek_receive_state(self.sock) < 0
            self.recording.record_end(peer_side if ended_by_peer else 1 - peer_side, comment=comment)
        cancel_and_close(self.sock, self.reader, self.writer)
