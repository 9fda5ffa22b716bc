"""A connection to an endpoint, with one attempt out at a time.

Answers carry no id. An attempt written behind another would be served with whatever the endpoint sends too
much for the first.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from typing import TYPE_CHECKING

from gatebank.events import Outcome
from gatebank.proxy.buffers import ProtocolError
from gatebank.proxy.log import log_kv
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.sockets import peek_receive_state
from gatebank.proxy.stream import Stream
from gatebank.proxy.upstream.attempt import Attempt

if TYPE_CHECKING:
    from gatebank.proxy.upstream.pool import ConnectionPool

ENDPOINT_SIDE = 1  # of a recorded connection: we opened it
# An endpoint writes an answer in one go: where its next part does not come for so many times the time that a
# connection may take to come up, it is spoilt.
ANSWER_SILENCE_FACTOR = 2


class EndpointConnection(Stream):
    """A connection to one process of an endpoint; the pool that made it keeps it until `close`."""

    def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
        upstream = pool.upstream
        recording = upstream.record(sock) if upstream.record else None
        self.session = upstream.session
        inbox = self.session.buffer(upstream.buffer_budget, upstream.max_value)
        super().__init__(upstream.loop, sock, inbox, recording)
        self.whole_replies = inbox.replies
        self.pool = pool
        self.attempt: Attempt | None = None  # that is out; cleared by its reply, or by `close`
        self.idle_since = time.monotonic()
        self.rests_until = 0.0  # it has answered, and may do so twice
        self.abandoned = ""  # for the recording: which attempt was given up, and why
        self.reader = asyncio.ensure_future(self.read())

    def write(self, attempt: Attempt) -> bool:
        """Write an attempt's bytes now; False if it is no longer wanted, and then nothing was done."""
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
            self.close()
            return True
        attempt.written = sent == len(data)
        if self.recording:
            self.recording.record_request_bytes(data[:sent], attempt.label)
        if not attempt.written:
            self.writer = asyncio.ensure_future(self.write_rest(attempt, data[sent:]))
        return True

    async def write_rest(self, attempt: Attempt, rest: bytes) -> None:
        """Write what the system did not take at once, the last byte by itself.

        The last byte decides whether the attempt is out. It may be from just before its write on: the loop
        may have written it, and the connection break, before this task goes on.
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
            self.close()

    async def read(self) -> None:
        """Read replies until the connection ends, breaks, or says what no reply looks like."""
        try:
            while not self.closed:
                size = await self.receive()
                if not size:
                    break
                recorded = self.account_read(size)
                if self.recording and recorded is not None:
                    self.recording.record_reply_bytes(recorded)
                self.handle_replies()
                if not self.attempt and not self.closed:
                    if self.ended_behind_answer():
                        break
                    self.is_handling_read = False
                    self.pool.rest(self)
                self.is_handling_read = False
        except ProtocolError as error:
            idle = {} if self.attempt else {"idle": time.monotonic() - self.idle_since}
            log_kv("node_broken", logging.WARNING, node=self.pool.name, why=error, **idle)
        except OSError:
            pass
        finally:
            self.close()

    async def receive(self) -> int:
        """Read on; returns the bytes read, 0 at the end.

        Where the rest of an answer does not come in time the connection is closed, so that its attempt need
        not wait out its time limit. No read is given up for that: one that ended as the time did would leave
        a hole in the answer.
        """
        room = self.receive_buffer.free_space()
        timer = None
        if self.receive_buffer.incomplete_bytes:
            patience = ANSWER_SILENCE_FACTOR * self.pool.upstream.connect_timeout
            timer = self.loop.call_later(patience, self.on_answer_silent)
        try:
            return await self.reading.run(self.loop.sock_recv_into(self.sock, room))
        finally:
            if timer:
                timer.cancel()

    def on_answer_silent(self) -> None:
        """Close on an answer that stopped half way."""
        if not self.closed and not self.has_unread():  # else it has come, and this process was late
            log_kv("node_broken", logging.WARNING, node=self.pool.name, why="an answer stopped half way")
            self.close()

    def handle_replies(self) -> None:
        """Give the whole reply to the attempt that is out."""
        for reply in self.whole_replies():
            attempt = self.attempt
            if not attempt or not attempt.written:
                raise ProtocolError("it answered what was not asked")
            result = self.session.interpret(reply, attempt.is_health_check)
            self.attempt = None
            attempt.finish(result)

    def ended_behind_answer(self) -> bool:
        """Tell whether the connection has ended, with all that came used up.

        What lies behind an answer must not meet the next attempt, whose client would be served with another's
        value.

        Raises:
            ProtocolError: More came than one answer.
        """
        behind = peek_receive_state(self.sock)
        if behind < 0:
            return True
        if self.receive_buffer.incomplete_bytes or behind:
            raise ProtocolError("more came than one answer")
        return False

    def abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """No answer to this attempt is wanted any more: close, so that nothing of it goes out or comes."""
        if self.recording and attempt.label:
            self.abandoned = f"{attempt.label} {outcome.value}"
        self.attempt = None
        self.close()

    def close(self) -> None:
        """Give everything back; what was out has lost its connection, or was never sent whole."""
        if self.closed:
            return
        self.closed = True
        self.pool.drop(self)
        self.release(ENDPOINT_SIDE, self.abandoned)
        attempt = self.attempt
        self.attempt = None
        if attempt:
            outcome = Outcome.CONNECTION_LOST if attempt.written else Outcome.NO_CONNECTION
            attempt.finish(EndpointReply(outcome))
