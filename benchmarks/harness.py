"""What measurements share: taking turns, medians with their spread, and another revision's text."""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

ROOT = Path(__file__).parents[1]
BASE_REVISION = "4d4d345"  # the text before everything was renamed

Variant = TypeVar("Variant")
Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Spread:
    """The median of some measurements, the smallest and the largest of them.

    >>> f"{Spread.of([3.0, 1.0, 2.0]):.1f}"
    '2.0 (1.0 to 3.0)'
    """

    median: float
    smallest: float
    largest: float

    @classmethod
    def of(cls, values: Iterable[float]) -> Spread:
        """Return the spread of at least one value."""
        found = list(values)
        return cls(statistics.median(found), min(found), max(found))

    @classmethod
    def of_ratios(cls, values: Sequence[float], base: Sequence[float]) -> Spread:
        """Return the spread of ratios between measurements of the same rounds."""
        return cls.of(value / other for value, other in zip(values, base, strict=True))

    def __format__(self, form: str) -> str:
        """Format the three numbers with ``form``."""
        return f"{self.median:{form}} ({self.smallest:{form}} to {self.largest:{form}})"


def interleave(variants: Sequence[Variant], rounds: int) -> Iterator[Variant]:
    """Yield each variant once a round, every other round in the opposite order: drift meets all alike.

    >>> "".join(interleave("abc", 3))
    'cbaabccba'
    """
    for number in range(rounds):
        yield from variants if number % 2 else reversed(variants)


def check_out(revision: str, folder: Path) -> None:
    """Put the text of another revision into an empty folder, with this checkout's virtual environment."""
    archive = subprocess.run(["git", "archive", revision], cwd=ROOT, capture_output=True, check=True)
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    (folder / ".venv").symlink_to(ROOT / ".venv")


@contextmanager
def other_revision(revision: str) -> Iterator[Path]:
    """The text of another revision, in a temporary folder while the body runs."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        check_out(revision, folder)
        yield folder


def run_json(result: type[Result], *words: str, root: Path = ROOT, stdin: object = None) -> Result:
    """Run Python with these words in a process of its own, and return the JSON that it prints.

    Args:
        result: The type that the JSON must have.
        *words: What follows ``python`` on the command line.
        root: The text whose ``gatebank`` is imported.
        stdin: Sent to the process as JSON.

    Raises:
        subprocess.CalledProcessError: The process failed; its messages went to standard error.
        TypeError: It printed something else.
    """
    # -P: the folder of a script that is run by its path must not come before the text in the search path.
    command = [sys.executable, "-P", *words]
    environment = os.environ | {"PYTHONPATH": str(root)}
    given = json.dumps(stdin).encode()
    done = subprocess.run(command, cwd=root, env=environment, input=given, stdout=subprocess.PIPE, check=True)
    found = json.loads(done.stdout)
    if not isinstance(found, result):
        raise TypeError(f"{words}: {found!r} is no {result.__name__}")
    return found
