"""Option groups that the ``capture`` commands share.

The options keep their original names because scripts use them: ``--customer`` is a tenant, ``--workload`` a
request class, ``--node`` an endpoint and ``--marshal`` an instance.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

CaptureFiles = Annotated[
    list[Path], typer.Argument(help="Capture files in chronological order; - is standard input.")
]
CaptureFile = Annotated[Path, typer.Argument(help="A capture file.")]


@dataclass(frozen=True)
class CommonFilterOptions:
    """Filters of exchanges that every command supports."""

    workload: Annotated[
        list[str] | None, typer.Option(help="Only this request class. All filters may be repeated.")
    ] = None
    customer: Annotated[list[str] | None, typer.Option(help="Only this tenant.")] = None
    side: Annotated[
        list[str] | None,
        typer.Option(help="Only exchanges with clients (customer) or with endpoints (node)."),
    ] = None


@dataclass(frozen=True)
class FilterOptions(CommonFilterOptions):
    """All filters of exchanges except the time range."""

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
    """Time range of the chosen requests."""

    begin: Annotated[
        str | None,
        typer.Option("--from", help="Only requests sent at or after this: Unix time, or date and time."),
    ] = None
    end: Annotated[str | None, typer.Option("--to", help="Only requests sent before this.")] = None


@dataclass(frozen=True)
class ServerOptions:
    """Roles of servers, for captures that do not contain this information."""

    endpoints: Annotated[
        list[str] | None, typer.Option("--node", help="The server at this address:port is an endpoint.")
    ] = None
    instances: Annotated[
        list[str] | None, typer.Option("--marshal", help="The server at this address:port is an instance.")
    ] = None


@dataclass(frozen=True)
class ReadingLimitOptions:
    """Limits on the memory that a reading uses."""

    max_connections: Annotated[
        int, typer.Option("--most-streams", min=1, help="Maximum number of connections tracked at once.")
    ] = 10_000
    max_gap_bytes: Annotated[
        int,
        typer.Option(
            "--most-gap", min=1024, help="Maximum bytes buffered while an earlier segment is missing."
        ),
    ] = 1 << 20
    idle_timeout: Annotated[
        float, typer.Option("--idle", min=1, help="Seconds without packets until a connection is dropped.")
    ] = 300.0
    max_message_bytes: Annotated[
        int, typer.Option("--most-message", min=1024, help="Maximum bytes of one command or reply.")
    ] = 8 << 20


@dataclass(frozen=True)
class ReplayOptions:
    """Target, speed and limits of a replay."""

    to: Annotated[str | None, typer.Option(help="Send to the running instance at this address:port.")] = None
    inside: Annotated[
        Path | None,
        typer.Option(help="Run an instance with this configuration in this process, and send to it."),
    ] = None
    orders: Annotated[
        Path | None, typer.Option(help="The operators' file, which names the permitted targets.")
    ] = None
    ledger: Annotated[
        Path | None, typer.Option(help="The folder of the ledger, which records the requests that were sent.")
    ] = None
    pace: Annotated[float, typer.Option(help="Speed: 2 is twice as fast as recorded.")] = 1.0
    lines: Annotated[
        str,
        typer.Option(help="Use the same connections as recorded (recorded), or a connection pool (pooled)."),
    ] = "recorded"
    most_lines: Annotated[
        int, typer.Option(min=1, max=50_000, help="Maximum number of open connections.")
    ] = 512
    most_in_hand: Annotated[
        int, typer.Option(min=1, help="Maximum number of requests in flight; requests above it are not sent.")
    ] = 1024
    patient: Annotated[
        bool, typer.Option(help="Send a rejected idempotent request again after the Retry-After time.")
    ] = False
