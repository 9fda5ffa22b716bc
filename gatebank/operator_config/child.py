"""Evaluates one script; `script.py` runs this file as a separate program that imports nothing from gatebank.

Standard input is a JSON object with the keys `text`, `file`, `sections` (their names) and `seconds` (limit of
processor time). Standard output is a JSON object: either `calls`, a list of objects with section, fields,
line and the lines of the fields, or the `line` and the reason (`why`) of an error. A Starlark script has no
access to files, clock or network. The time and memory that it uses are limited by the limits of this process.
"""

from __future__ import annotations

import ast
import json
import re
import resource
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

# Limit of the address space. A process that has loaded Starlark and runs no script maps about 150 MB.
MEMORY_BYTES = 512 * 1024 * 1024
MAX_CALL_DEPTH = 64  # Maximum depth of nested function calls; a settings file needs only a few levels.
MAX_CALLS = 10_000  # Maximum number of section calls in one script.
CALL_ERROR = re.compile(r"gatebank:(\d+):(.*)")  # Finds the text of a `CallError` in a Starlark error.
STARLARK_POSITION = re.compile(r"--> .*?:(\d+):\d+")
STARLARK_ERROR = re.compile(r"^error: (.*)$", re.MULTILINE)

JsonValue = str | bool | int | float | None | list["JsonValue"] | dict[str, "JsonValue"]


class UnsupportedValueError(Exception):
    """A field has a value that JSON does not support, for example a function."""

    def __str__(self) -> str:
        return "a field value must be a number, string, True, False, None, or a list or dict of these"


class CallError(Exception):
    """A section is called incorrectly.

    Starlark reports only the text of this error; `parse_starlark_error` reads the line number from the text.
    """

    def __init__(self, line: int, section: str, reason: str) -> None:
        super().__init__(line, section, reason)
        self.line = line
        self.section = section
        self.reason = reason

    def __str__(self) -> str:
        return f"gatebank:{self.line}:{self.section}: {self.reason}"


@dataclass(frozen=True)
class CallSite:
    """Position of a section call in the script; the line is 0 if the position is unknown.

    Attributes:
        section: Name of the section.
        line: Line of the call.
        field_lines: Lines of the fields by field name.
    """

    section: str
    line: int = 0
    field_lines: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class SectionNamePosition:
    """Position of a section's name in a call: lines count from 1, columns are byte offsets."""

    call: ast.Call
    section: str
    line: int
    column: int


def find_section_names(text: str, sections: Sequence[str]) -> list[SectionNamePosition]:
    """Return the positions of all section calls, the last call first; raises the errors of `ast.parse`."""
    names = [
        SectionNamePosition(node, node.func.id, node.func.lineno, node.func.col_offset)
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id in sections
    ]
    return sorted(names, key=lambda name: (name.line, name.column), reverse=True)


def name_call_sites(text: str, sections: Sequence[str]) -> tuple[str, list[CallSite]]:
    """Replace the section name in each call by a unique name, `section__number`, that identifies its line.

    The script is parsed as Python, whose grammar is nearly that of Starlark. If the script is not valid
    Python, the lines of the calls stay unknown.

    Returns:
        The changed script and its call sites, indexed by number. If the positions of the calls are unknown,
        the unchanged script and an empty list.
    """
    try:
        names = find_section_names(text, sections)
    except (SyntaxError, ValueError, RecursionError):
        return text, []
    lines = [line.encode() for line in text.split("\n")]
    sites: list[CallSite] = []
    # Replacing from the last call to the first keeps the columns of the remaining calls valid.
    for number, name in enumerate(names):
        line = lines[name.line - 1]
        end = name.column + len(name.section)
        if line[name.column : end] != name.section.encode():
            return text, []
        lines[name.line - 1] = (
            line[: name.column] + call_site_name(name.section, number).encode() + line[end:]
        )
        field_lines = {keyword.arg: keyword.value.lineno for keyword in name.call.keywords if keyword.arg}
        sites.append(CallSite(name.section, name.call.lineno, field_lines))
    return b"\n".join(lines).decode(), sites


def call_site_name(section: str, number: int) -> str:
    """Return the unique name that replaces the section name at a call site."""
    return f"{section}__{number}"


def to_json_value(value: object) -> JsonValue:
    """Convert a value of the script to a JSON value; raises UnsupportedValueError if that is impossible."""
    if value is None or isinstance(value, str | bool | int | float):
        return value
    if isinstance(value, list | tuple):
        return [to_json_value(element) for element in value]
    if isinstance(value, dict) and all(isinstance(key, str) for key in value):
        return {key: to_json_value(element) for key, element in value.items()}
    raise UnsupportedValueError


class CallRecorder:
    """Records the section calls of a script, in the order in which the script makes them."""

    def __init__(self) -> None:
        self.calls: list[dict[str, Any]] = []

    def function(self, site: CallSite) -> Callable[..., None]:
        """Return the function that the script calls at a call site."""

        def call_section(*positional: object, **fields: object) -> None:
            if positional:
                reason = f"fields are given by name, {site.section}(field = value)"
                raise CallError(site.line, site.section, reason)
            if len(self.calls) >= MAX_CALLS:
                raise CallError(site.line, site.section, f"more than {MAX_CALLS} sections")
            try:
                values = {name: to_json_value(value) for name, value in fields.items()}
            except UnsupportedValueError as error:
                raise CallError(site.line, site.section, str(error)) from None
            call = {"section": site.section, "fields": values, "line": site.line, "lines": site.field_lines}
            self.calls.append(call)

        return call_section


def limit_resources(cpu_seconds: int) -> None:
    """Limit the processor time and memory of this process; call before Starlark is loaded."""
    resource.setrlimit(resource.RLIMIT_CPU, (cpu_seconds, cpu_seconds + 1))
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY_BYTES, MEMORY_BYTES))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


def parse_starlark_error(error_text: str, sections: Sequence[str]) -> dict[str, Any]:
    """Return the line and the reason of a Starlark error, with original section names."""
    names = "|".join(map(re.escape, sections))
    text = re.sub(rf"\b({names})__\d+", r"\1", error_text)
    if call_error := CALL_ERROR.search(text):
        return {"line": int(call_error.group(1)), "why": call_error.group(2)}
    positions = STARLARK_POSITION.findall(text)
    errors = STARLARK_ERROR.findall(text) or [text.strip().split("\n")[0]]
    return {"line": int(positions[-1]) if positions else 0, "why": errors[0]}


def evaluate(text: str, file_name: str, sections: Sequence[str]) -> dict[str, Any]:
    """Evaluate a script and return the JSON object that this program prints."""
    import starlark  # Imported here because the limits of this process must already apply.

    recorder = CallRecorder()
    module = starlark.Module()
    # The original section names are defined too, for calls that `name_call_sites` does not find.
    for section in sections:
        module.add_callable(section, recorder.function(CallSite(section)))
    text, sites = name_call_sites(text, sections)
    for number, site in enumerate(sites):
        module.add_callable(call_site_name(site.section, number), recorder.function(site))
    try:
        tree = starlark.parse(file_name, text, starlark.Dialect.standard())
        options = starlark.EvalOptions(max_callstack_size=MAX_CALL_DEPTH)
        starlark.eval_with(options, module, tree, starlark.Globals.standard())
    except starlark.StarlarkError as error:
        return parse_starlark_error(str(error), sections)
    return {"calls": recorder.calls}


def main() -> None:
    """Read the request, evaluate its script and print the result."""
    request = json.load(sys.stdin)
    limit_resources(max(1, int(request["seconds"])))
    print(json.dumps(evaluate(request["text"], request["file"], request["sections"])))


if __name__ == "__main__":
    main()
