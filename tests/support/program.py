"""Functions that run the `gatebank` command line in a process of its own."""

from __future__ import annotations

import asyncio
import sys

from tests.support.socket_scenarios import ROOT, TIMEOUT_S

PIPE = asyncio.subprocess.PIPE


async def run_capture_command(*arguments: str, stdin: bytes | None = None) -> tuple[int, str, str]:
    """Run `gatebank capture` and return its exit status, standard output and standard error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "gatebank",
        "capture",
        *arguments,
        cwd=ROOT,
        stdin=PIPE,
        stdout=PIPE,
        stderr=PIPE,
    )
    out, err = await asyncio.wait_for(process.communicate(stdin), 2 * TIMEOUT_S)
    return process.returncode or 0, out.decode(), err.decode()


async def run_gatebank(*arguments: str) -> tuple[int, str, str]:
    """Run `gatebank` and return its exit status, standard output and standard error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gatebank", *arguments, cwd=ROOT, stdout=PIPE, stderr=PIPE
    )
    out, err = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    return process.returncode or 0, out.decode(), err.decode()
