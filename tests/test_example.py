"""The commands of examples/README.md, as they stand there."""

from __future__ import annotations

import asyncio
import sys
from functools import partial
from pathlib import Path

from tests.support.socket_scenarios import ROOT, TIMEOUT_S, SocketScenario


async def test_example_commands_serve_every_invocation() -> None:
    """Example.

    The commands of examples/README.md, at another address: every request is served, build 42 goes on.
    Once `ask` sent what the instance's door turns away and died with a traceback, and nobody saw it.
    """
    stand = SocketScenario()
    lines = (ROOT / "examples/README.md").read_text().splitlines()
    world, serve, ask = (line.split()[1:] for line in lines if line.startswith("    .venv/bin/python"))
    path = Path(stand.folder.name) / "marshal.json"
    path.write_text((ROOT / "examples/marshal.json").read_text().replace("127.0.0.1", stand.host))
    serve = [str(path) if word == "examples/marshal.json" else word for word in serve if word != "&"]
    pipe = {"cwd": ROOT, "stdout": asyncio.subprocess.PIPE, "stderr": asyncio.subprocess.PIPE}
    run = partial(asyncio.create_subprocess_exec, sys.executable, **pipe)
    about = [await run(*world[:-1], "--host", stand.host)]
    try:
        assert b"toy world" in await asyncio.wait_for(about[0].stdout.readline(), TIMEOUT_S)
        about.append(await run(*serve))
        while b"event=ready" not in await asyncio.wait_for(about[1].stderr.readline(), TIMEOUT_S):
            pass
        asking = await run(*ask[:-1], "300", "--to", f"{stand.host}:6379")
        out, err = await asyncio.wait_for(asking.communicate(), 2 * TIMEOUT_S)
        served = [line for line in out.decode().splitlines() if "satisfied: toy-" in line]
        assert asking.returncode == 0 and sum(int(line.split()[0]) for line in served) >= 295, (out, err)
        # What the instance can't read ends the connection, and the tool says so in one line.
        about[1].kill()
        await about[1].wait()
        asking = await run(*ask[:-1], "20", "--to", f"{stand.host}:6379")
        _, err = await asyncio.wait_for(asking.communicate(), TIMEOUT_S)
        assert asking.returncode == 1 and b"nobody listens" in err and err.count(b"\n") == 1, err
    finally:
        for process in about:
            if process.returncode is None:
                process.kill()
            await process.communicate()
        stand.folder.cleanup()
