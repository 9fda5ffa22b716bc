"""The sessions whose decisions are recorded, and the settings of their instances."""

from __future__ import annotations

import copy
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

ROUND_MS = 5.0


class WireClass(NamedTuple):
    """A request class in the terms of the simulator's wire; times are in milliseconds."""

    name: str
    semantics: str
    group: str
    objective_ms: float
    deadline_ms: float
    worth: float
    usual_work_ms: float

    def settings(self) -> dict[str, Any]:
        """Return the class as an entry of the settings."""
        return {
            "name": self.name,
            "semantics": self.semantics,
            "group": self.group,
            "on-time-ms": self.objective_ms,
            "deadline-ms": self.deadline_ms,
            "late-worth": 0.2,
            "worth": self.worth,
            "streamed": self.name == STREAMED_CLASS,
            "window-ms": 2000.0,
        }


STREAMED_CLASS = "badge"
CLASSES = (
    WireClass("read", "free", "all", 1200.0, 3000.0, 1.0, 60.0),
    WireClass("signup", "guarded", "zone", 1500.0, 4000.0, 3.0, 90.0),
    WireClass("payout", "single_shot", "all", 1500.0, 4000.0, 5.0, 110.0),
    WireClass("badge", "guarded", "cell", 1000.0, 2500.0, 2.0, 50.0),
    WireClass("order", "guarded", "all", 900.0, 2500.0, 2.0, 40.0),
)
BASE_SETTINGS: dict[str, Any] = {
    "zones": ["west", "east"],
    "kinds": ["large", "small"],
    "registry-mode": "push",
    "round-ms": ROUND_MS,
    "over-share-worth": 0.05,
    "weight-source": "off",
    "value-by": "request",
    "report": {"fields": ["concurrent", "load_share"], "source": "inline"},
    "clients": {"marks-retry": True},
    "accounts": [],
    "limits": {
        "cancel": True,
        "max-attempts": 5,
        "may-duplicate": True,
        "peers": True,
        "probes": True,
        "retry-after": False,
        "max-retry-after-ms": 500.0,
        "connect-timeout-ms": 250.0,
        "conn-idle-ms": 15000.0,
        "streams-per-conn": 32,
    },
    "invariants": {
        "answer-slack-ms": 20.0,
        "drain-grace-ms": 2000.0,
        "fall-multiple": 3.0,
        "start-capacity": 0.34,
        "tip-after-ms": 1500.0,
        "warm-up-ms": 5000.0,
    },
    "charges": {"cross-zone": 0.02, "late-fail": 0.03, "peer": 0.01, "probe": 0.01, "waste": 0.03},
    "domain": {
        "api-rate": 30.0,
        "ayes-needed": 1,
        "back-votes": 1,
        "hold-votes": 0,
        "bake-ms": 2000.0,
        "call-timeout-ms": 2000.0,
        "caps": [0.17, 0.595, 1.0],
        "rings": [0.1, 0.35, 1.0],
        "complaint-share": 0.15,
        "control": "single",
        "counted-by": "all",
        "counted-share": 0.2,
        "exposure-window-ms": 2000.0,
        "harm-price": 4.0,
        "keys-stay": False,
        "shielded": 0,
        "spare-tries": 3.0,
        "stage-time-ms": 0.0,
        "stale-build-price": 0.5,
        "swap": "side_by_side",
        "tally-every-ms": 2000.0,
        "told-every-ms": 6000.0,
        "vote-ttl-ms": 6000.0,
    },
}


@dataclass(frozen=True, slots=True)
class Session:
    """The parameters of a recorded session; rates are per second, times in seconds.

    Attributes:
        endpoints: Number of endpoints at the start.
        rate: Requests per second.
        settings: Values that differ from `BASE_SETTINGS`, by dotted path.
        bad_build_errors: Share of requests that fail at endpoints of a build with an even number.
        bad_build_slowdown: Factor of the latency at endpoints of a build with an even number.
        stalls: Number of jumps of the clock. After a jump, everything that was due meanwhile happens at once.
        held_up_class: Index of a request class that a backend behind all endpoints delays from 12 s on.
    """

    name: str
    seed: int
    instances: int
    endpoints: int
    seconds: float
    rate: float
    settings: Mapping[str, Any]
    bad_build_errors: float = 0.0
    bad_build_slowdown: float = 1.0
    restarts: int = 0
    stalls: int = 0
    held_up_class: int | None = None


def settings_of(session: Session, instance: int) -> dict[str, Any]:
    """Return the settings of one instance of a session, with the names used on the wire."""
    settings = copy.deepcopy(BASE_SETTINGS)
    settings |= {"me": instance, "balancers": session.instances, "zone": instance % 2}
    settings["classes"] = [request_class.settings() for request_class in CLASSES]
    for path, value in session.settings.items():
        section = settings
        *parents, last = path.split(".")
        for parent in parents:
            section = section[parent]
        section[last] = value
    return settings


TENANTS = [
    {"name": "school", "quota-rps": 20.0, "share": 0.5},
    {"name": "center", "quota-rps": 15.0, "share": 0.4},
    {"name": "academy", "quota-rps": 5.0, "share": 0.1},
]
SESSIONS = (
    Session(
        "one instance, a good build and a failing build",
        11,
        1,
        8,
        45.0,
        45.0,
        {},
        bad_build_errors=0.5,
        restarts=2,
    ),
    Session(
        "one instance, polled endpoint lists, tenants, sticky keys, exposure counted by class",
        12,
        1,
        10,
        45.0,
        60.0,
        {
            "registry-mode": "ask",
            "accounts": TENANTS,
            "domain.counted-by": "per_lane",
            "domain.keys-stay": True,
            "value-by": "work",
            "limits.retry-after": True,
            "limits.max-attempts": 2,
        },
        bad_build_slowdown=6.0,
    ),
    Session(
        "three instances, majority votes, shielded stages, a slow build, overload",
        13,
        3,
        9,
        45.0,
        90.0,
        {
            "accounts": TENANTS,
            "domain.shielded": 1,
            "domain.ayes-needed": 2,
            "domain.back-votes": 2,
            "domain.control": "majority",
            "limits.may-duplicate": False,
        },
        bad_build_slowdown=5.0,
        restarts=6,
    ),
    Session(
        "three instances without peer messages and cancellation, polled endpoint lists",
        14,
        3,
        7,
        30.0,
        40.0,
        {"registry-mode": "ask", "limits.peers": False, "limits.cancel": False},
        bad_build_errors=0.2,
        restarts=2,
    ),
    Session(
        "forty instances, majority votes, a failing build",
        15,
        40,
        48,
        30.0,
        180.0,
        {
            "domain.ayes-needed": 21,
            "domain.back-votes": 14,
            "domain.control": "majority",
            "value-by": "work",
        },
        bad_build_errors=0.35,
        restarts=12,
    ),
    Session(
        "four instances that stall, a class that is held up behind all endpoints, a slow build",
        16,
        4,
        10,
        40.0,
        110.0,
        {"limits.conn-idle-ms": 4000.0, "accounts": TENANTS},
        bad_build_slowdown=3.5,
        restarts=1,
        stalls=3,
        held_up_class=0,
    ),
)
