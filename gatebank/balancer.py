"""The balancer of one instance: takes events and answers them with actions.

A host creates one `Balancer`. For each event the host sets `now`, calls the event's method, carries out the
actions in `actions` in order and empties that list. This module only sequences the steps: the state of an
instance is in `gatebank.core`, and every decision is made in `gatebank.policy`. The steps of one request:

    on_request ─► _advance ─► policy.retry.next_step ─► StartAttempt | StartTimer | final answer
    on_attempt_result ─► statistics and evidence ─► _advance
    on_timer(RequestTimer) ─► _advance
"""

from __future__ import annotations

from collections.abc import Sequence

from gatebank.actions import (
    Action,
    CancelAttempt,
    CastVote,
    CheckHealth,
    EjectionTimer,
    FailRequest,
    LogMessage,
    RejectRequest,
    RequestTimer,
    SendToPeer,
    StartAttempt,
    StartTimer,
    Tick,
    Timer,
    WatchEndpoints,
    WatchTimer,
)
from gatebank.core import inheritance
from gatebank.core.endpoint_state import NO_DRIFT, EndpointState
from gatebank.core.fleet_view import ReceivedReport
from gatebank.core.llr_sums import Statistic
from gatebank.core.load import load_per_endpoint, outstanding_attempts
from gatebank.core.measurement import record_latency
from gatebank.core.request_state import AttemptRecord, RequestState, SuspectedError
from gatebank.core.state import AttemptKey, BalancerState
from gatebank.events import (
    NEVER_RUN_OUTCOMES,
    AttemptResult,
    BaselineErrors,
    Endpoint,
    InheritedState,
    Outcome,
    Phase,
    ReleaseStatus,
    ReplyStatus,
    Request,
    RetrySafety,
)
from gatebank.peer_messages import FleetReport, InstanceReport, PeerMessage, merge_reports
from gatebank.policy import evidence, exposure, measurement, outlier, retry, rollout, slow_start, sticky_keys
from gatebank.policy.sequential_test import SequentialTest
from gatebank.settings import Settings

NO_ERRORS = BaselineErrors(0.0, 0.0, 0.0)


class Balancer:
    """The balancer of one instance. All times are seconds of the host's clock.

    Attributes:
        actions: the actions that the host has to carry out, in order.
        state: the state of this instance; read-only for hosts.
    """

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        """Start the balancer.

        Args:
            settings: the settings of this instance.
            seed: the seed of the random number generator.
            now: the current time.
        """
        # Attempts of the first tick are not timed: the clock may stand still until it reaches the start time.
        self.state = BalancerState(settings, seed, now, resumed_at=now + measurement.TICK_S)
        statistic_count = Statistic.FIRST_CLASS + len(settings.request_classes)
        self.state.baseline_errors = [NO_ERRORS] * statistic_count
        self._fusers = rollout.fusers(settings.instance_count)
        self._tick_count = settings.instance
        self._timer_generation = 0
        self.actions: list[Action] = []
        if settings.polls_endpoints:
            self.actions.append(WatchEndpoints())
        self._start_timer(measurement.TICK_S, Tick())

    @property
    def now(self) -> float:
        """The current time."""
        return self.state.now

    @now.setter
    def now(self, now: float) -> None:
        """Set the current time, before each event.

        An instance that missed its ticks was not running: its host was paused or its core was busy with other
        processes. All input of the pause then arrives at once. Such input does not show that answers were
        late or that endpoints or fusers were silent, and it makes no fallback due.
        """
        state = self.state
        if now > state.now + measurement.STALL_TICKS * measurement.TICK_S:
            state.resumed_at = now
            state.fleet.last_fuser_message_at = now
        state.now = now

    # Event handlers.

    def on_endpoint_list(self, endpoints: Sequence[Endpoint], complete: bool) -> None:
        """Apply the complete endpoint list or a change of it.

        Rule 3: endpoints that are draining or gone are not chosen once this method returns.
        """
        self.state.endpoints.update(endpoints, complete=complete)

    def on_watch_failed(self) -> None:
        """Schedule another watch of the endpoint list after a failed watch."""
        self._start_timer(measurement.WATCH_RETRY_S, WatchTimer())

    def on_request(self, request: Request) -> None:
        """Accept a request from a client and take its first step."""
        state = self.state
        state.traffic.accepted.add(state.now, request.request_class)
        state.traffic.arrivals.add(state.now, request.tenant)
        if not request.is_client_retry:
            state.traffic.new_requests.add(state.now, None)
        request_class = state.settings.request_classes[request.request_class]
        request_state = RequestState(request, request_class, state.now)
        state.requests[request.number] = request_state
        self._advance(request_state)

    def on_client_disconnect(self, number: int) -> None:
        """Close a request whose client has disconnected."""
        request = self.state.requests.get(number)
        if request:
            self._close(request)

    def on_attempt_result(self, number: int, result: AttemptResult) -> None:
        """Record how an attempt ended, then close its request or take the request's next step."""
        state = self.state
        request = state.requests.get(number)
        attempt = state.outstanding.pop(AttemptKey(number, result.attempt), None)
        if attempt:
            self._record_result(attempt, result)
            self._attribute(request, SuspectedError(attempt, result))
            if result.outcome is Outcome.SUCCESS:
                sticky_keys.bind_key(state, attempt)
        if request is None:
            return
        request.outcomes[result.attempt] = result.outcome
        if not result.request_done:
            self._advance(request)
            return
        self._close(request)

    def on_timer(self, timer: Timer) -> None:
        """Handle a timer that this balancer started and that is now due."""
        match timer:
            case Tick():
                self._tick()
            case WatchTimer():
                self.actions.append(WatchEndpoints())
            case RequestTimer(number, generation):
                request = self.state.requests.get(number)
                if request and request.timer_generation == generation:
                    self._advance(request)
            case EjectionTimer(index):
                endpoint = self.state.endpoints.by_index.get(index)
                if endpoint and endpoint.ejected:
                    self.actions.append(CheckHealth(index))

    def on_health_check_result(self, index: int, outcome: Outcome) -> None:
        """Record a health check; an ejected endpoint returns once enough checks in a row have passed."""
        endpoint = self.state.endpoints.by_index.get(index)
        if endpoint is None or not endpoint.ejected:
            return
        passed = outcome is Outcome.SUCCESS
        endpoint.passed_health_checks = endpoint.passed_health_checks + 1 if passed else 0
        if endpoint.passed_health_checks < outlier.HEALTH_CHECKS_TO_RETURN:
            self._start_timer(outlier.HEALTH_CHECK_INTERVAL_S, EjectionTimer(index))
            return
        endpoint.ejected = False
        endpoint.failure_rate = outlier.FAILURE_RATE_ON_RETURN
        self.state.endpoints.groups.ejection_changed()

    def on_peer_message(self, peer: int, message: PeerMessage) -> None:
        """Handle a message from another instance."""
        state = self.state
        if not 0 <= peer < state.settings.instance_count:
            return
        if peer in self._fusers:
            state.fleet.last_fuser_message_at = state.now
        if isinstance(message, FleetReport):
            self._apply_fleet_report(peer, message)
            return
        if isinstance(message, InstanceReport):
            state.fleet.peer_reports[peer] = ReceivedReport(message, state.now)
        if state.test:
            state.test.sums.merge_peer_message(peer, message)
            self._vote()

    def on_release_status(self, status: ReleaseStatus) -> None:
        """Handle the status of the newest build from the release service, or its reply to a vote."""
        state = self.state
        if status.is_vote_reply:
            state.voting.renew_at = state.now + rollout.vote_renewal_delay(state, status.reply)
        if status.reply is not ReplyStatus.ACCEPTED or status.build is None or status.stage is None:
            return
        previous = state.release
        state.release = status
        is_tested = status.phase in (Phase.CANARY, Phase.RELEASED)
        same_build = previous is not None and previous.build == status.build
        sticky_keys.release_keys(state)
        if previous and same_build and (previous.stage, previous.phase) == (status.stage, status.phase):
            return
        if not same_build:
            self._begin_build(is_first=previous is None)
        state.canary_seen = state.canary_seen or status.phase is Phase.CANARY
        state.test = self._new_test(status, state.test if same_build else None) if is_tested else None
        inheritance.merge_inherited_reports(state)

    def apply_inherited_state(self, inherited: InheritedState) -> None:
        """Apply state that was inherited from other instances or an earlier incarnation.

        The host calls this at the start of the instance or soon after.
        """
        state = self.state
        inheritance.inherit_window(state, inherited)
        for index, inherited_endpoint in inherited.endpoints.items():
            endpoint = state.endpoints.by_index.get(index)
            if endpoint is None or endpoint.result_count >= measurement.MIN_OWN_RESULTS:
                continue
            inheritance.inherit_endpoint(state, endpoint, inherited_endpoint, slow_start.PEER_RATE_LIFETIME_S)
            eject = inherited_endpoint.ejected and not endpoint.ejected
            if eject and outlier.may_eject_one_more(state, endpoint):
                self._eject(endpoint, inherited_endpoint.ejection_time, check_after=0.0)
            state.endpoints.groups.ejection_changed()
        inheritance.inherit_means(state, inherited)
        inheritance.inherit_reports(state, inherited)
        inheritance.merge_inherited_reports(state)

    def may_start(self, number: int, attempt: int) -> bool:
        """Return whether an attempt that has waited for its connection may still be sent.

        The conditions under which the attempt was started may no longer hold. If the attempt may be sent,
        rule 5 (the cap) counts the attempt at the current time instead of its start time.
        """
        state = self.state
        request = state.requests[number]
        record = state.outstanding[AttemptKey(number, attempt)]
        if not retry.may_run_again(state, request, request.attempts_that_may_have_run()[:-1]):
            return False
        if not sticky_keys.key_allows(state, record):
            return False
        is_canary = exposure.is_canary(state, record.build)
        if is_canary and not exposure.cap_allows(state, request, record.build, new_attempts=0):
            return False
        started_at = request.attempts[attempt].started_at
        state.traffic.attempts_to(record.build).restamp(started_at, record.request_class, state.now)
        return True

    def key_allows(self, number: int, attempt: int) -> bool:
        """Return whether an attempt may still be sent, as far as its key matters; part of `may_start`."""
        return sticky_keys.key_allows(self.state, self.state.outstanding[AttemptKey(number, attempt)])

    # Steps of a request.

    def _advance(self, request: RequestState) -> None:
        """Take the next step of a request: start an attempt, wait, or give the final answer."""
        step = retry.next_step(self.state, request)
        if isinstance(step, RejectRequest | FailRequest):
            self.actions.append(step)
            self._close(request)
            return
        self._timer_generation += 1
        request.timer_generation = self._timer_generation
        if isinstance(step, EndpointState):
            self._start_attempt(request, step)
        else:
            timer = RequestTimer(request.request.number, request.timer_generation)
            self.actions.append(StartTimer(step, timer))

    def _start_attempt(self, request: RequestState, endpoint: EndpointState) -> None:
        state = self.state
        number = request.request.number
        request_class = request.request.request_class
        build = endpoint.listed.build
        self.actions.append(StartAttempt(number, endpoint.listed.index, None))
        key = AttemptKey(number, len(request.attempts))
        state.outstanding[key] = AttemptRecord(endpoint, build, request_class, request.request.key)
        state.outstanding_by_endpoint.started(endpoint, request_class)
        state.traffic.attempts_to(build).add(state.now, request_class)
        request.add_attempt(endpoint, state.now)
        if not endpoint.outstanding:
            endpoint.silent_since = state.now
        endpoint.outstanding += 1
        endpoint.slow_start_tokens -= 1

    def _close(self, request: RequestState) -> None:
        """Remove a request that has its final answer; cancel outstanding attempts if the settings allow."""
        number = request.request.number
        self.state.requests.pop(number, None)
        if self.state.settings.limits.may_cancel:
            self.actions += [CancelAttempt(number, attempt) for attempt in request.outstanding_attempts()]

    # Statistics and evidence from results.

    def _record_result(self, attempt: AttemptRecord, result: AttemptResult) -> None:
        state = self.state
        endpoint = attempt.endpoint
        endpoint.silent_since = state.now
        endpoint.last_result_at = state.now
        endpoint.outstanding -= 1
        endpoint.result_count += 1
        state.outstanding_by_endpoint.ended(endpoint, attempt.request_class)
        side = measurement.report_side(state, attempt)
        record_latency(state, attempt, result, side, measurement.LATENCY_WEIGHTS)

    def _attribute(self, request: RequestState | None, ended: SuspectedError) -> None:
        """Attribute a result to its endpoint and build.

        An error counts against an endpoint only once another attempt of the same request has succeeded: a
        request that fails at every endpoint shows a fault of the request, not of an endpoint. The error of a
        non-idempotent request counts at once, because no other attempt will follow. Holding errors back is
        harmful where hardly any endpoint can serve, since no attempt succeeds and the errors never count.
        """
        suspected = request.suspected_errors if request else []
        outcome = ended.result.outcome
        may_retry = request and request.request_class.retry_safety is not RetrySafety.NON_IDEMPOTENT
        if request and may_retry and outcome is Outcome.ERROR:
            request.suspected_errors = [*suspected, ended]
            return
        self._count_result(*ended)
        if outcome is Outcome.SUCCESS:
            for error in suspected:
                self._count_result(*error)

    def _count_result(self, attempt: AttemptRecord, result: AttemptResult) -> None:
        state = self.state
        endpoint = attempt.endpoint
        outlier.update_failure_rate(endpoint, result.outcome)
        if outlier.should_eject(state, endpoint, result.outcome):
            self._eject(endpoint, 2 * endpoint.ejection_time)
            state.endpoints.groups.ejection_changed()
        if result.outcome in NEVER_RUN_OUTCOMES:
            return
        deltas = evidence.evaluate(state, attempt, result)
        if deltas is None:
            return
        for delta in deltas:
            self._send_to_fusers(delta)
        self._vote()

    def _eject(self, endpoint: EndpointState, ejection_time: float, check_after: float | None = None) -> None:
        endpoint.ejected = True
        endpoint.passed_health_checks = 0
        endpoint.ejection_time = outlier.clamp_ejection_time(ejection_time)
        delay = endpoint.ejection_time if check_after is None else check_after
        self._start_timer(delay, EjectionTimer(endpoint.listed.index))

    # Releases, votes and peers.

    def _begin_build(self, *, is_first: bool) -> None:
        """Prepare for another newest build: keep the present latencies and load for comparison."""
        state = self.state
        latencies = state.latencies
        latencies.before_canary = {} if is_first else evidence.reliable_baseline_latencies(state)
        latencies.load_before_canary = load_per_endpoint(state, outlier.UNRESPONSIVE_SILENCE)
        latencies.busy_until = state.now
        state.canary_seen = False
        for endpoint in state.endpoints.by_index.values():
            endpoint.latency_drift = NO_DRIFT
        state.endpoints.groups.ejection_changed()

    def _new_test(self, status: ReleaseStatus, previous: SequentialTest | None) -> SequentialTest:
        """Create the sequential test of a stage.

        The sums restart at zero with each stage. Only the sum of the oldest endpoints is carried over, since
        these endpoints stay the same in all stages.
        """
        state = self.state
        test = SequentialTest(status, len(state.settings.request_classes), state.incarnation)
        if previous is not None:
            test.sums.continue_from(previous.sums)
        return test

    def _vote(self) -> None:
        state = self.state
        verdict = rollout.vote_to_cast(state)
        if verdict is None or state.test is None or state.release is None:
            return
        state.voting.cast(state.test, verdict, state.now, rollout.unanswered_vote_retry_at(state))
        build = state.test.build
        stage = state.release.stage
        self.actions.append(CastVote(build, stage or 0, verdict))
        sums = [round(total, 1) for total in state.test.sums.fused]
        text = f"vote {verdict.log_name.upper()} build {build} stage {stage} sums {sums}"
        self.actions.append(LogMessage(text))

    def _send(self, peer: int | None, message: PeerMessage) -> None:
        settings = self.state.settings
        if settings.limits.may_message_peers and peer != settings.instance and settings.instance_count > 1:
            self.actions.append(SendToPeer(peer, message))

    def _send_to_fusers(self, message: PeerMessage) -> None:
        for fuser in self._fusers:
            self._send(fuser, message)

    def _send_report(self) -> None:
        """Send this instance's sums and load to the fusers; one fuser also broadcasts the fleet's load.

        The report holds complete sums, which include the remainder that the design sends once a second.
        """
        state = self.state
        build = 0
        stage = 0
        sums = {}
        if state.test:
            build = state.test.build
            stage = state.test.sums.stage
            sums = {statistic: llr for statistic, llr in enumerate(state.test.sums.own) if llr.outcomes}
            state.test.sums.reset_unsent()
        outstanding = outstanding_attempts(state, outlier.UNRESPONSIVE_SILENCE)
        loads = state.traffic.loads(measurement.RATE_WINDOW_S)
        report = InstanceReport(
            state.incarnation, build, stage, state.traffic.request_rate, outstanding, loads, sums
        )
        self._send_to_fusers(report)
        if rollout.should_report_fleet(state):
            reports = state.fleet.recent_reports(state.now - rollout.REPORT_LIFETIME_S)
            fleet_report = merge_reports([*reports, report], state.voting.preferred_verdict)
            self._apply_fleet_report(state.settings.instance, fleet_report)
            self._send(None, fleet_report)

    def _apply_fleet_report(self, sender: int, report: FleetReport) -> None:
        state = self.state
        class_count = len(state.settings.request_classes)
        minimum = rollout.MIN_ANSWERS_PER_SECOND
        state.fleet.apply_report(sender, report, state.now, class_count=class_count, minimum=minimum)
        means = [estimate.mean for estimate in state.latencies.by_class]
        longest = max(means + state.fleet.mean_latencies())
        state.latencies.longest_mean = longest or measurement.LATENCY_WEIGHTS.default_longest_mean
        state.fleet.held_up_classes = rollout.held_up_classes(state)

    # Timers.

    def _start_timer(self, delay: float, timer: Timer) -> None:
        self.actions.append(StartTimer(self.state.now + delay, timer))

    def _tick(self) -> None:
        """Do the periodic work: expire old counts and reports, update rates, send reports and vote."""
        state = self.state
        self._start_timer(measurement.TICK_S, Tick())
        sticky_keys.release_keys(state)
        measurement.expire_traffic(state)
        state.traffic.update_rates(state.now - state.started_at, measurement.RATE_WINDOWS)
        if state.now >= state.fleet.received_at + rollout.REPORT_LIFETIME_S:
            state.fleet.drop_report()
        if state.test:
            evidence.update_busy_until(state)
        self._tick_count += 1
        if rollout.report_is_due(state, self._tick_count):
            self._send_report()
        self._vote()
