"""The commands of examples/README.md, as written there."""

from __future__ import annotations

import asyncio
import sys
from functools import partial
from pathlib import Path

from tests.support.socket_scenarios import ROOT, TIMEOUT_S, SocketScenario


async def test_example_commands_serve_every_request() -> None:
    """The commands of examples/README.md, at another address, serve every request.

    The test guards against `ask` sending requests that the instance refuses as malformed, which once ended
    `ask` with a traceback.
    """
    scenario = SocketScenario()
    lines = (ROOT / "examples/README.md").read_text().splitlines()
    world, serve, ask = (line.split()[1:] for line in lines if line.startswith("    .venv/bin/python"))
    path = Path(scenario.folder.name) / "marshal.json"
    path.write_text((ROOT / "examples/marshal.json").read_text().replace("127.0.0.1", scenario.host))
    serve = [str(path) if word == "examples/marshal.json" else word for word in serve if word != "&"]
    pipe = {"cwd": ROOT, "stdout": asyncio.subprocess.PIPE, "stderr": asyncio.subprocess.PIPE}
    run = partial(asyncio.create_subprocess_exec, sys.executable, **pipe)
    processes = [await run(*world[:-1], "--host", scenario.host)]
    try:
        assert b"fake world" in await asyncio.wait_for(processes[0].stdout.readline(), TIMEOUT_S)
        processes.append(await run(*serve))
        while b"event=ready" not in await asyncio.wait_for(processes[1].stderr.readline(), TIMEOUT_S):
            pass
        client = await run(*ask[:-1], "300", "--to", f"{scenario.host}:6379")
        out, err = await asyncio.wait_for(client.communicate(), 2 * TIMEOUT_S)
        served = [line for line in out.decode().splitlines() if "satisfied: toy-" in line]
        assert client.returncode == 0 and sum(int(line.split()[0]) for line in served) >= 295, (out, err)
        # Without an instance at the address, `ask` reports the failed connection in one line.
        processes[1].kill()
        await processes[1].wait()
        client = await run(*ask[:-1], "20", "--to", f"{scenario.host}:6379")
        _, err = await asyncio.wait_for(client.communicate(), TIMEOUT_S)
        refused = f"connection to {scenario.host}:6379 failed".encode()
        assert client.returncode == 1 and refused in err and err.count(b"\n") == 1, err
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.communicate()
        scenario.folder.cleanup()
