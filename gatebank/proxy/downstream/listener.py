"""Listener and set of client connections: admission, overload and graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from contextlib import suppress
from itertools import count, islice
from math import inf

from gatebank.proxy.buffers import MemoryBudget
from gatebank.proxy.configuration import Address, MemoryBounds
from gatebank.proxy.downstream import limits, room
from gatebank.proxy.downstream.close_reason import CloseReason
from gatebank.proxy.downstream.connection import ClientConnection
from gatebank.proxy.downstream.replies import RequestHandler
from gatebank.proxy.downstream.reply_stream import ReplyStream
from gatebank.proxy.downstream.work_turns import WorkTurns
from gatebank.proxy.log import LogInterval, log_kv
from gatebank.proxy.messages import request_classes_by_name, tenants_by_name
from gatebank.proxy.resp2.session import ClientSession
from gatebank.proxy.sockets import PendingOperation, StartRecording, open_socket
from gatebank.settings import Settings


class Downstream:
    """Owns the listener and all client connections.

    Args:
        settings: Settings with the names of request classes and tenants, and the classes' deadlines.
        handler: Handler that takes the requests.
        max_connections: Number of descriptors that client connections may use.
        bounds: Memory bounds of unwritten replies and of receive buffers.

    Attributes:
        connections: Open connections, the least recently used first; `ClientConnection.close` removes them.
        unwritten_bytes: Bytes of replies that clients have not taken.
        peak_count: Highest number of connections that were open at the same time.
        shutting_down: Whether connections are closed as they become idle.
        terminated_at: Loop time of SIGTERM; None before it.
        protocol_error_count: Number of connections that sent malformed input, since the start.
    """

    record: StartRecording | None = None  # Begins the recording of a connection; None if disabled.

    def __init__(
        self, settings: Settings, handler: RequestHandler, max_connections: int, bounds: MemoryBounds
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.handler = handler
        self.max_connections = max_connections
        self.max_unwritten_bytes = bounds.unread_reply_bytes
        self.buffer_budget = MemoryBudget(bounds.buffer_growth_bytes, self.close_stalled_commands)
        self.session = ClientSession(request_classes_by_name(settings), tenants_by_name(settings))
        self.connections: dict[ClientConnection, None] = {}
        self.connection_numbers = count(1)
        self.command_turns = WorkTurns(self.loop, limits.COMMANDS_PER_TURN)
        self.discard_turns = WorkTurns(self.loop, limits.DISCARDS_PER_TURN)
        self.discard_buffer = bytearray(limits.DISCARD_READ_BYTES)  # Receives input that nobody looks at.
        self.unwritten_bytes = 0
        self.peak_count = 0
        self.shutting_down = False
        self.terminated_at: float | None = None
        self.sigkill_delay = limits.SIGKILL_GRACE_S + longest_deadline(settings)  # Seconds after SIGTERM.
        self.pending_accept = PendingOperation()
        self.accept_task: asyncio.Task[None] | None = None  # The task that runs `accept`.
        self.protocol_error_count = 0
        self.protocol_error_log = LogInterval(limits.PROTOCOL_ERROR_LOG_INTERVAL_S)
        self.failed_accept_log = LogInterval(limits.PROTOCOL_ERROR_LOG_INTERVAL_S)
        self.listener: socket.socket | None = None

    # Accepting connections.

    def listen(self, address: Address) -> None:
        """Open the listener.

        Raises:
            OSError: Listening on the address failed.
        """
        self.listener = open_socket(address)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with suppress(OSError):
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, limits.KERNEL_RECEIVE_BYTES)
        self.listener.bind(address)
        self.listener.listen(limits.LISTEN_BACKLOG)

    async def accept(self) -> None:
        """Accept connections while the listener is open; beyond the bound they wait in the backlog."""
        self.accept_task = asyncio.current_task()
        while self.listener:
            try:
                sock, _ = await self.pending_accept.run(self.loop.sock_accept(self.listener))
            except ConnectionAbortedError:  # The client has gone before it was accepted.
                continue
            except OSError as error:  # No descriptor or memory is free for the moment.
                self.report_failed_accept(error)
                await asyncio.sleep(limits.ACCEPT_RETRY_S)
                continue
            await self.wait_for_room(self.add_connection(sock))
            self.accept_waiting()

    def report_failed_accept(self, error: OSError) -> None:
        """Count a failed accept, and log it unless another was logged just before."""
        self.handler.count("accept failed")
        if self.failed_accept_log.is_due():
            log_kv("accept_failed", logging.WARNING, why=error)

    def accept_waiting(self) -> None:
        """Accept the connections that wait in the backlog, up to the bounds.

        uvloop accepts one connection in each turn of the loop. Under load a turn takes tens of milliseconds,
        and the requests of a crowd of new clients would wait in the backlog past their deadlines. Where all
        places are taken, each accepted connection gets that of one which has its error line and only lingers.
        """
        listener = self.listener
        lingering = room.choose_lingering(self.connections)
        for _ in range(limits.MAX_ACCEPTS_PER_TURN):
            is_full = len(self.connections) >= self.max_connections
            if not listener or (is_full and not lingering):
                return
            try:
                sock, _ = listener.accept()
            except ConnectionAbortedError:
                continue
            except OSError:  # None waits, or the next `sock_accept` reports the error.
                return
            self.add_connection(sock)
            if is_full:
                lingering.pop().close(CloseReason.MAKE_ROOM)

    async def wait_for_room(self, newest: ClientConnection) -> None:
        """Close connections until the bound is met; meanwhile, new ones wait in the backlog.

        Args:
            newest: The connection accepted last, which is not closed.
        """
        while len(self.connections) > self.max_connections and not self.make_room(newest):
            self.evict_some()
            await asyncio.sleep(limits.MAKE_ROOM_RETRY_S)

    def add_connection(self, sock: socket.socket) -> ClientConnection:
        """Add a connection for a socket that has been accepted."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self, sock)
        self.connections[connection] = None
        self.peak_count = max(self.peak_count, len(self.connections))
        return connection

    def max_pipelined(self) -> int:
        """Return the number of commands that may be in flight on one connection."""
        share = limits.MAX_PIPELINED_IN_ALL // max(1, len(self.connections))
        return max(limits.MIN_PIPELINED, min(limits.MAX_PIPELINED, share))

    def max_bad_commands(self) -> int:
        """Return the number of consecutive bad commands that ends a connection."""
        if len(self.connections) < self.max_connections:
            return limits.MAX_BAD_COMMANDS
        return limits.MAX_BAD_COMMANDS_WHEN_FULL

    def mark_used(self, connection: ClientConnection) -> None:
        """Mark a connection as the most recently used, as a command arrived on it."""
        self.connections[connection] = self.connections.pop(connection, None)

    # Overload.

    async def check_timeouts(self) -> None:
        """Check all connections' timeouts periodically; runs until the task is cancelled."""
        while True:
            await asyncio.sleep(limits.CHECK_INTERVAL_S)
            await self.check_all_timeouts()  # A local variable here would keep a closed connection.

    async def check_all_timeouts(self) -> None:
        """Check each connection's timeouts once, in several turns, and close surplus idle connections."""
        is_crowded = 2 * len(self.connections) > self.max_connections
        checks_left = limits.CHECKS_PER_TURN
        for connection in list(self.connections):
            if connection.closed:
                continue
            connection.check_timeouts(self.loop.time(), is_crowded)
            checks_left -= limits.CHECKS_PER_CLOSE if connection.closed else 1
            if checks_left <= 0:
                await asyncio.sleep(0)
                checks_left = limits.CHECKS_PER_TURN
        self.close_surplus_idle()

    def close_surplus_idle(self) -> None:
        """Close the least recently used idle connections beyond a third of the allowed number.

        This third is a sixth of all descriptors. Clients may use a third of the descriptors for their
        requests, and some keep a connection open for good after one request; the bound lets others still
        connect.
        """
        max_idle = self.max_connections // 3
        for connection in room.choose_surplus(self.connections, max_idle, self.loop.time()):
            connection.close(CloseReason.SURPLUS)

    def make_room(self, newest: ClientConnection | None) -> bool:
        """Close one idle connection other than the newest, to make room for another.

        Returns:
            False if no connection may be closed.
        """
        chosen = room.choose_idle(self.connections, newest, self.loop.time())
        if chosen:
            chosen.close(CloseReason.MAKE_ROOM)
        return chosen is not None

    def evict_some(self) -> None:
        """End some of the connections whose clients do not wait for answers."""
        connections = list(self.connections)
        for connection in connections:
            connection.close_if_evicted()
        busy = room.choose_busy(connections, self.loop.time())
        for connection in islice(busy, limits.EVICTIONS_PER_TURN):
            connection.evict()

    def close_stalled_commands(self, size: int) -> None:
        """End connections that stopped within a command, the longest silent first, to free ``size`` bytes.

        The memory for receive buffers is used up, and a client that goes on sending needs some.
        """
        for connection in room.choose_stalled(self.connections, self.loop.time()):
            if self.buffer_budget.available >= size:
                return
            connection.end_partial_command("no room for a message so long")

    def add_unwritten(self, size: int) -> None:
        """Count unwritten reply bytes; beyond the bound, close the connection with the most of them."""
        self.unwritten_bytes += size
        if self.unwritten_bytes > self.max_unwritten_bytes:
            largest = max(self.connections, key=lambda connection: len(connection.unwritten))
            log_kv(
                "client_cut", logging.WARNING, why="too many unwritten reply bytes", owed=self.unwritten_bytes
            )
            self.close_soon(largest, CloseReason.UNWRITTEN_BYTES)

    def report_protocol_error(self, reason: str) -> None:
        """Count a connection that sent malformed input, and log it unless another was logged just before."""
        self.protocol_error_count += 1
        if self.protocol_error_log.is_due():
            log_kv("client_broken", logging.WARNING, why=reason, so_far=self.protocol_error_count)

    def close_soon(self, connection: ReplyStream, reason: CloseReason) -> None:
        """Close a connection in the next turn of the loop, not while the caller still works on it."""
        self.loop.call_soon(connection.close, reason)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a connection that closes, and its unwritten bytes, from the totals."""
        self.connections.pop(connection, None)
        self.unwritten_bytes -= len(connection.unwritten)

    # Graceful shutdown.

    def close_if_finished(self, connection: ClientConnection) -> None:
        """During shutdown, close a connection that is idle, or stop reading it shortly before SIGKILL."""
        if not self.shutting_down or not connection.idle or connection.closing:
            return
        now = self.loop.time()
        if not connection.partial_command_since and not connection.close_would_lose_data(now):
            # A client that has just connected may be about to send its first command.
            if connection.has_sent_command or room.is_past_grace(connection, now):
                connection.close(CloseReason.SHUTDOWN)
        elif self.time_until_sigkill() < limits.STOP_READING_MARGIN_S and not connection.is_being_read():
            connection.stop_reading()

    def fail_unanswered(self) -> None:
        """Give all requests in flight their final answer."""
        for connection in list(self.connections):
            for reply in list(connection.replies):
                if reply.parts is None:
                    self.handler.fail_reply(reply)

    def time_until_sigkill(self) -> float:
        """Return the seconds until SIGKILL may come; infinity before SIGTERM."""
        if self.terminated_at is None:
            return inf
        return self.terminated_at + self.sigkill_delay - self.loop.time()

    async def shut_down(self) -> None:
        """Shut down after SIGTERM: accept while new clients may connect, then close idle connections."""
        self.terminated_at = self.loop.time()
        await asyncio.sleep(limits.ACCEPT_AFTER_SIGTERM_S)
        await self.stop_listening()
        self.shutting_down = True
        while self.connections:
            self.close_finished()
            await asyncio.sleep(limits.SHUTDOWN_CHECK_INTERVAL_S)

    def close_finished(self) -> None:
        """During shutdown, close all connections that are idle; fail requests in flight before SIGKILL."""
        if self.time_until_sigkill() < limits.LAST_ANSWERS_MARGIN_S:
            self.fail_unanswered()
        for connection in list(self.connections):
            self.close_if_finished(connection)

    async def stop_listening(self) -> None:
        """Close the listener after taking the connections that the kernel has already accepted.

        The accepting task is cancelled first, because the socket stays open for as long as the loop waits on
        it. The task goes on if its accept has completed and the task has not seen the new connection yet.
        Where descriptors are short, this method closes idle connections or waits for descriptors.
        """
        listener = self.listener
        self.listener = None
        if not listener:
            return
        if self.accept_task and not self.pending_accept.done:
            self.accept_task.cancel()
        give_up_at = self.loop.time() + limits.COMMAND_IDLE_TIMEOUT_S
        while self.loop.time() < give_up_at:
            try:
                self.add_connection(listener.accept()[0])
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError:  # No descriptor is free.
                if not self.make_room(None):
                    await asyncio.sleep(limits.MAKE_ROOM_RETRY_S)
        listener.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.accept_task:
            self.accept_task.cancel()
        if self.listener:
            self.listener.close()
        self.listener = None
        self.command_turns.close()
        self.discard_turns.close()
        for connection in list(self.connections):
            connection.close(CloseReason.SHUTDOWN)

    def status_counts(self) -> dict[str, int]:
        """Return the connections by state and the bytes that they hold, for the status line."""
        states = Counter(connection.state for connection in self.connections)
        counts = {f"clients_{state}": number for state, number in sorted(states.items())}
        counts["client_buffer_bytes"] = sum(
            len(connection.receive_buffer.data) for connection in self.connections
        )
        counts["unwritten_bytes"] = self.unwritten_bytes
        return counts


def longest_deadline(settings: Settings) -> float:
    """Return the longest deadline of the request classes in seconds, at most MAX_COUNTED_DEADLINE_S."""
    longest = limits.MAX_COUNTED_DEADLINE_S
    deadlines = [
        longest if request_class.deadline is None else min(longest, request_class.deadline)
        for request_class in settings.request_classes
    ]
    return max(deadlines, default=longest)
