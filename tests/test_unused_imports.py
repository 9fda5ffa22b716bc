"""What is not switched on is not loaded."""

from __future__ import annotations

import asyncio
import sys

from tests.support.program import PIPE
from tests.support.socket_scenarios import ROOT


async def test_marshal_without_operators_file_imports_nothing_of_it() -> None:
    """Not even imported.

    An instance without an operators' file loads nothing of what it would switch on.
    """
    code = (
        "import sys; from gatebank.proxy import service; import gatebank.__main__;"
        "heavy = ('msgspec', 'starlark', 'dpkt', 'hdrh', 'cryptography');"
        "ours = ('gatebank.recording', 'gatebank.capture', 'gatebank.replay', 'gatebank.operator_config',"
        " 'gatebank.state_transfer', 'gatebank.keys');"
        "print([m for m in sys.modules if m.split('.')[0] in heavy or m.startswith(ours)])"
    )
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, cwd=ROOT, stdout=PIPE)
    out, _ = await process.communicate()
    assert out.strip() == b"[]", out
