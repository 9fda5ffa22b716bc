"""The items of a state transfer and of a snapshot, and their stored form.

Every item holds its origin (the instance that observed it), its age and the number of outcomes behind it.
Ages are seconds before the time of sending, never clock times, because a source's clock may be hours off.
An item that an instance passes on keeps its origin, and its age keeps growing. Two instances that have just
started and ask each other therefore gain no information from each other.

The stored form has a version. A reader accepts its own version, the previous one and the next one: new fields
have defaults, msgspec ignores unknown fields, and items of an unknown kind are skipped. Attributes have the
names of docs/glossary.md; the stored names (`msgspec.field(name=...)`) never change.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from typing import Annotated, NamedTuple, Self

import msgspec
from msgspec import Meta, field

from gatebank.errors import GatebankError

FORMAT_VERSION = 1
READABLE_VERSIONS = (FORMAT_VERSION - 1, FORMAT_VERSION, FORMAT_VERSION + 1)

# Maximum number of items in a part: twice the endpoints of a fleet of 10,000, the largest known size.
MAX_ITEMS = 20_000
# Maximum number of ratios in one item of sums: far above the few ratios per request class of a real item.
MAX_RATIOS = 4096

Name = Annotated[str, Meta(max_length=256)]
Age = Annotated[float, Meta(ge=0, le=1e6)]  # seconds
Fraction = Annotated[float, Meta(ge=0, le=1)]
OutcomeCount = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Seconds = Annotated[float, Meta(ge=0, le=1e6)]
# Up to 2**53, because readers in other languages may hold numbers as doubles, which are exact up to there.
Number = Annotated[int, Meta(ge=0, le=2**53)]
LogLikelihood = Annotated[float, Meta(ge=-1e6, le=1e6)]


class InvalidItemError(GatebankError):
    """A part has values out of range, or is not a list of items.

    Attributes:
        reason: Description of the error, with its place in the data.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Item(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The fields that all items have.

    Attributes:
        origin: Name of the instance that made the observation.
        incarnation: Random number of that instance's start.
        age: Seconds since the observation.
        outcomes: Number of outcomes behind the item.
    """

    origin: Name = field(name="by")
    incarnation: Number = field(default=0, name="life")
    age: Age
    outcomes: OutcomeCount = field(default=0, name="seen")

    def older(self, seconds: float) -> Self:
        """Returns the item with an age greater by ``seconds``; a negative number counts as 0."""
        return msgspec.structs.replace(self, age=self.age + max(0.0, seconds))


class ReleaseReport(Item, tag="news", frozen=True, kw_only=True):
    """The newest status of the release service that the origin received.

    Attributes:
        build: The build that is being released.
        stage: Index of the release stage.
        phase: Value of an `events.Phase`.
        cap: Maximum fraction of requests for the canary; None if the status had no cap.
    """

    build: Number
    stage: Annotated[int, Meta(ge=0, le=1000)]
    phase: Annotated[int, Meta(ge=0, le=3)]
    cap: Fraction | None = None


class SlowStartRate(Item, tag="cold", frozen=True, kw_only=True):
    """Rate of the origin's attempts at an endpoint in slow start.

    Attributes:
        endpoint: Name of the endpoint.
        build: Build that the endpoint runs.
        started: Unix time of the endpoint's start.
        rate: Attempts per second.
    """

    endpoint: Name = field(name="node")
    build: Number
    started: float
    rate: Annotated[float, Meta(ge=0, le=1e6)]


class EndpointHealth(Item, tag="node", frozen=True, kw_only=True):
    """Health of one process of an endpoint; endpoint name, build and start time identify the process.

    Attributes:
        endpoint: Name of the endpoint.
        build: Build that the endpoint runs.
        started: Unix time of the endpoint's start; None if unknown.
        latency_ratio: The endpoint's latencies divided by the usual latencies.
        failure_rate: Fraction of attempts at the endpoint that failed.
        ejected: Whether the origin has ejected the endpoint.
        ejection_time: Duration of the current ejection in seconds.
    """

    endpoint: Name = field(name="node")
    build: Number
    started: float | None = None
    latency_ratio: Annotated[float, Meta(ge=0, le=1e4)] = field(default=1.0, name="slow")
    failure_rate: Fraction = field(default=0.0, name="faults")
    ejected: bool = field(default=False, name="aside")
    ejection_time: Seconds = field(default=0.0, name="hold")


class RatioSum(NamedTuple):
    """The sum of one statistic of a sequential test; stored as an array of two.

    Attributes:
        value: Sum of the log-likelihood ratios of the outcomes.
        outcomes: Number of outcomes in the sum.
    """

    value: LogLikelihood
    outcomes: OutcomeCount


class SequentialTestSums(Item, tag="sums", frozen=True, kw_only=True):
    """One instance's own sums of the sequential test of a build in one stage.

    The sums are totals and not increments, so merging the same sums twice changes nothing.

    Attributes:
        build: The build under test.
        stage: Index of the stage.
        instance: Number of the instance that made the sums; `incarnation` belongs to that instance too.
        ratios: The sums by number of the statistic.
    """

    build: Number
    stage: Annotated[int, Meta(ge=0, le=1001)]
    instance: Annotated[int, Meta(ge=0, le=65535)] = field(name="marshal")
    ratios: dict[int, RatioSum]


class BaselineFailures(Item, tag="past", frozen=True, kw_only=True):
    """How often the baseline build fails by one statistic; the counts decay with time.

    Attributes:
        ratio: Stored name of the statistic.
        weighted_failures: Decayed number of bad outcomes.
        weighted_total: Decayed number of all outcomes.
        recent_rate: Fraction of bad outcomes among the last ten outcomes.
    """

    ratio: Name
    weighted_failures: Annotated[float, Meta(ge=0, le=1e6)] = field(name="bad")
    weighted_total: Annotated[float, Meta(ge=0, le=1e6)] = field(name="all")
    recent_rate: Fraction = field(default=0.0, name="lately")


class UsualLatency(Item, tag="times", frozen=True, kw_only=True):
    """The usual latency of a request class's successful attempts, in seconds.

    Attributes:
        request_class: Name of the request class.
        machine_kind: Empty if the latency is that of all endpoints; otherwise the machine kind on which the
            baseline build has this latency.
        latency: Mean latency in seconds.
    """

    request_class: Name = field(name="workload")
    machine_kind: Name = field(default="", name="kind")
    latency: Seconds = field(name="pace")


class SentAttempt(Item, tag="sent", frozen=True, kw_only=True):
    """One attempt of the origin at a build in the last exposure window.

    The exposure window is the trailing time over which the share of requests sent to the canary is counted
    against its cap. Each attempt is a separate item, so that `age` is exact. The item is of use only to a
    later start of the origin itself.
    """

    build: Number
    request_class: Name = field(name="workload")


class AdmittedRequest(Item, tag="took", frozen=True, kw_only=True):
    """One request that the origin admitted in the last exposure window; used like `SentAttempt`."""

    request_class: Name = field(name="workload")


StateItem = (
    ReleaseReport
    | SlowStartRate
    | EndpointHealth
    | SequentialTestSums
    | BaselineFailures
    | UsualLatency
    | SentAttempt
    | AdmittedRequest
)
# The kinds by descending priority: items that limit traffic, then items that decide about a canary, then
# items that only improve estimates.
KINDS_BY_PRIORITY: tuple[type[StateItem], ...] = (
    ReleaseReport,
    SlowStartRate,
    EndpointHealth,
    SequentialTestSums,
    BaselineFailures,
    SentAttempt,
    AdmittedRequest,
    UsualLatency,
)
RANKS = {kind: rank for rank, kind in enumerate(KINDS_BY_PRIORITY)}
# Items of ejected endpoints come directly after slow-start rates, before healthy endpoints and test sums.
EJECTED_RANK = RANKS[SlowStartRate] + 0.5


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """Items of any kinds that are sent or stored together. A part can be decoded without any other part."""

    items: Annotated[list[msgspec.Raw], Meta(max_length=MAX_ITEMS)]


ENCODER = msgspec.msgpack.Encoder()
PART_DECODER = msgspec.msgpack.Decoder(Part)
ITEM_DECODER: msgspec.msgpack.Decoder[StateItem] = msgspec.msgpack.Decoder(StateItem)
TAGS = frozenset(kind.__struct_config__.tag for kind in KINDS_BY_PRIORITY)
# Names of kinds of items in error messages, where the name is not the capitalized tag.
TITLES: dict[type[Item], str] = {EndpointHealth: "Health"}


def encode_part(items: Iterable[StateItem]) -> bytes:
    """Returns the items as one part, encoded with msgpack."""
    return ENCODER.encode(Part(items=[msgspec.Raw(ENCODER.encode(item)) for item in items]))


def decode_part(data: bytes | memoryview) -> list[StateItem]:
    """Returns the items of a part; items of an unknown kind are skipped.

    Raises:
        InvalidItemError: An item has a value out of range. The whole part is refused, because the other
            values of a source that sends an impossible value cannot be trusted either.

    >>> latency = UsualLatency(origin="m", age=2.5, outcomes=7, request_class="read", latency=0.02)
    >>> decode_part(encode_part([latency])) == [latency]
    True
    >>> decode_part(encode_part([latency, msgspec.structs.replace(latency, age=-1.0)]))
    Traceback (most recent call last):
    gatebank.state_transfer.items.InvalidItemError: Expected `float` >= 0.0 - at `$.age`
    """
    items: list[StateItem] = []
    try:
        for raw in PART_DECODER.decode(data).items:
            item = decode_item(raw)
            if item is not None:
                items.append(item)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidItemError(str(error)) from None
    return items


def decode_item(raw: msgspec.Raw) -> StateItem | None:
    """Decodes one item; returns None if its kind is unknown.

    Raises:
        InvalidItemError: A value is infinite or not a number.
        msgspec.DecodeError: The item does not match the schema of its kind.
    """
    try:
        item = ITEM_DECODER.decode(raw)
    except msgspec.ValidationError:
        if has_known_kind(raw):
            raise
        return None
    if not is_finite(item):
        title = TITLES.get(type(item)) or str(item.__struct_config__.tag).capitalize()
        raise InvalidItemError(f"{title}: a value is infinite or not a number")
    return item


def has_known_kind(raw: msgspec.Raw) -> bool:
    """Returns whether data that matches no schema is an item of a known kind, or no item at all."""
    decoded = msgspec.msgpack.decode(raw)
    return not isinstance(decoded, dict) or decoded.get("type") in TAGS


def is_finite(item: StateItem) -> bool:
    """Returns whether all numbers of an item are finite; the schema's ranges do not exclude NaN."""
    for name in item.__struct_fields__:
        value = getattr(item, name)
        if isinstance(value, float) and not math.isfinite(value):
            return False
    if isinstance(item, SequentialTestSums):
        finite = all(math.isfinite(ratio.value) for ratio in item.ratios.values())
        return finite and len(item.ratios) <= MAX_RATIOS
    return True


def by_priority(items: Iterable[StateItem]) -> list[StateItem]:
    """Returns the items by descending priority, so that an interrupted transfer has sent the first ones."""

    def sort_key(item: StateItem) -> tuple[float, float]:
        rank: float = RANKS[type(item)]
        if isinstance(item, EndpointHealth) and item.ejected:
            rank = EJECTED_RANK
        return rank, item.age

    return sorted(items, key=sort_key)


def split_into_parts(items: Iterable[StateItem], part_bytes: int) -> Iterator[list[StateItem]]:
    """Yields the items in order, in parts of at least ``part_bytes`` bytes each except the last."""
    part: list[StateItem] = []
    size = 0
    for item in items:
        part.append(item)
        size += len(ENCODER.encode(item))
        if size >= part_bytes:
            yield part
            part = []
            size = 0
    if part:
        yield part


def newest(items: Iterable[StateItem]) -> list[StateItem]:
    """Returns the youngest item of each identity; each item of a single event has its own identity."""
    youngest: dict[object, StateItem] = {}
    for item in items:
        key = identity(item)
        if key not in youngest or item.age < youngest[key].age:
            youngest[key] = item
    return list(youngest.values())


def identity(item: StateItem) -> tuple[str | int | float | None, ...] | int:
    """Returns an item's subject and origin: of two items with equal identities, one replaces the other.

    The identity is a plain tuple of the stored tag and values, because `gatebank learn diff` prints it. For
    an item of a single event, the identity is the object's id, so that no such item replaces another.
    """
    subject: tuple[str | int | float | None, ...]
    match item:
        case SentAttempt() | AdmittedRequest():
            return id(item)
        case ReleaseReport():
            subject = (item.origin,)
        case SlowStartRate() | EndpointHealth():
            subject = (item.origin, item.endpoint, item.build, item.started)
        case SequentialTestSums():
            subject = (item.instance, item.incarnation, item.build, item.stage)
        case BaselineFailures():
            subject = (item.origin, item.ratio)
        case UsualLatency():
            subject = (item.origin, item.request_class, item.machine_kind)
    return item.__struct_config__.tag, *subject
