"""The catalogue of log events matches the events that the proxy logs and the on-call page."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import gatebank.proxy
from gatebank.proxy.log_events import EVENTS, STANDING_KEYS
from tests.support.socket_scenarios import ROOT

CATALOGUE = {event.name: event for event in EVENTS}
LOGGING_CALLS = ("log_kv", "log_event")
# Events whose names are written in `log.py` and not passed to one of the logging functions.
WRITTEN_BY_LOG_MODULE = {"fault", "log_dropped"}


class LoggedEvent(NamedTuple):
    """A call that logs an event.

    Attributes:
        location: File and line of the call.
        keys: Keys of the event; None if the call gets them as a mapping.
    """

    location: str
    event: str
    keys: tuple[str, ...] | None


def is_logging_call(node: ast.AST) -> bool:
    return isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id in LOGGING_CALLS


def events_logged_in(path: Path) -> Iterator[LoggedEvent]:
    """Yield the logging calls in a file; their first argument names the event."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not is_logging_call(node) or not isinstance(node, ast.Call):
            continue
        first = node.args[0]
        if path.name == "log.py" and isinstance(first, ast.Name):
            continue  # `log_kv` passes its own argument on to `log_event`.
        assert isinstance(first, ast.Constant), f"{path}:{node.lineno}: the event's name is not a literal"
        keys = tuple(keyword.arg for keyword in node.keywords if keyword.arg not in (None, "level"))
        has_keywords = node.func.id == "log_kv"  # type: ignore[attr-defined]
        yield LoggedEvent(f"{path.name}:{node.lineno}", first.value, keys if has_keywords else None)


def all_logged_events() -> list[LoggedEvent]:
    folder = Path(gatebank.proxy.__file__).parent
    return [event for path in sorted(folder.rglob("*.py")) for event in events_logged_in(path)]


def table_rows() -> dict[str, str]:
    """Return the row of each event in the on-call page's table of events."""
    page = (ROOT / "docs/oncall.md").read_text()
    table = page.partition("| event | keys |")[2].partition("\n\n")[0]
    rows: dict[str, str] = {}
    for line in table.splitlines()[2:]:
        rows |= dict.fromkeys(re.findall(r"`(\w+)`", line.split("|")[1]), line)
    return rows


def test_event_names_are_unique() -> None:
    assert len(CATALOGUE) == len(EVENTS)


def test_logged_events_and_keys_are_in_the_catalogue() -> None:
    """Every logging call names an event of the catalogue, with keys from the catalogue in the same order."""
    for location, event, keys in all_logged_events():
        assert event in CATALOGUE, f"{location}: {event} is not in the catalogue"
        expected = CATALOGUE[event].keys
        if keys is not None:
            assert set(keys) <= set(expected), (location, event, keys)
            assert list(keys) == [key for key in expected if key in keys], (location, event, keys)


def test_catalogue_contains_no_event_that_is_never_logged() -> None:
    assert set(CATALOGUE) == {logged.event for logged in all_logged_events()} | WRITTEN_BY_LOG_MODULE


def test_on_call_page_documents_each_event() -> None:
    """Each event has a row in the page's table; events at debug level are mentioned in the page's text."""
    page = (ROOT / "docs/oncall.md").read_text()
    rows = table_rows()
    for event in EVENTS:
        if event.debug_only:
            assert f"event={event.name}" in page, event.name
        else:
            assert event.name in rows, event.name


def test_on_call_page_documents_no_unknown_event() -> None:
    assert not set(table_rows()) - set(CATALOGUE)


def test_status_line_has_the_keys_of_the_catalogue() -> None:
    """The dictionary literal in `Service.log_status_line` starts with the catalogue's keys."""
    path = Path(gatebank.proxy.__file__).parent / "service.py"
    for node in ast.walk(ast.parse(path.read_text())):
        if not is_logging_call(node) or not isinstance(node, ast.Call):
            continue
        if isinstance(node.args[0], ast.Constant) and node.args[0].value == "standing":
            keys = node.args[1].keys  # type: ignore[attr-defined]
            assert tuple(key.value for key in keys if key is not None) == STANDING_KEYS
            return
    raise AssertionError("no call logs the status line (event=standing)")
