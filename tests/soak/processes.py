"""The command that starts an instance, and the operating system's figures about instances' processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import tomllib
from pathlib import Path

from tests.soak.records import ProcessUsage
from tests.support.instance_process import ROOT

PING = b"*1\r\n$4\r\nPING\r\n"


def run_queue_wait(pid: int) -> float | None:
    """Return the seconds for which a process's main thread has waited for a core; None if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except OSError:
        return None


def blocks_hangup(pid: int) -> bool:
    """Return whether a process has blocked SIGHUP."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    blocked = next(int(line.split()[1], 16) for line in lines if line.startswith("SigBlk:"))
    return bool(blocked >> (signal.SIGHUP - 1) & 1)


def now_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * 1000)


def deployed_command() -> str:
    """Return the deploy file's command that starts an instance, with the present Python interpreter."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    command: str = deploy["run"]
    return command.replace(".venv/bin/python", sys.executable)


async def answers_ping(host: str, port: int) -> bool:
    """Return whether an instance answers PING at this address."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    try:
        writer.write(PING)
        return await asyncio.wait_for(reader.readline(), 1.0) == b"+PONG\r\n"
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


def anonymous_bytes(pid: int) -> int:
    """Return the RssAnon of a process in bytes; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(line.split()[1]) * 1024 for line in lines if line.startswith("RssAnon")), 0)


def process_usage(instance: int, pid: int) -> ProcessUsage:
    """Return the resources that a process uses.

    Raises:
        OSError: The process no longer exists.
    """
    folder = Path(f"/proc/{pid}")
    lines = (folder / "status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines if ":" in line)
    resident, peak = (int(fields[name].split()[0]) * 1024 for name in ("VmRSS", "VmHWM"))
    return ProcessUsage(instance, len(os.listdir(folder / "fd")), resident, peak)
