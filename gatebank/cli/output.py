"""What `capture show`, `check`, `cut` and `compare` do."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import orjson
import typer

from gatebank.capture import records, writing
from gatebank.capture.filters import ExchangeFilter
from gatebank.capture.segments import FIN, LINK_RAW, RST, SYN
from gatebank.capture.table import table_heading, table_row
from gatebank.capture.terminal import printable
from gatebank.capture.timestamps import utc_time
from gatebank.cli.source import Source, refuse, told_if_ended, warn

ROWS = 10_000  # of a column file at once
MOST_CUT = 1_000_000  # exchanges that a cut may name: some 200 bytes each


def show(source: Source, wanted: ExchangeFilter, as_json: bool, parquet: Path | None) -> None:
    shown = 0
    with told_if_ended(lambda: f"{shown} exchanges"):
        if parquet:
            shown = columns(source, wanted, parquet)
            print(f"{parquet}: {shown} exchanges")
        else:
            out = sys.stdout.buffer
            if not as_json:
                print(table_heading(), flush=True)
            for exchange in source.exchanges():
                if not wanted(exchange):
                    continue
                row = orjson.dumps(exchange.row()) if as_json else table_row(exchange).encode()
                out.write(row + b"\n")
                shown += 1
            out.flush()
    for each in source.spoilt:
        warn(each)
    if source.spoilt:
        raise typer.Exit(1)


def columns(source: Source, wanted: ExchangeFilter, path: Path) -> int:
    """The same rows as of --json, in a Parquet file."""
    try:
        import pyarrow as pa
        import pyarrow.parquet as pq
    except ImportError:
        refuse("--parquet needs the extra gatebank[parquet]")
    kinds = dict.fromkeys(records.KEYS, pa.string())
    kinds |= {"time_limit_ms": pa.float64(), "body_bytes": pa.int64(), "whole": pa.bool_()}
    schema = pa.schema(list(kinds.items()))
    shown, rows = 0, list[dict[str, Any]]()
    part = path.with_name(path.name + ".part")
    try:
        with pq.ParquetWriter(part, schema, compression="zstd") as writer:
            for exchange in source.exchanges():
                if wanted(exchange):
                    rows.append(exchange.row())
                    shown += 1
                if len(rows) >= ROWS:
                    writer.write_table(pa.Table.from_pylist(rows, schema))
                    rows.clear()
            if rows:
                writer.write_table(pa.Table.from_pylist(rows, schema))
        part.replace(path)
    except OSError as trouble:
        refuse(f"{path}: {trouble.strerror or trouble}")
    finally:
        part.unlink(missing_ok=True)
    return shown


def check(source: Source, as_json: bool) -> None:
    ended: dict[str, int] = {}
    with told_if_ended(lambda: f"{source.reading.packets.packet_count} packets"):
        for exchange in source.exchanges():
            name = f"{exchange.side}_{exchange.ended}"
            ended[name] = ended.get(name, 0) + 1
        counts = source.reading.counts() | {f"exchanges_{n}": v for n, v in sorted(ended.items())}
        trouble = source.reading.trouble()
        if as_json:
            trouble |= {"spoilt": source.spoilt} if source.spoilt else {}
            sys.stdout.buffer.write(orjson.dumps({"counts": counts, "trouble": trouble}) + b"\n")
        else:
            first, last = source.reading.first_at, source.reading.last_at
            if first:
                print(f"from {utc_time(first)} to {utc_time(last)}, {(last - first) / 1e9:.3f} s")
            for name, value in counts.items():
                if value and name != "spoilt":
                    print(f"{value:>14} {name.replace('_', ' ')}{'  <' if name in trouble else ''}")
            for each in source.spoilt:
                print(f"not read to its end: {printable(each)}")
            if trouble:
                print("marked <: could not be read, or was given up")
    if trouble or source.spoilt:
        raise typer.Exit(1)


def cut(source: Source, wanted: ExchangeFilter, out: Path, whole_streams: bool) -> None:
    source.seekable()
    if out.exists() and out.samefile(source.files[0]):
        refuse(f"{out}: a file can't be cut into itself")
    spans = dict[int, list[tuple[int, int]]]()  # packets of each connection: first and last, of each exchange
    found = 0
    with told_if_ended(lambda: f"{found} exchanges"):
        for exchange in source.exchanges():
            if wanted(exchange):
                found += 1
                if found > MOST_CUT:
                    refuse(f"the filters choose more than {MOST_CUT} exchanges")
                spans.setdefault(exchange.connection, []).append(
                    (exchange.first_packet, exchange.last_packet)
                )
        for each in spans.values():
            each.sort(reverse=True)  # the first last: taken off as the second pass goes by
        written = copy(source, out, spans, whole_streams)
    print(f"{out}: {found} exchanges, {written} packets of {len(spans)} connections")
    for each in source.spoilt:
        warn(each)


def wanted_now(spans: list[tuple[int, int]], number: int) -> bool:
    """Is this packet of one of the exchanges? Numbers only grow from call to call."""
    while spans and spans[-1][1] < number:
        spans.pop()
    return bool(spans) and spans[-1][0] <= number


def copy(source: Source, out: Path, spans: dict[int, list[tuple[int, int]]], whole: bool) -> int:
    """A second pass: connections come in the same order, so they have the same numbers."""
    reading, written = source.anew(), 0
    links: dict[tuple[int, str | None], int] = {}
    part = out.with_name(out.name + ".part")
    try:
        with part.open("wb") as file:
            file.write(writing.section_block("cut"))
            for _, piece in source.pieces(True):
                for packet in reading.packets.feed(piece or b""):
                    connection = reading.add_packet(packet)
                    reading.exchanges.reported.clear()
                    if connection is None or connection.number not in spans:
                        continue
                    # How a connection begins and ends is part of what its exchanges mean.
                    frame = reading.segment and reading.segment.flags & (SYN | FIN | RST)
                    if not (
                        whole or frame or wanted_now(spans[connection.number], reading.packets.packet_count)
                    ):
                        continue
                    place = links.get((packet.link, packet.side))
                    if place is None:
                        place = links[packet.link, packet.side] = len(links)
                        name = {"customer": "customers", "node": "nodes"}.get(packet.side or "", "")
                        file.write(writing.interface_block(name, packet.link))
                    file.write(writing.packet_block(place, packet.at, packet.data, packet.length))
                    written += 1
            if not links:
                file.write(writing.interface_block("", LINK_RAW))
        part.replace(out)
    except OSError as trouble:
        refuse(f"{out}: {trouble.strerror or trouble}")
    finally:
        part.unlink(missing_ok=True)
    return written


def compare(a: Source, b: Source, wanted: ExchangeFilter, as_json: bool) -> None:
    from gatebank.capture.compare import Comparison, percentiles

    found = Comparison()
    with told_if_ended(lambda: f"{found.matched} matched"):
        for source, take in ((a, found.add_a), (b, found.add_b)):
            for exchange in source.exchanges():
                if wanted(exchange) and exchange.command_is_complete:
                    take(exchange)
        counts = {"matched": found.matched, "only_a": found.only_a, "only_b": found.only_b}
        counts["otherwise"] = found.changes.total()
        times = {
            "a": percentiles(found.latency_a), "b": percentiles(found.latency_b),
            "slower": percentiles(found.slower), "faster": percentiles(found.faster),
        }  # fmt: skip
        if as_json:
            rows = [dict(zip(("workload", "key", "a", "b"), each, strict=True)) for each in found.examples]
            changes = [{"a": x, "b": y, "count": n} for (x, y), n in found.changes.items()]
            told = counts | {"changes": changes, "examples": rows, "ms": times}
            sys.stdout.buffer.write(orjson.dumps(told) + b"\n")
        else:
            for name, value in counts.items():
                print(f"{value:>10} {name.replace('_', ' ')}")
            for (x, y), number in found.changes.most_common():
                print(f"{number:>10} {x} became {y}")
            for workload, key, x, y in found.examples[:20]:
                print(f"{'':>10} {printable(workload, 20)} {printable(key, 30)}: {x}, then {y}")
            for name, told in times.items():
                said = " ".join(f"{quantile} {value:.3f}" for quantile, value in told.items())
                print(f"{name:>10} ms: {said or 'none'}")
    for each in a.spoilt + b.spoilt:
        warn(each)
