"""The connections to one process of an endpoint, and the attempts that wait for one."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

from gatebank.events import Outcome
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.upstream.attempt import Attempt, EndpointKey
from gatebank.proxy.upstream.connection import EndpointConnection

if TYPE_CHECKING:
    from gatebank.proxy.upstream.pools import Upstream

# A connection rests after an answer: a second one, which may come some milliseconds late (STANDING), would be
# taken for that to the next attempt. Harmful where an endpoint gets more than some tens of attempts a second
# from one instance, and connections are dear.
REUSE_DELAY_S = 0.02
MIN_RECHECK_DELAY_S = 0.001  # before those that have not quite rested are looked at again


class ConnectionPool:
    """Connections to one process of an endpoint at its address."""

    def __init__(self, upstream: Upstream, key: EndpointKey, name: str) -> None:
        self.upstream = upstream
        self.key = key
        self.name = name
        self.connections: set[EndpointConnection] = set()
        self.idle: list[EndpointConnection] = []  # the last used first, so that the others grow old and go
        self.waiting_attempts: deque[Attempt] = (
            deque()
        )  # for a connection, in turn; emptied as they come or do not
        self.connecting_count = 0  # connections on their way
        self.delisted = False  # it is off the endpoint list: no connection is kept

    def remove_connection(self, connection: EndpointConnection) -> None:
        """Forget a connection that closes."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.upstream.open_count -= 1
        self.fail_waiting_without_connection()
        self.upstream.remove_if_unused(self)

    def fail_waiting_without_connection(self) -> None:
        """End the attempts that wait with no connection left or on its way."""
        while self.waiting_attempts and not self.connections and not self.connecting_count:
            self.waiting_attempts.popleft().finish(EndpointReply(Outcome.NO_CONNECTION))

    def assign_or_park(self, connection: EndpointConnection) -> None:
        """Use a connection with nothing out: for the first attempt that waits and is wanted, or idle."""
        while self.waiting_attempts and not connection.closed:
            attempt = self.waiting_attempts.popleft()
            if not attempt.done and connection.write(attempt):
                return
        if self.delisted:
            connection.close()
        elif not connection.closed and connection not in self.idle:
            self.idle.append(connection)

    def park_after_reply(self, connection: EndpointConnection) -> None:
        """A connection has answered all: idle, for a while with nothing to do."""
        if self.delisted:
            connection.close()
        elif not connection.closed:
            connection.idle_since = time.monotonic()
            connection.reusable_at = connection.idle_since + REUSE_DELAY_S
            self.idle.append(connection)
            if self.waiting_attempts:
                self.upstream.loop.call_later(REUSE_DELAY_S, self.on_reuse_delay_over)

    def on_reuse_delay_over(self) -> None:
        """Serve who waits by the connections that have rested.

        The loop's clock stands still within a turn, and so its timers come some milliseconds early: who has
        not quite rested is looked at again.
        """
        while self.waiting_attempts and (connection := self.take_idle()):
            self.assign_or_park(connection)
        if self.waiting_attempts and self.idle:
            left = min(connection.reusable_at for connection in self.idle) - time.monotonic()
            self.upstream.loop.call_later(max(MIN_RECHECK_DELAY_S, left), self.on_reuse_delay_over)

    def take_idle(self) -> EndpointConnection | None:
        """Take the last used connection of those that have rested.

        Those that the endpoint has ended or is about to, or on which it sent more than it owed, are closed.
        """
        now = time.monotonic()
        resting: list[EndpointConnection] = []
        found = None
        while self.idle and not found:
            connection = self.idle.pop()
            if now < connection.reusable_at:
                resting.append(connection)
            elif now - connection.idle_since < self.upstream.max_idle_age and not connection.has_unread():
                found = connection
            else:
                connection.close()
        self.idle += reversed(resting)
        return found
