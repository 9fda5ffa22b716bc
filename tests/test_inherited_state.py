"""Learning: what is believed and what is not."""

from __future__ import annotations

from typing import Any

import msgspec

from gatebank import actions, events
from gatebank.balancer import Balancer
from gatebank.policy.slow_start import admits
from gatebank.state_transfer.index_names import IndexNames
from gatebank.state_transfer.items import (
    AdmittedRequest,
    RatioSum,
    ReleaseReport,
    SentAttempt,
    SequentialTestSums,
    SlowStartRate,
    StateItem,
    UsualLatency,
)
from gatebank.state_transfer.weighting import merge_items
from tests.support.settings_factory import make_settings
from tests.support.transfer_fixtures import (
    HALF_LIVES,
    PROCESSES,
    SETTINGS,
    START_TIME,
    export_items,
    make_balancer,
    make_endpoint,
    make_health,
    make_inherited_knowledge,
    send_requests,
)


def test_items_passed_between_receivers_never_grow_younger() -> None:
    """Two fresh ones.

    Two that restart together and ask each other again and again end with what they began with: no item
    grows younger, is seen of more, or changes its origin.
    """
    marshal, names = make_balancer()
    send_requests(marshal, 60, sick=(1,))
    origin = export_items(marshal, names, "donor", marshal.now)
    fresh = [(f"m{i}", *make_balancer(seed=i + 5)) for i in range(2)]
    taught = [make_inherited_knowledge(m, n, name) for name, m, n in fresh]
    now = marshal.now
    taught[0].put(origin, now)
    before = len(taught[0].received.by_identity)
    for turn in range(40):
        now += 0.25
        for i in (0, 1):
            name, m, n = fresh[i]
            taught[1 - i].put(export_items(m, n, name, now, taught[i]), now)
        for each in taught:
            for item in each.received.items(now):
                if item.origin == "donor" and not isinstance(item, SentAttempt | AdmittedRequest):
                    first = next(o for o in origin if type(o) is type(item) and same(o, item))
                    assert item.outcomes == first.outcomes and item.age >= first.age + 0.25 * turn - 0.01, (
                        item
                    )
    assert len(taught[0].received.by_identity) == before
    assert all(item.origin == "donor" for each in taught for item in each.received.items(now))


def same(a: StateItem, b: StateItem) -> bool:
    keys = ("endpoint", "request_class", "machine_kind", "ratio", "instance", "incarnation", "build", "stage")
    return all(getattr(a, key, None) == getattr(b, key, None) for key in keys)


def test_clock_offset_of_source_does_not_change_merged_state() -> None:
    """Clocks apart.

    A source whose clock is hours off: ages alone are told, so what is believed is the same.
    """
    found = []
    for off in (0.0, 9 * 3600.0, 1e6):
        donor, names = make_balancer(at=START_TIME + off)
        send_requests(donor, 60, sick=(1,))
        donor.now += 2.0
        fresh, own = make_balancer(seed=9)
        taught = make_inherited_knowledge(fresh, own, "me")
        taught.put(export_items(donor, names, "donor", donor.now), START_TIME)
        belief = taught.merged(START_TIME)
        told_of = {
            n: (round(b.failure_rate, 6), round(b.latency_ratio, 6), b.ejected)
            for n, b in belief.endpoints.items()
        }
        found.append((told_of, {key: round(value[0], 6) for key, value in belief.latencies.items()}))
    assert found[0] == found[1] == found[2] and found[0][0] and found[0][1], found


def test_reports_of_healthy_endpoints_lose_weight_faster_than_bad_reports() -> None:
    """Good news ages faster.

    Held well a minute ago: not held at all. Held aside ten seconds ago: probed before it is used. Aside,
    and later seen well by another: used.
    """

    def of(*items: StateItem) -> Any:
        return merge_items(items, PROCESSES, "me", 2.0, HALF_LIVES).endpoints.get("a")

    assert of(make_health(age=60.0)).weight == 0.0 and not of(make_health(age=60.0)).ejected
    assert of(make_health(age=10.0, ejected=True, failure_rate=0.6)).ejected
    assert not of(
        make_health(age=10.0, ejected=True, failure_rate=0.6), make_health(origin="e", age=1.0)
    ).ejected
    assert (
        of(
            make_health(age=1.0),
            make_health(origin="e", age=10.0, failure_rate=0.6, ejected=True, outcomes=2),
        ).failure_rate
        > 0.1
    )
    # Of few outcomes it counts for little, whoever says it; two that disagree count for half.
    assert of(make_health(outcomes=1)).weight < 0.2 < of(make_health(outcomes=50)).weight
    apart = of(make_health(failure_rate=0.0), make_health(origin="e", failure_rate=0.9))
    assert apart.weight <= 0.5 and apart.failure_rate >= 0.8


def test_health_of_another_process_is_dropped() -> None:
    """Another process.

    Back under its old id with another build or start: what was known of the old one is dropped.
    """
    for wrong in (
        make_health("new", build=41),
        make_health("new", started=START_TIME - 9.0),
        make_health("gone"),
    ):
        assert not merge_items([wrong], PROCESSES, "me", 2.0, HALF_LIVES).endpoints, wrong
    assert merge_items([make_health("new")], PROCESSES, "me", 2.0, HALF_LIVES).endpoints["new"].weight > 0.5


def test_own_outcomes_are_not_overridden_by_inherited_reports() -> None:
    """Own outcomes say more.

    What an instance saw itself is not overruled, by however many.
    """
    marshal, names = make_balancer()
    send_requests(marshal, 200)
    taught = make_inherited_knowledge(marshal, names, "me")
    faults = [node.failure_rate for node in marshal.state.endpoints.by_index.values()]
    taught.put(
        [
            make_health(f"n{i}", origin=f"d{j}", failure_rate=1.0, ejected=True)
            for i in range(4)
            for j in range(9)
        ],
        0.0,
    )
    marshal.apply_inherited_state(taught.inherited_state(taught.merged(0.0), 0.0))
    assert [node.failure_rate for node in marshal.state.endpoints.by_index.values()] == faults
    assert not any(node.ejected for node in marshal.state.endpoints.by_index.values())


def test_inherited_ejected_endpoint_is_health_checked_before_use() -> None:
    """Aside is probed first.

    A fresh instance that inherits that an endpoint fails checks its health and sends it nothing; half of a
    build at most.
    """
    marshal, names = make_balancer(nodes=6)
    taught = make_inherited_knowledge(marshal, names, "me")
    taught.put([make_health(f"n{i}", age=3.0, failure_rate=0.8, ejected=True) for i in range(6)], START_TIME)
    marshal.apply_inherited_state(taught.inherited_state(taught.merged(START_TIME), START_TIME))
    aside = [i for i, node in marshal.state.endpoints.by_index.items() if node.ejected]
    assert 1 <= len(aside) <= 3, aside
    timers = {action.timer for action in marshal.actions if isinstance(action, actions.StartTimer)}
    assert {actions.EjectionTimer(i) for i in aside} <= timers
    marshal.on_timer(actions.EjectionTimer(aside[0]))
    assert any(
        isinstance(action, actions.CheckHealth) and action.endpoint == aside[0] for action in marshal.actions
    )
    marshal.actions.clear()
    shots = []
    for number in range(100):
        marshal.on_request(events.Request(number, 0, 0, 5.0))
        shots += [action.endpoint for action in marshal.actions if isinstance(action, actions.StartAttempt)]
        marshal.actions.clear()
    assert shots and not set(shots) & set(aside)


def test_sums_received_twice_count_once() -> None:
    """SequentialTestSums join once.

    The same sums heard twice, and by several, change nothing; a former life's own count once.
    """
    news = events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, 42, 0, events.Phase.CANARY, 0.2)
    marshal, names = make_balancer()
    marshal.on_release_status(news)
    sums = SequentialTestSums(
        origin="x",
        age=1.0,
        outcomes=9,
        instance=0,
        incarnation=77,
        build=42,
        stage=0,
        ratios={0: RatioSum(2.5, 9)},
    )
    rows = [sums, msgspec.structs.replace(sums, origin="y")]
    taught = make_inherited_knowledge(marshal, names, "me")
    for _ in range(3):
        taught.put(rows, START_TIME)
        marshal.apply_inherited_state(taught.inherited_state(taught.merged(START_TIME), START_TIME))
    test = marshal.state.test
    assert test and test.sums.fused[0] == 2.5 and test.sums.outcomes == 9, test.sums.fused
    # Another stage's are not its; and its own life's never come back to it.
    larger = msgspec.structs.replace(sums, ratios={0: RatioSum(5.0, 9)})
    own = msgspec.structs.replace(larger, incarnation=marshal.state.incarnation)
    other = msgspec.structs.replace(larger, instance=1, incarnation=1, stage=1)
    taught.put([own, other], START_TIME)
    marshal.apply_inherited_state(taught.inherited_state(taught.merged(START_TIME), START_TIME))
    assert test.sums.fused[0] == 2.5, test.sums.fused


def test_canary_cap_holds_from_the_first_request_after_restart() -> None:
    """Caps from the first second.

    What a former life sent in the last window is not known: nothing is spare until one window has passed.
    Where an orderly end told it, it counts, row by row.
    """
    news = events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, 42, 0, events.Phase.CANARY, 0.2)

    def shots_at_trial(marshal: Balancer, count: int) -> int:
        found = 0
        for number in range(count):
            marshal.now += 0.001
            marshal.on_request(events.Request(number, 0, 0, 5.0))
            found += sum(
                isinstance(action, actions.StartAttempt) and action.endpoint == 4
                for action in marshal.actions
            )
            marshal.actions.clear()
        return found

    for former, wanted in (("unknown", 0), ("told", 1), ("none", 2)):
        marshal, names = make_balancer()
        marshal.on_release_status(news)
        taught = make_inherited_knowledge(marshal, names, "me")
        if former == "told":
            taught.window_known = True
            taught.put(
                [SentAttempt(origin="me", age=0.5, outcomes=1, build=42, request_class="read")], START_TIME
            )
        if former != "none":
            marshal.apply_inherited_state(taught.inherited_state(taught.merged(START_TIME), START_TIME))
        marshal.state.random = lambda: 0.0  # it always leans to the trial build
        found = shots_at_trial(marshal, 4)
        assert found == wanted, (former, found)
        # In any window the former life's allowance and this one's stay within the rule.
        found += shots_at_trial(marshal, 200)
        assert found <= 0.2 * 204 + (0 if former == "unknown" else 2 - (former == "told")), (former, found)
        marshal.now = START_TIME + 2.1
        assert marshal.now >= marshal.state.no_spare_until


def test_slow_start_rate_of_other_instances_reduces_own_attempts() -> None:
    """Others at a cold endpoint.

    What others send a cold endpoint is taken into its share.
    """
    found = {}
    for rate in (0.0, 8.0, 500.0):
        marshal, names = make_balancer()
        marshal.on_endpoint_list([make_endpoint(9, 41, START_TIME - 0.5)], False)
        names = IndexNames(make_settings(SETTINGS), [f"n{i}" for i in range(10)])
        send_requests(marshal, 60)
        node = marshal.state.endpoints.by_index[9]
        node.result_count = node.slow_start_tokens = 0
        taught = make_inherited_knowledge(marshal, names, "me")
        started = START_TIME - 0.5
        taught.put(
            [
                SlowStartRate(
                    origin="d", age=0.0, outcomes=3, endpoint="n9", build=41, started=started, rate=rate
                )
            ],
            marshal.now,
        )
        marshal.apply_inherited_state(taught.inherited_state(taught.merged(marshal.now), marshal.now))
        node.slow_start_tokens, node.tokens_updated_at, marshal.state.traffic.request_rate = (
            0.0,
            marshal.now,
            50.0,
        )
        marshal.now += 0.2
        admits(marshal.state, node)
        found[rate] = node.slow_start_tokens
    assert found[0.0] > found[8.0] > found[500.0] == 0.0, found


def test_inherited_release_report_only_restricts() -> None:
    """ReleaseReport only restrains.

    A source's news through the exchange: lower caps and withdrawals are taken up, nothing else ever is.
    """
    from gatebank.state_transfer.weighting import OwnRelease, strictly_tighter

    told_now = OwnRelease(42, 0, 0.2)
    for build in (41, 42, 43):
        for phase in range(4):
            for cap in (None, 0.0, 0.1, 0.2, 0.9):
                item = ReleaseReport(origin="d", age=1.0, build=build, stage=0, phase=phase, cap=cap)
                if taken := strictly_tighter(item, told_now):
                    restrains = taken.phase in (1, 3) or (taken.cap is not None and taken.cap < 0.2)
                    assert restrains and build >= 42, item
    assert strictly_tighter(ReleaseReport(origin="d", age=1.0, build=42, stage=0, phase=3, cap=0.0), told_now)


def test_outlying_latency_report_is_ignored() -> None:
    """Far off figures.

    One that tells times of hours among several that tell milliseconds moves nothing.
    """
    good = [
        UsualLatency(origin=f"d{i}", age=1.0, outcomes=40, request_class="read", latency=0.02)
        for i in range(3)
    ]
    lie = UsualLatency(origin="x", age=0.0, outcomes=30, request_class="read", latency=9000.0)
    took, seen = merge_items([*good, lie], {}, "me", 2.0, HALF_LIVES).latencies["read", ""]
    assert 0.019 < took < 0.021 and seen <= 40, (took, seen)
