"""Plays sockets.scenarios: starts instances beside fake endpoints, discovery and release service.

Steps, in the notation of policy_scenarios':

    nodes NAME:BUILD ...           the nodes listed at the start; orders A.B=JSON changes the settings,
    limits NAME=JSON               and this the limits
    marshals N [OPTION ...]        start so many; `1> STEP` speaks to the second one
    next ACT ...                   what nodes do with the next commands, in turn (world.Node.carry_out)
    pace SECONDS                   an answer takes so long, where chance must not make it late
    sick NODE ...                  these fail from now on; desk ACT ... the same for votes
    call N WORKLOAD LEFT [BYTES]   client N sends a request on its connection
    answer N WHAT                  and gets value, busy, err or end; leave N closes its connection
    ends N                         its connection ends within 1 s
    pour N COUNT                   so many of client N's, whose large answers it does not take
    ask WORKLOAD LEFT WHAT         both, by a client of its own; burst COUNT WORKLOAD WHAT
    raw "BYTES" "ANSWER"           a client's bytes at once and byte by byte; the answer begins so
    bad "BYTES" "ANSWER" [COUNT]   the same so many times; the answer ends with the connection, within 3 s
    again N, crowd COUNT           client N sends the last call's bytes too; so many connect and say nothing
    datagram "BYTES"               to the marshal, from nobody it knows
    deaf                           nobody takes its log any more
    add NODE:BUILD, drain NODE, gone NODE, kill NODE, listing "BYTES", told (the marshal has read it)
    noise                          behind each listing from now on
    event "TEXT", chunk "TEXT"     on the desk's stream, as a chunk or in place of one
    news BUILD/STAGE PHASE CAP     vote VERDICT BUILD (it comes)       log WORDS (such a line comes)
    shots K, only NODE,...         how many commands came, all of them to these; forget those so far
    move, reload [BYTES]           discovery and desk go elsewhere; the configuration says so (or only its
                                   first bytes are there), and SIGHUP
    term, ended STATUS             SIGTERM; it ends so
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
from tests.support.instance_process import PATIENCE, ROOT, InstanceProcess

HOSTS = count(1)


class Stand:
    """Fakes, instances that talk to them, and clients, driven by the steps of a scenario."""

    def __init__(self) -> None:
        # A loopback address of its own keeps its ports free of whatever else runs here.
        self.host = f"127.{64 + os.getpid() % 150}.{os.getpid() // 150 % 250}.{next(HOSTS) * 4}"
        self.world = World(self.host)
        self.settings = json.loads((ROOT / "examples/marshal.json").read_text())
        self.marshals: list[InstanceProcess] = []
        self.clients: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        self.serial = count(1)
        self.last = b""  # what a client sent last
        self.folder = tempfile.TemporaryDirectory()

    async def play(self, steps: str) -> None:
        await self.world.start()
        try:
            for line in steps.replace(";", "\n").splitlines():
                await self.run_step(line)
            faults = [line for m in self.marshals for line in m.lines if "event=fault" in line]
            assert not faults, faults
        finally:
            for _, writer in self.clients.values():
                writer.close()
            for marshal in self.marshals:
                if marshal.process.returncode is None:
                    marshal.process.kill()
                marshal.hears.set()  # or the end of the process would wait for its pipe
                await marshal.process.wait()
                await marshal.reader
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
            await asyncio.wait_for(getattr(self, "do_" + words[0])(instance, *words[1:]), PATIENCE)
        except Exception as trouble:
            logs = "".join(line for each in self.marshals for line in each.lines[-8:])
            raise AssertionError(f"{line.strip()}: {trouble!r}\n{logs}") from trouble

    def address(self, instance: int) -> str:
        """The IP address of an instance."""
        network, _, last = self.host.rpartition(".")
        return f"{network}.{int(last) + 1 + instance}"

    async def do_nodes(self, instance: int, *nodes: str) -> None:
        for name, _, build in (each.partition(":") for each in nodes):
            await self.world.add(name, int(build))

    async def do_orders(self, instance: int, *words: str) -> None:
        for path, _, value in (word.partition("=") for word in words):
            *way, last = path.split(".")
            place: dict[str, Any] = self.settings["settings"]
            for step in way:
                place = place[step]
            place[last] = json.loads(value)

    async def do_limits(self, instance: int, *words: str) -> None:
        for name, _, value in (word.partition("=") for word in words):
            self.settings["limits"][name] = json.loads(value)

    async def do_deaf(self, instance: int) -> None:
        """Take no more of its log: the pipe fills."""
        self.marshals[instance].hears.clear()

    def configuration(self, instance: int, number: int) -> Path:
        """Write the configuration of one of ``number`` instances, as things stand, and return its path."""
        world = self.world
        address = self.address(instance)
        path = Path(self.folder.name) / f"{instance}.json"
        told = self.settings | {
            "name": f"marshal-{instance}",
            "listen": f"{address}:6379",
            "peer_listen": f"{address}:7946",
            "peers": [f"{self.address(each)}:7946" for each in range(number)],
            "discovery": f"{self.host}:{world.discovery.port}",
            "platform": {"address": f"{self.host}:{world.releases.port}", "news": world.releases.state},
            "known": world.discovery.listing(None),
            "settings": self.settings["settings"] | {"me": instance, "balancers": number},
        }
        path.write_text(json.dumps(told))
        return path

    async def do_marshals(self, instance: int, number: str = "1", *options: str) -> None:
        for started in range(int(number)):
            address = self.address(started)
            path = self.configuration(started, int(number))
            command = (sys.executable, "-m", "gatebank", "serve", str(path), *options)
            process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stderr=asyncio.subprocess.PIPE)
            self.marshals.append(InstanceProcess(address, process))
        for marshal in self.marshals:
            await marshal.says("event=ready")

    async def do_next(self, instance: int, *actions: str) -> None:
        self.world.plan.extend(actions)

    async def do_desk(self, instance: int, *actions: str) -> None:
        self.world.releases.vote_plan.extend(actions)

    async def do_pace(self, instance: int, seconds: str) -> None:
        self.world.reply_time = float(seconds)

    async def do_sick(self, instance: int, *names: str) -> None:
        self.world.failing = set(names)

    async def client(self, instance: int, name: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if name not in self.clients:
            self.clients[name] = await asyncio.open_connection(self.marshals[instance].address, 6379)
        return self.clients[name]

    async def do_call(self, instance: int, name: str, workload: str, left: str, size: str = "0") -> None:
        _, writer = await self.client(instance, name)
        serial = next(self.serial)
        names = f"c={workload},t=all,d={left},z=unknown" + ("" if workload == "read" else f",k={serial:016x}")
        words = [b"Q.ASK" if workload == "read" else b"Q.DO", b"key", b"%032x" % serial, names.encode()]
        self.last = encode_command(*words, *([b"b" * int(size)] if workload != "read" else []))
        writer.write(self.last)

    async def do_again(self, instance: int, name: str) -> None:
        """What was sent last, by this client too."""
        (await self.client(instance, name))[1].write(self.last)

    async def do_pour(self, instance: int, name: str, number: str) -> None:
        """So many invocations with large answers, none of which is read."""
        self.world.plan.extend(["value:60000"] * int(number))
        reader, _ = await self.client(instance, name)
        reader._transport.pause_reading()
        for _ in range(int(number)):
            await self.do_call(instance, name, "read", "1500")

    async def do_answer(self, instance: int, name: str, *wanted: str) -> None:
        reader, _ = await self.client(instance, name)
        for each in wanted:
            line = await reader.readline()
            if line[:1] == b"$":
                await reader.readexactly(int(line[1:]) + 2)
            known = {b"$": "value", b"-B": "busy", b"-E": "err", b"+P": "pong", b"": "end"}
            found = known.get(line[:1] if line[:1] == b"$" else line[:2], line)
            assert found == each, (found, line)

    async def do_ends(self, instance: int, name: str) -> None:
        reader, _ = await self.client(instance, name)
        async with asyncio.timeout(1.0):
            assert await reader.read(1) == b""

    async def do_leave(self, instance: int, name: str) -> None:
        self.clients.pop(name)[1].close()

    async def do_ask(self, instance: int, workload: str, left: str, wanted: str) -> None:
        name = f"own-{next(self.serial)}"
        await self.do_call(instance, name, workload, left)
        await self.do_answer(instance, name, wanted)
        await self.do_leave(instance, name)

    async def do_burst(self, instance: int, number: str, workload: str, wanted: str) -> None:
        for _ in range(int(number)):
            await self.do_call(instance, f"burst-{instance}", workload, "2000")
            await self.do_answer(instance, f"burst-{instance}", wanted)

    async def do_raw(self, instance: int, data: str, wanted: str) -> None:
        sent, hoped = (each.encode().decode("unicode_escape").encode("latin-1") for each in (data, wanted))
        for pieces in ([sent], [sent[at : at + 1] for at in range(len(sent))]):
            reader, writer = await asyncio.open_connection(self.marshals[instance].address, 6379)
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

    async def do_bad(self, instance: int, data: str, wanted: str, times: str = "1") -> None:
        """So many times these bytes, and what is read until the connection ends, within the 3 s allowed."""
        sent, hoped = (each.encode().decode("unicode_escape").encode("latin-1") for each in (data, wanted))
        reader, writer = await asyncio.open_connection(self.marshals[instance].address, 6379)
        with suppress(ConnectionError):
            async with asyncio.timeout(3.0):
                writer.writelines([sent] * int(times))
                assert (found := await reader.read(-1)) == hoped, found
        writer.close()

    async def do_crowd(self, instance: int, number: str) -> None:
        """So many clients that only connect, all the time."""
        for _ in range(int(number)):
            name = f"mute-{next(self.serial)}"
            self.clients[name] = await asyncio.open_connection(self.marshals[instance].address, 6379)

    async def do_datagram(self, instance: int, data: str) -> None:
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.sendto(bytes.fromhex(data), (self.marshals[instance].address, 7946))
        sender.close()

    do_add = do_nodes

    async def do_drain(self, instance: int, name: str) -> None:
        self.world.set_lifecycle(name, "DRAINING")

    async def do_gone(self, instance: int, name: str) -> None:
        self.world.set_lifecycle(name, "DELETED")

    async def do_kill(self, instance: int, name: str) -> None:
        await self.world.endpoints[name].stop()

    async def do_listing(self, instance: int, data: str) -> None:
        self.world.discovery.bad_listing = data.encode()
        self.world.notify()

    async def do_noise(self, instance: int) -> None:
        """Behind each answer of discovery's from now on."""
        self.world.discovery.noise = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}\xff"

    async def do_told(self, instance: int) -> None:
        discovery = self.world.discovery
        await self.world.wait_for(lambda: discovery.polls[discovery.generation] >= len(self.marshals))

    async def do_news(self, instance: int, place: str, phase: str, cap: str) -> None:
        build, stage = map(int, place.split("/"))
        self.world.releases.publish(build, stage, phase, float(cap))
        for marshal in self.marshals:
            await marshal.says("event=stage", f"build={build}", f"stage={stage}", f"cap={float(cap):.4g}")

    async def do_event(self, instance: int, text: str) -> None:
        self.world.releases.send_text(text.encode().decode("unicode_escape"))

    async def do_chunk(self, instance: int, text: str) -> None:
        self.world.releases.send_text(text.encode().decode("unicode_escape"), as_chunk=False)

    async def do_vote(self, instance: int, verdict: str, build: str) -> None:
        wanted = {"opinion": verdict, "image": build}.items()
        votes = self.world.releases.votes
        await self.world.wait_for(lambda: any(wanted <= vote.items() for vote in votes), PATIENCE)

    async def do_log(self, instance: int, *words: str) -> None:
        await self.marshals[instance].says(*words)

    async def do_shots(self, instance: int, number: str) -> None:
        await self.world.wait_for(lambda: len(self.world.received) >= int(number), PATIENCE)
        assert len(self.world.received) == int(number), self.world.received

    async def do_only(self, instance: int, names: str) -> None:
        found = Counter(name for name, _ in self.world.received)
        assert set(found) <= set(names.split(",")), found

    async def do_forget(self, instance: int) -> None:
        self.world.received.clear()

    async def do_cut(self, instance: int, name: str) -> None:
        """Wait until the node has no connection open."""
        await self.world.wait_for(lambda: not self.world.endpoints[name].connections, PATIENCE)

    async def do_move(self, instance: int) -> None:
        await self.world.move()

    async def do_reload(self, instance: int, size: str = "") -> None:
        """A new configuration, or only its first bytes, and SIGHUP."""
        path = self.configuration(instance, len(self.marshals))
        path.write_bytes(path.read_bytes()[: int(size) if size else None])
        self.marshals[instance].process.send_signal(signal.SIGHUP)

    async def do_term(self, instance: int) -> None:
        self.marshals[instance].process.send_signal(signal.SIGTERM)

    async def do_ended(self, instance: int, status: str) -> None:
        found = await self.marshals[instance].process.wait()
        assert found == int(status), found
