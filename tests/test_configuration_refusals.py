"""An invalid configuration gives a one-line error and exit status 2, from both `serve` and `check`."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

import pytest

from tests.support.socket_scenarios import ROOT

# A loopback address of this process: `serve` binds the peer port of the example before it reads the rest, so
# processes that run these tests at the same time must not share an address.
HOST = f"127.{64 + os.getpid() % 150}.{os.getpid() // 150 % 250}.2"
VALID = json.loads((ROOT / "examples/marshal.json").read_text().replace("127.0.0.1", HOST))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        pytest.param(None, "No such file", id="missing file"),
        pytest.param("{", "invalid JSON", id="invalid JSON"),
        pytest.param("[]", "object", id="not an object"),
        pytest.param(json.dumps(VALID | {"settings": None}), "settings", id="no settings"),
        pytest.param(
            json.dumps(VALID | {"settings": VALID["settings"] | {"classes": []}}),
            "at least one request class",
            id="no request classes",
        ),
        pytest.param(json.dumps(VALID | {"listen": "nowhere"}), "listen", id="invalid address"),
        pytest.param(json.dumps(VALID | {"seed": "xyz"}), "seed", id="invalid seed"),
        pytest.param(
            json.dumps(VALID | {"platform": {"address": "127.0.0.1:1", "news": {"image": 1}}}),
            "state",
            id="invalid release state",
        ),
        pytest.param(
            json.dumps(VALID | {"known": {"generation": 1, "instances": [{}]}}),
            "listing",
            id="invalid endpoint list",
        ),
    ],
)
async def test_invalid_configuration_gives_one_line_error(text: str | None, expected: str) -> None:
    """Both `serve` and `check` exit with status 2 and print one line that names the error."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "marshal.json"
        if text is not None:
            path.write_text(text)
        for name in ("serve", "check"):
            command = (sys.executable, "-m", "gatebank", name, str(path))
            process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stderr=asyncio.subprocess.PIPE)
            output = (await process.communicate())[1].decode()
            assert process.returncode == 2 and output.count("\n") == 1 and expected in output, (name, output)
