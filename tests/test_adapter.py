"""The adapter on standard input and output."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path


def run_adapter(text: str) -> tuple[int, list[str], str]:
    command = [sys.executable, "-m", "gatebank.simulator"]
    done = subprocess.run(command, input=text, capture_output=True, text=True, timeout=60)
    return done.returncode, done.stdout.splitlines(), done.stderr


def test_adapter_answers_an_exchange_and_refuses_bad_input() -> None:
    """Wire exchange.

    A short exchange drives the real adapter; bad input ends it with one plain line.
    """
    text = (Path(__file__).parent / "exchange.jsonl").read_text()
    code, replies, _ = run_adapter(text)
    assert code == 0 and len(replies) == text.count("\n"), (code, replies)
    parts = [json.loads(reply)["parts"] for reply in replies]
    said = [[(each["msg"], each) for part in reply for each in part["outbox"]] for reply in parts]
    routes = [action for _, action in said[1] if action["msg"] == "Route"]
    assert [r["call"] for r in routes] == ["c-1"] and routes[0]["node"] in ("node-a", "node-b"), said[1]
    assert [a["node"] for k, a in said[2] if k == "Route"] == ["node-c"], said[2]  # list 0 used again
    assert any(k == "Surrender" and a["call"] == "c-3" for k, a in said[3]), said[3]
    assert run_adapter(text)[1] == replies, "the same input, another reply"
    part = '{"t-ms":9,"parts":[{"marshal":"marshal-0","msgs":[%s]}]}'
    first = text.splitlines()[0] + "\n"
    for bad, word in (("{", "JSON"), (part % "{}", "marshal-0"), (first + part % '{"msg":"Odd"}', "'Odd'")):
        code, _, err = run_adapter(bad + "\n")
        assert code and err.count("\n") == 1 and word in err, (code, err)
