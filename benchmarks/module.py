"""What an invocation costs the module, in simulated time, at rates and numbers of nodes; beside another
revision.

    python -m benchmarks.module [REVISION]

Each is satisfied after 20 ms of simulated time; a build is on trial in the second column. Both texts are
played in turn, three times; the medians and their ratio are told.
"""

from __future__ import annotations

import heapq
import statistics
import sys
import time
from types import ModuleType

from benchmarks.same_acts import module
from gatebank import actions, events
from gatebank import balancer as today
from tests.support.learners import ORDERS
from tests.support.settings_factory import make_settings

WARM, MEASURED, ROUNDS, MOST = 2.5, 2.0, 3, 6_000
SIZES = ((100, 4), (1_000, 4), (4_000, 4), (100, 500), (100, 5_000), (4_000, 5_000))


def cost(brain: ModuleType, rate: float, nodes: int, trial: bool) -> float:
    """us of processor time an invocation."""
    marshal = brain.Balancer(make_settings(ORDERS), 1, 100.0)
    new = max(1, nodes // 4) if trial else 0
    rows = [
        events.Endpoint(n, n, 0, 0, 0, 42 if n < new else 41, None, events.Condition.READY, 1.0)
        for n in range(nodes)
    ]
    marshal.on_endpoint_list(rows, True)
    phase = events.Phase.CANARY if trial else events.Phase.RELEASED
    marshal.on_release_status(
        events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, 42 if trial else 41, 0, phase, 0.2)
    )
    marshal.actions.clear()
    ends: list[tuple[float, int, int]] = []
    now, number, spent, many = 100.0, 0, 0.0, 0
    beat = now + 0.25
    until = now + WARM + min(MEASURED, MOST / rate)
    while now < until:
        now += 1 / rate
        start = time.process_time()
        while ends and ends[0][0] <= now:
            at, invocation, shot = heapq.heappop(ends)
            marshal.now = max(marshal.now, at)
            marshal.on_attempt_result(
                invocation, events.AttemptResult(shot, events.Outcome.SUCCESS, 0.02, True)
            )
        marshal.now = now
        if now >= beat:
            beat += 0.25
            marshal.on_timer("beat")
        number += 1
        marshal.on_request(events.Request(number, 0, 0, 2.0))
        for action in marshal.actions:
            if isinstance(action, actions.StartAttempt):
                heapq.heappush(ends, (now + 0.02, action.invocation, 0))
        marshal.actions.clear()
        if now > 100.0 + WARM:
            spent += time.process_time() - start
            many += 1
    return spent / many * 1e6


def main(revision: str) -> None:
    was = module(revision)
    print(f"us an invocation, {revision} and today's text, and their ratio; no build on trial, and one")
    for rate, nodes in SIZES:
        cells = []
        for trial in (False, True):
            rows = [(cost(was, rate, nodes, trial), cost(today, rate, nodes, trial)) for _ in range(ROUNDS)]
            a, b = (statistics.median(each) for each in zip(*rows, strict=True))
            cells.append(f"{a:8.0f} {b:6.0f} ({a / b:5.1f} times)")
        print(f"{rate:>6,} a second, {nodes:>5,} nodes: " + "   ".join(cells), flush=True)


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else "ca747aa")
