"""A configuration that can't be: one plain line and status 2, from `serve` and `check` alike."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import pytest

from tests.support.stand import ROOT

GOOD = json.loads((ROOT / "examples/marshal.json").read_text())


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        pytest.param(None, "No such file", id="missing"),
        pytest.param("{", "invalid JSON", id="invalid JSON"),
        pytest.param("[]", "object", id="no object"),
        pytest.param(json.dumps(GOOD | {"settings": None}), "settings", id="no settings"),
        pytest.param(
            json.dumps(GOOD | {"settings": GOOD["settings"] | {"classes": []}}),
            "at least one request class",
            id="no request classes",
        ),
        pytest.param(json.dumps(GOOD | {"listen": "nowhere"}), "listen", id="no address"),
        pytest.param(json.dumps(GOOD | {"seed": "xyz"}), "seed", id="no seed"),
        pytest.param(
            json.dumps(GOOD | {"platform": {"address": "127.0.0.1:1", "news": {"image": 1}}}),
            "state",
            id="news",
        ),
        pytest.param(
            json.dumps(GOOD | {"known": {"generation": 1, "instances": [{}]}}), "listing", id="known"
        ),
    ],
)
async def test_bad_configuration_is_refused_in_one_line(text: str | None, wanted: str) -> None:
    """A start that can't be: one plain line, status 2; `check` says the same."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "marshal.json"
        if text is not None:
            path.write_text(text)
        for name in ("serve", "check"):
            command = (sys.executable, "-m", "gatebank", name, str(path))
            process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stderr=asyncio.subprocess.PIPE)
            said = (await process.communicate())[1].decode()
            assert process.returncode == 2 and said.count("\n") == 1 and wanted in said, (name, said)
