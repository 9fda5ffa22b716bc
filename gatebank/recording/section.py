"""`recording(...)`: what a marshal writes of its exchanges, where, and for how long."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, ClassVar, Literal

import msgspec

from gatebank.operator_config.sections import Section

KB, MB = 1 << 10, 1 << 20
Side, Hidden = Literal["customer", "node"], Literal["ticket", "customer"]


class Recording(Section, kw_only=True, frozen=True):
    """Off without it. Sizes in bytes, times in seconds; relative paths begin at the file's own folder."""

    section: ClassVar[str] = "recording"
    once: ClassVar[bool] = True

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    # At the customers' side, the nodes' side or both.
    sides: Annotated[list[Side], msgspec.Meta(min_length=1, max_length=2)] = msgspec.field(
        default_factory=lambda: ["customer"]
    )
    # A file is turned over at either; the oldest go beyond either of the next two.
    file_bytes: Annotated[int, msgspec.Meta(ge=64 * KB, le=1 << 40)] = 64 * MB
    file_seconds: Annotated[float, msgspec.Meta(ge=1, le=86400)] = 600.0
    keep_files: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 48
    keep_bytes: Annotated[int, msgspec.Meta(ge=64 * KB, le=1 << 50)] = 2048 * MB
    # Bodies and values: whole, cut to `body_bytes`, or a hash in their place.
    bodies: Literal["whole", "cut", "hashed"] = "whole"
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=64 * KB)] = 64
    # Replaced by hashes under the key in `key_file`, the same for the same.
    hide: Annotated[list[Hidden], msgspec.Meta(max_length=2)] = msgspec.field(default_factory=list)
    key_file: str | None = None
    # What may wait to be written; 4 MB is a second of 1,000 exchanges of 4 KB.
    queue_bytes: Annotated[int, msgspec.Meta(ge=64 * KB, le=1 << 30)] = 4 * MB

    def check(self) -> Iterator[tuple[str, str]]:
        if self.hide and not self.key_file:
            yield "hide", "needs key_file, a file of at least 16 bytes that only the marshal reads"
        if self.keep_bytes < self.file_bytes:
            yield "keep_bytes", f"must hold at least one file of file_bytes = {self.file_bytes}"
        for name in ("sides", "hide"):
            told = getattr(self, name)
            if len(set(told)) < len(told):
                yield name, "names one twice"
