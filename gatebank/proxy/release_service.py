"""Client of the release service: receives the release status and casts this instance's votes.

The status arrives on an event stream that stays open. Owns the stream's connection and one connection for
each vote, which is closed after the reply.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable, Container
from contextlib import aclosing
from dataclasses import replace
from typing import NamedTuple
from urllib.parse import parse_qsl

from gatebank.actions import CastVote
from gatebank.events import ReleaseStatus, ReplyStatus, Verdict
from gatebank.proxy.configuration import Address
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.http import HttpClient, NoReplyError
from gatebank.proxy.log import LogInterval, log_kv
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
# Silence after which the stream is considered dead; the release service sends a keep-alive every second.
STREAM_SILENCE_S = 3.0
# Delays before the stream is requested again. The first retry is nearly immediate, because events sent in the
# meantime are not repeated; each further delay is twice as long, up to MAX_RECONNECT_S.
MIN_RECONNECT_S = 0.02
MAX_RECONNECT_S = 0.5
EVENTS_PER_TURN = 8  # Events of the stream that are handled before other tasks get their turn.
LOG_INTERVAL_S = 1.0  # Least time between two lines about events of one kind: a flood would fill the log.
MAX_VOTES = 8  # Limit on outstanding votes; the release service accepts 32 connections from an instance.
OPINION_BY_VERDICT = {
    Verdict.NONE: "none",
    Verdict.PROMOTE: "on",
    Verdict.HOLD: "hold",
    Verdict.ROLL_BACK: "back",
}


class LatestStatus(NamedTuple):
    """The newest release status, and the clock time at which its state began."""

    status: ReleaseStatus
    began: float


class ReleaseService:
    """Watches the release status, and casts votes.

    Args:
        address: Address of the release service; None if there is none, in which case votes fail.
        registry: Knows the names of the listed endpoints.
        vote_timeout: Seconds after which a vote without a reply counts as timed out.
        clock: Returns Unix time in seconds.
        on_status: Receives each status, and the reply to each vote.
        request_classes: Names of the request classes.
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
        self.overtaken_log = LogInterval(LOG_INTERVAL_S)
        self.unread_log = LogInterval(LOG_INTERVAL_S)
        self.unknown_log = LogInterval(LOG_INTERVAL_S)
        self.votes: set[asyncio.Task[None]] = set()  # Outstanding votes; a task is removed after its reply.

    def accept_status(self, status: ReleaseStatus) -> None:
        """Pass a status on; a status older than the latest one is replaced by the latest one.

        The stream and the replies to votes arrive on different connections. The age of a status does not show
        which of two is newer, because it was computed when the status was written, and the status may have
        been in transit for a long time.
        """
        if status.reply is ReplyStatus.ACCEPTED:
            began = self.clock() - status.age
            latest = self.latest or LatestStatus(status, began)
            if progress(status) < progress(latest.status):
                if self.overtaken_log.is_due():
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
        """Cast a vote; its single reply is passed to ``on_status``, never before this method returns."""
        if not self.address or len(self.votes) >= MAX_VOTES:
            failed = ReleaseStatus(ReplyStatus.UNAVAILABLE, True)
            asyncio.get_running_loop().call_soon(self.accept_status, failed)
            return
        task = asyncio.ensure_future(self.send_vote(self.address, vote))
        self.votes.add(task)
        task.add_done_callback(self.votes.discard)

    async def send_vote(self, address: Address, vote: CastVote) -> None:
        """Send one vote and wait for the reply.

        Each vote uses a new connection, so that no vote is sent on a connection that is just being closed.
        """
        opinion = OPINION_BY_VERDICT[vote.verdict]
        form = f"Action=PutApproval&image={vote.build}&ring={vote.stage}&opinion={opinion}"
        client = HttpClient(address)
        try:
            reply = await client.call("POST", VOTE_PATH, self.vote_timeout, form)
            status = parse_vote_reply(reply.status, reply.body)
        except NoReplyError as error:
            log_kv("vote_lost", logging.WARNING, why=error, arrived=error.may_have_arrived)
            status = ReleaseStatus(
                ReplyStatus.TIMED_OUT if error.may_have_arrived else ReplyStatus.UNAVAILABLE, True
            )
        finally:
            client.close()
        log_kv("vote_answer", build=vote.build, verdict=vote.verdict.log_name, heard=status.reply.value)
        self.accept_status(status)

    # The stream.

    async def watch(self, address: Address, lease: WatchLease) -> None:
        """Read the event stream; reconnects when the stream ends, fails or falls silent.

        Returns when the stream fails after the lease was superseded.
        """
        is_failing = False
        delay = MIN_RECONNECT_S
        while True:
            try:
                async with aclosing(self.stream_events(address)) as events:
                    async for event in events:
                        if is_failing:
                            log_kv("desk_back")
                        is_failing = False
                        delay = MIN_RECONNECT_S
                        self.take_event(event)
                        lease.on_first_message()
            except (NoReplyError, ReleaseStatusError, ValueError) as error:
                if lease.is_superseded:
                    return
                if not is_failing:
                    log_kv("desk_lost", logging.WARNING, why=error)
                is_failing = True
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RECONNECT_S)

    async def stream_events(self, address: Address) -> AsyncGenerator[StreamEvent, None]:
        """Yield the events of one connection, so that other tasks get their turns however fast events come.

        Raises:
            NoReplyError: The stream ended or fell silent.
            ReleaseStatusError: An event is too long.
        """
        parser = EventParser()
        event_count = 0
        async with aclosing(HttpClient(address).stream(STREAM_PATH, STREAM_SILENCE_S)) as stream:
            async for part in stream:
                for event in parser.feed(part):
                    yield event
                    event_count += 1
                    if event_count % EVENTS_PER_TURN == 0:
                        await asyncio.sleep(0)

    def take_event(self, event: StreamEvent) -> None:
        """Handle an event of the stream.

        Raises:
            ReleaseStatusError: The event cannot be parsed; the connection must not be used any further.
            ValueError: As for ReleaseStatusError.
        """
        fields = dict(parse_qsl(event.data))
        if event.name == "ROLLOUT":
            self.accept_status(parse_status(fields))
        elif event.name == "DISPUTE":
            # A dispute is not used as evidence: few answers are disputed, and some of those by mistake.
            float(fields.get("lag_ms", 0))
            is_listed = fields.get("host", "") in self.registry.indices
            is_known = is_listed and fields.get("type", "") in self.request_classes
            if not is_known and self.unread_log.is_due():
                log_kv(
                    "desk_unread", logging.WARNING, why="a dispute names an unknown endpoint or request class"
                )
        elif self.unknown_log.is_due():
            log_kv("desk_unknown", logging.WARNING, name=event.name)

    def close(self) -> None:
        """Cancel the outstanding votes."""
        for task in list(self.votes):
            task.cancel()


def is_same_state(status: ReleaseStatus, other: ReleaseStatus) -> bool:
    """Return whether both statuses show the same build at the same stage and phase."""
    return (status.build, status.stage, status.phase) == (other.build, other.stage, other.phase)


def log_stage(status: ReleaseStatus) -> None:
    """Log a new state of the release."""
    phase = status.phase.log_name if status.phase is not None else ""
    log_kv("stage", build=status.build, stage=status.stage, phase=phase, cap=status.cap, age=status.age)
