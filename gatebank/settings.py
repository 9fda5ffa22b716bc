"""The typed settings of one instance, read once from the operators' settings.

The operators' names (``limits.max-attempts``, ``domain.caps``) are mapped here and nowhere else, and
milliseconds are converted to seconds. Only values that the program uses are read; docs/design.md lists the
other values that the settings may hold. A missing value gets the default of its field.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from gatebank.events import RetrySafety

SECONDS_PER_MILLISECOND = 0.001
UNLIMITED_RATE = 1e9  # per second, if the settings give no limit
RETRY_SAFETY_BY_NAME = {
    "free": RetrySafety.IDEMPOTENT,
    "guarded": RetrySafety.KEYED,
    "single_shot": RetrySafety.NON_IDEMPOTENT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """A class of requests; times in seconds.

    Attributes:
        name: the class's name; its index if the settings give no name.
        retry_safety: whether a request may run more than once.
        latency_objective: an answer within this time has its full value.
        deadline: the total time that the client waits; None if the settings give none.
        priority_weight: the value of a request.
        retry_group: ``all``, ``zone`` or ``cell``: the group of endpoints that discard repetitions of a keyed
            request.
        retry_window: for how long the endpoints of the group discard repetitions, from the start of the first
            attempt that may have run.
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
    """A tenant; ``share`` is the fraction of the service that it is entitled to."""

    name: str
    share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """The limits of the deployment; times in seconds, None if the settings give none."""

    max_attempts: int = 1
    may_cancel: bool = False
    may_message_peers: bool = False
    may_check_health: bool = False
    may_advise_retry_after: bool = False
    connect_timeout: float | None = None
    connection_idle_timeout: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowStart:
    """How an endpoint warms up after its start; times in seconds.

    Its capacity grows from ``initial_capacity`` (a fraction) to the full capacity within ``warm_up``. An
    endpoint that gets more than ``overload_multiple`` times its current capacity for ``overload_window``
    fails.
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
        counts_by_class: the cap applies to each request class separately.
        exposure_window: the time over which attempts at the canary are counted.
        spare_attempts: attempts per exposure window that are allowed beyond the cap.
        sticky_keys: a key that the canary has answered is not sent to earlier builds any more.
        idempotent_only_stages: the canary gets idempotent requests only in stages below this number.
        promote_votes, rollback_votes: votes needed to promote the canary or to roll it back.
        votes_per_second: the rate of votes that the release service accepts from all instances together.
        vote_timeout: the longest wait for the reply to a vote.
        vote_lifetime: how long a vote stays valid.
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
        instance: the number of this instance among all instances, from 0.
        instance_count: the number of configured instances.
        polls_endpoints: this instance polls discovery; otherwise an agent pushes the endpoint list.
        weighs_by_work: the value of a request grows with its work; otherwise each request counts the same.
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
    """One object of the settings; missing values are left to the defaults of the fields."""

    def __init__(self, raw: object) -> None:
        self.raw: Mapping[str, Any] = raw if isinstance(raw, Mapping) else {}

    def present(self, **keys: str) -> dict[str, Any]:
        """Return the values that are present, by field name.

        Args:
            keys: for each field, the key of its value in the settings.
        """
        values = {name: self.raw.get(key) for name, key in keys.items()}
        return {name: value for name, value in values.items() if value is not None}

    def seconds(self, **keys: str) -> dict[str, Any]:
        """Return the durations that are present, by field name, converted from milliseconds to seconds."""
        return {name: value * SECONDS_PER_MILLISECOND for name, value in self.present(**keys).items()}


def read_settings(raw: Mapping[str, Any]) -> Settings:
    """Read the settings from the operators' form.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: a request class lacks its retry semantics, or a value
            has a wrong type.
    """
    section = _Section(raw)
    return Settings(
        **section.present(instance="me", instance_count="balancers", kinds="kinds", zones="zones"),
        **_Section(raw.get("report")).present(report_fields="fields"),
        polls_endpoints=raw.get("registry-mode") == "ask",
        weighs_by_work=raw.get("value-by") == "work",
        request_classes=tuple(
            _request_class(entry, str(index)) for index, entry in enumerate(raw["classes"])
        ),
        tenants=tuple(_tenant(entry, str(index)) for index, entry in enumerate(raw.get("accounts", ()))),
        limits=_limits(_Section(raw.get("limits"))),
        slow_start=_slow_start(_Section(raw.get("invariants"))),
        release=_release_policy(_Section(raw.get("domain"))),
    )


def _request_class(raw: Mapping[str, Any], default_name: str) -> RequestClass:
    section = _Section(raw)
    return RequestClass(
        name=raw.get("name", default_name),
        **section.present(priority_weight="worth", retry_group="group"),
        **section.seconds(latency_objective="on-time-ms", deadline="deadline-ms", retry_window="window-ms"),
        retry_safety=RETRY_SAFETY_BY_NAME[raw["semantics"]],
    )


def _tenant(raw: Mapping[str, Any], default_name: str) -> Tenant:
    return Tenant(name=raw.get("name", default_name), **_Section(raw).present(share="share"))


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
        counts_by_class=section.raw.get("counted-by") == "per_lane",
    )
