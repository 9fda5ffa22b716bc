"""Standing orders, for both fronts, from the settings handed over: names become ours, milliseconds seconds.

Only what the settings hold is handed over; what they lack, the brain sees as missing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from gatebank.events import RetrySafety

AS_IS, SECONDS = 1, 0.001
REPEATS = {
    "free": RetrySafety.IDEMPOTENT,
    "guarded": RetrySafety.KEYED,
    "single_shot": RetrySafety.NON_IDEMPOTENT,
}

ORDERS = (
    ("me", "me", AS_IS),
    ("balancers", "marshals", AS_IS),
    ("zone", "zone", AS_IS),
    ("zones", "zones", AS_IS),
    ("kinds", "kinds", AS_IS),
    ("registry-mode", "roll_mode", AS_IS),
    ("round-ms", "tick", SECONDS),
    ("over-share-worth", "over_share_payoff", AS_IS),
    ("weight-source", "weight_source", AS_IS),
    ("value-by", "payoff_by", AS_IS),
    ("report.fields", "report_fields", AS_IS),
    ("report.source", "report_source", AS_IS),
    ("clients.marks-retry", "repeats_marked", AS_IS),
    ("limits.cancel", "may_withdraw", AS_IS),
    ("limits.max-attempts", "most_shots", AS_IS),
    ("limits.may-duplicate", "second_copies", AS_IS),
    ("limits.peers", "may_tell", AS_IS),
    ("limits.probes", "may_probe", AS_IS),
    ("limits.retry-after", "may_say_back_in", AS_IS),
    ("limits.max-retry-after-ms", "most_back_in", SECONDS),
    ("limits.connect-timeout-ms", "connect_timeout", SECONDS),
    ("limits.conn-idle-ms", "connection_idle", SECONDS),
    ("limits.streams-per-conn", "shots_per_connection", AS_IS),
    ("invariants.answer-slack-ms", "answer_slack", SECONDS),
    ("invariants.drain-grace-ms", "drain_grace", SECONDS),
    ("invariants.fall-multiple", "fall_multiple", AS_IS),
    ("invariants.start-capacity", "start_capacity", AS_IS),
    ("invariants.tip-after-ms", "fall_window", SECONDS),
    ("invariants.warm-up-ms", "warm_up", SECONDS),
    ("charges.cross-zone", "crossing_price", AS_IS),
    ("charges.late-fail", "late_fail_price", AS_IS),
    ("charges.peer", "peer_price", AS_IS),
    ("charges.probe", "probe_price", AS_IS),
    ("charges.waste", "waste_price", AS_IS),
    ("domain.api-rate", "votes_per_second", AS_IS),
    ("domain.ayes-needed", "on_votes", AS_IS),
    ("domain.back-votes", "back_votes", AS_IS),
    ("domain.hold-votes", "hold_votes", AS_IS),
    ("domain.bake-ms", "bake", SECONDS),
    ("domain.call-timeout-ms", "vote_timeout", SECONDS),
    ("domain.caps", "caps", AS_IS),
    ("domain.rings", "stage_shares", AS_IS),
    ("domain.complaint-share", "complaint_share", AS_IS),
    ("domain.control", "control", AS_IS),
    ("domain.counted-by", "counted_by", AS_IS),
    ("domain.counted-share", "tally_share", AS_IS),
    ("domain.exposure-window-ms", "exposure_window", SECONDS),
    ("domain.harm-price", "harm_price", AS_IS),
    ("domain.keys-stay", "keys_stay", AS_IS),
    ("domain.shielded", "shielded_stages", AS_IS),
    ("domain.spare-tries", "spare_shots", AS_IS),
    ("domain.stage-time-ms", "stage_time", SECONDS),
    ("domain.stale-build-price", "behind_price", AS_IS),
    ("domain.swap", "swap", AS_IS),
    ("domain.tally-every-ms", "tally_every", SECONDS),
    ("domain.told-every-ms", "told_every", SECONDS),
    ("domain.vote-ttl-ms", "vote_life", SECONDS),
)
WORKLOAD = (
    ("name", "name", AS_IS),
    ("on-time-ms", "target_time", SECONDS),
    ("deadline-ms", "time_limit", SECONDS),
    ("aim-stretch", "target_stretch", AS_IS),
    ("late-worth", "late_payoff", AS_IS),
    ("worth", "payoff", AS_IS),
    ("group", "group", AS_IS),
    ("window-ms", "window", SECONDS),
    ("streamed", "streamed", AS_IS),
)
CUSTOMER = (("name", "name", AS_IS), ("quota-rps", "quota", AS_IS), ("share", "share", AS_IS))


def _renamed(given: Mapping[str, Any], table: Iterable[tuple[str, str, float]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for path, name, scale in table:
        value: Any = given
        for step in path.split("."):
            value = value.get(step) if isinstance(value, Mapping) else None
        if value is not None:
            found[name] = value if scale is AS_IS else value * scale
    return found


def read_settings(given: Mapping[str, Any]) -> dict[str, Any]:
    """The plain map of names to values that the brain picks from."""
    orders = _renamed(given, ORDERS)
    orders["workloads"] = [
        _renamed(each, WORKLOAD) | {"repeats": REPEATS[each["semantics"]]} for each in given["classes"]
    ]
    orders["customers"] = [_renamed(each, CUSTOMER) for each in given.get("accounts", ())]
    return orders
