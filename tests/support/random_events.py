"""Seeded random events for the balancer, and the actions by which the balancer answers them.

The events are changes of the endpoint list, canaries, requests, attempt results, peer messages, disconnecting
clients, and clocks that stand still or jump. The same seed gives the same events.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from types import ModuleType
from typing import Any

from gatebank import actions, events, peer_messages
from gatebank.peer_messages import LlrSum, LoadKey, LoadSample
from gatebank.simulator.timer_names import timer_from_name, timer_name
from tests.support.settings_factory import make_settings
from tests.support.transfer_fixtures import SETTINGS

EVENT_COUNT = 3_000  # Events of one seed; a step of the clock precedes each event.


def random_events(seed: int) -> Iterator[tuple[str, Any]]:
    """Draw the kinds and values of events without knowledge of the balancer's state.

    A result, for example, does not name its attempt; `decision_texts` gives it to any outstanding attempt.
    """
    generator = random.Random(seed)
    # Build, age at the start of the run and condition, by endpoint index; a negative age is a later start.
    endpoints = {index: [41, None, events.Condition.READY] for index in range(generator.randrange(2, 9))}
    request_number, builds = 0, [41]
    for _ in range(EVENT_COUNT):
        yield (
            "time",
            generator.choice(
                [0.0, 0.001, 0.01, 0.01, 0.02, 0.05, 1.5 if generator.random() < 0.02 else 0.03]
            ),
        )
        match generator.choices(
            ("request", "result", "endpoints", "release", "peer", "disconnect"), (40, 50, 2, 1, 6, 1)
        )[0]:
            case "request":
                request_number += 1
                key = generator.randrange(50) if generator.random() < 0.3 else None
                yield "request", (request_number, generator.randrange(3), generator.uniform(0.1, 3.0), key)
            case "result":
                yield "result", (generator.random(), generator.random(), generator.expovariate(20))
            case "endpoints":
                if generator.random() < 0.4:
                    endpoints[max(endpoints) + 1] = [
                        generator.choice(builds),
                        -generator.uniform(0, 8),
                        events.Condition.READY,
                    ]
                endpoints[generator.choice(list(endpoints))][2] = generator.choice(list(events.Condition)[:2])
                yield "endpoints", [(index, *row) for index, row in endpoints.items()]
            case "release":
                if generator.random() < 0.5:
                    builds.append(builds[-1] + 1)
                phase = generator.choice(list(events.Phase))
                yield (
                    "release",
                    (builds[-1], generator.randrange(2), phase, generator.choice([0.2, 1.0, 0.0])),
                )
            case "peer":
                yield (
                    "peer",
                    (generator.randrange(1, 4), builds[-1], generator.randrange(2), generator.uniform(-3, 3)),
                )
            case "disconnect":
                yield "disconnect", generator.random()


def decision_texts(
    balancer_module: ModuleType, seed: int, overrides: Mapping[str, Any] | None = None
) -> Iterator[str]:
    """Play random events and yield each action of the balancer as text.

    Args:
        balancer_module: The module that holds the `Balancer` class.
        seed: The seed of the events and of the balancer.
        overrides: Settings that replace those of the tests.
    """
    settings = (
        SETTINGS
        | {"instance_count": 4, "may_message_peers": True, "sticky_keys": bool(seed % 3 == 1)}
        | (overrides or {})
    )
    if seed % 2:
        settings |= {"tenants": [{"share": 0.7}, {"share": 0.3}], "cap_counted_by": "per_lane"}
    balancer, now, start = balancer_module.Balancer(make_settings(settings), seed, 100.0), 100.0, 100.0
    outstanding: list[tuple[int, int]] = []
    timers: list[tuple[float, str]] = []

    def carry_out() -> Iterator[str]:
        taken, balancer.actions = balancer.actions, []
        for action in taken:
            yield repr(action)
            match action:
                case actions.StartAttempt(request_number, _):
                    request = balancer.state.requests.get(request_number)
                    outstanding.append((request_number, len(request.attempts) - 1 if request else 0))
                case actions.StartTimer(due_at, timer):
                    timers.append((due_at, timer_name(timer)))

    for kind, value in random_events(seed):
        balancer.now = now
        match kind:
            case "time":
                now += value
                for due_timer in sorted(timer for timer in timers if timer[0] <= now):
                    timers.remove(due_timer)
                    balancer.now = max(balancer.now, due_timer[0])
                    balancer.on_timer(timer_from_name(due_timer[1]))
                    yield from carry_out()
            case "request":
                number, request_class, timeout, key = value
                tenant = number % 2 if settings["tenants"] else 0
                balancer.on_request(
                    events.Request(
                        number, request_class, tenant, timeout, key=key, is_client_retry=number % 7 == 0
                    )
                )
            case "result" if outstanding:
                request_number, attempt = outstanding.pop(int(value[0] * len(outstanding)))
                outcomes = [events.Outcome.SUCCESS] * 12 + list(events.Outcome)
                outcome = outcomes[int(value[1] * len(outcomes))]
                done = outcome is events.Outcome.SUCCESS or request_number not in balancer.state.requests
                balancer.on_attempt_result(
                    request_number, events.AttemptResult(attempt, outcome, value[2], done)
                )
            case "endpoints":
                rows = [
                    events.Endpoint(
                        index, index, 0, 0, 0, build, None if age is None else start - age, condition, 1.0
                    )
                    for index, build, age, condition in value
                ]
                balancer.on_endpoint_list(rows, True)
            case "release":
                balancer.on_release_status(events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, *value))
            case "peer":
                peer, build, stage, total = value
                loads = {LoadKey(index, 0, 0): LoadSample(6.0, 0.1, 0.0) for index in range(3)}
                message = peer_messages.InstanceReport(
                    peer, build, stage, 20.0, 2, loads, {0: LlrSum(total, 9)}
                )
                if stage:
                    # A fleet report with few or many outstanding attempts; one class may be held up.
                    samples = ((20.0, 0.4), (9.0, abs(total) * 9), (6.0, 0.3))
                    loads = {
                        LoadKey(index, 0, 0): LoadSample(*sample, 0.0) for index, sample in enumerate(samples)
                    }
                    message = peer_messages.FleetReport(60.0, abs(total) * 40, loads)
                balancer.on_peer_message(peer, message)
            case "disconnect" if balancer.state.requests:
                balancer.on_client_disconnect(
                    list(balancer.state.requests)[int(value * len(balancer.state.requests))]
                )
        yield from carry_out()
