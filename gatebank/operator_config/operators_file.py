"""Reads the operators' file and checks all of it: all errors are reported at once, with file and line."""

from __future__ import annotations

import importlib
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple, TypeVar

from gatebank.errors import GatebankError
from gatebank.operator_config.script import run_script
from gatebank.operator_config.sections import Section, SectionCall, SectionError

# Modules that declare sections. Each module is in the package that its section configures.
SECTION_MODULES = (
    "gatebank.recording.section",
    "gatebank.replay.section",
    "gatebank.state_transfer.section",
    "gatebank.keys.section",
)
# Maximum number of errors reported for one file; more errors usually have one common cause.
MAX_ERRORS = 20
SectionT = TypeVar("SectionT", bound=Section)


class OperatorsFileError(GatebankError):
    """The file cannot be used; the message has one line for each error, `file:line: reason`.

    Attributes:
        path: Path of the file.
        errors: All errors that were found.
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
    """A section and the line of its call in the file."""

    section: Section
    line: int


class OperatorsFile:
    """All sections of a file.

    Attributes:
        path: Path of the file.
        folder: Folder of the file; relative paths in the file are resolved against it.
        sections: Sections in the order of the file.
    """

    def __init__(self, path: Path, sections: Sequence[SectionWithLine]) -> None:
        self.path = path
        self.folder = path.resolve().parent
        self.sections = sections

    def find_all(self, kind: type[SectionT]) -> list[SectionT]:
        """Return all sections of a type, in the order of the file."""
        return [entry.section for entry in self.sections if isinstance(entry.section, kind)]

    def find(self, kind: type[SectionT]) -> SectionT | None:
        """Return the first section of a type, or None if the file has none."""
        return next(iter(self.find_all(kind)), None)


def section_kinds() -> dict[str, type[Section]]:
    """Import the modules that declare sections, and return all section types by name."""
    for module in SECTION_MODULES:
        importlib.import_module(module)
    return {name: kind for name, kind in Section.registered.items() if kind.__module__ in SECTION_MODULES}


def read_operators_file(path: Path) -> OperatorsFile:
    """Read a file, check it and return its sections.

    Raises:
        OperatorsFileError: The file cannot be read or has errors.
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
    """Return the sections of all valid calls, and the errors of the other calls."""
    sections: list[SectionWithLine] = []
    errors: list[SectionError] = []
    for call in calls:
        kind = kinds[call.section]
        if call_errors := kind.find_errors(call):
            errors += call_errors
            continue
        earlier = next((entry for entry in sections if isinstance(entry.section, kind)), None)
        if kind.once and earlier:
            reason = f"{call.section} is called twice, first in line {earlier.line}"
            errors.append(SectionError(call.line, reason))
        sections.append(SectionWithLine(kind.build(call), call.line))
    return sections, errors
