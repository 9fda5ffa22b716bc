"""Keys that are bound to a build: their number is bounded, and no key goes back to an earlier build."""

from __future__ import annotations

import pytest

from gatebank.actions import StartAttempt
from gatebank.balancer import Balancer
from gatebank.events import (
    AttemptResult,
    Condition,
    Endpoint,
    Outcome,
    Phase,
    ReleaseStatus,
    ReplyStatus,
    Request,
    RetrySafety,
)
from gatebank.settings import Settings
from tests.support.connections import SETTINGS
from tests.support.settings_factory import make_settings

OLD_BUILD = 41
NEW_BUILD = 42
MAX_KEYS = 50
REQUESTS = 600


def sticky_settings() -> Settings:
    """Return settings in which a key that the canary answered stays with it."""
    request_class = {"name": "read", "retry_safety": RetrySafety.IDEMPOTENT, "latency_objective": 1.0}
    return make_settings(
        SETTINGS
        | {"sticky_keys": True, "spare_attempts": 99, "caps": [1.0], "request_classes": [request_class]}
    )


def endpoint(index: int, build: int) -> Endpoint:
    return Endpoint(index, index + 1, 0, 0, 0, build, None, Condition.READY, 1.0)


@pytest.mark.parametrize("phase", [Phase.CANARY, Phase.RELEASED])
def test_number_of_bound_keys_is_bounded_and_no_key_goes_back(phase: Phase) -> None:
    balancer = Balancer(sticky_settings(), seed=3, now=100.0)
    balancer.state.max_sticky_keys = MAX_KEYS
    builds = {0: OLD_BUILD, 1: OLD_BUILD, 2: NEW_BUILD, 3: NEW_BUILD}
    balancer.on_endpoint_list([endpoint(index, build) for index, build in builds.items()], complete=True)
    balancer.on_release_status(ReleaseStatus(ReplyStatus.ACCEPTED, False, NEW_BUILD, 0, phase, 1.0, age=1.0))
    answered_by: dict[int, set[int]] = {}
    for number in range(REQUESTS):
        balancer.now += 0.05
        balancer.actions = []
        key = number % (REQUESTS // 2)  # Each key comes twice.
        balancer.on_request(Request(0, 0, 0, 2.0, key=key))
        attempts = [action for action in balancer.actions if isinstance(action, StartAttempt)]
        if not attempts:
            balancer.on_client_disconnect(0)
            continue
        build = builds[attempts[0].endpoint]
        assert not (build == OLD_BUILD and NEW_BUILD in answered_by.get(key, ())), key
        answered_by.setdefault(key, set()).add(build)
        balancer.on_attempt_result(0, AttemptResult(0, Outcome.SUCCESS, 0.01, True))
    assert len(balancer.state.sticky_builds) == MAX_KEYS
    assert len(answered_by) > REQUESTS // 4
