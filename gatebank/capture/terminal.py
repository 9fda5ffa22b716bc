"""Values from captures made safe for a terminal."""

from __future__ import annotations

import unicodedata

UNSAFE_CATEGORIES = "CZM"  # control and format characters, separators, marks


def printable(value: object, max_length: int = 0) -> str:
    r"""The value as text that moves no cursor, breaks no line and does not turn the writing direction.

    Args:
        value: Anything; None stands as "-", an empty text as two quotation marks.
        max_length: Characters of the result; 0 for no limit.

    >>> printable("a\x1b[31mb\nc\u202ed"), printable(None), printable("x" * 9, 4), printable("")
    ('a\\x1b[31mb\\nc\\u202ed', '-', 'xxx…', '""')
    """
    if value is None:
        return "-"
    text = str(value)
    if not text.isascii() or not text.isprintable():
        text = "".join(map(_printable_character, text))
    if not text:
        return '""'
    return text[: max_length - 1] + "…" if max_length and len(text) > max_length else text


def _printable_character(character: str) -> str:
    if character == " " or unicodedata.category(character)[0] not in UNSAFE_CATEGORIES:
        return character
    return character.encode("unicode_escape").decode()
