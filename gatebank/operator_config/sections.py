"""What a section of the operators' file is, and how a call of one is checked. No I/O.

A direction declares its section beside its code:

>>> class Lamp(Section, kw_only=True, frozen=True):
...     section: ClassVar[str] = "lamp"
...     watts: int
...     colour: str = "red"
...     def check(self):
...         if self.watts < 1:
...             yield "watts", "must be at least 1"
>>> Lamp.build({"watts": 5}, {}).watts
5
>>> for trouble in Lamp.faults({"watts": "0", "color": "blue"}, {"watts": 7}, 6):
...     print(trouble)
7: lamp: watts = "0": Expected `int`, got `str`; allowed is a whole number
6: lamp: color: no such field; did you mean 'colour'? known are watts, colour
>>> print(*Lamp.faults({"watts": 0}, {}, 6))
6: lamp: watts = 0: must be at least 1
"""

from __future__ import annotations

import difflib
from collections.abc import Iterator, Mapping
from typing import Any, ClassVar, get_type_hints

import msgspec

MOST_SHOWN = 60  # characters of a value in a message


class Fault(Exception):
    """Something in the operators' file; ``line`` is 0 where it is of no one line."""

    def __init__(self, line: int, why: str) -> None:
        super().__init__(line, why)
        self.line, self.why = line, why

    def __str__(self) -> str:
        return f"{self.line}: {self.why}" if self.line else self.why


class Section(msgspec.Struct, kw_only=True, frozen=True):
    """A schema: each field's type tells what is allowed (msgspec.Meta), `check` what they are together.
    Subclasses say `kw_only=True, frozen=True` and name themselves in `section`."""

    section: ClassVar[str] = ""
    once: ClassVar[bool] = False
    known: ClassVar[dict[str, type[Section]]] = {}

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        Section.known[cls.section] = cls

    def check(self) -> Iterator[tuple[str, str]]:
        """Fields that do not go together, and why."""
        return iter(())

    @classmethod
    def fields(cls) -> dict[str, msgspec.structs.FieldInfo]:
        return {each.name: each for each in msgspec.structs.fields(cls)}

    @classmethod
    def faults(cls, told: Mapping[str, Any], lines: Mapping[str, int], line: int) -> list[Fault]:
        """All that is wrong with a call: with each field, or else with all together."""
        hints, found = get_type_hints(cls, include_extras=True), list[Fault]()
        for name, value in told.items():
            at = lines.get(name, line)
            if name not in cls.fields():
                near = difflib.get_close_matches(name, cls.fields(), 1)
                guess = f"; did you mean {near[0]!r}?" if near else ";"
                known = ", ".join(cls.fields())
                found.append(Fault(at, f"{cls.section}: {name}: no such field{guess} known are {known}"))
                continue
            try:
                msgspec.convert(value, hints[name])
            except msgspec.ValidationError as trouble:
                why = f"{plain(trouble)}; allowed is {allowed(hints[name])}"
                found.append(Fault(at, f"{cls.section}: {name} = {shown(value)}: {why}"))
        for name, each in cls.fields().items():
            if each.required and name not in told:
                found.append(Fault(line, f"{cls.section}: {name} is missing"))
        if not found:
            one = msgspec.convert(dict(told), cls)
            for name, why in one.check():
                value = f" = {shown(told[name])}" if name in told else ""
                found.append(Fault(lines.get(name, line), f"{cls.section}: {name}{value}: {why}"))
        return found

    @classmethod
    def build(cls, told: Mapping[str, Any], lines: Mapping[str, int], line: int = 0) -> Any:
        if found := cls.faults(told, lines, line):
            raise found[0]
        return msgspec.convert(dict(told), cls)


def shown(value: Any) -> str:
    """A value as the script would have it, on one line, cut short.

    >>> shown("a\\nb"), shown([True, None]), len(shown("x" * 1000))
    ('"a\\\\nb"', '[True, None]', 60)
    """
    match value:
        case str():
            said = msgspec.json.encode(value).decode()
        case list():
            said = "[" + ", ".join(map(shown, value[:MOST_SHOWN])) + "]"
        case _:
            said = repr(value)
    return said if len(said) <= MOST_SHOWN else said[: MOST_SHOWN - 1] + "…"


def plain(trouble: msgspec.ValidationError) -> str:
    """
    >>> plain(msgspec.ValidationError("Expected `int`, got `str` - at `$[0]`"))
    'Expected `int`, got `str` - at [0]'
    """
    return str(trouble).replace("`$", "").replace("]`", "]")


def allowed(hint: Any) -> str:
    """What a field may hold, for people.

    >>> from typing import Annotated, Literal
    >>> allowed(Annotated[int, msgspec.Meta(ge=1, le=9)]), allowed(list[Literal["a", "b"]]), allowed(bool)
    ('a whole number from 1 to 9', 'a list of "a" or "b"', 'True or False')
    """
    return worded(msgspec.inspect.type_info(hint))


def worded(kind: Any) -> str:
    kinds = msgspec.inspect
    match kind:
        case kinds.LiteralType():
            return " or ".join(map(shown, kind.values))
        case kinds.ListType():
            return f"a list of {worded(kind.item_type)}"
        case kinds.UnionType():
            return " or ".join(map(worded, kind.types))
        case kinds.BoolType():
            return "True or False"
        case kinds.NoneType():
            return "None"
        case kinds.StrType():
            return "a string" + (" that is not empty" if kind.min_length else "")
        case kinds.IntType() | kinds.FloatType():
            said = "a whole number" if isinstance(kind, kinds.IntType) else "a number"
            ends = (("from", kind.ge), ("above", kind.gt), ("to", kind.le), ("below", kind.lt))
            return " ".join([said, *(f"{word} {end:g}" for word, end in ends if end is not None)])
    return type(kind).__name__.removesuffix("Type").lower()
