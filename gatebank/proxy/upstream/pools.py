"""The upstream side as a whole: a pool for each endpoint process, within one number of connections."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from gatebank.events import Outcome
from gatebank.proxy.buffers import MemoryBudget
from gatebank.proxy.log import log_kv
from gatebank.proxy.messages import EndpointReply
from gatebank.proxy.resp2.session import EndpointSession
from gatebank.proxy.sockets import StartRecording, open_socket
from gatebank.proxy.upstream.attempt import Attempt, EndpointKey
from gatebank.proxy.upstream.connection import EndpointConnection
from gatebank.proxy.upstream.pool import REST_S, ConnectionPool
from gatebank.settings import Settings

DEFAULT_BUFFER_BYTES = 1 << 20  # that all receive buffers may grow by together
DEFAULT_CONNECT_TIMEOUT_S = 1.0  # where the settings have none
DEFAULT_IDLE_TIMEOUT_S = 10.0  # after which an endpoint closes, where the settings have none
VALUES_AT_ONCE = 8  # largest values that fit the buffers' memory together


class Upstream:
    """Owns the pools, and the tasks that open connections.

    Args:
        settings: Time limits, names of load report fields.
        max_connections: Descriptors that endpoints' connections may take.
        buffer_bytes: What all receive buffers may grow by together.
    """

    record: StartRecording | None = None  # begins the recording of a connection

    def __init__(
        self, settings: Settings, max_connections: int, buffer_bytes: int = DEFAULT_BUFFER_BYTES
    ) -> None:
        limits = settings.limits
        idle_timeout = limits.connection_idle_timeout
        connect_timeout = limits.connect_timeout
        self.loop = asyncio.get_running_loop()
        self.max_connections = max_connections
        self.buffer_budget = MemoryBudget(buffer_bytes)
        # Endpoints give values beyond PROTOCOL's 64 KiB: what memory allows is taken.
        self.max_value = max(EndpointSession.max_value, buffer_bytes // VALUES_AT_ONCE)
        self.pools: dict[EndpointKey, ConnectionPool] = {}  # emptied as endpoints leave the list
        self.open_count = 0  # with those on their way
        self.peak_count = 0
        self.opened_total = 0  # since the start
        self.opening: set[asyncio.Task[None]] = set()  # each goes when its connection is up or not
        self.connect_timeout = DEFAULT_CONNECT_TIMEOUT_S if connect_timeout is None else connect_timeout
        # Half of the time after which an endpoint closes them at the latest: it may be earlier.
        self.retire_after = (DEFAULT_IDLE_TIMEOUT_S if idle_timeout is None else idle_timeout) / 2
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
        """Begin an attempt, on an idle connection, a new one, or the next that is free, in this order.

        Args:
            key: The process it goes to.
            name: The endpoint's name, for log lines.
            payload: Gives the bytes when they can be written; None if they are unwanted then.
            on_result: Takes the one result; it may be called before this returns.
            is_health_check: See `Attempt`.
            label: See `Attempt`.
        """
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = ConnectionPool(self, key, name)
        attempt = Attempt(payload, on_result, is_health_check, label)
        if connection := pool.take_idle():
            if not connection.write(attempt):
                pool.park(connection)
        elif self.open_count < self.max_connections or self.close_longest_idle():
            self.open_connection(pool, attempt)
        else:
            self.wait_for_connection(pool, attempt)
        return attempt

    def open_connection(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """Begin a connection; the attempt waits for it, or for one that becomes idle first."""
        pool.waiting.append(attempt)
        pool.connecting += 1
        self.open_count += 1
        self.opened_total += 1
        self.peak_count = max(self.peak_count, self.open_count)
        task = asyncio.ensure_future(self.connect(pool, attempt))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    def wait_for_connection(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """No descriptor is left: wait for one of the pool's connections; where it has none, fail."""
        if pool.connections or pool.connecting:
            pool.waiting.append(attempt)
            if pool.idle:
                self.loop.call_later(REST_S, pool.on_rested)
        else:
            log_kv("no_descriptor", logging.WARNING, open=self.open_count)
            attempt.finish(EndpointReply(Outcome.NOT_SENT))

    def check_health(
        self, key: EndpointKey, name: str, timeout: float, on_result: Callable[[EndpointReply], None]
    ) -> None:
        """Send a PING; without an answer within ``timeout`` seconds it ends as timed out."""
        attempt = self.send(key, name, lambda: self.session.health_check, on_result, is_health_check=True)
        if not attempt.done:
            attempt.timer = self.loop.call_later(timeout, attempt.give_up, Outcome.TIMED_OUT)

    async def connect(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """Open a connection for a pool; where that fails, ``attempt`` fails if it still waits."""
        address = pool.key.address
        sock = None
        try:
            sock = open_socket(address)
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.sock_connect(sock, address)
        except BaseException as error:  # also a cancellation: the descriptor is given back in each case
            pool.connecting -= 1
            self.open_count -= 1
            if sock:
                sock.close()
            if not isinstance(error, OSError | TimeoutError):
                raise
            if attempt in pool.waiting:
                pool.waiting.remove(attempt)
                attempt.finish(EndpointReply(Outcome.NO_CONNECTION))
            pool.fail_stranded()
            self.remove_if_unused(pool)
        else:
            pool.connecting -= 1
            connection = EndpointConnection(pool, sock)
            pool.connections.add(connection)
            pool.park(connection)

    def close_longest_idle(self) -> bool:
        """Close the longest idle connection to make room; False if there is none."""
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close()
        return bool(idle)

    def retain(self, listed: set[EndpointKey]) -> None:
        """The endpoint list changed: who is not on it keeps no idle connection."""
        for key, pool in list(self.pools.items()):
            pool.delisted = key not in listed
            while pool.delisted and pool.idle:
                pool.idle[-1].close()
            self.remove_if_unused(pool)

    def remove_if_unused(self, pool: ConnectionPool) -> None:
        """Drop the pool of an endpoint that is off the list, once nothing of it is left."""
        if pool.delisted and not pool.connections and not pool.waiting:
            self.pools.pop(pool.key, None)

    def sweep(self) -> None:
        """Close connections that are idle for too long, before the endpoint ends them."""
        before = time.monotonic() - self.retire_after
        for pool in list(self.pools.values()):
            while pool.idle and pool.idle[0].idle_since < before:
                pool.idle[0].close()

    def close(self) -> None:
        """Give back all connections, also those on their way."""
        for task in self.opening:
            task.cancel()
        for pool in list(self.pools.values()):
            for connection in list(pool.connections):
                connection.close()
