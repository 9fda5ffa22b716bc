"""The operators' file: valid files, and the errors of invalid files."""

from __future__ import annotations

from pathlib import Path

import pytest

from gatebank.operator_config.operators_file import OperatorsFileError, read_operators_file
from gatebank.replay.section import Target
from tests.support.socket_scenarios import ROOT

# Text of an invalid file, and a part of the expected error message.
INVALID_FILES = {
    'recording(folder = "x", file_bytes = 3)': "1: recording: file_bytes = 3: Expected `int` >= 65536",
    'recording(\n  folder = "x",\n  sides = ["nod"],\n)': '3: recording: sides = ["nod"]',
    'recording(folder = "x", sides = ["node", "node"])': "names a value twice",
    "recording()": "1: recording: folder is missing",
    'recording(folder = "x")\nrecording(folder = "y")': "2: recording is called twice, first in line 1",
    'recording(folder = "x", hide = ["ticket"])': "needs key_file",
    'recording(folder = "x", keep_bytes = 70000)': "must hold at least one file",
    'recording("x")': "fields are given by name",
    'recording(folder = "x", bodys = "cut")': "did you mean 'bodies'",
    'target(address = "somewhere")': "'somewhere' is not an IP address and port",
    'target(address = "127.0.0.1:1", keeps_tickets = True)': "rehearsal is not set",
    'target(address = "127.0.0.1:1", rehearsal = True, live_rerunnable = True)': "in service",
    'target(address = "127.0.0.1:1", most_per_second = 0)': "above 0",
    "def f():\n  target(address = 5)\nf()": "2: target: address = 5: Expected `str`",
    "x = 1\ny = z\n": "2: Variable `z` not found",
    "x = (": "1: Parse error",
    'load("other.star", "x")': "1: ",
    'open("/etc/passwd")': "1: Variable `open` not found",
    "def f(x):\n  return f(x)\nf(1)": "stack overflow",
    "target(address = len)": "1: ",
    "def f():\n  for i in range(2000000000):\n    pass\nf()": "processor time",
    # Exceeds the memory limit of the process.
    'def f():\n  x = "a"\n  for i in range(60):\n    x = x + x\nf()': "",
}


@pytest.mark.parametrize(("text", "reason"), INVALID_FILES.items())
def test_invalid_operators_file_is_refused_with_line_and_field(
    text: str, reason: str, tmp_path: Path
) -> None:
    """The error of an invalid file has the file's path and the reason, with line, field and value."""
    path = tmp_path / "operators.star"
    path.write_text(text)
    with pytest.raises(OperatorsFileError) as raised:
        read_operators_file(path)
    assert reason in str(raised.value)
    assert str(raised.value).startswith(f"{path}:")


def test_sections_called_in_a_loop_are_read_in_order(tmp_path: Path) -> None:
    """Sections that a script calls in a loop with computed values are read in the order of the calls."""
    path = tmp_path / "operators.star"
    path.write_text("BASE = 6380\n[target(address = '127.0.0.1:%d' % (BASE + i)) for i in range(3)]\n")
    targets = read_operators_file(path).find_all(Target)
    assert [target.address for target in targets] == [f"127.0.0.1:{6380 + number}" for number in range(3)]


def test_deployed_operators_file_is_valid_and_has_no_sections() -> None:
    """The operators' file in deploy/ can be read and enables nothing."""
    assert not read_operators_file(ROOT / "deploy/operators.star").sections
