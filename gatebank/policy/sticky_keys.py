"""Sticky keys: where the settings want it, a key that a new build has answered goes to no earlier build."""

from gatebank.core.request_state import AttemptRecord
from gatebank.core.state import BalancerState
from gatebank.events import Phase
from gatebank.policy.exposure import is_canary

# Time after which a build that is neither announced nor listed binds no keys: much longer than news is late,
# or discovery is down.
UNLISTED_BUILD_LIFETIME_S = 60.0


def binds_keys(state: BalancerState, build: int) -> bool:
    """Return whether a key that this build answers must not be sent to an earlier one.

    These are the announced build, unless it is rolled back, and each later build, which counts as being in
    the first stage until it is announced.
    """
    release = state.release
    if release is None or release.build != build:
        return is_canary(state, build)
    return release.phase in (Phase.CANARY, Phase.RELEASED)


def release_keys(state: BalancerState) -> None:
    """Release the keys of builds that do not bind any; called with each status and periodically.

    A build that is listed no more and was never announced has been withdrawn without a word, or was listed
    by mistake: without an end of the binding, no endpoint could ever serve its keys.
    """
    keys = state.sticky_keys
    keys.note_listed(state.endpoints.highest_build, state.now)
    announced = state.release.build if state.release else None

    def keeps(build: int) -> bool:
        is_withdrawn = build != announced and keys.unlisted_time(build, state.now) > UNLISTED_BUILD_LIFETIME_S
        return binds_keys(state, build) and not is_withdrawn

    keys.retain(keeps)


def bind_key(state: BalancerState, attempt: AttemptRecord) -> None:
    """Bind the key of an attempt that succeeded to its build, if the settings make keys sticky.

    The answer counts whether or not its client still waits for it. A canary answers a key only if there was
    room for the key when the attempt was chosen, so the attempts in flight are all that exceeds the bound on
    keys.
    """
    key = attempt.key
    is_sticky = state.settings.release.sticky_keys and binds_keys(state, attempt.build)
    if key is None or not is_sticky:
        return
    if state.may_bind(key) or is_canary(state, attempt.build):
        state.sticky_keys.bind(key, attempt.build)


def key_allows(state: BalancerState, attempt: AttemptRecord) -> bool:
    """Return whether the key of an attempt is not bound to a later build than the attempt's.

    It may have been bound since the attempt was started, by the answer to another request.
    """
    earliest_build = state.sticky_keys.earliest_build(attempt.key)
    return earliest_build is None or attempt.build >= earliest_build
