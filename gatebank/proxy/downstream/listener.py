"""The downstream side as a whole: listener, admission of connections, overload, graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket
from math import inf

from gatebank.proxy.buffers import MemoryBudget
from gatebank.proxy.configuration import Address, MemoryBounds
from gatebank.proxy.downstream import limits
from gatebank.proxy.downstream.connection import ClientConnection
from gatebank.proxy.downstream.replies import RequestHandler
from gatebank.proxy.log import log_kv
from gatebank.proxy.messages import request_classes_by_name, tenants_by_name
from gatebank.proxy.resp2.session import ClientSession
from gatebank.proxy.sockets import PendingOperation, StartRecording, open_socket
from gatebank.settings import Settings


class Downstream:
    """Owns the listener and all clients' connections.

    Args:
        settings: Names of request classes and tenants, and the classes' deadlines.
        handler: Takes the requests.
        max_connections: Descriptors that clients' connections may take.
        bounds: Bytes that answers not taken, and receive buffers, may take.

    Attributes:
        connections: The longest unused first; each goes with `ClientConnection.close`.
        unwritten_bytes: Of answers that clients have not taken.
        leaving: Connections end as they become idle.
        terminated_at: Loop time of SIGTERM.
        broken_count: Connections that sent what is no command, since the start.
    """

    record: StartRecording | None = None  # begins the recording of a connection

    def __init__(
        self, settings: Settings, handler: RequestHandler, max_connections: int, bounds: MemoryBounds
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.handler = handler
        self.max_connections = max_connections
        self.max_unwritten_bytes = bounds.unread_reply_bytes
        self.buffer_budget = MemoryBudget(bounds.buffer_growth_bytes)
        self.session = ClientSession(request_classes_by_name(settings), tenants_by_name(settings))
        self.connections: dict[ClientConnection, None] = {}
        self.unwritten_bytes = 0
        self.peak_count = 0
        self.leaving = False
        self.terminated_at: float | None = None
        self.kill_after = limits.KILL_GRACE_S + longest_deadline(settings)  # s after SIGTERM
        self.accepting = PendingOperation()
        self.acceptor: asyncio.Task[None] | None = None  # the task that accepts
        self.broken_count = 0
        self.broken_logged_at = -limits.BROKEN_LOG_INTERVAL_S
        self.listener: socket.socket | None = None

    # Connections in.

    def listen(self, address: Address) -> None:
        """Open the listener.

        Raises:
            OSError: The address can't be listened on.
        """
        self.listener = open_socket(address)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(limits.LISTEN_BACKLOG)

    async def accept(self) -> None:
        """Accept connections while there is a listener; beyond the bound they wait in the backlog."""
        self.acceptor = asyncio.current_task()
        while self.listener:
            try:
                sock, _ = await self.accepting.run(self.loop.sock_accept(self.listener))
            except OSError as error:
                log_kv("accept_failed", logging.WARNING, why=error)
                await asyncio.sleep(limits.ACCEPT_RETRY_S)
                continue
            await self.wait_for_room(self.welcome(sock))

    async def wait_for_room(self, newest: ClientConnection) -> None:
        """Return once the bound is kept, by closing others; the next wait in the backlog until then."""
        while True:
            if len(self.connections) <= self.max_connections or self.make_room(newest):
                return
            await asyncio.sleep(limits.FULL_RETRY_S)

    def welcome(self, sock: socket.socket) -> ClientConnection:
        """Begin a connection that has been accepted."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self, sock)
        self.connections[connection] = None
        self.peak_count = max(self.peak_count, len(self.connections))
        return connection

    def mark_used(self, connection: ClientConnection) -> None:
        """A command came on it: it is the last used now."""
        self.connections[connection] = self.connections.pop(connection, None)

    # Overload.

    async def check_clocks(self) -> None:
        """Let connections do what time alone brings about, for ever."""
        while True:
            await asyncio.sleep(limits.CHECK_INTERVAL_S)
            now = self.loop.time()
            crowded = 2 * len(self.connections) > self.max_connections
            for connection in list(self.connections):
                connection.check_clocks(now, crowded)
            self.close_surplus_idle()

    def close_surplus_idle(self) -> None:
        """Close the longest unused of idle connections beyond a third of ours, a sixth of all descriptors.

        Clients may hold a third of the descriptors for what they ask, and some keep for good what they asked
        once with: so others still find a connection.
        """
        idle = [each for each in self.connections if each.idle and each.has_spoken and not each.ending]
        for connection in idle[: max(0, len(idle) - self.max_connections // 3)]:
            if not connection.command_since and not connection.would_lose(self.loop.time()):
                connection.close()

    def make_room(self, newest: ClientConnection | None) -> bool:
        """Close one connection; False if none may go, and never the newest.

        First who can't be read or has had time to speak and did not, as those that only connect must not take
        the place of the usual ones; then the longest idle.
        """
        now = self.loop.time()
        idle = [each for each in self.connections if each.idle and each is not newest]
        silent = [each for each in idle if each.ending or (not each.has_spoken and is_past_grace(each, now))]
        spoken = [each for each in idle if each.has_spoken and not each.ending]
        candidates = silent + spoken
        found = next((each for each in candidates if each.ending or not each.would_lose(now)), None)
        if found:
            found.close()
        return found is not None

    def add_unwritten(self, size: int) -> None:
        """Count bytes of answers not taken; beyond the bound, who takes least of its answers is closed."""
        self.unwritten_bytes += size
        if self.unwritten_bytes > self.max_unwritten_bytes:
            worst = max(self.connections, key=lambda connection: len(connection.unwritten))
            log_kv("client_cut", logging.WARNING, why="too many bytes owed", owed=self.unwritten_bytes)
            self.close_soon(worst)

    def report_broken(self, reason: str) -> None:
        """Count who sent what is no command, and log some of them."""
        self.broken_count += 1
        if self.loop.time() >= self.broken_logged_at + limits.BROKEN_LOG_INTERVAL_S:
            self.broken_logged_at = self.loop.time()
            log_kv("client_broken", logging.WARNING, why=reason, so_far=self.broken_count)

    def close_soon(self, connection: ClientConnection) -> None:
        """Close it, but not amid what is being done to it."""
        self.loop.call_soon(connection.close)

    def forget(self, connection: ClientConnection) -> None:
        """A connection closes: neither it nor its bytes count any more."""
        self.connections.pop(connection, None)
        self.unwritten_bytes -= len(connection.unwritten)

    # Graceful shutdown.

    def settle(self, connection: ClientConnection) -> None:
        """An answer is out: while this instance leaves, a connection ends when it is idle."""
        if not self.leaving or not connection.idle or connection.ending:
            return
        now = self.loop.time()
        if not connection.command_since and not connection.would_lose(now):
            if connection.has_spoken or is_past_grace(connection, now):  # who just came may be about to speak
                connection.close()
        elif self.time_left() < limits.LAST_READ_S and not connection.is_being_read():
            connection.stop_reading()

    def time_left(self) -> float:
        """Seconds until SIGKILL may come; no end is in sight before SIGTERM."""
        if self.terminated_at is None:
            return inf
        return self.terminated_at + self.kill_after - self.loop.time()

    async def leave(self) -> None:
        """SIGTERM: serve on until nobody sends anew, then close each connection as it becomes idle."""
        self.terminated_at = self.loop.time()
        await asyncio.sleep(limits.ACCEPT_AFTER_SIGTERM_S)
        await self.stop_listening()
        self.leaving = True
        while self.connections:
            for connection in list(self.connections):
                self.settle(connection)
            await asyncio.sleep(limits.LEAVE_CHECK_S)

    async def stop_listening(self) -> None:
        """Close the listener; what the machine has accepted, this instance takes.

        The task that accepts ends first, as the socket stays open for as long as the loop waits for it,
        unless it has a connection that it did not see yet. Where descriptors are short, room is made, or
        waited for.
        """
        listener = self.listener
        self.listener = None
        if not listener:
            return
        if self.acceptor and not self.accepting.done:
            self.acceptor.cancel()
        until = self.loop.time() + limits.COMMAND_SILENCE_S
        while self.loop.time() < until:
            try:
                self.welcome(listener.accept()[0])
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError:  # no descriptor
                if not self.make_room(None):
                    await asyncio.sleep(limits.FULL_RETRY_S)
        listener.close()

    def close(self) -> None:
        """Give back the listener and all connections."""
        if self.acceptor:
            self.acceptor.cancel()
        if self.listener:
            self.listener.close()
        self.listener = None
        for connection in list(self.connections):
            connection.close()


def is_past_grace(connection: ClientConnection, now: float) -> bool:
    """Who came has had its time to speak."""
    return now - connection.since >= limits.FIRST_COMMAND_GRACE_S


def longest_deadline(settings: Settings) -> float:
    """The longest of the classes' deadlines in seconds, counted as MAX_COUNTED_DEADLINE_S at most."""
    longest = limits.MAX_COUNTED_DEADLINE_S
    deadlines = [
        longest if request_class.deadline is None else min(longest, request_class.deadline)
        for request_class in settings.request_classes
    ]
    return max(deadlines, default=longest)
