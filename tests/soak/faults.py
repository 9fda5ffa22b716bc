"""Carries out the faults of a schedule on a fleet of real instances and fake endpoints."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random
from time import monotonic

from gatebank.fakes.control_plane import Availability
from gatebank.fakes.endpoint import FakeEndpoint
from gatebank.fakes.world import move_services
from tests.soak.clients import ClientPool
from tests.soak.fleet import CANARY_BUILD, Fleet
from tests.soak.peer_relay import DatagramFaults
from tests.soak.records import Crowd, InstanceStall
from tests.soak.schedule import Fault, FaultKind
from tests.support.flooded_instance import limit_processor
from tests.support.instance_process import ROOT

# Range of the time after SIGTERM for which clients still open new connections (PROTOCOL).
NEW_CONNECTIONS_AFTER_SIGTERM_S = (0.2, 0.4)
# Time between SIGTERM and the earliest SIGKILL, in addition to the longest deadline (PROTOCOL).
KILL_GRACE_S = 0.7
CANARY_ENDPOINTS = 2
STAGE_DURATION_S = 2.5
DRAIN_DURATION_S = 2.5  # Time for which an endpoint is listed as DRAINING before it is DELETED.
SLOW_DISCOVERY_S = 0.8
SLOW_REPLY_S = 0.4
QUARTER_OF_CORE = 0.25
PEER_FAULTS = DatagramFaults(lost=0.3, duplicated=0.2, delayed=0.3)


class FaultInjector:
    """Carries out faults, each in a separate task.

    Attributes:
        busy_instances: Numbers of the instances that a fault is restarting.
        busy_endpoints: Names of the endpoints that a fault is restarting.
        methods: The method that carries out each kind of fault.
    """

    def __init__(self, fleet: Fleet, clients: ClientPool, generator: Random) -> None:
        self.fleet = fleet
        self.clients = clients
        self.generator = generator
        self.busy_instances: set[int] = set()
        self.busy_endpoints: set[str] = set()
        self.methods: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.ENDPOINT_PAUSE: self.pause_endpoint,
            FaultKind.ENDPOINT_HANG: lambda fault: self.set_episode(fault, "hang"),
            FaultKind.ENDPOINT_FAIL: lambda fault: self.set_episode(fault, "error"),
            FaultKind.ENDPOINT_SLOW: lambda fault: self.set_episode(fault, f"late:{SLOW_REPLY_S}"),
            FaultKind.ENDPOINT_REFUSE: self.refuse_connections,
            FaultKind.ENDPOINT_RESTART: self.restart_endpoint,
            FaultKind.ENDPOINT_DRAIN: self.drain_endpoint,
            FaultKind.ENDPOINT_RESET: self.break_connections,
            FaultKind.ENDPOINT_PAUSE_THEN_RESET: self.pause_and_break,
            FaultKind.DISCOVERY_SILENT: lambda fault: self.disturb_discovery(fault, Availability.SILENT),
            FaultKind.DISCOVERY_REFUSE: lambda fault: self.disturb_discovery(fault, Availability.REFUSING),
            FaultKind.DISCOVERY_SLOW: self.slow_discovery,
            FaultKind.WATCHES_SILENT: self.silence_watches,
            FaultKind.RELEASES_SILENT: lambda fault: self.disturb_releases(fault, Availability.SILENT),
            FaultKind.RELEASES_REFUSE: lambda fault: self.disturb_releases(fault, Availability.REFUSING),
            FaultKind.RELEASE_STREAMS_SILENT: self.silence_release_streams,
            FaultKind.CANARY: self.release_canary,
            FaultKind.PEERS_LOSSY: self.lose_peer_messages,
            FaultKind.INSTANCE_RESTART: self.restart_instance,
            FaultKind.INSTANCE_KILL: self.kill_instance,
            FaultKind.INSTANCE_STALL: self.stall_instance,
            FaultKind.RELOAD: self.reload,
            FaultKind.SIGNALS: self.send_signals,
            FaultKind.CROWD: self.connect_crowd,
            FaultKind.FLOOD: self.flood,
            FaultKind.STARVED_FLOOD: self.flood_at_quarter_of_core,
        }

    async def play(self, faults: tuple[Fault, ...], began: float) -> None:
        """Carry out the faults of a schedule, and return when all of them are over.

        Args:
            faults: The faults, in the order of their times.
            began: Start of the load on the monotonic clock.

        Raises:
            ExceptionGroup: A fault could not be carried out, because of an error in the soak itself.
        """
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                await asyncio.sleep(max(0.0, began + fault.at - monotonic()))
                kind = fault.kind.value
                played = self.fleet.records.faults_played
                played[kind] = played.get(kind, 0) + 1
                group.create_task(self.run(fault))

    async def run(self, fault: Fault) -> None:
        """Carry out one fault."""
        await self.methods[fault.kind](fault)

    # Endpoints.

    def endpoint(self, fault: Fault) -> FakeEndpoint:
        """Return the endpoint that a fault affects: one that is listed as serving and not restarting."""
        endpoints = self.fleet.world.endpoints.values()
        serving = [
            endpoint
            for endpoint in endpoints
            if endpoint.lifecycle == "SERVING" and endpoint.name not in self.busy_endpoints
        ]
        return serving[fault.target % len(serving)]

    async def pause_endpoint(self, fault: Fault) -> None:
        """Pause an endpoint: it receives commands, but executes and answers them only after the pause."""
        endpoint = self.endpoint(fault)
        endpoint.running.clear()
        await asyncio.sleep(fault.seconds)
        endpoint.running.set()

    async def set_episode(self, fault: Fault, behaviour: str) -> None:
        """Have an endpoint handle all commands with one behaviour for the fault's duration."""
        name = self.endpoint(fault).name
        self.fleet.forced_behaviours[name] = behaviour
        await asyncio.sleep(fault.seconds)
        self.fleet.forced_behaviours.pop(name, None)

    async def refuse_connections(self, fault: Fault) -> None:
        """Have an endpoint reset each new connection for the fault's duration."""
        name = self.endpoint(fault).name
        self.fleet.world.faults[name] = "refuse"
        await asyncio.sleep(fault.seconds)
        self.fleet.world.faults.pop(name, None)

    async def restart_endpoint(self, fault: Fault) -> None:
        """Stop an endpoint's process, and start it again cold after the fault's duration."""
        endpoint = self.endpoint(fault)
        self.busy_endpoints.add(endpoint.name)  # Discovery still lists the endpoint as serving.
        await endpoint.stop()
        await asyncio.sleep(fault.seconds)
        await self.fleet.restart_endpoint(endpoint)
        self.busy_endpoints.discard(endpoint.name)

    async def drain_endpoint(self, fault: Fault) -> None:
        """Drain and delete an endpoint, and add another endpoint with the same build."""
        endpoint = self.endpoint(fault)
        self.fleet.set_lifecycle(endpoint.name, "DRAINING")
        await asyncio.sleep(DRAIN_DURATION_S)
        self.fleet.set_lifecycle(endpoint.name, "DELETED")
        if self.generator.random() < 0.5:
            await endpoint.stop()
        await self.fleet.add_endpoint(endpoint.build)

    async def break_connections(self, fault: Fault) -> None:
        """Reset all of an endpoint's connections."""
        for writer in list(self.endpoint(fault).connections):
            writer.transport.abort()

    async def pause_and_break(self, fault: Fault) -> None:
        """Pause an endpoint and then reset all its connections, so that its attempts fail late."""
        endpoint = self.endpoint(fault)
        endpoint.running.clear()
        await asyncio.sleep(fault.seconds)
        now = monotonic()
        for attempt in self.fleet.records.attempts:
            if attempt.endpoint == endpoint.name and attempt.at > now - fault.seconds:
                attempt.failed_at = now
        for writer in list(endpoint.connections):
            writer.transport.abort()
        endpoint.running.set()

    # The control plane.

    async def disturb_discovery(self, fault: Fault, availability: Availability) -> None:
        """Make discovery unavailable to all instances for the fault's duration."""
        for plane in self.fleet.control_planes:
            plane.discovery.set_availability(availability)
        await asyncio.sleep(fault.seconds)
        for plane in self.fleet.control_planes:
            plane.discovery.set_availability(Availability.UP)

    async def slow_discovery(self, fault: Fault) -> None:
        """Delay discovery's answers by SLOW_DISCOVERY_S for the fault's duration."""
        for plane in self.fleet.control_planes:
            plane.discovery.delay = SLOW_DISCOVERY_S
        await asyncio.sleep(fault.seconds)
        for plane in self.fleet.control_planes:
            plane.discovery.delay = 0.0

    async def silence_watches(self, fault: Fault) -> None:
        """Send nothing more on discovery's open watches."""
        for plane in self.fleet.control_planes:
            plane.discovery.silence_open_connections()

    async def disturb_releases(self, fault: Fault, availability: Availability) -> None:
        """Make the release service unavailable to all instances for the fault's duration."""
        for plane in self.fleet.control_planes:
            plane.releases.set_availability(availability)
        await asyncio.sleep(fault.seconds)
        for plane in self.fleet.control_planes:
            plane.releases.set_availability(Availability.UP)

    async def silence_release_streams(self, fault: Fault) -> None:
        """Send nothing more on the release service's open streams."""
        for plane in self.fleet.control_planes:
            plane.releases.silence_streams()

    async def release_canary(self, fault: Fault) -> None:
        """Put a new build on trial in two stages and release it, or, if it is bad, roll it back."""
        fleet = self.fleet
        canaries = [await fleet.add_endpoint(CANARY_BUILD) for _ in range(CANARY_ENDPOINTS)]
        if fault.detail == "bad":
            for endpoint in canaries:
                fleet.forced_behaviours[endpoint.name] = "error"
        if fleet.site.has_sticky_keys:
            await asyncio.sleep(fault.seconds)  # The endpoints are listed before the build is announced.
        self.publish(0, "trial", fleet.records.limits.caps[0])
        await asyncio.sleep(STAGE_DURATION_S)
        if fault.detail == "bad":
            self.publish(0, "back", 0.0)
            await asyncio.sleep(STAGE_DURATION_S)
            self.publish(0, "withdrawn", 0.0)
            for endpoint in canaries:
                fleet.set_lifecycle(endpoint.name, "DRAINING")
            return
        self.publish(1, "trial", fleet.records.limits.caps[1])
        await asyncio.sleep(STAGE_DURATION_S)
        self.publish(1, "released", 1.0)

    def publish(self, stage: int, phase: str, cap: float) -> None:
        """Publish a state of the canary to all instances."""
        for plane in self.fleet.control_planes:
            plane.releases.publish(CANARY_BUILD, stage, phase, cap)

    async def lose_peer_messages(self, fault: Fault) -> None:
        """Lose, duplicate and delay datagrams between instances for the fault's duration."""
        relay = self.fleet.relay
        assert relay
        relay.faults = PEER_FAULTS
        await asyncio.sleep(fault.seconds)
        relay.faults = DatagramFaults()

    # Instances.

    def instance(self, fault: Fault) -> int | None:
        """Return the instance that a fault affects; None if it is not running or is already restarting."""
        number = fault.target % self.fleet.site.instances
        if number in self.busy_instances or not self.fleet.is_running(number):
            return None
        return number

    async def restart_instance(self, fault: Fault) -> None:
        """Restart an instance with SIGTERM, and with SIGKILL no earlier than PROTOCOL allows."""
        if (instance := self.instance(fault)) is not None:
            await self.terminate(instance, fault.seconds)

    async def terminate(
        self, instance: int, after_earliest_kill: float, following_signals: tuple[signal.Signals, ...] = ()
    ) -> None:
        """Restart an instance.

        Args:
            instance: Its number.
            after_earliest_kill: Seconds from the earliest allowed SIGKILL to the SIGKILL that is sent.
            following_signals: Signals that are sent immediately after SIGTERM.
        """
        fleet = self.fleet
        self.busy_instances.add(instance)
        fleet.send_signal(instance, signal.SIGTERM)
        incarnation = fleet.newest_incarnation(instance)
        for number in following_signals:
            fleet.send_signal(instance, number)
        assert incarnation.terminated_at is not None
        kill_at = (
            incarnation.terminated_at
            + fleet.records.limits.longest_deadline
            + KILL_GRACE_S
            + after_earliest_kill
        )
        await asyncio.sleep(self.generator.uniform(*NEW_CONNECTIONS_AFTER_SIGTERM_S))
        fleet.stop_new_connections(instance)
        if not await fleet.wait_until_ended(instance, kill_at - monotonic()):
            fleet.send_signal(instance, signal.SIGKILL)
            await fleet.wait_until_ended(instance, 5.0)
        await fleet.start_instance(instance)
        self.busy_instances.discard(instance)

    async def kill_instance(self, fault: Fault) -> None:
        """Kill an instance, and start another process after the fault's duration."""
        if (instance := self.instance(fault)) is None:
            return
        self.busy_instances.add(instance)
        self.fleet.send_signal(instance, signal.SIGKILL)
        self.fleet.stop_new_connections(instance)
        await self.fleet.wait_until_ended(instance, 5.0)
        await asyncio.sleep(fault.seconds)
        await self.fleet.start_instance(instance)
        self.busy_instances.discard(instance)

    async def stall_instance(self, fault: Fault) -> None:
        """Stop an instance with SIGSTOP for a time for which its machine may hold it up."""
        if (instance := self.instance(fault)) is None:
            return
        began = monotonic()
        self.fleet.send_signal(instance, signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        self.fleet.send_signal(instance, signal.SIGCONT)
        self.fleet.records.instance_stalls.append(InstanceStall(instance, began, monotonic()))

    async def reload(self, fault: Fault) -> None:
        """Write a new configuration for an instance and send it SIGHUP."""
        if (instance := self.instance(fault)) is None:
            return
        await self.change_configuration(instance, fault.detail)
        self.fleet.send_signal(instance, signal.SIGHUP)
        if fault.detail == "moved twice":
            await self.change_configuration(instance, "moved")
            self.fleet.send_signal(instance, signal.SIGHUP)
        if fault.detail in ("broken", "half"):
            await asyncio.sleep(fault.seconds)
            self.fleet.write_configuration(instance)

    async def change_configuration(self, instance: int, how: str) -> None:
        """Write an instance's configuration file with the change that the fault's detail names."""
        fleet = self.fleet
        if how.startswith("moved"):
            plane = fleet.control_planes[instance]
            await move_services(plane.discovery, plane.releases)
        fleet.write_configuration(instance)
        path = fleet.configuration_path(instance)
        if how == "half":
            path.write_bytes(path.read_bytes()[: self.generator.randrange(1, 2000)])
        elif how == "broken":
            path.write_text('{"listen": "nowhere"}')

    async def send_signals(self, fault: Fault) -> None:
        """Send an instance several signals in quick succession; series with SIGTERM restart it."""
        if (instance := self.instance(fault)) is None:
            return
        send = self.fleet.send_signal
        match fault.detail:
            case "HUP HUP":
                for _ in range(5):
                    send(instance, signal.SIGHUP)
                    await asyncio.sleep(self.generator.uniform(0.0, 0.01))
            case "HUP TERM":
                send(instance, signal.SIGHUP)
                await asyncio.sleep(self.generator.uniform(0.0, 0.05))
                await self.terminate(instance, 0.0)
            case "HUP+TERM":
                send(instance, signal.SIGHUP)
                await self.terminate(instance, 0.0)
            case "TERM HUP":
                await self.terminate(instance, 0.0, following_signals=(signal.SIGHUP, signal.SIGHUP))
            case "TERM TERM":
                await self.terminate(instance, 0.0, following_signals=(signal.SIGTERM, signal.SIGTERM))
            case _:
                await self.signal_while_starting(instance, fault.detail)

    async def signal_while_starting(self, instance: int, detail: str) -> None:
        """Kill an instance, and send its next process a signal at a random time during its start."""
        fleet = self.fleet
        self.busy_instances.add(instance)
        send = fleet.send_signal
        send(instance, signal.SIGKILL)
        fleet.stop_new_connections(instance)
        await fleet.wait_until_ended(instance, 5.0)
        number = fleet.newest_incarnation(instance).number + 1
        starting = asyncio.create_task(fleet.start_instance(instance))
        await fleet.wait_until_hangup_blocked(instance, number)
        await asyncio.sleep(self.generator.uniform(0.0, 0.6))
        if detail.startswith("HUP"):
            send(instance, signal.SIGHUP)
            await starting
        else:
            send(instance, signal.SIGTERM)
            with suppress(TimeoutError):
                await asyncio.wait_for(starting, 5.0)
            fleet.stop_new_connections(instance)
            if not await fleet.wait_until_ended(instance, 5.0):
                send(instance, signal.SIGKILL)
                await fleet.wait_until_ended(instance, 5.0)
            await fleet.start_instance(instance)
        self.busy_instances.discard(instance)

    async def connect_crowd(self, fault: Fault) -> None:
        """Have many clients connect to an instance and send a request at the same time."""
        target = self.fleet.targets[fault.target % self.fleet.site.instances]
        await self.clients.run_crowd(target, int(fault.detail))

    async def flood(self, fault: Fault) -> None:
        """Have flooding clients, which run in a process of their own, load an instance for some time.

        The requests of other clients meet a crowd meanwhile.
        """
        kind, _, clients = fault.detail.partition(" ")
        target = self.fleet.targets[fault.target % self.fleet.site.instances]
        command = (sys.executable, "-m", "tests.support.flood_clients", target.host, kind, clients)
        began = monotonic()
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdin=asyncio.subprocess.PIPE)
        await asyncio.sleep(fault.seconds)
        await process.communicate(b"")
        is_starved = fault.kind is FaultKind.STARVED_FLOOD
        self.fleet.records.crowds.append(Crowd(target.instance, began, monotonic(), int(clients), is_starved))

    async def flood_at_quarter_of_core(self, fault: Fault) -> None:
        """Have flooding clients load an instance, which has a quarter of a core meanwhile."""
        instance = self.instance(fault)
        if instance is None:
            return

        def record_stop(begin: float, end: float) -> None:
            self.fleet.records.processor_stops.append(InstanceStall(instance, begin, end))

        process = self.fleet.processes[instance].process
        limiter = asyncio.create_task(limit_processor(process, QUARTER_OF_CORE, record_stop))
        try:
            await self.flood(fault)
        finally:
            limiter.cancel()
            await asyncio.gather(limiter, return_exceptions=True)
