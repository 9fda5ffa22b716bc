"""The fleet of one play: fakes, instances started as in the deploy file, and their configurations."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

from gatebank.fakes.command_counts import command_fields
from gatebank.fakes.control_plane import Availability, FakeDiscovery, FakeReleaseService
from gatebank.fakes.endpoint import FakeEndpoint
from gatebank.fakes.world import World
from gatebank.proxy.configuration import Address
from tests.soak.client_connection import Target
from tests.soak.peer_relay import PeerRelay
from tests.soak.processes import answers_ping, blocks_hangup, deployed_command, now_ms, process_usage
from tests.soak.records import (
    AttemptRecord,
    EndpointStart,
    EndpointUpdate,
    Incarnation,
    ProcessUsage,
    Records,
    ReleaseUpdate,
    without_timeout,
)
from tests.soak.schedule import Schedule
from tests.soak.site_settings import (
    ASSUMED_KNOWN_S,
    load_example_configuration,
    make_limits,
    make_settings,
)
from tests.support.instance_process import ROOT, InstanceProcess

BASE_BUILD = 41
CANARY_BUILD = 42
START_TIMEOUT_S = 30.0
UNUSUAL_REPLIES = (
    "late:0.3", "late:1.5", "reset", "cut", "cut:10", "half", "stops", "busy", "error", "twice",
    "twice_late:0.005", "unasked", "noise", "garbage", "null", "plus", "broken_report", "value:2000",
)  # fmt: skip

# Behaviours whose failure an instance notices immediately.
IMMEDIATE_FAILURES = ("busy", "cut", "error", "garbage", "half", "reset")


@dataclass(slots=True)
class ControlPlane:
    """The fake discovery and the fake release service of one instance."""

    discovery: FakeDiscovery
    releases: FakeReleaseService


class ObservedExecution:
    """Records the times at which an attempt is executed and answered."""

    def __init__(self, record: AttemptRecord) -> None:
        self.record = record

    def executed(self) -> None:
        """Record the execution; see `AttemptObserver`."""
        self.record.executed_at = monotonic()

    def answered(self) -> None:
        """Record the answer; see `AttemptObserver`."""
        self.record.answered_at = monotonic()


class Fleet:
    """Owns the fakes and the processes of a play.

    Args:
        schedule: Sizes and settings.
        folder: Folder for the instances' configurations.
        command: Shell command that starts an instance; None for the command of the deploy file.

    Attributes:
        forced_behaviours: What an endpoint does with all commands, by the endpoint's name.
        current_behaviour: What an endpoint does with the command that it has just received; empty for the
            usual reply.
        processes: The newest process of each instance.
        logs: All processes, which hold their log lines.
    """

    def __init__(self, schedule: Schedule, folder: Path, command: str | None = None) -> None:
        self.schedule = schedule
        self.site = schedule.site
        self.folder = folder
        self.command = command or self.default_command()
        self.generator = Random(f"fleet {schedule.seed}")
        number = os.getpid()
        self.address_prefix = f"127.{20 + number % 40}.{number // 40 % 250}"
        self.world = World(f"{self.address_prefix}.1")
        self.world.mean_reply_time = self.site.reply_time
        self.world.values_include_request_id = True
        self.world.on_attempt = self.on_attempt
        self.world.choose_behaviour = self.choose_behaviour
        self.forced_behaviours: dict[str, str] = {}
        self.current_behaviour = ""
        self.settings = make_settings(self.site)
        self.records = Records(make_limits(self.site, self.settings))
        self.control_planes: list[ControlPlane] = []
        self.targets: list[Target] = []
        self.processes: dict[int, InstanceProcess] = {}
        self.logs: list[tuple[Incarnation, InstanceProcess]] = []
        self.relay: PeerRelay | None = None
        self.next_endpoint = 0
        self.background_tasks: set[asyncio.Task[None]] = set()

    def default_command(self) -> str:
        """Return the command that starts an instance: that of the deploy file, or a shaken instance's."""
        if self.site.is_shaken:
            return f"exec {sys.executable} -m tests.soak.shaken_instance {self.schedule.seed}"
        return deployed_command()

    # Configurations.

    def configuration(self, instance: int) -> dict[str, Any]:
        """Return an instance's configuration for a start at the present state of the fleet."""
        plane = self.control_planes[instance]
        host, port = self.listen_address(instance)
        assert self.relay
        return load_example_configuration() | {
            "name": f"instance-{instance}",
            "listen": f"{host}:{port}",
            "peer_listen": f"{host}:{port + 1}",
            "peers": self.relay.peers(instance),
            "seed": f"{self.generator.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": self.site.memory_mb, "sockets": self.site.descriptors},
            "discovery": f"{self.world.host}:{plane.discovery.port}",
            "platform": {"address": f"{self.world.host}:{plane.releases.port}", "news": plane.releases.state},
            "known": plane.discovery.last_list,
            "settings": self.settings | {"me": instance},
        }

    def configuration_path(self, instance: int) -> Path:
        """Return the path of an instance's configuration file."""
        return self.folder / f"instance-{instance}.json"

    def write_configuration(self, instance: int) -> None:
        """Replace an instance's configuration file atomically."""
        path = self.configuration_path(instance)
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.configuration(instance)))
        new.replace(path)

    def listen_address(self, instance: int) -> Address:
        """Return the address at which an instance listens for clients."""
        return f"{self.address_prefix}.{10 + instance}", 6379

    # Fakes.

    async def start(self) -> None:
        """Start the fakes, then all instances; clients may connect once this returns."""
        for instance in range(self.site.instances):
            await self.add_control_plane(instance)
            host, port = self.listen_address(instance)
            self.targets.append(Target(instance, host, port, accepting=asyncio.Event()))
        for _ in range(self.site.endpoints):
            await self.add_endpoint(BASE_BUILD, is_warm=True)
        for plane in self.control_planes:
            plane.discovery.last_list = plane.discovery.endpoint_list(None)
        peers = [(host, port + 1) for host, port in map(self.listen_address, range(self.site.instances))]
        self.relay = PeerRelay(self.world.host, peers, self.generator)
        await asyncio.gather(*(self.start_instance(number) for number in range(self.site.instances)))

    async def add_control_plane(self, instance: int) -> None:
        """Start discovery and the release service for one instance."""
        world = self.world
        discovery = FakeDiscovery(world.host, 0, world.endpoints, world.changed)
        releases = FakeReleaseService(world.host, 0, world.changed)
        discovery.on_list_sent = lambda listing: self.on_listed(instance, listing)
        releases.on_state_sent = lambda state: self.on_release_state(instance, state)
        await discovery.start()
        await releases.start()
        world.discoveries.append(discovery)
        self.control_planes.append(ControlPlane(discovery, releases))

    async def add_endpoint(self, build: int, is_warm: bool = False) -> FakeEndpoint:
        """Start an endpoint with a new name."""
        name = f"endpoint-{self.next_endpoint}"
        self.next_endpoint += 1
        await self.world.add_endpoint(name, build, started_ms=0 if is_warm else now_ms())
        endpoint = self.world.endpoints[name]
        endpoint.idle_timeout = self.site.endpoint_idle_ratio * self.site.connection_idle_ms / 1000
        self.records.endpoint_starts.append(EndpointStart(name, monotonic(), is_warm))
        if not is_warm:
            self.schedule_assumed_updates(name)
        return endpoint

    async def restart_endpoint(self, endpoint: FakeEndpoint) -> None:
        """Start a stopped endpoint again, cold, with the same name and address."""
        endpoint.started_ms = now_ms()
        await endpoint.start()
        self.records.endpoint_starts.append(EndpointStart(endpoint.name, monotonic(), False))
        self.relist(endpoint.name)

    def relist(self, name: str) -> None:
        """Update an endpoint's entry in discovery; rules assume later that each instance knows the change."""
        self.world.mark_changed(name)
        self.schedule_assumed_updates(name)

    def schedule_assumed_updates(self, name: str) -> None:
        """Schedule the time from which rules assume that each instance knows an endpoint's present state."""
        for instance in range(len(self.control_planes)):
            task = asyncio.create_task(self.record_assumed_update(instance, name))
            self.background_tasks.add(task)
            task.add_done_callback(self.background_tasks.discard)

    def set_lifecycle(self, name: str, lifecycle: str) -> None:
        """List an endpoint with another lifecycle."""
        self.world.endpoints[name].lifecycle = lifecycle
        self.relist(name)

    async def record_assumed_update(self, instance: int, name: str) -> None:
        """Record that an instance is assumed to know a change, whether or not discovery has sent it.

        The assumption holds once discovery has been available for ASSUMED_KNOWN_S without interruption.
        """
        discovery = self.control_planes[instance].discovery
        endpoint = self.world.endpoints[name]
        change = (endpoint.lifecycle, endpoint.build, endpoint.started_ms)
        reachable_since = monotonic()
        while monotonic() < reachable_since + ASSUMED_KNOWN_S:
            await asyncio.sleep(0.05)
            if discovery.availability is not Availability.UP:
                reachable_since = monotonic()
        if change == (endpoint.lifecycle, endpoint.build, endpoint.started_ms):
            self.add_endpoint_update(instance, name, endpoint.lifecycle, endpoint.build, endpoint.started_ms)

    def add_endpoint_update(
        self, instance: int, name: str, lifecycle: str, build: int, started_ms: int
    ) -> None:
        """Record that an instance knows, or is assumed to know, how an endpoint is listed."""
        started = started_ms / 1000 - time.time() + monotonic() if started_ms else 0.0
        update = EndpointUpdate(instance, monotonic(), name, lifecycle, build, started)
        self.records.endpoint_updates.append(update)

    # Callbacks of the fakes.

    def on_listed(self, instance: int, listing: Mapping[str, Any]) -> None:
        """Record a listing that discovery sent to an instance."""
        listed = set()
        for entry in listing["instances"]:
            listed.add(entry["instanceId"])
            self.add_endpoint_update(
                instance,
                entry["instanceId"],
                entry["lifecycle"],
                entry["version_no"],
                entry["startedAtMs"],
            )
        if listing["reset"]:
            for endpoint in self.world.endpoints.values():
                if endpoint.name not in listed:
                    self.add_endpoint_update(instance, endpoint.name, "DELETED", endpoint.build, 0)

    def on_release_state(self, instance: int, state: Mapping[str, Any]) -> None:
        """Record a state that the release service sent to an instance."""
        self.records.release_updates.append(
            ReleaseUpdate(
                instance, monotonic(), state["image"], state["ring"], state["progress"], state["ceiling"]
            )
        )

    def on_attempt(self, endpoint: FakeEndpoint, arguments: list[bytes]) -> ObservedExecution:
        """Record a command that reached an endpoint."""
        fields = command_fields(arguments)
        request_id = arguments[2] if len(arguments) > 2 else b""
        remaining = float(fields.get(b"d", b"inf")) / 1000
        command = without_timeout(arguments)
        record = AttemptRecord(request_id, endpoint.name, endpoint.build, monotonic(), remaining, command)
        if self.current_behaviour.partition(":")[0] in IMMEDIATE_FAILURES:
            record.failed_at = record.at + self.site.reply_time
        self.records.attempts.append(record)
        return ObservedExecution(record)

    def choose_behaviour(self, name: str) -> str:
        """Return what an endpoint does with the command that it has just received."""
        self.current_behaviour = ""
        if name in self.forced_behaviours:
            self.current_behaviour = self.forced_behaviours[name]
        elif self.generator.random() < self.schedule.unusual_replies:
            self.current_behaviour = self.generator.choice(UNUSUAL_REPLIES)
        return self.current_behaviour

    # Instances.

    async def start_instance(self, instance: int) -> None:
        """Start a process for an instance, and wait until it answers PING."""
        self.write_configuration(instance)
        # The configuration contains the release state (PROTOCOL).
        self.on_release_state(instance, self.control_planes[instance].releases.state)
        number = sum(earlier.instance == instance for earlier in self.records.incarnations)
        host, port = self.listen_address(instance)
        environment = os.environ | {
            "ROUTER_NAME": f"instance-{instance}",
            "ROUTER_LISTEN": f"{host}:{port}",
            "ROUTER_CONFIG": str(self.configuration_path(instance)),
        }
        incarnation = Incarnation(instance, number, monotonic())
        self.records.incarnations.append(incarnation)
        process = await asyncio.create_subprocess_shell(
            self.command, cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
        )
        descriptors = self.site.descriptors
        with suppress(ProcessLookupError):
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        instance_process = InstanceProcess(host, process)
        self.processes[instance] = instance_process
        self.logs.append((incarnation, instance_process))
        task = asyncio.create_task(self.watch_process(incarnation, instance_process))
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        with suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                while incarnation.ended_at is None and not await answers_ping(host, port):
                    await asyncio.sleep(0.02)
        if incarnation.ended_at is None:
            incarnation.ready_at = monotonic()
            target = self.targets[instance]
            target.incarnation = number
            target.accepts = incarnation.terminated_at is None
            assert target.accepting
            target.accepting.set()

    async def watch_process(self, incarnation: Incarnation, process: InstanceProcess) -> None:
        """Record when and with which status a process ends."""
        status = await process.process.wait()
        incarnation.ended_at = monotonic()
        incarnation.status = status
        target = self.targets[incarnation.instance]
        if target.incarnation == incarnation.number:
            self.stop_new_connections(incarnation.instance)

    def stop_new_connections(self, instance: int) -> None:
        """Have clients open no new connections to an instance."""
        target = self.targets[instance]
        target.accepts = False
        assert target.accepting
        target.accepting.clear()

    def newest_incarnation(self, instance: int) -> Incarnation:
        """Return the newest incarnation of an instance."""
        return [found for found in self.records.incarnations if found.instance == instance][-1]

    def is_running(self, instance: int) -> bool:
        """Return whether an instance is ready, has not received SIGTERM and has not ended."""
        newest = self.newest_incarnation(instance)
        return newest.ready_at is not None and newest.terminated_at is None and newest.ended_at is None

    def send_signal(self, instance: int, number: signal.Signals) -> None:
        """Send a signal to the newest process of an instance, and record SIGTERM and SIGKILL."""
        incarnation = self.newest_incarnation(instance)
        if incarnation.ended_at is not None:
            return
        if number is signal.SIGTERM and incarnation.terminated_at is None:
            incarnation.terminated_at = monotonic()
        if number is signal.SIGKILL:
            incarnation.killed_at = monotonic()
        with suppress(ProcessLookupError):
            self.processes[instance].process.send_signal(number)

    async def wait_until_hangup_blocked(self, instance: int, number: int) -> None:
        """Wait until an instance's process with this number blocks SIGHUP.

        Before that, the program is not running yet, so that nothing can handle the signal.
        """
        while self.newest_incarnation(instance).number < number:
            await asyncio.sleep(0.005)
        newest = self.newest_incarnation(instance)
        while newest.ended_at is None and newest.ready_at is None:
            process = self.processes.get(instance)
            if process and blocks_hangup(process.process.pid):
                return
            await asyncio.sleep(0.005)

    async def wait_until_ended(self, instance: int, seconds: float) -> bool:
        """Wait for the end of an instance's newest process; return False if it does not end in time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.processes[instance].process.wait()
                return True
        return False

    def usage(self) -> list[ProcessUsage]:
        """Return the resources that the processes use now."""
        found = []
        for instance, process in self.processes.items():
            with suppress(OSError):
                found.append(process_usage(instance, process.process.pid))
        return found

    async def stop(self) -> None:
        """Stop the fakes and all tasks, and kill the processes that still run."""
        for task in list(self.background_tasks):
            task.cancel()
        for process in self.processes.values():
            await process.stop()
        if self.relay:
            self.records.longest_datagram = self.relay.longest_datagram
            self.relay.close()
        for plane in self.control_planes:
            for service in (plane.discovery, plane.releases):
                if service.server:
                    service.server.close()
            for writer in list(plane.releases.streams):
                writer.transport.abort()
        await self.world.stop()
