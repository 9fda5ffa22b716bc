"""The release service: its status, from a stream that stays open, and this instance's votes.

Owns the stream's connection and one connection a vote, which is closed with its reply.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Container
from contextlib import aclosing
from dataclasses import replace
from typing import NamedTuple
from urllib.parse import parse_qsl

from gatebank.actions import CastVote
from gatebank.events import ReleaseStatus, ReplyStatus, Verdict
from gatebank.proxy.configuration import Address
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.http import HttpClient, NoReplyError
from gatebank.proxy.log import log_kv
from gatebank.proxy.release_messages import (
    EventParser,
    ReleaseStatusError,
    StreamEvent,
    parse_status,
    parse_vote_reply,
    progress,
)
from gatebank.proxy.sockets import WatchLease

VOTE_PATH = "/v2/projects/main/"
STREAM_PATH = "/v2/projects/main/stream"
STREAM_SILENCE_S = 3.0  # without the sign of life that comes every second
# Before the stream is asked for again: at once, as what is told meanwhile is not told again, and then twice
# as long each time, up to half a second.
MIN_RECONNECT_S = 0.02
MAX_RECONNECT_S = 0.5
MAX_VOTES = 8  # out at once; the release service holds 32 connections of an instance
OPINIONS = {Verdict.NONE: "none", Verdict.PROMOTE: "on", Verdict.HOLD: "hold", Verdict.ROLL_BACK: "back"}


class LatestStatus(NamedTuple):
    """The newest state, and the clock's time at which it began."""

    status: ReleaseStatus
    began: float


class ReleaseService:
    """Watches the release service, and votes.

    Args:
        where: Its address; None: there is none, and votes fail.
        registry: Endpoints' names.
        vote_timeout: Seconds within which each vote has its one reply.
        clock: Unix time in seconds.
        on_status: Takes each status, and the reply to each vote.
        request_classes: Their names.
    """

    def __init__(
        self,
        address: Address | None,
        registry: EndpointRegistry,
        vote_timeout: float,
        clock: Callable[[], float],
        on_status: Callable[[ReleaseStatus], None],
        *,
        request_classes: Container[str],
    ) -> None:
        self.address = address
        self.registry = registry
        self.vote_timeout = vote_timeout
        self.clock = clock
        self.on_status = on_status
        self.request_classes = request_classes
        self.latest: LatestStatus | None = None
        self.votes: set[asyncio.Task[None]] = set()  # each goes with its reply

    def accept_status(self, status: ReleaseStatus) -> None:
        """Pass a status on; what is older than what was passed on before is replaced by that.

        Stream and votes come by two connections. A status' age does not tell which is the newer, as it was
        counted when it was written, and it may have been long on its way.
        """
        if status.reply is ReplyStatus.ACCEPTED:
            began = self.clock() - status.age
            latest = self.latest or LatestStatus(status, began)
            if progress(status) < progress(latest.status):
                log_kv("desk_overtaken", build=status.build, stage=status.stage)
                age = self.clock() - latest.began
                status = replace(latest.status, is_vote_reply=status.is_vote_reply, age=age)
            else:
                if not self.latest or not is_same_state(status, latest.status):
                    log_stage(status)
                self.latest = LatestStatus(status, began)
        self.on_status(status)

    # Votes.

    def vote(self, vote: CastVote) -> None:
        """Cast a vote; its one reply comes by ``on_status``, never before this returns."""
        if not self.address or len(self.votes) >= MAX_VOTES:
            failed = ReleaseStatus(ReplyStatus.UNAVAILABLE, True)
            asyncio.get_running_loop().call_soon(self.accept_status, failed)
            return
        task = asyncio.ensure_future(self.cast(self.address, vote))
        self.votes.add(task)
        task.add_done_callback(self.votes.discard)

    async def cast(self, where: Address, vote: CastVote) -> None:
        """Cast one vote on a connection of its own: none can meet one that is just closing."""
        opinion = OPINIONS[vote.verdict]
        form = f"Action=PutApproval&image={vote.build}&ring={vote.stage}&opinion={opinion}"
        caller = HttpClient(where)
        try:
            reply = await caller.call("POST", VOTE_PATH, self.vote_timeout, form)
            status = parse_vote_reply(reply.status, reply.body)
        except NoReplyError as error:
            log_kv("vote_lost", logging.WARNING, why=error, arrived=error.may_have_arrived)
            status = ReleaseStatus(
                ReplyStatus.TIMED_OUT if error.may_have_arrived else ReplyStatus.UNAVAILABLE, True
            )
        finally:
            caller.close()
        log_kv("vote_answer", build=vote.build, verdict=vote.verdict.log_name, heard=status.reply.value)
        self.accept_status(status)

    # The stream.

    async def watch(self, where: Address, turn: WatchLease) -> None:
        """Follow the stream, for ever: begun again when it ends, breaks or falls silent.

        Once another turn takes over, it is not begun again.
        """
        is_lost = False
        delay = MIN_RECONNECT_S
        while True:
            parser = EventParser()
            try:
                async with aclosing(HttpClient(where).stream(STREAM_PATH, STREAM_SILENCE_S)) as stream:
                    async for part in stream:
                        for event in parser.feed(part):
                            if is_lost:
                                log_kv("desk_back")
                            is_lost = False
                            delay = MIN_RECONNECT_S
                            self.take_event(event)
                            turn.on_first_message()
            except (NoReplyError, ReleaseStatusError, ValueError) as error:
                if turn.is_superseded:
                    return
                if not is_lost:
                    log_kv("desk_lost", logging.WARNING, why=error)
                is_lost = True
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RECONNECT_S)

    def take_event(self, event: StreamEvent) -> None:
        """Pass on an event of the stream.

        Raises:
            ReleaseStatusError: It can't be read: the connection is then of no further use.
            ValueError: As above.
        """
        fields = dict(parse_qsl(event.data))
        if event.name == "ROLLOUT":
            self.accept_status(parse_status(fields))
        elif event.name == "DISPUTE":
            # No evidence: few answers are disputed, and some of them by mistake.
            float(fields.get("lag_ms", 0))
            is_listed = fields.get("host", "") in self.registry.indices
            if not is_listed or fields.get("type", "") not in self.request_classes:
                log_kv("desk_unread", logging.WARNING, why="a dispute of nobody known")
        else:
            log_kv("desk_unknown", logging.WARNING, name=event.name)

    def close(self) -> None:
        """End the votes that are out."""
        for task in list(self.votes):
            task.cancel()


def is_same_state(status: ReleaseStatus, other: ReleaseStatus) -> bool:
    """The same build at the same stage and phase."""
    return (status.build, status.stage, status.phase) == (other.build, other.stage, other.phase)


def log_stage(status: ReleaseStatus) -> None:
    """Log a state that is new."""
    phase = status.phase.log_name if status.phase is not None else ""
    log_kv("stage", build=status.build, stage=status.stage, phase=phase, cap=status.cap, age=status.age)
