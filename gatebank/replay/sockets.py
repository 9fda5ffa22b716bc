"""Requests to a running instance over its clients' protocol.

An `InstanceConnection` owns its socket, buffer and tasks, and gives them back in `close`, the one place.
Nothing is ever sent again here: what a broken connection had taken whole has no response, what it had not was
never sent.
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

CONNECT_TIMEOUT = 2.0  # s: an instance on loopback or in the same building takes 0.01
WRITE_BYTES = 1 << 16  # written at once
MAX_VALUE_BYTES = 16 << 20  # of a value: larger than any that an instance passes on
BUSY = b"BUSY"
MAX_RETRY_AFTER_DIGITS = 7  # of ms; longer numbers are nonsense
MS_PER_SECOND = 1000


class ResponseMeaning(NamedTuple):
    """What a response says of its request.

    Attributes:
        outcome: What became of it.
        retry_after: In how many s a rejected request may be sent again; None if that was not said.
    """

    outcome: ReplayOutcome
    retry_after: float | None


def interpret_reply(reply: resp.Reply) -> ResponseMeaning:
    """What an instance's response says.

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
    """A request whose last byte the system has not taken.

    Attributes:
        request: The request.
        end: How many bytes of the connection there are up to its last one.
    """

    request: ReplayedRequest
    end: int


class InstanceConnection:
    """A connection to the instance. Commands go one behind another; responses come in their order.

    Args:
        transport: Its owner.
        key: What the owner knows it by.

    Attributes:
        unsent: Requests whose last byte the system has not taken, in order.
    """

    def __init__(self, transport: SocketTransport, key: int) -> None:
        self.key = key
        self.unsent: deque[UnsentRequest] = deque()
        self._transport = transport
        self._player = transport.player
        self._requests: deque[ReplayedRequest] = deque()  # without a response, in order; emptied by `close`
        self._buffer = bytearray()  # not taken by the system yet
        self._bytes_added = 0
        self._bytes_taken = 0  # by the system
        self._is_up = False
        self._is_closed = False
        self._socket = open_socket(transport.address)
        self._writing: asyncio.Task[None] | None = None
        self._task = asyncio.ensure_future(self._run())

    @property
    def is_idle(self) -> bool:
        """Whether no request waits on it."""
        return not self._requests

    @property
    def open_count(self) -> int:
        """Requests whose outcome is not known."""
        return sum(not request.is_finished for request in self._requests)

    def waits_only_for(self, request: ReplayedRequest) -> bool:
        """Whether this request is on it, and no other has an outcome to come."""
        others_are_finished = all(each.is_finished or each is request for each in self._requests)
        return request in self._requests and others_are_finished

    def send(self, request: ReplayedRequest) -> None:
        """Sends a request behind all others."""
        data = resp.encode_command(request.arguments)
        self._requests.append(request)
        self._bytes_added += len(data)
        self.unsent.append(UnsentRequest(request, self._bytes_added))
        self._buffer += data
        if self._is_up and self._writing is None:
            self._write()

    def close(self) -> None:
        """Gives all back; requests without a response get their outcome."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._writing:  # how much has left of the part being written is not known: as if all had
            self.on_taken(min(len(self._buffer), WRITE_BYTES))
        self._transport.forget(self)
        cancel_and_close(self._socket, self._task, self._writing)
        unsent = {each.request for each in self.unsent}
        while self._requests:
            request = self._requests.popleft()
            outcome = ReplayOutcome.NEVER_SENT if request in unsent else ReplayOutcome.NO_RESPONSE
            self._player.finish(request, outcome)

    def on_taken(self, size: int) -> None:
        """The system has taken so many bytes."""
        del self._buffer[:size]
        self._bytes_taken += size
        while self.unsent and self.unsent[0].end <= self._bytes_taken:
            self.unsent.popleft()

    def _write(self) -> None:
        """Writes as much as the system takes at once; the rest by a task."""
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
        """Connects, and reads responses until the connection ends."""
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
                    raise resp.ProtocolError("an answer to nothing")
                self._player.finish(self._requests.popleft(), *interpret_reply(reply))


class SocketTransport:
    """Carries requests over connections as recorded (one for each recorded one), or from a pool.

    Args:
        player: The player.
        address: The instance's.
        is_pooled: Connections are shared by all requests.
        max_connections: Connections at once.
    """

    def __init__(self, player: Player, address: Address, is_pooled: bool, max_connections: int) -> None:
        self.player = player
        self.address = address
        self._is_pooled = is_pooled
        self._max_connections = max_connections
        self._connections: OrderedDict[int, InstanceConnection] = OrderedDict()  # the longest unused first
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
            except OSError:  # no descriptor is left
                self.player.finish(request, ReplayOutcome.NEVER_SENT)
                return
            self._connections[key] = connection
        self._connections.move_to_end(connection.key)
        connection.send(request)

    def give_up(self, request: ReplayedRequest) -> None:
        """See `RequestTransport.give_up`; a connection on which no other request waits ends too."""
        for connection in list(self._connections.values()):
            if connection.waits_only_for(request):
                connection.close()

    def close(self) -> None:
        """See `RequestTransport.close`."""
        for connection in list(self._connections.values()):
            connection.close()

    def forget(self, connection: InstanceConnection) -> None:
        """A connection has closed."""
        self._connections.pop(connection.key, None)

    def _close_idle(self) -> bool:
        """Closes the longest unused idle connection; False if all have a request."""
        idle = next((each for each in self._connections.values() if each.is_idle), None)
        if idle:
            idle.close()
        return idle is not None

    def _pooled(self) -> InstanceConnection | None:
        """The last used idle one; where there may be no more, the one with the fewest open requests."""
        for connection in reversed(self._connections.values()):
            if connection.is_idle:
                return connection
        if len(self._connections) < self._max_connections:
            return None
        return min(self._connections.values(), key=lambda connection: connection.open_count)
