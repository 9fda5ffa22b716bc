"""KNOWN-RED.txt at the root: what fails for a real fault that can't be mended now. The list is kept short.

A line each, of three fields or four:

    TEST | CAUSE | ISSUE              a test, by the id that pytest prints, that fails each time
    TEST | CAUSE | ISSUE | 3 of 50    one that failed so often when it was played so many times
    command: WORDS | SEEN | ISSUE     a case that no test can hold: command with its seed, and what was seen

Tests are run like all others, and each line is told of in the summary. The run fails where the list names no
test, one that does not fail, one that was skipped, one test twice, or can't be read. A test that fails only
at times may pass or fail. Commands are not run here.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

COMMAND = "command: "
FREQUENCY = re.compile(r"(\d+) of (\d+)")
FORM = "no TEST | CAUSE | ISSUE, with N of M behind where it fails only at times"


@dataclass(frozen=True, slots=True)
class KnownRedCase:
    """One line of the list.

    Attributes:
        name: A test's id, or ``command: `` and the command.
        frequency: Such as ``3 of 50``; empty for what fails each time.
    """

    name: str
    cause: str
    issue: str
    frequency: str = ""

    @property
    def is_command(self) -> bool:
        """It is a command, which is not run with the tests."""
        return self.name.startswith(COMMAND)

    def __str__(self) -> str:
        """As the summary has it."""
        often = f", fails {self.frequency}" if self.frequency else ""
        return f"{self.name} ({self.cause}, issue {self.issue}{often})"


def parse_list(text: str) -> tuple[list[KnownRedCase], list[str]]:
    """The cases of a list, and what is wrong with its form.

    >>> parse_list("a.py::b | a slow desk | 40\\na.py::c | a race | 41 | 3 of 50\\n")[0][1].frequency
    '3 of 50'
    >>> parse_list("a.py::b | a slow desk\\n")[1][0].partition(",")[0]
    'a.py::b | a slow desk: no TEST | CAUSE | ISSUE'
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
    faults += [f"{name}: named twice" for name in sorted(set(names)) if names.count(name) > 1]
    return listed, faults


def format_error(fields: list[str]) -> str:
    """What is wrong with a line's fields; empty if nothing is."""
    if len(fields) not in (3, 4) or not all(fields) or not fields[2].isdigit():
        return FORM
    if len(fields) == 4:
        found = FREQUENCY.fullmatch(fields[3])
        if not found or not 0 < int(found[1]) < int(found[2]):
            return FORM
    if fields[0].startswith(COMMAND) and "seed" not in fields[0]:
        return "the command names no seed"
    return ""


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
        self.listed, self.faults = parse_list(path.read_text() if path.exists() else "")
        self.tests = {case.name: case for case in self.listed if not case.is_command}
        self.outcomes = dict[str, list[str]]()
        self.collected = set[str]()
        self.errors = list[str]()
        self.failures = dict[str, str]()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark what is listed; runs in the process that runs the tests."""
        for item in items:
            self.collected.add(item.nodeid)
            if case := self.tests.get(item.nodeid):
                reason = f"known red: {case.cause}, issue {case.issue}"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=not case.frequency, run=True))

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        """What a worker collected."""
        self.collected.update(ids)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Keep how each phase of a listed test ended."""
        if report.nodeid not in self.tests:
            return
        failed_as_listed = hasattr(report, "wasxfail") and report.skipped
        outcome = "known red" if failed_as_listed else report.outcome
        if failed_as_listed:
            self.failures[report.nodeid] = failure_message(report)
        self.outcomes.setdefault(report.nodeid, []).append(outcome)

    def list_errors(self, whole_run: bool) -> list[str]:
        """What fails the run: faults of form, tests that are none, and tests that did not fail.

        Args:
            whole_run: all tests were asked for, so that a name which was not collected is no test.
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
                found.append(f"{case.name}: it does not fail; take it off")
        return found

    def has_passed(self, case: KnownRedCase) -> bool:
        """All phases of a test passed: it was not skipped."""
        return set(self.outcomes.get(case.name, ())) == {"passed"}

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Judge the list and fail the run if it is wrong."""
        config = session.config
        if hasattr(config, "workerinput") or config.option.collectonly:
            return
        options = config.option
        narrowed = options.keyword or options.markexpr or options.deselect or getattr(options, "lf", False)
        asked_for_all = config.args_source is not pytest.Config.ArgsSource.ARGS
        self.errors = self.list_errors(whole_run=asked_for_all and not narrowed)
        if self.errors and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print each case with what came of it, and what is wrong with the list."""
        for case in self.listed:
            if came := self.result_text(case):
                terminalreporter.write_line(f"known red: {case}: {came}", yellow=True)
        for error in self.errors:
            terminalreporter.write_line(f"FAILED KNOWN-RED.txt: {error}", red=True)

    def result_text(self, case: KnownRedCase) -> str:
        """What came of a case in this run; empty for a test that was not asked for, or failed the run."""
        if case.is_command:
            return "not run here"
        if failure := self.failures.get(case.name):
            return failure
        return "passed this time" if case.frequency and self.has_passed(case) else ""
