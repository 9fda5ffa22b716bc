"""Evaluates one script; `script.py` runs this file as a program that imports nothing of gatebank.

Standard input is a JSON object of `text`, `file`, `sections` (names) and `seconds` (of processor time).
Standard output is a JSON object of `calls` (each with section, fields, line and lines of fields), or of the
`line` and the reason (`why`) of an error. Starlark has no files, clock or network; what a script can still do
without limit, run and take memory, ends with this process.
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

MEMORY_BYTES = 512 * 1024 * 1024  # of address space: an empty process with Starlark maps about 150 MB
MAX_CALL_DEPTH = 64  # calls in one another; a settings file needs a few
MAX_CALLS = 10_000  # of sections
CALL_ERROR = re.compile(r"gatebank:(\d+):(.*)")  # a `CallError` in the text of a Starlark error
STARLARK_POSITION = re.compile(r"--> .*?:(\d+):\d+")
STARLARK_ERROR = re.compile(r"^error: (.*)$", re.MULTILINE)

JsonValue = str | bool | int | float | None | list["JsonValue"] | dict[str, "JsonValue"]


class UnsupportedValueError(Exception):
    """A field has a value that JSON can't hold, as a function."""

    def __str__(self) -> str:
        return "only numbers, strings, True, False, None, lists and dicts of these can be told"


class CallError(Exception):
    """A call of a section is wrong; Starlark reports only its text, from which `explain` reads the line."""

    def __init__(self, line: int, section: str, reason: str) -> None:
        super().__init__(line, section, reason)
        self.line = line
        self.section = section
        self.reason = reason

    def __str__(self) -> str:
        return f"gatebank:{self.line}:{self.section}: {self.reason}"


@dataclass(frozen=True)
class CallSite:
    """Where the script calls a section; the line is 0 if that is not known."""

    section: str
    line: int = 0
    field_lines: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class SectionNamePosition:
    """The place of a called name in the script, lines from 1 and columns in bytes."""

    call: ast.Call
    section: str
    line: int
    column: int


def find_section_names(text: str, sections: Sequence[str]) -> list[SectionNamePosition]:
    """Returns where sections are called, the last first; raises what `ast.parse` raises."""
    names = [
        SectionNamePosition(node, node.func.id, node.func.lineno, node.func.col_offset)
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id in sections
    ]
    return sorted(names, key=lambda name: (name.line, name.column), reverse=True)


def name_call_sites(text: str, sections: Sequence[str]) -> tuple[str, list[CallSite]]:
    """Gives each call of a section a name of its own, `section__number`, by which its line is known.

    Starlark's grammar is nearly Python's; where it is not, the lines of calls are just not known.

    Returns:
        The changed script and its call sites by number; the script as it was and none if they are not known.
    """
    try:
        names = find_section_names(text, sections)
    except (SyntaxError, ValueError, RecursionError):
        return text, []
    lines = [line.encode() for line in text.split("\n")]
    sites: list[CallSite] = []
    # From the last to the first, so that the columns of the others stay right.
    for number, name in enumerate(names):
        line = lines[name.line - 1]
        end = name.column + len(name.section)
        if line[name.column : end] != name.section.encode():
            return text, []
        lines[name.line - 1] = (
            line[: name.column] + call_site_name(name.section, number).encode() + line[end:]
        )
        field_lines = {each.arg: each.value.lineno for each in name.call.keywords if each.arg}
        sites.append(CallSite(name.section, name.call.lineno, field_lines))
    return b"\n".join(lines).decode(), sites


def call_site_name(section: str, number: int) -> str:
    """Returns the name of one call site."""
    return f"{section}__{number}"


def to_json_value(value: object) -> JsonValue:
    """Returns a value of the script as JSON can hold it; raises PlainValueError if it can't."""
    if value is None or isinstance(value, str | bool | int | float):
        return value
    if isinstance(value, list | tuple):
        return [to_json_value(each) for each in value]
    if isinstance(value, dict) and all(isinstance(key, str) for key in value):
        return {key: to_json_value(each) for key, each in value.items()}
    raise UnsupportedValueError


class CallRecorder:
    """Notes the calls of sections as the script makes them."""

    def __init__(self) -> None:
        self.calls: list[dict[str, Any]] = []

    def function(self, site: CallSite) -> Callable[..., None]:
        """Returns the function that the script calls at a call site."""

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
    """Limits this process, before Starlark is loaded."""
    resource.setrlimit(resource.RLIMIT_CPU, (cpu_seconds, cpu_seconds + 1))
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY_BYTES, MEMORY_BYTES))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


def parse_starlark_error(error_text: str, sections: Sequence[str]) -> dict[str, Any]:
    """Returns line and reason of a Starlark error, without the numbers of call sites."""
    names = "|".join(map(re.escape, sections))
    text = re.sub(rf"\b({names})__\d+", r"\1", error_text)
    if call_error := CALL_ERROR.search(text):
        return {"line": int(call_error.group(1)), "why": call_error.group(2)}
    places = STARLARK_POSITION.findall(text)
    errors = STARLARK_ERROR.findall(text) or [text.strip().split("\n")[0]]
    return {"line": int(places[-1]) if places else 0, "why": errors[0]}


def evaluate(text: str, file_name: str, sections: Sequence[str]) -> dict[str, Any]:
    """Returns what this program prints of a script."""
    import starlark  # behind the limits of this process

    recorder = CallRecorder()
    module = starlark.Module()
    # Under its own name a section is known too, for calls that `name_call_sites` does not find.
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
    """Reads the request, evaluates its script and prints the result."""
    request = json.load(sys.stdin)
    limit_resources(max(1, int(request["seconds"])))
    print(json.dumps(evaluate(request["text"], request["file"], request["sections"])))


if __name__ == "__main__":
    main()
