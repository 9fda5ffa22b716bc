"""Collection of scenario files by pytest, and the run of their scenarios."""

from __future__ import annotations

import pytest

from tests.support.socket_scenarios import ROOT

PASSES = "== first\nexpect votes 0\n"
FAILS = "== second\nendpoints 7:42; expect votes 3\n"


@pytest.fixture
def inner(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch) -> pytest.Pytester:
    """Return a pytester whose folder has the conftest of these tests."""
    monkeypatch.setenv("PYTHONPATH", str(ROOT))
    pytester.makeini("[pytest]\nasyncio_default_fixture_loop_scope = function\n")
    pytester.makeconftest((ROOT / "tests/conftest.py").read_text())
    return pytester


def test_each_scenario_is_a_test_item_named_by_its_title(inner: pytest.Pytester) -> None:
    """A failing scenario does not fail other scenarios, and its failed step is reported."""
    (inner.path / "made.scenarios").write_text(PASSES + FAILS)
    result = inner.runpytest_inprocess("-n", "0", "-v")
    result.assert_outcomes(passed=1, failed=1)
    result.stdout.fnmatch_lines(
        ["made.scenarios::first PASSED*", "made.scenarios::second FAILED*", "second: expect votes 3: *"]
    )


@pytest.mark.parametrize(
    ("name", "steps"),
    [
        pytest.param("captures", "open 1; expect 7 exchanges", id="captures"),
        pytest.param("sockets", "endpoints a:41; instances 1; request read 2000 busy", id="sockets"),
    ],
)
def test_each_file_is_played_by_its_own_player(inner: pytest.Pytester, name: str, steps: str) -> None:
    """A wrong expectation also fails in captures.scenarios and sockets.scenarios."""
    (inner.path / f"{name}.scenarios").write_text(f"== wrong\n{steps}\n")
    result = inner.runpytest_inprocess("-n", "0")
    result.assert_outcomes(failed=1)
    result.stdout.fnmatch_lines([f"*{steps.split('; ')[-1]}: AssertionError*"])


@pytest.mark.parametrize(
    ("text", "message"),
    [
        pytest.param(
            PASSES + PASSES, "*made.scenarios: two scenarios have the same title: first*", id="twice"
        ),
        pytest.param("", "*made.scenarios: no scenario*", id="empty"),
    ],
)
def test_faulty_files_are_collection_errors(inner: pytest.Pytester, text: str, message: str) -> None:
    """Two scenarios with the same title, or a file without any, would hide a scenario that is not played."""
    (inner.path / "made.scenarios").write_text(text)
    result = inner.runpytest_inprocess("-n", "0")
    result.assert_outcomes(errors=1)
    result.stdout.fnmatch_lines([message])
    assert result.ret == pytest.ExitCode.INTERRUPTED
