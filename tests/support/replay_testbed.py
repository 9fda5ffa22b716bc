"""A fake instance that counts the commands it executes, and replays to it as separate processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path
from typing import Any

from gatebank.capture import writing
from gatebank.fakes.clients import random_request
from gatebank.fakes.wire import read_command
from gatebank.proxy.resp2 import codec as resp
from tests.support.capture_builder import START
from tests.support.socket_scenarios import ROOT, TIMEOUT_S

SERIAL = count(1)


class FakeInstance:
    """A fake instance that counts the commands it executes.

    Args:
        host: Address to listen on, at port 6379.
        actions: Reactions to the requests in order: "value", "busy", "reset", "hang" or "error". Further
            requests get "value".

    Attributes:
        run_counts: Number of executions by command and key. Each execution of a payment request is a payout.
        received_commands: Arguments of all received commands.
    """

    def __init__(self, host: str, *actions: str) -> None:
        self.host = host
        self.actions = list(actions)
        self.run_counts: Counter[tuple[bytes, bytes]] = Counter()
        self.received_commands: list[list[bytes]] = []
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> FakeInstance:
        self.server = await asyncio.start_server(self.serve, self.host, 6379)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.server
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                arguments = await read_command(reader)
                self.received_commands.append(arguments)
                action = self.actions.pop(0) if self.actions else "value"
                if action == "busy":
                    writer.write(b"-BUSY 50\r\n")
                    continue
                self.run_counts[arguments[0], arguments[1]] += 1
                if action == "reset":
                    writer.transport.abort()
                    return
                if action == "hang":
                    await reader.read()
                    return
                writer.write(b"$2\r\nok\r\n" if action == "value" else b"-ERR no\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def commands_run_twice(self) -> list[Any]:
        """Return the commands and keys that were executed more than once."""
        return [name for name, times in self.run_counts.items() if times > 1]


def capture_of_requests(
    server: str,
    *,
    every: float = 0.01,
    side: str = "customer",
    seed: int = 3,
    number: int = 12,
    start: int = START,
) -> bytes:
    """Return a capture with requests of all classes, each followed by a reply.

    With the same seed, captures of the client side and of the endpoint side contain the same requests; the
    deadlines at the endpoint side are 10 ms shorter.

    Args:
        server: Address and port of the server in the capture.
        every: Seconds between two requests.
        side: Side at which the capture was recorded, "customer" (client) or "node" (endpoint).
        seed: Seed of the requests.
        number: Number of requests.
        start: Time of the first request, Unix time in ns.
    """
    generator = random.Random(seed)
    at = start
    parts = [writing.section_block(), writing.interface_block("", 101)]
    host, _, port = server.rpartition(":")
    conversation = writing.Conversation((("10.9.9.9", 5000), (host, int(port))), (1, 2))
    parts += [writing.packet_block(0, at, packet) for packet in conversation.open()]
    for index in range(number):
        arguments = random_request(generator, ("read", "pay", "sign")[index % 3], timeout_ms=1500)
        arguments[1] = b"key-%d" % index
        if side == "node":
            arguments[3] = arguments[3].replace(b"d=1500", b"d=1490")
        reply = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n" if side == "node" else b"$2\r\nok\r\n"
        parts += [
            writing.packet_block(0, at, packet)
            for packet in conversation.send(0, resp.encode_command(arguments))
        ]
        parts += [writing.packet_block(0, at + 10**6, packet) for packet in conversation.send(1, reply)]
        at += int(every * 1e9)
    return b"".join(parts)


class ReplayTestbed:
    """A folder with a capture, an operators' file and a ledger; runs replays as separate processes.

    Attributes:
        path: Path of the folder.
        host: Address of the target instance.
        operators_text: Text of the operators' file that the next replay uses.
    """

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        number = next(SERIAL)
        self.host = f"127.{64 + os.getpid() % 150}.{os.getpid() // 150 % 250}.{200 + number % 50}"
        self.operators_text = f'target(address = "{self.host}:6379", rehearsal = True)\n'
        (self.path / "a.pcapng").write_bytes(capture_of_requests("10.1.1.1:6379"))

    async def run(
        self, *options: str, file: str = "a.pcapng", ledger: str = "ledger", kill_step: str = ""
    ) -> tuple[int, dict, str]:
        """Run a replay and return its exit status, its JSON report and its standard error.

        Args:
            options: Further options of the command line.
            file: Name of the capture file in the folder.
            ledger: Name of the ledger's folder; empty for a replay without ledger.
            kill_step: Step of ``killed_program`` at which the process is killed; empty for none.
        """
        (self.path / "orders.star").write_text(self.operators_text)
        program = ("-m", "tests.support.killed_program", kill_step) if kill_step else ("-m", "gatebank")
        command_line = [*program, "capture", "replay", str(self.path / file), "--json"]
        command_line += [] if "--inside" in options else ["--to", f"{self.host}:6379"]
        command_line += ["--orders", str(self.path / "orders.star")]
        command_line += ["--ledger", str(self.path / ledger)] if ledger else []
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command_line, *options, cwd=ROOT, stdout=pipe, stderr=pipe
        )
        out, err = await asyncio.wait_for(process.communicate(), 3 * TIMEOUT_S)
        return process.returncode, json.loads(out) if out else {}, err.decode()


@asynccontextmanager
async def replay_testbed(*actions: str) -> AsyncIterator[tuple[ReplayTestbed, FakeInstance]]:
    """Provide a testbed and its target instance; fails at the end if a command was executed twice."""
    testbed = ReplayTestbed()
    try:
        async with FakeInstance(testbed.host, *actions) as instance:
            yield testbed, instance
        assert not instance.commands_run_twice(), instance.commands_run_twice()
    finally:
        testbed.folder.cleanup()
