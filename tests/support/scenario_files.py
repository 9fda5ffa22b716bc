"""Collects `*.scenarios` files: one test item a scenario, named by its title.

A file is a row of scenarios, each begun by `== TITLE`. sockets.scenarios is played by `stand`,
captures.scenarios by `capture_scenarios`, every other file by `policy_scenarios`; their notations stand in
these modules.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.support import capture_scenarios, policy_scenarios
from tests.support.stand import Stand

Player = Callable[[str, str], None]


def play_on_sockets(title: str, steps: str) -> None:
    """Play one scenario beside a toy world of its own."""
    asyncio.run(Stand().play(steps))


PLAYERS: dict[str, Player] = {
    "captures": capture_scenarios.scenario,
    "sockets": play_on_sockets,
}


class ScenarioItem(pytest.Item):
    """One scenario as a test."""

    def __init__(self, *, player: Player, steps: str, **more: object) -> None:
        super().__init__(**more)
        self.player = player
        self.steps = steps

    def runtest(self) -> None:
        self.player(self.name, self.steps)

    def repr_failure(self, excinfo: pytest.ExceptionInfo[BaseException], style: str | None = None) -> str:
        """The step that failed and why, as the player says it; the traceback with `--full-trace`."""
        if isinstance(excinfo.value, AssertionError) and not self.config.option.fulltrace:
            return str(excinfo.value)
        return str(super().repr_failure(excinfo, style))

    def reportinfo(self) -> tuple[Path, int | None, str]:
        return self.path, None, f"{self.path.stem}: {self.name}"


class ScenarioFile(pytest.File):
    """One file of scenarios."""

    def collect(self) -> Iterator[ScenarioItem]:
        """Raises `CollectError` for two scenarios of one title and for a file without any."""
        player = PLAYERS.get(self.path.stem, policy_scenarios.play_scenario)
        titles = set[str]()
        for part in self.path.read_text().split("== ")[1:]:
            title, _, steps = part.partition("\n")
            if title in titles:
                raise self.CollectError(f"{self.path.name}: two scenarios of one title: {title}")
            titles.add(title)
            yield ScenarioItem.from_parent(self, name=title, player=player, steps=steps)
        if not titles:
            raise self.CollectError(f"{self.path.name}: no scenario")
