"""Plays sockets.scenarios: starts the program beside the example's toy nodes, discovery and desk.

Steps, in the notation of policy_scenarios':

    nodes NAME:BUILD ...           the nodes listed at the start; orders A.B=JSON changes the settings,
    limits NAME=JSON               and this the limits
    marshals N [OPTION ...]        start so many; `1> STEP` speaks to the second one
    next ACT ...                   what nodes do with the next commands, in turn (world.Node.carry_out)
    pace SECONDS                   an answer takes so long, where chance must not make it late
    sick NODE ...                  these fail from now on; desk ACT ... the same for votes
    call N WORKLOAD LEFT [BYTES]   customer N sends an invocation on its connection
    answer N WHAT                  and gets value, busy, err or end; leave N closes its connection
    ends N                         its connection ends within 1 s
    pour N COUNT                   so many of customer N's, whose large answers it does not take
    ask WORKLOAD LEFT WHAT         both, by a customer of its own; burst COUNT WORKLOAD WHAT
    raw "BYTES" "ANSWER"           a customer's bytes at once and byte by byte; the answer begins so
    bad "BYTES" "ANSWER" [COUNT]   the same so many times; the answer ends with the connection, within 3 s
    again N, crowd COUNT           customer N sends the last call's bytes too; so many connect and say nothing
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

ROOT = Path(__file__).parents[2]
PATIENCE = 15.0  # s for anything awaited; only a failing test takes so long
HOSTS = count(1)


class InstanceProcess:
    """One process of the program and what it logs."""

    def __init__(self, address: str, process: asyncio.subprocess.Process) -> None:
        self.address, self.process, self.lines = address, process, list[str]()
        self.more = asyncio.Condition()
        self.hears = asyncio.Event()
        self.hears.set()
        self.reader = asyncio.create_task(self.read())

    async def read(self) -> None:
        assert self.process.stderr
        while line := await self.process.stderr.readline():
            await self.hears.wait()
            async with self.more:
                self.lines.append(line.decode())
                self.more.notify_all()

    async def says(self, *words: str) -> None:
        async with self.more:
            wanted = lambda: any(set(words) <= set(line.split()) for line in self.lines)  # noqa: E731
            await asyncio.wait_for(self.more.wait_for(wanted), PATIENCE)


class Stand:
    """A toy world, marshals in it, and customers."""

    def __init__(self) -> None:
        # A loopback address of its own keeps its ports free of whatever else runs here.
        self.host = f"127.{64 + os.getpid() % 150}.{os.getpid() // 150 % 250}.{next(HOSTS) * 4}"
        self.world = World(self.host)
        self.settings = json.loads((ROOT / "examples/marshal.json").read_text())
        self.marshals: list[InstanceProcess] = []
        self.customers: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        self.serial, self.last = count(1), b""
        self.folder = tempfile.TemporaryDirectory()

    async def play(self, steps: str) -> None:
        await self.world.start()
        try:
            for line in steps.replace(";", "\n").splitlines():
                words, me = shlex.split(line, comments=True), 0
                if words and words[0].endswith(">"):
                    me, words = int(words[0][:-1]), words[1:]
                if words:
                    try:
                        await asyncio.wait_for(getattr(self, "do_" + words[0])(me, *words[1:]), PATIENCE)
                    except Exception as trouble:
                        logs = "".join(line for m in self.marshals for line in m.lines[-8:])
                        raise AssertionError(f"{line.strip()}: {trouble!r}\n{logs}") from trouble
            faults = [line for m in self.marshals for line in m.lines if "event=fault" in line]
            assert not faults, faults
        finally:
            for _, writer in self.customers.values():
                writer.close()
            for marshal in self.marshals:
                if marshal.process.returncode is None:
                    marshal.process.kill()
                marshal.hears.set()  # or the end of the process would wait for its pipe
                await marshal.process.wait()
                await marshal.reader
            await self.world.stop()
            self.folder.cleanup()

    def address(self, me: int) -> str:
        return self.host.rpartition(".")[0] + f".{int(self.host.rpartition('.')[2]) + 1 + me}"

    async def do_nodes(self, me: int, *nodes: str) -> None:
        for name, _, build in (each.partition(":") for each in nodes):
            await self.world.add(name, int(build))

    async def do_orders(self, me: int, *words: str) -> None:
        for path, _, value in (word.partition("=") for word in words):
            *way, last = path.split(".")
            place: dict[str, Any] = self.settings["settings"]
            for step in way:
                place = place[step]
            place[last] = json.loads(value)

    async def do_limits(self, me: int, *words: str) -> None:
        for name, _, value in (word.partition("=") for word in words):
            self.settings["limits"][name] = json.loads(value)

    async def do_deaf(self, me: int) -> None:
        """Take no more of its log: the pipe fills."""
        self.marshals[me].hears.clear()

    def configuration(self, mine: int, number: int) -> Path:
        world, address, path = self.world, self.address(mine), Path(self.folder.name) / f"{mine}.json"
        told = self.settings | {
            "name": f"marshal-{mine}",
            "listen": f"{address}:6379",
            "peer_listen": f"{address}:7946",
            "peers": [f"{self.address(each)}:7946" for each in range(number)],
            "discovery": f"{self.host}:{world.discovery.port}",
            "platform": {"address": f"{self.host}:{world.releases.port}", "news": world.releases.state},
            "known": world.discovery.listing(None),
            "settings": self.settings["settings"] | {"me": mine, "balancers": number},
        }
        path.write_text(json.dumps(told))
        return path

    async def do_marshals(self, me: int, number: str = "1", *options: str) -> None:
        for mine in range(int(number)):
            address, path = self.address(mine), self.configuration(mine, int(number))
            command = (sys.executable, "-m", "gatebank", "serve", str(path), *options)
            process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stderr=asyncio.subprocess.PIPE)
            self.marshals.append(InstanceProcess(address, process))
        for marshal in self.marshals:
            await marshal.says("event=ready")

    async def do_next(self, me: int, *actions: str) -> None:
        self.world.plan.extend(actions)

    async def do_desk(self, me: int, *actions: str) -> None:
        self.world.releases.vote_plan.extend(actions)

    async def do_pace(self, me: int, seconds: str) -> None:
        self.world.reply_time = float(seconds)

    async def do_sick(self, me: int, *names: str) -> None:
        self.world.failing = set(names)

    async def customer(self, me: int, name: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if name not in self.customers:
            self.customers[name] = await asyncio.open_connection(self.marshals[me].address, 6379)
        return self.customers[name]

    async def do_call(self, me: int, name: str, workload: str, left: str, size: str = "0") -> None:
        _, writer = await self.customer(me, name)
        serial = next(self.serial)
        names = f"c={workload},t=all,d={left},z=unknown" + ("" if workload == "read" else f",k={serial:016x}")
        words = [b"Q.ASK" if workload == "read" else b"Q.DO", b"key", b"%032x" % serial, names.encode()]
        self.last = encode_command(*words, *([b"b" * int(size)] if workload != "read" else []))
        writer.write(self.last)

    async def do_again(self, me: int, name: str) -> None:
        """What was sent last, by this customer too."""
        (await self.customer(me, name))[1].write(self.last)

    async def do_pour(self, me: int, name: str, number: str) -> None:
        """So many invocations with large answers, none of which is read."""
        self.world.plan.extend(["value:60000"] * int(number))
        reader, _ = await self.customer(me, name)
        reader._transport.pause_reading()
        for _ in range(int(number)):
            await self.do_call(me, name, "read", "1500")

    async def do_answer(self, me: int, name: str, *wanted: str) -> None:
        reader, _ = await self.customer(me, name)
        for each in wanted:
            line = await reader.readline()
            if line[:1] == b"$":
                await reader.readexactly(int(line[1:]) + 2)
            known = {b"$": "value", b"-B": "busy", b"-E": "err", b"+P": "pong", b"": "end"}
            found = known.get(line[:1] if line[:1] == b"$" else line[:2], line)
            assert found == each, (found, line)

    async def do_ends(self, me: int, name: str) -> None:
        reader, _ = await self.customer(me, name)
        async with asyncio.timeout(1.0):
            assert await reader.read(1) == b""

    async def do_leave(self, me: int, name: str) -> None:
        self.customers.pop(name)[1].close()

    async def do_ask(self, me: int, workload: str, left: str, wanted: str) -> None:
        name = f"own-{next(self.serial)}"
        await self.do_call(me, name, workload, left)
        await self.do_answer(me, name, wanted)
        await self.do_leave(me, name)

    async def do_burst(self, me: int, number: str, workload: str, wanted: str) -> None:
        for _ in range(int(number)):
            await self.do_call(me, f"burst-{me}", workload, "2000")
            await self.do_answer(me, f"burst-{me}", wanted)

    async def do_raw(self, me: int, data: str, wanted: str) -> None:
        sent, hoped = (each.encode().decode("unicode_escape").encode("latin-1") for each in (data, wanted))
        for pieces in ([sent], [sent[at : at + 1] for at in range(len(sent))]):
            reader, writer = await asyncio.open_connection(self.marshals[me].address, 6379)
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

    async def do_bad(self, me: int, data: str, wanted: str, times: str = "1") -> None:
        """So many times these bytes, and what is read until the connection ends, within the 3 s allowed."""
        sent, hoped = (each.encode().decode("unicode_escape").encode("latin-1") for each in (data, wanted))
        reader, writer = await asyncio.open_connection(self.marshals[me].address, 6379)
        with suppress(ConnectionError):
            async with asyncio.timeout(3.0):
                writer.writelines([sent] * int(times))
                assert (found := await reader.read(-1)) == hoped, found
        writer.close()

    async def do_crowd(self, me: int, number: str) -> None:
        """So many customers that only connect, all the time."""
        for _ in range(int(number)):
            name = f"mute-{next(self.serial)}"
            self.customers[name] = await asyncio.open_connection(self.marshals[me].address, 6379)

    async def do_datagram(self, me: int, data: str) -> None:
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.sendto(bytes.fromhex(data), (self.marshals[me].address, 7946))
        sender.close()

    do_add = do_nodes

    async def do_drain(self, me: int, name: str) -> None:
        self.world.set_lifecycle(name, "DRAINING")

    async def do_gone(self, me: int, name: str) -> None:
        self.world.set_lifecycle(name, "DELETED")

    async def do_kill(self, me: int, name: str) -> None:
        await self.world.endpoints[name].stop()

    async def do_listing(self, me: int, data: str) -> None:
        self.world.discovery.bad_listing = data.encode()
        self.world.notify()

    async def do_noise(self, me: int) -> None:
        """Behind each answer of discovery's from now on."""
        self.world.discovery.noise = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}\xff"

    async def do_told(self, me: int) -> None:
        discovery = self.world.discovery
        await self.world.wait_for(lambda: discovery.polls[discovery.generation] >= len(self.marshals))

    async def do_news(self, me: int, place: str, phase: str, cap: str) -> None:
        build, stage = map(int, place.split("/"))
        self.world.releases.publish(build, stage, phase, float(cap))
        for marshal in self.marshals:
            await marshal.says("event=stage", f"build={build}", f"stage={stage}", f"cap={float(cap):.4g}")

    async def do_event(self, me: int, text: str) -> None:
        self.world.releases.send_text(text.encode().decode("unicode_escape"))

    async def do_chunk(self, me: int, text: str) -> None:
        self.world.releases.send_text(text.encode().decode("unicode_escape"), as_chunk=False)

    async def do_vote(self, me: int, verdict: str, build: str) -> None:
        wanted = {"opinion": verdict, "image": build}.items()
        votes = self.world.releases.votes
        await self.world.wait_for(lambda: any(wanted <= vote.items() for vote in votes), PATIENCE)

    async def do_log(self, me: int, *words: str) -> None:
        await self.marshals[me].says(*words)

    async def do_shots(self, me: int, number: str) -> None:
        await self.world.wait_for(lambda: len(self.world.received) >= int(number), PATIENCE)
        assert len(self.world.received) == int(number), self.world.received

    async def do_only(self, me: int, names: str) -> None:
        found = Counter(name for name, _ in self.world.received)
        assert set(found) <= set(names.split(",")), found

    async def do_forget(self, me: int) -> None:
        self.world.received.clear()

    async def do_cut(self, me: int, name: str) -> None:
        """Wait until the node has no connection open."""
        await self.world.wait_for(lambda: not self.world.endpoints[name].connections, PATIENCE)

    async def do_move(self, me: int) -> None:
        await self.world.move()

    async def do_reload(self, me: int, size: str = "") -> None:
        """A new configuration, or only its first bytes, and SIGHUP."""
        path = self.configuration(me, len(self.marshals))
        path.write_bytes(path.read_bytes()[: int(size) if size else None])
        self.marshals[me].process.send_signal(signal.SIGHUP)

    async def do_term(self, me: int) -> None:
        self.marshals[me].process.send_signal(signal.SIGTERM)

    async def do_ended(self, me: int, status: str) -> None:
        found = await self.marshals[me].process.wait()
        assert found == int(status), found
