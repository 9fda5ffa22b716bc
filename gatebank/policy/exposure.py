"""How much the canary gets. Rule 5: exposure within the cap, by this instance's own count in its window."""

from gatebank.core.request_state import RequestState
from gatebank.core.state import BalancerState
from gatebank.events import Phase, RetrySafety


def is_canary(state: BalancerState, build: int) -> bool:
    """Whether a build is the one told last and not released, or a later one."""
    release = state.release
    if release is None or release.build is None:  # only the lowest build listed is surely none
        return bool(state.endpoints.by_index) and state.endpoints.lowest_build < build
    return build > release.build or (build == release.build and release.phase is not Phase.RELEASED)


def cap_allows(state: BalancerState, request: RequestState, build: int, more: int = 1) -> bool:
    """Whether so many more attempts of a request may go to a canary."""
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
    sent.forget(window_start)
    accepted.forget(window_start, with_edge=True)
    # Where a former incarnation's attempts in this window are not known, it may have used all that is spare.
    spare = policy.spare_attempts if state.now >= state.no_spare_until else 0
    return sent.count(*classes) + more <= spare + cap * accepted.count(*classes)
