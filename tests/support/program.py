"""Runs `gatebank` as its users run it."""

from __future__ import annotations

import asyncio
import sys

from tests.support.stand import PATIENCE, ROOT

PIPE = asyncio.subprocess.PIPE


async def gatebank(*words: str, stdin: bytes | None = None) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gatebank", "capture", *words, cwd=ROOT, stdin=PIPE, stdout=PIPE, stderr=PIPE
    )
    out, err = await asyncio.wait_for(process.communicate(stdin), 2 * PATIENCE)
    return process.returncode or 0, out.decode(), err.decode()


async def run(*words: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gatebank", *words, cwd=ROOT, stdout=PIPE, stderr=PIPE
    )
    out, err = await asyncio.wait_for(process.communicate(), PATIENCE)
    return process.returncode or 0, out.decode(), err.decode()
