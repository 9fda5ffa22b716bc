"""What a marshal knows, as data. Every item says how old it is, who saw it, and from how many outcomes.

Ages are seconds before the moment of telling, never a clock's time: a donor's clock may be hours off. An item
that is passed on keeps its origin and grows older; what a learner only heard is never told as its own. So two
fresh marshals that ask each other end with what they began with.

The form has a version; a reader takes its own, the one before and the one after: fields are added with
defaults, unknown ones are passed over (msgspec), and a part of an unknown kind is skipped.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from typing import Annotated

import msgspec
from msgspec import Meta

VERSION = 1
FORMS = (VERSION - 1, VERSION, VERSION + 1)  # that are read

Name = Annotated[str, Meta(max_length=256)]
Age = Annotated[float, Meta(ge=0, le=1e6)]
Share = Annotated[float, Meta(ge=0, le=1)]
Seen = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Seconds = Annotated[float, Meta(ge=0, le=1e6)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
Sum = Annotated[float, Meta(ge=-1e6, le=1e6)]
MOST_ITEMS = 20_000  # of one kind: a fleet of ten thousand nodes, and room


class Item(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """``by``: the marshal that saw it; ``life``: which start of that marshal; ``age``: s since then."""

    by: Name
    life: Number = 0
    age: Age
    seen: Seen = 0

    def older(self, seconds: float) -> Item:
        return msgspec.structs.replace(self, age=self.age + max(0.0, seconds))


class News(Item, tag="news", frozen=True, kw_only=True):
    """The release desk's newest word, as told to ``by``."""

    build: Number
    stage: Annotated[int, Meta(ge=0, le=1000)]
    phase: Annotated[int, Meta(ge=0, le=3)]
    cap: Share | None = None


class Cold(Item, tag="cold", frozen=True, kw_only=True):
    """What ``by`` sends a node that has just started, in shots a second."""

    node: Name
    build: Number
    started: float
    rate: Annotated[float, Meta(ge=0, le=1e6)]


class Health(Item, tag="node", frozen=True, kw_only=True):
    """Of a process: id, build and start. Its times over the usual ones, its share of faults, aside or not."""

    node: Name
    build: Number
    started: float | None = None
    slow: Annotated[float, Meta(ge=0, le=1e4)] = 1.0
    faults: Share = 0.0
    aside: bool = False
    hold: Seconds = 0.0


class Sums(Item, tag="sums", frozen=True, kw_only=True):
    """A marshal's own sums at a build's stage, by ratio: the same sums joined twice change nothing."""

    build: Number
    stage: Annotated[int, Meta(ge=0, le=1001)]
    marshal: Annotated[int, Meta(ge=0, le=65535)]
    ratios: dict[int, tuple[Sum, Seen]]


class Past(Item, tag="past", frozen=True, kw_only=True):
    """The earlier build's bad outcomes and all, fading, and its share in the last ten; by name of ratio."""

    ratio: Name
    bad: Annotated[float, Meta(ge=0, le=1e6)]
    all: Annotated[float, Meta(ge=0, le=1e6)]
    lately: Share = 0.0


class Times(Item, tag="times", frozen=True, kw_only=True):
    """Usual time of a workload's satisfied shots; with a machine kind, the earlier build's on such."""

    workload: Name
    kind: Name = ""
    pace: Seconds


class Sent(Item, tag="sent", frozen=True, kw_only=True):
    """Shots of ``by`` at a build in the last exposure window: one row for each, so ``age`` is exact. Only
    of use to who has that marshal's name."""

    build: Number
    workload: Name


class Took(Item, tag="took", frozen=True, kw_only=True):
    """Invocations that ``by`` took in the last window, likewise."""

    workload: Name


Known = News | Cold | Health | Sums | Past | Times | Sent | Took
ORDER = (News, Cold, Health, Sums, Past, Sent, Took, Times)  # the most valuable first


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """Items of any kinds, sent or stored as one; whole by itself."""

    items: Annotated[list[msgspec.Raw], Meta(max_length=MOST_ITEMS)]


ENCODER = msgspec.msgpack.Encoder()
ITEM = msgspec.msgpack.Decoder(Known)
TAGS = frozenset(kind.__struct_config__.tag for kind in ORDER)


class Unsound(Exception):
    """Figures out of range, or no knowledge at all; the text says what."""


def pack(items: Iterable[Known]) -> bytes:
    return ENCODER.encode(Part(items=[msgspec.Raw(ENCODER.encode(each)) for each in items]))


def unpack(data: bytes | memoryview) -> list[Known]:
    """The items of a part. An item of a kind that this version does not know is passed over; one that is out
    of range is Unsound, with all that came with it: who tells one lie is believed in nothing.

    >>> [was] = [Times(by="m", age=2.5, seen=7, workload="read", pace=0.02)]
    >>> unpack(pack([was])) == [was]
    True
    >>> unpack(pack([Times(by="m", age=-1.0, workload="read", pace=0.02)]))
    Traceback (most recent call last):
    gatebank.state_transfer.items.Unsound: Expected `float` >= 0.0 - at `$.age`
    """
    found: list[Known] = []
    try:
        for raw in PART.decode(data).items:
            try:
                item = ITEM.decode(raw)
            except msgspec.ValidationError:
                if known_kind(raw):
                    raise
                continue
            if not sound(item):
                raise Unsound(f"{type(item).__name__}: a figure is no number")
            found.append(item)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise Unsound(str(trouble)) from None
    return found


PART = msgspec.msgpack.Decoder(Part)


def known_kind(raw: msgspec.Raw) -> bool:
    told = msgspec.msgpack.decode(raw)
    return not isinstance(told, dict) or told.get("type") in TAGS


def sound(item: Known) -> bool:
    """No figure is infinite or no number: ranges let the latter through."""
    for name in item.__struct_fields__:
        value = getattr(item, name)
        if isinstance(value, float) and not math.isfinite(value):
            return False
    if isinstance(item, Sums):
        return all(math.isfinite(value) for value, _ in item.ratios.values()) and len(item.ratios) <= 4096
    return True


def by_value(items: Iterable[Known]) -> list[Known]:
    """The most valuable first: broken off anywhere, what came is right and worth most."""
    rank = {kind: place for place, kind in enumerate(ORDER)}

    def urgency(item: Known) -> tuple[float, float]:
        first = rank[type(item)]
        if isinstance(item, Health) and item.aside:
            first = rank[Cold] + 0.5  # nodes aside before those that are well
        return first, item.age

    return sorted(items, key=urgency)


def parts(items: Iterable[Known], size: int) -> Iterator[list[Known]]:
    """In parts of about so many bytes."""
    held, many = list[Known](), 0
    for item in items:
        held.append(item)
        many += len(ENCODER.encode(item))
        if many >= size:
            yield held
            held, many = [], 0
    if held:
        yield held


def newest(items: Iterable[Known]) -> list[Known]:
    """One row for each thing and origin: the youngest. Rows that count single events stay all."""
    found: dict[object, Known] = {}
    for item in items:
        key = identity(item)
        if key not in found or item.age < found[key].age:
            found[key] = item
    return list(found.values())


def identity(item: Known) -> object:
    """What an item is of, and who saw it."""
    match item:
        case News():
            return "news", item.by
        case Cold():
            return "cold", item.by, item.node, item.build, item.started
        case Health():
            return "node", item.by, item.node, item.build, item.started
        case Sums():
            return "sums", item.marshal, item.life, item.build, item.stage
        case Past():
            return "past", item.by, item.ratio
        case Times():
            return "times", item.by, item.workload, item.kind
    return id(item)
