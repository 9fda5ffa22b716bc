"""What an instance knows, as data: the items of a state transfer and of a snapshot, and their stored form.

Every item says which instance observed it, how old it is and from how many outcomes it was made. Ages are
seconds before the moment of sending, never a clock's time, because a source's clock may be hours off. An
item that is passed on keeps its origin and grows older, so two instances that have just started and ask each
other end with no more than they began with.

The form has a version. A reader takes its own version, the one before and the one after: fields are added
with defaults, unknown fields are ignored by msgspec, and items of an unknown kind are skipped. Attributes
have the names of docs/glossary.md; the stored names (`msgspec.field(name=...)`) never change.
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

# Items in a part: the endpoints of a fleet of ten thousand, twice, as none is known to be larger.
MAX_ITEMS = 20_000
# Ratios in one item of sums: a handful per request class, so no real item comes near it.
MAX_RATIOS = 4096

Name = Annotated[str, Meta(max_length=256)]
Age = Annotated[float, Meta(ge=0, le=1e6)]  # seconds
Fraction = Annotated[float, Meta(ge=0, le=1)]
OutcomeCount = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Seconds = Annotated[float, Meta(ge=0, le=1e6)]
Number = Annotated[int, Meta(ge=0, le=2**53)]  # exact as a double, for readers in other languages
LogLikelihood = Annotated[float, Meta(ge=-1e6, le=1e6)]


class InvalidItemError(GatebankError):
    """A part whose figures are out of range, or that holds no items at all.

    Attributes:
        reason: what is wrong, with the place in the data.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Item(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What all items have.

    Attributes:
        origin: name of the instance that observed it.
        incarnation: which start of that instance.
        age: seconds since the observation.
        outcomes: number of outcomes it was made from.
    """

    origin: Name = field(name="by")
    incarnation: Number = field(default=0, name="life")
    age: Age
    outcomes: OutcomeCount = field(default=0, name="seen")

    def older(self, seconds: float) -> Self:
        """Returns the item as it is after so many seconds; negative ones count as none."""
        return msgspec.structs.replace(self, age=self.age + max(0.0, seconds))


class ReleaseReport(Item, tag="news", frozen=True, kw_only=True):
    """The newest status of the release service that the origin received.

    Attributes:
        phase: number of an `events.Phase`.
        cap: largest fraction of requests for the canary; None where the status gave none.
    """

    build: Number
    stage: Annotated[int, Meta(ge=0, le=1000)]
    phase: Annotated[int, Meta(ge=0, le=3)]
    cap: Fraction | None = None


class SlowStartRate(Item, tag="cold", frozen=True, kw_only=True):
    """What the origin sends to an endpoint that has just started.

    Attributes:
        started: Unix time of the endpoint's start.
        rate: attempts a second.
    """

    endpoint: Name = field(name="node")
    build: Number
    started: float
    rate: Annotated[float, Meta(ge=0, le=1e6)]


class EndpointHealth(Item, tag="node", frozen=True, kw_only=True):
    """How one process of an endpoint does; the process is given by name, build and start.

    Attributes:
        started: Unix time of the endpoint's start, if it is known.
        latency_ratio: its latencies over the usual ones.
        failure_rate: fraction of its attempts that failed.
        ejected: whether the origin has ejected it.
        ejection_time: seconds of the present ejection.
    """

    endpoint: Name = field(name="node")
    build: Number
    started: float | None = None
    latency_ratio: Annotated[float, Meta(ge=0, le=1e4)] = field(default=1.0, name="slow")
    failure_rate: Fraction = field(default=0.0, name="faults")
    ejected: bool = field(default=False, name="aside")
    ejection_time: Seconds = field(default=0.0, name="hold")


class RatioSum(NamedTuple):
    """The sum of one ratio of a sequential test; stored as an array of two.

    Attributes:
        value: log-likelihood ratio summed over outcomes.
        outcomes: number of outcomes in it.
    """

    value: LogLikelihood
    outcomes: OutcomeCount


class SequentialTestSums(Item, tag="sums", frozen=True, kw_only=True):
    """An instance's own sums of the sequential test of a build's stage, by number of ratio.

    They are whole sums and not increments: merging the same sums twice changes nothing.

    Attributes:
        instance: number of the instance whose sums they are; `incarnation` is of that instance too.
    """

    build: Number
    stage: Annotated[int, Meta(ge=0, le=1001)]
    instance: Annotated[int, Meta(ge=0, le=65535)] = field(name="marshal")
    ratios: dict[int, RatioSum]


class BaselineFailures(Item, tag="past", frozen=True, kw_only=True):
    """How often the baseline build fails, by name of ratio; the counts fade with time.

    Attributes:
        weighted_failures: faded number of bad outcomes.
        weighted_total: faded number of all outcomes.
        recent_rate: fraction of bad ones among the last ten.
    """

    ratio: Name
    weighted_failures: Annotated[float, Meta(ge=0, le=1e6)] = field(name="bad")
    weighted_total: Annotated[float, Meta(ge=0, le=1e6)] = field(name="all")
    recent_rate: Fraction = field(default=0.0, name="lately")


class UsualLatency(Item, tag="times", frozen=True, kw_only=True):
    """The usual latency of a request class's successful attempts, in seconds.

    Attributes:
        machine_kind: empty for all endpoints; else the baseline build's latency on machines of this kind.
        latency: seconds.
    """

    request_class: Name = field(name="workload")
    machine_kind: Name = field(default="", name="kind")
    latency: Seconds = field(name="pace")


class SentAttempt(Item, tag="sent", frozen=True, kw_only=True):
    """One attempt of the origin at a build in the last exposure window: one item each, so `age` is exact.

    Of use only to a later start of the instance of that name.
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
# The kinds, the most valuable first: what limits traffic, then what decides a canary, then what informs.
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
# Ejected endpoints come right behind slow starts, and before the sums and healthy endpoints.
EJECTED_RANK = RANKS[SlowStartRate] + 0.5


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """Items of any kinds that are sent or stored together; complete by itself."""

    items: Annotated[list[msgspec.Raw], Meta(max_length=MAX_ITEMS)]


ENCODER = msgspec.msgpack.Encoder()
PART_DECODER = msgspec.msgpack.Decoder(Part)
ITEM_DECODER: msgspec.msgpack.Decoder[StateItem] = msgspec.msgpack.Decoder(StateItem)
TAGS = frozenset(kind.__struct_config__.tag for kind in KINDS_BY_PRIORITY)
# How an invalid item is called in messages, where that is not its capitalized tag.
TITLES: dict[type[Item], str] = {EndpointHealth: "Health"}


def encode_part(items: Iterable[StateItem]) -> bytes:
    """Returns a part in msgpack."""
    return ENCODER.encode(Part(items=[msgspec.Raw(ENCODER.encode(item)) for item in items]))


def decode_part(data: bytes | memoryview) -> list[StateItem]:
    """Returns the items of a part; items of a kind that this version does not know are skipped.

    Raises:
        InvalidItemError: an item is out of range. All items of its part are refused with it, because a
            source that sends one impossible figure is not to be trusted with the others.

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
    """Returns an item, or None if its kind is unknown.

    Raises:
        InvalidItemError: a figure is infinite or no number.
        msgspec.DecodeError: it does not have the form of its kind.
    """
    try:
        item = ITEM_DECODER.decode(raw)
    except msgspec.ValidationError:
        if has_known_kind(raw):
            raise
        return None
    if not is_finite(item):
        title = TITLES.get(type(item)) or str(item.__struct_config__.tag).capitalize()
        raise InvalidItemError(f"{title}: a figure is no number")
    return item


def has_known_kind(raw: msgspec.Raw) -> bool:
    """Returns whether an item that does not fit is of a known kind, or no item at all."""
    decoded = msgspec.msgpack.decode(raw)
    return not isinstance(decoded, dict) or decoded.get("type") in TAGS


def is_finite(item: StateItem) -> bool:
    """Returns whether all figures are finite; the ranges of the schema let "not a number" pass."""
    for name in item.__struct_fields__:
        value = getattr(item, name)
        if isinstance(value, float) and not math.isfinite(value):
            return False
    if isinstance(item, SequentialTestSums):
        finite = all(math.isfinite(ratio.value) for ratio in item.ratios.values())
        return finite and len(item.ratios) <= MAX_RATIOS
    return True


def by_priority(items: Iterable[StateItem]) -> list[StateItem]:
    """Returns the items, the most valuable first, so that a transfer may be cut off anywhere."""

    def urgency(item: StateItem) -> tuple[float, float]:
        rank: float = RANKS[type(item)]
        if isinstance(item, EndpointHealth) and item.ejected:
            rank = EJECTED_RANK
        return rank, item.age

    return sorted(items, key=urgency)


def split_into_parts(items: Iterable[StateItem], part_bytes: int) -> Iterator[list[StateItem]]:
    """Yields the items in order, in parts of about so many bytes."""
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
    """Returns the youngest item of each subject and origin; items of single events are all returned."""
    found: dict[object, StateItem] = {}
    for item in items:
        key = identity(item)
        if key not in found or item.age < found[key].age:
            found[key] = item
    return list(found.values())


def identity(item: StateItem) -> tuple[str | int | float | None, ...] | int:
    """Returns what an item is of and who observed it: equal for two items of which one replaces the other.

    It is a plain tuple of stored tag and values since `gatebank learn diff` prints it. For an item of a
    single event it is the object's number, so that none replaces another.
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
