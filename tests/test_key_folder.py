"""Key folders that change while an instance uses them."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest

from gatebank.keys import folder
from gatebank.keys.authority import AuthorityError, KeyPair, issue_instance_keys, make_authority
from gatebank.keys.folder import ReloadableKeys
from tests.support.transfer_testbed import make_keys

Damage = Callable[[Path, KeyPair], object]


def truncate_certificate(key_folder: Path, authority: KeyPair) -> None:
    """Truncate the certificate file to half of its size."""
    whole = (key_folder / folder.CERTIFICATE_FILE).read_bytes()
    (key_folder / folder.CERTIFICATE_FILE).write_bytes(whole[: len(whole) // 2])


def replace_certificate(key_folder: Path, authority: KeyPair) -> None:
    """Replace the certificate by the certificate of another key."""
    (key_folder / folder.CERTIFICATE_FILE).write_bytes(issue_instance_keys(authority, "m1").certificate)


def expire_certificate(key_folder: Path, authority: KeyPair) -> None:
    """Replace the certificate by an expired certificate."""
    begin = datetime.now(UTC) - timedelta(days=9)
    (key_folder / folder.CERTIFICATE_FILE).write_bytes(
        issue_instance_keys(authority, "m1", begin, days=1).certificate
    )


@pytest.mark.parametrize(
    ("damage", "reason"),
    [
        (truncate_certificate, ""),
        (replace_certificate, ""),
        (expire_certificate, "expired"),
        (lambda key_folder, _: (key_folder / folder.AUTHORITY_FILE).write_bytes(b"no certificate"), ""),
        (lambda key_folder, _: (key_folder / folder.KEY_FILE).write_bytes(b""), ""),
        (lambda key_folder, _: (key_folder / folder.KEY_FILE).unlink(), "missing"),
        (lambda key_folder, _: (key_folder / folder.KEY_FILE).chmod(0o644), "others may read"),
    ],
)
def test_unusable_key_folder_leaves_previous_keys_in_use(damage: Damage, reason: str, tmp_path: Path) -> None:
    """If the folder becomes unusable, the previous keys stay in use, and the error names the folder.

    The cases are truncated, mismatched, expired, missing and empty files, and a key that others may read.
    """
    authority = make_authority("one")
    key_folder = tmp_path / "k"
    make_keys(key_folder, authority, "m1")
    keys = ReloadableKeys(key_folder)
    previous_keys = keys.keys
    damage(key_folder, authority)
    assert not keys.reload()
    assert keys.keys is previous_keys
    assert keys.error
    assert reason in keys.error
    assert str(key_folder) in keys.error


def test_complete_new_keys_replace_previous_keys(tmp_path: Path) -> None:
    """Complete new keys and revoked serial numbers take effect on reload, also after a failed reload."""
    first_authority = make_authority("one")
    second_authority = make_authority("two")
    key_folder = tmp_path / "k"
    make_keys(key_folder, first_authority, "m1")
    keys = ReloadableKeys(key_folder)
    first_keys = keys.keys
    truncate_certificate(key_folder, first_authority)
    assert not keys.reload()

    both = first_authority.certificate + second_authority.certificate
    make_keys(key_folder, second_authority, "m1", trusted=both)
    assert keys.reload()
    assert keys.keys is not first_keys
    assert len(keys.keys.authorities) == 2
    assert not keys.error
    assert not keys.reload()
    assert not keys.keys.expiry_warnings(datetime.now(UTC))
    assert keys.keys.expiry_warnings(datetime.now(UTC) + timedelta(days=80))

    (key_folder / folder.REVOKED_FILE).write_text("# one a line\n00AB\n")
    assert keys.reload()
    assert keys.rejection_reason("x", "ab", frozenset("x")) == "revoked"
    assert keys.rejection_reason("y", "cd", frozenset("x")) == "not_allowed"
    assert not keys.rejection_reason("x", "cd", frozenset("x"))


def test_authority_with_mismatched_key_and_certificate_cannot_sign() -> None:
    """An authority whose key and certificate do not belong together is refused."""
    mixed = KeyPair(make_authority("one").key, make_authority("two").certificate)
    with pytest.raises(AuthorityError, match="belong together"):
        issue_instance_keys(mixed, "m1")
