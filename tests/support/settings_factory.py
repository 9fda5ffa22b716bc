"""Makes settings for tests from flat names, by the same function that reads the operators' settings.

The flat names are those of the fields in `gatebank.settings`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from gatebank.settings import RETRY_SAFETY_BY_NAME, Settings, read_settings

MILLISECONDS = 1000.0
UNCONVERTED_PATHS = {
    "instance": "me",
    "instance_count": "balancers",
    "kinds": "kinds",
    "zones": "zones",
    "max_attempts": "limits.max-attempts",
    "may_cancel": "limits.cancel",
    "may_message_peers": "limits.peers",
    "may_check_health": "limits.probes",
    "may_advise_retry_after": "limits.retry-after",
    "overload_multiple": "invariants.fall-multiple",
    "initial_capacity": "invariants.start-capacity",
    "promote_votes": "domain.ayes-needed",
    "rollback_votes": "domain.back-votes",
    "votes_per_second": "domain.api-rate",
    "caps": "domain.caps",
    "spare_attempts": "domain.spare-tries",
    "sticky_keys": "domain.keys-stay",
    "idempotent_only_stages": "domain.shielded",
    "tenants": "accounts",
    "report_fields": "report.fields",
}
DURATION_PATHS = {
    "overload_window": "invariants.tip-after-ms",
    "warm_up": "invariants.warm-up-ms",
    "vote_timeout": "domain.call-timeout-ms",
    "vote_lifetime": "domain.vote-ttl-ms",
    "exposure_window": "domain.exposure-window-ms",
    "connection_idle_timeout": "limits.conn-idle-ms",
    "connect_timeout": "limits.connect-timeout-ms",
}
ENUM_PATHS = {
    "endpoint_list_mode": ("registry-mode", {"ask": "ask", "push": "push"}),
    "value_measured_by": ("value-by", {"work": "work", "request": "request"}),
    "cap_counted_by": ("domain.counted-by", {"all": "all", "per_lane": "per_lane"}),
}
RETRY_SAFETY_NAMES = {safety: name for name, safety in RETRY_SAFETY_BY_NAME.items()}


def make_settings(flat: Mapping[str, Any]) -> Settings:
    """Make settings from flat names, with times in seconds.

    Raises:
        KeyError: a name is unknown.
    """
    raw: dict[str, Any] = {
        "classes": [request_class_values(entry) for entry in flat.get("request_classes", ())]
    }
    for name, value in flat.items():
        if name in DURATION_PATHS:
            set_by_path(raw, DURATION_PATHS[name], value * MILLISECONDS)
        elif name in ENUM_PATHS:
            path, values = ENUM_PATHS[name]
            set_by_path(raw, path, values[value])
        elif name != "request_classes":
            set_by_path(raw, UNCONVERTED_PATHS[name], value)
    return read_settings(raw)


def request_class_values(flat: Mapping[str, Any]) -> dict[str, Any]:
    """Return a request class in the form of the operators' settings."""
    raw: dict[str, Any] = {"semantics": RETRY_SAFETY_NAMES[flat["retry_safety"]]}
    if "name" in flat:
        raw["name"] = flat["name"]
    if "priority_weight" in flat:
        raw["worth"] = flat["priority_weight"]
    if "retry_group" in flat:
        raw["group"] = flat["retry_group"]
    for name, key in (
        ("latency_objective", "on-time-ms"),
        ("deadline", "deadline-ms"),
        ("retry_window", "window-ms"),
    ):
        if name in flat:
            raw[key] = flat[name] * MILLISECONDS
    return raw


def set_by_path(raw: dict[str, Any], path: str, value: Any) -> None:
    """Set a value by its dotted path."""
    *parents, last = path.split(".")
    section = raw
    for parent in parents:
        section = section.setdefault(parent, {})
    section[last] = value
