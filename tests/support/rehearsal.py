"""A fake instance that counts what runs, and replays against it as users run them."""

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
    """A fake instance that counts what runs.

    Args:
        host: The address that it listens on, at port 6379.
        actions: What it does with each request in turn: "value", "busy", "reset", "hang" or "error"; behind
            them "value".

    Attributes:
        ran: How often each command and key ran: one is one payout.
        commands: All commands that came, as their arguments.
    """

    def __init__(self, host: str, *actions: str) -> None:
        self.host = host
        self.actions = list(actions)
        self.ran: Counter[tuple[bytes, bytes]] = Counter()
        self.commands: list[list[bytes]] = []
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> FakeInstance:
        self.server = await asyncio.start_server(self.serve, self.host, 6379)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.server
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers one connection."""
        try:
            while True:
                arguments = await read_command(reader)
                self.commands.append(arguments)
                action = self.actions.pop(0) if self.actions else "value"
                if action == "busy":
                    writer.write(b"-BUSY 50\r\n")
                    continue
                self.ran[arguments[0], arguments[1]] += 1
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

    def twice(self) -> list[Any]:
        """What ran more than once."""
        return [name for name, times in self.ran.items() if times > 1]


def captured(
    server: str,
    *,
    every: float = 0.01,
    side: str = "customer",
    seed: int = 3,
    number: int = 12,
    start: int = START,
) -> bytes:
    """A capture of requests of all classes; the same ones at the clients' side and at the endpoints'."""
    chance = random.Random(seed)
    at = start
    parts = [writing.section_block(), writing.interface_block("", 101)]
    host, _, port = server.rpartition(":")
    conversation = writing.Conversation((("10.9.9.9", 5000), (host, int(port))), (1, 2))
    parts += [writing.packet_block(0, at, each) for each in conversation.open()]
    for turn in range(number):
        arguments = random_request(chance, ("read", "pay", "sign")[turn % 3], timeout_ms=1500)
        arguments[1] = b"key-%d" % turn
        if side == "node":
            arguments[3] = arguments[3].replace(b"d=1500", b"d=1490")
        answer = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n" if side == "node" else b"$2\r\nok\r\n"
        parts += [
            writing.packet_block(0, at, each) for each in conversation.send(0, resp.encode_command(arguments))
        ]
        parts += [writing.packet_block(0, at + 10**6, each) for each in conversation.send(1, answer)]
        at += int(every * 1e9)
    return b"".join(parts)


class Rehearsal:
    """A folder with a capture, an operators' file and a ledger; replays run as users run them."""

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        number = next(SERIAL)
        self.host = f"127.{64 + os.getpid() % 150}.{os.getpid() // 150 % 250}.{200 + number % 50}"
        self.orders = f'target(address = "{self.host}:6379", rehearsal = True)\n'
        (self.path / "a.pcapng").write_bytes(captured("10.1.1.1:6379"))

    async def run(
        self, *options: str, file: str = "a.pcapng", ledger: str = "ledger", die: str = ""
    ) -> tuple[int, dict, str]:
        """Runs a replay, killed at the step ``die``; its status, its JSON report and its errors."""
        (self.path / "orders.star").write_text(self.orders)
        program = ("-m", "tests.support.killed_program", die) if die else ("-m", "gatebank")
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
async def rehearsal(*actions: str) -> AsyncIterator[tuple[Rehearsal, FakeInstance]]:
    """A rehearsal and its target; at its end nothing may have run twice."""
    one = Rehearsal()
    try:
        async with FakeInstance(one.host, *actions) as instance:
            yield one, instance
        assert not instance.twice(), instance.twice()
    finally:
        one.folder.cleanup()
