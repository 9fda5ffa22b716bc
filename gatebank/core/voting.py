"""This instance's votes on the newest build; times in the balancer's seconds."""

from __future__ import annotations

from gatebank.events import Verdict


class VotingState:
    """The vote that stands, and the verdict that this instance leans to.

    Attributes:
        voted_test: of which sequential test the vote is, by identity; None before the first.
        voted_verdict: what it said.
        voted_at: when it was cast.
        renew_at: when it is to be cast again.
        leaning, leaning_since: the verdict by present evidence.
    """

    def __init__(self, now: float) -> None:
        self.voted_test: object | None = None
        self.voted_verdict = Verdict.NONE
        self.voted_at = now
        self.renew_at = now
        self.preferred_verdict = Verdict.NONE
        self.preferred_since = now

    def prefer(self, verdict: Verdict, now: float) -> None:
        """What present evidence says."""
        if verdict is not self.preferred_verdict:
            self.preferred_verdict = verdict
            self.preferred_since = now

    def current_vote(self, test: object) -> Verdict:
        """The verdict voted for in this test."""
        return self.voted_verdict if self.voted_test is test else Verdict.NONE

    def cast(self, test: object, verdict: Verdict, now: float, renew_at: float) -> None:
        """A vote was cast."""
        self.voted_test = test
        self.voted_verdict = verdict
        self.voted_at = now
        self.renew_at = renew_at
