"""The dispatcher: connects downstream, upstream and the balancer, and owns the requests in flight.

No other module connects the client side with the endpoint side. Every event passes through the `EventQueue`,
which sets the balancer's clock, calls the balancer's method and executes the resulting actions in order
before it handles the next event. An event that an action causes immediately (such as the result of an attempt
that cannot be sent) is queued behind the current event.

Invariants:
    Each request has exactly one final answer. `Dispatcher.send_final_reply`, `fail_request` and
    `on_attempt_result` all check ``answered`` first, and only `mark_answered` sets it.
    Each attempt has exactly one result (`upstream.Attempt.finish`).
    A request number is not reused before its request is settled (`requests.RequestTable.settle`).
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
    RetrySafety,
)
from gatebank.peer_messages import PeerMessage
from gatebank.proxy.clock import Clock
from gatebank.proxy.control_plane_view import ControlPlaneView
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.downstream.replies import ReplySink
from gatebank.proxy.event_queue import Event, EventQueue
from gatebank.proxy.log import LOG, log_kv
from gatebank.proxy.messages import ClientRequest, CommandError, EndpointReply
from gatebank.proxy.peer_transport import PeerTransport
from gatebank.proxy.recent_ids import KEEP_AFTER_DEADLINE_S, RecentRequestIds
from gatebank.proxy.release_service import ReleaseService
from gatebank.proxy.requests import RequestInFlight, RequestTable
from gatebank.proxy.started_attempt import IMMEDIATE_SEND_S, StartedAttempt
from gatebank.proxy.upstream import Upstream
from gatebank.settings import Settings

# The ids of answered requests may use this part of the memory for requests in flight, in addition to it.
RECENT_ID_SHARE = 4
STICKY_KEY_SHARE = 4  # Likewise for the keys that are bound to a build.
STICKY_KEY_BYTES = 160  # Memory of one key.
ID_USED_BEFORE = "this id was used before"
DEFAULT_HEALTH_TIMEOUT_S = 1.0  # Health check timeout when the settings define no request class.


class Dispatcher:
    """Translates I/O into the balancer's events, and the balancer's actions into I/O.

    ``upstream``, ``release_service`` and ``peer_transport`` must be set before the first event.

    Args:
        settings: The instance's settings.
        seed: Seed of the balancer's random number generator.
        clock: Returns Unix time in seconds.
        registry: Names and addresses of the endpoints.
        max_in_flight_bytes: Memory limit for requests in flight; requests beyond the limit are rejected.

    Attributes:
        dispatch: Queues an event for the balancer.
        requests: The requests in flight.
        recent_ids: Ids of answered requests that may have run.
        fleet: The latest endpoint list and release status.
        counts: Event counters, keyed by the names used in the periodic status line (``event=standing``).
        max_timer_lag: Largest delay, in seconds, with which a timer fired since the last status line. A large
            value means that this process was not scheduled in time.
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
        self.events = EventQueue(self.balancer, clock, self.carry_out, self.fail_request_of)
        self.dispatch = self.events.dispatch
        self.fleet = ControlPlaneView(registry)
        self.requests = RequestTable(max_in_flight_bytes)
        self.recent_ids = RecentRequestIds.within(max_in_flight_bytes // RECENT_ID_SHARE)
        sticky_keys = self.balancer.state.sticky_keys
        sticky_keys.max_keys = min(
            sticky_keys.max_keys, max_in_flight_bytes // STICKY_KEY_SHARE // STICKY_KEY_BYTES
        )
        self.counts: dict[str, int] = {}  # Bounded by the number of kinds of outcomes and replies.
        self.max_timer_lag = 0.0
        objectives = [request_class.latency_objective for request_class in settings.request_classes]
        self.health_timeout = min(objectives, default=DEFAULT_HEALTH_TIMEOUT_S)

    # Event handling.

    def fail_request_of(self, event: Event) -> None:
        """Fail the request that a failed event concerned, if there is one, so that it gets a final answer."""
        subject = event.arguments[0] if event.arguments else None
        if isinstance(subject, Request | RequestInFlight) and (request := self.requests.get(subject.number)):
            self.fail_request(request)

    def apply_initial_knowledge(self, endpoints: list[Endpoint] | None, status: ReleaseStatus | None) -> None:
        """Apply the endpoint list, then the release status, that were known before the start."""
        if endpoints:
            self.on_endpoint_list(endpoints, True)
        if status:
            self.release_service.accept_status(status)

    # Client events.

    def start_request(self, client_request: ClientRequest, reply: ReplySink) -> None:
        """Accept a request; its final answer is sent to ``reply``.

        Raises:
            CommandError: Another unanswered request has the same id.
        """
        if client_request.id in self.requests.ids:  # Clients use a new id for each request.
            raise CommandError("this id is in hand")
        if self.has_effect(client_request) and client_request.id in self.recent_ids:
            self.count("id again")
            self.log_refused(client_request, "its id may have run before", 0)
            reply.fail(ID_USED_BEFORE)
            return
        if not self.requests.has_room(client_request, reply.is_pipelined()):
            self.count("overfull")
            self.log_refused(client_request, "no memory for another request", 0)
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

    def refuse(self, request_id: bytes | None, reply: ReplySink) -> None:
        """See `RequestHandler`: a rejection promises that the request had no effect."""
        if request_id is not None and (request_id in self.recent_ids or request_id in self.requests.ids):
            self.count("id again")
            reply.fail(ID_USED_BEFORE)
        else:
            reply.reject(None)

    def on_client_disconnect(self, reply: ReplySink) -> None:
        """Drop the request of a client that has disconnected, as no one waits for the answer."""
        request = reply.request
        if request and not request.answered:
            self.drop_request(request, "left")

    def fail_reply(self, reply: ReplySink) -> None:
        """Fail the request of a connection that must close, so that its client gets an answer first."""
        if reply.request:
            self.fail_request(reply.request)

    def on_deadline(self, request: RequestInFlight) -> None:
        """Handle the request's deadline: end all outstanding attempts and fail the request if unanswered.

        The attempts also end when the client has disconnected and the settings forbid cancelling them.
        """
        for attempt in request.attempts:
            if attempt:
                attempt.abort(Outcome.TIMED_OUT)
        if not request.answered:
            log_kv("unanswered", logging.ERROR, workload=request.client_request.request_class)
            self.fail_request(request)

    def has_effect(self, client_request: ClientRequest) -> bool:
        """Return whether the request's class is one whose requests must not simply run twice."""
        request_class = self.settings.request_classes[client_request.request_class]
        return request_class.retry_safety is not RetrySafety.IDEMPOTENT

    # Final answers.

    def send_final_reply(self, number: int, send: Callable[[ReplySink], None], disposition: str) -> None:
        """Send the final answer that the balancer decided on, unless the request is answered already."""
        request = self.requests.get(number)
        if request and not request.answered:
            self.count(disposition)
            if disposition == "rejected":
                self.log_refused(request.client_request, "load shed, or no endpoint", len(request.attempts))
            self.mark_answered(request, disposition)
            send(request.reply)
            self.requests.settle(request)

    def fail_request(self, request: RequestInFlight) -> None:
        """Answer a request with an error, without a decision of the balancer, and drop the request."""
        if not request.answered:
            request.reply.fail("broken off")
            self.drop_request(request, "abandoned")

    def drop_request(self, request: RequestInFlight, disposition: str) -> None:
        """End a request for a reason other than a decision of the balancer, and notify the balancer."""
        self.count(disposition)
        self.mark_answered(request, disposition)
        self.dispatch(self.balancer.on_client_disconnect, request.number)
        self.dispatch(self.settle, request)

    def settle(self, request: RequestInFlight) -> None:
        """Remove a request's row; queued as an event, so that the balancer handles earlier events first."""
        self.requests.settle(request)

    def mark_answered(self, request: RequestInFlight, disposition: str) -> None:
        """Record that the final answer is decided, and log the request's disposition at debug level."""
        self.requests.mark_answered(request)
        if request.attempts_that_may_have_run and self.has_effect(request.client_request):
            keep_until = request.deadline + KEEP_AFTER_DEADLINE_S
            self.recent_ids.add(request.client_request.id, request.reply.source, keep_until)
        if LOG.isEnabledFor(logging.DEBUG):
            log_kv(
                "answered",
                logging.DEBUG,
                id=request.client_request.id.decode(errors="replace"),
                how=disposition,
                workload=request.client_request.request_class,
                shots=len(request.attempts),
            )

    def log_refused(self, client_request: ClientRequest, reason: str, attempts: int) -> None:
        """Log at debug level why a request is rejected, and after how many attempts."""
        if LOG.isEnabledFor(logging.DEBUG):
            id_text = client_request.id.decode(errors="replace")
            log_kv("refused", logging.DEBUG, id=id_text, why=reason, shots=attempts)

    # Attempts.

    def start_attempt(
        self, request: RequestInFlight, endpoint_index: int, attempt_deadline: float | None
    ) -> None:
        """Send a request to an endpoint; the attempt's single result is passed to `on_attempt_result`."""
        now = self.clock()
        number = len(request.attempts)
        request.attempts.append(None)
        request.undelivered_results += 1
        endpoint = self.fleet.endpoints.get(endpoint_index)
        deadline = min(request.deadline, attempt_deadline or request.deadline)
        too_many = number >= self.settings.limits.max_attempts
        if request.answered or now >= deadline or too_many or endpoint is None:
            not_sent = EndpointReply(Outcome.NOT_SENT)
            self.on_attempt_result(request, number, endpoint_index, now, not_sent)
            return
        if number and LOG.isEnabledFor(logging.DEBUG):
            request_id = request.client_request.id.decode(errors="replace")
            log_kv(
                "retry", logging.DEBUG, id=request_id, shot=number, node=self.registry.names[endpoint_index]
            )
        started = StartedAttempt(
            self, request, number=number, endpoint=endpoint, started=now, deadline=deadline
        )
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
            if deadline < request.deadline:
                attempt.timer = self.loop.call_later(deadline - now, attempt.abort, Outcome.TIMED_OUT)

    def may_still_start(self, started: StartedAttempt, now: float) -> bool:
        """Ask the balancer whether an attempt may still be sent, which may have waited for a connection."""
        number = started.request.number
        if now <= started.started + IMMEDIATE_SEND_S:
            return self.balancer.key_allows(number, started.number)
        self.balancer.now = now
        return self.balancer.may_start(number, started.number)

    def on_attempt_result(
        self, request: RequestInFlight, number: int, endpoint: int, started: float, reply: EndpointReply
    ) -> None:
        """Handle the end of an attempt.

        The first success becomes the final answer immediately, straight from the endpoint's receive buffer.
        """
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
        """Log the end of an attempt at debug level."""
        log_kv(
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
        """Pass an attempt's result to the balancer; queued as an event.

        Whether the request is answered is read when this event is handled, not when the attempt ended.
        """
        # Decremented only here: the number must not be reused before the balancer has received the result.
        request.undelivered_results -= 1
        current = AttemptResult(
            result.attempt, result.outcome, result.duration, request.answered, result.load_report
        )
        try:
            self.balancer.on_attempt_result(request.number, current)
        finally:
            self.settle(request)

    # Events of the control plane, peers and timers.

    def on_endpoint_list(self, endpoints: list[Endpoint], is_complete: bool) -> None:
        """Apply a complete endpoint list or a change to it."""
        self.fleet.update(endpoints, is_complete)
        self.dispatch(self.balancer.on_endpoint_list, endpoints, is_complete)
        self.upstream.retain(set(self.fleet.keys.values()))
        self.registry.retain(self.fleet.endpoints)

    def on_release_status(self, status: ReleaseStatus) -> None:
        """Handle a status of the release service or its reply to a vote."""
        if status.reply is ReplyStatus.ACCEPTED:
            self.fleet.release_status = status
        if status.is_vote_reply:
            self.count(f"vote {status.reply.value}")
        self.dispatch(self.balancer.on_release_status, status)

    def on_watch_failed(self) -> None:
        """Notify the balancer that discovery does not answer."""
        self.dispatch(self.balancer.on_watch_failed)

    def on_peer_message(self, peer: int, message: PeerMessage) -> None:
        """Pass a peer's message to the balancer."""
        self.dispatch(self.balancer.on_peer_message, peer, message)

    def on_timer(self, at: float, timer: Timer) -> None:
        """Handle a due timer of the balancer, and record how late it fired."""
        self.max_timer_lag = max(self.max_timer_lag, self.clock() - at)
        self.dispatch(self.balancer.on_timer, timer)

    # Actions.

    def carry_out(self, action: Action) -> None:
        """Execute an action of the balancer."""
        match action:
            case StartAttempt(number, endpoint, until):
                self.start_attempt(self.requests.rows[number], endpoint, until)
            case StartTimer(at, timer):
                self.loop.call_later(max(0.0, at - self.clock()), self.on_timer, at, timer)
            case CancelAttempt(number, attempt):
                self.cancel_attempt(number, attempt)
            case RejectRequest(number, retry_after):
                self.send_final_reply(number, lambda reply: reply.reject(retry_after), "rejected")
            case FailRequest(number):
                self.send_final_reply(number, lambda reply: reply.fail("broken off"), "broken_off")
            case SendToPeer(peer, message):
                self.send_to_peer(peer, message)
            case CastVote():
                self.cast_vote(action)
            case CheckHealth(endpoint):
                self.check_health(endpoint)
            case LogMessage(text):
                log_kv("note", text=text)
            # WatchEndpoints needs no action: the endpoint list is watched from the start.

    def send_to_peer(self, peer: int | None, message: PeerMessage) -> None:
        """Send a message to one peer or to all (None), if messaging is configured."""
        if self.peer_transport:
            self.peer_transport.send(peer, message)

    def cancel_attempt(self, number: int, attempt_number: int) -> None:
        """Cancel an attempt if it is still outstanding."""
        request = self.requests.get(number)
        attempt = request.attempts[attempt_number] if request else None
        if attempt:
            attempt.abort(Outcome.CANCELLED)

    def cast_vote(self, vote: CastVote) -> None:
        """Log a vote and send it to the release service."""
        log_kv("vote", build=vote.build, stage=vote.stage, verdict=vote.verdict.log_name)
        self.release_service.vote(vote)

    def check_health(self, endpoint_index: int) -> None:
        """Send a health check to an endpoint.

        If the endpoint is not listed or the settings forbid health checks, the check fails immediately.
        """

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
        """Pass the outcome of a health check to the balancer."""
        self.dispatch(self.balancer.on_health_check_result, endpoint_index, outcome)

    def count(self, name: str) -> None:
        """Increment a counter of the periodic status line (``event=standing``)."""
        self.counts[name] = self.counts.get(name, 0) + 1
