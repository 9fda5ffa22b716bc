"""``gatebank keys ...``: creates a certificate authority and keys of instances, and shows and checks them."""

from __future__ import annotations

import importlib.util
import os
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, NoReturn

import typer

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Create, show and check the keys for connections between instances.",
)
FolderArgument = Annotated[Path, typer.Argument(help="A folder.")]
NameArgument = Annotated[str, typer.Argument(help="The name in the certificate.")]
AUTHORITY_KEY = "authority.key"  # File in the folder of an authority, beside its certificate.
PRIVATE_MODE = 0o600
PUBLIC_MODE = 0o644
FOLDER_MODE = 0o700
# Number of fingerprint characters to print, enough for a person to tell certificates apart.
FINGERPRINT_CHARACTERS = 32


@app.callback()
def check_installed() -> None:
    """Refuse all commands of this group if the library `cryptography` is not installed."""
    if importlib.util.find_spec("cryptography") is None:
        exit_with_error("keys need the extra gatebank[learning]; cryptography is missing")


def exit_with_error(reason: object) -> NoReturn:
    """End the command with status 2 and a one-line message on standard error."""
    typer.echo(f"gatebank: {reason}".replace("\n", " "), err=True)
    raise typer.Exit(2)


def write_file(path: Path, data: bytes, mode: int = PUBLIC_MODE) -> None:
    """Write a file under a temporary name and rename it, so that readers see either the old or new file."""
    temporary = path.with_name(path.name + ".new")
    try:
        path.parent.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    except OSError as error:
        exit_with_error(f"{path}: {error.strerror}")


@app.command("authority")
def make_authority(
    folder: FolderArgument,
    title: NameArgument = "gatebank",
    days: Annotated[float, typer.Option(min=0.01)] = 3650,
) -> None:
    """Create a new authority. Keep FOLDER/authority.key only on the machine where keys are created."""
    from gatebank.keys import authority
    from gatebank.keys import folder as key_folder

    if (folder / AUTHORITY_KEY).exists():
        exit_with_error(f"{folder / AUTHORITY_KEY}: already exists; a new authority needs a new folder")
    key_pair = authority.make_authority(title, days=days)
    write_file(folder / AUTHORITY_KEY, key_pair.key, PRIVATE_MODE)
    write_file(folder / key_folder.AUTHORITY_FILE, key_pair.certificate)
    print(f"{folder}: authority {title}, for {days:g} days")


@app.command("instance")
def make_instance(
    authority: Annotated[Path, typer.Argument(help="The authority's folder.")],
    name: NameArgument,
    folder: Annotated[Path, typer.Argument(help="The instance's key folder.")],
    days: Annotated[float, typer.Option(min=0.001)] = 90,
    trust: Annotated[
        list[Path] | None, typer.Option(help="The authority.pem of another authority to trust.")
    ] = None,
) -> None:
    """Create a key and a certificate for one instance in its key folder; existing files are replaced."""
    from gatebank.keys import authority as authorities
    from gatebank.keys import folder as key_folder

    try:
        signer = authorities.KeyPair(
            (authority / AUTHORITY_KEY).read_bytes(), (authority / key_folder.AUTHORITY_FILE).read_bytes()
        )
        key_pair = authorities.issue_instance_keys(signer, name, days=days)
        trusted = signer.certificate + b"".join(path.read_bytes() for path in trust or ())
    except OSError as error:
        exit_with_error(f"{error.filename}: {error.strerror}")
    except (ValueError, TypeError) as error:
        exit_with_error(f"{authority}: {error}")
    write_file(folder / key_folder.AUTHORITY_FILE, trusted)
    write_file(folder / key_folder.KEY_FILE, key_pair.key, PRIVATE_MODE)
    write_file(folder / key_folder.CERTIFICATE_FILE, key_pair.certificate)
    print(f"{folder}: {name}, for {days:g} days")


@app.command()
def show(file: Annotated[Path, typer.Argument(help="A file of certificates, or a key folder.")]) -> None:
    """Print the contents of certificates."""
    from gatebank.keys import folder as key_folder
    from gatebank.keys.authority import read_certificates

    paths = (
        [file / key_folder.AUTHORITY_FILE, file / key_folder.CERTIFICATE_FILE] if file.is_dir() else [file]
    )
    try:
        rows = [(path, certificate) for path in paths for certificate in read_certificates(path.read_bytes())]
    except (OSError, ValueError) as error:
        exit_with_error(f"{file}: {getattr(error, 'strerror', None) or error}")
    for path, certificate in rows:
        kind = "authority" if certificate.is_authority else "instance"
        validity = f"{certificate.valid_from:%Y-%m-%d %H:%M} to {certificate.valid_until:%Y-%m-%d %H:%M}"
        fingerprint = certificate.fingerprint[:FINGERPRINT_CHARACTERS]
        print(f"{path.name}: {kind} {certificate.name}, of {certificate.issuer}, {validity}, {fingerprint}")


@app.command()
def check(folder: FolderArgument) -> None:
    """Check whether an instance can start with this key folder.

    The exit status is 1 if a certificate expires within two weeks.
    """
    from gatebank.keys import folder as key_folder

    try:
        keys = key_folder.read_keys(folder)
    except key_folder.KeyFolderError as error:
        exit_with_error(error)
    print(f"{folder}: {keys.name}, until {keys.instance.valid_until:%Y-%m-%d %H:%M}")
    warnings = keys.expiry_warnings(datetime.now(UTC))
    for warning in warnings:
        print(warning)
    raise typer.Exit(1 if warnings else 0)
