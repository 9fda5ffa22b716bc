"""The soak test: some seeds played with real instances, and a check of its rules with broken instances."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path

import pytest

from tests.soak.play import play
from tests.soak.records import ConnectionEnd, Incarnation, InstanceStall, Records, RequestRecord
from tests.soak.rules.answers import check_answers
from tests.soak.schedule import ClientBehaviour, Fault, FaultKind, Schedule, Site, draw_schedule
from tests.soak.site_settings import make_limits, make_settings

pytestmark = pytest.mark.uvloop

SEEDS = (1, 2, 3, 4, 5, 6)  # Always the same seeds; the long run with more seeds is started by hand.
LOAD_S = 6.0
SITE = Site(
    instances=2,
    endpoints=4,
    reply_time=0.02,
    can_cancel=True,
    may_duplicate=True,
    may_check_health=True,
    may_message_peers=True,
    connection_idle_ms=1000,
    attempts_per_connection=1,
    descriptors=512,
    endpoint_idle_ratio=1.0,
    polls_discovery=False,
)
CLIENTS = ClientBehaviour(
    per_instance=10,
    mean_pause=0.05,
    split_writes=0.0,
    pipelined=0.0,
    disconnecting=0.0,
    partial_commands=0.0,
    short_timeouts=0.0,
    large_bodies=0.0,
)
QUIET = Schedule(seed=0, load_seconds=3.0, site=SITE, clients=CLIENTS, unusual_replies=0.0, faults=())
DISCONNECTING = replace(QUIET, clients=replace(CLIENTS, disconnecting=0.05))
SLOW_ENDPOINTS = replace(QUIET, site=replace(SITE, reply_time=0.05))
FREQUENT_REQUESTS = replace(SLOW_ENDPOINTS, clients=replace(CLIENTS, mean_pause=0.01))
RARE_REQUESTS = replace(QUIET, clients=replace(CLIENTS, per_instance=30, mean_pause=1.0))
PAUSED_THEN_RESET = tuple(
    Fault(0.4 * (1 + number), FaultKind.ENDPOINT_PAUSE_THEN_RESET, number, 0.35) for number in range(10)
)
DISCONNECTING_OFTEN = replace(
    QUIET, load_seconds=5.0, clients=replace(CLIENTS, disconnecting=0.5), faults=PAUSED_THEN_RESET
)
RETURNING = replace(QUIET, clients=replace(CLIENTS, disconnecting=0.5, returning=1.0))
PARTIAL_COMMANDS = replace(QUIET, clients=replace(CLIENTS, partial_commands=0.02))


def with_fault(
    kind: FaultKind, seconds: float = 0.5, detail: str = "", load: float = 3.0, schedule: Schedule = QUIET
) -> Schedule:
    """Return a schedule without random faults, but with this one fault."""
    return replace(schedule, load_seconds=load, faults=(Fault(0.5, kind, 0, seconds, detail),))


STICKY_CANARY = with_fault(
    FaultKind.CANARY, 2.0, "good", 5.0, replace(QUIET, site=replace(SITE, has_sticky_keys=True))
)
STARVED_FLOOD = with_fault(FaultKind.STARVED_FLOOD, 3.0, "empty 200", 4.0)


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_rule_is_broken(seed: int, tmp_path: Path) -> None:
    """A play of a seed, with a shorter load than in the long run, breaks no rule."""
    result = await play(draw_schedule(seed, LOAD_S), tmp_path)
    assert result.is_clean, "\n".join([f"traces: {tmp_path}", *result.breaks, result.problem])
    assert result.requests > 100


@pytest.mark.parametrize(
    ("sent_at", "stop", "is_lost"),
    [
        (0.04, None, False),
        (0.06, None, True),
        (0.06, InstanceStall(0, -0.08, -0.005), False),
        (0.06, InstanceStall(1, -0.08, -0.005), True),
        (0.30, InstanceStall(0, -0.08, -0.005), True),
    ],
)
def test_request_that_crosses_the_end_of_its_connection(
    sent_at: float, stop: InstanceStall | None, is_lost: bool
) -> None:
    """Unread at the end of its connection, a request is lost if it was sent ``sent_at`` seconds before.

    An instance without processor time in between cannot see the request.
    """
    records = Records(make_limits(SITE, make_settings(SITE)))
    records.incarnations.append(Incarnation(0, 0, 0.0))
    request = RequestRecord(b"1", 0, 0, "read", 1.0, b"", True, sent_at=10.0 - sent_at)
    request.end, request.ended_at = ConnectionEnd.REQUEST_UNREAD, 10.0
    records.requests[request.id] = request
    if stop:
        records.processor_stops.append(InstanceStall(stop.instance, 10.0 + stop.begin, 10.0 + stop.end))
    assert [violation.rule for violation in check_answers(records)] == ["lost"] * is_lost


@pytest.mark.parametrize("schedule", [QUIET, STICKY_CANARY, STARVED_FLOOD])
async def test_quiet_play_breaks_no_rule(schedule: Schedule, tmp_path: Path) -> None:
    """The basis of the broken instances' schedules breaks no rule, nor do some of these schedules."""
    result = await play(schedule, tmp_path)
    assert result.is_clean, "\n".join([*result.breaks, result.problem])


@pytest.mark.parametrize(
    ("fault", "rule", "schedule"),
    [
        ("lose_answers", "lost", QUIET),
        ("answer_twice", "unsolicited answer", QUIET),
        ("give_answer_of_other_request", "answer of another request", QUIET),
        ("answer_late", "late", QUIET),
        ("send_after_close", "attempt after the end", DISCONNECTING),
        ("ignore_client_disconnects", "attempt after the end", DISCONNECTING_OFTEN),
        ("send_twice", "effect twice", QUIET),
        ("reject_served", "rejected after it ran", QUIET),
        ("ignore_drains", "drain", with_fault(FaultKind.ENDPOINT_DRAIN, load=4.5)),
        (
            "flood_cold_endpoints",
            "cold endpoint",
            with_fault(FaultKind.ENDPOINT_RESTART, schedule=SLOW_ENDPOINTS),
        ),
        ("exceed_cap", "exposure", with_fault(FaultKind.CANARY, detail="good")),
        ("send_too_long_timeouts", "timeout too long", QUIET),
        ("change_bodies", "command changed", QUIET),
        ("send_long_datagrams", "datagram too long", QUIET),
        ("crash", "crash", QUIET),
        ("start_slowly", "not ready", QUIET),
        ("leak_descriptors", "descriptors not given back", QUIET),
        ("leak_memory", "memory not given back", QUIET),
        ("leak_memory", "memory", replace(QUIET, site=replace(SITE, memory_mb=32))),
        ("forget_ids", "effect twice", RETURNING),
        ("ignore_partial_commands", "late", PARTIAL_COMMANDS),
        ("close_at_sigterm", "lost", with_fault(FaultKind.INSTANCE_RESTART, schedule=FREQUENT_REQUESTS)),
        ("forget_keys", "key went back", STICKY_CANARY),
        ("skip_empty_commands", "late", STARVED_FLOOD),
        ("fall_silent_at_sigterm", "lost", with_fault(FaultKind.INSTANCE_RESTART, schedule=RARE_REQUESTS)),
    ],
)
async def test_broken_instance_is_found(fault: str, rule: str, schedule: Schedule, tmp_path: Path) -> None:
    """A rule detects an instance that breaks it, in one request of a hundred where that is possible."""
    command = f"exec {sys.executable} -m tests.soak.broken_instance {fault}"
    result = await play(schedule, tmp_path, command)
    assert rule in result.rules_broken, "\n".join([str(result), *result.breaks, result.problem])


def test_schedule_comes_from_the_seed_alone() -> None:
    """The same seed gives the same schedule, and different seeds give different schedules."""
    assert draw_schedule(3) == draw_schedule(3)
    assert len({str(draw_schedule(seed)) for seed in range(20)}) == 20
