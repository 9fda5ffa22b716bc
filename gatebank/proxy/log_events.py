"""Catalogue of log events: the name and the keys of each event, defined in one place.

On-call tools and docs/oncall.md use these names; tests/test_log_events.py compares the catalogue with the
page and with the events that the source logs.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LogEvent:
    """One log event.

    Attributes:
        name: Name of the event, the value of ``event=``.
        keys: All keys that a line of the event may have, in order.
        more_keys: True if a line has further keys, such as counters.
        debug_only: True if the event is logged only at debug level.
    """

    name: str
    keys: tuple[str, ...] = ()
    more_keys: bool = False
    debug_only: bool = False


STANDING_KEYS = (
    "in_hand", "clients", "clients_unread", "clients_peak", "node_connections", "node_connections_peak",
    "memory_now_mb", "memory_mb", "lag", "node_connections_opened", "words_told", "words_heard",
    "words_dropped",
)  # fmt: skip

EVENTS = (
    LogEvent("ready", ("name", "nodes")),
    LogEvent("standing", STANDING_KEYS, more_keys=True),
    LogEvent("leaving", ("in_hand",)),
    LogEvent("gone", ("in_hand",)),
    # Control plane.
    LogEvent("roll", ("version", "whole", "entries")),
    LogEvent("roll_lost", ("why",)),
    LogEvent("roll_back", ("version",)),
    LogEvent("stage", ("build", "stage", "phase", "cap", "age")),
    LogEvent("vote", ("build", "stage", "verdict")),
    LogEvent("vote_answer", ("build", "verdict", "heard")),
    LogEvent("vote_lost", ("why", "arrived")),
    LogEvent("vote_refused", ("status", "code")),
    LogEvent("desk_lost", ("why",)),
    LogEvent("desk_back"),
    LogEvent("desk_overtaken", ("build", "stage")),
    LogEvent("desk_unread", ("why",)),
    LogEvent("desk_unknown", ("name",)),
    LogEvent("reloaded", ("discovery", "desk")),
    LogEvent("reload_failed", ("why",)),
    # Connections and requests.
    LogEvent("node_broken", ("node", "why", "idle")),
    LogEvent("no_descriptor", ("open",)),
    LogEvent("client_broken", ("why", "so_far")),
    LogEvent("client_cut", ("why", "owed")),
    LogEvent("accept_failed", ("why",)),
    LogEvent("unanswered", ("workload",)),
    LogEvent("client_closed", ("why", "unanswered", "ids"), debug_only=True),
    LogEvent("node_closed", ("node", "why"), debug_only=True),
    LogEvent("retry", ("id", "shot", "node"), debug_only=True),
    LogEvent("refused", ("id", "why", "shots"), debug_only=True),
    LogEvent("not_started", ("id", "why", "waited"), debug_only=True),
    LogEvent("shot", ("id", "ending", "build", "node", "workload", "took"), debug_only=True),
    LogEvent("answered", ("id", "how", "workload", "shots"), debug_only=True),
    # The process itself.
    LogEvent("note", ("text",)),
    LogEvent("fault", ("in", "act", "trouble", "place")),
    LogEvent("log_dropped", ("lines",)),
)
