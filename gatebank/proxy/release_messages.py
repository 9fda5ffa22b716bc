"""Parsers for the release service's messages: states, replies to votes, and its event stream. No I/O."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import replace
from typing import NamedTuple
from xml.etree.ElementTree import ParseError

from defusedxml import DefusedXmlException  # type: ignore[import-untyped]
from defusedxml.ElementTree import fromstring  # type: ignore[import-untyped]

from gatebank.errors import GatebankError
from gatebank.events import Phase, ReleaseStatus, ReplyStatus
from gatebank.proxy.log import log_kv

MAX_EVENT_BYTES = 16 * 1024  # Size limit of one event; the release service sends no longer ones.
MIN_AGE_S = -10.0  # Exclusive lower bound; slightly negative ages occur, because clocks may differ a little.
MAX_AGE_S = 1e9  # Exclusive upper bound of some thirty years; anything larger is not a plausible age.
PHASE_BY_PROGRESS = {
    "IN_PROGRESS": Phase.CANARY,
    "ROLLING_BACK": Phase.ROLLING_BACK,
    "COMPLETE": Phase.RELEASED,
    "ROLLED_BACK": Phase.ROLLED_BACK,
}
REPLY_STATUS_BY_ERROR_CODE = {
    "too_many_calls": ReplyStatus.RATE_LIMITED,
    "out_of_date": ReplyStatus.STALE,
    "unavailable": ReplyStatus.UNAVAILABLE,
    "bad_request": ReplyStatus.UNAVAILABLE,
}
# Error codes that every instance receives in normal operation; they are not logged.
EXPECTED_ERROR_CODES = ("too_many_calls", "out_of_date")
# Order in which a build's phases follow one another: a canary passes through its stages, is then released,
# and may be rolled back at any time. No phase is followed by an earlier one.
PHASE_ORDER = (Phase.CANARY, Phase.RELEASED, Phase.ROLLING_BACK, Phase.ROLLED_BACK)


class ReleaseStatusError(GatebankError):
    """A message of the release service cannot be parsed."""


class Progress(NamedTuple):
    """Progress of the newest build; a larger tuple is a later state."""

    build: int
    phase: int
    stage: int


class StreamEvent(NamedTuple):
    """One event of the event stream."""

    name: str
    data: str


def parse_status(fields: Mapping[str, object]) -> ReleaseStatus:
    """Parse a release state from its fields.

    >>> fields = {"image": "4", "ring": "1", "progress": "COMPLETE", "ceiling": "1", "lag_ms": "310"}
    >>> parse_status(fields).phase
    <Phase.RELEASED: 2>

    Raises:
        ReleaseStatusError: A field is missing or invalid.
    """
    try:
        build, stage = (int(str(fields[name])) for name in ("image", "ring"))
        cap = to_float(fields["ceiling"])
        age = to_float(fields.get("lag_ms", 0)) / 1000
        check_ranges(build, stage, cap, age)
        phase = PHASE_BY_PROGRESS[str(fields["progress"])]
    except (KeyError, TypeError, ValueError) as error:
        raise ReleaseStatusError(
            f"the release state cannot be parsed: {type(error).__name__} {error}"
        ) from error
    return ReleaseStatus(ReplyStatus.ACCEPTED, False, build, stage, phase, cap, max(0.0, age))


def check_ranges(build: int, stage: int, cap: float, age: float) -> None:
    """Check that the numbers of a state are in range.

    Raises:
        ValueError: A number is out of range.
    """
    if build < 0 or stage < 0 or not 0 <= cap <= 1 or not MIN_AGE_S < age < MAX_AGE_S:
        raise ValueError(f"out of range: build {build} stage {stage} cap {cap} age {age}")


def to_float(value: object) -> float:
    """Convert a value from JSON, a form or XML to a float.

    Raises:
        TypeError: The value is neither text nor a number.
        ValueError: The text is not a number.
    """
    return float(value)  # type: ignore[arg-type]  # Any other type raises TypeError.


def parse_vote_reply(status: int, body: bytes) -> ReleaseStatus:
    """Parse the reply to a vote; an unreadable reply counts as timed out.

    Args:
        status: Status code of the HTTP reply.
        body: Body of the HTTP reply.

    >>> parse_vote_reply(400, b"<Error><Code>out_of_date</Code></Error>").reply
    <ReplyStatus.STALE: 'moot'>
    >>> parse_vote_reply(500, b"<Error><Code>unavailable</Code></Error>").reply
    <ReplyStatus.UNAVAILABLE: 'failed'>
    >>> parse_vote_reply(400, b"<Error><Code>bad_rpquest</Code></Error>").reply
    <ReplyStatus.TIMED_OUT: 'no answer'>
    >>> parse_vote_reply(200, b"<!DOCTYPE a [<!ENTITY b 'c'>]><Response>&b;</Response>").reply
    <ReplyStatus.TIMED_OUT: 'no answer'>
    """
    try:
        tree = fromstring(body, forbid_dtd=True)
        if status == 200:
            states = [parse_status({field.tag: field.text for field in item}) for item in tree.iter("item")]
            return replace(max(states, key=lambda state: state.build or 0), is_vote_reply=True)
        code = next((element.text for element in tree.iter("Code")), tree.text)
    except (ParseError, DefusedXmlException, ReleaseStatusError, ValueError, LookupError) as error:
        log_kv("desk_unread", logging.WARNING, why=error)
        return ReleaseStatus(ReplyStatus.TIMED_OUT, True)
    if code not in EXPECTED_ERROR_CODES:
        log_kv("vote_refused", logging.WARNING, status=status, code=code)
    return ReleaseStatus(REPLY_STATUS_BY_ERROR_CODE.get(code or "", ReplyStatus.TIMED_OUT), True)


def progress(status: ReleaseStatus) -> Progress:
    """Return the progress of the newest build in a status.

    >>> canary = ReleaseStatus(ReplyStatus.ACCEPTED, False, 42, 1, Phase.CANARY)
    >>> back = replace(canary, stage=0, phase=Phase.ROLLING_BACK)
    >>> progress(replace(canary, stage=0)) < progress(canary) < progress(back)
    True
    >>> progress(back) < progress(replace(canary, build=43))
    True
    """
    phase = PHASE_ORDER.index(status.phase) if status.phase is not None else -1
    return Progress(status.build or 0, phase, status.stage or 0)


class EventParser:
    r"""Incremental parser of an event stream (server-sent events).

    >>> parser = EventParser()
    >>> parts = (b":\nevent: DIS", b"PUTE\ndata: host=a&", b"type=b\n", b"\n")
    >>> [tuple(event) for part in parts for event in parser.feed(part)]
    [('DISPUTE', 'host=a&type=b')]
    >>> [tuple(event) for byte in b"".join(parts) for event in parser.feed(bytes([byte]))]  # cut anywhere
    [('DISPUTE', 'host=a&type=b')]
    >>> parser.feed(MAX_EVENT_BYTES * b"data\n")
    Traceback (most recent call last):
    gatebank.proxy.release_messages.ReleaseStatusError: an event of the release stream is too long
    """

    def __init__(self) -> None:
        self.partial_line = b""
        self.name = ""
        self.data: list[str] = []
        self.data_bytes = 0  # Size of the event's lines so far; an empty line counts too.

    def feed(self, part: bytes) -> list[StreamEvent]:
        """Parse further bytes, and return the events that they complete.

        Raises:
            ReleaseStatusError: An event exceeds MAX_EVENT_BYTES.
        """
        *lines, self.partial_line = (self.partial_line + part).split(b"\n")
        events = []
        for line in lines:
            field, _, value = line.decode("utf-8", "replace").rstrip("\r").partition(":")
            value = value.removeprefix(" ")
            if field == "event":
                self.name = value
            elif field == "data":
                self.data.append(value)
                self.data_bytes += len(line) + 1
                self.check_size()
            elif self.data and line.strip() == b"":  # An empty line ends an event.
                events.append(StreamEvent(self.name, "\n".join(self.data)))
                self.name = ""
                self.data = []
                self.data_bytes = 0
        self.check_size()
        return events

    def check_size(self) -> None:
        """Check the size of the incomplete event.

        Raises:
            ReleaseStatusError: The event exceeds MAX_EVENT_BYTES.
        """
        if len(self.partial_line) + self.data_bytes > MAX_EVENT_BYTES:
            raise ReleaseStatusError("an event of the release stream is too long")
