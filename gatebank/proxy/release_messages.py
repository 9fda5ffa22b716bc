"""What the release service writes: states, replies to votes, and the lines of its stream. No I/O."""

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

MAX_EVENT_BYTES = 16 * 1024  # of one event; what is longer is none of the release service's
MIN_AGE_S = -10.0  # exclusive: clocks may differ by a little
MAX_AGE_S = 1e9  # exclusive: thirty years, a number and no age
PHASES = {
    "IN_PROGRESS": Phase.CANARY,
    "ROLLING_BACK": Phase.ROLLING_BACK,
    "COMPLETE": Phase.RELEASED,
    "ROLLED_BACK": Phase.ROLLED_BACK,
}
REFUSALS = {
    "too_many_calls": ReplyStatus.RATE_LIMITED,
    "out_of_date": ReplyStatus.STALE,
    "unavailable": ReplyStatus.UNAVAILABLE,
    "bad_request": ReplyStatus.UNAVAILABLE,
}
EXPECTED_REFUSALS = ("too_many_calls", "out_of_date")  # these happen to every instance, and are not logged
# A build's state only goes forward: through its stages, on, and back at any time.
PHASE_ORDER = (Phase.CANARY, Phase.RELEASED, Phase.ROLLING_BACK, Phase.ROLLED_BACK)


class ReleaseStatusError(GatebankError):
    """What the release service wrote can't be read."""


class Progress(NamedTuple):
    """How far the newest build has come: the larger is the later."""

    build: int
    phase: int
    stage: int


class StreamEvent(NamedTuple):
    """One event of the stream."""

    name: str
    data: str


def parse_status(fields: Mapping[str, object]) -> ReleaseStatus:
    """Read a state by its fields.

    >>> fields = {"image": "4", "ring": "1", "progress": "COMPLETE", "ceiling": "1", "lag_ms": "310"}
    >>> parse_status(fields).phase
    <Phase.RELEASED: 2>

    Raises:
        ReleaseStatusError: A field is missing or senseless.
    """
    try:
        build, stage = (int(str(fields[name])) for name in ("image", "ring"))
        cap = to_float(fields["ceiling"])
        age = to_float(fields.get("lag_ms", 0)) / 1000
        check_ranges(build, stage, cap, age)
        phase = PHASES[str(fields["progress"])]
    except (KeyError, TypeError, ValueError) as error:
        raise ReleaseStatusError(f"a state can't be read: {type(error).__name__} {error}") from error
    return ReleaseStatus(ReplyStatus.ACCEPTED, False, build, stage, phase, cap, max(0.0, age))


def check_ranges(build: int, stage: int, cap: float, age: float) -> None:
    """Check a state's figures.

    Raises:
        ValueError: One of them is senseless.
    """
    if build < 0 or stage < 0 or not 0 <= cap <= 1 or not MIN_AGE_S < age < MAX_AGE_S:
        raise ValueError(f"build {build} stage {stage} cap {cap} age {age}")


def to_float(value: object) -> float:
    """A number as JSON, a form or XML has it.

    Raises:
        TypeError: It is neither text nor a number.
        ValueError: The text is no number.
    """
    return float(value)  # type: ignore[arg-type]  # what else it may be raises TypeError


def parse_vote_reply(status: int, body: bytes) -> ReleaseStatus:
    """Read the reply to a vote; one that can't be read counts as none.

    Args:
        status: Of the HTTP answer.
        body: Of the HTTP answer.

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
    if code not in EXPECTED_REFUSALS:
        log_kv("vote_refused", logging.WARNING, status=status, code=code)
    return ReleaseStatus(REFUSALS.get(code or "", ReplyStatus.TIMED_OUT), True)


def progress(status: ReleaseStatus) -> Progress:
    """How far the newest build has come.

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
    r"""The lines of an event stream, put together.

    >>> parser = EventParser()
    >>> parts = (b":\nevent: DIS", b"PUTE\ndata: host=a&", b"type=b\n", b"\n")
    >>> [tuple(event) for part in parts for event in parser.feed(part)]
    [('DISPUTE', 'host=a&type=b')]
    >>> [tuple(event) for byte in b"".join(parts) for event in parser.feed(bytes([byte]))]  # cut anywhere
    [('DISPUTE', 'host=a&type=b')]
    """

    def __init__(self) -> None:
        self.partial_line = b""
        self.name = ""
        self.data: list[str] = []

    def feed(self, part: bytes) -> list[StreamEvent]:
        """Take bytes, and return the events that are whole by them.

        Raises:
            ReleaseStatusError: An event is too long.
        """
        *lines, self.partial_line = (self.partial_line + part).split(b"\n")
        if len(self.partial_line) + sum(map(len, self.data)) > MAX_EVENT_BYTES:
            raise ReleaseStatusError("an event is too long")
        events = []
        for line in lines:
            field, _, value = line.decode("utf-8", "replace").rstrip("\r").partition(":")
            value = value.removeprefix(" ")
            if field == "event":
                self.name = value
            elif field == "data":
                self.data.append(value)
            elif self.data and line.strip() == b"":  # an empty line ends an event
                events.append(StreamEvent(self.name, "\n".join(self.data)))
                self.name = ""
                self.data = []
        return events
