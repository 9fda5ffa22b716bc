"""Collection of `*.scenarios` files: each scenario is a test item that is named by its title.

A file consists of scenarios, each of which starts with a line `== TITLE`. `socket_scenarios` plays
sockets.scenarios, `capture_scenarios` plays captures.scenarios, and `policy_scenarios` plays every other
file. These modules describe the notation of their steps.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.support import capture_scenarios, policy_scenarios
from tests.support.socket_scenarios import SocketScenario

Player = Callable[[str, str], None]


def play_on_sockets(title: str, steps: str) -> None:
    """Play one scenario with its own fake endpoints and control plane."""
    asyncio.run(SocketScenario().play(steps))


PLAYERS: dict[str, Player] = {
    "captures": capture_scenarios.play_scenario,
    "sockets": play_on_sockets,
}


class ScenarioItem(pytest.Item):
    """A scenario as a test item."""

    def __init__(self, *, player: Player, steps: str, **arguments: object) -> None:
        super().__init__(**arguments)
        self.player = player
        self.steps = steps

    def runtest(self) -> None:
        """Play the scenario."""
        self.player(self.name, self.steps)

    def repr_failure(self, excinfo: pytest.ExceptionInfo[BaseException], style: str | None = None) -> str:
        """Return the player's message on the failed step, or the traceback with `--full-trace`."""
        if isinstance(excinfo.value, AssertionError) and not self.config.option.fulltrace:
            return str(excinfo.value)
        return str(super().repr_failure(excinfo, style))

    def reportinfo(self) -> tuple[Path, int | None, str]:
        """Return the file and the title for the test report."""
        return self.path, None, f"{self.path.stem}: {self.name}"


class ScenarioFile(pytest.File):
    """A file of scenarios."""

    def collect(self) -> Iterator[ScenarioItem]:
        """Yield the scenarios of the file.

        Raises:
            CollectError: Two scenarios have the same title, or the file has no scenario.
        """
        player = PLAYERS.get(self.path.stem, policy_scenarios.play_scenario)
        titles = set[str]()
        for scenario_text in self.path.read_text().split("== ")[1:]:
            title, _, steps = scenario_text.partition("\n")
            if title in titles:
                raise self.CollectError(f"{self.path.name}: two scenarios have the same title: {title}")
            titles.add(title)
            yield ScenarioItem.from_parent(self, name=title, player=player, steps=steps)
        if not titles:
            raise self.CollectError(f"{self.path.name}: no scenario")
