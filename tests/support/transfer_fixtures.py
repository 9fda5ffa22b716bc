"""Balancers without I/O for tests of state transfer: settings, endpoints, exported items and requests."""

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
# Processes at endpoints, by endpoint name, as `merge_items` takes them.
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
    instance_number: int = 0, seed: int = 1, endpoint_count: int = 4, now: float = START_TIME
) -> tuple[Balancer, IndexNames]:
    """Returns a balancer and the names of its indices.

    Args:
        instance_number: Number of the instance.
        seed: Seed of the balancer's random choices.
        endpoint_count: Number of baseline endpoints n0, n1 ... of build 41; one more endpoint, of the canary
            build 42, follows.
        now: Time on the balancer's clock in seconds.
    """
    balancer = Balancer(make_settings(SETTINGS | {"instance": instance_number}), seed, now)
    balancer.on_endpoint_list(
        [make_endpoint(number, 41) for number in range(endpoint_count)] + [make_endpoint(endpoint_count, 42)],
        True,
    )
    balancer.actions.clear()
    return balancer, IndexNames(
        make_settings(SETTINGS), [f"n{number}" for number in range(endpoint_count + 1)]
    )


def make_endpoint(number: int, build: int, started: float | None = None) -> events.Endpoint:
    """Returns an entry of the endpoint list for an endpoint that is ready."""
    return events.Endpoint(number, number, 0, 0, 0, build, started, events.Condition.READY, 1.0)


def export_items(
    balancer: Balancer, names: IndexNames, name: str, now: float, inherited: InheritedKnowledge | None = None
) -> list[StateItem]:
    """Returns all items of a balancer, including those of the last exposure window."""
    origin = Origin(name, balancer.state.incarnation)
    export = StateExport(balancer.state, names, origin, now, inherited.stored_items if inherited else None)
    return [item for items in export.slices(include_window=True) for item in items]


def make_inherited_knowledge(balancer: Balancer, names: IndexNames, name: str) -> InheritedKnowledge:
    """Returns an empty store of inherited items for the instance with the given name."""
    return InheritedKnowledge(balancer.state, names, Origin(name, balancer.state.incarnation), HALF_LIVES)


def make_health(endpoint: str = "a", **fields: Any) -> EndpointHealth:
    """Returns a health item of an endpoint's current process; ``fields`` replace its other values."""
    build, started = PROCESSES[endpoint][1:] if endpoint in PROCESSES else (41, None)
    return EndpointHealth(
        **(
            {
                "origin": "d",
                "age": 0.0,
                "outcomes": 50,
                "endpoint": endpoint,
                "build": build,
                "started": started,
            }
            | fields
        )
    )


def send_requests(balancer: Balancer, count: int, failing: tuple[int, ...] = (), chance: int = 3) -> None:
    """Sends requests to a balancer one after another; the attempts at ``failing`` endpoints fail."""
    for number in range(count):
        balancer.now += 0.02
        balancer.on_request(events.Request(number, 0, 0, 5.0))
        while attempts := [action for action in balancer.actions if isinstance(action, actions.StartAttempt)]:
            balancer.actions.clear()
            for attempt in attempts:
                request = balancer.state.requests.get(attempt.request)
                outcome = events.Outcome.ERROR if attempt.endpoint in failing else events.Outcome.SUCCESS
                attempt_number = len(request.attempts) - 1 if request else 0
                is_final = outcome is events.Outcome.SUCCESS
                balancer.on_attempt_result(
                    attempt.request, events.AttemptResult(attempt_number, outcome, 0.02, is_final)
                )
        balancer.actions.clear()
