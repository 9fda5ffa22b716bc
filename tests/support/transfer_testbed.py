"""Processes of instances that transfer state to each other on loopback, and TLS keys for them."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from gatebank.fakes.wire import read_reply
from gatebank.keys import authority, folder
from tests.support.socket_scenarios import ROOT, InstanceProcess, SocketScenario

# Start of a learning section with plain connections; tests add further settings and the closing parenthesis.
PLAIN = 'learning(listen = "LISTEN", donors = ["DONOR0", "DONOR1"], plain = True'
# Number of instances whose addresses the operators' file may name as sources.
MAX_INSTANCES = 4
# Number of instances in the configuration of each instance.
CONFIGURED_INSTANCES = 2
KEY_MODE = 0o600


def make_keys(
    key_folder: Path, signer: authority.KeyPair, name: str, trusted: bytes | None = None
) -> authority.KeyPair:
    """Writes a key folder for an instance.

    Args:
        key_folder: Path of the folder.
        signer: Authority that signs the instance's certificate.
        name: Name of the instance.
        trusted: Certificates of the trusted authorities; None for the signer's certificate.

    Returns:
        The key and certificate of the instance.
    """
    key_folder.mkdir(parents=True, exist_ok=True)
    pair = authority.issue_instance_keys(signer, name)
    (key_folder / folder.AUTHORITY_FILE).write_bytes(trusted or signer.certificate)
    (key_folder / folder.CERTIFICATE_FILE).write_bytes(pair.certificate)
    (key_folder / folder.KEY_FILE).write_bytes(pair.key)
    (key_folder / folder.KEY_FILE).chmod(KEY_MODE)
    return pair


class TransferTestbed:
    """Four fake endpoints, and instances that each have an operators' file of their own.

    Attributes:
        runner: Owner of the fakes, the instances and the client connections.
        path: Folder of the operators' files and keys.
    """

    def __init__(self) -> None:
        self.runner = SocketScenario()
        self.path = Path(self.runner.folder.name)

    async def __aenter__(self) -> TransferTestbed:
        for name in ("a", "b", "c", "d"):
            await self.runner.world.add_endpoint(name, 41)
        await self.runner.world.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for _, writer in self.runner.clients.values():
            writer.close()
        for instance in self.runner.instances:
            await instance.stop()
        # Log events with names that end in "fault", such as learning_fault, are faults.
        faults = [
            line
            for instance in self.runner.instances
            for line in instance.lines
            if "fault" in line.split("event=")[-1][:20]
        ]
        await self.runner.world.stop()
        self.runner.folder.cleanup()
        assert not faults, faults

    def address(self, number: int) -> str:
        """Returns the address at which an instance listens as a source."""
        return f"{self.runner.address(number)}:7950"

    async def start(self, number: int, operators_file: str, wait: bool = True) -> InstanceProcess:
        """Starts an instance.

        Args:
            number: Number of the instance.
            operators_file: Text of the operators' file. LISTEN is replaced by the instance's own address, and
                DONOR0 ... by the addresses of the instances with these numbers.
            wait: Whether to wait until the instance is ready.
        """
        for other in range(MAX_INSTANCES):
            operators_file = operators_file.replace(f"DONOR{other}", self.address(other))
        path = self.path / f"{number}.star"
        path.write_text(operators_file.replace("LISTEN", self.address(number)))
        configuration = str(self.runner.write_configuration(number, CONFIGURED_INSTANCES))
        command = (sys.executable, "-m", "gatebank", "serve", configuration, "--orders", str(path))
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stderr=asyncio.subprocess.PIPE)
        instance = InstanceProcess(self.runner.address(number), process)
        self.runner.instances.append(instance)
        if wait:
            await instance.wait_for_log("event=ready")
        return instance

    async def send_sequentially(
        self, instance: InstanceProcess, count: int, request_class: str = "read"
    ) -> list[str]:
        """Sends ``count`` requests one after another on one connection; returns their outcomes."""
        number = self.runner.instances.index(instance)
        client = f"own-{id(instance)}"
        outcomes = []
        for _ in range(count):
            await self.runner.do_send(number, client, request_class, "2000")
            reader, _ = self.runner.clients[client]
            outcomes.append((await read_reply(reader))[0])
        return outcomes

    async def send_concurrently(
        self, instance: InstanceProcess, connections: int = 8, count: int = 12
    ) -> None:
        """Sends ``count`` requests on each connection, enough load to eject a failing endpoint."""
        number = self.runner.instances.index(instance)

        async def send(connection: int) -> None:
            client = f"busy-{number}-{connection}"
            for _ in range(count):
                await self.runner.do_send(number, client, "read", "2000")
                await read_reply(self.runner.clients[client][0])

        await asyncio.gather(*map(send, range(connections)))

    def attempts_at(self, endpoint: str) -> int:
        """Returns the number of attempts at an endpoint since the list of received attempts was cleared."""
        return sum(name == endpoint for name, _ in self.runner.world.received)
