r"""Base class of the sections of the operators' file, and the checks of a section call. No I/O.

A package declares its section beside the code that the section configures:

>>> class Lamp(Section, kw_only=True, frozen=True):
...     section: ClassVar[str] = "lamp"
...     watts: int
...     colour: str = "red"
...     def check(self):
...         if self.watts < 1:
...             yield "watts", "must be at least 1"
>>> Lamp.build(SectionCall("lamp", {"watts": 5})).watts
5
>>> call = SectionCall("lamp", {"watts": "0", "color": "blue"}, line=6, field_lines={"watts": 7})
>>> for error in Lamp.find_errors(call):
...     print(error)
7: lamp: watts = "0": Expected `int`, got `str`; allowed is a whole number
6: lamp: color: no such field; did you mean 'colour'? known are watts, colour
>>> print(*Lamp.find_errors(SectionCall("lamp", {"watts": 0}, line=6)))
6: lamp: watts = 0: must be at least 1
"""

from __future__ import annotations

import difflib
from collections.abc import Iterator
from typing import Any, ClassVar, Self

import msgspec
from msgspec import field, inspect

from gatebank.errors import GatebankError

# Maximum length of a value in an error message, which has only one line.
MAX_VALUE_CHARACTERS = 60


class SectionError(GatebankError):
    """An error in the operators' file.

    Attributes:
        line: Line in the file, counted from 1; 0 if the error has no single line.
        reason: Description of the error, with section and field.
    """

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(line, reason)
        self.line = line
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.line}: {self.reason}" if self.line else self.reason


class SectionCall(msgspec.Struct):
    """One section call in the script, as printed by `child.py`.

    Attributes:
        section: Name of the section.
        fields: Field values by field name; a value consists of numbers, strings, lists and dicts.
        line: Line of the call; 0 if the line is unknown.
        field_lines: Lines of the fields by field name; fields whose line is unknown are missing.
    """

    section: str
    fields: dict[str, Any]
    line: int = 0
    field_lines: dict[str, int] = field(default_factory=dict, name="lines")

    def line_of(self, name: str) -> int:
        """Return the line of a field, or the line of the call if the field's line is unknown."""
        return self.field_lines.get(name, self.line)


class Section(msgspec.Struct, kw_only=True, frozen=True):
    """Base class of sections: each subclass is the schema of one section.

    The type of a field defines the allowed values (`msgspec.Meta`), the field's encoded name is its name in
    the file, and `check` finds fields that contradict each other. Subclasses are declared with
    `kw_only=True, frozen=True`.

    Attributes:
        section: Name of the section in the file.
        once: Whether a file may call the section only once.
        registered: All section types that have been imported, by name.
    """

    section: ClassVar[str] = ""
    once: ClassVar[bool] = False
    registered: ClassVar[dict[str, type[Section]]] = {}

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        Section.registered[cls.section] = cls

    def check(self) -> Iterator[tuple[str, str]]:
        """Yield the names of fields that contradict other fields, together with the reason."""
        return iter(())

    @classmethod
    def fields(cls) -> dict[str, msgspec.structs.FieldInfo]:
        """Return the fields of the schema by their names in the file."""
        return {info.encode_name: info for info in msgspec.structs.fields(cls)}

    @classmethod
    def find_errors(cls, call: SectionCall) -> list[SectionError]:
        """Return all errors of a call: errors of single fields, or if there are none, those of `check`."""
        errors = [
            error for name, value in call.fields.items() if (error := cls.field_error(call, name, value))
        ]
        for name, info in cls.fields().items():
            if info.required and name not in call.fields:
                errors.append(SectionError(call.line, f"{cls.section}: {name} is missing"))
        if errors:
            return errors
        for name, reason in msgspec.convert(call.fields, cls).check():
            value = f" = {format_value(call.fields[name])}" if name in call.fields else ""
            errors.append(SectionError(call.line_of(name), f"{cls.section}: {name}{value}: {reason}"))
        return errors

    @classmethod
    def field_error(cls, call: SectionCall, name: str, value: object) -> SectionError | None:
        """Return the error of a single field, or None if the field is valid."""
        fields = cls.fields()
        line = call.line_of(name)
        if name not in fields:
            similar = difflib.get_close_matches(name, fields, 1)
            guess = f"; did you mean {similar[0]!r}?" if similar else ";"
            names = ", ".join(fields)
            return SectionError(line, f"{cls.section}: {name}: no such field{guess} known are {names}")
        try:
            msgspec.convert(value, fields[name].type)
        except msgspec.ValidationError as error:
            reason = f"{readable_error(error)}; allowed is {describe_allowed(fields[name].type)}"
            return SectionError(line, f"{cls.section}: {name} = {format_value(value)}: {reason}")
        return None

    @classmethod
    def build(cls, call: SectionCall) -> Self:
        """Return the section that a call describes.

        Raises:
            SectionError: The call has an error; the first error of `find_errors` is raised.
        """
        if errors := cls.find_errors(call):
            raise errors[0]
        return msgspec.convert(call.fields, cls)


def format_value(value: object) -> str:
    r"""Format a value as in a script, on one line, cut to ``MAX_VALUE_CHARACTERS`` characters.

    >>> format_value("a\nb"), format_value([True, None]), len(format_value("x" * 1000))
    ('"a\\nb"', '[True, None]', 60)
    """
    match value:
        case str():
            text = msgspec.json.encode(value).decode()
        case list():
            text = "[" + ", ".join(map(format_value, value[:MAX_VALUE_CHARACTERS])) + "]"
        case _:
            text = repr(value)
    return text if len(text) <= MAX_VALUE_CHARACTERS else text[: MAX_VALUE_CHARACTERS - 1] + "…"


def readable_error(error: msgspec.ValidationError) -> str:
    """Return the text of a validation error without the `$` that msgspec uses for the root of the value.

    >>> readable_error(msgspec.ValidationError("Expected `int`, got `str` - at `$[0]`"))
    'Expected `int`, got `str` - at [0]'
    """
    return str(error).replace("`$", "").replace("]`", "]")


def describe_allowed(hint: object) -> str:
    """Describe the values that a field of a type accepts, for use in error messages.

    >>> from typing import Annotated, Literal
    >>> describe_allowed(Annotated[int, msgspec.Meta(ge=1, le=9)])
    'a whole number from 1 to 9'
    >>> describe_allowed(list[Literal["a", "b"]]), describe_allowed(bool)
    ('a list of "a" or "b"', 'True or False')
    """
    return describe_type(inspect.type_info(hint))


def describe_type(kind: inspect.Type) -> str:
    """Describe the values of a type in plain words."""
    match kind:
        case inspect.LiteralType():
            text = " or ".join(map(format_value, kind.values))
        case inspect.ListType():
            text = f"a list of {describe_type(kind.item_type)}"
        case inspect.UnionType():
            text = " or ".join(map(describe_type, kind.types))
        case inspect.BoolType():
            text = "True or False"
        case inspect.NoneType():
            text = "None"
        case inspect.StrType():
            text = "a string that is not empty" if kind.min_length else "a string"
        case inspect.IntType():
            text = "a whole number" + describe_range(kind)
        case inspect.FloatType():
            text = "a number" + describe_range(kind)
        case _:
            text = type(kind).__name__.removesuffix("Type").lower()
    return text


def describe_range(kind: inspect.IntType | inspect.FloatType) -> str:
    """Describe the limits of a number, with a leading space; empty if the number has no limits."""
    limits = (("from", kind.ge), ("above", kind.gt), ("to", kind.le), ("below", kind.lt))
    return "".join(f" {preposition} {limit:g}" for preposition, limit in limits if limit is not None)
