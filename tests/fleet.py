"""What is harmless in one marshal and harmful in all: many of them against one discovery, by its clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

from gatebank.net.roll import MOST_PAUSE, PAUSE, TRIES, Tries


def calls(marshals: int, until: float, mode: str = "ask", refused: bool = True) -> list[float]:
    """When they call a discovery that answers none of them until then."""
    fleet = [Tries({"roll_mode": mode, "marshals": marshals}, Random(me)) for me in range(marshals)]
    due, found = [(each.first(), me) for me, each in enumerate(fleet)], list[float]()
    heapq.heapify(due)
    while due and due[0][0] < until:
        at, me = heapq.heappop(due)
        found.append(at)
        heapq.heappush(due, (at + fleet[me].failed(refused), me))
    return found


def refused() -> None:
    """However many are refused together, discovery is not kept busy by their tries; each tries again before
    what it misses counts as told."""
    for marshals in (40, 200):
        by_second = [0] * 20
        for at in calls(marshals, 20.0):
            by_second[int(at)] += 1
        rate = marshals / MOST_PAUSE
        assert max(by_second[2:]) <= max(2 * TRIES, 2 * rate), (marshals, by_second)
        assert sum(by_second[10:]) <= 12.5 * rate, (marshals, by_second)
        assert min(by_second[2:]) > 0, by_second
    assert 1.5 * MOST_PAUSE <= 6.0
    assert len(calls(1, 2.0)) >= 5, "one alone costs discovery little"


def silent() -> None:
    """A watch that fell silent is opened anew soon; an agent of one's own is asked without growing pauses."""
    tries = Tries({"roll_mode": "ask", "marshals": 200}, Random(1))
    assert tries.failed(False) <= 1.5 * PAUSE
    for _ in range(20):
        tries.failed(False)
    assert tries.failed(False) > 1.0
    tries.answered()
    assert tries.failed(False) <= 1.5 * PAUSE
    agent = Tries({"roll_mode": "push", "marshals": 200}, Random(1))
    assert {agent.failed(True) for _ in range(20)} == {PAUSE} and agent.first() == 0.0


def checks() -> list[tuple[str, Callable[[], None]]]:
    return [(f"fleet: {each.__name__}", each) for each in (refused, silent)]
