"""What is in a folder of keys, the TLS contexts made of it, and its renewal in service.

    authority.pem   certificates of the trusted authorities: two while one follows the other
    instance.pem    this instance's certificate
    instance.key    its key, readable by its owner alone
    revoked.txt     serial numbers, a hexadecimal one a line, of certificates no longer accepted; optional

A folder is read and checked whole before it replaces what was in force, so a half-written file changes
nothing. Open connections keep the keys that they began with.
"""

from __future__ import annotations

import contextlib
import os
import ssl
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime
from hashlib import blake2b
from pathlib import Path

from gatebank.errors import GatebankError
from gatebank.keys.authority import CertificateInfo, read_certificates

AUTHORITY_FILE = "authority.pem"
CERTIFICATE_FILE = "instance.pem"
KEY_FILE = "instance.key"
REVOKED_FILE = "revoked.txt"
FILE_NAMES = (AUTHORITY_FILE, CERTIFICATE_FILE, KEY_FILE, REVOKED_FILE)
MAX_FILE_BYTES = 1 << 20  # hundreds of certificates
# Days before the end of a certificate from which there are warnings: time for operators to make a new one.
WARNING_DAYS = 14.0
SECONDS_PER_DAY = 86400
GROUP_AND_OTHERS_MODE = 0o077  # the permission bits that a private file must not have


class KeyFolderError(GatebankError):
    """A folder of keys can't be used.

    Attributes:
        path: of the file at fault, or the folder.
        reason: what is wrong with it.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(path, reason)
        self.path = path
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


@dataclass(slots=True, frozen=True)
class Keys:
    """A folder that was read whole.

    Attributes:
        name: of the instance, by its certificate.
        server, client: TLS contexts of the two sides of a connection.
        instance: what the instance's certificate says.
        authorities: what those of the trusted authorities say.
        revoked: serial numbers in hexadecimal, upper case without leading zeros.
        digest: of the files' contents.
    """

    name: str
    server: ssl.SSLContext
    client: ssl.SSLContext
    instance: CertificateInfo
    authorities: list[CertificateInfo]
    revoked: frozenset[str] = field(default_factory=frozenset)
    digest: str = ""

    def expiry_warnings(self, now: datetime) -> list[str]:
        """Returns a text for each certificate that ends within ``WARNING_DAYS``, or has ended."""
        warnings = []
        certificates = [("instance", self.instance)]
        certificates += [("authority", authority) for authority in self.authorities]
        for kind, certificate in certificates:
            days = (certificate.valid_until - now).total_seconds() / SECONDS_PER_DAY
            if days < WARNING_DAYS:
                end = "ended" if days < 0 else f"ends in {days:.1f} days"
                warnings.append(f"{kind} {certificate.name}: {end}")
        return warnings


def read_files(folder: Path) -> dict[str, bytes]:
    """Returns the contents of a folder's files, by name.

    Raises:
        KeyFolderError: one is missing, can't be read, is too large, or is a key that others may read.
    """
    files: dict[str, bytes] = {}
    for name in FILE_NAMES:
        path = folder / name
        try:
            with path.open("rb") as file:
                files[name] = file.read(MAX_FILE_BYTES + 1)
                mode = os.fstat(file.fileno()).st_mode
        except FileNotFoundError:
            if name == REVOKED_FILE:
                continue
            raise KeyFolderError(path, "is missing") from None
        except OSError as error:
            raise KeyFolderError(path, str(error.strerror)) from error
        if len(files[name]) > MAX_FILE_BYTES:
            raise KeyFolderError(path, f"more than {MAX_FILE_BYTES} bytes")
        if name == KEY_FILE and mode & GROUP_AND_OTHERS_MODE:
            raise KeyFolderError(path, "others may read it; mode 0600 is needed")
    return files


def compute_digest(files: dict[str, bytes]) -> str:
    """Returns a digest of files' names and contents, which tells whether a folder has changed."""
    whole = b"".join(name.encode() + len(data).to_bytes(8, "big") + data for name, data in files.items())
    return blake2b(whole, digest_size=16).hexdigest()


def read_keys(folder: Path, now: datetime | None = None) -> Keys:
    """Reads a folder and checks it: the key fits its certificate, and no certificate's time is wrong.

    Args:
        folder: of the files.
        now: for tests; else the present time.

    Raises:
        KeyFolderError: it can't be used.
    """
    files = read_files(folder)
    try:
        [instance, *_] = read_certificates(files[CERTIFICATE_FILE])
        authorities = read_certificates(files[AUTHORITY_FILE])
    except ValueError as error:
        raise KeyFolderError(folder, f"a certificate can't be read: {error}") from error
    check_validity(folder, instance, authorities, now or datetime.now(UTC))
    return Keys(
        name=instance.name,
        server=make_context(ssl.PROTOCOL_TLS_SERVER, files, folder),
        client=make_context(ssl.PROTOCOL_TLS_CLIENT, files, folder),
        instance=instance,
        authorities=authorities,
        revoked=read_revoked(files.get(REVOKED_FILE, b"")),
        digest=compute_digest(files),
    )


def check_validity(
    folder: Path, instance: CertificateInfo, authorities: list[CertificateInfo], now: datetime
) -> None:
    """Raises KeyFolderError if the instance's certificate has ended, or any has not begun.

    An authority that has ended is accepted, as it stays beside its successor for a while.
    """
    if instance.valid_until <= now:
        raise KeyFolderError(
            folder / CERTIFICATE_FILE, f"{instance.name} ended {instance.valid_until:%Y-%m-%d}"
        )
    certificates = [(CERTIFICATE_FILE, instance)]
    certificates += [(AUTHORITY_FILE, authority) for authority in authorities]
    for file_name, certificate in certificates:
        if certificate.valid_from > now:
            reason = f"{certificate.name} begins {certificate.valid_from:%Y-%m-%d %H:%M}"
            raise KeyFolderError(folder / file_name, reason)


def read_revoked(data: bytes) -> frozenset[str]:
    """Returns the serial numbers in a file of revoked certificates; lines that begin with # are comments."""
    lines = data.decode("ascii", "replace").splitlines()
    return frozenset(
        normalize_serial(line.strip()) for line in lines if line.strip() and not line.startswith("#")
    )


def normalize_serial(serial: str) -> str:
    """Returns a hexadecimal serial number as `Keys.revoked` has it.

    >>> normalize_serial("00ab")
    'AB'
    """
    return serial.upper().lstrip("0")


def make_context(protocol: int, files: dict[str, bytes], folder: Path) -> ssl.SSLContext:
    """Returns a context for mutual TLS 1.3 and nothing else.

    Args:
        protocol: ssl.PROTOCOL_TLS_SERVER or ssl.PROTOCOL_TLS_CLIENT.
        files: contents by name.
        folder: named in errors.

    Raises:
        KeyFolderError: a certificate or key can't be used, or they do not belong together.
    """
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Names are checked against the operators' file, and not against addresses.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_verify_locations(cadata=files[AUTHORITY_FILE].decode("ascii"))
        # The ssl module takes a chain from files alone. These have what was read and checked, and not what
        # is in the folder by now.
        with contextlib.ExitStack() as stack:
            certificate = stack.enter_context(temporary_private_file(files[CERTIFICATE_FILE]))
            key = stack.enter_context(temporary_private_file(files[KEY_FILE]))
            context.load_cert_chain(certificate, key)
    except (ssl.SSLError, ValueError, OSError) as error:
        raise KeyFolderError(folder, str(error)) from error
    return context


@contextlib.contextmanager
def temporary_private_file(data: bytes) -> Iterator[Path]:
    """Gives a temporary file with these contents that only this process's user may read."""
    descriptor, name = tempfile.mkstemp()
    path = Path(name)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
        yield path
    finally:
        path.unlink()


class ReloadableKeys:
    """The keys of a folder in service; `reload` replaces them only by what was read and checked whole.

    Attributes:
        keys: in force now.
        error: why the folder can't be used as it is now; empty if it can.
    """

    def __init__(self, folder: Path) -> None:
        """Reads the folder; raises KeyFolderError if it can't be used."""
        self.folder = folder
        self.keys = read_keys(folder)
        self.error = ""

    def reload(self) -> bool:
        """Returns whether new keys are in force; if the folder can't be used, ``error`` says why."""
        try:
            unchanged = compute_digest(read_files(self.folder)) == self.keys.digest
            if not unchanged:
                self.keys = read_keys(self.folder)
        except KeyFolderError as error:
            self.error = str(error)
            return False
        self.error = ""
        return not unchanged

    def rejection_reason(self, name: str, serial: str, allowed: frozenset[str]) -> str:
        """Returns why a peer is not spoken to, in a word of the log; empty if it is.

        Args:
            name: in its certificate.
            serial: of its certificate, in hexadecimal.
            allowed: names that are spoken to.
        """
        if normalize_serial(serial) in self.keys.revoked:
            return "revoked"
        return "" if name in allowed else "not_allowed"
