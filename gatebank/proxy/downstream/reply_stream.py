"""The writing side of a client connection: replies in command order, as fast as the client takes them."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from gatebank.proxy.buffers import ReceiveBuffer
from gatebank.proxy.downstream import limits
from gatebank.proxy.downstream.close_reason import CloseReason
from gatebank.proxy.sockets import ConnectionRecording, has_unsent_bytes
from gatebank.proxy.stream import Stream

if TYPE_CHECKING:
    from gatebank.proxy.downstream.listener import Downstream
    from gatebank.proxy.downstream.replies import PendingReply


class ReplyStream(Stream):
    """A connection on which replies are written in the order of their commands.

    Attributes:
        replies: Replies that are not being written yet, in command order, including replies whose answer is
            not known yet; `flush` and `close` remove them.
        unwritten: Reply bytes that the kernel has not taken yet.
        timeout_start: Loop time from which the idle and closing timeouts count: the time of the accept, of
            the last written reply, or of the start of closing.
        closing: Whether reading has ended; `ClientConnection.check_timeouts` closes the connection.
        discards_input: Whether further input is dropped, as malformed input came before it. The client sees
            the end of the connection with its close.
        evicted: Whether the connection ends to make room: what was read of it is rejected, then it is closed.
            The close resets it if commands are unread, so that the client can send these again.
        all_written: Future that is done once all replies so far are written to the kernel; None if no task
            waits for that.
    """

    def __init__(
        self,
        downstream: Downstream,
        sock: socket.socket,
        receive_buffer: ReceiveBuffer,
        recording: ConnectionRecording | None,
    ) -> None:
        super().__init__(downstream.loop, sock, receive_buffer, recording)
        self.downstream = downstream
        self.session = downstream.session
        self.replies: list[PendingReply] = []  # Short, and an empty list takes a tenth of an empty deque.
        self.unwritten = b""
        self.timeout_start = downstream.loop.time()
        self.closing = False
        self.discards_input = False
        self.evicted = False
        self.all_written: asyncio.Future[None] | None = None

    @property
    def idle(self) -> bool:
        """Whether no command waits for its answer and all replies are written."""
        return not self.replies and not self.unwritten

    async def wait_until_written(self) -> None:
        """Wait until all replies so far are written."""
        self.all_written = self.loop.create_future()
        try:
            await self.all_written
        finally:
            self.all_written = None

    def close(self, reason: CloseReason) -> None:
        """Release all resources that the connection owns."""
        raise NotImplementedError

    def on_replies_written(self) -> None:
        """Handle that nothing is left to write."""
        raise NotImplementedError

    def has_room_for_reply(self, size: int, is_first: bool) -> bool:
        """Return whether a reply of ``size`` bytes may be kept until the client takes it.

        Args:
            size: Size of the reply in bytes.
            is_first: Whether the reply may be written now. If the client has taken all earlier ones, the
                kernel has room for it.
        """
        downstream = self.downstream
        if downstream.unwritten_bytes + size <= downstream.max_unwritten_bytes:
            return True
        return is_first and not self.unwritten and not has_unsent_bytes(self.sock)

    def flush(self) -> None:
        """Write the replies that are ready, up to the first command without an answer."""
        parts: list[bytes | memoryview] = []
        comments: list[str] = []
        while self.replies and self.replies[0].parts is not None:
            reply = self.replies.pop(0)
            reply.release()
            parts += reply.parts or ()
            if self.recording and reply.request_id is not None and reply.parts:
                request_id = reply.request_id.decode(errors="replace")
                comments.append(f"invocation {request_id} {self.session.classify_answer(reply.parts)}")
        if self.closed or not parts:
            return
        if self.unwritten:
            self.keep_unwritten(b"".join(parts))
            return
        self.write(parts, comments)

    def write(self, parts: list[bytes | memoryview], comments: list[str]) -> None:
        """Write replies; a task writes the bytes that the kernel does not take at once.

        Args:
            parts: Encoded replies.
            comments: Comments on the replies for the recording.
        """
        size = sum(map(len, parts))
        try:
            sent = self.sock.sendmsg(parts if len(parts) < limits.MAX_WRITE_PARTS else [b"".join(parts)])
        except BlockingIOError:
            sent = 0
        except OSError:
            self.downstream.close_soon(self, CloseReason.WRITE_FAILED)
            return
        if self.recording and sent:
            self.recording.record_reply_bytes(b"".join(parts)[:sent], "; ".join(comments))
        if sent < size:
            self.keep_unwritten(b"".join(parts)[sent:])
            self.writer = asyncio.ensure_future(self.write_remaining())
        else:
            self.on_written()

    def on_written(self) -> None:
        """Handle that all replies so far are written."""
        self.timeout_start = self.loop.time()
        if self.all_written and not self.all_written.done():
            self.all_written.set_result(None)
        if self.closing and self.idle and not (self.discards_input or self.evicted):
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        self.on_replies_written()

    def keep_unwritten(self, data: bytes) -> None:
        """Keep reply bytes that the kernel has not taken, within the bound that all connections share."""
        self.unwritten += data
        self.downstream.add_unwritten(len(data))

    async def write_remaining(self) -> None:
        """Write the bytes that the kernel did not take at once, as fast as the client reads."""
        try:
            while self.unwritten:
                part = self.unwritten[: limits.WRITE_CHUNK_BYTES]
                async with asyncio.timeout(limits.WRITE_STALL_TIMEOUT_S):
                    await self.loop.sock_sendall(self.sock, part)
                if self.recording:
                    self.recording.record_reply_bytes(part)
                self.unwritten = self.unwritten[len(part) :]
                self.downstream.unwritten_bytes -= len(part)
        except TimeoutError:
            self.close(CloseReason.WRITE_STALLED)
        except OSError:
            self.close(CloseReason.WRITE_FAILED)
        except asyncio.CancelledError:  # As in `read`.
            return
        else:
            self.on_written()
