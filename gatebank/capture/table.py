"""Formatting of exchanges as a table: a heading, and one line per exchange. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from gatebank.capture.records import Exchange
from gatebank.capture.terminal import printable
from gatebank.capture.timestamps import NS_PER_MILLISECOND, utc_time


def _asked(exchange: Exchange) -> str | None:
    return None if exchange.asked_at is None else utc_time(exchange.asked_at)


def _latency(exchange: Exchange) -> str | None:
    if exchange.asked_at is None or exchange.answered_at is None:
        return None
    return f"{(exchange.answered_at - exchange.asked_at) / NS_PER_MILLISECOND:.1f}"


def _body_bytes(exchange: Exchange) -> int | None:
    return None if exchange.body is None else len(exchange.body)


def _ended(exchange: Exchange) -> str:
    return exchange.ended if exchange.whole else f"{exchange.ended} (not whole)"


class Column(NamedTuple):
    """A column of the table.

    Attributes:
        heading: The column's heading.
        width: Width in characters; longer values are truncated, except in the last column.
        value: Returns the column's value for an exchange.
    """

    heading: str
    width: int
    value: Callable[[Exchange], object]


COLUMNS = (
    Column("asked", 23, _asked),
    Column("ms", 8, _latency),
    Column("side", 8, lambda exchange: exchange.side),
    Column("command", 7, lambda exchange: exchange.command),
    Column("workload", 14, lambda exchange: exchange.request_class),
    Column("customer", 12, lambda exchange: exchange.tenant),
    Column("key", 14, lambda exchange: exchange.key),
    Column("id", 32, lambda exchange: exchange.id),
    Column("limit", 7, lambda exchange: exchange.timeout_ms),
    Column("body", 6, _body_bytes),
    Column("ended", 10, _ended),
)


def table_heading() -> str:
    """Return the table's heading line."""
    return " ".join(column.heading.ljust(column.width) for column in COLUMNS).rstrip()


def table_row(exchange: Exchange) -> str:
    """Return the line of an exchange, safe to print on a terminal."""
    cells = []
    for column in COLUMNS:
        max_length = 0 if column is COLUMNS[-1] else column.width
        cells.append(printable(column.value(exchange), max_length).ljust(column.width))
    return " ".join(cells).rstrip()
