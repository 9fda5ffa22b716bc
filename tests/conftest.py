"""Collection of scenario files, the loop that asynchronous tests run on, and the list of known red tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest
import uvloop

from tests.support.known_red import KnownRed
from tests.support.scenario_files import ScenarioFile


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config.rootpath / "KNOWN-RED.txt"), "known-red")


def pytest_collect_file(file_path: Path, parent: pytest.Collector) -> ScenarioFile | None:
    """Each scenario file is collected as one item a scenario."""
    if file_path.suffix == ".scenarios":
        return ScenarioFile.from_parent(parent, path=file_path)
    return None


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> dict[str, Callable[[], asyncio.AbstractEventLoop]]:
    """Tests marked `uvloop` run on the loop of service, all others on asyncio's own."""
    if item.get_closest_marker("uvloop"):
        return {"uvloop": uvloop.new_event_loop}
    return {"asyncio": asyncio.new_event_loop}
