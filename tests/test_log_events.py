"""The catalogue of log events holds what the proxy logs and what the on-call page tells of."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import gatebank.proxy
from gatebank.proxy.log_events import EVENTS, STANDING_KEYS
from tests.support.stand import ROOT

CATALOGUE = {event.name: event for event in EVENTS}
LOGGING_CALLS = ("log_kv", "log_event")
# Logged by the formatter and the handler themselves, not by a call: `log.py` writes their names.
WRITTEN_BY_LOG = {"fault", "log_dropped"}


class Logged(NamedTuple):
    """A call that logs an event; the keys are None where they are made elsewhere."""

    place: str
    event: str
    keys: tuple[str, ...] | None


def is_logging_call(node: ast.AST) -> bool:
    return isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id in LOGGING_CALLS


def logged_by(path: Path) -> Iterator[Logged]:
    """The calls in a file whose first argument names an event."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not is_logging_call(node) or not isinstance(node, ast.Call):
            continue
        first = node.args[0]
        if path.name == "log.py" and isinstance(first, ast.Name):
            continue  # `log_kv` handing on what it was given
        assert isinstance(first, ast.Constant), f"{path}:{node.lineno}: an event's name is no literal"
        keys = tuple(word.arg for word in node.keywords if word.arg not in (None, "level"))
        by_name = node.func.id == "log_kv"  # type: ignore[attr-defined]
        yield Logged(f"{path.name}:{node.lineno}", first.value, keys if by_name else None)


def all_logged() -> list[Logged]:
    folder = Path(gatebank.proxy.__file__).parent
    return [found for path in sorted(folder.rglob("*.py")) for found in logged_by(path)]


def table_rows() -> dict[str, str]:
    """The on-call page's table of events: the row of each event."""
    page = (ROOT / "docs/oncall.md").read_text()
    table = page.partition("| event | keys |")[2].partition("\n\n")[0]
    rows: dict[str, str] = {}
    for line in table.splitlines()[2:]:
        rows |= dict.fromkeys(re.findall(r"`(\w+)`", line.split("|")[1]), line)
    return rows


def test_each_event_is_named_once() -> None:
    assert len(CATALOGUE) == len(EVENTS)


def test_what_the_proxy_logs_stands_in_the_catalogue_with_its_keys() -> None:
    """Every call that logs names an event of the catalogue, with keys of it, in its order."""
    for place, event, keys in all_logged():
        assert event in CATALOGUE, f"{place}: {event} is not in the catalogue"
        wanted = CATALOGUE[event].keys
        if keys is not None:
            assert set(keys) <= set(wanted), (place, event, keys)
            assert list(keys) == [key for key in wanted if key in keys], (place, event, keys)


def test_catalogue_holds_nothing_that_is_never_logged() -> None:
    assert set(CATALOGUE) == {found.event for found in all_logged()} | WRITTEN_BY_LOG


def test_on_call_page_tells_of_each_event() -> None:
    """Each event of the catalogue has a row on the page; those at debug level stand in its text."""
    page = (ROOT / "docs/oncall.md").read_text()
    rows = table_rows()
    for event in EVENTS:
        if event.debug_only:
            assert f"event={event.name}" in page, event.name
        else:
            assert event.name in rows, event.name


def test_on_call_page_tells_of_no_event_that_is_not_there() -> None:
    assert not set(table_rows()) - set(CATALOGUE)


def test_standing_line_has_the_keys_of_the_catalogue() -> None:
    """The literal that `Service.log_status_line` logs begins with the catalogue's keys."""
    path = Path(gatebank.proxy.__file__).parent / "service.py"
    for node in ast.walk(ast.parse(path.read_text())):
        if not is_logging_call(node) or not isinstance(node, ast.Call):
            continue
        if isinstance(node.args[0], ast.Constant) and node.args[0].value == "standing":
            keys = node.args[1].keys  # type: ignore[attr-defined]
            assert tuple(key.value for key in keys if key is not None) == STANDING_KEYS
            return
    raise AssertionError("no call logs how things stand")
