"""Carries out the faults of a schedule on a fleet."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random
from time import monotonic

from gatebank.fakes.control_plane import Availability
from gatebank.fakes.endpoint import FakeEndpoint
from gatebank.fakes.world import move_services
from tests.soak.clients import ClientPool
from tests.soak.fleet import CANARY_BUILD, Fleet
from tests.soak.peer_relay import Loss
from tests.soak.records import InstanceStall
from tests.soak.schedule import Fault, FaultKind

NEW_CONNECTIONS_S = (0.2, 0.4)  # after SIGTERM, for which new connections go on coming (PROTOCOL)
KILL_GRACE_S = 0.7  # beyond the longest deadline, before SIGKILL (PROTOCOL)
CANARY_ENDPOINTS = 2
STAGE_S = 2.5
DRAIN_S = 2.5  # between DRAINING and DELETED
SLOW_DISCOVERY_S = 0.8
SLOW_REPLY_S = 0.4
PEER_LOSS = Loss(lost=0.3, doubled=0.2, late=0.3)


class FaultPlayer:
    """Carries out faults, each in a task of its own."""

    def __init__(self, fleet: Fleet, clients: ClientPool, generator: Random) -> None:
        self.fleet = fleet
        self.clients = clients
        self.generator = generator
        self.busy_instances: set[int] = set()  # being restarted
        self.busy_endpoints: set[str] = set()  # likewise
        self.methods: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.ENDPOINT_PAUSE: self.pause_endpoint,
            FaultKind.ENDPOINT_HANG: lambda fault: self.set_episode(fault, "hang"),
            FaultKind.ENDPOINT_FAIL: lambda fault: self.set_episode(fault, "error"),
            FaultKind.ENDPOINT_SLOW: lambda fault: self.set_episode(fault, f"late:{SLOW_REPLY_S}"),
            FaultKind.ENDPOINT_REFUSE: self.refuse_connections,
            FaultKind.ENDPOINT_RESTART: self.restart_endpoint,
            FaultKind.ENDPOINT_DRAIN: self.drain_endpoint,
            FaultKind.ENDPOINT_BREAK: self.break_connections,
            FaultKind.ENDPOINT_DIE: self.pause_and_break,
            FaultKind.DISCOVERY_SILENT: lambda fault: self.disturb_discovery(fault, Availability.SILENT),
            FaultKind.DISCOVERY_REFUSE: lambda fault: self.disturb_discovery(fault, Availability.REFUSING),
            FaultKind.DISCOVERY_SLOW: self.slow_discovery,
            FaultKind.DISCOVERY_MUTE: self.mute_discovery,
            FaultKind.RELEASES_SILENT: lambda fault: self.disturb_releases(fault, Availability.SILENT),
            FaultKind.RELEASES_REFUSE: lambda fault: self.disturb_releases(fault, Availability.REFUSING),
            FaultKind.RELEASES_MUTE: self.mute_releases,
            FaultKind.CANARY: self.release_canary,
            FaultKind.PEERS_LOSSY: self.lose_peer_messages,
            FaultKind.INSTANCE_RESTART: self.restart_instance,
            FaultKind.INSTANCE_KILL: self.kill_instance,
            FaultKind.INSTANCE_STALL: self.stall_instance,
            FaultKind.RELOAD: self.reload,
            FaultKind.SIGNALS: self.send_signals,
            FaultKind.CROWD: self.bring_crowd,
        }

    async def play(self, faults: tuple[Fault, ...], began: float) -> None:
        """Carry out a schedule whose load began at ``began``; returns when all faults are over.

        Raises:
            ExceptionGroup: A fault could not be carried out: the soak itself is wrong.
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
        """The endpoint that a fault is about: one that is listed as serving."""
        endpoints = self.fleet.world.endpoints.values()
        serving = [
            each for each in endpoints if each.lifecycle == "SERVING" and each.name not in self.busy_endpoints
        ]
        return serving[fault.target % len(serving)]

    async def pause_endpoint(self, fault: Fault) -> None:
        """It receives commands, executes and answers them once it goes on."""
        endpoint = self.endpoint(fault)
        endpoint.running.clear()
        await asyncio.sleep(fault.seconds)
        endpoint.running.set()

    async def set_episode(self, fault: Fault, behaviour: str) -> None:
        """It does the same with all commands for a while."""
        name = self.endpoint(fault).name
        self.fleet.episodes[name] = behaviour
        await asyncio.sleep(fault.seconds)
        self.fleet.episodes.pop(name, None)

    async def refuse_connections(self, fault: Fault) -> None:
        """It resets each new connection."""
        name = self.endpoint(fault).name
        self.fleet.world.faults[name] = "refuse"
        await asyncio.sleep(fault.seconds)
        self.fleet.world.faults.pop(name, None)

    async def restart_endpoint(self, fault: Fault) -> None:
        """Its process dies, and comes back cold."""
        endpoint = self.endpoint(fault)
        self.busy_endpoints.add(endpoint.name)  # it stays listed as it was
        await endpoint.stop()
        await asyncio.sleep(fault.seconds)
        await self.fleet.restart_endpoint(endpoint)
        self.busy_endpoints.discard(endpoint.name)

    async def drain_endpoint(self, fault: Fault) -> None:
        """It drains, goes, and another one comes in its place."""
        endpoint = self.endpoint(fault)
        self.fleet.set_lifecycle(endpoint.name, "DRAINING")
        await asyncio.sleep(DRAIN_S)
        self.fleet.set_lifecycle(endpoint.name, "DELETED")
        if self.generator.random() < 0.5:
            await endpoint.stop()
        await self.fleet.add_endpoint(endpoint.build)

    async def break_connections(self, fault: Fault) -> None:
        """It resets all connections that it has."""
        for writer in list(self.endpoint(fault).connections):
            writer.transport.abort()

    async def pause_and_break(self, fault: Fault) -> None:
        """It stands still with what it was sent, then resets all connections: attempts fail late."""
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
        """Discovery is not there for any instance for a while."""
        for plane in self.fleet.planes:
            plane.discovery.set_availability(availability)
        await asyncio.sleep(fault.seconds)
        for plane in self.fleet.planes:
            plane.discovery.set_availability(Availability.UP)

    async def slow_discovery(self, fault: Fault) -> None:
        """Its answers take a while."""
        for plane in self.fleet.planes:
            plane.discovery.delay = SLOW_DISCOVERY_S
        await asyncio.sleep(fault.seconds)
        for plane in self.fleet.planes:
            plane.discovery.delay = 0.0

    async def mute_discovery(self, fault: Fault) -> None:
        """Open watches fall silent."""
        for plane in self.fleet.planes:
            plane.discovery.silence_open_connections()

    async def disturb_releases(self, fault: Fault, availability: Availability) -> None:
        """The release service is not there for any instance for a while."""
        for plane in self.fleet.planes:
            plane.releases.set_availability(availability)
        await asyncio.sleep(fault.seconds)
        for plane in self.fleet.planes:
            plane.releases.set_availability(Availability.UP)

    async def mute_releases(self, fault: Fault) -> None:
        """Open streams fall silent."""
        for plane in self.fleet.planes:
            plane.releases.silence_streams()

    async def release_canary(self, fault: Fault) -> None:
        """A new build comes by two stages and is released, or fails and is taken back."""
        fleet = self.fleet
        canaries = [await fleet.add_endpoint(CANARY_BUILD) for _ in range(CANARY_ENDPOINTS)]
        if fault.detail == "bad":
            for endpoint in canaries:
                fleet.episodes[endpoint.name] = "error"
        self.publish(0, "trial", fleet.records.limits.caps[0])
        await asyncio.sleep(STAGE_S)
        if fault.detail == "bad":
            self.publish(0, "back", 0.0)
            await asyncio.sleep(STAGE_S)
            self.publish(0, "withdrawn", 0.0)
            for endpoint in canaries:
                fleet.set_lifecycle(endpoint.name, "DRAINING")
            return
        self.publish(1, "trial", fleet.records.limits.caps[1])
        await asyncio.sleep(STAGE_S)
        self.publish(1, "released", 1.0)

    def publish(self, stage: int, phase: str, cap: float) -> None:
        """Tell all instances a state of the canary."""
        for plane in self.fleet.planes:
            plane.releases.publish(CANARY_BUILD, stage, phase, cap)

    async def lose_peer_messages(self, fault: Fault) -> None:
        """Datagrams between instances are lost, doubled, late."""
        relay = self.fleet.relay
        assert relay
        relay.loss = PEER_LOSS
        await asyncio.sleep(fault.seconds)
        relay.loss = Loss()

    # Instances.

    def instance(self, fault: Fault) -> int | None:
        """The instance that a fault is about; None if it is not running, or another fault has it."""
        number = fault.target % self.fleet.site.instances
        if number in self.busy_instances or not self.fleet.is_running(number):
            return None
        return number

    async def restart_instance(self, fault: Fault) -> None:
        """SIGTERM, SIGKILL no sooner than PROTOCOL says, and another process."""
        if (instance := self.instance(fault)) is not None:
            await self.terminate(instance, fault.seconds)

    async def terminate(
        self, instance: int, beyond_earliest: float, then: tuple[signal.Signals, ...] = ()
    ) -> None:
        """Restart an instance; ``then``: signals that follow SIGTERM at once."""
        fleet = self.fleet
        self.busy_instances.add(instance)
        fleet.send_signal(instance, signal.SIGTERM)
        incarnation = fleet.newest(instance)
        for number in then:
            fleet.send_signal(instance, number)
        assert incarnation.terminated_at is not None
        kill_at = (
            incarnation.terminated_at + fleet.records.limits.longest_deadline + KILL_GRACE_S + beyond_earliest
        )
        await asyncio.sleep(self.generator.uniform(*NEW_CONNECTIONS_S))
        fleet.close_to_clients(instance)
        if not await fleet.wait_until_ended(instance, kill_at - monotonic()):
            fleet.send_signal(instance, signal.SIGKILL)
            await fleet.wait_until_ended(instance, 5.0)
        await fleet.start_instance(instance)
        self.busy_instances.discard(instance)

    async def kill_instance(self, fault: Fault) -> None:
        """It dies, and another process comes after a while."""
        if (instance := self.instance(fault)) is None:
            return
        self.busy_instances.add(instance)
        self.fleet.send_signal(instance, signal.SIGKILL)
        self.fleet.close_to_clients(instance)
        await self.fleet.wait_until_ended(instance, 5.0)
        await asyncio.sleep(fault.seconds)
        await self.fleet.start_instance(instance)
        self.busy_instances.discard(instance)

    async def stall_instance(self, fault: Fault) -> None:
        """It is held up for as long as its host may hold it up."""
        if (instance := self.instance(fault)) is None:
            return
        began = monotonic()
        self.fleet.send_signal(instance, signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        self.fleet.send_signal(instance, signal.SIGCONT)
        self.fleet.records.instance_stalls.append(InstanceStall(instance, began, monotonic()))

    async def reload(self, fault: Fault) -> None:
        """A new configuration, and SIGHUP."""
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
        """Write the instance's file as the fault says."""
        fleet = self.fleet
        if how.startswith("moved"):
            plane = fleet.planes[instance]
            await move_services(plane.discovery, plane.releases)
        fleet.write_configuration(instance)
        path = fleet.configuration_path(instance)
        if how == "half":
            path.write_bytes(path.read_bytes()[: self.generator.randrange(1, 2000)])
        elif how == "broken":
            path.write_text('{"listen": "nowhere"}')

    async def send_signals(self, fault: Fault) -> None:
        """Signals in quick succession; those with SIGTERM restart the instance."""
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
                await self.terminate(instance, 0.0, then=(signal.SIGHUP, signal.SIGHUP))
            case "TERM TERM":
                await self.terminate(instance, 0.0, then=(signal.SIGTERM, signal.SIGTERM))
            case _:
                await self.signal_while_starting(instance, fault.detail)

    async def signal_while_starting(self, instance: int, detail: str) -> None:
        """Kill an instance, and send its next process a signal at some moment of its start."""
        fleet = self.fleet
        self.busy_instances.add(instance)
        send = fleet.send_signal
        send(instance, signal.SIGKILL)
        fleet.close_to_clients(instance)
        await fleet.wait_until_ended(instance, 5.0)
        number = fleet.newest(instance).number + 1
        starting = asyncio.create_task(fleet.start_instance(instance))
        await fleet.wait_until_masked(instance, number)
        await asyncio.sleep(self.generator.uniform(0.0, 0.6))
        if detail.startswith("HUP"):
            send(instance, signal.SIGHUP)
            await starting
        else:
            send(instance, signal.SIGTERM)
            with suppress(TimeoutError):
                await asyncio.wait_for(starting, 5.0)
            fleet.close_to_clients(instance)
            if not await fleet.wait_until_ended(instance, 5.0):
                send(instance, signal.SIGKILL)
                await fleet.wait_until_ended(instance, 5.0)
            await fleet.start_instance(instance)
        self.busy_instances.discard(instance)

    async def bring_crowd(self, fault: Fault) -> None:
        """Many clients connect and ask in one instant."""
        target = self.fleet.targets[fault.target % self.fleet.site.instances]
        await self.clients.crowd(target, int(fault.detail))
