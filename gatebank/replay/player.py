"""The replay loop: takes exchanges in order, asks the guard, adds to the ledger, and sends when due.

The replay is an open loop: a request is due at its recorded time, scaled by the replay's speed. A request
that cannot be sent when due because a limit is reached counts as not offered. A `RequestTransport` sends the
requests over sockets, or to an instance in this process.
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

# Seconds before its due time that a request is prepared: a sync of the ledger takes 1 to 30 ms.
LEAD = 0.1
# Seconds before a due time when the loop stops sleeping: the event loop's timers have a resolution of 1 ms.
TIMER_RESOLUTION = 0.0015
RESPONSE_GRACE = 1.0  # Seconds after a request's deadline until the wait for its response ends.
QUEUE_POLL = 0.002  # Seconds between checks of an empty queue.
STOP_TIMEOUT = 2.0  # Seconds to wait for outstanding responses after a replay is stopped.
MAX_RETRY_AFTER = 600.0  # Seconds; a rejected request with a longer delay is not retried.
ID_BYTES = 8  # Length of a new request id.
NO_LEDGER = EmptyLedger()


@dataclass(slots=True, frozen=True)
class PlayerOptions:
    """Options of a replay.

    Attributes:
        speed: Speed relative to the recording; 2 is twice as fast as recorded.
        max_in_flight: Maximum number of requests in flight; further requests are not offered.
        retry_rejected: Whether a rejected idempotent request is sent once more if its rejection has a delay.
        run_key: Random bytes, unique to this run, from which request ids are derived.
    """

    speed: float
    max_in_flight: int
    retry_rejected: bool
    run_key: bytes


class Player:
    """Replays one capture to one target.

    Args:
        queue: Exchanges in the order of their request times; None marks the end.
        guard: Decides which requests may be sent.
        ledger: Records requests with an effect; without a ledger, no such request is sent.
        options: Options of the replay.

    Attributes:
        transport: Sends the requests; must be set before `play`.
        loop: The event loop.
        report: Counts of the outcomes.
        stopped: Why the replay ended early; empty if it did not end early.
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
        self._next: Exchange | None = None  # Read from the queue, not prepared yet.
        self._is_drained = False  # Whether the end of the queue has been read.
        self._prepared: deque[ReplayedRequest] = deque()  # Prepared, not due yet; due within LEAD.
        self._in_flight: set[ReplayedRequest] = (
            set()
        )  # Sent but not finished, or due and waiting for the ledger.
        self._request_finished = asyncio.Event()

    # Replay loop.

    async def play(self) -> None:
        """Replay the capture; end early, without sending more, after `stop` or if the ledger fails."""
        while not self.stopped:
            if self._next is None and not self._is_drained:
                self._next = self._read()
            now = self.loop.time()
            if self._next is not None and self._due_time(self._next, now) <= now + LEAD:
                self._prepare_or_withhold(self._next)
                self._next = None
            elif self._prepared and self._prepared[0].due <= now:
                self._send_when_entered(self._prepared.popleft())
            elif self._next is None and self._is_drained and not self._prepared:
                break
            else:
                await self._sleep(now)
        if self._next is not None:
            self.report.count_not_offered(self._next, "stopped")
        while self._in_flight:
            self._request_finished.clear()
            await self._request_finished.wait()

    def stop(self, reason: str) -> None:
        """Stop sending; wait up to STOP_TIMEOUT for the responses to requests in flight."""
        if self.stopped:
            return
        self.stopped = reason
        for request in [*self._in_flight, *self._prepared]:
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

    def _due_time(self, exchange: Exchange, now: float) -> float:
        """Return when an exchange is due; the clock starts at the first exchange, not before it is read."""
        asked_at = exchange.asked_at or 0
        if not self._clock.has_begun:
            self._clock.begin(asked_at, now + LEAD)
        return self._clock.due(asked_at)

    async def _sleep(self, now: float) -> None:
        """Sleep until a request is due or to be prepared, or the empty queue is to be checked again."""
        wake_times = []
        if self._next is not None:
            wake_times.append(self._due_time(self._next, now) - LEAD)
        elif not self._is_drained:
            wake_times.append(now + QUEUE_POLL)
        if self._prepared:
            wake_times.append(self._prepared[0].due)
        delay = min(wake_times) - self.loop.time()
        await asyncio.sleep(delay - TIMER_RESOLUTION if delay > TIMER_RESOLUTION else 0)

    # Preparation shortly before a request is due.

    def _prepare_or_withhold(self, exchange: Exchange) -> None:
        """Prepare a request for sending, unless the guard withholds it or a limit is reached."""
        verdict = self._guard.verdict(exchange, self._ledger or NO_LEDGER)
        if verdict.withheld:
            self.report.count_withheld(exchange, verdict.withheld)
            return
        if verdict.names and self._ledger is None:
            self.report.count_withheld(exchange, WithheldReason.NO_LEDGER)
            return
        due = self._clock.due(exchange.asked_at or 0)
        if reason := self._exceeded_limit(exchange, due):
            self.report.count_not_offered(exchange, reason)
            return
        self._prepared.append(self._prepare(exchange, due, verdict))

    def _exceeded_limit(self, exchange: Exchange, due: float) -> str:
        """Return the limit, as named in reports, that prevents sending a request when due; empty if none."""
        if reason := self.transport.refusal(exchange):
            return reason
        if len(self._in_flight) + len(self._prepared) >= self._options.max_in_flight:
            return "in_hand"
        return "" if self._rate.take(due) else "rate"

    def _prepare(self, exchange: Exchange, due: float, verdict: Verdict) -> ReplayedRequest:
        """Create the command to be sent, and add its names to the ledger."""
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

    # Sending of due requests.

    def _send_when_entered(self, request: ReplayedRequest) -> None:
        """Send a due request; a request with an effect is sent once its names are on the disk."""
        if request.entered is None:
            self.send(request)
        elif request.entered.done():
            self._send_entered(request, request.entered)
        else:
            self._in_flight.add(request)
            request.entered.add_done_callback(lambda entered: self._send_entered(request, entered))

    def _send_entered(self, request: ReplayedRequest, entered: asyncio.Future[None]) -> None:
        if entered.cancelled() or entered.exception():
            self._in_flight.discard(request)
            if not request.is_finished:
                request.is_finished = True
                self.report.counts[ReplayOutcome.NEVER_SENT.value] += 1
                self.report.list_request("never sent", "the ledger could not be written", request.exchange)
            self.stop("the ledger was closed" if entered.cancelled() else str(entered.exception()))
        elif not self.stopped:
            self.send(request)

    def send(self, request: ReplayedRequest) -> None:
        """Pass a request to the transport."""
        if request.is_finished or self.stopped:
            return
        now = self.loop.time()
        if not request.is_retry:
            self.report.count_sent(request.due, now)
        request.is_sent = True
        self._in_flight.add(request)
        patience = request.due + request.timeout + RESPONSE_GRACE - now
        request.timer = self.loop.call_later(max(0.0, patience), self._give_up, request)
        self.transport.send(request)

    # Outcomes.

    def finish(
        self, request: ReplayedRequest, outcome: ReplayOutcome, retry_after: float | None = None
    ) -> None:
        """Process the outcome of a request; later outcomes of the same request are ignored.

        Args:
            request: The request.
            outcome: The outcome.
            retry_after: Seconds until a rejected request may be sent again; None if the reply has no delay.
        """
        if request.is_finished:
            return
        if request.timer:
            request.timer.cancel()
        if outcome is ReplayOutcome.REJECTED and self._schedule_retry(request, retry_after):
            return
        request.is_finished = True
        self._in_flight.discard(request)
        if request.names:
            outcome = self._record_outcome(request, outcome)
        self.report.count_outcome(request.exchange, outcome, request.due, self.loop.time())
        self._request_finished.set()

    def _schedule_retry(self, request: ReplayedRequest, retry_after: float | None) -> bool:
        """Schedule one retry of a rejected idempotent request, unless it would be due after its deadline.

        Returns:
            Whether a retry was scheduled.
        """
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

    def _record_outcome(self, request: ReplayedRequest, outcome: ReplayOutcome) -> ReplayOutcome:
        """Write the outcome of a request with an effect to the ledger; return the outcome to be reported."""
        assert self._ledger is not None  # The request has names, so that there is a ledger.
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
        """End the wait for a response; a request with an effect then counts as unsure."""
        if not request.is_finished:
            self.transport.give_up(request)
            self.finish(request, ReplayOutcome.NO_RESPONSE)

    def _give_up_all(self) -> None:
        for request in list(self._in_flight):
            self._give_up(request)
        self._request_finished.set()
