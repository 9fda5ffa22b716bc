"""The replay's clockwork: takes exchanges in order, asks the guard, enters the ledger, and sends when due.

It is an open loop: a request is due at its recorded time, paced, and what can't be sent then for want of room
is not offered. A `RequestTransport` carries it: over sockets, or into an instance in this process.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from hashlib import blake2b
from queue import Empty, Queue

from gatebank.capture.records import ID, Exchange
from gatebank.replay.entries import EntryKind
from gatebank.replay.guard import EmptyLedger, Guard, Verdict, WithheldReason
from gatebank.replay.identity import new_idempotency_key, replayed_arguments
from gatebank.replay.ledger import Ledger
from gatebank.replay.report import Report
from gatebank.replay.requests import ReplayedRequest, ReplayOutcome, RequestTransport
from gatebank.replay.schedule import ReplayClock, TokenBucket

LEAD = 0.1  # s before it is due that a request is looked at: a sync of the ledger takes 1 to 30 ms
TIMER_RESOLUTION = 0.0015  # s before it is due that the loop no longer sleeps: its timers count whole ms
RESPONSE_GRACE = 1.0  # s behind its deadline until a response is no longer waited for
QUEUE_POLL = 0.002  # s until an empty queue is looked at again
STOP_TIMEOUT = 2.0  # s that what is out has for its response once a replay is stopped
MAX_RETRY_AFTER = 600.0  # s: a rejection that asks for a longer wait is not retried
ID_BYTES = 8  # of a new id
NO_LEDGER = EmptyLedger()


@dataclass(slots=True, frozen=True)
class PlayerOptions:
    """How a replay is played.

    Attributes:
        speed: 2 is twice as fast as recorded.
        max_in_flight: Requests out at once; more are not offered.
        retry_rejected: Requests that may run again are sent once more when a rejection says so.
        run_key: Random bytes of this run alone: ids are made of them.
    """

    speed: float
    max_in_flight: int
    retry_rejected: bool
    run_key: bytes


class Player:
    """Plays one capture to one target.

    Args:
        queue: Exchanges in the order of asking; None behind the last.
        guard: Decides what may be sent.
        ledger: Where requests with an effect are entered; without one none is sent.
        options: How it is played.

    Attributes:
        transport: Carries requests; to be set before `play`.
        loop: The event loop.
        report: What became of all.
        stopped: Why the replay ended early; empty if it did not.
    """

    def __init__(
        self, queue: Queue[Exchange | None], guard: Guard, ledger: Ledger | None, options: PlayerOptions
    ) -> None:
        self.transport: RequestTransport
        self.loop = asyncio.get_running_loop()
        self.report = Report()
        self.stopped = ""
        self._queue = queue
        self._guard = guard
        self._ledger = ledger
        self._options = options
        self._clock = ReplayClock(options.speed)
        self._rate = TokenBucket(guard.target.most_per_second)
        self._last_id = 0
        self._next: Exchange | None = None  # read, and not looked at yet
        self._is_drained = False  # there is nothing more to read
        self._ahead: deque[ReplayedRequest] = deque()  # looked at and not due; LEAD's worth
        self._out: set[ReplayedRequest] = set()  # sent and not finished, or waiting for the ledger
        self._request_finished = asyncio.Event()

    # The clockwork.

    async def play(self) -> None:
        """Plays all of it; ends early, with nothing more sent, once it is stopped or the ledger fails."""
        while not self.stopped:
            if self._next is None and not self._is_drained:
                self._next = self._read()
            now = self.loop.time()
            if self._next is not None and self._due_of(self._next, now) <= now + LEAD:
                self._look_at(self._next)
                self._next = None
            elif self._ahead and self._ahead[0].due <= now:
                self._send_when_entered(self._ahead.popleft())
            elif self._next is None and self._is_drained and not self._ahead:
                break
            else:
                await self._sleep(now)
        if self._next is not None:
            self.report.count_not_offered(self._next, "stopped")
        while self._out:
            self._request_finished.clear()
            await self._request_finished.wait()

    def stop(self, reason: str) -> None:
        """Sends nothing more; what is out has STOP_TIMEOUT for its response."""
        if self.stopped:
            return
        self.stopped = reason
        for request in [*self._out, *self._ahead]:
            if not request.is_finished and not request.is_sent:
                self.finish(request, ReplayOutcome.NEVER_SENT)
        self.loop.call_later(STOP_TIMEOUT, self._give_up_all)
        self._request_finished.set()

    def _read(self) -> Exchange | None:
        try:
            exchange = self._queue.get_nowait()
        except Empty:
            return None
        if exchange is None:
            self._is_drained = True
        else:
            self.report.count_read()
        return exchange

    def _due_of(self, exchange: Exchange, now: float) -> float:
        """When an exchange is due; time begins with the first, and not with the reading before it."""
        asked_at = exchange.asked_at or 0
        if not self._clock.has_begun:
            self._clock.begin(asked_at, now + LEAD)
        return self._clock.due(asked_at)

    async def _sleep(self, now: float) -> None:
        """Until the next request is due, or is to be looked at, or the queue is."""
        wake_times = []
        if self._next is not None:
            wake_times.append(self._due_of(self._next, now) - LEAD)
        elif not self._is_drained:
            wake_times.append(now + QUEUE_POLL)
        if self._ahead:
            wake_times.append(self._ahead[0].due)
        delay = min(wake_times) - self.loop.time()
        await asyncio.sleep(delay - TIMER_RESOLUTION if delay > TIMER_RESOLUTION else 0)

    # Shortly before a request is due.

    def _look_at(self, exchange: Exchange) -> None:
        """Decides whether a request may go, and whether there is room for it."""
        verdict = self._guard.verdict(exchange, self._ledger or NO_LEDGER)
        if verdict.withheld:
            self.report.count_withheld(exchange, verdict.withheld)
            return
        if verdict.names and self._ledger is None:
            self.report.count_withheld(exchange, WithheldReason.NO_LEDGER)
            return
        due = self._clock.due(exchange.asked_at or 0)
        if reason := self._lack_of_room(exchange, due):
            self.report.count_not_offered(exchange, reason)
            return
        self._ahead.append(self._prepare(exchange, due, verdict))

    def _lack_of_room(self, exchange: Exchange, due: float) -> str:
        """Why a request can't be sent when due; empty if it can. Stands in reports."""
        if reason := self.transport.refusal(exchange):
            return reason
        if len(self._out) + len(self._ahead) >= self._options.max_in_flight:
            return "in_hand"
        return "" if self._rate.take(due) else "rate"

    def _prepare(self, exchange: Exchange, due: float, verdict: Verdict) -> ReplayedRequest:
        """Makes the command as it is sent, and enters its names in the ledger."""
        if not verdict.names or self._ledger is None:
            return ReplayedRequest(exchange, due, replayed_arguments(exchange, self._new_id(), None))
        key = None
        if exchange.idempotency_key and not self._guard.target.keeps_tickets:
            key = new_idempotency_key(self._ledger.name, exchange.idempotency_key)
        arguments = replayed_arguments(exchange, self._new_id(), key)
        request = ReplayedRequest(exchange, due, arguments, verdict.names)
        request.entered = self._ledger.enter(verdict.names)
        return request

    def _new_id(self) -> bytes:
        self._last_id += 1
        number = self._last_id.to_bytes(8, "big")
        return blake2b(number, digest_size=ID_BYTES, key=self._options.run_key).hexdigest().encode()

    # When it is due.

    def _send_when_entered(self, request: ReplayedRequest) -> None:
        """Sends a request that is due; one with an effect once its names are on the disk."""
        if request.entered is None:
            self.send(request)
        elif request.entered.done():
            self._send_entered(request, request.entered)
        else:
            self._out.add(request)
            request.entered.add_done_callback(lambda entered: self._send_entered(request, entered))

    def _send_entered(self, request: ReplayedRequest, entered: asyncio.Future[None]) -> None:
        if entered.cancelled() or entered.exception():
            self._out.discard(request)
            if not request.is_finished:
                request.is_finished = True
                self.report.counts[ReplayOutcome.NEVER_SENT.value] += 1
                self.report.list_request("never sent", "the ledger could not be written", request.exchange)
            self.stop("the ledger was closed" if entered.cancelled() else str(entered.exception()))
        elif not self.stopped:
            self.send(request)

    def send(self, request: ReplayedRequest) -> None:
        """Hands a request to the transport."""
        if request.is_finished or self.stopped:
            return
        now = self.loop.time()
        if not request.is_retry:
            self.report.count_sent(request.due, now)
        request.is_sent = True
        self._out.add(request)
        patience = request.due + request.timeout + RESPONSE_GRACE - now
        request.timer = self.loop.call_later(max(0.0, patience), self._give_up, request)
        self.transport.send(request)

    # Outcomes.

    def finish(
        self, request: ReplayedRequest, outcome: ReplayOutcome, retry_after: float | None = None
    ) -> None:
        """Takes a request's outcome, once; what comes later does not count.

        Args:
            request: The request.
            outcome: What became of it.
            retry_after: In how many s a rejected request may be sent again; None if that was not said.
        """
        if request.is_finished:
            return
        if request.timer:
            request.timer.cancel()
        if outcome is ReplayOutcome.REJECTED and self._retries(request, retry_after):
            return
        request.is_finished = True
        self._out.discard(request)
        if request.names:
            outcome = self._record(request, outcome)
        self.report.count_outcome(request.exchange, outcome, request.due, self.loop.time())
        self._request_finished.set()

    def _retries(self, request: ReplayedRequest, retry_after: float | None) -> bool:
        """Whether a rejected request is sent once more: one that may run again, in time for its deadline."""
        if not self._options.retry_rejected or request.names or request.is_retry or retry_after is None:
            return False
        at = self.loop.time() + retry_after
        if at >= request.due + request.timeout or retry_after > MAX_RETRY_AFTER:
            return False
        self.report.counts["asked_again"] += 1
        request.is_retry = True
        request.arguments[ID] = self._new_id()
        self.loop.call_at(at, self.send, request)
        return True

    def _record(self, request: ReplayedRequest, outcome: ReplayOutcome) -> ReplayOutcome:
        """Writes what became of a request with an effect; the outcome as it is reported."""
        assert self._ledger is not None  # names are entered, so there is one
        match outcome:
            case ReplayOutcome.NEVER_SENT:
                self._ledger.record_outcome(request.names, EntryKind.FREED)
            case ReplayOutcome.NO_RESPONSE:
                self._ledger.record_outcome(request.names, EntryKind.UNSURE, "none")
                return ReplayOutcome.UNSURE
            case _:
                self._ledger.record_outcome(request.names, EntryKind.ANSWERED, outcome.value)
        return outcome

    def _give_up(self, request: ReplayedRequest) -> None:
        """Waits no longer for a response: a request with an effect is unsure then."""
        if not request.is_finished:
            self.transport.give_up(request)
            self.finish(request, ReplayOutcome.NO_RESPONSE)

    def _give_up_all(self) -> None:
        for request in list(self._out):
            self._give_up(request)
        self._request_finished.set()
