"""Parsing and formatting of times in ns of Unix time."""

from __future__ import annotations

from datetime import UTC, datetime

from gatebank.capture.errors import TimestampError

NS_PER_SECOND = 1_000_000_000
NS_PER_MILLISECOND = 1_000_000
FRACTION_DIGITS = 9


def unix_seconds(at: int | None) -> str | None:
    """Format a time as seconds with nine fractional digits; a float would lose some of the digits.

    >>> unix_seconds(1_700_000_000_000_000_001), unix_seconds(None), unix_seconds(5), unix_seconds(-1)
    ('1700000000.000000001', None, '0.000000005', '-0.000000001')
    """
    if at is None:
        return None
    seconds, fraction = divmod(abs(at), NS_PER_SECOND)
    return f"{'-' if at < 0 else ''}{seconds}.{fraction:09d}"


def parse_time(value: str) -> int:
    """Parse seconds with an optional fraction, or a date and time (UTC unless it includes a time zone).

    Raises:
        TimestampError: The value is in neither format.

    >>> parse_time("1700000000.5"), parse_time("2023-11-14T22:13:20.000000001")
    (1700000000500000000, 1700000000000000001)
    >>> parse_time("2023-11-14 22:13:20+00:00")
    1700000000000000000
    >>> parse_time("tuesday")  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    gatebank.capture.errors.TimestampError: 'tuesday' is not a time: enter seconds of Unix time, or for ex...
    """
    whole, _, rest = value.partition(".")
    if whole.isascii() and whole.isdigit() and (rest.isdigit() or rest == ""):
        return int(whole) * NS_PER_SECOND + _fraction(rest)
    digits = rest[: len(rest) - len(rest.lstrip("0123456789"))]
    try:
        time = datetime.fromisoformat(whole + rest[len(digits) :])
    except ValueError:
        raise TimestampError(value) from None
    if time.tzinfo is None:
        time = time.replace(tzinfo=UTC)
    return int(time.timestamp()) * NS_PER_SECOND + _fraction(digits)


def _fraction(digits: str) -> int:
    """Return the ns of a fraction's digits; digits beyond the ninth are ignored."""
    return int(digits.ljust(FRACTION_DIGITS, "0")[:FRACTION_DIGITS])


def utc_time(at: int) -> str:
    """Format a date and time in UTC, to the millisecond; use `unix_seconds` if the date is out of range.

    >>> utc_time(1_700_000_000_123_456_789)
    '2023-11-14 22:13:20.123'
    """
    try:
        seconds = datetime.fromtimestamp(at // NS_PER_SECOND, UTC)
    except (OverflowError, ValueError, OSError):
        return unix_seconds(at) or ""
    return f"{seconds:%Y-%m-%d %H:%M:%S}.{at % NS_PER_SECOND // NS_PER_MILLISECOND:03d}"
