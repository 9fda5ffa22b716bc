"""Tests of the simulator's adapter, which reads standard input and writes standard output."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path


def run_adapter(text: str) -> tuple[int, list[str], str]:
    command = [sys.executable, "-m", "gatebank.simulator"]
    completed = subprocess.run(command, input=text, capture_output=True, text=True, timeout=60)
    return completed.returncode, completed.stdout.splitlines(), completed.stderr


def test_adapter_answers_a_recorded_exchange_and_exits_on_malformed_input() -> None:
    """The adapter answers a short exchange.

    The exchange is played against the real program. Malformed input ends the program with one plain line.
    """
    text = (Path(__file__).parent / "exchange.jsonl").read_text()
    status, replies, _ = run_adapter(text)
    assert status == 0 and len(replies) == text.count("\n"), (status, replies)
    parts = [json.loads(reply)["parts"] for reply in replies]
    actions = [[(action["msg"], action) for part in reply for action in part["outbox"]] for reply in parts]
    routes = [action for _, action in actions[1] if action["msg"] == "Route"]
    assert [r["call"] for r in routes] == ["c-1"] and routes[0]["node"] in ("node-a", "node-b"), actions[1]
    # The third batch sends a new list 0, which replaces the first one.
    assert [action["node"] for kind, action in actions[2] if kind == "Route"] == ["node-c"], actions[2]
    assert any(kind == "Surrender" and action["call"] == "c-3" for kind, action in actions[3]), actions[3]
    assert run_adapter(text)[1] == replies, "the same input gave another reply"
    part = '{"t-ms":9,"parts":[{"marshal":"marshal-0","msgs":[%s]}]}'
    first_batch = text.splitlines()[0] + "\n"
    for malformed, expected_word in (
        ("{", "JSON"),
        (part % "{}", "marshal-0"),
        (first_batch + part % '{"msg":"Odd"}', "'Odd'"),
    ):
        status, _, error = run_adapter(malformed + "\n")
        assert status and error.count("\n") == 1 and expected_word in error, (status, error)
