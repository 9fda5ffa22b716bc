"""Behaviour of a whole fleet: many instances that poll one discovery service, and counts over their logs."""

from __future__ import annotations

import heapq
import json
import tempfile
from pathlib import Path
from random import Random

from typer.testing import CliRunner

from gatebank.cli.fleet import app
from gatebank.proxy.discovery import FLEET_CALLS_PER_S, MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S, PollBackoff
from tests.support.settings_factory import make_settings


def call_times(instance_count: int, end: float) -> list[float]:
    """Return the times at which instances call a discovery service that refuses all calls until ``end``."""
    backoffs = [
        PollBackoff(
            make_settings({"endpoint_list_mode": "ask", "instance_count": instance_count}), Random(instance)
        )
        for instance in range(instance_count)
    ]
    due, times = (
        [(backoff.first_delay(), instance) for instance, backoff in enumerate(backoffs)],
        list[float](),
    )
    heapq.heapify(due)
    while due and due[0][0] < end:
        at, instance = heapq.heappop(due)
        times.append(at)
        heapq.heappush(due, (at + backoffs[instance].delay_after_failure(True), instance))
    return times


def test_refused_fleet_does_not_keep_discovery_busy() -> None:
    """The retries of many refused instances must not overload discovery.

    Each instance must still retry within the 6 s after which the protocol counts it as informed of a list.
    """
    for instance_count in (40, 200):
        calls_by_second = [0] * 20
        for at in call_times(instance_count, 20.0):
            calls_by_second[int(at)] += 1
        rate = instance_count / MAX_RETRY_DELAY_S
        assert max(calls_by_second[2:]) <= max(2 * FLEET_CALLS_PER_S, 2 * rate), (
            instance_count,
            calls_by_second,
        )
        assert sum(calls_by_second[10:]) <= 12.5 * rate, (instance_count, calls_by_second)
        assert min(calls_by_second[2:]) > 0, calls_by_second
    assert 1.5 * MAX_RETRY_DELAY_S <= 6.0
    assert len(call_times(1, 2.0)) >= 5, "a single instance puts little load on discovery and retries often"


def test_backoff_grows_after_silence_but_not_for_local_agent() -> None:
    """The first retry after a silent call comes soon, and further delays grow.

    The delay is constant for a discovery agent on the instance's own machine.
    """
    backoff = PollBackoff(make_settings({"endpoint_list_mode": "ask", "instance_count": 200}), Random(1))
    assert backoff.delay_after_failure(False) <= 1.5 * MIN_RETRY_DELAY_S
    for _ in range(20):
        backoff.delay_after_failure(False)
    assert backoff.delay_after_failure(False) > 1.0
    backoff.reset()
    assert backoff.delay_after_failure(False) <= 1.5 * MIN_RETRY_DELAY_S
    agent = PollBackoff(make_settings({"endpoint_list_mode": "push", "instance_count": 200}), Random(1))
    assert {agent.delay_after_failure(True) for _ in range(20)} == {
        MIN_RETRY_DELAY_S
    } and agent.first_delay() == 0.0


LOGS = {
    "a": """0.0 at=100.2 level=info event=ready name=a nodes=4
1.0 at=101.2 level=debug event=standing in_hand=3 probes=4 roll_calls=1 vote_counted=1
noise
2.0 at=102.2 level=debug event=standing in_hand=1 probes=4 roll_calls=11 vote_counted=2
3.0 at=103.2 level=debug event=standing in_hand=1 probes=1
at=104.0 level=info event=ready name=a nodes=4
at=105.0 level=info event=standing probes=2 roll_calls=x
at=106.0 level=info event=standing probes=2
at=107.0 level=info event=standing probes=200""",
    "b": """at=100.0 level=info event=standing probes=1000
at=103.0 level=info event=standing probes=1006
""",
}


def test_fleet_command_counts_damaged_logs() -> None:
    """The fleet command reports counts even from damaged logs.

    Counters start again after a restart. If the start of a log is missing, earlier counts are ignored.
    Damaged lines (noise, an invalid number, a counter that decreased, a truncated last line) are reported and
    otherwise ignored.
    """
    with tempfile.TemporaryDirectory() as name:
        folder, runner = Path(name), CliRunner()
        missing = runner.invoke(app, [str(folder)])
        assert missing.exit_code == 2 and missing.output.count("\n") == 1, missing.output
        for instance, text in LOGS.items():
            (folder / f"{instance}.log").write_text(text)
        counts = runner.invoke(app, [str(folder), "--every", "1", "--json"])
        rows = {row["second"] + 100: row for row in map(json.loads, counts.output.splitlines())}
        assert sum(row["probes"] for row in rows.values()) == 4 + 2 + 6, rows
        assert sum(row["roll_calls"] for row in rows.values()) == 11, rows
        assert rows[104]["probes"] == rows[105]["probes"] == 1, rows
        assert sum(row["vote_counted"] for row in rows.values()) == 2, rows
        summary = runner.invoke(app, [str(folder)])
        assert "2 marshals, 2 starts, 4 lines spoilt" in summary.output, summary.output
