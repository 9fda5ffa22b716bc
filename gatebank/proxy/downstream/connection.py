"""A client's connection: commands in, answers out in their order, and what time alone brings about."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

from gatebank.proxy.buffers import ProtocolError
from gatebank.proxy.downstream import limits
from gatebank.proxy.downstream.replies import PendingReply
from gatebank.proxy.messages import CommandError
from gatebank.proxy.sockets import has_unsent_bytes, peer_has_closed, seconds_since_received
from gatebank.proxy.stream import Stream

if TYPE_CHECKING:
    from gatebank.proxy.downstream.listener import Downstream

CLIENT_SIDE = 0  # of a recorded connection: the client opened it


class ClientConnection(Stream):
    """A client's connection; `close` gives back all that it owns.

    Attributes:
        replies: One for each command that has no answer yet, as they came; emptied by answers, or by `close`.
        unwritten: Bytes of answers that the system has not taken yet.
        since: Loop time at which it came, had its last answer, or could not be read on.
        command_since: Loop time since when a part of a command is held; 0.0 if none is.
        bytes_since: Loop time at which the last bytes came.
        has_spoken: A whole command came.
        ending: Nothing more is read; `check_clocks` closes.
        bad_commands: Commands in a row that could not be carried out.
        waited: Seconds that the last bytes of the commands at hand lay here before they were read; 0.0 if
            that was no time worth counting.
        client_has_gone: They lay here, and the client ended the connection behind them.
    """

    def __init__(self, downstream: Downstream, sock: socket.socket) -> None:
        recording = downstream.record(sock) if downstream.record else None
        self.session = downstream.session
        inbox = self.session.buffer(downstream.buffer_budget)
        super().__init__(downstream.loop, sock, inbox, recording)
        self.whole_commands = inbox.commands
        self.downstream = downstream
        self.replies: deque[PendingReply] = deque()
        self.unwritten = b""
        self.since = downstream.loop.time()
        self.command_since = 0.0
        self.bytes_since = 0.0
        self.has_spoken = False
        self.ending = False
        self.bad_commands = 0
        self.waited = 0.0
        self.client_has_gone = False
        self.may_go_on = asyncio.Event()  # all answers so far are out
        self.reader = asyncio.ensure_future(self.read())

    @property
    def idle(self) -> bool:
        """No answer is owed and none is on its way."""
        return not self.replies and not self.unwritten

    def would_lose(self, now: float) -> bool:
        """Tell whether a close would lose something of who is idle.

        That is what it has asked and was not read, or answers that it is slow to take; not those of a client
        that takes nothing for long.
        """
        return self.has_unread() or (now - self.since < limits.STALL_S and has_unsent_bytes(self.sock))

    # Reading.

    async def read(self) -> None:
        """Read commands until the client ends, breaks off, or says what is no command."""
        try:
            while True:
                size = await self.reading.run(
                    self.loop.sock_recv_into(self.sock, self.receive_buffer.free_space())
                )
                if not size:
                    self.on_disconnect()
                    break
                recorded = self.account_read(size)
                if self.recording and recorded is not None:
                    self.recording.record_request_bytes(recorded)
                self.note_waiting()
                taken = await self.take_commands()
                self.note_partial_command(taken)
                self.is_handling_read = False
                if taken != 1:  # more may wait: a read that finds bytes does not let others have their turn
                    await asyncio.sleep(0)
        except ProtocolError as error:
            self.end(str(error))
        except OSError:
            pass
        finally:
            self.is_handling_read = False
            if not self.ending:
                self.close()

    def note_waiting(self) -> None:
        """Note how long what was read lay here, and whether its client went meanwhile."""
        waited = seconds_since_received(self.sock)
        self.waited = waited if waited >= limits.MIN_WAIT_S else 0.0
        self.client_has_gone = self.waited > 0 and peer_has_closed(self.sock)

    async def take_commands(self) -> int:
        """Take the whole commands that were read, as fast as their answers go out; returns how many."""
        taken = 0
        for arguments in self.whole_commands():
            while len(self.replies) >= limits.MAX_PIPELINED or self.unwritten:
                self.may_go_on.clear()
                await self.may_go_on.wait()
            self.take(arguments)
            taken += 1
            if self.bad_commands:  # others come first: the same again costs who sends it, not them
                await asyncio.sleep(limits.BAD_COMMAND_PAUSE_S * self.bad_commands)
        return taken

    def note_partial_command(self, taken: int) -> None:
        """Set the clocks of a command of which only a part has come."""
        self.bytes_since = self.loop.time()
        if not self.receive_buffer.incomplete_bytes:
            self.command_since = 0.0
        elif taken or not self.command_since:
            self.command_since = self.bytes_since

    def take(self, arguments: list[memoryview]) -> None:
        """Carry out one command.

        Raises:
            ProtocolError: One too many in a row could not be carried out.
        """
        self.has_spoken = True
        self.command_since = 0.0
        reply = self.next_reply()
        self.downstream.mark_used(self)
        try:
            self.carry_out(arguments, reply)
            self.bad_commands = 0
        except CommandError as error:
            reply.fail(error.reason)
            self.bad_commands += 1
            if self.bad_commands >= limits.MAX_BAD_COMMANDS:
                raise ProtocolError("too many commands without sense") from error

    def carry_out(self, arguments: list[memoryview], reply: PendingReply) -> None:
        """Answer a PING, or hand a request on.

        Raises:
            CommandError: It is neither, or can't be carried out.
        """
        request = self.session.interpret(arguments)
        if request is None:
            reply.send(self.session.pong)
            return
        reply.request_id = request.id
        request.timeout -= self.waited
        is_over = request.timeout <= 0 or self.client_has_gone
        time_left = self.downstream.time_left() - limits.KILL_MARGIN_S
        if is_over or time_left < request.timeout:  # it might meet SIGKILL
            reply.reject(None)  # it has run nowhere yet
        else:
            self.downstream.handler.start_request(request, reply)

    # The end of reading.

    def on_disconnect(self) -> None:
        """The client has closed its connection, or ended its sending on it: TCP does not tell which.

        It has gone (PROTOCOL): nothing more is sent for what is in flight. If it still reads, it has its
        answers, also those that it has not taken yet: `check_clocks` or `on_written` close behind them.
        """
        for reply in list(self.replies):
            self.downstream.handler.on_client_disconnect(reply)
            if reply.parts is None:
                reply.fail("its connection ended")
        if self.unwritten and not self.closed:
            self.begin_end()
            if self.reader is not asyncio.current_task():
                self.reader.cancel()
        else:
            self.close()

    def end(self, reason: str) -> None:
        """One error line behind what is in flight; then nothing more is read, and `check_clocks` closes."""
        self.downstream.report_broken(reason)
        self.begin_end()
        self.next_reply().fail(reason)

    def stop_reading(self) -> None:
        """Nothing more is read: its client sends again what waits unread.

        The close comes at once, for only a close tells the client: the system resets a connection on which
        something lies unread. Answers that it is slow to take go out first, and `check_clocks` closes.
        """
        if not has_unsent_bytes(self.sock):
            self.close()
            return
        self.begin_end()
        self.reader.cancel()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def begin_end(self) -> None:
        """Nothing more is read; the clocks of the end run from now."""
        self.ending = True
        self.since = self.loop.time()

    # Time.

    def check_clocks(self, now: float, crowded: bool) -> None:
        """Do what time alone brings about; ``crowded``: more than half the room is taken."""
        if (self.is_handling_read or self.ending) and self.replies and peer_has_closed(self.sock):
            self.on_disconnect()  # it is not being read, so that nobody else sees the end
        elif self.ending:
            self.check_end(now)
        elif self.command_since:
            self.check_partial_command(now)
        elif self.idle:
            self.check_idle(now, crowded)

    def check_end(self, now: float) -> None:
        """Close a connection that ends, once its answers are out or late."""
        if self.idle:  # so that the error line is read, or the end seen
            if now - self.since >= (limits.SETTLE_S if has_unsent_bytes(self.sock) else limits.LINGER_S):
                self.close()
        elif now - self.since >= limits.SETTLE_S:  # its error line is due: the rest gets its final answer
            self.since = now
            replies = list(self.replies)
            for reply in replies:
                self.downstream.handler.fail_reply(reply)
            if not replies:  # it does not take its answers
                self.close()

    def check_partial_command(self, now: float) -> None:
        """End a connection on which a command stopped half way."""
        silent = now - self.bytes_since >= limits.COMMAND_SILENCE_S
        late = silent or now - self.command_since >= limits.COMMAND_TIMEOUT_S
        if late and not self.has_unread():
            self.end("a command stopped half way")
            self.reader.cancel()

    def check_idle(self, now: float, crowded: bool) -> None:
        """Close a connection that is idle for too long, unless it would lose something."""
        if not self.has_spoken:
            limit = limits.COMMAND_SILENCE_S
        elif crowded:
            limit = limits.IDLE_CROWDED_S
        else:
            limit = limits.IDLE_S
        if now - self.since >= limit and not self.would_lose(now):
            self.close()

    # Answers.

    def next_reply(self) -> PendingReply:
        """A place for the answer to the command that came last."""
        reply = PendingReply(self)
        self.replies.append(reply)
        return reply

    def flush(self) -> None:
        """Send the answers whose turn it is."""
        parts: list[bytes | memoryview] = []
        comments: list[str] = []
        while self.replies and self.replies[0].parts is not None:
            reply = self.replies.popleft()
            parts += reply.parts or ()
            if self.recording and reply.request_id is not None and reply.parts:
                request_id = reply.request_id.decode(errors="replace")
                comments.append(f"invocation {request_id} {self.session.how_answered(reply.parts)}")
        if self.closed or not parts:
            return
        if self.unwritten:
            self.keep_unwritten(b"".join(parts))
            return
        self.write(parts, comments)

    def write(self, parts: list[bytes | memoryview], comments: list[str]) -> None:
        """Write answers; what the system does not take at once is left to a task."""
        size = sum(map(len, parts))
        try:
            sent = self.sock.sendmsg(parts if len(parts) < limits.MAX_WRITE_PARTS else [b"".join(parts)])
        except BlockingIOError:
            sent = 0
        except OSError:
            self.downstream.close_soon(self)
            return
        if self.recording and sent:
            self.recording.record_reply_bytes(b"".join(parts)[:sent], "; ".join(comments))
        if sent < size:
            self.keep_unwritten(b"".join(parts)[sent:])
            self.writer = asyncio.ensure_future(self.write_rest())
        else:
            self.on_written()

    def on_written(self) -> None:
        """All answers so far are out."""
        self.since = self.loop.time()
        self.may_go_on.set()
        if self.ending and self.idle:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        self.downstream.settle(self)

    def keep_unwritten(self, data: bytes) -> None:
        """Keep bytes that the system has not taken, within the bound that all connections share."""
        self.unwritten += data
        self.downstream.add_unwritten(len(data))

    async def write_rest(self) -> None:
        """Write what the system did not take at once, as fast as the client reads."""
        try:
            while self.unwritten:
                part = self.unwritten[: limits.WRITE_CHUNK_BYTES]
                async with asyncio.timeout(limits.STALL_S):
                    await self.loop.sock_sendall(self.sock, part)
                if self.recording:
                    self.recording.record_reply_bytes(part)
                self.unwritten = self.unwritten[len(part) :]
                self.downstream.unwritten_bytes -= len(part)
        except (OSError, TimeoutError):
            self.close()
            return
        self.on_written()

    def close(self) -> None:
        """Give everything back; the clients of what is in flight count as gone."""
        if self.closed:
            return
        self.closed = True
        self.downstream.forget(self)
        self.unwritten = b""
        self.release(CLIENT_SIDE)
        while self.replies:
            reply = self.replies.popleft()
            if reply.parts is None:
                self.downstream.handler.on_client_disconnect(reply)
