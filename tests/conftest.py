"""pytest hooks: collection of scenario files, event loops of asynchronous tests, and KNOWN-RED.txt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest
import uvloop

from tests.support.event_loop import CheckedEventLoop
from tests.support.known_red import KnownRed
from tests.support.scenario_files import ScenarioFile


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin for the list of known failures."""
    config.pluginmanager.register(KnownRed(config.rootpath / "KNOWN-RED.txt"), "known-red")


def pytest_collect_file(file_path: Path, parent: pytest.Collector) -> ScenarioFile | None:
    """Collect each scenario of a scenario file as a test item."""
    if file_path.suffix == ".scenarios":
        return ScenarioFile.from_parent(parent, path=file_path)
    return None


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> dict[str, Callable[[], asyncio.AbstractEventLoop]]:
    """Run tests marked `uvloop` on uvloop, as the proxy does in service, and all others on asyncio's loop.

    The latter fails a test that leaves a process behind.
    """
    if item.get_closest_marker("uvloop"):
        return {"uvloop": uvloop.new_event_loop}
    return {"asyncio": CheckedEventLoop}
