"""`recording(...)` in the operators' file: what an instance writes of its exchanges, where, and for how long.

Field names and their values are those of the operators' file: "customer" is a client's side or a tenant,
"node" an endpoint, "ticket" an idempotency key.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, ClassVar, Literal

import msgspec

from gatebank.operator_config.sections import Section

KIB = 1 << 10  # bytes
MIB = 1 << 20
Side = Literal["customer", "node"]
Hidden = Literal["ticket", "customer"]


class Recording(Section, kw_only=True, frozen=True):
    """Without this section nothing is recorded. Relative paths begin at the operators' file's folder.

    Attributes:
        folder: Where the files are.
        sides: Which connections are recorded: those of clients, those to endpoints, or both.
        file_bytes: The next file begins once one has so many bytes.
        file_seconds: The next file begins once one is so old.
        keep_files: The oldest files are removed beyond this number.
        keep_bytes: The oldest files are removed while all together have more bytes.
        bodies: Bodies and values are recorded whole, cut to `body_bytes`, or as a hash in their place.
        body_bytes: What is left of bodies and values that are cut.
        hide: What is replaced by hashes under the key in `key_file`, the same for the same.
        key_file: A file of at least 16 bytes that only the instance reads.
        queue_bytes: What may wait to be written; 4 MiB is a second of 1,000 exchanges of 4 KB.
    """

    section: ClassVar[str] = "recording"
    once: ClassVar[bool] = True

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    sides: Annotated[list[Side], msgspec.Meta(min_length=1, max_length=2)] = msgspec.field(
        default_factory=lambda: ["customer"]
    )
    file_bytes: Annotated[int, msgspec.Meta(ge=64 * KIB, le=1 << 40)] = 64 * MIB
    file_seconds: Annotated[float, msgspec.Meta(ge=1, le=86400)] = 600.0
    keep_files: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 48
    keep_bytes: Annotated[int, msgspec.Meta(ge=64 * KIB, le=1 << 50)] = 2048 * MIB
    bodies: Literal["whole", "cut", "hashed"] = "whole"
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=64 * KIB)] = 64
    hide: Annotated[list[Hidden], msgspec.Meta(max_length=2)] = msgspec.field(default_factory=list)
    key_file: str | None = None
    queue_bytes: Annotated[int, msgspec.Meta(ge=64 * KIB, le=1 << 30)] = 4 * MIB

    def check(self) -> Iterator[tuple[str, str]]:
        """Fields that do not go together, and why."""
        if self.hide and not self.key_file:
            yield "hide", "needs key_file, a file of at least 16 bytes that only the marshal reads"
        if self.keep_bytes < self.file_bytes:
            yield "keep_bytes", f"must hold at least one file of file_bytes = {self.file_bytes}"
        for name in ("sides", "hide"):
            values = getattr(self, name)
            if len(set(values)) < len(values):
                yield name, "names one twice"
