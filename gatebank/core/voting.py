"""The votes of this instance on the newest build; times in the balancer's seconds."""

from __future__ import annotations

from gatebank.events import Verdict


class VotingState:
    """The last vote, and the verdict that the present evidence suggests.

    Attributes:
        voted_test: the sequential test that the last vote belongs to, compared by identity; None before the
            first vote.
        voted_verdict: the verdict of the last vote.
        voted_at: when the last vote was cast.
        renew_at: when the vote has to be cast again.
        preferred_verdict, preferred_since: the verdict by present evidence, and since when it has been so.
    """

    def __init__(self, now: float) -> None:
        self.voted_test: object | None = None
        self.voted_verdict = Verdict.NONE
        self.voted_at = now
        self.renew_at = now
        self.preferred_verdict = Verdict.NONE
        self.preferred_since = now

    def prefer(self, verdict: Verdict, now: float) -> None:
        """Record the verdict that the present evidence suggests."""
        if verdict is not self.preferred_verdict:
            self.preferred_verdict = verdict
            self.preferred_since = now

    def current_vote(self, test: object) -> Verdict:
        """Return the verdict of the last vote in this test."""
        return self.voted_verdict if self.voted_test is test else Verdict.NONE

    def cast(self, test: object, verdict: Verdict, now: float, renew_at: float) -> None:
        """Record a vote that was cast."""
        self.voted_test = test
        self.voted_verdict = verdict
        self.voted_at = now
        self.renew_at = renew_at
