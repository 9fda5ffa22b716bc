"""Runs a Starlark script in a process of its own and returns the sections that it calls.

Starlark has no access to files, clock or network, but nothing in it limits how long a loop runs or how large
a string grows. A process with limits does, and leaves no evaluator in an instance's memory.
"""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec

from gatebank.operator_config.sections import SectionCall, SectionError

# Seconds of processor time: a file of a thousand sections takes 0.1.
CPU_SECONDS = 2.0
# Seconds until an answer, on a machine that is busy with other things.
WALL_TIMEOUT = 10.0
MAX_SCRIPT_BYTES = 1 << 20
# Status of a process that the system ended for its processor time, at the soft limit or the hard one.
CPU_LIMIT_STATUSES = (-signal.SIGXCPU, -signal.SIGKILL)
CHILD = Path(__file__).with_name("child.py")


class ScriptResult(msgspec.Struct):
    """What `child.py` prints: the calls, or the line and reason of an error."""

    calls: list[SectionCall] = []
    line: int = 0
    why: str = ""


def run_script(
    text: str, file_name: str, sections: Iterable[str], cpu_seconds: float = CPU_SECONDS
) -> list[SectionCall]:
    r"""Returns the calls of sections that a script makes, in their order.

    Args:
        text: the script.
        file_name: for messages.
        sections: names of all sections.
        cpu_seconds: processor time that the script may take.

    Raises:
        SectionError: the script is wrong, or takes too much time or memory.

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
    """Returns what the program of `child.py` prints; raises SectionError if it does not end well."""
    command = (sys.executable, "-I", str(CHILD))
    try:
        done = subprocess.run(command, input=request, capture_output=True, timeout=WALL_TIMEOUT, check=False)
    except subprocess.TimeoutExpired:
        raise SectionError(0, f"the script was not done within {WALL_TIMEOUT:g} s") from None
    if done.returncode in CPU_LIMIT_STATUSES:
        raise SectionError(0, f"the script took more than {cpu_seconds:g} s of processor time")
    if done.returncode:
        raise SectionError(0, failure_text(done))
    return done.stdout


def failure_text(done: subprocess.CompletedProcess[bytes]) -> str:
    """Returns why the process itself failed, by the last line that it wrote."""
    last_line = done.stderr.decode(errors="replace").strip().rpartition("\n")[2]
    if "No module named 'starlark'" in last_line:
        return "it is a Starlark script; install the extra gatebank[operators]"
    reason = last_line or f"status {done.returncode}; out of memory?"
    return f"the script could not be evaluated: {reason}"
