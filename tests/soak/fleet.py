"""The fleet of one play: stand-ins, instances as the deploy file starts them, and their configurations."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
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
    EndpointNews,
    EndpointStart,
    Incarnation,
    ProcessUsage,
    Records,
    ReleaseNews,
    without_time,
)
from tests.soak.schedule import Schedule
from tests.soak.site_settings import LISTED_TOLD_S, MEMORY_MB, example, make_limits, make_settings
from tests.support.instance_process import ROOT, InstanceProcess

BASE_BUILD = 41
CANARY_BUILD = 42
START_PATIENCE_S = 30.0
ODD_REPLIES = (
    "late:0.3", "late:1.5", "reset", "cut", "cut:10", "half", "stops", "busy", "error", "twice",
    "twice_late:0.005", "unasked", "noise", "garbage", "null", "plus", "broken_report", "value:2000",
)  # fmt: skip

FAILURES = ("busy", "cut", "error", "garbage", "half", "reset")  # of which an instance learns at once


@dataclass(slots=True)
class ControlPlane:
    """Discovery and release service as one instance meets them."""

    discovery: FakeDiscovery
    releases: FakeReleaseService


class ObservedExecution:
    """Writes down when an attempt is executed."""

    def __init__(self, record: AttemptRecord) -> None:
        self.record = record

    def executed(self) -> None:
        """See `AttemptObserver`."""
        self.record.executed_at = monotonic()


class Fleet:
    """Owns the stand-ins and the processes of a play.

    Args:
        schedule: Sizes and settings.
        folder: Configurations are written there.
        command: How an instance is started; None: as the deploy file says.
    """

    def __init__(self, schedule: Schedule, folder: Path, command: str | None = None) -> None:
        self.schedule = schedule
        self.site = schedule.site
        self.folder = folder
        self.command = command or deployed_command()
        self.generator = Random(f"fleet {schedule.seed}")
        number = os.getpid()
        self.prefix = f"127.{20 + number % 40}.{number // 40 % 250}"
        self.world = World(f"{self.prefix}.1")
        self.world.mean_reply_time = self.site.reply_time
        self.world.values_include_request_id = True
        self.world.on_attempt = self.on_attempt
        self.world.choose_behaviour = self.choose_behaviour
        self.episodes: dict[str, str] = {}  # what an endpoint does with all commands, by its name
        self.behaviour = ""  # with the command at hand
        self.settings = make_settings(self.site)
        self.records = Records(make_limits(self.site, self.settings))
        self.planes: list[ControlPlane] = []
        self.targets: list[Target] = []
        self.processes: dict[int, InstanceProcess] = {}  # the newest of each instance
        self.logs: list[tuple[Incarnation, InstanceProcess]] = []
        self.relay: PeerRelay | None = None
        self.next_endpoint = 0
        self.watchers: set[asyncio.Task[None]] = set()

    # Configurations.

    def configuration(self, instance: int) -> dict[str, Any]:
        """What an instance is told at its start, as things stand."""
        plane = self.planes[instance]
        host, port = self.listen_address(instance)
        assert self.relay
        return example() | {
            "name": f"instance-{instance}",
            "listen": f"{host}:{port}",
            "peer_listen": f"{host}:{port + 1}",
            "peers": self.relay.peers(instance),
            "seed": f"{self.generator.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": self.site.descriptors},
            "discovery": f"{self.world.host}:{plane.discovery.port}",
            "platform": {"address": f"{self.world.host}:{plane.releases.port}", "news": plane.releases.state},
            "known": plane.discovery.last_list,
            "settings": self.settings | {"me": instance},
        }

    def configuration_path(self, instance: int) -> Path:
        """The file that the instance reads."""
        return self.folder / f"instance-{instance}.json"

    def write_configuration(self, instance: int) -> None:
        """Write an instance's file anew, whole at once."""
        path = self.configuration_path(instance)
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.configuration(instance)))
        new.replace(path)

    def listen_address(self, instance: int) -> Address:
        """Where clients reach an instance."""
        return f"{self.prefix}.{10 + instance}", 6379

    # The stand-ins.

    async def start(self) -> None:
        """Start the stand-ins, then all instances; clients may come once this returns."""
        for instance in range(self.site.instances):
            await self.add_control_plane(instance)
            host, port = self.listen_address(instance)
            self.targets.append(Target(instance, host, port, back=asyncio.Event()))
        for _ in range(self.site.endpoints):
            await self.add_endpoint(BASE_BUILD, is_warm=True)
        for plane in self.planes:
            plane.discovery.last_list = plane.discovery.endpoint_list(None)
        peers = [(host, port + 1) for host, port in map(self.listen_address, range(self.site.instances))]
        self.relay = PeerRelay(self.world.host, peers, self.generator)
        await asyncio.gather(*(self.start_instance(number) for number in range(self.site.instances)))

    async def add_control_plane(self, instance: int) -> None:
        """Discovery and release service for one instance."""
        world = self.world
        discovery = FakeDiscovery(world.host, 0, world.endpoints, world.changed)
        releases = FakeReleaseService(world.host, 0, world.changed)
        discovery.on_list_sent = lambda listing: self.on_listed(instance, listing)
        releases.on_state_sent = lambda state: self.on_news(instance, state)
        await discovery.start()
        await releases.start()
        world.discoveries.append(discovery)
        self.planes.append(ControlPlane(discovery, releases))

    async def add_endpoint(self, build: int, is_warm: bool = False) -> FakeEndpoint:
        """Start an endpoint under a name of its own."""
        name = f"endpoint-{self.next_endpoint}"
        self.next_endpoint += 1
        await self.world.add_endpoint(name, build, started_ms=0 if is_warm else now_ms())
        endpoint = self.world.endpoints[name]
        endpoint.idle_timeout = self.site.endpoint_idle_timeout * self.site.connection_idle_ms / 1000
        self.records.endpoint_starts.append(EndpointStart(name, monotonic(), is_warm))
        if not is_warm:
            self.expect_told(name)
        return endpoint

    async def restart_endpoint(self, endpoint: FakeEndpoint) -> None:
        """Start a stopped endpoint's process again, cold, under its name and address."""
        endpoint.started_ms = now_ms()
        await endpoint.start()
        self.records.endpoint_starts.append(EndpointStart(endpoint.name, monotonic(), False))
        self.relist(endpoint.name)

    def relist(self, name: str) -> None:
        """Discovery learns of a change; each instance counts as told some time later."""
        self.world.mark_changed(name)
        self.expect_told(name)

    def expect_told(self, name: str) -> None:
        """Each instance counts as told of an endpoint's state some time from now."""
        for instance in range(len(self.planes)):
            task = asyncio.create_task(self.deem_told(instance, name))
            self.watchers.add(task)
            task.add_done_callback(self.watchers.discard)

    def set_lifecycle(self, name: str, lifecycle: str) -> None:
        """List an endpoint with another lifecycle."""
        self.world.endpoints[name].lifecycle = lifecycle
        self.relist(name)

    async def deem_told(self, instance: int, name: str) -> None:
        """A change counts as told once discovery could be reached for so long, whether or not it arrived."""
        discovery = self.planes[instance].discovery
        endpoint = self.world.endpoints[name]
        change = (endpoint.lifecycle, endpoint.build, endpoint.started_ms)
        reachable_since = monotonic()
        while monotonic() < reachable_since + LISTED_TOLD_S:
            await asyncio.sleep(0.05)
            if discovery.availability is not Availability.UP:
                reachable_since = monotonic()
        if change == (endpoint.lifecycle, endpoint.build, endpoint.started_ms):
            self.add_endpoint_news(instance, name, endpoint.lifecycle, endpoint.build, endpoint.started_ms)

    def add_endpoint_news(
        self, instance: int, name: str, lifecycle: str, build: int, started_ms: int
    ) -> None:
        """Write down that an instance was told, or counts so."""
        started = started_ms / 1000 - time.time() + monotonic() if started_ms else 0.0
        news = EndpointNews(instance, monotonic(), name, lifecycle, build, started)
        self.records.endpoint_news.append(news)

    # What the stand-ins hear.

    def on_listed(self, instance: int, listing: Mapping[str, Any]) -> None:
        """Discovery wrote a listing to an instance."""
        listed = set()
        for entry in listing["instances"]:
            listed.add(entry["instanceId"])
            self.add_endpoint_news(
                instance,
                entry["instanceId"],
                entry["lifecycle"],
                entry["version_no"],
                entry["startedAtMs"],
            )
        if listing["reset"]:
            for endpoint in self.world.endpoints.values():
                if endpoint.name not in listed:
                    self.add_endpoint_news(instance, endpoint.name, "DELETED", endpoint.build, 0)

    def on_news(self, instance: int, state: Mapping[str, Any]) -> None:
        """The release service wrote its state to an instance."""
        self.records.release_news.append(
            ReleaseNews(
                instance, monotonic(), state["image"], state["ring"], state["progress"], state["ceiling"]
            )
        )

    def on_attempt(self, endpoint: FakeEndpoint, arguments: list[bytes]) -> ObservedExecution:
        """A command reached an endpoint."""
        fields = command_fields(arguments)
        request_id = arguments[2] if len(arguments) > 2 else b""
        remaining = float(fields.get(b"d", b"inf")) / 1000
        command = without_time(arguments)
        record = AttemptRecord(request_id, endpoint.name, endpoint.build, monotonic(), remaining, command)
        if self.behaviour.partition(":")[0] in FAILURES:
            record.failed_at = record.at + self.site.reply_time
        self.records.attempts.append(record)
        return ObservedExecution(record)

    def choose_behaviour(self, name: str) -> str:
        """What an endpoint does with the command at hand."""
        self.behaviour = ""
        if name in self.episodes:
            self.behaviour = self.episodes[name]
        elif self.generator.random() < self.schedule.odd_replies:
            self.behaviour = self.generator.choice(ODD_REPLIES)
        return self.behaviour

    # Instances.

    async def start_instance(self, instance: int) -> None:
        """Start a process for an instance, and wait until it answers PING."""
        self.write_configuration(instance)
        self.on_news(instance, self.planes[instance].releases.state)  # the configuration tells it (PROTOCOL)
        number = sum(each.instance == instance for each in self.records.incarnations)
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
        task = asyncio.create_task(self.follow(incarnation, instance_process))
        self.watchers.add(task)
        task.add_done_callback(self.watchers.discard)
        with suppress(TimeoutError):
            async with asyncio.timeout(START_PATIENCE_S):
                while incarnation.ended_at is None and not await answers_ping(host, port):
                    await asyncio.sleep(0.02)
        if incarnation.ended_at is None:
            incarnation.ready_at = monotonic()
            target = self.targets[instance]
            target.incarnation = number
            target.accepts = incarnation.terminated_at is None
            assert target.back
            target.back.set()

    async def follow(self, incarnation: Incarnation, process: InstanceProcess) -> None:
        """Write down how a process ends."""
        status = await process.process.wait()
        incarnation.ended_at = monotonic()
        incarnation.status = status
        target = self.targets[incarnation.instance]
        if target.incarnation == incarnation.number:
            self.close_to_clients(incarnation.instance)

    def close_to_clients(self, instance: int) -> None:
        """Clients make no new connections to an instance."""
        target = self.targets[instance]
        target.accepts = False
        assert target.back
        target.back.clear()

    def newest(self, instance: int) -> Incarnation:
        """The newest incarnation of an instance."""
        return [each for each in self.records.incarnations if each.instance == instance][-1]

    def is_running(self, instance: int) -> bool:
        """It serves, and was neither told to end nor killed."""
        newest = self.newest(instance)
        return newest.ready_at is not None and newest.terminated_at is None and newest.ended_at is None

    def send_signal(self, instance: int, number: signal.Signals) -> None:
        """Send a signal to the newest process of an instance, and write down the two that end it."""
        incarnation = self.newest(instance)
        if incarnation.ended_at is not None:
            return
        if number is signal.SIGTERM and incarnation.terminated_at is None:
            incarnation.terminated_at = monotonic()
        if number is signal.SIGKILL:
            incarnation.killed_at = monotonic()
        with suppress(ProcessLookupError):
            self.processes[instance].process.send_signal(number)

    async def wait_until_masked(self, instance: int, number: int) -> None:
        """Wait until an instance's process of that number holds SIGHUP back.

        Before that no program can be there to hear it.
        """
        while self.newest(instance).number < number:
            await asyncio.sleep(0.005)
        newest = self.newest(instance)
        while newest.ended_at is None and newest.ready_at is None:
            process = self.processes.get(instance)
            if process and blocks_hangup(process.process.pid):
                return
            await asyncio.sleep(0.005)

    async def wait_until_ended(self, instance: int, seconds: float) -> bool:
        """Wait for the end of the newest process; False if it still runs after so long."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.processes[instance].process.wait()
                return True
        return False

    def usage(self) -> list[ProcessUsage]:
        """What the processes hold now."""
        found = []
        for instance, process in self.processes.items():
            with suppress(OSError):
                found.append(process_usage(instance, process.process.pid))
        return found

    async def stop(self) -> None:
        """End everything; processes that still run are killed."""
        for task in list(self.watchers):
            task.cancel()
        for process in self.processes.values():
            if process.process.returncode is None:
                with suppress(ProcessLookupError):
                    process.process.kill()
            process.may_read_log.set()
            await process.process.wait()
            await process.log_reader
        if self.relay:
            self.records.longest_datagram = self.relay.longest
            self.relay.close()
        for plane in self.planes:
            for service in (plane.discovery, plane.releases):
                if service.server:
                    service.server.close()
            for writer in list(plane.releases.streams):
                writer.transport.abort()
        await self.world.stop()
