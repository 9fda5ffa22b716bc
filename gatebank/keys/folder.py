"""Reads and checks key folders, builds TLS contexts from them, and reloads them while the instance runs.

    authority.pem   certificates of the trusted authorities; two while one authority replaces another
    instance.pem    certificate of this instance
    instance.key    private key of this instance, readable only by its owner
    revoked.txt     serial numbers of certificates that are no longer accepted, in hexadecimal, one per line;
                    this file is optional

The whole folder is read and checked before its keys replace the previous ones, so a half-written file has no
effect. Open connections keep the keys with which they were opened.
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
MAX_FILE_BYTES = 1 << 20  # Enough for hundreds of certificates.
# Warnings start this many days before a certificate expires, so that operators have time to renew it.
WARNING_DAYS = 14.0
SECONDS_PER_DAY = 86400
GROUP_AND_OTHERS_MODE = 0o077  # Permission bits that a private file must not have.


class KeyFolderError(GatebankError):
    """A key folder cannot be used.

    Attributes:
        path: Path of the faulty file, or of the folder.
        reason: Description of the error.
    """

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(path, reason)
        self.path = path
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


@dataclass(slots=True, frozen=True)
class Keys:
    """Contents of a key folder that was read and checked completely.

    Attributes:
        name: Name of the instance, from its certificate.
        server: TLS context for accepted connections.
        client: TLS context for connections that the instance opens.
        instance: Contents of the instance's certificate.
        authorities: Contents of the certificates of the trusted authorities.
        revoked: Revoked serial numbers in hexadecimal, upper case without leading zeros.
        digest: Digest of the files' contents.
    """

    name: str
    server: ssl.SSLContext
    client: ssl.SSLContext
    instance: CertificateInfo
    authorities: list[CertificateInfo]
    revoked: frozenset[str] = field(default_factory=frozenset)
    digest: str = ""

    def expiry_warnings(self, now: datetime) -> list[str]:
        """Return a message for each certificate that expires within ``WARNING_DAYS`` or has expired."""
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
    """Return the contents of a folder's files by file name.

    Raises:
        KeyFolderError: A file is missing, cannot be read or is too large, or other users may read the key.
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
    """Return a digest of the names and contents of files, used to detect whether a folder has changed."""
    whole = b"".join(name.encode() + len(data).to_bytes(8, "big") + data for name, data in files.items())
    return blake2b(whole, digest_size=16).hexdigest()


def read_keys(folder: Path, now: datetime | None = None) -> Keys:
    """Read a folder, and check that the key matches its certificate and that the certificates are valid now.

    Args:
        folder: Folder of the files.
        now: Time of the check, set by tests; by default the current time.

    Raises:
        KeyFolderError: The folder cannot be used.
    """
    files = read_files(folder)
    try:
        [instance, *_] = read_certificates(files[CERTIFICATE_FILE])
        authorities = read_certificates(files[AUTHORITY_FILE])
    except ValueError as error:
        raise KeyFolderError(folder, f"a certificate cannot be read: {error}") from error
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
    """Raise KeyFolderError if the instance's certificate has expired, or any certificate is not valid yet.

    An expired authority is accepted, because it stays in the file with its successor for a while.
    """
    if instance.valid_until <= now:
        raise KeyFolderError(
            folder / CERTIFICATE_FILE, f"{instance.name} expired on {instance.valid_until:%Y-%m-%d}"
        )
    certificates = [(CERTIFICATE_FILE, instance)]
    certificates += [(AUTHORITY_FILE, authority) for authority in authorities]
    for file_name, certificate in certificates:
        if certificate.valid_from > now:
            reason = f"{certificate.name} is not valid before {certificate.valid_from:%Y-%m-%d %H:%M}"
            raise KeyFolderError(folder / file_name, reason)


def read_revoked(data: bytes) -> frozenset[str]:
    """Return the serial numbers in a file of revoked certificates; lines that start with # are comments."""
    lines = data.decode("ascii", "replace").splitlines()
    return frozenset(
        normalize_serial(line.strip()) for line in lines if line.strip() and not line.startswith("#")
    )


def normalize_serial(serial: str) -> str:
    """Convert a hexadecimal serial number to the format of `Keys.revoked`.

    >>> normalize_serial("00ab")
    'AB'
    """
    return serial.upper().lstrip("0")


def make_context(protocol: int, files: dict[str, bytes], folder: Path) -> ssl.SSLContext:
    """Return a TLS context that accepts only TLS 1.3 with certificates of both sides.

    Args:
        protocol: ssl.PROTOCOL_TLS_SERVER or ssl.PROTOCOL_TLS_CLIENT.
        files: Contents of the files by file name.
        folder: Folder of the files, named in error messages.

    Raises:
        KeyFolderError: A certificate or key cannot be used, or the key does not match its certificate.
    """
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # The caller checks the peer's name against the operators' file, not against its address.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_verify_locations(cadata=files[AUTHORITY_FILE].decode("ascii"))
        # The ssl module loads a certificate chain only from files. The temporary files hold the contents that
        # were read and checked; the files in the folder may have changed since.
        with contextlib.ExitStack() as stack:
            certificate = stack.enter_context(temporary_private_file(files[CERTIFICATE_FILE]))
            key = stack.enter_context(temporary_private_file(files[KEY_FILE]))
            context.load_cert_chain(certificate, key)
    except (ssl.SSLError, ValueError, OSError) as error:
        raise KeyFolderError(folder, str(error)) from error
    return context


@contextlib.contextmanager
def temporary_private_file(data: bytes) -> Iterator[Path]:
    """Provide a temporary file with these contents that only the user of this process may read."""
    descriptor, name = tempfile.mkstemp()
    path = Path(name)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
        yield path
    finally:
        path.unlink()


class ReloadableKeys:
    """The current keys of a folder; `reload` replaces them only if the whole folder was read and checked.

    Attributes:
        folder: The key folder.
        keys: The keys in use.
        error: Why the present contents of the folder cannot be used; empty if they can.
    """

    def __init__(self, folder: Path) -> None:
        """Read the folder; raises KeyFolderError if the folder cannot be used."""
        self.folder = folder
        self.keys = read_keys(folder)
        self.error = ""

    def reload(self) -> bool:
        """Read the folder again and return whether the keys were replaced.

        If the folder cannot be used, the previous keys stay in use and ``error`` holds the reason.
        """
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
        """Return why a peer is rejected, as a value for the log; empty if the peer is accepted.

        Args:
            name: Name in the peer's certificate.
            serial: Serial number of the peer's certificate, in hexadecimal.
            allowed: Names of the accepted peers.
        """
        if normalize_serial(serial) in self.keys.revoked:
            return "revoked"
        return "" if name in allowed else "not_allowed"
