"""The plugin for KNOWN-RED.txt, in runs of pytest with the conftest of these tests."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.support.known_red import KnownRed, parse_list
from tests.support.socket_scenarios import ROOT

INNER_TESTS = """
import pytest

def test_a():
    pass

def test_b():
    assert False, "odd"

test_d = test_e = test_b

def test_c():
    assert False, "even"
"""
ROW = "test_inner.py::test_{} | a cause | 7\n".format


@pytest.fixture
def inner(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch) -> pytest.Pytester:
    """Return a pytester with five tests, of which only `test_a` passes, and the conftest of these tests."""
    monkeypatch.setenv("PYTHONPATH", str(ROOT))
    pytester.makeini("[pytest]\nasyncio_default_fixture_loop_scope = function\n")
    pytester.makeconftest((ROOT / "tests/conftest.py").read_text())
    pytester.makepyfile(test_inner=INNER_TESTS)
    return pytester


def run(inner: pytest.Pytester, listed: str | None, *options: str) -> pytest.RunResult:
    """Run the inner tests with this list, or without a list for None."""
    if listed is not None:
        (inner.path / "KNOWN-RED.txt").write_text(listed)
    return inner.runpytest_inprocess("-p", "no:cacheprovider", *options)


@pytest.mark.parametrize(
    ("listed", "failed", "known", "lines"),
    [
        pytest.param(None, 4, 0, ["FAILED test_inner.py::test_b*odd"], id="no file"),
        pytest.param("", 4, 0, ["FAILED test_inner.py::test_b*odd"], id="empty"),
        pytest.param("\n \n", 4, 0, ["FAILED test_inner.py::test_e*odd"], id="empty lines"),
        pytest.param(
            ROW("b"), 3, 1, ["known red: test_inner.py::test_b (a cause, issue 7): *odd*"], id="one"
        ),
        pytest.param("".join(map(ROW, "bcd")), 1, 3, ["FAILED test_inner.py::test_e*odd"], id="three"),
        pytest.param(
            ROW("f"), 4, 0, ["FAILED KNOWN-RED.txt: test_inner.py::test_f: no such test"], id="unknown"
        ),
        pytest.param(
            ROW("a"),
            5,
            0,
            ["FAILED KNOWN-RED.txt: test_inner.py::test_a: it does not fail; remove it from the list"],
            id="passes",
        ),
        pytest.param(
            ROW("b") + ROW("b"),
            3,
            1,
            ["FAILED KNOWN-RED.txt: test_inner.py::test_b: listed twice"],
            id="twice",
        ),
        pytest.param(
            "test_inner.py::test_b | a cause\n",
            4,
            0,
            ["FAILED KNOWN-RED.txt: test_inner.py::test_b | a cause: not in the form TEST*"],
            id="no issue",
        ),
        pytest.param(
            "test_inner.py::test_b | a cause | soon\n",
            4,
            0,
            ["FAILED KNOWN-RED.txt: *"],
            id="issue that is not a number",
        ),
        pytest.param("test_inner.py::test_b | | 7\n", 4, 0, ["FAILED KNOWN-RED.txt: *"], id="no cause"),
        pytest.param(
            "test_inner.py::test_b | a cause | 7 | often\n",
            4,
            0,
            ["FAILED KNOWN-RED.txt: test_inner.py::test_b | a cause | 7 | often: not in the form TEST*"],
            id="frequency without numbers",
        ),
        pytest.param(
            "test_inner.py::test_b | a cause | 7 | 50 of 50\n",
            4,
            0,
            ["FAILED KNOWN-RED.txt: *50 of 50: not in the form TEST*"],
            id="frequency of a test that always fails",
        ),
        pytest.param(
            "command: play --days 3 | nothing was served | 7\n",
            4,
            0,
            ["FAILED KNOWN-RED.txt: command: play --days 3*: the command names no seed"],
            id="command without a seed",
        ),
    ],
)
def test_only_listed_tests_may_fail(
    inner: pytest.Pytester, listed: str | None, failed: int, known: int, lines: list[str]
) -> None:
    """The run fails for every failure that is not listed, and for every error in the list."""
    result = run(inner, listed, "-n", "0", "-rfE")
    passed = 0 if failed == 5 else 1
    result.assert_outcomes(passed=passed, failed=failed, xfailed=known)
    result.stdout.fnmatch_lines(lines)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


TESTS_WITH_ONE_FAILURE = "def test_a(): pass\ndef test_b(): assert False, 'odd'\n"


@pytest.mark.parametrize("workers", ["0", "2"])
@pytest.mark.parametrize(
    ("listed", "status", "line"),
    [
        pytest.param(ROW("b"), 0, "known red: test_inner.py::test_b (a cause, issue 7): *odd*", id="one"),
        pytest.param(ROW("b") + ROW("f"), 1, "FAILED KNOWN-RED.txt: *test_f: no such test", id="unknown"),
        pytest.param(ROW("b") + ROW("a"), 1, "FAILED KNOWN-RED.txt: *test_a: it does not fail*", id="passes"),
        pytest.param(
            ROW("b") + "x | y\n", 1, "FAILED KNOWN-RED.txt: x | y: not in the form TEST*", id="format error"
        ),
        pytest.param(ROW("b") + ROW("b"), 1, "FAILED KNOWN-RED.txt: *test_b: listed twice", id="twice"),
    ],
)
def test_list_decides_the_status_of_a_run(
    inner: pytest.Pytester, listed: str, status: int, line: str, workers: str
) -> None:
    """A run whose only failure is listed passes; an error in the list fails it, also with pytest-xdist."""
    inner.makepyfile(test_inner=TESTS_WITH_ONE_FAILURE)
    result = run(inner, listed, "-n", workers)
    result.stdout.fnmatch_lines([line])
    assert result.ret == status


def test_four_listed_tests_that_fail_pass_the_run(inner: pytest.Pytester) -> None:
    """The plugin does not limit the number of listed tests."""
    inner.makepyfile(test_inner="\n".join(f"def test_{name}(): assert False" for name in "bcde"))
    result = run(inner, "".join(map(ROW, "bcde")), "-n", "0")
    result.assert_outcomes(xfailed=4)
    assert result.ret == pytest.ExitCode.OK


@pytest.mark.parametrize("workers", ["0", "2"])
@pytest.mark.parametrize(
    ("body", "status", "line"),
    [
        pytest.param(
            "assert False, 'odd'", 0, "known red: *test_b (a cause*fails 3 of 50): *odd*", id="fails"
        ),
        pytest.param("pass", 0, "known red: *test_b (a cause*fails 3 of 50): passed this time", id="passes"),
        pytest.param(
            "import pytest; pytest.skip('no')",
            1,
            "FAILED KNOWN-RED.txt: *test_b: it does not fail*",
            id="skipped",
        ),
    ],
)
def test_listed_test_with_a_frequency_may_pass_or_fail(
    inner: pytest.Pytester, body: str, status: int, line: str, workers: str
) -> None:
    """A test listed with a frequency is run and printed; the run passes with either outcome."""
    inner.makepyfile(test_inner=f"def test_a(): pass\ndef test_b(): {body}")
    result = run(inner, "test_inner.py::test_b | a cause | 7 | 3 of 50\n", "-n", workers)
    result.stdout.fnmatch_lines([line])
    assert result.ret == status


def test_frequency_of_a_test_does_not_cover_other_tests(inner: pytest.Pytester) -> None:
    """A failure of a test that is not listed fails the run."""
    result = run(inner, "test_inner.py::test_b | a cause | 7 | 3 of 50\n" + ROW("c"), "-n", "0")
    result.assert_outcomes(passed=1, failed=2, xfailed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_command_is_printed_and_not_run(inner: pytest.Pytester) -> None:
    """A failure that no test reproduces is printed with its command."""
    inner.makepyfile(test_inner="def test_a(): pass")
    result = run(inner, "command: play roll --seed 7 | a score of 0.0 | 26\n", "-n", "0")
    result.stdout.fnmatch_lines(
        ["known red: command: play roll --seed 7 (a score of 0.0, issue 26): not run here"]
    )
    assert result.ret == pytest.ExitCode.OK


def test_listed_test_that_is_skipped_is_an_error(inner: pytest.Pytester) -> None:
    """A listed test that is skipped did not fail, so that the list is wrong."""
    inner.makepyfile(test_inner="import pytest\ndef test_b(): pytest.skip('not now')")
    result = run(inner, ROW("b"), "-n", "0")
    result.stdout.fnmatch_lines(["FAILED KNOWN-RED.txt: *test_b: it does not fail; remove it from the list"])
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_scenario_may_be_listed(inner: pytest.Pytester) -> None:
    """A scenario is listed by its file and title, as pytest prints it."""
    (inner.path / "test_inner.py").unlink()
    (inner.path / "made.scenarios").write_text("== a title\nsettings instance_count=1\nexpect votes 3\n")
    result = run(inner, "made.scenarios::a title | a cause | 7\n", "-n", "0")
    result.assert_outcomes(xfailed=1)
    result.stdout.fnmatch_lines(["known red: made.scenarios::a title (a cause, issue 7): *expect votes 3*"])
    assert result.ret == pytest.ExitCode.OK


def test_run_of_some_tests_ignores_other_listed_tests(inner: pytest.Pytester) -> None:
    """A run of one test does not fail because of a listed test that was not selected."""
    result = run(inner, ROW("b"), "-n", "0", "test_inner.py::test_a")
    result.assert_outcomes(passed=1)
    assert result.ret == pytest.ExitCode.OK


def test_no_file_is_an_empty_list(tmp_path: Path) -> None:
    """Without a file, no test is listed and the list has no errors."""
    plugin = KnownRed(tmp_path / "no-such-list.txt")
    assert (plugin.listed, plugin.faults) == parse_list("") == ([], [])
