"""Instances that learn, by themselves: their settings, what they know, and traffic for them."""

from __future__ import annotations

from typing import Any

from gatebank import actions, events
from gatebank.balancer import Balancer
from gatebank.state_transfer.index_names import IndexNames, Origin
from gatebank.state_transfer.inherited_knowledge import InheritedKnowledge
from gatebank.state_transfer.items import (
    EndpointHealth,
    StateItem,
)
from gatebank.state_transfer.state_export import StateExport
from gatebank.state_transfer.weighting import EndpointProcess, HalfLives
from tests.support.settings_factory import make_settings

START_TIME, HALF_LIVES = 1000.0, HalfLives()
PROCESSES = {
    "a": EndpointProcess("a", 41, None),
    "b": EndpointProcess("b", 41, None),
    "new": EndpointProcess("new", 42, START_TIME - 1.0),
}
SETTINGS: dict[str, Any] = {
    "instance": 0, "instance_count": 2, "may_cancel": True, "max_attempts": 4, "may_message_peers": False,
    "may_advise_retry_after": True, "overload_multiple": 3.0, "overload_window": 1.5,
    "initial_capacity": 0.4, "warm_up": 5.0,
    "promote_votes": 1, "rollback_votes": 1, "vote_timeout": 1.0, "vote_lifetime": 6.0, "caps": [0.2, 1.0],
    "cap_counted_by": "all", "exposure_window": 2.0, "spare_attempts": 2, "tenants": [], "kinds": ["toy"],
    "zones": ["here"],
    "request_classes": [
        {
            "name": n, "retry_safety": r, "latency_objective": 1.0, "priority_weight": 1.0,
            "retry_group": "zone", "retry_window": 2.0,
        }
        for n, r in zip(("read", "sign", "pay"), events.RetrySafety, strict=True)
    ],
}  # fmt: skip


def make_balancer(
    me: int = 0, seed: int = 1, nodes: int = 4, at: float = START_TIME
) -> tuple[Balancer, IndexNames]:
    """An instance with endpoints n0, n1 ... of build 41, and the canary, of build 42."""
    marshal = Balancer(make_settings(SETTINGS | {"instance": me}), seed, at)
    marshal.on_endpoint_list(
        [make_endpoint(number, 41) for number in range(nodes)] + [make_endpoint(nodes, 42)], True
    )
    marshal.actions.clear()
    return marshal, IndexNames(make_settings(SETTINGS), [f"n{number}" for number in range(nodes + 1)])


def make_endpoint(number: int, build: int, started: float | None = None) -> events.Endpoint:
    return events.Endpoint(number, number, 0, 0, 0, build, started, events.Condition.READY, 1.0)


def export_items(
    marshal: Balancer, names: IndexNames, name: str, now: float, taught: InheritedKnowledge | None = None
) -> list[StateItem]:
    origin = Origin(name, marshal.state.incarnation)
    export = StateExport(marshal.state, names, origin, now, taught.received if taught else None)
    return [each for some in export.slices(include_window=True) for each in some]


def make_inherited_knowledge(marshal: Balancer, names: IndexNames, name: str) -> InheritedKnowledge:
    """What an instance of that name inherits."""
    return InheritedKnowledge(marshal.state, names, Origin(name, marshal.state.incarnation), HALF_LIVES)


def make_health(node: str = "a", **more: Any) -> EndpointHealth:
    build, started = PROCESSES[node][1:] if node in PROCESSES else (41, None)
    return EndpointHealth(
        **(
            {"origin": "d", "age": 0.0, "outcomes": 50, "endpoint": node, "build": build, "started": started}
            | more
        )
    )


def send_requests(marshal: Balancer, count: int, sick: tuple[int, ...] = (), chance: int = 3) -> None:
    """Requests one behind another; those endpoints fail them."""
    for number in range(count):
        marshal.now += 0.02
        marshal.on_request(events.Request(number, 0, 0, 5.0))
        while shots := [action for action in marshal.actions if isinstance(action, actions.StartAttempt)]:
            marshal.actions.clear()
            for shot in shots:
                task = marshal.state.requests.get(shot.request)
                ending = events.Outcome.ERROR if shot.endpoint in sick else events.Outcome.SUCCESS
                which = len(task.attempts) - 1 if task else 0
                over = ending is events.Outcome.SUCCESS
                marshal.on_attempt_result(shot.request, events.AttemptResult(which, ending, 0.02, over))
        marshal.actions.clear()
