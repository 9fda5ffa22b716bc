"""Sends requests to a running instance over the client protocol.

An `InstanceConnection` owns its socket, buffer and tasks; only `close` releases them. This module never
resends a request. If a connection breaks, the unanswered requests that were passed completely to the
operating system count as sent without a response, and all others on the connection as never sent.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict, deque
from typing import NamedTuple

from gatebank.capture.records import Exchange
from gatebank.proxy.configuration import Address
from gatebank.proxy.resp2 import codec as resp
from gatebank.proxy.sockets import cancel_and_close, open_socket
from gatebank.replay.player import Player
from gatebank.replay.requests import ReplayedRequest, ReplayOutcome

# Seconds to connect; an instance on loopback or in the same building accepts within 0.01 s.
CONNECT_TIMEOUT = 2.0
WRITE_BYTES = 1 << 16  # Maximum size of one write by a connection's write task.
MAX_VALUE_BYTES = 16 << 20  # Maximum size of a value; larger than any value that an instance forwards.
BUSY = b"BUSY"
MAX_RETRY_AFTER_DIGITS = 7  # Maximum digits of a delay in milliseconds; longer numbers are ignored.
MS_PER_SECOND = 1000


class ResponseMeaning(NamedTuple):
    """Outcome of a request according to its response.

    Attributes:
        outcome: The outcome of the request.
        retry_after: Seconds until a rejected request may be sent again; None if the response has no delay.
    """

    outcome: ReplayOutcome
    retry_after: float | None


def interpret_reply(reply: resp.Reply) -> ResponseMeaning:
    """Determine the outcome of a request from an instance's reply.

    >>> replies = [resp.Reply("-", [memoryview(line)]) for line in (b"BUSY 250", b"BUSY", b"ERR x")]
    >>> [(outcome.value, after) for outcome, after in map(interpret_reply, replies)]
    [('rejected', 0.25), ('rejected', None), ('broken_off', None)]
    """
    first = reply.values[0] if reply.values else None
    if reply.type_byte in "$*" and first is not None:
        return ResponseMeaning(ReplayOutcome.SERVED, None)
    line = bytes(first or b"")
    if reply.type_byte != "-" or not line.startswith(BUSY):
        return ResponseMeaning(ReplayOutcome.FAILED, None)
    milliseconds = line[len(BUSY) + 1 :]
    if not milliseconds.isdigit() or len(milliseconds) > MAX_RETRY_AFTER_DIGITS:
        return ResponseMeaning(ReplayOutcome.REJECTED, None)
    return ResponseMeaning(ReplayOutcome.REJECTED, int(milliseconds) / MS_PER_SECOND)


class UnsentRequest(NamedTuple):
    """A request whose last byte has not been passed to the operating system.

    Attributes:
        request: The request.
        end: Position of the request's end in the bytes of the connection.
    """

    request: ReplayedRequest
    end: int


class InstanceConnection:
    """A connection to the instance; commands are pipelined, and responses arrive in the same order.

    Args:
        transport: The transport that owns the connection.
        key: The connection's key in the transport.

    Attributes:
        unsent: Requests whose last byte has not been passed to the operating system, in order.
    """

    def __init__(self, transport: SocketTransport, key: int) -> None:
        self.key = key
        self.unsent: deque[UnsentRequest] = deque()
        self._transport = transport
        self._player = transport.player
        self._requests: deque[ReplayedRequest] = (
            deque()
        )  # Requests without a response, in order; `close` empties it.
        self._buffer = bytearray()  # Bytes not passed to the operating system yet.
        self._bytes_added = 0
        self._bytes_taken = 0  # Number of bytes passed to the operating system.
        self._is_up = False
        self._is_closed = False
        self._socket = open_socket(transport.address)
        self._writing: asyncio.Task[None] | None = None
        self._task = asyncio.ensure_future(self._run())

    @property
    def is_idle(self) -> bool:
        """Whether no request on the connection is waiting for a response."""
        return not self._requests

    @property
    def open_count(self) -> int:
        """Number of requests without an outcome."""
        return sum(not request.is_finished for request in self._requests)

    def waits_only_for(self, request: ReplayedRequest) -> bool:
        """Whether this request is on the connection, and all others on it have an outcome."""
        others_are_finished = all(other.is_finished or other is request for other in self._requests)
        return request in self._requests and others_are_finished

    def send(self, request: ReplayedRequest) -> None:
        """Send a request after all requests already on the connection."""
        data = resp.encode_command(request.arguments)
        self._requests.append(request)
        self._bytes_added += len(data)
        self.unsent.append(UnsentRequest(request, self._bytes_added))
        self._buffer += data
        if self._is_up and self._writing is None:
            self._write()

    def close(self) -> None:
        """Release all resources, and report the outcomes of requests without a response."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._writing:  # The part being written may have been sent completely, and counts as sent.
            self.on_taken(min(len(self._buffer), WRITE_BYTES))
        self._transport.forget(self)
        cancel_and_close(self._socket, self._task, self._writing)
        unsent = {entry.request for entry in self.unsent}
        while self._requests:
            request = self._requests.popleft()
            outcome = ReplayOutcome.NEVER_SENT if request in unsent else ReplayOutcome.NO_RESPONSE
            self._player.finish(request, outcome)

    def on_taken(self, size: int) -> None:
        """Account for ``size`` bytes that were passed to the operating system."""
        del self._buffer[:size]
        self._bytes_taken += size
        while self.unsent and self.unsent[0].end <= self._bytes_taken:
            self.unsent.popleft()

    def _write(self) -> None:
        """Write as much as possible without blocking; a task writes the rest."""
        try:
            sent = self._socket.send(self._buffer)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self.on_taken(sent)
        if self._buffer:
            self._writing = asyncio.ensure_future(self._write_rest())

    async def _write_rest(self) -> None:
        try:
            while self._buffer:
                part = bytes(self._buffer[:WRITE_BYTES])
                await self._player.loop.sock_sendall(self._socket, part)
                self.on_taken(len(part))
            self._writing = None
        except OSError:
            self.close()

    async def _run(self) -> None:
        """Connect, and read responses until the connection ends."""
        try:
            with contextlib.suppress(OSError, TimeoutError, resp.ProtocolError):
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    await self._player.loop.sock_connect(self._socket, self._transport.address)
                self._is_up = True
                if self._buffer:
                    self._write()
                await self._read_responses()
        finally:
            self.close()

    async def _read_responses(self) -> None:
        inbox = resp.Resp2Buffer(None, MAX_VALUE_BYTES)
        inbox.memory_budget = resp.MemoryBudget(2 * MAX_VALUE_BYTES)
        while not self._is_closed:
            size = await self._player.loop.sock_recv_into(self._socket, inbox.free_space())
            if not size:
                return
            inbox.commit(size)
            for reply in inbox.replies():
                if not self._requests:
                    raise resp.ProtocolError("a reply without a request")
                self._player.finish(self._requests.popleft(), *interpret_reply(reply))


class SocketTransport:
    """Sends requests over connections from a pool, or over one connection per recorded connection.

    Args:
        player: The player.
        address: The address of the instance.
        is_pooled: Whether all requests share a pool of connections.
        max_connections: Maximum number of open connections.
    """

    def __init__(self, player: Player, address: Address, is_pooled: bool, max_connections: int) -> None:
        self.player = player
        self.address = address
        self._is_pooled = is_pooled
        self._max_connections = max_connections
        self._connections: OrderedDict[int, InstanceConnection] = OrderedDict()  # Least recently used first.
        self._last_key = 0

    def refusal(self, _: Exchange) -> str:
        """See `RequestTransport.refusal`."""
        if len(self._connections) < self._max_connections or self._is_pooled or self._close_idle():
            return ""
        return "connections"

    def send(self, request: ReplayedRequest) -> None:
        """See `RequestTransport.send`."""
        recorded = request.exchange.connection
        connection = self._pooled() if self._is_pooled else self._connections.get(recorded)
        if connection is None:
            if len(self._connections) >= self._max_connections and not self._close_idle():
                self.player.finish(request, ReplayOutcome.NEVER_SENT)
                return
            self._last_key += 1
            key = self._last_key if self._is_pooled else recorded
            try:
                connection = InstanceConnection(self, key)
            except OSError:  # No descriptor is left.
                self.player.finish(request, ReplayOutcome.NEVER_SENT)
                return
            self._connections[key] = connection
        self._connections.move_to_end(connection.key)
        connection.send(request)

    def give_up(self, request: ReplayedRequest) -> None:
        """See `RequestTransport.give_up`; also close the connection if no other request on it is waiting."""
        for connection in list(self._connections.values()):
            if connection.waits_only_for(request):
                connection.close()

    def close(self) -> None:
        """See `RequestTransport.close`."""
        for connection in list(self._connections.values()):
            connection.close()

    def forget(self, connection: InstanceConnection) -> None:
        """Remove a connection that has closed."""
        self._connections.pop(connection.key, None)

    def _close_idle(self) -> bool:
        """Close the least recently used idle connection; return False if no connection is idle."""
        idle = next((connection for connection in self._connections.values() if connection.is_idle), None)
        if idle:
            idle.close()
        return idle is not None

    def _pooled(self) -> InstanceConnection | None:
        """Return the most recently used idle connection.

        If none is idle, return None if another may be opened, or else the one with the fewest open requests.
        """
        for connection in reversed(self._connections.values()):
            if connection.is_idle:
                return connection
        if len(self._connections) < self._max_connections:
            return None
        return min(self._connections.values(), key=lambda connection: connection.open_count)
