"""Helpers for benchmarks: interleaved rounds, medians with their spread, and checkouts of other revisions."""

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
BASE_REVISION = "4d4d345"  # The last revision before the renaming of the whole source.

Variant = TypeVar("Variant")
Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Spread:
    """The median, the smallest and the largest of several measurements.

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
        """Return the spread of the ratios of values and base values from the same rounds."""
        return cls.of(value / other for value, other in zip(values, base, strict=True))

    def __format__(self, form: str) -> str:
        """Format the three numbers with the format ``form``."""
        return f"{self.median:{form}} ({self.smallest:{form}} to {self.largest:{form}})"


def interleave(variants: Sequence[Variant], rounds: int) -> Iterator[Variant]:
    """Yield each variant once a round, with the order reversed every other round.

    A drift of the machine's speed thus affects all variants alike.

    >>> "".join(interleave("abc", 3))
    'cbaabccba'
    """
    for number in range(rounds):
        yield from variants if number % 2 else reversed(variants)


def processor_seconds(process: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def check_out(revision: str, folder: Path) -> None:
    """Extract another revision into an empty folder, with a link to this checkout's virtual environment."""
    archive = subprocess.run(["git", "archive", revision], cwd=ROOT, capture_output=True, check=True)
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    (folder / ".venv").symlink_to(ROOT / ".venv")


@contextmanager
def other_revision(revision: str) -> Iterator[Path]:
    """Provide another revision's source in a temporary folder for the duration of the context."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        check_out(revision, folder)
        yield folder


def run_json(result: type[Result], *arguments: str, root: Path = ROOT, stdin: object = None) -> Result:
    """Run Python with these arguments in a separate process, and return the JSON that it prints.

    Args:
        result: The type that the JSON must have.
        *arguments: The command-line arguments after ``python``.
        root: Root of the source tree from which ``gatebank`` is imported.
        stdin: Value that is sent to the process as JSON.

    Raises:
        subprocess.CalledProcessError: The process failed; its messages went to standard error.
        TypeError: The process printed JSON of another type.
    """
    # -P keeps the folder of a script that is run by its path out of the search path, where it would take
    # precedence over the source tree.
    command = [sys.executable, "-P", *arguments]
    environment = os.environ | {"PYTHONPATH": str(root)}
    stdin_data = json.dumps(stdin).encode()
    done = subprocess.run(
        command, cwd=root, env=environment, input=stdin_data, stdout=subprocess.PIPE, check=True
    )
    found = json.loads(done.stdout)
    if not isinstance(found, result):
        raise TypeError(f"{arguments}: {found!r} is no {result.__name__}")
    return found
