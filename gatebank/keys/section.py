"""`keys(...)`: where the keys for links between instances lie."""

from __future__ import annotations

from typing import Annotated, ClassVar

import msgspec

from gatebank.operator_config.sections import Section


class KeysFolder(Section, kw_only=True, frozen=True):
    """Relative paths begin at the operators' file's own folder."""

    section: ClassVar[str] = "keys"
    once: ClassVar[bool] = True

    # authority.pem, instance.pem, instance.key and perhaps revoked.txt; `gatebank keys` makes them.
    folder: Annotated[str, msgspec.Meta(min_length=1)]
    # s between looks whether the files have changed; SIGHUP looks at once.
    watch: Annotated[float, msgspec.Meta(ge=0.05, le=3600)] = 5.0
