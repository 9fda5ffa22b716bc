"""Evaluates one script; run by `script.py` as a program of its own, with nothing of gatebank imported.

Standard input: a JSON object of `text`, `file`, `sections` and `seconds`. Standard output: a JSON object of
`calls` (section, fields, lines), or of `line` and `why`. Starlark has no files, clock or network; what it
may still do without bound, run and take memory, ends here with this process.
"""

from __future__ import annotations

import ast
import json
import re
import resource
import sys
from typing import Any

MEMORY = 512 * 1024 * 1024  # bytes of address space: an empty process with Starlark maps about 150 MB
DEPTH = 64  # calls in one another; a settings file needs a few
MOST_CALLS = 10_000


class Refused(Exception):
    pass


def sites(text: str, names: list[str]) -> tuple[str, list[dict[str, Any]]]:
    """The script with each call of a section under a name of its own, so that the call can be told.
    Starlark's grammar is nearly Python's; where it is not, lines are just not known."""
    try:
        tree = ast.parse(text)
    except (SyntaxError, ValueError, RecursionError):
        return text, []
    found = [
        node
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id in names
    ]
    lines = [line.encode() for line in text.split("\n")]
    told = []
    found.sort(key=lambda node: (node.func.lineno, node.func.col_offset), reverse=True)  # the last first
    for number, node in enumerate(found):
        name, at, row = node.func.id, node.func.col_offset, node.func.lineno - 1
        line = lines[row]
        if line[at : at + len(name)] != name.encode():
            return text, []
        lines[row] = line[:at] + f"{name}__{number}".encode() + line[at + len(name) :]
        fields = {each.arg: each.value.lineno for each in node.keywords if each.arg}
        told.append({"name": name, "line": node.lineno, "lines": fields})
    return b"\n".join(lines).decode(), told


def plain(value: Any) -> Any:
    if value is None or isinstance(value, str | bool | int | float):
        return value
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    if isinstance(value, dict) and all(isinstance(key, str) for key in value):
        return {key: plain(each) for key, each in value.items()}
    raise Refused("only numbers, strings, True, False, None, lists and dicts of these can be told")


def main() -> None:
    asked = json.load(sys.stdin)
    seconds = max(1, int(asked["seconds"]))
    resource.setrlimit(resource.RLIMIT_CPU, (seconds, seconds + 1))
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY, MEMORY))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    import starlark

    text, told = sites(asked["text"], asked["sections"])
    calls: list[dict[str, Any]] = []
    module = starlark.Module()

    def door(name: str, site: dict[str, Any]) -> Any:
        def called(*words: Any, **fields: Any) -> None:
            line = site["line"]
            if words:
                raise Refused(f"gatebank:{line}:{name}: fields are given by name, {name}(field = value)")
            if len(calls) >= MOST_CALLS:
                raise Refused(f"gatebank:{line}:{name}: more than {MOST_CALLS} sections")
            try:
                kept = {field: plain(value) for field, value in fields.items()}
            except Refused as trouble:
                raise Refused(f"gatebank:{line}:{name}: {trouble}") from None
            calls.append({"section": name, "fields": kept, "line": line, "lines": site["lines"]})

        return called

    for name in asked["sections"]:
        module.add_callable(name, door(name, {"line": 0, "lines": {}}))
    for number, site in enumerate(told):
        module.add_callable(f"{site['name']}__{number}", door(site["name"], site))
    try:
        tree = starlark.parse(asked["file"], text, starlark.Dialect.standard())
        options = starlark.EvalOptions(max_callstack_size=DEPTH)
        starlark.eval_with(options, module, tree, starlark.Globals.standard())
    except starlark.StarlarkError as trouble:
        said = re.sub(r"\b(" + "|".join(map(re.escape, asked["sections"])) + r")__\d+", r"\1", str(trouble))
        ours = re.search(r"gatebank:(\d+):(.*)", said)
        place = re.findall(r"--> .*?:(\d+):\d+", said)
        errors = re.findall(r"^error: (.*)$", said, re.MULTILINE)
        why = ours.group(2) if ours else (errors or [said.strip().split("\n")[0]])[0]
        line = int(ours.group(1)) if ours else int(place[-1]) if place else 0
        print(json.dumps({"line": line, "why": why}))
        return
    print(json.dumps({"calls": calls}))


if __name__ == "__main__":
    main()
