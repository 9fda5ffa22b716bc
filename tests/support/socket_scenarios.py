"""Player of sockets.scenarios: real instances with a fake fleet and fake clients on loopback.

A scenario consists of steps, which are separated by ``;`` or a line break. Lines that start with ``#`` are
comments, and must not contain ``;``. A step that starts with ``I>`` concerns instance I, others concern
instance 0.

    endpoints NAME:BUILD ...       start and list endpoints; before the instances start, the initial list
    settings A.B=JSON ...          change values of the settings, by their dotted paths
    limits NAME=JSON ...           change values of the configuration's limits
    instances N [OPTION ...]       start N instances with options of the command line and wait until they are
                                   ready
    next BEHAVIOUR ...             the behaviours of the endpoints for the next commands, in order (see
                                   gatebank/fakes/endpoint.py)
    reply_time SECONDS             the mean time that an endpoint takes to reply
    failing NAME ...               from now on exactly these endpoints reply with errors
    vote_responses RESPONSE ...    the release service's responses to the next votes, in order: count, entity
                                   or an error code
    send N CLASS TIMEOUT_MS [SIZE] client N sends a request, with a body of SIZE bytes, on its connection
    send_unread N COUNT            client N sends COUNT requests with large values and reads no reply
    expect N RESULT ...            client N receives these replies in order: value, busy, err, pong or end
    disconnect N                   client N closes its connection
    closed N                       the connection of client N ends within 1 s, without another byte
    request CLASS TIMEOUT_MS RESULT
                                   a new client sends a request and receives this reply
    burst COUNT CLASS RESULT       one client sends requests one after another and receives these replies
    raw "BYTES" "REPLY"            a new client sends the bytes at once, and another one byte by byte; the
                                   reply to both starts with REPLY
    malformed "BYTES" "REPLY" [COUNT]
                                   a new client sends the bytes COUNT times; the connection ends within 3 s,
                                   and all that the client receives is REPLY
    resend N                       client N sends the bytes that a client sent last
    idle_clients COUNT             open COUNT connections that send nothing
    datagram "HEX"                 send a datagram to the instance's port for peer messages from an unknown
                                   address
    stop_reading_log               stop reading the instance's log, so that its pipe fills
    add NAME:BUILD ..., drain NAME, remove NAME, kill NAME
                                   start and list endpoints, list an endpoint as draining or as deleted, or
                                   stop it without a change of the list
    endpoint_list "BYTES"          these bytes replace the body of discovery's next response
    list_delivered                 wait until every instance has received the current endpoint list
    trailing_bytes                 from now on extra bytes follow each response of discovery
    event "TEXT", unframed "TEXT"  send a text on the release service's stream, as an HTTP chunk or without
                                   chunk framing
    release BUILD/STAGE PHASE CAP  publish a release status and wait until every instance has logged it
    vote VERDICT BUILD             wait until the release service has received such a vote
    log WORD ...                   wait until the instance has logged a line with all of these words
    attempts COUNT                 exactly COUNT commands have reached the endpoints since clear_received
    only NAME,...                  these commands reached no endpoints but these
    clear_received                 forget the commands that have reached the endpoints
    no_connections NAME            wait until no connection to the endpoint is open
    move_control_plane             discovery and the release service listen at other ports
    reload [SIZE]                  write the configuration with the present addresses, or only its first SIZE
                                   bytes, and send SIGHUP
    sigterm, exit_status STATUS    send SIGTERM; wait for the end of the process and check its exit status
"""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
from collections import Counter
from contextlib import suppress
from itertools import count
from pathlib import Path
from typing import Any

from gatebank.fakes.wire import encode_command
from gatebank.fakes.world import World
from tests.support.instance_process import ROOT, TIMEOUT_S, InstanceProcess

# Numbers of the scenarios of this process; each has loopback addresses of its own.
HOST_NUMBERS = count(1)


class SocketScenario:
    """Fakes, instances that use them, and clients, driven by the steps of a scenario.

    Attributes:
        host: The IP address of the fakes; the instances have the addresses after it.
        world: The fake endpoints, discovery and release service.
        base_configuration: The configuration of all instances, without addresses and endpoint list.
        instances: The started instances.
        clients: The open connections of clients, by the client's name.
        request_numbers: Source of the numbers that request ids and names of clients are made of.
        last_command: The bytes of the command that a client sent last.
        folder: The folder of the configuration files.
    """

    def __init__(self) -> None:
        # A separate loopback address avoids port conflicts with other processes on this machine.
        self.host = f"127.{64 + os.getpid() % 150}.{os.getpid() // 150 % 250}.{next(HOST_NUMBERS) * 4}"
        self.world = World(self.host)
        self.base_configuration = json.loads((ROOT / "examples/marshal.json").read_text())
        self.instances: list[InstanceProcess] = []
        self.clients: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        self.request_numbers = count(1)
        self.last_command = b""
        self.folder = tempfile.TemporaryDirectory()

    async def play(self, steps: str) -> None:
        """Run all steps, check that no instance logged an internal fault, and stop all processes."""
        await self.world.start()
        try:
            for line in steps.replace(";", "\n").splitlines():
                await self.run_step(line)
            faults = [line for instance in self.instances for line in instance.lines if "event=fault" in line]
            assert not faults, faults
        finally:
            for _, writer in self.clients.values():
                writer.close()
            for instance in self.instances:
                await instance.stop()
            await self.world.stop()
            self.folder.cleanup()

    async def run_step(self, line: str) -> None:
        """Run one step of a scenario.

        Raises:
            AssertionError: The step failed. The message has the step and the newest log lines.
        """
        words = shlex.split(line, comments=True)
        instance = 0
        if words and words[0].endswith(">"):
            instance = int(words[0][:-1])
            words = words[1:]
        if not words:
            return
        try:
            await asyncio.wait_for(getattr(self, "do_" + words[0])(instance, *words[1:]), TIMEOUT_S)
        except Exception as error:
            logs = "".join(log_line for process in self.instances for log_line in process.lines[-8:])
            raise AssertionError(f"{line.strip()}: {error!r}\n{logs}") from error

    def address(self, instance: int) -> str:
        """Return the IP address of an instance."""
        network, _, last = self.host.rpartition(".")
        return f"{network}.{int(last) + 1 + instance}"

    async def do_endpoints(self, instance: int, *endpoints: str) -> None:
        """Start endpoints, each of which is given as ``NAME:BUILD``."""
        for name, _, build in (endpoint.partition(":") for endpoint in endpoints):
            await self.world.add_endpoint(name, int(build))

    async def do_settings(self, instance: int, *assignments: str) -> None:
        """Change settings; an assignment is a dotted path, ``=`` and a JSON value."""
        for path, _, value in (assignment.partition("=") for assignment in assignments):
            *parents, last = path.split(".")
            section: dict[str, Any] = self.base_configuration["settings"]
            for parent in parents:
                section = section[parent]
            section[last] = json.loads(value)

    async def do_limits(self, instance: int, *assignments: str) -> None:
        """Change limits; an assignment is a name, ``=`` and a JSON value."""
        for name, _, value in (assignment.partition("=") for assignment in assignments):
            self.base_configuration["limits"][name] = json.loads(value)

    async def do_stop_reading_log(self, instance: int) -> None:
        """Stop reading the log of an instance, so that its pipe fills."""
        self.instances[instance].may_read_log.clear()

    def write_configuration(self, instance: int, instance_count: int) -> Path:
        """Write the configuration of an instance with the present addresses and state of the fakes.

        Args:
            instance: The number of the instance.
            instance_count: The number of instances in the configuration.

        Returns:
            The path of the written file.
        """
        world = self.world
        address = self.address(instance)
        path = Path(self.folder.name) / f"{instance}.json"
        configuration = self.base_configuration | {
            "name": f"marshal-{instance}",
            "listen": f"{address}:6379",
            "peer_listen": f"{address}:7946",
            "peers": [f"{self.address(peer)}:7946" for peer in range(instance_count)],
            "discovery": f"{self.host}:{world.discovery.port}",
            "platform": {"address": f"{self.host}:{world.releases.port}", "news": world.releases.state},
            "known": world.discovery.endpoint_list(None),
            "settings": self.base_configuration["settings"] | {"me": instance, "balancers": instance_count},
        }
        path.write_text(json.dumps(configuration))
        return path

    async def do_instances(self, instance: int, instance_count: str = "1", *options: str) -> None:
        """Start instances with the given command-line options and wait until they are ready."""
        for started in range(int(instance_count)):
            address = self.address(started)
            path = self.write_configuration(started, int(instance_count))
            command = (sys.executable, "-m", "gatebank", "serve", str(path), *options)
            process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stderr=asyncio.subprocess.PIPE)
            self.instances.append(InstanceProcess(address, process))
        for instance_process in self.instances:
            await instance_process.wait_for_log("event=ready")

    async def do_next(self, instance: int, *behaviours: str) -> None:
        """Plan the behaviours of the endpoints for the next commands."""
        self.world.planned_behaviours.extend(behaviours)

    async def do_vote_responses(self, instance: int, *responses: str) -> None:
        """Plan the release service's responses to the next votes."""
        self.world.releases.planned_vote_responses.extend(responses)

    async def do_reply_time(self, instance: int, seconds: str) -> None:
        """Set the mean reply time of the endpoints."""
        self.world.mean_reply_time = float(seconds)

    async def do_failing(self, instance: int, *names: str) -> None:
        """Set which endpoints reply to every command with an error."""
        self.world.failing_endpoints = set(names)

    async def client_connection(
        self, instance: int, name: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the connection of a client, which is opened if there is none."""
        if name not in self.clients:
            self.clients[name] = await asyncio.open_connection(self.instances[instance].address, 6379)
        return self.clients[name]

    async def do_send(
        self, instance: int, name: str, request_class: str, timeout_ms: str, size: str = "0"
    ) -> None:
        """Send a request of a client, with a body of ``size`` bytes unless its class is read."""
        _, writer = await self.client_connection(instance, name)
        number = next(self.request_numbers)
        fields = f"c={request_class},t=all,d={timeout_ms},z=unknown" + (
            "" if request_class == "read" else f",k={number:016x}"
        )
        arguments = [
            b"Q.ASK" if request_class == "read" else b"Q.DO",
            b"key",
            b"%032x" % number,
            fields.encode(),
        ]
        self.last_command = encode_command(
            *arguments, *([b"b" * int(size)] if request_class != "read" else [])
        )
        writer.write(self.last_command)

    async def do_resend(self, instance: int, name: str) -> None:
        """Send the last command again over the connection of this client."""
        (await self.client_connection(instance, name))[1].write(self.last_command)

    async def do_send_unread(self, instance: int, name: str, request_count: str) -> None:
        """Send requests with large values and read none of the replies."""
        self.world.planned_behaviours.extend(["value:60000"] * int(request_count))
        reader, _ = await self.client_connection(instance, name)
        reader._transport.pause_reading()
        for _ in range(int(request_count)):
            await self.do_send(instance, name, "read", "1500")

    async def do_expect(self, instance: int, name: str, *expected: str) -> None:
        """Read replies of a client and check the result of each."""
        reader, _ = await self.client_connection(instance, name)
        for expected_result in expected:
            line = await reader.readline()
            if line[:1] == b"$":
                await reader.readexactly(int(line[1:]) + 2)
            results = {b"$": "value", b"-B": "busy", b"-E": "err", b"+P": "pong", b"": "end"}
            found = results.get(line[:1] if line[:1] == b"$" else line[:2], line)
            assert found == expected_result, (found, line)

    async def do_closed(self, instance: int, name: str) -> None:
        """Check that the connection of a client ends within 1 s, without another byte."""
        reader, _ = await self.client_connection(instance, name)
        async with asyncio.timeout(1.0):
            assert await reader.read(1) == b""

    async def do_disconnect(self, instance: int, name: str) -> None:
        """Close the connection of a client."""
        self.clients.pop(name)[1].close()

    async def do_request(self, instance: int, request_class: str, timeout_ms: str, expected: str) -> None:
        """Send a request over a new connection, check the reply's result and close the connection."""
        name = f"single-{next(self.request_numbers)}"
        await self.do_send(instance, name, request_class, timeout_ms)
        await self.do_expect(instance, name, expected)
        await self.do_disconnect(instance, name)

    async def do_burst(self, instance: int, request_count: str, request_class: str, expected: str) -> None:
        """Send requests one after another over one connection and check the result of each reply."""
        for _ in range(int(request_count)):
            await self.do_send(instance, f"burst-{instance}", request_class, "2000")
            await self.do_expect(instance, f"burst-{instance}", expected)

    async def do_raw(self, instance: int, data: str, expected_text: str) -> None:
        """Send bytes at once, then byte by byte over another connection; check the start of both replies."""
        sent, expected = (
            text.encode().decode("unicode_escape").encode("latin-1") for text in (data, expected_text)
        )
        for pieces in ([sent], [sent[at : at + 1] for at in range(len(sent))]):
            reader, writer = await asyncio.open_connection(self.instances[instance].address, 6379)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            reply = b""
            while expected.startswith(reply) and reply != expected:
                more = await reader.read(len(expected) - len(reply))
                assert more, (reply, "then the connection ended")
                reply += more
            assert reply == expected, reply
            writer.close()

    async def do_malformed(self, instance: int, data: str, expected_text: str, times: str = "1") -> None:
        """Send bytes repeatedly and check all bytes received until the connection ends, within 3 s.

        If the instance resets the connection, the received bytes are not checked.
        """
        sent, expected = (
            text.encode().decode("unicode_escape").encode("latin-1") for text in (data, expected_text)
        )
        reader, writer = await asyncio.open_connection(self.instances[instance].address, 6379)
        with suppress(ConnectionError):
            async with asyncio.timeout(3.0):
                writer.writelines([sent] * int(times))
                assert (found := await reader.read(-1)) == expected, found
        writer.close()

    async def do_idle_clients(self, instance: int, client_count: str) -> None:
        """Open connections that send nothing and stay open."""
        for _ in range(int(client_count)):
            name = f"idle-{next(self.request_numbers)}"
            self.clients[name] = await asyncio.open_connection(self.instances[instance].address, 6379)

    async def do_datagram(self, instance: int, data: str) -> None:
        """Send a datagram, in hexadecimal digits, to the port for peer messages."""
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.sendto(bytes.fromhex(data), (self.instances[instance].address, 7946))
        sender.close()

    do_add = do_endpoints

    async def do_drain(self, instance: int, name: str) -> None:
        """List an endpoint as draining."""
        self.world.set_lifecycle(name, "DRAINING")

    async def do_remove(self, instance: int, name: str) -> None:
        """Remove an endpoint from the endpoint list."""
        self.world.set_lifecycle(name, "DELETED")

    async def do_kill(self, instance: int, name: str) -> None:
        """Stop an endpoint without a change of the endpoint list."""
        await self.world.endpoints[name].stop()

    async def do_endpoint_list(self, instance: int, data: str) -> None:
        """Replace the body of discovery's next response."""
        self.world.discovery.malformed_list = data.encode()
        self.world.notify()

    async def do_trailing_bytes(self, instance: int) -> None:
        """Have bytes of another, malformed response follow each response of discovery."""
        self.world.discovery.trailing_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}\xff"

    async def do_list_delivered(self, instance: int) -> None:
        """Wait until every instance polls for changes after the current endpoint list."""
        discovery = self.world.discovery
        await self.world.wait_for(lambda: discovery.polls[discovery.generation] >= len(self.instances))

    async def do_release(self, instance: int, build_and_stage: str, phase: str, cap: str) -> None:
        """Publish a release status and wait until every instance has logged it."""
        build, stage = map(int, build_and_stage.split("/"))
        self.world.releases.publish(build, stage, phase, float(cap))
        for instance_process in self.instances:
            await instance_process.wait_for_log(
                "event=stage", f"build={build}", f"stage={stage}", f"cap={float(cap):.4g}"
            )

    async def do_event(self, instance: int, text: str) -> None:
        """Send a text on the release service's stream, as a chunk."""
        self.world.releases.send_text(text.encode().decode("unicode_escape"))

    async def do_unframed(self, instance: int, text: str) -> None:
        """Send a text on the release service's stream without chunk framing."""
        self.world.releases.send_text(text.encode().decode("unicode_escape"), as_chunk=False)

    async def do_vote(self, instance: int, verdict: str, build: str) -> None:
        """Wait until the release service has received a vote with this verdict."""
        expected = {"opinion": verdict, "image": build}.items()
        votes = self.world.releases.votes
        await self.world.wait_for(lambda: any(expected <= vote.items() for vote in votes), TIMEOUT_S)

    async def do_log(self, instance: int, *words: str) -> None:
        """Wait until an instance has logged a line with all of these words."""
        await self.instances[instance].wait_for_log(*words)

    async def do_attempts(self, instance: int, attempt_count: str) -> None:
        """Wait for this number of commands at the endpoints, and check that there are no more."""
        await self.world.wait_for(lambda: len(self.world.received) >= int(attempt_count), TIMEOUT_S)
        assert len(self.world.received) == int(attempt_count), self.world.received

    async def do_only(self, instance: int, names: str) -> None:
        """Check that the commands reached no endpoints but these."""
        found = Counter(name for name, _ in self.world.received)
        assert set(found) <= set(names.split(",")), found

    async def do_clear_received(self, instance: int) -> None:
        """Forget the commands that have reached the endpoints."""
        self.world.received.clear()

    async def do_no_connections(self, instance: int, name: str) -> None:
        """Wait until an endpoint has no open connection."""
        await self.world.wait_for(lambda: not self.world.endpoints[name].connections, TIMEOUT_S)

    async def do_move_control_plane(self, instance: int) -> None:
        """Move discovery and the release service to other ports."""
        await self.world.move_control_plane()

    async def do_reload(self, instance: int, size: str = "") -> None:
        """Write a new configuration, or only its first ``size`` bytes, and send SIGHUP."""
        path = self.write_configuration(instance, len(self.instances))
        path.write_bytes(path.read_bytes()[: int(size) if size else None])
        self.instances[instance].process.send_signal(signal.SIGHUP)

    async def do_sigterm(self, instance: int) -> None:
        """Send SIGTERM to an instance."""
        self.instances[instance].process.send_signal(signal.SIGTERM)

    async def do_exit_status(self, instance: int, status: str) -> None:
        """Wait for the end of an instance's process and check its exit status."""
        found = await self.instances[instance].process.wait()
        assert found == int(status), found
