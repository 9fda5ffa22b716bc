"""Runs a Starlark script in a separate process and returns the section calls that it makes.

Starlark has no access to files, clock or network, but it does not limit how long a loop runs or how large
a string grows. A separate process can be limited, and keeps the evaluator out of the instance's memory.
"""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec

from gatebank.operator_config.sections import SectionCall, SectionError

# Limit of processor time in seconds. A file with a thousand sections takes 0.1 s.
CPU_SECONDS = 2.0
# Limit of elapsed time in seconds. It is longer than CPU_SECONDS because other processes may use the machine.
WALL_TIMEOUT = 10.0
MAX_SCRIPT_BYTES = 1 << 20
# Exit statuses of a process that exceeded its limit of processor time, the soft limit or the hard limit.
CPU_LIMIT_STATUSES = (-signal.SIGXCPU, -signal.SIGKILL)
CHILD = Path(__file__).with_name("child.py")


class ScriptResult(msgspec.Struct):
    """Output of `child.py`: the section calls, or the line and the reason (`why`) of an error."""

    calls: list[SectionCall] = []
    line: int = 0
    why: str = ""


def run_script(
    text: str, file_name: str, sections: Iterable[str], cpu_seconds: float = CPU_SECONDS
) -> list[SectionCall]:
    r"""Run a script and return its section calls in order.

    Args:
        text: Text of the script.
        file_name: Name of the file, used in error messages.
        sections: Names of all sections.
        cpu_seconds: Limit of the script's processor time.

    Raises:
        SectionError: The script has an error, or exceeds a limit of size, time or memory.

    >>> [call] = run_script("a = 2\nlamp(\n  watts = a * 20,\n)", "f", ["lamp"])
    >>> call.section, call.fields, call.line, call.field_lines
    ('lamp', {'watts': 40}, 2, {'watts': 3})
    >>> run_script("lamp(5)", "f", ["lamp"])
    Traceback (most recent call last):
    gatebank.operator_config.sections.SectionError: 1: lamp: fields are given by name, lamp(field = value)
    >>> run_script("x = 1\ny = z", "f", [])
    Traceback (most recent call last):
    gatebank.operator_config.sections.SectionError: 2: Variable `z` not found, did you mean `x`?
    """
    if len(text.encode()) > MAX_SCRIPT_BYTES:
        raise SectionError(0, f"the script is longer than {MAX_SCRIPT_BYTES} bytes")
    request = {"text": text, "file": file_name, "sections": list(sections), "seconds": cpu_seconds}
    output = run_child(msgspec.json.encode(request), cpu_seconds)
    result = msgspec.json.decode(output, type=ScriptResult)
    if result.why:
        raise SectionError(result.line, result.why.replace("\n", " "))
    return result.calls


def run_child(request: bytes, cpu_seconds: float) -> bytes:
    """Run `child.py` and return its output; raises SectionError if the program fails."""
    command = (sys.executable, "-I", str(CHILD))
    try:
        completed = subprocess.run(
            command, input=request, capture_output=True, timeout=WALL_TIMEOUT, check=False
        )
    except subprocess.TimeoutExpired:
        raise SectionError(0, f"the script did not finish within {WALL_TIMEOUT:g} s") from None
    if completed.returncode in CPU_LIMIT_STATUSES:
        raise SectionError(0, f"the script took more than {cpu_seconds:g} s of processor time")
    if completed.returncode:
        raise SectionError(0, failure_text(completed))
    return completed.stdout


def failure_text(done: subprocess.CompletedProcess[bytes]) -> str:
    """Return why the process failed, according to the last line of its standard error."""
    last_line = done.stderr.decode(errors="replace").strip().rpartition("\n")[2]
    if "No module named 'starlark'" in last_line:
        return "it is a Starlark script; install the extra gatebank[operators]"
    reason = last_line or f"status {done.returncode}; out of memory?"
    return f"the script could not be evaluated: {reason}"
