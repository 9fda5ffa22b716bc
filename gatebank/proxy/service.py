"""Lifecycle of one instance: creates the components, runs them, and releases all resources at the end.

Start-up (`Service.run`):
    1. `open_parts`: creates the components and pushes each on the exit stack after those that it uses.
    2. `apply_initial_knowledge`: gives the balancer the control plane state from the configuration.
    3. `inherit_state`, if state transfer is enabled: starts watching the control plane and receives state
       from other instances for a limited time before serving.
    4. `handle_signals`: installs the signal handlers. SIGHUP, blocked since the process started, is handled
       from this point on.
    5. `listen`: lets clients connect.
    6. Starts watching the control plane, unless step 3 did so, and starts the supervised tasks.
    7. Logs ``event=ready``.

Shutdown on SIGTERM or SIGINT (`Service.shut_down`), in this order; tests/sockets.scenarios and the race tests
enforce the order:
    1. Logs ``event=leaving``; accepts connections for another 0.45 s, as new ones arrive for up to 0.4 s.
    2. Closes the listener, accepts the backlog, and closes each connection when it becomes idle.
    3. Logs a last status line (``event=standing``).
    4. Writes the learned state to disk, if state transfer is enabled.
    5. Logs ``event=gone``, then unwinds the exit stack: supervised tasks, watches, state transfer,
       downstream, upstream, release service, peers, recorder; finally one iteration of the event loop for
       cancelled tasks.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import resource
import signal
import socket
from collections.abc import Callable, Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Protocol

import uvloop

from gatebank.proxy.clock import Clock
from gatebank.proxy.configuration import MB, Configuration, ConfigurationError
from gatebank.proxy.control_plane import ControlPlaneWatches, Reloader, read_initial_knowledge
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.downstream import Downstream
from gatebank.proxy.log import LOG, log_event, log_kv
from gatebank.proxy.memory_use import anonymous_bytes
from gatebank.proxy.peer_transport import PeerTransport
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.sockets import ConnectionRecording
from gatebank.proxy.start_times import StartTimes
from gatebank.proxy.supervisor import Supervisor
from gatebank.proxy.upstream import Upstream

# Descriptors reserved for everything but connections: event loop, listener, discovery, release service,
# datagrams, log, and descriptors that are open only briefly.
RESERVED_DESCRIPTORS = 24
SWEEP_INTERVAL_S = 1.0  # Interval between sweeps of idle connections to endpoints.
SWEEPS_PER_STATUS_LINE = 10


class OptionalPart(Protocol):
    """A component that the operators' file enables; its counters appear in the periodic status line."""

    def status_counts(self) -> Mapping[str, int | str]:
        """Return the component's counters, keyed by the keys of the status line."""


class ConnectionRecorder(OptionalPart, Protocol):
    """Records connections without delaying them."""

    def record_client(self, sock: socket.socket) -> ConnectionRecording | None:
        """Return the recording of a client's connection, or None if client connections are not recorded."""

    def record_endpoint(self, sock: socket.socket) -> ConnectionRecording | None:
        """Return the recording of a connection to an endpoint, or None if these are not recorded."""

    def stop(self) -> None:
        """Write the queued data, and stop recording."""


class StateTransfer(OptionalPart, Protocol):
    """Transfers learned state from and to other instances."""

    async def begin(self) -> None:
        """Receive state from other instances for a limited time before this instance serves."""

    def reload_keys(self) -> None:
        """Reload the keys, as a configuration reload was requested."""

    async def finish(self) -> None:
        """Store the learned state for the next start."""

    def close(self) -> None:
        """Release all resources."""


@dataclass(slots=True, frozen=True)
class OptionalParts:
    """Factories of the components that the operators' file can enable; set by the composition root."""

    make_recorder: Callable[[Configuration], ConnectionRecorder | None] = lambda _: None
    make_state_transfer: Callable[[Configuration, Dispatcher], StateTransfer | None] = lambda *_: None


class Service:
    """One running instance.

    Args:
        configuration: The instance's configuration.
        environment: Environment variables, needed to reload the configuration.
        optional_parts: Factories of the components that the operators' file can enable.
    """

    def __init__(
        self, configuration: Configuration, environment: Mapping[str, str], optional_parts: OptionalParts
    ) -> None:
        settings = configuration.settings
        clock = Clock()
        self.configuration = configuration
        self.environment = environment
        self.optional_parts = optional_parts
        self.registry = EndpointRegistry(settings, StartTimes(clock))
        self.dispatcher = Dispatcher(
            settings, configuration.seed, clock, self.registry, configuration.bounds.request_bytes
        )
        self.release_service = ReleaseService(
            configuration.release_service,
            self.registry,
            settings.release.vote_timeout,
            clock,
            self.dispatcher.on_release_status,
            request_classes=frozenset(request_class.name for request_class in settings.request_classes),
        )
        descriptors = configuration.descriptors - RESERVED_DESCRIPTORS
        bounds = configuration.bounds
        endpoint_connections = min(descriptors // 2, bounds.endpoint_connections)
        self.upstream = Upstream(settings, endpoint_connections, bounds.buffer_growth_bytes)
        self.downstream = Downstream(settings, self.dispatcher, descriptors - descriptors // 2, bounds)
        self.dispatcher.upstream = self.upstream
        self.dispatcher.release_service = self.release_service
        self.watches = ControlPlaneWatches(self.dispatcher, self.registry, self.release_service)
        self.supervisor = Supervisor()
        self.recorder: ConnectionRecorder | None = None
        self.state_transfer: StateTransfer | None = None
        self.terminated = asyncio.Event()

    async def run(self) -> None:
        """Start, serve until SIGTERM or SIGINT, and shut down.

        Raises:
            ConfigurationError: The instance cannot start with this configuration.
        """
        async with AsyncExitStack() as stack:
            stack.push_async_callback(asyncio.sleep, 0)
            self.open_parts(stack)
            version = self.apply_initial_knowledge()
            await self.inherit_state(stack, version)
            reloader = Reloader(
                self.environment,
                self.watches,
                self.state_transfer.reload_keys if self.state_transfer else None,
            )
            self.handle_signals(reloader)
            self.listen()
            if not self.state_transfer:
                self.watches.update_addresses(self.configuration, version)
            self.start_tasks(stack, reloader)
            gc.collect()
            gc.freeze()  # Excludes the objects created at start-up from later garbage collections.
            log_kv("ready", name=self.configuration.name, nodes=len(self.dispatcher.fleet.endpoints))
            await self.terminated.wait()
            await self.shut_down()

    # Start-up.

    def open_parts(self, stack: AsyncExitStack) -> None:
        """Create the components and push their clean-up on the stack; the last pushed is released first."""
        self.recorder = self.optional_parts.make_recorder(self.configuration)
        if self.recorder:
            stack.callback(self.recorder.stop)
            self.downstream.record = self.recorder.record_client
            self.upstream.record = self.recorder.record_endpoint
        self.open_peer_transport(stack)
        stack.callback(self.release_service.close)
        stack.callback(self.upstream.close)
        stack.callback(self.downstream.close)

    def open_peer_transport(self, stack: AsyncExitStack) -> None:
        """Open the peer transport, if it is configured and the settings allow messages to peers."""
        configuration = self.configuration
        settings = configuration.settings
        listen = configuration.peer_listen
        if not listen or not settings.limits.may_message_peers:
            return
        try:
            transport = PeerTransport(
                listen,
                configuration.peers,
                configuration.peer_broadcast,
                settings.instance,
                self.dispatcher.on_peer_message,
            )
        except OSError as error:
            raise ConfigurationError(f"{listen}: {error.strerror}") from error
        self.dispatcher.peer_transport = transport
        stack.callback(transport.close)

    def apply_initial_knowledge(self) -> int | None:
        """Give the balancer the control plane state from the configuration.

        Returns:
            The version of the endpoint list; None if the configuration holds no endpoint list.
        """
        knowledge = read_initial_knowledge(self.configuration, self.registry)
        self.dispatcher.apply_initial_knowledge(knowledge.endpoints, knowledge.status)
        return knowledge.version

    async def inherit_state(self, stack: AsyncExitStack, version: int | None) -> None:
        """Receive state from other instances, if state transfer is enabled.

        The watches start first in that case, because the receiver needs the endpoint list.
        """
        self.state_transfer = self.optional_parts.make_state_transfer(self.configuration, self.dispatcher)
        if self.state_transfer:
            stack.callback(self.state_transfer.close)
        stack.callback(self.watches.close)
        if self.state_transfer:
            self.watches.update_addresses(self.configuration, version)
            await self.state_transfer.begin()

    def handle_signals(self, reloader: Reloader) -> None:
        """Handle SIGTERM, SIGINT and SIGHUP; gatebank/signal_mask.py blocks SIGHUP until this point."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.terminated.set)
        loop.add_signal_handler(signal.SIGHUP, reloader.requested.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def listen(self) -> None:
        """Open the listening socket for clients."""
        host, port = self.configuration.listen
        try:
            self.downstream.listen((host, port))
        except OSError as error:
            raise ConfigurationError(f"{host}:{port}: {error.strerror}") from error

    def start_tasks(self, stack: AsyncExitStack, reloader: Reloader) -> None:
        """Start the supervised tasks; their names appear in the log lines of faults (``in=``)."""
        stack.callback(self.supervisor.close)
        self.supervisor.start("accept", self.downstream.accept)
        self.supervisor.start("tend", self.sweep)
        self.supervisor.start("look", self.downstream.check_timeouts)
        self.supervisor.start("reload", reloader.run)

    # Serving.

    async def sweep(self) -> None:
        """Close connections to endpoints that are idle for too long, and log the periodic status line."""
        sweeps = 0
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.upstream.close_expired_idle()
            self.dispatcher.recent_ids.remove_expired(self.dispatcher.clock())
            sweeps += 1
            if sweeps % SWEEPS_PER_STATUS_LINE == 0 or LOG.isEnabledFor(logging.DEBUG):
                self.log_status_line()

    def log_status_line(self) -> None:
        """Log the status line (``event=standing``); on-call tools read its keys."""
        dispatcher = self.dispatcher
        peers = dispatcher.peer_transport
        counts: dict[str, int | str] = {
            name.replace(" ", "_"): number for name, number in sorted(dispatcher.counts.items())
        }
        if test := dispatcher.balancer.state.test:
            counts["trial"] = f"{test.build}/{test.sums.stage}"
            counts["sums"] = str([round(total, 1) for total in test.sums.fused])
        counts.update(self.downstream.status_counts())
        counts["node_buffer_bytes"] = self.upstream.buffer_bytes()
        counts["local_shortages"] = self.upstream.local_shortages
        counts["request_bytes"] = dispatcher.requests.size_bytes
        for part in self.enabled_parts():
            counts.update(part.status_counts())
        log_event(
            "standing",
            {
                "in_hand": len(dispatcher.requests),
                "clients": len(self.downstream.connections),
                "clients_unread": self.downstream.protocol_error_count,
                "clients_peak": self.downstream.peak_count,
                "node_connections": self.upstream.open_count,
                "node_connections_peak": self.upstream.peak_count,
                "memory_now_mb": round(anonymous_bytes() / MB, 1),
                "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
                "lag": round(dispatcher.max_timer_lag, 3),
                "node_connections_opened": self.upstream.opened_total,
                "words_told": peers.sent if peers else 0,
                "words_heard": peers.received if peers else 0,
                "words_dropped": peers.dropped if peers else 0,
                **counts,
            },
        )
        dispatcher.max_timer_lag = 0.0

    def enabled_parts(self) -> Sequence[OptionalPart]:
        """Return the optional components that are enabled."""
        return [part for part in (self.recorder, self.state_transfer) if part]

    # Shutdown.

    async def shut_down(self) -> None:
        """Run the shutdown steps; the module docstring describes their order."""
        log_kv("leaving", in_hand=len(self.dispatcher.requests))
        await self.downstream.shut_down()
        self.log_status_line()
        if self.state_transfer:
            await self.state_transfer.finish()
        log_kv("gone", in_hand=len(self.dispatcher.requests))


async def run_service(
    configuration: Configuration, environment: Mapping[str, str], optional_parts: OptionalParts
) -> None:
    """Run one instance in the current event loop."""
    await Service(configuration, environment, optional_parts).run()


def serve(
    configuration: Configuration, environment: Mapping[str, str], optional_parts: OptionalParts
) -> None:
    """Run one instance in a new event loop until SIGTERM or SIGINT.

    Raises:
        ConfigurationError: The instance cannot start with this configuration.
    """
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    uvloop.run(run_service(configuration, environment, optional_parts))
