"""Base class of client connections and endpoint connections.

A `Stream` owns a socket, its receive buffer, and the two tasks that read and write. Writing differs between
the two kinds of connections and is implemented by the subclasses.
"""

from __future__ import annotations

import asyncio
import socket

from gatebank.proxy.buffers import ReceiveBuffer
from gatebank.proxy.sockets import ConnectionRecording, PendingOperation, cancel_and_close, peek_receive_state


class Stream:
    """One TCP connection with a receive buffer; `release` releases all its resources.

    Attributes:
        is_handling_read: True from the end of a read until its data is processed.
        closed: True once nothing is read or written any more.
        recording: Recording of the connection; None if the connection is not recorded.
        reader: Task that reads; the subclass starts it as the last step of its construction.
        writer: Task that writes the data that the system did not accept immediately.
    """

    reader: asyncio.Task[None]
    receive_buffer: ReceiveBuffer

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        receive_buffer: ReceiveBuffer,
        recording: ConnectionRecording | None,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.receive_buffer = receive_buffer
        self.recording = recording
        self.reading = PendingOperation()
        self.is_handling_read = False
        self.closed = False
        self.writer: asyncio.Task[None] | None = None

    def has_unread(self) -> bool:
        """Return whether bytes or the end of the connection have arrived but are not processed yet.

        They may be in the kernel, in a completed read whose task has not resumed, or in the receive buffer.
        """
        return self.is_being_read() or peek_receive_state(self.sock) != 0

    def is_being_read(self) -> bool:
        """Return whether a read has completed whose bytes are not processed yet."""
        return self.is_handling_read or self.reading.done

    def account_read(self, size: int) -> bytes | None:
        """Account for a read of ``size`` bytes.

        Returns:
            A copy of the bytes if the connection is recorded, else None.
        """
        self.is_handling_read = True
        self.receive_buffer.commit(size)
        if self.recording is None:
            return None
        return bytes(self.receive_buffer.data[self.receive_buffer.end - size : self.receive_buffer.end])

    def release(self, peer_side: int, comment: str = "") -> None:
        """Release the buffer memory, the tasks and the socket.

        Args:
            peer_side: Side of the peer in a recording: 0 opened the connection, 1 accepted it.
            comment: Comment for the recording.
        """
        self.receive_buffer.close()
        if self.recording:
            ended_by_peer = peek_receive_state(self.sock) < 0
            self.recording.record_end(peer_side if ended_by_peer else 1 - peer_side, comment=comment)
        cancel_and_close(self.sock, self.reader, self.writer)
