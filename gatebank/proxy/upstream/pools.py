"""The connection pools of all endpoint processes, with a common bound on the number of connections."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import socket
import time
from collections.abc import Callable

from gatebank.events import Outcome
from gatebank.proxy.buffers import MemoryBudget
from gatebank.proxy.configuration import Address
from gatebank.proxy.log import log_kv
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.resp2.session import EndpointSession
from gatebank.proxy.sockets import StartRecording, open_socket
from gatebank.proxy.upstream.attempt import Attempt, EndpointKey
from gatebank.proxy.upstream.connection import REUSE_DELAY_S, EndpointConnection
from gatebank.proxy.upstream.pool import DELISTED, ConnectionPool
from gatebank.settings import Settings

# Errors of socket and connect that tell of this machine and not of the endpoint; they may pass at once.
LOCAL_SHORTAGES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN)
)
SHORTAGE_RETRY_S = 0.02
DEFAULT_BUFFER_BYTES = 1 << 20  # Memory that all receive buffers together may grow by.
DEFAULT_CONNECT_TIMEOUT_S = 1.0  # Connect timeout where the settings have none.
# Idle time after which an endpoint closes a connection, where the settings have none.
DEFAULT_IDLE_TIMEOUT_S = 10.0
MAX_VALUES_IN_MEMORY = 8  # Number of values of the largest size that fit into the buffers' memory together.


class Upstream:
    """Owns the connection pools and the tasks that open connections.

    Args:
        settings: Settings with the time limits and the names of load report fields.
        max_connections: Number of descriptors that connections to endpoints may use.
        buffer_bytes: Memory that all receive buffers together may grow by.

    Attributes:
        max_value: Maximum size of a value in bytes.
        pools: Pools by endpoint process; removed as their endpoints leave the endpoint list.
        open_count: Number of connections that are open or being opened.
        peak_count: Highest `open_count` so far.
        opened_total: Number of connections opened since the start.
        last_shortage_at: Monotonic time of the last such lack.
        local_shortages: How often this machine could not open a connection, for its own lack of something.
        connect_tasks: Tasks that open connections; each ends when its connection is open or has failed.
        max_idle_age: Seconds after which an idle connection is closed.
    """

    record: StartRecording | None = None  # Begins the recording of a connection; None if disabled.

    def __init__(
        self, settings: Settings, max_connections: int, buffer_bytes: int = DEFAULT_BUFFER_BYTES
    ) -> None:
        limits = settings.limits
        idle_timeout = limits.connection_idle_timeout
        connect_timeout = limits.connect_timeout
        self.loop = asyncio.get_running_loop()
        self.max_connections = max_connections
        self.buffer_budget = MemoryBudget(buffer_bytes)
        # Endpoints send values larger than the 64 KiB of PROTOCOL; they are accepted as far as memory allows.
        self.max_value = max(EndpointSession.max_value, buffer_bytes // MAX_VALUES_IN_MEMORY)
        self.pools: dict[EndpointKey, ConnectionPool] = {}
        self.open_count = 0
        self.peak_count = 0
        self.opened_total = 0
        self.local_shortages = 0
        self.last_shortage_at = -math.inf
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.connect_timeout = DEFAULT_CONNECT_TIMEOUT_S if connect_timeout is None else connect_timeout
        # Half of the endpoints' idle timeout, as an endpoint may close a connection earlier than its timeout.
        self.max_idle_age = (DEFAULT_IDLE_TIMEOUT_S if idle_timeout is None else idle_timeout) / 2
        self.session = EndpointSession(settings.report_fields)

    def send(
        self,
        key: EndpointKey,
        name: str,
        payload: Callable[[], bytes | None],
        on_result: Callable[[EndpointReply], None],
        *,
        is_health_check: bool = False,
        label: str = "",
    ) -> Attempt:
        """Begin an attempt on an idle connection, a new one, or the next free one, in this order.

        Args:
            key: The process that the attempt is sent to.
            name: The endpoint's name, for log lines.
            payload: Returns the bytes to send when they can be written; None if the attempt must not be sent
                any more.
            on_result: Callback that takes the one result; may be called before this method returns.
            is_health_check: See `Attempt`.
            label: See `Attempt`.
        """
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = ConnectionPool(self, key, name)
        attempt = Attempt(payload, on_result, is_health_check, label)
        if connection := pool.take_idle():
            if not connection.write(attempt):
                pool.assign_or_park(connection)
        elif self.open_count < self.max_connections or self.close_longest_idle():
            self.open_connection(pool, attempt)
        else:
            self.wait_for_connection(pool, attempt)
        return attempt

    def open_connection(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """Begin to open a connection; the attempt takes this connection or another that is free earlier."""
        pool.waiting_attempts.append(attempt)
        pool.connecting_count += 1
        self.open_count += 1
        self.opened_total += 1
        self.peak_count = max(self.peak_count, self.open_count)
        task = asyncio.ensure_future(self.connect(pool, attempt))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def wait_for_connection(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """Let an attempt wait for one of the pool's connections, as no descriptor is left.

        The attempt fails if the pool has no connection.
        """
        if pool.connections or pool.connecting_count:
            pool.waiting_attempts.append(attempt)
            if pool.idle:
                self.loop.call_later(REUSE_DELAY_S, pool.on_reuse_delay_over)
        else:
            log_kv("no_descriptor", logging.WARNING, open=self.open_count)
            attempt.finish(EndpointReply(Outcome.NOT_SENT))

    def check_health(
        self, key: EndpointKey, name: str, timeout: float, on_result: Callable[[EndpointReply], None]
    ) -> None:
        """Send a PING, which ends as timed out after ``timeout`` seconds without a reply."""
        attempt = self.send(key, name, lambda: self.session.health_check, on_result, is_health_check=True)
        if not attempt.done:
            attempt.timer = self.loop.call_later(timeout, attempt.abort, Outcome.TIMED_OUT)

    async def connect(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """Open a connection for a pool; if that fails and ``attempt`` still waits, the attempt fails."""
        sock = None
        try:
            async with asyncio.timeout(self.connect_timeout):
                sock = await self.open_connected_socket(pool.key.address)
        except BaseException as error:  # Includes cancellation: the descriptor is always released.
            pool.connecting_count -= 1
            self.open_count -= 1
            if not isinstance(error, OSError | TimeoutError):
                raise
            is_shortage = time.monotonic() - self.last_shortage_at <= 2 * SHORTAGE_RETRY_S
            if attempt in pool.waiting_attempts:
                pool.waiting_attempts.remove(attempt)
                attempt.finish(EndpointReply(Outcome.NOT_SENT if is_shortage else Outcome.NO_CONNECTION))
            pool.fail_waiting_without_connection()
            self.remove_if_unused(pool)
        else:
            pool.connecting_count -= 1
            connection = EndpointConnection(pool, sock)
            pool.connections.add(connection)
            pool.assign_or_park(connection)

    async def open_connected_socket(self, address: Address) -> socket.socket:
        """Return a socket that is connected; waits while this machine lacks what a socket needs.

        Such a lack says nothing about the endpoint, and may be over in a moment.

        Raises:
            OSError: The endpoint refused the connection or cannot be reached.
        """
        while True:
            sock = None
            try:
                sock = open_socket(address)
                await self.loop.sock_connect(sock, address)
            except BaseException as error:  # Includes cancellation: the descriptor is always released.
                if sock:
                    sock.close()
                if not isinstance(error, OSError) or error.errno not in LOCAL_SHORTAGES:
                    raise
                self.local_shortages += 1
                self.last_shortage_at = time.monotonic()
            else:
                return sock
            await asyncio.sleep(SHORTAGE_RETRY_S)

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for the longest time; return False if none is idle."""
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close("room for another")
        return bool(idle)

    def retain(self, listed: set[EndpointKey]) -> None:
        """Apply a new endpoint list: processes that are not on it keep no idle connections."""
        for key, pool in list(self.pools.items()):
            pool.delisted = key not in listed
            while pool.delisted and pool.idle:
                pool.idle[-1].close(DELISTED)
            self.remove_if_unused(pool)

    def remove_if_unused(self, pool: ConnectionPool) -> None:
        """Remove the pool of an endpoint that is off the list, once it has no connections and no attempts."""
        if pool.delisted and not pool.connections and not pool.waiting_attempts:
            self.pools.pop(pool.key, None)

    def close_expired_idle(self) -> None:
        """Close connections that have been idle for too long, before the endpoint closes them."""
        oldest_allowed = time.monotonic() - self.max_idle_age
        for pool in list(self.pools.values()):
            while pool.idle and pool.idle[0].idle_since < oldest_allowed:
                pool.idle[0].close("idle too long")

    def close(self) -> None:
        """Close all connections, including those being opened."""
        for task in self.connect_tasks:
            task.cancel()
        for pool in list(self.pools.values()):
            for connection in list(pool.connections):
                connection.close("shutdown")

    def buffer_bytes(self) -> int:
        """Return the size of all receive buffers in bytes."""
        return sum(
            len(connection.receive_buffer.data)
            for pool in self.pools.values()
            for connection in pool.connections
        )
