"""Inherited state: which received items are applied, with which weight, and which are ignored."""

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
    """Two receivers that repeatedly pass items to each other gain no information.

    Guards against items that become younger, gain outcomes or change their origin when passed on.
    """
    balancer, names = make_balancer()
    send_requests(balancer, 60, failing=(1,))
    exported = export_items(balancer, names, "source", balancer.now)
    receivers = [(f"m{i}", *make_balancer(seed=i + 5)) for i in range(2)]
    inherited = [
        make_inherited_knowledge(receiver, index_names, name) for name, receiver, index_names in receivers
    ]
    now = balancer.now
    inherited[0].put(exported, now)
    item_count = len(inherited[0].stored_items.by_identity)
    for turn in range(40):
        now += 0.25
        for i in (0, 1):
            name, receiver, index_names = receivers[i]
            inherited[1 - i].put(export_items(receiver, index_names, name, now, inherited[i]), now)
        for knowledge in inherited:
            for item in knowledge.stored_items.items(now):
                if item.origin == "source" and not isinstance(item, SentAttempt | AdmittedRequest):
                    original = next(
                        candidate
                        for candidate in exported
                        if type(candidate) is type(item) and has_same_subject(candidate, item)
                    )
                    assert (
                        item.outcomes == original.outcomes and item.age >= original.age + 0.25 * turn - 0.01
                    ), item
    assert len(inherited[0].stored_items.by_identity) == item_count
    assert all(
        item.origin == "source" for knowledge in inherited for item in knowledge.stored_items.items(now)
    )


def has_same_subject(first: StateItem, second: StateItem) -> bool:
    """Returns whether two items of one kind have the same subject."""
    keys = ("endpoint", "request_class", "machine_kind", "ratio", "instance", "incarnation", "build", "stage")
    return all(getattr(first, key, None) == getattr(second, key, None) for key in keys)


def test_clock_offset_of_source_does_not_change_merged_state() -> None:
    """The merged state is independent of a source's clock, which may be hours off: only ages are sent."""
    results = []
    for clock_offset in (0.0, 9 * 3600.0, 1e6):
        source, names = make_balancer(now=START_TIME + clock_offset)
        send_requests(source, 60, failing=(1,))
        source.now += 2.0
        receiver, receiver_names = make_balancer(seed=9)
        inherited = make_inherited_knowledge(receiver, receiver_names, "me")
        inherited.put(export_items(source, names, "source", source.now), START_TIME)
        merged = inherited.merged(START_TIME)
        endpoints = {
            name: (round(endpoint.failure_rate, 6), round(endpoint.latency_ratio, 6), endpoint.ejected)
            for name, endpoint in merged.endpoints.items()
        }
        results.append((endpoints, {key: round(value[0], 6) for key, value in merged.latencies.items()}))
    assert results[0] == results[1] == results[2] and results[0][0] and results[0][1], results


def test_reports_of_healthy_endpoints_lose_weight_faster_than_bad_reports() -> None:
    """A good report of a minute ago has no weight, while an ejection of ten seconds ago still counts.

    An endpoint that one source ejected and another source later found healthy is not ejected.
    """

    def merged_endpoint(*items: StateItem) -> Any:
        return merge_items(items, PROCESSES, "me", 2.0, HALF_LIVES).endpoints.get("a")

    assert (
        merged_endpoint(make_health(age=60.0)).weight == 0.0
        and not merged_endpoint(make_health(age=60.0)).ejected
    )
    assert merged_endpoint(make_health(age=10.0, ejected=True, failure_rate=0.6)).ejected
    assert not merged_endpoint(
        make_health(age=10.0, ejected=True, failure_rate=0.6), make_health(origin="e", age=1.0)
    ).ejected
    assert (
        merged_endpoint(
            make_health(age=1.0),
            make_health(origin="e", age=10.0, failure_rate=0.6, ejected=True, outcomes=2),
        ).failure_rate
        > 0.1
    )
    # A report of few outcomes has little weight, and reports that disagree have half of their weight.
    assert (
        merged_endpoint(make_health(outcomes=1)).weight
        < 0.2
        < merged_endpoint(make_health(outcomes=50)).weight
    )
    disagreeing = merged_endpoint(make_health(failure_rate=0.0), make_health(origin="e", failure_rate=0.9))
    assert disagreeing.weight <= 0.5 and disagreeing.failure_rate >= 0.8


def test_health_of_another_process_is_dropped() -> None:
    """Reports are dropped if the endpoint now has another build or start time, or is not listed."""
    for report in (
        make_health("new", build=41),
        make_health("new", started=START_TIME - 9.0),
        make_health("gone"),
    ):
        assert not merge_items([report], PROCESSES, "me", 2.0, HALF_LIVES).endpoints, report
    assert merge_items([make_health("new")], PROCESSES, "me", 2.0, HALF_LIVES).endpoints["new"].weight > 0.5


def test_own_outcomes_are_not_overridden_by_inherited_reports() -> None:
    """Reports of any number of sources do not change the health of endpoints with own outcomes."""
    balancer, names = make_balancer()
    send_requests(balancer, 200)
    inherited = make_inherited_knowledge(balancer, names, "me")
    failure_rates = [endpoint.failure_rate for endpoint in balancer.state.endpoints.by_index.values()]
    inherited.put(
        [
            make_health(f"n{i}", origin=f"d{j}", failure_rate=1.0, ejected=True)
            for i in range(4)
            for j in range(9)
        ],
        0.0,
    )
    balancer.apply_inherited_state(inherited.inherited_state(inherited.merged(0.0), 0.0))
    assert [endpoint.failure_rate for endpoint in balancer.state.endpoints.by_index.values()] == failure_rates
    assert not any(endpoint.ejected for endpoint in balancer.state.endpoints.by_index.values())


def test_inherited_ejected_endpoint_is_health_checked_before_use() -> None:
    """A new instance health-checks endpoints that it inherited as ejected, and sends them no attempts.

    Inherited state ejects at most half of the endpoints of a build.
    """
    balancer, names = make_balancer(endpoint_count=6)
    inherited = make_inherited_knowledge(balancer, names, "me")
    inherited.put(
        [make_health(f"n{i}", age=3.0, failure_rate=0.8, ejected=True) for i in range(6)], START_TIME
    )
    balancer.apply_inherited_state(inherited.inherited_state(inherited.merged(START_TIME), START_TIME))
    ejected = [i for i, endpoint in balancer.state.endpoints.by_index.items() if endpoint.ejected]
    assert 1 <= len(ejected) <= 3, ejected
    timers = {action.timer for action in balancer.actions if isinstance(action, actions.StartTimer)}
    assert {actions.EjectionTimer(i) for i in ejected} <= timers
    balancer.on_timer(actions.EjectionTimer(ejected[0]))
    assert any(
        isinstance(action, actions.CheckHealth) and action.endpoint == ejected[0]
        for action in balancer.actions
    )
    balancer.actions.clear()
    attempted = []
    for number in range(100):
        balancer.on_request(events.Request(number, 0, 0, 5.0))
        attempted += [
            action.endpoint for action in balancer.actions if isinstance(action, actions.StartAttempt)
        ]
        balancer.actions.clear()
    assert attempted and not set(attempted) & set(ejected)


def test_sums_received_twice_count_once() -> None:
    """Sums that arrive repeatedly, or from several sources, are added to the test only once.

    Sums of an earlier incarnation of this instance count once too.
    """
    status = events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, 42, 0, events.Phase.CANARY, 0.2)
    balancer, names = make_balancer()
    balancer.on_release_status(status)
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
    copies = [sums, msgspec.structs.replace(sums, origin="y")]
    inherited = make_inherited_knowledge(balancer, names, "me")
    for _ in range(3):
        inherited.put(copies, START_TIME)
        balancer.apply_inherited_state(inherited.inherited_state(inherited.merged(START_TIME), START_TIME))
    test = balancer.state.test
    assert test and test.sums.fused[0] == 2.5 and test.sums.outcomes == 9, test.sums.fused
    # Sums of another stage, and sums of the instance's current incarnation, are not added.
    larger = msgspec.structs.replace(sums, ratios={0: RatioSum(5.0, 9)})
    own = msgspec.structs.replace(larger, incarnation=balancer.state.incarnation)
    other_stage = msgspec.structs.replace(larger, instance=1, incarnation=1, stage=1)
    inherited.put([own, other_stage], START_TIME)
    balancer.apply_inherited_state(inherited.inherited_state(inherited.merged(START_TIME), START_TIME))
    assert test.sums.fused[0] == 2.5, test.sums.fused


def test_canary_cap_holds_from_the_first_request_after_restart() -> None:
    """The canary's cap also covers attempts that the previous incarnation sent in the exposure window.

    If these attempts are unknown, no spare attempts are used until one window has passed. If a snapshot of an
    orderly shutdown holds these attempts, each of them counts.
    """
    status = events.ReleaseStatus(events.ReplyStatus.ACCEPTED, False, 42, 0, events.Phase.CANARY, 0.2)

    def send_and_count_canary_attempts(balancer: Balancer, count: int) -> int:
        sent = 0
        for number in range(count):
            balancer.now += 0.001
            balancer.on_request(events.Request(number, 0, 0, 5.0))
            sent += sum(
                isinstance(action, actions.StartAttempt) and action.endpoint == 4
                for action in balancer.actions
            )
            balancer.actions.clear()
        return sent

    for previous_window, expected in (("unknown", 0), ("known", 1), ("none", 2)):
        balancer, names = make_balancer()
        balancer.on_release_status(status)
        inherited = make_inherited_knowledge(balancer, names, "me")
        if previous_window == "known":
            inherited.window_known = True
            inherited.put(
                [SentAttempt(origin="me", age=0.5, outcomes=1, build=42, request_class="read")], START_TIME
            )
        if previous_window != "none":
            balancer.apply_inherited_state(
                inherited.inherited_state(inherited.merged(START_TIME), START_TIME)
            )
        balancer.state.random = lambda: 0.0  # chooses the canary wherever chance decides
        sent = send_and_count_canary_attempts(balancer, 4)
        assert sent == expected, (previous_window, sent)
        # In any window, the attempts of both incarnations together stay within the cap.
        sent += send_and_count_canary_attempts(balancer, 200)
        assert sent <= 0.2 * 204 + (
            0 if previous_window == "unknown" else 2 - (previous_window == "known")
        ), (previous_window, sent)
        balancer.now = START_TIME + 2.1
        assert balancer.now >= balancer.state.no_spare_until


def test_slow_start_rate_of_other_instances_reduces_own_attempts() -> None:
    """Attempts of other instances at an endpoint in slow start reduce this instance's share."""
    tokens = {}
    for rate in (0.0, 8.0, 500.0):
        balancer, names = make_balancer()
        balancer.on_endpoint_list([make_endpoint(9, 41, START_TIME - 0.5)], False)
        names = IndexNames(make_settings(SETTINGS), [f"n{i}" for i in range(10)])
        send_requests(balancer, 60)
        endpoint = balancer.state.endpoints.by_index[9]
        endpoint.result_count = endpoint.slow_start_tokens = 0
        inherited = make_inherited_knowledge(balancer, names, "me")
        started = START_TIME - 0.5
        inherited.put(
            [
                SlowStartRate(
                    origin="d", age=0.0, outcomes=3, endpoint="n9", build=41, started=started, rate=rate
                )
            ],
            balancer.now,
        )
        balancer.apply_inherited_state(
            inherited.inherited_state(inherited.merged(balancer.now), balancer.now)
        )
        endpoint.slow_start_tokens, endpoint.tokens_updated_at, balancer.state.traffic.request_rate = (
            0.0,
            balancer.now,
            50.0,
        )
        balancer.now += 0.2
        admits(balancer.state, endpoint)
        tokens[rate] = endpoint.slow_start_tokens
    assert tokens[0.0] > tokens[8.0] > tokens[500.0] == 0.0, tokens


def test_inherited_release_report_only_restricts() -> None:
    """Only lower caps and rollbacks in a source's release reports are used; no report can allow more."""
    from gatebank.state_transfer.weighting import OwnRelease, stricter_report

    own_release = OwnRelease(42, 0, 0.2)
    for build in (41, 42, 43):
        for phase in range(4):
            for cap in (None, 0.0, 0.1, 0.2, 0.9):
                item = ReleaseReport(origin="d", age=1.0, build=build, stage=0, phase=phase, cap=cap)
                if used := stricter_report(item, own_release):
                    is_stricter = used.phase in (1, 3) or (used.cap is not None and used.cap < 0.2)
                    assert is_stricter and build >= 42, item
    assert stricter_report(
        ReleaseReport(origin="d", age=1.0, build=42, stage=0, phase=3, cap=0.0), own_release
    )


def test_outlying_latency_report_is_ignored() -> None:
    """One report of hours among several reports of milliseconds does not change the merged latency."""
    reports = [
        UsualLatency(origin=f"d{i}", age=1.0, outcomes=40, request_class="read", latency=0.02)
        for i in range(3)
    ]
    outlier = UsualLatency(origin="x", age=0.0, outcomes=30, request_class="read", latency=9000.0)
    latency, outcomes = merge_items([*reports, outlier], {}, "me", 2.0, HALF_LIVES).latencies["read", ""]
    assert 0.019 < latency < 0.021 and outcomes <= 40, (latency, outcomes)
