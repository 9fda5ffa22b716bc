"""Makes a copy of a site's file with changes of our own, to play another tenant's days.

    python -m benchmarks.variant SITE CHANGES [--to FOLDER]

CHANGES is a TOML file: `name`, the new site's, and a table `changes` from a path to its new value. A path is
keys joined by slashes; an item of a list goes by its `name`:

    [changes]
    "rules/drain_grace_ms" = 900
    "class/some-read/name" = "reads"

A path that the site does not have, or a value of another type than the site's, is refused: one line with file
and field, status 2. The copy is written to FOLDER/NAME, with the site's neighbours real.json, wire.json and
unlock.txt beside it; without --to FOLDER is deploy/sites/made, which git ignores. The site itself is never
written.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w
import typer

from benchmarks.harness import ROOT
from gatebank.errors import GatebankError

DEFAULT_FOLDER = ROOT / "deploy" / "sites" / "made"
NEIGHBOURS = ("real.json", "wire.json", "unlock.txt")


NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-")
ALLOWED_FIELDS = {"name", "changes"}


class VariantError(GatebankError):
    """The copy cannot be made.

    Attributes:
        path: The file that is wrong or missing.
        reason: Why, with the field if there is one.
    """

    def __init__(self, path: Path, reason: object) -> None:
        """Keep the facts and make the text from them."""
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")


def read_toml(path: Path) -> dict[str, Any]:
    """Return what a TOML file holds.

    Raises:
        VariantError: It cannot be read.
    """
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise VariantError(path, error.strerror) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise VariantError(path, f"no TOML: {error}") from error


def type_name(value: object) -> str:
    """Return what people call the type of a value."""
    match value:
        case bool():
            return "true or false"
        case int() | float():
            return "a number"
        case str():
            return "a text"
        case list() if value and all(type_name(item) == type_name(value[0]) for item in value):
            return f"a list of {type_name(value[0])}"
    return type(value).__name__


def allowed_types(value: object) -> set[str]:
    """Return what may replace a value: a site's fields hold one value, or a list to draw from."""
    single = type_name(value).removeprefix("a list of ")
    return {single, f"a list of {single}"}


def child(parent: object, key: str) -> object:
    """Return what a table has at a key, or a list at a name.

    Raises:
        KeyError: There is nothing.
    """
    if isinstance(parent, list):
        for item in parent:
            if isinstance(item, dict) and item.get("name") == key:
                return item
    elif isinstance(parent, dict):
        return parent[key]
    raise KeyError(key)


def check_changes(changes: dict[str, Any], source: Path) -> None:
    """Raise VariantError unless the file has a name, a table of changes, and nothing else."""
    name = changes.get("name")
    if not isinstance(name, str) or not name or set(name) - NAME_CHARACTERS:
        raise VariantError(source, f"name: {name!r} is no name of small letters, digits and dashes")
    if not isinstance(changes.get("changes"), dict):
        raise VariantError(source, "changes: missing, or no table")
    if unknown := sorted(changes.keys() - ALLOWED_FIELDS):
        raise VariantError(source, f"{unknown[0]}: no such field; name and changes are allowed")


def apply_change(site: dict[str, Any], path: str, value: object, source: Path) -> None:
    """Change the value at a path of the site, in place.

    Raises:
        VariantError: The site has no such path, or a value of another type there.
    """
    *parents, last = path.split("/")
    place: Any = site  # a table, a list or a value, as the path goes on
    try:
        for key in parents:
            place = child(place, key)
        old_value = child(place, last)
    except KeyError as error:
        raise VariantError(source, f"{path}: the site has no {error.args[0]!r} there") from None
    if type_name(value) not in allowed_types(old_value):
        wanted = " or ".join(sorted(allowed_types(old_value)))
        raise VariantError(source, f"{path}: {value!r} is {type_name(value)}; the site has {wanted}")
    place[last] = value


def changed_site(site: dict[str, Any], changes: dict[str, Any], source: Path) -> dict[str, Any]:
    """Return the site with its changes; the site that is given is changed too.

    Args:
        site: What the site's file holds.
        changes: What the file of changes holds.
        source: That file, for errors.

    Raises:
        VariantError: The changes do not fit the site.

    >>> site = {"name": "a", "rules": {"grace": 5}, "class": [{"name": "x", "worth": 1}]}
    >>> changes = {"name": "b", "changes": {"class/x/name": "y", "class/x/worth": [1, 2], "rules/grace": 7}}
    >>> changed_site(site, changes, Path("changes.toml"))
    {'name': 'b', 'rules': {'grace': 7}, 'class': [{'name': 'y', 'worth': [1, 2]}]}
    """
    check_changes(changes, source)
    # New names last: until then an item goes by its old one.
    for path, value in sorted(changes["changes"].items(), key=lambda change: change[0].endswith("/name")):
        apply_change(site, path, value, source)
    return site | {"name": changes["name"]}


def write_variant(site: Path, changes: Path, folder: Path) -> Path:
    """Write the changed copy of a site and its neighbours, and return the copy's path.

    Raises:
        VariantError: A file is missing, or the changes do not fit; nothing was written.
    """
    given = read_toml(changes)
    copy = changed_site(read_toml(site), given, changes)
    for neighbour in NEIGHBOURS:
        if not (site.parent / neighbour).is_file():
            raise VariantError(site.parent / neighbour, "missing beside the site")
    name: str = given["name"]
    target = folder / name
    target.mkdir(parents=True, exist_ok=True)
    for neighbour in NEIGHBOURS:
        shutil.copyfile(site.parent / neighbour, target / neighbour)
    path = target / f"{name}.toml"
    path.write_text(tomli_w.dumps(copy))
    return path


def main(site: Path, changes: Path, to: Path = DEFAULT_FOLDER) -> None:
    """Write a copy of SITE with CHANGES, and print its path."""
    try:
        print(write_variant(site, changes, to))
    except VariantError as error:
        print(f"variant: {error}".replace("\n", " "), file=sys.stderr)
        raise typer.Exit(2) from None


if __name__ == "__main__":
    typer.run(main)
