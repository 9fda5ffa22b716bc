"""The operators' file, read and checked whole: every fault in it is told at once, with file and line."""

from __future__ import annotations

import importlib
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

from gatebank.operator_config import script
from gatebank.operator_config.sections import Fault, Section

# Where sections are declared, each beside the code of its direction.
DECLARED = (
    "gatebank.recording.section",
    "gatebank.replay.section",
    "gatebank.state_transfer.section",
    "gatebank.keys.section",
)
MOST_FAULTS = 20  # told of one file
One = TypeVar("One", bound=Section)


class Unusable(Exception):
    """The file can't be used; a line for each fault, `file:line: what`."""


class OperatorsFile:
    """All sections of a file, in its order. ``folder`` is where its relative paths begin."""

    def __init__(self, path: Path, sections: Sequence[tuple[Section, int]]) -> None:
        self.path, self.folder, self.sections = path, path.resolve().parent, sections

    def all(self, kind: type[One]) -> list[One]:
        return [each for each, _ in self.sections if isinstance(each, kind)]

    def one(self, kind: type[One]) -> One | None:
        return next(iter(self.all(kind)), None)

    def line(self, section: Section) -> int:
        return next((line for each, line in self.sections if each is section), 0)


def known() -> dict[str, type[Section]]:
    for module in DECLARED:
        importlib.import_module(module)
    return {name: kind for name, kind in Section.known.items() if kind.__module__ in DECLARED}


def read(path: Path) -> OperatorsFile:
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as trouble:
        raise Unusable(f"{path}: {getattr(trouble, 'strerror', None) or trouble}") from trouble
    kinds, built, faults = known(), list[tuple[Section, int]](), list[Fault]()
    try:
        for call in script.calls(text, path.name, kinds):
            kind = kinds[call.section]
            if found := kind.faults(call.fields, call.lines, call.line):
                faults += found
                continue
            one = kind.build(call.fields, call.lines, call.line)
            twice = next((line for each, line in built if kind.once and isinstance(each, kind)), None)
            if twice is not None:
                faults.append(Fault(call.line, f"{call.section} stands twice, first in line {twice}"))
            built.append((one, call.line))
    except Fault as trouble:
        faults.append(trouble)
    if faults:
        more = [f"and {len(faults) - MOST_FAULTS} more"] if len(faults) > MOST_FAULTS else []
        said = [f"{path}:{each}" if each.line else f"{path}: {each}" for each in faults[:MOST_FAULTS]]
        raise Unusable("\n".join(said + more))
    return OperatorsFile(path, built)
