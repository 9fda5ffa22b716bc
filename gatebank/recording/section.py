"""The `recording(...)` section of the operators' file: which exchanges are recorded, where and how long.

Fields and values have their names in the operators' file: in `sides`, "customer" means connections of clients
and "node" connections to endpoints; in `hide`, "ticket" means idempotency keys and "customer" tenants.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, ClassVar, Literal

import msgspec

from gatebank.operator_config.sections import Section

KIB = 1 << 10  # In bytes.
MIB = 1 << 20
Side = Literal["customer", "node"]
Hidden = Literal["ticket", "customer"]


class Recording(Section, kw_only=True, frozen=True):
    """Recording options; without this section nothing is recorded.

    Relative paths are resolved against the folder of the operators' file.

    Attributes:
        folder: The folder of the recorded files.
        sides: The recorded connections: connections of clients, connections to endpoints, or both.
        file_bytes: File size in bytes at which a new file is started.
        file_seconds: File age in seconds at which a new file is started.
        keep_files: Maximum number of files; the oldest files beyond it are removed.
        keep_bytes: Maximum total size in bytes; the oldest files beyond it are removed.
        bodies: Whether bodies and values are recorded whole, cut to `body_bytes`, or replaced by a hash.
        body_bytes: Number of bytes kept of a body or value that is cut.
        hide: Fields replaced by hashes with the key in `key_file`; equal values have equal hashes.
        key_file: A file of at least 16 bytes that only the instance can read.
        queue_bytes: Maximum size of the write queue; 4 MiB hold one second of 1,000 exchanges of 4 KB each.
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
        """Yield each field that is inconsistent with another field, with the reason."""
        if self.hide and not self.key_file:
            yield "hide", "needs key_file, a file of at least 16 bytes that only the marshal reads"
        if self.keep_bytes < self.file_bytes:
            yield "keep_bytes", f"must hold at least one file of file_bytes = {self.file_bytes}"
        for name in ("sides", "hide"):
            values = getattr(self, name)
            if len(set(values)) < len(values):
                yield name, "names a value twice"
