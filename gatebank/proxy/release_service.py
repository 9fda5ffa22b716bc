"""The release desk: its news, from a stream that stays open, and this marshal's votes.

Owns the stream's connection and one connection a vote, which is closed with its answer.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import replace
from typing import Any
from urllib.parse import parse_qsl
from xml.etree.ElementTree import ParseError

from defusedxml import DefusedXmlException
from defusedxml.ElementTree import fromstring

from gatebank.actions import CastVote
from gatebank.events import Phase, ReleaseStatus, ReplyStatus, Verdict
from gatebank.proxy.configuration import Address
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.http import Caller, NoReplyError
from gatebank.proxy.log import say
from gatebank.proxy.sockets import Turn

CALLS, STREAM = "/v2/projects/main/", "/v2/projects/main/stream"
SILENCE = 3.0  # s without the sign of life that comes every second
# s before the stream is asked for again: at once, as what is told meanwhile is not told again, and then
# twice as long each time, up to the second.
PAUSE, PAUSE_AT_MOST = 0.02, 0.5
VOTES = 8  # in hand at once; the desk holds 32 connections of a marshal
MOST_EVENT = 16 * 1024  # bytes of one event; what is longer is none of the desk's
PHASES = {"IN_PROGRESS": 0, "ROLLING_BACK": 1, "COMPLETE": 2, "ROLLED_BACK": 3}
REFUSALS = {
    "too_many_calls": ReplyStatus.RATE_LIMITED,
    "out_of_date": ReplyStatus.STALE,
    "unavailable": ReplyStatus.UNAVAILABLE,
    "bad_request": ReplyStatus.UNAVAILABLE,
}
# A build's state only goes forward: through its stages, on, and back at any time.
COURSE = (Phase.CANARY, Phase.RELEASED, Phase.ROLLING_BACK, Phase.ROLLED_BACK)
VERDICTS = {Verdict.NONE: "none", Verdict.PROMOTE: "on", Verdict.HOLD: "hold", Verdict.ROLL_BACK: "back"}


def state(fields: dict[str, Any]) -> ReleaseStatus:
    """
    >>> state({"image": "42", "ring": "1", "progress": "COMPLETE", "ceiling": "1", "lag_ms": "310"}).phase
    <Phase.RELEASED: 2>
    """
    try:
        build, stage = (int(str(fields[name])) for name in ("image", "ring"))
        cap, age = float(fields["ceiling"]), float(fields.get("lag_ms", 0)) / 1000
        if build < 0 or stage < 0 or not 0 <= cap <= 1 or not -10 < age < 1e9:
            raise ValueError(f"build {build} stage {stage} cap {cap} age {age}")
        return ReleaseStatus(
            ReplyStatus.ACCEPTED, False, build, stage, Phase(PHASES[fields["progress"]]), cap, max(0.0, age)
        )
    except (KeyError, TypeError, ValueError) as trouble:
        raise ValueError(f"a state can't be read: {type(trouble).__name__} {trouble}") from trouble


def answer(status: int, body: bytes) -> ReleaseStatus:
    """What the desk's answer to a vote says.

    >>> answer(400, b"<Error><Code>out_of_date</Code></Error>").reply
    <ReplyStatus.STALE: 'moot'>
    >>> answer(500, b"<Error><Code>unavailable</Code></Error>").reply
    <ReplyStatus.UNAVAILABLE: 'failed'>
    >>> answer(400, b"<Error><Code>bad_rpquest</Code></Error>").reply
    <ReplyStatus.TIMED_OUT: 'no answer'>
    >>> answer(200, b"<!DOCTYPE a [<!ENTITY b 'c'>]><Response>&b;</Response>").reply
    <ReplyStatus.TIMED_OUT: 'no answer'>
    """
    try:
        tree = fromstring(body, forbid_dtd=True)
        if status == 200:
            states = [state({field.tag: field.text for field in item}) for item in tree.iter("item")]
            return replace(max(states, key=lambda each: each.build or 0), is_vote_reply=True)
        code = next((each.text for each in tree.iter("Code")), tree.text)
    except (ParseError, DefusedXmlException, ValueError, LookupError) as trouble:
        say("desk_unread", logging.WARNING, why=trouble)
        return ReleaseStatus(ReplyStatus.TIMED_OUT, True)
    if code not in ("too_many_calls", "out_of_date"):
        say("vote_refused", logging.WARNING, status=status, code=code)
    return ReleaseStatus(REFUSALS.get(code or "", ReplyStatus.TIMED_OUT), True)


def reached(news: ReleaseStatus) -> tuple[int, int, int]:
    """How far the newest build has come: the larger is the later.

    >>> trial = ReleaseStatus(ReplyStatus.ACCEPTED, False, 42, 1, Phase.CANARY)
    >>> back = replace(trial, stage=0, phase=Phase.ROLLING_BACK)
    >>> reached(replace(trial, stage=0)) < reached(trial) < reached(back) < reached(replace(trial, build=43))
    True
    """
    phase = COURSE.index(news.phase) if news.phase is not None else -1
    return news.build or 0, phase, news.stage or 0


class Events:
    """The lines of an event stream, put together.

    >>> events = Events()
    >>> parts = (b":\\nevent: DIS", b"PUTE\\ndata: host=a&", b"type=b\\n", b"\\n")
    >>> [event for part in parts for event in events.feed(part)]
    [('DISPUTE', 'host=a&type=b')]
    >>> [event for byte in b"".join(parts) for event in events.feed(bytes([byte]))]  # cut anywhere
    [('DISPUTE', 'host=a&type=b')]
    """

    def __init__(self) -> None:
        self.rest, self.name, self.data = b"", "", list[str]()

    def feed(self, part: bytes) -> list[tuple[str, str]]:
        *lines, self.rest = (self.rest + part).split(b"\n")
        if len(self.rest) + sum(map(len, self.data)) > MOST_EVENT:
            raise ValueError("an event is too long")
        found = []
        for each in lines:
            field, _, value = each.decode("utf-8", "replace").rstrip("\r").partition(":")
            value = value.removeprefix(" ")
            if field == "event":
                self.name = value
            elif field == "data":
                self.data.append(value)
            elif self.data and each.strip() == b"":  # an empty line ends an event
                found.append((self.name, "\n".join(self.data)))
                self.name, self.data = "", []
        return found


class ReleaseService:
    def __init__(
        self,
        where: Address | None,
        register: EndpointRegistry,
        patience: float,
        clock: Callable[[], float],
        told: Callable[[ReleaseStatus], None],
        workloads: dict[str, int],
    ) -> None:
        self.where, self.register, self.patience, self.clock = where, register, patience, clock
        self.told, self.workloads = told, workloads
        self.latest: tuple[ReleaseStatus, float] | None = None  # the newest state and when it began
        self.votes: set[asyncio.Task[None]] = set()  # a row a vote in hand; each goes with its answer

    def take(self, news: ReleaseStatus) -> None:
        """Stream and votes come by two connections: what is older than what was told is not news. Its age
        does not tell, as that was counted when it was written, and it may have been long on its way."""
        if news.reply is ReplyStatus.ACCEPTED:
            began = self.clock() - news.age
            last, last_began = self.latest or (news, began)
            same = (news.build, news.stage, news.phase) == (last.build, last.stage, last.phase)
            if reached(news) < reached(last):
                say("desk_overtaken", build=news.build, stage=news.stage)
                news = replace(last, is_vote_reply=news.is_vote_reply, age=self.clock() - last_began)
            else:
                if not self.latest or not same:
                    phase = news.phase.log_name if news.phase is not None else ""
                    say("stage", build=news.build, stage=news.stage, phase=phase, cap=news.cap, age=news.age)
                self.latest = news, began
        self.told(news)

    def vote(self, vote: CastVote) -> None:
        if not self.where or len(self.votes) >= VOTES:
            asyncio.get_running_loop().call_soon(self.take, ReleaseStatus(ReplyStatus.UNAVAILABLE, True))
            return
        task = asyncio.ensure_future(self.cast(self.where, vote))
        self.votes.add(task)
        task.add_done_callback(self.votes.discard)

    async def cast(self, where: Address, vote: CastVote) -> None:
        form = f"Action=PutApproval&image={vote.build}&ring={vote.stage}&opinion={VERDICTS[vote.verdict]}"
        caller = Caller(where)
        try:
            news = answer(*await caller.call("POST", CALLS, self.patience, form))
        except NoReplyError as trouble:
            say("vote_lost", logging.WARNING, why=trouble, arrived=trouble.arrived)
            news = ReleaseStatus(ReplyStatus.TIMED_OUT if trouble.arrived else ReplyStatus.UNAVAILABLE, True)
        finally:
            caller.close()
        say("vote_answer", build=vote.build, verdict=vote.verdict.log_name, heard=news.reply.value)
        self.take(news)

    async def follow(self, where: Address, turn: Turn) -> None:
        """The stream, for ever: begun again when it ends, breaks or falls silent; once another takes over,
        only while this lasts."""
        lost, pause = False, PAUSE
        while True:
            events = Events()
            try:
                async with aclosing(Caller(where).stream(STREAM, SILENCE)) as stream:
                    async for part in stream:
                        for name, data in events.feed(part):
                            if lost:
                                say("desk_back")
                            lost, pause = False, PAUSE
                            self.event(name, data)
                            turn.begins()
            except (NoReplyError, ValueError) as trouble:
                if turn.over:
                    return
                if not lost:
                    say("desk_lost", logging.WARNING, why=trouble)
                lost = True
            await asyncio.sleep(pause)
            pause = min(2 * pause, PAUSE_AT_MOST)

    def event(self, name: str, data: str) -> None:
        """ValueError if it can't be read: the connection is then of no further use."""
        fields = dict(parse_qsl(data))
        if name == "ROLLOUT":
            self.take(state(fields))
        elif name == "DISPUTE":
            # No evidence: few answers are disputed, and some of them by mistake.
            float(fields.get("lag_ms", 0))
            known_node = fields.get("host", "") in self.register.index
            if not known_node or fields.get("type", "") not in self.workloads:
                say("desk_unread", logging.WARNING, why="a dispute of nobody known")
        else:
            say("desk_unknown", logging.WARNING, name=name)

    def close(self) -> None:
        for task in list(self.votes):
            task.cancel()
