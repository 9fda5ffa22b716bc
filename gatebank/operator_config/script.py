"""A Starlark script to the calls of sections that it makes, evaluated in a process of its own.

Starlark has no access to files, clock or network, but nothing in it bounds how long a loop runs or how large
a string grows; a process with limits does, and leaves no evaluator in the marshal's memory.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from gatebank.operator_config.sections import Fault

SECONDS = 2.0  # of processor time: a file of a thousand sections takes 0.1
PATIENCE = 10.0  # s until an answer, on a machine that is busy with other things
MOST_TEXT = 1 << 20  # bytes of a script


class Call(msgspec.Struct):
    """One call of a section; ``lines`` are those of its fields, where they are known."""

    section: str
    fields: dict[str, Any]
    line: int
    lines: dict[str, int]


class Said(msgspec.Struct):
    calls: list[Call] = []
    line: int = 0
    why: str = ""


def calls(text: str, file: str, sections: Iterable[str], seconds: float = SECONDS) -> list[Call]:
    """
    >>> [call] = calls("a = 2\\nlamp(\\n  watts = a * 20,\\n)", "f", ["lamp"])
    >>> call.section, call.fields, call.line, call.lines
    ('lamp', {'watts': 40}, 2, {'watts': 3})
    >>> calls("lamp(5)", "f", ["lamp"])
    Traceback (most recent call last):
    gatebank.operator_config.sections.Fault: 1: lamp: fields are given by name, lamp(field = value)
    >>> calls("x = 1\\ny = z", "f", [])
    Traceback (most recent call last):
    gatebank.operator_config.sections.Fault: 2: Variable `z` not found, did you mean `x`?
    """
    if len(text.encode()) > MOST_TEXT:
        raise Fault(0, f"the script is longer than {MOST_TEXT} bytes")
    asked = {"text": text, "file": file, "sections": list(sections), "seconds": seconds}
    child = (sys.executable, "-I", str(Path(__file__).with_name("child.py")))
    try:
        done = subprocess.run(
            child, input=msgspec.json.encode(asked), capture_output=True, timeout=PATIENCE, check=False
        )
    except subprocess.TimeoutExpired:
        raise Fault(0, f"the script was not done within {PATIENCE:g} s") from None
    if done.returncode in (-24, -9):  # SIGXCPU, or SIGKILL behind it
        raise Fault(0, f"the script took more than {seconds:g} s of processor time")
    if done.returncode:
        last = done.stderr.decode(errors="replace").strip().rpartition("\n")[2]
        if "No module named 'starlark'" in last:
            raise Fault(0, "it is a Starlark script; install the extra gatebank[operators]")
        last = last or f"status {done.returncode}; out of memory?"
        raise Fault(0, f"the script could not be evaluated: {last}")
    said = msgspec.json.decode(done.stdout, type=Said)
    if said.why:
        raise Fault(said.line, said.why.replace("\n", " "))
    return said.calls
