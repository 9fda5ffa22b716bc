"""Signals that arrive while the program starts."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from tests.support.connections import TIMEOUT_S
from tests.support.socket_scenarios import ROOT, InstanceProcess, SocketScenario

HOOK = """
import os, signal, sys

class Hook:
    def find_spec(self, name, path=None, target=None):
        if name == {name!r}:
            os.kill(os.getpid(), signal.{signal})

sys.meta_path.insert(0, Hook())
"""


@pytest.mark.parametrize("signal_name", ["SIGHUP", "SIGTERM"])
@pytest.mark.parametrize("module", ["typer", "uvloop", "gatebank.proxy.service"])
async def test_signal_during_import_at_start(module: str, signal_name: str) -> None:
    """A signal that arrives while the starting process imports a module is handled correctly.

    SIGHUP stays pending until its handler is installed. SIGTERM ends the process, which has not accepted any
    request yet.
    """
    stand = SocketScenario()
    process = None
    try:
        await stand.world.start()
        await stand.world.add_endpoint("a", 41)
        (Path(stand.folder.name) / "sitecustomize.py").write_text(
            HOOK.format(name=module, signal=signal_name)
        )
        command = (sys.executable, "-m", "gatebank", "serve", str(stand.write_configuration(0, 1)))
        environment = dict(os.environ) | {"PYTHONPATH": stand.folder.name}
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stderr=asyncio.subprocess.PIPE, env=environment
        )
        instance = InstanceProcess(stand.address(0), process)
        if signal_name == "SIGHUP":
            await instance.wait_for_log("event=ready")
            await instance.wait_for_log("event=reloaded")
            process.send_signal(signal.SIGTERM)
        status = await asyncio.wait_for(process.wait(), TIMEOUT_S)
        await instance.log_reader
        assert status == (0 if signal_name == "SIGHUP" else -signal.SIGTERM), (status, instance.lines)
    finally:
        if process and process.returncode is None:
            process.kill()
        await stand.world.stop()
        stand.folder.cleanup()
