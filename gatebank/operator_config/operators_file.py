"""The operators' file, read and checked whole: all errors in it are reported at once, with file and line."""

from __future__ import annotations

import importlib
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, TypeVar

from gatebank.errors import GatebankError
from gatebank.operator_config.script import run_script
from gatebank.operator_config.sections import Section, SectionCall, SectionError

# Where sections are declared, each beside the code that it is for.
SECTION_MODULES = (
    "gatebank.recording.section",
    "gatebank.replay.section",
    "gatebank.state_transfer.section",
    "gatebank.keys.section",
)
MAX_ERRORS = 20  # reported of one file: more than that is one mistake many times
SectionT = TypeVar("SectionT", bound=Section)


class OperatorsFileError(GatebankError):
    """The file can't be used; its text has a line for each error, `file:line: what`.

    Attributes:
        path: of the file.
        errors: all of them.
    """

    def __init__(self, path: Path, errors: Sequence[SectionError]) -> None:
        super().__init__(path, errors)
        self.path = path
        self.errors = errors

    def __str__(self) -> str:
        lines = [
            f"{self.path}:{error}" if error.line else f"{self.path}: {error}"
            for error in self.errors[:MAX_ERRORS]
        ]
        if len(self.errors) > MAX_ERRORS:
            lines.append(f"and {len(self.errors) - MAX_ERRORS} more")
        return "\n".join(lines)


class SectionWithLine(NamedTuple):
    """A section and the line of its call."""

    section: Section
    line: int


class OperatorsFile:
    """All sections of a file.

    Attributes:
        path: of the file.
        folder: where its relative paths begin.
        sections: in the file's order.
    """

    def __init__(self, path: Path, sections: Sequence[SectionWithLine]) -> None:
        self.path = path
        self.folder = path.resolve().parent
        self.sections = sections

    def find_all(self, kind: type[SectionT]) -> list[SectionT]:
        """Returns all sections of a kind, in the file's order."""
        return [placed.section for placed in self.sections if isinstance(placed.section, kind)]

    def find(self, kind: type[SectionT]) -> SectionT | None:
        """Returns the first section of a kind, None if there is none."""
        return next(iter(self.find_all(kind)), None)


def section_kinds() -> dict[str, type[Section]]:
    """Returns all kinds of sections by name, importing the modules that declare them."""
    for module in SECTION_MODULES:
        importlib.import_module(module)
    return {name: kind for name, kind in Section.registered.items() if kind.__module__ in SECTION_MODULES}


def read_operators_file(path: Path) -> OperatorsFile:
    """Returns a file's sections.

    Raises:
        OperatorsFileError: it can't be read, or anything in it is wrong.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = str(getattr(error, "strerror", None) or error)
        raise OperatorsFileError(path, [SectionError(0, reason)]) from error
    kinds = section_kinds()
    try:
        calls = run_script(text, path.name, kinds)
    except SectionError as error:
        raise OperatorsFileError(path, [error]) from None
    sections, errors = build_sections(calls, kinds)
    if errors:
        raise OperatorsFileError(path, errors)
    return OperatorsFile(path, sections)


def build_sections(
    calls: Sequence[SectionCall], kinds: dict[str, type[Section]]
) -> tuple[list[SectionWithLine], list[SectionError]]:
    """Returns the sections of all calls that are right, and the errors of the others."""
    sections: list[SectionWithLine] = []
    errors: list[SectionError] = []
    for call in calls:
        kind = kinds[call.section]
        if found := kind.find_errors(call):
            errors += found
            continue
        earlier = next((placed for placed in sections if isinstance(placed.section, kind)), None)
        if kind.once and earlier:
            reason = f"{call.section} stands twice, first in line {earlier.line}"
            errors.append(SectionError(call.line, reason))
        sections.append(SectionWithLine(kind.build(call), call.line))
    return sections, errors
