"""A connection to an endpoint, with at most one attempt in flight.

Replies carry no id. If an attempt were written behind another, a surplus reply to the first would be taken
for the reply to the second.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from typing import TYPE_CHECKING

from gatebank.events import Outcome
from gatebank.proxy.buffers import ProtocolError
from gatebank.proxy.log import LOG, log_kv
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.sockets import acknowledge_received, peek_receive_state
from gatebank.proxy.stream import Stream
from gatebank.proxy.upstream.attempt import Attempt

if TYPE_CHECKING:
    from gatebank.proxy.upstream.pool import ConnectionPool

ENDPOINT_SIDE = 1  # The endpoint's side in a recording: the side that accepted the connection.
# Delay after a reply before its connection is used again: a duplicate of the reply, which may arrive some
# milliseconds late (STANDING), would be taken for the reply to the next attempt. The delay is harmful where
# an endpoint gets more than some tens of attempts a second from one instance and connections are expensive.
REUSE_DELAY_S = 0.02
# A reply counts as broken off when its next bytes do not arrive within this multiple of the connect timeout:
# endpoints write a reply without a pause.
REPLY_STALL_FACTOR = 2


class EndpointConnection(Stream):
    """A connection to one process of an endpoint; its pool holds the connection until `close`.

    Attributes:
        attempt: The attempt in flight; cleared by its reply or by `close`.
        idle_since: Monotonic time of the connect or of the last reply.
        reusable_at: Monotonic time from which the next attempt may be written. The endpoint may have sent a
            second copy of its last reply, which arrives before this time.
        abandonment_comment: Comment for the recording: which attempt was abandoned, and its outcome.
    """

    def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
        upstream = pool.upstream
        recording = upstream.record(sock) if upstream.record else None
        self.session = upstream.session
        buffer = self.session.create_buffer(upstream.buffer_budget, upstream.max_value)
        super().__init__(upstream.loop, sock, buffer, recording)
        self.parse_replies = buffer.replies
        self.pool = pool
        self.attempt: Attempt | None = None
        self.idle_since = time.monotonic()
        self.reusable_at = 0.0
        self.abandonment_comment = ""
        self.reader = asyncio.ensure_future(self.read())

    def write(self, attempt: Attempt) -> bool:
        """Write an attempt's bytes now.

        Returns:
            False if the attempt must not be sent any more; then nothing was written.
        """
        data = attempt.payload()
        if data is None:
            attempt.finish(EndpointReply(Outcome.NOT_SENT))
            return False
        self.attempt = attempt
        attempt.connection = self
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close("a write failed")
            return True
        attempt.written = sent == len(data)
        if self.recording:
            self.recording.record_request_bytes(data[:sent], attempt.label)
        if not attempt.written:
            self.writer = asyncio.ensure_future(self.write_remaining(attempt, data[sent:]))
        return True

    async def write_remaining(self, attempt: Attempt, rest: bytes) -> None:
        """Write the bytes that the kernel did not take at once, the last byte in a write of its own.

        An attempt counts as sent from just before the write of its last byte: the loop may have written that
        byte, and the connection may break, before this task continues.
        """
        try:
            if len(rest) > 1:
                await self.loop.sock_sendall(self.sock, rest[:-1])
            attempt.written = True
            await self.loop.sock_sendall(self.sock, rest[-1:])
            if self.recording:
                self.recording.record_request_bytes(rest)
            self.writer = None
        except OSError:
            self.close("a write failed")
        except asyncio.CancelledError:  # As in `read`.
            return

    async def read(self) -> None:
        """Read replies until the connection ends or fails, or the endpoint violates the protocol."""
        reason = "the endpoint ended it"
        try:
            while not self.closed:
                size = await self.receive()
                if not size:
                    break
                recorded_bytes = self.account_read(size)
                if self.recording and recorded_bytes is not None:
                    self.recording.record_reply_bytes(recorded_bytes)
                self.handle_replies()
                if not self.attempt and not self.closed:
                    if self.ended_after_reply():
                        break
                    self.is_handling_read = False
                    self.pool.park_after_reply(self)
                self.is_handling_read = False
        except ProtocolError as error:
            idle_time = {} if self.attempt else {"idle": time.monotonic() - self.idle_since}
            log_kv("node_broken", logging.WARNING, node=self.pool.name, why=error, **idle_time)
            reason = "a malformed reply"
        except OSError as error:
            reason = str(error)
        except asyncio.CancelledError:  # A task that ends cancelled keeps its frame in a reference cycle.
            pass
        finally:
            self.close(reason)

    async def receive(self) -> int:
        """Read the next bytes into the buffer.

        If the rest of a reply does not arrive in time, the connection is closed, so that its attempt need not
        wait for its own time limit. The read itself is not cancelled at the timeout: a read that completed at
        the same moment would be lost and leave a gap in the reply.

        Returns:
            The number of bytes read; 0 at the end of the connection.
        """
        room = self.receive_buffer.free_space()
        timer = None
        if self.receive_buffer.incomplete_bytes:
            stall_timeout = REPLY_STALL_FACTOR * self.pool.upstream.connect_timeout
            timer = self.loop.call_later(stall_timeout, self.on_reply_stalled)
        try:
            return await self.reading.run(self.loop.sock_recv_into(self.sock, room))
        finally:
            if timer:
                timer.cancel()

    def on_reply_stalled(self) -> None:
        """Close the connection, as the rest of a reply did not arrive in time."""
        # Unread bytes mean that the rest has arrived and this process is late.
        if not self.closed and not self.has_unread():
            log_kv("node_broken", logging.WARNING, node=self.pool.name, why="a reply stopped before its end")
            self.close("a reply stopped before its end")

    def handle_replies(self) -> None:
        """Pass the reply, if it is whole, to the attempt in flight.

        Raises:
            ProtocolError: A reply arrived without an attempt that was sent, or is malformed.
        """
        for reply in self.parse_replies():
            attempt = self.attempt
            if not attempt or not attempt.written:
                raise ProtocolError("a reply without an attempt in flight")
            result = self.session.parse_reply(reply, attempt.is_health_check)
            self.attempt = None
            attempt.finish(result)

    def ended_after_reply(self) -> bool:
        """Return whether the endpoint has ended the connection after its reply.

        Bytes behind a reply must not be taken for the reply to the next attempt, as that attempt's client
        would be served with another request's value.

        Raises:
            ProtocolError: More bytes than one reply arrived.
        """
        socket_state = peek_receive_state(self.sock)
        if socket_state < 0:
            return True
        if self.receive_buffer.incomplete_bytes or socket_state:
            raise ProtocolError("more bytes than one reply")
        return False

    def start_reuse_delay(self) -> None:
        """Start the delay after which the next attempt may be written.

        The endpoint's system may hold a second copy of the reply until the reply is acknowledged. The delay
        therefore starts with the acknowledgement: the copy arrives within it, not with the next attempt.
        """
        acknowledge_received(self.sock)
        self.idle_since = time.monotonic()
        self.reusable_at = self.idle_since + REUSE_DELAY_S

    def abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """Close the connection of an attempt that was ended early, so that no more is sent or read."""
        if self.recording and attempt.label:
            self.abandonment_comment = f"{attempt.label} {outcome.value}"
        self.attempt = None
        self.close(f"its attempt ended: {outcome.value}")

    def close(self, reason: str) -> None:
        """Release all resources; the attempt in flight ends as lost, or as unsent if not fully written.

        Args:
            reason: Reason of the close, for the log.
        """
        if self.closed:
            return
        self.closed = True
        if LOG.isEnabledFor(logging.DEBUG):
            log_kv("node_closed", logging.DEBUG, node=self.pool.name, why=reason)
        self.pool.remove_connection(self)
        self.release(ENDPOINT_SIDE, self.abandonment_comment)
        attempt = self.attempt
        self.attempt = None
        if attempt:
            outcome = Outcome.CONNECTION_LOST if attempt.written else Outcome.NO_CONNECTION
            attempt.finish(EndpointReply(outcome))
