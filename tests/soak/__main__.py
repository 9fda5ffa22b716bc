"""Command line of the soak; ``python -m tests.soak --seeds 50`` plays 50 seeds, each in its own process."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from tests.soak.play import play
from tests.soak.report import Result, summary
from tests.soak.schedule import LOAD_S, draw_schedule

PLAY_TIMEOUT_S = 180.0  # Time limit of one play, including all its waits.


def play_in_process(seed: int, load_seconds: float, folder: Path) -> Result:
    """Play a seed in this process."""
    return uvloop.run(play(draw_schedule(seed, load_seconds), folder))


def play_in_subprocess(seed: int, load_seconds: float, folder: Path) -> Result:
    """Play a seed in a separate process, so that concurrent plays do not delay each other."""
    command = [sys.executable, "-m", "tests.soak", "--seed", str(seed), "--load", str(load_seconds)]
    command += ["--traces", str(folder), "--as-json"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S, check=False)
    try:
        return Result.from_json(done.stdout.splitlines()[-1])
    except (IndexError, ValueError):
        raise RuntimeError(f"seed {seed} gave no result:\n{done.stderr}") from None


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds to play.")] = 0,
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    jobs: Annotated[int, typer.Option(help="Number of concurrent plays.")] = 1,
    seed: Annotated[int | None, typer.Option(help="Play only this seed.")] = None,
    show: Annotated[bool, typer.Option("--show", help="Print the schedules without playing them.")] = False,
    load: Annotated[float, typer.Option(help="Duration of the load in seconds.")] = LOAD_S,
    traces: Annotated[Path | None, typer.Option(help="Folder for the traces of failed seeds.")] = None,
    as_json: Annotated[bool, typer.Option("--as-json", hidden=True)] = False,
) -> None:
    """Play seeds; the exit status is 1 if a rule was broken."""
    numbers = [seed] if seed is not None else list(range(first, first + seeds))
    if show:
        for number in numbers:
            print(draw_schedule(number, load))
        return
    folder = traces or Path(tempfile.mkdtemp(prefix="gatebank-soak-"))
    if seed is not None:
        result = play_in_process(seed, load, folder / f"seed-{seed}" if not as_json else folder)
        results = [result]
        print(result.to_json() if as_json else result, flush=True)
        if not as_json:
            print("\n".join([*result.breaks, result.problem]))
    else:
        results = []
        with ThreadPoolExecutor(jobs) as pool:
            played = pool.map(
                lambda number: play_in_subprocess(number, load, folder / f"seed-{number}"), numbers
            )
            for result in played:
                results.append(result)
                print(result, flush=True)
        print(summary(results))
    if not all(result.is_clean for result in results):
        print(f"traces: {folder}", file=sys.stderr)
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
