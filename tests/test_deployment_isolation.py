"""Tests that deployments in one process do not affect each other.

Two instances with different settings in one process must make the same decisions and send the same bytes as
in separate processes.
"""

from __future__ import annotations

from itertools import zip_longest

import uvloop

from tests.support.deployments import (
    BALANCER_SETTINGS,
    REQUEST_CLASSES,
    decisions,
    run_in_one_process,
    run_in_own_process,
)


def test_two_deployments_in_one_process_behave_as_in_separate_processes() -> None:
    """Two deployments in one process decide and send as in separate processes."""
    expected = {name: run_in_own_process(name) for name in REQUEST_CLASSES}
    actual: dict[str, list[str]] = {name: [] for name in BALANCER_SETTINGS}
    for rows in zip_longest(*(decisions(name) for name in BALANCER_SETTINGS)):
        for name, row in zip(BALANCER_SETTINGS, rows, strict=True):
            actual[name] += [row] if row is not None else []
    traffic = uvloop.run(run_in_one_process())
    for name in REQUEST_CLASSES:
        assert len(actual[name]) > 1000 and actual[name] == expected[name]["decisions"], name
        assert traffic[name] == expected[name]["traffic"], [
            pair for pair in zip(traffic[name], expected[name]["traffic"], strict=False) if pair[0] != pair[1]
        ][:3]
    assert traffic["harbour"] != traffic["library"]
