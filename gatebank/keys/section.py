"""The section `keys(...)` of the operators' file: location of the keys for connections between instances."""

from __future__ import annotations

from typing import Annotated, ClassVar

import msgspec
from msgspec import field

from gatebank.operator_config.sections import Section


class KeysSection(Section, kw_only=True, frozen=True):
    """Settings of the key folder; relative paths are resolved against the folder of the operators' file.

    Attributes:
        folder: Folder with authority.pem, instance.pem, instance.key and optionally revoked.txt, as created
            by `gatebank keys`.
        watch_interval: Seconds between checks for changed files; SIGHUP causes an immediate check.
    """

    section: ClassVar[str] = "keys"
    once: ClassVar[bool] = True

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    watch_interval: Annotated[float, msgspec.Meta(ge=0.05, le=3600)] = field(default=5.0, name="watch")
