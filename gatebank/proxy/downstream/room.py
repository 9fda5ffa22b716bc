"""Which client connections are closed to make room for others.

The functions choose; `Downstream` closes. Connections are given least recently used first.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from gatebank.proxy.downstream import limits

if TYPE_CHECKING:
    from gatebank.proxy.downstream.connection import ClientConnection


def is_past_grace(connection: ClientConnection, now: float) -> bool:
    """Return whether the time for a new connection's first command is over."""
    return now - connection.timeout_start >= limits.FIRST_COMMAND_GRACE_S


def choose_lingering(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Return the connections that have their error line, the most recent first."""
    lingering = [connection for connection in connections if connection.is_lingering]
    lingering.reverse()
    return lingering


def choose_surplus(
    connections: Iterable[ClientConnection], max_idle: int, now: float
) -> Iterator[ClientConnection]:
    """Return the least recently used idle connections beyond ``max_idle`` that may be closed.

    Each is looked at as it is taken from the iterator: a request may arrive at any time.
    """
    idle = [
        connection
        for connection in connections
        if connection.idle and connection.has_sent_command and not connection.closing
    ]
    return (
        connection
        for connection in idle[: max(0, len(idle) - max_idle)]
        if not connection.partial_command_since and not connection.close_would_lose_data(now)
    )


def choose_idle(
    connections: Iterable[ClientConnection], newest: ClientConnection | None, now: float
) -> ClientConnection | None:
    """Return the idle connection, other than the newest, that is closed first to make room for another.

    The first candidates are connections whose reading has ended and those that had time to send a command and
    did not, as clients that only connect must not displace ordinary ones. Next come the other idle
    connections, the least recently used first, and at last those whose clients do not take their answers.

    Returns:
        The connection; None if none may be closed.
    """
    idle = [
        connection
        for connection in connections
        if connection.idle and not connection.evicted and connection is not newest
    ]
    unused = [
        connection
        for connection in idle
        if connection.closing or (not connection.has_sent_command and is_past_grace(connection, now))
    ]
    used = [connection for connection in idle if connection.has_sent_command and not connection.closing]
    closable = (
        connection
        for connection in unused + used
        if connection.closing or not connection.close_would_lose_data(now)
    )
    untaken = (connection for connection in used if connection.answer_is_untaken(now))
    return next(closable, None) or next(untaken, None)


def choose_busy(connections: Iterable[ClientConnection], now: float) -> Iterator[ClientConnection]:
    """Return the connections whose clients do not wait for answers.

    A client that sends without a pause always has commands waiting, and would hold its place for good.
    Ordinary clients send a command when they have the answer to the last one (PROTOCOL): they are not chosen.
    """
    return (connection for connection in connections if connection.may_be_evicted(now))


def choose_stalled(connections: Iterable[ClientConnection], now: float) -> list[ClientConnection]:
    """Return the connections that stopped within a command, the longest silent first."""
    silent_since = now - limits.STALLED_COMMAND_S
    stalled = [
        connection
        for connection in connections
        if connection.has_stopped_within_command() and connection.last_bytes_at <= silent_since
    ]
    stalled.sort(key=lambda connection: connection.last_bytes_at)
    return stalled
