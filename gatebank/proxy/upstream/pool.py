"""The connections to one process of an endpoint, and the attempts that wait for a connection."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

from gatebank.events import Outcome
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.upstream.attempt import Attempt, EndpointKey
from gatebank.proxy.upstream.connection import REUSE_DELAY_S, EndpointConnection

if TYPE_CHECKING:
    from gatebank.proxy.upstream.pools import Upstream

DELISTED = "its endpoint is off the list"  # Reason of a close, for the log.
# Minimum delay before a timer checks again for connections whose reuse delay was not quite over.
MIN_RECHECK_DELAY_S = 0.001


class ConnectionPool:
    """Connections to one process of an endpoint at its address.

    Attributes:
        connections: All open connections.
        idle: Idle connections. The most recently used is last and is taken first, so that the others reach
            the maximum idle age and are closed.
        waiting_attempts: Attempts that wait for a connection, in order; removed when they are written or end.
        connecting_count: Number of connections that are being opened.
        delisted: Whether the process is off the endpoint list, so that no idle connection is kept.
    """

    def __init__(self, upstream: Upstream, key: EndpointKey, name: str) -> None:
        self.upstream = upstream
        self.key = key
        self.name = name
        self.connections: set[EndpointConnection] = set()
        self.idle: list[EndpointConnection] = []
        self.waiting_attempts: deque[Attempt] = deque()
        self.connecting_count = 0
        self.delisted = False

    def remove_connection(self, connection: EndpointConnection) -> None:
        """Remove a connection that closes."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.upstream.open_count -= 1
        self.fail_waiting_without_connection()
        self.upstream.remove_if_unused(self)

    def fail_waiting_without_connection(self) -> None:
        """Fail the waiting attempts if no connection is open or being opened."""
        while self.waiting_attempts and not self.connections and not self.connecting_count:
            self.waiting_attempts.popleft().finish(EndpointReply(Outcome.NO_CONNECTION))

    def assign_or_park(self, connection: EndpointConnection) -> None:
        """Write the first waiting attempt that has not ended to a free connection, or make that idle."""
        while self.waiting_attempts and not connection.closed:
            attempt = self.waiting_attempts.popleft()
            if not attempt.done and connection.write(attempt):
                return
        if self.delisted:
            connection.close(DELISTED)
        elif not connection.closed and connection not in self.idle:
            self.idle.append(connection)

    def park_after_reply(self, connection: EndpointConnection) -> None:
        """Make a connection idle after its reply; it is not used again before the reuse delay is over."""
        if self.delisted:
            connection.close(DELISTED)
        elif not connection.closed:
            connection.start_reuse_delay()
            self.idle.append(connection)
            if self.waiting_attempts:
                self.upstream.loop.call_later(REUSE_DELAY_S, self.on_reuse_delay_over)

    def on_reuse_delay_over(self) -> None:
        """Assign waiting attempts to the connections whose reuse delay is over.

        The loop's clock does not advance within a turn, so its timers fire some milliseconds early.
        Connections whose delay is not quite over are checked again later.
        """
        while self.waiting_attempts and (connection := self.take_idle()):
            self.assign_or_park(connection)
        if self.waiting_attempts and self.idle:
            delay = min(connection.reusable_at for connection in self.idle) - time.monotonic()
            self.upstream.loop.call_later(max(MIN_RECHECK_DELAY_S, delay), self.on_reuse_delay_over)

    def take_idle(self) -> EndpointConnection | None:
        """Take the most recently used connection whose reuse delay is over; None if there is none.

        Connections that the endpoint has ended or may end soon, or on which it sent surplus bytes, are
        closed.
        """
        now = time.monotonic()
        not_reusable_yet: list[EndpointConnection] = []
        chosen = None
        while self.idle and not chosen:
            connection = self.idle.pop()
            if now < connection.reusable_at:
                not_reusable_yet.append(connection)
            elif now - connection.idle_since < self.upstream.max_idle_age and not connection.has_unread():
                chosen = connection
            else:
                connection.close("idle too long, ended, or with surplus bytes")
        self.idle += reversed(not_reusable_yet)
        return chosen
