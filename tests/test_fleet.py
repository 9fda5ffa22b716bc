"""What is harmless in one marshal and harmful in all: many of them against one discovery, by its clock."""

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


def calls(marshals: int, until: float) -> list[float]:
    """When they call a discovery that refuses all of them until then."""
    fleet = [
        PollBackoff(make_settings({"endpoint_list_mode": "ask", "instance_count": marshals}), Random(me))
        for me in range(marshals)
    ]
    due, found = [(each.first_delay(), me) for me, each in enumerate(fleet)], list[float]()
    heapq.heapify(due)
    while due and due[0][0] < until:
        at, me = heapq.heappop(due)
        found.append(at)
        heapq.heappush(due, (at + fleet[me].delay_after_failure(True), me))
    return found


def test_refused_fleet_does_not_keep_discovery_busy() -> None:
    """Refused.

    However many are refused together, discovery is not kept busy by their tries; each tries again before
    what it misses counts as told.
    """
    for marshals in (40, 200):
        by_second = [0] * 20
        for at in calls(marshals, 20.0):
            by_second[int(at)] += 1
        rate = marshals / MAX_RETRY_DELAY_S
        assert max(by_second[2:]) <= max(2 * FLEET_CALLS_PER_S, 2 * rate), (marshals, by_second)
        assert sum(by_second[10:]) <= 12.5 * rate, (marshals, by_second)
        assert min(by_second[2:]) > 0, by_second
    assert 1.5 * MAX_RETRY_DELAY_S <= 6.0
    assert len(calls(1, 2.0)) >= 5, "one alone costs discovery little"


def test_silent_watch_is_opened_anew_soon() -> None:
    """Silent.

    A watch that fell silent is opened anew soon; an agent of one's own is asked without growing pauses.
    """
    tries = PollBackoff(make_settings({"endpoint_list_mode": "ask", "instance_count": 200}), Random(1))
    assert tries.delay_after_failure(False) <= 1.5 * MIN_RETRY_DELAY_S
    for _ in range(20):
        tries.delay_after_failure(False)
    assert tries.delay_after_failure(False) > 1.0
    tries.reset()
    assert tries.delay_after_failure(False) <= 1.5 * MIN_RETRY_DELAY_S
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


def test_fleet_command_counts_spoilt_logs() -> None:
    """Counted.

    From made-up logs: a restart begins anew, a lost start counts nothing before it, and what is spoilt
    (noise, a number that is none, one that fell, a last line that was cut) is counted and costs no more.
    """
    with tempfile.TemporaryDirectory() as name:
        folder, run = Path(name), CliRunner()
        missing = run.invoke(app, [str(folder)])
        assert missing.exit_code == 2 and missing.output.count("\n") == 1, missing.output
        for each, text in LOGS.items():
            (folder / f"{each}.log").write_text(text)
        told = run.invoke(app, [str(folder), "--every", "1", "--json"])
        rows = {row["second"] + 100: row for row in map(json.loads, told.output.splitlines())}
        assert sum(row["probes"] for row in rows.values()) == 4 + 2 + 6, rows
        assert sum(row["roll_calls"] for row in rows.values()) == 11, rows
        assert rows[104]["probes"] == rows[105]["probes"] == 1, rows
        assert sum(row["vote_counted"] for row in rows.values()) == 2, rows
        shown = run.invoke(app, [str(folder)])
        assert "2 marshals, 2 starts, 4 lines spoilt" in shown.output, shown.output
