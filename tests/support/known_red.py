"""pytest plugin for KNOWN-RED.txt at the root: tests that fail because of real faults not yet fixed.

The list is kept short. Each line has three or four fields:

    TEST | CAUSE | ISSUE              a test that always fails, by the id that pytest prints
    TEST | CAUSE | ISSUE | 3 of 50    a test that failed in 3 of 50 runs
    command: WORDS | SEEN | ISSUE     a failure that no test reproduces: the command with its seed, and the
                                      observation

Listed tests are run like all others, and the summary of the run prints each line. The run fails if the list
contains a malformed line, a test twice, or a test that does not exist, does not fail or was skipped. A test
that fails only sometimes may pass or fail. Commands are not run.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

COMMAND = "command: "
FREQUENCY = re.compile(r"(\d+) of (\d+)")
FORMAT_ERROR = "not in the form TEST | CAUSE | ISSUE, with | N of M added if the test fails only sometimes"


@dataclass(frozen=True, slots=True)
class KnownRedCase:
    """A line of the list.

    Attributes:
        name: A test's id, or ``command: `` and the command.
        cause: The cause of the failure, or the observation.
        issue: The number of the issue.
        frequency: The number of failures and runs, such as ``3 of 50``; empty for a test that always fails.
    """

    name: str
    cause: str
    issue: str
    frequency: str = ""

    @property
    def is_command(self) -> bool:
        """Whether the case is a command, which is not run with the tests."""
        return self.name.startswith(COMMAND)

    def __str__(self) -> str:
        """Return the case as the summary prints it."""
        frequency = f", fails {self.frequency}" if self.frequency else ""
        return f"{self.name} ({self.cause}, issue {self.issue}{frequency})"


def parse_list(text: str) -> tuple[list[KnownRedCase], list[str]]:
    """Return the cases of a list and the errors in its format.

    >>> parse_list("a.py::b | a slow service | 40\\na.py::c | a race | 41 | 3 of 50\\n")[0][1].frequency
    '3 of 50'
    >>> parse_list("a.py::b | a slow service\\n")[1][0].partition(",")[0]
    'a.py::b | a slow service: not in the form TEST | CAUSE | ISSUE'
    """
    listed = list[KnownRedCase]()
    faults = list[str]()
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if fault := format_error(fields):
            faults.append(f"{' | '.join(fields)}: {fault}")
        else:
            listed.append(KnownRedCase(*fields))
    names = [case.name for case in listed]
    faults += [f"{name}: listed twice" for name in sorted(set(names)) if names.count(name) > 1]
    return listed, faults


def format_error(fields: list[str]) -> str:
    """Return the error in the fields of a line; empty if there is none."""
    if len(fields) not in (3, 4) or not all(fields) or not fields[2].isdigit():
        return FORMAT_ERROR
    if len(fields) == 4:
        found = FREQUENCY.fullmatch(fields[3])
        if not found or not 0 < int(found[1]) < int(found[2]):
            return FORMAT_ERROR
    if fields[0].startswith(COMMAND) and "seed" not in fields[0]:
        return "the command names no seed"
    return ""


def failure_message(report: pytest.TestReport) -> str:
    """Return the first line of a failure: the exception's message, or the report's text if it has none."""
    crash = getattr(report.longrepr, "reprcrash", None)
    text = crash.message if crash else report.longreprtext
    return text.strip().partition("\n")[0]


class KnownRed:
    """pytest plugin that expects listed tests to fail and checks the list itself.

    With pytest-xdist, the plugin runs in the workers, which mark the tests, and in the controller, which
    decides whether the run fails.

    Attributes:
        listed: The cases of the list.
        faults: Errors in the format of the list.
        tests: The listed tests by id.
        outcomes: The outcomes of the phases of each listed test.
        collected: The ids of all collected tests.
        errors: The errors of the list that fail the run.
        failures: The first line of the failure of each listed test that failed.
    """

    def __init__(self, path: Path) -> None:
        self.listed, self.faults = parse_list(path.read_text() if path.exists() else "")
        self.tests = {case.name: case for case in self.listed if not case.is_command}
        self.outcomes = dict[str, list[str]]()
        self.collected = set[str]()
        self.errors = list[str]()
        self.failures = dict[str, str]()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the listed tests as expected failures, in the process that runs the tests."""
        for item in items:
            self.collected.add(item.nodeid)
            if case := self.tests.get(item.nodeid):
                reason = f"known red: {case.cause}, issue {case.issue}"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=not case.frequency, run=True))

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        """Record the tests that a worker collected."""
        self.collected.update(ids)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the outcome of each phase of a listed test."""
        if report.nodeid not in self.tests:
            return
        failed_as_listed = hasattr(report, "wasxfail") and report.skipped
        outcome = "known red" if failed_as_listed else report.outcome
        if failed_as_listed:
            self.failures[report.nodeid] = failure_message(report)
        self.outcomes.setdefault(report.nodeid, []).append(outcome)

    def list_errors(self, whole_run: bool) -> list[str]:
        """Return the errors that fail the run: format errors, unknown tests and tests that did not fail.

        Args:
            whole_run: Whether all tests were selected, so that an id that was not collected is unknown.
        """
        found = list(self.faults)
        for case in self.tests.values():
            outcomes = self.outcomes.get(case.name)
            if case.name not in self.collected:
                if whole_run:
                    found.append(f"{case.name}: no such test")
            elif outcomes is None:
                if whole_run:
                    found.append(f"{case.name}: it was not run")
            elif "known red" not in outcomes and not (case.frequency and self.has_passed(case)):
                found.append(f"{case.name}: it does not fail; remove it from the list")
        return found

    def has_passed(self, case: KnownRedCase) -> bool:
        """Return whether all phases of a test passed, and none was skipped."""
        return set(self.outcomes.get(case.name, ())) == {"passed"}

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run if the list has errors."""
        config = session.config
        if hasattr(config, "workerinput") or config.option.collectonly:
            return
        options = config.option
        filtered = options.keyword or options.markexpr or options.deselect or getattr(options, "lf", False)
        selects_all = config.args_source is not pytest.Config.ArgsSource.ARGS
        self.errors = self.list_errors(whole_run=selects_all and not filtered)
        if self.errors and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print each case with its result, and the errors of the list."""
        for case in self.listed:
            if text := self.result_text(case):
                terminalreporter.write_line(f"known red: {case}: {text}", yellow=True)
        for error in self.errors:
            terminalreporter.write_line(f"FAILED KNOWN-RED.txt: {error}", red=True)

    def result_text(self, case: KnownRedCase) -> str:
        """Return the result of a case; empty for a test that was not selected or that fails the run."""
        if case.is_command:
            return "not run here"
        if failure := self.failures.get(case.name):
            return failure
        return "passed this time" if case.frequency and self.has_passed(case) else ""
