"""A small certificate authority and the keys of instances. Returns bytes; `cli/keys.py` writes the files.

Keys are Ed25519. An instance's certificate has the instance's name as a DNS name and as the common name, and
is valid for both sides of a connection. The authority may sign certificates of instances only, not of other
authorities (path length 0). The formats follow RFC 5280 and RFC 8410.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from gatebank.errors import GatebankError

# A certificate is valid from this long before its creation, because the clocks of two machines may differ.
BACKDATING = timedelta(minutes=5)
# Default validity in days. An authority outlives the machines; an instance's certificate is renewed often.
AUTHORITY_DAYS = 3650
INSTANCE_DAYS = 90
# An authority's key may sign only certificates and lists of revoked certificates.
AUTHORITY_USAGE = x509.KeyUsage(
    digital_signature=False,
    content_commitment=False,
    key_encipherment=False,
    data_encipherment=False,
    key_agreement=False,
    key_cert_sign=True,
    crl_sign=True,
    encipher_only=False,
    decipher_only=False,
)
INSTANCE_USAGE = x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH])


class AuthorityError(GatebankError, ValueError):
    """An authority cannot sign a certificate.

    Attributes:
        reason: Why the authority cannot sign.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True, frozen=True)
class KeyPair:
    """A private key and its certificate, both in PEM format."""

    key: bytes
    certificate: bytes


@dataclass(slots=True, frozen=True)
class CertificateInfo:
    """Contents of a certificate.

    Attributes:
        name: Name of the certificate's subject.
        issuer: Name of the authority that signed the certificate.
        valid_from: Start of the certificate's validity.
        valid_until: End of the certificate's validity.
        fingerprint: SHA-256 of the certificate, in hexadecimal.
        is_authority: Whether the certificate's key may sign other certificates.
    """

    name: str
    issuer: str
    valid_from: datetime
    valid_until: datetime
    fingerprint: str
    is_authority: bool


def make_authority(title: str, now: datetime | None = None, days: float = AUTHORITY_DAYS) -> KeyPair:
    """Create an authority with a new key and a self-signed certificate.

    Args:
        title: Name of the authority.
        now: Time of creation, set by tests; by default the current time.
        days: Validity of the certificate in days.
    """
    key = ed25519.Ed25519PrivateKey.generate()
    identifier = x509.SubjectKeyIdentifier.from_public_key(key.public_key())
    builder = begin_certificate(title, key, now or datetime.now(UTC), days)
    builder = builder.issuer_name(common_name(title))
    builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    builder = builder.add_extension(AUTHORITY_USAGE, critical=True)
    builder = builder.add_extension(identifier, critical=False)
    return encode_key_pair(key, builder.sign(key, None))


def issue_instance_keys(
    authority: KeyPair, name: str, now: datetime | None = None, days: float = INSTANCE_DAYS
) -> KeyPair:
    """Create a new key and certificate for an instance.

    Args:
        authority: The authority that signs the certificate. The validity of the instance's certificate does
            not extend beyond the end of the authority's certificate.
        name: Name of the instance.
        now: Time of creation, set by tests; by default the current time.
        days: Validity of the certificate in days.

    Raises:
        AuthorityError: The authority cannot sign.
        ValueError: The authority's files do not contain a key and a certificate.
    """
    signer = serialization.load_pem_private_key(authority.key, None)
    issuer = x509.load_pem_x509_certificate(authority.certificate)
    if not isinstance(signer, ed25519.Ed25519PrivateKey):
        raise AuthorityError("the authority's key is not Ed25519")
    if signer.public_key() != issuer.public_key():
        raise AuthorityError("the authority's key and certificate do not belong together")
    key = ed25519.Ed25519PrivateKey.generate()
    identifier = x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key())
    builder = begin_certificate(name, key, now or datetime.now(UTC), days, issuer.not_valid_after_utc)
    builder = builder.issuer_name(issuer.subject)
    builder = builder.add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
    builder = builder.add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
    builder = builder.add_extension(INSTANCE_USAGE, critical=False)
    builder = builder.add_extension(identifier, critical=False)
    return encode_key_pair(key, builder.sign(signer, None))


def begin_certificate(
    name: str,
    key: ed25519.Ed25519PrivateKey,
    now: datetime,
    days: float,
    latest_end: datetime | None = None,
) -> x509.CertificateBuilder:
    """Return a builder with the parts of all certificates: subject, key, serial number and validity."""
    end = now + timedelta(days=days)
    if latest_end is not None:
        end = min(end, latest_end)
    return (
        x509.CertificateBuilder()
        .subject_name(common_name(name))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - BACKDATING)
        .not_valid_after(end)
    )


def common_name(name: str) -> x509.Name:
    """Return a certificate subject or issuer with this common name."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def encode_key_pair(key: ed25519.Ed25519PrivateKey, certificate: x509.Certificate) -> KeyPair:
    """Encode a key and its certificate in PEM format; the key is unencrypted, its file's mode protects it."""
    encoding = serialization.Encoding.PEM
    private = key.private_bytes(encoding, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
    return KeyPair(private, certificate.public_bytes(encoding))


def read_certificates(data: bytes) -> list[CertificateInfo]:
    """Return the contents of all certificates in a PEM file.

    Raises:
        ValueError: The file has no certificate, or one that cannot be read.
    """
    return [read_certificate_info(certificate) for certificate in x509.load_pem_x509_certificates(data)]


def read_certificate_info(certificate: x509.Certificate) -> CertificateInfo:
    """Return the contents of a certificate."""
    try:
        is_authority = certificate.extensions.get_extension_for_class(x509.BasicConstraints).value.ca
    except x509.ExtensionNotFound:
        is_authority = False
    return CertificateInfo(
        name=display_name(certificate.subject),
        issuer=display_name(certificate.issuer),
        valid_from=certificate.not_valid_before_utc,
        valid_until=certificate.not_valid_after_utc,
        fingerprint=certificate.fingerprint(hashes.SHA256()).hex(),
        is_authority=is_authority,
    )


def display_name(name: x509.Name) -> str:
    """Return the common name, or the whole distinguished name if it has no common name."""
    attributes = name.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(attributes[0].value) if attributes else name.rfc4514_string()
