"""A client connection: reads commands and enforces the timeouts; `ReplyStream` writes the replies."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from gatebank.proxy.buffers import NoRoomError, ProtocolError
from gatebank.proxy.downstream import limits
from gatebank.proxy.downstream.arrival import ArrivalClock
from gatebank.proxy.downstream.close_reason import CloseReason
from gatebank.proxy.downstream.replies import PendingReply
from gatebank.proxy.downstream.reply_stream import ReplyStream
from gatebank.proxy.log import LOG, log_kv
from gatebank.proxy.messages import ClientRequest, CommandError
from gatebank.proxy.sockets import has_unsent_bytes, peer_has_closed, unread_bytes

if TYPE_CHECKING:
    from gatebank.proxy.downstream.listener import Downstream

CLIENT_SIDE = 0  # The client's side in a recording: the side that opened the connection.


class ClientConnection(ReplyStream):
    """A client connection; `close` releases all resources that the connection owns.

    Attributes:
        number: Number of the connection since the start, from 1.
        partial_command_since: Loop time since which an incomplete command is in the buffer; 0.0 if there is
            none.
        last_bytes_at: Loop time at which bytes were last handled.
        has_sent_command: Whether a whole command has arrived.
        consecutive_bad_commands: Number of consecutive commands that could not be carried out.
        commands_granted: Number of commands that may be handled before this connection waits for a turn.
        arrival: Measures how long a command has waited since it arrived.
    """

    def __init__(self, downstream: Downstream, sock: socket.socket) -> None:
        recording = downstream.record(sock) if downstream.record else None
        buffer = downstream.session.create_buffer(downstream.buffer_budget)
        super().__init__(downstream, sock, buffer, recording)
        self.parse_commands = buffer.commands
        self.skip_command = buffer.skip_command
        self.partial_values = buffer.partial_command_values
        self.count_commands = buffer.count_commands
        self.is_skipping_command = buffer.is_skipping
        self.number = next(downstream.connection_numbers)
        self.partial_command_since = 0.0
        self.last_bytes_at = 0.0
        self.has_sent_command = False
        self.consecutive_bad_commands = 0
        self.commands_granted = 1
        self.arrival = ArrivalClock(sock)
        self.reader = asyncio.ensure_future(self.read())

    def close_would_lose_data(self, now: float) -> bool:
        """Return whether closing this idle connection would lose data.

        Such data are commands that were not read yet, and replies in the kernel's send queue that the client
        has no room for. These replies no longer count when the last write was
        `limits.WRITE_STALL_TIMEOUT_S` ago.
        """
        return self.has_unread() or (
            now - self.timeout_start < limits.WRITE_STALL_TIMEOUT_S and has_unsent_bytes(self.sock)
        )

    def answer_is_untaken(self, now: float) -> bool:
        """Return whether this idle connection's client has not taken its last answer in time.

        Args:
            now: Loop time.
        """
        return now - self.timeout_start >= limits.UNTAKEN_GRACE_S and not self.has_unread()

    def close_may_be_hidden(self) -> bool:
        """Return whether the client's close may wait behind bytes that this machine has no room for.

        The kernel learns of a close only after the bytes before it. While the connection is not read, a
        client may have left that many bytes and closed.
        """
        is_behind = self.is_handling_read or self.arrival.may_hold_bytes
        return (
            is_behind
            and self.arrival.seconds_since_empty() > limits.MAX_UNREAD_S
            and unread_bytes(self.sock) > limits.MAX_UNREAD_BYTES
        )

    # Reading commands.

    async def read(self) -> None:
        """Read commands until the client disconnects or sends malformed input."""
        try:
            await self.read_commands()
        except ProtocolError as error:
            self.close_with_error(str(error))
        except (OSError, asyncio.CancelledError):  # A task that ends cancelled keeps its frame in a cycle.
            pass
        finally:
            self.is_handling_read = False
            if not self.closing:
                self.close(CloseReason.DISCONNECTED)
        if self.discards_input and not self.closed:
            await self.discard_input()

    async def read_commands(self) -> None:
        """Read and handle commands until the client disconnects.

        Raises:
            ProtocolError: The client sent malformed input.
            OSError: The connection is broken.
        """
        while True:
            space = self.find_space()
            self.arrival.before_read()
            if self.arrival.found_empty:
                self.commands_granted = max(1, self.commands_granted)
            size = await self.reading.run(self.loop.sock_recv_into(self.sock, space))
            if not size:
                self.on_disconnect()
                return
            recorded_bytes = self.account_read(size)
            if self.recording and recorded_bytes is not None:
                self.recording.record_request_bytes(recorded_bytes)
            self.arrival.on_read(took_all=size < len(space))
            command_count = await self.handle_commands()
            self.update_partial_command_times(command_count)
            self.is_handling_read = False
            if self.evicted:
                self.start_closing()
                self.close_if_evicted()
                return
            # More bytes may be waiting, and a read that finds bytes at once does not yield to other tasks. A
            # client that sent exactly one command usually waits for the reply, so the next read yields.
            if command_count != 1:
                await asyncio.sleep(0)

    def find_space(self) -> memoryview:
        """Return the memory for the next read; without memory for a long command, reject the command.

        Raises:
            ProtocolError: A command is longer than allowed, or its beginning is malformed.
        """
        try:
            return self.receive_buffer.free_space()
        except NoRoomError:
            request_id = self.partial_request_id()
            self.skip_command()
        self.downstream.handler.count("no room for command")
        self.has_sent_command = True
        self.partial_command_since = 0.0
        self.downstream.mark_used(self)
        self.downstream.handler.refuse(request_id, self.add_pending_reply())
        return self.receive_buffer.free_space()

    def partial_request_id(self) -> bytes | None:
        """Return the id of the request that has arrived in part; None if the id has not arrived."""
        return self.session.request_id(self.partial_values())

    async def discard_input(self) -> None:
        """Read what the client still sends behind malformed input, up to a bound, and drop it.

        The kernel resets a connection that is closed with unread bytes, and the client may lose the error
        line by that.
        """
        left = limits.MAX_DISCARDED_BYTES
        with suppress(OSError, asyncio.CancelledError):
            while left > 0:
                await self.downstream.discard_turns.wait()
                size = await self.loop.sock_recv_into(self.sock, self.downstream.discard_buffer)
                if not size:
                    return
                left -= size

    async def handle_commands(self) -> int:
        """Handle the whole commands in the buffer, no faster than replies are written.

        Returns:
            The number of handled commands.
        """
        command_count = 0
        for arguments in self.parse_commands():
            while self.must_wait_for_replies():
                self.arrival.on_reading_paused()
                await self.wait_until_written()
            if not self.evicted:
                await self.wait_for_turn(arguments)
            self.handle_command(arguments)
            command_count += 1
            # Other clients are served first: repeated bad commands delay their sender alone.
            if self.consecutive_bad_commands and not self.evicted:
                self.arrival.on_reading_paused()
                await asyncio.sleep(limits.BAD_COMMAND_PAUSE_S * self.consecutive_bad_commands)
        return command_count

    def must_wait_for_replies(self) -> bool:
        """Return whether replies have to be written before the next command is handled."""
        is_behind = bool(self.unwritten) or len(self.replies) >= self.downstream.max_pipelined()
        return is_behind and not self.evicted

    async def wait_for_turn(self, arguments: list[memoryview]) -> None:
        """Wait until a command may be handled; a small one that was waited for may be handled at once."""
        if not self.commands_granted or sum(map(len, arguments)) > limits.SMALL_COMMAND_BYTES:
            self.arrival.on_reading_paused()
            self.commands_granted = await self.downstream.command_turns.wait()
        self.commands_granted -= 1

    def update_partial_command_times(self, command_count: int) -> None:
        """Update the start times of the timeouts for an incomplete command.

        Args:
            command_count: Number of whole commands that the last read completed.
        """
        self.last_bytes_at = self.loop.time()
        if not self.receive_buffer.incomplete_bytes:
            self.partial_command_since = 0.0
        elif command_count or not self.partial_command_since:
            self.partial_command_since = self.last_bytes_at

    def handle_command(self, arguments: list[memoryview]) -> None:
        """Carry out one command, or reply to it with an error.

        Raises:
            ProtocolError: Too many consecutive commands could not be carried out.
        """
        self.has_sent_command = True
        self.partial_command_since = 0.0
        reply = self.add_pending_reply()
        self.downstream.mark_used(self)
        try:
            self.execute_command(arguments, reply)
            self.consecutive_bad_commands = 0
        except CommandError as error:
            reply.fail(error.reason)
            self.consecutive_bad_commands += 1
            if self.consecutive_bad_commands >= self.downstream.max_bad_commands():
                raise ProtocolError("too many commands without sense") from error

    def execute_command(self, arguments: list[memoryview], reply: PendingReply) -> None:
        """Reply to a PING, or pass a request to the handler.

        Raises:
            CommandError: The command is neither a PING nor a request, or cannot be carried out.
        """
        request = self.session.parse_command(arguments)
        if request is None:
            reply.send(self.session.pong)
            return
        reply.request_id = request.id
        waited = self.arrival.seconds_waited()
        request.timeout -= waited
        if reason := self.reason_not_to_start(request, waited):
            self.log_not_started(request, reason, waited)
            self.downstream.handler.refuse(request.id, reply)
        else:
            self.downstream.handler.start_request(request, reply)

    def reason_not_to_start(self, request: ClientRequest, waited: float) -> str:
        """Return why a request must not be sent to any endpoint; empty if it may be sent.

        Args:
            request: The request, with the timeout that is left to its client.
            waited: Seconds for which the request had waited since its last byte arrived.
        """
        # Nothing is read while a command waits, so only this check sees that its client has gone.
        if waited and peer_has_closed(self.sock):
            return "its client disconnected"
        if self.evicted:
            return "its connection ends to make room"
        if self.close_may_be_hidden():
            return "its client may have closed behind bytes that are not read yet"
        if request.timeout <= 0:
            return "its deadline has passed"
        # A request whose deadline is too close to SIGKILL might be killed unanswered.
        if self.downstream.time_until_sigkill() - limits.SIGKILL_MARGIN_S < request.timeout:
            return "SIGKILL may come before its deadline"
        return ""

    def log_not_started(self, request: ClientRequest, reason: str, waited: float) -> None:
        """Log at debug level that a request is rejected unsent, ``waited`` seconds after its last byte."""
        if LOG.isEnabledFor(logging.DEBUG):
            id_text = request.id.decode(errors="replace")
            log_kv("not_started", logging.DEBUG, id=id_text, why=reason, waited=waited)

    # End of reading.

    def on_disconnect(self) -> None:
        """Handle the end of the client's sending: TCP does not tell whether the client also stopped reading.

        According to PROTOCOL (the specification of the protocol), the client counts as gone: no further
        attempts are sent for its requests in flight. A client that still reads gets all its replies,
        including unwritten ones; afterwards `check_timeouts` or `on_written` ends the connection.
        """
        for reply in list(self.replies):
            self.downstream.handler.on_client_disconnect(reply)
            if reply.parts is None:
                reply.fail("its connection ended")
        if self.unwritten and not self.closed:
            self.start_closing()
            if self.reader is not asyncio.current_task():
                self.reader.cancel()
        else:
            self.close(CloseReason.DISCONNECTED)

    def close_with_error(self, reason: str) -> None:
        """Stop reading, and queue an error reply after the pending replies.

        `check_timeouts` closes the connection later.
        """
        self.downstream.report_protocol_error(reason)
        self.start_closing()
        self.discards_input = True
        self.receive_buffer.close()
        self.add_pending_reply().fail(reason)

    def stop_reading(self) -> None:
        """Stop reading; the client sends unread requests again on another connection.

        Only a close informs the client: the kernel resets a connection that has unread bytes. If the kernel
        has sent all replies, the connection is closed at once; otherwise `check_timeouts` closes it after the
        replies are sent.
        """
        if not has_unsent_bytes(self.sock):
            self.close(CloseReason.NOT_READ)
            return
        self.start_closing()
        self.reader.cancel()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def sends_without_waiting(self) -> bool:
        """Return whether the client has sent many commands without waiting for their answers."""
        unanswered = len(self.replies) + self.count_commands(limits.MIN_PIPELINED + 1)
        return unanswered > limits.MIN_PIPELINED

    def skips_refused_command(self, now: float) -> bool:
        """Return whether only the rest of a command still arrives that was answered some time ago."""
        is_refused = self.idle and self.is_skipping_command()
        return is_refused and now - self.timeout_start >= limits.FIRST_COMMAND_GRACE_S

    def may_be_evicted(self, now: float) -> bool:
        """Return whether the client does more than wait for the answer of one command."""
        if self.closing or self.evicted:
            return False
        return self.sends_without_waiting() or self.skips_refused_command(now)

    def evict(self) -> None:
        """End the connection to make room, although its client still sends.

        Commands that were read are rejected, requests in flight are answered. The client sends what is not
        read again on another connection: PROTOCOL lets an instance close one between requests.
        """
        self.evicted = True
        if not self.is_being_read():
            self.start_closing()
            self.reader.cancel()
            self.close_if_evicted()
        elif self.all_written and not self.all_written.done():
            self.all_written.set_result(None)

    def close_if_evicted(self) -> None:
        """Close an evicted connection once all that was read is answered, and the answers are sent."""
        if self.evicted and self.closing and self.idle and not has_unsent_bytes(self.sock):
            self.downstream.close_soon(self, CloseReason.MAKE_ROOM)

    def start_closing(self) -> None:
        """Mark that reading has ended, and start the closing timeout."""
        self.closing = True
        self.timeout_start = self.loop.time()

    # Timeouts.

    def check_timeouts(self, now: float, is_crowded: bool) -> None:
        """Check this connection's timeouts, and act on expired ones.

        Args:
            now: Loop time.
            is_crowded: Whether more than half of the allowed connections are open.
        """
        if self.is_handling_read:
            self.arrival.check_empty()
        if (self.is_handling_read or self.closing) and self.replies and peer_has_closed(self.sock):
            self.on_disconnect()  # The connection is not being read, so only this check sees the disconnect.
        elif self.closing:
            self.check_closing(now)
        elif self.partial_command_since:
            self.check_partial_command(now)
        elif self.idle:
            self.check_idle(now, is_crowded)

    def check_closing(self, now: float) -> None:
        """Close a connection that has ended reading, once its replies are written or overdue."""
        if self.idle:
            # The delay lets the client read the error line, or see the end of the connection.
            if now - self.timeout_start >= self.linger_time():
                self.close(CloseReason.ERROR_SENT)
        elif now - self.timeout_start >= self.closing_timeout():
            # The error line is due, so all requests before it get their final answer now.
            self.timeout_start = now
            replies = list(self.replies)
            for reply in replies:
                self.downstream.handler.fail_reply(reply)
            if not replies:  # All requests are answered, but the client does not read the replies.
                self.close(CloseReason.WRITE_STALLED)

    def closing_timeout(self) -> float:
        """Return the seconds that requests in flight get after the last read, or replies to be taken."""
        return limits.EVICTION_GRACE_S if self.evicted else limits.CLOSING_TIMEOUT_S

    def linger_time(self) -> float:
        """Return the seconds from the last written reply to the close, once reading has ended."""
        if has_unsent_bytes(self.sock):
            return self.closing_timeout()
        if self.evicted:
            return 0.0
        is_in_service = self.downstream.terminated_at is None
        return limits.ERROR_LINGER_S if self.discards_input and is_in_service else limits.LINGER_S

    def check_partial_command(self, now: float) -> None:
        """Close the connection with an error if the rest of a command does not arrive in time."""
        is_silent = now - self.last_bytes_at >= limits.COMMAND_IDLE_TIMEOUT_S
        is_late = is_silent or now - self.partial_command_since >= limits.COMMAND_TIMEOUT_S
        if is_late and not self.has_unread():
            self.end_partial_command("a command stopped half way")

    def has_stopped_within_command(self) -> bool:
        """Return whether an incomplete command uses memory and none of its bytes wait to be read."""
        return bool(self.partial_command_since) and not self.closing and not self.has_unread()

    def end_partial_command(self, reason: str) -> None:
        """Close the connection with an error, as an incomplete command is not waited for any longer."""
        self.close_with_error(reason)
        self.reader.cancel()

    def check_idle(self, now: float, is_crowded: bool) -> None:
        """Close a connection that has been idle for too long, unless the close would lose data."""
        if not self.has_sent_command:
            limit = limits.COMMAND_IDLE_TIMEOUT_S
        elif is_crowded:
            limit = limits.CROWDED_IDLE_TIMEOUT_S
        else:
            limit = limits.IDLE_TIMEOUT_S
        if now - self.timeout_start >= limit and not self.close_would_lose_data(now):
            self.close(CloseReason.IDLE)

    def on_replies_written(self) -> None:
        """See `ReplyStream`; an evicted connection is closed and, during shutdown, each idle one."""
        self.close_if_evicted()
        self.downstream.close_if_finished(self)

    # End of the connection.

    def add_pending_reply(self) -> PendingReply:
        """Add and return the pending reply of the command that arrived last."""
        reply = PendingReply(self)
        self.replies.append(reply)
        return reply

    def close(self, reason: CloseReason) -> None:
        """Release all resources; the client of the requests in flight counts as gone."""
        if self.closed:
            return
        self.closed = True
        self.log_closed(reason)
        self.downstream.remove_connection(self)
        self.unwritten = b""
        self.release(CLIENT_SIDE)
        while self.replies:
            reply = self.replies.pop(0)
            reply.release()
            if reply.parts is None:
                self.downstream.handler.on_client_disconnect(reply)

    def log_closed(self, reason: CloseReason) -> None:
        """Count the close by its reason, and log it at debug level with the ids that are not answered."""
        self.downstream.handler.count(f"closed {reason}")
        if LOG.isEnabledFor(logging.DEBUG):
            unanswered = [reply.request_id for reply in self.replies if reply.parts is None]
            ids = b",".join(request_id for request_id in unanswered if request_id).decode(errors="replace")
            log_kv("client_closed", logging.DEBUG, why=reason, unanswered=len(unanswered), ids=ids)

    @property
    def is_lingering(self) -> bool:
        """Whether the connection has its error line, and stays open only for the client to read it."""
        return self.closing and self.idle and not self.evicted

    @property
    def state(self) -> str:
        """The connection's state in one word, for the counters of the status line."""
        if self.closing:
            return "closing"
        if self.unwritten:
            return "unwritten"
        if self.replies:
            return "waiting"
        if self.partial_command_since:
            return "partial"
        return "idle" if self.has_sent_command else "new"
