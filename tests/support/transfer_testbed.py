"""Instances that transfer state to each other on loopback, and the keys that they do it with."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from gatebank.fakes.wire import read_reply
from gatebank.keys import authority, folder
from tests.support.stand import ROOT, InstanceProcess, Stand

PLAIN = 'learning(listen = "LISTEN", donors = ["DONOR0", "DONOR1"], plain = True'
MAX_INSTANCES = 4  # that a stand has addresses for
CONFIGURED_INSTANCES = 2  # instances that each one's configuration names
KEY_MODE = 0o600


def make_keys(
    place: Path, signer: authority.KeyPair, name: str, trusted: bytes | None = None
) -> authority.KeyPair:
    """Writes a folder of keys for an instance.

    Args:
        place: the folder.
        signer: its authority.
        name: of the instance.
        trusted: certificates of trusted authorities; else the signer's.
    """
    place.mkdir(parents=True, exist_ok=True)
    pair = authority.make_instance(signer, name)
    (place / folder.AUTHORITY).write_bytes(trusted or signer.certificate)
    (place / folder.CERTIFICATE).write_bytes(pair.certificate)
    (place / folder.KEY).write_bytes(pair.key)
    (place / folder.KEY).chmod(KEY_MODE)
    return pair


class TransferTestbed:
    """A stand with four endpoints, and instances that each have an operators' file of their own."""

    def __init__(self) -> None:
        self.testbed = Stand()
        self.path = Path(self.testbed.folder.name)

    async def __aenter__(self) -> TransferTestbed:
        for name in ("a", "b", "c", "d"):
            await self.testbed.world.add(name, 41)
        await self.testbed.world.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for _, writer in self.testbed.clients.values():
            writer.close()
        for instance in self.testbed.marshals:
            if instance.process.returncode is None:
                instance.process.kill()
            await instance.process.wait()
            await instance.reader
        # A fault is an event whose name ends so, as learning_fault.
        faults = [
            line
            for instance in self.testbed.marshals
            for line in instance.lines
            if "fault" in line.split("event=")[-1][:20]
        ]
        await self.testbed.world.stop()
        self.testbed.folder.cleanup()
        assert not faults, faults

    def address(self, number: int) -> str:
        """Returns where an instance is a source."""
        return f"{self.testbed.address(number)}:7950"

    async def start(self, number: int, operators_file: str, wait: bool = True) -> InstanceProcess:
        """Starts an instance.

        Args:
            number: of the instance.
            operators_file: its text; LISTEN stands for its own address, DONOR0 ... for those of others.
            wait: until it is ready.
        """
        for other in range(MAX_INSTANCES):
            operators_file = operators_file.replace(f"DONOR{other}", self.address(other))
        path = self.path / f"{number}.star"
        path.write_text(operators_file.replace("LISTEN", self.address(number)))
        configuration = str(self.testbed.configuration(number, CONFIGURED_INSTANCES))
        command = (sys.executable, "-m", "gatebank", "serve", configuration, "--orders", str(path))
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stderr=asyncio.subprocess.PIPE)
        instance = InstanceProcess(self.testbed.address(number), process)
        self.testbed.marshals.append(instance)
        if wait:
            await instance.says("event=ready")
        return instance

    async def send_sequentially(
        self, instance: InstanceProcess, count: int, request_class: str = "read"
    ) -> list[str]:
        """Sends so many requests, one after another, on one connection; returns how they ended."""
        number = self.testbed.marshals.index(instance)
        client = f"own-{id(instance)}"
        outcomes = []
        for _ in range(count):
            await self.testbed.do_call(number, client, request_class, "2000")
            reader, _ = self.testbed.clients[client]
            outcomes.append((await read_reply(reader))[0])
        return outcomes

    async def send_concurrently(
        self, instance: InstanceProcess, connections: int = 8, count: int = 12
    ) -> None:
        """Sends so much at once that a failing endpoint is ejected."""
        number = self.testbed.marshals.index(instance)

        async def send(connection: int) -> None:
            client = f"busy-{number}-{connection}"
            for _ in range(count):
                await self.testbed.do_call(number, client, "read", "2000")
                await read_reply(self.testbed.clients[client][0])

        await asyncio.gather(*map(send, range(connections)))

    def attempts_at(self, endpoint: str) -> int:
        """Returns how many attempts an endpoint got since the stand's own list was cleared."""
        return sum(name == endpoint for name, _ in self.testbed.world.received)
