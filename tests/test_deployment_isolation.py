"""Nothing of one deployment in another's: two instances with different settings in one process do what each
does alone in its own, decision by decision and byte by byte.
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


def test_two_deployments_in_one_process_do_as_alone() -> None:
    """Two deployments in one process."""
    wanted = {name: run_in_own_process(name) for name in REQUEST_CLASSES}
    found: dict[str, list[str]] = {name: [] for name in BALANCER_SETTINGS}
    for rows in zip_longest(*(decisions(name) for name in BALANCER_SETTINGS)):
        for name, row in zip(BALANCER_SETTINGS, rows, strict=True):
            found[name] += [row] if row is not None else []
    talk = uvloop.run(run_in_one_process())
    for name in REQUEST_CLASSES:
        assert len(found[name]) > 1000 and found[name] == wanted[name]["acts"], name
        assert talk[name] == wanted[name]["talk"], [
            pair for pair in zip(talk[name], wanted[name]["talk"], strict=False) if pair[0] != pair[1]
        ][:3]
    assert talk["harbour"] != talk["library"]
