"""KNOWN-RED.txt at the root: tests that fail for a real fault which can't be mended now, three at most.

A line each, `TEST | CAUSE | ISSUE`, where TEST is the id that pytest prints. They are run like all others
and told of in the summary; the run fails where the list names no test, one that does not fail, one test
twice, more than three, or can't be read.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MOST_LISTED = 3


@dataclass(frozen=True, slots=True)
class KnownRedTest:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> tuple[list[KnownRedTest], list[str]]:
    """The tests of a list, and what is wrong with its form.

    >>> parse("a.py::b | a slow desk | 40\\n")
    ([KnownRedTest(test='a.py::b', cause='a slow desk', issue='40')], [])
    >>> parse("a.py::b | a slow desk\\n")
    ([], ['a.py::b | a slow desk: no TEST | CAUSE | ISSUE'])
    """
    listed = list[KnownRedTest]()
    faults = list[str]()
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) == 3 and all(fields) and fields[2].isdigit():
            listed.append(KnownRedTest(*fields))
        else:
            faults.append(f"{' | '.join(fields)}: no TEST | CAUSE | ISSUE")
    if len(listed) > MOST_LISTED:
        faults.append(f"{len(listed)} tests, {MOST_LISTED} at most")
    names = [row.test for row in listed]
    faults += [f"{name}: named twice" for name in sorted(set(names)) if names.count(name) > 1]
    return listed, faults


def failure_message(report: pytest.TestReport) -> str:
    """The first line of what failed: the exception's message, or the text of an item of its own kind."""
    crash = getattr(report.longrepr, "reprcrash", None)
    text = crash.message if crash else report.longreprtext
    return text.strip().partition("\n")[0]


class KnownRed:
    """The pytest plugin: a listed test is expected to fail, strictly, and the list itself is checked.

    With pytest-xdist it runs in the workers, which mark the tests, and in the controller, which judges the
    run.
    """

    def __init__(self, path: Path) -> None:
        self.listed, self.faults = parse(path.read_text() if path.exists() else "")
        self.outcomes = dict[str, list[str]]()
        self.collected = set[str]()
        self.errors = list[str]()
        self.failures = dict[str, str]()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark what is listed; runs in the process that runs the tests."""
        rows = {row.test: row for row in self.listed}
        for item in items:
            self.collected.add(item.nodeid)
            if row := rows.get(item.nodeid):
                reason = f"known red: {row.cause}, issue {row.issue}"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True, run=True))

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        """What a worker collected."""
        self.collected.update(ids)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Keep how each phase of a listed test ended."""
        if any(row.test == report.nodeid for row in self.listed):
            failed_as_listed = hasattr(report, "wasxfail") and report.skipped
            outcome = "known red" if failed_as_listed else report.outcome
            if failed_as_listed:
                self.failures[report.nodeid] = failure_message(report)
            self.outcomes.setdefault(report.nodeid, []).append(outcome)

    def wrong(self, whole_run: bool) -> list[str]:
        """What fails the run: faults of form, tests that are none, and tests that did not fail.

        Args:
            whole_run: all tests were asked for, so that a name which was not collected is no test.
        """
        found = list(self.faults)
        for row in self.listed:
            if row.test not in self.collected:
                if whole_run:
                    found.append(f"{row.test}: no such test")
            elif "known red" not in self.outcomes.get(row.test, ()) and row.test in self.outcomes:
                found.append(f"{row.test}: it does not fail; take it off")
            elif row.test not in self.outcomes and whole_run:
                found.append(f"{row.test}: it was not run")
        return found

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Judge the list and fail the run if it is wrong."""
        config = session.config
        if hasattr(config, "workerinput") or config.option.collectonly:
            return
        options = config.option
        narrowed = options.keyword or options.markexpr or options.deselect or getattr(options, "lf", False)
        asked_for_all = config.args_source is not pytest.Config.ArgsSource.ARGS
        self.errors = self.wrong(whole_run=asked_for_all and not narrowed)
        if self.errors and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the known red tests with how they failed, and what is wrong with the list."""
        for row in self.listed:
            if failure := self.failures.get(row.test):
                line = f"known red: {row.test} ({row.cause}, issue {row.issue}): {failure}"
                terminalreporter.write_line(line, yellow=True)
        for error in self.errors:
            terminalreporter.write_line(f"FAILED KNOWN-RED.txt: {error}", red=True)
