"""When this instance votes on the canary, and when it reports to the other instances."""

from gatebank.core.state import BalancerState
from gatebank.events import ReplyStatus, Verdict
from gatebank.peer_messages import short_build
from gatebank.policy.measurement import TICK_S

# Number of fusers in the design. Where more votes are required, the other instances follow the fusers.
MAX_FUSERS = 3
# An instance that has received nothing from any fuser for this long decides by its own evidence.
FUSER_SILENCE_S = 4.0
# If no fleet report has been received for this long, the next fuser sends it.
RELAY_SILENCE_S = 2.5
# Age from which reports are no longer used.
REPORT_LIFETIME_S = 5.0
# Answers per second of all instances that are required for a mean latency: 20 in the 2 s of a report.
MIN_ANSWERS_PER_SECOND = 10.0
# A class is held up only if its latency is above this multiple of the fastest class's.
HELD_UP_FACTOR = 3
# Ticks between two reports: 1 s, as in the design.
REPORT_TICKS = 4
# With more instances than this, each instance reports less often than every second.
INSTANCES_PER_REPORT_SECOND = 200
# Minimum interval between two votes; a vote to roll back does not wait for it.
MIN_VOTE_INTERVAL_S = 0.5
# Delay between the votes of successive instances, which vote only if the votes before had no effect.
RANK_STEP_S = 0.5
# Upper bound of an instance's rank where no more votes are required than there are fusers.
MAX_RANK = 3
# Share of a vote's lifetime after which an accepted vote is renewed.
RENEWAL_SHARE = 0.75
# Delay before a vote is cast again after such a reply.
RETRY_S = {ReplyStatus.STALE: 1.5, ReplyStatus.TIMED_OUT: 0.5}
# The delay after other replies, and the length of the random delay that is added to it.
OTHER_RETRY_S = 0.4
# Time added to the vote timeout before an unanswered vote is cast again.
REPLY_MARGIN_S = 0.2


def fusers(instance_count: int) -> range:
    """Return the instances that sum the LLRs of all instances: those with the lowest numbers."""
    return range(min(MAX_FUSERS, instance_count))


def report_is_due(state: BalancerState, ticks: int) -> bool:
    """Return whether to report at this tick: each second, as in the design; less often in a large fleet."""
    every = max(1, round(state.settings.instance_count / INSTANCES_PER_REPORT_SECOND))
    return ticks % (REPORT_TICKS * every) == 0


def should_report_fleet(state: BalancerState) -> bool:
    """Return whether this instance sends the fleet report.

    The first fuser sends it. A later fuser takes over when it has received no fleet report for some time.
    """
    instance = state.settings.instance
    fleet = state.fleet
    own_turn = instance <= fleet.sender or fleet.received_at < state.now - RELAY_SILENCE_S
    return instance in fusers(state.settings.instance_count) and own_turn


def held_up_classes(state: BalancerState) -> set[int]:
    """Return the request classes that are late while another class is fast.

    Requests of these classes wait for something behind the endpoints, so another endpoint would not help.
    """
    latencies = state.fleet.mean_latencies()
    limit = HELD_UP_FACTOR * min(filter(None, latencies), default=0.0)
    pairs = enumerate(zip(state.settings.request_classes, latencies, strict=False))
    return {
        index
        for index, (request_class, latency) in pairs
        if latency > max(request_class.latency_objective, limit)
    }


def vote_renewal_delay(state: BalancerState, reply: ReplyStatus) -> float:
    """Return the seconds until the vote is cast again; an accepted vote is renewed before it expires."""
    renewal = state.settings.release.vote_lifetime * RENEWAL_SHARE
    other = OTHER_RETRY_S + OTHER_RETRY_S * state.random()  # a random number is drawn for every reply
    return renewal if reply is ReplyStatus.ACCEPTED else RETRY_S.get(reply, other)


def _verdict(state: BalancerState, *, many: bool) -> Verdict | None:
    """Return the verdict by present evidence.

    Args:
        state: The state of this instance.
        many: Whether more votes are required than there are fusers.

    Returns:
        A fuser's own verdict. At other instances the verdict of the last fleet report where many must vote,
        and their own if they have received nothing from any fuser for some time. None if there is no
        verdict.
    """
    test = state.test
    if test is None:
        return None
    is_fuser = state.settings.instance in fusers(state.settings.instance_count)
    if is_fuser or state.now - state.fleet.last_fuser_message_at >= FUSER_SILENCE_S:
        oldest = test.oldest_endpoints(state.endpoints.groups).size
        counts = state.endpoints.counts(test.build, oldest, state.now, state.settings.slow_start.warm_up)
        own = test.verdict(state.now, counts)
        # Without evidence of its own, an instance does not withdraw a vote that followed the fusers' verdict.
        return None if many and not is_fuser and own is Verdict.NONE else own
    report = state.fleet.report
    same = report and (report.build, report.stage) == (short_build(test.build), test.sums.stage)
    return Verdict(report.verdict) if many and report and same else None


def vote_to_cast(state: BalancerState) -> Verdict | None:
    """Return the verdict to vote for now, or None.

    The first fuser votes at once, and the other fusers if that had no effect. Where more votes are required
    than there are fusers, all instances vote, in the order of their numbers.
    """
    policy = state.settings.release
    needed = {Verdict.PROMOTE: policy.promote_votes, Verdict.ROLL_BACK: policy.rollback_votes}
    many = max(needed.values()) > MAX_FUSERS
    if state.test is None or state.release is None or state.now < state.resumed_at + TICK_S:
        return None
    verdict = _verdict(state, many=many)
    if verdict is None:
        return None
    voting = state.voting
    voting.prefer(verdict, state.now)
    current = voting.current_vote(state.test)
    due = voting.renew_at
    if verdict is not current:
        due = voting.preferred_since + _vote_delay(state, max(1, needed.get(verdict, 1)), many=many)
    if verdict is not Verdict.ROLL_BACK:
        due = max(due, voting.voted_at + MIN_VOTE_INTERVAL_S)
    # Where no votes to promote are required, the release service advances the stages by time.
    is_unneeded = verdict is Verdict.PROMOTE and not policy.promote_votes
    has_nothing_to_vote = is_unneeded or (verdict is Verdict.NONE and current is not Verdict.PROMOTE)
    return None if state.now < due or has_nothing_to_vote else verdict


def _vote_delay(state: BalancerState, needed: int, *, many: bool) -> float:
    """Return the seconds for which this instance lets the instances before it vote first.

    Args:
        state: The state of this instance.
        needed: Number of votes required for the verdict.
        many: Whether more votes are required than there are fusers.
    """
    instance = state.settings.instance
    rank = instance if many else min(instance, MAX_RANK)
    # Time per vote at the rate of votes that the release service accepts.
    call_s = 1 / max(1, state.settings.release.votes_per_second)
    return RANK_STEP_S * max(0, rank + 1 - needed) * min(1.0, 4 / needed) + many * rank * call_s


def unanswered_vote_retry_at(state: BalancerState) -> float:
    """Return the time at which a vote is cast again if it is not answered."""
    return state.now + state.settings.release.vote_timeout + REPLY_MARGIN_S
