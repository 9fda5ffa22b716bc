"""`python -m benchmarks.variant` on a made-up site: the copy, and what it refuses, each in one line."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

from tests.support.socket_scenarios import ROOT

SITE = """
name = "shop"
[rules]
grace_ms = 2000
strict = true
[[class]]
name = "browse"
worth = 1
share = [0.2, 0.4]
[[class]]
name = "buy"
worth = 5
"""


CHANGES = """
name = "market"
[changes]
"rules/grace_ms" = 700
"class/browse/share" = 0.9
"class/browse/name" = "buy.2"
"class/buy/name" = "browse"
"class/buy/worth" = [3, 9]
"""


class Folder:
    def __init__(self, site: str | None = SITE, missing: str = "") -> None:
        self.held = tempfile.TemporaryDirectory()
        self.path = Path(self.held.name)
        for name in {"real.json", "wire.json", "unlock.txt"} - {missing}:
            (self.path / name).write_text(f"of {name}")
        if site is not None:
            (self.path / "shop.toml").write_text(site)

    def make(self, changes: str) -> tuple[int, str, str]:
        (self.path / "told.toml").write_text(changes)
        words = (str(self.path / "shop.toml"), str(self.path / "told.toml"), "--to", str(self.path / "made"))
        command = [sys.executable, "-m", "benchmarks.variant", *words]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
        return done.returncode, done.stdout, done.stderr


def test_variant_copies_the_site_with_its_changes() -> None:
    """Copied."""
    folder = Folder()
    status, out, err = folder.make(CHANGES)
    assert status == 0, err
    made = Path(out.strip())
    found = tomllib.loads(made.read_text())
    assert found == {
        "name": "market",
        "rules": {"grace_ms": 700, "strict": True},
        "class": [
            {"name": "buy.2", "worth": 1, "share": 0.9},
            {"name": "browse", "worth": [3, 9]},
        ],
    }, found
    assert all((made.parent / each).read_text() == f"of {each}" for each in ("real.json", "unlock.txt"))
    assert (folder.path / "shop.toml").read_text() == SITE


def test_variant_refuses_in_one_line() -> None:
    """Refused."""
    head = 'name = "market"\n[changes]\n'
    for site, missing, changes, *told in (
        (SITE, "", head + '"rules/gracious" = 1', "told.toml", "rules/gracious", "no 'gracious'"),
        (SITE, "", head + '"class/sell/worth" = 1', "class/sell/worth", "no 'sell'"),
        (SITE, "", head + '"rules/grace_ms" = "long"', "told.toml", "rules/grace_ms", "'long' is a text"),
        (SITE, "", head + '"rules/grace_ms" = true', "rules/grace_ms", "a number"),
        (SITE, "", head + '"rules/strict" = 1', "rules/strict", "true or false"),
        (SITE, "", head + '"class/browse/share" = [1, "x"]', "class/browse/share"),
        (SITE, "", 'name = "A b"\n[changes]\n', "told.toml", "name", "'A b'"),
        (SITE, "", 'name = "market"\n', "changes", "missing"),
        (SITE, "", 'name = "market"\nodd = 1\n[changes]\n', "odd", "no such field"),
        (SITE, "", "name = ", "told.toml", "no TOML"),
        ("name = ", "", CHANGES, "shop.toml", "no TOML"),
        (None, "", CHANGES, "shop.toml", "No such file"),
        (SITE, "wire.json", CHANGES, "wire.json", "missing"),
    ):
        folder = Folder(site, missing)
        status, out, err = folder.make(changes)
        assert status == 2 and not out and err.count("\n") == 1, (changes, status, err)
        assert all(each in err for each in told), (told, err)
        assert not (folder.path / "made").exists(), changes
