"""Exposure of the canary: the share of requests that is sent to it.

Rule 5: each instance keeps this share within the cap by its own counts. The counts cover the exposure
window, a trailing time window whose length the settings give.
"""

from gatebank.core.request_state import RequestState
from gatebank.core.state import BalancerState
from gatebank.events import Phase, RetrySafety


def is_canary(state: BalancerState, build: int) -> bool:
    """Return whether a build is later than the last announced build, or is that build and not released."""
    release = state.release
    if release is None or release.build is None:  # only the lowest listed build is certain not to be a canary
        return bool(state.endpoints.by_index) and state.endpoints.lowest_build < build
    return build > release.build or (build == release.build and release.phase is not Phase.RELEASED)


def cap_allows(state: BalancerState, request: RequestState, build: int, new_attempts: int = 1) -> bool:
    """Return whether the cap allows further attempts of a request at a canary.

    Args:
        state: The state of this instance.
        request: The request.
        build: The canary's build.
        new_attempts: Number of attempts that would be added to the window. With 0, only the attempts
            that are already counted are checked.
    """
    policy = state.settings.release
    release = state.release if state.release is not None and state.release.build == build else None
    cap, stage = (release.cap, release.stage or 0) if release else (policy.caps[0], 0)
    shielded = stage < policy.idempotent_only_stages
    if not cap or (shielded and request.request_class.retry_safety is not RetrySafety.IDEMPOTENT):
        return False
    classes = (request.request.request_class,) if policy.counts_by_class else ()
    window_start = state.now - policy.exposure_window
    sent = state.traffic.attempts_to(build)
    accepted = state.traffic.accepted
    sent.expire(window_start)
    accepted.expire(window_start, inclusive=True)
    # While the attempts of an earlier incarnation in this window are not known, that incarnation may have
    # used all spare attempts.
    spare = policy.spare_attempts if state.now >= state.no_spare_until else 0
    return sent.count(*classes) + new_attempts <= spare + cap * accepted.count(*classes)
