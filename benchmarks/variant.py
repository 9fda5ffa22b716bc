"""Makes a changed copy of a site's file, to test with a different site.

    python -m benchmarks.variant SITE CHANGES [--to FOLDER]

CHANGES is a TOML file with `name`, the name of the new site, and a table `changes` that gives new values by
path. A path consists of keys joined by slashes; an item of a list is identified by its `name`:

    [changes]
    "rules/drain_grace_ms" = 900
    "class/some-read/name" = "reads"

A path that the site does not have, or a value of another type than the site's, is an error: the program
prints one line with file and field, and exits with status 2. The copy is written to FOLDER/NAME, together
with copies of real.json, wire.json and unlock.txt from the site's folder. FOLDER is deploy/sites/made by
default, which git ignores. The site's own file is never changed.
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
COPIED_FILES = ("real.json", "wire.json", "unlock.txt")


NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-")
ALLOWED_FIELDS = {"name", "changes"}


class VariantError(GatebankError):
    """The copy cannot be made.

    Attributes:
        path: The file that is invalid or missing.
        reason: The reason, with the field if there is one.
    """

    def __init__(self, path: Path, reason: object) -> None:
        """Store the path and the reason, and build the message from them."""
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")


def read_toml(path: Path) -> dict[str, Any]:
    """Return the content of a TOML file.

    Raises:
        VariantError: The file cannot be read or is not valid TOML.
    """
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise VariantError(path, error.strerror) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise VariantError(path, f"no TOML: {error}") from error


def type_name(value: object) -> str:
    """Return a readable name of a value's type."""
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
    """Return the types that may replace a value: a site's fields hold one value, or a list to draw from."""
    single = type_name(value).removeprefix("a list of ")
    return {single, f"a list of {single}"}


def child(parent: object, key: str) -> object:
    """Return the value of a table at a key, or the item of a list with a name.

    Raises:
        KeyError: There is no such value.
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
        VariantError: The site has no such path, or has a value of another type there.
    """
    *parents, last = path.split("/")
    parent: Any = site  # Table, list or value that the path has reached so far.
    try:
        for key in parents:
            parent = child(parent, key)
        old_value = child(parent, last)
    except KeyError as error:
        raise VariantError(source, f"{path}: the site has no {error.args[0]!r} there") from None
    if type_name(value) not in allowed_types(old_value):
        expected = " or ".join(sorted(allowed_types(old_value)))
        raise VariantError(source, f"{path}: {value!r} is {type_name(value)}; the site has {expected}")
    parent[last] = value


def changed_site(site: dict[str, Any], changes: dict[str, Any], source: Path) -> dict[str, Any]:
    """Return the site with the changes applied; ``site`` itself is modified too.

    Args:
        site: Content of the site's file.
        changes: Content of the file of changes.
        source: Path of the file of changes, for error messages.

    Raises:
        VariantError: The changes do not fit the site.

    >>> site = {"name": "a", "rules": {"grace": 5}, "class": [{"name": "x", "worth": 1}]}
    >>> changes = {"name": "b", "changes": {"class/x/name": "y", "class/x/worth": [1, 2], "rules/grace": 7}}
    >>> changed_site(site, changes, Path("changes.toml"))
    {'name': 'b', 'rules': {'grace': 7}, 'class': [{'name': 'y', 'worth': [1, 2]}]}
    """
    check_changes(changes, source)
    # Names are changed last, because paths identify items by their old names.
    for path, value in sorted(changes["changes"].items(), key=lambda change: change[0].endswith("/name")):
        apply_change(site, path, value, source)
    return site | {"name": changes["name"]}


def write_variant(site: Path, changes: Path, folder: Path) -> Path:
    """Write the changed copy of a site and the files that belong to it, and return the copy's path.

    Raises:
        VariantError: A file is missing, or the changes do not fit the site; nothing has been written.
    """
    changes_content = read_toml(changes)
    copy = changed_site(read_toml(site), changes_content, changes)
    for file_name in COPIED_FILES:
        if not (site.parent / file_name).is_file():
            raise VariantError(site.parent / file_name, "missing beside the site")
    name: str = changes_content["name"]
    target = folder / name
    target.mkdir(parents=True, exist_ok=True)
    for file_name in COPIED_FILES:
        shutil.copyfile(site.parent / file_name, target / file_name)
    path = target / f"{name}.toml"
    path.write_text(tomli_w.dumps(copy))
    return path


def main(site: Path, changes: Path, to: Path = DEFAULT_FOLDER) -> None:
    """Write a copy of SITE with CHANGES applied, and print the copy's path."""
    try:
        print(write_variant(site, changes, to))
    except VariantError as error:
        print(f"variant: {error}".replace("\n", " "), file=sys.stderr)
        raise typer.Exit(2) from None


if __name__ == "__main__":
    typer.run(main)
