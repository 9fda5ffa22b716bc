"""Where alone customers and nodes meet: owns the Marshal and what is in hand.

Every event goes through `turn`: the marshal's clock is set, its method called and its acts carried out, in
order, before the next. What an act brings about at once (a shot that can't be sent) waits for its turn.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from gatebank.actions import (
    CancelAttempt,
    CastVote,
    CheckHealth,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendToPeer,
    StartAttempt,
    StartTimer,
    Timer,
    WatchEndpoints,
)
from gatebank.balancer import Balancer
from gatebank.events import (
    AttemptResult,
    Condition,
    Endpoint,
    Outcome,
    Phase,
    ReleaseStatus,
    ReplyStatus,
    Request,
)
from gatebank.peer_messages import PeerMessage
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.downstream import ClientRequest, CommandError, PendingReply
from gatebank.proxy.log import LOG, say
from gatebank.proxy.peer_transport import PeerTransport
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.upstream import Attempt, Key, Nodes
from gatebank.settings import Settings

AT_ONCE = 0.01  # s that a shot is written in where it need not wait for a connection
ROW = 2048  # bytes an invocation in hand takes besides, about


class Clock:
    """Unix time that never runs backwards: the wall clock's at the start, then the steady one's."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return self.offset + time.monotonic()


class RequestInFlight:
    """An invocation in hand; its row goes when it is answered and no shot of it is out."""

    __slots__ = ("answered", "asked", "deadline", "number", "out", "reply", "shots", "timer")

    def __init__(self, number: int, asked: ClientRequest, reply: PendingReply, deadline: float) -> None:
        self.number, self.asked, self.reply, self.deadline = number, asked, reply, deadline
        self.shots: list[Attempt | None] = []
        self.out, self.answered = 0, False
        self.timer: asyncio.TimerHandle | None = None


class Dispatcher:
    def __init__(
        self, settings: Settings, seed: int, clock: Clock, register: EndpointRegistry, most_held: int
    ) -> None:
        self.settings, self.clock, self.register = settings, clock, register
        self.loop = asyncio.get_running_loop()
        self.marshal = Balancer(settings, seed, clock())
        self.nodes: Nodes  # these three are set before the first event
        self.desk: ReleaseService
        self.words: PeerTransport | None = None
        self.events: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()  # emptied by `turn`
        self.turning = False
        self.held: dict[int, RequestInFlight] = {}
        self.free: list[int] = []  # numbers used before and free again
        self.ids: set[bytes] = set()  # of invocations in hand; each goes with its final answer
        self.held_bytes, self.most_held = 0, most_held
        self.entries: dict[int, Endpoint] = {}  # the roll as told last
        self.news: ReleaseStatus | None = None
        self.counts: dict[str, int] = {}  # as many as there are kinds of endings and answers
        self.lag = 0.0  # s the latest wake came late, since last told: this process did not get its turn
        self.patience = min((each.latency_objective for each in settings.request_classes), default=1.0)

    # Events in, one at a time.

    def turn(self, event: Callable[..., None], *words: Any) -> None:
        self.events.append((event, words))
        if self.turning:
            return
        self.turning = True
        try:
            while self.events:
                event, words = self.events.popleft()
                self.marshal.now = self.clock()
                try:
                    event(*words)
                except Exception:
                    LOG.exception("fault", extra={"keys": {"in": getattr(event, "__name__", event)}})
                    self.rescue(words)
                actions, self.marshal.actions = self.marshal.actions, []
                for action in actions:
                    try:
                        self.carry_out(action)
                    except Exception:
                        LOG.exception("fault", extra={"keys": {"act": type(action).__name__}})
        finally:
            self.turning = False

    def rescue(self, words: tuple[Any, ...]) -> None:
        """The marshal failed in an event: no invocation is left without its final answer."""
        first = words[0] if words else None
        held = self.held.get(first.number) if isinstance(first, Request | RequestInFlight) else None
        if held:
            self.abandon(held)

    def abandon(self, held: RequestInFlight) -> None:
        """A final answer in the marshal's stead, which then forgets the invocation."""
        if not held.answered:
            held.reply.broken_off("broken off")
            self.forget(held, "abandoned")

    def forget(self, held: RequestInFlight, why: str) -> None:
        """Nothing is owed for it any more, and the marshal did not decide so."""
        self.count(why)
        self.answered(held, why)
        self.turn(self.marshal.on_client_disconnect, held.number)
        self.turn(self.settle, held)

    def start(self, known: list[Endpoint] | None, news: ReleaseStatus | None) -> None:
        """What a marshal begins with: the roll as it last had it, then the release desk's news."""
        if known:
            self.rolled(known, True)
        if news:
            self.desk.take(news)

    def invoked(self, asked: ClientRequest, reply: PendingReply) -> None:
        if asked.id in self.ids:  # a customer's own has a new one each time: this one is another's
            raise CommandError("this id is in hand")
        if self.held_bytes + asked.size + ROW > self.most_held:
            self.count("overfull")
            reply.rejected(None)
            return
        self.ids.add(asked.id)
        self.count("repeated" if asked.repeated else "first tries")
        number = self.free.pop() if self.free else len(self.held)
        held = RequestInFlight(number, asked, reply, self.clock() + asked.left)
        self.held[number] = reply.held = held
        self.held_bytes += asked.size + ROW
        held.timer = self.loop.call_later(asked.left, self.time_is_up, held)
        fields = (asked.workload, asked.tenant, asked.left, asked.cost_guess, asked.key, asked.repeated)
        self.turn(self.marshal.on_request, Request(number, *fields))

    def give_up(self, reply: PendingReply) -> None:
        """Its connection must end, and its customer have an answer before."""
        if reply.held:
            self.abandon(reply.held)

    def client_left(self, reply: PendingReply) -> None:
        held = reply.held
        if held and not held.answered:
            self.forget(held, "left")

    def time_is_up(self, held: RequestInFlight) -> None:
        """The customer's time limit: what is out ends, also where the customer has gone and settings forbid
        to withdraw; the final answer may still be owed."""
        for shot in held.shots:
            if shot:
                shot.give_up(Outcome.TIMED_OUT)
        if not held.answered:
            say("unanswered", logging.ERROR, workload=held.asked.workload)
            self.abandon(held)

    def shot_ended(
        self,
        held: RequestInFlight,
        number: int,
        node: int,
        sent: float,
        ending: Outcome,
        value: memoryview | None,
        report: Sequence[float] | None,
    ) -> None:
        took = self.clock() - sent
        held.shots[number] = None
        self.count(ending.value)
        if ending is Outcome.SUCCESS and value is not None and not held.answered:
            held.reply.satisfied(value)
            self.answered(held, "satisfied")
        if LOG.isEnabledFor(logging.DEBUG):
            keys = {"node": self.register.names[node], "workload": held.asked.workload, "took": took}
            build = self.entries[node].build if node in self.entries else None
            asked = held.asked.id.decode(errors="replace")
            say("shot", logging.DEBUG, id=asked, ending=ending.value, build=build, **keys)
        self.turn(self.tell_ended, held, AttemptResult(number, ending, took, False, report))

    def tell_ended(self, held: RequestInFlight, ended: AttemptResult) -> None:
        held.out -= 1  # only now: until the marshal is told, the number must not be another's
        over = AttemptResult(ended.attempt, ended.outcome, ended.duration, held.answered, ended.load_report)
        try:
            self.marshal.on_attempt_result(held.number, over)
        finally:
            self.settle(held)

    def rolled(self, entries: list[Endpoint], whole: bool) -> None:
        kept = {} if whole else dict(self.entries)
        for entry in entries:
            kept[entry.index] = entry
        self.entries = {i: entry for i, entry in kept.items() if entry.condition is not Condition.GONE}
        self.turn(self.marshal.on_endpoint_list, entries, whole)
        self.nodes.keep({self.key(entry) for entry in self.entries.values()})
        self.register.keep(self.entries)

    def key(self, entry: Endpoint) -> Key:
        return entry.index, self.register.addresses[entry.index], entry.build, entry.started

    def told(self, news: ReleaseStatus) -> None:
        if news.reply is ReplyStatus.ACCEPTED:
            self.news = news
        if news.is_vote_reply:
            self.count(f"vote {news.reply.value}")
        self.turn(self.marshal.on_release_status, news)

    def roll_failed(self) -> None:
        self.turn(self.marshal.on_watch_failed)

    def heard(self, peer: int, word: PeerMessage) -> None:
        self.turn(self.marshal.on_peer_message, peer, word)

    def wake(self, at: float, timer: Timer) -> None:
        self.lag = max(self.lag, self.clock() - at)
        self.turn(self.marshal.on_timer, timer)

    def probed(self, node: int, ending: Outcome) -> None:
        self.turn(self.marshal.on_health_check_result, node, ending)

    # Acts out.

    def carry_out(self, action: Any) -> None:
        match action:
            case StartAttempt(number, node, until):
                self.shoot(self.held[number], node, until)
            case StartTimer(at, timer):
                self.loop.call_later(max(0.0, at - self.clock()), self.wake, at, timer)
            case CancelAttempt(number, shot):
                held = self.held.get(number)
                if held and held.shots[shot]:
                    held.shots[shot].give_up(Outcome.CANCELLED)
            case RejectRequest(number, back_in):
                self.finish(number, lambda reply: reply.rejected(back_in), "rejected")
            case FailRequest(number):
                self.finish(number, lambda reply: reply.broken_off("broken off"), "broken_off")
            case SendToPeer(peer, word):
                if self.words:
                    self.words.tell(peer, word)
            case CastVote():
                say("vote", build=action.build, stage=action.stage, verdict=action.verdict.log_name)
                self.desk.vote(action)
            case CheckHealth(node):
                self.probe(node)
            case LogMessage(text):
                say("note", text=text)
            case WatchEndpoints():
                pass  # the roll is followed from the start

    def finish(self, number: int, answer: Callable[[PendingReply], None], how: str) -> None:
        held = self.held.get(number)
        if held and not held.answered:
            self.count(how)
            self.answered(held, how)
            answer(held.reply)
            self.settle(held)

    def answered(self, held: RequestInFlight, how: str) -> None:
        held.answered = True
        self.ids.discard(held.asked.id)
        if LOG.isEnabledFor(logging.DEBUG):
            keys = {"workload": held.asked.workload, "shots": len(held.shots)}
            say("answered", logging.DEBUG, id=held.asked.id.decode(errors="replace"), how=how, **keys)

    def settle(self, held: RequestInFlight) -> None:
        if held.answered and not held.out and self.held.get(held.number) is held:
            del self.held[held.number]
            self.free.append(held.number)
            self.held_bytes -= held.asked.size + ROW
            held.reply.held = None
            if held.timer:
                held.timer.cancel()

    def cap(self, build: int) -> float:
        news = self.news
        return news.cap or 0.0 if news and news.build == build and news.phase is not Phase.RELEASED else 1.0

    def shoot(self, held: RequestInFlight, node: int, until: float | None) -> None:
        now, number = self.clock(), len(held.shots)
        held.shots.append(None)
        held.out += 1
        entry = self.entries.get(node)
        end = min(held.deadline, until or held.deadline)
        most = self.settings.limits.max_attempts
        if held.answered or now >= end or number >= most or entry is None:
            self.shot_ended(held, number, node, now, Outcome.NOT_SENT, None, None)
            return
        cap = self.cap(entry.build)

        def tries() -> bytes | None:
            """Its bytes, unless it waited for a connection while what it was chosen on fell away."""
            listed, late = self.entries.get(node), self.clock()
            fits = listed is entry or (listed and listed.build == entry.build)
            ready = fits and listed.condition is Condition.READY and self.cap(entry.build) >= cap
            if not ready or held.answered or late >= end:
                return None
            if late > now + AT_ONCE:
                self.marshal.now = late
                if not self.marshal.may_start(held.number, number):
                    return None
            return held.asked.command(end - late)

        def ended(ending: Outcome, value: memoryview | None, report: Sequence[float] | None) -> None:
            self.shot_ended(held, number, node, now, ending, value, report)

        mark = ""
        if self.nodes.record:
            mark = f"invocation {held.asked.id.decode(errors='replace')} shot {number}"
        shot = self.nodes.send(self.key(entry), self.register.names[node], tries, ended, mark=mark)
        if not shot.done:
            held.shots[number] = shot
            if end < held.deadline:
                shot.timer = self.loop.call_later(end - now, shot.give_up, Outcome.TIMED_OUT)

    def probe(self, node: int) -> None:
        def ended(ending: Outcome, *_: Any) -> None:
            self.probed(node, ending)

        entry = self.entries.get(node)
        if entry is None or not self.settings.limits.may_check_health:
            self.probed(node, Outcome.NO_CONNECTION)
            return
        self.count("probes")
        self.nodes.probe(self.key(entry), self.register.names[node], self.patience, ended)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
