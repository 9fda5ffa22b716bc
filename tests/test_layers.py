"""Tests of the layers: decisions and state do no I/O, and neither imports the modules that host them."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "gatebank"
HOSTS = ("proxy", "simulator", "state_transfer", "recording", "replay", "capture", "cli", "fakes", "keys")
HOST_PREFIXES = tuple(f"gatebank.{host}" for host in HOSTS)
IO_MODULES = {
    "asyncio", "http", "httptools", "io", "logging", "os", "pathlib", "select", "selectors", "signal",
    "socket", "ssl", "subprocess", "sys", "tempfile", "threading", "time", "urllib", "uvloop",
}  # fmt: skip
PACKAGES_WITHOUT_IO = ["policy", "core", "statistics"]


def imports_of(path: Path) -> set[str]:
    """Return the full names of the modules and objects that a file imports."""
    imported: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            imported.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            imported.update(f"{node.module}.{alias.name}" for alias in node.names)
    return imported


def files_of(package: str) -> list[Path]:
    """Return the Python files of a package of gatebank."""
    return sorted((PACKAGE / package).glob("*.py"))


@pytest.mark.parametrize("package", PACKAGES_WITHOUT_IO)
def test_decisions_and_state_do_no_io(package: str) -> None:
    """policy/, core/ and statistics/ import no modules for I/O or clocks."""
    assert files_of(package)
    for path in files_of(package):
        used = {name.split(".")[0] for name in imports_of(path)}
        assert not used & IO_MODULES, (path.name, used & IO_MODULES)


@pytest.mark.parametrize("package", [*PACKAGES_WITHOUT_IO, "."])
def test_inner_layers_import_no_host(package: str) -> None:
    """The packages without I/O and the balancer do not import the packages that host them."""
    paths = [PACKAGE / "balancer.py"] if package == "." else files_of(package)
    for path in paths:
        hosts = {name for name in imports_of(path) if name.startswith(HOST_PREFIXES)}
        assert not hosts, (path.name, hosts)


def test_core_and_statistics_import_policy_for_type_checking_only() -> None:
    """core/ and statistics/ take thresholds as arguments and import policy/ for type checking only."""
    for package in ("core", "statistics"):
        for path in files_of(package):
            text = path.read_text()
            runtime_text = text.split("if TYPE_CHECKING:")[0]
            assert "gatebank.policy" not in runtime_text, path.name


def test_deploy_file_lists_every_policy_file() -> None:
    """deploy/balancer.toml lists every file of policy/."""
    deploy = (PACKAGE.parent / "deploy" / "balancer.toml").read_text()
    for path in files_of("policy"):
        assert f'"gatebank/policy/{path.name}"' in deploy, path.name
