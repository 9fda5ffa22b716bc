"""Runs `gatebank` as its users run it."""

from __future__ import annotations

import asyncio
import sys

from tests.support.socket_scenarios import ROOT, TIMEOUT_S

PIPE = asyncio.subprocess.PIPE


async def run_capture_command(*words: str, stdin: bytes | None = None) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gatebank", "capture", *words, cwd=ROOT, stdin=PIPE, stdout=PIPE, stderr=PIPE
    )
    out, err = await asyncio.wait_for(process.communicate(stdin), 2 * TIMEOUT_S)
    return process.returncode or 0, out.decode(), err.decode()


async def run_gatebank(*words: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gatebank", *words, cwd=ROOT, stdout=PIPE, stderr=PIPE
    )
    out, err = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    return process.returncode or 0, out.decode(), err.decode()
