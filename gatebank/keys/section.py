"""`keys(...)` in the operators' file: where the keys for connections between instances are."""

from __future__ import annotations

from typing import Annotated, ClassVar

import msgspec
from msgspec import field

from gatebank.operator_config.sections import Section


class KeysSection(Section, kw_only=True, frozen=True):
    """Relative paths begin at the operators' file's own folder.

    Attributes:
        folder: of authority.pem, instance.pem, instance.key and maybe revoked.txt, as `gatebank keys` makes.
        watch_interval: seconds between two looks for changed files; SIGHUP looks at once.
    """

    section: ClassVar[str] = "keys"
    once: ClassVar[bool] = True

    folder: Annotated[str, msgspec.Meta(min_length=1)]
    watch_interval: Annotated[float, msgspec.Meta(ge=0.05, le=3600)] = field(default=5.0, name="watch")
