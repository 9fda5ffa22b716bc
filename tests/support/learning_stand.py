"""Marshals that teach each other on loopback, and the keys they do it with."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from gatebank.fakes.wire import read_reply
from gatebank.keys import authority, folder
from tests.support.stand import ROOT, Stand
from tests.support.stand import InstanceProcess as Process


def make_keys(place: Path, of: authority.Pair, name: str, trusted: bytes | None = None, **more: Any) -> None:
    place.mkdir(parents=True, exist_ok=True)
    pair = authority.instance(of, name, **more)
    (place / folder.AUTHORITY).write_bytes(trusted or of.certificate)
    (place / folder.CERTIFICATE).write_bytes(pair.certificate)
    (place / folder.KEY).write_bytes(pair.key)
    (place / folder.KEY).chmod(0o600)


class Place:
    """A stand with nodes, and marshals that each have an operators' file of their own."""

    def __init__(self) -> None:
        self.stand = Stand()
        self.path = Path(self.stand.folder.name)

    async def __aenter__(self) -> Place:
        for name in ("a", "b", "c", "d"):
            await self.stand.world.add(name, 41)
        await self.stand.world.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for _, writer in self.stand.customers.values():
            writer.close()
        for marshal in self.stand.marshals:
            if marshal.process.returncode is None:
                marshal.process.kill()
            await marshal.process.wait()
            await marshal.reader
        faults = [
            line for m in self.stand.marshals for line in m.lines if "fault" in line.split("event=")[-1][:20]
        ]
        await self.stand.world.stop()
        self.stand.folder.cleanup()
        assert not faults, faults

    def at(self, me: int) -> str:
        return f"{self.stand.address(me)}:7950"

    async def start(self, me: int, orders: str, wait: bool = True) -> Process:
        """A marshal with this file; `LISTEN` stands for its own address, `DONOR0` ... for others'."""
        for other in range(4):
            orders = orders.replace(f"DONOR{other}", self.at(other))
        path = self.path / f"{me}.star"
        path.write_text(orders.replace("LISTEN", self.at(me)))
        command = (sys.executable, "-m", "gatebank", "serve", str(self.stand.configuration(me, 2)))
        process = await asyncio.create_subprocess_exec(
            *command, "--orders", str(path), cwd=ROOT, stderr=asyncio.subprocess.PIPE
        )
        marshal = Process(self.stand.address(me), process)
        self.stand.marshals.append(marshal)
        if wait:
            await marshal.says("event=ready")
        return marshal

    async def ask(self, marshal: Process, count: int, workload: str = "read") -> list[str]:
        """So many invocations over one connection; how they ended."""
        me = self.stand.marshals.index(marshal)
        found = []
        for _ in range(count):
            await self.stand.do_call(me, f"own-{id(marshal)}", workload, "2000")
            reader, _ = self.stand.customers[f"own-{id(marshal)}"]
            found.append((await read_reply(reader))[0])
        return found

    async def busy(self, marshal: Process, lines: int = 8, count: int = 12) -> None:
        """Enough at once that a sick node is found out."""
        me = self.stand.marshals.index(marshal)

        async def one(line: int) -> None:
            for _ in range(count):
                await self.stand.do_call(me, f"busy-{me}-{line}", "read", "2000")
                await read_reply(self.stand.customers[f"busy-{me}-{line}"][0])

        await asyncio.gather(*map(one, range(lines)))

    def sent_to(self, name: str) -> int:
        return sum(node == name for node, _ in self.stand.world.received)


PLAIN = 'learning(listen = "LISTEN", donors = ["DONOR0", "DONOR1"], plain = True'
