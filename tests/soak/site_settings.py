"""The settings of a play's site, and the limits that the rules take from them."""

from __future__ import annotations

import json
from typing import Any

from tests.soak.records import Limits
from tests.soak.schedule import Site
from tests.support.instance_process import ROOT

ENDPOINT_CORES = 2  # Requests that a warm fake endpoint is assumed to process concurrently.
# Time after a change, with discovery available, from which rules assume that instances know it (STANDING).
ASSUMED_KNOWN_S = 6.0


def load_example_configuration() -> dict[str, Any]:
    """Return the example configuration."""
    configuration: dict[str, Any] = json.loads((ROOT / "examples/marshal.json").read_text())
    return configuration


def make_settings(site: Site) -> dict[str, Any]:
    """Return the example's settings, changed as the site requires."""
    settings: dict[str, Any] = load_example_configuration()["settings"]
    settings["limits"] |= {
        "cancel": site.can_cancel,
        "may-duplicate": site.may_duplicate,
        "probes": site.may_check_health,
        "peers": site.may_message_peers,
        "conn-idle-ms": site.connection_idle_ms,
        "streams-per-conn": site.attempts_per_connection,
    }
    settings["domain"] |= {"api-rate": 100, "keys-stay": site.has_sticky_keys}
    settings["registry-mode"] = "ask" if site.polls_discovery else "push"
    settings["invariants"] |= {"ask-within-ms": 1000 * ASSUMED_KNOWN_S}
    settings["balancers"] = site.instances
    return settings


def make_limits(site: Site, settings: dict[str, Any]) -> Limits:
    """Return the limits that the rules take from the settings."""
    invariants = settings["invariants"]
    domain = settings["domain"]
    deadlines = [request_class["deadline-ms"] / 1000 for request_class in settings["classes"]]
    return Limits(
        answer_slack=invariants["answer-slack-ms"] / 1000,
        drain_grace=invariants["drain-grace-ms"] / 1000,
        overload_multiple=invariants["fall-multiple"],
        overload_window=invariants["tip-after-ms"] / 1000,
        start_capacity=invariants["start-capacity"],
        warm_up=invariants["warm-up-ms"] / 1000,
        caps=tuple(domain["caps"]),
        spare_attempts=domain["spare-tries"],
        exposure_window=domain["exposure-window-ms"] / 1000,
        key_window={
            request_class["name"]: request_class["window-ms"] / 1000 for request_class in settings["classes"]
        },
        unrejectable_classes=frozenset(
            request_class["name"]
            for request_class in settings["classes"]
            if request_class["semantics"] == "single_shot"
            or (request_class["semantics"] == "guarded" and request_class["group"] != "all")
        ),
        longest_deadline=min(3.0, max(deadlines)),
        endpoint_capacity=ENDPOINT_CORES / site.reply_time,
        memory_bytes=site.memory_mb * 1024 * 1024,
        descriptors=site.descriptors,
        has_sticky_keys=site.has_sticky_keys,
        may_cancel=site.can_cancel,
    )
