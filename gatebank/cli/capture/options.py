"""Groups of options that the ``capture`` commands share.

The options keep their first spelling, which scripts use: ``--customer`` is a tenant, ``--workload`` a request
class, ``--node`` an endpoint and ``--marshal`` an instance.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

CaptureFiles = Annotated[
    list[Path], typer.Argument(help="Capture files, in the order of their packets; - is standard input.")
]
CaptureFile = Annotated[Path, typer.Argument(help="A capture file.")]


@dataclass(frozen=True)
class CommonFilterOptions:
    """Which exchanges are chosen, by what every command can choose by."""

    workload: Annotated[
        list[str] | None, typer.Option(help="Only this request class; may be repeated, as all filters may.")
    ] = None
    customer: Annotated[list[str] | None, typer.Option(help="Only this tenant.")] = None
    side: Annotated[
        list[str] | None,
        typer.Option(help="Only what was recorded towards clients (customer) or endpoints (node)."),
    ] = None


@dataclass(frozen=True)
class FilterOptions(CommonFilterOptions):
    """Which exchanges are chosen, by all but their time."""

    key: Annotated[list[str] | None, typer.Option(help="Only this key.")] = None
    id_: Annotated[list[str] | None, typer.Option("--id", help="Only this request id.")] = None
    ended: Annotated[
        list[str] | None, typer.Option(help="Only this result: satisfied, rejected, broken_off or none.")
    ] = None
    port: Annotated[list[int] | None, typer.Option(help="Only connections with this port at either end.")] = (
        None
    )


@dataclass(frozen=True)
class TimeRangeOptions:
    """From when to when requests are chosen."""

    begin: Annotated[
        str | None,
        typer.Option("--from", help="Only requests sent at or after this: Unix time, or date and time."),
    ] = None
    end: Annotated[str | None, typer.Option("--to", help="Only requests sent before this.")] = None


@dataclass(frozen=True)
class ServerOptions:
    """Which servers are what, where a capture does not say it."""

    endpoints: Annotated[
        list[str] | None, typer.Option("--node", help="The server at this address:port is an endpoint.")
    ] = None
    instances: Annotated[
        list[str] | None, typer.Option("--marshal", help="The server at this address:port is an instance.")
    ] = None


@dataclass(frozen=True)
class ReadingLimitOptions:
    """How much a reading may hold in memory."""

    max_connections: Annotated[
        int, typer.Option("--most-streams", min=1, help="Connections followed at once.")
    ] = 10_000
    max_gap_bytes: Annotated[
        int, typer.Option("--most-gap", min=1024, help="Bytes kept while a segment before them is missing.")
    ] = 1 << 20
    idle_timeout: Annotated[
        float, typer.Option("--idle", min=1, help="Seconds after which a silent connection is given up.")
    ] = 300.0
    max_message_bytes: Annotated[
        int, typer.Option("--most-message", min=1024, help="Bytes of one command or reply.")
    ] = 8 << 20


@dataclass(frozen=True)
class ReplayOptions:
    """Where a replay sends to, and how it is paced."""

    to: Annotated[str | None, typer.Option(help="Send to the running instance at this address:port.")] = None
    inside: Annotated[
        Path | None,
        typer.Option(help="Run an instance with this configuration in this process, and send through it."),
    ] = None
    orders: Annotated[
        Path | None, typer.Option(help="The operators' file, which names the permitted targets.")
    ] = None
    ledger: Annotated[
        Path | None, typer.Option(help="The folder in which a record of what was sent is kept.")
    ] = None
    pace: Annotated[float, typer.Option(help="Speed: 2 is twice as fast as recorded.")] = 1.0
    lines: Annotated[
        str, typer.Option(help="Connections: as recorded (recorded), or from a pool (pooled).")
    ] = "recorded"
    most_lines: Annotated[int, typer.Option(min=1, max=50_000, help="Connections open at once.")] = 512
    most_in_hand: Annotated[
        int, typer.Option(min=1, help="Requests in flight at once; those beyond it are not sent.")
    ] = 1024
    patient: Annotated[
        bool, typer.Option(help="Send a rejected idempotent request again after the Retry-After time.")
    ] = False
