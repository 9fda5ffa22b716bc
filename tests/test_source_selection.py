"""Selection of sources by a receiver, limits of a source, and checks of the learning section."""

from __future__ import annotations

import random

import pytest

from gatebank.operator_config.sections import SectionCall
from gatebank.state_transfer.section import StateTransferSection
from gatebank.state_transfer.source_limits import SourceLimiter, SourceLimits
from gatebank.state_transfer.source_selection import SourceSelector, ranked


def test_receiver_stops_asking_at_its_attempt_budget() -> None:
    """A receiver asks sources until enough transfers are complete or its attempts are used up.

    The receiver asks two sources at once and another source after each failure. A busy source is asked again
    after the delay it sent, and a source that sent invalid data is never asked again. The instance may serve
    after `patience` seconds.
    """
    sources = list("abcd")
    selector = SourceSelector("me", sources, patience=1.0, max_attempts=6, seed=3)
    first, second = [connection.source for connection in selector.begin(0.0)]
    assert [first, second] == ranked("me", sources)[:2]
    assert not selector.may_serve(0.5)
    assert selector.may_serve(1.0)

    [third] = selector.on_failed(first, 0.1)
    assert third.source == ranked("me", sources)[2]
    [fourth] = selector.on_invalid(second, 0.2)
    assert fourth.source == ranked("me", sources)[3]
    [fifth] = selector.on_failed(third.source, 0.3, retry_after=7.0)
    assert fifth.source == first
    assert fifth.at >= 0.1
    assert selector.attempts == 5
    [last] = selector.on_failed(fourth.source, 0.4)
    assert last.source in (third.source, fourth.source)
    assert selector.attempts == 6

    assert selector.on_failed(last.source, 0.5) == []
    assert selector.on_failed(fifth.source, 0.6) == []
    assert selector.may_serve(0.6)


def test_receiver_without_sources_makes_no_connection() -> None:
    """A receiver without sources makes no connection."""
    assert SourceSelector("me", [], patience=1.0, max_attempts=3, seed=1).begin(0.0) == []


def test_many_receivers_spread_over_the_sources() -> None:
    """Receivers that start at the same time do not all ask the same source first."""
    first_asked = {ranked(f"m{number}", list("abcdefgh"))[0] for number in range(60)}
    assert len(first_asked) == 8


def test_forty_concurrent_receivers_are_all_served() -> None:
    """A source that serves only a few receivers at a time serves forty concurrent receivers within 30 s.

    The source never exceeds its limits of concurrent receivers and of new receivers per second, and refused
    receivers do not all ask again at the same time.
    """
    limiter = SourceLimiter(SourceLimits(max_receivers=3, receivers_per_second=10), seed=5)
    generator = random.Random(6)
    waiting = [(generator.uniform(0, 0.01), receiver) for receiver in range(40)]
    served_at: list[float] = []
    transfer_ends: list[float] = []
    while waiting:
        now, receiver = min(waiting)
        waiting.remove((now, receiver))
        for end in [end for end in transfer_ends if end <= now]:
            transfer_ends.remove(end)
            limiter.release()
        retry_after = limiter.admit(now, 0.0)
        if retry_after is None:
            served_at.append(now)
            transfer_ends.append(now + 0.05)
            assert len(transfer_ends) <= 3
        else:
            assert 0.05 < retry_after < 10
            waiting.append((now + retry_after, receiver))
    assert len(served_at) == 40
    assert max(served_at) < 30
    assert all(sum(start <= at < start + 1 for at in served_at) <= 20 for start in served_at)


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"donors": ["10.0.0.1:7950"], "plain": True}, "is not a loopback address"),
        ({"donors": ["10.0.0.1:7950"]}, "names in the donors' certificates"),
        ({"listen": "10.0.0.1:7950"}, "names in the learners' certificates"),
        ({"listen": "nowhere", "plain": True}, "not an IP address"),
        ({}, "nothing to learn from"),
        ({"snapshots": "x", "half_life_well": 99.0}, "good news ages faster"),
        ({"snapshots": "x", "patience": 99.0}, "allowed is a number from 0 to 30"),
    ],
)
def test_invalid_learning_sections_are_refused(fields: dict[str, object], reason: str) -> None:
    """An invalid section is refused with the reason."""
    errors = StateTransferSection.find_errors(SectionCall("learning", fields, line=1))
    assert reason in " ".join(map(str, errors))


def test_learning_section_with_only_snapshots_is_valid() -> None:
    """A section with snapshots needs neither sources nor a listener."""
    assert not StateTransferSection.find_errors(SectionCall("learning", {"snapshots": "x"}, line=1))
