"""Conversion of values from captures to text that is safe to print on a terminal."""

from __future__ import annotations

import unicodedata

UNSAFE_CATEGORIES = "CZM"  # Unicode categories: control and format characters, separators, marks.


def printable(value: object, max_length: int = 0) -> str:
    r"""Return the value as text that cannot move the cursor, break the line or change the writing direction.

    Args:
        value: Any value; None becomes "-", and an empty text becomes two quotation marks.
        max_length: Largest length of the result in characters; 0 for no limit.

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
