"""Player of sockets.scenarios: real instances with a fake fleet and fake clients on loopback.

A scenario consists of steps, which are separated by ``;`` or a line break. Lines that start with ``#`` are
comments. A step that starts with ``I>`` concerns instance I, others concern instance 0.

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

HOSTS = count(1)


class SocketScenario:
    """Fakes, instances that talk to them, and clients, driven by the steps of a scenario."""

    def __init__(self) -> None:
        # A loopback address of its own keeps its ports free of whatever else runs here.
        self.host = f"127.{64 + os.getpid() % 150}.{os.getpid() // 150 % 250}.{next(HOSTS) * 4}"
        self.world = World(self.host)
        self.base_configuration = json.loads((ROOT / "examples/marshal.json").read_text())
        self.instances: list[InstanceProcess] = []
        self.clients: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        self.serial = count(1)
        self.last_command = b""  # what a client sent last
        self.folder = tempfile.TemporaryDirectory()

    async def play(self, steps: str) -> None:
        await self.world.start()
        try:
            for line in steps.replace(";", "\n").splitlines():
                await self.run_step(line)
            faults = [line for m in self.instances for line in m.lines if "event=fault" in line]
            assert not faults, faults
        finally:
            for _, writer in self.clients.values():
                writer.close()
            for marshal in self.instances:
                if marshal.process.returncode is None:
                    marshal.process.kill()
                marshal.may_read_log.set()  # or the end of the process would wait for its pipe
                await marshal.process.wait()
                await marshal.log_reader
            await self.world.stop()
            self.folder.cleanup()

    async def run_step(self, line: str) -> None:
        """Run one step of a scenario.

        Raises:
            AssertionError: It failed; the text has the step and the newest log lines.
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
        except Exception as trouble:
            logs = "".join(line for each in self.instances for line in each.lines[-8:])
            raise AssertionError(f"{line.strip()}: {trouble!r}\n{logs}") from trouble

    def address(self, instance: int) -> str:
        """The IP address of an instance."""
        network, _, last = self.host.rpartition(".")
        return f"{network}.{int(last) + 1 + instance}"

    async def do_endpoints(self, instance: int, *nodes: str) -> None:
        for name, _, build in (each.partition(":") for each in nodes):
            await self.world.add_endpoint(name, int(build))

    async def do_settings(self, instance: int, *words: str) -> None:
        for path, _, value in (word.partition("=") for word in words):
            *way, last = path.split(".")
            place: dict[str, Any] = self.base_configuration["settings"]
            for step in way:
                place = place[step]
            place[last] = json.loads(value)

    async def do_limits(self, instance: int, *words: str) -> None:
        for name, _, value in (word.partition("=") for word in words):
            self.base_configuration["limits"][name] = json.loads(value)

    async def do_stop_reading_log(self, instance: int) -> None:
        """Take no more of its log: the pipe fills."""
        self.instances[instance].may_read_log.clear()

    def write_configuration(self, instance: int, number: int) -> Path:
        """Write the configuration of one of ``number`` instances, as things stand, and return its path."""
        world = self.world
        address = self.address(instance)
        path = Path(self.folder.name) / f"{instance}.json"
        told = self.base_configuration | {
            "name": f"marshal-{instance}",
            "listen": f"{address}:6379",
            "peer_listen": f"{address}:7946",
            "peers": [f"{self.address(each)}:7946" for each in range(number)],
            "discovery": f"{self.host}:{world.discovery.port}",
            "platform": {"address": f"{self.host}:{world.releases.port}", "news": world.releases.state},
            "known": world.discovery.endpoint_list(None),
            "settings": self.base_configuration["settings"] | {"me": instance, "balancers": number},
        }
        path.write_text(json.dumps(told))
        return path

    async def do_instances(self, instance: int, number: str = "1", *options: str) -> None:
        for started in range(int(number)):
            address = self.address(started)
            path = self.write_configuration(started, int(number))
            command = (sys.executable, "-m", "gatebank", "serve", str(path), *options)
            process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stderr=asyncio.subprocess.PIPE)
            self.instances.append(InstanceProcess(address, process))
        for marshal in self.instances:
            await marshal.wait_for_log("event=ready")

    async def do_next(self, instance: int, *actions: str) -> None:
        self.world.planned_behaviours.extend(actions)

    async def do_vote_responses(self, instance: int, *actions: str) -> None:
        self.world.releases.planned_vote_responses.extend(actions)

    async def do_reply_time(self, instance: int, seconds: str) -> None:
        self.world.mean_reply_time = float(seconds)

    async def do_failing(self, instance: int, *names: str) -> None:
        self.world.failing_endpoints = set(names)

    async def client_connection(
        self, instance: int, name: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if name not in self.clients:
            self.clients[name] = await asyncio.open_connection(self.instances[instance].address, 6379)
        return self.clients[name]

    async def do_send(self, instance: int, name: str, workload: str, left: str, size: str = "0") -> None:
        _, writer = await self.client_connection(instance, name)
        request_numbers = next(self.serial)
        names = f"c={workload},t=all,d={left},z=unknown" + (
            "" if workload == "read" else f",k={request_numbers:016x}"
        )
        words = [
            b"Q.ASK" if workload == "read" else b"Q.DO",
            b"key",
            b"%032x" % request_numbers,
            names.encode(),
        ]
        self.last_command = encode_command(*words, *([b"b" * int(size)] if workload != "read" else []))
        writer.write(self.last_command)

    async def do_resend(self, instance: int, name: str) -> None:
        """What was sent last, by this client too."""
        (await self.client_connection(instance, name))[1].write(self.last_command)

    async def do_send_unread(self, instance: int, name: str, number: str) -> None:
        """So many invocations with large answers, none of which is read."""
        self.world.planned_behaviours.extend(["value:60000"] * int(number))
        reader, _ = await self.client_connection(instance, name)
        reader._transport.pause_reading()
        for _ in range(int(number)):
            await self.do_send(instance, name, "read", "1500")

    async def do_expect(self, instance: int, name: str, *wanted: str) -> None:
        reader, _ = await self.client_connection(instance, name)
        for each in wanted:
            line = await reader.readline()
            if line[:1] == b"$":
                await reader.readexactly(int(line[1:]) + 2)
            known = {b"$": "value", b"-B": "busy", b"-E": "err", b"+P": "pong", b"": "end"}
            found = known.get(line[:1] if line[:1] == b"$" else line[:2], line)
            assert found == each, (found, line)

    async def do_closed(self, instance: int, name: str) -> None:
        reader, _ = await self.client_connection(instance, name)
        async with asyncio.timeout(1.0):
            assert await reader.read(1) == b""

    async def do_disconnect(self, instance: int, name: str) -> None:
        self.clients.pop(name)[1].close()

    async def do_request(self, instance: int, workload: str, left: str, wanted: str) -> None:
        name = f"own-{next(self.serial)}"
        await self.do_send(instance, name, workload, left)
        await self.do_expect(instance, name, wanted)
        await self.do_disconnect(instance, name)

    async def do_burst(self, instance: int, number: str, workload: str, wanted: str) -> None:
        for _ in range(int(number)):
            await self.do_send(instance, f"burst-{instance}", workload, "2000")
            await self.do_expect(instance, f"burst-{instance}", wanted)

    async def do_raw(self, instance: int, data: str, wanted: str) -> None:
        sent, hoped = (each.encode().decode("unicode_escape").encode("latin-1") for each in (data, wanted))
        for pieces in ([sent], [sent[at : at + 1] for at in range(len(sent))]):
            reader, writer = await asyncio.open_connection(self.instances[instance].address, 6379)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            answer = b""
            while hoped.startswith(answer) and answer != hoped:
                more = await reader.read(len(hoped) - len(answer))
                assert more, (answer, "and then the end")
                answer += more
            assert answer == hoped, answer
            writer.close()

    async def do_malformed(self, instance: int, data: str, wanted: str, times: str = "1") -> None:
        """So many times these bytes, and what is read until the connection ends, within the 3 s allowed."""
        sent, hoped = (each.encode().decode("unicode_escape").encode("latin-1") for each in (data, wanted))
        reader, writer = await asyncio.open_connection(self.instances[instance].address, 6379)
        with suppress(ConnectionError):
            async with asyncio.timeout(3.0):
                writer.writelines([sent] * int(times))
                assert (found := await reader.read(-1)) == hoped, found
        writer.close()

    async def do_idle_clients(self, instance: int, number: str) -> None:
        """So many clients that only connect, all the time."""
        for _ in range(int(number)):
            name = f"mute-{next(self.serial)}"
            self.clients[name] = await asyncio.open_connection(self.instances[instance].address, 6379)

    async def do_datagram(self, instance: int, data: str) -> None:
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.sendto(bytes.fromhex(data), (self.instances[instance].address, 7946))
        sender.close()

    do_add = do_endpoints

    async def do_drain(self, instance: int, name: str) -> None:
        self.world.set_lifecycle(name, "DRAINING")

    async def do_remove(self, instance: int, name: str) -> None:
        self.world.set_lifecycle(name, "DELETED")

    async def do_kill(self, instance: int, name: str) -> None:
        await self.world.endpoints[name].stop()

    async def do_endpoint_list(self, instance: int, data: str) -> None:
        self.world.discovery.malformed_list = data.encode()
        self.world.notify()

    async def do_trailing_bytes(self, instance: int) -> None:
        """Behind each answer of discovery's from now on."""
        self.world.discovery.trailing_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}\xff"

    async def do_list_delivered(self, instance: int) -> None:
        discovery = self.world.discovery
        await self.world.wait_for(lambda: discovery.polls[discovery.generation] >= len(self.instances))

    async def do_release(self, instance: int, place: str, phase: str, cap: str) -> None:
        build, stage = map(int, place.split("/"))
        self.world.releases.publish(build, stage, phase, float(cap))
        for marshal in self.instances:
            await marshal.wait_for_log(
                "event=stage", f"build={build}", f"stage={stage}", f"cap={float(cap):.4g}"
            )

    async def do_event(self, instance: int, text: str) -> None:
        self.world.releases.send_text(text.encode().decode("unicode_escape"))

    async def do_unframed(self, instance: int, text: str) -> None:
        self.world.releases.send_text(text.encode().decode("unicode_escape"), as_chunk=False)

    async def do_vote(self, instance: int, verdict: str, build: str) -> None:
        wanted = {"opinion": verdict, "image": build}.items()
        votes = self.world.releases.votes
        await self.world.wait_for(lambda: any(wanted <= vote.items() for vote in votes), TIMEOUT_S)

    async def do_log(self, instance: int, *words: str) -> None:
        await self.instances[instance].wait_for_log(*words)

    async def do_attempts(self, instance: int, number: str) -> None:
        await self.world.wait_for(lambda: len(self.world.received) >= int(number), TIMEOUT_S)
        assert len(self.world.received) == int(number), self.world.received

    async def do_only(self, instance: int, names: str) -> None:
        found = Counter(name for name, _ in self.world.received)
        assert set(found) <= set(names.split(",")), found

    async def do_clear_received(self, instance: int) -> None:
        self.world.received.clear()

    async def do_no_connections(self, instance: int, name: str) -> None:
        """Wait until the node has no connection open."""
        await self.world.wait_for(lambda: not self.world.endpoints[name].connections, TIMEOUT_S)

    async def do_move_control_plane(self, instance: int) -> None:
        await self.world.move_control_plane()

    async def do_reload(self, instance: int, size: str = "") -> None:
        """A new configuration, or only its first bytes, and SIGHUP."""
        path = self.write_configuration(instance, len(self.instances))
        path.write_bytes(path.read_bytes()[: int(size) if size else None])
        self.instances[instance].process.send_signal(signal.SIGHUP)

    async def do_sigterm(self, instance: int) -> None:
        self.instances[instance].process.send_signal(signal.SIGTERM)

    async def do_exit_status(self, instance: int, status: str) -> None:
        found = await self.instances[instance].process.wait()
        assert found == int(status), found
