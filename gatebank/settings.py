"""The settings of one instance, typed, read once from the settings' own names.

The operators' names (``limits.max-attempts``, ``domain.caps``) are mapped here and nowhere else; milliseconds
become seconds. Only what the program uses is read: docs/design.md lists what the settings offer besides. What
the settings lack has the default of its field.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from gatebank.events import RetrySafety

SECONDS_PER_MILLISECOND = 0.001
UNLIMITED_RATE = 1e9  # per second, where the settings name no limit
RETRY_SAFETY_BY_NAME = {
    "free": RetrySafety.IDEMPOTENT,
    "guarded": RetrySafety.KEYED,
    "single_shot": RetrySafety.NON_IDEMPOTENT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """Requests of one kind; times in seconds.

    Attributes:
        name: its index, where the settings name none.
        retry_safety: whether a request may run again.
        latency_objective: an answer within this time has its full worth.
        deadline: the client's whole waiting time; None where the settings tell none.
        priority_weight: the worth of a request.
        retry_group: ``all``, ``zone`` or ``cell``: the endpoints that discard repetitions of a keyed request.
        retry_window: for how long they discard them, from the start of the first attempt that may have run.
    """

    name: str
    retry_safety: RetrySafety
    latency_objective: float = 1.0
    deadline: float | None = None
    priority_weight: float = 1.0
    retry_group: str = "all"
    retry_window: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Tenant:
    """An account; ``share`` is its fraction of the service."""

    name: str
    share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What the deployment permits; times in seconds, None where the settings tell none."""

    max_attempts: int = 1
    may_cancel: bool = False
    may_message_peers: bool = False
    may_check_health: bool = False
    may_advise_retry_after: bool = False
    connect_timeout: float | None = None
    connection_idle_timeout: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowStart:
    """How an endpoint starts; times in seconds.

    Its capacity grows from ``initial_capacity`` (a fraction) to the whole within ``warm_up``; over
    ``overload_multiple`` times of what it has by then, for ``overload_window``, it falls over.
    """

    initial_capacity: float = 1.0
    warm_up: float = 0.0
    overload_multiple: float = 1.0
    overload_window: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleasePolicy:
    """How builds are released; times in seconds.

    Attributes:
        caps: for each stage, the share of requests that may be sent to the canary.
        counts_by_class: the cap holds for each request class separately.
        exposure_window: the time over which attempts at the canary are counted.
        spare_attempts: attempts in a window that the cap does not count.
        sticky_keys: a key that the canary answered is sent to no earlier build.
        shielded_stages: in stages below, the canary gets idempotent requests only.
        promote_votes, rollback_votes: instances that it takes.
        votes_per_second: what the release service accepts of all instances together.
        vote_timeout: the longest wait for the answer to a vote.
        vote_lifetime: for how long a vote stands.
    """

    caps: Sequence[float] = (0.0,)
    counts_by_class: bool = False
    exposure_window: float = 0.0
    spare_attempts: float = 0
    sticky_keys: bool = False
    idempotent_only_stages: int = 0
    promote_votes: int = 1
    rollback_votes: int = 1
    votes_per_second: float = UNLIMITED_RATE
    vote_timeout: float = 2.0
    vote_lifetime: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of an instance.

    Attributes:
        instance: its number among all, from 0.
        instance_count: how many instances are configured.
        polls_endpoints: discovery is asked; otherwise an agent pushes the endpoint list.
        weighs_by_work: a request's worth is measured by its work, not by the request.
        kinds, zones: the names of machine kinds and zones, in the order of their indices.
        report_fields: the values of a load report, in order.
    """

    instance: int = 0
    instance_count: int = 1
    polls_endpoints: bool = False
    weighs_by_work: bool = False
    kinds: Sequence[str] = ()
    zones: Sequence[str] = ()
    report_fields: Sequence[str] = ()
    request_classes: tuple[RequestClass, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = field(default_factory=Limits)
    slow_start: SlowStart = field(default_factory=SlowStart)
    release: ReleasePolicy = field(default_factory=ReleasePolicy)


class _Section:
    """One object of the settings; what it lacks is left to the default of the field."""

    def __init__(self, given: object) -> None:
        self.given: Mapping[str, Any] = given if isinstance(given, Mapping) else {}

    def present(self, **names: str) -> dict[str, Any]:
        """The values there are, by field; each argument names a field and the settings' word for it."""
        found = {name: self.given.get(word) for name, word in names.items()}
        return {name: value for name, value in found.items() if value is not None}

    def seconds(self, **names: str) -> dict[str, Any]:
        """Likewise, from milliseconds to seconds."""
        return {name: value * SECONDS_PER_MILLISECOND for name, value in self.present(**names).items()}


def read_settings(given: Mapping[str, Any]) -> Settings:
    """The settings from their own form.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: a class lacks its semantics, or a value has a
            wrong form.
    """
    section = _Section(given)
    return Settings(
        **section.present(instance="me", instance_count="balancers", kinds="kinds", zones="zones"),
        **_Section(given.get("report")).present(report_fields="fields"),
        polls_endpoints=given.get("registry-mode") == "ask",
        weighs_by_work=given.get("value-by") == "work",
        request_classes=tuple(
            _request_class(each, str(index)) for index, each in enumerate(given["classes"])
        ),
        tenants=tuple(_tenant(each, str(index)) for index, each in enumerate(given.get("accounts", ()))),
        limits=_limits(_Section(given.get("limits"))),
        slow_start=_slow_start(_Section(given.get("invariants"))),
        release=_release_policy(_Section(given.get("domain"))),
    )


def _request_class(given: Mapping[str, Any], default_name: str) -> RequestClass:
    section = _Section(given)
    return RequestClass(
        name=given.get("name", default_name),
        **section.present(priority_weight="worth", retry_group="group"),
        **section.seconds(latency_objective="on-time-ms", deadline="deadline-ms", retry_window="window-ms"),
        retry_safety=RETRY_SAFETY_BY_NAME[given["semantics"]],
    )


def _tenant(given: Mapping[str, Any], default_name: str) -> Tenant:
    return Tenant(name=given.get("name", default_name), **_Section(given).present(share="share"))


def _limits(section: _Section) -> Limits:
    return Limits(
        **section.present(
            max_attempts="max-attempts",
            may_cancel="cancel",
            may_message_peers="peers",
            may_check_health="probes",
            may_advise_retry_after="retry-after",
        ),
        **section.seconds(connect_timeout="connect-timeout-ms", connection_idle_timeout="conn-idle-ms"),
    )


def _slow_start(section: _Section) -> SlowStart:
    return SlowStart(
        **section.present(initial_capacity="start-capacity", overload_multiple="fall-multiple"),
        **section.seconds(warm_up="warm-up-ms", overload_window="tip-after-ms"),
    )


def _release_policy(section: _Section) -> ReleasePolicy:
    return ReleasePolicy(
        **section.present(
            caps="caps",
            spare_attempts="spare-tries",
            sticky_keys="keys-stay",
            idempotent_only_stages="shielded",
            promote_votes="ayes-needed",
            rollback_votes="back-votes",
            votes_per_second="api-rate",
        ),
        **section.seconds(
            exposure_window="exposure-window-ms",
            vote_timeout="call-timeout-ms",
            vote_lifetime="vote-ttl-ms",
        ),
        counts_by_class=section.given.get("counted-by") == "per_lane",
    )
