"""One instance from its start to its end: makes the parts, keeps them running, and gives all back.

Start-up (`Service.run`):
    1. `open_parts`: each part is made, and put on the exit stack, after those that it hands things to.
    2. `apply_initial_knowledge`: the balancer learns what the configuration says of the control plane.
    3. `inherit_state`, where that is switched on: watch the control plane, learn for a while before serving.
    4. `handle_signals`: SIGHUP, blocked since the start of the process, is heeded from here on.
    5. `listen`: clients may connect.
    6. Watch the control plane, unless step 3 did, and start the supervised tasks.
    7. ``event=ready``.

SIGTERM or SIGINT (`Service.shut_down`), in this order, which tests/sockets.scenarios and the tests of races
force:
    1. ``event=leaving``; connections are accepted for 0.45 s more, as new ones come for up to 0.4 s.
    2. The listener closes, the backlog is taken, each connection ends as it becomes idle.
    3. A last line on how things stand.
    4. What is known is written to disk, where state transfer is switched on.
    5. ``event=gone``; then the exit stack: supervised tasks, watches, state transfer, downstream, upstream,
       release service, peers, recorder; at last one turn of the loop for what was cancelled.
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
from gatebank.proxy.configuration import Configuration, ConfigurationError
from gatebank.proxy.control_plane import ControlPlaneWatches, Reloader, read_initial_knowledge
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.downstream import Downstream
from gatebank.proxy.log import LOG, log_event, say
from gatebank.proxy.peer_transport import PeerTransport
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.sockets import ConnectionRecording
from gatebank.proxy.supervisor import Supervisor
from gatebank.proxy.upstream import Upstream

# Descriptors for the loop, listener, discovery, release service, datagrams, log and those in between.
RESERVED_DESCRIPTORS = 24
SWEEP_INTERVAL_S = 1.0  # between sweeps of idle connections
SWEEPS_PER_STATUS_LINE = 10


class OptionalPart(Protocol):
    """A part that is switched on by the operators' file; its counts stand in the line on how things stand."""

    def standing(self) -> Mapping[str, int | str]:
        """Its counts, by the log line's keys."""


class ConnectionRecorder(OptionalPart, Protocol):
    """Records connections; without delay to them."""

    def clients(self, sock: socket.socket) -> ConnectionRecording | None:
        """The recording of a client's connection; None if that side is not recorded."""

    def nodes(self, sock: socket.socket) -> ConnectionRecording | None:
        """The recording of a connection to an endpoint; None if that side is not recorded."""

    def stop(self) -> None:
        """Write what is queued, and end."""


class StateTransfer(OptionalPart, Protocol):
    """Learns from other instances, and teaches them."""

    async def begin(self) -> None:
        """Learn for a while before the instance serves."""

    def reload_keys(self) -> None:
        """A reload was asked for."""

    async def finish(self) -> None:
        """Keep what is known for the next start."""

    def close(self) -> None:
        """Give everything back."""


@dataclass(slots=True, frozen=True)
class OptionalParts:
    """Makers of the parts that the operators' file may switch on; the composition root knows them."""

    make_recorder: Callable[[Configuration], ConnectionRecorder | None] = lambda _: None
    make_state_transfer: Callable[[Configuration, Dispatcher], StateTransfer | None] = lambda *_: None


class Service:
    """One instance.

    Args:
        configuration: Where it stands and what it starts with.
        environment: By which the configuration is loaded again.
        optional_parts: What the operators' file switches on.
    """

    def __init__(
        self, configuration: Configuration, environment: Mapping[str, str], optional_parts: OptionalParts
    ) -> None:
        settings = configuration.settings
        clock = Clock()
        self.configuration = configuration
        self.environment = environment
        self.optional_parts = optional_parts
        self.registry = EndpointRegistry(settings)
        self.dispatcher = Dispatcher(
            settings, configuration.seed, clock, self.registry, configuration.bounds.commands
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
        self.upstream = Upstream(settings, descriptors // 2, bounds.buffers)
        self.downstream = Downstream(settings, self.dispatcher, descriptors - descriptors // 2, bounds)
        self.dispatcher.upstream = self.upstream
        self.dispatcher.release_service = self.release_service
        self.watches = ControlPlaneWatches(self.dispatcher, self.registry, self.release_service)
        self.supervisor = Supervisor()
        self.recorder: ConnectionRecorder | None = None
        self.state_transfer: StateTransfer | None = None
        self.terminated = asyncio.Event()

    async def run(self) -> None:
        """Start, serve until SIGTERM, and shut down.

        Raises:
            ConfigurationError: The instance can't start so.
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
                self.watches.move(self.configuration, version)
            self.start_tasks(stack, reloader)
            gc.collect()
            gc.freeze()  # what stands from the start need not be looked at again
            say("ready", name=self.configuration.name, nodes=len(self.dispatcher.fleet.endpoints))
            await self.terminated.wait()
            await self.shut_down()

    # Start-up.

    def open_parts(self, stack: AsyncExitStack) -> None:
        """Put each part on the stack; what is on it last is given back first."""
        self.recorder = self.optional_parts.make_recorder(self.configuration)
        if self.recorder:
            stack.callback(self.recorder.stop)
            self.downstream.record = self.recorder.clients
            self.upstream.record = self.recorder.nodes
        self.open_peer_transport(stack)
        stack.callback(self.release_service.close)
        stack.callback(self.upstream.close)
        stack.callback(self.downstream.close)

    def open_peer_transport(self, stack: AsyncExitStack) -> None:
        """Exchange messages with peers, where that is configured and allowed."""
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
        """Give the balancer what the configuration says; returns the endpoint list's version."""
        knowledge = read_initial_knowledge(self.configuration, self.registry)
        self.dispatcher.start(knowledge.endpoints, knowledge.status)
        return knowledge.version

    async def inherit_state(self, stack: AsyncExitStack, version: int | None) -> None:
        """Learn from other instances, where that is switched on; the endpoint list is needed for it."""
        self.state_transfer = self.optional_parts.make_state_transfer(self.configuration, self.dispatcher)
        if self.state_transfer:
            stack.callback(self.state_transfer.close)
        stack.callback(self.watches.close)
        if self.state_transfer:
            self.watches.move(self.configuration, version)
            await self.state_transfer.begin()

    def handle_signals(self, reloader: Reloader) -> None:
        """Heed SIGTERM, SIGINT and SIGHUP, which gatebank/signal_mask.py has blocked until here."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.terminated.set)
        loop.add_signal_handler(signal.SIGHUP, reloader.requested.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def listen(self) -> None:
        """Let clients connect."""
        host, port = self.configuration.listen
        try:
            self.downstream.listen((host, port))
        except OSError as error:
            raise ConfigurationError(f"{host}:{port}: {error.strerror}") from error

    def start_tasks(self, stack: AsyncExitStack, reloader: Reloader) -> None:
        """Start what runs as long as the instance does; the names stand in log lines of faults."""
        stack.callback(self.supervisor.close)
        self.supervisor.start("accept", self.downstream.accept)
        self.supervisor.start("tend", self.sweep)
        self.supervisor.start("look", self.downstream.check_clocks)
        self.supervisor.start("reload", reloader.run)

    # Serving.

    async def sweep(self) -> None:
        """Close connections to endpoints that are idle for too long, and say how things stand."""
        sweeps = 0
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.upstream.close_expired_idle()
            sweeps += 1
            if sweeps % SWEEPS_PER_STATUS_LINE == 0 or LOG.isEnabledFor(logging.DEBUG):
                self.log_standing()

    def log_standing(self) -> None:
        """Log how things stand; on-call tools read these keys."""
        dispatcher = self.dispatcher
        peers = dispatcher.peer_transport
        counts: dict[str, int | str] = {
            name.replace(" ", "_"): number for name, number in sorted(dispatcher.counts.items())
        }
        if test := dispatcher.balancer.state.test:
            counts["trial"] = f"{test.build}/{test.sums.stage}"
            counts["sums"] = str([round(total, 1) for total in test.sums.fused])
        for part in self.switched_on():
            counts.update(part.standing())
        log_event(
            "standing",
            {
                "in_hand": len(dispatcher.requests),
                "clients": len(self.downstream.connections),
                "clients_unread": self.downstream.protocol_error_count,
                "clients_peak": self.downstream.peak_count,
                "node_connections": self.upstream.open_count,
                "node_connections_peak": self.upstream.peak_count,
                "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
                "lag": round(dispatcher.lag, 3),
                "node_connections_opened": self.upstream.opened_total,
                "words_told": peers.sent if peers else 0,
                "words_heard": peers.received if peers else 0,
                "words_dropped": peers.dropped if peers else 0,
                **counts,
            },
        )
        dispatcher.lag = 0.0

    def switched_on(self) -> Sequence[OptionalPart]:
        """The optional parts that there are."""
        return [part for part in (self.recorder, self.state_transfer) if part]

    # Shutdown.

    async def shut_down(self) -> None:
        """The steps at SIGTERM; the module's head gives their order."""
        say("leaving", in_hand=len(self.dispatcher.requests))
        await self.downstream.shut_down()
        self.log_standing()
        if self.state_transfer:
            await self.state_transfer.finish()
        say("gone", in_hand=len(self.dispatcher.requests))


async def run_service(
    configuration: Configuration, environment: Mapping[str, str], optional_parts: OptionalParts
) -> None:
    """Run one instance in the loop that runs."""
    await Service(configuration, environment, optional_parts).run()


def serve(
    configuration: Configuration, environment: Mapping[str, str], optional_parts: OptionalParts
) -> None:
    """Run one instance until SIGTERM.

    Raises:
        ConfigurationError: It can't start so.
    """
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    uvloop.run(run_service(configuration, environment, optional_parts))
