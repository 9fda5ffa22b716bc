"""Starts one instance by the deploy file's command, with settings like those of a small deployment."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import tomllib
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from standins.fleet import HOST, STATE, ZONES, Fleet
from standins.resp import encode_command

ROOT = Path(__file__).resolve().parents[2]
PORTS = (10_000, 30_000)
READY_S = 30.0  # An instance that takes longer to be ready counts as not started.
SETTINGS: dict[str, Any] = {
    "me": 0,
    "balancers": 1,
    "zone": 0,
    "zones": list(ZONES),
    "kinds": ["full-2c"],
    "round-ms": 5,
    "registry-mode": "push",
    "weight-source": "off",
    "value-by": "request",
    "classes": [
        {
            "name": "read",
            "semantics": "free",
            "on-time-ms": 1200,
            "deadline-ms": 3000,
            "worth": 1,
            "late-worth": 0,
            "group": "all",
            "window-ms": 5000,
        },
        {
            "name": "sign",
            "semantics": "guarded",
            "on-time-ms": 2500,
            "deadline-ms": 6000,
            "worth": 3,
            "late-worth": 0.2,
            "group": "zone",
            "window-ms": 6000,
        },
        {
            "name": "pay",
            "semantics": "single_shot",
            "on-time-ms": 1500,
            "deadline-ms": 4000,
            "worth": 5,
            "late-worth": 0,
            "group": "all",
            "window-ms": 5000,
        },
    ],
    "accounts": [{"name": "all", "quota-rps": 500, "share": 1.0}],
    "clients": {"marks-retry": True},
    "report": {"source": "off", "fields": []},
    "limits": {
        "cancel": True,
        "max-attempts": 5,
        "may-duplicate": True,
        "peers": True,
        "probes": True,
        "retry-after": False,
        "max-retry-after-ms": 500,
        "connect-timeout-ms": 250,
        "conn-idle-ms": 15000,
        "streams-per-conn": 32,
    },
    "invariants": {
        "answer-slack-ms": 50,
        "drain-grace-ms": 2000,
        "fall-multiple": 3,
        "start-capacity": 0.34,
        "tip-after-ms": 1500,
        "warm-up-ms": 5000,
    },
    "domain": {
        "caps": [0.17, 0.6, 1.0],
        "rings": [0.1, 0.35, 1.0],
        "control": "single",
        "counted-by": "all",
        "spare-tries": 3,
        "exposure-window-ms": 2000,
        "vote-ttl-ms": 6000,
        "call-timeout-ms": 2000,
        "api-rate": 30,
        "bake-ms": 3000,
        "ayes-needed": 1,
        "back-votes": 1,
        "keys-stay": False,
        "shielded": 0,
    },
}


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free at the moment, outside of those that the system gives to callers."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket(socket.AF_INET, kind) as sock, suppress(OSError):
            sock.bind((HOST, port))
            return port


class Instance:
    """One instance, started as the deploy file says; it runs inside ``async with``.

    Args:
        folder: A temporary folder, for the configuration, the log and TMPDIR.
        fleet: The nodes, discovery and the platform.
        memory_mb: The instance's memory limit.
    """

    def __init__(self, folder: Path, fleet: Fleet, memory_mb: int = 192) -> None:
        self.folder = folder
        self.port = free_port()
        peer = f"{HOST}:{free_port(socket.SOCK_DGRAM)}"
        news = {"image": 41, "ring": 2, "progress": STATE["progress"], "ceiling": 1.0, "lag_ms": 0}
        self.configuration: dict[str, Any] = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": fleet.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "peer_listen": peer,
            "peers": [peer],
            "platform": {"address": fleet.platform.address, "news": news},
            "known": fleet.known,
            "settings": SETTINGS,
        }
        self.path = folder / "config.json"
        self.log = folder / "log"
        self.process: asyncio.subprocess.Process | None = None

    def write_configuration(self) -> None:
        """Replace the configuration file as a whole."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.configuration), encoding="utf-8")
        new.replace(self.path)

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start the instance, and wait until it answers PING.

        Raises:
            TimeoutError: The instance is not ready within READY_S.
            RuntimeError: The instance has ended.
        """
        self.write_configuration()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = os.environ | {
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": self.configuration["listen"],
            "ROUTER_DISCOVERY": self.configuration["discovery"],
            "ROUTER_CONFIG": str(self.path),
            "TMPDIR": str(self.folder),
        }
        environment.pop("PYTHONPATH", None)
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        async with asyncio.timeout(READY_S):
            while not await self.answers_ping():
                if self.process.returncode is not None:
                    raise RuntimeError(f"the instance ended: {self.process.returncode}")
                await asyncio.sleep(0.05)

    async def answers_ping(self) -> bool:
        """Return whether the instance answers PING."""
        try:
            reader, writer = await self.connect()
            writer.write(encode_command(b"PING"))
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return line == b"+PONG\r\n"

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection."""
        return await asyncio.open_connection(HOST, self.port, limit=1 << 20)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    def memory_mb(self) -> float:
        """Return the memory of the process's own pages in MB, without those of its files."""
        assert self.process
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        line = next(line for line in status.splitlines() if line.startswith("RssAnon"))
        return int(line.split()[1]) / 1024

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the instance."""
        if self.process and not self.has_ended:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the instance, if it still runs, and wait for its end."""
        if self.process:
            self.send(signal.SIGKILL)
            await self.process.wait()
