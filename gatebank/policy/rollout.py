"""When to vote on the canary, and when this instance reports what it knows."""

from gatebank.core.state import BalancerState
from gatebank.events import ReplyStatus, Verdict
from gatebank.peer_messages import short_build
from gatebank.policy.measurement import TICK_S

MAX_FUSERS = 3  # the design's; where more must vote, the others follow what these find
FUSER_SILENCE_S = 4.0  # who heard no fuser for that long decides by what it knows itself
RELAY_SILENCE_S = 2.5  # without the fleet's report, the next fuser tells it
FLEET_MEMORY_S = 5.0  # of reports
MIN_MEAN_ANSWERS = 10.0  # a second, of all instances, that make a mean: twenty in a report's two seconds
HELD_UP_FACTOR = 3  # times the quickest class's usual time
REPORT_TICKS = 4  # between reports: the design's second
INSTANCES_PER_REPORT_SECOND = 200  # more of them report less often
VOTE_EVERY_S = 0.5
RANK_STEP_S = 0.5  # the fusers vote one after another, as far as the first ones' votes had no effect
MAX_RANK = 3
RENEWAL_SHARE = 0.75  # of a vote's lifetime
RETRY_S = {ReplyStatus.STALE: 1.5, ReplyStatus.TIMED_OUT: 0.5}
OTHER_RETRY_S = 0.4  # and as much again by chance
REPLY_MARGIN_S = 0.2


def fusers(instance_count: int) -> range:
    """The instances that sum all LLRs: the lowest-numbered ones."""
    return range(min(MAX_FUSERS, instance_count))


def report_is_due(state: BalancerState, ticks: int) -> bool:
    """Each second, the design's; less often where hundreds would speak."""
    every = max(1, round(state.settings.instance_count / INSTANCES_PER_REPORT_SECOND))
    return ticks % (REPORT_TICKS * every) == 0


def reports_fleet(state: BalancerState) -> bool:
    """The first fuser tells what all instances do, or the next one that has not heard it."""
    me = state.settings.instance
    fleet = state.fleet
    own_turn = me <= fleet.sender or fleet.received_at < state.now - RELAY_SILENCE_S
    return me in fusers(state.settings.instance_count) and own_turn


def held_up_classes(state: BalancerState) -> set[int]:
    """Classes late by themselves, while another is quick: they wait for what no endpoint mends."""
    latencies = state.fleet.mean_latencies()
    quick = HELD_UP_FACTOR * min(filter(None, latencies), default=0.0)
    pairs = enumerate(zip(state.settings.request_classes, latencies, strict=False))
    return {w for w, (each, latency) in pairs if latency > max(each.latency_objective, quick)}


def renewal_delay(state: BalancerState, reply: ReplyStatus) -> float:
    """Seconds until the vote is cast again: one that stands before it lapses."""
    renewal = state.settings.release.vote_lifetime * RENEWAL_SHARE
    other = OTHER_RETRY_S + OTHER_RETRY_S * state.random()  # drawn whatever the reply is
    return renewal if reply is ReplyStatus.ACCEPTED else RETRY_S.get(reply, other)


def _verdict(state: BalancerState, *, many: bool) -> Verdict | None:
    """What present evidence says: a fuser's own, or where many must vote what a fuser told; None: no say."""
    test = state.test
    if test is None:
        return None
    is_fuser = state.settings.instance in fusers(state.settings.instance_count)
    if is_fuser or state.now - state.fleet.last_fuser_message_at >= FUSER_SILENCE_S:
        oldest = test.oldest_endpoints(state.endpoints.groups).size
        counts = state.endpoints.counts(test.build, oldest, state.now, state.settings.slow_start.warm_up)
        own = test.verdict(state.now, counts)
        return None if many and not is_fuser and own is Verdict.NONE else own  # what they found stands
    report = state.fleet.report
    same = report and (report.build, report.stage) == (short_build(test.build), test.sums.stage)
    return Verdict(report.verdict) if many and report and same else None


def vote_to_cast(state: BalancerState) -> Verdict | None:
    """The first fuser votes at once, the others if that had no effect; where more must, all do, in turn."""
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
    standing = voting.current_vote(state.test)
    due = voting.renew_at
    if verdict is not standing:
        due = voting.preferred_since + _turn(state, max(1, needed.get(verdict, 1)), many=many)
    if verdict is not Verdict.ROLL_BACK:
        due = max(due, voting.voted_at + VOTE_EVERY_S)
    in_vain = verdict is Verdict.PROMOTE and not policy.promote_votes  # stages advance by the clock
    nothing_to_say = in_vain or (verdict is Verdict.NONE and standing is not Verdict.PROMOTE)
    return None if state.now < due or nothing_to_say else verdict


def _turn(state: BalancerState, needed: int, *, many: bool) -> float:
    """Seconds that this instance leaves to those before it."""
    instance = state.settings.instance
    rank = instance if many else min(instance, MAX_RANK)
    call_s = 1 / max(1, state.settings.release.votes_per_second)  # that a vote takes the release service
    return RANK_STEP_S * max(0, rank + 1 - needed) * min(1.0, 4 / needed) + many * rank * call_s


def renew_at(state: BalancerState) -> float:
    """When a vote without an answer is cast again."""
    return state.now + state.settings.release.vote_timeout + REPLY_MARGIN_S
