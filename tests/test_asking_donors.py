"""Whom a learner asks, and how many a donor teaches."""

from __future__ import annotations

import random

from gatebank.operator_config.sections import SectionCall
from gatebank.state_transfer.section import StateTransferSection
from gatebank.state_transfer.source_limits import SourceLimiter, SourceLimits
from gatebank.state_transfer.source_selection import SourceSelector, ranked


def test_learner_asks_on_within_its_budget() -> None:
    """Asks on.

    Two at once, others as they fail, back when told, never a liar again, within a budget and patience.
    """
    asking = SourceSelector("me", list("abcd"), patience=1.0, max_attempts=6, seed=3)
    first = [action.source for action in asking.begin(0.0)]
    assert first == ranked("me", list("abcd"))[:2] and not asking.may_serve(0.5) and asking.may_serve(1.0)
    [third] = asking.on_failed(first[0], 0.1)
    assert third.source == ranked("me", list("abcd"))[2]
    [fourth] = asking.on_invalid(first[1], 0.2)
    assert fourth.source == ranked("me", list("abcd"))[3]
    [again] = asking.on_failed(third.source, 0.3, retry_after=7.0)
    assert again.source == first[0] and again.at >= 0.1 and asking.attempts == 5
    [last] = asking.on_failed(fourth.source, 0.4)
    assert last.source in (third.source, fourth.source) and asking.attempts == 6
    assert (
        asking.on_failed(last.source, 0.5) == []
        and asking.on_failed(again.source, 0.6) == []
        and asking.may_serve(0.6)
    )
    assert SourceSelector("me", [], 1.0, 3, 1).begin(0.0) == []
    spread = {ranked(f"m{i}", list("abcdefgh"))[0] for i in range(60)}
    assert len(spread) == 8  # many that start at once do not all ask the same


def test_forty_learners_at_once_are_all_taught() -> None:
    """Forty at once.

    Forty learners, of which a donor teaches a few: all are taught in some seconds, never more at once or a
    second than told, and those refused do not come back together.
    """
    bounds = SourceLimits(max_receivers=3, receivers_per_second=10)
    teaching, chance = SourceLimiter(bounds, 5), random.Random(6)
    waiting = [(chance.uniform(0, 0.01), number) for number in range(40)]
    taught: list[float] = []
    ends: list[float] = []
    while waiting:
        at, who = min(waiting)
        waiting.remove((at, who))
        for end in [each for each in ends if each <= at]:
            ends.remove(end)
            teaching.release()
        back_in = teaching.admit(at, 0.0)
        if back_in is None:
            taught.append(at)
            ends.append(at + 0.05)
            assert len(ends) <= 3
        else:
            assert 0.05 < back_in < 10
            waiting.append((at + back_in, who))
    assert len(taught) == 40 and max(taught) < 30
    assert all(sum(at <= each < at + 1 for each in taught) <= 20 for at in taught)


def test_bad_learning_sections_are_refused() -> None:
    """Sections.

    Bad sections are refused with their reason.
    """
    for text, words in (
        ({"donors": ["10.0.0.1:7950"], "plain": True}, "no loopback address"),
        ({"donors": ["10.0.0.1:7950"]}, "names in the donors' certificates"),
        ({"listen": "10.0.0.1:7950"}, "names in the learners' certificates"),
        ({"listen": "nowhere", "plain": True}, "no IP address"),
        ({}, "nothing to learn from"),
        ({"snapshots": "x", "half_life_well": 99.0}, "good news ages faster"),
        ({"snapshots": "x", "patience": 99.0}, "allowed is a number from 0 to 30"),
    ):
        faults = " ".join(
            str(each) for each in StateTransferSection.find_errors(SectionCall("learning", text, 1))
        )
        assert words in faults, (text, faults)
    assert not StateTransferSection.find_errors(SectionCall("learning", {"snapshots": "x"}, 1))
