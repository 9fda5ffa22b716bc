"""Where alone downstream and upstream meet: owns the balancer and the requests in flight.

Every event goes through the `EventQueue`: the balancer's clock is set, its method called and its actions
carried out, in order, before the next event. What an action brings about at once (an attempt that can't be
sent) waits for its turn.

Invariants:
    Each request has exactly one final answer (`Dispatcher.finish`, `abandon` and `on_attempt_result` all look
    at ``answered`` first, and set it by `mark_answered` alone).
    Each attempt has exactly one result (`upstream.Attempt.finish`).
    A number is not used again before its request is settled (`requests.RequestTable.settle`).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from gatebank.actions import (
    Action,
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
)
from gatebank.balancer import Balancer
from gatebank.events import (
    AttemptResult,
    Endpoint,
    Outcome,
    ReleaseStatus,
    ReplyStatus,
    Request,
)
from gatebank.peer_messages import PeerMessage
from gatebank.proxy.clock import Clock
from gatebank.proxy.control_plane_view import ControlPlaneView
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.downstream.replies import ReplySink
from gatebank.proxy.event_queue import Event, EventQueue
from gatebank.proxy.log import LOG, say
from gatebank.proxy.messages import ClientRequest, CommandError, EndpointReply
from gatebank.proxy.peer_transport import PeerTransport
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.requests import RequestInFlight, RequestTable
from gatebank.proxy.started_attempt import StartedAttempt
from gatebank.proxy.upstream import Upstream
from gatebank.settings import Settings

DEFAULT_HEALTH_TIMEOUT_S = 1.0  # where the settings have no request class


class Dispatcher:
    """Turns what happens into the balancer's events, and its actions into bytes.

    ``upstream``, ``release_service`` and ``peer_transport`` are set before the first event.

    Args:
        settings: The instance's settings.
        seed: Of the balancer's chance.
        clock: Unix time in seconds.
        registry: Endpoints' names and addresses.
        max_in_flight_bytes: Bound on requests in flight; beyond it they are rejected.

    Attributes:
        dispatch: Gives the balancer an event in its turn.
        requests: Those in flight.
        fleet: What the control plane said last.
        counts: Numbers of what happened, by the names that the log line on how things stand uses.
        lag: Seconds that the latest timer came late since the last such line: this process did not get its
            turn.
    """

    upstream: Upstream
    release_service: ReleaseService

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        registry: EndpointRegistry,
        max_in_flight_bytes: int,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.registry = registry
        self.loop = asyncio.get_running_loop()
        self.balancer = Balancer(settings, seed, clock())
        self.peer_transport: PeerTransport | None = None
        self.events = EventQueue(self.balancer, clock, self.carry_out, self.rescue)
        self.dispatch = self.events.dispatch
        self.fleet = ControlPlaneView(registry)
        self.requests = RequestTable(max_in_flight_bytes)
        self.counts: dict[str, int] = {}  # as many as there are kinds of outcomes and answers
        self.lag = 0.0
        objectives = [request_class.latency_objective for request_class in settings.request_classes]
        self.health_timeout = min(objectives, default=DEFAULT_HEALTH_TIMEOUT_S)

    # Events, one at a time.

    def rescue(self, event: Event) -> None:
        """An event failed: if it was about a request, that has its final answer now."""
        subject = event.arguments[0] if event.arguments else None
        if isinstance(subject, Request | RequestInFlight) and (request := self.requests.get(subject.number)):
            self.abandon(request)

    def start(self, endpoints: list[Endpoint] | None, status: ReleaseStatus | None) -> None:
        """Begin with what was known before: the endpoint list, then the release service's status."""
        if endpoints:
            self.on_endpoint_list(endpoints, True)
        if status:
            self.release_service.take(status)

    # Events of clients.

    def start_request(self, client_request: ClientRequest, reply: ReplySink) -> None:
        """Take a request on; its final answer goes to ``reply``.

        Raises:
            CommandError: Its id is another request's, which is not answered yet.
        """
        if client_request.id in self.requests.ids:  # a client's own has a new one each time
            raise CommandError("this id is in hand")
        if not self.requests.has_room(client_request):
            self.count("overfull")
            reply.reject(None)
            return
        self.count("repeated" if client_request.is_client_retry else "first tries")
        timeout = client_request.timeout
        request = self.requests.add(client_request, reply, self.clock() + timeout)
        request.timer = self.loop.call_later(timeout, self.on_deadline, request)
        event = Request(
            request.number,
            client_request.request_class,
            client_request.tenant,
            timeout,
            client_request.cost_hint,
            client_request.key,
            client_request.is_client_retry,
        )
        self.dispatch(self.balancer.on_request, event)

    def on_client_disconnect(self, reply: ReplySink) -> None:
        """The client has gone: nobody waits for the answer."""
        request = reply.request
        if request and not request.answered:
            self.forget(request, "left")

    def abandon_reply(self, reply: ReplySink) -> None:
        """The client's connection must end, and its client have an answer before."""
        if reply.request:
            self.abandon(reply.request)

    def on_deadline(self, request: RequestInFlight) -> None:
        """The client's time limit: what is out ends.

        Also where the client has gone and settings forbid to cancel; the final answer may still be owed.
        """
        for attempt in request.attempts:
            if attempt:
                attempt.abort(Outcome.TIMED_OUT)
        if not request.answered:
            say("unanswered", logging.ERROR, workload=request.client_request.request_class)
            self.abandon(request)

    # Final answers.

    def finish(self, number: int, answer: Callable[[ReplySink], None], how: str) -> None:
        """Give the final answer that the balancer decided on, unless there was one."""
        request = self.requests.get(number)
        if request and not request.answered:
            self.count(how)
            self.mark_answered(request, how)
            answer(request.reply)
            self.requests.settle(request)

    def abandon(self, request: RequestInFlight) -> None:
        """Give a final answer in the balancer's stead, which then forgets the request."""
        if not request.answered:
            request.reply.fail("broken off")
            self.forget(request, "abandoned")

    def forget(self, request: RequestInFlight, how: str) -> None:
        """Nothing is owed for it any more, and the balancer did not decide so."""
        self.count(how)
        self.mark_answered(request, how)
        self.dispatch(self.balancer.on_client_disconnect, request.number)
        self.dispatch(self.settle, request)

    def settle(self, request: RequestInFlight) -> None:
        """An event of our own: the row goes once the balancer has heard of what came before."""
        self.requests.settle(request)

    def mark_answered(self, request: RequestInFlight, how: str) -> None:
        """The final answer is decided."""
        self.requests.mark_answered(request)
        if LOG.isEnabledFor(logging.DEBUG):
            say(
                "answered",
                logging.DEBUG,
                id=request.client_request.id.decode(errors="replace"),
                how=how,
                workload=request.client_request.request_class,
                shots=len(request.attempts),
            )

    # Attempts.

    def start_attempt(self, request: RequestInFlight, endpoint_index: int, until: float | None) -> None:
        """Send a request to an endpoint; its one result comes by `on_attempt_result`."""
        now = self.clock()
        number = len(request.attempts)
        request.attempts.append(None)
        request.attempts_out += 1
        endpoint = self.fleet.endpoints.get(endpoint_index)
        end = min(request.deadline, until or request.deadline)
        too_many = number >= self.settings.limits.max_attempts
        if request.answered or now >= end or too_many or endpoint is None:
            not_sent = EndpointReply(Outcome.NOT_SENT)
            self.on_attempt_result(request, number, endpoint_index, now, not_sent)
            return
        started = StartedAttempt(self, request, number=number, endpoint=endpoint, started=now, until=end)
        label = ""
        if self.upstream.record:
            label = f"invocation {request.client_request.id.decode(errors='replace')} shot {number}"
        attempt = self.upstream.send(
            self.fleet.keys[endpoint_index],
            self.registry.names[endpoint_index],
            started.payload,
            started.on_result,
            label=label,
        )
        if not attempt.done:
            request.attempts[number] = attempt
            if end < request.deadline:
                attempt.timer = self.loop.call_later(end - now, attempt.abort, Outcome.TIMED_OUT)

    def may_still_start(self, request: RequestInFlight, attempt: int, now: float) -> bool:
        """Ask the balancer whether an attempt that had to wait may still be sent."""
        self.balancer.now = now
        return self.balancer.may_start(request.number, attempt)

    def on_attempt_result(
        self, request: RequestInFlight, number: int, endpoint: int, started: float, reply: EndpointReply
    ) -> None:
        """An attempt has ended: a first success is the final answer at once, from the endpoint's buffer."""
        duration = self.clock() - started
        request.attempts[number] = None
        self.count(reply.outcome.value)
        if reply.outcome is Outcome.SUCCESS and reply.value is not None and not request.answered:
            request.reply.serve(reply.value)
            self.mark_answered(request, "satisfied")
        if LOG.isEnabledFor(logging.DEBUG):
            self.log_attempt(request, endpoint, reply.outcome, duration)
        result = AttemptResult(number, reply.outcome, duration, False, reply.load_report)
        self.dispatch(self.give_result, request, result)

    def log_attempt(self, request: RequestInFlight, endpoint: int, outcome: Outcome, duration: float) -> None:
        """A line for each attempt, at debug level."""
        say(
            "shot",
            logging.DEBUG,
            id=request.client_request.id.decode(errors="replace"),
            ending=outcome.value,
            build=self.fleet.endpoints[endpoint].build if endpoint in self.fleet.endpoints else None,
            node=self.registry.names[endpoint],
            workload=request.client_request.request_class,
            took=duration,
        )

    def give_result(self, request: RequestInFlight, result: AttemptResult) -> None:
        """An event of our own: the balancer hears of the result as things stand by its turn."""
        request.attempts_out -= 1  # only now: until the balancer is told, the number must not be another's
        current = AttemptResult(
            result.attempt, result.outcome, result.duration, request.answered, result.load_report
        )
        try:
            self.balancer.on_attempt_result(request.number, current)
        finally:
            self.settle(request)

    # Events of the control plane, peers and timers.

    def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
        """The endpoint list, or what has changed of it."""
        self.fleet.update(endpoints, is_complete)
        self.dispatch(self.balancer.on_endpoint_list, endpoints, is_complete)
        self.upstream.retain(set(self.fleet.keys.values()))
        self.registry.retain(self.fleet.endpoints)

    def on_release_status(self, status: ReleaseStatus) -> None:
        """The release service's status, or its reply to a vote."""
        if status.reply is ReplyStatus.ACCEPTED:
            self.fleet.release_status = status
        if status.is_vote_reply:
            self.count(f"vote {status.reply.value}")
        self.dispatch(self.balancer.on_release_status, status)

    def on_watch_failed(self) -> None:
        """Discovery does not answer."""
        self.dispatch(self.balancer.on_watch_failed)

    def on_peer_message(self, peer: int, message: PeerMessage) -> None:
        """A peer's message."""
        self.dispatch(self.balancer.on_peer_message, peer, message)

    def on_timer(self, at: float, timer: Timer) -> None:
        """A timer of the balancer's is due."""
        self.lag = max(self.lag, self.clock() - at)
        self.dispatch(self.balancer.on_timer, timer)

    # Actions.

    def carry_out(self, action: Action) -> None:
        """Do what the balancer asks for."""
        match action:
            case StartAttempt(number, endpoint, until):
                self.start_attempt(self.requests.rows[number], endpoint, until)
            case StartTimer(at, timer):
                self.loop.call_later(max(0.0, at - self.clock()), self.on_timer, at, timer)
            case CancelAttempt(number, attempt):
                self.cancel_attempt(number, attempt)
            case RejectRequest(number, retry_after):
                self.finish(number, lambda reply: reply.reject(retry_after), "rejected")
            case FailRequest(number):
                self.finish(number, lambda reply: reply.fail("broken off"), "broken_off")
            case SendToPeer(peer, message):
                self.send_to_peer(peer, message)
            case CastVote():
                self.cast_vote(action)
            case CheckHealth(endpoint):
                self.check_health(endpoint)
            case LogMessage(text):
                say("note", text=text)
            # WatchEndpoints asks for nothing: the endpoint list is watched from the start.

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to one peer or to all (None), where there are any."""
        if self.peer_transport:
            self.peer_transport.send(peer, message)

    def cancel_attempt(self, number: int, attempt_number: int) -> None:
        """Stop waiting for an attempt, if it is still out."""
        request = self.requests.get(number)
        attempt = request.attempts[attempt_number] if request else None
        if attempt:
            attempt.abort(Outcome.CANCELLED)

    def cast_vote(self, vote: CastVote) -> None:
        """Vote at the release service."""
        say("vote", build=vote.build, stage=vote.stage, verdict=vote.verdict.log_name)
        self.release_service.vote(vote)

    def check_health(self, endpoint_index: int) -> None:
        """Ask an endpoint for a sign of life, where it is listed and the settings allow it."""

        def on_result(reply: EndpointReply) -> None:
            self.on_health_result(endpoint_index, reply.outcome)

        endpoint = self.fleet.endpoints.get(endpoint_index)
        if endpoint is None or not self.settings.limits.may_check_health:
            self.on_health_result(endpoint_index, Outcome.NO_CONNECTION)
            return
        self.count("probes")
        name = self.registry.names[endpoint_index]
        self.upstream.check_health(self.fleet.keys[endpoint_index], name, self.health_timeout, on_result)

    def on_health_result(self, endpoint_index: int, outcome: Outcome) -> None:
        """How a health check ended."""
        self.dispatch(self.balancer.on_health_check_result, endpoint_index, outcome)

    def count(self, what: str) -> None:
        """Count something for the log line on how things stand."""
        self.counts[what] = self.counts.get(what, 0) + 1
