"""A site's file with changes of our own, to play another customer's days.

    python -m benchmarks.variant SITE CHANGES [--to FOLDER]

CHANGES is a TOML file: `name`, the new site's, and a table `changes` from a place to its new value. A place
is a path of keys with slashes; an item of a list is named by its `name`:

    [changes]
    "rules/drain_grace_ms" = 900
    "class/some-read/name" = "reads"

What the site has no field for, or a value of another form than the site's, is refused: one line with file and
field, status 2. The copy lands in FOLDER/NAME (deploy/sites/made without --to, which git passes over), with
the site's neighbours real.json, wire.json and unlock.txt beside it. The site itself is never written.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w
import typer

MADE = Path(__file__).parents[1] / "deploy" / "sites" / "made"
NEIGHBOURS = ("real.json", "wire.json", "unlock.txt")


class Unfit(Exception):
    """The copy can't be made; the text says why, with file and field."""


def read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except OSError as trouble:
        raise Unfit(f"{path}: {trouble.strerror}") from trouble
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as trouble:
        raise Unfit(f"{path}: no TOML: {trouble}") from trouble


def form(value: Any) -> str:
    match value:
        case bool():
            return "true or false"
        case int() | float():
            return "a number"
        case str():
            return "a text"
        case list() if value and all(form(each) == form(value[0]) for each in value):
            return f"a list of {form(value[0])}"
    return type(value).__name__


def forms(value: Any) -> set[str]:
    """What may stand in its place: the site's fields hold one value, or a list to draw from."""
    one = form(value).removeprefix("a list of ")
    return {one, f"a list of {one}"}


def step(place: Any, key: str) -> Any:
    """One step down; KeyError where there is none."""
    if isinstance(place, list):
        for each in place:
            if isinstance(each, dict) and each.get("name") == key:
                return each
        raise KeyError(key)
    if not isinstance(place, dict):
        raise KeyError(key)
    return place[key]


def changed(site: dict[str, Any], changes: dict[str, Any], where: Path) -> dict[str, Any]:
    """
    >>> site = {"name": "a", "rules": {"grace": 5}, "class": [{"name": "x", "worth": 1}]}
    >>> told = {"name": "b", "changes": {"class/x/name": "y", "class/x/worth": [1, 2], "rules/grace": 7}}
    >>> changed(site, told, Path("told.toml"))
    {'name': 'b', 'rules': {'grace': 7}, 'class': [{'name': 'y', 'worth': [1, 2]}]}
    """
    name, table = changes.get("name"), changes.get("changes")
    if not isinstance(name, str) or not name or set(name) - set("abcdefghijklmnopqrstuvwxyz0123456789-"):
        raise Unfit(f"{where}: name: {name!r} is no name of small letters, digits and dashes")
    if not isinstance(table, dict):
        raise Unfit(f"{where}: changes: missing, or no table")
    if unknown := sorted(changes.keys() - {"name", "changes"}):
        raise Unfit(f"{where}: {unknown[0]}: no such field; name and changes are allowed")
    # New names last: until then an item goes by its old one.
    for path, value in sorted(table.items(), key=lambda each: each[0].endswith("/name")):
        *way, last = path.split("/")
        place: Any = site
        try:
            for key in way:
                place = step(place, key)
            was = step(place, last)
        except KeyError as trouble:
            raise Unfit(f"{where}: {path}: the site has no {trouble.args[0]!r} there") from None
        if form(value) not in forms(was):
            wanted = " or ".join(sorted(forms(was)))
            raise Unfit(f"{where}: {path}: {value!r} is {form(value)}; the site has {wanted}")
        place[last] = value
    return site | {"name": name}


def make(site: Path, changes: Path, to: Path) -> Path:
    told = read(changes)
    found = changed(read(site), told, changes)
    for each in NEIGHBOURS:
        if not (site.parent / each).is_file():
            raise Unfit(f"{site.parent / each}: missing beside the site")
    folder = to / told["name"]
    folder.mkdir(parents=True, exist_ok=True)
    for each in NEIGHBOURS:
        shutil.copyfile(site.parent / each, folder / each)
    path = folder / f"{told['name']}.toml"
    path.write_text(tomli_w.dumps(found))
    return path


def main(site: Path, changes: Path, to: Path = MADE) -> None:
    try:
        print(make(site, changes, to))
    except Unfit as trouble:
        print(f"variant: {trouble}".replace("\n", " "), file=sys.stderr)
        raise typer.Exit(2) from None


if __name__ == "__main__":
    typer.run(main)
